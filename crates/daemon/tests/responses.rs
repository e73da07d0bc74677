//! Which bytes of a target are believed to be the response to a request.

mod support;

use hyper::{Method, StatusCode};
use support::caller::{Reply, get, request};
use support::daemon::{ALPHA_KEY, Daemon};
use support::raw_target::{BODY_END, RawTarget, ScriptedResponse, request_id};
use tokio::task::JoinSet;

/// Returns a complete response that names a request.
fn answer(id: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 200 OK\r\ncelerygate-request: {id}\r\ncontent-length: {length}\r\n\r\n{body}")
}

fn keep_alive(text: impl AsRef<str>) -> ScriptedResponse {
    ScriptedResponse::KeepAlive(text.as_ref().into())
}

/// Sends a POST to a daemon with one target.
async fn post_to(target: &RawTarget) -> Reply {
    let daemon = Daemon::start().await;
    let _announcement = daemon.announce("target-1", target.address, 3).await;
    daemon
        .caller()
        .await
        .send(request(Method::POST, "/svc/echo/a", Some(ALPHA_KEY), BODY_END))
        .await
}

/// Guards against a response that names another request, or two of them, and is returned.
#[tokio::test]
async fn response_other_id() {
    let texts: [fn(&str) -> String; 3] = [
        |_| answer("z", "other"),
        // An empty body ends with the head, after which the connection must not be used again.
        |_| answer("z", ""),
        // A cut head with another response behind it parses as one head.
        |id| {
            format!("HTTP/1.1 200 OK\r\ncelerygate-request: {id}\r\nx-a: {}", answer("z", "other"))
        },
    ];
    for text in texts {
        let target =
            RawTarget::start(move |_, request| keep_alive(text(request_id(request)))).await;
        post_to(&target).await.assert_error(502, 1301, "target-failed", "unknown");
        assert_eq!(target.requests().len(), 1);
    }
}

/// Guards against a late response to an earlier request that is returned as the response to the next
/// request on the connection, with and without the id of the earlier one.
#[tokio::test]
async fn response_repeated_after_next_request() {
    let repeated: [fn(&str) -> String; 2] = [
        |first_id| answer(first_id, "first"),
        |_| "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nfirst".into(),
    ];
    for repeated in repeated {
        let first_id = parking_lot::Mutex::new(String::new());
        let target = RawTarget::start(move |number, request| {
            let id = request_id(request);
            if number == 0 {
                *first_id.lock() = id.into();
                return keep_alive(answer(id, "first"));
            }
            keep_alive(format!("{}{}", repeated(&first_id.lock()), answer(id, "second")))
        })
        .await;
        let daemon = Daemon::start().await;
        let _announcement = daemon.announce("target-1", target.address, 3).await;
        let mut caller = daemon.caller().await;
        let reply = caller.send(get("/svc/echo/a", Some(ALPHA_KEY))).await;
        assert_eq!((reply.status, &reply.body[..]), (StatusCode::OK, &b"first"[..]));
        let post = request(Method::POST, "/svc/echo/a", Some(ALPHA_KEY), BODY_END);
        caller.send(post).await.assert_error(502, 1301, "target-failed", "unknown");
        let connections: Vec<_> =
            target.requests().iter().map(|request| request.connection).collect();
        assert_eq!(connections, [0, 0], "the second request was not sent on the kept connection");
    }
}

/// Guards against a response with a status that the protocol does not have, which is passed on to the
/// caller as an answer.
#[tokio::test]
async fn response_invalid_status() {
    let mut cases = JoinSet::new();
    for status in ["000", "001", "099", "600", "700", "999", "20", "2000", "-20", "+200", "2OO", ""]
    {
        cases.spawn(async move {
            let target = RawTarget::start(move |_, request| {
                let text = answer(request_id(request), "ok");
                keep_alive(text.replacen("200", status, 1))
            })
            .await;
            post_to(&target).await.assert_error(502, 1301, "target-failed", "unknown");
            assert_eq!(target.requests().len(), 1, "{status:?}");
        });
    }
    cases.join_all().await;
}

/// Guards against a switch of protocols or a body in an unknown transfer coding that is passed on.
#[tokio::test]
async fn response_switched_or_coded() {
    for head in [
        "HTTP/1.1 101 Switching Protocols\r\nconnection: upgrade\r\nupgrade: x\r\n\r\n",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: gzip, chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
    ] {
        let target = RawTarget::start(move |_, _| ScriptedResponse::Close(head.into())).await;
        post_to(&target).await.assert_error(502, 1301, "target-failed", "unknown");
    }
}
