//! Idempotency keys: asking the homes of a key before a request is sent, and being a home.

use std::collections::HashMap;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

use anyhow::{Context, Result};
use celerygate_control::idempotency_log::{
    Coverage, IdempotencyLog, OpenedIdempotencyLog, TimestampedRecord,
};
use celerygate_control::storage;
use celerygate_steering::idempotency::{
    IdempotencyDecision, IdempotencyLimits, IdempotencyRecord, IdempotencyTable, KeyReplicas,
    PageAction, RETENTION, RecordKind, RecordPage, ReplicaRecovery, decide, replicas,
};
use celerygate_types::wire::{
    MemberRole, Message, OnceCopiedRecord, OnceCopyReply, OnceCopyRequest, OnceReleased, OnceReply,
    OnceRequest, OnceVerdict,
};
use celerygate_types::{Clock, Incarnation, OrganisationId, RequestId, ResultCode, VmId};
use smallvec::SmallVec;
use tokio::sync::mpsc;
use tokio::time::{sleep_until, timeout_at};

use crate::daemon::Daemon;
use crate::refusal::Refusal;

/// Folder of the idempotency keys within the data folder.
const FOLDER: &str = "once";
/// Longest wait for the homes: a round trip between regions takes 20 ms and a sync a few more, so a
/// home that is silent for this long is down.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which an unanswered home is asked again.
const RESEND_AFTER: Duration = Duration::from_millis(250);
/// Longest wait of a refusal for the homes to release the key: several round trips between regions.
/// A caller that comes back before that through another VM may find the key still in use.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(250);
/// Records in one answer to a home that copies; about 20 KB.
const RECORDS_PER_PAGE: usize = 500;

/// The table of a home and its file.
pub struct IdempotencyReplica {
    table: IdempotencyTable,
    log: IdempotencyLog,
    /// Copying of the other homes' keys while this one misses some.
    copy: Option<ReplicaRecovery>,
}

impl IdempotencyReplica {
    /// Opens the file of a control VM and restores the table.
    ///
    /// # Errors
    ///
    /// When the file cannot be read or is damaged.
    pub fn open(own: &VmId, data_folder: &Path, clock: &Clock) -> Result<Self> {
        let (now, now_unix_ms) = (clock.now(), clock.unix_ms());
        let folder = data_folder.join(FOLDER);
        let storage = storage::open_folder(&folder)
            .with_context(|| format!("open the folder {}", folder.display()))?;
        let OpenedIdempotencyLog { log, records } = IdempotencyLog::open(storage, now_unix_ms)?;
        let mut table = IdempotencyTable::new(own.clone(), IdempotencyLimits::default(), now);
        let copy = match log.coverage() {
            Coverage::Complete => {
                table.set_complete(now);
                None
            }
            Coverage::UnknownBefore { unix_ms } => {
                let known_for = Duration::from_millis(now_unix_ms.saturating_sub(unix_ms));
                table.set_complete_from(now + RETENTION.saturating_sub(known_for));
                Some(ReplicaRecovery::default())
            }
        };
        for timed in &records {
            let age = Duration::from_millis(now_unix_ms.saturating_sub(timed.unix_ms));
            // A machine that has been up for less than the age kept no record that long ago.
            let at = now.checked_sub(age).unwrap_or(now);
            table.restore(&timed.record, at);
        }
        Ok(Self { table, log, copy })
    }

    /// Notes that the control group was founded with this data folder: no request was admitted
    /// before.
    ///
    /// # Errors
    ///
    /// When the disk fails.
    pub fn set_founded(&mut self, clock: &Clock) -> Result<()> {
        if self.log.coverage() == Coverage::Complete {
            return Ok(());
        }
        self.set_complete(clock)
    }

    fn set_complete(&mut self, clock: &Clock) -> Result<()> {
        self.copy = None;
        self.table.set_complete(clock.now());
        self.log.mark_complete(&live_records(&self.table, clock))
    }

    /// Notes the homes of all keys.
    pub fn set_members(&mut self, own: &VmId, vms: &[VmId], now: Instant) {
        self.table.set_members(vms, now);
        if let Some(copy) = &mut self.copy {
            copy.set_sources(vms.iter().filter(|vm| *vm != own));
        }
    }

