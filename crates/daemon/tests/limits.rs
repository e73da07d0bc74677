//! Deadlines, slots, rates and idempotency keys.

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use hyper::{Method, StatusCode};
use support::caller::{Reply, get, request, with_header};
use support::daemon::{ALPHA_KEY, Announced, Daemon, SMALL_KEY};
use support::eventually;
use support::target::Target;

/// Starts a daemon with one target.
async fn with_target(slots: u32) -> (Daemon, Target, Announced) {
    let (daemon, target) = (Daemon::start().await, Target::start().await);
    let announced = daemon.announce("target-1", target.address, slots).await;
    (daemon, target, announced)
}

fn post(path: &str) -> support::caller::Sent {
    request(Method::POST, path, Some(ALPHA_KEY), "body")
}

/// Sends a hold with an idempotency key.
async fn hold(daemon: &Daemon, key: &str) -> Reply {
    let sent = with_header(post("/svc/echo/a"), "idempotency-key", key);
    daemon.caller().await.send(sent).await
}

/// Guards against a deadline that starts anew at the target, after the request has waited.
#[tokio::test]
async fn deadline_reduced() {
    let (daemon, target, _announced) = with_target(1).await;
    let mut holder = daemon.caller().await;
    let holding =
        tokio::spawn(
            async move { holder.send(get("/svc/echo/hold", Some(ALPHA_KEY))).await.status },
        );
    eventually("the slot is taken", async || (target.seen().len() == 1).then_some(())).await;
    let mut caller = daemon.caller().await;
    let waiting = tokio::spawn(async move {
        let sent = get("/svc/echo/a", Some(ALPHA_KEY));
        caller.send(with_header(sent, "celerygate-deadline-ms", "20000")).await
    });
    // Part of the deadline passes before the request can be sent.
    tokio::time::sleep(Duration::from_secs(2)).await;
    target.release();
    assert_eq!(holding.await.unwrap(), StatusCode::OK);
    assert_eq!(waiting.await.unwrap().status, StatusCode::OK);
    let deadline = |at: usize| -> u64 {
        target.seen()[at].headers["celerygate-deadline-ms"].to_str().unwrap().parse().unwrap()
    };
    assert!(deadline(0) < 30_000, "the default is not reduced: {}", deadline(0));
    // Half of the wait allows for a daemon that read the request late.
    assert!(deadline(1) <= 19_000, "{}", deadline(1));
}

/// Guards against a request that is sent, or reported as possibly run, when its deadline passed
/// while it waited for a slot.
#[tokio::test]
async fn deadline_passes_waiting() {
    let (daemon, target, _announced) = with_target(1).await;
    let mut holder = daemon.caller().await;
    let holding =
        tokio::spawn(
            async move { holder.send(get("/svc/echo/hold", Some(ALPHA_KEY))).await.status },
        );
    eventually("the slot is taken", async || (target.seen().len() == 1).then_some(())).await;
    let sent = with_header(post("/svc/echo/a"), "celerygate-deadline-ms", "1000");
    let reply = daemon.caller().await.send(sent).await;
    // The estimate of the wait decides which of the two codes is given.
    let waited = reply.json()["code"] == 1305;
    let (status, code, name) = if waited {
        (504, 1305, "deadline-passed-waiting")
    } else {
        (503, 1202, "deadline-unreachable")
    };
    reply.assert_refused(status, code, name, "not-run");
    target.release();
    assert_eq!(holding.await.unwrap(), StatusCode::OK);
    assert_eq!(target.seen().len(), 1);
}

/// Guards against more requests at a target than it has slots.
#[tokio::test]
async fn slots_never_exceeded() {
    let (daemon, target, _announced) = with_target(1).await;
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
    assert_eq!((target.seen().len(), target.most_running()), (60, 1));
}

