//! Responses of targets that close the connection before the end of the response.

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use support::caller::send_raw;
use support::daemon::{ALPHA_KEY, Daemon};
use support::position;
use support::raw_target::{BODY_END, RawTarget, ScriptedResponse};

/// Cuts a response after each number of bytes. Asserts that the caller is told that the outcome is
/// unknown when the head is cut, and otherwise that `is_complete` is false for the body.
async fn assert_cuts_fail(response: String, is_complete: impl Fn(&[u8]) -> bool) {
    let cut_at = Arc::new(AtomicUsize::new(0));
    let target = {
        let (response, cut_at) = (response.clone(), Arc::clone(&cut_at));
        RawTarget::start(move |_, _| {
            ScriptedResponse::Close(response.as_bytes()[..cut_at.load(Ordering::SeqCst)].to_vec())
        })
        .await
    };
    let daemon = Daemon::start().await;
    let _announcement = daemon.announce("target-1", target.address, 3).await;
    let head_bytes = position(response.as_bytes(), b"\r\n\r\n").expect("a response head") + 4;
    for cut in 0..response.len() {
        cut_at.store(cut, Ordering::SeqCst);
        for (method, body) in [("GET", ""), ("POST", BODY_END)] {
            let request = format!(
                "{method} /svc/echo/a HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {ALPHA_KEY}\r\n\
                 connection: close\r\ncontent-length: {}\r\n\r\n{body}",
                body.len()
            );
            let sent_earlier = target.requests().len();
            let received = send_raw(daemon.callers, request.as_bytes()).await;
            let text = String::from_utf8_lossy(&received);
            if cut < head_bytes {
                let is_unknown = text.contains("\"outcome\":\"unknown\"");
                assert!(
                    text.starts_with("HTTP/1.1 502 ") && is_unknown,
                    "{method} cut after {cut} bytes: {text}"
                );
            } else if let Some(head_end) = position(&received, b"\r\n\r\n") {
                assert!(
                    !is_complete(&received[head_end + 4..]),
                    "{method} cut after {cut} bytes: {text}"
                );
            }
            assert_eq!(target.requests().len(), sent_earlier + 1, "{method} cut after {cut} bytes");
        }
    }
}

/// Guards against a response with a length that is cut anywhere and looks complete to the caller, or
/// is reported with outcome `not-run`.
#[tokio::test]
async fn response_cut_length() {
    let response = "HTTP/1.1 200 OK\r\nx-a: b\r\ncontent-length: 10\r\n\r\n0123456789";
    assert_cuts_fail(response.into(), |body| body.len() >= 10).await;
}

/// Guards against a chunked response that is cut anywhere and looks complete to the caller: in the
/// head, a chunk size, a chunk, before the last chunk, and in the trailers.
#[tokio::test]
async fn response_cut_chunked() {
    let response = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n\
                    5\r\nhello\r\n6;a=b\r\n world\r\n0\r\nx-trailer: 1\r\n\r\n";
    assert_cuts_fail(response.into(), |body| body.ends_with(b"0\r\n\r\n")).await;
}

/// Guards against a response without a length that is not returned, or that looks complete although
/// its connection was reset: it is complete only if the target closed the connection in order.
#[tokio::test]
async fn response_without_length() {
    for body in ["", "0123456789"] {
        let response = format!("HTTP/1.1 200 OK\r\n\r\n{body}").into_bytes();
        for (end, is_complete) in [
            (ScriptedResponse::Close(response.clone()), true),
            (ScriptedResponse::Reset(response), false),
        ] {
            let target = RawTarget::start(move |_, _| end.clone()).await;
            let daemon = Daemon::start().await;
            let _announcement = daemon.announce("target-1", target.address, 3).await;
            let request = format!(
                "GET /svc/echo/a HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {ALPHA_KEY}\r\nconnection: close\r\n\r\n"
            );
            let received = send_raw(daemon.callers, request.as_bytes()).await;
            let text = String::from_utf8_lossy(&received);
            assert!(is_complete == text.ends_with("0\r\n\r\n"), "{body:?}: {text}");
            assert!(!is_complete || text.contains(body), "{text}");
        }
    }
}
