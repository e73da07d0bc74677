//! Configuration changes through the operators' API: intents, plans and confirms.

mod support;

use std::time::{Duration, Instant};

use hyper::{Method, StatusCode};
use serde_json::{Value, json};
use support::caller::{Caller, Reply, get, request};
use support::daemon::{ALPHA_KEY, Daemon, OPERATORS_TOKEN};
use support::eventually;
use support::target::Target;

fn rate_intent(rate: u64) -> Value {
    json!({"rate": {
        "organisation": "alpha", "rate_requests_per_s": rate, "burst_requests": 100}})
}

fn withdraw_key_intent() -> Value {
    json!({"key_withdraw": {"organisation": "alpha", "key": "alpha-1"}})
}

/// Returns the rate of the organisation `alpha` from the status document.
async fn alpha_rate(daemon: &Daemon) -> u64 {
    let status = daemon.status().await;
    let organisations = status["organisations"].as_array().expect("organisations");
    let alpha = organisations.iter().find(|entry| entry["organisation"] == "alpha");
    alpha.expect("alpha")["rate_requests_per_s"].as_u64().expect("a rate")
}

fn revision(reply: &Reply) -> u64 {
    reply.json()["revision"].as_u64().expect("a revision")
}

/// Waits until an intent is in force on all VMs.
async fn wait_in_force(daemon: &Daemon, intent: &str) {
    eventually("the intent is in force", async || {
        (daemon.get_intent(intent).await.json()["in_force"] == true).then_some(())
    })
    .await;
}

/// Guards against changes that take effect before the confirm, and against confirms without effect.
#[tokio::test]
async fn intent_create_show_confirm() {
    let daemon = Daemon::start().await;
    let created = daemon.create_intent("set-rate", None, rate_intent(77)).await;
    assert_eq!(created.status, StatusCode::OK);
    let record = created.json()["record"].clone();
    assert_eq!((&record["state"], &record["next_step"]), (&"planned".into(), &0.into()));
    assert_eq!(record["plan"]["steps"].as_array().map(Vec::len), Some(1));
    assert_eq!(record["plan"]["refusal"], Value::Null);
    assert_eq!(record["confirmed_revision"], Value::Null);
    assert_eq!(daemon.get_intent("set-rate").await.json()["record"], record);
    let before = daemon.status().await;
    assert_eq!(before["revision"].as_u64(), Some(revision(&created)));
    assert_eq!(before["intents"], json!([record]));
    assert_eq!(alpha_rate(&daemon).await, 10_000, "the rate changed before the confirm");
    let confirmed = daemon.confirm_intent("set-rate", revision(&created)).await;
    assert_eq!(confirmed.status, StatusCode::OK);
    let confirmed = confirmed.json();
    assert_eq!(confirmed["record"]["state"], "done");
    assert_eq!(confirmed["record"]["confirmed_revision"], revision(&created) + 1);
    assert_eq!(alpha_rate(&daemon).await, 77);
    wait_in_force(&daemon, "set-rate").await;
    let status = daemon.status().await;
    assert_eq!((&status["vm"], &status["leader"]), (&"vm-1".into(), &"vm-1".into()));
    assert_eq!(status["revision"], revision(&created) + 1);
    assert_eq!(status["in_force_revision"], status["revision"]);
    assert_eq!(status["intents"][0]["state"], "done");
    let own = &status["vms"][0];
    assert_eq!((&own["vm"], &own["state"]), (&"vm-1".into(), &"serving".into()));
    assert!(!status.to_string().contains(blake3::hash(ALPHA_KEY.as_bytes()).to_hex().as_str()));
}

