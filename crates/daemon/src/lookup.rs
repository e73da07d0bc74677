//! Lookups, which return the entry VMs that a caller should use.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::time::{Duration, Instant};

use celerygate_steering::lookup::{
    ANSWER_TTL, Decision, EntryTable, EntryVmState, Lookup, RegionCapacity, ServiceCapacity, decide,
};
use celerygate_types::wire::{EntryVm, LookupAnswer, VmState};
use celerygate_types::{RegionId, RequestId, ResultCode, ServiceId, VmId};
use hyper::body::Incoming;
use hyper::header::{CACHE_CONTROL, CONTENT_TYPE, ETAG, HeaderValue, IF_NONE_MATCH};
use hyper::{Method, Request, Response, StatusCode};
use smol_str::SmolStr;

use crate::body::{self, ResponseBody};
use crate::daemon::Daemon;
use crate::refusal::Refusal;
use crate::view::View;

/// Interval between rebuilds of the entry table and the region capacities.
pub const REBUILD_INTERVAL: Duration = Duration::from_millis(250);

/// Bounds of the load that one answer is estimated to add to a region. The lower bound also applies
/// while there is no load from which to estimate it.
const MAX_SLOTS_PER_ANSWER: f32 = 1.0;
const MIN_SLOTS_PER_ANSWER: f32 = 0.01;
/// Weight of the latest rebuild interval in the moving average of the number of answers.
const LATEST_INTERVAL_WEIGHT: f32 = 0.1;

/// State of lookups: entry VMs and region capacities.
#[derive(Default)]
pub struct LookupState {
    entries: EntryTable,
    services: HashMap<ServiceId, ServiceState>,
}

/// Lookup state of one service.
struct ServiceState {
    capacity: ServiceCapacity,
    /// Answers since the last rebuild.
    answers: u32,
    /// Moving average of the answers of this VM per rebuild interval.
    answers_per_rebuild: f32,
}

impl LookupState {
    /// Replaces the entry table and updates the region capacities of each service.
    fn update(
        &mut self,
        entries: EntryTable,
        capacities: Vec<(ServiceId, Vec<RegionCapacity>)>,
        now: Instant,
    ) {
        self.services.retain(|known, _| capacities.iter().any(|(service, _)| service == known));
        let vms = entries.vms().len().max(1) as f32;
        for (service, regions) in capacities {
            let state = self.services.entry(service).or_insert_with(|| ServiceState {
                capacity: ServiceCapacity::new(regions.len(), now),
                answers: 0,
                answers_per_rebuild: 0.0,
            });
            state.update(regions, vms, now);
        }
        self.entries = entries;
    }
}

impl ServiceState {
    fn update(&mut self, mut regions: Vec<RegionCapacity>, vms: f32, now: Instant) {
        let latest = std::mem::take(&mut self.answers) as f32;
        self.answers_per_rebuild += LATEST_INTERVAL_WEIGHT * (latest - self.answers_per_rebuild);
        let load: f32 = regions.iter().map(|region| region.load_slots).sum();
        let rebuilds = ANSWER_TTL.as_secs_f32() / REBUILD_INTERVAL.as_secs_f32();
        // Callers repeat a lookup when its answer expires, so the current load is due to the
        // answers that all VMs gave within one caching time.
        let answers = (self.answers_per_rebuild * rebuilds * vms).max(1.0);
        let per_answer = (load / answers).clamp(MIN_SLOTS_PER_ANSWER, MAX_SLOTS_PER_ANSWER);
        regions.iter_mut().for_each(|region| region.slots_per_answer = per_answer);
        self.capacity.update(regions, now);
    }
}

/// Handles a lookup request.
pub fn handle(
    daemon: &Daemon,
    id: &RequestId,
    service: &ServiceId,
    request: &Request<Incoming>,
    address: SocketAddr,
) -> Result<Response<ResponseBody>, Refusal> {
    let result = select_entries(daemon, id, service, request, address);
    let code = result.as_ref().map_or_else(|refusal| refusal.code.number(), |_| 0);
    daemon.metrics.count_lookup(code);
    if let Err(refusal) = &result {
        log::info!(request:% = id, service:% = service, reason:% = refusal.code; "lookup refused");
    }
    result.map(|answer| build_response(&answer, request))
}

fn select_entries(
    daemon: &Daemon,
    id: &RequestId,
    service: &ServiceId,
    request: &Request<Incoming>,
    address: SocketAddr,
) -> Result<LookupAnswer, Refusal> {
    if !matches!(*request.method(), Method::GET | Method::HEAD) {
        return Err(ResultCode::MethodNotAllowed.into());
    }
    let client = client_address(request.uri().query(), address.ip())?;
    let view = daemon.tables.view();
    view.service(service).ok_or(ResultCode::UnknownService)?;
    let now = daemon.clock.now();
    let mut state = daemon.tables.lookups.lock();
    let LookupState { entries, services } = &mut *state;
    // The state of a new service is created by the next rebuild after the configuration arrived.
    let state = services.get_mut(service).ok_or(ResultCode::NoCapacity)?;
    state.answers += 1;
    let region_of_block = |home: &RegionId, hash: u64| view.region_of_block(service, home, hash);
    let lookup = decide(&view.blocks, entries, &mut state.capacity, client, region_of_block, now);
    let Lookup::Use(decision) = lookup else { return Err(ResultCode::NoCapacity.into()) };
    log::info!(
        request:% = id, service:% = service, client:% = client,
        region:% = entries.region(decision.region), reason:% = decision.reason,
        first = first_vm(entries, &decision);
        "lookup answered"
    );
    Ok(LookupAnswer {
        service: service.clone(),
        revision: view.configuration.revision,
        max_age_s: ANSWER_TTL.as_secs() as u32,
        entries: decision
            .entries
            .iter()
            .filter_map(|&at| entries.vms().get(usize::from(at)))
            .map(|entry| EntryVm {
                vm: entry.vm.clone(),
                region: entries.region(entry.region).clone(),
                address: entry.address.clone(),
            })
            .collect(),
    })
}

