//! The tokens of a bucket that one VM may still use, and its claim when tokens are scarce.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Time for which unmet demand counts when tokens are scarce: three request intervals, so that a VM
/// keeps its share when one request is lost.
pub(super) const MAX_DEMAND_AGE: Duration = Duration::from_millis(300);
/// Time after which a grant no longer counts in the division of scarce tokens.
pub(super) const GRANT_HISTORY: Duration = Duration::from_millis(1_000);

/// Tokens that expire at the same time.
#[derive(Clone, Copy, Debug)]
pub(super) struct Batch {
    pub(super) requests: u64,
    pub(super) expires_at: Instant,
}

/// The tokens of one bucket that one VM may still use.
#[derive(Clone, Debug, Default)]
pub(super) struct Lease {
    /// Ordered by expiry.
    pub(super) batches: VecDeque<Batch>,
    /// Whether the VM has not reported yet, so that the batches are the maximum that an earlier
    /// owner may have granted.
    pub(super) is_assumed: bool,
    /// The holder's counter of used tokens; none until its first report.
    pub(super) used_requests: Option<u64>,
    /// Wanted tokens that the last request did not get, and its time.
    pub(super) unmet: Option<(u64, Instant)>,
    pub(super) granted_at: Option<Instant>,
    /// Tokens granted up to `granted_at`; their weight decreases linearly with age.
    pub(super) recent_grants: u64,
}

impl Lease {
    pub(super) fn recent_grants(&self, now: Instant) -> u64 {
        let age = self.granted_at.map(|at| now.saturating_duration_since(at));
        let left = age.map_or(Duration::ZERO, |age| GRANT_HISTORY.saturating_sub(age));
        self.recent_grants * left.as_millis() as u64 / GRANT_HISTORY.as_millis() as u64
    }

    /// Returns the VM's claim, if it has recent unmet demand.
    pub(super) fn claim(&self, now: Instant) -> Option<Claim> {
        let (wanted, at) = self.unmet?;
        let is_current = now.saturating_duration_since(at) < MAX_DEMAND_AGE;
        let (recent, granted_at) = (self.recent_grants(now), self.granted_at);
        is_current.then_some(Claim { recent, wanted, granted_at })
    }

    pub(super) fn held(&self) -> u64 {
        self.batches.iter().map(|batch| batch.requests).sum()
    }

    /// Extends the expiry of the tokens that the holder has reported; the reply extends it at the
    /// holder.
    pub(super) fn renew(&mut self, expires_at: Instant) {
        let held = self.held();
        self.batches.clear();
        if held > 0 {
            self.batches.push_back(Batch { requests: held, expires_at });
        }
    }

    /// Keeps only the newest tokens. Holders use the oldest tokens first, and an expiry that is too
    /// late is safe.
    pub(super) fn keep_newest(&mut self, mut keep: u64) {
        for batch in self.batches.iter_mut().rev() {
            batch.requests = batch.requests.min(keep);
            keep -= batch.requests;
        }
        self.batches.retain(|batch| batch.requests > 0);
    }
}

/// The claim of a VM on a bucket that does not cover the whole demand.
#[derive(Clone, Copy, Debug)]
pub(super) struct Claim {
    /// Tokens granted recently, weighted by age.
    pub(super) recent: u64,
    pub(super) wanted: u64,
    pub(super) granted_at: Option<Instant>,
}

impl Claim {
    /// Returns the tokens that raise the VM's recent grants to `fill`, at most what it wants.
    pub(super) fn share(&self, fill: u64) -> u64 {
        fill.saturating_sub(self.recent).min(self.wanted)
    }
}
