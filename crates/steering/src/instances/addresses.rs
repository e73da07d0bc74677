//! Instances that report the same address.
//!
//! An address belongs to the process that answers there. Reports only suggest which one that is: usually a
//! target has ended, and another one has started at its address, but another writer can report any
//! address. A request names its instance, and another one refuses it without running it.

use std::collections::HashMap;
use std::time::Instant;

use celerygate_types::wire::InstanceRecord;
use smallvec::SmallVec;
use smol_str::SmolStr;

use super::{Instance, MAX_MISSED_HEARTBEATS};

/// Number of heartbeats for which a later process displaces the earlier one at its address. By then, a
/// target that has ended counts as silent, also if its last heartbeat was late.
pub const DISPLACEMENT_HEARTBEATS: u32 = 2 * MAX_MISSED_HEARTBEATS;

#[derive(Clone, Copy, Debug)]
struct Occupant {
    born_unix_ms: u64,
    address_since: Instant,
}

/// The instances that report each address.
#[derive(Debug, Default)]
pub struct InstancesByAddress<'a> {
    occupants: HashMap<&'a SmolStr, SmallVec<[Occupant; 1]>>,
}

impl<'a> InstancesByAddress<'a> {
    pub(super) fn insert(&mut self, instance: &'a Instance) {
        let Instance { record, address_since, .. } = instance;
        let occupant =
            Occupant { born_unix_ms: record.born_unix_ms, address_since: *address_since };
        self.occupants.entry(&record.address).or_default().push(occupant);
    }

    /// Returns since when a target that started later than a record's has been known at its address, none
    /// if there is no such target. Of several, the one that is known longest counts: whoever reports
    /// ever new targets displaces the earlier one no longer than with a single one.
    pub fn displaced_since(&self, record: &InstanceRecord) -> Option<Instant> {
        let occupants = self.occupants.get(&record.address)?;
        let later = occupants.iter().filter(|other| other.born_unix_ms > record.born_unix_ms);
        later.map(|other| other.address_since).min()
    }
}

#[cfg(test)]
#[path = "addresses_tests.rs"]
mod tests;
