//! Responses of targets that close the connection before the end of the response.

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use celerygate_steering::routing::Repeatable;
use hyper::Method;
use support::raw_target::{RawTarget, ScriptedResponse};
use support::{Fleet, answer, head, position, send_raw};

/// Size of a body that is streamed to the caller instead of buffered.
const STREAMED_BYTES: usize = 2 * 1_024 * 1_024;

/// Cuts a response after each number of bytes, for a GET and a POST, and asserts that callers get
/// 502 and that the target gets each request once.
async fn assert_cuts_fail(response: String) {
    let cut_at = Arc::new(AtomicUsize::new(0));
    let target = {
        let (response, cut_at) = (response.clone(), Arc::clone(&cut_at));
        RawTarget::start(move |_, _| {
            ScriptedResponse::Close(response.as_bytes()[..cut_at.load(Ordering::SeqCst)].to_vec())
        })
        .await
    };
    for repeatable in [Repeatable::OnlyIfNotRun, Repeatable::Always] {
        let fleet = Fleet::start(&[&target], repeatable);
        let callers = fleet.listen().await;
        for cut in 0..response.len() {
            cut_at.store(cut, Ordering::SeqCst);
            for method in [Method::GET, Method::POST] {
                let sent_earlier = target.requests().len();
                // The daemon stops using a target that fails again and again.
                fleet.daemon.tables.targets.lock().stats.clear();
                let received = send_raw(callers, &method, "a").await;
                let received = String::from_utf8_lossy(&received);
                assert!(
                    received.starts_with("HTTP/1.1 502 "),
                    "{method} cut after {cut} bytes: {received}"
                );
                assert_eq!(target.requests().len(), sent_earlier + 1, "{method} cut after {cut}");
            }
        }
    }
}

/// Guards against a response with a length that is cut anywhere and returned as a success, or
/// reported as not run.
#[tokio::test]
async fn response_cut_length() {
    assert_cuts_fail(answer("a", "0123456789")).await;
}

/// Guards against a chunked response that is cut anywhere and returned as a success: in the head, a
/// chunk size, a chunk, before the last chunk, and in the trailers.
#[tokio::test]
async fn response_cut_chunked() {
    let chunks = "5\r\nhello\r\n6;a=b\r\n world\r\n0\r\nx-trailer: 1\r\n\r\n";
    assert_cuts_fail(format!("{}transfer-encoding: chunked\r\n\r\n{chunks}", head("a"))).await;
}

/// Guards against a cut head on a reused connection that is taken for a connection lost while it
/// was idle: the request was sent again outside the retry budget, and other targets' connections
/// were no longer reused.
#[tokio::test]
async fn head_cut_reused_connection() {
    let complete = answer("a", "ok");
    for cut in [1, 12, complete.len() - 4] {
        let first = complete.clone();
        let target = RawTarget::start(move |number, _| match number {
            0 => ScriptedResponse::KeepAlive(first.clone().into()),
            _ => ScriptedResponse::Close(first.as_bytes()[..cut].to_vec()),
        })
        .await;
        let fleet = Fleet::start(&[&target], Repeatable::Always);
        assert_eq!(fleet.status(Method::GET, "a").await, 200);
        assert_eq!(fleet.status(Method::GET, "a").await, 502, "cut after {cut} bytes");
        let connections: Vec<_> =
            target.requests().iter().map(|request| request.connection).collect();
        assert_eq!(connections, [0, 0], "cut after {cut} bytes");
    }
}

/// Guards against a streamed response that is cut and ends as if it were complete.
#[tokio::test]
async fn response_cut_streamed() {
    let body = "x".repeat(STREAMED_BYTES);
    let complete = answer("a", &body);
    for cut in [complete.len() - STREAMED_BYTES / 4, complete.len() - 1] {
        let part = complete.as_bytes()[..cut].to_vec();
        let target = RawTarget::start(move |_, _| ScriptedResponse::Close(part.clone())).await;
        let fleet = Fleet::start(&[&target], Repeatable::OnlyIfNotRun);
        let received = send_raw(fleet.listen().await, &Method::GET, "a").await;
        let head_end = position(&received, b"\r\n\r\n").expect("a response head") + 4;
        let head = String::from_utf8_lossy(&received[..head_end]);
        assert!(head.contains(&format!("content-length: {STREAMED_BYTES}\r\n")), "{head}");
        assert!(received.len() - head_end < STREAMED_BYTES, "cut after {cut} bytes");
    }
}

/// Guards against a response without a length that is rejected, or that is returned although its
/// connection was reset: it is complete only if the target closed the connection in order.
#[tokio::test]
async fn response_without_length() {
    for body in ["", "0123456789"] {
        let response = format!("{}\r\n{body}", head("a")).into_bytes();
        for (end, expected) in [
            (ScriptedResponse::Close(response.clone()), (200, Some(body.into()))),
            (ScriptedResponse::Reset(response), (502, Some("".into()))),
        ] {
            let target = RawTarget::start(move |_, _| end.clone()).await;
            let fleet = Fleet::start(&[&target], Repeatable::OnlyIfNotRun);
            assert_eq!(fleet.status_and_body(Method::GET, "a").await, expected, "{body:?}");
        }
    }
}
