//! What a failed attempt means and whether to try again.

use std::time::{Duration, Instant};

use celerygate_types::{Outcome, ResultCode};

/// Most times that a request is sent again.
pub const MAX_RETRIES: u32 = 2;
/// Share of the recent requests that may be sent again, in percent.
pub const RETRY_PERCENT: u64 = 10;
/// Retries within [`RETRY_WINDOW`] that are allowed however few requests there were.
pub const MIN_RETRIES: u64 = 3;
/// Time over which requests and retries are counted.
pub const RETRY_WINDOW: Duration = Duration::from_secs(10);

/// How far an attempt got.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, strum::EnumIter)]
pub enum Stage {
    /// No connection to the target.
    NotConnected,
    /// A connection, and no byte of the request was sent.
    Connected,
    /// At least one byte of the request was sent, and no byte of the response arrived.
    BytesSent,
    /// At least one byte of the response arrived, and none was passed to the caller.
    HeadReceived,
    /// The head of the response was passed to the caller; the body is not complete.
    HeadForwarded,
}

/// What ended an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::EnumIter)]
pub enum Failure {
    /// The target or the connection to it failed.
    TargetFailed,
    /// The deadline of the request passed.
    DeadlinePassed,
    /// The caller closed its connection.
    CallerGone,
}

/// A request at the end of an attempt that did not complete it.
#[derive(Clone, Copy, Debug)]
pub struct FailedAttempt {
    /// How far this attempt got.
    pub reached: Stage,
    /// What ended it.
    pub ended: Failure,
    /// Whether the method is idempotent, see [`is_idempotent`].
    pub idempotent: bool,
    /// Whether the body can be sent again from its first byte: it is empty, still held in memory, or
    /// no byte of it was read from the caller.
    pub replayable: bool,
    /// Attempts before this one.
    pub earlier_attempts: u32,
    /// Whether an earlier attempt sent a byte of the request.
    pub sent_earlier: bool,
}

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextAttempt {
    /// Send the request to another target; when there is none, act on [`give_up`].
    Retry,
    /// Answer the caller with this code.
    Fail {
        /// Code of the answer.
        code: ResultCode,
        /// Whether the request can have run.
        outcome: Outcome,
    },
    /// Close the caller's connection without the final chunk, and the target's connection.
    AbortCaller,
    /// Close the target's connection; nobody waits for an answer.
    Abandon,
}

/// Returns whether sending a request of this method twice has the effect of sending it once.
///
/// An unknown method counts as not idempotent.
pub fn is_idempotent(method: &str) -> bool {
    matches!(method, "GET" | "HEAD" | "OPTIONS" | "PUT" | "DELETE")
}

/// Decides what follows a failed attempt; takes from the budget when it decides for a retry.
pub fn next_attempt(
    attempt: &FailedAttempt,
    budget: &mut RetryBudget,
    now: Instant,
) -> NextAttempt {
    if may_retry(attempt) && budget.take_retry(now) { NextAttempt::Retry } else { give_up(attempt) }
}

fn may_retry(attempt: &FailedAttempt) -> bool {
    let safe = match attempt.reached {
        Stage::NotConnected | Stage::Connected => attempt.idempotent || !attempt.sent_earlier,
        Stage::BytesSent => attempt.idempotent,
        Stage::HeadReceived | Stage::HeadForwarded => false,
    };
    safe && attempt.replayable
        && attempt.ended == Failure::TargetFailed
        && attempt.earlier_attempts < MAX_RETRIES
}

/// Returns how a request ends that is not sent again.
pub fn give_up(attempt: &FailedAttempt) -> NextAttempt {
    let sent = attempt.sent_earlier || attempt.reached >= Stage::BytesSent;
    let code = match (attempt.ended, attempt.reached) {
        (Failure::CallerGone, _) => return NextAttempt::Abandon,
        (_, Stage::HeadForwarded) => return NextAttempt::AbortCaller,
        (Failure::DeadlinePassed, _) if sent => ResultCode::DeadlinePassed,
        (Failure::DeadlinePassed, _) => ResultCode::DeadlinePassedWaiting,
        (Failure::TargetFailed, _) if sent => ResultCode::TargetFailed,
        (Failure::TargetFailed, _) => ResultCode::TargetUnreachable,
    };
    NextAttempt::Fail { code, outcome: code.outcome() }
}

const BUCKETS: usize = 10;

/// How many retries a budget allows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// Retries per request within the window.
    pub share: f64,
    /// Retries within the window that are allowed however few requests there were.
    pub min_retries: u64,
    /// Retries within the window that are allowed beside the share.
    pub extra_retries: u64,
    /// Time over which requests and retries are counted.
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

/// Limits retries to a share of the recent requests, so that retries cannot multiply the load of
/// failing targets.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    limits: RetryLimits,
    start: Instant,
    /// Sequence number of the newest bucket.
    newest: u64,
    requests: [u64; BUCKETS],
    retries: [u64; BUCKETS],
}

impl RetryBudget {
    /// Returns a budget without requests.
    pub fn new(now: Instant) -> Self {
        Self::with_limits(RetryLimits::default(), now)
    }

    /// Returns a budget without requests that has its own limits.
    pub fn with_limits(limits: RetryLimits, now: Instant) -> Self {
        Self { limits, start: now, newest: 0, requests: [0; BUCKETS], retries: [0; BUCKETS] }
    }

    /// Counts a request that was sent for the first time.
    pub fn count_request(&mut self, now: Instant) {
        let bucket = self.advance(now);
        self.requests[bucket] += 1;
    }

    /// Counts a retry if the budget allows it, and returns whether it does.
    pub fn take_retry(&mut self, now: Instant) -> bool {
        let bucket = self.advance(now);
        let requests: u64 = self.requests.iter().sum();
        let retries: u64 = self.retries.iter().sum();
        let shared = (requests as f64 * self.limits.share) as u64;
        let allowed = retries < self.limits.min_retries.max(shared) + self.limits.extra_retries;
        if allowed {
            self.retries[bucket] += 1;
        }
        allowed
    }

    /// Clears the buckets that have left the window and returns the index of the newest.
    fn advance(&mut self, now: Instant) -> usize {
        let width_ms = self.limits.window.as_millis() / BUCKETS as u128;
        let elapsed_ms = now.saturating_duration_since(self.start).as_millis();
        let newest = u64::try_from(elapsed_ms / width_ms).unwrap_or(u64::MAX).max(self.newest);
        for sequence in (self.newest + 1..=newest).take(BUCKETS) {
            self.requests[index(sequence)] = 0;
            self.retries[index(sequence)] = 0;
        }
        self.newest = newest;
        index(newest)
    }
}

fn index(sequence: u64) -> usize {
    (sequence % BUCKETS as u64) as usize
}

#[cfg(test)]
#[path = "outcome_tests.rs"]
mod tests;
