//! Tracks when a committed change is in force on every daemon.

use std::collections::{BTreeMap, VecDeque};
use std::time::Instant;

use celerygate_types::{Revision, VmId};

use super::IN_FORCE_TIMEOUT;

/// How the leader learned which revision a daemon has applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AckSource {
    /// From the daemon's own freshness request to the leader, recorded before the reply is sent.
    Direct,
    /// From a heartbeat or a relay.
    Relayed,
}

#[derive(Clone, Debug)]
struct Daemon {
    acknowledged_revision: Revision,
    /// Whether only the leader sends freshness replies to the daemon. Otherwise a relay may keep
    /// the daemon fresh, and a lack of requests to the leader proves nothing.
    polls_leader: bool,
    /// Time of the last freshness request to this leader. Before the first one, the time at which
    /// the daemon was added or became a direct child of the leader.
    last_request_at: Instant,
}

/// The leader's record of which revision is in force on every daemon. Each term starts with a new
/// record.
///
/// A revision is in force once each daemon has acknowledged it or is known not to be fresh, and at
/// the latest 4,400 ms after its commit.
#[derive(Clone, Debug, Default)]
pub struct InForceTracker {
    daemons: BTreeMap<VmId, Daemon>,
    /// Revisions that are not in force yet, in order, with the times of their commits.
    pending_commits: VecDeque<(Revision, Instant)>,
    in_force: Revision,
}

impl InForceTracker {
    /// Sets the daemons of the configuration and whether each polls the leader directly.
    ///
    /// Called at the start of a lease and whenever a change of the members is applied. A daemon
    /// that is added, or that now polls the leader, may have been kept fresh by another parent, so
    /// the time without a request counts from `now`.
    pub fn set_members(&mut self, members: impl IntoIterator<Item = (VmId, bool)>, now: Instant) {
        let mut previous = std::mem::take(&mut self.daemons);
        for (vm, polls_leader) in members {
            let new = Daemon {
                acknowledged_revision: Revision::ZERO,
                polls_leader: false,
                last_request_at: now,
            };
            let mut daemon = previous.remove(&vm).unwrap_or(new);
            if polls_leader && !daemon.polls_leader {
                daemon.last_request_at = now;
            }
            daemon.polls_leader = polls_leader;
            self.daemons.insert(vm, daemon);
        }
    }

    /// Records a commit. A new leader records its initial revision at the start of its lease.
    pub fn record_commit(&mut self, revision: Revision, now: Instant) {
        let last = self.pending_commits.back().map_or(self.in_force, |(last, _)| *last);
        if revision > last {
            self.pending_commits.push_back((revision, now));
        }
    }

    /// Records the revision that a daemon has applied.
    pub fn record_acknowledgement(
        &mut self,
        vm: &VmId,
        revision: Revision,
        source: AckSource,
        now: Instant,
    ) {
        if let Some(daemon) = self.daemons.get_mut(vm) {
            daemon.acknowledged_revision = daemon.acknowledged_revision.max(revision);
            if source == AckSource::Direct {
                daemon.last_request_at = now;
            }
        }
    }

    /// Returns the last revision that is in force on every daemon.
    pub fn revision_in_force(&mut self, now: Instant) -> Revision {
        let acknowledged = self.lowest_acknowledged(now);
        while let Some((revision, committed_at)) = self.pending_commits.front() {
            let has_timed_out = now.saturating_duration_since(*committed_at) >= IN_FORCE_TIMEOUT;
            if *revision > acknowledged && !has_timed_out {
                break;
            }
            self.in_force = *revision;
            self.pending_commits.pop_front();
        }
        self.in_force
    }

    /// Returns the lowest revision acknowledged by the daemons that may be fresh.
    fn lowest_acknowledged(&self, now: Instant) -> Revision {
        let may_be_fresh = |daemon: &&Daemon| {
            !daemon.polls_leader
                || now.saturating_duration_since(daemon.last_request_at) < IN_FORCE_TIMEOUT
        };
        let candidates = self.daemons.values().filter(may_be_fresh);
        candidates.map(|daemon| daemon.acknowledged_revision).min().unwrap_or(Revision(u64::MAX))
    }
}