    /// Returns the homes whose keys are still to be copied, with the question to each.
    fn questions(&self) -> Vec<(VmId, OnceCopyRequest)> {
        let questions = self.copy.iter().flat_map(ReplicaRecovery::page_requests);
        questions.map(|(vm, after)| (vm.clone(), OnceCopyRequest { after })).collect()
    }

    fn copied_part(
        &mut self,
        reader: &VmId,
        asked: &OnceCopyRequest,
        now: Instant,
    ) -> OnceCopyReply {
        self.table.expire(now);
        let page = self.table.page(reader, asked.after, RECORDS_PER_PAGE);
        let copied = |(at, record): &(Instant, IdempotencyRecord)| OnceCopiedRecord {
            organisation: record.organisation,
            fingerprint: record.fingerprint,
            request: record.request,
            age_ms: now.saturating_duration_since(*at).as_millis() as u64,
        };
        OnceCopyReply {
            after: asked.after,
            next: page.next,
            is_last: page.is_last,
            is_complete: self.table.is_complete(now),
            records: page.records.iter().map(copied).collect(),
        }
    }

    fn take_part(
        &mut self,
        from: &VmId,
        life: Incarnation,
        reply: &OnceCopyReply,
        clock: &Clock,
    ) -> Result<PageAction> {
        let now = clock.now();
        let Some(copy) = &mut self.copy else { return Ok(PageAction::Ignore) };
        let page = RecordPage {
            records: reply.records.iter().map(|record| copied_record(record, now)).collect(),
            next: reply.next,
            is_last: reply.is_last,
        };
        let next = copy.apply_page(from, life, reply.after, &page, reply.is_complete);
        if next == PageAction::Ignore {
            return Ok(next);
        }
        for (at, record) in page.records.iter().filter(|(_, record)| copy.should_insert(record)) {
            self.table.insert_copied(record, *at);
        }
        if next == PageAction::Complete {
            self.table.sort();
            self.set_complete(clock)?;
        }
        Ok(next)
    }

    fn start(&mut self, request: &OnceRequest, clock: &Clock) -> Result<OnceVerdict> {
        let OnceRequest { organisation, fingerprint, request } = request;
        let now = clock.now();
        self.table.expire(now);
        let before = self.table.len();
        let verdict = self.table.start(organisation, *fingerprint, request, now);
        if self.table.len() > before {
            let change = RecordKind::Started;
            self.append(
                IdempotencyRecord::new(organisation, *fingerprint, request, change),
                clock,
            )?;
        }
        Ok(verdict)
    }

    fn release(&mut self, request: &OnceRequest, clock: &Clock) -> Result<()> {
        let OnceRequest { organisation, fingerprint, request } = request;
        let before = self.table.len();
        self.table.release(organisation, *fingerprint, request);
        let record =
            IdempotencyRecord::new(organisation, *fingerprint, request, RecordKind::Released);
        if let Some(copy) = &mut self.copy {
            copy.record_release(&record);
        }
        if self.table.len() == before {
            return Ok(());
        }
        self.append(record, clock)
    }

    fn append(&mut self, record: IdempotencyRecord, clock: &Clock) -> Result<()> {
        self.log.append(&TimestampedRecord { unix_ms: clock.unix_ms(), record })?;
        if self.log.is_compaction_due(self.table.len()) {
            self.log.rewrite(&live_records(&self.table, clock))?;
        }
        Ok(())
    }
}

fn copied_record(copied: &OnceCopiedRecord, now: Instant) -> (Instant, IdempotencyRecord) {
    let OnceCopiedRecord { organisation, fingerprint, request, age_ms } = *copied;
    let at = now.checked_sub(Duration::from_millis(age_ms)).unwrap_or(now);
    (at, IdempotencyRecord { organisation, fingerprint, request, change: RecordKind::Started })
}

fn live_records(table: &IdempotencyTable, clock: &Clock) -> Vec<TimestampedRecord> {
    let (now, now_unix_ms) = (clock.now(), clock.unix_ms());
    let timed = |(at, record): (Instant, IdempotencyRecord)| {
        let age_ms = now.saturating_duration_since(at).as_millis() as u64;
        TimestampedRecord { unix_ms: now_unix_ms.saturating_sub(age_ms), record }
    };
    table.records().map(timed).collect()
}

