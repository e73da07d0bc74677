//! Tables that the tasks of a daemon share.
//!
//! Lock order: `content`, `instances`, `target_index`, `targets`, `daemons`, `quota`, `retries`,
//! `leader`, `entry_count`. A task that holds a lock takes only later ones, and no lock is held across
//! an await.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use celerygate_steering::grants::{GrantHolder, OwnerStatus};
use celerygate_steering::instances::InstanceTable;
use celerygate_steering::outcome::RetryBudget;
use celerygate_steering::placement::{
    ColdRateLimiter, Locality, ObjectShares, ProcessingTimes, TargetStats, TokenBucket,
};
use celerygate_steering::routing::RoutingTable;
use celerygate_types::wire::{DaemonRecord, DaemonRole, FleetContent, VmState};
use celerygate_types::{DataCentreId, OrganisationId, Revision, ServiceId, TargetId, Term, VmId};
use parking_lot::{Mutex, RwLock};
use smol_str::SmolStr;
use tokio::sync::Notify;

use crate::entry_count::EntryCount;
use crate::targets::TargetIndex;

/// Time after its last message for which a daemon counts as running: three times the interval of
/// its messages.
pub const DAEMON_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Time for which the list of a control VM counts after its last answer: five questions.
const LIST_AGE_MAX: Duration = Duration::from_secs(2);

/// Time after a request of an organisation for which this VM holds a token for its next one. An
/// organisation that sends less than one request in this time to a VM waits for the leader.
const TOKEN_HOLD_TIME: Duration = Duration::from_secs(20);

/// The replicated configuration that is in force here.
#[derive(Debug)]
pub struct Content {
    /// As it is replicated.
    pub replicated: FleetContent,
    /// Routes, services and organisations in it.
    pub routing: RoutingTable,
}

/// A daemon and when it was heard.
#[derive(Clone, Debug)]
pub struct KnownDaemon {
    /// What it says of itself.
    pub record: DaemonRecord,
    /// When its latest message arrived; none for a daemon that only others have named.
    pub last_seen_at: Option<Instant>,
}

/// The other daemons.
#[derive(Debug, Default)]
pub struct Daemons {
    /// By id.
    pub known: BTreeMap<VmId, KnownDaemon>,
    /// Running daemons as each control VM lists them, with the time of its last answer.
    listed: BTreeMap<VmId, (Vec<DaemonRecord>, Instant)>,
    /// Daemons that control VMs no longer list, with the time at which that became known.
    departed: BTreeMap<VmId, (DaemonRecord, Instant)>,
}

impl Daemons {
    /// Takes a record that came from the daemon itself or, without a time, from another one.
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

