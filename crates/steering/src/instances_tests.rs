//! Tests of the instance table: requests must not be sent to targets that have left, and late
//! reports must not bring back instances that have ended.

use super::*;

fn record(born: u64, sequence: u64, state: InstanceState) -> InstanceRecord {
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

#[test]
fn report_after_mark_gone_ignored() {
    let now = Instant::now();
    let mut table = InstanceTable::default();
    table.report(record(1, 4, InstanceState::Ready), now);
    table.mark_gone(&"i-1".parse().expect("valid id"), None, now);
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
    assert!(table.mark_gone(&"i-1".parse().expect("valid id"), Some(1), now).is_none());
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

#[test]
fn latest_start_times_reused_address() {
    let now = Instant::now();
    let mut table = InstanceTable::default();
    table.report(record(5, 0, InstanceState::Ready), now);
    // A heartbeat of the target that had the address before was delayed by a partition.
    let earlier = InstanceRecord {
        instance: "i-2".parse().expect("valid id"),
        ..record(1, 9, InstanceState::Ready)
    };
    table.report(earlier, now);
    assert_eq!(table.latest_start_times().into_values().collect::<Vec<_>>(), [5]);
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
