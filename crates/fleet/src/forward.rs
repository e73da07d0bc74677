//! A caller's request on its way to a target and back.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use celerygate_daemon::upstream::{ConnectionReuse, RequestBody, SendError};
use celerygate_steering::grants::{Limit, TokenSource};
use celerygate_steering::headers::{HeaderFilter, path_contains_key};
use celerygate_steering::lookup::rendezvous;
use celerygate_steering::outcome::{RetryBudget, RetryLimits};
use celerygate_steering::placement::AttemptEnd;
use celerygate_steering::routing::{Repeatable, Route, select_service};
use celerygate_types::wire::{Outcome, VmState};
use celerygate_types::{OrganisationId, RegionId, ResultCode, Revision, ServiceId, TargetId};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Bytes;
use hyper::header::{CONNECTION, HeaderMap, HeaderValue};
use hyper::http::request;
use hyper::{Request, Response, StatusCode};
use smallvec::SmallVec;
use tokio::time::{Instant as TokioInstant, timeout, timeout_at};

use self::response::{Read, read_response};
use crate::adapter::{ForwardMetadata, Refusal, RequestMetadata};
use crate::daemon::Daemon;
use crate::quota;
use crate::tables::Content;
use crate::targets::{self, AtTarget, Choice, Chosen, Observation, WaitsForTarget, Wanted};

mod response;

/// Body of a response to a caller.
pub type ResponseBody = UnsyncBoxBody<Bytes, hyper::Error>;

/// Share of a route's target latency after which a refused caller should come back; drawn between
/// these so that the returns of many callers spread.
const RETURN_AFTER: std::ops::Range<f64> = 0.25..0.75;
/// The same after a rejection by targets that have free slots: the next try meets another one.
const RETURN_AFTER_REJECTION: std::ops::Range<f64> = 0.02..0.1;
/// Longest wait before a choice is made again.
const WAIT_RECHECK: Duration = Duration::from_millis(250);
/// VMs beside the known ones that the retry budget allows for, as entry VMs are added at any time.
const SPARE_VMS: usize = 2;

/// A request that was identified and admitted.
struct Admitted<'a> {
    metadata: &'a RequestMetadata,
    route: &'a Route,
    service: &'a ServiceId,
    organisation: Option<&'a OrganisationId>,
    organisation_homes: &'a [RegionId],
    object: Option<u64>,
    /// Where its token came from; none without a rate.
    token: Option<TokenSource>,
    deadline: Instant,
}

/// How a request ended.
enum Ended {
    Response(Response<ResponseBody>),
    Refused(Refusal),
}

/// Returns the text of an organisation for logs.
fn organisation_text(organisation: Option<&OrganisationId>) -> &str {
    organisation.map_or("", OrganisationId::as_str)
}

/// How one attempt at a target ended.
enum Attempt {
    /// The response for the caller.
    Response(Response<ResponseBody>),
    /// The target has not run the request.
    NotRun(ResultCode),
    /// The target has rejected the request, with or without a free slot.
    Rejected {
        /// Whether it reported a free slot.
        had_room: bool,
    },
    /// The target may have run the request.
    Failed(ResultCode),
}

/// Serves one request of a caller.
pub async fn serve(
    daemon: Arc<Daemon>,
    parts: request::Parts,
    body: Bytes,
) -> Response<ResponseBody> {
    let _running = daemon.tables.begin_request();
    let arrived = daemon.now();
    let metadata = match (daemon.adapter.read_request)(&parts) {
        Ok(metadata) => metadata,
        Err(code) => {
            log::info!(code = code.number(); "request not understood");
            return finish(
                &daemon,
                refusal_response(&daemon, &Refusal { code, retry_after: None }),
            );
        }
    };
    let mut unanswered =
        Unanswered { request: &metadata.request, arrived, daemon: &daemon, ended: false };
    let handled = handle(&daemon, &parts, &body, &metadata, arrived).await;
    unanswered.ended = true;
    drop(unanswered);
    let response = match handled {
        Ended::Response(response) => response,
        Ended::Refused(refusal) => {
            let elapsed = daemon.now().saturating_duration_since(arrived);
            log::info!(request = metadata.request.as_str(), host = metadata.host.as_str(),
                code = refusal.code.number(), reason:% = refusal.code, elapsed_ms = elapsed.as_millis() as u64,
                retry_after_ms = refusal.retry_after.map_or(0, |time| time.as_millis() as u64);
                "request refused");
            daemon.metrics.count_request("refused", refusal.code.number(), elapsed.as_secs_f64());
            refusal_response(&daemon, &refusal)
        }
    };
    finish(&daemon, response)
}

