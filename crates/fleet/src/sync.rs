//! Spread of configuration, targets and daemons: every daemon asks every control VM for what has
//! changed since its last answer, and control VMs pass on what targets report to them.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use celerygate_steering::instances::{ENDED_RETENTION, ReportResult};
use celerygate_types::wire::{
    ChangeNotice, DaemonRecord, DaemonRole, FleetMessage, InstanceRecord, InstanceState, Message,
    SyncReply, SyncRequest, TargetUpdate, TargetUpdateAck,
};
use celerygate_types::{Incarnation, Revision, TargetId, VmId};
use parking_lot::Mutex;
use tokio::sync::mpsc;
use tokio::time::{Instant as TokioInstant, sleep, timeout_at};

use self::cursor::{Answered, Ask, Cursor, Position};
use self::source::ContentSource;
use crate::daemon::Daemon;
use crate::entry_count::EntryCount;
use crate::group::{GroupInput, note_leader, put_in_force};

mod cursor;
mod source;

/// Time between two questions to a control VM. The shortest bound on the spread of a change is 2 s,
/// and three lost questions must not exceed it.
pub const SYNC_INTERVAL: Duration = Duration::from_millis(400);
/// Shortest time between two notices to the entry VMs about targets that came or changed.
const NOTICE_INTERVAL: Duration = Duration::from_millis(150);
/// Most targets in one answer, so that an answer takes a fraction of a second on a slow link.
const TARGETS_PER_ANSWER: usize = 256;
/// Time between two messages with the heartbeats that a control VM has received.
const RELAY_INTERVAL: Duration = Duration::from_millis(250);
/// Longest wait for the confirmation that other control VMs know of a leaving target; targets wait
/// one second for the answer.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(800);
/// Time between two questions for all targets, each to another control VM. Heartbeats without a change
/// are not told to entry VMs, which forget what was not reported for [`ENDED_RETENTION`].
const ASK_FOR_ALL_INTERVAL: Duration = Duration::from_secs(8);
/// Time after which a daemon that is not heard is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(30);

/// State of the spread that only this module uses.
#[derive(Default)]
pub struct SyncState {
    cursors: Mutex<HashMap<VmId, Cursor>>,
    source: Mutex<ContentSource>,
    /// Reports that were received here and not yet passed on.
    unrelayed: Mutex<HashMap<TargetId, InstanceRecord>>,
    confirmations: Mutex<Confirmations>,
    /// Whether entry VMs have to be told about targets that came or changed.
    has_news: AtomicBool,
}

#[derive(Default)]
struct Confirmations {
    latest: u64,
    waiting: HashMap<u64, mpsc::UnboundedSender<VmId>>,
}

/// Asks the control VMs until the task is aborted.
pub async fn ask(daemon: Arc<Daemon>, sync_state: Arc<SyncState>) {
    const { assert!(ASK_FOR_ALL_INTERVAL.as_secs() * 2 < ENDED_RETENTION.as_secs()) };
    let mut asked_for_all = (daemon.now(), 0_usize);
    loop {
        let vms = control_vms(&daemon);
        let (asked_at, turn) = asked_for_all;
        if !vms.is_empty()
            && daemon.now().saturating_duration_since(asked_at) > ASK_FOR_ALL_INTERVAL
        {
            asked_for_all = (daemon.now(), turn + 1);
            if let Some(vm) = vms.iter().nth(turn % vms.len()) {
                sync_state.cursors.lock().entry(vm.clone()).or_default().ask_for_all();
            }
        }
        for vm in &vms {
            ask_vm(&daemon, &sync_state, vm);
        }
        let next = TokioInstant::now() + SYNC_INTERVAL;
        // A notice ends the pause, and an expired pause is the usual case.
        let _ = timeout_at(next, daemon.tables.sync_now.notified()).await;
        let now = daemon.now();
        daemon.tables.daemons.lock().forget_unheard(FORGET_AFTER, now);
        daemon.tables.instances.write().expire(now);
    }
}

fn ask_vm(daemon: &Daemon, sync_state: &SyncState, vm: &VmId) {
    let asked = sync_state.cursors.lock().entry(vm.clone()).or_default().ask(daemon.now());
    let Ask::Send(position) = asked else { return };
    let revision = daemon.tables.revision();
    let request = SyncRequest {
        daemon: daemon.own_record(),
        store_id: daemon.group.as_ref().and_then(|group| group.store_id()),
        revision,
        wants_content: sync_state.source.lock().asks(vm, revision, daemon.now()),
        targets_epoch: position.targets_epoch,
        targets_change: position.targets_change,
        daemons_digest: position.daemons_digest,
    };
    daemon.mesh.send(vm, FleetMessage::SyncRequest(request));
}

