//! Measured load of regions, links, services and targets.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::{ByteRate, RegionId, ServiceId, SlotCount, TargetId};

/// Load and capacity of a region over all services.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RegionLoad {
    /// Slots in use.
    pub load_slots: SlotCount,
    /// Slots of all usable targets.
    pub capacity_slots: SlotCount,
    /// Age of the oldest report that is included in this load.
    pub age: Duration,
}

/// Usage of the directed link between two regions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkUsage {
    /// Bytes per second of all traffic in this direction.
    pub use_bytes_per_s: ByteRate,
    /// Age of the oldest report that is included in this usage.
    pub age: Duration,
}

/// Load of a service in the region that serves it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServiceRegionLoad {
    /// Slots in use.
    pub running_slots: SlotCount,
    /// Slots of the service's usable targets in the region.
    pub capacity_slots: SlotCount,
    /// Bytes per second sent to callers.
    pub sent_bytes_per_s: ByteRate,
}

/// Region and announced capacity of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetCapacity {
    /// Region of the target.
    pub region: RegionId,
    /// Announced slots.
    pub slots: SlotCount,
}

/// The load of the system as the leader has aggregated it from reports.
///
/// A region or a link that is missing has not been measured. A service that is missing in a
/// measured region has no load and no targets there.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Measurements {
    /// Load of each region.
    pub regions: BTreeMap<RegionId, RegionLoad>,
    /// Usage of each link, by sending and receiving region.
    pub links: BTreeMap<(RegionId, RegionId), LinkUsage>,
    /// Load of each service in each region.
    pub services: BTreeMap<(ServiceId, RegionId), ServiceRegionLoad>,
    /// Region and capacity of each usable target.
    pub targets: BTreeMap<(ServiceId, TargetId), TargetCapacity>,
}

impl Measurements {
    /// Returns the load of a service in a region, zero when it has none.
    pub fn service(&self, service: &ServiceId, region: &RegionId) -> ServiceRegionLoad {
        self.services.get(&(service.clone(), region.clone())).copied().unwrap_or_default()
    }
}
