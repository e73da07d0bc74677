//! Checks whether the configuration is current and distributes it to the daemons.

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

use super::{Control, publish_view};
use crate::daemon::Daemon;

/// Sends the periodic request whether the applied configuration is current.
pub fn poll_parent(daemon: &Arc<Daemon>) {
    let mut control = daemon.tables.control.lock();
    send_freshness_request(daemon, &mut control);
}

/// Sends a freshness request now. It also reports the applied revision.
pub fn send_freshness_request(daemon: &Daemon, control: &mut Control) {
    let now = daemon.clock.now();
    if control.is_leading(now) {
        refresh_from_lease(daemon, control);
        return;
    }
    let state = daemon.state();
    let recipients = freshness_request_recipients(daemon, control);
    let nonce = control.freshness.start_request(now);
    // A control VM receives the configuration through its log.
    let digest = if control.control_vm.is_some() || control.needs_snapshot {
        DIGEST_UNKNOWN
    } else {
        state::digest(&control.configuration)
    };
    let revision = control.configuration.revision;
    let request = FreshnessRequest { nonce, revision, digest, state };
    for to in recipients {
        daemon.peers.send(&to, Message::FreshnessRequest(request.clone()));
    }
}

/// Time without a reply after which a daemon sends its requests to all control VMs. A leader that
/// has lost its leadership is alive but does not reply, so a daemon that sends its requests only
/// to this leader would never get a reply.
const LEADER_REPLY_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Returns the recipients of a freshness request: the parent, or all control VMs while no leader is
/// known or the known one does not reply.
fn freshness_request_recipients(daemon: &Daemon, control: &Control) -> Vec<VmId> {
    let now = daemon.clock.now();
    let live: Vec<VmId> = {
        let peer_heartbeats = daemon.tables.peer_heartbeats.lock();
        peer_heartbeats.all_live(now).map(|(vm, _)| vm.clone()).collect()
    };
    let is_live = |vm: &VmId| live.contains(vm);
    let leader = control.control_vm.as_ref().and_then(|vm| vm.node.replica().leader());
    let replied_recently = control
        .last_reply_at
        .is_some_and(|at| now.saturating_duration_since(at) < LEADER_REPLY_TIMEOUT);
    let leader =
        leader.or(control.leader.as_ref()).filter(|leader| replied_recently && is_live(leader));
    match select_parent(&control.configuration, &daemon.own_vm, leader, is_live) {
        Some(Parent::Leader(vm) | Parent::Relay(vm)) => vec![vm],
        Some(Parent::Root) | None => {
            let peers = &daemon.loaded_settings.settings.peers;
            let control = peers.iter().filter(|peer| peer.control && peer.vm != daemon.own_vm);
            control.map(|peer| peer.vm.clone()).collect()
        }
    }
}

/// Renews the leader's own freshness: its lease proves that its configuration is current.
fn refresh_from_lease(daemon: &Daemon, control: &mut Control) {
    let now = daemon.clock.now();
    let nonce = control.freshness.start_request(now);
    let Some(vm) = &control.control_vm else { return };
    let replica = vm.node.replica();
    let revision = control.configuration.revision;
    if let Some(reply) = leader_reply(nonce, replica.term(), revision, replica.lease_end(), now) {
        control.leader = Some(daemon.own_vm.clone());
        control.freshness.handle_reply(&reply);
        daemon.update_fresh_until(&control.freshness);
        record_acknowledgement(daemon, control, &daemon.own_vm.clone(), revision);
    }
}

fn record_acknowledgement(daemon: &Daemon, control: &mut Control, vm: &VmId, revision: Revision) {
    let now = daemon.clock.now();
    if let Some(leadership) = control.control_vm.as_mut().and_then(|vm| vm.leadership.as_mut()) {
        leadership.in_force.record_acknowledgement(vm, revision, AckSource::Direct, now);
    }
}