/// Returns the control VMs other than this one: the seeds and those that were named since.
pub fn control_vms(daemon: &Daemon) -> BTreeSet<VmId> {
    let daemons = daemon.tables.daemons.lock();
    let named = daemons.known.values().filter(|known| known.record.role == DaemonRole::Control);
    let named = named.map(|known| known.record.vm.clone());
    let mut vms: BTreeSet<VmId> = daemon.settings.seeds.iter().cloned().chain(named).collect();
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
                daemon.tables.tokens_arrived.notify_waiters();
            }
        }
        FleetMessage::Agreement(message) => {
            if let Some(group) = &daemon.group {
                group.send(GroupInput::Message { from, incarnation, message });
            }
        }
        FleetMessage::SyncRequest(request) => answer(daemon, &from, request),
        FleetMessage::SyncReply(reply) => take_reply(daemon, sync_state, from, reply),
        FleetMessage::TargetUpdate(update) => {
            let now = daemon.now();
            let changed = {
                let mut instances = daemon.tables.instances.write();
                let mut changed = false;
                for record in update.records {
                    changed |= instances.report(record, now) == ReportResult::Changed;
                }
                changed
            };
            let ack = TargetUpdateAck { sequence: update.sequence };
            daemon.mesh.send(&from, FleetMessage::TargetUpdateAck(ack));
            if changed && update.sequence > 0 {
                notify_entries(daemon);
            }
        }
        FleetMessage::TargetUpdateAck(ack) => {
            let confirmations = sync_state.confirmations.lock();
            if let Some(waiting) = confirmations.waiting.get(&ack.sequence) {
                // The waiting task may have enough confirmations already.
                let _ = waiting.send(from);
            }
        }
        FleetMessage::ChangeNotice(notice) => {
            sync_state.source.lock().offer(&from, notice.revision);
            ask_vm(daemon, sync_state, &from);
        }
    }
}

fn answer(daemon: &Daemon, from: &VmId, request: SyncRequest) {
    let now = daemon.now();
    let is_control = request.daemon.role == DaemonRole::Control;
    if is_control && let (Some(group), Some(store_id)) = (&daemon.group, request.store_id) {
        group.send(GroupInput::Join { record: request.daemon.clone(), store_id });
    }
    note_daemon(daemon, request.daemon, now);
    let running = running_daemons(daemon, now);
    let digest = daemons_digest(&running);
    let content = daemon.tables.content();
    let revision = content.as_ref().map_or(Revision::ZERO, |content| content.replicated.revision);
    let content = content.filter(|_| request.wants_content && revision > request.revision);
    let instances = daemon.tables.instances.read();
    let epoch = daemon.incarnation.0;
    let since = if request.targets_epoch == epoch { request.targets_change } else { 0 };
    let mut changed: Vec<_> = instances.changed_since(since).collect();
    changed.sort_unstable_by_key(|instance| instance.version);
    let is_complete = changed.len() <= TARGETS_PER_ANSWER;
    changed.truncate(TARGETS_PER_ANSWER);
    let last = changed.last().map_or(since, |instance| instance.version);
    let targets_change = if is_complete { instances.version() } else { last };
    let targets = changed.into_iter().map(|instance| instance.current_record(now)).collect();
    let silent = instances.silent(daemon.heartbeat(), now).cloned().collect();
    let leader = daemon.tables.leader.lock().clone();
    let reply = SyncReply {
        content: content.map(|content| content.replicated.clone()),
        daemons: if digest == request.daemons_digest { Vec::new() } else { running },
        daemons_digest: digest,
        entry_vms: daemon.tables.entry_count.lock().get(),
        leader: leader.vm,
        revision,
        silent,
        targets,
        targets_change,
        targets_epoch: epoch,
        term: leader.term,
    };
    drop(instances);
    daemon.mesh.send(from, FleetMessage::SyncReply(reply));
}

