//! Changes of the configuration while requests are at a target. A request that is sent again, or for
//! the first time after a refusal, follows the configuration in force at that moment.

mod support;

use std::sync::{Arc, OnceLock};

use celerygate_fleet::tables::{Content, Tables};
use celerygate_steering::grants::Limit;
use celerygate_steering::routing::{
    OrganisationEntry, OrganisationPolicy, Repeatable, WeightedService,
};
use celerygate_types::{RequestCount, RequestRate, Revision};
use hyper::Method;
use parking_lot::Mutex;
use smallvec::smallvec;
use support::raw_target::{RawTarget, ScriptedResponse};
use support::{Configuration, Fleet, KEY, OTHER_SERVICE, answer, id, refusal};

const CALLERS_KEY: &str = "callers-key";

/// A change that is made while the first request is at a target.
#[derive(Clone, Default)]
struct PendingChange {
    tables: Arc<OnceLock<Arc<Tables>>>,
    content: Arc<Mutex<Option<Content>>>,
}

impl PendingChange {
    /// Makes the change, unless it has been made.
    fn make(&self) -> bool {
        let (Some(tables), Some(content)) = (self.tables.get(), self.content.lock().take()) else {
            return false;
        };
        assert!(tables.activate(content), "the new configuration is in force");
        true
    }
}

/// What became of a request whose first target got it before the change.
#[derive(Debug, PartialEq)]
struct Observed {
    status: u16,
    /// Number of requests that targets of the route's service received.
    sent: usize,
    /// Number of requests that the target of the other service received.
    sent_to_other: usize,
}

const fn observed(status: u16, sent: usize, sent_to_other: usize) -> Observed {
    Observed { status, sent, sent_to_other }
}

fn attempt_id(request: &str) -> &str {
    let id = request.lines().find_map(|line| line.strip_prefix("attempt: "));
    id.expect("an attempt id")
}

/// Starts a target that makes the change when it gets the first request, and answers that one as given
/// and the others with success.
async fn start_target(change: &PendingChange, first: fn(&str) -> ScriptedResponse) -> RawTarget {
    let change = change.clone();
    RawTarget::start(move |_, request| {
        let attempt = attempt_id(request);
        if change.make() {
            return first(attempt);
        }
        ScriptedResponse::KeepAlive(answer(attempt, "ok").into())
    })
    .await
}

fn close_unanswered(_: &str) -> ScriptedResponse {
    ScriptedResponse::Close(Vec::new())
}

fn refuse(attempt: &str) -> ScriptedResponse {
    ScriptedResponse::KeepAlive(refusal(attempt).into())
}

fn organisation(name: &str, key: &str, limit: Option<Limit>) -> OrganisationEntry {
    OrganisationEntry {
        organisation: id(name),
        keys: vec![blake3::hash(key.as_bytes())],
        policy: OrganisationPolicy { limit, home_regions: smallvec![] },
    }
}

/// Returns a configuration with one route that needs a key.
fn keyed_configuration() -> Configuration {
    let mut configuration = Configuration::new(Repeatable::Always);
    configuration.routes[0].is_public = false;
    configuration.organisations = vec![organisation("granite", CALLERS_KEY, None)];
    configuration
}

/// Sends a request with a key, and changes the configuration while it is at its first target, which
/// answers as given.
async fn observe(first: fn(&str) -> ScriptedResponse, change: fn(&mut Configuration)) -> Observed {
    let pending = PendingChange::default();
    let targets = [start_target(&pending, first).await, start_target(&pending, first).await];
    let other = start_target(&pending, first).await;
    let fleet = Fleet::start(&[&targets[0], &targets[1]], Repeatable::Always);
    fleet.report_other_service("other", other.address);
    let tables = &fleet.daemon.tables;
    let mut before = keyed_configuration();
    before.revision = Revision(2);
    assert!(tables.activate(before.into_content()));
    let mut after = keyed_configuration();
    after.revision = Revision(3);
    change(&mut after);
    *pending.content.lock() = Some(after.into_content());
    assert!(pending.tables.set(Arc::clone(tables)).is_ok());
    let headers = [(KEY, CALLERS_KEY.to_owned())];
    let response = fleet.send_with_headers(Method::GET, "a", &headers).await;
    Observed {
        status: response.status().as_u16(),
        sent: targets.iter().map(|target| target.requests().len()).sum(),
        sent_to_other: other.requests().len(),
    }
}

