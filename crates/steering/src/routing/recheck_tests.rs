//! Tests of the recheck: a request must not be sent to what the configuration in force forbids, nor
//! refused for a change that does not concern it.

use celerygate_types::{RequestCount, RequestRate};

use super::super::tests::{organisation, route, service, services};
use super::*;
use crate::grants::Limit;

const KEY: &str = "key-1";

fn earlier(may_have_run: bool) -> (ServiceId, OrganisationId, bool) {
    (service("old"), "granite".parse().expect("valid id"), may_have_run)
}

/// Returns the decision about a request that was admitted for the service `old` and the organisation
/// `granite`.
fn decision(routes: Vec<Route>, key_owner: &str, may_have_run: bool) -> String {
    let organisations = vec![organisation(key_owner, KEY)];
    let table = RoutingTable::build(routes, services(), organisations).expect("a valid table");
    decision_of(&table, may_have_run)
}

fn decision_of(table: &RoutingTable, may_have_run: bool) -> String {
    let subject = RequestSubject { host: "lists.example", path: "/a/b", key: Some(KEY.as_bytes()) };
    let (service, organisation, may_have_run) = earlier(may_have_run);
    let organisation = Some(&organisation);
    let earlier = EarlierAdmission { service: &service, organisation, may_have_run };
    let text = |organisation: Option<OrganisationId>| {
        organisation.map_or("nobody".to_owned(), |organisation| organisation.to_string())
    };
    match table.recheck(&subject, &earlier) {
        Recheck::KeepService(route, organisation) => {
            format!("keep {} {}", route.name, text(organisation))
        }
        Recheck::SelectService(route, organisation) => {
            format!("select {} {}", route.name, text(organisation))
        }
        Recheck::Refuse(code) => format!("refuse {code}"),
        Recheck::EndWithFailure => "end".to_owned(),
    }
}

/// Guards against a split whose requests change their service at each change of the weights: repeats
/// of a request would run on both.
#[test]
fn recheck_weights_changed() {
    let routes = || vec![route("split", "/a/", &[("old", 1.0), ("new", 99.0)])];
    assert_eq!(decision(routes(), "granite", false), "keep split granite");
    assert_eq!(decision(routes(), "granite", true), "keep split granite");
}

/// Guards against requests that are sent to a service that gets none any more.
#[test]
fn recheck_service_without_weight() {
    let routes = || vec![route("split", "/a/", &[("old", 0.0), ("new", 1.0)])];
    assert_eq!(decision(routes(), "granite", false), "select split granite");
}

/// Guards against requests that follow a route with a shorter prefix although a longer one was added.
#[test]
fn recheck_longer_prefix_added() {
    let routes = vec![route("short", "/", &[("old", 1.0)]), route("long", "/a/", &[("new", 1.0)])];
    assert_eq!(decision(routes, "granite", false), "select long granite");
}

/// Guards against a refusal that states that the request has not run although it may have.
#[test]
fn recheck_forbidden() {
    let others = || vec![route("others", "/c/", &[("old", 1.0)])];
    assert_eq!(decision(others(), "granite", false), "refuse unknown-path");
    assert_eq!(decision(others(), "granite", true), "end");
    let withdrawn = |may_have_run| {
        let routes = vec![route("a", "/a/", &[("old", 1.0)])];
        let organisations = vec![organisation("granite", "key-2")];
        let table = RoutingTable::build(routes, services(), organisations).expect("valid");
        decision_of(&table, may_have_run)
    };
    assert_eq!(withdrawn(false), "refuse key-refused");
    assert_eq!(withdrawn(true), "end");
}

/// Guards against a request that counts for no limit, or for that of the earlier organisation.
#[test]
fn recheck_key_moved() {
    let routes = || vec![route("a", "/a/", &[("old", 1.0)])];
    assert_eq!(decision(routes(), "quarry", false), "keep a quarry");
    let limited = |name: &str| {
        let mut entry = organisation(name, KEY);
        entry.policy.limit =
            Some(Limit { rate: RequestRate(1), burst: RequestCount(1), window: None });
        let table = RoutingTable::build(routes(), services(), vec![entry]).expect("valid");
        decision_of(&table, false)
    };
    assert_eq!(limited("quarry"), "refuse configuration-stale");
    assert_eq!(limited("granite"), "keep a granite");
}

/// Guards against a refusal when routes stop to need keys.
#[test]
fn recheck_keys_removed() {
    let routes = vec![route("a", "/a/", &[("old", 1.0)])];
    let table = RoutingTable::build(routes, services(), Vec::new()).expect("a valid table");
    assert_eq!(decision_of(&table, true), "keep a nobody");
}

/// Guards against a second run on a route that has become one of requests that run at most once.
#[test]
fn recheck_became_non_idempotent() {
    let routes = || {
        let repeatable = Repeatable::OnlyIfNotRun;
        vec![Route { repeatable, ..route("a", "/a/", &[("old", 1.0)]) }]
    };
    assert_eq!(decision(routes(), "granite", true), "end");
    assert_eq!(decision(routes(), "granite", false), "keep a granite");
}
