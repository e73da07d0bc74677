//! Guards against objects that wander between targets, and against queues at full targets while
//! other targets have free slots.

use std::time::Instant;

use super::observed::{AVOID_FIRST, KNOWN_OBJECTS, REPORT_AGE_MAX};
use super::shares::SETTLING_TIME;
use super::*;

const LATENCY: Duration = Duration::from_millis(200);

fn candidate(number: u64, distance: Distance, load: f64) -> Candidate {
    let instance: TargetId = format!("i-{number}").parse().expect("valid id");
    let hash = rendezvous::id_hash(instance.as_str());
    Candidate {
        instance,
        hash,
        distance,
        slots: SlotCount(4),
        load,
        is_avoided: false,
        knows_object: false,
        waiting: 0,
        failure_share: 0.0,
        first_request_pending: false,
    }
}

fn near(count: u64, load: f64) -> Vec<Candidate> {
    (0..count).map(|number| candidate(number, Distance::DataCentre, load)).collect()
}

fn object(number: u64) -> u64 {
    rendezvous::id_hash(&format!("object-{number}"))
}

/// Average times of 80 ms for a known and 280 ms for an unknown object.
fn times() -> ProcessingTimes {
    let mut times = ProcessingTimes::initial_estimate(LATENCY);
    for _ in 0..500 {
        times.observe(Duration::from_millis(280), false);
        times.observe(Duration::from_millis(80), true);
    }
    times
}

fn need(object: Option<u64>) -> PlacementRequest {
    PlacementRequest { object, target_latency: LATENCY, remaining: Duration::from_millis(1_500) }
}

fn placed(object: Option<u64>, candidates: &[Candidate]) -> Placement {
    let shares = ObjectShares::even(candidates, Locality::DataCentre, 1, Instant::now());
    place(&need(object), candidates, &times(), &shares)
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
    let home = chosen(placed(Some(object(17)), &candidates));
    // Load on other targets does not move the object, and neither does some load on its own.
    for (index, candidate) in candidates.iter_mut().enumerate() {
        candidate.load = if index == home { 3.0 } else { 1.0 };
    }
    assert_eq!(chosen(placed(Some(object(17)), &candidates)), home);
}

#[test]
fn place_target_lost_moves_only_its_objects() {
    let candidates = near(6, 0.0);
    for number in 0..200 {
        let before = chosen(placed(Some(object(number)), &candidates));
        if before != 5 {
            assert_eq!(chosen(placed(Some(object(number)), &candidates[..5])), before);
        }
    }
}

#[test]
fn place_known_object_waits_at_its_target() {
    // All slots of its target are taken. A known object takes 80 ms there and 280 ms anywhere else,
    // and its work elsewhere would displace another object.
    let mut candidates = near(6, 0.0);
    let home = chosen(placed(Some(object(17)), &candidates));
    candidates[home].load = 6.0;
    let waits = Placement::Wait { index: home };
    assert_eq!(placed(Some(object(17)), &candidates), waits);
    candidates[home].knows_object = true;
    assert_eq!(chosen(placed(Some(object(17)), &candidates)), home);
}

#[test]
fn place_unknown_object_met_once() {
    // Several requests for one unknown object arrive together, as after the start of a target. Only
    // the first one does the long work.
    let mut candidates = near(6, 0.0);
    let home = chosen(placed(Some(object(17)), &candidates));
    candidates[home].first_request_pending = true;
    let expected = Placement::Wait { index: home };
    assert_eq!(placed(Some(object(17)), &candidates), expected);
}

#[test]
fn place_overload_keeps_objects_at_their_targets() {
    // A burst on cold targets: the work of unknown objects exceeds the slots. Objects must not
    // spread over all targets, or each target keeps meeting unknown ones.
    let mut candidates = near(6, 0.0);
    let home = chosen(placed(Some(object(17)), &candidates));
    candidates[home].load = 8.0;
    let expected = Placement::Wait { index: home };
    assert_eq!(placed(Some(object(17)), &candidates), expected);
    // No more requests wait than can be served in time; the others are refused at once.
    candidates[home].waiting = 14;
    let second = chosen(placed(Some(object(17)), &candidates));
    candidates[second].load = 3.0;
    assert_eq!(placed(Some(object(17)), &candidates), Placement::Full);
}