/// Checks that the change forbids to send the request to another target, both if it may have run and if
/// it was refused.
async fn assert_not_sent_again(change: fn(&mut Configuration)) {
    assert_eq!(observe(close_unanswered, change).await, observed(502, 1, 0), "may have run");
    assert_eq!(observe(refuse, change).await, observed(503, 1, 0), "has not run");
}

/// Guards against a test that passes because requests are never sent again.
#[tokio::test]
async fn repeat_without_relevant_change() {
    assert_eq!(observe(close_unanswered, |_| {}).await, observed(200, 2, 0));
    assert_eq!(observe(refuse, |_| {}).await, observed(200, 2, 0));
}

/// Guards against repeats in a data centre that was evacuated while the request was at its first
/// target: they were sent 5.3 s after the acknowledgement, by the configuration of the arrival.
#[tokio::test]
async fn repeat_after_evacuation() {
    assert_not_sent_again(|after| after.evacuated = vec![id("east-1")]).await;
}

/// Guards against requests that run with a key that was withdrawn before they were sent.
#[tokio::test]
async fn repeat_after_key_withdrawn() {
    assert_not_sent_again(|after| {
        after.organisations = vec![organisation("granite", "another-key", None)];
    })
    .await;
}

/// Guards against requests that run on a route that was removed before they were sent.
#[tokio::test]
async fn repeat_after_route_removed() {
    assert_not_sent_again(|after| after.routes.clear()).await;
}

/// Guards against requests that reach a region that is no longer a home of their route.
#[tokio::test]
async fn repeat_after_homes_changed() {
    assert_not_sent_again(|after| after.routes[0].home_regions = smallvec![id("west")]).await;
}

/// Guards against requests that reach a region that is no longer a home of their organisation.
#[tokio::test]
async fn repeat_after_organisation_homes_changed() {
    assert_not_sent_again(|after| {
        after.organisations[0].policy.home_regions = smallvec![id("west")];
    })
    .await;
}

/// Guards against a request that uses the limit of an organisation without one of its tokens.
#[tokio::test]
async fn repeat_after_key_moved_to_limited_organisation() {
    assert_not_sent_again(|after| {
        let limit = Limit { rate: RequestRate(10), burst: RequestCount(10), window: None };
        after.organisations = vec![organisation("quarry", CALLERS_KEY, Some(limit))];
    })
    .await;
}

/// Guards against a second run of a request whose route has become one of requests that run once.
#[tokio::test]
async fn repeat_after_route_became_non_idempotent() {
    let change = |after: &mut Configuration| after.routes[0].repeatable = Repeatable::OnlyIfNotRun;
    assert_eq!(observe(close_unanswered, change).await, observed(502, 1, 0));
    assert_eq!(observe(refuse, change).await, observed(200, 2, 0));
}

/// Guards against requests that are sent to the service that their route no longer names.
#[tokio::test]
async fn repeat_after_service_changed() {
    let change = |after: &mut Configuration| {
        let other = WeightedService { service: id(OTHER_SERVICE), weight: 1.0 };
        after.routes[0].weighted_services = smallvec![other];
    };
    assert_eq!(observe(close_unanswered, change).await, observed(200, 1, 1));
    assert_eq!(observe(refuse, change).await, observed(200, 1, 1));
}

/// Guards against a request that is sent once more to the same target, after the loss of an idle
/// connection, though its data centre was evacuated meanwhile.
#[tokio::test]
async fn resend_on_new_connection_after_evacuation() {
    let pending = PendingChange::default();
    let target = start_target(&pending, close_unanswered).await;
    let fleet = Fleet::start(&[&target], Repeatable::Always);
    assert_eq!(fleet.status(Method::GET, "a").await, 200);
    let mut after = Configuration::new(Repeatable::Always);
    after.revision = Revision(2);
    after.evacuated = vec![id("east-1")];
    *pending.content.lock() = Some(after.into_content());
    assert!(pending.tables.set(Arc::clone(&fleet.daemon.tables)).is_ok());
    assert_eq!(fleet.status(Method::GET, "b").await, 502);
    assert_eq!(target.requests().len(), 2, "the request was sent once more");
}