/// Answers a daemon's freshness request and sends the changes that the daemon lacks.
pub fn answer_freshness_request(
    daemon: &Daemon,
    control: &mut Control,
    from: VmId,
    request: &FreshnessRequest,
) {
    let now = daemon.clock.now();
    let revision = control.configuration.revision;
    let reply = match &control.control_vm {
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
    record_acknowledgement(daemon, control, &from, request.revision);
    let receives_updates = control
        .configuration
        .members
        .iter()
        .any(|member| member.vm == from && member.role == MemberRole::Follower);
    if receives_updates {
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
    let Some(vm) = &control.control_vm else { return };
    let FreshnessRequest { revision, digest, .. } = request;
    match vm.recent_commands.update_for(&control.configuration, term, *revision, *digest) {
        Update::UpToDate => {}
        Update::Delta(delta) => {
            daemon.peers.send(to, Message::ConfigurationDelta(delta));
        }
        Update::Snapshot(snapshot) => {
            daemon.peers.send(to, Message::ConfigurationSnapshot(*snapshot));
        }
    }
}

/// Sends a change to the daemons without a disk before their next poll. A daemon that is not at the
/// revision before the change ignores it and receives what it lacks with its next poll.
pub fn push_delta(daemon: &Daemon, control: &Control, previous: (Revision, u64)) {
    if !control.is_leading(daemon.clock.now()) {
        return;
    }
    let Some(vm) = &control.control_vm else { return };
    let (configuration, term) = (&control.configuration, vm.node.replica().term());
    let Update::Delta(delta) =
        vm.recent_commands.update_for(configuration, term, previous.0, previous.1)
    else {
        return;
    };
    for member in &configuration.members {
        let is_other_follower = member.role == MemberRole::Follower && member.vm != daemon.own_vm;
        if is_other_follower && distribution::polls_leader_directly(configuration, &member.vm) {
            daemon.peers.send(&member.vm, Message::ConfigurationDelta(delta.clone()));
        }
    }
}

/// Handles the reply to a freshness request.
pub fn handle_freshness_reply(
    daemon: &Daemon,
    control: &mut Control,
    from: VmId,
    reply: &FreshnessReply,
) {
    let outcome = control.freshness.handle_reply(reply);
    match outcome {
        ReplyOutcome::Fresh(_) | ReplyOutcome::Behind { .. } => {
            if reply.age_ms == 0 {
                control.leader = Some(from);
            }
            control.last_reply_at = Some(daemon.clock.now());
            daemon.update_fresh_until(&control.freshness);
            let term = reply.term;
            daemon.tables.grants.lock().set_term(term);
        }
        ReplyOutcome::UnknownNonce => {}
        ReplyOutcome::OlderTerm | ReplyOutcome::OlderRevision => {
            log::debug!(peer:% = from, verdict:? = outcome; "outdated freshness reply ignored");
        }
    }
}

/// Applies a delta that starts at exactly the applied revision.
pub fn receive_delta(
    daemon: &Daemon,
    control: &mut Control,
    from: &VmId,
    delta: &ConfigurationDelta,
) {
    if control.control_vm.is_none() {
        let term = control.freshness.term();
        let received = distribution::receive_delta(&control.configuration, term, delta);
        apply_received(daemon, control, from, delta.term, received);
    }
}

/// Replaces the applied configuration with a later snapshot.
pub fn receive_snapshot(
    daemon: &Daemon,
    control: &mut Control,
    from: &VmId,
    snapshot: ConfigurationSnapshot,
) {
    if control.control_vm.is_none() {
        let (term, sent_term) = (control.freshness.term(), snapshot.term);
        let received = distribution::receive_snapshot(&control.configuration, term, snapshot);
        apply_received(daemon, control, from, sent_term, received);
    }
}

fn apply_received(
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
            control.needs_snapshot = false;
            control.freshness.observe_term(term);
            control.freshness.record_applied(control.configuration.revision);
            daemon.update_fresh_until(&control.freshness);
            publish_view(daemon, control);
            // Reports the applied revision to the leader without waiting for the next poll.
            send_freshness_request(daemon, control);
        }
        ReceiveOutcome::DigestDiffers => {
            log::error!(peer:% = from; "configuration differs from the leader's, fetching all of it");
            control.needs_snapshot = true;
        }
        other => log::debug!(peer:% = from, result:? = other; "received configuration not applied"),
    }
}
