//! Synchronisation of configuration, targets and daemons: every daemon polls every control VM for
//! changes since its last reply, and control VMs relay the reports that they receive from targets.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use celerygate_steering::instances::{ENDED_RETENTION, ReportError, ReportResult, check_report};
use celerygate_types::wire::{
    ChangeNotice, DaemonRecord, DaemonRole, FleetMessage, InstanceRecord, InstanceState, Message,
    RelayedInstance, SyncReply, SyncRequest, TargetDeparture, TargetUpdate, VmState,
};
use celerygate_types::{Incarnation, Revision, TargetId, VmId};
use parking_lot::Mutex;
use tokio::time::{Instant as TokioInstant, sleep, timeout_at};

use self::changes::TargetChanges;
use self::cursor::{AfterReply, Cursor, NextRequest, Position};
use self::leaving::{Confirmations, confirm_leaving, receive_target_update};
pub use self::leaving::{deregister_target, restore_leaving};
use self::source::ContentSource;
use crate::daemon::Daemon;
use crate::entry_count::EntryCount;
use crate::group::{GroupInput, activate, record_leader};

mod changes;
mod cursor;
mod leaving;
mod source;

/// Interval of sync requests to a control VM. Deployments bound the propagation of a change by 2 s
/// or more, which must hold even if three requests are lost.
pub const SYNC_INTERVAL: Duration = Duration::from_millis(400);
/// Minimum interval between change notices to the entry VMs about new or changed targets.
const NOTICE_INTERVAL: Duration = Duration::from_millis(150);
/// Interval at which a control VM relays the heartbeats that it has received.
const RELAY_INTERVAL: Duration = Duration::from_millis(250);
/// Interval of full target syncs, each with another control VM. Heartbeats that change nothing are
/// not sent to entry VMs, and a target that is not reported for [`ENDED_RETENTION`] is removed
/// there.
const FULL_SYNC_INTERVAL: Duration = Duration::from_secs(8);
/// Time without a message after which a daemon is removed, see [`Daemons::remove_expired`].
///
/// [`Daemons::remove_expired`]: crate::tables::Daemons::remove_expired
const DAEMON_EXPIRY: Duration = Duration::from_secs(30);

/// State of the synchronisation that only this module uses.
#[derive(Default)]
pub struct SyncState {
    cursors: Mutex<HashMap<VmId, Cursor>>,
    source: Mutex<ContentSource>,
    /// Reports received from targets that are not yet relayed.
    relay_queue: Mutex<HashMap<TargetId, InstanceRecord>>,
    confirmations: Mutex<Confirmations>,
    /// Whether targets were added or changed since the last notice to the entry VMs.
    targets_changed: AtomicBool,
}

/// Polls the control VMs until the task is aborted.
pub async fn poll_control_vms(daemon: Arc<Daemon>, sync_state: Arc<SyncState>) {
    const { assert!(FULL_SYNC_INTERVAL.as_secs() * 2 < ENDED_RETENTION.as_secs()) };
    let mut last_full_sync = (daemon.now(), 0_usize);
    loop {
        let vms = control_vms(&daemon);
        let (full_sync_at, round) = last_full_sync;
        if !vms.is_empty()
            && daemon.now().saturating_duration_since(full_sync_at) > FULL_SYNC_INTERVAL
        {
            last_full_sync = (daemon.now(), round + 1);
            if let Some(vm) = vms.iter().nth(round % vms.len()) {
                sync_state.cursors.lock().entry(vm.clone()).or_default().request_full_sync();
            }
        }
        for vm in &vms {
            send_sync_request(&daemon, &sync_state, vm);
        }
        activate_held_content(&daemon, &sync_state);
        let next = TokioInstant::now() + SYNC_INTERVAL;
        // A notification ends the pause early; the timeout is the usual case.
        let _ = timeout_at(next, daemon.tables.sync_requested.notified()).await;
        let now = daemon.now();
        daemon.tables.daemons.lock().remove_expired(DAEMON_EXPIRY, now);
        daemon.tables.instances.write().expire(now);
    }
}