/// A request that is being served; dropping it earlier means that its caller has left.
struct Unanswered<'a> {
    request: &'a str,
    arrived: Instant,
    daemon: &'a Daemon,
    ended: bool,
}

impl Drop for Unanswered<'_> {
    fn drop(&mut self) {
        if !self.ended {
            let elapsed = self.daemon.now().saturating_duration_since(self.arrived);
            log::info!(request = self.request, elapsed_ms = elapsed.as_millis() as u64;
                "caller left before the answer");
        }
    }
}

/// Asks the caller to leave the connection while the daemon leaves.
fn finish(daemon: &Daemon, mut response: Response<ResponseBody>) -> Response<ResponseBody> {
    if daemon.tables.state() == VmState::Leaving {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

fn refusal_response(daemon: &Daemon, refusal: &Refusal) -> Response<ResponseBody> {
    let mut headers = HeaderMap::new();
    let status = (daemon.adapter.write_refusal)(refusal, &mut headers);
    let mut response = Response::new(whole(Bytes::new()));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    *response.headers_mut() = headers;
    response
}

fn whole(bytes: Bytes) -> ResponseBody {
    Full::new(bytes).map_err(|never| match never {}).boxed_unsync()
}

fn refused(code: ResultCode) -> Ended {
    Ended::Refused(Refusal { code, retry_after: None })
}

async fn handle(
    daemon: &Arc<Daemon>,
    parts: &request::Parts,
    body: &Bytes,
    metadata: &RequestMetadata,
    arrived: Instant,
) -> Ended {
    if !daemon.tables.takes_requests() {
        // Another VM can take it at once.
        let retry_after = Some(Duration::ZERO);
        return Ended::Refused(Refusal { code: ResultCode::Stopping, retry_after });
    }
    let Some(content) = daemon.tables.content() else {
        return refused(ResultCode::ConfigurationStale);
    };
    let Some(route) = content.routing.route(&metadata.host, parts.uri.path()) else {
        return refused(ResultCode::UnknownPath);
    };
    let organisation = match identify(&content, route, metadata) {
        Ok(organisation) => organisation,
        Err(code) => return refused(code),
    };
    let reveals_key = |key: &smol_str::SmolStr| {
        let path = parts.uri.path_and_query().map_or("", |path| path.as_str());
        path_contains_key(path, key.as_bytes())
    };
    if metadata.key.as_ref().is_some_and(reveals_key) {
        return refused(ResultCode::BadRequest);
    }
    let waits = metadata.deadline.map_or(route.timeout, |deadline| deadline.min(route.timeout));
    let deadline = arrived + waits;
    let rule = organisation.and_then(|organisation| content.routing.organisation(organisation));
    let mut token = None;
    if let (Some(organisation), Some(limit)) = (organisation, rule.and_then(|rule| rule.limit)) {
        match quota::admit(daemon, organisation, limit, deadline).await {
            Ok(source) => token = Some(source),
            Err(refusal) => {
                log_over_rate(metadata, organisation, &limit, content.replicated.revision);
                return Ended::Refused(refusal);
            }
        }
    }
    let service = if route.weighted_services.len() > 1 {
        select_service(route, daemon.tables.next_split_number(&route.name))
    } else {
        &route.weighted_services[0].service
    };
    let object = metadata.object.as_ref().filter(|_| route.has_affinity);
    let admitted = Admitted {
        metadata,
        route,
        service,
        organisation,
        organisation_homes: rule.map_or(&[], |rule| &rule.home_regions),
        object: object.map(|object| rendezvous::id_hash(object)),
        token,
        deadline,
    };
    count_request(daemon, service);
    attempts(daemon, &content, parts, body, &admitted, arrived).await
}

fn log_over_rate(
    metadata: &RequestMetadata,
    organisation: &OrganisationId,
    limit: &Limit,
    revision: Revision,
) {
    log::info!(request = metadata.request.as_str(), organisation = organisation.as_str(),
        rate_per_s = limit.rate.get(), burst = limit.burst.get(), revision = revision.0;
        "organisation has used its rate");
}

fn identify<'a>(
    content: &'a Content,
    route: &Route,
    metadata: &RequestMetadata,
) -> Result<Option<&'a OrganisationId>, ResultCode> {
    if route.is_public || !content.routing.needs_keys() {
        return Ok(None);
    }
    let key = metadata.key.as_ref().ok_or(ResultCode::KeyMissing)?;
    content.routing.organisation_of_key(key.as_bytes()).map(Some).ok_or(ResultCode::KeyRefused)
}

