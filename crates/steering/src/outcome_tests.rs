//! Tests of outcomes. A wrong decision runs a request twice, or reports a request that ran as
//! `not-run`.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use strum::IntoEnumIterator;

use super::*;

fn config_with_seed(seed: u64) -> ProptestConfig {
    let rng_seed = RngSeed::Fixed(seed);
    ProptestConfig { cases: 200, rng_seed, failure_persistence: None, ..Default::default() }
}

fn all_attempts() -> Vec<FailedAttempt> {
    let mut attempts = Vec::new();
    for stage in Stage::iter() {
        for failure in Failure::iter() {
            for bits in 0..32_u32 {
                attempts.push(FailedAttempt {
                    stage,
                    failure,
                    idempotent: bits & 1 != 0,
                    replayable: bits & 2 != 0,
                    sent_earlier: bits & 4 != 0,
                    earlier_attempts: bits >> 3,
                });
            }
        }
    }
    attempts
}

/// Guards against retrying a non-idempotent request that may have run, reporting `not-run` after a
/// byte was sent, more than two retries, and an error response after the head was forwarded.
#[test]
fn next_attempt_every_case() {
    let now = Instant::now();
    let mut retries = 0;
    for attempt in all_attempts() {
        let sent = attempt.sent_earlier || attempt.stage >= Stage::BytesSent;
        let response_received = attempt.stage >= Stage::HeadReceived;
        let next = next_attempt(&attempt, &mut RetryBudget::new(now), now);
        let allowed = attempt.failure == Failure::TargetFailed
            && attempt.replayable
            && attempt.earlier_attempts < MAX_RETRIES
            && (!sent || attempt.idempotent)
            && !response_received;
        assert_eq!(next == NextAttempt::Retry, allowed, "{attempt:?}");
        retries += u32::from(allowed);
        let gone = attempt.failure == Failure::CallerGone;
        assert_eq!(next == NextAttempt::Abandon, gone, "{attempt:?}");
        let head_forwarded = attempt.stage == Stage::HeadForwarded && !gone;
        assert_eq!(next == NextAttempt::AbortCaller, head_forwarded, "{attempt:?}");
        if let NextAttempt::Fail { code, outcome } = next {
            assert_eq!(outcome == Outcome::NotRun, !sent, "{attempt:?}");
            assert_eq!(outcome, code.outcome());
        }
    }
    // There are two values of `earlier_attempts` that allow a retry. Each of the two unsent stages
    // allows it for three combinations of `idempotent` and `sent_earlier`, the sent stage for two.
    assert_eq!(retries, 2 * (2 * 3 + 2));
}

#[test]
fn give_up_codes() {
    let attempt = |stage, failure| FailedAttempt {
        stage,
        failure,
        idempotent: true,
        replayable: true,
        earlier_attempts: 0,
        sent_earlier: false,
    };
    let code = |stage, failure| match give_up(&attempt(stage, failure)) {
        NextAttempt::Fail { code, .. } => Some(code),
        _ => None,
    };
    use Failure::{DeadlinePassed, TargetFailed};
    let unreachable = Some(ResultCode::TargetUnreachable);
    assert_eq!(code(Stage::NotConnected, TargetFailed), unreachable);
    assert_eq!(code(Stage::BytesSent, TargetFailed), Some(ResultCode::TargetFailed));
    let waiting = Some(ResultCode::DeadlinePassedWaiting);
    assert_eq!(code(Stage::Connected, DeadlinePassed), waiting);
    assert_eq!(code(Stage::HeadReceived, DeadlinePassed), Some(ResultCode::DeadlinePassed));
}

#[test]
fn is_idempotent_methods() {
    assert!(["GET", "HEAD", "OPTIONS", "PUT", "DELETE"].into_iter().all(is_idempotent));
    assert!(!["POST", "PATCH", "get", "CONNECT", ""].into_iter().any(is_idempotent));
}

proptest! {
    #![proptest_config(config_with_seed(31))]

    /// Guards against retries that multiply the load on failing targets.
    #[test]
    fn take_retry_within_share(
        steps in prop::collection::vec((0..4_000_u64, 0..60_u64, 0..30_u64), 1..40),
    ) {
        let mut now = Instant::now();
        let start = now;
        let mut budget = RetryBudget::new(start);
        let mut events: Vec<(u64, u64, u64)> = Vec::new();
        for (wait_ms, requests, tries) in steps {
            now += Duration::from_millis(wait_ms);
            (0..requests).for_each(|_| budget.count_request(now));
            let taken = (0..tries).filter(|_| budget.take_retry(now)).count() as u64;
            let at_s = (now - start).as_secs();
            events.push((at_s, requests, taken));
            let recent = events.iter().filter(|(at, _, _)| at + 10 > at_s);
            let (seen, retried) =
                recent.fold((0, 0), |sum, event| (sum.0 + event.1, sum.1 + event.2));
            prop_assert!(
                taken == 0 || retried <= MIN_RETRIES.max(seen / 10),
                "{retried} of {seen}"
            );
            prop_assert!(taken == tries || retried >= MIN_RETRIES.max(seen / 10));
        }
    }
}

/// Guards against a budget that refuses retries within the configured limits. In a test run in
/// which targets with free slots rejected two of five requests, such retries were refused.
#[test]
fn take_retry_share_and_extra() {
    let now = Instant::now();
    let limits =
        RetryLimits { share: 0.2, min_retries: 0, extra_retries: 6, ..RetryLimits::default() };
    let mut budget = RetryBudget::with_limits(limits, now);
    for _ in 0..100 {
        budget.count_request(now);
    }
    assert_eq!((0..100).filter(|_| budget.take_retry(now)).count(), 26);
}
