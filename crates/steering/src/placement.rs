//! Placement of requests on targets: objects stay on the targets that know them, as long as these
//! have room.
//!
//! All entry VMs order the targets of an object in the same way, so an object keeps its targets
//! without any message about it. A target above its bound passes the object on to the next one in
//! the order, and a data centre without room to the next nearest one.

use std::collections::{HashMap, VecDeque};
use std::fmt;
use std::time::{Duration, Instant};

use celerygate_types::{SlotCount, TargetId};
use smallvec::SmallVec;

use crate::lookup::rendezvous;
use crate::targets::Distance;

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
/// Requests per slot above which a group of targets gets fewer objects.
const FILL_SHARE_FALLS: f64 = 0.8;
/// Requests per slot below which a group of targets gets more objects.
const FILL_SHARE_RISES: f64 = 0.55;
/// Change of a share at once. Objects that move are unknown to their new targets, and a region's
/// traffic may move by 15% in two seconds.
const SHARE_FALLS_BY: f64 = 0.035;
/// See [`SHARE_FALLS_BY`]; a share returns more slowly than it falls.
const SHARE_RISES_BY: f64 = 0.02;
/// Rise of a region's share: small responses cost little on their way from another region, and each
/// object that returns is met for the first time again.
const REGION_SHARE_RISES_BY: f64 = 0.004;
/// Smallest share, so that a group that has room again is noticed.
const SHARE_MIN: f64 = 0.05;
/// Factor of the first share over an even spread of the demand; targets that know their objects
/// take more than the average.
const SHARE_OVER_EVEN: f64 = 1.5;
/// Time between two changes of the shares.
pub const SHARE_INTERVAL: Duration = Duration::from_millis(500);
/// Time after the first request for a service in which its targets become known: they announce
/// themselves every few seconds, and the first ones to do so are no measure of the places.
const SETTLING_TIME: Duration = Duration::from_secs(5);
/// Growth of the slots in that time with which the shares are set anew.
const SETTLING_GROWTH: f64 = 1.2;
/// Objects of a target that are remembered as known to it.
const KNOWN_OBJECTS: usize = 64;
/// Weight of the latest request in the average times of requests.
const TIME_WEIGHT: f64 = 0.05;
/// First guesses of the times of requests, as parts of the route's target latency.
const KNOWN_TIME_GUESS: f64 = 0.4;
/// See [`KNOWN_TIME_GUESS`].
const UNKNOWN_TIME_GUESS: f64 = 1.2;
/// Time for which a target's report of its load counts.
const REPORT_AGE_MAX: Duration = Duration::from_millis(1_000);
/// First time for which a target is avoided after a failure; it doubles with each further one.
const AVOID_FIRST: Duration = Duration::from_millis(500);
/// Longest such time.
const AVOID_MAX: Duration = Duration::from_secs(8);
/// Weight of the latest answer in the average share of failures.
const FAILURE_WEIGHT: f64 = 0.1;
/// Time that a failed or rejected attempt costs a request, in target latencies of its route: it is
/// repeated elsewhere at best.
const FAILURE_COST: f64 = 3.0;

/// What this VM has observed of a target.
#[derive(Clone, Debug)]
pub struct Observed {
    /// Requests of this VM that are at the target.
    pub in_flight: u32,
    /// Requests of this VM that wait here until the target has room.
    pub waiting: u32,
    /// Requests of other VMs at the target, from its latest report.
    others: f64,
    reported_at: Option<Instant>,
    failures_in_row: u32,
    failure_share: f64,
    avoided_until: Option<Instant>,
    /// Objects that it has handled, the latest one last.
    objects: VecDeque<u64>,
    /// Objects that it does not know and of which a request is under way.
    arriving: Vec<u64>,
}

/// How an attempt at a target ended, for its observation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The target answered.
    Answered,
    /// The target rejected the request without running it.
    Rejected,
    /// There was no usable answer.
    Failed,
    /// The caller left or the deadline passed; this says nothing about the target.
    Abandoned,
}

/// Load that a target states of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
}

impl Default for Observed {
    fn default() -> Self {
        Self {
            in_flight: 0,
            waiting: 0,
            others: 0.0,
            reported_at: None,
            failures_in_row: 0,
            failure_share: 0.0,
            avoided_until: None,
            objects: VecDeque::new(),
            arriving: Vec::new(),
        }
    }
}

impl Observed {
    /// Returns the requests at the target, over all VMs, as far as they are known.
    pub fn load(&self, now: Instant) -> f64 {
        let others = match self.reported_at {
            Some(at) if now.saturating_duration_since(at) < REPORT_AGE_MAX => self.others,
            _ => 0.0,
        };
        f64::from(self.in_flight) + others
    }

    /// Takes the load that came with an answer; the answered request is no longer in flight.
    pub fn report(&mut self, load: ReportedLoad, now: Instant) {
        let total = f64::from(load.running + load.waiting);
        self.others = (total - f64::from(self.in_flight)).max(0.0);
        self.reported_at = Some(now);
    }

