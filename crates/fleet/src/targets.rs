//! Targets for a request: what is known of each, put together for the decision.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use celerygate_daemon::upstream::NetworkPath;
use celerygate_steering::lookup::rendezvous;
use celerygate_steering::placement::{
    AttemptEnd, Candidate, Locality, ObjectShares, Placement, PlacementReason, PlacementRequest,
    ProcessingTimes, ReportedLoad, TargetStats, place,
};
use celerygate_steering::routing::{Route, allows_region};
use celerygate_steering::targets::Distance;
use celerygate_types::wire::InstanceState;
use celerygate_types::{DataCentreId, RegionId, Revision, ServiceId, SlotCount, TargetId};
use smallvec::SmallVec;
use smol_str::SmolStr;

use self::cold::{may_be_cold, paced};
use crate::daemon::Daemon;
use crate::tables::{Content, TargetViews};

mod cold;

/// Age up to which a control VM's list of silent targets counts.
const SILENT_LIST_AGE_MAX: Duration = Duration::from_secs(2);
/// Time beside two heartbeats after which a target that could not be reached and has not announced
/// a new life counts as warm: a heartbeat may be on its way for so long.
const RESTART_NEWS_DELAY: Duration = Duration::from_millis(500);

/// A target that a request is sent to.
#[derive(Clone, Debug)]
pub struct Chosen {
    /// Id.
    pub instance: TargetId,
    /// Socket address.
    pub address: SmolStr,
    /// Whether the way to it crosses regions.
    pub reach: NetworkPath,
    /// How far it is from this VM.
    pub distance: Distance,
    /// When it was chosen.
    pub chosen_at: Instant,
    /// Why it was chosen.
    pub reason: PlacementReason,
    /// Requests at it when it was chosen.
    pub load: f64,
    /// Requests that it runs at the same time.
    pub slots: SlotCount,
    /// Number of targets that were considered.
    pub considered: usize,
    /// Whether the target has handled the object before.
    pub knows_object: bool,
    /// The object, if this is the first request for it there.
    pub learns: Option<u64>,
    /// Whether it had a free slot.
    pub had_free_slot: bool,
}

/// The outcome of a choice.
#[derive(Clone, Debug)]
pub enum Choice {
    /// Send the request to this target.
    Use(Chosen),
    /// Decide again when this target has answered.
    Wait(TargetId),
    /// No target has room.
    Full,
    /// There is no target.
    NoTarget,
}

/// What a request asks of a target.
#[derive(Clone, Copy)]
pub struct Wanted<'a> {
    /// Id of the request, for logs.
    pub request: &'a str,
    /// Service.
    pub service: &'a ServiceId,
    /// Route.
    pub route: &'a Route,
    /// Homes of the organisation.
    pub organisation_homes: &'a [RegionId],
    /// Hash of the object.
    pub object: Option<u64>,
    /// Time until the caller gives up.
    pub remaining: Duration,
    /// Targets that were tried before.
    pub tried: &'a [TargetId],
}

/// A target with what does not change from one request to the next.
#[derive(Clone, Debug)]
struct Known {
    instance: TargetId,
    address: SmolStr,
    hash: u64,
    distance: Distance,
    slots: SlotCount,
    region: RegionId,
    data_centre: DataCentreId,
    warm_at: Instant,
}

/// The targets of each service that may get requests, as of a change of the reports and a revision
/// of the configuration.
#[derive(Debug, Default)]
pub struct TargetIndex {
    change: u64,
    revision: Revision,
    by_service: HashMap<ServiceId, Vec<Known>>,
}

/// Returns the index, built again if anything has changed.
fn index(daemon: &Daemon, content: &Content) -> Arc<TargetIndex> {
    let instances = daemon.tables.instances.read();
    let (change, revision) = (instances.version(), content.replicated.revision);
    let mut current = daemon.tables.target_index.lock();
    if current.change == change && current.revision == revision {
        return Arc::clone(&current);
    }
    let mut by_service: HashMap<ServiceId, Vec<Known>> = HashMap::new();
    let latest_births = instances.latest_start_times();
    for instance in instances.iter() {
        let record = &instance.record;
        // A later life of another target at the same address means that this one has ended.
        let is_usable = record.state == InstanceState::Ready
            && latest_births.get(&record.address) == Some(&record.born_unix_ms)
            && !content.replicated.evacuated.contains(&record.data_centre);
        let Some(region) = daemon.region_of(&record.data_centre).filter(|_| is_usable) else {
            continue;
        };
        by_service.entry(record.service.clone()).or_default().push(Known {
            instance: record.instance.clone(),
            address: record.address.clone(),
            hash: rendezvous::id_hash(record.instance.as_str()),
            distance: distance(daemon, region, &record.data_centre),
            slots: record.slots,
            region: region.clone(),
            data_centre: record.data_centre.clone(),
            warm_at: instance.warm_at,
        });
    }
    *current = Arc::new(TargetIndex { change, revision, by_service });
    Arc::clone(&current)
}

