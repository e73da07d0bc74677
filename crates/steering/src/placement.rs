//! Placement of requests on targets with object affinity: requests for an object go to the targets
//! that handled it before, as long as those targets have capacity.
//!
//! All entry VMs rank the targets of an object by rendezvous hashing, so they agree on an object's
//! targets without exchanging messages. When a target reaches its load limit, requests go to the
//! next target in the ranking; when a data centre has no capacity, they go to the next nearest one.

use std::time::Duration;

use celerygate_types::{SlotCount, TargetId};
use smallvec::SmallVec;

use crate::lookup::rendezvous;
use crate::targets::Distance;

mod rate_limit;
mod shares;
mod stats;
mod throttle;
mod times;

pub use rate_limit::{ColdRateLimiter, TokenBucket};
pub use shares::{ObjectShares, SHARE_INTERVAL};
pub use stats::{AttemptEnd, ReportedLoad, TargetStats};
pub use throttle::{LoadSignal, OverloadThrottle};
pub use times::ProcessingTimes;

/// Targets per object that are considered in each group of equally distant targets.
const TARGETS_PER_OBJECT: usize = 2;
/// Targets per object that are considered in the own region when objects have region locality and
/// other regions have targets. A second target in the region would also have to keep the object,
/// and a region whose targets are busy has no capacity for that.
const TARGETS_PER_OBJECT_IN_REGION: usize = 1;
/// Requests per slot up to which a target accepts requests for an object that it knows. Such a
/// request takes a fraction of the time that it would take at any other target.
const MAX_UTILISATION_KNOWN_OBJECT: f64 = 1.7;
/// Requests per slot up to which an object's primary target accepts the first request for it.
const MAX_UTILISATION_UNKNOWN_OBJECT: f64 = 1.0;
/// Fraction of a request's remaining time within which the response must be expected.
const USABLE_TIME_FRACTION: f64 = 0.7;
/// Fraction of a request's remaining time that it may wait before it is sent. The later a request
/// is refused, the less time its caller has to retry.
const MAX_WAIT_FRACTION: f64 = 0.4;
/// Added to the expected time of a request that is sent to another region; a round trip between
/// regions takes 24 to 40 ms.
const CROSS_REGION_DELAY: Duration = Duration::from_millis(40);
/// Requests per slot up to which a target accepts unknown objects of which it is not the primary
/// target. Each of them evicts an object that the target knows, so only targets with spare capacity
/// accept them.
const MAX_UTILISATION_NON_PRIMARY: f64 = 0.7;
/// Cost of a failed or rejected attempt, in target latencies of the route: at best, the request is
/// retried on another target.
const FAILURE_PENALTY: f64 = 3.0;

/// Scope within which an object has one primary target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Locality {
    /// Each data centre has its own target for the object, because large responses should not be
    /// sent between data centres.
    DataCentre,
    /// The data centres of a region share the object's target: the region handles the first request
    /// for the object once, and the load of the data centres is balanced.
    Region,
}

impl Locality {
    /// Returns the distance to use for placement: with region locality, the whole region counts as
    /// the nearest group.
    pub fn distance(self, distance: Distance) -> Distance {
        match (self, distance) {
            (Self::Region, Distance::Region) => Distance::DataCentre,
            _ => distance,
        }
    }
}

/// A target that can serve a request.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// Id of the target.
    pub instance: TargetId,
    /// Hash of the id.
    pub hash: u64,
    /// Distance from this VM.
    pub distance: Distance,
    /// Requests that it runs concurrently.
    pub slots: SlotCount,
    /// Requests of all VMs at the target.
    pub load: f64,
    /// Whether it failed recently or misses heartbeats.
    pub is_avoided: bool,
    /// Whether it has recently handled the object of the request.
    pub knows_object: bool,
    /// Requests of this VM that are queued until it has capacity.
    pub waiting: u32,
    /// Average share of recent attempts that failed or were rejected.
    pub failure_share: f64,
    /// Whether the first request for the object is in progress there.
    pub first_request_pending: bool,
}

impl Candidate {
    fn slots(&self) -> f64 {
        f64::from(self.slots.get().max(1))
    }

    /// Returns the requests per slot.
    fn utilisation(&self) -> f64 {
        self.load / self.slots()
    }

    fn has_free_slot(&self) -> bool {
        self.load + 1.0 <= self.slots()
    }

    /// Returns the expected queueing time of one more request.
    fn wait(&self, times: &ProcessingTimes) -> Duration {
        let before = (self.load + 1.0 - self.slots()).max(0.0);
        times.mean().mul_f64(before / self.slots())
    }
}