    /// Counts the end of an attempt.
    pub fn end(&mut self, end: AttemptEnd, now: Instant) {
        self.in_flight = self.in_flight.saturating_sub(1);
        let failed = match end {
            AttemptEnd::Abandoned => return,
            AttemptEnd::Answered => false,
            AttemptEnd::Rejected | AttemptEnd::Failed => true,
        };
        self.failure_share += FAILURE_WEIGHT * (f64::from(u8::from(failed)) - self.failure_share);
        if !failed {
            self.failures_in_row = 0;
            self.avoided_until = None;
            return;
        }
        self.failures_in_row += 1;
        if end == AttemptEnd::Failed {
            let doublings = self.failures_in_row.saturating_sub(1).min(8);
            let avoid = (AVOID_FIRST * 2_u32.pow(doublings)).min(AVOID_MAX);
            self.avoided_until = Some(now + avoid);
        }
    }

    /// Remembers that the target has handled an object.
    pub fn note_object(&mut self, object: u64) {
        if let Some(position) = self.objects.iter().rposition(|known| *known == object) {
            self.objects.remove(position);
        } else if self.objects.len() == KNOWN_OBJECTS {
            self.objects.pop_front();
        }
        self.objects.push_back(object);
    }

    /// Notes that the first request for an object is under way; returns false for a known object.
    pub fn begin_object(&mut self, object: u64) -> bool {
        let is_first = !self.knows(object);
        if is_first {
            self.arriving.push(object);
        }
        is_first
    }

    /// Notes that a request that was noted as the first has ended.
    pub fn end_object(&mut self, object: u64) {
        if let Some(position) = self.arriving.iter().position(|arriving| *arriving == object) {
            self.arriving.swap_remove(position);
        }
    }

    /// Returns whether a first request for an object is under way.
    pub fn is_arriving(&self, object: u64) -> bool {
        self.arriving.contains(&object)
    }

    /// Returns whether the target has handled an object recently.
    pub fn knows(&self, object: u64) -> bool {
        self.objects.contains(&object)
    }

    /// Returns the average share of attempts that failed or were rejected lately.
    pub fn failure_share(&self) -> f64 {
        self.failure_share
    }

    /// Returns whether the target is avoided because of recent failures.
    pub fn is_avoided(&self, now: Instant) -> bool {
        self.avoided_until.is_some_and(|until| now < until)
    }
}

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
    pub learns_object: bool,
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
    fn wait(&self, times: &WorkTimes) -> Duration {
        let before = (self.load + 1.0 - self.slots()).max(0.0);
        times.mean().mul_f64(before / self.slots())
    }
}

/// An average that follows the latest values, and the plain mean while there are few.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Average {
    value_s: f64,
    count: u32,
}

impl Average {
    fn observe(&mut self, time: Duration) {
        self.count = self.count.saturating_add(1);
        let weight = (1.0 / f64::from(self.count)).max(TIME_WEIGHT);
        self.value_s += weight * (time.as_secs_f64() - self.value_s);
    }

    fn value(&self) -> Duration {
        Duration::from_secs_f64(self.value_s)
    }
}

/// Average times of a service's requests at a target, without their wait.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WorkTimes {
    known: Average,
    unknown: Average,
    all: Average,
}

impl WorkTimes {
    /// Returns first guesses for a route; the first observation replaces them.
    pub fn guess(target_latency: Duration) -> Self {
        let guess =
            |part: f64| Average { value_s: target_latency.mul_f64(part).as_secs_f64(), count: 0 };
        let unknown = guess(UNKNOWN_TIME_GUESS);
        Self { known: guess(KNOWN_TIME_GUESS), unknown, all: unknown }
    }

    /// Takes the time of a request that found a free slot.
    pub fn observe(&mut self, time: Duration, knew_object: bool) {
        let average = if knew_object { &mut self.known } else { &mut self.unknown };
        average.observe(time);
        self.all.observe(time);
    }

    /// Returns the average over all requests.
    pub fn mean(&self) -> Duration {
        self.all.value()
    }

    /// Returns the expected time of a request.
    pub fn expected(&self, knows_object: bool) -> Duration {
        if knows_object { self.known.value() } else { self.unknown.value() }
    }
}

/// Shares of the objects that belong to the targets of this data centre and of this region; the
/// others belong to targets of all regions.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ObjectShares {
    locality: Locality,
    /// Slots of all targets when the shares were last set from them.
    slots: f64,
    began_at: Instant,
    data_centre: f64,
    region: f64,
    changed_at: Instant,
}

impl ObjectShares {
    /// Returns the shares for an even demand of all places: data centres or regions, whichever
    /// objects keep to.
    pub fn even(candidates: &[Candidate], locality: Locality, places: usize, now: Instant) -> Self {
        let all = slots_of(candidates, |_| true).max(1.0);
        let of = |distance| {
            let slots = slots_of(candidates, |candidate| candidate.distance == distance);
            slots * places as f64 / all
        };
        let own = of(Distance::DataCentre) * SHARE_OVER_EVEN;
        let neighbour = of(Distance::Region) - 1.0;
        Self {
            locality,
            slots: all,
            began_at: now,
            data_centre: own.clamp(SHARE_MIN, 1.0),
            region: neighbour.clamp(SHARE_MIN, 1.0),
            changed_at: now,
        }
    }

