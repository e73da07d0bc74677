//! The replicated configuration and the commands that change it.
//!
//! `apply` depends only on the configuration and the command, so that every replica reaches the
//! same configuration. Times in commands were read by the leader; `apply` reads no clock.

mod changes;
mod digest;
mod document;
mod members;
mod retention;

use celerygate_types::wire::{
    Change, Command, Configuration, ConfirmCommand, DrainSubject, HoldCommand, IntentKind,
    IntentRecord, IntentState, PlanStep, ProposeCommand, Refusal, SlotOwnerCommand, SlotOwnership,
    StepCommand,
};
use celerygate_types::{IntentId, ResultCode, Revision};
use smol_str::format_smolstr;

pub use changes::check_change;
pub use digest::{BlocksHash, blocks_hash, digest, digest_with};
pub use document::{MAX_ACCEPTED_CHANGES, accepted_version, empty_document, items_after_change};
pub use members::MAX_VOTERS;
pub use retention::{MAX_RETAINED, RETENTION_MS};

/// Result of applying a command.
#[derive(Clone, Debug, PartialEq)]
pub enum ApplyOutcome {
    /// The command asks for no change, or for a state that is already in place.
    Unchanged,
    /// The initial configuration was set.
    Bootstrapped,
    /// An intent is recorded.
    Proposed {
        /// State of the intent when it was recorded: `Planned` or `Refused`.
        state: IntentState,
    },
    /// An intent is confirmed.
    Confirmed {
        /// Revision produced by the confirm.
        revision: Revision,
    },
    /// A step of a running intent is applied.
    Stepped {
        /// Index of the step.
        step: u32,
        /// Whether it was the last step.
        finished: bool,
    },
    /// The reason to hold an intent was set, replaced or cleared.
    HoldChanged,
    /// A member was added, changed or removed.
    MembersChanged,
    /// The slot permits of a region have a new owner.
    SlotOwnerChanged,
    /// The change of the document is accepted, by this command or when it was first sent.
    DocumentChanged {
        /// Version produced by the change.
        version: u64,
    },
    /// The evacuation of a data centre is in the state that the command requests.
    EvacuationSet,
    /// The command was refused for this reason.
    Refused(ResultCode),
}

/// Returns the configuration of a deployment before its bootstrap.
pub fn empty_configuration() -> Configuration {
    Configuration {
        client_blocks: Vec::new(),
        content_revision: Revision::ZERO,
        document: empty_document(),
        drains: Vec::new(),
        evacuated: Vec::new(),
        intents: Vec::new(),
        links: Vec::new(),
        members: Vec::new(),
        organisations: Vec::new(),
        regions: Vec::new(),
        revision: Revision::ZERO,
        routes: Vec::new(),
        services: Vec::new(),
        slot_owners: Vec::new(),
    }
}

/// Applies a committed command.
///
/// The revision rises by one with each accepted change (such as a bootstrap, confirm, step, hold or
/// membership change) and stays the same otherwise. A resent command gets the outcome of the first
/// one.
pub fn apply(configuration: &mut Configuration, command: &Command) -> ApplyOutcome {
    let outcome = match command {
        Command::Noop(_) => Ok(ApplyOutcome::Unchanged),
        Command::Bootstrap(initial) => bootstrap(configuration, initial),
        Command::Propose(command) => propose(configuration, command),
        Command::Confirm(command) => confirm(configuration, command),
        Command::Step(command) => step(configuration, command),
        Command::Hold(command) => hold(configuration, command),
        Command::Membership(change) => members::change_members(configuration, change),
        Command::SlotOwner(command) => set_slot_owner(configuration, command),
        Command::Document(command) => document::change_document(configuration, command),
        Command::Evacuate(command) => Ok(document::evacuate(configuration, command)),
    };
    outcome.unwrap_or_else(ApplyOutcome::Refused)
}

/// Returns the record of an intent.
pub fn find_intent<'a>(
    configuration: &'a Configuration,
    intent: &IntentId,
) -> Option<&'a IntentRecord> {
    intent_index(configuration, intent).ok().map(|index| &configuration.intents[index])
}

/// Returns the revision of the last confirm, or zero if there was none.
///
/// A confirm that is based on an older revision conflicts. Steps and holds of confirmed intents
/// also raise the revision but cause no conflict. Otherwise a move of many steps would make each
/// confirm of an unrelated intent, such as the withdrawal of a key, fail for minutes.
pub fn last_confirmed_revision(configuration: &Configuration) -> Revision {
    let confirmed = configuration.intents.iter().filter_map(|record| record.confirmed_revision);
    confirmed.max().unwrap_or(Revision::ZERO)
}

