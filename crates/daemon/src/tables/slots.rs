//! Slots of targets in use by this VM.

use std::collections::HashMap;
use std::sync::Arc;

use celerygate_types::{ServiceId, SlotCount, TargetId};

use crate::daemon::Daemon;

/// Slots in use, by service and target.
#[derive(Debug, Default)]
pub struct Slots {
    running: HashMap<ServiceId, HashMap<TargetId, u32>>,
}

impl Slots {
    /// Returns the slots of a target in use by this VM.
    pub fn running(&self, service: &ServiceId, target: &TargetId) -> SlotCount {
        let count = self.running.get(service).and_then(|targets| targets.get(target));
        SlotCount(count.copied().unwrap_or(0))
    }

    /// Returns the slots of each service in use by this VM.
    pub fn by_service(&self) -> impl Iterator<Item = (&ServiceId, SlotCount)> {
        self.running.iter().map(|(service, targets)| (service, SlotCount(targets.values().sum())))
    }

    /// Counts a slot as used.
    pub fn take(&mut self, service: &ServiceId, target: &TargetId) {
        let targets = self.running.entry(service.clone()).or_default();
        *targets.entry(target.clone()).or_default() += 1;
    }

    fn release(&mut self, service: &ServiceId, target: &TargetId) {
        let Some(targets) = self.running.get_mut(service) else { return };
        if let Some(count) = targets.get_mut(target) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                targets.remove(target);
            }
        }
        if targets.is_empty() {
            self.running.remove(service);
        }
    }
}

/// A slot in use; dropping it releases the slot and wakes waiting requests.
pub struct SlotGuard {
    daemon: Arc<Daemon>,
    service: ServiceId,
    target: TargetId,
}

impl SlotGuard {
    /// Guards a slot that was taken.
    pub fn new(daemon: &Arc<Daemon>, service: &ServiceId, target: &TargetId) -> Self {
        Self { daemon: Arc::clone(daemon), service: service.clone(), target: target.clone() }
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.daemon.tables.slots.lock().release(&self.service, &self.target);
        self.daemon.slots_changed.notify_waiters();
    }
}
