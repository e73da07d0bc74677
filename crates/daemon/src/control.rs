//! The daemon's part in the control group and in the distribution of the configuration.

mod apply;
mod distribute;
mod leader;
mod rates;

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

pub use apply::first_configuration;
pub use distribute::poll_parent;
pub use rates::{accept as accept_tokens, poll_owner};

/// What a control VM has besides the applied configuration.
pub struct ControlVm {
    /// Agreement and log.
    pub node: Node,
    /// Commands that this VM proposed and that are not applied yet.
    proposals: Vec<Proposal>,
    /// Recent changes, for daemons that are behind.
    recent: RecentCommands,
    /// State of a leader; none on the others.
    leading: Option<Leading>,
}

/// State that belongs to one term of this VM as leader.
struct Leading {
    term: Term,
    in_force: InForceTracker,
    /// When the lease of this term was first held.
    lease_since: Option<Instant>,
    /// When a slot owner was last proposed.
    slot_owner_at: Option<Instant>,
    /// Rate buckets; none until the lease is gained.
    owner: Option<GrantOwner>,
}

struct Proposal {
    index: LogIndex,
    term: Term,
    applied: oneshot::Sender<Option<ApplyOutcome>>,
}

/// The daemon's part in the control group.
pub struct Control {
    /// The applied configuration.
    pub configuration: Configuration,
    /// Whether the applied configuration is current.
    pub freshness: Freshness,
    /// The leader as last heard of.
    pub leader: Option<VmId>,
    /// When a freshness request was last answered.
    answered_at: Option<Instant>,
    /// Whether a delta did not lead to the sender's configuration, so that all of it is needed.
    digest_differs: bool,
    /// Only on VMs with a disk.
    pub vm: Option<ControlVm>,
}

impl Control {
    /// Returns the state of a daemon without a disk.
    pub fn without_disk(configuration: Configuration) -> Self {
        let freshness = Freshness::new(rand::random());
        Self {
            configuration,
            freshness,
            leader: None,
            answered_at: None,
            digest_differs: false,
            vm: None,
        }
    }

    /// Opens the data folder of a control VM.
    ///
    /// # Errors
    ///
    /// When the folder cannot be read or is damaged.
    pub fn open(own: &VmId, folder: &Path, first: Configuration, now: Instant) -> Result<Self> {
        let storage = storage::open_folder(folder)
            .with_context(|| format!("open the data folder {}", folder.display()))?;
        let opened = Node::open(storage, own, rand::random(), rand::random(), now)?;
        let mut control = Self::without_disk(state::empty_configuration());
        let mut node = opened.node;
        match opened.snapshot {
            Some(snapshot) => control.configuration = snapshot.configuration,
            None if is_founder(own, &first) => {
                let found = Input::Bootstrap { configuration: Box::new(first) };
                node.handle(found, now).context("start to found the control group")?;
            }
            None => {}
        }
        let (proposals, recent) = (Vec::new(), RecentCommands::new(&control.configuration));
        control.vm = Some(ControlVm { node, proposals, recent, leading: None });
        Ok(control)
    }

    /// Returns the term as far as this daemon knows.
    pub fn term(&self) -> Term {
        let agreed = self.vm.as_ref().map_or(Term::ZERO, |vm| vm.node.replica().term());
        agreed.max(self.freshness.term())
    }

    /// Returns the leader as far as this daemon knows. A leader without a lease does not count: it
    /// may have been replaced.
    pub fn leader(&self, now: Instant) -> Option<VmId> {
        let replica = self.vm.as_ref().map(|vm| vm.node.replica());
        if replica.is_some_and(|replica| replica.is_leader() && !replica.has_lease(now)) {
            return None;
        }
        let agreed = replica.and_then(|replica| replica.leader());
        agreed.or(self.leader.as_ref()).cloned()
    }

    /// Returns whether a majority of the control VMs vote. Until then an accepted change is on too
    /// few disks to survive the loss of one.
    pub fn is_group_formed(&self) -> bool {
        let roles = self.configuration.members.iter().map(|member| member.role);
        let (mut voters, mut control_vms) = (0, 0);
        for role in roles.filter(|role| *role != MemberRole::Follower) {
            control_vms += 1;
            voters += usize::from(role == MemberRole::Voter);
        }
        2 * voters > control_vms
    }

    /// Returns the last revision that is in force everywhere; only the leader knows it.
    pub fn in_force(&mut self, now: Instant) -> Option<Revision> {
        let leading = self.vm.as_mut()?.leading.as_mut()?;
        Some(leading.in_force.revision_in_force(now))
    }

    /// Returns whether this VM leads and may act on it.
    pub fn is_leading(&self, now: Instant) -> bool {
        self.vm.as_ref().is_some_and(|vm| vm.node.replica().has_lease(now))
    }
}

/// Returns whether this VM founds the control group on the first start of a deployment.
fn is_founder(own: &VmId, first: &Configuration) -> bool {
    let control = |member: &&Member| member.role != MemberRole::Follower;
    first.members.iter().filter(control).map(|member| &member.vm).min() == Some(own)
}

/// Lets time pass for the agreement and for the leader's duties.
pub fn tick(daemon: &Arc<Daemon>) {
    let input = Input::Tick { random: rand::random() };
    let mut control = daemon.tables.control.lock();
    if control.vm.is_some() {
        handle(daemon, &mut control, input);
        leader::act(daemon, &mut control);
    }
}

