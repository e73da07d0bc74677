//! Changes by operators: intents, plans and confirms.

mod support;

use std::time::{Duration, Instant};

use hyper::{Method, StatusCode};
use serde_json::{Value, json};
use support::caller::{Caller, Reply, get, request};
use support::daemon::{ALPHA_KEY, Daemon, OPERATORS_TOKEN};
use support::eventually;
use support::target::Target;

fn rate(rate: u64) -> Value {
    json!({"rate": {
        "organisation": "alpha", "rate_requests_per_s": rate, "burst_requests": 100}})
}

fn withdraw_alpha() -> Value {
    json!({"key_withdraw": {"organisation": "alpha", "key": "alpha-1"}})
}

/// Returns the rate of alpha as the status shows it.
async fn alpha_rate(daemon: &Daemon) -> u64 {
    let status = daemon.status().await;
    let organisations = status["organisations"].as_array().expect("organisations");
    let alpha = organisations.iter().find(|known| known["organisation"] == "alpha");
    alpha.expect("alpha")["rate_requests_per_s"].as_u64().expect("a rate")
}

fn revision(reply: &Reply) -> u64 {
    reply.json()["revision"].as_u64().expect("a revision")
}

/// Waits until an intent is in force everywhere.
async fn in_force(daemon: &Daemon, intent: &str) {
    eventually("the intent is in force", async || {
        (daemon.show(intent).await.json()["in_force"] == true).then_some(())
    })
    .await;
}

/// Guards against changes before the confirm, and against confirms that change nothing.
#[tokio::test]
async fn intent_create_show_confirm() {
    let daemon = Daemon::start().await;
    let created = daemon.propose("set-rate", None, rate(77)).await;
    assert_eq!(created.status, StatusCode::OK);
    let record = created.json()["record"].clone();
    assert_eq!((&record["state"], &record["next_step"]), (&"planned".into(), &0.into()));
    assert_eq!(record["plan"]["steps"].as_array().map(Vec::len), Some(1));
    assert_eq!(record["plan"]["refusal"], Value::Null);
    assert_eq!(record["confirmed_revision"], Value::Null);
    assert_eq!(daemon.show("set-rate").await.json()["record"], record);
    let before = daemon.status().await;
    assert_eq!(before["revision"].as_u64(), Some(revision(&created)));
    assert_eq!(before["intents"], json!([record]));
    assert_eq!(alpha_rate(&daemon).await, 10_000, "changed before the confirm");
    let confirmed = daemon.confirm("set-rate", revision(&created)).await;
    assert_eq!(confirmed.status, StatusCode::OK);
    let confirmed = confirmed.json();
    assert_eq!(confirmed["record"]["state"], "done");
    assert_eq!(confirmed["record"]["confirmed_revision"], revision(&created) + 1);
    assert_eq!(alpha_rate(&daemon).await, 77);
    in_force(&daemon, "set-rate").await;
    let status = daemon.status().await;
    assert_eq!((&status["vm"], &status["leader"]), (&"vm-1".into(), &"vm-1".into()));
    assert_eq!(status["revision"], revision(&created) + 1);
    assert_eq!(status["in_force_revision"], status["revision"]);
    assert_eq!(status["intents"][0]["state"], "done");
    let own = &status["vms"][0];
    assert_eq!((&own["vm"], &own["state"]), (&"vm-1".into(), &"serving".into()));
    assert!(!status.to_string().contains(blake3::hash(ALPHA_KEY.as_bytes()).to_hex().as_str()));
}

