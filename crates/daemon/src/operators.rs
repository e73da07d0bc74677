//! The operators' API: intents with their plans, confirms, status, and the metrics endpoint.

use std::sync::Arc;

use celerygate_control::intents::{self, ConfirmCheck};
use celerygate_control::state::{self, ApplyOutcome};
use celerygate_types::wire::{
    Command, ConfirmCommand, ConfirmRequest, IntentAnswer, IntentRecord, IntentRequest,
    ProposeCommand,
};
use celerygate_types::{IntentId, ResultCode};
use poem::http::{Method, StatusCode};
use poem::{Endpoint, EndpointExt, Request, Response, Route, endpoint};

use crate::api::{self, ApiKind};
use crate::control::{self, not_leader};
use crate::daemon::Daemon;
use crate::refusal::Refusal;
use crate::{measure, status};

/// Returns the endpoints of the operators' API.
pub fn endpoints(daemon: Arc<Daemon>) -> impl Endpoint<Output = Response> + 'static {
    let route = |handler: fn(Arc<Daemon>, Request) -> ApiFuture| {
        let daemon = Arc::clone(&daemon);
        endpoint::make(move |request| handler(Arc::clone(&daemon), request))
    };
    Route::new()
        .at("/v1/intents", route(|daemon, request| Box::pin(create_intent(daemon, request))))
        .at("/v1/intents/:intent", route(|daemon, request| Box::pin(show_intent(daemon, request))))
        .at(
            "/v1/intents/:intent/confirm",
            route(|daemon, request| Box::pin(confirm_intent(daemon, request))),
        )
        .at("/v1/status", route(|daemon, request| Box::pin(show_status(daemon, request))))
        .at("/metrics", route(|daemon, _| Box::pin(scrape(daemon))))
        .at(
            "/*path",
            route(|daemon, request| {
                Box::pin(api::unknown_path(daemon, ApiKind::Operators, request))
            }),
        )
        .map_to_response()
}

type ApiFuture = std::pin::Pin<Box<dyn Future<Output = poem::Result<Response>> + Send>>;

async fn create_intent(daemon: Arc<Daemon>, request: Request) -> poem::Result<Response> {
    api::respond(&daemon, ApiKind::Operators, Method::POST, request, async |daemon, body| {
        let request: IntentRequest = api::parse(body)?;
        let command = match prepare_intent(daemon, &request)? {
            PreparedIntent::Recorded(answer) => return Ok(api::json(StatusCode::OK, &*answer)),
            PreparedIntent::Propose(command) => command,
        };
        let intent = command.intent.clone();
        match control::propose(daemon, Command::Propose(*command)).await? {
            ApplyOutcome::Refused(code) => Err(refusal_with_revision(daemon, code)),
            _ => intent_response(daemon, &intent),
        }
    })
    .await
}

enum PreparedIntent {
    /// The intent is already recorded.
    Recorded(Box<IntentAnswer>),
    Propose(Box<ProposeCommand>),
}

/// Plans a new intent, or returns the record of an intent that was sent before.
fn prepare_intent(daemon: &Daemon, request: &IntentRequest) -> Result<PreparedIntent, Refusal> {
    let now = daemon.clock.now();
    let mut control = daemon.tables.control.lock();
    if !control.is_leading(now) {
        return Err(not_leader(&control, now));
    }
    if let Some(record) = state::find_intent(&control.configuration, &request.intent).cloned() {
        if record.kind != request.kind {
            return Err(ResultCode::IntentMismatch.into());
        }
        let answer = intent_answer(&mut control, record, now);
        return Ok(PreparedIntent::Recorded(Box::new(answer)));
    }
    if !control.is_group_formed() {
        let detail = "The control group is being formed.";
        return Err(Refusal::with_detail(ResultCode::NoLeader, detail));
    }
    let configuration = &control.configuration;
    let at_unix_ms = daemon.clock.unix_ms();
    let based_on = request.based_on.unwrap_or(configuration.revision);
    let measurements = measure::measurements(daemon, configuration);
    let plan = intents::plan(configuration, &measurements, request, at_unix_ms);
    log::info!(
        intent:% = request.intent, based_on:% = based_on, steps = plan.steps.len(),
        refused = plan.refusal.as_ref().map_or("", |refusal| refusal.reason.as_str());
        "intent planned"
    );
    let (intent, kind) = (request.intent.clone(), request.kind.clone());
    let command = ProposeCommand { intent, kind, based_on, plan, at_unix_ms };
    Ok(PreparedIntent::Propose(Box::new(command)))
}

