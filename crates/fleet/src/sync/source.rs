//! Selection of the control VM from which the content is fetched.
//!
//! The content of a large deployment takes a good part of a second on the link of an entry VM, so
//! it is fetched from one control VM at a time, and only from one that is known to have a newer
//! revision.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use celerygate_types::wire::FleetContent;
use celerygate_types::{Revision, VmId};

/// Time after which the content is requested from another control VM. 0.5 MB takes 0.3 s on an idle
/// link of an entry VM.
const FETCH_TIMEOUT: Duration = Duration::from_millis(800);

/// Time for which a VM that has just started waits until most control VMs have stated their revisions.
/// Without them it serves by the content that it has: most control VMs may be lost.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Revisions of the control VMs, and the control VM from which content is being fetched.
#[derive(Clone, Debug, Default)]
pub struct ContentSource {
    revisions: HashMap<VmId, Revision>,
    fetching: Option<(VmId, Instant)>,
    /// Content that was fetched after the start and is not in force, and the arrival of the first one.
    held: Option<(FleetContent, Instant)>,
}

impl ContentSource {
    /// Holds content that was fetched until [`Self::take_confirmed`] returns it.
    pub fn hold(&mut self, content: FleetContent, now: Instant) {
        let since = self.held.as_ref().map_or(now, |(_, since)| *since);
        if self.held_revision() < content.revision {
            self.held = Some((content, since));
        }
    }

    /// Returns the revision of the held content, zero without any.
    pub fn held_revision(&self) -> Revision {
        self.held.as_ref().map_or(Revision::ZERO, |(content, _)| content.revision)
    }

    /// Returns the held content once it can be put into force. A VM that runs by content of its own, from
    /// revision `own`, need not wait. One that has just started may have asked a control VM that is cut
    /// off from the others, so it waits for the revisions of `quorum` control VMs.
    pub fn take_confirmed(
        &mut self,
        own: Revision,
        quorum: usize,
        now: Instant,
    ) -> Option<FleetContent> {
        let (content, since) = self.held.as_ref()?;
        let newest = self.revisions.values().max().copied().unwrap_or_default();
        let is_newest = self.revisions.len() >= quorum && content.revision >= newest;
        let is_overdue = now.saturating_duration_since(*since) >= CONFIRMATION_TIMEOUT;
        if own == Revision::ZERO && !is_newest {
            if !is_overdue {
                return None;
            }
            log::warn!(revision = content.revision.0, newest = newest.0, control = self.revisions.len(),
                quorum = quorum; "activating content that is not confirmed to be the newest");
        }
        self.held.take().map(|(content, _)| content)
    }

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

    /// Returns the control VM from which content should be fetched now, if any: `from` if it has newer
    /// content, or else one that has the newest.
    pub fn next_fetch(&self, from: &VmId, own: Revision, now: Instant) -> Option<VmId> {
        let newest = self.revisions.iter().max_by_key(|(_, revision)| **revision);
        let mut candidates = std::iter::once(from).chain(newest.map(|(vm, _)| vm));
        candidates.find(|vm| self.should_fetch(vm, own, now)).cloned()
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
