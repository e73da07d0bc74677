//! Selection of a target for a request from reports, configuration and local observations.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use celerygate_daemon::upstream::NetworkPath;
use celerygate_steering::instances::{DISPLACEMENT_HEARTBEATS, believed_slots_max};
use celerygate_steering::lookup::rendezvous;
use celerygate_steering::placement::{
    Candidate, LoadSignal, Locality, ObjectShares, Placement, PlacementReason, PlacementRequest,
    ProcessingTimes, TargetStats, place,
};
use celerygate_steering::routing::{Route, ServicePolicy, allows_region};
use celerygate_steering::targets::Distance;
use celerygate_types::wire::{InstanceRecord, InstanceState};
use celerygate_types::{
    DataCentreId, Incarnation, RegionId, Revision, ServiceId, SlotCount, TargetId,
};
use smallvec::SmallVec;
use smol_str::SmolStr;

pub use self::attempts::{AttemptGuard, CompletedAttempt, TargetWaitGuard};
use self::availability::{IneligibleCounts, is_eligible, resuming_target};
pub use self::availability::{earliest_resume, may_resend, record_notice, watch_availability};
use self::cold::{may_be_cold, sendable_cold_targets};
use crate::daemon::Daemon;
use crate::tables::{Content, LocalTargetStates};

mod attempts;
mod availability;
mod cold;

/// Maximum age of a control VM's list of silent targets.
const SILENT_LIST_AGE_MAX: Duration = Duration::from_secs(2);

/// The target chosen for a request.
#[derive(Clone, Debug)]
pub struct ChosenTarget {
    /// Id of the target.
    pub instance: TargetId,
    /// Incarnation of its process.
    pub incarnation: Incarnation,
    /// Its service and its region, for whose load the attempt counts.
    pub group: (ServiceId, RegionId),
    /// Socket address.
    pub address: SmolStr,
    /// Network path to it: within the region or across regions.
    pub network_path: NetworkPath,
    /// Distance from this VM.
    pub distance: Distance,
    /// Time of the choice.
    pub chosen_at: Instant,
    /// Reason for the choice.
    pub reason: PlacementReason,
    /// Load at the time of the choice, in requests.
    pub load: f64,
    /// Number of requests that it runs concurrently.
    pub slots: SlotCount,
    /// Number of targets of the service.
    pub target_count: usize,
    /// Whether it has served the object before.
    pub knows_object: bool,
    /// Hash of the object, if this is the first request for it at the target.
    pub new_object: Option<u64>,
    /// Whether it had a free slot at the time of the choice.
    pub had_free_slot: bool,
}

/// Result of choosing a target.
#[derive(Clone, Debug)]
pub enum Choice {
    /// Send the request to this target.
    Use(ChosenTarget),
    /// Choose again when an attempt at this target has ended.
    Wait(TargetId),
    /// No target has capacity.
    Full,
    /// The service has no targets.
    NoTarget,
}

/// Properties of a request that determine the choice of a target.
#[derive(Clone, Copy)]
pub struct Query<'a> {
    /// Id of the request, for logs.
    pub request: &'a str,
    /// Service of the request.
    pub service: &'a ServiceId,
    /// Route of the request.
    pub route: &'a Route,
    /// Home regions of the organisation.
    pub organisation_homes: &'a [RegionId],
    /// Hash of the object.
    pub object: Option<u64>,
    /// Time until the deadline.
    pub remaining: Duration,
    /// Targets of earlier attempts.
    pub tried: &'a [TargetId],
}

/// A target with its properties that do not change between requests.
#[derive(Clone, Debug)]
struct IndexedTarget {
    instance: TargetId,
    incarnation: Incarnation,
    address: SmolStr,
    hash: u64,
    distance: Distance,
    slots: SlotCount,
    region: RegionId,
    data_centre: DataCentreId,
    warm_at: Instant,
    /// Whether the target is used only while it reports, because a later process reports its address.
    must_report: bool,
}

