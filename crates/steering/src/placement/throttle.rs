//! Adaptive throttle of the requests to an overloaded group of targets.
//!
//! A VM of a large fleet sends a request to a target once in several seconds and does not know what
//! the others send. When targets report long queues or reject requests, it refuses a part of its own
//! requests at once, so that all VMs together offer a little more than the targets can serve.

use std::time::{Duration, Instant};

use super::MAX_UTILISATION_KNOWN_OBJECT;

/// Requests offered per request served without overload. Above 1, so that the throttle opens when the
/// group has more capacity again.
const OFFERED_PER_SERVED: f64 = 1.3;
/// Time constant of the averages. Shorter ones follow the queues of the targets and swing with them.
const AVERAGE_TIME: Duration = Duration::from_millis(2_000);
/// Requests that are assumed to have been offered without an outcome, so that a few outcomes of a
/// quiet VM refuse nothing.
const ASSUMED_REQUESTS: f64 = 2.0;
/// Requests per slot, at the end of an attempt, above which a target counts as overloaded: what
/// requests for known objects may cause.
const OVERLOADED_UTILISATION: f64 = MAX_UTILISATION_KNOWN_OBJECT;

/// How an attempt ended for the load of the group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadSignal {
    /// The target had capacity.
    Served,
    /// The target was overloaded, or the request was refused by the throttle.
    Overloaded,
}

impl LoadSignal {
    /// Returns the signal of a target with this number of requests.
    pub fn of_load(requests: u32, slots: u32) -> Self {
        let is_overloaded = f64::from(requests) > f64::from(slots) * OVERLOADED_UTILISATION;
        if is_overloaded { Self::Overloaded } else { Self::Served }
    }
}

/// Decides which requests to a group of targets are refused at once.
#[derive(Clone, Copy, Debug)]
pub struct OverloadThrottle {
    /// Attempts that ended and requests that were refused, weighted by age.
    offered: f64,
    /// Attempts that ended without overload, weighted by age.
    served: f64,
    updated_at: Instant,
}

impl OverloadThrottle {
    /// Creates a throttle that refuses nothing.
    pub fn new(now: Instant) -> Self {
        Self { offered: 0.0, served: 0.0, updated_at: now }
    }

    /// Records the end of an attempt, or a request that was refused.
    pub fn record(&mut self, signal: LoadSignal, now: Instant) {
        self.age(now);
        self.offered += 1.0;
        if signal == LoadSignal::Served {
            self.served += 1.0;
        }
    }

    /// Returns the share of the requests to refuse.
    pub fn refused_share(&mut self, now: Instant) -> f64 {
        self.age(now);
        let excess = self.offered - self.served * OFFERED_PER_SERVED;
        (excess / (self.offered + ASSUMED_REQUESTS)).clamp(0.0, 1.0)
    }

    fn age(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated_at);
        self.updated_at = self.updated_at.max(now);
        let weight = (-elapsed.as_secs_f64() / AVERAGE_TIME.as_secs_f64()).exp();
        self.offered *= weight;
        self.served *= weight;
    }
}

#[cfg(test)]
#[path = "throttle_tests.rs"]
mod tests;
