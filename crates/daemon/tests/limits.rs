//! Deadlines, slots, rate limits and idempotency keys.

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use hyper::{Method, StatusCode};
use support::caller::{Reply, get, request, with_header};
use support::daemon::{ALPHA_KEY, AnnouncementGuard, Daemon, LOW_RATE_KEY};
use support::eventually;
use support::target::Target;

/// Starts a daemon with one target.
async fn start_with_target(slots: u32) -> (Daemon, Target, AnnouncementGuard) {
    let (daemon, target) = (Daemon::start().await, Target::start().await);
    let announced = daemon.announce("target-1", target.address, slots).await;
    (daemon, target, announced)
}

fn post(path: &str) -> support::caller::FullRequest {
    request(Method::POST, path, Some(ALPHA_KEY), "body")
}

/// Sends a POST request with an idempotency key.
async fn post_with_key(daemon: &Daemon, key: &str) -> Reply {
    let request = with_header(post("/svc/echo/a"), "idempotency-key", key);
    daemon.caller().await.send(request).await
}

/// Guards against a target that is given the full deadline after the request has waited for a slot.
#[tokio::test]
async fn deadline_reduced() {
    let (daemon, target, _announcement) = start_with_target(1).await;
    let mut first_caller = daemon.caller().await;
    let first_request = tokio::spawn(async move {
        first_caller.send(get("/svc/echo/hold", Some(ALPHA_KEY))).await.status
    });
    eventually("the slot is taken", async || (target.requests().len() == 1).then_some(())).await;
    let mut caller = daemon.caller().await;
    let waiting = tokio::spawn(async move {
        let request = get("/svc/echo/a", Some(ALPHA_KEY));
        caller.send(with_header(request, "celerygate-deadline-ms", "20000")).await
    });
    // Part of the deadline passes while the request waits for the slot.
    tokio::time::sleep(Duration::from_secs(2)).await;
    target.release();
    assert_eq!(first_request.await.unwrap(), StatusCode::OK);
    assert_eq!(waiting.await.unwrap().status, StatusCode::OK);
    let deadline = |at: usize| -> u64 {
        target.requests()[at].headers["celerygate-deadline-ms"].to_str().unwrap().parse().unwrap()
    };
    assert!(deadline(0) < 30_000, "the default deadline was not reduced: {} ms", deadline(0));
    // Only 1 s of the wait of 2 s is required, since the daemon may have read the request late.
    assert!(deadline(1) <= 19_000, "{}", deadline(1));
}

/// Guards against a request that is forwarded, or reported with outcome `unknown`, although its
/// deadline passed while it waited for a slot.
#[tokio::test]
async fn deadline_passes_waiting() {
    let (daemon, target, _announcement) = start_with_target(1).await;
    let mut first_caller = daemon.caller().await;
    let first_request = tokio::spawn(async move {
        first_caller.send(get("/svc/echo/hold", Some(ALPHA_KEY))).await.status
    });
    eventually("the slot is taken", async || (target.requests().len() == 1).then_some(())).await;
    let request = with_header(post("/svc/echo/a"), "celerygate-deadline-ms", "1000");
    let reply = daemon.caller().await.send(request).await;
    // The daemon refuses at once if it estimates that the wait exceeds the deadline.
    let waited = reply.json()["code"] == 1305;
    let (status, code, name) = if waited {
        (504, 1305, "deadline-passed-waiting")
    } else {
        (503, 1202, "deadline-unreachable")
    };
    reply.assert_error(status, code, name, "not-run");
    target.release();
    assert_eq!(first_request.await.unwrap(), StatusCode::OK);
    assert_eq!(target.requests().len(), 1);
}

/// Guards against more concurrent requests at a target than it has slots.
#[tokio::test]
async fn slots_never_exceeded() {
    let (daemon, target, _announcement) = start_with_target(1).await;
    let tasks = (0..20).map(|_| {
        let address = daemon.callers;
        tokio::spawn(async move {
            let mut caller = support::caller::Caller::connect(address).await.unwrap();
            for _ in 0..3 {
                let reply = caller.send(get("/svc/echo/sleep/10", Some(ALPHA_KEY))).await;
                assert_eq!(reply.status, StatusCode::OK);
            }
        })
    });
    for task in tasks.collect::<Vec<_>>() {
        task.await.unwrap();
    }
    assert_eq!((target.requests().len(), target.max_concurrent_requests()), (60, 1));
}

