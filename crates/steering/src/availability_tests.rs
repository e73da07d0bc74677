//! Tests of targets' notices: a wrong decision sends requests to a target that leaves or wants none,
//! keeps them from a target that takes them, or sends them all at once when a pause ends.

use strum::IntoEnumIterator;

use super::*;
use crate::responses::RejectReason;

const LEAVING: Notice = Notice { is_leaving: true, pause: None };
const NOTHING: Notice = Notice { is_leaving: false, pause: None };
const SLOTS: SlotCount = SlotCount(4);

fn pause_of(pause: Duration) -> Notice {
    Notice { is_leaving: false, pause: Some(pause) }
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn life(incarnation: u64) -> TargetLife {
    TargetLife { target: "t1".parse().unwrap(), incarnation: Incarnation(incarnation) }
}

fn eligibility(
    table: &AvailabilityTable,
    incarnation: u64,
    in_flight: u32,
    now: Instant,
) -> Eligibility {
    let TargetLife { target, incarnation } = life(incarnation);
    table.eligibility(&target, incarnation, in_flight, now)
}

/// Guards against new requests to a target that has stated that it leaves, also when a later response
/// of the same life, which may have been sent earlier, does not state it.
#[test]
fn record_leaving_until_life_ends() {
    let start = Instant::now();
    let mut table = AvailabilityTable::default();
    assert_eq!(table.record(&life(1), LEAVING, start)[..], [AvailabilityChange::LeavingBegan]);
    assert!(table.record(&life(1), LEAVING, start).is_empty(), "the beginning is reported twice");
    table.record(&life(1), NOTHING, start + ms(1));
    table.record_response(&life(1), SLOTS, start + ms(1));
    for later in [ms(1), ms(2_500), Duration::from_secs(3_600)] {
        assert_eq!(eligibility(&table, 1, 0, start + later), Eligibility::Leaving);
    }
}

/// Guards against a target that is avoided, or a pause that is ignored, because of a response without
/// notices.
#[test]
fn record_nothing_no_effect() {
    let start = Instant::now();
    let mut table = AvailabilityTable::default();
    for notice in [NOTHING, pause_of(Duration::ZERO)] {
        assert!(table.record(&life(1), notice, start).is_empty());
        assert!(table.is_empty());
        assert_eq!(eligibility(&table, 1, 100, start), Eligibility::Eligible);
    }
}

/// Guards against the copy of an earlier refusal that begins its pause anew, and against the pause of a
/// refusal that names its request and is not believed for another reason.
#[test]
fn believed_in_response_of_other_request() {
    let notice = Notice { is_leaving: true, pause: Some(ms(3_000)) };
    for reason in RejectReason::iter() {
        let believed = notice.believed_in(ResponseKind::Rejected(reason));
        let expected = if reason.concerns_request_ids() { LEAVING } else { notice };
        assert_eq!(believed, expected, "{reason}");
    }
    for kind in [ResponseKind::Answer, ResponseKind::NotRun] {
        assert_eq!(notice.believed_in(kind), notice);
    }
}

/// Guards against requests within a pause, up to its last millisecond, and a pause that does not end.
#[test]
fn record_pause_begin_and_end() {
    let start = Instant::now();
    let mut table = AvailabilityTable::default();
    let until = start + ms(2_250);
    let changes = table.record(&life(1), pause_of(ms(2_250)), start);
    assert_eq!(changes[..], [AvailabilityChange::PauseBegan { until }]);
    for later in [0, 500, 2_249] {
        let paused = eligibility(&table, 1, 0, start + ms(later));
        assert_eq!(paused, Eligibility::Paused { until }, "after {later} ms");
    }
    assert_eq!(eligibility(&table, 1, 0, until), Eligibility::Eligible);
    let current = |_: &TargetId, _| LifeStatus::Current;
    assert!(table.expire(current, until - ms(1)).is_empty());
    let ended = [(life(1).target, AvailabilityChange::PauseEnded)];
    assert_eq!(table.expire(current, until), ended);
    assert!(table.expire(current, until).is_empty(), "the end is reported twice");
}

/// Guards against a shorter pause of a response that overtook another, which would end the longer one
/// early.
#[test]
fn record_pause_overlapping_longest_counts() {
    let start = Instant::now();
    let mut table = AvailabilityTable::default();
    table.record(&life(1), pause_of(ms(5_000)), start);
    assert!(table.record(&life(1), pause_of(ms(1_000)), start + ms(100)).is_empty());
    let until = start + ms(5_000);
    assert_eq!(eligibility(&table, 1, 0, start + ms(4_999)), Eligibility::Paused { until });
    table.record(&life(1), pause_of(ms(5_000)), start + ms(1_000));
    let until = start + ms(6_000);
    assert_eq!(eligibility(&table, 1, 0, start + ms(5_500)), Eligibility::Paused { until });
}

/// Guards against a time that overflows the clock, and against a faulty value that removes a target
/// for good.
#[test]
fn record_pause_nonsense_bounded() {
    let start = Instant::now();
    for pause in [Duration::MAX, Duration::from_secs(u64::MAX / 2), MAX_PAUSE + ms(1)] {
        let mut table = AvailabilityTable::default();
        table.record(&life(1), pause_of(pause), start);
        let until = start + MAX_PAUSE;
        assert_eq!(eligibility(&table, 1, 0, until - ms(1)), Eligibility::Paused { until });
        assert_eq!(eligibility(&table, 1, 0, until), Eligibility::Eligible);
    }
}

/// Guards against a burst of requests to one target at the end of its pause.
#[test]
fn eligibility_after_pause_resumes_one_at_a_time() {
    let start = Instant::now();
    let mut table = AvailabilityTable::default();
    table.record(&life(1), pause_of(ms(1_000)), start);
    let mut now = start + ms(1_000);
    for limit in 1..SLOTS.get() {
        let below = eligibility(&table, 1, limit - 1, now);
        assert_eq!(below, Eligibility::Eligible, "below the limit {limit}");
        let at_limit = Eligibility::AtResumeLimit { limit };
        assert_eq!(eligibility(&table, 1, limit, now), at_limit);
        assert_eq!(eligibility(&table, 1, limit + 10, now), at_limit);
        now += ms(50);
        table.record_response(&life(1), SLOTS, now);
    }
    assert_eq!(eligibility(&table, 1, 100, now), Eligibility::Eligible);
    assert!(table.expire(|_, _| LifeStatus::Current, now).is_empty());
    assert!(table.is_empty(), "a target that resumed is kept");
}

/// Guards against responses to requests from before the pause that raise the limit during it.
#[test]
fn record_response_during_pause_no_effect() {
    let start = Instant::now();
    let mut table = AvailabilityTable::default();
    table.record(&life(1), pause_of(ms(1_000)), start);
    for _ in 0..10 {
        assert_eq!(table.record_response(&life(1), SLOTS, start + ms(500)), None);
    }
    let until = start + ms(1_000);
    assert_eq!(eligibility(&table, 1, 0, start + ms(500)), Eligibility::Paused { until });
    assert_eq!(eligibility(&table, 1, 1, until), Eligibility::AtResumeLimit { limit: 1 });
}

/// Guards against a target that resumes at its former limit when the first request after a pause is
/// answered with another pause.
#[test]
fn record_pause_again_while_resuming() {
    let start = Instant::now();
    let mut table = AvailabilityTable::default();
    table.record(&life(1), pause_of(ms(1_000)), start);
    let resumed = start + ms(1_100);
    let ended = table.record_response(&life(1), SLOTS, resumed);
    assert_eq!(ended, Some(AvailabilityChange::PauseEnded));
    let until = resumed + ms(1_000);
    let changes = table.record(&life(1), pause_of(ms(1_000)), resumed);
    assert_eq!(changes[..], [AvailabilityChange::PauseBegan { until }]);
    assert_eq!(eligibility(&table, 1, 0, resumed + ms(999)), Eligibility::Paused { until });
    assert_eq!(eligibility(&table, 1, 1, until), Eligibility::AtResumeLimit { limit: 1 });
}

/// Guards against notices of an ended process that keep requests from its successor, and against late
/// responses of that process.
#[test]
fn record_new_incarnation_starts_clean() {
    let start = Instant::now();
    let both = Notice { is_leaving: true, pause: Some(ms(5_000)) };
    let mut table = AvailabilityTable::default();
    table.record(&life(1), both, start);
    assert_eq!(eligibility(&table, 2, 100, start), Eligibility::Eligible);
    let changes = table.record(&life(2), pause_of(ms(100)), start);
    let until = start + ms(100);
    assert_eq!(
        changes[..],
        [
            AvailabilityChange::LeavingEnded,
            AvailabilityChange::PauseEnded,
            AvailabilityChange::PauseBegan { until },
        ]
    );
    assert!(table.record(&life(1), both, start).is_empty(), "a late response has an effect");
    assert_eq!(eligibility(&table, 2, 0, start), Eligibility::Paused { until });
}

/// Guards against a pause that hides that its target leaves: after the pause the target would get
/// requests again.
#[test]
fn eligibility_pause_and_leaving_leaves() {
    let start = Instant::now();
    let both = Notice { is_leaving: true, pause: Some(ms(1_000)) };
    for order in [[both, both], [LEAVING, pause_of(ms(1_000))], [pause_of(ms(1_000)), LEAVING]] {
        let mut table = AvailabilityTable::default();
        for notice in order {
            table.record(&life(1), notice, start);
        }
        for later in [0, 999, 1_000, 10_000] {
            let now = start + ms(later);
            assert_eq!(eligibility(&table, 1, 0, now), Eligibility::Leaving, "after {later} ms");
        }
        let counts = UnavailableCounts { leaving: 1, paused: 0 };
        assert_eq!(table.unavailable(start), counts);
    }
}

/// Guards against state of ended targets that is kept for ever, and against a target that gets
/// requests again because its record was missing for a time.
#[test]
fn expire_ended_and_unknown_lives() {
    let start = Instant::now();
    let target = life(1).target;
    let mut table = AvailabilityTable::default();
    table.record(&life(1), LEAVING, start);
    assert!(table.expire(|_, _| LifeStatus::Current, start + UNKNOWN_RETENTION * 2).is_empty());
    assert!(table.expire(|_, _| LifeStatus::Unknown, start + UNKNOWN_RETENTION - ms(1)).is_empty());
    assert_eq!(eligibility(&table, 1, 0, start), Eligibility::Leaving);
    let ended = [(target.clone(), AvailabilityChange::LeavingEnded)];
    assert_eq!(table.clone().expire(|_, _| LifeStatus::Unknown, start + UNKNOWN_RETENTION), ended);
    assert_eq!(table.expire(|_, _| LifeStatus::Ended, start), ended);
    assert!(table.is_empty());
}

/// Guards against a time after which a caller returns too early, or to a service that could have
/// served its request.
#[test]
fn earliest_resume_all_paused() {
    let now = Instant::now();
    let paused = |later: u64| Eligibility::Paused { until: now + ms(later) };
    let leaving = Eligibility::Leaving;
    let earliest = earliest_resume([paused(900), leaving, paused(300), paused(700)]);
    assert_eq!(earliest, Some(now + ms(300)));
    assert_eq!(earliest_resume([paused(900), Eligibility::Eligible]), None);
    assert_eq!(earliest_resume([Eligibility::AtResumeLimit { limit: 1 }, paused(900)]), None);
    assert_eq!(earliest_resume([leaving, leaving]), None, "a target that leaves does not return");
    assert_eq!(earliest_resume([]), None);
}
