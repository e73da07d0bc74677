//! The tables that all workers and connections share, with their lock order.
//!
//! A thread may take a lock only while it holds locks of lower rank. The ranks are, in order:
//! control 10, view 20, neighbours 30, targets 40, permits 50, lookups 60, grants 70, once home 72,
//! once waiting 74, retries 80, traffic 85, links 90.
//! No lock is held across an await.

mod neighbours;
mod permits;
mod traffic;

use std::sync::Arc;
use std::time::Instant;

use celerygate_steering::grants::GrantHolder;
use celerygate_steering::outcome::RetryBudget;
use celerygate_steering::targets::TargetTable;
use celerygate_types::Term;
use celerygate_types::wire::Configuration;

pub use neighbours::{DEAD_AFTER, Neighbours};
pub use permits::{Grant, Permits, Waiter};
pub use traffic::Traffic;

use crate::control::Control;
use crate::links::Links;
use crate::locks::Ranked;
use crate::lookup::LookupState;
use crate::once::{OnceHome, OnceWaiting};
use crate::view::View;

/// The shared tables of a daemon.
pub struct Tables {
    /// The control group's state on this daemon.
    pub control: Ranked<Control>,
    view: Ranked<Arc<View>>,
    /// What the other daemons last said of themselves.
    pub neighbours: Ranked<Neighbours>,
    /// Announced targets.
    pub targets: Ranked<TargetTable>,
    /// Slot permits and waiting requests.
    pub permits: Ranked<Permits>,
    /// Regions and entry VMs as lookups see them.
    pub lookups: Ranked<LookupState>,
    /// Rate tokens of this VM.
    pub grants: Ranked<GrantHolder>,
    /// Idempotency keys of which this VM is a home; none without a disk.
    pub once_home: Ranked<Option<OnceHome>>,
    /// Requests that wait for answers of homes.
    pub once_waiting: Ranked<OnceWaiting>,
    /// Bytes sent to callers.
    pub traffic: Ranked<Traffic>,
    /// Budgets of the links between regions.
    pub links: Ranked<Links>,
    /// Limits the share of requests that are sent again.
    pub retries: Ranked<RetryBudget>,
}

impl Tables {
    /// Returns tables without targets, neighbours and grants.
    pub fn new(
        control: Control,
        once_home: Option<OnceHome>,
        configuration: Configuration,
        now: Instant,
    ) -> Self {
        Self {
            control: Ranked::new(10, control),
            view: Ranked::new(20, Arc::new(View::new(configuration))),
            neighbours: Ranked::new(30, Neighbours::default()),
            targets: Ranked::new(40, TargetTable::new()),
            permits: Ranked::new(50, Permits::default()),
            lookups: Ranked::new(60, LookupState::default()),
            grants: Ranked::new(70, GrantHolder::new(Term::ZERO)),
            once_home: Ranked::new(72, once_home),
            once_waiting: Ranked::new(74, OnceWaiting::default()),
            traffic: Ranked::new(85, Traffic::new(now)),
            links: Ranked::new(90, Links::default()),
            retries: Ranked::new(80, RetryBudget::new(now)),
        }
    }

    /// Returns the applied configuration.
    pub fn view(&self) -> Arc<View> {
        Arc::clone(&self.view.lock())
    }

    /// Replaces the applied configuration unless a later one is in place.
    pub fn set_view(&self, view: View) {
        let mut current = self.view.lock();
        if view.configuration.revision >= current.configuration.revision {
            *current = Arc::new(view);
        }
    }
}
