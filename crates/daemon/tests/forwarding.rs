//! Forwarding of requests to targets and of their responses to callers.

mod support;

use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use blake3::Hasher;
use http_body_util::BodyExt;
use hyper::{Method, StatusCode};
use support::caller::{get, request, send_raw, with_header};
use support::daemon::{ALPHA_KEY, AnnouncementGuard, Daemon};
use support::raw_target::{BODY_END, LATE_BYTES_DELAY, RawTarget, ScriptedResponse, request_id};
use support::target::Target;
use support::{eventually, position, random_bytes};

/// Starts a daemon with one target.
async fn start_with_target(slots: u32) -> (Daemon, Target, AnnouncementGuard) {
    let (daemon, target) = (Daemon::start().await, Target::start().await);
    let announced = daemon.announce("target-1", target.address, slots).await;
    (daemon, target, announced)
}

/// Starts a daemon with one target that sends the same response to every request.
async fn start_with_response(answer: ScriptedResponse) -> (Daemon, RawTarget, AnnouncementGuard) {
    let target = RawTarget::start(move |_, _| answer.clone()).await;
    let daemon = Daemon::start().await;
    let announced = daemon.announce("target-1", target.address, 3).await;
    (daemon, target, announced)
}

fn post(path: &str) -> support::caller::FullRequest {
    request(Method::POST, path, Some(ALPHA_KEY), BODY_END)
}

/// Returns an address that refuses connections.
fn closed_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("an address")
}

/// Guards against request and response bodies that are altered, truncated or swapped, over several
/// requests on one connection.
#[tokio::test]
async fn body_both_directions() {
    let lens = [0, 1, 65_536, 5_000_001, 16 << 20];
    // Generated before the daemon runs: this takes seconds, in which the announcement of the target is not
    // renewed, and the daemon closes a connection that is idle for 5 s.
    let exchanges = lens.map(|len| {
        let path = format!("/bytes/{len}");
        let expected = random_bytes(&path, len);
        (random_bytes(&format!("body of {len} bytes"), len), path, expected)
    });
    let (daemon, target, _announcement) = start_with_target(3).await;
    let mut caller = daemon.caller().await;
    for (body, path, expected) in exchanges {
        let len = body.len();
        let request = request(Method::POST, "/svc/echo/echo", Some(ALPHA_KEY), body.clone());
        let reply = caller.send(request).await;
        assert_eq!(reply.status, StatusCode::OK);
        assert!(reply.body == body, "a body of {len} bytes was altered");
        let reply = caller.send(get(&format!("/svc/echo{path}"), Some(ALPHA_KEY))).await;
        assert!(reply.body == expected, "a body of {len} bytes was altered");
        assert_eq!(reply.headers["content-length"], len.to_string().as_str());
    }
    assert_eq!(target.requests().len(), 10);
}

