//! State that all parts of the daemon share.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use celerygate_control::freshness::Freshness;
use celerygate_steering::targets::{EjectionVerdict, Location, Observation, SelectedTarget};
use celerygate_types::wire::{Heartbeat, Message, ServiceLoad, TargetRecord, VmState};
use celerygate_types::{
    Clock, Incarnation, RegionId, RequestCount, RequestId, ServiceId, SlotCount, VmId,
};

use crate::notices;
use crate::peers::Peers;
use crate::settings::LoadedSettings;
use crate::shutdown::{Phase, Shutdown};
use crate::tables::Tables;
use crate::telemetry::Metrics;
use crate::upstream::ConnectionPool;

/// Maximum size of the target records in one heartbeat; loads and the envelope use the rest of the
/// datagram.
const MAX_RECORD_BYTES: usize = 700;

/// A running daemon.
pub struct Daemon {
    /// Id of this VM.
    pub own_vm: VmId,
    /// Region and data centre of this VM.
    pub location: Location,
    /// Start time of this process in Unix milliseconds, which distinguishes it from earlier
    /// processes of this VM.
    pub incarnation: Incarnation,
    /// Source of monotonic and wall-clock time.
    pub clock: Clock,
    /// Settings and secrets.
    pub loaded_settings: LoadedSettings,
    /// Tables that the workers and connections share.
    pub tables: Tables,
    /// Connections to the other daemons.
    pub peers: Arc<Peers>,
    /// Counters and histograms for the metrics endpoint.
    pub metrics: Arc<Metrics>,
    /// Pool of connections to targets.
    pub connection_pool: Arc<ConnectionPool>,
    /// Phase of a graceful shutdown.
    pub shutdown: Shutdown,
    /// Start of the process on the monotonic clock.
    pub started_at: Instant,
    /// Time until which the configuration is known to be current, in milliseconds since
    /// `started_at`. Kept outside the tables because every request with a key reads it.
    pub fresh_until_ms: AtomicU64,
    /// Sequence number of the next request.
    pub next_request_number: AtomicU64,
}

impl Daemon {
    /// Returns a request id that is unique across daemons and across restarts of this one.
    pub fn next_request_id(&self) -> RequestId {
        let number = self.next_request_number.fetch_add(1, Ordering::Relaxed);
        let text = format!("{}-{:x}-{number:x}", self.own_vm, self.incarnation.get());
        // With a VM id of maximum length, the text is too long. Its beginning is cut off, so that
        // the request number is kept.
        let cut = text.len().saturating_sub(celerygate_types::ids::MAX_ID_BYTES);
        text[cut..].parse().expect("the text has only characters that ids allow")
    }

    /// Returns whether the applied configuration is known to be current.
    pub fn is_fresh(&self) -> bool {
        let now_ms = self.clock.now().saturating_duration_since(self.started_at).as_millis();
        now_ms < u128::from(self.fresh_until_ms.load(Ordering::Acquire))
    }

    /// Returns the time until which the configuration is known to be current.
    pub fn fresh_until(&self) -> Instant {
        self.started_at + Duration::from_millis(self.fresh_until_ms.load(Ordering::Acquire))
    }

    /// Publishes the end of freshness to the request path.
    pub fn update_fresh_until(&self, freshness: &Freshness) {
        let until = freshness.fresh_until().unwrap_or(self.started_at);
        let until_ms = until.saturating_duration_since(self.started_at).as_millis();
        self.fresh_until_ms.store(u64::try_from(until_ms).unwrap_or(u64::MAX), Ordering::Release);
    }

    /// Logs an unrecoverable error and exits the process.
    pub fn exit_with_error(&self, error: &anyhow::Error) -> ! {
        log::error!(vm:% = self.own_vm, error = format!("{error:#}").as_str(); "daemon failed");
        log::logger().flush();
        eprintln!("error: {error:#}");
        std::process::exit(1)
    }

    /// Returns the state that this daemon reports in its heartbeats.
    pub fn state(&self) -> VmState {
        match self.shutdown.phase() {
            Phase::Leaving | Phase::Closing => VmState::Leaving,
            Phase::Serving if self.is_fresh() => VmState::Serving,
            Phase::Serving => VmState::Stale,
        }
    }

    /// Returns the load of each service by region, from the latest heartbeats and this VM's own
    /// load. A request counts in the region of its entry VM.
    pub fn region_loads(&self, now: Instant) -> RegionLoads {
        let view = self.tables.view();
        let mut loads = RegionLoads::default();
        {
            let peer_heartbeats = self.tables.peer_heartbeats.lock();
            for (vm, peer) in peer_heartbeats.all_live(now) {
                let Some(member) = view.member(vm) else { continue };
                for load in &peer.heartbeat.loads {
                    let (running, waiting) = (load.running_slots, load.waiting_requests);
                    loads.add(&load.service, &member.region, running, waiting);
                }
            }
        }
        let targets = self.tables.targets.lock();
        let permits = self.tables.permits.lock();
        for (service, running) in permits.running(&targets) {
            loads.add(service, &self.location.region, running, permits.waiting(service));
        }
        loads
    }

