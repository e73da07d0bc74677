//! The duties of the leader.

use std::sync::Arc;
use std::time::Instant;

use celerygate_control::freshness::InForce;
use celerygate_control::intents::{ExecutorAction, LeaderLease, Now, next_action};
use celerygate_control::replica::Input;
use celerygate_types::Term;
use celerygate_types::wire::{Command, HoldCommand, StepCommand};

use super::{Control, Leading, handle, rates};
use crate::daemon::Daemon;
use crate::measure;

/// Starts a term as leader.
pub fn begin(daemon: &Daemon, control: &mut Control, term: Term, now: Instant) {
    log::warn!(term:% = term; "leadership began");
    let mut in_force = InForce::default();
    in_force.set_members(control.configuration.members.iter().map(|member| member.vm.clone()));
    in_force.committed(control.configuration.revision, now);
    daemon.tables.grants.lock().holder.set_term(term, now);
    if let Some(vm) = &mut control.vm {
        vm.leading = Some(Leading { term, in_force, owner: None });
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
        let members = control.configuration.members.iter().map(|member| member.vm.clone());
        leading.in_force.set_members(members);
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

/// Returns the command that the running intents need next.
fn next_command(daemon: &Daemon, control: &Control, now: Instant) -> Option<Command> {
    let at_unix_ms = daemon.clock.unix_ms();
    let measurements = measure::measurements(daemon, &control.configuration);
    let action = next_action(&control.configuration, &measurements, now, at_unix_ms);
    match action {
        ExecutorAction::Step { intent, step } => {
            log::info!(intent:% = intent, step = step; "step proposed");
            Some(Command::Step(StepCommand { intent, step, at_unix_ms }))
        }
        ExecutorAction::Hold { intent, reason } => {
            log::warn!(intent:% = intent, reason = reason.as_deref().unwrap_or("none"); "hold proposed");
            Some(Command::Hold(HoldCommand { intent, reason, at_unix_ms }))
        }
        ExecutorAction::WaitUntil(_) | ExecutorAction::Nothing => None,
    }
}
