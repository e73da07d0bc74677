//! Freshness and the distribution of the configuration to daemons.

use std::sync::Arc;
use std::time::Duration;

use celerygate_control::distribution::{
    self, DIGEST_UNKNOWN, Parent, ReceiveOutcome, Update, select_parent,
};
use celerygate_control::freshness::{AckSource, ReplyOutcome, leader_reply, relay_reply};
use celerygate_control::state;
use celerygate_types::wire::{
    ConfigurationDelta, ConfigurationSnapshot, FreshnessReply, FreshnessRequest, MemberRole,
    Message,
};
use celerygate_types::{Revision, Term, VmId};

use super::{Control, publish};
use crate::daemon::Daemon;

/// Asks whether the applied configuration is current.
pub fn poll_parent(daemon: &Arc<Daemon>) {
    let mut control = daemon.tables.control.lock();
    ask(daemon, &mut control);
}

/// Asks now; also tells the parent which revision is applied.
pub fn ask(daemon: &Daemon, control: &mut Control) {
    let now = daemon.clock.now();
    if control.is_leading(now) {
        answer_own(daemon, control);
        return;
    }
    let state = daemon.state();
    let receivers = receivers(daemon, control);
    let nonce = control.freshness.start_request(now);
    // A control VM receives the configuration through its log.
    let digest = if control.vm.is_some() || control.digest_differs {
        DIGEST_UNKNOWN
    } else {
        state::digest(&control.configuration)
    };
    let revision = control.configuration.revision;
    let request = FreshnessRequest { nonce, revision, digest, state };
    for to in receivers {
        daemon.peers.send(&to, Message::FreshnessRequest(request.clone()));
    }
}

/// Time without an answer after which a daemon asks all control VMs. A leader that has lost its
/// office answers nothing although it is alive, so asking it alone would never end.
const LEADER_SILENCE: Duration = Duration::from_millis(1_000);

/// Returns whom to ask: the parent, or all control VMs while no leader is known or the known one
/// does not answer.
fn receivers(daemon: &Daemon, control: &Control) -> Vec<VmId> {
    let now = daemon.clock.now();
    let live: Vec<VmId> = {
        let peer_heartbeats = daemon.tables.peer_heartbeats.lock();
        peer_heartbeats.all_live(now).map(|(vm, _)| vm.clone()).collect()
    };
    let is_live = |vm: &VmId| live.contains(vm);
    let leader = control.vm.as_ref().and_then(|vm| vm.node.replica().leader());
    let answered =
        control.answered_at.is_some_and(|at| now.saturating_duration_since(at) < LEADER_SILENCE);
    let leader = leader.or(control.leader.as_ref()).filter(|leader| answered && is_live(leader));
    match select_parent(&control.configuration, &daemon.own_vm, leader, is_live) {
        Some(Parent::Leader(vm) | Parent::Relay(vm)) => vec![vm],
        Some(Parent::Root) | None => {
            let peers = &daemon.loaded_settings.settings.peers;
            let control = peers.iter().filter(|peer| peer.control && peer.vm != daemon.own_vm);
            control.map(|peer| peer.vm.clone()).collect()
        }
    }
}

/// A leader knows from its lease that its own configuration is current.
fn answer_own(daemon: &Daemon, control: &mut Control) {
    let now = daemon.clock.now();
    let nonce = control.freshness.start_request(now);
    let Some(vm) = &control.vm else { return };
    let replica = vm.node.replica();
    let revision = control.configuration.revision;
    if let Some(reply) = leader_reply(nonce, replica.term(), revision, replica.lease_end(), now) {
        control.leader = Some(daemon.own_vm.clone());
        control.freshness.handle_reply(&reply);
        daemon.update_fresh_until(&control.freshness);
        note_acknowledged(daemon, control, &daemon.own_vm.clone(), revision);
    }
}

fn note_acknowledged(daemon: &Daemon, control: &mut Control, vm: &VmId, revision: Revision) {
    let now = daemon.clock.now();
    if let Some(leading) = control.vm.as_mut().and_then(|vm| vm.leading.as_mut()) {
        leading.in_force.record_acknowledgement(vm, revision, AckSource::Direct, now);
    }
}