    /// Records the outcome of a request at a target, which may eject the target.
    pub fn observe(
        &self,
        service: &ServiceId,
        selected: &SelectedTarget,
        observation: Observation,
    ) {
        let now = self.clock.now();
        let loads = match observation {
            Observation::Success => RegionLoads::default(),
            _ => self.region_loads(now),
        };
        let region_load = |region: &RegionId| loads.running(service, region);
        let (target, incarnation) = (&selected.target, selected.incarnation);
        let mut targets = self.tables.targets.lock();
        let verdict = targets.observe(service, target, incarnation, observation, region_load, now);
        let pause_ended = (observation == Observation::Success)
            .then(|| targets.record_response(service, target, incarnation, now))
            .flatten();
        drop(targets);
        if pause_ended.is_some() {
            notices::log_pause_end(service, target);
        }
        match verdict {
            EjectionVerdict::Ejected { until } => log::warn!(
                service:% = service, target:% = selected.target,
                for_ms = until.saturating_duration_since(now).as_millis() as u64;
                "target ejected"
            ),
            EjectionVerdict::KeptByCap => log::warn!(
                service:% = service, target:% = selected.target;
                "failing target kept, the others cannot carry its load"
            ),
            EjectionVerdict::Ignored | EjectionVerdict::Kept => {}
        }
    }

    /// Sends heartbeats with state, load and target records to the other daemons.
    pub fn send_heartbeats(&self) {
        let now = self.clock.now();
        let records = self.tables.targets.lock().records(now);
        self.tables.traffic.lock().update_rates(now);
        let revision = self.tables.view().configuration.revision;
        let (state, loads) = (self.state(), self.loads());
        let links = self.tables.links.lock().loads();
        for targets in split_records(records) {
            let heartbeat =
                Heartbeat { state, revision, loads: loads.clone(), links: links.clone(), targets };
            for peer in self.peers.vms() {
                self.peers.send(peer, Message::Heartbeat(heartbeat.clone()));
            }
        }
    }

    /// Returns the load of this VM by service.
    pub fn loads(&self) -> Vec<ServiceLoad> {
        let targets = self.tables.targets.lock();
        let permits = self.tables.permits.lock();
        let traffic = self.tables.traffic.lock();
        permits
            .running(&targets)
            .into_iter()
            .map(|(service, running_slots)| ServiceLoad {
                service: service.clone(),
                running_slots,
                waiting_requests: permits.waiting(service),
                sent_bytes_per_s: traffic.rate(service),
            })
            .collect()
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct RegionLoad {
    running: SlotCount,
    waiting: RequestCount,
}

/// Load of each service by region.
#[derive(Clone, Debug, Default)]
pub struct RegionLoads {
    by_service: HashMap<ServiceId, HashMap<RegionId, RegionLoad>>,
}

impl RegionLoads {
    fn add(
        &mut self,
        service: &ServiceId,
        region: &RegionId,
        running: SlotCount,
        waiting: RequestCount,
    ) {
        let regions = self.by_service.entry(service.clone()).or_default();
        let load = regions.entry(region.clone()).or_default();
        load.running = load.running.saturating_add(running);
        load.waiting = load.waiting.saturating_add(waiting);
    }

    fn get(&self, service: &ServiceId, region: &RegionId) -> RegionLoad {
        let regions = self.by_service.get(service);
        regions.and_then(|regions| regions.get(region)).copied().unwrap_or_default()
    }

    /// Returns the number of slots in use.
    pub fn running(&self, service: &ServiceId, region: &RegionId) -> SlotCount {
        self.get(service, region).running
    }

    /// Returns the number of slots in use plus the number of waiting requests.
    pub fn demand(&self, service: &ServiceId, region: &RegionId) -> SlotCount {
        let RegionLoad { running, waiting } = self.get(service, region);
        let waiting = u32::try_from(waiting.get()).unwrap_or(u32::MAX);
        running.saturating_add(SlotCount(waiting))
    }
}

/// Splits records into chunks that each fit a datagram; there is always at least one chunk.
fn split_records(records: Vec<TargetRecord>) -> Vec<Vec<TargetRecord>> {
    let mut chunks = vec![Vec::new()];
    let mut bytes = 0;
    for record in records {
        let size = postcard::experimental::serialized_size(&record).unwrap_or(MAX_RECORD_BYTES);
        if bytes + size > MAX_RECORD_BYTES && bytes > 0 {
            chunks.push(Vec::new());
            bytes = 0;
        }
        bytes += size;
        if let Some(chunk) = chunks.last_mut() {
            chunk.push(record);
        }
    }
    chunks
}
