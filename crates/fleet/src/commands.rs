//! Operator commands received by a control VM. There is no separate confirm step: a command counts
//! as confirmed when it arrives.

use std::sync::Arc;
use std::time::Duration;

use celerygate_control::state::{ApplyOutcome, accepted_version, items_after_change};
use celerygate_types::wire::{
    Command, Document, DocumentCommand, DocumentItem, EvacuateCommand, FleetContent,
};
use celerygate_types::{DataCentreId, ResultCode, VmId};
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::daemon::Daemon;
use crate::group::{Group, GroupReply};

/// Timeout for the control group to commit a command. Operators wait 1 s for a response before they
/// ask another control VM, so a later response is of no use.
const COMMIT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Maximum time in which a command is answered: it waits for a read of the newest content and for its
/// commit.
pub const MAX_COMMAND_TIME: Duration = COMMIT_TIMEOUT.saturating_mul(2);

/// Outcome of a command.
#[derive(Clone, Debug, PartialEq)]
pub enum CommandOutcome {
    /// The command is committed and survives every loss that the deployment allows for.
    Accepted,
    /// The command is based on a version that is not the current one.
    Conflict,
    /// The command is invalid; the text says why.
    Invalid(String),
    /// Another control VM is the leader.
    Elsewhere(VmId),
    /// The command may or may not be committed; it can be sent again unchanged.
    Unknown,
}

/// Next step for a change of the document.
#[derive(Clone, Debug, PartialEq)]
enum NextStep {
    /// Propose the change. This includes a change that was accepted before: only a new entry shows
    /// that a large enough group still holds it.
    Propose,
    /// Answer without a proposal.
    Answer(CommandOutcome),
}

/// Proposes a change of the document, and returns the outcome once the change is committed, refused
/// or timed out.
pub async fn change_document(daemon: &Daemon, command: DocumentCommand) -> CommandOutcome {
    let Some(group) = &daemon.group else { return CommandOutcome::Unknown };
    // The latest state is needed to distinguish an invalid change from one that is based on another
    // version.
    let newest = match read_newest(group).await {
        Ok(newest) => newest,
        Err(outcome) => return outcome,
    };
    let document = newest.as_ref().map(|content| &content.document);
    let read_document = |items: &[DocumentItem]| {
        (daemon.adapter.read_document)(items).map(drop).map_err(|error| format!("{error:#}"))
    };
    if let NextStep::Answer(outcome) = check_change(document, &command, read_document) {
        return outcome;
    }
    let digest = command.digest.clone();
    let outcome = await_commit(group.propose(Command::Document(command))).await;
    log::info!(digest = digest.as_str(), outcome:? = outcome; "document change command completed");
    outcome
}

/// Checks a change against the current document; `read_document` returns why items are invalid.
fn check_change(
    document: Option<&Document>,
    command: &DocumentCommand,
    read_document: impl Fn(&[DocumentItem]) -> Result<(), String>,
) -> NextStep {
    let version = document.map_or(0, |document| document.version);
    if document.is_some_and(|known| accepted_version(known, &command.digest).is_some()) {
        return NextStep::Propose;
    }
    if command.based_on != version {
        return NextStep::Answer(CommandOutcome::Conflict);
    }
    if document.is_some() && command.version <= version {
        return NextStep::Answer(CommandOutcome::Invalid(format!(
            "version {} is not above the current version {version}",
            command.version
        )));
    }
    let items = match document {
        Some(document) => items_after_change(document, command),
        None => command.upsert.clone(),
    };
    match read_document(&items) {
        Ok(()) => NextStep::Propose,
        Err(reason) => NextStep::Answer(CommandOutcome::Invalid(reason)),
    }
}

/// Starts (`active`) or ends the evacuation of a data centre, and returns the outcome like
/// [`change_document`].
pub async fn evacuate(daemon: &Daemon, data_centre: DataCentreId, active: bool) -> CommandOutcome {
    let Some(group) = &daemon.group else { return CommandOutcome::Unknown };
    let command = EvacuateCommand { data_centre: data_centre.clone(), active };
    let outcome = await_commit(group.propose(Command::Evacuate(command))).await;
    log::info!(data_centre = data_centre.as_str(), active = active, outcome:? = outcome;
        "evacuation command completed");
    outcome
}

/// Returns the latest content, as confirmed by a quorum after the call.
///
/// # Errors
///
/// When this VM is not the leader, or no quorum confirmed the state in time.
pub async fn newest_content(daemon: &Daemon) -> Result<Option<Arc<FleetContent>>, CommandOutcome> {
    match &daemon.group {
        Some(group) => read_newest(group).await,
        None => Err(CommandOutcome::Unknown),
    }
}

async fn read_newest(group: &Group) -> Result<Option<Arc<FleetContent>>, CommandOutcome> {
    match timeout(COMMIT_TIMEOUT, group.read()).await {
        Ok(Ok(GroupReply::Content(content))) => Ok(content),
        Ok(Ok(GroupReply::NotLeader(Some(vm)))) => Err(CommandOutcome::Elsewhere(vm)),
        Ok(Ok(_) | Err(_)) | Err(_) => Err(CommandOutcome::Unknown),
    }
}

async fn await_commit(reply: oneshot::Receiver<GroupReply>) -> CommandOutcome {
    match timeout(COMMIT_TIMEOUT, reply).await {
        Ok(Ok(GroupReply::Applied(ApplyOutcome::Refused(ResultCode::RevisionConflict)))) => {
            CommandOutcome::Conflict
        }
        Ok(Ok(GroupReply::Applied(ApplyOutcome::Refused(code)))) => {
            CommandOutcome::Invalid(code.message().to_owned())
        }
        Ok(Ok(GroupReply::Applied(_))) => CommandOutcome::Accepted,
        Ok(Ok(GroupReply::NotLeader(Some(vm)))) => CommandOutcome::Elsewhere(vm),
        Ok(Ok(_) | Err(_)) | Err(_) => CommandOutcome::Unknown,
    }
}

#[cfg(test)]
#[path = "commands_tests.rs"]
mod tests;
