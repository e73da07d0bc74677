//! The duties of the leader.

use std::sync::Arc;
use std::time::Instant;

use celerygate_control::distribution::reports_directly;
use celerygate_control::freshness::InForce;
use celerygate_control::intents::{ExecutorAction, LeaderLease, Now, next_action};
use celerygate_control::replica::Input;
use celerygate_types::wire::{Command, Configuration};
use celerygate_types::{Term, VmId};

use super::{Control, Leading, handle, rates};
use crate::daemon::Daemon;
use crate::measure;

/// Starts a term as leader.
pub fn begin(daemon: &Daemon, control: &mut Control, term: Term, now: Instant) {
    log::warn!(term:% = term; "leadership began");
    let mut in_force = InForce::default();
    in_force.set_members(reporting(&control.configuration), now);
    in_force.committed(control.configuration.revision, now);
    daemon.tables.grants.lock().holder.set_term(term);
    if let Some(vm) = &mut control.vm {
        vm.leading = Some(Leading { term, in_force, owner: None, lease_since: None });
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
    if let Some(command) = next_command(daemon, control, now) {
        handle(daemon, control, Input::Propose(command));
    }
}

/// Returns the members and whether each reports to the leader itself.
fn reporting(configuration: &Configuration) -> impl Iterator<Item = (VmId, bool)> {
    configuration
        .members
        .iter()
        .map(|member| (member.vm.clone(), reports_directly(configuration, &member.vm)))
}

/// Returns the command that the running intents need next.
fn next_command(daemon: &Daemon, control: &Control, now: Instant) -> Option<Command> {
    let vm = control.vm.as_ref()?;
    let since = vm.leading.as_ref()?.lease_since?;
    let until = vm.node.replica().lease_end()?;
    let lease = LeaderLease { since, until };
    let measurements = measure::measurements(daemon, &control.configuration);
    let now = Now { monotonic: now, unix_ms: daemon.clock.unix_ms() };
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
        ExecutorAction::WaitUntil { .. } | ExecutorAction::Nothing => None,
    }
}
