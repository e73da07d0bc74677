//! Fleet-wide rate and burst: tokens leased by an owner to holders.
//!
//! A holder has at most one request in flight and discards a reply to any other request. A request
//! therefore states everything that its holder can still use, apart from the reply to this same
//! request: the owner replaces what it has recorded by what the request states, and a lost, late,
//! duplicated or reordered message cannot free a token twice.
//!
//! Rates are measured on the owner's clock; clock rates may differ by up to 10%.

mod holder;
mod owner;

use std::time::{Duration, Instant};

use celerygate_types::{RequestCount, RequestRate};

pub use holder::{Admission, GrantHolder, TokenRequest};
pub use owner::{GrantIgnoreReason, GrantOwner, GrantResponse};

/// Time after which a holder stops using a grant, counted from the sending of its request.
pub const HOLDER_EXPIRY: Duration = Duration::from_millis(1_000);

/// Time after which an owner stops counting a grant. The 200 ms above [`HOLDER_EXPIRY`] cover a
/// holder's clock that runs 10% slower than the owner's.
pub const OWNER_EXPIRY: Duration = Duration::from_millis(1_200);

/// Shortest time between two requests of a holder.
pub const REQUEST_INTERVAL: Duration = Duration::from_millis(100);

/// Time after which a holder without a reply asks again. Well above the longest round trip of 20
/// ms, because the reply to the earlier request is lost to the holder from then on.
pub const RESEND_AFTER: Duration = Duration::from_millis(250);

/// The rate and burst of an organisation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limit {
    /// Tokens that the bucket gains per second.
    pub rate: RequestRate,
    /// Largest sum of the bucket's level and the tokens outstanding.
    pub burst: RequestCount,
    /// What a deployment allows in a window; none if only the bucket counts.
    pub window: Option<WindowCap>,
}

/// The requests that may run within any window of a length.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WindowCap {
    /// Length of the window.
    pub length: Duration,
    /// Most requests in it.
    pub requests: RequestCount,
}

/// Time without an answer of the owner after which a VM uses its own allowance; several times the
/// interval of requests and the longest round trip.
const UNLED_AFTER: Duration = Duration::from_millis(600);

/// Where a VM takes tokens from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum TokenSource {
    /// From the owner; without tokens, requests wait or are refused.
    Leader,
    /// From its own allowance, when it has no tokens of the owner.
    OwnAllowance,
}

/// What a VM knows of the owner.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OwnerStatus {
    /// When the owner became known here.
    pub known_since: Option<Instant>,
    /// When it last answered.
    pub last_reply_at: Option<Instant>,
    /// Whether it still withheld tokens then, as it counts the grants of an earlier owner.
    pub withholds: bool,
}

/// Returns where a VM takes tokens from. An owner that answers decides alone, however late each
/// answer is, and one that has just become known gets the time to do so: a VM that restarts beside
/// it must not add an allowance of its own.
pub fn token_source(owner: &OwnerStatus, now: Instant) -> TokenSource {
    let is_recent =
        |at: Option<Instant>| at.is_some_and(|at| now.saturating_duration_since(at) < UNLED_AFTER);
    if is_recent(owner.last_reply_at) {
        return if owner.withholds { TokenSource::OwnAllowance } else { TokenSource::Leader };
    }
    if is_recent(owner.known_since) { TokenSource::Leader } else { TokenSource::OwnAllowance }
}

/// How a deployment counts the requests of an organisation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaWindow {
    /// Time over which requests are counted.
    pub window: Duration,
    /// Part by which the count may exceed the limit.
    pub overage: f64,
    /// Requests by which the count may exceed the limit beside that part.
    pub slack: RequestCount,
}

/// Part of the allowed excess that the fleet's bucket may use. The rest covers grants of an earlier
/// leader and VMs that are cut off from it.
const EXCESS_USED: f64 = 0.6;

/// Seconds of the allowance without a leader that may be used at once. A change of leader comes on
/// top of what the last leader granted, so little of it may be saved up.
const UNLED_BURST_S: f64 = 0.3;
/// Part of the slack that all VMs together admit at once when they lose the leader.
const UNLED_SLACK_USED: f64 = 0.5;
/// Seconds of the rate that all VMs together may use at once when they lose the leader, for an
/// organisation that used little of its rate before.
const UNLED_CALM_BURST_S: f64 = 1.0;

/// A bucket that a VM uses while no leader grants tokens.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OwnAllowance {
    /// Tokens that it gains per second.
    pub rate_per_s: f64,
    /// Most tokens that it holds.
    pub capacity: f64,
    /// Tokens that it holds when it is first used.
    pub initial_level: f64,
}

impl Limit {
    /// Returns the limit of a bucket that admits, within each window, the rate and one burst.
    ///
    /// The burst returns with each window, so it is part of the steady rate. What the bucket holds
    /// comes on top of that within a window, and is limited to a part of the allowed excess.
    pub fn per_window(self, quota: &QuotaWindow) -> Self {
        let window_s = quota.window.as_secs_f64();
        if window_s <= 0.0 {
            return self;
        }
        let (rate, burst) = (self.rate.get() as f64, self.burst.get() as f64);
        let counted = rate * window_s + burst;
        let excess = counted * quota.overage + quota.slack.get() as f64;
        Self {
            rate: RequestRate((rate + burst / window_s) as u64),
            burst: RequestCount(((excess * EXCESS_USED) as u64).clamp(1, self.burst.get().max(1))),
            window: Some(WindowCap {
                length: quota.window,
                requests: RequestCount((counted + excess) as u64),
            }),
        }
    }

    /// Returns what one of several VMs may admit while no leader grants tokens. `share` is the part
    /// of the rate that all of them use together, and `is_low_use` whether the organisation used little
    /// of its rate while a leader counted it.
    pub fn own_allowance(
        self,
        quota: &QuotaWindow,
        vms: usize,
        share: f64,
        is_low_use: bool,
    ) -> OwnAllowance {
        let vms = vms.max(1) as f64;
        let rate_per_s = self.rate.get() as f64 * share / vms;
        if is_low_use {
            let burst = self.rate.get() as f64 * UNLED_CALM_BURST_S;
            let level = (burst + quota.slack.get() as f64 * UNLED_SLACK_USED) / vms;
            return OwnAllowance { rate_per_s, capacity: level.max(1.0), initial_level: level };
        }
        OwnAllowance {
            rate_per_s,
            capacity: (rate_per_s * UNLED_BURST_S).max(1.0),
            initial_level: quota.slack.get() as f64 * UNLED_SLACK_USED / vms,
        }
    }

    /// Returns the largest number of tokens that one VM may hold: a quarter of the burst, and at
    /// least one token so that a small burst can be used at all.
    pub fn per_vm(self) -> RequestCount {
        RequestCount((self.burst.get() / 4).max(1).min(self.burst.get()))
    }
}

#[cfg(test)]
#[path = "grants/ahead_tests.rs"]
mod ahead_tests;
#[cfg(test)]
#[path = "grants/fuzz_tests.rs"]
mod fuzz_tests;
#[cfg(test)]
#[path = "grants/limit_tests.rs"]
mod limit_tests;
#[cfg(test)]
#[path = "grants/network_tests.rs"]
pub(crate) mod network_tests;
#[cfg(test)]
#[path = "grants/protocol_tests.rs"]
mod protocol_tests;
