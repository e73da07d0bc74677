//! Targets that leave: a target is told so only once most control VMs have stored it, so that every
//! entry VM that reaches most of them learns of it, also after a restart of all processes.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use celerygate_steering::instances::{InstanceTable, check_start_time};
use celerygate_types::wire::{
    FleetMessage, RelayedInstance, TargetDeparture, TargetUpdate, TargetUpdateAck,
};
use celerygate_types::{TargetId, VmId};
use tokio::sync::mpsc;
use tokio::time::{Instant as TokioInstant, timeout_at};

use super::{
    ReportOutcome, SyncState, apply_target_changes, control_vms, just_reported, notify_entries,
    plausible_records,
};
use crate::daemon::Daemon;

/// Timeout for control VMs to confirm that they have stored an update; targets wait 1 s
/// for the response.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(800);

/// Updates that wait for the confirmations of other control VMs.
pub(super) struct Confirmations {
    last_sequence: u64,
    waiting: HashMap<u64, mpsc::UnboundedSender<VmId>>,
}

impl Default for Confirmations {
    /// The numbers start at random, so that a late confirmation of an update of an earlier process counts
    /// for none of this one.
    fn default() -> Self {
        Self { last_sequence: u64::from(rand::random::<u32>()) << 16, waiting: HashMap::new() }
    }
}

impl Confirmations {
    /// Returns the number of a new update, and the channel of the VMs that confirm it.
    fn begin(&mut self) -> (u64, mpsc::UnboundedSender<VmId>, mpsc::UnboundedReceiver<VmId>) {
        self.last_sequence += 1;
        let (sender, receiver) = mpsc::unbounded_channel();
        self.waiting.insert(self.last_sequence, sender.clone());
        (self.last_sequence, sender, receiver)
    }

    /// Records that a VM has confirmed an update.
    pub(super) fn record(&self, sequence: u64, vm: VmId) {
        if let Some(waiting) = self.waiting.get(&sequence) {
            // The receiver is gone if the task already has enough confirmations.
            let _ = waiting.send(vm);
        }
    }
}

/// Handles the deregistration of a target, acknowledged like a report that it leaves. An unknown target
/// is no exception: this VM may have restarted, and others may use the target.
pub async fn deregister_target(
    daemon: &Arc<Daemon>,
    sync_state: &SyncState,
    instance: &TargetId,
    born_unix_ms: Option<u64>,
) -> ReportOutcome {
    let now_unix_ms = daemon.clock.unix_ms();
    if let Some(born_unix_ms) = born_unix_ms
        && let Err(error) = check_start_time(born_unix_ms, now_unix_ms)
    {
        log::info!(target_id = instance.as_str(), error:% = error; "refused invalid deregistration");
        return ReportOutcome::Invalid(error);
    }
    let (is_known, departure) = {
        let mut instances = daemon.tables.instances.write();
        let is_known = instances.get(instance).is_some();
        (
            is_known,
            instances.record_deregistration(instance, born_unix_ms, now_unix_ms, daemon.now()),
        )
    };
    let Some(departure) = departure else {
        log::warn!(target_id = instance.as_str();
            "too many deregistrations of unknown targets, cannot keep another one");
        return ReportOutcome::Unconfirmed;
    };
    log::info!(target_id = instance.as_str(), known = is_known, born:? = born_unix_ms,
        born_max = departure.born_max_unix_ms; "received deregistration");
    let update = TargetUpdate { sequence: 0, records: Vec::new(), departures: vec![departure] };
    confirm_leaving(daemon, sync_state, instance, update).await
}

/// Applies the deregistrations that another daemon has passed on. Returns how many were news.
pub(super) fn apply_departures(
    daemon: &Daemon,
    instances: &mut InstanceTable,
    from: &VmId,
    departures: &[TargetDeparture],
) -> usize {
    let (now, now_unix_ms) = (daemon.now(), daemon.clock.unix_ms());
    let mut count = 0;
    for departure in departures {
        if let Err(error) = check_start_time(departure.born_max_unix_ms, now_unix_ms) {
            log::warn!(target_id = departure.instance.as_str(), from = from.as_str(), error:% = error;
                "ignored an invalid deregistration from another daemon");
            continue;
        }
        let is_known = instances.get(&departure.instance).is_some();
        if instances.depart(departure, now) {
            count += 1;
            log::info!(target_id = departure.instance.as_str(), from = from.as_str(),
                known = is_known, age_ms = departure.age_ms; "target has deregistered");
        }
    }
    count
}

