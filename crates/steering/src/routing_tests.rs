//! Tests of routing: requests must not reach the wrong service or be attributed to the wrong
//! organisation.

use std::collections::HashMap;
use std::time::Duration;

use celerygate_types::ServiceId;
use smallvec::smallvec;

use super::*;

pub(super) fn service(name: &str) -> ServiceId {
    name.parse().expect("valid id")
}

pub(super) fn route(name: &str, prefix: &str, weighted_services: &[(&str, f64)]) -> Route {
    let weighted_service =
        |(name, weight): &(&str, f64)| WeightedService { service: service(name), weight: *weight };
    Route {
        name: name.into(),
        host: "lists.example".into(),
        path_prefix: prefix.into(),
        repeatable: Repeatable::Always,
        timeout: Duration::from_secs(1),
        target_latency: Duration::from_millis(200),
        priority: 1,
        weighted_services: weighted_services.iter().map(weighted_service).collect(),
        attempts_max: 2,
        is_public: false,
        has_affinity: true,
        has_large_responses: false,
        home_regions: smallvec![],
    }
}

pub(super) fn services() -> HashMap<ServiceId, ServicePolicy> {
    let policy = ServicePolicy { connections: 10, cold_requests_per_s: 4.0 };
    ["old", "new"].into_iter().map(|name| (service(name), policy.clone())).collect()
}

pub(super) fn organisation(name: &str, key: &str) -> OrganisationEntry {
    OrganisationEntry {
        organisation: name.parse().expect("valid id"),
        keys: vec![blake3::hash(key.as_bytes())],
        policy: OrganisationPolicy { limit: None, home_regions: smallvec![] },
    }
}

fn build_error(routes: Vec<Route>) -> String {
    let built = RoutingTable::build(routes, services(), Vec::new());
    built.expect_err("the routes are faulty").to_string()
}

#[test]
fn route_longest_prefix() {
    let routes = vec![
        route("all", "/", &[("old", 1.0)]),
        route("long", "/a/b/", &[("old", 1.0)]),
        route("short", "/a/", &[("old", 1.0)]),
    ];
    let table = RoutingTable::build(routes, services(), Vec::new()).expect("valid routes");
    let name = |path| table.route("lists.example", path).map(|route| route.name.as_str());
    assert_eq!(name("/a/b/c"), Some("long"));
    assert_eq!(name("/a/bc"), Some("short"));
    assert_eq!(name("/x"), Some("all"));
    assert!(table.route("other.example", "/a/b/c").is_none());
}

#[test]
fn build_invalid_routes_refused() {
    let valid_route = || route("good", "/a/", &[("old", 1.0)]);
    expect_test::expect!["routes good and twin have the same host and prefix"].assert_eq(
        &build_error(vec![valid_route(), Route { name: "twin".into(), ..valid_route() }]),
    );
    expect_test::expect!["route good has no host"]
        .assert_eq(&build_error(vec![Route { host: "".into(), ..valid_route() }]));
    expect_test::expect!["route good names the unknown service lost"]
        .assert_eq(&build_error(vec![route("good", "/a/", &[("lost", 1.0)])]));
    expect_test::expect!["route good has no service with a weight"]
        .assert_eq(&build_error(vec![route("good", "/a/", &[("old", 0.0)])]));
    expect_test::expect!["the target latency of route good is a minute or more above its timeout"]
        .assert_eq(&build_error(vec![Route {
            target_latency: Duration::from_secs(61),
            ..valid_route()
        }]));
}

#[test]
fn build_shared_key_refused() {
    let organisations = vec![organisation("one", "key"), organisation("two", "key")];
    assert!(RoutingTable::build(Vec::new(), services(), organisations).is_err());
}

#[test]
fn organisation_of_key_matches_whole_key() {
    let organisations = vec![organisation("one", "key-1"), organisation("two", "key-2")];
    let table = RoutingTable::build(Vec::new(), services(), organisations).expect("valid");
    assert_eq!(table.organisation_of_key(b"key-2").map(OrganisationId::as_str), Some("two"));
    assert_eq!(table.organisation_of_key(b"key-"), None);
}

#[test]
fn select_service_by_weight() {
    let route = route("split", "/", &[("old", 90.0), ("new", 10.0)]);
    // The platform tolerates a deviation of a tenth in steady state.
    for length in [20_u64, 300, 5_000] {
        let new =
            (0..length).filter(|number| *select_service(&route, *number) == service("new")).count();
        let share = new as f64 / length as f64;
        assert!((share - 0.1).abs() < 0.1, "{new} of {length}");
    }
}

#[test]
fn allows_region_intersection() {
    let region = |name: &str| name.parse::<RegionId>().expect("valid id");
    let (east, west) = (region("east"), region("west"));
    let (only_east, only_west) = ([east.clone()], [west.clone()]);
    assert!(allows_region(&[], &[], &east));
    assert!(allows_region(&only_east, &[], &east));
    assert!(!allows_region(&only_east, &only_west, &east));
    assert!(!allows_region(&only_east, &[], &west));
}
