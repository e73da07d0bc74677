//! Requests on their way to targets and responses on their way back.

mod support;

use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use blake3::Hasher;
use http_body_util::BodyExt;
use hyper::{Method, StatusCode};
use support::caller::{exchange, get, request, with_header};
use support::daemon::{ALPHA_KEY, Announced, Daemon};
use support::raw_target::{Answer, BODY_END, LATE, RawTarget};
use support::target::Target;
use support::{eventually, position, random_bytes};

/// Starts a daemon with one target.
async fn with_target(slots: u32) -> (Daemon, Target, Announced) {
    let (daemon, target) = (Daemon::start().await, Target::start().await);
    let announced = daemon.announce("target-1", target.address, slots).await;
    (daemon, target, announced)
}

/// Starts a daemon with one target that gives the same answer to every request.
async fn with_answer(answer: Answer) -> (Daemon, RawTarget, Announced) {
    let target = RawTarget::start(move |_, _| answer.clone()).await;
    let daemon = Daemon::start().await;
    let announced = daemon.announce("target-1", target.address, 3).await;
    (daemon, target, announced)
}

fn post(path: &str) -> support::caller::Sent {
    request(Method::POST, path, Some(ALPHA_KEY), BODY_END)
}

/// An address where connections are refused.
fn closed_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("an address")
}

/// Guards against bodies that are changed, cut or mixed up on the way, in both directions and over
/// several requests of one connection.
#[tokio::test]
async fn body_both_directions() {
    let (daemon, target, _announced) = with_target(3).await;
    let mut caller = daemon.caller().await;
    for (number, len) in [0, 1, 65_536, 5_000_001, 16 << 20].into_iter().enumerate() {
        let body = random_bytes(&format!("body {number}"), len);
        let sent = request(Method::POST, "/svc/echo/echo", Some(ALPHA_KEY), body.clone());
        let reply = caller.send(sent).await;
        assert_eq!(reply.status, StatusCode::OK);
        assert!(reply.body == body, "{len} bytes are not intact");
        let path = format!("/bytes/{len}");
        let reply = caller.send(get(&format!("/svc/echo{path}"), Some(ALPHA_KEY))).await;
        assert!(reply.body == random_bytes(&path, len), "{len} bytes are not intact");
        assert_eq!(reply.headers["content-length"], len.to_string().as_str());
    }
    assert_eq!(target.seen().len(), 10);
}

/// Guards against a daemon that collects a body before it passes it on: the target answers the
/// first part of a body while the rest has not been sent.
#[tokio::test]
async fn body_streamed() {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let (daemon, _target, _announced) = with_target(3).await;
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
    tokio::time::timeout(support::PATIENCE, first).await.expect("the first part in time");
    stream.write_all(b"6\r\nsecond\r\n0\r\n\r\n").await.unwrap();
    let rest = stream.read_to_end(&mut received);
    tokio::time::timeout(support::PATIENCE, rest).await.expect("the rest in time").unwrap();
    assert!(position(&received, b"second").is_some());
    assert!(received.ends_with(b"0\r\n\r\n"));
}

/// Guards against responses that reach the wrong request when several are sent at once.
#[tokio::test]
async fn pipelined_in_order() {
    let (daemon, target, _announced) = with_target(3).await;
    let mut bytes = String::new();
    // The first answers last if all run at the same time.
    for (path, end) in [("sleep/300", ""), ("second", ""), ("third", "connection: close\r\n")] {
        bytes += &format!(
            "GET /svc/echo/{path} HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {ALPHA_KEY}\r\n{end}\r\n"
        );
    }
    let received = exchange(daemon.callers, bytes.as_bytes()).await;
    let places =
        ["/sleep/300", "/second", "/third"].map(|body| position(&received, body.as_bytes()));
    assert!(places.iter().all(Option::is_some) && places.is_sorted(), "{places:?}");
    assert_eq!(target.seen().len(), 3);
}

