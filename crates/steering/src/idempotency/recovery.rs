//! Copying the keys of the other homes after a disk came back empty.
//!
//! Each key is recorded by two of its three homes at least. A VM that has lost its records holds all
//! of its keys again once it has those of every other home, if these miss none themselves.

use std::collections::{BTreeMap, HashSet};
use std::time::Instant;

use celerygate_types::{Incarnation, VmId};

use super::IdempotencyRecord;

/// Records of a home after a position.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecordPage {
    /// Records with the times at which their requests started.
    pub records: Vec<(Instant, IdempotencyRecord)>,
    /// Position of the next page.
    pub next: u64,
    /// Whether no record follows.
    pub is_last: bool,
}

/// How far a home has been copied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Up to a position of one incarnation of its process; positions of another incarnation differ.
    After {
        incarnation: Option<Incarnation>,
        position: u64,
    },
    Copied,
}

/// What follows a page.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PageAction {
    /// The page does not answer the current question; its records are ignored.
    Ignore,
    /// Take the records and ask for the next page.
    AskAgain,
    /// Take the records; other homes are still missing.
    Wait,
    /// Take the records; all homes are copied.
    Complete,
}

/// Which homes are copied.
#[derive(Clone, Debug, Default)]
pub struct ReplicaRecovery {
    sources: BTreeMap<VmId, State>,
    /// Requests that were released meanwhile; an older page may still list them.
    released: HashSet<(u64, u64, u64)>,
}

impl ReplicaRecovery {
    /// Notes the other homes.
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

    /// Returns the homes to ask, each with the position after which records are wanted.
    pub fn page_requests(&self) -> impl Iterator<Item = (&VmId, u64)> {
        self.sources.iter().filter_map(|(vm, state)| match state {
            State::After { position, .. } => Some((vm, *position)),
            State::Copied => None,
        })
    }

    /// Notes that a request was released.
    pub fn record_release(&mut self, record: &IdempotencyRecord) {
        self.released.insert((record.organisation, record.fingerprint, record.request));
    }

    /// Returns whether a copied record is to be kept.
    pub fn should_insert(&self, record: &IdempotencyRecord) -> bool {
        !self.released.contains(&(record.organisation, record.fingerprint, record.request))
    }

    /// Takes the answer of a home to the question for the records after `asked`.
    ///
    /// A home that misses records itself counts only once it has them.
    pub fn apply_page(
        &mut self,
        from: &VmId,
        incarnation: Incarnation,
        asked: u64,
        page: &RecordPage,
        source_is_complete: bool,
    ) -> PageAction {
        let Some(state) = self.sources.get_mut(from) else { return PageAction::Ignore };
        let State::After { incarnation: old, position } = *state else { return PageAction::Ignore };
        if old.is_some_and(|old| old != incarnation) {
            *state = State::After { incarnation: None, position: 0 };
            return PageAction::Ignore;
        }
        if asked != position || !source_is_complete {
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