/// Returns whether the leader executes an intent step by step. The confirm of any other intent
/// applies all its changes at once.
pub fn runs_in_steps(kind: &IntentKind) -> bool {
    matches!(kind, IntentKind::Move(_) | IntentKind::Drain(DrainSubject::Region(_)))
}

/// Returns whether an intent is confirmed but not finished or cancelled.
pub fn is_unfinished(record: &IntentRecord) -> bool {
    matches!(record.state, IntentState::Running | IntentState::Held | IntentState::Paused)
}

/// Searches the records for an intent. Records are sorted by id, so that their order does not
/// depend on the order of commands.
fn intent_index(configuration: &Configuration, intent: &IntentId) -> Result<usize, usize> {
    configuration.intents.binary_search_by(|record| record.intent.cmp(intent))
}

fn raise_revision(configuration: &mut Configuration) -> Revision {
    configuration.revision = configuration.revision.saturating_add(Revision(1));
    configuration.revision
}

fn bootstrap(
    configuration: &mut Configuration,
    initial: &Configuration,
) -> Result<ApplyOutcome, ResultCode> {
    if *configuration != empty_configuration() {
        return Err(ResultCode::RevisionConflict);
    }
    *configuration = initial.clone();
    configuration.intents.clear();
    configuration.revision = Revision(1);
    Ok(ApplyOutcome::Bootstrapped)
}

fn propose(
    configuration: &mut Configuration,
    command: &ProposeCommand,
) -> Result<ApplyOutcome, ResultCode> {
    if let Some(record) = find_intent(configuration, &command.intent) {
        // The leader plans a resent intent again, so the plan may differ; the kind must not.
        let is_same_intent = record.kind == command.kind;
        let state = proposed_state(record);
        return if is_same_intent {
            Ok(ApplyOutcome::Proposed { state })
        } else {
            Err(ResultCode::IntentMismatch)
        };
    }
    if command.based_on > configuration.revision {
        return Err(ResultCode::RevisionConflict);
    }
    let refused = command.plan.refusal.is_some();
    let record = IntentRecord {
        based_on: command.based_on,
        confirmed_revision: None,
        held_reason: None,
        intent: command.intent.clone(),
        kind: command.kind.clone(),
        next_step: 0,
        plan: command.plan.clone(),
        proposed_at_unix_ms: command.at_unix_ms,
        state: if refused { IntentState::Refused } else { IntentState::Planned },
        step_applied_at_unix_ms: None,
    };
    let state = record.state;
    retention::drop_unconfirmed(configuration, command.at_unix_ms);
    if let Err(index) = intent_index(configuration, &command.intent) {
        configuration.intents.insert(index, record);
    }
    Ok(ApplyOutcome::Proposed { state })
}

/// Returns the state that an intent had when it was recorded. An intent that was refused only at
/// the confirm had the state `Planned`.
fn proposed_state(record: &IntentRecord) -> IntentState {
    let refused_by_plan =
        record.plan.refusal.as_ref().is_some_and(|refusal| !is_confirm_refusal(refusal));
    if refused_by_plan { IntentState::Refused } else { IntentState::Planned }
}

/// Prefix of the reason of a refusal by the confirm; other refusals are part of the plan.
const CONFIRM_REFUSAL_PREFIX: &str = "at the confirm: ";

fn is_confirm_refusal(refusal: &Refusal) -> bool {
    refusal.reason.starts_with(CONFIRM_REFUSAL_PREFIX)
}

fn confirm(
    configuration: &mut Configuration,
    command: &ConfirmCommand,
) -> Result<ApplyOutcome, ResultCode> {
    let index =
        intent_index(configuration, &command.intent).map_err(|_| ResultCode::IntentUnknown)?;
    let record = &configuration.intents[index];
    // The order of the checks ensures that a resent confirm is refused with the same code.
    if command.based_on != record.based_on {
        return Err(ResultCode::RevisionConflict);
    }
    if record.state == IntentState::Refused {
        return Err(ResultCode::IntentRefused);
    }
    if let Some(revision) = record.confirmed_revision {
        return Ok(ApplyOutcome::Confirmed { revision });
    }
    if command.based_on < last_confirmed_revision(configuration) {
        return Err(ResultCode::RevisionConflict);
    }
    if record.state != IntentState::Planned {
        return Err(ResultCode::IntentState);
    }
    let in_steps = runs_in_steps(&record.kind);
    let steps = record.plan.steps.clone();
    if !in_steps {
        let changes = confirmed_changes(record, &steps, command.at_unix_ms);
        if let Err(code) = apply_changes(configuration, &changes, command.at_unix_ms) {
            // Records the refusal, so that a resent confirm cannot succeed after the first one
            // failed.
            let record = &mut configuration.intents[index];
            record.state = IntentState::Refused;
            record.plan.refusal = Some(Refusal {
                code: code.number(),
                reason: format_smolstr!("{CONFIRM_REFUSAL_PREFIX}{code}"),
            });
            return Err(ResultCode::IntentRefused);
        }
    }
    let revision = raise_revision(configuration);
    let record = &mut configuration.intents[index];
    record.confirmed_revision = Some(revision);
    if in_steps && !steps.is_empty() {
        record.state = IntentState::Running;
    } else {
        record.state = IntentState::Done;
        record.next_step = u32::try_from(steps.len()).unwrap_or(u32::MAX);
        record.step_applied_at_unix_ms = Some(command.at_unix_ms);
    }
    retention::drop_finished(configuration, command.at_unix_ms);
    Ok(ApplyOutcome::Confirmed { revision })
}