fn send_sync_request(daemon: &Daemon, sync_state: &SyncState, vm: &VmId) {
    let action =
        sync_state.cursors.lock().entry(vm.clone()).or_default().next_request(daemon.now());
    let NextRequest::Send { position, informs } = action else { return };
    let departures = if informs { changes::own_departures(daemon) } else { Vec::new() };
    let revision = daemon.tables.revision().max(sync_state.source.lock().held_revision());
    let nonce = daemon.tables.revision_age.lock().begin_request(vm, daemon.now());
    let request = SyncRequest {
        nonce,
        daemon: daemon.own_record(),
        store_id: daemon.group.as_ref().and_then(|group| group.store_id()),
        revision,
        wants_content: sync_state.source.lock().begin_fetch(vm, revision, daemon.now()),
        targets_epoch: position.targets_epoch,
        targets_change: position.targets_change,
        daemons_digest: position.daemons_digest,
        departures,
    };
    daemon.mesh.send(vm, FleetMessage::SyncRequest(request));
}

/// Returns the other control VMs: the seeds and those learned from other daemons.
pub fn control_vms(daemon: &Daemon) -> BTreeSet<VmId> {
    let daemons = daemon.tables.daemons.lock();
    let learned = daemons.known.values().filter(|known| known.record.role == DaemonRole::Control);
    let learned = learned.map(|known| known.record.vm.clone());
    let mut vms: BTreeSet<VmId> = daemon.settings.seeds.iter().cloned().chain(learned).collect();
    vms.remove(&daemon.settings.vm);
    vms
}

/// Handles a message from another daemon.
pub fn receive(
    daemon: &Arc<Daemon>,
    sync_state: &SyncState,
    from: VmId,
    incarnation: Incarnation,
    message: FleetMessage,
) {
    match message {
        FleetMessage::Agreement(Message::GrantReply(reply)) => {
            let now = daemon.now();
            let mut quota = daemon.tables.quota.lock();
            if quota.holder.accept(&reply, now) {
                quota.owner.last_reply_at = Some(now);
                quota.owner.withholds = reply.withholds;
                daemon.tables.tokens_received.notify_waiters();
            }
        }
        FleetMessage::Agreement(message) => {
            if let Some(group) = &daemon.group {
                group.send(GroupInput::Message { from, incarnation, message });
            }
        }
        FleetMessage::SyncRequest(request) => handle_request(daemon, &from, request),
        FleetMessage::SyncReply(reply) => handle_reply(daemon, sync_state, from, reply),
        FleetMessage::TargetUpdate(update) => receive_target_update(daemon, from, update),
        FleetMessage::TargetUpdateAck(ack) => {
            sync_state.confirmations.lock().record(ack.sequence, from);
        }
        FleetMessage::ChangeNotice(notice) => {
            sync_state.source.lock().record_revision(&from, notice.revision);
            daemon.tables.revision_age.lock().record_notice(&from, notice.revision);
            send_sync_request(daemon, sync_state, &from);
        }
    }
}

fn handle_request(daemon: &Daemon, from: &VmId, request: SyncRequest) {
    let now = daemon.now();
    let is_control = request.daemon.role == DaemonRole::Control;
    if is_control && let (Some(group), Some(store_id)) = (&daemon.group, request.store_id) {
        group.send(GroupInput::Join { record: request.daemon.clone(), store_id });
    }
    record_daemon(daemon, request.daemon, now);
    if !request.departures.is_empty() {
        leaving::apply_departures(
            daemon,
            &mut daemon.tables.instances.write(),
            from,
            &request.departures,
        );
    }
    let running = running_daemons(daemon, now);
    let digest = daemons_digest(&running);
    let content = daemon.tables.content();
    let revision = content.as_ref().map_or(Revision::ZERO, |content| content.replicated.revision);
    let content = content.filter(|_| request.wants_content && revision > request.revision);
    let instances = daemon.tables.instances.read();
    let epoch = daemon.incarnation.0;
    let since = if request.targets_epoch == epoch { request.targets_change } else { 0 };
    let changes = TargetChanges::since(&instances, since, now);
    let silent = instances.silent(daemon.heartbeat(), now).cloned().collect();
    let leader = daemon.tables.leader.lock().clone();
    let reply = SyncReply {
        nonce: request.nonce,
        content: content.map(|content| content.replicated.clone()),
        daemons: if digest == request.daemons_digest { Vec::new() } else { running },
        daemons_digest: digest,
        departures: changes.departures,
        entry_vms: daemon.tables.entry_count.lock().get(),
        leader: leader.vm,
        revision,
        silent,
        targets: changes.targets,
        targets_change: changes.through,
        targets_epoch: epoch,
        term: leader.term,
    };
    drop(instances);
    daemon.mesh.send(from, FleetMessage::SyncReply(reply));
}