fn note_daemon(daemon: &Daemon, record: DaemonRecord, now: Instant) {
    let mut daemons = daemon.tables.daemons.lock();
    let before = daemons.known.get(&record.vm).map(|known| {
        let is_running = known
            .heard_at
            .is_some_and(|at| now.saturating_duration_since(at) < crate::tables::DAEMON_LEASE);
        (known.record.incarnation, known.record.state, is_running)
    });
    if before != Some((record.incarnation, record.state, true)) {
        log::info!(daemon = record.vm.as_str(), incarnation = record.incarnation.0,
            state:% = record.state, role:% = record.role, known:? = before; "daemon heard");
    }
    daemons.take(record, Some(now));
}

/// Returns the daemons that run, with this one.
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

fn take_reply(daemon: &Daemon, sync_state: &SyncState, from: VmId, reply: SyncReply) {
    let now = daemon.now();
    if daemon.role() == DaemonRole::Entry {
        // Before the content, with which requests are admitted. The largest number is the safe one.
        let mut count = daemon.tables.entry_count.lock();
        if reply.entry_vms > count.get() {
            *count = EntryCount::restored(reply.entry_vms);
        }
    }
    if let Some(content) = reply.content {
        let before = daemon.tables.content();
        if put_in_force(&daemon.tables, &daemon.adapter, content) {
            note_resumed(daemon, before.as_deref(), now);
            daemon.tables.set_state(celerygate_types::wire::VmState::Serving);
        }
    }
    note_leader(&daemon.tables, reply.term, reply.leader);
    {
        let mut daemons = daemon.tables.daemons.lock();
        if let Some(known) = daemons.known.get_mut(&from) {
            known.heard_at = Some(now);
        }
        let others = reply.daemons.into_iter().filter(|record| record.vm != daemon.settings.vm);
        let others: Vec<DaemonRecord> = others.collect();
        for record in &others {
            let heard = (record.vm == from).then_some(now);
            daemons.take(record.clone(), heard);
        }
        if daemon.role() == DaemonRole::Entry {
            // Entry VMs do not hear each other; the control VMs list those that run.
            daemons.take_list(&from, others, now);
        }
    }
    let received = reply.targets.len();
    let mut changed = 0_usize;
    {
        let mut instances = daemon.tables.instances.write();
        for record in reply.targets {
            log_target(&record, &from);
            changed += usize::from(instances.report(record, now) == ReportResult::Changed);
        }
    }
    if changed > 0 {
        log::info!(control = from.as_str(), targets = changed, change = reply.targets_change;
            "targets changed");
    }
    let silent: HashSet<TargetId> = reply.silent.into_iter().collect();
    daemon.tables.targets.lock().silent.insert(from.clone(), (silent, now));
    let position = Position {
        targets_epoch: reply.targets_epoch,
        targets_change: reply.targets_change,
        daemons_digest: reply.daemons_digest,
    };
    let is_cut = received == TARGETS_PER_ANSWER;
    let next =
        sync_state.cursors.lock().entry(from.clone()).or_default().answered(position, is_cut);
    let is_next_source = {
        let mut source = sync_state.source.lock();
        source.offer(&from, reply.revision);
        source.answered(&from);
        source.is_next(&from, daemon.tables.revision(), now)
    };
    if is_next_source || next == Answered::AskAgain {
        ask_vm(daemon, sync_state, &from);
    }
}

fn log_target(record: &InstanceRecord, from: &VmId) {
    log::debug!(target_id = record.instance.as_str(), address = record.address.as_str(),
        state:% = record.state, sequence = record.sequence, control = from.as_str(); "target reported");
}

/// Treats targets as cold for a time after their data centre's evacuation has ended: they may have
/// restarted, and their next heartbeat tells.
fn note_resumed(daemon: &Daemon, before: Option<&crate::tables::Content>, now: Instant) {
    let (Some(before), Some(after)) = (before, daemon.tables.content()) else { return };
    let mut targets = daemon.tables.targets.lock();
    for data_centre in &before.replicated.evacuated {
        if !after.replicated.evacuated.contains(data_centre) {
            let until = now + daemon.heartbeat() * 2;
            targets.resumed_until.insert(data_centre.clone(), until);
        }
    }
}

/// Tells the entry VMs to ask at once.
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

/// Passes on the reports of targets until the task is aborted.
pub async fn relay(daemon: Arc<Daemon>, sync_state: Arc<SyncState>) {
    loop {
        sleep(RELAY_INTERVAL).await;
        let records: Vec<InstanceRecord> = {
            let mut unrelayed = sync_state.unrelayed.lock();
            unrelayed.drain().map(|(_, record)| record).collect()
        };
        if records.is_empty() {
            continue;
        }
        for vm in control_vms(&daemon) {
            let update = TargetUpdate { sequence: 0, records: records.clone() };
            daemon.mesh.send(&vm, FleetMessage::TargetUpdate(update));
        }
    }
}

