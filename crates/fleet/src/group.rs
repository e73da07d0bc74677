//! The control group member on this VM: a thread that owns the replica and its data folder.
//!
//! Disk writes block, for seconds when the disk stalls, so they run on a separate thread. All input
//! to the replica passes through one queue to this thread.

use std::collections::BTreeMap;
use std::panic::{self, AssertUnwindSafe};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::thread;
use std::time::{Duration, Instant};

use anyhow::{Context, Result, anyhow};
use celerygate_control::membership::GroupSize;
use celerygate_control::node::{Node, Output};
use celerygate_control::replica::{Input, LEASE_DURATION};
use celerygate_control::state::{self, ApplyOutcome};
use celerygate_control::storage::open_folder;
use celerygate_daemon::telemetry::Metrics;
use celerygate_steering::grants::GrantOwner;
use celerygate_types::wire::{
    ChangeNotice, Command, Configuration, DaemonRecord, FleetContent, FleetMessage, FleetSettings,
    Member, Message,
};
use celerygate_types::{Clock, Incarnation, LogIndex, Term, VmId};
use parking_lot::Mutex;
use tokio::sync::oneshot;

use crate::adapter::ProtocolAdapter;
use crate::tables::{Content, Leader, Tables};

mod founding;
mod grants;
mod members;

/// Interval of the replica's ticks; a fraction of the leader's heartbeat interval.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Delay before the data folder is reopened after a failed write.
const REOPEN_DELAY: Duration = Duration::from_millis(500);

/// Outcome of a proposal or a read.
#[derive(Clone, Debug, PartialEq)]
pub enum GroupReply {
    /// The command was committed and applied.
    Applied(ApplyOutcome),
    /// The state, as confirmed by a quorum after the read arrived.
    Content(Option<Arc<FleetContent>>),
    /// This VM is not the leader; names the leader if it is known.
    NotLeader(Option<VmId>),
    /// The command may or may not be committed later.
    Unknown,
    /// The group has too few members: a committed change would not survive the disk losses that the
    /// deployment allows for.
    TooSmall,
}

/// Input of the thread.
pub enum GroupInput {
    /// A message of the replication protocol.
    Message {
        /// Sender of the message.
        from: VmId,
        /// Incarnation of the sender.
        incarnation: Incarnation,
        /// Message of the replication protocol.
        message: Message,
    },
    /// A command to propose.
    Propose {
        /// Command to propose.
        command: Command,
        /// Receives the outcome.
        reply: oneshot::Sender<GroupReply>,
    },
    /// A linearizable read of the state.
    Read {
        /// Receives the state.
        reply: oneshot::Sender<GroupReply>,
    },
    /// A control VM that may not be a member yet.
    Join {
        /// Record of the VM.
        record: DaemonRecord,
        /// Identity of its data folder.
        store_id: u64,
    },
}

/// Handle to the thread.
pub struct Group {
    inputs: Sender<GroupInput>,
    status: Arc<Mutex<GroupStatus>>,
}

/// Status that the thread publishes to other tasks.
#[derive(Debug, Default)]
struct GroupStatus {
    store_id: Option<u64>,
    voters: Vec<VmId>,
}

impl Group {
    /// Sends an input to the thread.
    pub fn send(&self, input: GroupInput) {
        if self.inputs.send(input).is_err() {
            log::error!("failed to send to the control group thread, it has ended");
        }
    }

    /// Proposes a command and returns the receiver of the reply.
    pub fn propose(&self, command: Command) -> oneshot::Receiver<GroupReply> {
        let (reply, receiver) = oneshot::channel();
        self.send(GroupInput::Propose { command, reply });
        receiver
    }

    /// Requests a linearizable read and returns the receiver of the reply.
    pub fn read(&self) -> oneshot::Receiver<GroupReply> {
        let (reply, receiver) = oneshot::channel();
        self.send(GroupInput::Read { reply });
        receiver
    }

    /// Returns the identity of the data folder, none until it is open.
    pub fn store_id(&self) -> Option<u64> {
        self.status.lock().store_id
    }

    /// Returns the voters of the group, as known to this member.
    pub fn voters(&self) -> Vec<VmId> {
        self.status.lock().voters.clone()
    }
}

/// Sends a message to a VM.
pub type SendMessage = Box<dyn Fn(&VmId, FleetMessage) + Send>;
/// Returns the ids of VMs.
pub type ListVms = Box<dyn Fn() -> Vec<VmId> + Send>;

