//! Tests of the instance table: requests must not be sent to targets that have left, and late
//! reports must not bring back instances that have ended.

use super::*;

pub(super) fn record(born: u64, sequence: u64, state: InstanceState) -> InstanceRecord {
    InstanceRecord {
        instance: "i-1".parse().expect("valid id"),
        born_unix_ms: born,
        sequence,
        service: "lists".parse().expect("valid id"),
        address: "10.0.0.9:80".into(),
        data_centre: "east-1".parse().expect("valid id"),
        slots: 4.into(),
        state,
        cold_ms: 0,
    }
}

fn state(table: &InstanceTable) -> InstanceState {
    table.iter().next().expect("one target").record.state
}

#[test]
fn report_late_keeps_draining() {
    let now = Instant::now();
    let mut table = InstanceTable::default();
    table.report(record(1, 4, InstanceState::Ready), now);
    assert_eq!(table.report(record(1, 6, InstanceState::Draining), now), ReportResult::Changed);
    assert_eq!(table.report(record(1, 5, InstanceState::Ready), now), ReportResult::Outdated);
    assert_eq!(table.report(record(1, 7, InstanceState::Ready), now), ReportResult::Renewed);
    assert_eq!(state(&table), InstanceState::Draining);
}

/// Guards against sending every heartbeat to all daemons as a change: in one test run, 615 warm
/// targets caused 410 changes per second.
#[test]
fn report_warm_heartbeat_is_no_change() {
    let start = Instant::now();
    let mut table = InstanceTable::default();
    table.report(record(1, 1, InstanceState::Ready), start);
    let version = table.version();
    for sequence in 2..10 {
        let now = start + Duration::from_millis(1_500 * sequence);
        let reported = table.report(record(1, sequence, InstanceState::Ready), now);
        assert_eq!(reported, ReportResult::Renewed);
    }
    assert_eq!(table.version(), version);
}

/// Wall time of the deregistrations.
const NOW_UNIX_MS: u64 = 50;

fn id() -> TargetId {
    "i-1".parse().expect("valid id")
}

fn departure(born_max_unix_ms: u64, age: Duration) -> TargetDeparture {
    TargetDeparture { instance: id(), born_max_unix_ms, age_ms: age.as_millis() as u64 }
}

#[test]
fn report_after_deregistration_ignored() {
    let now = Instant::now();
    let mut table = InstanceTable::default();
    table.report(record(1, 4, InstanceState::Ready), now);
    table.record_deregistration(&id(), None, NOW_UNIX_MS, now).expect("room");
    assert_eq!(table.report(record(1, 9, InstanceState::Ready), now), ReportResult::Outdated);
    assert_eq!(state(&table), InstanceState::Gone);
}

#[test]
fn report_new_instance_same_id() {
    let now = Instant::now();
    let mut table = InstanceTable::default();
    table.report(record(1, 40, InstanceState::Draining), now);
    assert_eq!(table.report(record(2, 0, InstanceState::Ready), now), ReportResult::Changed);
    assert_eq!(table.report(record(1, 41, InstanceState::Draining), now), ReportResult::Outdated);
    assert_eq!(state(&table), InstanceState::Ready);
    // The end of the earlier instance arrives late and contains its start time.
    table.record_deregistration(&id(), Some(1), NOW_UNIX_MS, now).expect("room");
    assert_eq!(state(&table), InstanceState::Ready);
}

#[test]
fn changed_since_only_differences() {
    let now = Instant::now();
    let mut table = InstanceTable::default();
    table.report(record(1, 1, InstanceState::Ready), now);
    let seen = table.version();
    table.report(record(1, 2, InstanceState::Ready), now);
    assert_eq!(table.changed_since(seen).count(), 0);
    let cold = InstanceRecord { cold_ms: 3_000, ..record(1, 3, InstanceState::Ready) };
    table.report(cold, now);
    assert_eq!(table.changed_since(seen).count(), 1);
}

/// Guards against a choice of targets that goes on with an expired report: 100 s after the last report of
/// another writer, the target at its address was still not used.
#[test]
fn expire_removed_instance_changes_version() {
    let now = Instant::now();
    let mut table = InstanceTable::default();
    table.report(record(1, 1, InstanceState::Ready), now);
    let version = table.version();
    table.expire(now + ENDED_RETENTION / 2);
    assert_eq!(table.version(), version, "nothing has expired");
    table.expire(now + ENDED_RETENTION);
    assert_eq!(table.iter().count(), 0);
    assert!(table.version() > version);
}

