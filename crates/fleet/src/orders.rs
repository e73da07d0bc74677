//! Orders of an operator at a control VM. An order counts as confirmed when it arrives.

use std::sync::Arc;
use std::time::Duration;

use celerygate_control::state::{ApplyOutcome, accepted_version, items_after_change};
use celerygate_types::wire::{Command, DocumentCommand, EvacuateCommand, FleetContent};
use celerygate_types::{DataCentreId, ResultCode, VmId};
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::fleet::Fleet;
use crate::group::{Group, GroupAnswer};

/// Longest wait for the agreement. Operators wait a second for an answer before they ask another
/// control VM, and an answer after that is of no use to them.
const AGREEMENT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// How an order ended.
#[derive(Clone, Debug, PartialEq)]
pub enum OrderOutcome {
    /// The order is accepted and survives every allowed loss.
    Accepted,
    /// Another version is current.
    Conflict,
    /// The order is faulty; the text says why.
    Invalid(String),
    /// Another control VM leads.
    Elsewhere(VmId),
    /// The order may or may not be accepted; it can be sent again unchanged.
    Unknown,
}

/// Changes the document.
pub async fn change_document(fleet: &Fleet, command: DocumentCommand) -> OrderOutcome {
    let Some(group) = &fleet.group else { return OrderOutcome::Unknown };
    // The newest state is needed to tell a faulty change from one that builds on another version.
    let newest = match newest(group).await {
        Ok(newest) => newest,
        Err(outcome) => return outcome,
    };
    if let Some(content) = &newest {
        let document = &content.document;
        if accepted_version(document, &command.digest).is_some() {
            return OrderOutcome::Accepted;
        }
        if command.based_on != document.version {
            return OrderOutcome::Conflict;
        }
        if command.version <= document.version {
            return OrderOutcome::Invalid(format!(
                "version {} is not above the current version {}",
                command.version, document.version
            ));
        }
    } else if command.based_on != 0 {
        return OrderOutcome::Conflict;
    }
    let before = newest.as_ref().map(|content| &content.document);
    let items = match before {
        Some(document) => items_after_change(document, &command),
        None => command.upsert.clone(),
    };
    if let Err(error) = (fleet.dialect.read_document)(&items) {
        return OrderOutcome::Invalid(format!("{error:#}"));
    }
    let digest = command.digest.clone();
    let outcome = agreed(group.propose(Command::Document(command))).await;
    log::info!(digest = digest.as_str(), outcome:? = outcome; "order to change the document");
    outcome
}

/// Starts or ends the evacuation of a data centre.
pub async fn evacuate(fleet: &Fleet, data_centre: DataCentreId, active: bool) -> OrderOutcome {
    let Some(group) = &fleet.group else { return OrderOutcome::Unknown };
    let command = EvacuateCommand { data_centre: data_centre.clone(), active };
    let outcome = agreed(group.propose(Command::Evacuate(command))).await;
    log::info!(data_centre = data_centre.as_str(), active = active, outcome:? = outcome;
        "order to evacuate");
    outcome
}

/// Returns the newest content, confirmed by a quorum after the question.
///
/// # Errors
///
/// Returns why this VM cannot tell.
pub async fn newest_content(fleet: &Fleet) -> Result<Option<Arc<FleetContent>>, OrderOutcome> {
    match &fleet.group {
        Some(group) => newest(group).await,
        None => Err(OrderOutcome::Unknown),
    }
}

async fn newest(group: &Group) -> Result<Option<Arc<FleetContent>>, OrderOutcome> {
    match timeout(AGREEMENT_TIMEOUT, group.read()).await {
        Ok(Ok(GroupAnswer::Content(content))) => Ok(content),
        Ok(Ok(GroupAnswer::NotLeader(Some(vm)))) => Err(OrderOutcome::Elsewhere(vm)),
        Ok(Ok(_) | Err(_)) | Err(_) => Err(OrderOutcome::Unknown),
    }
}

async fn agreed(answer: oneshot::Receiver<GroupAnswer>) -> OrderOutcome {
    match timeout(AGREEMENT_TIMEOUT, answer).await {
        Ok(Ok(GroupAnswer::Applied(ApplyOutcome::Refused(ResultCode::RevisionConflict)))) => {
            OrderOutcome::Conflict
        }
        Ok(Ok(GroupAnswer::Applied(ApplyOutcome::Refused(code)))) => {
            OrderOutcome::Invalid(code.message().to_owned())
        }
        Ok(Ok(GroupAnswer::Applied(_))) => OrderOutcome::Accepted,
        Ok(Ok(GroupAnswer::NotLeader(Some(vm)))) => OrderOutcome::Elsewhere(vm),
        Ok(Ok(_) | Err(_)) | Err(_) => OrderOutcome::Unknown,
    }
}
