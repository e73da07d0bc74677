//! Which bytes of a target are believed to be the response to a request: refusals and surplus
//! responses on reused connections, and heads that end early or do not end.

mod support;

use std::time::{Duration, Instant};

use celerygate_steering::routing::Repeatable;
use hyper::Method;
use support::raw_target::{LATE_BYTES_DELAY, RawTarget, ScriptedResponse};
use support::{Fleet, ROUTE_TIMEOUT, answer, eventually, head, refusal};

/// Starts a daemon with one target that sends the same response to every request.
async fn start_with_response(
    response: ScriptedResponse,
    repeatable: Repeatable,
) -> (Fleet, RawTarget) {
    let target = RawTarget::start(move |_, _| response.clone()).await;
    (Fleet::start(&[&target], repeatable), target)
}

/// Starts a daemon with one target that responds to the first request and then with other bytes.
async fn start_with_second_response(
    first: ScriptedResponse,
    second: ScriptedResponse,
    repeatable: Repeatable,
) -> (Fleet, RawTarget) {
    let target = RawTarget::start(move |number, _| match number {
        0 => first.clone(),
        _ => second.clone(),
    })
    .await;
    (Fleet::start(&[&target], repeatable), target)
}

fn keep_alive(text: impl AsRef<str>) -> ScriptedResponse {
    ScriptedResponse::KeepAlive(text.as_ref().into())
}

/// Guards against a refusal with the id of the request that is not believed.
#[tokio::test]
async fn refusal_own_id() {
    for method in [Method::GET, Method::POST] {
        let (fleet, target) =
            start_with_response(keep_alive(refusal("a")), Repeatable::OnlyIfNotRun).await;
        assert_eq!(fleet.status(method, "a").await, 503);
        assert_eq!(target.requests().len(), 1);
    }
}

/// Guards against a request that has run and whose caller is told by the status that it has not: the
/// target answered with that status and did not state that it had not run the request.
#[tokio::test]
async fn refusal_status_without_statement() {
    for status in ["429 Too Many Requests", "503 Service Unavailable"] {
        let response = answer("a", "full").replacen("200 OK", status, 1);
        let (fleet, target) =
            start_with_response(keep_alive(response), Repeatable::OnlyIfNotRun).await;
        assert_eq!(fleet.status(Method::POST, "a").await, 502, "{status}");
        assert_eq!(target.requests().len(), 1);
    }
}

/// Statuses that the protocol does not have.
const INVALID_STATUSES: [&str; 12] =
    ["000", "001", "099", "600", "700", "999", "20", "2000", "-20", "+200", "2OO", ""];

/// Guards against a response with a status that the protocol does not have, which is passed on to the
/// caller as an answer, or believed as a refusal.
#[tokio::test]
async fn response_invalid_status() {
    for status in INVALID_STATUSES {
        for text in [answer("a", "ok"), answer("a", ""), refusal("a")] {
            let (_, rest) = text.split_once("\r\n").expect("a status line");
            let odd = keep_alive(format!("HTTP/1.1 {status} OK\r\n{rest}"));
            let (fleet, target) = start_with_second_response(
                odd,
                keep_alive(answer("b", "ok")),
                Repeatable::OnlyIfNotRun,
            )
            .await;
            assert_eq!(fleet.status(Method::POST, "a").await, 502, "{status:?}: {text}");
            assert_eq!(fleet.status(Method::POST, "b").await, 200, "after {status:?}: {text}");
            let connections: Vec<_> =
                target.requests().iter().map(|request| request.connection).collect();
            assert_eq!(connections, [0, 1], "the connection was used again after {status:?}");
        }
    }
}

/// Guards against a refusal of an earlier request, sent once more on a kept connection, that is
/// believed to be about the request that the target is running.
#[tokio::test]
async fn refusal_other_id() {
    let (fleet, target) = start_with_second_response(
        keep_alive(refusal("a")),
        keep_alive(refusal("a")),
        Repeatable::OnlyIfNotRun,
    )
    .await;
    assert_eq!(fleet.status(Method::POST, "a").await, 503);
    assert_eq!(fleet.status(Method::POST, "b").await, 502);
    let connections: Vec<_> = target.requests().iter().map(|request| request.connection).collect();
    assert_eq!(connections, [0, 0], "the second request was not sent on the kept connection");
}

