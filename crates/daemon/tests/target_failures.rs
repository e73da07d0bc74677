//! Reasons for which a response of a target is incomplete, as they are logged.

mod support;

use std::sync::Arc;

use celerygate_daemon::upstream::{
    BodyFailure, ConnectionPool, ConnectionReuse, NetworkPath, SendError,
};
use http_body_util::{BodyExt, Empty};
use hyper::Request;
use support::raw_target::{RawTarget, ScriptedResponse};

/// Sends a request to a target with this response and returns the reason for its failure.
async fn failure_reason(response: ScriptedResponse) -> String {
    let target = RawTarget::start(move |_, _| response.clone()).await;
    let pool = Arc::<ConnectionPool>::default();
    let body = Empty::new().map_err(|never| match never {}).boxed_unsync();
    let request = Request::builder().uri("/").header("host", "a").body(body).expect("a request");
    let sent =
        pool.send(target.address, NetworkPath::WithinRegion, ConnectionReuse::New, "", request);
    match sent.await {
        Ok(response) => match response.into_body().collect().await {
            Ok(_) => "complete".into(),
            Err(error) => BodyFailure::of(&error).to_string(),
        },
        Err(SendError::NoResponse { reason, .. }) => reason.to_string(),
        Err(error) => error.to_string(),
    }
}

async fn assert_reasons(expected: &[(&str, ScriptedResponse)]) {
    for (reason, response) in expected {
        assert_eq!(failure_reason(response.clone()).await, *reason, "{response:?}");
    }
}

fn close(text: &str) -> ScriptedResponse {
    ScriptedResponse::Close(text.into())
}

fn reset(text: &str) -> ScriptedResponse {
    ScriptedResponse::Reset(text.into())
}

/// Guards against causes of a missing response head that the log does not tell apart.
#[tokio::test]
async fn send_failure_reasons() {
    let endless = |first: &str, repeated: &str| {
        ScriptedResponse::Endless(first.into(), repeated.repeat(1_000).into())
    };
    assert_reasons(&[
        ("no-bytes", close("")),
        ("no-bytes", reset("")),
        ("head-cut", close("HTTP/1.1 200 OK\r\ncontent-le")),
        ("head-cut", reset("HTTP/1.1 200 OK\r\ncontent-le")),
        ("head-malformed", close("not http\r\n\r\n")),
        ("head-malformed", close("HTTP/1.1 200 OK\r\ncontent-length: x\r\n\r\n")),
        ("head-too-long", endless("HTTP/1.1 200 OK\r\nx: ", "x")),
        ("head-too-long", endless("HTTP/1.1 200 OK\r\n", "x: a\r\n")),
        ("too-many-informational", endless("", "HTTP/1.1 100 Continue\r\n\r\n")),
    ])
    .await;
}

/// Guards against causes of an incomplete body that the log does not tell apart.
#[tokio::test]
async fn body_failure_reasons() {
    let chunked = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    let length = "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\npart";
    assert_reasons(&[
        ("complete", close("HTTP/1.1 200 OK\r\n\r\nwhole")),
        ("body-cut", close(length)),
        ("body-cut", close(&format!("{chunked}4\r\npart\r\n"))),
        ("body-cut", close(&format!("{chunked}4\r\npa"))),
        ("connection-lost", reset(length)),
        ("connection-lost", reset("HTTP/1.1 200 OK\r\n\r\npart")),
        ("body-malformed", close(&format!("{chunked}x\r\n"))),
        ("body-malformed", close(&format!("{chunked}4\r\npartial\r\n0\r\n\r\n"))),
    ])
    .await;
}
