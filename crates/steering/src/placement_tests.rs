//! Tests of placement: objects must keep their targets, and requests must not be queued at full
//! targets while other targets have free slots.

use std::time::Instant;

use super::shares::SETTLING_TIME;
use super::stats::{INITIAL_AVOID_TIME, MAX_KNOWN_OBJECTS, MAX_REPORT_AGE};
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

fn local_candidates(count: u64, load: f64) -> Vec<Candidate> {
    (0..count).map(|number| candidate(number, Distance::DataCentre, load)).collect()
}

fn object(number: u64) -> u64 {
    rendezvous::id_hash(&format!("object-{number}"))
}

/// Returns average processing times of 80 ms for known and 280 ms for unknown objects.
fn times() -> ProcessingTimes {
    let mut times = ProcessingTimes::initial_estimate(LATENCY);
    for _ in 0..500 {
        times.observe(Duration::from_millis(280), false);
        times.observe(Duration::from_millis(80), true);
    }
    times
}

fn request(object: Option<u64>) -> PlacementRequest {
    PlacementRequest { object, target_latency: LATENCY, remaining: Duration::from_millis(1_500) }
}

fn place_with_even_shares(object: Option<u64>, candidates: &[Candidate]) -> Placement {
    let shares = ObjectShares::even(candidates, Locality::DataCentre, 1, Instant::now());
    place(&request(object), candidates, &times(), &shares)
}

fn chosen_index(placement: Placement) -> usize {
    match placement {
        Placement::Send { index, .. } => index,
        other => panic!("expected a target, found {other:?}"),
    }
}

#[test]
fn place_object_stays() {
    let mut candidates = local_candidates(6, 0.0);
    let primary = chosen_index(place_with_even_shares(Some(object(17)), &candidates));
    // The object stays when other targets have load, and when its own target has some.
    for (index, candidate) in candidates.iter_mut().enumerate() {
        candidate.load = if index == primary { 3.0 } else { 1.0 };
    }
    assert_eq!(chosen_index(place_with_even_shares(Some(object(17)), &candidates)), primary);
}

#[test]
fn place_target_lost_moves_only_its_objects() {
    let candidates = local_candidates(6, 0.0);
    for number in 0..200 {
        let before = chosen_index(place_with_even_shares(Some(object(number)), &candidates));
        if before != 5 {
            assert_eq!(
                chosen_index(place_with_even_shares(Some(object(number)), &candidates[..5])),
                before
            );
        }
    }
}

#[test]
fn place_known_object_waits_at_primary_target() {
    // All slots of the primary target are in use. A known object takes 80 ms there and 280 ms at
    // any other target, where it would also evict another object.
    let mut candidates = local_candidates(6, 0.0);
    let primary = chosen_index(place_with_even_shares(Some(object(17)), &candidates));
    candidates[primary].load = 6.0;
    let expected = Placement::Wait { index: primary };
    assert_eq!(place_with_even_shares(Some(object(17)), &candidates), expected);
    candidates[primary].knows_object = true;
    assert_eq!(chosen_index(place_with_even_shares(Some(object(17)), &candidates)), primary);
}

#[test]
fn place_unknown_object_processed_once() {
    // Several requests for one unknown object arrive together, as after the start of a target. Only
    // the first one takes the time of an unknown object.
    let mut candidates = local_candidates(6, 0.0);
    let primary = chosen_index(place_with_even_shares(Some(object(17)), &candidates));
    candidates[primary].first_request_pending = true;
    let expected = Placement::Wait { index: primary };
    assert_eq!(place_with_even_shares(Some(object(17)), &candidates), expected);
}

#[test]
fn place_overload_keeps_primary_targets() {
    // A burst on cold targets: requests for unknown objects exceed the slots. If the objects spread
    // over all targets, every target would keep receiving unknown ones.
    let mut candidates = local_candidates(6, 0.0);
    let primary = chosen_index(place_with_even_shares(Some(object(17)), &candidates));
    candidates[primary].load = 8.0;
    let expected = Placement::Wait { index: primary };
    assert_eq!(place_with_even_shares(Some(object(17)), &candidates), expected);
    // Only requests that can be served in time are queued; others are refused immediately.
    candidates[primary].waiting = 14;
    let second = chosen_index(place_with_even_shares(Some(object(17)), &candidates));
    candidates[second].load = 3.0;
    assert_eq!(place_with_even_shares(Some(object(17)), &candidates), Placement::Full);
}

#[test]
fn place_full_data_centre_uses_remote_target() {
    let mut candidates = local_candidates(1, 0.0);
    candidates.extend((7..10).map(|number| candidate(number, Distance::Remote, 0.0)));
    let here = (0..100)
        .map(object)
        .find(|object| chosen_index(place_with_even_shares(Some(*object), &candidates)) == 0);
    candidates[0].load = 8.0;
    candidates[0].waiting = 14;
    let Placement::Send { index, reason } = place_with_even_shares(here, &candidates) else {
        panic!("three targets are free");
    };
    assert!(index > 0 && reason == PlacementReason::Room);
    candidates[1..].iter_mut().for_each(|candidate| candidate.load = 3.0);
    assert_eq!(place_with_even_shares(here, &candidates), Placement::Full);
}

