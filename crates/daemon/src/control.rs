//! Takes part in the control group and distributes the configuration to the other daemons.

mod apply;
mod distribute;
mod leader;
mod rate_tokens;

use std::path::Path;
use std::sync::Arc;
use std::time::Instant;

use anyhow::{Context, Result};
use celerygate_control::distribution::RecentCommands;
use celerygate_control::freshness::{Freshness, InForceTracker};
use celerygate_control::node::{Node, Output};
use celerygate_control::replica::{Input, ProposeError};
use celerygate_control::state::{self, ApplyOutcome};
use celerygate_control::storage;
use celerygate_steering::grants::GrantOwner;
use celerygate_types::wire::{
    Command, Configuration, Deployment, Envelope, Member, MemberRole, Message, Settings,
};
use celerygate_types::{LogIndex, ResultCode, Revision, Term, VmId};
use tokio::sync::oneshot;

use crate::daemon::Daemon;
use crate::idempotency;
use crate::refusal::Refusal;
use crate::view::View;

pub use apply::initial_configuration;
pub use distribute::poll_parent;
pub use rate_tokens::{accept_tokens, request_tokens};

/// State that only a control VM has.
pub struct ControlVm {
    /// Replica of the control group's log.
    pub node: Node,
    /// Commands that this VM proposed and has not applied yet.
    proposals: Vec<Proposal>,
    /// Recently applied commands, sent as deltas to daemons that are behind.
    recent_commands: RecentCommands,
    /// State of the current term as leader; `None` on followers.
    leadership: Option<Leadership>,
}

/// State of one term of this VM as leader.
struct Leadership {
    term: Term,
    in_force: InForceTracker,
    /// When this VM first held the lease in this term.
    lease_since: Option<Instant>,
    /// When this VM last proposed a slot owner.
    slot_owner_proposed_at: Option<Instant>,
    /// Token buckets of the organisations; `None` until this VM holds the lease.
    grant_owner: Option<GrantOwner>,
}

struct Proposal {
    index: LogIndex,
    term: Term,
    outcome_sender: oneshot::Sender<Option<ApplyOutcome>>,
}

/// State of the control group on this daemon.
pub struct Control {
    /// The applied configuration.
    pub configuration: Configuration,
    /// Whether the applied configuration is current.
    pub freshness: Freshness,
    /// Leader according to the last freshness reply.
    pub leader: Option<VmId>,
    /// Arrival of the last freshness reply.
    last_reply_at: Option<Instant>,
    /// Whether the configuration after a delta had a digest other than the sender's, so that a
    /// snapshot is needed.
    needs_snapshot: bool,
    /// State of a control VM; `None` on the other VMs, which have no disk.
    pub control_vm: Option<ControlVm>,
}

impl Control {
    /// Returns the state of a daemon that is not a control VM.
    pub fn without_disk(configuration: Configuration) -> Self {
        let freshness = Freshness::new(rand::random());
        Self {
            configuration,
            freshness,
            leader: None,
            last_reply_at: None,
            needs_snapshot: false,
            control_vm: None,
        }
    }

    /// Opens the data folder of a control VM.
    ///
    /// # Errors
    ///
    /// When the folder cannot be read or is damaged.
    pub fn open(own: &VmId, folder: &Path, initial: Configuration, now: Instant) -> Result<Self> {
        let storage = storage::open_folder(folder)
            .with_context(|| format!("failed to open the data folder {}", folder.display()))?;
        let opened = Node::open(storage, own, rand::random(), rand::random(), now)?;
        let mut control = Self::without_disk(state::empty_configuration());
        let mut node = opened.node;
        match opened.snapshot {
            Some(snapshot) => control.configuration = snapshot.configuration,
            None if is_bootstrap_vm(own, &initial) => {
                let bootstrap = Input::Bootstrap { configuration: Box::new(initial) };
                node.handle(bootstrap, now).context("failed to bootstrap the control group")?;
            }
            None => {}
        }
        let (proposals, recent_commands) =
            (Vec::new(), RecentCommands::new(&control.configuration));
        control.control_vm = Some(ControlVm { node, proposals, recent_commands, leadership: None });
        Ok(control)
    }

    /// Returns the highest term that this daemon knows.
    pub fn term(&self) -> Term {
        let replica_term =
            self.control_vm.as_ref().map_or(Term::ZERO, |vm| vm.node.replica().term());
        replica_term.max(self.freshness.term())
    }