/// Guards against answers that reach another caller when many share the connections to a target.
#[tokio::test]
async fn responses_many_callers() {
    let (daemon, _target, _announced) = with_target(8).await;
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

/// Guards against cut responses that look complete to the caller.
#[tokio::test]
async fn response_truncated() {
    for (head, name) in
        [("content-length: 1000", "length"), ("transfer-encoding: chunked", "chunked")]
    {
        let answer = format!("HTTP/1.1 200 OK\r\n{head}\r\n\r\n64\r\n{}", "x".repeat(102));
        let (daemon, target, _announced) = with_answer(Answer::Close(answer.into())).await;
        let mut caller = daemon.caller().await;
        let result = caller.try_send(get("/svc/echo/a", Some(ALPHA_KEY))).await;
        assert!(result.is_err(), "{name}: {result:?}");
        // The raw bytes as well, since the client library could be too strict or too lenient.
        let bytes = format!(
            "GET /svc/echo/a HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {ALPHA_KEY}\r\n\r\n"
        );
        let received = exchange(daemon.callers, bytes.as_bytes()).await;
        assert!(!received.ends_with(b"0\r\n\r\n") && received.len() < 1_000, "{name}");
        assert_eq!(target.seen().len(), 2, "{name}: a partly relayed response was requested again");
    }
}

/// Guards against a request that failed at the target and is reported as not run, and against a
/// POST that is sent twice.
#[tokio::test]
async fn post_target_closes() {
    let closing = RawTarget::start(|_, _| Answer::Close(Vec::new())).await;
    let other = RawTarget::start(|_, _| Answer::Close(Vec::new())).await;
    let daemon = Daemon::start().await;
    let _first = daemon.announce("target-1", closing.address, 3).await;
    let _second = daemon.announce("target-2", other.address, 3).await;
    for number in 1..=3 {
        let reply = daemon.caller().await.send(post("/svc/echo/hold")).await;
        reply.assert_refused(502, 1301, "target-failed", "unknown");
        assert_eq!(closing.seen().len() + other.seen().len(), number);
    }
}

/// Guards against a POST that is sent again when the target closes a connection that was used
/// before: the closed connection looks idle, but the request was read.
#[tokio::test]
async fn post_target_closes_kept_connection() {
    let ok = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok".to_vec();
    let target = RawTarget::start(move |_, text| {
        if text.starts_with("POST") { Answer::Close(Vec::new()) } else { Answer::Keep(ok.clone()) }
    })
    .await;
    let daemon = Daemon::start().await;
    let _announced = daemon.announce("target-1", target.address, 3).await;
    for _ in 0..3 {
        let reply = daemon.caller().await.send(get("/svc/echo/a", Some(ALPHA_KEY))).await;
        assert_eq!(reply.status, StatusCode::OK);
    }
    let reply = daemon.caller().await.send(post("/svc/echo/hold")).await;
    reply.assert_refused(502, 1301, "target-failed", "unknown");
    let posts = target.seen().iter().filter(|seen| seen.text.starts_with("POST")).count();
    assert_eq!(posts, 1);
}

/// Starts a daemon whose next request goes to a target that closes the connection after it has
/// read a request, with a second target beside it.
async fn with_closing_target() -> (Daemon, RawTarget, Target, [Announced; 2]) {
    let ok = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok".to_vec();
    let closing = RawTarget::start(move |number, _| match number {
        0 => Answer::Keep(ok.clone()),
        _ => Answer::Close(Vec::new()),
    })
    .await;
    let (daemon, target) = (Daemon::start().await, Target::start().await);
    let first = daemon.announce("target-1", closing.address, 3).await;
    // The daemon keeps the permit of this request for a second and uses it for the next one.
    let reply = daemon.caller().await.send(get("/svc/echo/a", Some(ALPHA_KEY))).await;
    assert_eq!(reply.status, StatusCode::OK);
    let second = daemon.announce("target-2", target.address, 3).await;
    (daemon, closing, target, [first, second])
}

/// Guards against a GET that fails although another target can answer it.
#[tokio::test]
async fn get_retried_on_another_target() {
    let (daemon, closing, target, _announced) = with_closing_target().await;
    let mut caller = daemon.caller().await;
    let mut sent = 0;
    while closing.seen().len() < 2 {
        assert!(sent < 100, "the closing target was not asked");
        let reply = caller.send(get("/svc/echo/a", Some(ALPHA_KEY))).await;
        assert_eq!((reply.status, &reply.body[..]), (StatusCode::OK, &b"/a"[..]), "request {sent}");
        sent += 1;
    }
    assert_eq!(target.seen().len(), sent);
}

/// Guards against a target without connections whose requests are reported as possibly run.
#[tokio::test]
async fn target_refuses_connections() {
    let daemon = Daemon::start().await;
    let _announced = daemon.announce("target-1", closed_address(), 3).await;
    for sent in [post("/svc/echo/hold"), get("/svc/echo/a", Some(ALPHA_KEY))] {
        let reply = daemon.caller().await.send(sent).await;
        reply.assert_refused(502, 1300, "target-unreachable", "not-run");
    }
}

/// Guards against a POST that is lost although no byte of it was sent and another target is there.
#[tokio::test]
async fn post_sent_after_refused_connection() {
    let (daemon, target) = (Daemon::start().await, Target::start().await);
    let _first = daemon.announce("target-1", closed_address(), 3).await;
    // The daemon keeps the permit of this request for a second and uses it for the next one.
    let reply = daemon.caller().await.send(post("/svc/echo/echo")).await;
    reply.assert_refused(502, 1300, "target-unreachable", "not-run");
    let _second = daemon.announce("target-2", target.address, 3).await;
    let reply = daemon.caller().await.send(post("/svc/echo/echo")).await;
    assert_eq!((reply.status, &reply.body[..]), (StatusCode::OK, BODY_END.as_bytes()));
    assert_eq!(target.seen().len(), 1);
}

/// Guards against requests that wait for a stalled target past their deadline, and against a
/// target that keeps running a request nobody waits for.
#[tokio::test]
async fn target_stalls() {
    let (daemon, target, _announced) = with_target(3).await;
    for (number, method) in [Method::GET, Method::POST].into_iter().enumerate() {
        let sent = request(method, "/svc/echo/stall", Some(ALPHA_KEY), "body");
        let sent = with_header(sent, "celerygate-deadline-ms", "1500");
        let reply = daemon.caller().await.send(sent).await;
        reply.assert_refused(504, 1302, "deadline-passed", "unknown");
        eventually("the target is cancelled", async || {
            (target.cancelled() == number + 1).then_some(())
        })
        .await;
    }
    assert_eq!(target.seen().len(), 2, "a request was sent again after its deadline");
}

/// Guards against a response that stalls after its head and looks complete or never ends.
#[tokio::test]
async fn response_stalls() {
    for part in
        ["content-length: 1000\r\n\r\npart", "transfer-encoding: chunked\r\n\r\n4\r\npart\r\n"]
    {
        let answer = format!("HTTP/1.1 200 OK\r\n{part}");
        let (daemon, _target, _announced) = with_answer(Answer::Stall(answer.into())).await;
        let sent = get("/svc/echo/a", Some(ALPHA_KEY));
        let sent = with_header(sent, "celerygate-deadline-ms", "1500");
        let result = daemon.caller().await.try_send(sent).await;
        assert!(result.is_err(), "{result:?}");
    }
}

/// Guards against surplus bytes of a target that become the answer to another caller's request.
#[tokio::test]
async fn response_with_surplus() {
    let surplus = "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nforeigner";
    for framing in
        ["content-length: 2\r\n\r\nok", "transfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"]
    {
        let answer = format!("HTTP/1.1 200 OK\r\n{framing}{surplus}");
        let (daemon, target, _announced) = with_answer(Answer::Keep(answer.into())).await;
        for _ in 0..10 {
            let reply = daemon.caller().await.send(get("/svc/echo/a", Some(ALPHA_KEY))).await;
            assert_eq!((reply.status, &reply.body[..]), (StatusCode::OK, &b"ok"[..]));
        }
        let mut connections: Vec<_> = target.seen().iter().map(|seen| seen.connection).collect();
        connections.dedup();
        assert_eq!(connections.len(), 10, "a connection with surplus bytes was used again");
    }
}

/// Guards against bytes that arrive on an idle connection and become the answer to the next request.
#[tokio::test]
async fn response_with_late_surplus() {
    let ok = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
    let late = "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nforeigner";
    let (daemon, target, _announced) = with_answer(Answer::Late(ok.into(), late.into())).await;
    for number in 0..3 {
        let reply = daemon.caller().await.send(get("/svc/echo/a", Some(ALPHA_KEY))).await;
        assert_eq!((reply.status, &reply.body[..]), (StatusCode::OK, &b"ok"[..]));
        assert_eq!(target.seen()[number].connection, number, "the connection was used again");
        // Several times the delay, so that the surplus has reached the daemon.
        tokio::time::sleep(LATE * 5).await;
    }
}

/// Guards against a response to HEAD whose announced length is taken for a body.
#[tokio::test]
async fn head_keeps_connection() {
    let (daemon, _target, _announced) = with_target(1).await;
    let mut caller = daemon.caller().await;
    for _ in 0..3 {
        let sent = request(Method::HEAD, "/svc/echo/bytes/1000", Some(ALPHA_KEY), "");
        let reply = caller.send(sent).await;
        assert_eq!((reply.status, reply.body.len()), (StatusCode::OK, 0));
        assert_eq!(reply.headers["content-length"], "1000");
        let reply = caller.send(get("/svc/echo/a", Some(ALPHA_KEY))).await;
        assert_eq!((reply.status, &reply.body[..]), (StatusCode::OK, &b"/a"[..]));
    }
}

/// Guards against a 503 of a target that is hidden, or taken as proof that a POST did not run.
#[tokio::test]
async fn target_sheds() {
    let (daemon, target, _announced) = with_target(3).await;
    let reply = daemon.caller().await.send(post("/svc/echo/status/503")).await;
    assert_eq!(reply.status, StatusCode::SERVICE_UNAVAILABLE);
    // The body is the target's own and claims no outcome.
    assert_eq!(&reply.body[..], b"/status/503");
    assert_eq!(target.seen().len(), 1);
}

/// Guards against responses that are not HTTP and are passed on or reported as not run.
#[tokio::test]
async fn response_malformed() {
    for answer in ["not http\r\n\r\n", "HTTP/1.1 200 OK\r\ncontent-length: x\r\n\r\n"] {
        let (daemon, target, _announced) = with_answer(Answer::Close(answer.into())).await;
        let reply = daemon.caller().await.send(post("/svc/echo/hold")).await;
        reply.assert_refused(502, 1301, "target-failed", "unknown");
        assert_eq!(target.seen().len(), 1);
    }
}

/// Guards against targets that set the daemon's own headers, or hop-by-hop headers, at callers.
#[tokio::test]
async fn response_internal_headers() {
    let answer = "HTTP/1.1 200 OK\r\ncelerygate-request: forged\r\ncelerygate-other: forged\r\n\
                  connection: x-hop\r\nx-hop: 1\r\nx-kept: 1\r\ncontent-length: 0\r\n\r\n";
    let (daemon, _target, _announced) = with_answer(Answer::Keep(answer.into())).await;
    let reply = daemon.caller().await.send(get("/svc/echo/a", Some(ALPHA_KEY))).await;
    assert!(reply.headers.values().all(|value| value != "forged"), "{:?}", reply.headers);
    assert!(!reply.headers.contains_key("x-hop") && reply.headers.contains_key("x-kept"));
}

/// Guards against requests that keep a slot of the target after their caller has left.
#[tokio::test]
async fn caller_leaves() {
    let (daemon, target, _announced) = with_target(1).await;
    let mut caller = daemon.caller().await;
    let waiting = tokio::spawn(async move {
        // Longer than the test waits, so that the deadline does not cancel the request.
        let sent = get("/svc/echo/stall", Some(ALPHA_KEY));
        let _ = caller.open(with_header(sent, "celerygate-deadline-ms", "600000")).await;
    });
    eventually("the target has the request", async || (target.seen().len() == 1).then_some(()))
        .await;
    waiting.abort();
    eventually("the target is cancelled", async || (target.cancelled() == 1).then_some(())).await;
    // The only slot is free again.
    let reply = daemon.caller().await.send(get("/svc/echo/a", Some(ALPHA_KEY))).await;
    assert_eq!(reply.status, StatusCode::OK);
}

/// Guards against a target that goes on with a response that nobody reads.
#[tokio::test]
async fn caller_leaves_during_response() {
    let (daemon, target, _announced) = with_target(1).await;
    let mut caller = daemon.caller().await;
    let sent = get(&format!("/svc/echo/bytes/{}", 64 << 20), Some(ALPHA_KEY));
    let sent = with_header(sent, "celerygate-deadline-ms", "600000");
    let mut body = caller.open(sent).await.unwrap().into_body();
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

/// Guards against a request body that was cut and looks complete to the target.
#[tokio::test]
async fn caller_truncates_body() {
    use tokio::io::AsyncWriteExt;
    for (framing, part) in
        [("transfer-encoding: chunked", "4\r\npart\r\n"), ("content-length: 1000", "part")]
    {
        let (daemon, target, _announced) = with_target(1).await;
        let mut stream = tokio::net::TcpStream::connect(daemon.callers).await.unwrap();
        let head = format!(
            "POST /svc/echo/echo HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {ALPHA_KEY}\r\n\
             {framing}\r\n\r\n{part}"
        );
        stream.write_all(head.as_bytes()).await.unwrap();
        eventually("the target has the first part", async || {
            position(&target.received(), b"part").map(drop)
        })
        .await;
        drop(stream);
        eventually("the target's connection is closed", async || {
            (target.open_connections() == 0).then_some(())
        })
        .await;
        let received = target.received();
        // The last chunk stands on a line of its own; a header value may end in 0 too.
        assert_eq!(position(&received, b"\r\n0\r\n\r\n"), None, "{framing}");
        assert_eq!(target.seen().len(), 1, "{framing}: a cut request was sent again");
    }
}

/// Guards against a large response that reaches a slow caller changed or cut.
#[tokio::test]
async fn response_slow_caller() {
    let (daemon, _target, _announced) = with_target(1).await;
    let mut caller = daemon.caller().await;
    let path = format!("/bytes/{}", 8 << 20);
    let response = caller.open(get(&format!("/svc/echo{path}"), Some(ALPHA_KEY))).await.unwrap();
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