#[test]
fn place_deadline_too_short_refused() {
    // All slots are in use, and the caller's deadline is before the expected response.
    let candidates = local_candidates(2, 4.0);
    let late =
        PlacementRequest { remaining: Duration::from_millis(300), ..request(Some(object(17))) };
    let shares = ObjectShares::even(&candidates, Locality::DataCentre, 1, Instant::now());
    assert_eq!(place(&late, &candidates, &times(), &shares), Placement::Full);
}

#[test]
fn place_small_data_centre_gets_part_of_objects() {
    // One local target and ten remote ones, with equal demand in three data centres. A single
    // target that received all objects would evict each of them before its next request.
    let mut candidates = local_candidates(1, 0.0);
    candidates.extend((1..11).map(|number| candidate(number, Distance::Remote, 0.0)));
    let shares = ObjectShares::even(&candidates, Locality::DataCentre, 3, Instant::now());
    let here = (0..1_000).filter(|number| {
        chosen_index(place(&request(Some(object(*number))), &candidates, &times(), &shares)) == 0
    });
    let here = here.count();
    assert!((300..520).contains(&here), "{here} of 1000 objects");
}

#[test]
fn object_shares_adjusted_in_small_steps() {
    let start = Instant::now();
    let mut candidates = local_candidates(2, 8.0);
    candidates.push(candidate(7, Distance::Remote, 0.0));
    let mut shares = ObjectShares::even(&candidates, Locality::DataCentre, 1, start);
    let at = |interval: u32| start + SHARE_INTERVAL * interval;
    let first = shares.of(Distance::DataCentre);
    for interval in 1..=4 {
        shares.adjust(&candidates, 3, at(interval));
    }
    let fallen = shares.of(Distance::DataCentre);
    // At most 15% of a region's requests may move within two seconds, which are two windows of four
    // steps.
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
    let mut candidates = local_candidates(2, 4.0);
    candidates.push(candidate(7, Distance::Remote, 0.0));
    candidates.push(candidate(8, Distance::Region, 3.0));
    assert_eq!(chosen_index(place_with_even_shares(None, &candidates)), 3);
    candidates[3].load = 4.0;
    assert_eq!(chosen_index(place_with_even_shares(None, &candidates)), 2);
    candidates[2].load = 4.0;
    assert_eq!(place_with_even_shares(None, &candidates), Placement::Full);
    assert_eq!(place_with_even_shares(None, &[]), Placement::NoTarget);
}

#[test]
fn place_avoided_only_as_last_resort() {
    let mut candidates = local_candidates(2, 0.0);
    candidates[0].is_avoided = true;
    assert_eq!(chosen_index(place_with_even_shares(None, &candidates)), 1);
    candidates[1].is_avoided = true;
    candidates[1].load = 1.0;
    let expected = Placement::Send { index: 0, reason: PlacementReason::LastResort };
    assert_eq!(place_with_even_shares(None, &candidates), expected);
}

#[test]
fn place_free_slot_despite_estimate() {
    // The initial estimate for a route with a long target latency exceeds the remaining time.
    let candidates = local_candidates(2, 0.0);
    let estimate = ProcessingTimes::initial_estimate(Duration::from_secs(5));
    let shares = ObjectShares::even(&candidates, Locality::DataCentre, 1, Instant::now());
    assert!(matches!(
        place(&request(Some(object(17))), &candidates, &estimate, &shares),
        Placement::Send { .. }
    ));
}

#[test]
fn processing_times_first_observation_replaces_estimate() {
    let mut times = ProcessingTimes::initial_estimate(Duration::from_secs(5));
    times.observe(Duration::from_millis(90), true);
    assert_eq!(times.expected(true), Duration::from_millis(90));
}

#[test]
fn target_stats_first_request_for_object() {
    let mut stats = TargetStats::default();
    assert!(stats.begin_first_request(7) && stats.is_first_request_pending(7));
    stats.record_object(7);
    stats.end_first_request(7);
    assert!(!stats.is_first_request_pending(7) && !stats.begin_first_request(7));
}

#[test]
fn target_stats_knows_latest_objects() {
    let mut stats = TargetStats::default();
    (0..MAX_KNOWN_OBJECTS as u64).for_each(|object| stats.record_object(object));
    stats.record_object(0);
    stats.record_object(1_000);
    assert!(stats.knows(0) && stats.knows(1_000) && !stats.knows(1));
}

#[test]
fn target_stats_counts_other_vms_until_report_is_old() {
    let now = Instant::now();
    let mut stats = TargetStats::default();
    stats.in_flight = 2;
    stats.report(ReportedLoad { running: 4, waiting: 1 }, now);
    assert_eq!(stats.load(now), 5.0);
    stats.in_flight = 3;
    assert_eq!(stats.load(now), 6.0);
    assert_eq!(stats.load(now + MAX_REPORT_AGE), 3.0);
}

