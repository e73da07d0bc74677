//! Selection of a target for a request.

use std::time::{Duration, Instant};

use celerygate_types::{DataCentreId, Incarnation, RegionId, SlotCount, TargetId};
use smol_str::SmolStr;

use super::Target;
use crate::availability::Eligibility;
use crate::lookup::rendezvous::mix;

/// Time in which the weight of a cold target rises to 1.
pub const SLOW_START: Duration = Duration::from_secs(30);
/// Initial weight of a new target.
pub const COLD_WEIGHT: f64 = 0.1;

/// Region and data centre of a daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Location {
    /// Region of the daemon.
    pub region: RegionId,
    /// Data centre of the daemon.
    pub data_centre: DataCentreId,
}

/// Distance between a daemon and a target; nearer targets are preferred.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Distance {
    /// Same data centre.
    DataCentre,
    /// Same region.
    Region,
    /// Another region.
    Remote,
}

/// Current usage of a target as known to this daemon.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TargetUsage {
    /// Slots in use by all VMs if known, otherwise by this VM.
    pub running: SlotCount,
    /// Free slots that this VM may use.
    pub free: SlotCount,
    /// Connections of this VM in use, one for each of its requests.
    pub connections: u32,
}

/// A selected target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SelectedTarget {
    /// Id of the target.
    pub target: TargetId,
    /// Region of the target.
    pub region: RegionId,
    /// Socket address of the target.
    pub address: SmolStr,
    /// Incarnation, to attribute the observed result.
    pub incarnation: Incarnation,
    /// Distance from the daemon.
    pub distance: Distance,
}

/// Result of a target selection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Choice {
    /// Send the request to this target.
    Use(SelectedTarget),
    /// Queue the request or request slots: no usable target has a free slot and a free connection.
    Wait,
    /// No target is usable.
    NoTarget,
}

/// Returns the slow-start weight of a target: from 0.1 for a new target to 1 after [`SLOW_START`].
pub fn weight(target: &Target, now: Instant) -> f64 {
    let known_for = now.saturating_duration_since(target.known_since).as_secs_f64();
    (COLD_WEIGHT + (1.0 - COLD_WEIGHT) * known_for / SLOW_START.as_secs_f64()).min(1.0)
}

/// Returns the distance between a location and a target.
pub fn distance(location: &Location, target: &Target) -> Distance {
    if target.region != location.region {
        Distance::Remote
    } else if target.data_centre == location.data_centre {
        Distance::DataCentre
    } else {
        Distance::Region
    }
}

/// Selects the least loaded of the nearest targets with capacity. The load is relative to the
/// target's slots and connections.
///
/// `usage` returns the usage of a target, or `None` if the target must not get this request because
/// it is drained, was tried before, or its link has no budget. `random` is a random number per
/// request: a cold target is eligible for a share of the requests equal to its weight, and requests
/// are distributed evenly over equally loaded targets.
pub fn choose(
    targets: &[Target],
    location: &Location,
    usage: impl Fn(&Target) -> Option<TargetUsage>,
    random: u64,
    now: Instant,
) -> Choice {
    let mut best: Option<(Rank, &Target)> = None;
    let mut any_usable = false;
    for target in targets.iter().filter(|target| target.accepts_requests(now)) {
        let Some(current) = usage(target) else { continue };
        any_usable = true;
        let eligibility = target.availability.eligibility(current.connections, now);
        if current.free == SlotCount::ZERO
            || current.connections >= target.connections
            || eligibility != Eligibility::Eligible
        {
            continue;
        }
        let hash = mix(random, target.hash);
        let is_eligible = to_unit_interval(hash) < weight(target, now);
        let rank = Rank {
            distance: distance(location, target),
            is_ineligible: !is_eligible,
            load: load_with_request(target, current),
            // Independent of the hash above, which is small for every eligible cold target.
            tie_breaker: mix(hash, random),
        };
        if best.as_ref().is_none_or(|(known, _)| rank.is_before(known)) {
            best = Some((rank, target));
        }
    }
    match best {
        Some((rank, target)) => Choice::Use(SelectedTarget {
            target: target.target.clone(),
            region: target.region.clone(),
            address: target.address.clone(),
            incarnation: target.incarnation,
            distance: rank.distance,
        }),
        None if any_usable => Choice::Wait,
        None => Choice::NoTarget,
    }
}

struct Rank {
    distance: Distance,
    is_ineligible: bool,
    load: f64,
    tie_breaker: u64,
}

impl Rank {
    /// Returns the sort key before load. Within a region, an eligible target in another data centre
    /// is preferred to a cold target that is not eligible.
    fn preference(&self) -> (bool, bool, Distance) {
        (self.distance == Distance::Remote, self.is_ineligible, self.distance)
    }

    fn is_before(&self, other: &Self) -> bool {
        self.preference()
            .cmp(&other.preference())
            .then(self.load.total_cmp(&other.load))
            .then(self.tie_breaker.cmp(&other.tie_breaker))
            .is_lt()
    }
}

/// Returns the load of a target with one more request, relative to its slots or connections,
/// whichever ratio is higher.
fn load_with_request(target: &Target, current: TargetUsage) -> f64 {
    let relative = |used: u32, size: u32| (f64::from(used) + 1.0) / f64::from(size.max(1));
    relative(current.running.get(), target.slots.get())
        .max(relative(current.connections, target.connections))
}

/// Maps a hash to the interval [0, 1).
fn to_unit_interval(hash: u64) -> f64 {
    (hash >> 11) as f64 / (1_u64 << 53) as f64
}
