//! Placement of requests on targets: objects stay on the targets that know them, as long as these
//! have room.
//!
//! All entry VMs order the targets of an object in the same way, so an object keeps its targets
//! without any message about it. A target above its bound passes the object on to the next one in
//! the order, and a data centre without room to the next nearest one.

use std::time::Duration;

use celerygate_types::{SlotCount, TargetId};
use smallvec::SmallVec;

use crate::lookup::rendezvous;
use crate::targets::Distance;

mod observed;
mod pace;
mod shares;
mod times;

pub use observed::{AttemptEnd, ReportedLoad, TargetStats};
pub use pace::{ColdRateLimiter, TokenBucket};
pub use shares::{ObjectShares, SHARE_INTERVAL};
pub use times::ProcessingTimes;

/// Targets of an object's order that are tried in each group of equally distant targets.
const TARGETS_PER_OBJECT: usize = 2;
/// The same for the own region, when objects keep to regions and other regions have targets: a
/// second target there would have to remember the object too, and a region whose targets are busy
/// has no room for that.
const TARGETS_PER_OBJECT_OF_REGION: usize = 1;
/// Requests per slot up to which requests wait at a target that knows their object. Such a request
/// takes a part of the work that it would cause anywhere else.
const FILL_KNOWN: f64 = 1.7;
/// Requests per slot up to which an object's own target meets it for the first time.
const FILL_UNKNOWN: f64 = 1.0;
/// Part of the time that is left within which an answer must be expected.
const REMAINING_USED: f64 = 0.7;
/// Part of the time that is left for which a request may be expected to wait before it is sent. A
/// request that is refused late has less time to come back.
const REMAINING_WAITED: f64 = 0.4;
/// Time that an answer takes longer from another region, which has to be made up for by a shorter
/// wait there; a round trip between regions takes 24 to 40 ms.
const REMOTE_DETOUR: Duration = Duration::from_millis(40);
/// Requests per slot up to which a target takes requests of objects that belong to other targets.
/// Each of them displaces an object that the target knows, so only targets with room take them.
const FILL_FOR_OTHERS: f64 = 0.7;
/// Time that a failed or rejected attempt costs a request, in target latencies of its route: it is
/// repeated elsewhere at best.
const FAILURE_COST: f64 = 3.0;

/// Within which bounds an object keeps to one target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Locality {
    /// Each data centre has a target of its own for the object, as large responses should not cross
    /// between data centres.
    DataCentre,
    /// The data centres of a region share the object's target: it meets the object once, and the
    /// load of the data centres evens out.
    Region,
}

impl Locality {
    /// Returns the distance that counts for an object.
    pub fn distance(self, distance: Distance) -> Distance {
        match (self, distance) {
            (Self::Region, Distance::Region) => Distance::DataCentre,
            _ => distance,
        }
    }
}

/// A target that may serve a request.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// Id.
    pub instance: TargetId,
    /// Hash of the id.
    pub hash: u64,
    /// Distance from this VM.
    pub distance: Distance,
    /// Requests that it runs at the same time.
    pub slots: SlotCount,
    /// Requests at the target over all VMs.
    pub load: f64,
    /// Whether it failed recently or is silent.
    pub is_avoided: bool,
    /// Whether it has handled the object of the request.
    pub knows_object: bool,
    /// Requests of this VM that wait until it has room.
    pub waiting: u32,
    /// Share of the attempts there that failed or were rejected lately.
    pub failure_share: f64,
    /// Whether it is about to know the object: the first request for it is under way.
    pub first_request_pending: bool,
}

impl Candidate {
    fn slots(&self) -> f64 {
        f64::from(self.slots.get().max(1))
    }

    fn fill(&self) -> f64 {
        self.load / self.slots()
    }

    fn has_free_slot(&self) -> bool {
        self.load + 1.0 <= self.slots()
    }

    /// Returns the time for which a further request waits.
    fn wait(&self, times: &ProcessingTimes) -> Duration {
        let before = (self.load + 1.0 - self.slots()).max(0.0);
        times.mean().mul_f64(before / self.slots())
    }
}

