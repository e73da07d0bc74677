//! Whether a configuration is current, and when a change is in force everywhere.
//!
//! A reply of age `a` to a request sent at `t0` says that the stated revision was the committed one
//! at `t0 - a`. A daemon that has applied it admits keyed requests until `t0 - a + 4,000 ms` on its
//! own clock, so one that has not applied a change admits none 4,400 ms after the commit, with
//! clocks whose rates differ by up to 10%.

mod in_force;

use std::time::{Duration, Instant};

use celerygate_types::wire::FreshnessReply;
use celerygate_types::{Revision, Term};

pub use in_force::{AckSource, InForceTracker};

/// Time for which a daemon admits keyed requests after its configuration was known to be current.
pub const FRESHNESS_LIFETIME: Duration = Duration::from_millis(4_000);
/// Time after a commit at which no daemon admits under an older configuration: `FRESHNESS_LIFETIME` plus
/// 10% for clocks of different rates.
pub const IN_FORCE_TIMEOUT: Duration = Duration::from_millis(4_400);
/// A relay whose knowledge is older stays silent, so that its children ask another parent while
/// they are still fresh.
pub const MAX_RELAY_AGE: Duration = Duration::from_millis(2_000);
/// Unanswered requests that a daemon remembers; four seconds of polls every 400 ms.
const MAX_PENDING: usize = 10;

/// What a freshness reply meant to a daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplyOutcome {
    /// The configuration was current; the time is the new end of freshness.
    Fresh(Instant),
    /// The stated revision must be applied first; it was current until the given time.
    Behind {
        /// Revision to fetch.
        revision: Revision,
        /// End of freshness once the revision is applied.
        until: Instant,
    },
    /// No request with this nonce is waiting: a late duplicate, or a reply to an earlier life.
    UnknownNonce,
    /// The sender follows a leader that has been replaced.
    OlderTerm,
    /// The sender knows less than this daemon.
    OlderRevision,
}

/// The daemon's side of freshness.
#[derive(Clone, Debug)]
pub struct Freshness {
    next_nonce: u64,
    pending: Vec<(u64, Instant)>,
    term: Term,
    applied: Revision,
    fresh_until: Option<Instant>,
    /// Revision that was current but is not applied yet, and how long it counts as fresh.
    behind: Option<(Revision, Instant)>,
    /// Latest revision known to be current, its term and time on this daemon's clock.
    known: Option<KnownCommit>,
}

/// A committed revision and when it was known to be the last one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KnownCommit {
    /// Term of the leader.
    pub term: Term,
    /// Committed revision.
    pub revision: Revision,
    /// Time on the own clock at which it was the last one.
    pub current_at: Instant,
}

impl Freshness {
    /// Returns the state of a daemon that has just started.
    ///
    /// `first_nonce` is random in each life of the process, so that a late reply to an earlier life
    /// does not match a request of this one.
    pub fn new(first_nonce: u64) -> Self {
        Self {
            next_nonce: first_nonce,
            pending: Vec::new(),
            term: Term::ZERO,
            applied: Revision::ZERO,
            fresh_until: None,
            behind: None,
            known: None,
        }
    }

    /// Returns the nonce of a request that is sent now.
    ///
    /// `now` is read before the request is sent: a later reading would stretch the freshness.
    pub fn start_request(&mut self, now: Instant) -> u64 {
        let nonce = self.next_nonce;
        self.next_nonce = nonce.wrapping_add(1);
        if self.pending.len() == MAX_PENDING {
            self.pending.remove(0);
        }
        self.pending.push((nonce, now));
        nonce
    }

    /// Takes a reply. Each nonce counts once.
    pub fn handle_reply(&mut self, reply: &FreshnessReply) -> ReplyOutcome {
        let waiting = self.pending.iter().position(|(nonce, _)| *nonce == reply.nonce);
        let Some(index) = waiting else { return ReplyOutcome::UnknownNonce };
        let (_, sent_at) = self.pending.remove(index);
        if !self.observe_term(reply.term) {
            return ReplyOutcome::OlderTerm;
        }
        if reply.revision < self.applied {
            return ReplyOutcome::OlderRevision;
        }
        // An age beyond the start of the clock cannot make anything fresh.
        let Some(current_at) = sent_at.checked_sub(Duration::from_millis(reply.age_ms)) else {
            return ReplyOutcome::OlderRevision;
        };
        let knowledge = KnownCommit { term: reply.term, revision: reply.revision, current_at };
        if self.known.is_none_or(|known| known.is_before(&knowledge)) {
            self.known = Some(knowledge);
        }
        let until = current_at + FRESHNESS_LIFETIME;
        if reply.revision > self.applied {
            let newer = self.behind.is_none_or(|known| (reply.revision, until) > known);
            if newer {
                self.behind = Some((reply.revision, until));
            }
            return ReplyOutcome::Behind { revision: reply.revision, until };
        }
        self.extend(until);
        ReplyOutcome::Fresh(self.fresh_until.unwrap_or(until))
    }

    /// Notes that a revision has been applied; returns false and changes nothing when it is older
    /// than the applied one.
    pub fn record_applied(&mut self, revision: Revision) -> bool {
        if revision < self.applied {
            return false;
        }
        self.applied = revision;
        if let Some((awaited, until)) = self.behind
            && revision >= awaited
        {
            self.behind = None;
            self.extend(until);
        }
        true
    }

    /// Notes the term of any message; returns false when it is older than the latest one.
    pub fn observe_term(&mut self, term: Term) -> bool {
        self.term = self.term.max(term);
        term >= self.term
    }

    /// Returns whether keyed requests are admitted.
    pub fn admits(&self, now: Instant) -> bool {
        self.fresh_until.is_some_and(|until| now < until)
    }

    /// Returns when the daemon stops admitting unless another reply arrives.
    pub fn fresh_until(&self) -> Option<Instant> {
        self.fresh_until
    }

    /// Returns the latest term of any message.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Returns the applied revision.
    pub fn applied_revision(&self) -> Revision {
        self.applied
    }

    /// Returns what this daemon, as a relay, may pass on.
    pub fn known_commit(&self) -> Option<KnownCommit> {
        self.known
    }

    fn extend(&mut self, until: Instant) {
        self.fresh_until = self.fresh_until.max(Some(until));
    }
}

impl KnownCommit {
    fn is_before(&self, other: &Self) -> bool {
        (self.term, self.revision, self.current_at) < (other.term, other.revision, other.current_at)
    }
}

/// Returns the leader's reply, none without a lease.
///
/// The lease must only be given by a leader that has committed an entry of its own term; before
/// that it may not know the last commit of its predecessor.
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

/// Returns a relay's reply, none while its knowledge is missing, too old or of an older term than
/// the latest one that the relay has seen.
pub fn relay_reply(
    nonce: u64,
    latest_term: Term,
    knowledge: Option<KnownCommit>,
    now: Instant,
) -> Option<FreshnessReply> {
    let known = knowledge.filter(|known| known.term >= latest_term)?;
    let age = now.saturating_duration_since(known.current_at);
    if age > MAX_RELAY_AGE {
        return None;
    }
    // Rounded up: a younger age would stretch the child's freshness.
    let age_ms = u64::try_from(age.as_nanos().div_ceil(1_000_000)).ok()?;
    Some(FreshnessReply { age_ms, nonce, revision: known.revision, term: known.term })
}

#[cfg(test)]
#[path = "freshness_tests.rs"]
mod tests;
