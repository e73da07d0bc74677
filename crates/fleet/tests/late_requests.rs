//! Requests that arrive at a daemon that is stopping.

mod support;

use std::time::Duration;

use celerygate_steering::routing::Repeatable;
use celerygate_types::ManualClock;
use celerygate_types::wire::VmState;
use hyper::Method;
use support::raw_target::{RawTarget, ScriptedResponse};
use support::{Fleet, RETRY_AFTER, ROUTE_TIMEOUT, answer};

async fn start_target() -> RawTarget {
    RawTarget::start(|_, request| {
        let attempt = request.lines().find_map(|line| line.strip_prefix("attempt: "));
        ScriptedResponse::KeepAlive(answer(attempt.expect("an attempt id"), "ok").into())
    })
    .await
}

/// Guards against requests that are passed on late in the grace period and cut at its end: seen with
/// requests of 5.5 and 7 s taken 3.0 to 4.4 s after SIGTERM, in a grace period of 10 s.
#[tokio::test]
async fn stopping_request_may_outlast_exit() {
    let clock = ManualClock::new();
    let target = start_target().await;
    let fleet = Fleet::start_with_clock(&[&target], Repeatable::OnlyIfNotRun, clock.clock());
    let tables = &fleet.daemon.tables;
    tables.set_state(VmState::Leaving);
    tables.set_last_response_at(clock.clock().now() + ROUTE_TIMEOUT);
    assert_eq!(fleet.status(Method::POST, "a").await, 200);
    clock.advance(Duration::from_millis(1));
    let refused = fleet.send(Method::POST, "b").await;
    assert_eq!(refused.status(), 503);
    assert_eq!(refused.headers()[RETRY_AFTER], "0", "another VM can serve the request at once");
    assert_eq!(target.requests().len(), 1, "a request that may be cut was passed on");
    // A caller that waits less long is still served: the request ends before the exit.
    let remaining = ROUTE_TIMEOUT - Duration::from_millis(1);
    let served = fleet.send_with_deadline(Method::POST, "c", remaining).await;
    assert_eq!(served.status(), 200);
}