/// The eligible targets of each service, for one version of the reports and one revision of the
/// configuration.
#[derive(Debug, Default)]
pub struct TargetIndex {
    reports_version: u64,
    revision: Revision,
    /// Earliest time at which an excluded instance may be used again; none without such instances.
    valid_until: Option<Instant>,
    by_service: HashMap<ServiceId, Vec<IndexedTarget>>,
    /// Targets at whose address a later process reports.
    displaced: HashSet<TargetId>,
}

/// Returns the index; rebuilds it if reports or configuration have changed.
fn current_index(daemon: &Daemon, content: &Content, now: Instant) -> Arc<TargetIndex> {
    let instances = daemon.tables.instances.read();
    let (reports_version, revision) = (instances.version(), content.replicated.revision);
    let mut current = daemon.tables.target_index.lock();
    let is_valid = current.valid_until.is_none_or(|until| now < until);
    if current.reports_version == reports_version && current.revision == revision && is_valid {
        return Arc::clone(&current);
    }
    let mut by_service: HashMap<ServiceId, Vec<IndexedTarget>> = HashMap::new();
    let is_usable = |record: &InstanceRecord| is_usable(daemon, content, record);
    let by_address = instances.by_address(is_usable, now);
    let displacement_time = daemon.heartbeat() * DISPLACEMENT_HEARTBEATS;
    let mut valid_until: Option<Instant> = None;
    let mut displaced = HashSet::new();
    for instance in instances.iter() {
        let record = &instance.record;
        if let Some(until) = instance.misdirected_until(now) {
            valid_until = earliest(valid_until, until);
            continue;
        }
        let Some(region) = daemon.region_of(&record.data_centre).filter(|_| is_usable(record))
        else {
            continue;
        };
        // A later process at the same address means that this one has ended, unless it goes on to report.
        let displaced_since = by_address.displaced_since(record);
        if let Some(since) = displaced_since {
            if !current.displaced.contains(&record.instance) {
                log_displaced(record);
            }
            displaced.insert(record.instance.clone());
            let until = since + displacement_time;
            if now < until {
                valid_until = earliest(valid_until, until);
                continue;
            }
        }
        by_service.entry(record.service.clone()).or_default().push(IndexedTarget {
            instance: record.instance.clone(),
            incarnation: Incarnation(record.born_unix_ms),
            address: record.address.clone(),
            hash: rendezvous::id_hash(record.instance.as_str()),
            distance: distance(daemon, region, &record.data_centre),
            slots: usable_slots(record.slots, content.routing.service(&record.service)),
            region: region.clone(),
            data_centre: record.data_centre.clone(),
            warm_at: instance.warm_at,
            must_report: displaced_since.is_some(),
        });
    }
    for targets in by_service.values_mut() {
        let mut stated: Vec<SlotCount> = targets.iter().map(|target| target.slots).collect();
        let slots_max = believed_slots_max(&mut stated);
        targets.iter_mut().for_each(|target| target.slots = target.slots.min(slots_max));
    }
    *current =
        Arc::new(TargetIndex { reports_version, revision, valid_until, by_service, displaced });
    Arc::clone(&current)
}

/// Returns whether requests may be sent to a target according to its report. Other reports say nothing
/// about the target at their address: no response could prove them wrong, because no request is sent.
fn is_usable(daemon: &Daemon, content: &Content, record: &InstanceRecord) -> bool {
    record.state == InstanceState::Ready
        && content.routing.service(&record.service).is_some()
        && daemon.region_of(&record.data_centre).is_some()
        && !content.replicated.evacuated.contains(&record.data_centre)
}

fn log_displaced(record: &InstanceRecord) {
    log::info!(target_id = record.instance.as_str(), service = record.service.as_str(),
        address = record.address.as_str(), born = record.born_unix_ms;
        "another target at the address started later, no new requests for the target");
}

fn earliest(known: Option<Instant>, other: Instant) -> Option<Instant> {
    Some(known.map_or(other, |known| known.min(other)))
}