/// Guards against a rate limit that admits more requests than rate and burst allow, or none at all.
#[tokio::test]
async fn rate_limit() {
    let (daemon, target, _announcement) = start_with_target(8).await;
    let start = Instant::now();
    let (admitted, refused) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let timed_out = Arc::new(AtomicUsize::new(0));
    let tasks = (0..4).map(|_| {
        let address = daemon.callers;
        let (admitted, refused) = (Arc::clone(&admitted), Arc::clone(&refused));
        let timed_out = Arc::clone(&timed_out);
        tokio::spawn(async move {
            let mut caller = support::caller::Caller::connect(address).await.unwrap();
            while start.elapsed() < Duration::from_secs(6) {
                let request = get("/svc/echo/a", Some(LOW_RATE_KEY));
                let reply =
                    caller.send(with_header(request, "celerygate-deadline-ms", "300")).await;
                if reply.status == StatusCode::OK {
                    admitted.fetch_add(1, Ordering::SeqCst);
                } else {
                    let body = reply.json();
                    let code = body["code"].as_u64().unwrap();
                    // The rate token may be granted shortly before the deadline, which then passes
                    // at the target. Such a request was admitted and counts against the rate.
                    if code == 1302 {
                        assert_eq!(body["outcome"], "unknown");
                        timed_out.fetch_add(1, Ordering::SeqCst);
                        continue;
                    }
                    assert!([1200, 1202, 1305].contains(&code), "{body}");
                    assert_eq!(body["outcome"], "not-run");
                    refused.fetch_add(1, Ordering::SeqCst);
                }
            }
        })
    });
    for task in tasks.collect::<Vec<_>>() {
        task.await.unwrap();
    }
    let time = start.elapsed().as_secs_f64();
    let (admitted, refused) = (admitted.load(Ordering::SeqCst), refused.load(Ordering::SeqCst));
    let timed_out = timed_out.load(Ordering::SeqCst);
    println!("admitted {admitted}, timed out {timed_out}, refused {refused} in {time} s");
    let bound = 5.0 + 5.0 * time;
    assert!(
        (admitted + timed_out) as f64 <= bound,
        "admitted {admitted}, timed out {timed_out} in {time} s"
    );
    assert!(admitted >= 5 && refused > 0, "admitted {admitted}, refused {refused}");
    let received = target.requests().len();
    let possible = admitted..=admitted + timed_out;
    assert!(
        possible.contains(&received),
        "target received {received}, admitted {admitted}, timed out {timed_out}"
    );
}

/// Guards against a POST that runs twice because the caller resent it with the same idempotency
/// key.
#[tokio::test]
async fn idempotency_key_repeated() {
    let (daemon, target, _announcement) = start_with_target(2).await;
    assert_eq!(post_with_key(&daemon, "key-1").await.status, StatusCode::OK);
    post_with_key(&daemon, "key-1").await.assert_error(409, 1303, "duplicate-request", "unknown");
    assert_eq!(post_with_key(&daemon, "key-2").await.status, StatusCode::OK);
    assert_eq!(target.requests().len(), 2);
}

/// Guards against idempotency keys that are lost when the process is killed.
#[tokio::test]
async fn idempotency_key_repeated_after_kill() {
    let (mut daemon, target, _announcement) = start_with_target(2).await;
    assert_eq!(post_with_key(&daemon, "key-1").await.status, StatusCode::OK);
    daemon.kill();
    daemon.start_process().await;
    // Until the target has announced itself again, the daemon refuses with other codes.
    let refused = eventually("the key is refused", async || {
        let reply = post_with_key(&daemon, "key-1").await;
        (reply.status == StatusCode::CONFLICT || reply.status.is_success()).then_some(reply)
    })
    .await;
    refused.assert_error(409, 1303, "duplicate-request", "unknown");
    assert_eq!(target.requests().len(), 1);
}

/// Guards against concurrent POST requests with the same idempotency key of which several run.
#[tokio::test]
async fn idempotency_key_concurrent() {
    let (daemon, target, _announcement) = start_with_target(4).await;
    let address = daemon.callers;
    let sends: Vec<_> = (0..8)
        .map(|_| {
            tokio::spawn(async move {
                let mut caller = support::caller::Caller::connect(address).await.unwrap();
                caller.send(with_header(post("/svc/echo/a"), "idempotency-key", "key-1")).await
            })
        })
        .collect();
    let mut succeeded = 0;
    for send in sends {
        let reply = send.await.unwrap();
        if reply.status == StatusCode::OK {
            succeeded += 1;
        } else {
            reply.assert_error(409, 1303, "duplicate-request", "unknown");
        }
    }
    assert_eq!((succeeded, target.requests().len()), (1, 1));
}

/// Guards against an idempotency key that stays recorded for a request with outcome `not-run`,
/// which would refuse the caller's retry.
#[tokio::test]
async fn idempotency_key_released() {
    let daemon = Daemon::start().await;
    let closed = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let unreachable = daemon.announce("target-1", closed, 1).await;
    post_with_key(&daemon, "key-1").await.assert_error(502, 1300, "target-unreachable", "not-run");
    drop(unreachable);
    let target = Target::start().await;
    let _announcement = daemon.announce("target-2", target.address, 1).await;
    let reply = eventually("the other target is used", async || {
        let reply = post_with_key(&daemon, "key-1").await;
        (reply.status != StatusCode::BAD_GATEWAY).then_some(reply)
    })
    .await;
    assert_eq!(reply.status, StatusCode::OK);
    assert_eq!(target.requests().len(), 1);
}
