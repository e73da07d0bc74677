//! Targets that state in their responses that they leave or want no requests for a time.

mod support;

use std::sync::Arc;
use std::time::Duration;

use celerygate_fleet::targets::{self, Choice, Query};
use celerygate_steering::availability::{Notice, TargetLife};
use celerygate_steering::routing::Repeatable;
use celerygate_types::{Incarnation, ManualClock};
use hyper::Method;
use support::raw_target::{RawTarget, ScriptedResponse};
use support::{Fleet, RETRY_AFTER, answer, eventually, head};

fn keep_alive(text: impl AsRef<str>) -> ScriptedResponse {
    ScriptedResponse::KeepAlive(text.as_ref().into())
}

/// Returns the id of the attempt that a forwarded request names.
fn attempt_of(request: &str) -> String {
    let line = request.lines().find_map(|line| line.strip_prefix("attempt: "));
    line.expect("an attempt id").to_owned()
}

/// Adds headers to a response.
fn with_headers(response: &str, headers: &str) -> String {
    let (status, rest) = response.split_once("\r\n").expect("a status line");
    format!("{status}\r\n{headers}{rest}")
}

/// Returns a rejection of an attempt whose target wants no requests for a time.
fn pause(attempt: &str, pause_ms: u64) -> String {
    with_headers(&support::refusal(attempt), &format!("pause-ms: {pause_ms}\r\n"))
}

/// Starts a target that sends the first response to the first request and answers the others.
async fn start_target(
    first: impl Fn(&str) -> ScriptedResponse + Send + Sync + 'static,
) -> RawTarget {
    RawTarget::start(move |number, request| {
        let attempt = attempt_of(request);
        if number == 0 { first(&attempt) } else { keep_alive(answer(&attempt, "ok")) }
    })
    .await
}

/// Guards against a notice that is lost because of the response that carries it, and against new
/// requests to a target that leaves.
#[tokio::test]
async fn leaving_stated_by_any_response() {
    let leaving = |text: &str| with_headers(text, "leaving: 1\r\n");
    let status = |status: &str| leaving(&answer("a", "").replacen("200 OK", status, 1));
    let cut = leaving(&format!("{}content-length: 10\r\n\r\nx", head("a")));
    let unframed = leaving(&head("a"));
    let cases = [
        ("answer", keep_alive(leaving(&answer("a", "ok")))),
        ("rejection", keep_alive(leaving(&support::refusal("a")))),
        ("client error", keep_alive(status("404 Not Found"))),
        ("server error", keep_alive(status("500 Internal Server Error"))),
        ("other id", keep_alive(leaving(&answer("b", "ok")))),
        ("closed body", ScriptedResponse::Close(cut.clone().into())),
        ("reset body", ScriptedResponse::Reset(cut.into())),
        ("unframed body", ScriptedResponse::Reset(format!("{unframed}\r\nx").into())),
    ];
    for (name, response) in cases {
        let target = start_target(move |_| response.clone()).await;
        let fleet = Fleet::start(&[&target], Repeatable::OnlyIfNotRun);
        fleet.send(Method::GET, "a").await;
        for attempt in ["b", "c"] {
            assert_eq!(fleet.status(Method::GET, attempt).await, 503, "{name}");
        }
        assert_eq!(target.requests().len(), 1, "{name}: the target got a request after its notice");
    }
}

/// Guards against requests that a leaving target gets although another target has capacity.
#[tokio::test]
async fn leaving_other_target_serves() {
    let leaving =
        start_target(|attempt| keep_alive(with_headers(&answer(attempt, "ok"), "leaving: 1\r\n")))
            .await;
    let other = start_target(|attempt| keep_alive(answer(attempt, "ok"))).await;
    let fleet = Fleet::start(&[&leaving, &other], Repeatable::OnlyIfNotRun);
    for number in 0..20 {
        assert_eq!(fleet.status(Method::GET, &format!("a{number}")).await, 200);
        // Both targets have the same load, so either may get the first request.
        let mut local = fleet.daemon.tables.targets.lock();
        let stats = local.stats.values_mut();
        stats.for_each(|stats| *stats = Default::default());
    }
    let counts = (leaving.requests().len(), other.requests().len());
    assert!(counts.0 <= 1, "requests at the leaving target and at the other one: {counts:?}");
}