/// Guards against a daemon that buffers a whole body before it forwards it: the target echoes the
/// first part of the body before the caller sends the rest.
#[tokio::test]
async fn body_streamed() {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let (daemon, _target, _announcement) = start_with_target(3).await;
    let mut stream = tokio::net::TcpStream::connect(daemon.callers).await.unwrap();
    let head = format!(
        "POST /svc/echo/echo HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {ALPHA_KEY}\r\n\
         connection: close\r\ntransfer-encoding: chunked\r\n\r\n5\r\nfirst\r\n"
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    let mut received = Vec::new();
    let first = async {
        while position(&received, b"first").is_none() {
            assert_ne!(stream.read_buf(&mut received).await.unwrap(), 0, "closed");
        }
    };
    tokio::time::timeout(support::WAIT_TIMEOUT, first)
        .await
        .expect("no first part of the response within the time-out");
    stream.write_all(b"6\r\nsecond\r\n0\r\n\r\n").await.unwrap();
    let rest = stream.read_to_end(&mut received);
    tokio::time::timeout(support::WAIT_TIMEOUT, rest)
        .await
        .expect("response incomplete after the time-out")
        .unwrap();
    assert!(position(&received, b"second").is_some());
    assert!(received.ends_with(b"0\r\n\r\n"));
}

/// Guards against responses to pipelined requests that are sent out of order.
#[tokio::test]
async fn pipelined_in_order() {
    let (daemon, target, _announcement) = start_with_target(3).await;
    let mut bytes = String::new();
    // Run concurrently, the first request would be answered last.
    for (path, end) in [("sleep/300", ""), ("second", ""), ("third", "connection: close\r\n")] {
        bytes += &format!(
            "GET /svc/echo/{path} HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {ALPHA_KEY}\r\n{end}\r\n"
        );
    }
    let received = send_raw(daemon.callers, bytes.as_bytes()).await;
    let positions =
        ["/sleep/300", "/second", "/third"].map(|body| position(&received, body.as_bytes()));
    assert!(positions.iter().all(Option::is_some) && positions.is_sorted(), "{positions:?}");
    assert_eq!(target.requests().len(), 3);
}

/// Guards against responses that are sent to the wrong caller when callers share connections to a
/// target.
#[tokio::test]
async fn responses_many_callers() {
    let (daemon, _target, _announcement) = start_with_target(8).await;
    let tasks = (0..16).map(|number| {
        let address = daemon.callers;
        tokio::spawn(async move {
            let mut caller = support::caller::Caller::connect(address).await.unwrap();
            for turn in 0..20 {
                let path = format!("/caller/{number}/{turn}");
                let reply = caller.send(get(&format!("/svc/echo{path}"), Some(ALPHA_KEY))).await;
                assert_eq!((reply.status, &reply.body[..]), (StatusCode::OK, path.as_bytes()));
            }
        })
    });
    for task in tasks.collect::<Vec<_>>() {
        task.await.unwrap();
    }
}

/// Guards against truncated responses that look complete to the caller.
#[tokio::test]
async fn response_truncated() {
    for (head, name) in
        [("content-length: 1000", "length"), ("transfer-encoding: chunked", "chunked")]
    {
        let answer = format!("HTTP/1.1 200 OK\r\n{head}\r\n\r\n64\r\n{}", "x".repeat(102));
        let (daemon, target, _announcement) =
            start_with_response(ScriptedResponse::Close(answer.into())).await;
        let mut caller = daemon.caller().await;
        let result = caller.try_send(get("/svc/echo/a", Some(ALPHA_KEY))).await;
        assert!(result.is_err(), "{name}: {result:?}");
        // The raw bytes are checked too, since the client library could be too strict or too
        // lenient.
        let bytes = format!(
            "GET /svc/echo/a HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {ALPHA_KEY}\r\n\r\n"
        );
        let received = send_raw(daemon.callers, bytes.as_bytes()).await;
        assert!(!received.ends_with(b"0\r\n\r\n") && received.len() < 1_000, "{name}");
        assert_eq!(
            target.requests().len(),
            2,
            "{name}: a request was retried after a part of its response was sent"
        );
    }
}

/// Guards against a POST that is retried, or reported with outcome `not-run`, after the target
/// closed the connection without a response.
#[tokio::test]
async fn post_target_closes() {
    let closing = RawTarget::start(|_, _| ScriptedResponse::Close(Vec::new())).await;
    let other = RawTarget::start(|_, _| ScriptedResponse::Close(Vec::new())).await;
    let daemon = Daemon::start().await;
    let _first = daemon.announce("target-1", closing.address, 3).await;
    let _second = daemon.announce("target-2", other.address, 3).await;
    for number in 1..=3 {
        let reply = daemon.caller().await.send(post("/svc/echo/hold")).await;
        reply.assert_error(502, 1301, "target-failed", "unknown");
        assert_eq!(closing.requests().len() + other.requests().len(), number);
    }
}

/// Guards against a POST that is retried when the target closes a reused connection: this looks
/// like an idle connection that was closed, but the target has read the request.
#[tokio::test]
async fn post_target_closes_reused_connection() {
    let ok = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok".to_vec();
    let target = RawTarget::start(move |_, text| {
        if text.starts_with("POST") {
            ScriptedResponse::Close(Vec::new())
        } else {
            ScriptedResponse::KeepAlive(ok.clone())
        }
    })
    .await;
    let daemon = Daemon::start().await;
    let _announcement = daemon.announce("target-1", target.address, 3).await;
    for _ in 0..3 {
        let reply = daemon.caller().await.send(get("/svc/echo/a", Some(ALPHA_KEY))).await;
        assert_eq!(reply.status, StatusCode::OK);
    }
    let reply = daemon.caller().await.send(post("/svc/echo/hold")).await;
    reply.assert_error(502, 1301, "target-failed", "unknown");
    let posts = target.requests().iter().filter(|request| request.text.starts_with("POST")).count();
    assert_eq!(posts, 1);
}

/// Starts a daemon with two targets. The daemon sends the next request to the first target, which
/// closes the connection after it has read the request.
async fn start_with_closing_target() -> (Daemon, RawTarget, Target, [AnnouncementGuard; 2]) {
    let ok = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok".to_vec();
    let closing = RawTarget::start(move |number, _| match number {
        0 => ScriptedResponse::KeepAlive(ok.clone()),
        _ => ScriptedResponse::Close(Vec::new()),
    })
    .await;
    let (daemon, target) = (Daemon::start().await, Target::start().await);
    let first = daemon.announce("target-1", closing.address, 3).await;
    // The daemon keeps the slot permit of this request for 1 s and uses it for the next request.
    let reply = daemon.caller().await.send(get("/svc/echo/a", Some(ALPHA_KEY))).await;
    assert_eq!(reply.status, StatusCode::OK);
    let second = daemon.announce("target-2", target.address, 3).await;
    (daemon, closing, target, [first, second])
}

/// Guards against a GET that is not retried on another target after the first one failed.
#[tokio::test]
async fn get_retried_on_another_target() {
    let (daemon, closing, target, _announcement) = start_with_closing_target().await;
    let mut caller = daemon.caller().await;
    let mut request_count = 0;
    while closing.requests().len() < 2 {
        assert!(request_count < 100, "the closing target received no second request");
        let reply = caller.send(get("/svc/echo/a", Some(ALPHA_KEY))).await;
        assert_eq!(
            (reply.status, &reply.body[..]),
            (StatusCode::OK, &b"/a"[..]),
            "request {request_count}"
        );
        request_count += 1;
    }
    assert_eq!(target.requests().len(), request_count);
}

/// Guards against requests that are reported with outcome `unknown` although the target refused the
/// connection.
#[tokio::test]
async fn target_refuses_connections() {
    let daemon = Daemon::start().await;
    let _announcement = daemon.announce("target-1", closed_address(), 3).await;
    for request in [post("/svc/echo/hold"), get("/svc/echo/a", Some(ALPHA_KEY))] {
        let reply = daemon.caller().await.send(request).await;
        reply.assert_error(502, 1300, "target-unreachable", "not-run");
    }
}

/// Guards against a POST that fails although no byte of it was sent and another target is
/// available.
#[tokio::test]
async fn post_sent_after_refused_connection() {
    let (daemon, target) = (Daemon::start().await, Target::start().await);
    let _first = daemon.announce("target-1", closed_address(), 3).await;
    // The daemon keeps the slot permit of this request for 1 s and uses it for the next request.
    let reply = daemon.caller().await.send(post("/svc/echo/echo")).await;
    reply.assert_error(502, 1300, "target-unreachable", "not-run");
    let _second = daemon.announce("target-2", target.address, 3).await;
    let reply = daemon.caller().await.send(post("/svc/echo/echo")).await;
    assert_eq!((reply.status, &reply.body[..]), (StatusCode::OK, BODY_END.as_bytes()));
    assert_eq!(target.requests().len(), 1);
}

/// Guards against requests that wait for a stalled target past their deadline, and against requests
/// that are not cancelled at the target after their deadline.
#[tokio::test]
async fn target_stalls() {
    let (daemon, target, _announcement) = start_with_target(3).await;
    for (number, method) in [Method::GET, Method::POST].into_iter().enumerate() {
        let request = request(method, "/svc/echo/stall", Some(ALPHA_KEY), "body");
        let request = with_header(request, "celerygate-deadline-ms", "1500");
        let reply = daemon.caller().await.send(request).await;
        reply.assert_error(504, 1302, "deadline-passed", "unknown");
        eventually("the request is cancelled", async || {
            (target.cancelled() == number + 1).then_some(())
        })
        .await;
    }
    assert_eq!(target.requests().len(), 2, "a request was retried after its deadline");
}

/// Guards against a response that stalls after its head and is reported as complete, or is waited
/// for past the deadline.
#[tokio::test]
async fn response_stalls() {
    for part in
        ["content-length: 1000\r\n\r\npart", "transfer-encoding: chunked\r\n\r\n4\r\npart\r\n"]
    {
        let answer = format!("HTTP/1.1 200 OK\r\n{part}");
        let (daemon, _target, _announcement) =
            start_with_response(ScriptedResponse::Stall(answer.into())).await;
        let request = get("/svc/echo/a", Some(ALPHA_KEY));
        let request = with_header(request, "celerygate-deadline-ms", "1500");
        let result = daemon.caller().await.try_send(request).await;
        assert!(result.is_err(), "{result:?}");
    }
}

/// Guards against bytes after the end of a response that are taken as the response to another
/// request.
#[tokio::test]
async fn response_with_extra_bytes() {
    let extra = "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nforeigner";
    for framing in
        ["content-length: 2\r\n\r\nok", "transfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"]
    {
        let answer = format!("HTTP/1.1 200 OK\r\n{framing}{extra}");
        let (daemon, target, _announcement) =
            start_with_response(ScriptedResponse::KeepAlive(answer.into())).await;
        for _ in 0..10 {
            let reply = daemon.caller().await.send(get("/svc/echo/a", Some(ALPHA_KEY))).await;
            assert_eq!((reply.status, &reply.body[..]), (StatusCode::OK, &b"ok"[..]));
        }
        let mut connections: Vec<_> =
            target.requests().iter().map(|request| request.connection).collect();
        connections.dedup();
        assert_eq!(connections.len(), 10, "a connection with extra bytes was reused");
    }
}

/// Guards against bytes received on an idle connection that are taken as the response to the next
/// request.
#[tokio::test]
async fn response_with_late_extra_bytes() {
    let ok = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
    let late = "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nforeigner";
    let (daemon, target, _announcement) =
        start_with_response(ScriptedResponse::LateBytes(ok.into(), late.into())).await;
    for number in 0..3 {
        let reply = daemon.caller().await.send(get("/svc/echo/a", Some(ALPHA_KEY))).await;
        assert_eq!((reply.status, &reply.body[..]), (StatusCode::OK, &b"ok"[..]));
        assert_eq!(target.requests()[number].connection, number, "the connection was reused");
        // Five times the delay, so that the extra bytes have reached the daemon.
        tokio::time::sleep(LATE_BYTES_DELAY * 5).await;
    }
}

/// Guards against a daemon that waits for a body after a HEAD response with a `content-length`.
#[tokio::test]
async fn head_keeps_connection() {
    let (daemon, _target, _announcement) = start_with_target(1).await;
    let mut caller = daemon.caller().await;
    for _ in 0..3 {
        let request = request(Method::HEAD, "/svc/echo/bytes/1000", Some(ALPHA_KEY), "");
        let reply = caller.send(request).await;
        assert_eq!((reply.status, reply.body.len()), (StatusCode::OK, 0));
        assert_eq!(reply.headers["content-length"], "1000");
        let reply = caller.send(get("/svc/echo/a", Some(ALPHA_KEY))).await;
        assert_eq!((reply.status, &reply.body[..]), (StatusCode::OK, &b"/a"[..]));
    }
}

/// Guards against a 503 of a target that is replaced by an error of the daemon, or taken as proof
/// that a POST did not run.
#[tokio::test]
async fn target_responds_503() {
    let (daemon, target, _announcement) = start_with_target(3).await;
    let reply = daemon.caller().await.send(post("/svc/echo/status/503")).await;
    assert_eq!(reply.status, StatusCode::SERVICE_UNAVAILABLE);
    // The body is that of the target and has no outcome.
    assert_eq!(&reply.body[..], b"/status/503");
    assert_eq!(target.requests().len(), 1);
}

/// Guards against malformed responses that are forwarded, or reported with outcome `not-run`.
#[tokio::test]
async fn response_malformed() {
    for answer in ["not http\r\n\r\n", "HTTP/1.1 200 OK\r\ncontent-length: x\r\n\r\n"] {
        let (daemon, target, _announcement) =
            start_with_response(ScriptedResponse::Close(answer.into())).await;
        let reply = daemon.caller().await.send(post("/svc/echo/hold")).await;
        reply.assert_error(502, 1301, "target-failed", "unknown");
        assert_eq!(target.requests().len(), 1);
    }
}

/// Guards against internal or hop-by-hop headers of a target that are forwarded to callers.
#[tokio::test]
async fn response_internal_headers() {
    let target = RawTarget::start(|_, text| {
        let id = request_id(text);
        let answer = format!(
            "HTTP/1.1 200 OK\r\ncelerygate-request: {id}\r\ncelerygate-other: forged\r\n\
             connection: x-hop\r\nx-hop: 1\r\nx-kept: 1\r\ncontent-length: 0\r\n\r\n"
        );
        ScriptedResponse::KeepAlive(answer.into())
    })
    .await;
    let daemon = Daemon::start().await;
    let _announcement = daemon.announce("target-1", target.address, 3).await;
    let reply = daemon.caller().await.send(get("/svc/echo/a", Some(ALPHA_KEY))).await;
    assert!(reply.headers.values().all(|value| value != "forged"), "{:?}", reply.headers);
    assert_eq!(reply.headers.get_all("celerygate-request").iter().count(), 1);
    assert!(!reply.headers.contains_key("x-hop") && reply.headers.contains_key("x-kept"));
}

/// Guards against requests that occupy a slot of the target after their caller has disconnected.
#[tokio::test]
async fn caller_disconnects() {
    let (daemon, target, _announcement) = start_with_target(1).await;
    let mut caller = daemon.caller().await;
    let waiting = tokio::spawn(async move {
        // The deadline exceeds the time-out of the test, so that it does not cancel the request.
        let request = get("/svc/echo/stall", Some(ALPHA_KEY));
        let _ =
            caller.send_streaming(with_header(request, "celerygate-deadline-ms", "600000")).await;
    });
    eventually("the target has the request", async || (target.requests().len() == 1).then_some(()))
        .await;
    waiting.abort();
    eventually("the request is cancelled", async || (target.cancelled() == 1).then_some(())).await;
    // The only slot of the target is free again.
    let reply = daemon.caller().await.send(get("/svc/echo/a", Some(ALPHA_KEY))).await;
    assert_eq!(reply.status, StatusCode::OK);
}

/// Guards against a target that is kept sending a response after its caller has disconnected.
#[tokio::test]
async fn caller_disconnects_during_response() {
    let (daemon, target, _announcement) = start_with_target(1).await;
    let mut caller = daemon.caller().await;
    let request = get(&format!("/svc/echo/bytes/{}", 64 << 20), Some(ALPHA_KEY));
    let request = with_header(request, "celerygate-deadline-ms", "600000");
    let mut body = caller.send_streaming(request).await.unwrap().into_body();
    body.frame().await.unwrap().unwrap();
    assert_eq!(target.open_connections(), 1);
    drop((body, caller));
    eventually("the target's connection is closed", async || {
        (target.open_connections() == 0).then_some(())
    })
    .await;
    let reply = daemon.caller().await.send(get("/svc/echo/a", Some(ALPHA_KEY))).await;
    assert_eq!(reply.status, StatusCode::OK);
}

/// Guards against a truncated request body that looks complete to the target.
#[tokio::test]
async fn caller_truncates_body() {
    use tokio::io::AsyncWriteExt;
    for (framing, part) in
        [("transfer-encoding: chunked", "4\r\npart\r\n"), ("content-length: 1000", "part")]
    {
        let (daemon, target, _announcement) = start_with_target(1).await;
        let mut stream = tokio::net::TcpStream::connect(daemon.callers).await.unwrap();
        let head = format!(
            "POST /svc/echo/echo HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {ALPHA_KEY}\r\n\
             {framing}\r\n\r\n{part}"
        );
        stream.write_all(head.as_bytes()).await.unwrap();
        eventually("the target has the first part", async || {
            position(&target.received_bytes(), b"part").map(drop)
        })
        .await;
        drop(stream);
        eventually("the target's connection is closed", async || {
            (target.open_connections() == 0).then_some(())
        })
        .await;
        let received = target.received_bytes();
        // The leading line break identifies the last chunk: a header value may end in 0, too.
        assert_eq!(position(&received, b"\r\n0\r\n\r\n"), None, "{framing}");
        assert_eq!(target.requests().len(), 1, "{framing}: a truncated request was retried");
    }
}

/// Guards against a large response that is altered or truncated when the caller reads slowly.
#[tokio::test]
async fn response_slow_caller() {
    let (daemon, _target, _announcement) = start_with_target(1).await;
    let mut caller = daemon.caller().await;
    let path = format!("/bytes/{}", 8 << 20);
    let response =
        caller.send_streaming(get(&format!("/svc/echo{path}"), Some(ALPHA_KEY))).await.unwrap();
    let (mut body, mut hasher, mut frames) = (response.into_body(), Hasher::new(), 0);
    while let Some(frame) = body.frame().await {
        hasher.update(&frame.unwrap().into_data().unwrap());
        frames += 1;
        if frames % 50 == 0 {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
    assert_eq!(hasher.finalize(), blake3::hash(&random_bytes(&path, 8 << 20)));
}
