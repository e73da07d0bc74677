//! Graceful shutdown of a daemon after SIGTERM.

mod support;

use std::time::Duration;

use blake3::Hasher;
use celerygate_steering::targets::LEASE;
use http_body_util::BodyExt;
use hyper::StatusCode;
use rustix::process::Signal;
use serde_json::{Value, json};
use support::caller::{Caller, get};
use support::daemon::{ALPHA_KEY, Daemon, OPERATORS_TOKEN, TARGETS_TOKEN};
use support::target::Target;
use support::{eventually, random_bytes};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Size of the download. It exceeds the sum of all socket and proxy buffers, so that the download
/// is still in progress when the daemon shuts down.
const DOWNLOAD_BYTES: usize = 64 << 20;

/// Returns whether a lookup lists the VM. A lookup that fails with `no-capacity` lists no VM.
async fn is_listed(daemon: &Daemon) -> bool {
    let reply = daemon.caller().await.send(get("/lookup/echo", None)).await;
    if reply.status != StatusCode::OK {
        reply.assert_error(503, 1203, "no-capacity", "not-run");
        return false;
    }
    let answer: Value = reply.json();
    answer["entries"].as_array().expect("entries").iter().any(|entry| entry["vm"] == "vm-1")
}

/// Guards against a graceful shutdown that truncates a response in progress, that refuses callers
/// whose lookup answer is still cached, or that never completes.
#[tokio::test]
async fn terminate_during_download() {
    let (mut daemon, target) = (Daemon::start().await, Target::start().await);
    let _announcement = daemon.announce("target-1", target.address, 3).await;
    eventually("the VM is listed", async || is_listed(&daemon).await.then_some(())).await;
    let path = format!("/bytes/{DOWNLOAD_BYTES}");
    let mut download_caller = daemon.caller().await;
    let request = get(&format!("/svc/echo{path}"), Some(ALPHA_KEY));
    let mut body = download_caller.send_streaming(request).await.unwrap().into_body();
    let mut hasher = Hasher::new();
    let mut len = 0;
    let mut add = |frame: hyper::body::Bytes| {
        hasher.update(&frame);
        len += frame.len();
    };
    add(body.frame().await.unwrap().unwrap().into_data().unwrap());
    let mut idle = daemon.caller().await;
    assert_eq!(idle.send(get("/svc/echo/a", Some(ALPHA_KEY))).await.status, StatusCode::OK);
    daemon.terminate();
    eventually("the VM is not listed", async || (!is_listed(&daemon).await).then_some(())).await;
    // Callers cache earlier lookup answers for 5 s, so the daemon must still accept new
    // connections and requests on idle ones.
    let reply = daemon.caller().await.send(get("/svc/echo/b", Some(ALPHA_KEY))).await;
    assert_eq!((reply.status, &reply.body[..]), (StatusCode::OK, &b"/b"[..]));
    assert_eq!(reply.headers["connection"], "close");
    let reply = idle.send(get("/svc/echo/c", Some(ALPHA_KEY))).await;
    assert_eq!((reply.status, &reply.body[..]), (StatusCode::OK, &b"/c"[..]));
    // After that it closes its listener while the download is still in progress.
    let address = daemon.callers;
    eventually("the listener is closed", async || Caller::connect(address).await.err()).await;
    assert_eq!(daemon.exit_status(), None, "the daemon exited during the download");
    while let Some(frame) = body.frame().await {
        add(frame.expect("the download was truncated").into_data().unwrap());
    }
    assert_eq!(len, DOWNLOAD_BYTES);
    assert_eq!(hasher.finalize(), blake3::hash(&random_bytes(&path, DOWNLOAD_BYTES)));
    daemon.wait_for_exit().await;
    assert!(daemon.log().contains("daemon stopped"));
}

/// Guards against a graceful shutdown that waits for idle connections.
#[tokio::test]
async fn terminate_idle() {
    let (mut daemon, target) = (Daemon::start().await, Target::start().await);
    let _announcement = daemon.announce("target-1", target.address, 3).await;
    let mut idle = daemon.caller().await;
    assert_eq!(idle.send(get("/svc/echo/a", Some(ALPHA_KEY))).await.status, StatusCode::OK);
    let _unused = tokio::net::TcpStream::connect(daemon.callers).await.unwrap();
    daemon.terminate();
    daemon.wait_for_exit().await;
}

