//! Freshness of each daemon's configuration, and when a change is in force on all daemons.
//!
//! A reply with age `a` to a request sent at `t0` states that its revision was the last committed
//! one at `t0 - a`. A daemon that has applied this revision admits keyed requests until
//! `t0 - a + 4,000 ms` on its own clock. Hence a daemon that has not applied a change admits no
//! keyed requests from 4,400 ms after the commit, as long as clock rates differ by at most 10%.

mod in_force;

use std::time::{Duration, Instant};

use celerygate_types::wire::FreshnessReply;
use celerygate_types::{Revision, Term};

pub use in_force::{AckSource, InForceTracker};

/// Time for which a daemon admits keyed requests, counted from the last time at which its
/// configuration is known to have been current.
pub const FRESHNESS_LIFETIME: Duration = Duration::from_millis(4_000);
/// Time after a commit from which no daemon admits keyed requests under an older configuration:
/// `FRESHNESS_LIFETIME` plus 10% for clocks that run at different rates.
pub const IN_FORCE_TIMEOUT: Duration = Duration::from_millis(4_400);
/// Largest age of the commit that a relay states. A relay with an older one sends no reply, so that
/// its children poll another parent while they are still fresh.
pub const MAX_RELAY_AGE: Duration = Duration::from_millis(2_000);
/// Largest number of unanswered requests that a daemon remembers: the polls that it sends in four
/// seconds at the shortest interval of 400 ms.
const MAX_PENDING_REQUESTS: usize = 10;

/// Effect of a freshness reply on a daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplyOutcome {
    /// The applied configuration was current; the time is the new end of its freshness.
    Fresh(Instant),
    /// The stated revision is newer than the applied one and must be applied first.
    Behind {
        /// Revision to fetch.
        revision: Revision,
        /// End of freshness once the revision is applied.
        until: Instant,
    },
    /// No request with this nonce is pending: the reply is a late duplicate, or it answers a
    /// request from before a restart.
    UnknownNonce,
    /// The sender follows a leader that has been replaced.
    OlderTerm,
    /// The stated revision is older than the applied one, or the stated age cannot be represented
    /// on the local clock.
    OlderRevision,
}

/// Freshness of the configuration on one daemon.
#[derive(Clone, Debug)]
pub struct Freshness {
    next_nonce: u64,
    pending_requests: Vec<(u64, Instant)>,
    term: Term,
    applied_revision: Revision,
    fresh_until: Option<Instant>,
    /// Current revision that is not applied yet, and the end of freshness once it is applied.
    unapplied: Option<(Revision, Instant)>,
    /// The latest commit known to this daemon.
    known_commit: Option<KnownCommit>,
}

/// A committed revision and a time at which it was the last one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KnownCommit {
    /// Term of the leader.
    pub term: Term,
    /// Committed revision.
    pub revision: Revision,
    /// Time on the local clock at which it was the last committed revision.
    pub current_at: Instant,
}

impl Freshness {
    /// Returns the freshness of a daemon that has just started, which is not fresh.
    ///
    /// `first_nonce` must be random at each start of the process, so that a late reply to a request
    /// from before a restart does not match a new request.
    pub fn new(first_nonce: u64) -> Self {
        Self {
            next_nonce: first_nonce,
            pending_requests: Vec::new(),
            term: Term::ZERO,
            applied_revision: Revision::ZERO,
            fresh_until: None,
            unapplied: None,
            known_commit: None,
        }
    }

    /// Records a request that is about to be sent and returns its nonce.
    ///
    /// `now` must be read before the request is sent; a later time would extend freshness too far.
    pub fn start_request(&mut self, now: Instant) -> u64 {
        let nonce = self.next_nonce;
        self.next_nonce = nonce.wrapping_add(1);
        if self.pending_requests.len() == MAX_PENDING_REQUESTS {
            self.pending_requests.remove(0);
        }
        self.pending_requests.push((nonce, now));
        nonce
    }

