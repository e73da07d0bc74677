//! Distributed rate limiting: an owner leases the tokens of one bucket per organisation to holders.
//!
//! A holder has at most one request in flight and discards replies to earlier requests. Each
//! request reports all tokens that its holder can still use, except those in the reply to the same
//! request. The owner overwrites its record of the holder with this report, so a lost, late,
//! duplicated or reordered message cannot free a token twice.
//!
//! Rates are measured on the owner's clock. The protocol tolerates clocks whose rates differ by up
//! to 10%.

mod holder;
mod owner;

use std::time::{Duration, Instant};

use celerygate_types::{RequestCount, RequestRate};

pub use holder::{Admission, GrantHolder, TokenRequest};
pub use owner::{GrantIgnoreReason, GrantOwner, GrantResponse};

/// Lifetime of a grant at the holder, counted from when the holder sent its request.
pub const HOLDER_EXPIRY: Duration = Duration::from_millis(1_000);

/// Lifetime of a grant at the owner. The 200 ms above [`HOLDER_EXPIRY`] cover a holder's clock that
/// runs 10% slower than the owner's.
pub const OWNER_EXPIRY: Duration = Duration::from_millis(1_200);

/// Minimum interval between two requests of a holder.
pub const REQUEST_INTERVAL: Duration = Duration::from_millis(100);

/// Minimum interval between two requests of a holder when a request has started to wait for a token.
pub const WAITING_REQUEST_INTERVAL: Duration = Duration::from_millis(50);

/// Maximum wait for a token after the owner has replied and granted none. A caller that is refused at
/// once retries sooner than one that waits and is then refused.
const MAX_ANSWERED_WAIT: Duration = Duration::from_millis(200);

/// Maximum wait for a token without a reply of the owner: beyond [`OWNER_TIMEOUT`], after which a VM
/// uses its own allowance.
const MAX_UNANSWERED_WAIT: Duration = Duration::from_millis(1_200);

/// Share of its remaining time for which a request may wait for the owner's reply.
const MAX_WAIT_SHARE: f64 = 0.3;

/// Returns until when a request waits for a token. `is_answered` tells whether the owner has replied
/// to a request that was sent after this one arrived. Without such a reply nothing is known about the
/// organisation's use: the reply may be queued behind responses on the VM's link.
pub fn wait_end(arrived: Instant, deadline: Instant, is_answered: bool) -> Instant {
    let wait_max = if is_answered { MAX_ANSWERED_WAIT } else { MAX_UNANSWERED_WAIT };
    let remaining = deadline.saturating_duration_since(arrived);
    arrived + wait_max.min(remaining.mul_f64(MAX_WAIT_SHARE).max(MAX_ANSWERED_WAIT.min(remaining)))
}

/// Time after which a holder without a reply sends a new request. Well above the longest round trip
/// of 20 ms, because the holder then discards the reply to the earlier request.
pub const REPLY_TIMEOUT: Duration = Duration::from_millis(250);

/// The rate and burst of an organisation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limit {
    /// Refill rate of the bucket.
    pub rate: RequestRate,
    /// Maximum of the bucket's level plus the outstanding tokens.
    pub burst: RequestCount,
    /// Limit of the deployment per window; none if only the bucket limits the rate.
    pub window: Option<WindowCap>,
}

/// The maximum number of requests within any window of the given length.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WindowCap {
    /// Length of the window.
    pub length: Duration,
    /// Maximum number of requests per window.
    pub requests: RequestCount,
}

/// Time without a reply from the owner after which a VM uses its own allowance: several times the
/// request interval and the longest round trip.
const OWNER_TIMEOUT: Duration = Duration::from_millis(600);

/// Where a VM takes tokens from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum TokenSource {
    /// From the owner. Without tokens, requests wait or are refused.
    Leader,
    /// From its own allowance, if it holds no tokens of the owner.
    OwnAllowance,
}

/// What a VM knows about the owner.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OwnerStatus {
    /// When this VM learned of the owner.
    pub known_since: Option<Instant>,
    /// When the owner last replied.
    pub last_reply_at: Option<Instant>,
    /// Whether the owner withheld tokens in that reply because grants of the previous owner may
    /// still be in use.
    pub withholds: bool,
}