/// Guards against a notice of an ended process that keeps requests from the next one at the address.
#[tokio::test]
async fn leaving_new_incarnation_starts_clean() {
    let target =
        start_target(|attempt| keep_alive(with_headers(&pause(attempt, 60_000), "leaving: 1\r\n")))
            .await;
    let fleet = Fleet::start(&[&target], Repeatable::OnlyIfNotRun);
    assert_eq!(fleet.status(Method::GET, "a").await, 503);
    assert_eq!(fleet.status(Method::GET, "b").await, 503);
    fleet.report_life("target-0", target.address, 2);
    assert_eq!(fleet.status(Method::GET, "c").await, 200);
    assert_eq!(target.requests().len(), 2);
}

/// Guards against requests within a pause, callers that are told to return too early, and a pause that
/// does not end.
#[tokio::test]
async fn pause_refused_until_its_end() {
    let clock = ManualClock::new();
    let target = start_target(|attempt| keep_alive(pause(attempt, 1_500))).await;
    let fleet = Fleet::start_with_clock(&[&target], Repeatable::OnlyIfNotRun, clock.clock());
    for elapsed_ms in [0, 500, 1_499] {
        clock.advance(Duration::from_millis(elapsed_ms).saturating_sub(clock.elapsed()));
        let response = fleet.send(Method::GET, "a").await;
        assert_eq!(response.status(), 503);
        let retry_after = response.headers().get(RETRY_AFTER).expect("a retry time");
        let retry_after_ms: u64 = retry_after.to_str().expect("text").parse().expect("a number");
        let left_ms = 1_500 - elapsed_ms;
        // At most half of the target latency of 500 ms is added.
        assert!((left_ms..=left_ms + 250).contains(&retry_after_ms), "{retry_after_ms}");
        assert_eq!(target.requests().len(), 1, "after {elapsed_ms} ms");
    }
    clock.advance(Duration::from_millis(1));
    assert_eq!(fleet.status(Method::GET, "b").await, 200);
}

/// Guards against a pause whose end is not noticed without requests, and against metrics that do not
/// follow.
#[tokio::test]
async fn watch_availability_pause() {
    let clock = ManualClock::new();
    let target = start_target(|attempt| keep_alive(pause(attempt, 60_000))).await;
    let fleet = Fleet::start_with_clock(&[&target], Repeatable::OnlyIfNotRun, clock.clock());
    tokio::spawn(targets::watch_availability(Arc::clone(&fleet.daemon)));
    let paused = |count: u32| {
        let text = fleet.daemon.metrics.scrape().expect("metrics");
        let is_sample = |line: &&str| {
            line.starts_with("celerygate_unavailable_targets") && line.contains("paused")
        };
        text.lines().find(is_sample).is_some_and(|line| line.ends_with(&format!(" {count}")))
    };
    assert_eq!(fleet.status(Method::GET, "a").await, 503);
    assert!(paused(1));
    clock.advance(Duration::from_secs(60));
    eventually("the pause has ended", || async { paused(0) }).await;
}

