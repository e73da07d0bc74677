//! Tests of targets: a wrong selection sends requests to a target that is leaving, is failing or
//! has no capacity.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use super::health::{BASE_EJECTION_TIME, MAX_EJECTION_TIME};
use super::*;

fn config_with_seed(seed: u64) -> ProptestConfig {
    let rng_seed = RngSeed::Fixed(seed);
    ProptestConfig { cases: 300, rng_seed, failure_persistence: None, ..Default::default() }
}

fn service() -> ServiceId {
    "holddesk".parse().unwrap()
}

fn announcement(target: u32, incarnation: u64, location: (&str, &str), slots: u32) -> Announcement {
    Announcement {
        address: "127.0.0.1:1".into(),
        connections: 300,
        data_centre: location.1.parse().unwrap(),
        incarnation: Incarnation(incarnation),
        region: location.0.parse().unwrap(),
        service: service(),
        slots: SlotCount(slots),
        target: id(target),
    }
}

fn id(target: u32) -> TargetId {
    format!("t{target}").parse().unwrap()
}

fn departure(target: u32, incarnation: u64) -> Departure {
    Departure { incarnation: Incarnation(incarnation), service: service(), target: id(target) }
}

fn own_location() -> Location {
    Location { region: "r1".parse().unwrap(), data_centre: "r1a".parse().unwrap() }
}

fn table(targets: u32, location: (&str, &str), now: Instant) -> TargetTable {
    let mut table = TargetTable::new();
    for target in 0..targets {
        table.announce(&announcement(target, 1, location, 3), now);
    }
    table
}

