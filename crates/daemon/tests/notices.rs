//! Targets that state in their responses that they leave or want no requests for a time.

mod support;

use std::time::{Duration, Instant};

use hyper::{Method, StatusCode};
use support::caller::{Reply, get};
use support::daemon::{ALPHA_KEY, AnnouncementGuard, Daemon};
use support::eventually;
use support::raw_target::{RawTarget, ScriptedResponse};

const OK: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/// Starts a daemon with one target that sends the first response once and then succeeds.
async fn start_with_first_response(
    first: ScriptedResponse,
    slots: u32,
) -> (Daemon, RawTarget, AnnouncementGuard) {
    let target = RawTarget::start(move |number, _| match number {
        0 => first.clone(),
        _ => ScriptedResponse::KeepAlive(OK.into()),
    })
    .await;
    let daemon = Daemon::start().await;
    let announced = daemon.announce("target-1", target.address, slots).await;
    (daemon, target, announced)
}

fn response(status: &str, headers: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status}\r\n{headers}content-length: 0\r\n\r\n").into()
}

async fn send(daemon: &Daemon) -> Reply {
    daemon.caller().await.send(get("/svc/echo/a", Some(ALPHA_KEY))).await
}

/// Returns the note of the only target in the status.
async fn note(daemon: &Daemon) -> String {
    daemon.status().await["targets"][0]["note"].as_str().expect("a note").to_owned()
}

/// Returns the value of a metric whose only label of its own has this value.
async fn metric(daemon: &Daemon, name: &str, label: &str) -> u64 {
    let reply = daemon.send_to_operators(Method::GET, "/metrics", None).await;
    let text = String::from_utf8_lossy(&reply.body).into_owned();
    let is_sample = |line: &&str| line.starts_with(name) && line.contains(label);
    let sample = text.lines().find(is_sample).unwrap_or_else(|| panic!("{name}: {text}"));
    sample.rsplit(' ').next().and_then(|value| value.parse().ok()).expect("a number")
}

/// Guards against new requests to a target that leaves, whatever response states it.
#[tokio::test]
async fn leaving_stated_by_any_response() {
    let leaving = "celerygate-leaving: 1\r\n";
    for first in [
        ScriptedResponse::KeepAlive(response("200 OK", leaving)),
        ScriptedResponse::KeepAlive(response("404 Not Found", leaving)),
        ScriptedResponse::KeepAlive(response("500 Internal Server Error", leaving)),
        ScriptedResponse::KeepAlive(response("503 Service Unavailable", leaving)),
        ScriptedResponse::Close(
            format!("HTTP/1.1 200 OK\r\n{leaving}content-length: 10\r\n\r\nx").into(),
        ),
    ] {
        let (daemon, target, _announcement) = start_with_first_response(first.clone(), 3).await;
        // The body of one of the responses is incomplete, so the caller may get an error.
        let _ = daemon.caller().await.try_send(get("/svc/echo/a", Some(ALPHA_KEY))).await;
        let reply = send(&daemon).await;
        reply.assert_error(503, 1203, "no-capacity", "not-run");
        assert!(!reply.headers.contains_key("retry-after"), "{first:?}: it does not return");
        assert_eq!(target.requests().len(), 1, "{first:?}");
        assert_eq!(note(&daemon).await, "leaving", "{first:?}");
        assert_eq!(metric(&daemon, "celerygate_unavailable_targets", "leaving").await, 1);
        assert_eq!(metric(&daemon, "celerygate_target_notices_total", "leaving").await, 1);
    }
}

/// Guards against requests within a pause, callers that are told to return too early, a pause that does
/// not end, and one that counts as a failure.
#[tokio::test]
async fn pause_refused_until_its_end() {
    let first = response("503 Service Unavailable", "retry-after: 3.5\r\n");
    let first = ScriptedResponse::KeepAlive(first);
    let (daemon, target, _announcement) = start_with_first_response(first, 3).await;
    let sent_at = Instant::now();
    assert_eq!(send(&daemon).await.status, StatusCode::SERVICE_UNAVAILABLE);
    let mut refused = 0;
    loop {
        let reply = send(&daemon).await;
        if reply.status == StatusCode::OK {
            break;
        }
        reply.assert_error(503, 1203, "no-capacity", "not-run");
        let retry_after = reply.headers["retry-after"].to_str().expect("text");
        let retry_after_s: f64 = retry_after.parse().expect("a number");
        let left_s = 3.5 - sent_at.elapsed().as_secs_f64();
        assert!((left_s..=4.0).contains(&retry_after_s), "{retry_after} with {left_s} s left");
        if refused == 0 {
            assert_eq!(note(&daemon).await, "paused");
            assert_eq!(metric(&daemon, "celerygate_unavailable_targets", "paused").await, 1);
        }
        refused += 1;
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert!(sent_at.elapsed() >= Duration::from_millis(3_500));
    assert!(refused > 0);
    assert_eq!(target.requests().len(), 2);
    assert_eq!(note(&daemon).await, "");
    assert_eq!(metric(&daemon, "celerygate_target_notices_total", "pause").await, 1);
    for line in ["target asks for a pause", "pause of a target has ended"] {
        // The end is noticed with the next tick at the latest, and a thread writes the log.
        eventually(line, async || daemon.log().contains(line).then_some(())).await;
        assert_eq!(daemon.log().matches(line).count(), 1, "{line}");
    }
}

/// Guards against a time that is no number of seconds and stops the traffic to a target.
#[tokio::test]
async fn pause_nonsense_ignored() {
    for value in ["-1", "NaN", "soon", "Wed, 21 Oct 2037 07:28:00 GMT", "0"] {
        let first = response("503 Service Unavailable", &format!("retry-after: {value}\r\n"));
        let first = ScriptedResponse::KeepAlive(first);
        let (daemon, _target, _announcement) = start_with_first_response(first, 3).await;
        assert_eq!(send(&daemon).await.status, StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(send(&daemon).await.status, StatusCode::OK, "{value}");
    }
}

/// Guards against a copy of an earlier refusal that begins its pause anew: the target takes requests and
/// gets none.
#[tokio::test]
async fn pause_in_response_to_other_request_ignored() {
    let headers = "celerygate-request: another\r\nretry-after: 60\r\n";
    let first = ScriptedResponse::KeepAlive(response("503 Service Unavailable", headers));
    let (daemon, _target, _announcement) = start_with_first_response(first, 3).await;
    assert_eq!(send(&daemon).await.status, StatusCode::BAD_GATEWAY);
    assert_eq!(send(&daemon).await.status, StatusCode::OK);
}

/// Guards against a request that waits for a slot until its deadline although all targets are paused.
#[tokio::test]
async fn pause_waiting_request_refused() {
    let target = RawTarget::start(|_, _| {
        let paused = response("503 Service Unavailable", "retry-after: 60\r\n");
        ScriptedResponse::LateBytes(Vec::new(), paused)
    })
    .await;
    let daemon = Daemon::start().await;
    let _announcement = daemon.announce("target-1", target.address, 1).await;
    let started = Instant::now();
    // The second request waits for the only slot while the first one runs.
    let (first, second) = tokio::join!(send(&daemon), send(&daemon));
    let refused =
        if first.headers["retry-after"] == "60" && first.body.is_empty() { second } else { first };
    refused.assert_error(503, 1203, "no-capacity", "not-run");
    assert_eq!(refused.headers["retry-after"], "60");
    assert!(started.elapsed() < Duration::from_secs(20), "it waited for its deadline");
    assert_eq!(target.requests().len(), 1);
}
