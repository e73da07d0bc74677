//! Tables shared by the tasks of a daemon.
//!
//! Lock order: `content`, `instances`, `target_index`, `targets`, `daemons`, `quota`, `retries`,
//! `leader`, `revision_age`, `entry_count`. A task that holds a lock takes only later ones, and never holds a lock
//! across an await.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use celerygate_control::revision_age::RevisionAge;
use celerygate_steering::availability::AvailabilityTable;
use celerygate_steering::grants::{GrantHolder, OwnerStatus};
use celerygate_steering::instances::InstanceTable;
use celerygate_steering::outcome::RetryBudget;
use celerygate_steering::placement::{
    ColdRateLimiter, Locality, ObjectShares, OverloadThrottle, ProcessingTimes, TargetStats,
    TokenBucket,
};
use celerygate_steering::routing::RoutingTable;
use celerygate_types::wire::{DaemonRecord, DaemonRole, DataCentrePlace, FleetContent, VmState};
use celerygate_types::{
    DataCentreId, OrganisationId, RegionId, Revision, ServiceId, TargetId, Term, VmId,
};
use parking_lot::{Mutex, RwLock};
use smol_str::SmolStr;
use tokio::sync::Notify;

use crate::entry_count::EntryCount;
use crate::targets::TargetIndex;

/// Time after its last message until a daemon no longer counts as running: three times the interval
/// of sync requests.
pub const DAEMON_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Time after its last reply until the daemon list of a control VM is ignored: five sync requests.
const LIST_AGE_MAX: Duration = Duration::from_secs(2);

/// Time for which this VM keeps a token ready after an organisation's last request. An organisation
/// that sends less than one request in this time to a VM waits for a token from the leader.
const TOKEN_HOLD_TIME: Duration = Duration::from_secs(20);

/// The replicated configuration that is active on this daemon.
#[derive(Debug)]
pub struct Content {
    /// The configuration in its replicated form.
    pub replicated: FleetContent,
    /// Routes, services and organisations of the configuration.
    pub routing: RoutingTable,
}

/// A daemon's record and the time of its last message.
#[derive(Clone, Debug)]
pub struct KnownDaemon {
    /// The daemon's record.
    pub record: DaemonRecord,
    /// Time of its last message; none for a daemon that is known only from others.
    pub last_seen_at: Option<Instant>,
}

/// The other daemons, as known on this VM.
#[derive(Debug, Default)]
pub struct Daemons {
    /// Known daemons by VM.
    pub known: BTreeMap<VmId, KnownDaemon>,
    /// Running daemons listed by each control VM, with the time of its last reply.
    listed: BTreeMap<VmId, (Vec<DaemonRecord>, Instant)>,
    /// Daemons that no control VM lists any more, with the time at which this was noticed.
    departed: BTreeMap<VmId, (DaemonRecord, Instant)>,
}

impl Daemons {
    /// Updates the record of a daemon. `last_seen_at` is set if the daemon itself sent the record,
    /// none if another one forwarded it.
    pub fn update(&mut self, record: DaemonRecord, last_seen_at: Option<Instant>) {
        match self.known.get_mut(&record.vm) {
            Some(known) if record.incarnation < known.record.incarnation => {}
            Some(known) => {
                if last_seen_at.is_some() || record.incarnation > known.record.incarnation {
                    known.record = record;
                    known.last_seen_at = last_seen_at.or(known.last_seen_at);
                }
            }
            None => {
                self.departed.remove(&record.vm);
                self.known.insert(record.vm.clone(), KnownDaemon { record, last_seen_at });
            }
        }
    }

    /// Records a control VM's list of running daemons; an empty list means that it has not changed.
    pub fn record_list(&mut self, from: &VmId, list: Vec<DaemonRecord>, now: Instant) {
        let listed = self.listed.entry(from.clone()).or_insert_with(|| (Vec::new(), now));
        listed.1 = now;
        if !list.is_empty() {
            listed.0 = list;
        }
    }

    /// Returns the latest lists of the control VMs that have replied recently.
    fn recent_lists(&self, now: Instant) -> impl Iterator<Item = &[DaemonRecord]> {
        let is_recent = move |at: Instant| now.saturating_duration_since(at) < LIST_AGE_MAX;
        let recent = self.listed.values().filter(move |(_, at)| is_recent(*at));
        recent.map(|(records, _)| records.as_slice())
    }

