//! Tests of path routing. They guard against a path that the router and the check of the key
//! interpret differently: such a request could reach a service without a key.

use expect_test::{Expect, expect};

use super::*;

fn assert_route(uri: &str, expected: &Expect) {
    let text = match route(&uri.parse().unwrap()) {
        Route::Lookup(service) => format!("lookup {service}"),
        Route::Service(service, uri) => format!("service {service} {uri}"),
        Route::Refused(refusal) => format!("refused {}", refusal.code),
    };
    expected.assert_eq(&text);
}

#[test]
fn route_lookup() {
    assert_route("/lookup/echo?client=192.0.2.1", &expect!["lookup echo"]);
    assert_route("/lookup/echo/more", &expect!["refused unknown-path"]);
}

#[test]
fn route_service_path_and_query() {
    assert_route("/svc/echo/a/b?c=d", &expect!["service echo /a/b?c=d"]);
    assert_route("/svc/echo", &expect!["service echo /"]);
    assert_route("/svc/echo//a", &expect!["service echo //a"]);
}

#[test]
fn route_unknown() {
    assert_route("/", &expect!["refused unknown-path"]);
    assert_route("/svc", &expect!["refused unknown-path"]);
    assert_route("/other/echo", &expect!["refused unknown-path"]);
    assert_route("/svc/Echo/a", &expect!["refused unknown-service"]);
}