/// Guards against a refusal without an id that is believed, with or without a request id.
#[tokio::test]
async fn refusal_without_id() {
    let text = "HTTP/1.1 503 Service Unavailable\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n";
    let empty_id =
        "HTTP/1.1 503 Service Unavailable\r\nattempt:\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n";
    for (text, attempt) in [(text, "a"), (text, ""), (empty_id, "a"), (empty_id, "")] {
        let (fleet, _target) =
            start_with_response(keep_alive(text), Repeatable::OnlyIfNotRun).await;
        assert_eq!(fleet.status(Method::POST, attempt).await, 502, "{attempt:?}: {text}");
    }
}

/// Guards against a cut response head that is taken as a refusal because a complete refusal of
/// another request follows it: the two parse as one head.
#[tokio::test]
async fn refusal_merged_with_cut_head() {
    let cut_head = "HTTP/1.1 200 OK\r\nattempt: a\r\nsigned: 3e1b";
    for rest in [refusal("z"), refusal("a")] {
        let (fleet, _target) =
            start_with_response(keep_alive(format!("{cut_head}{rest}")), Repeatable::OnlyIfNotRun)
                .await;
        assert_eq!(fleet.status(Method::POST, "a").await, 502);
    }
}

/// Guards against a cut refusal that is believed together with the response that follows it: the
/// two parse as one head with two ids.
#[tokio::test]
async fn response_merged_with_cut_refusal() {
    let cut_refusal = "HTTP/1.1 503 Service Unavailable\r\nattempt: a\r\nnot-run: 1\r\nx-a: ";
    for rest in [answer("a", "ok"), answer("z", "ok")] {
        let (fleet, _target) = start_with_response(
            keep_alive(format!("{cut_refusal}{rest}")),
            Repeatable::OnlyIfNotRun,
        )
        .await;
        assert_eq!(fleet.status(Method::POST, "a").await, 502);
    }
}

/// Guards against a success that states that the request has not run and is taken as a refusal.
#[tokio::test]
async fn success_stating_not_run() {
    let text = format!("{}not-run: 1\r\ncontent-length: 2\r\n\r\nok", head("a"));
    let (fleet, _target) = start_with_response(keep_alive(text), Repeatable::OnlyIfNotRun).await;
    assert_eq!(fleet.status(Method::POST, "a").await, 502);
}

/// Guards against a switch of protocols that is passed on: its bytes are no HTTP response.
#[tokio::test]
async fn response_switching_protocols() {
    let text = "HTTP/1.1 101 Switching Protocols\r\nattempt: a\r\nsigned: 1\r\n\
                connection: upgrade\r\nupgrade: x\r\n\r\n";
    let (fleet, _target) = start_with_response(keep_alive(text), Repeatable::OnlyIfNotRun).await;
    assert_eq!(fleet.status(Method::POST, "a").await, 502);
}

/// Guards against a body in a transfer coding other than `chunked` that is passed on as if it were
/// not encoded, since the header that names the coding is not forwarded.
#[tokio::test]
async fn response_transfer_coding() {
    for coding in ["gzip", "gzip, chunked"] {
        let text = format!("{}transfer-encoding: {coding}\r\n\r\n2\r\nok\r\n0\r\n\r\n", head("a"));
        let (fleet, _target) =
            start_with_response(ScriptedResponse::Close(text.into()), Repeatable::OnlyIfNotRun)
                .await;
        assert_eq!(fleet.status(Method::POST, "a").await, 502, "{coding}");
    }
}

/// Guards against a second response to an earlier request, late or at once, that is returned as the
/// response to the next request on the connection.
#[tokio::test]
async fn response_repeated() {
    let twice = format!("{}{}", answer("a", "first"), answer("a", "first"));
    let at_once = keep_alive(twice);
    let late =
        ScriptedResponse::LateBytes(answer("a", "first").into(), answer("a", "first").into());
    for first in [at_once, late] {
        let target = RawTarget::start(move |number, _| match number {
            0 => first.clone(),
            _ => keep_alive(answer("b", "second")),
        })
        .await;
        let fleet = Fleet::start(&[&target], Repeatable::OnlyIfNotRun);
        let reply = fleet.status_and_body(Method::GET, "a").await;
        assert_eq!(reply, (200, Some("first".into())));
        tokio::time::sleep(LATE_BYTES_DELAY * 2).await;
        let reply = fleet.status_and_body(Method::GET, "b").await;
        assert_eq!(reply, (200, Some("second".into())));
        assert_eq!(target.requests()[1].connection, 1, "the connection was reused");
    }
}