fn record_daemon(daemon: &Daemon, record: DaemonRecord, now: Instant) {
    let mut daemons = daemon.tables.daemons.lock();
    let before = daemons.known.get(&record.vm).map(|known| {
        let is_running = known
            .last_seen_at
            .is_some_and(|at| now.saturating_duration_since(at) < crate::tables::DAEMON_TIMEOUT);
        (known.record.incarnation, known.record.state, is_running)
    });
    if before != Some((record.incarnation, record.state, true)) {
        log::info!(daemon = record.vm.as_str(), incarnation = record.incarnation.0,
            state:% = record.state, role:% = record.role, known:? = before;
            "daemon joined or changed state");
    }
    daemons.update(record, Some(now));
}

/// Returns the running daemons including this one.
fn running_daemons(daemon: &Daemon, now: Instant) -> Vec<DaemonRecord> {
    let daemons = daemon.tables.daemons.lock();
    let mut running: Vec<DaemonRecord> = daemons
        .running(DaemonRole::Entry, now)
        .chain(daemons.running(DaemonRole::Control, now))
        .cloned()
        .collect();
    drop(daemons);
    running.push(daemon.own_record());
    running
}

fn daemons_digest(daemons: &[DaemonRecord]) -> u64 {
    let mut hasher = DefaultHasher::new();
    for record in daemons {
        (record.vm.as_str(), record.incarnation.0, record.state as u8).hash(&mut hasher);
    }
    hasher.finish()
}

fn handle_reply(daemon: &Daemon, sync_state: &SyncState, from: VmId, reply: SyncReply) {
    let now = daemon.now();
    let is_truncated = changes::is_truncated(&reply);
    if daemon.role() == DaemonRole::Entry {
        // The count is updated before the content, because requests are admitted once content is
        // active. A larger count is safe: it makes this VM's share of a rate limit smaller.
        let mut count = daemon.tables.entry_count.lock();
        if reply.entry_vms > count.get() {
            *count = EntryCount::from_stored(reply.entry_vms);
        }
    }
    {
        let mut source = sync_state.source.lock();
        source.record_revision(&from, reply.revision);
        source.end_fetch(&from);
        reply.content.into_iter().for_each(|content| source.hold(content, now));
    }
    daemon.tables.revision_age.lock().record_reply(&from, reply.nonce, reply.revision);
    activate_held_content(daemon, sync_state);
    record_leader(&daemon.tables, reply.term, reply.leader);
    let knows_sender = {
        let mut daemons = daemon.tables.daemons.lock();
        if let Some(known) = daemons.known.get_mut(&from) {
            known.last_seen_at = Some(now);
        }
        let others = reply.daemons.into_iter().filter(|record| record.vm != daemon.settings.vm);
        let others: Vec<DaemonRecord> = others.collect();
        for record in &others {
            let last_seen_at = (record.vm == from).then_some(now);
            daemons.update(record.clone(), last_seen_at);
        }
        if daemon.role() == DaemonRole::Entry {
            // Entry VMs do not exchange messages; the control VMs list the running ones.
            daemons.update_list(&from, others, now);
        } else {
            daemons.record_list(&from, others, now);
        }
        daemons.known.contains_key(&from)
    };
    let records = plausible_records(daemon, &from, reply.targets);
    records.iter().for_each(|relayed| log_target(relayed, &from));
    let changed = apply_target_changes(daemon, &from, records, &reply.departures);
    if changed > 0 {
        log::info!(control = from.as_str(), targets = changed, change = reply.targets_change;
            "received target changes");
    }
    let silent: HashSet<TargetId> = reply.silent.into_iter().collect();
    daemon.tables.targets.lock().silent_lists.insert(from.clone(), (silent, now));
    let position = Position {
        targets_epoch: reply.targets_epoch,
        targets_change: reply.targets_change,
        // A list that has not changed is left out of replies, so that a daemon that has forgotten the
        // sender would not learn of it again.
        daemons_digest: if knows_sender { reply.daemons_digest } else { 0 },
    };
    let next = sync_state
        .cursors
        .lock()
        .entry(from.clone())
        .or_default()
        .handle_reply(position, is_truncated);
    let fetch_from = {
        let source = sync_state.source.lock();
        let own = daemon.tables.revision().max(source.held_revision());
        source.next_fetch(&from, own, now)
    };
    if next == AfterReply::RequestAgain || fetch_from.as_ref() == Some(&from) {
        send_sync_request(daemon, sync_state, &from);
    }
    if let Some(other) = fetch_from.filter(|vm| *vm != from) {
        send_sync_request(daemon, sync_state, &other);
    }
}

