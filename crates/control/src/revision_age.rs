//! When a daemon of a fleet last knew that its configuration was the newest one.
//!
//! A control VM states the revision that it has in force in reply to a request. A change that was
//! acknowledged before the request was sent is part of what most control VMs state, so that the revision of
//! a daemon was the newest one when it sent the requests to them. A daemon that has been told of a newer
//! revision knows that its own is not.

use std::collections::HashMap;
use std::time::Instant;

use celerygate_types::{Revision, VmId};
use smallvec::SmallVec;

/// Largest number of unanswered requests to a control VM that are remembered. At most one is sent in a
/// second without a reply.
const MAX_PENDING_REQUESTS: usize = 8;

/// A request that a control VM has not answered.
#[derive(Clone, Copy, Debug)]
struct PendingRequest {
    nonce: u64,
    sent_at: Instant,
}

/// What one control VM has stated.
#[derive(Clone, Debug, Default)]
struct Statement {
    pending: SmallVec<[PendingRequest; 2]>,
    revision: Revision,
    /// Time at which the latest request with a reply was sent.
    asked_at: Option<Instant>,
}

/// Revisions that the control VMs have stated, and when they were asked for them.
#[derive(Clone, Debug)]
pub struct RevisionAge {
    next_nonce: u64,
    statements: HashMap<VmId, Statement>,
}

impl RevisionAge {
    /// Returns a state without statements. The nonces begin at `first_nonce`, which should be random: a late
    /// reply to an earlier process of this daemon would otherwise count as one to a request of this process.
    pub fn new(first_nonce: u64) -> Self {
        Self { next_nonce: first_nonce, statements: HashMap::new() }
    }

    /// Records a request to a control VM and returns its nonce.
    pub fn begin_request(&mut self, vm: &VmId, now: Instant) -> u64 {
        let nonce = self.next_nonce;
        self.next_nonce = nonce.wrapping_add(1);
        let pending = &mut self.statements.entry(vm.clone()).or_default().pending;
        if pending.len() == MAX_PENDING_REQUESTS {
            pending.remove(0);
        }
        pending.push(PendingRequest { nonce, sent_at: now });
        nonce
    }

    /// Records the reply of a control VM to a request. A reply to a request that is not pending counts as a
    /// notice.
    pub fn record_reply(&mut self, vm: &VmId, nonce: u64, revision: Revision) {
        let statement = self.statements.entry(vm.clone()).or_default();
        let position = statement.pending.iter().position(|request| request.nonce == nonce);
        let Some(position) = position else { return self.record_notice(vm, revision) };
        let request = statement.pending[position];
        // Replies come in the order of the requests, so that earlier ones get none any more.
        statement.pending.drain(..=position);
        statement.revision = revision;
        statement.asked_at = Some(request.sent_at);
    }

    /// Records a revision that a control VM has announced without a request.
    pub fn record_notice(&mut self, vm: &VmId, revision: Revision) {
        let statement = self.statements.entry(vm.clone()).or_default();
        statement.revision = statement.revision.max(revision);
    }

    /// Returns the last time at which the revision `own` is known to have been the newest one, by the replies
    /// of `quorum` control VMs; none if a newer one is known, or too few have replied.
    pub fn newest_at(&self, own: Revision, quorum: usize) -> Option<Instant> {
        if self.statements.values().any(|statement| statement.revision > own) {
            return None;
        }
        let asked = self.statements.values().filter_map(|statement| statement.asked_at);
        let mut asked: SmallVec<[Instant; 8]> = asked.collect();
        asked.sort_unstable_by(|one, other| other.cmp(one));
        asked.get(quorum.saturating_sub(1)).copied()
    }
}

#[cfg(test)]
#[path = "revision_age_tests.rs"]
mod tests;
