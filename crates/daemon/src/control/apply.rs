//! Applies committed commands on a control VM.

use std::sync::Arc;

use celerygate_control::distribution::RecentCommands;
use celerygate_control::state::{self, ApplyOutcome};
use celerygate_types::wire::{
    Command, Configuration, Deployment, LogEntry, Settings, SnapshotRecord,
};

use super::{Control, deployment_configuration, distribute, publish_view};
use crate::daemon::Daemon;
use crate::idempotency;

/// Returns the initial configuration of a deployment.
pub fn initial_configuration(settings: &Settings, deployment: &Deployment) -> Configuration {
    deployment_configuration(settings, deployment)
}

/// Applies entries in log order, completes this VM's proposals among them, and publishes the
/// resulting configuration.
pub fn apply_entries(daemon: &Arc<Daemon>, control: &mut Control, entries: Vec<LogEntry>) {
    let before = control.configuration.revision;
    let newest = control.control_vm.as_ref().map(|vm| vm.recent_commands.newest());
    for entry in &entries {
        let outcome = state::apply(&mut control.configuration, &entry.command);
        log_applied(entry, &outcome, control);
        if let Command::Bootstrap(initial) = &entry.command
            && is_bootstrap_store(daemon, control, initial)
        {
            idempotency::mark_bootstrapped(daemon);
        }
        if let Some(vm) = &mut control.control_vm {
            vm.recent_commands.push(&control.configuration, &entry.command, &outcome);
        }
        complete_proposals(control, entry, &outcome);
    }
    if control.configuration.revision != before {
        record_applied_revision(daemon, control);
        publish_view(daemon, control);
        if let Some(newest) = newest {
            distribute::push_delta(daemon, control, newest);
        }
        // Reports to the leader (or in the leader's own tracker) that this VM applied the change.
        distribute::send_freshness_request(daemon, control);
    }
    store_snapshot_if_due(daemon, control);
}

/// Replaces the applied configuration with a snapshot.
pub fn install_snapshot(daemon: &Arc<Daemon>, control: &mut Control, snapshot: SnapshotRecord) {
    log::info!(
        revision:% = snapshot.configuration.revision, index:% = snapshot.last_index;
        "snapshot installed"
    );
    control.configuration = snapshot.configuration;
    if let Some(vm) = &mut control.control_vm {
        vm.recent_commands = RecentCommands::new(&control.configuration);
        // The snapshot does not show whether it contains these commands, so their outcome is
        // unknown.
        vm.proposals.clear();
    }
    record_applied_revision(daemon, control);
    publish_view(daemon, control);
}

/// Returns whether this VM's data folder is the one that the group was bootstrapped with. A folder
/// that replaced a lost one has another store id.
fn is_bootstrap_store(daemon: &Daemon, control: &Control, initial: &Configuration) -> bool {
    let store_id = control.control_vm.as_ref().map(|vm| vm.node.store_id());
    let own = initial.members.iter().find(|member| member.vm == daemon.own_vm);
    store_id.is_some() && own.is_some_and(|own| own.store_id == store_id)
}

fn log_applied(entry: &LogEntry, outcome: &ApplyOutcome, control: &Control) {
    let (kind, intent) = describe(&entry.command);
    log::info!(
        index:% = entry.index, term:% = entry.term, command = kind, intent = intent,
        result:? = outcome, revision:% = control.configuration.revision;
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

fn complete_proposals(control: &mut Control, entry: &LogEntry, outcome: &ApplyOutcome) {
    let Some(vm) = &mut control.control_vm else { return };
    let mut pending = Vec::with_capacity(vm.proposals.len());
    for proposal in vm.proposals.drain(..) {
        if proposal.index != entry.index {
            pending.push(proposal);
            continue;
        }
        // An entry of another term at this index means that another leader overwrote the proposal.
        let result = (proposal.term == entry.term).then(|| outcome.clone());
        let _ = proposal.outcome_sender.send(result);
    }
    vm.proposals = pending;
}

/// Records the applied revision for the freshness check and in the leader's in-force tracker.
fn record_applied_revision(daemon: &Daemon, control: &mut Control) {
    let (revision, now) = (control.configuration.revision, daemon.clock.now());
    control.freshness.record_applied(revision);
    daemon.update_fresh_until(&control.freshness);
    if let Some(leadership) = control.control_vm.as_mut().and_then(|vm| vm.leadership.as_mut()) {
        leadership.in_force.record_commit(revision, now);
    }
}

fn store_snapshot_if_due(daemon: &Daemon, control: &mut Control) {
    let configuration = &control.configuration;
    let Some(vm) = &mut control.control_vm else { return };
    if !vm.node.is_snapshot_due() {
        return;
    }
    let stored = tokio::task::block_in_place(|| vm.node.store_snapshot(configuration.clone()));
    if let Err(error) = stored {
        daemon.exit_with_error(&error.context("failed to store the snapshot"));
    }
}