/// Guards against a key withdrawal that takes effect when it is planned, before the confirm.
#[tokio::test]
async fn intent_unconfirmed() {
    let (daemon, target) = (Daemon::start().await, Target::start().await);
    let _announcement = daemon.announce("target-1", target.address, 3).await;
    let created = daemon.create_intent("withdraw", None, withdraw_key_intent()).await;
    assert_eq!(created.status, StatusCode::OK);
    // 3 s is longer than a daemon needs to apply a change.
    let end = Instant::now() + Duration::from_secs(3);
    while Instant::now() < end {
        let reply = daemon.caller().await.send(get("/svc/echo/a", Some(ALPHA_KEY))).await;
        assert_eq!(reply.status, StatusCode::OK);
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    assert_eq!(daemon.status().await["revision"].as_u64(), Some(revision(&created)));
}

/// Guards against intents that are applied twice, or whose outcome changes, when an operator
/// resends them after a lost response, also after a crash.
#[tokio::test]
async fn intent_resent() {
    let mut daemon = Daemon::start().await;
    let created = daemon.create_intent("first", None, rate_intent(50)).await;
    let based_on = revision(&created);
    let resent = daemon.create_intent("first", None, rate_intent(50)).await;
    assert_eq!((resent.status, resent.json()), (StatusCode::OK, created.json()));
    daemon.kill();
    daemon.start_process().await;
    let resent = daemon.create_intent("first", None, rate_intent(50)).await;
    assert_eq!(resent.json()["record"], created.json()["record"]);
    let intents = daemon.status().await["intents"].as_array().map(Vec::len);
    assert_eq!(intents, Some(1), "a resent intent was recorded twice");
    let confirmed = daemon.confirm_intent("first", based_on).await;
    assert_eq!(confirmed.status, StatusCode::OK, "{}", confirmed.json());
    let first = confirmed.json()["record"].clone();
    assert_eq!(first["state"], "done");
    // The resent confirm of the first intent must not undo the second one.
    let later = daemon.create_intent("second", None, rate_intent(60)).await;
    assert_eq!(daemon.confirm_intent("second", revision(&later)).await.status, StatusCode::OK);
    let changed = daemon.status().await["revision"].clone();
    let resent = daemon.confirm_intent("first", based_on).await;
    assert_eq!((resent.status, &resent.json()["record"]), (StatusCode::OK, &first));
    daemon.kill();
    daemon.start_process().await;
    let resent = daemon.confirm_intent("first", based_on).await;
    assert_eq!((resent.status, &resent.json()["record"]), (StatusCode::OK, &first));
    let resent = daemon.create_intent("first", None, rate_intent(50)).await;
    assert_eq!((resent.status, &resent.json()["record"]), (StatusCode::OK, &first));
    assert_eq!(alpha_rate(&daemon).await, 60, "the resent confirm was applied again");
    assert!(daemon.status().await["revision"].as_u64() >= changed.as_u64(), "a revision was lost");
    let other = daemon.create_intent("first", None, rate_intent(51)).await;
    other.assert_error(409, 2004, "intent-mismatch", "not-run");
}

/// Guards against confirmed changes that are lost in a crash right after the response.
#[tokio::test]
async fn confirm_survives_kill() {
    let mut daemon = Daemon::start().await;
    for number in 1..=3 {
        let name = format!("rate-{number}");
        let created = daemon.create_intent(&name, None, rate_intent(100 + number)).await;
        let confirmed = daemon.confirm_intent(&name, revision(&created)).await;
        assert_eq!(confirmed.status, StatusCode::OK);
        daemon.kill();
        daemon.start_process().await;
        assert_eq!(alpha_rate(&daemon).await, 100 + number);
        assert_eq!(daemon.get_intent(&name).await.json()["record"], confirmed.json()["record"]);
    }
}

/// Guards against lost updates: of several confirms based on the same revision only one may
/// succeed.
#[tokio::test]
async fn confirm_same_revision() {
    let daemon = Daemon::start().await;
    let mut based_on = 0;
    for (name, value) in [("one", 31), ("two", 32), ("three", 33), ("four", 34)] {
        based_on = revision(&daemon.create_intent(name, None, rate_intent(value)).await);
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
            reply.assert_error(409, 2002, "revision-conflict", "not-run");
            let message = reply.json()["message"].as_str().unwrap().to_owned();
            assert!(message.contains(&format!("{}", based_on + 1)), "{message}");
            assert_eq!(daemon.get_intent(name).await.json()["record"]["state"], "planned");
        }
    }
    let [winner] = winners[..] else { panic!("winners: {winners:?}") };
    let expected = ["one", "two", "three", "four"].iter().position(|name| *name == winner);
    assert_eq!(alpha_rate(&daemon).await, 31 + expected.unwrap() as u64);
    assert_eq!(daemon.status().await["revision"], based_on + 1);
    // Confirms with a stale revision, or one that does not exist yet, are refused after the race,
    // too.
    let loser = ["one", "two"].into_iter().find(|name| *name != winner).unwrap();
    for stale in [based_on, based_on + 100] {
        let reply = daemon.confirm_intent(loser, stale).await;
        reply.assert_error(409, 2002, "revision-conflict", "not-run");
    }
    assert_eq!(daemon.status().await["revision"], based_on + 1);
}

/// Guards against confirms of unknown intents, or of intents whose plan was refused.
#[tokio::test]
async fn confirm_refused() {
    let daemon = Daemon::start().await;
    let revision = daemon.status().await["revision"].as_u64().unwrap();
    daemon.get_intent("other").await.assert_error(404, 2003, "intent-unknown", "not-run");
    let reply = daemon.confirm_intent("other", revision).await;
    reply.assert_error(404, 2003, "intent-unknown", "not-run");
    let unknown = json!({"key_withdraw": {"organisation": "alpha", "key": "other"}});
    let created = daemon.create_intent("impossible", None, unknown).await.json();
    assert_eq!(created["record"]["state"], "refused");
    assert_eq!(created["record"]["plan"]["refusal"]["code"], 2100);
    let reply = daemon.confirm_intent("impossible", revision).await;
    reply.assert_error(422, 2005, "intent-refused", "not-run");
    assert_eq!(daemon.status().await["revision"], revision);
}