async fn show_intent(daemon: Arc<Daemon>, request: Request) -> poem::Result<Response> {
    let intent = request.raw_path_param("intent").map(str::to_owned).unwrap_or_default();
    api::respond(&daemon, ApiKind::Operators, Method::GET, request, async |daemon, _| {
        intent_response(daemon, &parse_intent(&intent)?)
    })
    .await
}

fn parse_intent(text: &str) -> Result<IntentId, Refusal> {
    text.parse().map_err(|_| ResultCode::IntentUnknown.into())
}

async fn confirm_intent(daemon: Arc<Daemon>, request: Request) -> poem::Result<Response> {
    let intent = request.raw_path_param("intent").map(str::to_owned).unwrap_or_default();
    api::respond(&daemon, ApiKind::Operators, Method::POST, request, async |daemon, body| {
        let intent = parse_intent(&intent)?;
        let ConfirmRequest { based_on } = api::parse(body)?;
        let at_unix_ms = daemon.clock.unix_ms();
        let command = ConfirmCommand { intent, based_on, at_unix_ms };
        recheck_confirm(daemon, &command)?;
        let intent = command.intent.clone();
        let outcome = control::propose(daemon, Command::Confirm(command)).await?;
        log::info!(intent:% = intent, based_on:% = based_on, result:? = outcome; "confirm decided");
        match outcome {
            ApplyOutcome::Refused(code) => Err(refusal_with_revision(daemon, code)),
            _ => intent_response(daemon, &intent),
        }
    })
    .await
}

/// Checks a confirm against the leader's latest measurements before it is proposed.
fn recheck_confirm(daemon: &Daemon, command: &ConfirmCommand) -> Result<(), Refusal> {
    let now = daemon.clock.now();
    let control = daemon.tables.control.lock();
    if !control.is_leading(now) {
        return Err(not_leader(&control, now));
    }
    let configuration = &control.configuration;
    let measurements = measure::measurements(daemon, configuration);
    match intents::check_confirm(configuration, &measurements, command, command.at_unix_ms) {
        ConfirmCheck::Submit => Ok(()),
        ConfirmCheck::Refuse(refusal) => {
            log::info!(
                intent:% = command.intent, code = refusal.code, reason = refusal.reason.as_str();
                "confirm refused"
            );
            let code = ResultCode::from_number(refusal.code).unwrap_or(ResultCode::IntentRefused);
            Err(Refusal::with_detail(code, refusal.reason))
        }
    }
}

/// Returns a refusal that states the current revision.
fn refusal_with_revision(daemon: &Daemon, code: ResultCode) -> Refusal {
    let revision = daemon.tables.control.lock().configuration.revision;
    Refusal::with_detail(code, format!("The current revision is {revision}."))
}

/// Returns the response with the record of an intent. Only a leader with a lease answers, because
/// only its record is known to be the latest.
fn intent_response(daemon: &Daemon, intent: &IntentId) -> Result<Response, Refusal> {
    let now = daemon.clock.now();
    let mut control = daemon.tables.control.lock();
    if !control.is_leading(now) {
        return Err(not_leader(&control, now));
    }
    let record = state::find_intent(&control.configuration, intent).cloned();
    let record = record.ok_or(ResultCode::IntentUnknown)?;
    Ok(api::json(StatusCode::OK, &intent_answer(&mut control, record, now)))
}

fn intent_answer(
    control: &mut control::Control,
    record: IntentRecord,
    now: std::time::Instant,
) -> IntentAnswer {
    let in_force = control.in_force(now);
    // An unfinished intent may apply further steps, so only a finished one can be fully in force.
    let last_change = record.confirmed_revision.filter(|_| !state::is_unfinished(&record));
    IntentAnswer {
        in_force: last_change.is_some()
            && in_force.is_some_and(|revision| revision >= control.configuration.revision),
        revision: control.configuration.revision,
        record,
    }
}

async fn show_status(daemon: Arc<Daemon>, request: Request) -> poem::Result<Response> {
    api::respond(&daemon, ApiKind::Operators, Method::GET, request, async |daemon, _| {
        Ok(api::json(StatusCode::OK, &status::status(daemon)))
    })
    .await
}

/// Returns the metrics. Needs no credential, because they contain no key and no token.
async fn scrape(daemon: Arc<Daemon>) -> poem::Result<Response> {
    Ok(match daemon.metrics.scrape() {
        Ok(text) => Response::builder().content_type("text/plain; version=0.0.4").body(text),
        Err(error) => {
            log::warn!(error:% = error; "failed to encode metrics");
            Response::builder().status(StatusCode::INTERNAL_SERVER_ERROR).finish()
        }
    })
}
