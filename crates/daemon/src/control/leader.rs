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

use super::{Control, Leading, handle, rates};
use crate::daemon::Daemon;
use crate::measure;
use crate::tables::HEARTBEAT_TIMEOUT;

/// Shortest time between two proposals of a slot owner.
const SLOT_OWNER_INTERVAL: Duration = Duration::from_millis(200);

/// Starts a term as leader.
pub fn begin(daemon: &Daemon, control: &mut Control, term: Term, now: Instant) {
    log::warn!(term:% = term; "leadership began");
    let mut in_force = InForceTracker::default();
    in_force.set_members(reporting(&control.configuration), now);
    in_force.record_commit(control.configuration.revision, now);
    daemon.tables.grants.lock().set_term(term);
    if let Some(vm) = &mut control.vm {
        vm.leading =
            Some(Leading { term, in_force, owner: None, lease_since: None, slot_owner_at: None });
    }
}

/// Does what is due while the lease is held: membership, buckets, running intents.
pub fn act(daemon: &Arc<Daemon>, control: &mut Control) {
    let now = daemon.clock.now();
    if !control.is_leading(now) {
        return;
    }
    rates::maintain_owner(daemon, control);
    if let Some(leading) = control.vm.as_mut().and_then(|vm| vm.leading.as_mut()) {
        leading.lease_since.get_or_insert(now);
        leading.in_force.set_members(reporting(&control.configuration), now);
    }
    let change = control.vm.as_ref().and_then(|vm| vm.node.replica().next_membership_change(now));
    if let Some(change) = change {
        log::warn!(change:? = change; "membership change proposed");
        handle(daemon, control, Input::Propose(Command::Membership(change)));
        return;
    }
    if let Some(command) = next_slot_owner(daemon, control, now) {
        log::info!(region:% = command.region, vm:% = command.vm; "slot owner proposed");
        handle(daemon, control, Input::Propose(Command::SlotOwner(command)));
        return;
    }
    if let Some(command) = next_command(daemon, control, now) {
        handle(daemon, control, Input::Propose(command));
    }
}

/// Returns the next region whose slot permits need another owner: a live VM of the region, or any
/// live VM when the region has none.
fn next_slot_owner(
    daemon: &Daemon,
    control: &mut Control,
    now: Instant,
) -> Option<SlotOwnerCommand> {
    let configuration = &control.configuration;
    let leading = control.vm.as_mut()?.leading.as_mut()?;
    // A daemon is known as live one heartbeat after this term began at the earliest.
    let settled = now.saturating_duration_since(leading.lease_since?) >= HEARTBEAT_TIMEOUT;
    let own_state = daemon.state();
    let peer_heartbeats = daemon.tables.peer_heartbeats.lock();
    let is_live = |vm: &VmId| {
        let state = if *vm == daemon.own_vm {
            Some(own_state)
        } else {
            peer_heartbeats.live(vm, now).map(|known| known.heartbeat.state)
        };
        state.is_some_and(|state| state != VmState::Leaving)
    };
    let command = configuration.regions.iter().find_map(|region| {
        let owner = configuration.slot_owners.iter().find(|owner| owner.region == *region);
        if owner.is_some_and(|owner| !settled || is_live(&owner.vm)) {
            return None;
        }
        let weight = |vm: &VmId| mix(id_hash(region.as_str()), id_hash(vm.as_str()));
        let live = configuration.members.iter().filter(|member| is_live(&member.vm));
        let best = live.max_by_key(|member| (member.region == *region, weight(&member.vm)))?;
        let moved = owner.is_none_or(|owner| owner.vm != best.vm);
        moved.then(|| SlotOwnerCommand { region: region.clone(), vm: best.vm.clone() })
    })?;
    // A proposal that is not applied yet is not repeated with every tick.
    let repeated = leading.slot_owner_at.is_some_and(|at| now < at + SLOT_OWNER_INTERVAL);
    if repeated {
        return None;
    }
    leading.slot_owner_at = Some(now);
    Some(command)
}

/// Returns the members and whether each reports to the leader itself.
fn reporting(configuration: &Configuration) -> impl Iterator<Item = (VmId, bool)> {
    configuration
        .members
        .iter()
        .map(|member| (member.vm.clone(), polls_leader_directly(configuration, &member.vm)))
}

/// Returns the command that the running intents need next.
fn next_command(daemon: &Daemon, control: &Control, now: Instant) -> Option<Command> {
    let vm = control.vm.as_ref()?;
    let since = vm.leading.as_ref()?.lease_since?;
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