/// Tells the entry VMs about targets that came or changed until the task is aborted.
pub async fn tell_news(daemon: Arc<Daemon>, sync_state: Arc<SyncState>) {
    loop {
        sleep(NOTICE_INTERVAL).await;
        if sync_state.has_news.swap(false, Ordering::AcqRel) {
            notify_entries(&daemon);
        }
    }
}

/// How a target's report was taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportOutcome {
    /// The report holds everywhere that it has to.
    Acknowledged,
    /// Too few control VMs know that the target leaves; another one should be told.
    Unconfirmed,
}

/// Takes the heartbeat of a target. That a target leaves is acknowledged only once most control VMs
/// know it, so that every entry VM that reaches most of them learns of it.
pub async fn report_target(
    daemon: &Arc<Daemon>,
    sync_state: &SyncState,
    record: InstanceRecord,
) -> ReportOutcome {
    let reported = daemon.tables.instances.write().report(record.clone(), daemon.now());
    if reported == ReportResult::Changed {
        log::info!(target_id = record.instance.as_str(), address = record.address.as_str(),
            service = record.service.as_str(), state:% = record.state, born = record.born_unix_ms,
            sequence = record.sequence, cold_ms = record.cold_ms; "target reported");
    }
    if record.state == InstanceState::Ready {
        sync_state.unrelayed.lock().insert(record.instance.clone(), record);
        if reported == ReportResult::Changed {
            sync_state.has_news.store(true, Ordering::Release);
        }
        return ReportOutcome::Acknowledged;
    }
    confirm_leaving(daemon, sync_state, record).await
}

/// Takes the departure of a target; one that is not known has nothing to be told about.
pub async fn end_target(
    daemon: &Arc<Daemon>,
    sync_state: &SyncState,
    instance: &TargetId,
    born_unix_ms: Option<u64>,
) -> ReportOutcome {
    let ended = daemon.tables.instances.write().end(instance, born_unix_ms, daemon.now());
    match ended {
        Some(record) => confirm_leaving(daemon, sync_state, record).await,
        None => {
            log::info!(target_id = instance.as_str(), born:? = born_unix_ms;
                "departure of an unknown target or life");
            ReportOutcome::Acknowledged
        }
    }
}

async fn confirm_leaving(
    daemon: &Arc<Daemon>,
    sync_state: &SyncState,
    record: InstanceRecord,
) -> ReportOutcome {
    let instance = record.instance.clone();
    let (sequence, mut confirmed) = {
        let mut confirmations = sync_state.confirmations.lock();
        confirmations.latest += 1;
        let sequence = confirmations.latest;
        let (sender, receiver) = mpsc::unbounded_channel();
        confirmations.waiting.insert(sequence, sender);
        (sequence, receiver)
    };
    let members = daemon.group.as_ref().map(|group| group.voters()).unwrap_or_default();
    let others: Vec<VmId> =
        members.iter().filter(|vm| **vm != daemon.settings.vm).cloned().collect();
    for vm in control_vms(daemon) {
        let update = TargetUpdate { sequence, records: vec![record.clone()] };
        daemon.mesh.send(&vm, FleetMessage::TargetUpdate(update));
    }
    notify_entries(daemon);
    let own = usize::from(members.contains(&daemon.settings.vm));
    let needed = members.len() / 2 + 1;
    let mut knowing = HashSet::new();
    let deadline = TokioInstant::now() + CONFIRM_TIMEOUT;
    while knowing.len() + own < needed {
        match timeout_at(deadline, confirmed.recv()).await {
            Ok(Some(vm)) if others.contains(&vm) => {
                knowing.insert(vm);
            }
            Ok(Some(_)) => {}
            Ok(None) | Err(_) => break,
        }
    }
    sync_state.confirmations.lock().waiting.remove(&sequence);
    let is_confirmed = !members.is_empty() && knowing.len() + own >= needed;
    log::info!(target_id = instance.as_str(), confirmed = knowing.len() + own, needed = needed;
        "target leaves");
    if is_confirmed { ReportOutcome::Acknowledged } else { ReportOutcome::Unconfirmed }
}