/// Guards against a target that is gone, and that daemons keep by passing on its last report to each other
/// just before it expires: they did so for as long as they ran.
#[test]
fn merge_report_keeps_age() {
    let start = Instant::now();
    let mut tables = [InstanceTable::default(), InstanceTable::default()];
    tables[0].report(record(1, 1, InstanceState::Ready), start);
    for (number, after) in [(1, 29), (0, 58), (1, 59)] {
        let now = start + Duration::from_secs(after);
        let relayed = tables[1 - number].iter().next().expect("not expired").relayed(now);
        tables[number].merge(relayed, now);
    }
    for table in &mut tables {
        table.expire(start + ENDED_RETENTION);
        assert_eq!(table.iter().count(), 0);
    }
}

/// Guards against a table that takes up a report which is about to expire elsewhere.
#[test]
fn merge_expired_report_ignored() {
    let now = Instant::now() + ENDED_RETENTION;
    let mut table = InstanceTable::default();
    let relayed = |age: Duration| RelayedInstance {
        record: record(1, 1, InstanceState::Ready),
        age_ms: age.as_millis() as u64,
    };
    assert_eq!(table.merge(relayed(ENDED_RETENTION), now), ReportResult::Outdated);
    assert_eq!(table.merge(relayed(Duration::MAX), now), ReportResult::Outdated);
    assert_eq!(table.iter().count(), 0);
    assert_eq!(table.merge(relayed(ENDED_RETENTION / 2), now), ReportResult::Changed);
}

/// Guards against a report on a detour that makes a silent target count as running.
#[test]
fn merge_late_report_leaves_target_silent() {
    let start = Instant::now();
    let now = start + Duration::from_secs(30);
    let mut table = InstanceTable::default();
    table.report(record(1, 1, InstanceState::Ready), start);
    let record = record(1, 2, InstanceState::Ready);
    table.merge(RelayedInstance { record, age_ms: 29_000 }, now);
    assert_eq!(table.silent(Duration::from_millis(1_500), now).count(), 1);
}

/// Guards against a target that is taken for silent, or whose leaving is not noticed, because another
/// writer has reported a high sequence number under its id.
#[test]
fn report_after_high_sequence() {
    let now = Instant::now();
    let mut table = InstanceTable::default();
    table.report(record(1, u64::MAX, InstanceState::Ready), now);
    let later = now + Duration::from_secs(5);
    let own = record(1, 7, InstanceState::Ready);
    assert_eq!(table.report(own.clone(), later), ReportResult::Outdated);
    table.record_sign_of_life(&own, later);
    assert_eq!(table.silent(Duration::from_millis(1_500), later).count(), 0);
    let leaving = record(1, 8, InstanceState::Draining);
    assert_eq!(table.report(leaving, later), ReportResult::Changed);
    assert_eq!(state(&table), InstanceState::Draining);
}

/// Guards against entries of other writers that displace targets or break the daemons that read them.
#[test]
fn check_report_ranges() {
    let now_unix_ms = 1_790_000_000_000;
    let day_ms = 24 * 60 * 60 * 1_000;
    let check = |record: &InstanceRecord| check_report(record, now_unix_ms);
    let valid = record(now_unix_ms, 1, InstanceState::Ready);
    assert_eq!(check(&valid), Ok(()));
    assert_eq!(check(&record(now_unix_ms + day_ms, 1, InstanceState::Ready)), Ok(()));
    for born in [now_unix_ms + day_ms + 1, 1 << 63, u64::MAX] {
        let error = check(&record(born, 1, InstanceState::Ready)).expect_err("in the future");
        assert!(matches!(error, ReportError::StartInFuture { .. }), "{error}");
        // A VM whose clock is not set cannot tell.
        assert_eq!(check_report(&record(born, 1, InstanceState::Ready), 5), Ok(()));
    }
    for slots in [0, 65_537, u32::MAX] {
        let odd = InstanceRecord { slots: slots.into(), ..valid.clone() };
        assert_eq!(check(&odd), Err(ReportError::InvalidSlots(slots.into())));
    }
    for address in ["10.0.0.9:0", "0.0.0.0:80", "255.255.255.255:80", "224.0.0.1:80", "[::]:80"] {
        let odd = InstanceRecord { address: address.into(), ..valid.clone() };
        assert!(matches!(check(&odd), Err(ReportError::NotAnEndpoint(_))), "{address}");
    }
    for address in ["", "nowhere", "10.0.0.9", "10.0.0.9:65536", "10.0.0.9:-1", "name:80"] {
        let odd = InstanceRecord { address: address.into(), ..valid.clone() };
        assert!(matches!(check(&odd), Err(ReportError::InvalidAddress(_))), "{address}");
    }
}

