//! The tables that all workers and connections share, and their lock order.
//!
//! A thread may take a lock only while it holds locks of lower rank. The ranks are, in order:
//! control 10, view 20, peer heartbeats 30, targets 40, permits 50, lookups 60, grants 70,
//! idempotency replica 72, idempotency waiters 74, retries 80, traffic 85, links 90.
//! No lock is held across an await.

mod peer_heartbeats;
mod permits;
mod traffic;

use std::sync::Arc;
use std::time::Instant;

use celerygate_steering::grants::GrantHolder;
use celerygate_steering::outcome::RetryBudget;
use celerygate_steering::targets::TargetTable;
use celerygate_types::Term;
use celerygate_types::wire::Configuration;

pub use peer_heartbeats::{HEARTBEAT_TIMEOUT, PeerHeartbeats};
pub use permits::{Permits, SlotGrant, Waiter};
pub use traffic::TrafficMeter;

use crate::control::Control;
use crate::idempotency::{IdempotencyReplica, IdempotencyWaiters};
use crate::links::Links;
use crate::locks::RankedMutex;
use crate::lookup::LookupState;
use crate::view::View;

/// The shared tables of a daemon.
pub struct Tables {
    /// State of the control group on this daemon.
    pub control: RankedMutex<Control>,
    view: RankedMutex<Arc<View>>,
    /// Last heartbeats of the other daemons.
    pub peer_heartbeats: RankedMutex<PeerHeartbeats>,
    /// Announced targets.
    pub targets: RankedMutex<TargetTable>,
    /// Slot permits and waiting requests.
    pub permits: RankedMutex<Permits>,
    /// Entry VMs and region capacities for lookups.
    pub lookups: RankedMutex<LookupState>,
    /// Rate tokens of this VM.
    pub grants: RankedMutex<GrantHolder>,
    /// Idempotency keys that this VM stores as a replica; `None` on VMs without a disk.
    pub idempotency_replica: RankedMutex<Option<IdempotencyReplica>>,
    /// Requests that wait for replies from the replicas of their idempotency keys.
    pub idempotency_waiters: RankedMutex<IdempotencyWaiters>,
    /// Bytes sent to callers.
    pub traffic: RankedMutex<TrafficMeter>,
    /// Budgets of the links between regions.
    pub links: RankedMutex<Links>,
    /// Limits the share of requests that are retried.
    pub retries: RankedMutex<RetryBudget>,
}

impl Tables {
    /// Returns tables without targets, heartbeats and permits.
    pub fn new(
        control: Control,
        idempotency_replica: Option<IdempotencyReplica>,
        configuration: Configuration,
        now: Instant,
    ) -> Self {
        Self {
            control: RankedMutex::new(10, control),
            view: RankedMutex::new(20, Arc::new(View::new(configuration))),
            peer_heartbeats: RankedMutex::new(30, PeerHeartbeats::default()),
            targets: RankedMutex::new(40, TargetTable::new()),
            permits: RankedMutex::new(50, Permits::default()),
            lookups: RankedMutex::new(60, LookupState::default()),
            grants: RankedMutex::new(70, GrantHolder::new(Term::ZERO)),
            idempotency_replica: RankedMutex::new(72, idempotency_replica),
            idempotency_waiters: RankedMutex::new(74, IdempotencyWaiters::default()),
            traffic: RankedMutex::new(85, TrafficMeter::new(now)),
            links: RankedMutex::new(90, Links::default()),
            retries: RankedMutex::new(80, RetryBudget::new(now)),
        }
    }

    /// Returns the applied configuration.
    pub fn view(&self) -> Arc<View> {
        Arc::clone(&self.view.lock())
    }

    /// Replaces the applied configuration, unless the current one is later.
    pub fn set_view(&self, view: View) {
        let mut current = self.view.lock();
        if view.configuration.revision >= current.configuration.revision {
            *current = Arc::new(view);
        }
    }
}
