//! The operators' API: intents, plans, confirms, status, and the metrics scrape.

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
    let with = |act: fn(Arc<Daemon>, Request) -> ApiFuture| {
        let daemon = Arc::clone(&daemon);
        endpoint::make(move |request| act(Arc::clone(&daemon), request))
    };
    Route::new()
        .at("/v1/intents", with(|daemon, request| Box::pin(create(daemon, request))))
        .at("/v1/intents/:intent", with(|daemon, request| Box::pin(show(daemon, request))))
        .at(
            "/v1/intents/:intent/confirm",
            with(|daemon, request| Box::pin(confirm(daemon, request))),
        )
        .at("/v1/status", with(|daemon, request| Box::pin(show_status(daemon, request))))
        .at("/metrics", with(|daemon, _| Box::pin(scrape(daemon))))
        .at(
            "/*path",
            with(|daemon, request| {
                Box::pin(api::unknown_path(daemon, ApiKind::Operators, request))
            }),
        )
        .map_to_response()
}

type ApiFuture = std::pin::Pin<Box<dyn Future<Output = poem::Result<Response>> + Send>>;

async fn create(daemon: Arc<Daemon>, request: Request) -> poem::Result<Response> {
    api::respond(&daemon, ApiKind::Operators, Method::POST, request, async |daemon, body| {
        let request: IntentRequest = api::parse(body)?;
        let command = match prepare(daemon, &request)? {
            Prepared::Recorded(answer) => return Ok(api::json(StatusCode::OK, &*answer)),
            Prepared::Propose(command) => command,
        };
        let intent = command.intent.clone();
        match control::propose(daemon, Command::Propose(*command)).await? {
            ApplyOutcome::Refused(code) => Err(with_revision(daemon, code)),
            _ => answer(daemon, &intent),
        }
    })
    .await
}

enum Prepared {
    /// The intent is recorded already.
    Recorded(Box<IntentAnswer>),
    Propose(Box<ProposeCommand>),
}

/// Plans a new intent, or finds the record of a resent one.
fn prepare(daemon: &Daemon, request: &IntentRequest) -> Result<Prepared, Refusal> {
    let now = daemon.clock.now();
    let mut control = daemon.tables.control.lock();
    if !control.is_leading(now) {
        return Err(not_leader(&control, now));
    }
    if let Some(record) = state::find_intent(&control.configuration, &request.intent).cloned() {
        if record.kind != request.kind {
            return Err(ResultCode::IntentMismatch.into());
        }
        let answer = answer_for(&mut control, record, now);
        return Ok(Prepared::Recorded(Box::new(answer)));
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
    Ok(Prepared::Propose(Box::new(command)))
}

async fn show(daemon: Arc<Daemon>, request: Request) -> poem::Result<Response> {
    let intent = request.raw_path_param("intent").map(str::to_owned).unwrap_or_default();
    api::respond(&daemon, ApiKind::Operators, Method::GET, request, async |daemon, _| {
        answer(daemon, &parse_intent(&intent)?)
    })
    .await
}

fn parse_intent(text: &str) -> Result<IntentId, Refusal> {
    text.parse().map_err(|_| ResultCode::IntentUnknown.into())
}

async fn confirm(daemon: Arc<Daemon>, request: Request) -> poem::Result<Response> {
    let intent = request.raw_path_param("intent").map(str::to_owned).unwrap_or_default();
    api::respond(&daemon, ApiKind::Operators, Method::POST, request, async |daemon, body| {
        let intent = parse_intent(&intent)?;
        let ConfirmRequest { based_on } = api::parse(body)?;
        let at_unix_ms = daemon.clock.unix_ms();
        let command = ConfirmCommand { intent, based_on, at_unix_ms };
        check_again(daemon, &command)?;
        let intent = command.intent.clone();
        let applied = control::propose(daemon, Command::Confirm(command)).await?;
        log::info!(intent:% = intent, based_on:% = based_on, result:? = applied; "confirm decided");
        match applied {
            ApplyOutcome::Refused(code) => Err(with_revision(daemon, code)),
            _ => answer(daemon, &intent),
        }
    })
    .await
}

/// Checks a confirm against the latest measurements.
fn check_again(daemon: &Daemon, command: &ConfirmCommand) -> Result<(), Refusal> {
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

/// Returns a refusal that tells the current revision.
fn with_revision(daemon: &Daemon, code: ResultCode) -> Refusal {
    let revision = daemon.tables.control.lock().configuration.revision;
    Refusal::with_detail(code, format!("The current revision is {revision}."))
}

/// Returns the record of an intent; only a leader with a lease knows that it is the latest.
fn answer(daemon: &Daemon, intent: &IntentId) -> Result<Response, Refusal> {
    let now = daemon.clock.now();
    let mut control = daemon.tables.control.lock();
    if !control.is_leading(now) {
        return Err(not_leader(&control, now));
    }
    let record = state::find_intent(&control.configuration, intent).cloned();
    let record = record.ok_or(ResultCode::IntentUnknown)?;
    Ok(api::json(StatusCode::OK, &answer_for(&mut control, record, now)))
}

fn answer_for(
    control: &mut control::Control,
    record: IntentRecord,
    now: std::time::Instant,
) -> IntentAnswer {
    let in_force = control.in_force(now);
    // A running intent may apply further steps, so only a finished one is wholly in force.
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

/// The scrape needs no credential: it shows no key and no token.
async fn scrape(daemon: Arc<Daemon>) -> poem::Result<Response> {
    Ok(match daemon.metrics.scrape() {
        Ok(text) => Response::builder().content_type("text/plain; version=0.0.4").body(text),
        Err(error) => {
            log::warn!(error:% = error; "metrics not encoded");
            Response::builder().status(StatusCode::INTERNAL_SERVER_ERROR).finish()
        }
    })
}