/// Functions through which the thread uses the rest of the daemon.
pub struct Callbacks {
    /// Sends a message to a VM.
    pub send: SendMessage,
    /// Returns the running entry VMs, which use tokens and content.
    pub entry_vms: ListVms,
}

/// Settings and shared state that the thread uses.
pub struct GroupContext {
    /// Settings of the VM.
    pub settings: FleetSettings,
    /// Clock of the daemon.
    pub clock: Clock,
    /// Shared tables.
    pub tables: Arc<Tables>,
    /// Functions of the front end.
    pub adapter: ProtocolAdapter,
    /// Metrics of the daemon.
    pub metrics: Arc<Metrics>,
}

/// Returns the group and a function that starts its thread. The callbacks are passed to this
/// function later, since they may use the group.
pub fn start(
    context: GroupContext,
    folder: PathBuf,
) -> (Group, impl FnOnce(Callbacks) -> Result<()>) {
    let (inputs, queue) = channel();
    let status = Arc::new(Mutex::new(GroupStatus::default()));
    let group = Group { inputs, status: Arc::clone(&status) };
    let run = move |callbacks: Callbacks| {
        thread::Builder::new()
            .name("group".to_owned())
            .spawn(move || run(&context, &callbacks, &folder, &queue, &status))
            .context("start the control group thread")?;
        Ok(())
    };
    (group, run)
}

fn run(
    context: &GroupContext,
    callbacks: &Callbacks,
    folder: &Path,
    queue: &Receiver<GroupInput>,
    status: &Mutex<GroupStatus>,
) {
    loop {
        // A panic leaves nothing behind that the next replica uses: it is opened from disk.
        let ended = panic::catch_unwind(AssertUnwindSafe(|| {
            run_replica(context, callbacks, folder, queue, status)
        }));
        let ended = ended.unwrap_or_else(|_| {
            context.metrics.count_panic("group");
            Err(anyhow!("the thread panicked"))
        });
        match ended {
            Ok(()) => return,
            // The disk is full or failed, or the thread panicked. The replica's state in memory may
            // differ from what is stored, so the replica is reopened from disk.
            Err(error) => {
                log::error!(error:% = format!("{error:#}");
                    "control group member failed, reopening the data folder");
            }
        }
        thread::sleep(REOPEN_DELAY);
        while queue.try_recv().is_ok() {}
    }
}

fn run_replica(
    context: &GroupContext,
    callbacks: &Callbacks,
    folder: &Path,
    queue: &Receiver<GroupInput>,
    status: &Mutex<GroupStatus>,
) -> Result<()> {
    let mut driver = ReplicaDriver::open(context, callbacks, folder)?;
    status.lock().store_id = Some(driver.node.store_id());
    driver.run(queue, status)
}

struct PendingProposal {
    term: Term,
    reply: oneshot::Sender<GroupReply>,
}

struct PendingRead {
    arrived_at: Instant,
    reply: oneshot::Sender<GroupReply>,
}

/// Passes inputs to the replica and carries out its outputs.
struct ReplicaDriver<'a> {
    context: &'a GroupContext,
    callbacks: &'a Callbacks,
    node: Node,
    configuration: Configuration,
    pending_proposals: BTreeMap<LogIndex, PendingProposal>,
    /// Reply sender of the command that is being proposed.
    current_proposal: Option<oneshot::Sender<GroupReply>>,
    pending_reads: Vec<PendingRead>,
    grants: Option<GrantOwner>,
    joining: BTreeMap<VmId, Member>,
    /// Whether the content changed since the latest snapshot.
    content_changed: bool,
}

impl<'a> ReplicaDriver<'a> {
    fn open(context: &'a GroupContext, callbacks: &'a Callbacks, folder: &Path) -> Result<Self> {
        let storage = open_folder(folder)
            .with_context(|| format!("open the data folder {}", folder.display()))?;
        let (settings, now) = (&context.settings, context.clock.now());
        let new_store_id = founding::new_store_id(settings);
        let opened = Node::open(storage, &settings.vm, new_store_id, rand::random(), now)?;
        let snapshot = opened.snapshot.map(|record| record.configuration);
        let mut driver = Self {
            context,
            callbacks,
            node: opened.node,
            configuration: snapshot.unwrap_or_else(state::empty_configuration),
            pending_proposals: BTreeMap::new(),
            current_proposal: None,
            pending_reads: Vec::new(),
            grants: None,
            joining: BTreeMap::new(),
            content_changed: false,
        };
        driver.publish_content();
        log::info!(store = driver.node.store_id(), commit = driver.node.replica().commit_index().0;
            "data folder opened");
        if let Some(first) = founding::first_configuration(settings, driver.node.store_id()) {
            driver.handle(Input::Found(first))?;
        }
        Ok(driver)
    }

