//! Decides whether a failed attempt is retried, and which result the caller gets otherwise.

use std::time::{Duration, Instant};

use celerygate_types::{Outcome, ResultCode};

/// Maximum number of retries of a request.
pub const MAX_RETRIES: u32 = 2;
/// Maximum ratio of retries to recent requests, in percent.
pub const RETRY_PERCENT: u64 = 10;
/// Number of retries within [`RETRY_WINDOW`] that is always allowed, even with few requests.
pub const MIN_RETRIES: u64 = 3;
/// Sliding window over which requests and retries are counted.
pub const RETRY_WINDOW: Duration = Duration::from_secs(10);

/// Stage that an attempt reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, strum::EnumIter)]
pub enum Stage {
    /// No connection to the target was established.
    NotConnected,
    /// A connection was established, but no byte of the request was sent.
    Connected,
    /// At least one byte of the request was sent, but no byte of the response was received.
    BytesSent,
    /// At least one byte of the response was received, but none was forwarded to the caller.
    HeadReceived,
    /// The head of the response was forwarded to the caller, but the body is incomplete.
    HeadForwarded,
}

/// Reason for which an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::EnumIter)]
pub enum Failure {
    /// The target or the connection to it failed.
    TargetFailed,
    /// The deadline of the request passed.
    DeadlinePassed,
    /// The caller closed its connection.
    CallerGone,
}

/// State of a request after a failed attempt.
#[derive(Clone, Copy, Debug)]
pub struct FailedAttempt {
    /// Stage that this attempt reached.
    pub stage: Stage,
    /// Reason for which this attempt failed.
    pub failure: Failure,
    /// Whether the method is idempotent, see [`is_idempotent`].
    pub idempotent: bool,
    /// Whether the body can be sent again from its first byte: it is empty, is still buffered, or
    /// has not been read from the caller yet.
    pub replayable: bool,
    /// Number of attempts before this one.
    pub earlier_attempts: u32,
    /// Whether an earlier attempt sent a byte of the request.
    pub sent_earlier: bool,
}

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextAttempt {
    /// Send the request to another target; if there is none, use the result of [`give_up`].
    Retry,
    /// Send the caller an error response with this code.
    Fail {
        /// Code of the error response.
        code: ResultCode,
        /// Whether the request may have run.
        outcome: Outcome,
    },
    /// Close the caller's connection without the final chunk, and close the target's connection.
    AbortCaller,
    /// Close the target's connection; the caller no longer waits for a response.
    Abandon,
}

/// Returns whether sending a request with this method twice has the same effect as sending it once.
///
/// Unknown methods count as not idempotent.
pub fn is_idempotent(method: &str) -> bool {
    matches!(method, "GET" | "HEAD" | "OPTIONS" | "PUT" | "DELETE")
}

/// Decides what follows a failed attempt. A retry is counted against the budget.
pub fn next_attempt(
    attempt: &FailedAttempt,
    budget: &mut RetryBudget,
    now: Instant,
) -> NextAttempt {
    if may_retry(attempt) && budget.take_retry(now) { NextAttempt::Retry } else { give_up(attempt) }
}

fn may_retry(attempt: &FailedAttempt) -> bool {
    let safe = match attempt.stage {
        Stage::NotConnected | Stage::Connected => attempt.idempotent || !attempt.sent_earlier,
        Stage::BytesSent => attempt.idempotent,
        Stage::HeadReceived | Stage::HeadForwarded => false,
    };
    safe && attempt.replayable
        && attempt.failure == Failure::TargetFailed
        && attempt.earlier_attempts < MAX_RETRIES
}

/// Returns the final result of a failed request that is not retried.
pub fn give_up(attempt: &FailedAttempt) -> NextAttempt {
    let sent = attempt.sent_earlier || attempt.stage >= Stage::BytesSent;
    let code = match (attempt.failure, attempt.stage) {
        (Failure::CallerGone, _) => return NextAttempt::Abandon,
        (_, Stage::HeadForwarded) => return NextAttempt::AbortCaller,
        (Failure::DeadlinePassed, _) if sent => ResultCode::DeadlinePassed,
        (Failure::DeadlinePassed, _) => ResultCode::DeadlinePassedWaiting,
        (Failure::TargetFailed, _) if sent => ResultCode::TargetFailed,
        (Failure::TargetFailed, _) => ResultCode::TargetUnreachable,
    };
    NextAttempt::Fail { code, outcome: code.outcome() }
}

const BUCKET_COUNT: usize = 10;

/// Limits of a retry budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// Maximum ratio of retries to requests within the window.
    pub share: f64,
    /// Number of retries within the window that is always allowed, even with few requests.
    pub min_retries: u64,
    /// Number of retries within the window that is allowed in addition to the others.
    pub extra_retries: u64,
    /// Sliding window over which requests and retries are counted.
    pub window: Duration,
}

impl Default for RetryLimits {
    fn default() -> Self {
        Self {
            share: RETRY_PERCENT as f64 / 100.0,
            min_retries: MIN_RETRIES,
            extra_retries: 0,
            window: RETRY_WINDOW,
        }
    }
}

/// Limits retries to a share of the recent requests, so that retries cannot multiply the load on
/// failing targets.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    limits: RetryLimits,
    start: Instant,
    /// Sequence number of the newest bucket.
    newest: u64,
    requests: [u64; BUCKET_COUNT],
    retries: [u64; BUCKET_COUNT],
}

impl RetryBudget {
    /// Returns a budget with the default limits and no counted requests.
    pub fn new(now: Instant) -> Self {
        Self::with_limits(RetryLimits::default(), now)
    }

    /// Returns a budget with these limits and no counted requests.
    pub fn with_limits(limits: RetryLimits, now: Instant) -> Self {
        Self {
            limits,
            start: now,
            newest: 0,
            requests: [0; BUCKET_COUNT],
            retries: [0; BUCKET_COUNT],
        }
    }

    /// Counts a request when it is sent for the first time.
    pub fn count_request(&mut self, now: Instant) {
        let bucket = self.advance(now);
        self.requests[bucket] += 1;
    }

    /// Counts a retry if the budget allows it, and returns whether it is allowed.
    pub fn take_retry(&mut self, now: Instant) -> bool {
        let bucket = self.advance(now);
        let requests: u64 = self.requests.iter().sum();
        let retries: u64 = self.retries.iter().sum();
        let ratio_limit = (requests as f64 * self.limits.share) as u64;
        let allowed =
            retries < self.limits.min_retries.max(ratio_limit) + self.limits.extra_retries;
        if allowed {
            self.retries[bucket] += 1;
        }
        allowed
    }

    /// Clears the buckets that have left the window, and returns the index of the newest one.
    fn advance(&mut self, now: Instant) -> usize {
        let width_ms = self.limits.window.as_millis() / BUCKET_COUNT as u128;
        let elapsed_ms = now.saturating_duration_since(self.start).as_millis();
        let newest = u64::try_from(elapsed_ms / width_ms).unwrap_or(u64::MAX).max(self.newest);
        for sequence in (self.newest + 1..=newest).take(BUCKET_COUNT) {
            self.requests[bucket_index(sequence)] = 0;
            self.retries[bucket_index(sequence)] = 0;
        }
        self.newest = newest;
        bucket_index(newest)
    }
}

fn bucket_index(sequence: u64) -> usize {
    (sequence % BUCKET_COUNT as u64) as usize
}

#[cfg(test)]
#[path = "outcome_tests.rs"]
mod tests;