async fn attempts(
    daemon: &Arc<Daemon>,
    content: &Content,
    parts: &request::Parts,
    body: &Bytes,
    admitted: &Admitted<'_>,
    arrived: Instant,
) -> Ended {
    let route = admitted.route;
    let mut tried: SmallVec<[TargetId; 4]> = SmallVec::new();
    let mut may_have_run = false;
    let mut rejected_with_room = false;
    let mut last = ResultCode::NoCapacity;
    loop {
        let now = daemon.now();
        if now >= admitted.deadline {
            let code = if may_have_run {
                ResultCode::DeadlinePassed
            } else {
                ResultCode::DeadlinePassedWaiting
            };
            return refused(code);
        }
        let is_repeat = !tried.is_empty();
        if is_repeat
            && (tried.len() >= route.attempts_max.max(1) as usize
                || !take_retry(daemon, admitted.service, now))
        {
            break;
        }
        let wanted = Wanted {
            request: &admitted.metadata.request,
            service: admitted.service,
            route,
            organisation_homes: admitted.organisation_homes,
            object: admitted.object,
            remaining: admitted.deadline.saturating_duration_since(now),
            tried: &tried,
        };
        let answered = daemon.tables.target_answered.notified();
        let chosen = match targets::choose(daemon, content, &wanted, now) {
            Choice::Use(chosen) => chosen,
            Choice::Wait(instance) => {
                let _waits = WaitsForTarget::begin(daemon, instance);
                // The choice is made again in either case.
                let _ = timeout(WAIT_RECHECK, answered).await;
                continue;
            }
            Choice::Full | Choice::NoTarget => break,
        };
        tried.push(chosen.instance.clone());
        match attempt(daemon, parts, body, admitted, &chosen, arrived).await {
            Attempt::Response(response) => return Ended::Response(response),
            Attempt::NotRun(code) => last = code,
            Attempt::Rejected { had_room } => {
                last = ResultCode::NoCapacity;
                rejected_with_room = had_room;
            }
            Attempt::Failed(code) => {
                may_have_run = true;
                last = code;
                if route.repeatable == Repeatable::OnlyIfNotRun {
                    break;
                }
            }
        }
    }
    if may_have_run {
        let unknown = last.outcome() == Outcome::Unknown;
        return refused(if unknown { last } else { ResultCode::TargetFailed });
    }
    let return_after = if rejected_with_room { RETURN_AFTER_REJECTION } else { RETURN_AFTER };
    let share = rand::random_range(return_after);
    let retry_after = Some(route.target_latency.mul_f64(share));
    Ended::Refused(Refusal { code: ResultCode::NoCapacity, retry_after })
}

async fn attempt(
    daemon: &Arc<Daemon>,
    parts: &request::Parts,
    body: &Bytes,
    admitted: &Admitted<'_>,
    chosen: &Chosen,
    arrived: Instant,
) -> Attempt {
    let at_target = AtTarget::new(daemon, chosen);
    let started = daemon.now();
    let Ok(address) = chosen.address.parse::<SocketAddr>() else {
        log::error!(target_id = chosen.instance.as_str(), address = chosen.address.as_str();
            "the target's address cannot be read");
        at_target.end_unreachable();
        return Attempt::NotRun(ResultCode::TargetUnreachable);
    };
    let send = |connection| {
        let instance = &chosen.instance;
        let request = forwarded_request(daemon, parts, body, admitted, instance, daemon.now());
        daemon.pool.send(address, chosen.reach, connection, request)
    };
    let deadline = TokioInstant::now() + admitted.deadline.saturating_duration_since(started);
    let is_repeatable = admitted.route.repeatable == Repeatable::Always;
    let connection = if is_repeatable { ConnectionReuse::Any } else { ConnectionReuse::Recent };
    let mut outcome = timeout_at(deadline, send(connection)).await;
    if let Ok(Err(SendError::NoResponse { lost_while_idle: true, error })) = &outcome
        && is_repeatable
    {
        log::info!(request = admitted.metadata.request.as_str(), error:% = error,
            target_id = chosen.instance.as_str(); "idle connection lost, sent on a new one");
        outcome = timeout_at(deadline, send(ConnectionReuse::New)).await;
    }
    let (attempt, end) = match outcome {
        Err(_) => (Attempt::Failed(ResultCode::DeadlinePassed), "deadline-passed"),
        Ok(Err(SendError::NotConnected { reason, .. } | SendError::NotSent { reason, .. })) => {
            log::info!(request = admitted.metadata.request.as_str(), reason = reason.as_str(),
                target_id = chosen.instance.as_str(); "target not reached");
            at_target.end_unreachable();
            log_attempt(daemon, admitted, chosen, arrived, "not-reached");
            return Attempt::NotRun(ResultCode::TargetUnreachable);
        }
        Ok(Err(SendError::NoResponse { error, .. })) => {
            log::info!(request = admitted.metadata.request.as_str(), error:% = error,
                target_id = chosen.instance.as_str(); "no response from the target");
            at_target.end(AttemptEnd::Failed, None);
            log_attempt(daemon, admitted, chosen, arrived, "no-response");
            return Attempt::Failed(ResultCode::TargetFailed);
        }
        Ok(Ok(response)) => {
            let read =
                timeout_at(deadline, read_response(daemon, admitted, chosen, response)).await;
            match read {
                Err(_) => (Attempt::Failed(ResultCode::DeadlinePassed), "deadline-passed"),
                Ok(Read { attempt, end, load, outcome }) => {
                    if end == AttemptEnd::Answered {
                        at_target.observe_time(
                            chosen,
                            &Observation {
                                service: admitted.service,
                                object: admitted.object,
                                target_latency: admitted.route.target_latency,
                                time: daemon.now().saturating_duration_since(started),
                            },
                        );
                    }
                    at_target.end(end, load);
                    log_attempt(daemon, admitted, chosen, arrived, outcome);
                    return attempt;
                }
            }
        }
    };
    at_target.end(AttemptEnd::Abandoned, None);
    log_attempt(daemon, admitted, chosen, arrived, end);
    attempt
}