    /// Returns whether the shares should look at the load again.
    pub fn is_due(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.changed_at) >= SHARE_INTERVAL
    }

    /// Follows the load of the targets; `places` as for [`Self::even`].
    pub fn follow(&mut self, candidates: &[Candidate], places: usize, now: Instant) {
        if !self.is_due(now) {
            return;
        }
        let is_settling = now.saturating_duration_since(self.began_at) < SETTLING_TIME;
        if is_settling && slots_of(candidates, |_| true) > self.slots * SETTLING_GROWTH {
            let began_at = self.began_at;
            *self = Self::even(candidates, self.locality, places, now);
            self.began_at = began_at;
            return;
        }
        self.changed_at = now;
        let rises_by = match self.locality {
            Locality::DataCentre => SHARE_RISES_BY,
            Locality::Region => REGION_SHARE_RISES_BY,
        };
        self.data_centre = followed(self.data_centre, rises_by, candidates, Distance::DataCentre);
        self.region = followed(self.region, rises_by, candidates, Distance::Region);
    }

    fn of(&self, distance: Distance) -> f64 {
        match distance {
            Distance::DataCentre => self.data_centre,
            Distance::Region => self.region,
            Distance::Remote => 1.0,
        }
    }
}

impl fmt::Display for ObjectShares {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.2}/{:.2}", self.data_centre, self.region)
    }
}

fn slots_of(candidates: &[Candidate], selects: impl Fn(&Candidate) -> bool) -> f64 {
    candidates.iter().filter(|candidate| selects(candidate)).map(Candidate::slots).sum()
}

fn followed(share: f64, rises_by: f64, candidates: &[Candidate], distance: Distance) -> f64 {
    let is_in_group =
        |candidate: &Candidate| candidate.distance == distance && !candidate.is_avoided;
    let slots = slots_of(candidates, is_in_group);
    if slots == 0.0 {
        return share;
    }
    let group = candidates.iter().filter(|candidate| is_in_group(candidate));
    let fill = group.map(|candidate| candidate.load).sum::<f64>() / slots;
    if fill > FILL_SHARE_FALLS {
        (share - SHARE_FALLS_BY).max(SHARE_MIN)
    } else if fill < FILL_SHARE_RISES {
        (share + rises_by).min(1.0)
    } else {
        share
    }
}

/// What a request needs.
#[derive(Clone, Copy, Debug)]
pub struct Need {
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
    need: &Need,
    candidates: &[Candidate],
    times: &WorkTimes,
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
    need: &Need,
    sound: &[(usize, &Candidate)],
    times: &WorkTimes,
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
                + times.expected(candidate.knows_object || candidate.learns_object);
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
    } else if candidate.learns_object {
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

/// A bucket of tokens that fills at a steady rate.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    level: f64,
    filled_at: Instant,
}

impl TokenBucket {
    /// Returns a bucket with one token.
    pub fn new(now: Instant) -> Self {
        Self::with_level(1.0, now)
    }

    /// Returns a bucket with a number of tokens.
    pub fn with_level(level: f64, now: Instant) -> Self {
        Self { level, filled_at: now }
    }

    /// Takes a token if there is one.
    pub fn take(&mut self, rate_per_s: f64, capacity: f64, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.filled_at).as_secs_f64();
        self.filled_at = self.filled_at.max(now);
        self.level = (self.level + elapsed * rate_per_s).min(capacity.max(1.0));
        let available = self.level >= 1.0;
        if available {
            self.level -= 1.0;
        }
        available
    }
}

/// Paces requests to cold targets, so that all VMs together stay within what such a target bears.
#[derive(Clone, Debug, Default)]
pub struct ColdPace {
    buckets: HashMap<TargetId, TokenBucket>,
}

impl ColdPace {
    /// Takes the right to send one request to a cold target; `senders` is the number of VMs that
    /// may send to it.
    pub fn take(
        &mut self,
        instance: &TargetId,
        cold_requests_per_s: f64,
        senders: usize,
        now: Instant,
    ) -> bool {
        let share = cold_requests_per_s / senders.max(1) as f64;
        if !self.buckets.contains_key(instance) {
            self.buckets.insert(instance.clone(), TokenBucket::new(now));
        }
        self.buckets.get_mut(instance).is_some_and(|bucket| bucket.take(share, 1.0, now))
    }

    /// Forgets targets that are no longer cold.
    pub fn retain(&mut self, mut keep: impl FnMut(&TargetId) -> bool) {
        self.buckets.retain(|instance, _| keep(instance));
    }
}

#[cfg(test)]
#[path = "placement_tests.rs"]
mod tests;