    /// Handles a reply. Each nonce is accepted once.
    pub fn handle_reply(&mut self, reply: &FreshnessReply) -> ReplyOutcome {
        let pending = self.pending_requests.iter().position(|(nonce, _)| *nonce == reply.nonce);
        let Some(index) = pending else { return ReplyOutcome::UnknownNonce };
        let (_, sent_at) = self.pending_requests.remove(index);
        if !self.observe_term(reply.term) {
            return ReplyOutcome::OlderTerm;
        }
        if reply.revision < self.applied_revision {
            return ReplyOutcome::OlderRevision;
        }
        // An age that reaches back before the start of the clock cannot prove freshness.
        let Some(current_at) = sent_at.checked_sub(Duration::from_millis(reply.age_ms)) else {
            return ReplyOutcome::OlderRevision;
        };
        let commit = KnownCommit { term: reply.term, revision: reply.revision, current_at };
        if self.known_commit.is_none_or(|known| known.is_older_than(&commit)) {
            self.known_commit = Some(commit);
        }
        let until = current_at + FRESHNESS_LIFETIME;
        if reply.revision > self.applied_revision {
            let is_newer = self.unapplied.is_none_or(|known| (reply.revision, until) > known);
            if is_newer {
                self.unapplied = Some((reply.revision, until));
            }
            return ReplyOutcome::Behind { revision: reply.revision, until };
        }
        self.extend_freshness(until);
        ReplyOutcome::Fresh(self.fresh_until.unwrap_or(until))
    }

    /// Records that a revision has been applied. Returns false and changes nothing if it is older
    /// than the applied one.
    pub fn record_applied(&mut self, revision: Revision) -> bool {
        if revision < self.applied_revision {
            return false;
        }
        self.applied_revision = revision;
        if let Some((unapplied, until)) = self.unapplied
            && revision >= unapplied
        {
            self.unapplied = None;
            self.extend_freshness(until);
        }
        true
    }

    /// Records the term of a received message. Returns false if it is older than the latest one.
    pub fn observe_term(&mut self, term: Term) -> bool {
        self.term = self.term.max(term);
        term >= self.term
    }

    /// Returns whether the daemon admits keyed requests at a time.
    pub fn admits(&self, now: Instant) -> bool {
        self.fresh_until.is_some_and(|until| now < until)
    }

    /// Returns when the daemon stops admitting keyed requests unless another reply arrives.
    pub fn fresh_until(&self) -> Option<Instant> {
        self.fresh_until
    }

    /// Returns the latest term of any received message.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Returns the applied revision.
    pub fn applied_revision(&self) -> Revision {
        self.applied_revision
    }

    /// Returns the latest known commit, which this daemon states to its children if it is a relay.
    pub fn known_commit(&self) -> Option<KnownCommit> {
        self.known_commit
    }

    fn extend_freshness(&mut self, until: Instant) {
        self.fresh_until = self.fresh_until.max(Some(until));
    }
}

impl KnownCommit {
    fn is_older_than(&self, other: &Self) -> bool {
        (self.term, self.revision, self.current_at) < (other.term, other.revision, other.current_at)
    }
}

/// Returns the leader's reply, or `None` without a valid lease.
///
/// The caller must pass a lease only once the leader has committed an entry of its own term. Before
/// that, the leader may not know the last commit of its predecessor.
pub fn leader_reply(
    nonce: u64,
    term: Term,
    committed: Revision,
    lease_until: Option<Instant>,
    now: Instant,
) -> Option<FreshnessReply> {
    let holds_lease = lease_until.is_some_and(|until| now < until);
    holds_lease.then_some(FreshnessReply { age_ms: 0, nonce, revision: committed, term })
}

/// Returns a relay's reply, or `None` if the relay knows no commit, or only one that is older than
/// `MAX_RELAY_AGE` or has an older term than `latest_term`.
pub fn relay_reply(
    nonce: u64,
    latest_term: Term,
    known_commit: Option<KnownCommit>,
    now: Instant,
) -> Option<FreshnessReply> {
    let known = known_commit.filter(|known| known.term >= latest_term)?;
    let age = now.saturating_duration_since(known.current_at);
    if age > MAX_RELAY_AGE {
        return None;
    }
    // Rounded up: an age that is too low would extend the child's freshness too far.
    let age_ms = u64::try_from(age.as_nanos().div_ceil(1_000_000)).ok()?;
    Some(FreshnessReply { age_ms, nonce, revision: known.revision, term: known.term })
}

#[cfg(test)]
#[path = "freshness_tests.rs"]
mod tests;