#[test]
fn place_full_data_centre_uses_room_elsewhere() {
    let mut candidates = near(1, 0.0);
    candidates.extend((7..10).map(|number| candidate(number, Distance::Remote, 0.0)));
    let here = (0..100).map(object).find(|object| chosen(placed(Some(*object), &candidates)) == 0);
    candidates[0].load = 8.0;
    candidates[0].waiting = 14;
    let Placement::Send { index, reason } = placed(here, &candidates) else {
        panic!("three targets are free");
    };
    assert!(index > 0 && reason == PlacementReason::Room);
    candidates[1..].iter_mut().for_each(|candidate| candidate.load = 3.0);
    assert_eq!(placed(here, &candidates), Placement::Full);
}

#[test]
fn place_too_late_refused() {
    // All slots are taken, and the caller gives up before an answer can be expected.
    let candidates = near(2, 4.0);
    let late = PlacementRequest { remaining: Duration::from_millis(300), ..need(Some(object(17))) };
    let shares = ObjectShares::even(&candidates, Locality::DataCentre, 1, Instant::now());
    assert_eq!(place(&late, &candidates, &times(), &shares), Placement::Full);
}

#[test]
fn place_small_data_centre_gets_part_of_objects() {
    // One target here and ten elsewhere, for the demand of three equal data centres: one target
    // that met all objects would know none of them.
    let mut candidates = near(1, 0.0);
    candidates.extend((1..11).map(|number| candidate(number, Distance::Remote, 0.0)));
    let shares = ObjectShares::even(&candidates, Locality::DataCentre, 3, Instant::now());
    let here = (0..1_000).filter(|number| {
        chosen(place(&need(Some(object(*number))), &candidates, &times(), &shares)) == 0
    });
    let here = here.count();
    assert!((300..520).contains(&here), "{here} of 1000 objects");
}

#[test]
fn object_shares_follow_load_in_small_steps() {
    let start = Instant::now();
    let mut candidates = near(2, 8.0);
    candidates.push(candidate(7, Distance::Remote, 0.0));
    let mut shares = ObjectShares::even(&candidates, Locality::DataCentre, 1, start);
    let at = |interval: u32| start + SHARE_INTERVAL * interval;
    let first = shares.of(Distance::DataCentre);
    for interval in 1..=4 {
        shares.adjust(&candidates, 3, at(interval));
    }
    let fallen = shares.of(Distance::DataCentre);
    // 15% of a region's requests may move within two seconds, which are two windows of four steps.
    assert!(fallen < first && first - fallen < 0.15, "{first} to {fallen}");
    candidates.iter_mut().for_each(|candidate| candidate.load = 0.0);
    shares.adjust(&candidates, 3, at(5));
    assert!(shares.of(Distance::DataCentre) > fallen);
    let before = shares;
    shares.adjust(&candidates, 3, at(5));
    assert_eq!(shares, before);
}

#[test]
fn place_without_object_takes_nearest_free_slot() {
    let mut candidates = near(2, 4.0);
    candidates.push(candidate(7, Distance::Remote, 0.0));
    candidates.push(candidate(8, Distance::Region, 3.0));
    assert_eq!(chosen(placed(None, &candidates)), 3);
    candidates[3].load = 4.0;
    assert_eq!(chosen(placed(None, &candidates)), 2);
    candidates[2].load = 4.0;
    assert_eq!(placed(None, &candidates), Placement::Full);
    assert_eq!(placed(None, &[]), Placement::NoTarget);
}

#[test]
fn place_avoided_only_as_last_resort() {
    let mut candidates = near(2, 0.0);
    candidates[0].is_avoided = true;
    assert_eq!(chosen(placed(None, &candidates)), 1);
    candidates[1].is_avoided = true;
    candidates[1].load = 1.0;
    let expected = Placement::Send { index: 0, reason: PlacementReason::LastResort };
    assert_eq!(placed(None, &candidates), expected);
}

#[test]
fn place_free_slot_despite_guess() {
    // The first guess for a route with a long target latency exceeds what the caller has left.
    let candidates = near(2, 0.0);
    let guess = ProcessingTimes::initial_estimate(Duration::from_secs(5));
    let shares = ObjectShares::even(&candidates, Locality::DataCentre, 1, Instant::now());
    assert!(matches!(
        place(&need(Some(object(17))), &candidates, &guess, &shares),
        Placement::Send { .. }
    ));
}

#[test]
fn work_times_first_observation_replaces_guess() {
    let mut times = ProcessingTimes::initial_estimate(Duration::from_secs(5));
    times.observe(Duration::from_millis(90), true);
    assert_eq!(times.expected(true), Duration::from_millis(90));
}