/// Guards against a late response to an earlier request, which arrives when the next request is
/// sent, that is returned as the response to it, or that lets it be retried as not run.
#[tokio::test]
async fn response_repeated_after_next_request() {
    let both = format!("{}{}", answer("a", "first"), answer("b", "second"));
    let (fleet, target) = start_with_second_response(
        keep_alive(answer("a", "first")),
        keep_alive(both),
        Repeatable::OnlyIfNotRun,
    )
    .await;
    assert_eq!(fleet.status(Method::POST, "a").await, 200);
    assert_eq!(fleet.status(Method::POST, "b").await, 502);
    // The connection is not used again.
    fleet.status(Method::POST, "c").await;
    let connections: Vec<_> = target.requests().iter().map(|request| request.connection).collect();
    assert_eq!(connections, [0, 0, 1]);
}

/// Guards against a response head that ends early and is returned as a success: in the status line,
/// within a header line, and after each header line without the empty line.
#[tokio::test]
async fn head_ends_early() {
    let complete = format!("{}content-length: 2\r\n\r\n", head("a"));
    let cuts = 1..complete.len();
    let next = std::sync::Arc::new(std::sync::atomic::AtomicUsize::new(0));
    let cut_at = std::sync::Arc::clone(&next);
    let target = RawTarget::start(move |_, _| {
        let cut = cut_at.load(std::sync::atomic::Ordering::SeqCst);
        ScriptedResponse::Close(complete.as_bytes()[..cut].to_vec())
    })
    .await;
    let fleet = Fleet::start(&[&target], Repeatable::OnlyIfNotRun);
    for cut in cuts {
        next.store(cut, std::sync::atomic::Ordering::SeqCst);
        let method = if cut % 2 == 0 { Method::GET } else { Method::POST };
        // The daemon stops using a target that fails again and again.
        fleet.daemon.tables.targets.lock().stats.clear();
        assert_eq!(fleet.status(method, "a").await, 502, "cut after {cut} bytes");
    }
}

/// Guards against a target that is waited for after the deadline when it sends one byte of a head
/// after the other.
#[tokio::test]
async fn head_slow() {
    let endless = ScriptedResponse::Endless("HTTP/1.1 200 OK\r\nx: ".into(), b"x".to_vec());
    let (fleet, target) = start_with_response(endless, Repeatable::OnlyIfNotRun).await;
    let started = Instant::now();
    assert_eq!(fleet.status(Method::GET, "a").await, 502);
    assert!(started.elapsed() < ROUTE_TIMEOUT + Duration::from_secs(2));
    eventually("the connection is closed", async || target.endless_closed() == 1).await;
}

/// Guards against a request that is reported as not run because the target refused it when it was
/// sent again, while the first copy may have run: its connection closed after it was sent.
#[tokio::test]
async fn refusal_after_lost_connection() {
    let target = RawTarget::start(|number, _| match number {
        0 => keep_alive(answer("a", "ok")),
        1 => ScriptedResponse::Close(Vec::new()),
        _ => keep_alive(refusal("b")),
    })
    .await;
    let fleet = Fleet::start(&[&target], Repeatable::Always);
    assert_eq!(fleet.status(Method::GET, "a").await, 200);
    assert_eq!(fleet.status(Method::GET, "b").await, 502);
    assert_eq!(target.requests().len(), 3);
}

/// Guards against a request that is reported as not run because the target could not be reached
/// when it was sent again, while the first copy may have run.
#[tokio::test]
async fn unreachable_after_lost_connection() {
    let target = RawTarget::start(|number, _| match number {
        0 => keep_alive(answer("a", "ok")),
        _ => ScriptedResponse::StopTarget,
    })
    .await;
    let fleet = Fleet::start(&[&target], Repeatable::Always);
    assert_eq!(fleet.status(Method::GET, "a").await, 200);
    assert_eq!(fleet.status(Method::GET, "b").await, 502);
    assert_eq!(target.requests().len(), 2);
}
