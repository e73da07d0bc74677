//! Selection of the control VM from which the content is fetched.
//!
//! The content of a large deployment takes a good part of a second on the link of an entry VM, so
//! it is fetched from one control VM at a time, and only from one that is known to have a newer
//! revision.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use celerygate_types::{Revision, VmId};

/// Time after which the content is requested from another control VM. 0.5 MB takes 0.3 s on an idle
/// link of an entry VM.
const FETCH_TIMEOUT: Duration = Duration::from_millis(800);

/// Revisions of the control VMs, and the control VM from which content is being fetched.
#[derive(Clone, Debug, Default)]
pub struct ContentSource {
    revisions: HashMap<VmId, Revision>,
    fetching: Option<(VmId, Instant)>,
}

impl ContentSource {
    /// Records the revision of a control VM. It decreases if the control VM loses its disk.
    pub fn record_revision(&mut self, vm: &VmId, revision: Revision) {
        self.revisions.insert(vm.clone(), revision);
    }

    /// Records a reply of a control VM, which ends a fetch from it.
    pub fn end_fetch(&mut self, vm: &VmId) {
        self.fetching.take_if(|(fetch_vm, _)| fetch_vm == vm);
    }

    /// Returns whether content should be fetched from a control VM now.
    pub fn should_fetch(&self, vm: &VmId, own: Revision, now: Instant) -> bool {
        let has_newer = self.revisions.get(vm).is_some_and(|revision| *revision > own);
        let waits_for_other = self.fetching.as_ref().is_some_and(|(fetch_vm, at)| {
            fetch_vm != vm && now.saturating_duration_since(*at) < FETCH_TIMEOUT
        });
        has_newer && !waits_for_other
    }

    /// Returns whether content should be fetched from a control VM now and, if so, records the
    /// start of the fetch.
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
