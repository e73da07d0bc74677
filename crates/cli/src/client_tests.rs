//! Tests of the client: a request that reaches the wrong daemon or is repeated with other content.

use celerygate_types::ResultCode;

use super::*;
use crate::stand_in::{Reply, StandIn, answer, closed_address, refusal};

fn client(daemons: &[&str]) -> Client {
    Client {
        daemons: daemons.iter().map(|&daemon| daemon.to_owned()).collect(),
        token: "0123456789abcdef".to_owned(),
        // Long enough for an answer on a busy machine; only one try per request runs into it.
        timeout: Duration::from_secs(2),
    }
}

fn done() -> Reply {
    Reply::Json(200, answer("done", 2, true))
}

async fn confirm(daemons: &[&str]) -> Result<IntentAnswer, Failure> {
    client(daemons).confirm(&"i-1".parse().unwrap(), Revision(7)).await
}

/// Guards against a repeated change that differs from the first one and is applied twice.
#[tokio::test]
async fn send_repeats_same_request() {
    let silent = StandIn::start([Reply::Silence]).await;
    let closing = StandIn::start([Reply::Close]).await;
    let answering = StandIn::start([done()]).await;
    let nobody = closed_address().await;
    let daemons = [&nobody, &silent.address, &closing.address, &answering.address];
    assert!(confirm(&daemons.map(String::as_str)).await.is_ok());
    let seen = answering.seen();
    assert_eq!(seen[0].line, "POST /v1/intents/i-1/confirm");
    assert_eq!(seen[0].authorization, "Bearer 0123456789abcdef");
    assert_eq!(seen[0].body, r#"{"based_on":7}"#);
    assert_eq!(silent.seen(), seen);
    assert_eq!(closing.seen(), seen);
}

/// Guards against following leaders in a circle.
#[tokio::test]
async fn send_follows_leader_once() {
    let leader = StandIn::start([done()]).await;
    let other = StandIn::start([refusal(ResultCode::NotLeader, Some(&leader.address))]).await;
    assert!(confirm(&[&other.address]).await.is_ok());
    assert_eq!((other.seen().len(), leader.seen().len()), (1, 1));

    let circle = StandIn::start([refusal(ResultCode::NotLeader, Some(&other.address))]).await;
    let lost = StandIn::start([refusal(ResultCode::NotLeader, Some(&circle.address))]).await;
    let failure = confirm(&[&lost.address]).await.unwrap_err();
    assert_eq!(&*failure.name, "not-leader");
    assert_eq!((lost.seen().len(), circle.seen().len(), other.seen().len()), (1, 1, 1));
}

/// Guards against an operator who takes an applied confirm for a failed one.
#[tokio::test]
async fn confirm_unanswered() {
    let garbled = Reply::Json(200, serde_json::json!({"revision": "next"}));
    for reply in [Reply::Silence, Reply::Close, garbled] {
        let daemon = StandIn::start([reply]).await;
        let failure = confirm(&[&daemon.address]).await.unwrap_err();
        assert_eq!((&*failure.name, failure.outcome), ("outcome-unknown", Outcome::Unknown));
        assert!(failure.advice.contains("Repeat the same command, confirm i-1 --based-on 7"));
        assert_eq!(failure.intent, "i-1".parse().ok());
    }
    let failure = confirm(&[&closed_address().await]).await.unwrap_err();
    assert_eq!((&*failure.name, failure.outcome), ("no-daemon", Outcome::Unknown));
    assert!(failure.advice.contains("Repeat the same command"));
}
