//! Targets that send bytes without end.

mod support;

use std::time::{Duration, Instant};

use support::caller::send_raw;
use support::daemon::{ALPHA_KEY, AnnouncementGuard, Daemon};
use support::eventually;
use support::raw_target::{RawTarget, ScriptedResponse};

/// Deadline of the requests.
const DEADLINE: Duration = Duration::from_millis(1_500);
/// Time after the deadline within which a response must end.
const DEADLINE_MARGIN: Duration = Duration::from_secs(2);

async fn start(response: ScriptedResponse) -> (Daemon, RawTarget, AnnouncementGuard) {
    let target = RawTarget::start(move |_, _| response.clone()).await;
    let daemon = Daemon::start().await;
    let announced = daemon.announce("target-1", target.address, 3).await;
    (daemon, target, announced)
}

/// Sends a GET and returns all bytes received, as text.
async fn get(daemon: &Daemon) -> String {
    let request = format!(
        "GET /svc/echo/a HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {ALPHA_KEY}\r\n\
         celerygate-deadline-ms: {}\r\nconnection: close\r\n\r\n",
        DEADLINE.as_millis()
    );
    let received = send_raw(daemon.callers, request.as_bytes()).await;
    String::from_utf8_lossy(&received).into_owned()
}

/// Guards against a body without end that is passed on after the deadline, or looks complete to the
/// caller.
#[tokio::test]
async fn body_endless() {
    let chunk = format!("10000\r\n{}\r\n", "x".repeat(65_536));
    let bodies = [("transfer-encoding: chunked\r\n\r\n", chunk), ("\r\n", "x".repeat(65_536))];
    for (framing, repeated) in bodies {
        let head = format!("HTTP/1.1 200 OK\r\n{framing}");
        let (daemon, target, _announcement) =
            start(ScriptedResponse::Endless(head.into(), repeated.into())).await;
        let started = Instant::now();
        let received = get(&daemon).await;
        assert!(started.elapsed() < DEADLINE + DEADLINE_MARGIN, "{:?}", started.elapsed());
        assert!(received.starts_with("HTTP/1.1 200 "), "{:?}", received.get(..100));
        assert!(!received.ends_with("0\r\n\r\n"), "the response looks complete");
        eventually("the connection is closed", async || {
            (target.endless_closed() == 1).then_some(())
        })
        .await;
    }
}

/// Guards against response heads of any length and informational responses without end, which
/// occupy the daemon until the deadline.
#[tokio::test]
async fn head_endless() {
    let line = format!("x-a: {}\r\n", "x".repeat(4_096));
    let long_head = format!("HTTP/1.1 200 OK\r\n{}content-length: 0\r\n\r\n", line.repeat(90));
    let informational = "HTTP/1.1 100 Continue\r\n\r\n".repeat(10);
    for response in [
        ScriptedResponse::KeepAlive(long_head.into()),
        ScriptedResponse::Endless("HTTP/1.1 200 OK\r\nx: ".into(), vec![b'x'; 65_536]),
        ScriptedResponse::Endless(Vec::new(), informational.into()),
    ] {
        let (daemon, _target, _announcement) = start(response).await;
        let received = get(&daemon).await;
        // The code of a deadline that has passed is 1302.
        let is_failed = received.contains("\"code\":1301");
        assert!(is_failed && received.starts_with("HTTP/1.1 502 "), "{:?}", received.get(..300));
    }
}