/// Requests of this VM that wait for answers of homes.
#[derive(Default)]
pub struct IdempotencyWaiters {
    answers: HashMap<RequestId, mpsc::UnboundedSender<(VmId, OnceVerdict)>>,
    releases: HashMap<RequestId, mpsc::UnboundedSender<VmId>>,
}

/// A recorded key; dropping it releases the key at its homes unless the request may have been sent.
pub struct RecordedKey {
    daemon: Arc<Daemon>,
    homes: KeyReplicas,
    request: OnceRequest,
    may_have_run: bool,
}

impl RecordedKey {
    /// Notes that a byte of the request may have reached a target.
    pub fn mark_sent(&mut self) {
        self.may_have_run = true;
    }

    /// Releases the key unless the request may have been sent, and waits until the homes know it, so
    /// that a caller that is refused now can come back through any VM.
    pub async fn release(mut self) {
        if self.may_have_run {
            return;
        }
        let (sender, mut released) = mpsc::unbounded_channel();
        let request = self.request.request.clone();
        self.daemon.tables.idempotency_waiters.lock().releases.insert(request.clone(), sender);
        self.send_release();
        let mut missing = self.homes.clone();
        let give_up_at = self.daemon.clock.now() + RELEASE_TIMEOUT;
        while !missing.is_empty() {
            match timeout_at(give_up_at.into(), released.recv()).await {
                Ok(Some(home)) => missing.retain(|vm| *vm != home),
                Ok(None) | Err(_) => {
                    log::info!(request:% = request, homes:? = missing;
                        "release of an idempotency key not acknowledged");
                    break;
                }
            }
        }
        self.daemon.tables.idempotency_waiters.lock().releases.remove(&request);
        // The homes have been told.
        self.may_have_run = true;
    }

    fn send_release(&self) {
        for home in &self.homes {
            send(&self.daemon, home, Message::OnceRelease(self.request.clone()));
        }
    }
}

impl Drop for RecordedKey {
    fn drop(&mut self) {
        self.daemon.tables.idempotency_waiters.lock().answers.remove(&self.request.request);
        if !self.may_have_run {
            self.send_release();
        }
    }
}

/// Records the key of a request at its homes before the request is sent.
///
/// # Errors
///
/// When the key was used before, or too few homes can tell.
pub async fn record(
    daemon: &Arc<Daemon>,
    request: &RequestId,
    organisation: &OrganisationId,
    fingerprint: u64,
    deadline: Instant,
) -> Result<RecordedKey, Refusal> {
    let vms = control_vms(daemon);
    let homes = replicas(&vms, organisation, fingerprint);
    let (organisation, request) = (organisation.clone(), request.clone());
    let question = OnceRequest { request: request.clone(), organisation, fingerprint };
    let (sender, mut answers) = mpsc::unbounded_channel();
    daemon.tables.idempotency_waiters.lock().answers.insert(request, sender);
    let mut key =
        RecordedKey { daemon: Arc::clone(daemon), homes, request: question, may_have_run: false };
    let give_up_at = deadline.min(daemon.clock.now() + ANSWER_TIMEOUT);
    let mut heard: SmallVec<[(VmId, OnceVerdict); 3]> = SmallVec::new();
    let mut ask_at = daemon.clock.now();
    loop {
        let now = daemon.clock.now();
        let known = heard.iter().map(|(vm, verdict)| (vm, *verdict));
        match decide(&key.homes, known, now >= give_up_at) {
            IdempotencyDecision::Send => return Ok(key),
            IdempotencyDecision::Wait => {}
            IdempotencyDecision::Refuse(code) => {
                // The key belongs to the first request, which may have run.
                key.may_have_run = code == ResultCode::DuplicateRequest;
                key.release().await;
                return Err(code.into());
            }
        }
        if now >= ask_at {
            ask_at = now + RESEND_AFTER;
            for home in key.homes.iter().filter(|home| !heard.iter().any(|(vm, _)| vm == *home)) {
                send(daemon, home, Message::OnceRequest(key.request.clone()));
            }
        }
        tokio::select! {
            answer = answers.recv() => heard.extend(answer),
            () = sleep_until(ask_at.min(give_up_at).into()) => {}
        }
    }
}