#[test]
fn observed_first_request_for_object() {
    let mut observed = TargetStats::default();
    assert!(observed.begin_first_request(7) && observed.is_first_request_pending(7));
    observed.record_object(7);
    observed.end_first_request(7);
    assert!(!observed.is_first_request_pending(7) && !observed.begin_first_request(7));
}

#[test]
fn observed_knows_latest_objects() {
    let mut observed = TargetStats::default();
    (0..KNOWN_OBJECTS as u64).for_each(|object| observed.record_object(object));
    observed.record_object(0);
    observed.record_object(1_000);
    assert!(observed.knows(0) && observed.knows(1_000) && !observed.knows(1));
}

#[test]
fn observed_counts_others_until_report_is_old() {
    let now = Instant::now();
    let mut observed = TargetStats::default();
    observed.in_flight = 2;
    observed.report(ReportedLoad { running: 4, waiting: 1 }, now);
    assert_eq!(observed.load(now), 5.0);
    observed.in_flight = 3;
    assert_eq!(observed.load(now), 6.0);
    assert_eq!(observed.load(now + REPORT_AGE_MAX), 3.0);
}

#[test]
fn observed_failures_avoid_longer_each_time() {
    let now = Instant::now();
    let mut observed = TargetStats::default();
    observed.end(AttemptEnd::Failed, now);
    assert!(observed.is_avoided(now) && !observed.is_avoided(now + AVOID_FIRST));
    observed.end(AttemptEnd::Failed, now);
    assert!(observed.is_avoided(now + AVOID_FIRST));
    observed.end(AttemptEnd::Answered, now);
    assert!(!observed.is_avoided(now));
}

#[test]
fn place_partial_failures_prefer_sound_target() {
    // A target fails part of its requests while its health check passes. Its objects move to their
    // second target once that one knows them; with all targets alike, they stay.
    let mut candidates = near(6, 0.0);
    let home = chosen(placed(Some(object(17)), &candidates));
    let failing = |share: f64| {
        let now = Instant::now();
        let mut observed = TargetStats::default();
        for number in 0..100 {
            let fails = f64::from(number % 10) < share * 10.0;
            observed.end(if fails { AttemptEnd::Rejected } else { AttemptEnd::Answered }, now);
        }
        observed.failure_share()
    };
    candidates.iter_mut().for_each(|candidate| candidate.knows_object = true);
    candidates[home].failure_share = failing(0.5);
    assert_ne!(chosen(placed(Some(object(17)), &candidates)), home);
    candidates.iter_mut().for_each(|candidate| candidate.failure_share = failing(0.5));
    assert_eq!(chosen(placed(Some(object(17)), &candidates)), home);
}

#[test]
fn place_overload_does_not_spread_unknown_objects() {
    // Part of the targets is lost and the others are busy; one of an object's targets further away
    // seems to have room.
    let mut candidates = near(4, 4.0);
    candidates.iter_mut().for_each(|candidate| candidate.waiting = 14);
    candidates.push(candidate(7, Distance::Remote, 1.0));
    assert_eq!(placed(Some(object(17)), &candidates), Placement::Full);
}

#[test]
fn cold_pace_fleet_within_rate() {
    // Seven VMs that all have work for one cold target.
    let start = Instant::now();
    let target: TargetId = "i-1".parse().expect("valid id");
    let mut vms = vec![ColdRateLimiter::default(); 7];
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

/// All entry VMs restart while their targets announce themselves one by one (punchlist-ne-grown,
/// trouble-1 after the loss of all power): guards against a region that keeps all objects because
/// its own targets were known first.
#[test]
fn object_shares_set_anew_while_targets_become_known() {
    let start = Instant::now();
    let mut candidates = near(4, 0.0);
    let mut shares = ObjectShares::even(&candidates, Locality::Region, 3, start);
    assert_eq!(shares.of(Distance::DataCentre), 1.0);
    candidates.extend((10..46).map(|number| candidate(number, Distance::Remote, 0.0)));
    shares.adjust(&candidates, 3, start + SHARE_INTERVAL);
    assert!(shares.of(Distance::DataCentre) < 0.5, "{shares}");
    // Later growth moves the shares by small steps only.
    let before = shares.of(Distance::DataCentre);
    candidates.extend((50..90).map(|number| candidate(number, Distance::Remote, 0.0)));
    shares.adjust(&candidates, 3, start + SETTLING_TIME + SHARE_INTERVAL);
    assert!((shares.of(Distance::DataCentre) - before).abs() < 0.04, "{shares}");
}
