//! Adaptive limit of the idle time after which a connection to a target is not reused.
//!
//! Targets close idle connections after some time, and some drop them without closing them. A
//! request on such a connection is lost, and it cannot be sent again if it is not idempotent.

use std::time::{Duration, Instant};

/// Fraction of the idle time of a lost connection that is still considered safe.
const SAFETY_FACTOR: f64 = 0.6;
/// Minimum limit. Requests that follow each other immediately share a connection in any case.
const MIN_LIMIT: Duration = Duration::from_millis(50);
/// Time after the last lost connection for which the limit applies.
const LIMIT_LIFETIME: Duration = Duration::from_secs(10);
/// Number of lost connections from which a limit applies. A target that restarts loses its
/// connections too, independently of their idle times.
const MIN_LOSSES: u32 = 3;
/// Time within which a target rejects the first packet on a connection that it has dropped: a round
/// trip between regions takes up to 40 ms.
const LOSS_DETECTION_TIME: Duration = Duration::from_millis(80);

/// Limit that is derived from connections that were lost while they were idle.
#[derive(Clone, Copy, Debug, Default)]
pub struct IdleLimit {
    loss_stats: Option<LossStats>,
}

#[derive(Clone, Copy, Debug)]
struct LossStats {
    limit: Duration,
    losses: u32,
    last_at: Instant,
}

impl IdleLimit {
    /// Returns whether a connection with this idle time may be reused.
    pub fn allows(&self, idle: Duration, now: Instant) -> bool {
        self.current(now).is_none_or(|limit| idle < limit)
    }

    /// Records that a connection was closed, and returns whether the target had dropped it while it
    /// was idle. `idle` is its idle time before the last request, and `since_request` the time from
    /// that request to the close.
    pub fn record_close(&mut self, idle: Duration, since_request: Duration, now: Instant) -> bool {
        if since_request > LOSS_DETECTION_TIME {
            return false;
        }
        let limit = idle.mul_f64(SAFETY_FACTOR).max(MIN_LIMIT);
        let stats = match self.recent(now) {
            Some(previous) => LossStats {
                limit: previous.limit.min(limit),
                losses: previous.losses.saturating_add(1),
                last_at: now,
            },
            None => LossStats { limit, losses: 1, last_at: now },
        };
        self.loss_stats = Some(stats);
        true
    }

    fn recent(&self, now: Instant) -> Option<LossStats> {
        self.loss_stats
            .filter(|stats| now.saturating_duration_since(stats.last_at) < LIMIT_LIFETIME)
    }

    fn current(&self, now: Instant) -> Option<Duration> {
        let stats = self.recent(now).filter(|stats| stats.losses >= MIN_LOSSES);
        stats.map(|stats| stats.limit)
    }
}

#[cfg(test)]
#[path = "idle_tests.rs"]
mod tests;
