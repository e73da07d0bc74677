//! Lookups: which entry VMs a caller should use.

use std::net::{IpAddr, SocketAddr};
use std::time::{Duration, Instant};

use celerygate_steering::lookup::{
    AnswerLedger, CACHE_TIME, Decision, EntryInput, EntryTable, Lookup, RegionRoom, decide,
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

/// Time between two rebuilds of the entry table and the rooms.
pub const REBUILD_INTERVAL: Duration = Duration::from_millis(250);

/// Regions, entry VMs and rooms as lookups see them.
pub struct LookupState {
    entries: EntryTable,
    rooms: Vec<(ServiceId, Vec<RegionRoom>)>,
    ledger: AnswerLedger,
}

impl LookupState {
    /// Returns a state without entry VMs.
    pub fn new(now: Instant) -> Self {
        Self { entries: EntryTable::default(), rooms: Vec::new(), ledger: AnswerLedger::new(0, now) }
    }

    /// Replaces the entry table and the rooms.
    pub fn replace(&mut self, entries: EntryTable, rooms: Vec<(ServiceId, Vec<RegionRoom>)>) {
        self.entries = entries;
        self.rooms = rooms;
    }

}

/// Answers a lookup.
pub fn answer(
    daemon: &Daemon,
    id: &RequestId,
    service: &ServiceId,
    request: &Request<Incoming>,
    caller: SocketAddr,
) -> Result<Response<ResponseBody>, Refusal> {
    let result = decide_entries(daemon, id, service, request, caller);
    let code = result.as_ref().map_or_else(|refusal| refusal.code.number(), |_| 0);
    daemon.metrics.count_lookup(code);
    if let Err(refusal) = &result {
        log::info!(request:% = id, service:% = service, reason:% = refusal.code; "lookup refused");
    }
    result.map(|answer| respond(&answer, request))
}

fn decide_entries(
    daemon: &Daemon,
    id: &RequestId,
    service: &ServiceId,
    request: &Request<Incoming>,
    caller: SocketAddr,
) -> Result<LookupAnswer, Refusal> {
    if !matches!(*request.method(), Method::GET | Method::HEAD) {
        return Err(ResultCode::MethodNotAllowed.into());
    }
    let client = client_address(request.uri().query(), caller.ip())?;
    let view = daemon.tables.view();
    view.service(service).ok_or(ResultCode::UnknownService)?;
    let now = daemon.clock.now();
    let mut state = daemon.tables.lookups.lock();
    let LookupState { entries, rooms, ledger } = &mut *state;
    let room = rooms.iter().find(|(known, _)| known == service).map_or(&[][..], |(_, r)| r);
    let segment = |home: &RegionId, hash: u64| view.region_of_block(service, home, hash);
    let Lookup::Use(decision) = decide(&view.blocks, entries, room, ledger, client, segment, now)
    else {
        return Err(ResultCode::NoCapacity.into());
    };
    log::info!(
        request:% = id, service:% = service, client:% = client,
        region:% = entries.region(decision.region), reason:% = decision.reason,
        first = first_vm(entries, &decision);
        "lookup answered"
    );
    Ok(LookupAnswer {
        service: service.clone(),
        revision: view.configuration.revision,
        max_age_s: CACHE_TIME.as_secs() as u32,
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

/// Returns the address to steer by: the one that the query names, or the caller's own.
fn client_address(query: Option<&str>, caller: IpAddr) -> Result<IpAddr, Refusal> {
    let named = query.into_iter().flat_map(|query| query.split('&'));
    match named.filter_map(|part| part.strip_prefix("client=")).next() {
        None => Ok(caller),
        Some(text) => text.parse().map_err(|_| {
            Refusal::with_detail(ResultCode::BadRequest, "client: expected an IP address.")
        }),
    }
}

fn respond(answer: &LookupAnswer, request: &Request<Incoming>) -> Response<ResponseBody> {
    let bytes = serde_json::to_vec(answer).unwrap_or_default();
    let tag = format!("\"{}\"", &blake3::hash(&bytes).to_hex()[..16]);
    let known = request.headers().get(IF_NONE_MATCH).map(HeaderValue::as_bytes);
    let unchanged = known.is_some_and(|known| known == tag.as_bytes());
    let mut response = Response::new(body::full(if unchanged { Vec::new() } else { bytes }));
    if unchanged {
        *response.status_mut() = StatusCode::NOT_MODIFIED;
    }
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Ok(value) = HeaderValue::from_str(&format!("max-age={}", answer.max_age_s)) {
        headers.insert(CACHE_CONTROL, value);
    }
    if let Ok(value) = HeaderValue::from_str(&tag) {
        headers.insert(ETAG, value);
    }
    response
}

/// Rebuilds the entry table and the rooms from the latest heartbeats and announcements.
pub fn rebuild(daemon: &Daemon) {
    let view = daemon.tables.view();
    let now = daemon.clock.now();
    let inputs = entry_inputs(daemon, &view, now);
    let regions = &view.configuration.regions;
    let entries = EntryTable::new(regions, &inputs);
    let rooms = rooms(daemon, &view, now);
    daemon.tables.lookups.lock().replace(entries, rooms);
}

fn entry_inputs(daemon: &Daemon, view: &View, now: Instant) -> Vec<EntryInput> {
    let neighbours = daemon.tables.neighbours.lock();
    let state_of = |vm: &VmId| {
        if *vm == daemon.own { Some(daemon.state()) } else {
            neighbours.live(vm, now).map(|known| known.heartbeat.state)
        }
    };
    let running_of = |vm: &VmId| {
        let loads = neighbours.live(vm, now).map(|known| known.heartbeat.loads.as_slice());
        loads.unwrap_or(&[]).iter().map(|load| load.running_slots.get()).sum::<u32>()
    };
    let members = &view.configuration.members;
    let most_running = members.iter().map(|member| running_of(&member.vm)).max().unwrap_or(0);
    members
        .iter()
        .map(|member| EntryInput {
            vm: member.vm.clone(),
            address: SmolStr::clone(&member.callers_address),
            region: member.region.clone(),
            serving: state_of(&member.vm) == Some(VmState::Serving)
                && !view.is_vm_drained(&member.vm),
            headroom: (2 * most_running + 1 - running_of(&member.vm)) as f32,
        })
        .collect()
}

fn rooms(daemon: &Daemon, view: &View, now: Instant) -> Vec<(ServiceId, Vec<RegionRoom>)> {
    let services = &view.configuration.services;
    services
        .iter()
        .map(|service| {
            let load = daemon.region_load(&service.service, now);
            let targets = daemon.tables.targets.lock();
            let known = targets.of_service(&service.service);
            let room = |region: &RegionId| {
                let usable = known.iter().filter(|target| {
                    target.region == *region
                        && target.is_usable(now)
                        && !view.is_target_drained(&service.service, &target.target)
                });
                let slots: u32 = usable.map(|target| target.slots.get()).sum();
                let running = load.get(region).copied().unwrap_or_default().get();
                RegionRoom {
                    headroom_slots: slots.saturating_sub(running) as f32,
                    slots_per_answer: 1.0,
                }
            };
            let regions = view.configuration.regions.iter().map(room).collect();
            (service.service.clone(), regions)
        })
        .collect()
}