/// Activates the content that was fetched, if it is confirmed or has waited long enough.
pub fn activate_held_content(daemon: &Daemon, sync_state: &SyncState) {
    let now = daemon.now();
    // A change that is acknowledged is known to most control VMs.
    let quorum = match daemon.role() {
        DaemonRole::Entry => daemon.control_quorum(),
        DaemonRole::Control => 0,
    };
    let own = daemon.tables.revision();
    let content = sync_state.source.lock().take_confirmed(own, quorum, now);
    let Some(content) = content else { return };
    let before = daemon.tables.content();
    if activate(&daemon.tables, &daemon.adapter, content) {
        mark_resumed_cold(daemon, before.as_deref(), now);
        daemon.tables.set_state(VmState::Serving);
    }
}

/// Drops the records that cannot be those of targets.
fn plausible_records(
    daemon: &Daemon,
    from: &VmId,
    records: impl IntoIterator<Item = RelayedInstance>,
) -> Vec<RelayedInstance> {
    let now_unix_ms = daemon.clock.unix_ms();
    let is_plausible = |relayed: &RelayedInstance| match check_report(&relayed.record, now_unix_ms)
    {
        Ok(()) => true,
        Err(error) => {
            log::warn!(target_id = relayed.record.instance.as_str(), from = from.as_str(),
                error:% = error; "ignored an invalid target report from another daemon");
            false
        }
    };
    records.into_iter().filter(is_plausible).collect()
}

/// Returns a report that its target has just sent.
fn just_reported(record: InstanceRecord) -> RelayedInstance {
    RelayedInstance { record, age_ms: 0 }
}

/// Applies plausible records of targets, and departures. Returns how many were news.
fn apply_target_changes(
    daemon: &Daemon,
    from: &VmId,
    records: Vec<RelayedInstance>,
    departures: &[TargetDeparture],
) -> usize {
    let now = daemon.now();
    let mut instances = daemon.tables.instances.write();
    let merged = records.into_iter().map(|relayed| instances.merge(relayed, now));
    let changed = merged.filter(|result| *result == ReportResult::Changed).count();
    changed + leaving::apply_departures(daemon, &mut instances, from, departures)
}

fn log_target(relayed: &RelayedInstance, from: &VmId) {
    let record = &relayed.record;
    log::debug!(target_id = record.instance.as_str(), address = record.address.as_str(),
        state:% = record.state, sequence = record.sequence, age_ms = relayed.age_ms,
        control = from.as_str();
        "received target report");
}

/// Treats targets as cold for two heartbeat intervals after the evacuation of their data centre has
/// ended: they may have restarted, which their next heartbeat reports.
fn mark_resumed_cold(daemon: &Daemon, before: Option<&crate::tables::Content>, now: Instant) {
    let (Some(before), Some(after)) = (before, daemon.tables.content()) else { return };
    let mut targets = daemon.tables.targets.lock();
    for data_centre in &before.replicated.evacuated {
        if !after.replicated.evacuated.contains(data_centre) {
            let until = now + daemon.heartbeat() * 2;
            targets.evacuation_cold_until.insert(data_centre.clone(), until);
        }
    }
}

