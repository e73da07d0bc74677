//! The duties of the leader.

use std::sync::Arc;
use std::time::{Duration, Instant};

use celerygate_control::distribution::polls_leader_directly;
use celerygate_control::freshness::InForceTracker;
use celerygate_control::intents::{ClockReading, ExecutorAction, LeaderLease, next_action};
use celerygate_control::replica::Input;
use celerygate_steering::lookup::rendezvous::{id_hash, mix};
use celerygate_types::wire::{Command, Configuration, SlotOwnerCommand, VmState};
use celerygate_types::{Term, VmId};

use super::{Control, Leadership, handle_input, rate_tokens};
use crate::daemon::Daemon;
use crate::measure;
use crate::tables::HEARTBEAT_TIMEOUT;

/// Shortest time between two proposals of a slot owner.
const SLOT_OWNER_INTERVAL: Duration = Duration::from_millis(200);

/// Sets up the leader's state for a new term.
pub fn start_term(daemon: &Daemon, control: &mut Control, term: Term, now: Instant) {
    log::warn!(term:% = term; "leadership began");
    let mut in_force = InForceTracker::default();
    in_force.set_members(in_force_members(&control.configuration), now);
    in_force.record_commit(control.configuration.revision, now);
    daemon.tables.grants.lock().set_term(term);
    if let Some(vm) = &mut control.control_vm {
        vm.leadership = Some(Leadership {
            term,
            in_force,
            grant_owner: None,
            lease_since: None,
            slot_owner_proposed_at: None,
        });
    }
}

/// Performs the duties that are due while this VM holds the lease: token buckets, membership
/// changes, slot owners, running intents.
pub fn perform_duties(daemon: &Arc<Daemon>, control: &mut Control) {
    let now = daemon.clock.now();
    if !control.is_leading(now) {
        return;
    }
    rate_tokens::update_grant_owner(daemon, control);
    if let Some(leadership) = control.control_vm.as_mut().and_then(|vm| vm.leadership.as_mut()) {
        leadership.lease_since.get_or_insert(now);
        leadership.in_force.set_members(in_force_members(&control.configuration), now);
    }
    let change =
        control.control_vm.as_ref().and_then(|vm| vm.node.replica().next_membership_change(now));
    if let Some(change) = change {
        log::warn!(change:? = change; "membership change proposed");
        handle_input(daemon, control, Input::Propose(Command::Membership(change)));
        return;
    }
    if let Some(command) = next_slot_owner(daemon, control, now) {
        log::info!(region:% = command.region, vm:% = command.vm; "slot owner proposed");
        handle_input(daemon, control, Input::Propose(Command::SlotOwner(command)));
        return;
    }
    if let Some(command) = next_command(daemon, control, now) {
        handle_input(daemon, control, Input::Propose(command));
    }
}

/// Returns the command that names another owner for the slot permits of a region, if one is needed.
/// The owner is a live VM of the region, or any live VM when the region has none.
fn next_slot_owner(
    daemon: &Daemon,
    control: &mut Control,
    now: Instant,
) -> Option<SlotOwnerCommand> {
    let configuration = &control.configuration;
    let leadership = control.control_vm.as_mut()?.leadership.as_mut()?;
    // A new leader may not have received every live daemon's heartbeat yet.
    let liveness_known =
        now.saturating_duration_since(leadership.lease_since?) >= HEARTBEAT_TIMEOUT;
    let own_state = daemon.state();
    let peer_heartbeats = daemon.tables.peer_heartbeats.lock();
    let is_live = |vm: &VmId| {
        let state = if *vm == daemon.own_vm {
            Some(own_state)
        } else {
            peer_heartbeats.live(vm, now).map(|peer| peer.heartbeat.state)
        };
        state.is_some_and(|state| state != VmState::Leaving)
    };
    let command = configuration.regions.iter().find_map(|region| {
        let owner = configuration.slot_owners.iter().find(|owner| owner.region == *region);
        if owner.is_some_and(|owner| !liveness_known || is_live(&owner.vm)) {
            return None;
        }
        let weight = |vm: &VmId| mix(id_hash(region.as_str()), id_hash(vm.as_str()));
        let live = configuration.members.iter().filter(|member| is_live(&member.vm));
        let best = live.max_by_key(|member| (member.region == *region, weight(&member.vm)))?;
        let changes_owner = owner.is_none_or(|owner| owner.vm != best.vm);
        changes_owner.then(|| SlotOwnerCommand { region: region.clone(), vm: best.vm.clone() })
    })?;
    // Gives a proposal time to be applied before it is repeated.
    let recently_proposed =
        leadership.slot_owner_proposed_at.is_some_and(|at| now < at + SLOT_OWNER_INTERVAL);
    if recently_proposed {
        return None;
    }
    leadership.slot_owner_proposed_at = Some(now);
    Some(command)
}

/// Returns the members and whether each polls the leader directly.
fn in_force_members(configuration: &Configuration) -> impl Iterator<Item = (VmId, bool)> {
    configuration
        .members
        .iter()
        .map(|member| (member.vm.clone(), polls_leader_directly(configuration, &member.vm)))
}

/// Returns the next command of the running intents.
fn next_command(daemon: &Daemon, control: &Control, now: Instant) -> Option<Command> {
    let vm = control.control_vm.as_ref()?;
    let since = vm.leadership.as_ref()?.lease_since?;
    let until = vm.node.replica().lease_end()?;
    let lease = LeaderLease { since, until };
    let measurements = measure::measurements(daemon, &control.configuration);
    let now = ClockReading { monotonic: now, unix_ms: daemon.clock.unix_ms() };
    match next_action(&control.configuration, &measurements, Some(lease), now) {
        ExecutorAction::Step(command) => {
            log::info!(intent:% = command.intent, step = command.step; "step proposed");
            Some(Command::Step(command))
        }
        ExecutorAction::Hold(command) => {
            let reason = command.reason.as_deref().unwrap_or_default();
            log::warn!(intent:% = command.intent, reason = reason; "intent held");
            Some(Command::Hold(command))
        }
        ExecutorAction::ClearHold(command) => {
            log::info!(intent:% = command.intent; "intent continues");
            Some(Command::Hold(command))
        }
        ExecutorAction::WaitUntil { .. } | ExecutorAction::Idle => None,
    }
}