/// Guards against a withdrawal that takes effect with its plan.
#[tokio::test]
async fn intent_unconfirmed() {
    let (daemon, target) = (Daemon::start().await, Target::start().await);
    let _announced = daemon.announce("target-1", target.address, 3).await;
    let created = daemon.propose("withdraw", None, withdraw_alpha()).await;
    assert_eq!(created.status, StatusCode::OK);
    // Longer than a daemon needs to apply a change.
    let end = Instant::now() + Duration::from_secs(3);
    while Instant::now() < end {
        let reply = daemon.caller().await.send(get("/svc/echo/a", Some(ALPHA_KEY))).await;
        assert_eq!(reply.status, StatusCode::OK);
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    assert_eq!(daemon.status().await["revision"].as_u64(), Some(revision(&created)));
}

/// Guards against intents that are applied twice, or whose outcome changes, when their response
/// was lost and they are sent again, also across a crash.
#[tokio::test]
async fn intent_resent() {
    let mut daemon = Daemon::start().await;
    let created = daemon.propose("first", None, rate(50)).await;
    let based_on = revision(&created);
    let resent = daemon.propose("first", None, rate(50)).await;
    assert_eq!((resent.status, resent.json()), (StatusCode::OK, created.json()));
    daemon.kill();
    daemon.run().await;
    let resent = daemon.propose("first", None, rate(50)).await;
    assert_eq!(resent.json()["record"], created.json()["record"]);
    let intents = daemon.status().await["intents"].as_array().map(Vec::len);
    assert_eq!(intents, Some(1), "a resent intent was recorded twice");
    let confirmed = daemon.confirm("first", based_on).await;
    assert_eq!(confirmed.status, StatusCode::OK, "{}", confirmed.json());
    let first = confirmed.json()["record"].clone();
    assert_eq!(first["state"], "done");
    // A later change must survive the resent confirm of the earlier one.
    let later = daemon.propose("second", None, rate(60)).await;
    assert_eq!(daemon.confirm("second", revision(&later)).await.status, StatusCode::OK);
    let changed = daemon.status().await["revision"].clone();
    let resent = daemon.confirm("first", based_on).await;
    assert_eq!((resent.status, &resent.json()["record"]), (StatusCode::OK, &first));
    daemon.kill();
    daemon.run().await;
    let resent = daemon.confirm("first", based_on).await;
    assert_eq!((resent.status, &resent.json()["record"]), (StatusCode::OK, &first));
    let resent = daemon.propose("first", None, rate(50)).await;
    assert_eq!((resent.status, &resent.json()["record"]), (StatusCode::OK, &first));
    assert_eq!(alpha_rate(&daemon).await, 60, "the resent confirm was applied again");
    assert!(daemon.status().await["revision"].as_u64() >= changed.as_u64(), "a revision was lost");
    let other = daemon.propose("first", None, rate(51)).await;
    other.assert_refused(409, 2004, "intent-mismatch", "not-run");
}

/// Guards against accepted changes that a crash right after the response undoes.
#[tokio::test]
async fn confirm_survives_kill() {
    let mut daemon = Daemon::start().await;
    for number in 1..=3 {
        let name = format!("rate-{number}");
        let created = daemon.propose(&name, None, rate(100 + number)).await;
        let confirmed = daemon.confirm(&name, revision(&created)).await;
        assert_eq!(confirmed.status, StatusCode::OK);
        daemon.kill();
        daemon.run().await;
        assert_eq!(alpha_rate(&daemon).await, 100 + number);
        assert_eq!(daemon.show(&name).await.json()["record"], confirmed.json()["record"]);
    }
}

/// Guards against two operators who both change what they saw at the same revision.
#[tokio::test]
async fn confirm_same_revision() {
    let daemon = Daemon::start().await;
    let mut based_on = 0;
    for (name, value) in [("one", 31), ("two", 32), ("three", 33), ("four", 34)] {
        based_on = revision(&daemon.propose(name, None, rate(value)).await);
    }
    let operators = daemon.operators;
    let confirms = ["one", "two", "three", "four"].map(|name| {
        tokio::spawn(async move {
            let mut caller = Caller::connect(operators).await.unwrap();
            let path = format!("/v1/intents/{name}/confirm");
            let body = json!({"based_on": based_on}).to_string();
            (name, caller.send(request(Method::POST, &path, Some(OPERATORS_TOKEN), body)).await)
        })
    });
    let mut winners = Vec::new();
    for confirm in confirms {
        let (name, reply) = confirm.await.unwrap();
        if reply.status == StatusCode::OK {
            winners.push(name);
        } else {
            reply.assert_refused(409, 2002, "revision-conflict", "not-run");
            let message = reply.json()["message"].as_str().unwrap().to_owned();
            assert!(message.contains(&format!("{}", based_on + 1)), "{message}");
            assert_eq!(daemon.show(name).await.json()["record"]["state"], "planned");
        }
    }
    let [winner] = winners[..] else { panic!("winners: {winners:?}") };
    let expected = ["one", "two", "three", "four"].iter().position(|name| *name == winner);
    assert_eq!(alpha_rate(&daemon).await, 31 + expected.unwrap() as u64);
    assert_eq!(daemon.status().await["revision"], based_on + 1);
    // Also after the race, and for a revision that does not exist yet.
    let loser = ["one", "two"].into_iter().find(|name| *name != winner).unwrap();
    for stale in [based_on, based_on + 100] {
        let reply = daemon.confirm(loser, stale).await;
        reply.assert_refused(409, 2002, "revision-conflict", "not-run");
    }
    assert_eq!(daemon.status().await["revision"], based_on + 1);
}

/// Guards against unknown intents, and plans that cannot work, that are confirmed.
#[tokio::test]
async fn confirm_refused() {
    let daemon = Daemon::start().await;
    let revision = daemon.status().await["revision"].as_u64().unwrap();
    daemon.show("other").await.assert_refused(404, 2003, "intent-unknown", "not-run");
    let reply = daemon.confirm("other", revision).await;
    reply.assert_refused(404, 2003, "intent-unknown", "not-run");
    let unknown = json!({"key_withdraw": {"organisation": "alpha", "key": "other"}});
    let created = daemon.propose("impossible", None, unknown).await.json();
    assert_eq!(created["record"]["state"], "refused");
    assert_eq!(created["record"]["plan"]["refusal"]["code"], 2100);
    let reply = daemon.confirm("impossible", revision).await;
    reply.assert_refused(422, 2005, "intent-refused", "not-run");
    assert_eq!(daemon.status().await["revision"], revision);
}

/// Guards against a withdrawn key that goes on working on a connection that is open already.
#[tokio::test]
async fn key_withdrawn_open_connection() {
    let (daemon, target) = (Daemon::start().await, Target::start().await);
    let _announced = daemon.announce("target-1", target.address, 3).await;
    let mut caller = daemon.caller().await;
    let sent = || get("/svc/echo/a", Some(ALPHA_KEY));
    assert_eq!(caller.send(sent()).await.status, StatusCode::OK);
    let created = daemon.propose("withdraw", None, withdraw_alpha()).await;
    let confirmed = daemon.confirm("withdraw", revision(&created)).await;
    let confirmed_at = Instant::now();
    assert_eq!(confirmed.status, StatusCode::OK);
    // All on the same connection, which fails if the daemon closes it.
    let reply = loop {
        let sent_at = Instant::now();
        let reply = caller.send(sent()).await;
        if reply.status != StatusCode::OK {
            break reply;
        }
        let age = sent_at - confirmed_at;
        assert!(age < Duration::from_secs(8), "the key works {age:?} after the confirm");
        tokio::time::sleep(Duration::from_millis(20)).await;
    };
    reply.assert_refused(401, 1101, "key-refused", "not-run");
    let before = target.seen().len();
    for _ in 0..20 {
        caller.send(sent()).await.assert_refused(401, 1101, "key-refused", "not-run");
    }
    assert_eq!(target.seen().len(), before);
}

/// Guards against a key that is issued and not accepted, or that replaces others.
#[tokio::test]
async fn key_issued() {
    let (daemon, target) = (Daemon::start().await, Target::start().await);
    let _announced = daemon.announce("target-1", target.address, 3).await;
    let key = "alpha-second-key-0123456789";
    let hash = blake3::hash(key.as_bytes()).to_hex();
    let issue = json!({"key_issue": {
        "organisation": "alpha", "key": "alpha-2", "hash": hash.as_str()}});
    let created = daemon.propose("issue", None, issue).await;
    let reply = daemon.caller().await.send(get("/svc/echo/a", Some(key))).await;
    reply.assert_refused(401, 1101, "key-refused", "not-run");
    assert_eq!(daemon.confirm("issue", revision(&created)).await.status, StatusCode::OK);
    in_force(&daemon, "issue").await;
    for key in [key, ALPHA_KEY] {
        let reply = daemon.caller().await.send(get("/svc/echo/a", Some(key))).await;
        assert_eq!(reply.status, StatusCode::OK);
        assert_eq!(target.seen().pop().unwrap().headers["celerygate-organisation"], "alpha");
    }
}

/// Guards against a drained target that still gets new requests, and against a drain that cuts the
/// request in progress.
#[tokio::test]
async fn target_drained() {
    let (daemon, first, second) =
        (Daemon::start().await, Target::start().await, Target::start().await);
    let _first = daemon.announce("target-1", first.address, 3).await;
    let mut holder = daemon.caller().await;
    let holding =
        tokio::spawn(async move { holder.send(get("/svc/echo/hold", Some(ALPHA_KEY))).await });
    eventually("the first target has a request", async || (first.seen().len() == 1).then_some(()))
        .await;
    let _second = daemon.announce("target-2", second.address, 3).await;
    let drain = json!({"drain": {"target": {"service": "echo", "target": "target-1"}}});
    let created = daemon.propose("drain", None, drain).await;
    assert_eq!(created.json()["record"]["state"], "planned", "{}", created.json());
    assert_eq!(daemon.confirm("drain", revision(&created)).await.status, StatusCode::OK);
    in_force(&daemon, "drain").await;
    let status = daemon.status().await;
    let shown = |target: &str| {
        let targets = status["targets"].as_array().expect("targets");
        let known = targets.iter().find(|known| known["target"] == target).expect("the target");
        (known["usable"].as_bool(), known["note"].as_str().map(str::to_owned))
    };
    assert_eq!(shown("target-1"), (Some(false), Some("drained".to_owned())));
    assert_eq!(shown("target-2"), (Some(true), Some(String::new())));
    let before = first.seen().len();
    let requests = (0..30).map(|_| {
        let callers = daemon.callers;
        tokio::spawn(async move {
            let mut caller = Caller::connect(callers).await.unwrap();
            caller.send(get("/svc/echo/sleep/5", Some(ALPHA_KEY))).await.status
        })
    });
    for request in requests.collect::<Vec<_>>() {
        assert_eq!(request.await.unwrap(), StatusCode::OK);
    }
    assert_eq!((first.seen().len(), second.seen().len()), (before, 30));
    first.release();
    let held = holding.await.unwrap();
    assert_eq!((held.status, &held.body[..]), (StatusCode::OK, &b"/hold"[..]));
}
