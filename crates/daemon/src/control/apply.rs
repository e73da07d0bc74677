//! Applying committed commands on a control VM.

use std::sync::Arc;

use celerygate_control::distribution::RecentCommands;
use celerygate_control::state::{self, ApplyOutcome};
use celerygate_types::wire::{
    Command, Configuration, Deployment, LogEntry, Settings, SnapshotRecord,
};

use super::{Control, deployed, distribute, publish};
use crate::daemon::Daemon;
use crate::idempotency;

/// Returns the first configuration of a deployment.
pub fn first_configuration(settings: &Settings, deployment: &Deployment) -> Configuration {
    deployed(settings, deployment)
}

/// Applies entries in their order, answers the proposals among them, and publishes the result.
pub fn apply_entries(daemon: &Arc<Daemon>, control: &mut Control, entries: Vec<LogEntry>) {
    let before = control.configuration.revision;
    let newest = control.vm.as_ref().map(|vm| vm.recent.newest());
    for entry in &entries {
        let applied = state::apply(&mut control.configuration, &entry.command);
        log_applied(entry, &applied, control);
        if let Command::Bootstrap(first) = &entry.command
            && is_founding_store(daemon, control, first)
        {
            idempotency::mark_founded(daemon);
        }
        if let Some(vm) = &mut control.vm {
            vm.recent.push(&control.configuration, &entry.command, &applied);
        }
        answer_proposals(control, entry, &applied);
    }
    if control.configuration.revision != before {
        note_revision(daemon, control);
        publish(daemon, control);
        if let Some(newest) = newest {
            distribute::push(daemon, control, newest);
        }
        // Tells the leader, or the leader's own record, that the change is applied here.
        distribute::ask(daemon, control);
    }
    store_snapshot_if_due(daemon, control);
}

/// Replaces the applied configuration by a snapshot.
pub fn install(daemon: &Arc<Daemon>, control: &mut Control, snapshot: SnapshotRecord) {
    log::info!(
        revision:% = snapshot.configuration.revision, index:% = snapshot.last_index;
        "snapshot installed"
    );
    control.configuration = snapshot.configuration;
    if let Some(vm) = &mut control.vm {
        vm.recent = RecentCommands::new(&control.configuration);
        // Whether these commands are part of the snapshot is not known here.
        vm.proposals.clear();
    }
    note_revision(daemon, control);
    publish(daemon, control);
}

/// Returns whether the group was founded with the data folder that this VM has now. A folder that
/// replaced a lost one has another identity.
fn is_founding_store(daemon: &Daemon, control: &Control, first: &Configuration) -> bool {
    let store_id = control.vm.as_ref().map(|vm| vm.node.store_id());
    let own = first.members.iter().find(|member| member.vm == daemon.own_vm);
    store_id.is_some() && own.is_some_and(|own| own.store_id == store_id)
}

fn log_applied(entry: &LogEntry, applied: &ApplyOutcome, control: &Control) {
    let (kind, intent) = describe(&entry.command);
    log::info!(
        index:% = entry.index, term:% = entry.term, command = kind, intent = intent,
        result:? = applied, revision:% = control.configuration.revision;
        "command applied"
    );
}

fn describe(command: &Command) -> (&'static str, &str) {
    match command {
        Command::Noop(_) => ("noop", ""),
        Command::Bootstrap(_) => ("bootstrap", ""),
        Command::Propose(command) => ("propose", command.intent.as_str()),
        Command::Confirm(command) => ("confirm", command.intent.as_str()),
        Command::Step(command) => ("step", command.intent.as_str()),
        Command::Hold(command) => ("hold", command.intent.as_str()),
        Command::Membership(_) => ("membership", ""),
        Command::SlotOwner(_) => ("slot-owner", ""),
        Command::Document(command) => ("document", command.digest.as_str()),
        Command::Evacuate(command) => ("evacuate", command.data_centre.as_str()),
    }
}

fn answer_proposals(control: &mut Control, entry: &LogEntry, applied: &ApplyOutcome) {
    let Some(vm) = &mut control.vm else { return };
    let mut open = Vec::with_capacity(vm.proposals.len());
    for proposal in vm.proposals.drain(..) {
        if proposal.index != entry.index {
            open.push(proposal);
            continue;
        }
        // Another term at this position means that another leader's entry replaced the proposal.
        let outcome = (proposal.term == entry.term).then(|| applied.clone());
        let _ = proposal.applied.send(outcome);
    }
    vm.proposals = open;
}

/// Tells freshness and the leader's record about the applied revision.
fn note_revision(daemon: &Daemon, control: &mut Control) {
    let (revision, now) = (control.configuration.revision, daemon.clock.now());
    control.freshness.record_applied(revision);
    daemon.update_fresh_until(&control.freshness);
    if let Some(leading) = control.vm.as_mut().and_then(|vm| vm.leading.as_mut()) {
        leading.in_force.record_commit(revision, now);
    }
}

fn store_snapshot_if_due(daemon: &Daemon, control: &mut Control) {
    let configuration = &control.configuration;
    let Some(vm) = &mut control.vm else { return };
    if !vm.node.is_snapshot_due() {
        return;
    }
    let stored = tokio::task::block_in_place(|| vm.node.store_snapshot(configuration.clone()));
    if let Err(error) = stored {
        daemon.exit_with_error(&error.context("the snapshot could not be stored"));
    }
}
