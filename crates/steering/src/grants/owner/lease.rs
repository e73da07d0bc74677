//! What one VM may still use of a bucket, and what it claims of scarce tokens.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Time for which an unmet want counts when tokens are scarce: three request intervals, so that one
/// lost request does not cost a VM its share.
pub(super) const WANT_AGE: Duration = Duration::from_millis(300);
/// Time after which a grant no longer counts when scarce tokens are divided.
pub(super) const GRANT_MEMORY: Duration = Duration::from_millis(1_000);

/// Tokens that leave the count at the same time.
#[derive(Clone, Copy, Debug)]
pub(super) struct Batch {
    pub(super) requests: u64,
    pub(super) expires_at: Instant,
}

/// What one VM may still use of one bucket.
#[derive(Clone, Debug, Default)]
pub(super) struct Lease {
    /// Ordered by expiry.
    pub(super) batches: VecDeque<Batch>,
    /// Whether the batches are what an earlier owner may have granted, until the VM reports.
    pub(super) is_assumed: bool,
    /// The holder's count of used tokens; none until its first report.
    pub(super) used_requests: Option<u64>,
    /// What the last ask left unmet, and when.
    pub(super) want: Option<(u64, Instant)>,
    pub(super) granted_at: Option<Instant>,
    /// Tokens granted up to `granted_at`, fading with their age.
    pub(super) granted_lately: u64,
}

impl Lease {
    pub(super) fn granted_lately(&self, now: Instant) -> u64 {
        let age = self.granted_at.map(|at| now.saturating_duration_since(at));
        let left = age.map_or(Duration::ZERO, |age| GRANT_MEMORY.saturating_sub(age));
        self.granted_lately * left.as_millis() as u64 / GRANT_MEMORY.as_millis() as u64
    }

    /// Returns the VM's claim, if it has a recent want.
    pub(super) fn claim(&self, now: Instant) -> Option<Claim> {
        let (want, at) = self.want?;
        let recent = now.saturating_duration_since(at) < WANT_AGE;
        let (lately, granted_at) = (self.granted_lately(now), self.granted_at);
        recent.then_some(Claim { lately, want, granted_at })
    }

    pub(super) fn held(&self) -> u64 {
        self.batches.iter().map(|batch| batch.requests).sum()
    }

    /// Extends what the holder has reported to hold; the reply extends it there.
    pub(super) fn renew(&mut self, expires_at: Instant) {
        let held = self.held();
        self.batches.clear();
        if held > 0 {
            self.batches.push_back(Batch { requests: held, expires_at });
        }
    }

    /// Keeps the newest tokens only. Holders use the oldest tokens first, and an expiry that is too
    /// late is safe.
    pub(super) fn keep_newest(&mut self, mut keep: u64) {
        for batch in self.batches.iter_mut().rev() {
            batch.requests = batch.requests.min(keep);
            keep -= batch.requests;
        }
        self.batches.retain(|batch| batch.requests > 0);
    }
}

/// What a VM claims of a bucket that does not cover all wants.
#[derive(Clone, Copy, Debug)]
pub(super) struct Claim {
    pub(super) lately: u64,
    pub(super) want: u64,
    pub(super) granted_at: Option<Instant>,
}

impl Claim {
    /// Returns the part that brings the VM up to a common number of tokens.
    pub(super) fn part(&self, fill: u64) -> u64 {
        fill.saturating_sub(self.lately).min(self.want)
    }
}