/// Answers a daemon's question whether its configuration is current, and sends what it lacks.
pub fn answer(daemon: &Daemon, control: &mut Control, from: VmId, request: &FreshnessRequest) {
    let now = daemon.clock.now();
    let revision = control.configuration.revision;
    let reply = match &control.vm {
        Some(vm) => {
            let replica = vm.node.replica();
            leader_reply(request.nonce, replica.term(), revision, replica.lease_end(), now)
        }
        None => {
            let freshness = &control.freshness;
            relay_reply(request.nonce, freshness.term(), freshness.known_commit(), now)
        }
    };
    let Some(reply) = reply else { return };
    let term = reply.term;
    daemon.peers.send(&from, Message::FreshnessReply(reply));
    note_acknowledged(daemon, control, &from, request.revision);
    let takes_updates = control
        .configuration
        .members
        .iter()
        .any(|member| member.vm == from && member.role == MemberRole::Follower);
    if takes_updates {
        send_update(daemon, control, &from, request, term);
    }
}

fn send_update(
    daemon: &Daemon,
    control: &Control,
    to: &VmId,
    request: &FreshnessRequest,
    term: Term,
) {
    let Some(vm) = &control.vm else { return };
    let FreshnessRequest { revision, digest, .. } = request;
    match vm.recent.update_for(&control.configuration, term, *revision, *digest) {
        Update::UpToDate => {}
        Update::Delta(delta) => {
            daemon.peers.send(to, Message::ConfigurationDelta(delta));
        }
        Update::Snapshot(snapshot) => {
            daemon.peers.send(to, Message::ConfigurationSnapshot(*snapshot));
        }
    }
}

/// Sends a change to the daemons without a disk, without waiting for their next poll. A daemon that
/// does not stand at the revision before the change ignores it and gets what it lacks when it asks.
pub fn push(daemon: &Daemon, control: &Control, before: (Revision, u64)) {
    if !control.is_leading(daemon.clock.now()) {
        return;
    }
    let Some(vm) = &control.vm else { return };
    let (configuration, term) = (&control.configuration, vm.node.replica().term());
    let Update::Delta(delta) = vm.recent.update_for(configuration, term, before.0, before.1) else {
        return;
    };
    for member in &configuration.members {
        let follows = member.role == MemberRole::Follower && member.vm != daemon.own_vm;
        if follows && distribution::polls_leader_directly(configuration, &member.vm) {
            daemon.peers.send(&member.vm, Message::ConfigurationDelta(delta.clone()));
        }
    }
}

/// Handles the answer to a freshness request.
pub fn accept(daemon: &Daemon, control: &mut Control, from: VmId, reply: &FreshnessReply) {
    let verdict = control.freshness.handle_reply(reply);
    match verdict {
        ReplyOutcome::Fresh(_) | ReplyOutcome::Behind { .. } => {
            if reply.age_ms == 0 {
                control.leader = Some(from);
            }
            control.answered_at = Some(daemon.clock.now());
            daemon.update_fresh_until(&control.freshness);
            let term = reply.term;
            daemon.tables.grants.lock().set_term(term);
        }
        ReplyOutcome::UnknownNonce => {}
        ReplyOutcome::OlderTerm | ReplyOutcome::OlderRevision => {
            log::debug!(peer:% = from, verdict:? = verdict; "freshness reply refused");
        }
    }
}

/// Applies changes that lead from exactly the applied revision to a later one.
pub fn receive_delta(
    daemon: &Daemon,
    control: &mut Control,
    from: &VmId,
    delta: &ConfigurationDelta,
) {
    if control.vm.is_none() {
        let term = control.freshness.term();
        let received = distribution::receive_delta(&control.configuration, term, delta);
        adopt(daemon, control, from, delta.term, received);
    }
}

/// Replaces the applied configuration by a later one.
pub fn receive_snapshot(
    daemon: &Daemon,
    control: &mut Control,
    from: &VmId,
    snapshot: ConfigurationSnapshot,
) {
    if control.vm.is_none() {
        let (term, sent_term) = (control.freshness.term(), snapshot.term);
        let received = distribution::receive_snapshot(&control.configuration, term, snapshot);
        adopt(daemon, control, from, sent_term, received);
    }
}

fn adopt(
    daemon: &Daemon,
    control: &mut Control,
    from: &VmId,
    term: Term,
    received: ReceiveOutcome,
) {
    match received {
        ReceiveOutcome::Applied(configuration) => {
            log::info!(
                peer:% = from, before:% = control.configuration.revision,
                revision:% = configuration.revision;
                "configuration received"
            );
            control.configuration = *configuration;
            control.digest_differs = false;
            control.freshness.observe_term(term);
            control.freshness.record_applied(control.configuration.revision);
            daemon.update_fresh_until(&control.freshness);
            publish(daemon, control);
            // The leader learns at once that the change is applied here.
            ask(daemon, control);
        }
        ReceiveOutcome::DigestDiffers => {
            log::error!(peer:% = from; "configuration differs from the leader's, fetching all of it");
            control.digest_differs = true;
        }
        other => log::debug!(peer:% = from, result:? = other; "configuration not adopted"),
    }
}