/// Returns the slots that a target can use: each request needs a connection, of which the service
/// allows a number.
fn usable_slots(stated: SlotCount, policy: Option<&ServicePolicy>) -> SlotCount {
    let connections = policy.map(|policy| policy.connections).filter(|limit| *limit > 0);
    connections.map_or(stated, |limit| stated.min(SlotCount(limit)))
}

/// Records that another process than the chosen target answered at its address. The instance is not
/// used for a time, so that it does not displace the one that runs there.
pub fn record_misdirected(daemon: &Daemon, request: &str, chosen: &ChosenTarget) {
    let (now, born_unix_ms) = (daemon.now(), chosen.incarnation.0);
    let mut instances = daemon.tables.instances.write();
    if instances.record_misdirected(&chosen.instance, born_unix_ms, now) {
        log::info!(request = request, target_id = chosen.instance.as_str(),
            address = chosen.address.as_str(), born = born_unix_ms;
            "another process answered at the target's address, no new requests for the target");
    }
}

/// Number of candidates for an object at each distance; more than one, because some may be avoided.
const CANDIDATES_PER_DISTANCE: usize = 4;

/// Chooses a target and counts the request as in flight there.
pub fn choose(daemon: &Daemon, content: &Content, query: &Query<'_>, now: Instant) -> Choice {
    let index = current_index(daemon, content, now);
    let none = Vec::new();
    let service_targets = index.by_service.get(query.service).unwrap_or(&none);
    let mut local = daemon.tables.targets.lock();
    let is_allowed = |local: &LocalTargetStates, target: &IndexedTarget| {
        !query.tried.contains(&target.instance)
            && is_in_allowed_region(query, target)
            && is_eligible(local, target, now)
    };
    let is_cold = |local: &LocalTargetStates, target: &IndexedTarget| {
        target.warm_at > now || may_be_cold(local, &target.instance, &target.data_centre, now)
    };
    let shares = current_shares(daemon, &mut local, service_targets, query, now);
    let locality = locality(query);
    let allowed = service_targets.iter().filter(|target| is_allowed(&local, target));
    let warm = allowed.filter(|target| !is_cold(&local, target));
    let ranked = match query.object {
        Some(object) => rank_targets(object, locality, warm),
        None => warm.collect(),
    };
    let warm: Vec<Candidate> =
        ranked.iter().map(|target| candidate(&local, target, query, now)).collect();
    let target_latency = query.route.target_latency;
    let times = local.processing_times.get(query.service).copied();
    let times = times.unwrap_or_else(|| ProcessingTimes::initial_estimate(target_latency));
    let placement_request =
        PlacementRequest { object: query.object, target_latency, remaining: query.remaining };
    let mut placement = place(&placement_request, &warm, &times, &shares);
    let mut selection = (ranked, warm);
    if matches!(placement, Placement::Full | Placement::NoTarget) {
        let cold: Vec<&IndexedTarget> = service_targets
            .iter()
            .filter(|target| is_allowed(&local, target) && is_cold(&local, target))
            .collect();
        let cold = sendable_cold_targets(daemon, content, &mut local, query.service, cold, now);
        let candidates: Vec<Candidate> = cold
            .iter()
            .map(|target| candidate(&local, target, &Query { object: None, ..*query }, now))
            .collect();
        let cold_placement = place(
            &PlacementRequest { object: None, ..placement_request },
            &candidates,
            &times,
            &shares,
        );
        if matches!(cold_placement, Placement::Send { .. }) {
            placement = cold_placement;
            selection = (cold, candidates);
        }
    }
    let (targets, candidates) = selection;
    let (index, reason) = match placement {
        Placement::Send { index, reason } => (index, reason),
        Placement::Wait { index } => return Choice::Wait(candidates[index].instance.clone()),
        Placement::Full | Placement::NoTarget => {
            let resuming = resuming_target(&local, service_targets, query, &times, now);
            if let Some(instance) = resuming.filter(|_| placement == Placement::NoTarget) {
                return Choice::Wait(instance);
            }
            let ineligible = IneligibleCounts::of(&local, service_targets, now);
            log_unplaced(query, &placement_request, &candidates, &ineligible, &times, &shares);
            return if service_targets.is_empty() { Choice::NoTarget } else { Choice::Full };
        }
    };
    let (target, candidate) = (targets[index], &candidates[index]);
    let group = (query.service.clone(), target.region.clone());
    if is_restricted(query) && refuses(&mut local, &group, now) {
        log::info!(request = query.request, service = query.service.as_str(),
            region = target.region.as_str(); "home region is overloaded, refused at once");
        return Choice::Full;
    }
    let stats = local.stats.entry(target.instance.clone()).or_default();
    stats.in_flight += 1;
    let new_object = query.object.filter(|object| stats.begin_first_request(*object));
    let network_path = match target.distance {
        Distance::Remote => NetworkPath::CrossRegion,
        Distance::DataCentre | Distance::Region => NetworkPath::WithinRegion,
    };
    Choice::Use(ChosenTarget {
        instance: target.instance.clone(),
        incarnation: target.incarnation,
        group,
        address: target.address.clone(),
        network_path,
        distance: target.distance,
        chosen_at: now,
        reason,
        load: candidate.load,
        slots: target.slots,
        target_count: service_targets.len(),
        knows_object: candidate.knows_object,
        new_object,
        had_free_slot: candidate.load < f64::from(candidate.slots.get()),
    })
}