    /// Returns the leader that this daemon knows. Returns `None` when this VM leads without a
    /// lease, because another leader may have replaced it.
    pub fn leader(&self, now: Instant) -> Option<VmId> {
        let replica = self.control_vm.as_ref().map(|vm| vm.node.replica());
        if replica.is_some_and(|replica| replica.is_leader() && !replica.has_lease(now)) {
            return None;
        }
        let replica_leader = replica.and_then(|replica| replica.leader());
        replica_leader.or(self.leader.as_ref()).cloned()
    }

    /// Returns whether a majority of the control VMs are voters. Until then too few disks hold an
    /// accepted change for it to survive the loss of one.
    pub fn is_group_formed(&self) -> bool {
        let roles = self.configuration.members.iter().map(|member| member.role);
        let (mut voters, mut control_vms) = (0, 0);
        for role in roles.filter(|role| *role != MemberRole::Follower) {
            control_vms += 1;
            voters += usize::from(role == MemberRole::Voter);
        }
        2 * voters > control_vms
    }

    /// Returns the latest revision that is in force on every VM; `None` unless this VM leads.
    pub fn in_force(&mut self, now: Instant) -> Option<Revision> {
        let leadership = self.control_vm.as_mut()?.leadership.as_mut()?;
        Some(leadership.in_force.revision_in_force(now))
    }

    /// Returns whether this VM leads and holds the lease.
    pub fn is_leading(&self, now: Instant) -> bool {
        self.control_vm.as_ref().is_some_and(|vm| vm.node.replica().has_lease(now))
    }
}

/// Returns whether this VM bootstraps the control group on the first start of a deployment.
fn is_bootstrap_vm(own: &VmId, initial: &Configuration) -> bool {
    let control = |member: &&Member| member.role != MemberRole::Follower;
    initial.members.iter().filter(control).map(|member| &member.vm).min() == Some(own)
}

/// Advances the timers of the replica and performs the leader's duties.
pub fn tick(daemon: &Arc<Daemon>) {
    let input = Input::Tick { random: rand::random() };
    let mut control = daemon.tables.control.lock();
    if control.control_vm.is_some() {
        handle_input(daemon, &mut control, input);
        leader::perform_duties(daemon, &mut control);
    }
}

/// Handles a message of the replication protocol or of the distribution.
pub fn receive(daemon: &Arc<Daemon>, envelope: Envelope) {
    let mut control = daemon.tables.control.lock();
    let from = envelope.sender;
    match envelope.message {
        Message::FreshnessRequest(request) => {
            distribute::answer_freshness_request(daemon, &mut control, from, &request);
        }
        Message::FreshnessReply(reply) => {
            distribute::handle_freshness_reply(daemon, &mut control, from, &reply)
        }
        Message::ConfigurationDelta(delta) => {
            distribute::receive_delta(daemon, &mut control, &from, &delta);
        }
        Message::ConfigurationSnapshot(snapshot) => {
            distribute::receive_snapshot(daemon, &mut control, &from, snapshot);
        }
        Message::GrantRequest(request) => {
            let incarnation = envelope.sender_incarnation;
            rate_tokens::answer_token_request(daemon, &mut control, &from, incarnation, &request);
        }
        message if control.control_vm.is_some() => {
            handle_input(daemon, &mut control, Input::Message { from, message });
        }
        _ => log::debug!(peer:% = from; "message for a control VM ignored"),
    }
}

/// Passes an input to the replica and handles its outputs. A disk failure ends the process: the
/// content of the disk is then unknown, and a repeated sync may wrongly succeed.
fn handle_input(daemon: &Arc<Daemon>, control: &mut Control, input: Input) {
    let now = daemon.clock.now();
    let Some(vm) = &mut control.control_vm else { return };
    // The node blocks on the disk; tokio moves the other tasks of this worker to other threads.
    let handled = tokio::task::block_in_place(|| vm.node.handle(input, now));
    let outputs = match handled {
        Ok(outputs) => outputs,
        Err(error) => daemon.exit_with_error(&error.context("the control group's log failed")),
    };
    for output in outputs {
        handle_output(daemon, control, output, now);
    }
}

fn handle_output(daemon: &Arc<Daemon>, control: &mut Control, output: Output, now: Instant) {
    match output {
        Output::Send { to, message } => {
            daemon.peers.send(&to, *message);
        }
        Output::Apply(entries) => apply::apply_entries(daemon, control, entries),
        Output::InstallSnapshot(snapshot) => apply::install_snapshot(daemon, control, *snapshot),
        // Handled in `submit`, which inspects these outputs itself.
        Output::Proposed { .. } | Output::ProposalRejected(_) => {}
        Output::BecameLeader(term) => leader::start_term(daemon, control, term, now),
        Output::SteppedDown(term) => {
            log::warn!(term:% = term; "leadership ended");
            if let Some(vm) = &mut control.control_vm {
                vm.leadership = None;
            }
        }
    }
}