/// Applies the updates about leaving targets that an earlier process of this VM has stored.
pub fn restore_leaving(daemon: &Daemon, updates: Vec<TargetUpdate>) {
    let own = &daemon.settings.vm;
    for update in updates {
        let records = plausible_records(daemon, own, update.records.into_iter().map(just_reported));
        for RelayedInstance { record, .. } in &records {
            log::info!(target_id = record.instance.as_str(), born = record.born_unix_ms,
                state:% = record.state; "restored leaving target");
        }
        apply_target_changes(daemon, own, records, &update.departures);
    }
}

/// Handles an update of another control VM, and confirms one about a leaving target once it is stored.
pub(super) fn receive_target_update(daemon: &Arc<Daemon>, from: VmId, update: TargetUpdate) {
    let is_relayed = update.sequence == 0;
    if is_relayed {
        let records =
            plausible_records(daemon, &from, update.records.into_iter().map(just_reported));
        apply_target_changes(daemon, &from, records, &update.departures);
        return;
    }
    let records =
        plausible_records(daemon, &from, update.records.iter().cloned().map(just_reported));
    if apply_target_changes(daemon, &from, records, &update.departures) > 0 {
        notify_entries(daemon);
    }
    if !is_applied(daemon, &update) {
        return;
    }
    let Some(store) = &daemon.leaving_store else { return };
    let confirming = Arc::clone(daemon);
    let ack = TargetUpdateAck { sequence: update.sequence };
    store.store(TargetUpdate { sequence: 0, ..update }, move || {
        confirming.mesh.send(&from, FleetMessage::TargetUpdateAck(ack));
    });
}

/// Returns whether all targets of an update are known to leave. One that is not may have a process with a
/// later start time, which may be that of another writer, or the update may be implausible. A report
/// without an effect is not confirmed.
fn is_applied(daemon: &Daemon, update: &TargetUpdate) -> bool {
    let instances = daemon.tables.instances.read();
    let mut left = update.records.iter().filter(|record| !instances.is_known_to_leave(record));
    let mut departed =
        update.departures.iter().filter(|gone| !instances.is_known_to_have_departed(gone));
    let ignored = left.next().map(|record| &record.instance);
    let ignored = ignored.or_else(|| departed.next().map(|departure| &departure.instance));
    if let Some(target) = ignored {
        log::warn!(target_id = target.as_str(), is_ready = instances.is_ready(target);
            "report that a target leaves has no effect, not confirming it");
    }
    ignored.is_none()
}

/// Stores an update about a leaving target, sends it to the other control VMs, and waits until most
/// control VMs have stored it.
pub(super) async fn confirm_leaving(
    daemon: &Arc<Daemon>,
    sync_state: &SyncState,
    instance: &TargetId,
    update: TargetUpdate,
) -> ReportOutcome {
    if !is_applied(daemon, &update) {
        return ReportOutcome::Unconfirmed;
    }
    let (sequence, sender, mut acks) = sync_state.confirmations.lock().begin();
    let members = daemon.group.as_ref().map(|group| group.voters()).unwrap_or_default();
    for vm in control_vms(daemon) {
        let update = TargetUpdate { sequence, ..update.clone() };
        daemon.mesh.send(&vm, FleetMessage::TargetUpdate(update));
    }
    notify_entries(daemon);
    if let Some(store) = &daemon.leaving_store {
        let own = daemon.settings.vm.clone();
        store.store(update, move || {
            // The receiver is gone if other VMs have confirmed the update first.
            let _ = sender.send(own);
        });
    }
    let needed = members.len() / 2 + 1;
    let mut confirmed_by = HashSet::new();
    let deadline = TokioInstant::now() + CONFIRMATION_TIMEOUT;
    while confirmed_by.len() < needed {
        match timeout_at(deadline, acks.recv()).await {
            Ok(Some(vm)) if members.contains(&vm) => {
                confirmed_by.insert(vm);
            }
            Ok(Some(_)) => {}
            Ok(None) | Err(_) => break,
        }
    }
    sync_state.confirmations.lock().waiting.remove(&sequence);
    let is_confirmed = !members.is_empty() && confirmed_by.len() >= needed;
    log::info!(target_id = instance.as_str(), confirmed = confirmed_by.len(), needed = needed;
        "target leaving");
    if is_confirmed { ReportOutcome::Acknowledged } else { ReportOutcome::Unconfirmed }
}

#[cfg(test)]
#[path = "leaving_tests.rs"]
mod tests;
