//! Which control VM the content is fetched from.
//!
//! The content of a large deployment takes a good part of a second on the link of an entry VM, so it
//! is fetched from one control VM at a time, from one that is known to have a newer revision.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use celerygate_types::{Revision, VmId};

/// Time after which another control VM is asked. Half a megabyte takes 0.3 s on an idle link of an
/// entry VM.
const FETCH_TIMEOUT: Duration = Duration::from_millis(800);

/// Revisions that the control VMs have, and the one that was asked for its content.
#[derive(Clone, Debug, Default)]
pub struct ContentSource {
    revisions: HashMap<VmId, Revision>,
    fetching: Option<(VmId, Instant)>,
}

impl ContentSource {
    /// Notes the revision that a control VM has; a lower one than before after the loss of its disk.
    pub fn record_revision(&mut self, vm: &VmId, revision: Revision) {
        self.revisions.insert(vm.clone(), revision);
    }

    /// Notes an answer of a control VM.
    pub fn end_fetch(&mut self, vm: &VmId) {
        self.fetching.take_if(|(fetching, _)| fetching == vm);
    }

    /// Returns whether a question to a control VM would ask for the content now.
    pub fn should_fetch(&self, vm: &VmId, own: Revision, now: Instant) -> bool {
        let has_newer = self.revisions.get(vm).is_some_and(|revisions| *revisions > own);
        let waits_for_other = self.fetching.as_ref().is_some_and(|(fetching, at)| {
            fetching != vm && now.saturating_duration_since(*at) < FETCH_TIMEOUT
        });
        has_newer && !waits_for_other
    }

    /// Returns whether a question to a control VM should ask for the content, and notes that it does.
    pub fn begin_fetch(&mut self, vm: &VmId, own: Revision, now: Instant) -> bool {
        let should_fetch = self.should_fetch(vm, own, now);
        if should_fetch {
            self.fetching = Some((vm.clone(), now));
        }
        should_fetch
    }
}

#[cfg(test)]
#[path = "source_tests.rs"]
mod tests;
