//! Tests of path routing: a path that is read in two ways could reach a service without its key.

use expect_test::{Expect, expect};

use super::*;

fn check(uri: &str, expected: &Expect) {
    let text = match route(&uri.parse().unwrap()) {
        Route::Lookup(service) => format!("lookup {service}"),
        Route::Service(service, uri) => format!("service {service} {uri}"),
        Route::Refused(refusal) => format!("refused {}", refusal.code),
    };
    expected.assert_eq(&text);
}

#[test]
fn route_lookup() {
    check("/lookup/echo?client=192.0.2.1", &expect!["lookup echo"]);
    check("/lookup/echo/more", &expect!["refused unknown-path"]);
}

#[test]
fn route_service_path_and_query() {
    check("/svc/echo/a/b?c=d", &expect!["service echo /a/b?c=d"]);
    check("/svc/echo", &expect!["service echo /"]);
    check("/svc/echo//a", &expect!["service echo //a"]);
}

#[test]
fn route_unknown() {
    check("/", &expect!["refused unknown-path"]);
    check("/svc", &expect!["refused unknown-path"]);
    check("/other/echo", &expect!["refused unknown-path"]);
    check("/svc/Echo/a", &expect!["refused unknown-service"]);
}