    /// Records a control VM's list like [`Self::record_list`], and keeps the entry VMs that any control
    /// VM lists. A control VM that has just started lists only a few.
    pub fn update_list(&mut self, from: &VmId, list: Vec<DaemonRecord>, now: Instant) {
        self.record_list(from, list, now);
        let mut entries: BTreeMap<VmId, DaemonRecord> = BTreeMap::new();
        for records in self.recent_lists(now) {
            for record in records.iter().filter(|record| record.role == DaemonRole::Entry) {
                let is_newer = entries.get(&record.vm).is_none_or(|known| {
                    (record.incarnation, record.state) > (known.incarnation, known.state)
                });
                if is_newer {
                    entries.insert(record.vm.clone(), record.clone());
                }
            }
        }
        let departed = &mut self.departed;
        self.known.retain(|vm, known| {
            let is_kept = known.record.role == DaemonRole::Control || entries.contains_key(vm);
            if !is_kept {
                departed.insert(vm.clone(), (known.record.clone(), now));
            }
            is_kept
        });
        for (vm, record) in entries {
            departed.remove(&vm);
            self.known.insert(vm, KnownDaemon { record, last_seen_at: None });
        }
    }

    /// Returns the daemons of a role that ran recently, with the state `Leaving` for those that no
    /// longer run. `viewer` is the role of this daemon: only control VMs receive messages from the
    /// others directly and check the age of the last one.
    pub fn recent(&self, role: DaemonRole, viewer: DaemonRole, now: Instant) -> Vec<DaemonRecord> {
        let is_running = |known: &KnownDaemon| {
            viewer != DaemonRole::Control
                || known
                    .last_seen_at
                    .is_some_and(|at| now.saturating_duration_since(at) < DAEMON_TIMEOUT)
        };
        let as_leaving =
            |record: &DaemonRecord| DaemonRecord { state: VmState::Leaving, ..record.clone() };
        let known = self.known.values().filter(|known| known.record.role == role);
        let known = known.map(|known| {
            if is_running(known) { known.record.clone() } else { as_leaving(&known.record) }
        });
        let departed = self.departed.values().filter(|(record, _)| record.role == role);
        known.chain(departed.map(|(record, _)| as_leaving(record))).collect()
    }

    /// Returns the daemons of a role whose last message is within [`DAEMON_TIMEOUT`].
    pub fn running(&self, role: DaemonRole, now: Instant) -> impl Iterator<Item = &DaemonRecord> {
        let is_running = move |known: &&KnownDaemon| {
            known.record.role == role
                && known
                    .last_seen_at
                    .is_some_and(|at| now.saturating_duration_since(at) < DAEMON_TIMEOUT)
        };
        self.known.values().filter(is_running).map(|known| &known.record)
    }

    /// Removes entry VMs whose last message, or whose departure, is at least `after` ago, and control
    /// VMs that most control VMs have lost too. A VM that returns announces itself again.
    ///
    /// Control VMs that are silent for this VM alone are kept: after a long cut their addresses are the
    /// only way back, since the seeds of the settings may have been replaced.
    pub fn remove_expired(&mut self, after: Duration, now: Instant) {
        let is_silent =
            |at: Option<Instant>| at.is_some_and(|at| now.saturating_duration_since(at) >= after);
        let is_control = |known: &KnownDaemon| known.record.role == DaemonRole::Control;
        let controls = self.known.values().filter(|known| is_control(known)).count();
        let hears_most = self.recent_lists(now).count() * 2 > controls;
        let silent = self.known.values().filter(|known| is_silent(known.last_seen_at));
        let lost = silent.filter(|known| {
            let is_listed = |list: &[DaemonRecord]| list.iter().any(|it| it.vm == known.record.vm);
            !is_control(known) || (hears_most && !self.recent_lists(now).any(is_listed))
        });
        let lost: Vec<VmId> = lost.map(|known| known.record.vm.clone()).collect();
        for vm in lost {
            self.known.remove(&vm);
            self.listed.remove(&vm);
        }
        self.departed.retain(|_, (_, at)| now.saturating_duration_since(*at) < after);
    }
}