/// Sends a change notice to the entry VMs, which then poll this VM at once.
fn notify_entries(daemon: &Daemon) {
    let now = daemon.now();
    let notice = ChangeNotice { revision: daemon.tables.revision() };
    let entries: Vec<VmId> = {
        let daemons = daemon.tables.daemons.lock();
        daemons.running(DaemonRole::Entry, now).map(|record| record.vm.clone()).collect()
    };
    for vm in entries {
        daemon.mesh.send(&vm, FleetMessage::ChangeNotice(notice.clone()));
    }
}

/// Relays the reports of targets to the other control VMs until the task is aborted.
pub async fn relay_reports(daemon: Arc<Daemon>, sync_state: Arc<SyncState>) {
    loop {
        sleep(RELAY_INTERVAL).await;
        let records: Vec<InstanceRecord> = {
            let mut relay_queue = sync_state.relay_queue.lock();
            relay_queue.drain().map(|(_, record)| record).collect()
        };
        if records.is_empty() {
            continue;
        }
        for vm in control_vms(&daemon) {
            let update =
                TargetUpdate { sequence: 0, records: records.clone(), departures: Vec::new() };
            daemon.mesh.send(&vm, FleetMessage::TargetUpdate(update));
        }
    }
}

/// Notifies the entry VMs of new or changed targets until the task is aborted.
pub async fn send_change_notices(daemon: Arc<Daemon>, sync_state: Arc<SyncState>) {
    loop {
        sleep(NOTICE_INTERVAL).await;
        if sync_state.targets_changed.swap(false, Ordering::AcqRel) {
            notify_entries(&daemon);
        }
    }
}

/// Result of a target's report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReportOutcome {
    /// The report is recorded; if the target leaves, most control VMs know it.
    Acknowledged,
    /// Too few control VMs know that the target leaves; the target should report to another one.
    Unconfirmed,
    /// The report cannot be that of a target, and is not recorded.
    Invalid(ReportError),
}

/// Handles a target's heartbeat. A report that the target leaves is acknowledged only once most
/// control VMs know it, so that every entry VM that reaches most of them learns of it.
pub async fn report_target(
    daemon: &Arc<Daemon>,
    sync_state: &SyncState,
    record: InstanceRecord,
) -> ReportOutcome {
    if let Err(error) = check_report(&record, daemon.clock.unix_ms()) {
        log::info!(target_id = record.instance.as_str(), error:% = error;
            "refused invalid target report");
        return ReportOutcome::Invalid(error);
    }
    let reported = {
        let mut instances = daemon.tables.instances.write();
        let reported = instances.report(record.clone(), daemon.now());
        if reported == ReportResult::Outdated {
            instances.record_sign_of_life(&record, daemon.now());
            if instances.has_departed(&record.instance, record.born_unix_ms) {
                log::info!(target_id = record.instance.as_str(), born = record.born_unix_ms,
                    sequence = record.sequence; "ignored report of a target that has deregistered");
            }
        }
        reported
    };
    if reported == ReportResult::Changed {
        log::info!(target_id = record.instance.as_str(), address = record.address.as_str(),
            service = record.service.as_str(), state:% = record.state, born = record.born_unix_ms,
            sequence = record.sequence, cold_ms = record.cold_ms; "received target report");
    }
    if reported == ReportResult::Held {
        log::info!(target_id = record.instance.as_str(), service = record.service.as_str(),
            data_centre = record.data_centre.as_str(), born = record.born_unix_ms,
            sequence = record.sequence;
            "holding target report, its service or data centre is unknown");
        // A target that leaves is not told that this is known, because its earlier record is still in use.
        return match record.state {
            InstanceState::Ready => ReportOutcome::Acknowledged,
            InstanceState::Draining | InstanceState::Gone => ReportOutcome::Unconfirmed,
        };
    }
    if record.state == InstanceState::Ready {
        sync_state.relay_queue.lock().insert(record.instance.clone(), record);
        if reported == ReportResult::Changed {
            sync_state.targets_changed.store(true, Ordering::Release);
        }
        return ReportOutcome::Acknowledged;
    }
    let instance = record.instance.clone();
    let update = TargetUpdate { sequence: 0, records: vec![record], departures: Vec::new() };
    confirm_leaving(daemon, sync_state, &instance, update).await
}