#[test]
fn silent_after_missed_heartbeats() {
    let now = Instant::now();
    let mut table = InstanceTable::default();
    table.report(record(1, 1, InstanceState::Ready), now);
    let heartbeat = Duration::from_millis(1_500);
    assert_eq!(table.silent(heartbeat, now + Duration::from_millis(4_400)).count(), 0);
    assert_eq!(table.silent(heartbeat, now + Duration::from_millis(4_600)).count(), 1);
}

/// Guards against one statement of many slots that draws the objects of all targets.
#[test]
fn believed_slots_max_of_median() {
    let slots_max = |stated: &[u32]| {
        let mut stated: Vec<SlotCount> = stated.iter().copied().map(SlotCount).collect();
        believed_slots_max(&mut stated).get()
    };
    assert_eq!(slots_max(&[6, 65_536, 6]), 24);
    assert_eq!(slots_max(&[65_536, 6]), 24);
    assert_eq!(slots_max(&[4, 8, 16]), 32);
    assert_eq!(slots_max(&[65_536]), 262_144);
    assert_eq!(slots_max(&[]), 262_144);
}

/// Guards against a VM that forgets the deregistration of a target which it does not know, and uses the
/// target when its record arrives from elsewhere.
#[test]
fn report_after_deregistration_of_unknown() {
    let now = Instant::now();
    let mut table = InstanceTable::default();
    let told = table.record_deregistration(&id(), None, NOW_UNIX_MS, now);
    assert_eq!(told, Some(departure(NOW_UNIX_MS, Duration::ZERO)));
    let late = record(NOW_UNIX_MS, 9, InstanceState::Ready);
    assert_eq!(table.report(late, now), ReportResult::Outdated);
    assert!(table.iter().next().is_none());
    let restarted = record(NOW_UNIX_MS + 1, 0, InstanceState::Ready);
    assert_eq!(table.report(restarted, now), ReportResult::Changed);
    assert_eq!(state(&table), InstanceState::Ready);
}

/// Guards against a target that stays in use at VMs that know it as ready, when it deregisters at one
/// that does not.
#[test]
fn depart_known_target() {
    let now = Instant::now();
    let mut elsewhere = InstanceTable::default();
    let told = elsewhere.record_deregistration(&id(), None, NOW_UNIX_MS, now).expect("room");
    let mut table = InstanceTable::default();
    table.report(record(7, 4, InstanceState::Ready), now);
    let seen = table.version();
    assert!(table.depart(&told, now));
    assert_eq!(state(&table), InstanceState::Gone);
    assert!(table.version() > seen, "the index of targets and other VMs need the change");
    let passed_on: Vec<_> = table.departures_since(seen, now).collect();
    assert_eq!(passed_on, [(table.version(), told.clone())]);
    assert!(!table.depart(&told, now), "not news any more");
}

/// Guards against a deregistration that is ignored because this VM holds the record of an earlier
/// process of the target, and against one that ends a later process.
#[test]
fn record_deregistration_other_start_time() {
    let now = Instant::now();
    for (stated, expected) in [(9, InstanceState::Gone), (6, InstanceState::Ready)] {
        let mut table = InstanceTable::default();
        table.report(record(7, 4, InstanceState::Ready), now);
        let told = table.record_deregistration(&id(), Some(stated), NOW_UNIX_MS, now);
        assert_eq!(told, Some(departure(stated, Duration::ZERO)));
        assert_eq!(state(&table), expected, "{stated}");
        let reported = table.report(record(stated, 5, InstanceState::Ready), now);
        assert_eq!(reported, ReportResult::Outdated, "{stated}");
    }
}

/// Guards against departures that VMs keep alive by telling each other again.
#[test]
fn depart_expires_by_age() {
    let start = Instant::now();
    let mut table = InstanceTable::default();
    assert!(!table.depart(&departure(9, ENDED_RETENTION), start));
    let age = ENDED_RETENTION - Duration::from_secs(2);
    assert!(table.depart(&departure(9, age), start));
    let (_, told) = table.departures_since(0, start).next().expect("one departure");
    assert_eq!(told, departure(9, age));
    table.expire(start + Duration::from_secs(1));
    assert!(table.has_departed(&id(), 9));
    table.expire(start + Duration::from_secs(3));
    assert!(!table.has_departed(&id(), 9));
}

