//! The deployment's document: named items that change together, one version at a time.
//!
//! The replicated state compares and sets versions but does not interpret the items. The front end
//! that receives an operator's request encodes and validates them.

use celerygate_types::ResultCode;
use celerygate_types::wire::{
    AcceptedChange, Configuration, Document, DocumentCommand, DocumentItem, EvacuateCommand,
};

use super::{ApplyOutcome, raise_revision};

/// Number of accepted changes that are remembered, so that an operator who did not receive the
/// answer may resend the change. An operator has at most eight unanswered changes.
pub const MAX_ACCEPTED_CHANGES: usize = 256;

/// Returns the document of a deployment before its first change.
pub fn empty_document() -> Document {
    Document { version: 0, items: Vec::new(), accepted: Vec::new() }
}

/// Returns the version that a change with this digest produced, if it was accepted.
pub fn accepted_version(document: &Document, digest: &str) -> Option<u64> {
    let accepted = document.accepted.iter().find(|accepted| accepted.digest == digest);
    accepted.map(|accepted| accepted.version)
}

/// Returns the items of the document after a change.
pub fn items_after_change(document: &Document, command: &DocumentCommand) -> Vec<DocumentItem> {
    let mut items = if command.replaces_all { Vec::new() } else { document.items.clone() };
    items.retain(|item| {
        !command.remove.iter().any(|name| name.section == item.section && name.name == item.name)
    });
    for changed in &command.upsert {
        let is_same_item =
            |item: &&mut DocumentItem| item.section == changed.section && item.name == changed.name;
        match items.iter_mut().find(is_same_item) {
            Some(item) => item.clone_from(changed),
            None => items.push(changed.clone()),
        }
    }
    items
}

/// Applies a change if the document still has the version that the change is based on.
pub(super) fn change_document(
    configuration: &mut Configuration,
    command: &DocumentCommand,
) -> Result<ApplyOutcome, ResultCode> {
    let document = &configuration.document;
    if let Some(version) = accepted_version(document, &command.digest) {
        return Ok(ApplyOutcome::DocumentChanged { version });
    }
    if command.based_on != document.version || command.version <= document.version {
        return Err(ResultCode::RevisionConflict);
    }
    let items = items_after_change(document, command);
    let document = &mut configuration.document;
    document.items = items;
    document.version = command.version;
    document
        .accepted
        .push(AcceptedChange { digest: command.digest.clone(), version: command.version });
    let surplus = document.accepted.len().saturating_sub(MAX_ACCEPTED_CHANGES);
    document.accepted.drain(..surplus);
    configuration.content_revision = raise_revision(configuration);
    Ok(ApplyOutcome::DocumentChanged { version: command.version })
}

/// Starts or ends the evacuation of a data centre.
pub(super) fn evacuate(
    configuration: &mut Configuration,
    command: &EvacuateCommand,
) -> ApplyOutcome {
    let evacuated = &mut configuration.evacuated;
    let before = evacuated.len();
    evacuated.retain(|data_centre| *data_centre != command.data_centre);
    let was_active = evacuated.len() < before;
    if command.active {
        evacuated.push(command.data_centre.clone());
    }
    if was_active != command.active {
        configuration.content_revision = raise_revision(configuration);
    }
    ApplyOutcome::EvacuationSet
}

#[cfg(test)]
#[path = "document_tests.rs"]
mod tests;
