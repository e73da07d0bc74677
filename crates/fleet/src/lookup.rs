//! Which entry VMs a caller should use.

use celerygate_types::wire::{DaemonRecord, DaemonRole, VmState};
use celerygate_types::{DataCentreId, RegionId};
use smol_str::SmolStr;

use crate::fleet::Fleet;

/// Most addresses in one answer.
pub const MAX_ADDRESSES: usize = 64;

/// Returns the addresses of the entry VMs that are nearest to a caller; none when none is known to
/// run.
pub fn nearest_entries(
    entries: &[DaemonRecord],
    region: &RegionId,
    data_centre: &DataCentreId,
) -> Vec<SmolStr> {
    let serving = |record: &&DaemonRecord| {
        record.state == VmState::Serving && record.callers_address.is_some()
    };
    let select = |is_near: &dyn Fn(&DaemonRecord) -> bool| -> Vec<SmolStr> {
        let near = entries.iter().filter(serving).filter(|record| is_near(record));
        near.filter_map(|record| record.callers_address.clone()).take(MAX_ADDRESSES).collect()
    };
    let same_centre = select(&|record| record.data_centre == *data_centre);
    if !same_centre.is_empty() {
        return same_centre;
    }
    let same_region = select(&|record| record.region == *region);
    if !same_region.is_empty() {
        return same_region;
    }
    select(&|_| true)
}

/// Answers a lookup from what this control VM has heard.
pub fn answer(fleet: &Fleet, region: &RegionId, data_centre: &DataCentreId) -> Vec<SmolStr> {
    let now = fleet.now();
    let entries: Vec<DaemonRecord> =
        fleet.tables.daemons.lock().running(DaemonRole::Entry, now).cloned().collect();
    let addresses = nearest_entries(&entries, region, data_centre);
    if addresses.is_empty() {
        log::info!(region = region.as_str(), data_centre = data_centre.as_str(),
            running = entries.len(); "lookup without an entry VM");
    } else {
        log::debug!(region = region.as_str(), data_centre = data_centre.as_str(),
            running = entries.len(), addresses = addresses.len(); "lookup answered");
    }
    addresses
}

#[cfg(test)]
#[path = "lookup_tests.rs"]
mod tests;