/// What a request needs.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest {
    /// Hash of its object.
    pub object: Option<u64>,
    /// Time within which an answer has its full worth.
    pub target_latency: Duration,
    /// Time until the caller gives up.
    pub remaining: Duration,
}

/// Where a request goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Placement {
    /// To the candidate with this index; the reason is for logs.
    Send {
        /// Index of the candidate.
        index: usize,
        /// Why it was chosen.
        reason: PlacementReason,
    },
    /// Decide again when the candidate with this index has room or knows the object. A second
    /// request for an unknown object would take as long as the first one, and another target would
    /// meet the object for the first time too.
    Wait {
        /// Index of the candidate.
        index: usize,
    },
    /// Every candidate is full.
    Full,
    /// There is no candidate.
    NoTarget,
}

/// Why a target was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum PlacementReason {
    /// The object belongs to it.
    Object,
    /// The object belongs to a full target, and it has room.
    Room,
    /// The request has no object, and it has a free slot.
    FreeSlot,
    /// Only avoided targets are left.
    LastResort,
}

/// The distances, the nearest first.
const DISTANCES: [Distance; 3] = [Distance::DataCentre, Distance::Region, Distance::Remote];

/// Chooses a target for a request.
///
/// A request whose object belongs to full targets is refused unless one of the object's targets
/// further away has room. Sent to any other target, it would take the time of an unknown object
/// and displace objects there, and an overload would keep itself up.
pub fn place(
    need: &PlacementRequest,
    candidates: &[Candidate],
    times: &ProcessingTimes,
    shares: &ObjectShares,
) -> Placement {
    if candidates.is_empty() {
        return Placement::NoTarget;
    }
    let sound: SmallVec<[(usize, &Candidate); 64]> =
        candidates.iter().enumerate().filter(|(_, candidate)| !candidate.is_avoided).collect();
    if sound.is_empty() {
        return match emptiest(candidates.iter().enumerate()) {
            Some(index) => Placement::Send { index, reason: PlacementReason::LastResort },
            None => Placement::Full,
        };
    }
    match need.object {
        Some(object) => place_object(object, need, &sound, times, shares),
        None => place_any(&sound),
    }
}

fn place_object(
    object: u64,
    need: &PlacementRequest,
    sound: &[(usize, &Candidate)],
    times: &ProcessingTimes,
    shares: &ObjectShares,
) -> Placement {
    let position = (rendezvous::mix(object, POSITION_SALT) >> 11) as f64 / (1_u64 << 53) as f64;
    let has_targets =
        |distance: &Distance| sound.iter().any(|(_, candidate)| candidate.distance == *distance);
    let groups: SmallVec<[Distance; 3]> = DISTANCES.into_iter().filter(has_targets).collect();
    let home = groups.iter().position(|distance| position < shares.of(*distance));
    // Without targets in other regions, the last group has to take what the others do not.
    let home = home.unwrap_or(groups.len() - 1);
    let usable = need.remaining.mul_f64(REMAINING_USED);
    // With all of its targets busy, an object that spreads takes the room of those that are known.
    let may_spread = mean_fill(sound) < FILL_FOR_OTHERS;
    let mut best: Option<(Duration, usize, PlacementReason)> = None;
    let mut awaited: Option<(Duration, usize)> = None;
    for (group, distance) in groups.iter().enumerate() {
        let detour = if *distance == Distance::Remote { REMOTE_DETOUR } else { Duration::ZERO };
        let is_shared_by_region =
            shares.locality == Locality::Region && *distance == Distance::DataCentre;
        let others = groups.len() > 1;
        let limit = if is_shared_by_region && others {
            TARGETS_PER_OBJECT_OF_REGION
        } else {
            TARGETS_PER_OBJECT
        };
        let targets = targets_of(object, sound, *distance, limit);
        for (rank, (index, candidate)) in targets.into_iter().enumerate() {
            let is_own = group == home && rank == 0;
            let time = detour
                + candidate.wait(times)
                + times.expected(candidate.knows_object || candidate.first_request_pending);
            // A guess of the time is no reason to refuse a request that finds a free slot.
            if time > usable && !candidate.has_free_slot() {
                continue;
            }
            if takes(candidate, is_own, may_spread) {
                // Work elsewhere displaces what other targets know; it counts twice.
                let displaces = !is_own && !candidate.knows_object;
                let cost = time
                    + need.target_latency.mul_f64(FAILURE_COST * candidate.failure_share)
                    + if displaces { times.expected(false) } else { Duration::ZERO };
                let reason = if is_own { PlacementReason::Object } else { PlacementReason::Room };
                if best.is_none_or(|(least, _, _)| cost < least) {
                    best = Some((cost, index, reason));
                }
            } else if is_own {
                let ahead = f64::from(candidate.waiting + 1) / candidate.slots();
                let wait = times.mean().mul_f64(ahead);
                if wait <= need.remaining.mul_f64(REMAINING_WAITED) {
                    awaited = Some((time + wait, index));
                }
            }
        }
    }
    match (best, awaited) {
        (Some((cost, index, reason)), Some((wait, _))) if cost <= wait => {
            Placement::Send { index, reason }
        }
        (_, Some((_, index))) => Placement::Wait { index },
        (Some((_, index, reason)), None) => Placement::Send { index, reason },
        (None, None) => Placement::Full,
    }
}

