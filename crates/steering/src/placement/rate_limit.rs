//! Rate limits: a token bucket, and the limit on requests to cold targets.

use std::collections::HashMap;
use std::time::Instant;

use celerygate_types::TargetId;

/// A token bucket that refills at a constant rate.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    tokens: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    /// Returns a bucket with one token.
    pub fn new(now: Instant) -> Self {
        Self::with_level(1.0, now)
    }

    /// Returns a bucket with a number of tokens.
    pub fn with_level(tokens: f64, now: Instant) -> Self {
        Self { tokens, refilled_at: now }
    }

    /// Takes a token if one is available, and returns whether it was. At most `capacity` tokens
    /// accumulate; a capacity below 1 counts as 1.
    pub fn take(&mut self, rate_per_s: f64, capacity: f64, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.refilled_at).as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        self.tokens = (self.tokens + elapsed * rate_per_s).min(capacity.max(1.0));
        let available = self.tokens >= 1.0;
        if available {
            self.tokens -= 1.0;
        }
        available
    }
}

/// Limits the rate of requests to cold targets, so that all VMs together stay within the rate that
/// a cold target can handle.
#[derive(Clone, Debug, Default)]
pub struct ColdRateLimiter {
    buckets: HashMap<TargetId, TokenBucket>,
}

impl ColdRateLimiter {
    /// Returns whether a request may be sent to a cold target now, and counts it if so. Each of the
    /// `senders` VMs that may send to the target gets an equal share of the rate.
    pub fn try_acquire(
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

    /// Removes the targets for which `keep` returns false.
    pub fn retain(&mut self, mut keep: impl FnMut(&TargetId) -> bool) {
        self.buckets.retain(|instance, _| keep(instance));
    }
}
