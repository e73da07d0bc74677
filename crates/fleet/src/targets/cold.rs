//! Request limits of cold targets: which entry VMs send requests to them, and how many.

use std::time::Instant;

use celerygate_steering::lookup::rendezvous;
use celerygate_types::wire::DaemonRole;
use celerygate_types::{DataCentreId, ServiceId, TargetId};
use smallvec::SmallVec;

use super::IndexedTarget;
use crate::daemon::Daemon;
use crate::tables::{Content, LocalTargetStates};

/// Number of entry VMs that send to one cold target. Each may send one request at once in addition
/// to its share of the target's rate; the sum of these requests must stay within the slack of the
/// smallest deployments.
const COLD_SENDERS: usize = 4;

/// Returns the nearest cold target that may get a request now, or an empty list, and takes its
/// token from the rate limiter.
pub(super) fn sendable_cold_targets<'a>(
    daemon: &Daemon,
    content: &Content,
    local: &mut LocalTargetStates,
    service: &ServiceId,
    mut cold: Vec<&'a IndexedTarget>,
    now: Instant,
) -> Vec<&'a IndexedTarget> {
    if cold.is_empty() {
        return cold;
    }
    let senders = cold_senders(daemon);
    let rate = content.routing.service(service).map_or(0.0, |rule| rule.cold_requests_per_s);
    let senders_max = COLD_SENDERS.min(daemon.tables.entry_vms());
    cold.retain(|target| {
        let stats = local.stats.get(&target.instance);
        !stats.is_some_and(|stats| stats.is_avoided(now))
            && is_sender(daemon, &senders, &target.instance)
    });
    // Only the nearest one, since the check takes a token from the target's own rate limit.
    cold.sort_by_key(|target| target.distance);
    let taken = cold
        .into_iter()
        .find(|target| local.cold_limiter.try_acquire(&target.instance, rate, senders_max, now));
    taken.into_iter().collect()
}

pub(super) fn may_be_cold(
    local: &LocalTargetStates,
    instance: &TargetId,
    data_centre: &DataCentreId,
    now: Instant,
) -> bool {
    let is_future = |until: Option<&Instant>| until.is_some_and(|until| *until > now);
    is_future(local.suspected_cold_until.get(instance))
        || is_future(local.evacuation_cold_until.get(data_centre))
}

/// Returns the hashes of the entry VMs including this one.
fn cold_senders(daemon: &Daemon) -> SmallVec<[u64; 32]> {
    let daemons = daemon.tables.daemons.lock();
    let others = daemons.known.values().filter(|known| known.record.role == DaemonRole::Entry);
    let mut senders: SmallVec<[u64; 32]> =
        others.map(|known| rendezvous::id_hash(known.record.vm.as_str())).collect();
    senders.push(rendezvous::id_hash(daemon.settings.vm.as_str()));
    senders.sort_unstable();
    senders.dedup();
    senders
}

/// Returns whether this VM is one of the senders of a cold target.
fn is_sender(daemon: &Daemon, senders: &[u64], instance: &TargetId) -> bool {
    let own = rendezvous::id_hash(daemon.settings.vm.as_str());
    let subject = rendezvous::id_hash(instance.as_str());
    let own_score = rendezvous::score(subject, own, 1.0);
    let ahead = senders
        .iter()
        .filter(|sender| **sender != own && rendezvous::score(subject, **sender, 1.0) > own_score);
    ahead.count() < COLD_SENDERS
}