/// Guards against a target that counts as leaving after its process has ended.
#[tokio::test]
async fn watch_availability_ended_process() {
    let target =
        start_target(|attempt| keep_alive(with_headers(&answer(attempt, "ok"), "leaving: 1\r\n")))
            .await;
    for ends_by_report in [false, true] {
        let fleet = Fleet::start(&[&target], Repeatable::OnlyIfNotRun);
        let daemon = &fleet.daemon;
        tokio::spawn(targets::watch_availability(Arc::clone(daemon)));
        let (id, notice) =
            ("target-0".parse().expect("an id"), Notice { is_leaving: true, pause: None });
        let life = TargetLife { target: id, incarnation: Incarnation(1) };
        daemon.tables.targets.lock().availability.record(&life, notice, daemon.now());
        tokio::time::sleep(Duration::from_millis(600)).await;
        assert!(!daemon.tables.targets.lock().availability.is_empty(), "it has not ended yet");
        if ends_by_report {
            let now_unix_ms = daemon.clock.unix_ms();
            let mut instances = daemon.tables.instances.write();
            instances
                .record_deregistration(&life.target, None, now_unix_ms, daemon.now())
                .expect("room");
        } else {
            fleet.report_life("target-0", target.address, 2);
        }
        eventually("the state is forgotten", || async {
            daemon.tables.targets.lock().availability.is_empty()
        })
        .await;
    }
}

/// Guards against a retry time that is later than the earliest end of a pause.
#[tokio::test]
async fn pause_earliest_end_for_callers() {
    let clock = ManualClock::new();
    let long = start_target(|attempt| keep_alive(pause(attempt, 20_000))).await;
    let short = start_target(|attempt| keep_alive(pause(attempt, 4_000))).await;
    let fleet = Fleet::start_with_clock(&[&long, &short], Repeatable::OnlyIfNotRun, clock.clock());
    // The first request is rejected by both targets.
    for attempt in ["a", "b"] {
        let response = fleet.send(Method::GET, attempt).await;
        let retry_after = response.headers().get(RETRY_AFTER).expect("a retry time");
        let retry_after_ms: u64 = retry_after.to_str().expect("text").parse().expect("a number");
        assert!((4_000..=4_250).contains(&retry_after_ms), "{retry_after_ms}");
    }
    assert_eq!((long.requests().len(), short.requests().len()), (1, 1));
}

/// Guards against a pause that counts as a failure: the target would be avoided after its end, and
/// requests would be placed elsewhere.
#[tokio::test]
async fn pause_no_failure() {
    let signed = |attempt: &str| {
        let answer = answer(attempt, "").replacen("200 OK", "503 Service Unavailable", 1);
        keep_alive(with_headers(&answer, "pause-ms: 1000\r\n"))
    };
    for repeatable in [Repeatable::Always, Repeatable::OnlyIfNotRun] {
        for is_signed in [false, true] {
            let target = start_target(move |attempt| {
                if is_signed { signed(attempt) } else { keep_alive(pause(attempt, 1_000)) }
            })
            .await;
            let fleet = Fleet::start(&[&target], repeatable);
            fleet.send(Method::GET, "a").await;
            let local = fleet.daemon.tables.targets.lock();
            let stats = local.stats.values().next().expect("the target's statistics");
            assert!(!stats.is_avoided(fleet.daemon.now()), "{repeatable:?} {is_signed}");
            assert_eq!(stats.failure_share(), 0.0, "{repeatable:?} {is_signed}");
            assert_eq!(stats.in_flight, 0);
        }
    }
}

/// Guards against a burst at the end of a pause, and against requests that wait for a target which
/// then states that it leaves.
#[tokio::test]
async fn pause_end_one_request_at_a_time() {
    let clock = ManualClock::new();
    let target = RawTarget::start(|number, request| match number {
        0 => keep_alive(pause(&attempt_of(request), 1_000)),
        _ => ScriptedResponse::LateBytes(
            Vec::new(),
            with_headers(&answer(&attempt_of(request), "ok"), "leaving: 1\r\n").into(),
        ),
    })
    .await;
    let fleet =
        Arc::new(Fleet::start_with_clock(&[&target], Repeatable::OnlyIfNotRun, clock.clock()));
    assert_eq!(fleet.status(Method::GET, "a").await, 503);
    clock.advance(Duration::from_millis(1_000));
    let callers: Vec<_> = (0..4)
        .map(|number| {
            let fleet = Arc::clone(&fleet);
            tokio::spawn(async move { fleet.status(Method::GET, &format!("b{number}")).await })
        })
        .collect();
    eventually("the target has a request", || async { target.requests().len() == 2 }).await;
    let mut statuses = Vec::new();
    for caller in callers {
        statuses.push(caller.await.expect("a status"));
    }
    statuses.sort_unstable();
    assert_eq!(statuses, [200, 503, 503, 503]);
    assert_eq!(target.requests().len(), 2, "the target got requests beside the first one");
}