/// Returns the changes that the confirm of an intent applies. The overlap of a replaced key starts
/// at the confirm, not at the plan.
fn confirmed_changes(record: &IntentRecord, steps: &[PlanStep], at_unix_ms: u64) -> Vec<Change> {
    let mut changes: Vec<Change> = steps.iter().flat_map(|step| step.changes.clone()).collect();
    if let IntentKind::KeyReplace(replace) = &record.kind {
        for change in &mut changes {
            if let Change::KeyExpire(expiry) = change {
                expiry.expires_at_unix_ms = at_unix_ms.saturating_add(replace.overlap_ms);
            }
        }
    }
    changes
}

/// Applies all changes, or none if one of them is refused.
fn apply_changes(
    configuration: &mut Configuration,
    list: &[Change],
    at_unix_ms: u64,
) -> Result<(), ResultCode> {
    list.iter().try_for_each(|change| check_change(configuration, change))?;
    list.iter().for_each(|change| changes::apply_change(configuration, change, at_unix_ms));
    Ok(())
}

fn step(
    configuration: &mut Configuration,
    command: &StepCommand,
) -> Result<ApplyOutcome, ResultCode> {
    let index =
        intent_index(configuration, &command.intent).map_err(|_| ResultCode::IntentUnknown)?;
    let record = &configuration.intents[index];
    let count = u32::try_from(record.plan.steps.len()).unwrap_or(u32::MAX);
    let finished = command.step.saturating_add(1) == count;
    if runs_in_steps(&record.kind) && command.step < record.next_step {
        return Ok(ApplyOutcome::Stepped { step: command.step, finished });
    }
    let is_next = command.step == record.next_step && command.step < count;
    if record.state != IntentState::Running || !is_next {
        return Err(ResultCode::IntentState);
    }
    let changes = record.plan.steps[command.step as usize].changes.clone();
    apply_changes(configuration, &changes, command.at_unix_ms)?;
    raise_revision(configuration);
    let record = &mut configuration.intents[index];
    record.next_step += 1;
    record.step_applied_at_unix_ms = Some(command.at_unix_ms);
    if finished {
        record.state = IntentState::Done;
    }
    retention::drop_finished(configuration, command.at_unix_ms);
    Ok(ApplyOutcome::Stepped { step: command.step, finished })
}

fn hold(
    configuration: &mut Configuration,
    command: &HoldCommand,
) -> Result<ApplyOutcome, ResultCode> {
    let index =
        intent_index(configuration, &command.intent).map_err(|_| ResultCode::IntentUnknown)?;
    let record = &mut configuration.intents[index];
    if !matches!(record.state, IntentState::Running | IntentState::Held) {
        return Err(ResultCode::IntentState);
    }
    if record.held_reason == command.reason {
        return Ok(ApplyOutcome::Unchanged);
    }
    let is_held = command.reason.is_some();
    record.state = if is_held { IntentState::Held } else { IntentState::Running };
    record.held_reason = command.reason.clone();
    raise_revision(configuration);
    Ok(ApplyOutcome::HoldChanged)
}

fn set_slot_owner(
    configuration: &mut Configuration,
    command: &SlotOwnerCommand,
) -> Result<ApplyOutcome, ResultCode> {
    let SlotOwnerCommand { region, vm } = command;
    let is_member = configuration.members.iter().any(|member| member.vm == *vm);
    if !is_member || !configuration.regions.contains(region) {
        return Err(ResultCode::SubjectUnknown);
    }
    let found = configuration.slot_owners.iter().position(|owner| owner.region == *region);
    if found.is_some_and(|index| configuration.slot_owners[index].vm == *vm) {
        return Ok(ApplyOutcome::Unchanged);
    }
    let epoch = raise_revision(configuration).get();
    let ownership = SlotOwnership { region: region.clone(), vm: vm.clone(), epoch };
    match found {
        Some(index) => configuration.slot_owners[index] = ownership,
        None => configuration.slot_owners.push(ownership),
    }
    Ok(ApplyOutcome::SlotOwnerChanged)
}

#[cfg(test)]
#[path = "state_tests.rs"]
mod tests;