/// Appends a command to the replicated log and waits until this VM has applied it.
///
/// # Errors
///
/// `NotLeader` or `NoLeader` when this VM does not lead, `IntentRefused` when the replica rejects
/// the command, `OutcomeUnknown` when the outcome is not known within `PROPOSE_TIMEOUT`.
pub async fn propose(daemon: &Arc<Daemon>, command: Command) -> Result<ApplyOutcome, Refusal> {
    let receiver = submit(daemon, command)?;
    match tokio::time::timeout(PROPOSE_TIMEOUT, receiver).await {
        Ok(Ok(Some(outcome))) => Ok(outcome),
        _ => Err(ResultCode::OutcomeUnknown.into()),
    }
}

/// Longest wait for a command to be applied; two elections fit into it.
const PROPOSE_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(5);

fn submit(
    daemon: &Arc<Daemon>,
    command: Command,
) -> Result<oneshot::Receiver<Option<ApplyOutcome>>, Refusal> {
    let now = daemon.clock.now();
    let mut control = daemon.tables.control.lock();
    if !control.is_leading(now) {
        return Err(not_leader(&control, now));
    }
    let Some(vm) = &mut control.control_vm else { return Err(ResultCode::NotLeader.into()) };
    let handled = tokio::task::block_in_place(|| vm.node.handle(Input::Propose(command), now));
    let outputs = match handled {
        Ok(outputs) => outputs,
        Err(error) => daemon.exit_with_error(&error.context("the control group's log failed")),
    };
    let (sender, receiver) = oneshot::channel();
    let mut rejection = None;
    // With a single voter the same call applies the command, so the proposal must be registered
    // before the outputs are handled.
    for output in &outputs {
        match output {
            Output::Proposed { index, term } => {
                vm.proposals.push(Proposal { index: *index, term: *term, outcome_sender: sender });
                break;
            }
            Output::ProposalRejected(error) => {
                rejection = Some(error.clone());
                break;
            }
            _ => {}
        }
    }
    for output in outputs {
        handle_output(daemon, &mut control, output, now);
    }
    match rejection {
        None => Ok(receiver),
        Some(ProposeError::NotLeader { .. }) => Err(not_leader(&control, now)),
        Some(error) => Err(Refusal::with_detail(ResultCode::IntentRefused, error.to_string())),
    }
}

/// Returns the refusal for a request that needs the leader, with the leader's address if known.
pub fn not_leader(control: &Control, now: Instant) -> Refusal {
    let members = &control.configuration.members;
    let address = control
        .leader(now)
        .and_then(|leader| members.iter().find(|member| member.vm == leader))
        .map(|member| member.operators_address.clone());
    let code = if address.is_some() { ResultCode::NotLeader } else { ResultCode::NoLeader };
    Refusal { leader: address, ..Refusal::from(code) }
}

/// Makes the applied configuration visible to the request path.
fn publish_view(daemon: &Daemon, control: &Control) {
    daemon.tables.set_view(View::new(control.configuration.clone()));
    idempotency::update_members(daemon);
}

/// Returns the VMs of the settings as members of the initial configuration.
fn initial_members(settings: &Settings) -> Vec<Member> {
    let member = |peer: &celerygate_types::wire::PeerSettings| Member {
        vm: peer.vm.clone(),
        region: peer.region.clone(),
        data_centre: peer.data_centre.clone(),
        role: if peer.control { MemberRole::Learner } else { MemberRole::Follower },
        store_id: None,
        callers_address: peer.callers.clone(),
        operators_address: peer.operators.clone(),
        peer_address: peer.peers.clone(),
    };
    settings.peers.iter().map(member).collect()
}

/// Builds the initial configuration from the deployment file and the settings.
fn deployment_configuration(settings: &Settings, deployment: &Deployment) -> Configuration {
    Configuration {
        members: initial_members(settings),
        regions: deployment.regions.clone(),
        organisations: deployment.organisations.clone(),
        services: deployment.services.clone(),
        links: deployment.links.clone(),
        client_blocks: deployment.client_blocks.clone(),
        ..state::empty_configuration()
    }
}