/// Returns whether only some regions may serve a request, so that no others can take it when they are
/// overloaded.
fn is_restricted(query: &Query<'_>) -> bool {
    !query.route.home_regions.is_empty() || !query.organisation_homes.is_empty()
}

/// Returns whether a request to an overloaded service is refused at once, and counts it if so.
fn refuses(local: &mut LocalTargetStates, group: &(ServiceId, RegionId), now: Instant) -> bool {
    let Some(throttle) = local.throttles.get_mut(group) else { return false };
    let is_refused = rand::random::<f64>() < throttle.refused_share(now);
    if is_refused {
        throttle.record(LoadSignal::Overloaded, now);
    }
    is_refused
}

fn is_in_allowed_region(query: &Query<'_>, target: &IndexedTarget) -> bool {
    allows_region(&query.route.home_regions, query.organisation_homes, &target.region)
}

/// Returns the targets with the highest rendezvous scores for an object, nearest distance first.
fn rank_targets<'a>(
    object: u64,
    locality: Locality,
    targets: impl Iterator<Item = &'a IndexedTarget>,
) -> Vec<&'a IndexedTarget> {
    let mut best: [SmallVec<[(f32, &IndexedTarget); CANDIDATES_PER_DISTANCE]>; 3] =
        Default::default();
    for target in targets {
        let score = rendezvous::score(object, target.hash, target.slots.get().max(1) as f32);
        let best = &mut best[locality.distance(target.distance) as usize];
        let position = best.iter().position(|(other, _)| score > *other).unwrap_or(best.len());
        if position < CANDIDATES_PER_DISTANCE {
            best.truncate(CANDIDATES_PER_DISTANCE - 1);
            best.insert(position, (score, target));
        }
    }
    best.into_iter().flatten().map(|(_, target)| target).collect()
}

/// Returns the locality within which requests for an object go to the same target.
fn locality(query: &Query<'_>) -> Locality {
    match query.object {
        Some(_) if !query.route.has_large_responses => Locality::Region,
        _ => Locality::DataCentre,
    }
}

fn candidate(
    local: &LocalTargetStates,
    target: &IndexedTarget,
    query: &Query<'_>,
    now: Instant,
) -> Candidate {
    let stats = local.stats.get(&target.instance);
    let object_stats = query.object.zip(stats);
    Candidate {
        instance: target.instance.clone(),
        hash: target.hash,
        distance: locality(query).distance(target.distance),
        slots: target.slots,
        load: stats.map_or(0.0, |stats| stats.load(now)),
        is_avoided: stats.is_some_and(|stats| stats.is_avoided(now))
            || is_silent(local, &target.instance, now)
            || !is_eligible(local, target, now),
        knows_object: object_stats.is_some_and(|(object, stats)| stats.knows(object)),
        failure_share: stats.map_or(0.0, TargetStats::failure_share),
        waiting: stats.map_or(0, |stats| stats.waiting),
        first_request_pending: object_stats
            .is_some_and(|(object, stats)| stats.is_first_request_pending(object)),
    }
}