/// Targets of an object that are looked at in each distance; some of them may be avoided.
const RANKED_PER_DISTANCE: usize = 4;

/// Chooses a target and counts the request as being there.
pub fn choose(daemon: &Daemon, content: &Content, wanted: &Wanted<'_>, now: Instant) -> Choice {
    let index = index(daemon, content);
    let none = Vec::new();
    let known = index.by_service.get(wanted.service).unwrap_or(&none);
    let mut views = daemon.tables.targets.lock();
    let is_allowed = |target: &&Known| {
        !wanted.tried.contains(&target.instance)
            && allows_region(&wanted.route.home_regions, wanted.organisation_homes, &target.region)
    };
    let is_cold = |views: &TargetViews, target: &Known| {
        target.warm_at > now || may_be_cold(views, &target.instance, &target.data_centre, now)
    };
    let shares = followed_shares(daemon, &mut views, known, wanted, now);
    let locality = locality(wanted);
    let ranked = match wanted.object {
        Some(object) => ranked(
            object,
            locality,
            known.iter().filter(is_allowed).filter(|target| !is_cold(&views, target)),
        ),
        None => known.iter().filter(is_allowed).filter(|target| !is_cold(&views, target)).collect(),
    };
    let warm: Vec<Candidate> =
        ranked.iter().map(|target| candidate(&views, target, wanted, now)).collect();
    let target_latency = wanted.route.target_latency;
    let times = views.times.get(wanted.service).copied();
    let times = times.unwrap_or_else(|| ProcessingTimes::initial_estimate(target_latency));
    let need =
        PlacementRequest { object: wanted.object, target_latency, remaining: wanted.remaining };
    let mut placement = place(&need, &warm, &times, &shares);
    let mut from = (ranked, warm);
    if matches!(placement, Placement::Full | Placement::NoTarget) {
        let cold: Vec<&Known> =
            known.iter().filter(is_allowed).filter(|target| is_cold(&views, target)).collect();
        let cold = paced(daemon, content, &mut views, wanted.service, cold, now);
        let candidates: Vec<Candidate> = cold
            .iter()
            .map(|target| candidate(&views, target, &Wanted { object: None, ..*wanted }, now))
            .collect();
        let on_cold =
            place(&PlacementRequest { object: None, ..need }, &candidates, &times, &shares);
        if matches!(on_cold, Placement::Send { .. }) {
            placement = on_cold;
            from = (cold, candidates);
        }
    }
    let (targets, candidates) = from;
    let (index, reason) = match placement {
        Placement::Send { index, reason } => (index, reason),
        Placement::Wait { index } => return Choice::Wait(candidates[index].instance.clone()),
        Placement::Full | Placement::NoTarget => {
            log_full(wanted, &need, &candidates, known.len(), &times, &shares);
            return if known.is_empty() { Choice::NoTarget } else { Choice::Full };
        }
    };
    let (target, candidate) = (targets[index], &candidates[index]);
    let observed = views.observed.entry(target.instance.clone()).or_default();
    observed.in_flight += 1;
    let learns = wanted.object.filter(|object| observed.begin_first_request(*object));
    let reach = match target.distance {
        Distance::Remote => NetworkPath::CrossRegion,
        Distance::DataCentre | Distance::Region => NetworkPath::WithinRegion,
    };
    Choice::Use(Chosen {
        instance: target.instance.clone(),
        address: target.address.clone(),
        reach,
        distance: target.distance,
        chosen_at: now,
        reason,
        load: candidate.load,
        slots: target.slots,
        considered: known.len(),
        knows_object: candidate.knows_object,
        learns,
        had_free_slot: candidate.load < f64::from(candidate.slots.get()),
    })
}