    fn run(&mut self, queue: &Receiver<GroupInput>, status: &Mutex<GroupStatus>) -> Result<()> {
        let mut last_tick_at = self.context.clock.now();
        loop {
            match queue.recv_timeout(TICK_INTERVAL) {
                Ok(input) => self.handle_input(input)?,
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return Ok(()),
            }
            let now = self.context.clock.now();
            if now.saturating_duration_since(last_tick_at) >= TICK_INTERVAL {
                last_tick_at = now;
                self.handle(Input::Tick { random: rand::random() })?;
                self.change_members()?;
                self.publish_leader();
                // Creates the grant owner once elected; token requests are answered on arrival.
                let _ = self.grant_owner(now);
                status.lock().voters = self.known_voters();
            }
            self.reply_to_reads();
        }
    }

    fn handle_input(&mut self, input: GroupInput) -> Result<()> {
        match input {
            GroupInput::Message { from, incarnation, message: Message::GrantRequest(request) } => {
                self.grant(&from, incarnation, &request);
                Ok(())
            }
            GroupInput::Message { from, message, .. } => {
                self.handle(Input::Message { from, message })
            }
            GroupInput::Propose { command, reply } => self.propose(command, reply),
            GroupInput::Read { reply } => {
                if self.node.replica().is_leader() {
                    let arrived_at = self.context.clock.now();
                    self.pending_reads.push(PendingRead { arrived_at, reply });
                } else {
                    self.reply_not_leader(reply);
                }
                Ok(())
            }
            GroupInput::Join { record, store_id } => {
                self.join(record, store_id);
                Ok(())
            }
        }
    }

    fn reply_not_leader(&self, reply: oneshot::Sender<GroupReply>) {
        let leader = self.node.replica().leader().filter(|vm| **vm != self.context.settings.vm);
        // The receiver is gone if the caller timed out, and then needs no reply.
        let _ = reply.send(GroupReply::NotLeader(leader.cloned()));
    }

    fn propose(&mut self, command: Command, reply: oneshot::Sender<GroupReply>) -> Result<()> {
        let replica = self.node.replica();
        if !replica.is_leader() || !replica.has_lease(self.context.clock.now()) {
            self.reply_not_leader(reply);
            return Ok(());
        }
        let size = GroupSize::for_lost_disks(self.context.settings.lost_disks_max as usize);
        if !size.commits_survive_disk_loss(replica.members()) {
            log::warn!(voters = self.voter_count(); "proposal refused, the control group is too small");
            let _ = reply.send(GroupReply::TooSmall);
            return Ok(());
        }
        self.current_proposal = Some(reply);
        self.handle(Input::Propose(command))
    }

    fn handle(&mut self, input: Input) -> Result<()> {
        let outputs = self.node.handle(input, self.context.clock.now())?;
        for output in outputs {
            match output {
                Output::Send { to, message } => {
                    (self.callbacks.send)(&to, FleetMessage::Agreement(*message));
                }
                Output::Apply(entries) => {
                    for entry in entries {
                        self.apply(entry.index, entry.term, &entry.command);
                    }
                }
                Output::InstallSnapshot(snapshot) => {
                    self.configuration = snapshot.configuration;
                    self.publish_content();
                }
                Output::Proposed { index, term } => {
                    if let Some(reply) = self.current_proposal.take() {
                        self.pending_proposals.insert(index, PendingProposal { term, reply });
                    }
                }
                Output::ProposalRejected(refusal) => {
                    log::info!(reason:% = refusal; "proposal rejected");
                    if let Some(reply) = self.current_proposal.take() {
                        self.reply_not_leader(reply);
                    }
                }
                Output::BecameLeader(term) => {
                    log::info!(term = term.0; "became leader of the control group");
                    self.grants = None;
                }
                Output::SteppedDown(term) => {
                    log::info!(term = term.0; "lost leadership of the control group");
                    self.grants = None;
                    for read in std::mem::take(&mut self.pending_reads) {
                        self.reply_not_leader(read.reply);
                    }
                }
            }
        }
        // A snapshot after each change of the content gives a restarted VM content to serve before
        // a leader is elected; the log alone does not tell which entries are committed.
        if self.content_changed || self.node.is_snapshot_due() {
            self.content_changed = false;
            self.node.store_snapshot(self.configuration.clone())?;
        }
        Ok(())
    }

