//! Copying the keys of the other homes after a disk came back empty.
//!
//! Each key is recorded by two of its three homes at least. A VM that has lost its records holds all
//! of its keys again once it has those of every other home, if these miss none themselves.

use std::collections::{BTreeMap, HashSet};
use std::time::Instant;

use celerygate_types::{Incarnation, VmId};

use super::OnceRecord;

/// Records of a home after a position.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OncePage {
    /// Records with the times at which their requests started.
    pub records: Vec<(Instant, OnceRecord)>,
    /// Position of the next page.
    pub next: u64,
    /// Whether no record follows.
    pub is_last: bool,
}

/// How far a home has been copied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    /// Up to a position of one life of its process; positions of another life differ.
    After {
        life: Option<Incarnation>,
        position: u64,
    },
    Copied,
}

/// What follows a page.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CopyNext {
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
pub struct OnceCopy {
    sources: BTreeMap<VmId, Progress>,
    /// Requests that were released meanwhile; an older page may still list them.
    released: HashSet<(u64, u64, u64)>,
}

impl OnceCopy {
    /// Notes the other homes.
    pub fn set_sources<'a>(&mut self, vms: impl IntoIterator<Item = &'a VmId>) {
        let start = Progress::After { life: None, position: 0 };
        let mut sources: BTreeMap<VmId, Progress> =
            vms.into_iter().map(|vm| (vm.clone(), start)).collect();
        for (vm, progress) in &mut sources {
            if let Some(known) = self.sources.get(vm) {
                *progress = *known;
            }
        }
        self.sources = sources;
    }

    /// Returns the homes to ask, each with the position after which records are wanted.
    pub fn questions(&self) -> impl Iterator<Item = (&VmId, u64)> {
        self.sources.iter().filter_map(|(vm, progress)| match progress {
            Progress::After { position, .. } => Some((vm, *position)),
            Progress::Copied => None,
        })
    }

    /// Notes that a request was released.
    pub fn note_released(&mut self, record: &OnceRecord) {
        self.released.insert((record.organisation, record.fingerprint, record.request));
    }

    /// Returns whether a copied record is to be kept.
    pub fn keeps(&self, record: &OnceRecord) -> bool {
        !self.released.contains(&(record.organisation, record.fingerprint, record.request))
    }

    /// Takes the answer of a home to the question for the records after `asked`.
    ///
    /// A home that misses records itself counts only once it has them.
    pub fn take(
        &mut self,
        from: &VmId,
        life: Incarnation,
        asked: u64,
        page: &OncePage,
        source_is_complete: bool,
    ) -> CopyNext {
        let Some(progress) = self.sources.get_mut(from) else { return CopyNext::Ignore };
        let Progress::After { life: known, position } = *progress else { return CopyNext::Ignore };
        if known.is_some_and(|known| known != life) {
            *progress = Progress::After { life: None, position: 0 };
            return CopyNext::Ignore;
        }
        if asked != position || !source_is_complete {
            return CopyNext::Ignore;
        }
        if !page.is_last {
            *progress = Progress::After { life: Some(life), position: page.next };
            return CopyNext::AskAgain;
        }
        *progress = Progress::Copied;
        let is_complete = self.sources.values().all(|progress| *progress == Progress::Copied);
        if is_complete { CopyNext::Complete } else { CopyNext::Wait }
    }
}

#[cfg(test)]
#[path = "copy_tests.rs"]
mod tests;