/// Guards against a withdrawn key that is still accepted on an existing connection.
#[tokio::test]
async fn key_withdrawn_open_connection() {
    let (daemon, target) = (Daemon::start().await, Target::start().await);
    let _announcement = daemon.announce("target-1", target.address, 3).await;
    let mut caller = daemon.caller().await;
    let new_request = || get("/svc/echo/a", Some(ALPHA_KEY));
    assert_eq!(caller.send(new_request()).await.status, StatusCode::OK);
    let created = daemon.create_intent("withdraw", None, withdraw_key_intent()).await;
    let confirmed = daemon.confirm_intent("withdraw", revision(&created)).await;
    let confirmed_at = Instant::now();
    assert_eq!(confirmed.status, StatusCode::OK);
    // All requests use the same connection, and `send` panics if the daemon closes it.
    let reply = loop {
        let sent_at = Instant::now();
        let reply = caller.send(new_request()).await;
        if reply.status != StatusCode::OK {
            break reply;
        }
        let age = sent_at - confirmed_at;
        assert!(
            age < Duration::from_secs(8),
            "the key is still accepted {age:?} after the confirm"
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    };
    reply.assert_error(401, 1101, "key-refused", "not-run");
    let before = target.requests().len();
    for _ in 0..20 {
        caller.send(new_request()).await.assert_error(401, 1101, "key-refused", "not-run");
    }
    assert_eq!(target.requests().len(), before);
}

/// Guards against an issued key that is not accepted, or that replaces the existing keys.
#[tokio::test]
async fn key_issued() {
    let (daemon, target) = (Daemon::start().await, Target::start().await);
    let _announcement = daemon.announce("target-1", target.address, 3).await;
    let key = "alpha-second-key-0123456789";
    let hash = blake3::hash(key.as_bytes()).to_hex();
    let issue = json!({"key_issue": {
        "organisation": "alpha", "key": "alpha-2", "hash": hash.as_str()}});
    let created = daemon.create_intent("issue", None, issue).await;
    let reply = daemon.caller().await.send(get("/svc/echo/a", Some(key))).await;
    reply.assert_error(401, 1101, "key-refused", "not-run");
    assert_eq!(daemon.confirm_intent("issue", revision(&created)).await.status, StatusCode::OK);
    wait_in_force(&daemon, "issue").await;
    for key in [key, ALPHA_KEY] {
        let reply = daemon.caller().await.send(get("/svc/echo/a", Some(key))).await;
        assert_eq!(reply.status, StatusCode::OK);
        assert_eq!(target.requests().pop().unwrap().headers["celerygate-organisation"], "alpha");
    }
}

/// Guards against a drained target that still receives new requests, and against a drain that
/// aborts the request in progress.
#[tokio::test]
async fn target_drained() {
    let (daemon, first, second) =
        (Daemon::start().await, Target::start().await, Target::start().await);
    let _first = daemon.announce("target-1", first.address, 3).await;
    let mut first_caller = daemon.caller().await;
    let first_request =
        tokio::spawn(
            async move { first_caller.send(get("/svc/echo/hold", Some(ALPHA_KEY))).await },
        );
    eventually("target-1 has a request", async || (first.requests().len() == 1).then_some(()))
        .await;
    let _second = daemon.announce("target-2", second.address, 3).await;
    let drain = json!({"drain": {"target": {"service": "echo", "target": "target-1"}}});
    let created = daemon.create_intent("drain", None, drain).await;
    assert_eq!(created.json()["record"]["state"], "planned", "{}", created.json());
    assert_eq!(daemon.confirm_intent("drain", revision(&created)).await.status, StatusCode::OK);
    wait_in_force(&daemon, "drain").await;
    let status = daemon.status().await;
    let shown = |target: &str| {
        let targets = status["targets"].as_array().expect("targets");
        let entry = targets.iter().find(|entry| entry["target"] == target).expect("the target");
        (entry["usable"].as_bool(), entry["note"].as_str().map(str::to_owned))
    };
    assert_eq!(shown("target-1"), (Some(false), Some("drained".to_owned())));
    assert_eq!(shown("target-2"), (Some(true), Some(String::new())));
    let before = first.requests().len();
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
    assert_eq!((first.requests().len(), second.requests().len()), (before, 30));
    first.release();
    let held = first_request.await.unwrap();
    assert_eq!((held.status, &held.body[..]), (StatusCode::OK, &b"/hold"[..]));
}