/// Returns where a VM takes tokens from.
///
/// While the owner replies, however late, only it grants tokens. A newly discovered owner gets
/// 600 ms to reply first, so that a VM that restarts while an owner is running does not add its own
/// allowance to the owner's grants.
pub fn token_source(owner: &OwnerStatus, now: Instant) -> TokenSource {
    let is_recent =
        |at: Option<Instant>| at.is_some_and(|t| now.saturating_duration_since(t) < OWNER_TIMEOUT);
    if is_recent(owner.last_reply_at) {
        return if owner.withholds { TokenSource::OwnAllowance } else { TokenSource::Leader };
    }
    if is_recent(owner.known_since) { TokenSource::Leader } else { TokenSource::OwnAllowance }
}

/// How a deployment measures the requests of an organisation against its limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaWindow {
    /// Length of the window over which requests are counted.
    pub window: Duration,
    /// Fraction by which the count may exceed the limit.
    pub overage: f64,
    /// Number of requests by which the count may exceed the limit in addition to that fraction.
    pub slack: RequestCount,
}

/// Fraction of the allowed excess that the owner's bucket may use. The rest covers grants of a
/// previous leader and VMs that cannot reach the leader.
const BUCKET_EXCESS_FRACTION: f64 = 0.6;

/// Burst of the own allowance, in seconds of its rate. Kept small, because a change of leader adds
/// the allowance to what the last leader granted.
const OWN_ALLOWANCE_BURST_S: f64 = 0.3;
/// Fraction of the slack that all VMs together may admit immediately when they lose the leader.
const OWN_ALLOWANCE_SLACK_FRACTION: f64 = 0.5;
/// Burst of all VMs together when they lose the leader, in seconds of the rate, for an organisation
/// that used little of its rate before.
const LOW_USE_BURST_S: f64 = 1.0;

/// Parameters of the bucket that a VM uses while no leader grants tokens.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OwnAllowance {
    /// Refill rate in tokens per second.
    pub rate_per_s: f64,
    /// Maximum level.
    pub capacity: f64,
    /// Level at first use.
    pub initial_level: f64,
}

impl Limit {
    /// Returns the limit of a bucket that admits the rate plus one burst within each window.
    ///
    /// The deployment allows a burst in every window, so the burst is spread over the window and
    /// added to the refill rate. The bucket's own burst comes on top of that and is therefore
    /// limited to a fraction of the allowed excess.
    pub fn per_window(self, quota: &QuotaWindow) -> Self {
        let window_s = quota.window.as_secs_f64();
        if window_s <= 0.0 {
            return self;
        }
        let (rate, burst) = (self.rate.get() as f64, self.burst.get() as f64);
        let nominal = rate * window_s + burst;
        let excess = nominal * quota.overage + quota.slack.get() as f64;
        Self {
            rate: RequestRate((rate + burst / window_s) as u64),
            burst: RequestCount(
                ((excess * BUCKET_EXCESS_FRACTION) as u64).clamp(1, self.burst.get().max(1)),
            ),
            window: Some(WindowCap {
                length: quota.window,
                requests: RequestCount((nominal + excess) as u64),
            }),
        }
    }

    /// Returns what one of `vms` VMs may admit while no leader grants tokens. `share` is the
    /// fraction of the rate that all of them may use together. `is_low_use` tells whether the
    /// organisation used little of its rate while a leader was available.
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
            let burst = self.rate.get() as f64 * LOW_USE_BURST_S;
            let level = (burst + quota.slack.get() as f64 * OWN_ALLOWANCE_SLACK_FRACTION) / vms;
            return OwnAllowance { rate_per_s, capacity: level.max(1.0), initial_level: level };
        }
        OwnAllowance {
            rate_per_s,
            capacity: (rate_per_s * OWN_ALLOWANCE_BURST_S).max(1.0),
            initial_level: quota.slack.get() as f64 * OWN_ALLOWANCE_SLACK_FRACTION / vms,
        }
    }

    /// Returns the maximum number of tokens that one VM may hold: a quarter of the burst, and at
    /// least one token so that a small burst is usable.
    pub fn per_vm(self) -> RequestCount {
        RequestCount((self.burst.get() / 4).max(1).min(self.burst.get()))
    }
}

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
#[path = "grants/overdraft_tests.rs"]
mod overdraft_tests;
#[cfg(test)]
#[path = "grants/protocol_tests.rs"]
mod protocol_tests;
#[cfg(test)]
#[path = "grants/sparse_demand_tests.rs"]
mod sparse_demand_tests;
