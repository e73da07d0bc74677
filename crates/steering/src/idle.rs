//! How long a connection to a target may have been idle to be used again.
//!
//! Targets close idle connections after some time, and some forget them without notice. A request
//! on such a connection is lost, and one that is not idempotent cannot be sent again.

use std::time::{Duration, Instant};

/// Part of the idle time after which a connection was lost that still counts as safe.
const SAFE_PART: f64 = 0.6;
/// Shortest limit; requests that follow each other at once are sent on one connection in any case.
const LIMIT_MIN: Duration = Duration::from_millis(50);
/// Time after the last lost connection for which the limit holds.
const LIMIT_HOLDS: Duration = Duration::from_secs(10);
/// Losses from which there is a limit. A target that restarts loses its connections too, and that
/// says nothing about idle times.
const LOSSES_MIN: u32 = 3;
/// Time within which a target answers the first packet on a connection that it has forgotten: a
/// round trip between regions takes up to 40 ms.
const LOST_WITHIN: Duration = Duration::from_millis(80);

/// What is known of connections that were lost while they were idle.
#[derive(Clone, Copy, Debug, Default)]
pub struct IdleLimit {
    learned: Option<Learned>,
}

#[derive(Clone, Copy, Debug)]
struct Learned {
    limit: Duration,
    losses: u32,
    last_at: Instant,
}

impl IdleLimit {
    /// Returns whether a connection that has been idle for this long is used.
    pub fn allows(&self, idle: Duration, now: Instant) -> bool {
        self.current(now).is_none_or(|limit| idle < limit)
    }

    /// Takes a connection that ended `after` a request was sent on it, and returns whether it was
    /// lost while it was idle.
    pub fn record_close(&mut self, idle: Duration, after: Duration, now: Instant) -> bool {
        if after > LOST_WITHIN {
            return false;
        }
        let limit = idle.mul_f64(SAFE_PART).max(LIMIT_MIN);
        let learned = match self.recent(now) {
            Some(known) => Learned {
                limit: known.limit.min(limit),
                losses: known.losses.saturating_add(1),
                last_at: now,
            },
            None => Learned { limit, losses: 1, last_at: now },
        };
        self.learned = Some(learned);
        true
    }

    fn recent(&self, now: Instant) -> Option<Learned> {
        self.learned.filter(|known| now.saturating_duration_since(known.last_at) < LIMIT_HOLDS)
    }

    fn current(&self, now: Instant) -> Option<Duration> {
        let learned = self.recent(now).filter(|known| known.losses >= LOSSES_MIN);
        learned.map(|known| known.limit)
    }
}

#[cfg(test)]
#[path = "idle_tests.rs"]
mod tests;
