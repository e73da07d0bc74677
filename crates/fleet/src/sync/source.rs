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
    offered: HashMap<VmId, Revision>,
    asked: Option<(VmId, Instant)>,
}

impl ContentSource {
    /// Notes the revision that a control VM has; a lower one than before after the loss of its disk.
    pub fn offer(&mut self, vm: &VmId, revision: Revision) {
        self.offered.insert(vm.clone(), revision);
    }

    /// Notes an answer of a control VM.
    pub fn answered(&mut self, vm: &VmId) {
        self.asked.take_if(|(asked, _)| asked == vm);
    }

    /// Returns whether a question to a control VM would ask for the content now.
    pub fn is_next(&self, vm: &VmId, own: Revision, now: Instant) -> bool {
        let has_newer = self.offered.get(vm).is_some_and(|offered| *offered > own);
        let waits_for_other = self.asked.as_ref().is_some_and(|(asked, at)| {
            asked != vm && now.saturating_duration_since(*at) < FETCH_TIMEOUT
        });
        has_newer && !waits_for_other
    }

    /// Returns whether a question to a control VM should ask for the content, and notes that it does.
    pub fn asks(&mut self, vm: &VmId, own: Revision, now: Instant) -> bool {
        let asks = self.is_next(vm, own, now);
        if asks {
            self.asked = Some((vm.clone(), now));
        }
        asks
    }
}

#[cfg(test)]
#[path = "source_tests.rs"]
mod tests;