/// Properties of a request that determine its placement.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest {
    /// Hash of its object; `None` for a request without affinity.
    pub object: Option<u64>,
    /// Target latency of its route.
    pub target_latency: Duration,
    /// Time until the caller's deadline.
    pub remaining: Duration,
}

/// Result of placing a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Placement {
    /// Send it to a candidate.
    Send {
        /// Index of the candidate.
        index: usize,
        /// Why it was chosen, for logs.
        reason: PlacementReason,
    },
    /// Queue it and place it again when the candidate has capacity or knows the object. A second
    /// request for an unknown object would take as long as the first one, and any other target does
    /// not know the object either.
    Wait {
        /// Index of the candidate.
        index: usize,
    },
    /// Refuse it: no candidate has capacity.
    Full,
    /// There is no candidate.
    NoTarget,
}

/// Why a target was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum PlacementReason {
    /// It is the primary target of the object.
    Object,
    /// It is another target of the object and has spare capacity.
    Room,
    /// The request has no object, and the target has a free slot.
    FreeSlot,
    /// Every candidate is avoided.
    LastResort,
}

/// All distances, nearest first.
const DISTANCES: [Distance; 3] = [Distance::DataCentre, Distance::Region, Distance::Remote];

/// Chooses a target for a request.
///
/// A request for an object whose near targets are full is refused, unless one of the object's
/// targets further away has spare capacity. At any other target it would take as long as an unknown
/// object and evict other objects, so an overload would sustain itself.
pub fn place(
    request: &PlacementRequest,
    candidates: &[Candidate],
    times: &ProcessingTimes,
    shares: &ObjectShares,
) -> Placement {
    if candidates.is_empty() {
        return Placement::NoTarget;
    }
    let healthy: SmallVec<[(usize, &Candidate); 64]> =
        candidates.iter().enumerate().filter(|(_, candidate)| !candidate.is_avoided).collect();
    if healthy.is_empty() {
        return match least_utilised(candidates.iter().enumerate()) {
            Some(index) => Placement::Send { index, reason: PlacementReason::LastResort },
            None => Placement::Full,
        };
    }
    match request.object {
        Some(object) => place_object(object, request, &healthy, times, shares),
        None => place_without_object(&healthy),
    }
}

fn place_object(
    object: u64,
    request: &PlacementRequest,
    healthy: &[(usize, &Candidate)],
    times: &ProcessingTimes,
    shares: &ObjectShares,
) -> Placement {
    let position = (rendezvous::mix(object, POSITION_SALT) >> 11) as f64 / (1_u64 << 53) as f64;
    let has_targets =
        |distance: &Distance| healthy.iter().any(|(_, candidate)| candidate.distance == *distance);
    let groups: SmallVec<[Distance; 3]> = DISTANCES.into_iter().filter(has_targets).collect();
    let primary_group = groups.iter().position(|distance| position < shares.of(*distance));
    // Without targets in other regions, the last group serves all remaining objects.
    let primary_group = primary_group.unwrap_or(groups.len() - 1);
    let time_budget = request.remaining.mul_f64(USABLE_TIME_FRACTION);
    // When all targets are busy, placing an object on a further target takes capacity away from the
    // objects that are already known there.
    let may_spread = mean_utilisation(healthy) < MAX_UTILISATION_NON_PRIMARY;
    let mut best: Option<(Duration, usize, PlacementReason)> = None;
    let mut primary_wait: Option<(Duration, usize)> = None;
    for (group, distance) in groups.iter().enumerate() {
        let network_delay =
            if *distance == Distance::Remote { CROSS_REGION_DELAY } else { Duration::ZERO };
        let is_shared_by_region =
            shares.locality == Locality::Region && *distance == Distance::DataCentre;
        let has_other_groups = groups.len() > 1;
        let limit = if is_shared_by_region && has_other_groups {
            TARGETS_PER_OBJECT_IN_REGION
        } else {
            TARGETS_PER_OBJECT
        };
        let targets = ranked_targets(object, healthy, *distance, limit);
        for (rank, (index, candidate)) in targets.into_iter().enumerate() {
            let is_primary = group == primary_group && rank == 0;
            let time = network_delay
                + candidate.wait(times)
                + times.expected(candidate.knows_object || candidate.first_request_pending);
            // The expected time is an estimate; it must not refuse a request that has a free slot.
            if time > time_budget && !candidate.has_free_slot() {
                continue;
            }
            if accepts(candidate, is_primary, may_spread) {
                // An unknown object evicts known ones from a target that is not its primary, so its
                // time counts twice.
                let evicts_objects = !is_primary && !candidate.knows_object;
                let cost = time
                    + request.target_latency.mul_f64(FAILURE_PENALTY * candidate.failure_share)
                    + if evicts_objects { times.expected(false) } else { Duration::ZERO };
                let reason =
                    if is_primary { PlacementReason::Object } else { PlacementReason::Room };
                if best.is_none_or(|(least, _, _)| cost < least) {
                    best = Some((cost, index, reason));
                }
            } else if is_primary {
                let slots = candidate.slots();
                let wait = acceptable_wait(candidate.waiting, slots, times, request.remaining);
                primary_wait = wait.map(|wait| (time + wait, index)).or(primary_wait);
            }
        }
    }
    match (best, primary_wait) {
        (Some((cost, index, reason)), Some((wait, _))) if cost <= wait => {
            Placement::Send { index, reason }
        }
        (_, Some((_, index))) => Placement::Wait { index },
        (Some((_, index, reason)), None) => Placement::Send { index, reason },
        (None, None) => Placement::Full,
    }
}