/// Guards against another writer that fills the memory with deregistrations of unknown targets.
#[test]
fn record_deregistration_unknown_bounded() {
    let now = Instant::now();
    let mut table = InstanceTable::default();
    table.report(record(1, 1, InstanceState::Ready), now);
    let unknown = |number: u32| format!("other-{number}").parse().expect("valid id");
    let kept = (0..20_000).filter(|number| {
        table.record_deregistration(&unknown(*number), None, NOW_UNIX_MS, now).is_some()
    });
    assert_eq!(kept.count(), 8_192);
    assert!(table.record_deregistration(&id(), None, NOW_UNIX_MS, now).is_some(), "a known target");
    assert_eq!(state(&table), InstanceState::Gone);
}

fn services(names: &[&str]) -> HashSet<ServiceId> {
    names.iter().map(|name| name.parse().expect("valid id")).collect()
}

fn record_of(service: &str, born: u64, sequence: u64, state: InstanceState) -> InstanceRecord {
    let service = service.parse().expect("valid id");
    InstanceRecord { service, ..record(born, sequence, state) }
}

fn service(table: &InstanceTable) -> &str {
    table.get(&id()).expect("the target is known").record.service.as_str()
}

/// Guards against another writer's report that takes a target out of its service: with one heartbeat
/// for each target, 0 of 200 requests were served.
#[test]
fn report_unnamed_service_of_other_writer() {
    let start = Instant::now();
    for (born, sequence) in [(1, 1_000), (1, u64::MAX), (9, 0)] {
        for odd_state in [InstanceState::Ready, InstanceState::Draining] {
            let mut table = InstanceTable::default();
            table.set_named_services(services(&["lists"]));
            table.report(record(1, 4, InstanceState::Ready), start);
            let version = table.version();
            let odd = record_of("nowhere", born, sequence, odd_state);
            assert_eq!(table.report(odd, start), ReportResult::Held);
            let later = start + Duration::from_secs(3);
            let own = table.report(record(1, 5, InstanceState::Ready), later);
            assert_eq!(own, ReportResult::Renewed);
            assert_eq!((service(&table), state(&table)), ("lists", InstanceState::Ready));
            assert_eq!(table.version(), version, "nothing to tell other VMs");
            let leaving = table.report(record(1, 6, InstanceState::Draining), later);
            assert_eq!(leaving, ReportResult::Changed);
        }
    }
}

/// Guards against another writer's report of an unknown data centre that takes a target out of use, and
/// against a target that is not used because such a report arrived first.
#[test]
fn report_unknown_data_centre_of_other_writer() {
    let now = Instant::now();
    let mut table = InstanceTable::default();
    let own = record_of("lists", 5, 4, InstanceState::Ready);
    table.set_data_centres([own.data_centre.clone()].into());
    table.set_named_services(services(&["lists"]));
    let odd = |born| InstanceRecord {
        data_centre: "nowhere-1".parse().expect("valid id"),
        ..record_of("lists", born, u64::MAX, InstanceState::Draining)
    };
    assert_eq!(table.report(odd(9), now), ReportResult::Changed);
    assert_eq!(table.report(own.clone(), now), ReportResult::Changed);
    for born in [5, 10] {
        assert_eq!(table.report(odd(born), now), ReportResult::Held);
    }
    let held = table.iter().next().expect("one target");
    assert_eq!(held.record, own);
    table.set_named_services(services(&["lists", "other"]));
    assert_eq!(state(&table), InstanceState::Ready);
}

/// Guards against another writer's report that arrives first, at a VM that has just started, and
/// against one that arrives before the VM has a configuration.
#[test]
fn report_named_after_unnamed() {
    let now = Instant::now();
    for born in [1, 9] {
        let mut started = InstanceTable::default();
        started.set_named_services(services(&["lists"]));
        started.report(record_of("nowhere", born, 1_000, InstanceState::Draining), now);
        let mut unconfigured = InstanceTable::default();
        unconfigured.report(record(1, 4, InstanceState::Ready), now);
        unconfigured.report(record_of("nowhere", born, 1_000, InstanceState::Draining), now);
        unconfigured.set_named_services(services(&["lists"]));
        for mut table in [started, unconfigured] {
            let own = table.report(record(1, 5, InstanceState::Ready), now);
            assert_eq!(own, ReportResult::Changed);
            assert_eq!((service(&table), state(&table)), ("lists", InstanceState::Ready));
            let odd = record_of("nowhere", born, 1_001, InstanceState::Ready);
            assert_eq!(table.report(odd, now), ReportResult::Held);
        }
    }
}