fn first_vm<'a>(entries: &'a EntryTable, decision: &Decision) -> &'a str {
    let first = decision.entries.first().and_then(|&at| entries.vms().get(usize::from(at)));
    first.map_or("none", |entry| entry.vm.as_str())
}

/// Returns the client address for the lookup: the one in the query, or else that of the caller.
fn client_address(query: Option<&str>, caller: IpAddr) -> Result<IpAddr, Refusal> {
    let parameters = query.into_iter().flat_map(|query| query.split('&'));
    match parameters.filter_map(|part| part.strip_prefix("client=")).next() {
        None => Ok(caller),
        Some(text) => text.parse().map_err(|_| {
            Refusal::with_detail(ResultCode::BadRequest, "client: expected an IP address.")
        }),
    }
}

fn build_response(answer: &LookupAnswer, request: &Request<Incoming>) -> Response<ResponseBody> {
    let bytes = serde_json::to_vec(answer).unwrap_or_default();
    let entity_tag = format!("\"{}\"", &blake3::hash(&bytes).to_hex()[..16]);
    let cached_tag = request.headers().get(IF_NONE_MATCH).map(HeaderValue::as_bytes);
    let unchanged = cached_tag.is_some_and(|cached| cached == entity_tag.as_bytes());
    let mut response = Response::new(body::full(if unchanged { Vec::new() } else { bytes }));
    if unchanged {
        *response.status_mut() = StatusCode::NOT_MODIFIED;
    }
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Ok(value) = HeaderValue::from_str(&format!("max-age={}", answer.max_age_s)) {
        headers.insert(CACHE_CONTROL, value);
    }
    if let Ok(value) = HeaderValue::from_str(&entity_tag) {
        headers.insert(ETAG, value);
    }
    response
}

/// Rebuilds the entry table and the region capacities from the latest heartbeats and announcements.
pub fn rebuild(daemon: &Daemon) {
    let view = daemon.tables.view();
    let now = daemon.clock.now();
    let entry_states = entry_vm_states(daemon, &view, now);
    let regions = &view.configuration.regions;
    let entries = EntryTable::new(regions, &entry_states);
    let capacities = service_capacities(daemon, &view, now);
    daemon.tables.lookups.lock().update(entries, capacities, now);
}

fn entry_vm_states(daemon: &Daemon, view: &View, now: Instant) -> Vec<EntryVmState> {
    let peer_heartbeats = daemon.tables.peer_heartbeats.lock();
    let state_of = |vm: &VmId| {
        if *vm == daemon.own_vm {
            Some(daemon.state())
        } else {
            peer_heartbeats.live(vm, now).map(|peer| peer.heartbeat.state)
        }
    };
    let running_of = |vm: &VmId| {
        let loads = peer_heartbeats.live(vm, now).map(|peer| peer.heartbeat.loads.as_slice());
        loads.unwrap_or(&[]).iter().map(|load| load.running_slots.get()).sum::<u32>()
    };
    let members = &view.configuration.members;
    let most_running = members.iter().map(|member| running_of(&member.vm)).max().unwrap_or(0);
    members
        .iter()
        .map(|member| EntryVmState {
            vm: member.vm.clone(),
            address: SmolStr::clone(&member.callers_address),
            region: member.region.clone(),
            serving: state_of(&member.vm) == Some(VmState::Serving)
                && !view.is_vm_drained(&member.vm),
            headroom: (2 * most_running + 1 - running_of(&member.vm)) as f32,
        })
        .collect()
}

fn service_capacities(
    daemon: &Daemon,
    view: &View,
    now: Instant,
) -> Vec<(ServiceId, Vec<RegionCapacity>)> {
    let loads = daemon.region_loads(now);
    let targets = daemon.tables.targets.lock();
    let services = &view.configuration.services;
    services
        .iter()
        .map(|service| {
            let service_targets = targets.of_service(&service.service);
            let region_capacity = |region: &RegionId| {
                let usable = service_targets.iter().filter(|target| {
                    target.region == *region
                        && target.is_usable(now)
                        && !view.is_target_drained(&service.service, &target.target)
                });
                let slots: u32 = usable.map(|target| target.slots.get()).sum();
                RegionCapacity {
                    capacity_slots: slots as f32,
                    load_slots: loads.demand(&service.service, region).get() as f32,
                    slots_per_answer: 0.0,
                }
            };
            let regions = view.configuration.regions.iter().map(region_capacity).collect();
            (service.service.clone(), regions)
        })
        .collect()
}