/// Handles a message of the agreement or the distribution.
pub fn receive(daemon: &Arc<Daemon>, envelope: Envelope) {
    let mut control = daemon.tables.control.lock();
    let from = envelope.sender;
    match envelope.message {
        Message::FreshnessRequest(request) => {
            distribute::answer(daemon, &mut control, from, &request);
        }
        Message::FreshnessReply(reply) => distribute::accept(daemon, &mut control, from, &reply),
        Message::ConfigurationDelta(delta) => {
            distribute::receive_delta(daemon, &mut control, &from, &delta);
        }
        Message::ConfigurationSnapshot(snapshot) => {
            distribute::receive_snapshot(daemon, &mut control, &from, snapshot);
        }
        Message::GrantRequest(request) => {
            let incarnation = envelope.sender_incarnation;
            rates::answer(daemon, &mut control, &from, incarnation, &request);
        }
        message if control.vm.is_some() => {
            handle(daemon, &mut control, Input::Message { from, message });
        }
        _ => log::debug!(peer:% = from; "message for a control VM ignored"),
    }
}

/// Feeds the agreement and performs what it asks for. A failure of the disk ends the process: what
/// the disk holds is unknown, and a sync that is repeated may wrongly succeed.
fn handle(daemon: &Arc<Daemon>, control: &mut Control, input: Input) {
    let now = daemon.clock.now();
    let Some(vm) = &mut control.vm else { return };
    // The node waits for the disk; other tasks of this worker thread move to other threads.
    let handled = tokio::task::block_in_place(|| vm.node.handle(input, now));
    let outputs = match handled {
        Ok(outputs) => outputs,
        Err(error) => daemon.exit_with_error(&error.context("the control group's log failed")),
    };
    for output in outputs {
        perform(daemon, control, output, now);
    }
}

fn perform(daemon: &Arc<Daemon>, control: &mut Control, output: Output, now: Instant) {
    match output {
        Output::Send { to, message } => {
            daemon.peers.send(&to, *message);
        }
        Output::Apply(entries) => apply::apply_entries(daemon, control, entries),
        Output::InstallSnapshot(snapshot) => apply::install(daemon, control, *snapshot),
        // Answered by `propose`, which looks at the outputs itself.
        Output::Proposed { .. } | Output::ProposalRejected(_) => {}
        Output::BecameLeader(term) => leader::begin(daemon, control, term, now),
        Output::SteppedDown(term) => {
            log::warn!(term:% = term; "leadership ended");
            if let Some(vm) = &mut control.vm {
                vm.leading = None;
            }
        }
    }
}

/// Writes a command to the log and waits until it is applied.
///
/// # Errors
///
/// When this VM does not lead, or the outcome is not known in time.
pub async fn propose(daemon: &Arc<Daemon>, command: Command) -> Result<ApplyOutcome, Refusal> {
    let applied = submit(daemon, command)?;
    match tokio::time::timeout(PROPOSE_TIMEOUT, applied).await {
        Ok(Ok(Some(applied))) => Ok(applied),
        _ => Err(ResultCode::OutcomeUnknown.into()),
    }
}

/// Longest wait for a command to be applied. Two elections fit into it.
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
    let Some(vm) = &mut control.vm else { return Err(ResultCode::NotLeader.into()) };
    let handled = tokio::task::block_in_place(|| vm.node.handle(Input::Propose(command), now));
    let outputs = match handled {
        Ok(outputs) => outputs,
        Err(error) => daemon.exit_with_error(&error.context("the control group's log failed")),
    };
    let (sender, receiver) = oneshot::channel();
    let mut refused = None;
    // With a single voter the command is applied in the same call, so the proposal is registered
    // before the outputs are performed.
    for output in &outputs {
        match output {
            Output::Proposed { index, term } => {
                vm.proposals.push(Proposal { index: *index, term: *term, applied: sender });
                break;
            }
            Output::ProposalRejected(refusal) => {
                refused = Some(refusal.clone());
                break;
            }
            _ => {}
        }
    }
    for output in outputs {
        perform(daemon, &mut control, output, now);
    }
    match refused {
        None => Ok(receiver),
        Some(ProposeError::NotLeader { .. }) => Err(not_leader(&control, now)),
        Some(refusal) => Err(Refusal::with_detail(ResultCode::IntentRefused, refusal.to_string())),
    }
}

/// Returns the refusal that names the leader, when one is known.
pub fn not_leader(control: &Control, now: Instant) -> Refusal {
    let members = &control.configuration.members;
    let address = control
        .leader(now)
        .and_then(|leader| members.iter().find(|member| member.vm == leader))
        .map(|member| member.operators_address.clone());
    let code = if address.is_some() { ResultCode::NotLeader } else { ResultCode::NoLeader };
    Refusal { leader: address, ..Refusal::from(code) }
}

/// Makes the applied configuration visible to requests.
fn publish(daemon: &Daemon, control: &Control) {
    daemon.tables.set_view(View::new(control.configuration.clone()));
    idempotency::update_members(daemon);
}

/// Returns the settings' VMs as members of the first configuration.
fn members(settings: &Settings) -> Vec<Member> {
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

/// Returns what the deployment file and the settings say about the first configuration.
fn deployed(settings: &Settings, deployment: &Deployment) -> Configuration {
    Configuration {
        members: members(settings),
        regions: deployment.regions.clone(),
        organisations: deployment.organisations.clone(),
        services: deployment.services.clone(),
        links: deployment.links.clone(),
        client_blocks: deployment.client_blocks.clone(),
        ..state::empty_configuration()
    }
}