/// Guards against a release that has no effect: it changes the service and the address of a target, with
/// or without a new process.
#[test]
fn report_release_changes_service() {
    let now = Instant::now();
    for (born, sequence) in [(1, 5), (2, 0)] {
        let mut table = InstanceTable::default();
        table.set_named_services(services(&["lists", "plans"]));
        table.report(record(1, 4, InstanceState::Ready), now);
        let released = record_of("plans", born, sequence, InstanceState::Ready);
        let released = InstanceRecord { address: "10.0.0.8:80".into(), ..released };
        assert_eq!(table.report(released, now), ReportResult::Changed);
        assert_eq!(service(&table), "plans");
        assert_eq!(table.report(record(1, 4, InstanceState::Ready), now), ReportResult::Outdated);
    }
}

/// Guards against a target that stays out of use, or in its earlier service, because it reported its
/// service before the configuration named it.
#[test]
fn set_named_services_releases_held_report() {
    let start = Instant::now();
    let mut table = InstanceTable::default();
    table.set_named_services(services(&["lists"]));
    table.report(record(1, 4, InstanceState::Ready), start);
    let cold = record_of("plans", 2, 0, InstanceState::Ready);
    let cold = InstanceRecord { cold_ms: 3_000, ..cold };
    assert_eq!(table.report(cold, start), ReportResult::Held);
    let version = table.version();
    table.set_named_services(services(&["lists", "plans"]));
    assert_eq!(service(&table), "plans");
    assert!(table.version() > version, "other VMs and the index of targets need the change");
    let warm_at = table.get(&id()).expect("known").warm_at;
    assert_eq!(warm_at, start + Duration::from_secs(3));
    let late = table.report(record(1, 9, InstanceState::Ready), start);
    assert_eq!(late, ReportResult::Outdated, "a late report of the process before");
}

/// Guards against a held report that brings back a target that has left meanwhile.
#[test]
fn set_named_services_after_departure() {
    let now = Instant::now();
    let mut table = InstanceTable::default();
    table.set_named_services(services(&["lists"]));
    table.report(record(1, 4, InstanceState::Ready), now);
    table.report(record_of("plans", 2, 0, InstanceState::Ready), now);
    table.record_deregistration(&id(), Some(2), NOW_UNIX_MS, now).expect("room");
    table.set_named_services(services(&["lists", "plans"]));
    assert_eq!(state(&table), InstanceState::Gone);
}

/// Guards against a target that is taken for one of a removed service for good, and against one whose
/// reports do not count because its service was removed.
#[test]
fn report_after_service_removed() {
    let start = Instant::now();
    let mut table = InstanceTable::default();
    table.set_named_services(services(&["lists"]));
    table.report(record(1, 4, InstanceState::Ready), start);
    table.set_named_services(services(&["plans"]));
    assert_eq!(table.report(record(1, 5, InstanceState::Ready), start), ReportResult::Renewed);
    let leaving = table.report(record(1, 6, InstanceState::Draining), start);
    assert_eq!(leaving, ReportResult::Changed);
    // A report of an earlier service that arrives late does not bring the target back.
    let late = table.report(record_of("plans", 1, 3, InstanceState::Ready), start);
    assert_eq!(late, ReportResult::Outdated);
    assert_eq!(state(&table), InstanceState::Draining);
}

/// Guards against a target that counts as running because another writer's reports are held, and
/// against a target that never leaves its earlier service although it reports another one.
#[test]
fn report_held_is_no_sign_of_life() {
    let start = Instant::now();
    let mut table = InstanceTable::default();
    table.set_named_services(services(&["lists"]));
    table.report(record(1, 4, InstanceState::Ready), start);
    let later = start + ENDED_RETENTION;
    let unnamed = record_of("plans", 1, 5, InstanceState::Ready);
    assert_eq!(table.report(unnamed.clone(), later), ReportResult::Held);
    assert_eq!(table.silent(Duration::from_millis(1_500), later).count(), 1);
    table.expire(later);
    assert_eq!(table.report(unnamed, later), ReportResult::Changed);
    assert_eq!(service(&table), "plans");
}
