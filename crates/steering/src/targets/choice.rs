//! Choice of a target for one request.

use std::time::{Duration, Instant};

use celerygate_types::{DataCentreId, Incarnation, RegionId, SlotCount, TargetId};
use smol_str::SmolStr;

use super::Target;
use crate::lookup::rendezvous::mix;

/// Time over which the weight of a cold target rises to 100%.
pub const SLOW_START: Duration = Duration::from_secs(30);
/// Weight of a target when it becomes known.
pub const COLD_WEIGHT: f64 = 0.1;

/// Where the choosing daemon runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Location {
    /// Region.
    pub region: RegionId,
    /// Data centre.
    pub data_centre: DataCentreId,
}

/// Distance of a target from the choosing daemon; nearer targets are preferred.
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

/// Current use of a target as far as this daemon knows it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TargetUsage {
    /// Slots in use, over all VMs if known, otherwise by this VM.
    pub running: SlotCount,
    /// Slots that this VM may use now.
    pub free: SlotCount,
    /// Open connections that are in use.
    pub connections: u32,
}

/// The chosen target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SelectedTarget {
    /// Id of the target.
    pub target: TargetId,
    /// Region of the target.
    pub region: RegionId,
    /// Socket address.
    pub address: SmolStr,
    /// Incarnation, for the observation afterwards.
    pub incarnation: Incarnation,
    /// Distance from the choosing daemon.
    pub distance: Distance,
}

/// What to do with a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Choice {
    /// Send it to this target.
    Use(SelectedTarget),
    /// Wait for room, or ask for slots: no usable target has room.
    Wait,
    /// No target is usable.
    NoTarget,
}

/// Returns the weight of a target, from 0.1 when it becomes known to 1 at the end of the slow start.
pub fn weight(target: &Target, now: Instant) -> f64 {
    let known_for = now.saturating_duration_since(target.known_since).as_secs_f64();
    (COLD_WEIGHT + (1.0 - COLD_WEIGHT) * known_for / SLOW_START.as_secs_f64()).min(1.0)
}

/// Returns the distance of a target.
pub fn distance(place: &Location, target: &Target) -> Distance {
    if target.region != place.region {
        Distance::Remote
    } else if target.data_centre == place.data_centre {
        Distance::DataCentre
    } else {
        Distance::Region
    }
}

/// Chooses a target: the nearest with room, of those the least loaded relative to its slots and
/// connections.
///
/// `usage` returns the use of a target, or `None` if the target must not get this request because
/// it is drained, was tried before, or its link has no budget. `draw` is a random number for each
/// request: a cold target takes part in a share of the choices that equals its weight, and equally
/// loaded targets are chosen evenly.
pub fn choose(
    targets: &[Target],
    place: &Location,
    usage: impl Fn(&Target) -> Option<TargetUsage>,
    draw: u64,
    now: Instant,
) -> Choice {
    let mut best: Option<(Rank, &Target)> = None;
    let mut any_usable = false;
    for target in targets.iter().filter(|target| target.is_usable(now)) {
        let Some(current) = usage(target) else { continue };
        any_usable = true;
        if current.free == SlotCount::ZERO || current.connections >= target.connections {
            continue;
        }
        let hash = mix(draw, target.hash);
        let taking_part = unit(hash) < weight(target, now);
        let rank = Rank {
            distance: distance(place, target),
            sits_out: !taking_part,
            load: load_after(target, current),
            // Independent of the hash above, which is small for every cold target that takes part.
            tie: mix(hash, draw),
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
    sits_out: bool,
    load: f64,
    tie: u64,
}

impl Rank {
    /// Within a region, a target that does not sit out is worth the way to another data centre.
    fn place(&self) -> (bool, bool, Distance) {
        (self.distance == Distance::Remote, self.sits_out, self.distance)
    }

    fn is_before(&self, other: &Self) -> bool {
        self.place()
            .cmp(&other.place())
            .then(self.load.total_cmp(&other.load))
            .then(self.tie.cmp(&other.tie))
            .is_lt()
    }
}

/// Returns the load of a target with one more request, relative to its slots or connections,
/// whichever is scarcer.
fn load_after(target: &Target, current: TargetUsage) -> f64 {
    let relative = |used: u32, size: u32| (f64::from(used) + 1.0) / f64::from(size.max(1));
    relative(current.running.get(), target.slots.get())
        .max(relative(current.connections, target.connections))
}

fn unit(hash: u64) -> f64 {
    (hash >> 11) as f64 / (1_u64 << 53) as f64
}