/// Guards against requests that are refused although a target that resumes would soon take them.
#[tokio::test]
async fn pause_end_next_request_waits() {
    let clock = ManualClock::new();
    let target = RawTarget::start(|number, request| match number {
        0 => keep_alive(pause(&attempt_of(request), 1_000)),
        _ => ScriptedResponse::LateBytes(Vec::new(), answer(&attempt_of(request), "ok").into()),
    })
    .await;
    let fleet = Fleet::start_with_clock(&[&target], Repeatable::OnlyIfNotRun, clock.clock());
    assert_eq!(fleet.status(Method::GET, "a").await, 503);
    clock.advance(Duration::from_millis(1_000));
    let statuses = tokio::join!(fleet.status(Method::GET, "b"), fleet.status(Method::GET, "c"));
    assert_eq!(statuses, (200, 200));
}

/// Guards against a request that is sent to a target once more, after its connection was lost, although
/// the target has stated in the meantime that it leaves or wants no requests.
#[tokio::test]
async fn may_resend_after_notice() {
    let target = start_target(|attempt| keep_alive(answer(attempt, "ok"))).await;
    for notice in [
        Notice { is_leaving: true, pause: None },
        Notice { is_leaving: false, pause: Some(Duration::from_secs(60)) },
    ] {
        let fleet = Fleet::start(&[&target], Repeatable::Always);
        let daemon = &fleet.daemon;
        let content = daemon.tables.content().expect("a configuration");
        let route = content.routing.route("service.example", "/a/b").expect("a route");
        let query = Query {
            request: "a",
            service: &route.weighted_services[0].service,
            route,
            organisation_homes: &[],
            object: None,
            remaining: Duration::from_secs(1),
            tried: &[],
        };
        let Choice::Use(chosen) = targets::choose(daemon, &content, &query, daemon.now()) else {
            panic!("no target was chosen");
        };
        assert!(targets::may_resend(daemon, &chosen));
        targets::record_notice(daemon, "b", &chosen, notice);
        assert!(!targets::may_resend(daemon, &chosen), "{notice:?}");
    }
}

/// Guards against a target that stays at its first limit after a pause.
#[tokio::test]
async fn pause_end_limit_rises() {
    let clock = ManualClock::new();
    let target = RawTarget::start(|number, request| match number {
        0 => keep_alive(pause(&attempt_of(request), 1_000)),
        1..5 => keep_alive(answer(&attempt_of(request), "ok")),
        _ => ScriptedResponse::Stall(Vec::new()),
    })
    .await;
    let fleet =
        Arc::new(Fleet::start_with_clock(&[&target], Repeatable::OnlyIfNotRun, clock.clock()));
    assert_eq!(fleet.status(Method::GET, "a").await, 503);
    clock.advance(Duration::from_millis(1_000));
    for number in 0..4 {
        assert_eq!(fleet.status(Method::GET, &format!("b{number}")).await, 200);
    }
    let callers: Vec<_> = (0..4)
        .map(|number| {
            let fleet = Arc::clone(&fleet);
            tokio::spawn(async move { fleet.status(Method::GET, &format!("c{number}")).await })
        })
        .collect();
    eventually("all slots are used", || async { target.requests().len() == 9 }).await;
    // With a lower limit, a request would have to end before the next one is sent.
    assert!(callers.iter().all(|caller| !caller.is_finished()));
    callers.iter().for_each(tokio::task::JoinHandle::abort);
}