#[test]
fn target_stats_failures_double_avoid_time() {
    let now = Instant::now();
    let mut stats = TargetStats::default();
    stats.record_attempt_end(AttemptEnd::Failed, now);
    assert!(stats.is_avoided(now) && !stats.is_avoided(now + INITIAL_AVOID_TIME));
    stats.record_attempt_end(AttemptEnd::Failed, now);
    assert!(stats.is_avoided(now + INITIAL_AVOID_TIME));
    stats.record_attempt_end(AttemptEnd::Answered, now);
    assert!(!stats.is_avoided(now));
}

#[test]
fn place_partial_failures_prefer_healthy_target() {
    // A target fails some of its requests while its health check passes. Its objects move to their
    // second target once that one knows them; if all targets fail alike, they stay.
    let mut candidates = local_candidates(6, 0.0);
    let primary = chosen_index(place_with_even_shares(Some(object(17)), &candidates));
    let failing = |share: f64| {
        let now = Instant::now();
        let mut stats = TargetStats::default();
        for number in 0..100 {
            let fails = f64::from(number % 10) < share * 10.0;
            stats.record_attempt_end(
                if fails { AttemptEnd::Rejected } else { AttemptEnd::Answered },
                now,
            );
        }
        stats.failure_share()
    };
    candidates.iter_mut().for_each(|candidate| candidate.knows_object = true);
    candidates[primary].failure_share = failing(0.5);
    assert_ne!(chosen_index(place_with_even_shares(Some(object(17)), &candidates)), primary);
    candidates.iter_mut().for_each(|candidate| candidate.failure_share = failing(0.5));
    assert_eq!(chosen_index(place_with_even_shares(Some(object(17)), &candidates)), primary);
}

#[test]
fn place_overload_does_not_spread_unknown_objects() {
    // Some targets are lost and the remaining ones are busy; one of the object's targets further
    // away appears to have capacity.
    let mut candidates = local_candidates(4, 4.0);
    candidates.iter_mut().for_each(|candidate| candidate.waiting = 14);
    candidates.push(candidate(7, Distance::Remote, 1.0));
    assert_eq!(place_with_even_shares(Some(object(17)), &candidates), Placement::Full);
}

#[test]
fn cold_rate_limiter_all_vms_within_rate() {
    // Seven VMs all have requests for the same cold target.
    let start = Instant::now();
    let target: TargetId = "i-1".parse().expect("valid id");
    let mut vms = vec![ColdRateLimiter::default(); 7];
    let mut sent = Vec::new();
    for step in 0..4_000_u64 {
        let now = start + Duration::from_millis(step);
        sent.extend(
            vms.iter_mut().filter_map(|vm| vm.try_acquire(&target, 4.8, 7, now).then_some(step)),
        );
    }
    for window in 0..3_000 {
        let within = sent.iter().filter(|at| (window..window + 1_000).contains(*at)).count();
        assert!(within as f64 <= 4.8 * 1.5 + 5.0, "{within} requests in a second");
    }
}

/// Guards against a region that keeps all objects because its own targets became known first. This
/// happened after a complete power loss, when all entry VMs restarted while their targets announced
/// themselves one by one.
#[test]
fn object_shares_recalculated_while_targets_become_known() {
    let start = Instant::now();
    let mut candidates = local_candidates(4, 0.0);
    let mut shares = ObjectShares::even(&candidates, Locality::Region, 3, start);
    assert_eq!(shares.of(Distance::DataCentre), 1.0);
    candidates.extend((10..46).map(|number| candidate(number, Distance::Remote, 0.0)));
    shares.adjust(&candidates, 3, start + SHARE_INTERVAL);
    assert!(shares.of(Distance::DataCentre) < 0.5, "{shares}");
    // After the settling time, more targets change the shares only in small steps.
    let before = shares.of(Distance::DataCentre);
    candidates.extend((50..90).map(|number| candidate(number, Distance::Remote, 0.0)));
    shares.adjust(&candidates, 3, start + SETTLING_TIME + SHARE_INTERVAL);
    assert!((shares.of(Distance::DataCentre) - before).abs() < 0.04, "{shares}");
}

/// Guards against a region with a tenth of the targets that begins with more objects than it can
/// handle while they are unknown: its share fell by a fifth of its requests within two seconds.
#[test]
fn object_shares_small_region_begins_low() {
    let mut candidates = local_candidates(10, 0.0);
    candidates.extend((10..100).map(|number| candidate(number, Distance::Remote, 0.0)));
    let shares = ObjectShares::even(&candidates, Locality::Region, 3, Instant::now());
    assert!(shares.of(Distance::DataCentre) <= 0.3, "{shares}");
    // A region with an even part of the targets keeps all of its objects.
    candidates.truncate(30);
    let shares = ObjectShares::even(&candidates, Locality::Region, 3, Instant::now());
    assert_eq!(shares.of(Distance::DataCentre), 1.0);
}