/// Returns whether a target takes a request for an object now.
fn takes(candidate: &Candidate, is_own: bool, may_spread: bool) -> bool {
    if candidate.knows_object {
        candidate.fill() < FILL_KNOWN
    } else if candidate.first_request_pending {
        false
    } else if is_own {
        candidate.fill() < FILL_UNKNOWN
    } else {
        may_spread && candidate.fill() < FILL_FOR_OTHERS
    }
}

/// Returns the requests per slot over several targets.
fn mean_fill(sound: &[(usize, &Candidate)]) -> f64 {
    let load: f64 = sound.iter().map(|(_, candidate)| candidate.load).sum();
    let slots: f64 = sound.iter().map(|(_, candidate)| candidate.slots()).sum();
    load / slots.max(1.0)
}

/// Makes the position of an object among the shares independent of its order of targets.
const POSITION_SALT: u64 = 0x5bd1_e995_7b93_4a4f;

/// Returns the first targets of an object within a distance.
fn targets_of<'a>(
    object: u64,
    sound: &[(usize, &'a Candidate)],
    distance: Distance,
    limit: usize,
) -> SmallVec<[(usize, &'a Candidate); TARGETS_PER_OBJECT]> {
    let mut best: SmallVec<[(f32, usize, &Candidate); TARGETS_PER_OBJECT]> = SmallVec::new();
    for (index, candidate) in sound.iter().filter(|(_, other)| other.distance == distance) {
        let score = rendezvous::score(object, candidate.hash, candidate.slots() as f32);
        let position = best.iter().position(|(other, _, _)| score > *other).unwrap_or(best.len());
        if position < limit {
            best.truncate(limit - 1);
            best.insert(position, (score, *index, candidate));
        }
    }
    best.into_iter().map(|(_, index, candidate)| (index, candidate)).collect()
}

fn place_any(sound: &[(usize, &Candidate)]) -> Placement {
    for distance in DISTANCES {
        let group = sound.iter().filter(|(_, candidate)| candidate.distance == distance);
        if let Some(index) = emptiest(group.copied()) {
            return Placement::Send { index, reason: PlacementReason::FreeSlot };
        }
    }
    Placement::Full
}

fn emptiest<'a>(group: impl Iterator<Item = (usize, &'a Candidate)>) -> Option<usize> {
    let open = group.filter(|(_, candidate)| candidate.has_free_slot());
    open.min_by(|(_, a), (_, b)| a.fill().total_cmp(&b.fill())).map(|(index, _)| index)
}

#[cfg(test)]
#[path = "placement_tests.rs"]
mod tests;
