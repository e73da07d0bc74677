//! Steady rates: a bucket of tokens, and the pace of requests to cold targets.

use std::collections::HashMap;
use std::time::Instant;

use celerygate_types::TargetId;

/// A bucket of tokens that fills at a steady rate.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    level: f64,
    filled_at: Instant,
}

impl TokenBucket {
    /// Returns a bucket with one token.
    pub fn new(now: Instant) -> Self {
        Self::with_level(1.0, now)
    }

    /// Returns a bucket with a number of tokens.
    pub fn with_level(level: f64, now: Instant) -> Self {
        Self { level, filled_at: now }
    }

    /// Takes a token if there is one.
    pub fn take(&mut self, rate_per_s: f64, capacity: f64, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.filled_at).as_secs_f64();
        self.filled_at = self.filled_at.max(now);
        self.level = (self.level + elapsed * rate_per_s).min(capacity.max(1.0));
        let available = self.level >= 1.0;
        if available {
            self.level -= 1.0;
        }
        available
    }
}

/// Paces requests to cold targets, so that all VMs together stay within what such a target bears.
#[derive(Clone, Debug, Default)]
pub struct ColdRateLimiter {
    buckets: HashMap<TargetId, TokenBucket>,
}

impl ColdRateLimiter {
    /// Takes the right to send one request to a cold target; `senders` is the number of VMs that
    /// may send to it.
    pub fn take(
        &mut self,
        instance: &TargetId,
        cold_requests_per_s: f64,
        senders: usize,
        now: Instant,
    ) -> bool {
        let share = cold_requests_per_s / senders.max(1) as f64;
        if !self.buckets.contains_key(instance) {
            self.buckets.insert(instance.clone(), TokenBucket::new(now));
        }
        self.buckets.get_mut(instance).is_some_and(|bucket| bucket.take(share, 1.0, now))
    }

    /// Forgets targets that are no longer cold.
    pub fn retain(&mut self, mut keep: impl FnMut(&TargetId) -> bool) {
        self.buckets.retain(|instance, _| keep(instance));
    }
}