/// Returns the expected wait of a request behind those that wait for a target, unless it is too long
/// for the time that remains.
pub fn acceptable_wait(
    waiting: u32,
    slots: f64,
    times: &ProcessingTimes,
    remaining: Duration,
) -> Option<Duration> {
    let wait = times.mean().mul_f64(f64::from(waiting + 1) / slots);
    Some(wait).filter(|wait| *wait <= remaining.mul_f64(MAX_WAIT_FRACTION))
}

/// Returns whether a target accepts a request for an object now.
fn accepts(candidate: &Candidate, is_primary: bool, may_spread: bool) -> bool {
    if candidate.knows_object {
        candidate.utilisation() < MAX_UTILISATION_KNOWN_OBJECT
    } else if candidate.first_request_pending {
        false
    } else if is_primary {
        candidate.utilisation() < MAX_UTILISATION_UNKNOWN_OBJECT
    } else {
        may_spread && candidate.utilisation() < MAX_UTILISATION_NON_PRIMARY
    }
}

/// Returns the average requests per slot of several targets.
fn mean_utilisation(healthy: &[(usize, &Candidate)]) -> f64 {
    let load: f64 = healthy.iter().map(|(_, candidate)| candidate.load).sum();
    let slots: f64 = healthy.iter().map(|(_, candidate)| candidate.slots()).sum();
    load / slots.max(1.0)
}

/// Salt that makes the position of an object among the shares independent of its target ranking.
const POSITION_SALT: u64 = 0x5bd1_e995_7b93_4a4f;

/// Returns the highest-ranked targets of an object at a distance, best first.
fn ranked_targets<'a>(
    object: u64,
    healthy: &[(usize, &'a Candidate)],
    distance: Distance,
    limit: usize,
) -> SmallVec<[(usize, &'a Candidate); TARGETS_PER_OBJECT]> {
    let mut best: SmallVec<[(f32, usize, &Candidate); TARGETS_PER_OBJECT]> = SmallVec::new();
    for (index, candidate) in healthy.iter().filter(|(_, other)| other.distance == distance) {
        let score = rendezvous::score(object, candidate.hash, candidate.slots() as f32);
        let position = best.iter().position(|(other, _, _)| score > *other).unwrap_or(best.len());
        if position < limit {
            best.truncate(limit - 1);
            best.insert(position, (score, *index, candidate));
        }
    }
    best.into_iter().map(|(_, index, candidate)| (index, candidate)).collect()
}

fn place_without_object(healthy: &[(usize, &Candidate)]) -> Placement {
    for distance in DISTANCES {
        let group = healthy.iter().filter(|(_, candidate)| candidate.distance == distance);
        if let Some(index) = least_utilised(group.copied()) {
            return Placement::Send { index, reason: PlacementReason::FreeSlot };
        }
    }
    Placement::Full
}

fn least_utilised<'a>(group: impl Iterator<Item = (usize, &'a Candidate)>) -> Option<usize> {
    let open = group.filter(|(_, candidate)| candidate.has_free_slot());
    open.min_by(|(_, a), (_, b)| a.utilisation().total_cmp(&b.utilisation()))
        .map(|(index, _)| index)
}

#[cfg(test)]
#[path = "placement_tests.rs"]
mod tests;