    /// Takes the list of running daemons of a control VM, or that it is still the same, and keeps the
    /// entry VMs that any control VM lists. A control VM that has just started lists few.
    pub fn update_list(&mut self, from: &VmId, list: Vec<DaemonRecord>, now: Instant) {
        let listed = self.listed.entry(from.clone()).or_insert_with(|| (Vec::new(), now));
        listed.1 = now;
        if !list.is_empty() {
            listed.0 = list;
        }
        let is_recent = |at: Instant| now.saturating_duration_since(at) < LIST_AGE_MAX;
        let mut entries: BTreeMap<VmId, DaemonRecord> = BTreeMap::new();
        for (records, _) in self.listed.values().filter(|(_, at)| is_recent(*at)) {
            for record in records.iter().filter(|record| record.role == DaemonRole::Entry) {
                let later = entries.get(&record.vm).is_none_or(|known| {
                    (record.incarnation, record.state) > (known.incarnation, known.state)
                });
                if later {
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

    /// Returns the daemons of a role that ran lately; those that no longer run count as leaving. `by`
    /// is the role of the daemon that asks: control VMs hear the others themselves.
    pub fn recent(&self, role: DaemonRole, viewer: DaemonRole, now: Instant) -> Vec<DaemonRecord> {
        let runs = |known: &KnownDaemon| {
            viewer != DaemonRole::Control
                || known
                    .last_seen_at
                    .is_some_and(|at| now.saturating_duration_since(at) < DAEMON_TIMEOUT)
        };
        let stopped =
            |record: &DaemonRecord| DaemonRecord { state: VmState::Leaving, ..record.clone() };
        let known = self.known.values().filter(|known| known.record.role == role);
        let known = known
            .map(|known| if runs(known) { known.record.clone() } else { stopped(&known.record) });
        let departed = self.departed.values().filter(|(record, _)| record.role == role);
        known.chain(departed.map(|(record, _)| stopped(record))).collect()
    }

    /// Returns the daemons of a role that were heard recently.
    pub fn running(&self, role: DaemonRole, now: Instant) -> impl Iterator<Item = &DaemonRecord> {
        let is_running = move |known: &&KnownDaemon| {
            known.record.role == role
                && known
                    .last_seen_at
                    .is_some_and(|at| now.saturating_duration_since(at) < DAEMON_TIMEOUT)
        };
        self.known.values().filter(is_running).map(|known| &known.record)
    }

    /// Forgets daemons that were not heard for a time; a VM that returns names itself again.
    pub fn remove_expired(&mut self, after: Duration, now: Instant) {
        self.known.retain(|_, known| {
            known.last_seen_at.is_none_or(|at| now.saturating_duration_since(at) < after)
        });
        self.departed.retain(|_, (_, at)| now.saturating_duration_since(*at) < after);
    }
}

/// What this VM knows of the targets beside their reports.
#[derive(Debug, Default)]
pub struct LocalTargetStates {
    /// Own observations.
    pub stats: HashMap<TargetId, TargetStats>,
    /// Targets that a control VM calls silent, with the VM and the time of its message.
    pub silent_lists: HashMap<VmId, (HashSet<TargetId>, Instant)>,
    /// Until when a target may have been restarted unnoticed and is treated as cold.
    pub suspected_cold_until: HashMap<TargetId, Instant>,
    /// Until when the targets of a data centre are treated as cold after its evacuation.
    pub evacuation_cold_until: HashMap<DataCentreId, Instant>,
    /// Times of the requests of each service.
    pub processing_times: HashMap<ServiceId, ProcessingTimes>,
    /// Shares of each service's objects that near targets handle.
    pub shares: HashMap<(ServiceId, Locality), ObjectShares>,
    /// Requests to cold targets.
    pub cold_limiter: ColdRateLimiter,
}

/// Tokens of the organisations.
#[derive(Debug)]
pub struct Quota {
    /// Tokens that the leader has granted.
    pub holder: GrantHolder,
    /// Requests that wait for tokens.
    pub waiting: HashMap<OrganisationId, u64>,
    /// Term of the leader that tokens are asked of.
    pub term: Term,
    /// What is known of that leader.
    pub owner: OwnerStatus,
    /// Allowance while the leader does not answer.
    pub own_allowances: HashMap<OrganisationId, TokenBucket>,
}

/// The leader of the control group as far as it is known here.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Leader {
    /// Its term.
    pub term: Term,
    /// The VM, when it is known.
    pub vm: Option<VmId>,
}

/// All shared tables.
pub struct Tables {
    content: RwLock<Option<Arc<Content>>>,
    /// Other daemons.
    pub daemons: Mutex<Daemons>,
    /// Reports of the targets.
    pub instances: RwLock<InstanceTable>,
    /// Targets by service, as far as the reports and the configuration decide.
    pub target_index: Mutex<Arc<TargetIndex>>,
    /// Own knowledge of the targets.
    pub targets: Mutex<LocalTargetStates>,
    /// Tokens.
    pub quota: Mutex<Quota>,
    /// Budgets of repeats by service.
    pub retries: Mutex<HashMap<ServiceId, RetryBudget>>,
    /// The leader; taken last and for a moment only.
    pub leader: Mutex<Leader>,
    /// Numbers of the requests on split routes.
    split_counters: Mutex<HashMap<SmolStr, u64>>,
    /// Told when a request begins to wait for tokens.
    pub token_requested: Notify,
    /// Told when tokens arrive.
    pub tokens_received: Notify,
    /// Told when a request at a target has ended.
    pub attempt_ended: Notify,
    /// Told when something is to be fetched from the control VMs at once.
    pub sync_requested: Notify,
    /// Number of entry VMs that is remembered; taken for a moment only.
    pub entry_count: Mutex<EntryCount>,
    /// State of this daemon as other daemons are told.
    state: Mutex<VmState>,
    requests_running: AtomicU64,
    /// Whether requests are still sent to targets.
    accepts_requests: AtomicBool,
}

impl Tables {
    /// Returns empty tables.
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
            entry_count: Mutex::default(),
            state: Mutex::new(VmState::Starting),
            requests_running: AtomicU64::new(0),
            accepts_requests: AtomicBool::new(true),
        }
    }

    /// Returns the configuration in force; none before the first.
    pub fn content(&self) -> Option<Arc<Content>> {
        self.content.read().clone()
    }

    /// Returns the revision in force.
    pub fn revision(&self) -> Revision {
        self.content.read().as_ref().map_or(Revision::ZERO, |content| content.replicated.revision)
    }

    /// Puts a configuration in force unless one of the same or a later revision is.
    pub fn activate(&self, content: Content) -> bool {
        let mut current = self.content.write();
        let revision = content.replicated.revision;
        if current.as_ref().is_some_and(|own| own.replicated.revision >= revision) {
            return false;
        }
        *current = Some(Arc::new(content));
        true
    }

    /// Returns the state of this daemon.
    pub fn state(&self) -> VmState {
        *self.state.lock()
    }

    /// Changes the state of this daemon; a daemon that leaves does not return.
    pub fn set_state(&self, state: VmState) -> bool {
        let mut own = self.state.lock();
        let changes = *own != state && *own != VmState::Leaving;
        if changes {
            *own = state;
        }
        changes
    }

    /// Returns the number of the next request on a split route.
    pub fn next_split_number(&self, route: &SmolStr) -> u64 {
        let mut numbers = self.split_counters.lock();
        let number =
            numbers.entry(route.clone()).or_insert_with(|| u64::from(rand::random::<u16>()));
        *number += 1;
        *number
    }

    /// Returns the number of entry VMs that share what is divided without a leader, this one
    /// included.
    pub fn entry_vms(&self) -> usize {
        let daemons = self.daemons.lock();
        let known = daemons.known.values();
        let entries = known.filter(|known| known.record.role == DaemonRole::Entry).count();
        drop(daemons);
        (entries + 1).max(self.entry_count.lock().get() as usize)
    }

    /// Returns whether requests are still sent to targets.
    pub fn accepts_requests(&self) -> bool {
        self.accepts_requests.load(Ordering::Acquire)
    }

    /// Refuses all further requests: they could not end before the process does.
    pub fn stop_accepting_requests(&self) {
        self.accepts_requests.store(false, Ordering::Release);
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

/// Marks a request as running.
pub struct RunningRequestGuard(Arc<Tables>);

impl Drop for RunningRequestGuard {
    fn drop(&mut self) {
        self.0.requests_running.fetch_sub(1, Ordering::AcqRel);
    }
}

#[cfg(test)]
#[path = "tables_tests.rs"]
mod tests;
