//! Lookups: selects the entry VMs that a caller should use.

use celerygate_types::wire::{DaemonRecord, DaemonRole, VmState};
use celerygate_types::{DataCentreId, RegionId};
use smol_str::SmolStr;

use rand::Rng;
use rand::seq::SliceRandom;

use crate::daemon::Daemon;

/// Maximum number of addresses in one reply.
pub const MAX_ADDRESSES: usize = 64;

/// Share of a data centre's entry VMs that must be serving for its callers to stay there. Below it,
/// the load of the remaining VMs grows by half or more: their links and processors are sized for
/// the callers of their own data centre.
const SERVING_SHARE_MIN: f64 = 0.7;

/// The same share for a region, whose callers would otherwise use other regions.
const REGION_SERVING_SHARE_MIN: f64 = 0.35;

/// Returns the addresses of the serving entry VMs in the nearest group (data centre, region, fleet)
/// of which a sufficient share is serving. `known` are all recently running entry VMs, whether
/// serving or not. Of more than [`MAX_ADDRESSES`], each answer has others, so that the callers of a
/// lost region load all of them.
pub fn nearest_entries(
    known: &[DaemonRecord],
    region: &RegionId,
    data_centre: &DataCentreId,
    random: &mut impl Rng,
) -> Vec<SmolStr> {
    let group = |is_near: &dyn Fn(&DaemonRecord) -> bool, share_min| -> Option<Vec<SmolStr>> {
        let near: Vec<&DaemonRecord> = known.iter().filter(|record| is_near(record)).collect();
        let serving = near.iter().filter(|record| record.state == VmState::Serving);
        let addresses: Vec<SmolStr> =
            serving.filter_map(|record| record.callers_address.clone()).collect();
        let is_enough = addresses.len() as f64 >= near.len() as f64 * share_min;
        (is_enough && !addresses.is_empty()).then_some(addresses)
    };
    let nearest = group(&|record| record.data_centre == *data_centre, SERVING_SHARE_MIN)
        .or_else(|| group(&|record| record.region == *region, REGION_SERVING_SHARE_MIN));
    let mut addresses = nearest.or_else(|| group(&|_| true, 0.0)).unwrap_or_default();
    if addresses.len() > MAX_ADDRESSES {
        let (chosen, _) = addresses.partial_shuffle(random, MAX_ADDRESSES);
        return chosen.to_vec();
    }
    addresses
}

/// Resolves a lookup from the records that this daemon has: a control VM receives them from the
/// entry VMs directly, an entry VM from the control VMs.
pub fn resolve(daemon: &Daemon, region: &RegionId, data_centre: &DataCentreId) -> Vec<SmolStr> {
    let now = daemon.now();
    let mut known = daemon.tables.daemons.lock().recent(DaemonRole::Entry, daemon.role(), now);
    if daemon.role() == DaemonRole::Entry {
        known.push(daemon.own_record());
    }
    let addresses = nearest_entries(&known, region, data_centre, &mut rand::rng());
    if addresses.is_empty() {
        log::info!(region = region.as_str(), data_centre = data_centre.as_str(),
            known = known.len(); "lookup found no entry VM");
    } else {
        log::debug!(region = region.as_str(), data_centre = data_centre.as_str(),
            known = known.len(), addresses = addresses.len(); "lookup answered");
    }
    addresses
}

#[cfg(test)]
#[path = "lookup_tests.rs"]
mod tests;
