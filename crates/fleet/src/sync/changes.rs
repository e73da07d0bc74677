//! Changes of targets in messages between daemons.

use std::time::Instant;

use celerygate_steering::instances::InstanceTable;
use celerygate_types::wire::{RelayedInstance, SyncReply, TargetDeparture};

use crate::daemon::Daemon;

/// Maximum number of targets, and of departures, in one message, so that it takes a fraction of a
/// second on a slow link.
const MAX_PER_MESSAGE: usize = 256;

/// The first changes of a table after a version.
#[derive(Debug)]
pub(super) struct TargetChanges {
    /// Records of the targets that have changed.
    pub(super) targets: Vec<RelayedInstance>,
    /// Departures that were added.
    pub(super) departures: Vec<TargetDeparture>,
    /// Version through which the changes are complete.
    pub(super) through: u64,
}

impl TargetChanges {
    /// Returns the changes since a version, in the order in which they were made.
    pub(super) fn since(instances: &InstanceTable, since: u64, now: Instant) -> Self {
        let changed = instances.changed_since(since);
        let mut targets: Vec<_> = changed.map(|instance| (instance.version, instance)).collect();
        let mut departures: Vec<_> = instances.departures_since(since, now).collect();
        let targets_through = truncate_by_version(&mut targets, instances.version());
        let through = truncate_by_version(&mut departures, targets_through);
        // Neither list is complete beyond the end of the shorter one.
        targets.retain(|(version, _)| *version <= through);
        departures.retain(|(version, _)| *version <= through);
        let targets = targets.into_iter().map(|(_, instance)| instance.relayed(now));
        let departures = departures.into_iter().map(|(_, departure)| departure);
        Self { targets: targets.collect(), departures: departures.collect(), through }
    }
}

/// Keeps the earliest changes and returns the version through which they are complete, at most
/// `through`.
fn truncate_by_version<T>(changes: &mut Vec<(u64, T)>, through: u64) -> u64 {
    changes.sort_unstable_by_key(|(version, _)| *version);
    if changes.len() <= MAX_PER_MESSAGE {
        return through;
    }
    changes.truncate(MAX_PER_MESSAGE);
    changes.last().map_or(through, |(version, _)| through.min(*version))
}

/// Returns whether a reply contains only the first of the changes.
pub(super) fn is_truncated(reply: &SyncReply) -> bool {
    reply.targets.len() == MAX_PER_MESSAGE || reply.departures.len() == MAX_PER_MESSAGE
}

/// Returns the latest departures that this daemon knows.
pub(super) fn own_departures(daemon: &Daemon) -> Vec<TargetDeparture> {
    let instances = daemon.tables.instances.read();
    let mut departures: Vec<_> = instances.departures_since(0, daemon.now()).collect();
    departures.sort_unstable_by_key(|(version, _)| std::cmp::Reverse(*version));
    departures.truncate(MAX_PER_MESSAGE);
    departures.into_iter().map(|(_, departure)| departure).collect()
}

#[cfg(test)]
#[path = "changes_tests.rs"]
mod tests;