/// State of the targets that this VM has observed or inferred, in addition to their reports.
#[derive(Debug, Default)]
pub struct LocalTargetStates {
    /// Statistics of this VM's own requests.
    pub stats: HashMap<TargetId, TargetStats>,
    /// Targets that leave or are paused according to their own responses.
    pub availability: AvailabilityTable,
    /// Targets that each control VM reports as silent (missing heartbeats), with the time of its
    /// reply.
    pub silent_lists: HashMap<VmId, (HashSet<TargetId>, Instant)>,
    /// Time until which a target may have restarted without a report and is treated as cold.
    pub suspected_cold_until: HashMap<TargetId, Instant>,
    /// Time until which the targets of a data centre are treated as cold after its evacuation.
    pub evacuation_cold_until: HashMap<DataCentreId, Instant>,
    /// Processing times of each service.
    pub processing_times: HashMap<ServiceId, ProcessingTimes>,
    /// Shares of each service's objects that are placed on near targets.
    pub shares: HashMap<(ServiceId, Locality), ObjectShares>,
    /// Throttles of the requests to each service in each region.
    pub throttles: HashMap<(ServiceId, RegionId), OverloadThrottle>,
    /// Rate limiter for requests to cold targets.
    pub cold_limiter: ColdRateLimiter,
}

/// Rate limiting state of the organisations.
#[derive(Debug)]
pub struct Quota {
    /// Tokens granted by the leader.
    pub holder: GrantHolder,
    /// Number of requests that wait for a token.
    pub waiting: HashMap<OrganisationId, u64>,
    /// Term of the leader from which tokens are requested.
    pub term: Term,
    /// Status of that leader.
    pub owner: OwnerStatus,
    /// Token buckets that are used while no leader grants tokens.
    pub own_allowances: HashMap<OrganisationId, TokenBucket>,
}

/// The leader of the control group, as known on this daemon.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Leader {
    /// Term of the leader.
    pub term: Term,
    /// VM of the leader, if known.
    pub vm: Option<VmId>,
}

/// The shared tables of a daemon.
pub struct Tables {
    content: RwLock<Option<Arc<Content>>>,
    /// Other daemons.
    pub daemons: Mutex<Daemons>,
    /// Targets with their latest reports.
    pub instances: RwLock<InstanceTable>,
    /// Index of the targets by service, built from reports and configuration.
    pub target_index: Mutex<Arc<TargetIndex>>,
    /// Locally observed state of the targets.
    pub targets: Mutex<LocalTargetStates>,
    /// Rate limiting state.
    pub quota: Mutex<Quota>,
    /// Retry budgets by service.
    pub retries: Mutex<HashMap<ServiceId, RetryBudget>>,
    /// The leader; locked only briefly.
    pub leader: Mutex<Leader>,
    /// Request counters of routes with a traffic split.
    split_counters: Mutex<HashMap<SmolStr, u64>>,
    /// Notified when a request starts to wait for tokens.
    pub token_requested: Notify,
    /// Notified when tokens are received.
    pub tokens_received: Notify,
    /// Notified when an attempt at a target has ended.
    pub attempt_ended: Notify,
    /// Notified when the control VMs must be polled at once.
    pub sync_requested: Notify,
    /// When the configuration was known to be the newest; locked only briefly.
    pub revision_age: Mutex<RevisionAge>,
    /// Stored number of entry VMs; locked only briefly.
    pub entry_count: Mutex<EntryCount>,
    /// State of this daemon, as announced to other daemons.
    state: Mutex<VmState>,
    requests_running: AtomicU64,
    /// Whether new requests are accepted.
    accepts_requests: AtomicBool,
    /// Time at which the last response must be ready, once the daemon stops; locked only briefly.
    last_response_at: Mutex<Option<Instant>>,
}

impl Tables {
    /// Creates empty tables.
    pub fn new() -> Self {
        Self {
            content: RwLock::default(),
            daemons: Mutex::default(),
            instances: RwLock::default(),
            target_index: Mutex::default(),
            targets: Mutex::default(),
            quota: Mutex::new(Quota {
                holder: GrantHolder::new(Term::ZERO).with_hold_time(TOKEN_HOLD_TIME),
                waiting: HashMap::new(),
                term: Term::ZERO,
                owner: OwnerStatus::default(),
                own_allowances: HashMap::new(),
            }),
            retries: Mutex::default(),
            leader: Mutex::default(),
            split_counters: Mutex::default(),
            token_requested: Notify::new(),
            tokens_received: Notify::new(),
            attempt_ended: Notify::new(),
            sync_requested: Notify::new(),
            revision_age: Mutex::new(RevisionAge::new(rand::random())),
            entry_count: Mutex::default(),
            state: Mutex::new(VmState::Starting),
            requests_running: AtomicU64::new(0),
            accepts_requests: AtomicBool::new(true),
            last_response_at: Mutex::default(),
        }
    }