/// Guards against more admitted requests than rate and burst allow, and against a limit that
/// admits none.
#[tokio::test]
async fn rate_limit() {
    let (daemon, target, _announced) = with_target(8).await;
    let start = Instant::now();
    let (admitted, refused) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let late = Arc::new(AtomicUsize::new(0));
    let tasks = (0..4).map(|_| {
        let address = daemon.callers;
        let (admitted, refused) = (Arc::clone(&admitted), Arc::clone(&refused));
        let late = Arc::clone(&late);
        tokio::spawn(async move {
            let mut caller = support::caller::Caller::connect(address).await.unwrap();
            while start.elapsed() < Duration::from_secs(6) {
                let sent = get("/svc/echo/a", Some(SMALL_KEY));
                let reply = caller.send(with_header(sent, "celerygate-deadline-ms", "300")).await;
                if reply.status == StatusCode::OK {
                    admitted.fetch_add(1, Ordering::SeqCst);
                } else {
                    let body = reply.json();
                    let code = body["code"].as_u64().unwrap();
                    // A token may arrive so late that the deadline passes at the target. Such a
                    // request was admitted and counts against the rate.
                    if code == 1302 {
                        assert_eq!(body["outcome"], "unknown");
                        late.fetch_add(1, Ordering::SeqCst);
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
    let late = late.load(Ordering::SeqCst);
    println!("admitted {admitted}, late {late}, refused {refused} in {time} s");
    let bound = 5.0 + 5.0 * time;
    assert!((admitted + late) as f64 <= bound, "{admitted} and {late} late in {time} s");
    assert!(admitted >= 5 && refused > 0, "admitted {admitted}, refused {refused}");
    let seen = target.seen().len();
    let possible = admitted..=admitted + late;
    assert!(possible.contains(&seen), "{seen} at the target, {admitted} and {late} late admitted");
}

/// Guards against a hold that runs twice because the caller sent it again.
#[tokio::test]
async fn idempotency_key_repeated() {
    let (daemon, target, _announced) = with_target(2).await;
    assert_eq!(hold(&daemon, "key-1").await.status, StatusCode::OK);
    hold(&daemon, "key-1").await.assert_refused(409, 1303, "duplicate-request", "unknown");
    assert_eq!(hold(&daemon, "key-2").await.status, StatusCode::OK);
    assert_eq!(target.seen().len(), 2);
}

/// Guards against keys that are forgotten when the process dies.
#[tokio::test]
async fn idempotency_key_repeated_after_kill() {
    let (mut daemon, target, _announced) = with_target(2).await;
    assert_eq!(hold(&daemon, "key-1").await.status, StatusCode::OK);
    daemon.kill();
    daemon.run().await;
    // Until its target has announced itself again, the daemon refuses for another reason.
    let refused = eventually("the key is refused", async || {
        let reply = hold(&daemon, "key-1").await;
        (reply.status == StatusCode::CONFLICT || reply.status.is_success()).then_some(reply)
    })
    .await;
    refused.assert_refused(409, 1303, "duplicate-request", "unknown");
    assert_eq!(target.seen().len(), 1);
}

/// Guards against two simultaneous sends of the same hold that both run.
#[tokio::test]
async fn idempotency_key_concurrent() {
    let (daemon, target, _announced) = with_target(4).await;
    let address = daemon.callers;
    let sends: Vec<_> = (0..8)
        .map(|_| {
            tokio::spawn(async move {
                let mut caller = support::caller::Caller::connect(address).await.unwrap();
                caller.send(with_header(post("/svc/echo/a"), "idempotency-key", "key-1")).await
            })
        })
        .collect();
    let mut good = 0;
    for send in sends {
        let reply = send.await.unwrap();
        if reply.status == StatusCode::OK {
            good += 1;
        } else {
            reply.assert_refused(409, 1303, "duplicate-request", "unknown");
        }
    }
    assert_eq!((good, target.seen().len()), (1, 1));
}

/// Guards against a key that stays recorded for a request that certainly did not run, so that the
/// caller's resend would be refused.
#[tokio::test]
async fn idempotency_key_released() {
    let daemon = Daemon::start().await;
    let closed = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let gone = daemon.announce("target-1", closed, 1).await;
    hold(&daemon, "key-1").await.assert_refused(502, 1300, "target-unreachable", "not-run");
    drop(gone);
    let target = Target::start().await;
    let _announced = daemon.announce("target-2", target.address, 1).await;
    let reply = eventually("the other target is used", async || {
        let reply = hold(&daemon, "key-1").await;
        (reply.status != StatusCode::BAD_GATEWAY).then_some(reply)
    })
    .await;
    assert_eq!(reply.status, StatusCode::OK);
    assert_eq!(target.seen().len(), 1);
}