/// Returns the first targets in an object's order, for each distance.
fn ranked<'a>(
    object: u64,
    locality: Locality,
    targets: impl Iterator<Item = &'a Known>,
) -> Vec<&'a Known> {
    let mut best: [SmallVec<[(f32, &Known); RANKED_PER_DISTANCE]>; 3] = Default::default();
    for target in targets {
        let score = rendezvous::score(object, target.hash, target.slots.get().max(1) as f32);
        let best = &mut best[locality.distance(target.distance) as usize];
        let position = best.iter().position(|(other, _)| score > *other).unwrap_or(best.len());
        if position < RANKED_PER_DISTANCE {
            best.truncate(RANKED_PER_DISTANCE - 1);
            best.insert(position, (score, target));
        }
    }
    best.into_iter().flatten().map(|(_, target)| target).collect()
}

/// Returns within which bounds the request's object keeps to one target.
fn locality(wanted: &Wanted<'_>) -> Locality {
    match wanted.object {
        Some(_) if !wanted.route.has_large_responses => Locality::Region,
        _ => Locality::DataCentre,
    }
}

fn candidate(views: &TargetViews, target: &Known, wanted: &Wanted<'_>, now: Instant) -> Candidate {
    let observed = views.observed.get(&target.instance);
    let of_object = wanted.object.zip(observed);
    Candidate {
        instance: target.instance.clone(),
        hash: target.hash,
        distance: locality(wanted).distance(target.distance),
        slots: target.slots,
        load: observed.map_or(0.0, |observed| observed.load(now)),
        is_avoided: observed.is_some_and(|observed| observed.is_avoided(now))
            || is_silent(views, &target.instance, now),
        knows_object: of_object.is_some_and(|(object, observed)| observed.knows(object)),
        failure_share: observed.map_or(0.0, TargetStats::failure_share),
        waiting: observed.map_or(0, |observed| observed.waiting),
        first_request_pending: of_object
            .is_some_and(|(object, observed)| observed.is_first_request_pending(object)),
    }
}

/// Returns the shares of the service's objects; they follow the load of all its targets.
fn followed_shares(
    daemon: &Daemon,
    views: &mut TargetViews,
    known: &[Known],
    wanted: &Wanted<'_>,
    now: Instant,
) -> ObjectShares {
    let key = (wanted.service.clone(), locality(wanted));
    let current = views.shares.get(&key).copied();
    if let Some(shares) = current.filter(|shares| !shares.is_due(now)) {
        return shares;
    }
    let all: Vec<Candidate> =
        known.iter().map(|target| candidate(views, target, wanted, now)).collect();
    let data_centres = &daemon.settings.data_centres;
    let places = match key.1 {
        Locality::DataCentre => data_centres.len(),
        Locality::Region => {
            data_centres.iter().map(|place| &place.region).collect::<HashSet<_>>().len()
        }
    };
    let mut shares = current.unwrap_or_else(|| ObjectShares::even(&all, key.1, places, now));
    shares.adjust(&all, places, now);
    views.shares.insert(key, shares);
    shares
}

fn log_full(
    wanted: &Wanted<'_>,
    need: &PlacementRequest,
    candidates: &[Candidate],
    known: usize,
    times: &ProcessingTimes,
    shares: &ObjectShares,
) {
    let sound = candidates.iter().filter(|candidate| !candidate.is_avoided);
    let load: f64 = sound.clone().map(|candidate| candidate.load).sum();
    let slots: u32 = sound.clone().map(|candidate| candidate.slots.get()).sum();
    log::info!(request = wanted.request, service = wanted.service.as_str(),
        object = need.object, remaining_ms = need.remaining.as_millis() as u64,
        targets = known, considered = candidates.len(), avoided = candidates.len() - sound.count(),
        load = load, slots = slots, known_ms = times.expected(true).as_millis() as u64,
        unknown_ms = times.expected(false).as_millis() as u64, shares:% = shares;
        "no target takes the request");
}

fn distance(daemon: &Daemon, region: &RegionId, data_centre: &DataCentreId) -> Distance {
    if *data_centre == daemon.settings.data_centre {
        Distance::DataCentre
    } else if *region == daemon.settings.region {
        Distance::Region
    } else {
        Distance::Remote
    }
}

fn is_silent(views: &TargetViews, instance: &TargetId, now: Instant) -> bool {
    let recent = |at: Instant| now.saturating_duration_since(at) < SILENT_LIST_AGE_MAX;
    // A control VM that is cut off from the others calls many targets silent; one that hears the
    // target is right.
    let mut lists = views.silent.values().filter(|(_, at)| recent(*at)).peekable();
    lists.peek().is_some() && lists.all(|(silent, _)| silent.contains(instance))
}