/// Guards against a daemon that, once its listener is closed, still accepts requests on idle
/// connections instead of closing them.
#[tokio::test]
async fn terminate_closes_idle_connections() {
    let (mut daemon, target) = (Daemon::start().await, Target::start().await);
    let _announcement = daemon.announce("target-1", target.address, 3).await;
    daemon.terminate();
    // The last connection before the listener closes is far from its time-out for a request head,
    // so only the shutdown can close it.
    let mut last = daemon.caller().await;
    let address = daemon.callers;
    while let Ok(caller) = Caller::connect(address).await {
        last = caller;
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    let result = last.try_send(get("/svc/echo/a", Some(ALPHA_KEY))).await;
    assert!(result.is_err(), "{result:?}");
    assert!(target.requests().is_empty());
    daemon.wait_for_exit().await;
}

/// Guards against a graceful shutdown that leaves data from which the daemon cannot restart.
#[tokio::test]
async fn terminate_and_start_again() {
    let mut daemon = Daemon::start().await;
    let before = daemon.status().await["revision"].as_u64();
    daemon.terminate();
    daemon.wait_for_exit().await;
    daemon.start_process().await;
    assert!(daemon.status().await["revision"].as_u64() >= before);
}

/// Guards against a signal that ends the process because it arrives before its handler is set.
#[tokio::test]
async fn terminate_during_start() {
    let mut daemon = Daemon::start().await;
    daemon.terminate();
    daemon.wait_for_exit().await;
    for _ in 0..5 {
        daemon.spawn_process();
        while std::net::TcpStream::connect(daemon.callers).is_err() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        daemon.terminate();
        daemon.wait_for_exit().await;
    }
}

/// Guards against a stop that ends by its own clock or by further signals while a request is
/// running, and against one that goes on after the last response.
#[tokio::test]
async fn terminate_waits_for_request() {
    let (mut daemon, target) = (Daemon::start().await, Target::start().await);
    let _announcement = daemon.announce("target-1", target.address, 3).await;
    let mut caller = daemon.caller().await;
    let held =
        tokio::spawn(async move { caller.try_send(get("/svc/echo/hold", Some(ALPHA_KEY))).await });
    eventually("the request runs", async || (!target.requests().is_empty()).then_some(())).await;
    daemon.terminate_twice().await;
    for _ in 0..3 {
        daemon.terminate();
        eventually("the signal is handled", async || {
            daemon.log().contains("stop requested again").then_some(())
        })
        .await;
        // In sum longer than the time-outs of a head (5 s) and of the wait for a peer (2 s).
        tokio::time::sleep(Duration::from_secs(3)).await;
        assert_eq!(daemon.exit_status(), None, "the daemon exited during the request");
    }
    target.release();
    let response = held.await.unwrap().expect("the request is answered");
    assert_eq!(response.status, StatusCode::OK);
    daemon.wait_for_exit().await;
}

/// Guards against a daemon that does not start again after its supervisor has killed it at the end
/// of the time for a stop, during a request.
#[tokio::test]
async fn kill_during_stop_and_start_again() {
    let (mut daemon, target) = (Daemon::start().await, Target::start().await);
    let _announcement = daemon.announce("target-1", target.address, 3).await;
    let before = daemon.status().await["revision"].as_u64();
    let mut caller = daemon.caller().await;
    let held =
        tokio::spawn(async move { caller.try_send(get("/svc/echo/hold", Some(ALPHA_KEY))).await });
    eventually("the request runs", async || (!target.requests().is_empty()).then_some(())).await;
    daemon.terminate_twice().await;
    daemon.signal(Signal::KILL);
    assert!(held.await.unwrap().is_err(), "the kernel closes the connection");
    while daemon.exit_status().is_none() {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    daemon.start_process().await;
    assert!(daemon.status().await["revision"].as_u64() >= before);
}

/// Guards against SIGHUP ending the process and its requests.
#[tokio::test]
async fn reload_signal_during_request() {
    let (daemon, target) = (Daemon::start().await, Target::start().await);
    let _announcement = daemon.announce("target-1", target.address, 3).await;
    let mut caller = daemon.caller().await;
    let held =
        tokio::spawn(async move { caller.try_send(get("/svc/echo/hold", Some(ALPHA_KEY))).await });
    eventually("the request runs", async || (!target.requests().is_empty()).then_some(())).await;
    daemon.signal(Signal::HUP);
    eventually("the signal is handled", async || {
        daemon.log().contains("reload requested").then_some(())
    })
    .await;
    target.release();
    assert_eq!(held.await.unwrap().expect("the request is answered").status, StatusCode::OK);
}

fn request_bytes(path: &str) -> Vec<u8> {
    format!("GET /svc/echo{path} HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {ALPHA_KEY}\r\n\r\n")
        .into_bytes()
}

/// Reads until the received bytes end with `end`.
async fn read_until(stream: &mut TcpStream, end: &[u8]) -> Vec<u8> {
    let mut received = Vec::new();
    while !received.ends_with(end) {
        let count = stream.read_buf(&mut received).await.expect("the connection is not reset");
        assert!(count > 0, "closed after {} bytes", received.len());
    }
    received
}

/// Reads until the daemon closes the connection.
async fn read_to_end(stream: &mut TcpStream) -> String {
    let mut received = Vec::new();
    stream.read_to_end(&mut received).await.expect("the connection is not reset");
    String::from_utf8_lossy(&received).into_owned()
}

/// Time after which the daemon has surely read what a caller sent.
const READ_DELAY: Duration = Duration::from_millis(200);

/// Guards against a connection that is closed as idle although a part of the next request was
/// read. Also guards against a second signal that cuts a request.
#[tokio::test]
async fn terminate_partial_head() {
    let (mut daemon, target) = (Daemon::start().await, Target::start().await);
    let _announcement = daemon.announce("target-1", target.address, 3).await;
    let (mut new, mut used) = (
        TcpStream::connect(daemon.callers).await.unwrap(),
        TcpStream::connect(daemon.callers).await.unwrap(),
    );
    used.write_all(&request_bytes("/first")).await.unwrap();
    read_until(&mut used, b"\r\n\r\n/first").await;
    let request = request_bytes("/second");
    let (begin, end) = request.split_at(20);
    for stream in [&mut new, &mut used] {
        stream.write_all(begin).await.unwrap();
    }
    tokio::time::sleep(READ_DELAY).await;
    daemon.terminate_twice().await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    for stream in [&mut new, &mut used] {
        stream.write_all(end).await.unwrap();
        let response = read_until(stream, b"\r\n\r\n/second").await;
        assert!(String::from_utf8_lossy(&response).contains("connection: close"));
    }
    daemon.wait_for_exit().await;
}

/// Guards against a request that is dropped because it was read while an earlier response, whose
/// head did not announce the close, was being sent.
#[tokio::test]
async fn terminate_request_behind_download() {
    let (mut daemon, target) = (Daemon::start().await, Target::start().await);
    let _announcement = daemon.announce("target-1", target.address, 3).await;
    let mut stream = TcpStream::connect(daemon.callers).await.unwrap();
    let path = format!("/bytes/{DOWNLOAD_BYTES}");
    stream.write_all(&request_bytes(&path)).await.unwrap();
    stream.read_exact(&mut [0; 1_024]).await.unwrap();
    stream.write_all(&request_bytes("/behind")).await.unwrap();
    tokio::time::sleep(READ_DELAY).await;
    daemon.terminate_twice().await;
    read_until(&mut stream, b"\r\n\r\n/behind").await;
    daemon.wait_for_exit().await;
}

/// Guards against a target that a VM in its closing phase takes for lost: the phase takes no
/// announcements, so that the last renewal is older than the lease once a long response has ended.
#[tokio::test]
async fn terminate_request_after_lease() {
    let (mut daemon, target) = (Daemon::start().await, Target::start().await);
    let _announcement = daemon.announce("target-1", target.address, 3).await;
    let mut stream = TcpStream::connect(daemon.callers).await.unwrap();
    let post = String::from_utf8(request_bytes("/echo")).unwrap().replacen("GET", "POST", 1);
    let post = post.replace("\r\n\r\n", "\r\ncontent-length: 2\r\n\r\n");
    stream.write_all(post.as_bytes()).await.unwrap();
    // Its head does not announce the close, because the daemon is not stopping yet.
    read_until(&mut stream, b"\r\n\r\n").await;
    daemon.terminate_twice().await;
    tokio::time::sleep(LEASE + Duration::from_secs(1)).await;
    stream.write_all(&[b"ab", &request_bytes("/behind")[..]].concat()).await.unwrap();
    let responses = read_to_end(&mut stream).await;
    assert!(responses.ends_with("\r\n\r\n/behind"), "{responses}");
    daemon.wait_for_exit().await;
}

/// Guards against connections that are reset in the kernel's accept queue when the listener is
/// closed.
#[tokio::test]
async fn terminate_accept_queue() {
    const CONNECTIONS: usize = 30;
    let (mut daemon, target) = (Daemon::start().await, Target::start().await);
    let _announcement = daemon.announce("target-1", target.address, 3).await;
    daemon.terminate();
    eventually("the daemon is leaving", async || {
        daemon.log().contains("stop requested").then_some(())
    })
    .await;
    // While the process is suspended, the kernel accepts connections and keeps the signal.
    daemon.signal(Signal::STOP);
    let mut streams = Vec::new();
    for _ in 0..CONNECTIONS {
        let mut stream = TcpStream::connect(daemon.callers).await.unwrap();
        stream.write_all(&request_bytes("/queued")).await.unwrap();
        streams.push(stream);
    }
    daemon.terminate();
    daemon.signal(Signal::CONT);
    for stream in &mut streams {
        read_until(stream, b"\r\n\r\n/queued").await;
    }
    assert_eq!(target.requests().len(), CONNECTIONS);
    daemon.wait_for_exit().await;
}

/// Guards against a daemon that never exits because a client of its APIs sends a part of a request
/// and then nothing.
#[tokio::test]
async fn terminate_stalled_api_request() {
    let mut daemon = Daemon::start().await;
    let mut head = TcpStream::connect(daemon.operators).await.unwrap();
    head.write_all(b"GET /v1/status HTTP/1.1\r\nhost: a\r\n").await.unwrap();
    let mut body = TcpStream::connect(daemon.targets).await.unwrap();
    let request = format!(
        "POST /v1/announce HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {TARGETS_TOKEN}\r\n\
         content-length: 100\r\n\r\n{{"
    );
    body.write_all(request.as_bytes()).await.unwrap();
    tokio::time::sleep(READ_DELAY).await;
    daemon.terminate();
    daemon.wait_for_exit().await;
}

/// Guards against an operator's call that is not answered because the daemon stops while the call
/// is being received.
#[tokio::test]
async fn terminate_during_api_call() {
    let mut daemon = Daemon::start().await;
    let mut stream = TcpStream::connect(daemon.operators).await.unwrap();
    let body = json!({
        "intent": "stop-1", "based_on": null,
        "kind": {"key_withdraw": {"organisation": "small", "key": "small-1"}},
    })
    .to_string();
    let head = format!(
        "POST /v1/intents HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {OPERATORS_TOKEN}\r\n\
         content-length: {}\r\n\r\n",
        body.len()
    );
    let (begin, end) = body.split_at(10);
    stream.write_all((head + begin).as_bytes()).await.unwrap();
    tokio::time::sleep(READ_DELAY).await;
    daemon.terminate_twice().await;
    stream.write_all(end.as_bytes()).await.unwrap();
    let mut response = Vec::new();
    stream.read_to_end(&mut response).await.expect("the connection is not reset");
    let response = String::from_utf8_lossy(&response);
    assert!(response.starts_with("HTTP/1.1 200 "), "{response}");
    assert!(response.contains("stop-1"), "{response}");
    daemon.wait_for_exit().await;
}