    fn apply(&mut self, index: LogIndex, term: Term, command: &Command) {
        let before = self.configuration.content_revision;
        let applied = state::apply(&mut self.configuration, command);
        if matches!(command, Command::Document(_) | Command::Evacuate(_)) {
            log::info!(index = index.0, term = term.0, revision = self.configuration.revision.0,
                voters = self.voter_count(), leads = self.node.replica().is_leader(),
                version = self.configuration.document.version, outcome:? = applied;
                "change applied");
        }
        if self.configuration.content_revision != before {
            self.publish_content();
        }
        // Proposals up to this index that another leader replaced end with an unknown outcome.
        while let Some(entry) = self.pending_proposals.first_entry() {
            if *entry.key() > index {
                break;
            }
            let (at, pending) = entry.remove_entry();
            let is_own = at == index && pending.term == term;
            let reply =
                if is_own { GroupReply::Applied(applied.clone()) } else { GroupReply::Unknown };
            let _ = pending.reply.send(reply);
        }
    }

    fn content(&self) -> FleetContent {
        FleetContent {
            revision: self.configuration.content_revision,
            document: self.configuration.document.clone(),
            evacuated: self.configuration.evacuated.clone(),
        }
    }

    fn publish_content(&mut self) {
        let content = self.content();
        if content.document.version == 0 {
            return;
        }
        if activate(&self.context.tables, &self.context.adapter, content.clone()) {
            self.content_changed = true;
            self.configure_grants();
            if self.node.replica().is_leader() {
                let notice = ChangeNotice { revision: content.revision };
                for vm in (self.callbacks.entry_vms)() {
                    (self.callbacks.send)(&vm, FleetMessage::ChangeNotice(notice.clone()));
                }
            }
        }
    }

    /// Replies to the reads that arrived before the latest confirmation by a quorum.
    fn reply_to_reads(&mut self) {
        if self.pending_reads.is_empty() {
            return;
        }
        let confirmed =
            self.node.replica().lease_end().and_then(|end| end.checked_sub(LEASE_DURATION));
        let Some(confirmed) = confirmed else { return };
        let (ready, waiting) = std::mem::take(&mut self.pending_reads)
            .into_iter()
            .partition(|read| read.arrived_at <= confirmed);
        self.pending_reads = waiting;
        let ready: Vec<PendingRead> = ready;
        if ready.is_empty() {
            return;
        }
        let content = self.content();
        let content = (content.document.version > 0).then(|| Arc::new(content));
        for read in ready {
            let _ = read.reply.send(GroupReply::Content(content.clone()));
        }
    }

    fn publish_leader(&self) {
        let replica = self.node.replica();
        record_leader(&self.context.tables, replica.term(), replica.leader().cloned());
    }
}

/// Decodes and activates a configuration; returns whether it is newer than the active one.
pub fn activate(tables: &Tables, adapter: &ProtocolAdapter, replicated: FleetContent) -> bool {
    if tables.revision() >= replicated.revision {
        return false;
    }
    let (revision, version) = (replicated.revision, replicated.document.version);
    match (adapter.read_document)(&replicated.document.items) {
        Ok(routing) => {
            let evacuated = replicated.evacuated.len();
            let changed = tables.activate(Content { replicated, routing });
            if changed {
                log::info!(revision = revision.0, version = version, evacuated = evacuated;
                    "configuration activated");
            }
            changed
        }
        Err(error) => {
            log::error!(revision = revision.0, version = version, error:% = format!("{error:#}");
                "failed to read replicated document");
            false
        }
    }
}

/// Records the leader of a term that is not earlier than the known leader's term.
pub fn record_leader(tables: &Tables, term: Term, vm: Option<VmId>) {
    let mut leader = tables.leader.lock();
    let is_newer = term > leader.term || (term == leader.term && leader.vm.is_none());
    if !is_newer || (term == leader.term && vm.is_none()) {
        return;
    }
    *leader = Leader { term, vm };
    if let Some(vm) = &leader.vm {
        log::info!(leader = vm.as_str(), term = term.0; "control group leader changed");
    }
}

#[cfg(test)]
#[path = "group_tests.rs"]
mod tests;
