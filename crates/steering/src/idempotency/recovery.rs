//! Recovery of a replica that has lost its records, by copying those of the other replicas.
//!
//! At least two of the three replicas of a key record it. A VM that has lost its records therefore
//! has all of its keys again after copying the records of every other replica, provided that those
//! replicas are complete.

use std::collections::{BTreeMap, HashSet};
use std::time::Instant;

use celerygate_types::{Incarnation, VmId};

use super::IdempotencyRecord;

/// A page of a replica's records, starting after a position.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecordPage {
    /// Records with the times at which their requests started.
    pub records: Vec<(Instant, IdempotencyRecord)>,
    /// Position after which the next page starts.
    pub next: u64,
    /// Whether this is the last page.
    pub is_last: bool,
}

/// Copy progress of a source replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Copied up to this position. Positions are valid only within one incarnation of the source.
    After {
        incarnation: Option<Incarnation>,
        position: u64,
    },
    Copied,
}

/// What to do with a received page.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PageAction {
    /// Ignore the page, because it does not answer the current request.
    Ignore,
    /// Insert the records and request the next page.
    AskAgain,
    /// Insert the records; other sources are still to be copied.
    Wait,
    /// Insert the records; all sources are copied.
    Complete,
}

/// Progress of copying the records of the other replicas.
#[derive(Clone, Debug, Default)]
pub struct ReplicaRecovery {
    sources: BTreeMap<VmId, State>,
    /// Requests released during the recovery; an older page may still contain them.
    released: HashSet<(u64, u64, u64)>,
}

impl ReplicaRecovery {
    /// Sets the source replicas, and keeps the progress of those already known.
    pub fn set_sources<'a>(&mut self, vms: impl IntoIterator<Item = &'a VmId>) {
        let start = State::After { incarnation: None, position: 0 };
        let mut sources: BTreeMap<VmId, State> =
            vms.into_iter().map(|vm| (vm.clone(), start)).collect();
        for (vm, state) in &mut sources {
            if let Some(known) = self.sources.get(vm) {
                *state = *known;
            }
        }
        self.sources = sources;
    }

    /// Returns the sources to request pages from, each with the position to continue after.
    pub fn page_requests(&self) -> impl Iterator<Item = (&VmId, u64)> {
        self.sources.iter().filter_map(|(vm, state)| match state {
            State::After { position, .. } => Some((vm, *position)),
            State::Copied => None,
        })
    }

    /// Records that a request was released.
    pub fn record_release(&mut self, record: &IdempotencyRecord) {
        self.released.insert((record.organisation, record.fingerprint, record.request));
    }

    /// Returns whether a copied record should be inserted: its request was not released meanwhile.
    pub fn should_insert(&self, record: &IdempotencyRecord) -> bool {
        !self.released.contains(&(record.organisation, record.fingerprint, record.request))
    }

    /// Processes the page that a source returned for the records after position `after`.
    ///
    /// Pages of a source that is itself incomplete are ignored.
    pub fn apply_page(
        &mut self,
        from: &VmId,
        incarnation: Incarnation,
        after: u64,
        page: &RecordPage,
        source_is_complete: bool,
    ) -> PageAction {
        let Some(state) = self.sources.get_mut(from) else { return PageAction::Ignore };
        let State::After { incarnation: old, position } = *state else { return PageAction::Ignore };
        if old.is_some_and(|old| old != incarnation) {
            *state = State::After { incarnation: None, position: 0 };
            return PageAction::Ignore;
        }
        if after != position || !source_is_complete {
            return PageAction::Ignore;
        }
        if !page.is_last {
            *state = State::After { incarnation: Some(incarnation), position: page.next };
            return PageAction::AskAgain;
        }
        *state = State::Copied;
        let is_complete = self.sources.values().all(|state| *state == State::Copied);
        if is_complete { PageAction::Complete } else { PageAction::Wait }
    }
}

#[cfg(test)]
#[path = "recovery_tests.rs"]
mod tests;