fn log_attempt(
    daemon: &Daemon,
    admitted: &Admitted<'_>,
    chosen: &Chosen,
    arrived: Instant,
    outcome: &'static str,
) {
    let elapsed = daemon.now().saturating_duration_since(arrived);
    log::info!(request = admitted.metadata.request.as_str(), route = admitted.route.name.as_str(),
        organisation = organisation_text(admitted.organisation), object = admitted.object,
        token = admitted.token.map(|token| token.to_string()),
        sent_ms = chosen.chosen_at.saturating_duration_since(arrived).as_millis() as u64,
        target_id = chosen.instance.as_str(), reason:% = chosen.reason, distance:% = chosen.distance, load = chosen.load,
        considered = chosen.considered, knows_object = chosen.knows_object, elapsed_ms = elapsed.as_millis() as u64, outcome = outcome;
        "request placed");
    let code = if outcome == "answered" { 0 } else { ResultCode::TargetFailed.number() };
    daemon.metrics.count_request(admitted.service.as_str(), code, elapsed.as_secs_f64());
}

fn forwarded_request(
    daemon: &Daemon,
    parts: &request::Parts,
    body: &Bytes,
    admitted: &Admitted<'_>,
    instance: &TargetId,
    now: Instant,
) -> Request<RequestBody> {
    let all = || parts.headers.iter().map(|(name, value)| (name.as_str(), value.as_bytes()));
    let filter = HeaderFilter::for_request(all());
    let mut headers = HeaderMap::with_capacity(parts.headers.len() + 3);
    for (name, value) in &parts.headers {
        if filter.should_forward(name.as_str(), value.as_bytes())
            && !(daemon.adapter.is_own_header)(name.as_str())
        {
            headers.append(name.clone(), value.clone());
        }
    }
    let forward = ForwardMetadata {
        remaining: admitted.deadline.saturating_duration_since(now),
        instance,
        organisation: admitted.organisation,
    };
    (daemon.adapter.write_request)(admitted.metadata, &forward, &mut headers);
    let body = Full::new(body.clone()).map_err(|never| match never {}).boxed_unsync();
    let mut request = Request::new(body);
    *request.method_mut() = parts.method.clone();
    *request.uri_mut() = parts.uri.clone();
    *request.headers_mut() = headers;
    request
}

fn count_request(daemon: &Daemon, service: &ServiceId) {
    let now = daemon.now();
    let limits = retry_limits(daemon);
    let mut retries = daemon.tables.retries.lock();
    let budget =
        retries.entry(service.clone()).or_insert_with(|| RetryBudget::with_limits(limits, now));
    budget.count_request(now);
}

fn take_retry(daemon: &Daemon, service: &ServiceId, now: Instant) -> bool {
    daemon.tables.retries.lock().get_mut(service).is_some_and(|budget| budget.take_retry(now))
}

/// Returns this VM's part of the fleet's budget.
fn retry_limits(daemon: &Daemon) -> RetryLimits {
    let bounds = &daemon.settings.bounds;
    let vms = daemon.tables.entry_vms() + SPARE_VMS;
    RetryLimits {
        share: bounds.retry_share,
        min_retries: 0,
        extra_retries: bounds.retry_slack_requests / vms as u64,
        window: Duration::from_millis(bounds.retry_window_ms),
    }
}