/// A request that waits until a target has room, until it is dropped.
pub struct WaitsForTarget<'a> {
    daemon: &'a Daemon,
    instance: TargetId,
}

impl<'a> WaitsForTarget<'a> {
    /// Counts a request as waiting.
    pub fn begin(daemon: &'a Daemon, instance: TargetId) -> Self {
        let mut views = daemon.tables.targets.lock();
        views.observed.entry(instance.clone()).or_default().waiting += 1;
        drop(views);
        Self { daemon, instance }
    }
}

impl Drop for WaitsForTarget<'_> {
    fn drop(&mut self) {
        let mut views = self.daemon.tables.targets.lock();
        if let Some(observed) = views.observed.get_mut(&self.instance) {
            observed.waiting = observed.waiting.saturating_sub(1);
        }
    }
}

/// An answered request, for the averages.
pub struct Observation<'a> {
    /// Service.
    pub service: &'a ServiceId,
    /// Hash of the object.
    pub object: Option<u64>,
    /// Target latency of the route.
    pub target_latency: Duration,
    /// Time from the sending of the request to the end of the answer.
    pub time: Duration,
}

/// A request at a target; dropping it counts the attempt as abandoned.
pub struct AtTarget<'a> {
    daemon: &'a Daemon,
    instance: TargetId,
    learns: Option<u64>,
    ended: bool,
}

impl<'a> AtTarget<'a> {
    /// Takes over the request that [`choose`] has counted.
    pub fn new(daemon: &'a Daemon, chosen: &Chosen) -> Self {
        let Chosen { instance, learns, .. } = chosen;
        Self { daemon, instance: instance.clone(), learns: *learns, ended: false }
    }

    /// Counts the end of the attempt with the load that the target reported.
    pub fn end(mut self, end: AttemptEnd, load: Option<ReportedLoad>) {
        self.ended = true;
        self.record(end, load);
    }

    /// Takes the time of an answered request.
    pub fn observe_time(&self, chosen: &Chosen, wanted: &Observation<'_>) {
        let mut views = self.daemon.tables.targets.lock();
        if let Some(object) = wanted.object {
            views.observed.entry(self.instance.clone()).or_default().record_object(object);
        }
        if !chosen.had_free_slot {
            return;
        }
        if !views.times.contains_key(wanted.service) {
            views.times.insert(
                wanted.service.clone(),
                ProcessingTimes::initial_estimate(wanted.target_latency),
            );
        }
        if let Some(times) = views.times.get_mut(wanted.service) {
            times.observe(wanted.time, chosen.knows_object);
        }
    }

    /// Counts that no connection could be made: the target may be restarting, and then it is cold
    /// when it returns.
    pub fn end_unreachable(mut self) {
        self.ended = true;
        self.record(AttemptEnd::Failed, None);
        let now = self.daemon.now();
        let until = now + self.daemon.heartbeat() * 2 + RESTART_NEWS_DELAY;
        let mut views = self.daemon.tables.targets.lock();
        views.suspected_cold_until.insert(self.instance.clone(), until);
    }

    fn record(&self, end: AttemptEnd, load: Option<ReportedLoad>) {
        let now = self.daemon.now();
        let mut views = self.daemon.tables.targets.lock();
        let observed: &mut TargetStats = views.observed.entry(self.instance.clone()).or_default();
        observed.end(end, now);
        if let Some(object) = self.learns {
            observed.end_first_request(object);
        }
        if let Some(load) = load {
            observed.report(load, now);
        }
        drop(views);
        self.daemon.tables.target_answered.notify_waiters();
    }
}

impl Drop for AtTarget<'_> {
    fn drop(&mut self) {
        if !self.ended {
            self.record(AttemptEnd::Abandoned, None);
        }
    }
}

/// Forgets what was observed of targets that are no longer known.
pub fn forget_unknown(daemon: &Daemon, now: Instant) {
    let instances = daemon.tables.instances.read();
    let mut views = daemon.tables.targets.lock();
    views.observed.retain(|id, observed| observed.in_flight > 0 || instances.get(id).is_some());
    views.suspected_cold_until.retain(|_, until| *until > now);
    views.resumed_until.retain(|_, until| *until > now);
    views.cold_pace.retain(|id| instances.get(id).is_some());
    views.silent.retain(|_, (_, at)| now.saturating_duration_since(*at) < SILENT_LIST_AGE_MAX);
}