/// Returns the VMs with a disk, which are the homes of all keys.
fn control_vms(daemon: &Daemon) -> Vec<VmId> {
    let view = daemon.tables.view();
    let members = view.configuration.members.iter();
    let control = members.filter(|member| member.role != MemberRole::Follower);
    control.map(|member| member.vm.clone()).collect()
}

fn send(daemon: &Arc<Daemon>, home: &VmId, message: Message) {
    if *home == daemon.own_vm {
        handle_message(daemon, home, daemon.incarnation, message);
    } else {
        daemon.peers.send(home, message);
    }
}

/// Handles a message about idempotency keys.
pub fn handle_message(daemon: &Arc<Daemon>, from: &VmId, life: Incarnation, message: Message) {
    match message {
        Message::OnceRequest(request) => {
            if let Some(verdict) = at_home(daemon, |home| home.start(&request, &daemon.clock)) {
                let reply = OnceReply { request: request.request, verdict };
                send(daemon, from, Message::OnceReply(reply));
            }
        }
        Message::OnceRelease(request) => {
            let is_home = at_home(daemon, |home| home.release(&request, &daemon.clock)).is_some();
            let released = OnceReleased { request: request.request };
            is_home.then(|| send(daemon, from, Message::OnceReleased(released)));
        }
        Message::OnceReleased(released) => {
            let waiting = daemon.tables.idempotency_waiters.lock();
            if let Some(sender) = waiting.releases.get(&released.request) {
                // The refusal may have been sent without the last answers.
                let _ = sender.send(from.clone());
            }
        }
        Message::OnceCopyRequest(asked) => {
            let now = daemon.clock.now();
            if let Some(reply) = at_home(daemon, |home| Ok(home.copied_part(from, &asked, now))) {
                send(daemon, from, Message::OnceCopyReply(reply));
            }
        }
        Message::OnceCopyReply(reply) => {
            let next = at_home(daemon, |home| home.take_part(from, life, &reply, &daemon.clock));
            log::info!(home:% = from, records = reply.records.len(), next:? = next;
                "idempotency keys copied");
            if next == Some(PageAction::AskAgain) {
                let asked = OnceCopyRequest { after: reply.next };
                send(daemon, from, Message::OnceCopyRequest(asked));
            }
        }
        Message::OnceReply(reply) => {
            let waiting = daemon.tables.idempotency_waiters.lock();
            if let Some(sender) = waiting.answers.get(&reply.request) {
                // The request may have been decided by the other answers.
                let _ = sender.send((from.clone(), reply.verdict));
            }
        }
        _ => {}
    }
}

/// Runs an operation of this home, if this VM is one. A failure of the disk ends the process, as
/// for the control group's log.
fn at_home<T>(
    daemon: &Daemon,
    operation: impl FnOnce(&mut IdempotencyReplica) -> Result<T>,
) -> Option<T> {
    let mut home = daemon.tables.idempotency_replica.lock();
    let home = home.as_mut()?;
    match tokio::task::block_in_place(|| operation(home)) {
        Ok(value) => Some(value),
        Err(error) => daemon.exit_with_error(&error.context("the idempotency keys' file failed")),
    }
}

/// Tells this home which VMs are homes.
pub fn update_members(daemon: &Daemon) {
    let vms = control_vms(daemon);
    let now = daemon.clock.now();
    if let Some(home) = daemon.tables.idempotency_replica.lock().as_mut()
        && !vms.is_empty()
    {
        home.set_members(&daemon.own_vm, &vms, now);
    }
}

/// Asks the other homes for their keys while this one misses some.
pub fn request_missing_pages(daemon: &Arc<Daemon>) {
    let questions = daemon
        .tables
        .idempotency_replica
        .lock()
        .as_ref()
        .map(IdempotencyReplica::questions)
        .unwrap_or_default();
    for (vm, question) in questions {
        send(daemon, &vm, Message::OnceCopyRequest(question));
    }
}

/// Notes that the control group was founded with this VM's data folder.
pub fn mark_founded(daemon: &Daemon) {
    at_home(daemon, |home| home.set_founded(&daemon.clock));
}
