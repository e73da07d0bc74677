//! When a committed change is in force on every daemon.

use std::collections::{BTreeMap, VecDeque};
use std::time::Instant;

use celerygate_types::{Revision, VmId};

use super::IN_FORCE_TIMEOUT;

/// How the leader learned what a daemon has applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AckSource {
    /// From the daemon's own freshness request to the leader, noted before the reply is sent.
    Direct,
    /// From a heartbeat or a relay.
    Relayed,
}

#[derive(Clone, Debug)]
struct Daemon {
    acknowledged: Revision,
    /// Whether the leader is the only one that keeps the daemon fresh. The silence of a daemon that
    /// a relay may keep fresh says nothing.
    direct: bool,
    /// Time of the last freshness request to this leader or, before that, of the start.
    asked_at: Instant,
}

/// The leader's record of which revision is in force on every daemon; new with each term.
///
/// A revision is in force when each daemon has acknowledged it or is known to be not fresh, and at
/// the latest 4,400 ms after its commit.
#[derive(Clone, Debug, Default)]
pub struct InForceTracker {
    daemons: BTreeMap<VmId, Daemon>,
    /// Revisions that are not in force yet, in order, with the time of their commit.
    commits: VecDeque<(Revision, Instant)>,
    in_force: Revision,
}

impl InForceTracker {
    /// Sets the daemons of the configuration and whether each has the leader as its parent.
    ///
    /// Called at the start of a lease and whenever a change of the members is applied. A daemon that
    /// is new here may have been kept fresh by somebody else until now.
    pub fn set_members(&mut self, members: impl IntoIterator<Item = (VmId, bool)>, now: Instant) {
        let mut before = std::mem::take(&mut self.daemons);
        for (vm, direct) in members {
            let new = Daemon { acknowledged: Revision::ZERO, direct: false, asked_at: now };
            let mut daemon = before.remove(&vm).unwrap_or(new);
            if direct && !daemon.direct {
                daemon.asked_at = now;
            }
            daemon.direct = direct;
            self.daemons.insert(vm, daemon);
        }
    }

    /// Notes a commit; a new leader notes the revision it starts with at the start of its lease.
    pub fn record_commit(&mut self, revision: Revision, now: Instant) {
        let last = self.commits.back().map_or(self.in_force, |(last, _)| *last);
        if revision > last {
            self.commits.push_back((revision, now));
        }
    }

    /// Notes the revision that a daemon has applied.
    pub fn record_acknowledgement(
        &mut self,
        vm: &VmId,
        revision: Revision,
        report: AckSource,
        now: Instant,
    ) {
        if let Some(daemon) = self.daemons.get_mut(vm) {
            daemon.acknowledged = daemon.acknowledged.max(revision);
            if report == AckSource::Direct {
                daemon.asked_at = now;
            }
        }
    }

    /// Returns the last revision that is in force on every daemon.
    pub fn revision_in_force(&mut self, now: Instant) -> Revision {
        let acknowledged = self.acknowledged_by_all(now);
        while let Some((revision, committed_at)) = self.commits.front() {
            let by_time = now.saturating_duration_since(*committed_at) >= IN_FORCE_TIMEOUT;
            if *revision > acknowledged && !by_time {
                break;
            }
            self.in_force = *revision;
            self.commits.pop_front();
        }
        self.in_force
    }

    /// Returns the lowest acknowledged revision of the daemons that may be fresh.
    fn acknowledged_by_all(&self, now: Instant) -> Revision {
        let may_be_fresh = |daemon: &&Daemon| {
            !daemon.direct || now.saturating_duration_since(daemon.asked_at) < IN_FORCE_TIMEOUT
        };
        let live = self.daemons.values().filter(may_be_fresh);
        live.map(|daemon| daemon.acknowledged).min().unwrap_or(Revision(u64::MAX))
    }
}