/// Returns the shares of the service's objects, adjusted to the load of all its targets when an
/// adjustment is due.
fn current_shares(
    daemon: &Daemon,
    local: &mut LocalTargetStates,
    service_targets: &[IndexedTarget],
    query: &Query<'_>,
    now: Instant,
) -> ObjectShares {
    let key = (query.service.clone(), locality(query));
    let current = local.shares.get(&key).copied();
    if let Some(shares) = current.filter(|shares| !shares.is_due(now)) {
        return shares;
    }
    let all: Vec<Candidate> =
        service_targets.iter().map(|target| candidate(local, target, query, now)).collect();
    let data_centres = &daemon.settings.data_centres;
    let place_count = match key.1 {
        Locality::DataCentre => data_centres.len(),
        Locality::Region => {
            data_centres.iter().map(|place| &place.region).collect::<HashSet<_>>().len()
        }
    };
    let mut shares = current.unwrap_or_else(|| ObjectShares::even(&all, key.1, place_count, now));
    shares.adjust(&all, place_count, now);
    local.shares.insert(key, shares);
    shares
}

fn log_unplaced(
    query: &Query<'_>,
    placement_request: &PlacementRequest,
    candidates: &[Candidate],
    ineligible: &IneligibleCounts,
    times: &ProcessingTimes,
    shares: &ObjectShares,
) {
    let usable = candidates.iter().filter(|candidate| !candidate.is_avoided);
    let load: f64 = usable.clone().map(|candidate| candidate.load).sum();
    let slots: u32 = usable.clone().map(|candidate| candidate.slots.get()).sum();
    log::info!(request = query.request, service = query.service.as_str(),
        object = placement_request.object,
        remaining_ms = placement_request.remaining.as_millis() as u64,
        targets = ineligible.targets, considered = candidates.len(),
        leaving = ineligible.leaving, paused = ineligible.paused, resuming = ineligible.resuming,
        avoided = candidates.len() - usable.count(),
        load = load, slots = slots, known_ms = times.expected(true).as_millis() as u64,
        unknown_ms = times.expected(false).as_millis() as u64, shares:% = shares;
        "no target can accept the request");
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

/// Returns whether a target is silent according to the control VMs, none if none of them has told
/// recently. A partitioned control VM lists many targets as silent, so a target counts as silent only if
/// all recent lists contain it.
fn silence(local: &LocalTargetStates, instance: &TargetId, now: Instant) -> Option<bool> {
    let is_recent = |at: Instant| now.saturating_duration_since(at) < SILENT_LIST_AGE_MAX;
    let mut lists = local.silent_lists.values().filter(|(_, at)| is_recent(*at)).peekable();
    lists.peek()?;
    Some(lists.all(|(silent, _)| silent.contains(instance)))
}

fn is_silent(local: &LocalTargetStates, instance: &TargetId, now: Instant) -> bool {
    silence(local, instance, now) == Some(true)
}

/// Removes the state of targets that are no longer known, and expired entries.
pub fn remove_unknown(daemon: &Daemon, now: Instant) {
    let instances = daemon.tables.instances.read();
    let mut local = daemon.tables.targets.lock();
    local.stats.retain(|id, stats| stats.in_flight > 0 || instances.get(id).is_some());
    local.suspected_cold_until.retain(|_, until| *until > now);
    local.evacuation_cold_until.retain(|_, until| *until > now);
    local.cold_limiter.retain(|id| instances.get(id).is_some());
    local
        .silent_lists
        .retain(|_, (_, at)| now.saturating_duration_since(*at) < SILENT_LIST_AGE_MAX);
}
