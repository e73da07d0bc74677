//! Idempotency keys. An entry VM records the key of a request at the key's replicas before it sends
//! the request; a control VM is itself a replica of keys.

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

/// Subfolder of the data folder that contains the log of idempotency keys.
const SUBFOLDER: &str = "once";
/// Maximum time to wait for the replies of the replicas. A round trip between regions takes 20 ms
/// and a disk sync a few more, so a replica that has not replied within this time is down.
const REPLY_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which the request is sent again to replicas that have not replied.
const RESEND_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum time for which a refusal is delayed until the replicas have released the key: several
/// round trips between regions. If a replica has not released the key by then, a caller that
/// retries through another VM may find the key still in use.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(250);
/// Number of records in one page that is sent to a recovering replica; about 20 KB.
const RECORDS_PER_PAGE: usize = 500;

/// Replica of idempotency keys: the table in memory and the log on disk.
pub struct IdempotencyReplica {
    table: IdempotencyTable,
    log: IdempotencyLog,
    /// Recovery of keys from the other replicas while this one is incomplete.
    recovery: Option<ReplicaRecovery>,
}

impl IdempotencyReplica {
    /// Opens the log of a control VM and restores the table from it.
    ///
    /// # Errors
    ///
    /// When the log cannot be read or is damaged.
    pub fn open(own: &VmId, data_folder: &Path, clock: &Clock) -> Result<Self> {
        let (now, now_unix_ms) = (clock.now(), clock.unix_ms());
        let folder = data_folder.join(SUBFOLDER);
        let storage = storage::open_folder(&folder)
            .with_context(|| format!("failed to open the folder {}", folder.display()))?;
        let OpenedIdempotencyLog { log, records } = IdempotencyLog::open(storage, now_unix_ms)?;
        let mut table = IdempotencyTable::new(own.clone(), IdempotencyLimits::default(), now);
        let recovery = match log.coverage() {
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
        for timestamped in &records {
            let age = Duration::from_millis(now_unix_ms.saturating_sub(timestamped.unix_ms));
            // The monotonic clock cannot represent times before the machine's boot.
            let at = now.checked_sub(age).unwrap_or(now);
            table.restore(&timestamped.record, at);
        }
        Ok(Self { table, log, recovery })
    }

    /// Marks the replica as complete because the control group was bootstrapped with this data
    /// folder: no request was admitted before.
    ///
    /// # Errors
    ///
    /// When the log cannot be written.
    pub fn set_bootstrapped(&mut self, clock: &Clock) -> Result<()> {
        if self.log.coverage() == Coverage::Complete {
            return Ok(());
        }
        self.set_complete(clock)
    }

    fn set_complete(&mut self, clock: &Clock) -> Result<()> {
        self.recovery = None;
        self.table.set_complete(clock.now());
        self.log.mark_complete(&live_records(&self.table, clock))
    }

    /// Sets the VMs that are replicas of keys.
    pub fn set_members(&mut self, own: &VmId, vms: &[VmId], now: Instant) {
        self.table.set_members(vms, now);
        if let Some(recovery) = &mut self.recovery {
            recovery.set_sources(vms.iter().filter(|vm| *vm != own));
        }
    }

    /// Returns the replicas whose keys have not been copied completely, with the next page request
    /// to each.
    fn page_requests(&self) -> Vec<(VmId, OnceCopyRequest)> {
        let requests = self.recovery.iter().flat_map(ReplicaRecovery::page_requests);
        requests.map(|(vm, after)| (vm.clone(), OnceCopyRequest { after })).collect()
    }

    fn read_page(
        &mut self,
        requester: &VmId,
        request: &OnceCopyRequest,
        now: Instant,
    ) -> OnceCopyReply {
        self.table.expire(now);
        let page = self.table.page(requester, request.after, RECORDS_PER_PAGE);
        let copied = |(at, record): &(Instant, IdempotencyRecord)| OnceCopiedRecord {
            organisation: record.organisation,
            fingerprint: record.fingerprint,
            request: record.request,
            age_ms: now.saturating_duration_since(*at).as_millis() as u64,
        };
        OnceCopyReply {
            after: request.after,
            next: page.next,
            is_last: page.is_last,
            is_complete: self.table.is_complete(now),
            records: page.records.iter().map(copied).collect(),
        }
    }

    fn apply_page(
        &mut self,
        from: &VmId,
        incarnation: Incarnation,
        reply: &OnceCopyReply,
        clock: &Clock,
    ) -> Result<PageAction> {
        let now = clock.now();
        let Some(recovery) = &mut self.recovery else { return Ok(PageAction::Ignore) };
        let page = RecordPage {
            records: reply.records.iter().map(|record| copied_record(record, now)).collect(),
            next: reply.next,
            is_last: reply.is_last,
        };
        let next = recovery.apply_page(from, incarnation, reply.after, &page, reply.is_complete);
        if next == PageAction::Ignore {
            return Ok(next);
        }
        for (at, record) in page.records.iter().filter(|(_, record)| recovery.should_insert(record))
        {
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
        let previous_len = self.table.len();
        let verdict = self.table.start(organisation, *fingerprint, request, now);
        if self.table.len() > previous_len {
            let kind = RecordKind::Started;
            self.append(IdempotencyRecord::new(organisation, *fingerprint, request, kind), clock)?;
        }
        Ok(verdict)
    }

    fn release(&mut self, request: &OnceRequest, clock: &Clock) -> Result<()> {
        let OnceRequest { organisation, fingerprint, request } = request;
        let previous_len = self.table.len();
        self.table.release(organisation, *fingerprint, request);
        let record =
            IdempotencyRecord::new(organisation, *fingerprint, request, RecordKind::Released);
        if let Some(recovery) = &mut self.recovery {
            recovery.record_release(&record);
        }
        if self.table.len() == previous_len {
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
    (at, IdempotencyRecord { organisation, fingerprint, request, kind: RecordKind::Started })
}

fn live_records(table: &IdempotencyTable, clock: &Clock) -> Vec<TimestampedRecord> {
    let (now, now_unix_ms) = (clock.now(), clock.unix_ms());
    let timestamped = |(at, record): (Instant, IdempotencyRecord)| {
        let age_ms = now.saturating_duration_since(at).as_millis() as u64;
        TimestampedRecord { unix_ms: now_unix_ms.saturating_sub(age_ms), record }
    };
    table.records().map(timestamped).collect()
}

/// Requests of this VM that wait for replies of replicas, by request id.
#[derive(Default)]
pub struct IdempotencyWaiters {
    replies: HashMap<RequestId, mpsc::UnboundedSender<(VmId, OnceVerdict)>>,
    releases: HashMap<RequestId, mpsc::UnboundedSender<VmId>>,
}

/// A recorded key. Dropping it releases the key at its replicas unless the request may have been
/// sent.
pub struct RecordedKey {
    daemon: Arc<Daemon>,
    replicas: KeyReplicas,
    request: OnceRequest,
    may_have_run: bool,
}

impl RecordedKey {
    /// Records that a byte of the request may have reached a target.
    pub fn mark_sent(&mut self) {
        self.may_have_run = true;
    }

    /// Releases the key unless the request may have been sent, and waits for the acknowledgements
    /// of the replicas, so that a refused caller can retry through any VM.
    pub async fn release(mut self) {
        if self.may_have_run {
            return;
        }
        let (sender, mut released) = mpsc::unbounded_channel();
        let request = self.request.request.clone();
        self.daemon.tables.idempotency_waiters.lock().releases.insert(request.clone(), sender);
        self.send_release();
        let mut pending = self.replicas.clone();
        let wait_until = self.daemon.clock.now() + RELEASE_TIMEOUT;
        while !pending.is_empty() {
            match timeout_at(wait_until.into(), released.recv()).await {
                Ok(Some(replica)) => pending.retain(|vm| *vm != replica),
                Ok(None) | Err(_) => {
                    log::info!(request:% = request, homes:? = pending;
                        "replicas did not acknowledge the release of an idempotency key");
                    break;
                }
            }
        }
        self.daemon.tables.idempotency_waiters.lock().releases.remove(&request);
        // The release has been sent, so `drop` must not send it again.
        self.may_have_run = true;
    }

    fn send_release(&self) {
        for replica in &self.replicas {
            send(&self.daemon, replica, Message::OnceRelease(self.request.clone()));
        }
    }
}

impl Drop for RecordedKey {
    fn drop(&mut self) {
        self.daemon.tables.idempotency_waiters.lock().replies.remove(&self.request.request);
        if !self.may_have_run {
            self.send_release();
        }
    }
}

/// Records the key of a request at its replicas before the request is sent.
///
/// # Errors
///
/// When the key was used before, or when too few replicas reply that it is new.
pub async fn record(
    daemon: &Arc<Daemon>,
    request: &RequestId,
    organisation: &OrganisationId,
    fingerprint: u64,
    deadline: Instant,
) -> Result<RecordedKey, Refusal> {
    let vms = control_vms(daemon);
    let replicas = replicas(&vms, organisation, fingerprint);
    let (organisation, request) = (organisation.clone(), request.clone());
    let request_message = OnceRequest { request: request.clone(), organisation, fingerprint };
    let (sender, mut replies) = mpsc::unbounded_channel();
    daemon.tables.idempotency_waiters.lock().replies.insert(request, sender);
    let mut key = RecordedKey {
        daemon: Arc::clone(daemon),
        replicas,
        request: request_message,
        may_have_run: false,
    };
    let wait_until = deadline.min(daemon.clock.now() + REPLY_TIMEOUT);
    let mut verdicts: SmallVec<[(VmId, OnceVerdict); 3]> = SmallVec::new();
    let mut resend_at = daemon.clock.now();
    loop {
        let now = daemon.clock.now();
        let known = verdicts.iter().map(|(vm, verdict)| (vm, *verdict));
        match decide(&key.replicas, known, now >= wait_until) {
            IdempotencyDecision::Send => return Ok(key),
            IdempotencyDecision::Wait => {}
            IdempotencyDecision::Refuse(code) => {
                // A duplicate must not release the key of the first request, which may have run.
                key.may_have_run = code == ResultCode::DuplicateRequest;
                key.release().await;
                return Err(code.into());
            }
        }
        if now >= resend_at {
            resend_at = now + RESEND_INTERVAL;
            for replica in
                key.replicas.iter().filter(|replica| !verdicts.iter().any(|(vm, _)| vm == *replica))
            {
                send(daemon, replica, Message::OnceRequest(key.request.clone()));
            }
        }
        tokio::select! {
            reply = replies.recv() => verdicts.extend(reply),
            () = sleep_until(resend_at.min(wait_until).into()) => {}
        }
    }
}

/// Returns the VMs with a disk, which are the replicas of all keys.
fn control_vms(daemon: &Daemon) -> Vec<VmId> {
    let view = daemon.tables.view();
    let members = view.configuration.members.iter();
    let control = members.filter(|member| member.role != MemberRole::Follower);
    control.map(|member| member.vm.clone()).collect()
}

fn send(daemon: &Arc<Daemon>, replica: &VmId, message: Message) {
    if *replica == daemon.own_vm {
        handle_message(daemon, replica, daemon.incarnation, message);
    } else {
        daemon.peers.send(replica, message);
    }
}

/// Handles a message about idempotency keys.
pub fn handle_message(
    daemon: &Arc<Daemon>,
    from: &VmId,
    incarnation: Incarnation,
    message: Message,
) {
    match message {
        Message::OnceRequest(request) => {
            if let Some(verdict) =
                with_replica(daemon, |replica| replica.start(&request, &daemon.clock))
            {
                let reply = OnceReply { request: request.request, verdict };
                send(daemon, from, Message::OnceReply(reply));
            }
        }
        Message::OnceRelease(request) => {
            let is_replica =
                with_replica(daemon, |replica| replica.release(&request, &daemon.clock)).is_some();
            let released = OnceReleased { request: request.request };
            is_replica.then(|| send(daemon, from, Message::OnceReleased(released)));
        }
        Message::OnceReleased(released) => {
            let waiters = daemon.tables.idempotency_waiters.lock();
            if let Some(sender) = waiters.releases.get(&released.request) {
                // The receiver is gone if the wait for acknowledgements timed out.
                let _ = sender.send(from.clone());
            }
        }
        Message::OnceCopyRequest(request) => {
            let now = daemon.clock.now();
            if let Some(reply) =
                with_replica(daemon, |replica| Ok(replica.read_page(from, &request, now)))
            {
                send(daemon, from, Message::OnceCopyReply(reply));
            }
        }
        Message::OnceCopyReply(reply) => {
            let next = with_replica(daemon, |replica| {
                replica.apply_page(from, incarnation, &reply, &daemon.clock)
            });
            log::info!(home:% = from, records = reply.records.len(), next:? = next;
                "idempotency keys copied");
            if next == Some(PageAction::AskAgain) {
                let request = OnceCopyRequest { after: reply.next };
                send(daemon, from, Message::OnceCopyRequest(request));
            }
        }
        Message::OnceReply(reply) => {
            let waiters = daemon.tables.idempotency_waiters.lock();
            if let Some(sender) = waiters.replies.get(&reply.request) {
                // The receiver is gone if the other replies were sufficient.
                let _ = sender.send((from.clone(), reply.verdict));
            }
        }
        _ => {}
    }
}

/// Runs an operation on the replica of this VM, if it has one. A disk failure ends the process, as
/// for the control group's log.
fn with_replica<T>(
    daemon: &Daemon,
    operation: impl FnOnce(&mut IdempotencyReplica) -> Result<T>,
) -> Option<T> {
    let mut replica = daemon.tables.idempotency_replica.lock();
    let replica = replica.as_mut()?;
    match tokio::task::block_in_place(|| operation(replica)) {
        Ok(value) => Some(value),
        Err(error) => daemon.exit_with_error(&error.context("the log of idempotency keys failed")),
    }
}

/// Sets the replicas of keys from the applied configuration.
pub fn update_members(daemon: &Daemon) {
    let vms = control_vms(daemon);
    let now = daemon.clock.now();
    if let Some(replica) = daemon.tables.idempotency_replica.lock().as_mut()
        && !vms.is_empty()
    {
        replica.set_members(&daemon.own_vm, &vms, now);
    }
}

/// Requests the next pages of keys from the other replicas while this one is incomplete.
pub fn request_missing_pages(daemon: &Arc<Daemon>) {
    let requests = daemon
        .tables
        .idempotency_replica
        .lock()
        .as_ref()
        .map(IdempotencyReplica::page_requests)
        .unwrap_or_default();
    for (vm, request) in requests {
        send(daemon, &vm, Message::OnceCopyRequest(request));
    }
}

/// Marks the replica as complete because the control group was bootstrapped with its data
/// folder.
pub fn mark_bootstrapped(daemon: &Daemon) {
    with_replica(daemon, |replica| replica.set_bootstrapped(&daemon.clock));
}