    /// Sets the data centres of the deployment.
    pub fn set_data_centres(&self, places: &[DataCentrePlace]) {
        let data_centres = places.iter().map(|place| place.data_centre.clone());
        self.instances.write().set_data_centres(data_centres.collect());
    }

    /// Returns the active configuration, none before the first one was received.
    pub fn content(&self) -> Option<Arc<Content>> {
        self.content.read().clone()
    }

    /// Returns the revision of the active configuration, zero without one.
    pub fn revision(&self) -> Revision {
        self.content.read().as_ref().map_or(Revision::ZERO, |content| content.replicated.revision)
    }

    /// Activates a configuration unless the active one has the same or a later revision. Returns
    /// whether it was activated.
    pub fn activate(&self, content: Content) -> bool {
        let mut current = self.content.write();
        let revision = content.replicated.revision;
        if current.as_ref().is_some_and(|own| own.replicated.revision >= revision) {
            return false;
        }
        let services = content.routing.service_ids().cloned().collect();
        *current = Some(Arc::new(content));
        self.instances.write().set_named_services(services);
        true
    }

    /// Returns the state of this daemon.
    pub fn state(&self) -> VmState {
        *self.state.lock()
    }

    /// Changes the state of this daemon and returns whether it changed. The state `Leaving` is
    /// final.
    pub fn set_state(&self, state: VmState) -> bool {
        let mut own = self.state.lock();
        let changes = *own != state && *own != VmState::Leaving;
        if changes {
            *own = state;
        }
        changes
    }

    /// Returns the sequence number of the next request on a route with a traffic split, starting at
    /// a random value.
    pub fn next_split_number(&self, route: &SmolStr) -> u64 {
        let mut numbers = self.split_counters.lock();
        let number =
            numbers.entry(route.clone()).or_insert_with(|| u64::from(rand::random::<u16>()));
        *number += 1;
        *number
    }

    /// Returns the number of entry VMs, including this one, among which rate limits are divided
    /// while there is no leader.
    pub fn entry_vms(&self) -> usize {
        let daemons = self.daemons.lock();
        let known = daemons.known.values();
        let entries = known.filter(|known| known.record.role == DaemonRole::Entry).count();
        drop(daemons);
        (entries + 1).max(self.entry_count.lock().get() as usize)
    }

    /// Returns whether new requests are accepted.
    pub fn accepts_requests(&self) -> bool {
        self.accepts_requests.load(Ordering::Acquire)
    }

    /// Sets the time at which the last response must be ready, because the process exits after it.
    pub fn set_last_response_at(&self, at: Instant) {
        *self.last_response_at.lock() = Some(at);
    }

    /// Returns whether a request that may take until `end` can be accepted: new requests are accepted,
    /// and the process does not exit before `end`.
    pub fn accepts_request_until(&self, end: Instant) -> bool {
        let last_response_at = *self.last_response_at.lock();
        self.accepts_requests() && last_response_at.is_none_or(|at| end <= at)
    }

    /// Refuses all new requests, since they could not complete before the process exits, and wakes
    /// the requests that wait for a target, which are refused as well.
    pub fn stop_accepting_requests(&self) {
        self.accepts_requests.store(false, Ordering::Release);
        self.attempt_ended.notify_waiters();
    }

    /// Counts a running request until the returned guard is dropped.
    pub fn begin_request(self: &Arc<Self>) -> RunningRequestGuard {
        self.requests_running.fetch_add(1, Ordering::AcqRel);
        RunningRequestGuard(Arc::clone(self))
    }

    /// Returns the number of running requests.
    pub fn requests_running(&self) -> u64 {
        self.requests_running.load(Ordering::Acquire)
    }
}

impl Default for Tables {
    fn default() -> Self {
        Self::new()
    }
}

/// Guard that counts a request as running until it is dropped.
pub struct RunningRequestGuard(Arc<Tables>);

impl Drop for RunningRequestGuard {
    fn drop(&mut self) {
        self.0.requests_running.fetch_sub(1, Ordering::AcqRel);
    }
}

#[cfg(test)]
#[path = "tables_tests.rs"]
mod tests;