fn merge_all(table: &mut TargetTable, records: &[TargetRecord], now: Instant) {
    for record in records {
        table.merge(record, now);
    }
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

proptest! {
    #![proptest_config(config_with_seed(41))]

    /// Guards against an old record that brings back a target which departed or was replaced.
    #[test]
    fn merge_keeps_departure(
        steps in prop::collection::vec((0..5_u8, 1..5_u64, 0..2_usize, 0..3_000_u64), 1..60),
    ) {
        let start = Instant::now() + Duration::from_secs(100);
        let mut now = start;
        let mut tables = [TargetTable::new(), TargetTable::new()];
        let mut departed = [(0_u64, start); 2];
        let mut highest = [0_u64; 2];
        for (step, incarnation, at, wait_ms) in steps {
            now += ms(wait_ms);
            let other = tables[1 - at].records(now);
            match step {
                0 => _ = tables[at].announce(&announcement(0, incarnation, ("r1", "r1a"), 3), now),
                1 => {
                    let accepted = tables[at].depart(&departure(0, incarnation), now);
                    if !matches!(accepted, RecordUpdate::Refused(_))
                        && incarnation > departed[at].0
                    {
                        departed[at] = (incarnation, now);
                    }
                }
                2 => drop(tables[at].expire(now)),
                _ => merge_all(&mut tables[at], &other, now),
            }
            let Some(known) = tables[at].get(&service(), &id(0)) else { highest[at] = 0; continue };
            prop_assert!(known.incarnation.get() >= highest[at]);
            highest[at] = known.incarnation.get();
            let remembered = now.saturating_duration_since(departed[at].1) < TOMBSTONE_TTL;
            if known.incarnation.get() <= departed[at].0 && remembered {
                prop_assert!(!known.is_usable(now), "departed {}", departed[at].0);
            }
        }
    }

    /// Guards against a target without announcements whose record two daemons keep renewing by
    /// relaying it to each other.
    #[test]
    fn merge_relay_loop_expires(delays in prop::collection::vec(0..50_u64, 400)) {
        let start = Instant::now() + Duration::from_secs(100);
        let mut tables = [table(1, ("r1", "r1a"), start), TargetTable::new()];
        let mut now = start;
        for (at, delay) in (0..).zip(delays) {
            let records = tables[at % 2].records(now);
            now += ms(delay);
            merge_all(&mut tables[1 - at % 2], &records, now);
        }
        let live = |at: usize| tables[at].iter().any(|(_, target)| target.is_live(start + LEASE));
        prop_assert!(!live(0) && !live(1));
    }

    /// Guards against selecting a target without capacity, a target that must not be used, or a
    /// more distant or more loaded target than necessary.
    #[test]
    fn choose_best_with_capacity(
        uses in prop::collection::vec((0..3_usize, 1..5_u32, 0..6_u32, 0..4_u32, 0..8_u8), 0..12),
        draw in any::<u64>(),
    ) {
        let start = Instant::now();
        let now = start + ms(4_000);
        let mut table = TargetTable::new();
        let locations = [("r1", "r1a"), ("r1", "r1b"), ("r2", "r2a")];
        for (at, (location, slots, _, _, state)) in (0..).zip(&uses) {
            let seen = if *state == 0 { start - LEASE } else { start };
            table.announce(&announcement(at, 1, locations[*location], *slots), seen);
            if *state == 1 {
                table.depart(&departure(at, 1), now);
            }
        }
        // All targets are past the slow start.
        let targets: Vec<Target> = table
            .of_service(&service())
            .iter()
            .map(|target| Target { known_since: start - Duration::from_secs(60), ..target.clone() })
            .collect();
        let usage = |target: &Target| {
            let at: usize = target.target.as_str()[1..].parse().ok()?;
            let (_, _, running, free, state) = uses[at];
            (state != 2).then_some(TargetUsage {
                running: SlotCount(running),
                free: SlotCount(free),
                connections: if state == 3 { 300 } else { 0 },
            })
        };
        let load = |at: usize| f64::from(uses[at].2 + 1) / f64::from(uses[at].1);
        let usable: Vec<usize> = (0..uses.len()).filter(|at| uses[*at].4 > 2).collect();
        let best = usable
            .iter()
            .filter(|at| uses[**at].3 > 0 && uses[**at].4 > 3)
            .map(|at| (uses[*at].0, load(*at)))
            .min_by(|one, other| one.partial_cmp(other).unwrap());
        match choose(&targets, &own_location(), usage, draw, now) {
            Choice::Use(selected) => {
                let at: usize = selected.target.as_str()[1..].parse().unwrap();
                prop_assert_eq!(Some((uses[at].0, load(at))), best);
                prop_assert_eq!(selected.distance as usize, uses[at].0);
            }
            Choice::Wait => prop_assert!(best.is_none() && !usable.is_empty()),
            Choice::NoTarget => prop_assert!(usable.is_empty()),
        }
    }

    /// Guards against ejections that leave too few targets or too little capacity in a region.
    #[test]
    fn observe_within_caps(
        slots in prop::collection::vec((0..2_usize, 1..6_u32), 1..14),
        steps in prop::collection::vec((0..14_u32, 0..4_u8, 0..30_u32, 0..900_u64), 1..300),
    ) {
        let regions = ["r1", "r2"];
        let mut now = Instant::now();
        let mut table = TargetTable::new();
        let mut departed = Vec::new();
        for (target, action, load, wait_ms) in steps {
            now += ms(wait_ms);
            for (at, (region, slots)) in (0..).zip(&slots) {
                if !departed.contains(&at) {
                    table.announce(&announcement(at, 1, (regions[*region], "dc"), *slots), now);
                }
            }
            let observation = match action {
                0 => Observation::Success,
                1 => Observation::Failure,
                _ => Observation::ConnectFailure,
            };
            let region_load = |_: &RegionId| SlotCount(load);
            let observed =
                table.observe(
                    &service(), &id(target), Incarnation(1), observation, region_load, now);
            if action == 3 && departed.len() < 3 && !departed.contains(&target) {
                table.depart(&departure(target, 1), now);
                departed.push(target);
            }
            if action == 3 {
                table.enforce_ejection_caps(|_, _| SlotCount(load), now);
            }
            // The caps are only checked for regions whose ejections this step evaluated, because
            // the load changes with every step.
            let ejected_in = match observed {
                EjectionVerdict::Ejected { .. } => Some(regions[slots[target as usize].0]),
                _ => None,
            };
            for region in regions {
                let live: Vec<&Target> = table
                    .of_service(&service())
                    .iter()
                    .filter(|target| target.region.as_str() == region && target.is_live(now))
                    .collect();
                let usable = || live.iter().filter(|target| target.is_usable(now));
                let ejected = live.len() - usable().count();
                let usable_slots: u32 = usable().map(|target| target.slots.get()).sum();
                let decided = action == 3 || ejected_in == Some(region);
                prop_assert!(!decided || ejected * 3 <= live.len(), "{ejected} of {}", live.len());
                prop_assert!(
                    !decided || ejected == 0 || usable_slots >= load,
                    "{usable_slots} for {load}"
                );
            }
        }
    }
}

/// Guards against a departure that is lost because it arrives before the target's record.
#[test]
fn depart_before_record() {
    let now = Instant::now() + Duration::from_secs(10);
    let (mut table, other) = (TargetTable::new(), table(1, ("r1", "r1a"), now));
    table.depart(&departure(0, 1), now);
    merge_all(&mut table, &other.records(now), now + ms(100));
    assert!(!table.get(&service(), &id(0)).unwrap().is_usable(now + ms(100)));
    assert!(table.own_records(now + ms(100))[0].leaving);
    let refused = RecordUpdate::Refused(ResultCode::AnnouncementRefused);
    assert_eq!(table.announce(&announcement(0, 1, ("r1", "r1a"), 3), now), refused);
    assert_eq!(table.announce(&announcement(0, 2, ("r1", "r1a"), 3), now), RecordUpdate::New);
    assert_eq!(table.announce(&announcement(0, 1, ("r1", "r1a"), 3), now), refused);
}

/// Guards against a late record of an earlier incarnation that changes, renews or ends the current
/// one.
#[test]
fn merge_earlier_incarnation() {
    let now = Instant::now() + Duration::from_secs(10);
    let (mut table, earlier) = (TargetTable::new(), table(1, ("r1", "r1a"), now));
    table.announce(&announcement(0, 2, ("r2", "r2a"), 5), now);
    let mut record = earlier.records(now).remove(0);
    for leaving in [false, true] {
        record.leaving = leaving;
        assert_eq!(table.merge(&record, now + ms(900)), RecordUpdate::Unchanged);
    }
    let known = table.get(&service(), &id(0)).unwrap();
    assert_eq!((known.slots, known.renewed_at, known.leaving), (SlotCount(5), now, false));
}

/// Guards against targets that a VM without a listener for announcements takes for lost, and against
/// ones that it uses although they have departed or were lost before, or that it reports as live.
#[test]
fn hold_leases_without_renewals() {
    let start = Instant::now() + Duration::from_secs(10);
    let mut table = table(2, ("r1", "r1a"), start);
    let now = start + LEASE;
    table.announce(&announcement(2, 1, ("r1", "r1a"), 3), now);
    table.announce(&announcement(3, 1, ("r1", "r1a"), 3), now);
    table.hold_leases(now);
    table.depart(&departure(3, 1), now);
    for after in [LEASE, TOMBSTONE_TTL] {
        let later = now + after;
        table.expire(later);
        let live = |target| table.get(&service(), &id(target)).is_some_and(|t| t.is_live(later));
        assert_eq!([0, 1, 2, 3].map(live), [false, false, true, false], "after {after:?}");
        assert!(table.records(later).iter().all(|record| record.leaving));
    }
    assert!(table.get(&service(), &id(3)).is_none(), "the departure is kept");
}

/// Guards against a held lease that outlives the process of its target.
#[test]
fn hold_leases_new_incarnation() {
    let now = Instant::now() + Duration::from_secs(10);
    let mut holder = table(1, ("r1", "r1a"), now);
    holder.hold_leases(now);
    let mut other = TargetTable::new();
    other.announce(&announcement(0, 2, ("r1", "r1a"), 3), now + ms(100));
    merge_all(&mut holder, &other.records(now + ms(100)), now + ms(100));
    let is_live = |at| holder.get(&service(), &id(0)).is_some_and(|known| known.is_live(at));
    assert!(is_live(now + ms(200)));
    assert!(!is_live(now + ms(100) + LEASE));
}

/// Guards against a cold target that gets its full share at once, or none.
#[test]
fn choose_slow_start_share() {
    let start = Instant::now();
    let mut table = table(3, ("r1", "r1a"), start - Duration::from_secs(60));
    for target in 0..3 {
        table.announce(&announcement(target, 1, ("r1", "r1a"), 3), start);
    }
    table.announce(&announcement(9, 1, ("r1", "r1a"), 3), start);
    let idle = TargetUsage { free: SlotCount(3), ..TargetUsage::default() };
    let share = |after: u64| {
        let now = start + Duration::from_secs(after);
        let targets: Vec<Target> = table
            .of_service(&service())
            .iter()
            .map(|target| Target { renewed_at: now, ..target.clone() })
            .collect();
        let cold = (0..20_000_u64).filter(|draw| {
            let draw = crate::lookup::rendezvous::mix(*draw, 1);
            let choice = choose(&targets, &own_location(), |_| Some(idle), draw, now);
            matches!(choice, Choice::Use(selected) if selected.target == id(9))
        });
        cold.count() as f64 / 20_000.0
    };
    // With four equal targets, one with weight w is eligible for a share w of the requests and is
    // selected for a quarter of them.
    for (after, expected) in [(0, 0.1), (10, 0.4), (30, 1.0), (60, 1.0)] {
        let measured = share(after) * 4.0;
        assert!((measured - expected).abs() < 0.15 * expected + 0.02, "{after} s: {measured}");
    }
}

/// Guards against ejection because of an old incarnation's failures, and against ejections that
/// never end or do not get longer.
#[test]
fn observe_ejection_doubles() {
    let mut now = Instant::now();
    let mut table = table(3, ("r1", "r1a"), now);
    let observe_connect_failure = |table: &mut TargetTable, incarnation, now| {
        let observation = Observation::ConnectFailure;
        let incarnation = Incarnation(incarnation);
        table.observe(&service(), &id(0), incarnation, observation, |_| SlotCount(0), now)
    };
    assert_eq!(observe_connect_failure(&mut table, 0, now), EjectionVerdict::Ignored);
    for round in 0..7_u32 {
        for target in 0..3 {
            table.announce(&announcement(target, 1, ("r1", "r1a"), 3), now);
        }
        assert!(
            (0..4).all(|_| observe_connect_failure(&mut table, 1, now) == EjectionVerdict::Kept)
        );
        let until = now + (BASE_EJECTION_TIME * (1 << round)).min(MAX_EJECTION_TIME);
        assert_eq!(observe_connect_failure(&mut table, 1, now), EjectionVerdict::Ejected { until });
        assert!(!table.get(&service(), &id(0)).unwrap().is_usable(now));
        now = until;
    }
    assert_eq!(table.announce(&announcement(0, 2, ("r1", "r1a"), 3), now), RecordUpdate::New);
    assert!(table.get(&service(), &id(0)).unwrap().is_usable(now));
}

/// Guards against ejection because of too few requests, exactly half of the requests, or old ones.
#[test]
fn observe_failure_rate() {
    let start = Instant::now();
    let is_ejected = |failures: u32, successes: u32, pause: Duration| {
        let mut table = table(3, ("r1", "r1a"), start);
        let observe = |table: &mut TargetTable, observation, now| {
            table.observe(&service(), &id(0), Incarnation(1), observation, |_| SlotCount(0), now)
        };
        for _ in 0..successes {
            observe(&mut table, Observation::Success, start);
        }
        let last = (0..failures).map(|_| observe(&mut table, Observation::Failure, start)).last();
        for target in 0..3 {
            table.announce(&announcement(target, 1, ("r1", "r1a"), 3), start + pause);
        }
        let later = observe(&mut table, Observation::Failure, start + pause);
        [last, Some(later)]
            .into_iter()
            .any(|seen| matches!(seen, Some(EjectionVerdict::Ejected { .. })))
    };
    assert!(!is_ejected(8, 0, ms(0)));
    assert!(is_ejected(9, 0, ms(0)));
    assert!(!is_ejected(5, 6, ms(0)));
    assert!(is_ejected(6, 6, ms(0)));
    assert!(!is_ejected(9, 0, Duration::from_secs(30)));
}

/// Guards against an announcement at the address of another target that takes it out of use, as reports to
/// a fleet did: with a later incarnation, for another service, or of a target that leaves.
#[test]
fn announce_at_address_of_other_target() {
    let now = Instant::now();
    let mut table = table(1, ("east", "east-1"), now);
    let odd = Announcement {
        incarnation: Incarnation(1_000),
        ..announcement(0, 1, ("east", "nowhere-1"), 1)
    };
    for (target, service) in [(id(8), service()), (id(0), "other".parse().unwrap())] {
        let odd = Announcement { target: target.clone(), service: service.clone(), ..odd.clone() };
        assert_eq!(table.announce(&odd, now), RecordUpdate::New);
        let incarnation = Incarnation(2_000);
        table.depart(&Departure { service, target, incarnation }, now);
    }
    let known = table.get(&service(), &id(0)).expect("announced");
    assert_eq!(known.address, odd.address);
    assert!(known.accepts_requests(now));
}
