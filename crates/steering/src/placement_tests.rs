//! Guards against objects that wander between targets, and against queues at full targets while
//! other targets have free slots.

use super::*;

fn candidate(number: u64, distance: Distance, load: f64) -> Candidate {
    let instance: TargetId = format!("i-{number}").parse().expect("valid id");
    let hash = rendezvous::id_hash(instance.as_str());
    Candidate { instance, hash, distance, slots: SlotCount(4), load, is_avoided: false }
}

fn near(count: u64, load: f64) -> Vec<Candidate> {
    (0..count).map(|number| candidate(number, Distance::DataCentre, load)).collect()
}

fn chosen(placement: Placement) -> usize {
    match placement {
        Placement::Send { index, .. } => index,
        other => panic!("expected a target, found {other:?}"),
    }
}

#[test]
fn place_object_stays() {
    let mut candidates = near(6, 0.0);
    let object = rendezvous::id_hash("object-17");
    let home = chosen(place(Some(object), &candidates));
    // Load on other targets does not move the object, and neither does some load on its own.
    for (index, candidate) in candidates.iter_mut().enumerate() {
        candidate.load = if index == home { 3.0 } else { 1.0 };
    }
    assert_eq!(chosen(place(Some(object), &candidates)), home);
}

#[test]
fn place_target_lost_moves_only_its_objects() {
    let candidates = near(6, 0.0);
    let without_last = &candidates[..5];
    for number in 0..200 {
        let object = rendezvous::id_hash(&format!("object-{number}"));
        let before = chosen(place(Some(object), &candidates));
        if before != 5 {
            assert_eq!(chosen(place(Some(object), without_last)), before);
        }
    }
}

#[test]
fn place_object_full_goes_to_next_in_order() {
    let mut candidates = near(6, 0.0);
    let object = rendezvous::id_hash("object-17");
    let home = chosen(place(Some(object), &candidates));
    candidates[home].load = 5.0;
    let second = chosen(place(Some(object), &candidates));
    assert_ne!(second, home);
    candidates[second].load = 5.0;
    let Placement::Send { index, reason } = place(Some(object), &candidates) else {
        panic!("four targets are free");
    };
    assert!(index != home && index != second);
    assert_eq!(reason, PlacementReason::FreeSlot);
}

#[test]
fn place_data_centre_full_uses_next_distance() {
    let mut candidates = near(2, 8.0);
    candidates.push(candidate(7, Distance::Remote, 0.0));
    candidates.push(candidate(8, Distance::Region, 3.0));
    assert_eq!(chosen(place(None, &candidates)), 3);
    candidates[3].load = 4.0;
    assert_eq!(chosen(place(None, &candidates)), 2);
}

#[test]
fn place_all_full_refuses() {
    assert_eq!(place(None, &near(3, 6.0)), Placement::Full);
    assert_eq!(place(None, &[]), Placement::NoTarget);
}

#[test]
fn place_avoided_only_as_last_resort() {
    let mut candidates = near(2, 0.0);
    candidates[0].is_avoided = true;
    assert_eq!(chosen(place(None, &candidates)), 1);
    candidates[1].load = 7.0;
    let expected = Placement::Send { index: 0, reason: PlacementReason::LastResort };
    assert_eq!(place(None, &candidates), expected);
}

#[test]
fn observed_counts_others_until_report_is_old() {
    let now = Instant::now();
    let mut observed = Observed { in_flight: 2, ..Observed::default() };
    observed.report(ReportedLoad { running: 4, waiting: 1 }, now);
    assert_eq!(observed.load(now), 5.0);
    observed.in_flight = 3;
    assert_eq!(observed.load(now), 6.0);
    assert_eq!(observed.load(now + REPORT_AGE_MAX), 3.0);
}

#[test]
fn observed_failures_avoid_longer_each_time() {
    let now = Instant::now();
    let mut observed = Observed::default();
    observed.end(AttemptEnd::Failed, now);
    assert!(observed.is_avoided(now) && !observed.is_avoided(now + AVOID_FIRST));
    observed.end(AttemptEnd::Failed, now);
    assert!(observed.is_avoided(now + AVOID_FIRST));
    observed.end(AttemptEnd::Answered, now);
    assert!(!observed.is_avoided(now));
}

#[test]
fn observed_partial_failures_avoided() {
    // A target that fails part of its requests while its health check passes.
    let now = Instant::now();
    let mut observed = Observed::default();
    for _ in 0..20 {
        observed.end(AttemptEnd::Rejected, now);
        observed.end(AttemptEnd::Answered, now);
    }
    assert!(observed.is_avoided(now));
}

#[test]
fn cold_pace_fleet_within_rate() {
    // Seven VMs that all have work for one cold target.
    let start = Instant::now();
    let target: TargetId = "i-1".parse().expect("valid id");
    let mut vms = vec![ColdPace::default(); 7];
    let mut sent = Vec::new();
    for step in 0..4_000_u64 {
        let now = start + Duration::from_millis(step);
        sent.extend(vms.iter_mut().filter_map(|vm| vm.take(&target, 4.8, 7, now).then_some(step)));
    }
    for window in 0..3_000 {
        let within = sent.iter().filter(|at| (window..window + 1_000).contains(*at)).count();
        assert!(within as f64 <= 4.8 * 1.5 + 5.0, "{within} requests in a second");
    }
}
