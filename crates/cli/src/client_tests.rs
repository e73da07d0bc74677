//! Guards against requests that reach the wrong daemon or are repeated with other content.

use celerygate_types::ResultCode;

use super::*;
use crate::mock_daemon::{MockDaemon, Reply, error_reply, intent_answer, unused_address};

fn client(daemons: &[&str]) -> Client {
    Client {
        daemons: daemons.iter().map(|&daemon| daemon.to_owned()).collect(),
        token: "0123456789abcdef".to_owned(),
        // Long enough for a response on a busy machine; at most one attempt per request times out.
        timeout: Duration::from_secs(2),
    }
}

fn done_reply() -> Reply {
    Reply::Json(200, intent_answer("done", 2, true))
}

async fn confirm(daemons: &[&str]) -> Result<IntentAnswer, Failure> {
    client(daemons).confirm(&"i-1".parse().unwrap(), Revision(7)).await
}

/// Guards against a retried change that differs from the first attempt and is applied twice.
#[tokio::test]
async fn send_repeats_same_request() {
    let hanging = MockDaemon::start([Reply::NoResponse]).await;
    let closing = MockDaemon::start([Reply::Close]).await;
    let answering = MockDaemon::start([done_reply()]).await;
    let unreachable = unused_address().await;
    let daemons = [&unreachable, &hanging.address, &closing.address, &answering.address];
    assert!(confirm(&daemons.map(String::as_str)).await.is_ok());
    let received = answering.received();
    assert_eq!(received[0].request_line, "POST /v1/intents/i-1/confirm");
    assert_eq!(received[0].authorization, "Bearer 0123456789abcdef");
    assert_eq!(received[0].body, r#"{"based_on":7}"#);
    assert_eq!(hanging.received(), received);
    assert_eq!(closing.received(), received);
}

/// Guards against daemons that redirect the client to each other without end.
#[tokio::test]
async fn send_follows_leader_once() {
    let leader = MockDaemon::start([done_reply()]).await;
    let other =
        MockDaemon::start([error_reply(ResultCode::NotLeader, Some(&leader.address))]).await;
    assert!(confirm(&[&other.address]).await.is_ok());
    assert_eq!((other.received().len(), leader.received().len()), (1, 1));

    let second =
        MockDaemon::start([error_reply(ResultCode::NotLeader, Some(&other.address))]).await;
    let first =
        MockDaemon::start([error_reply(ResultCode::NotLeader, Some(&second.address))]).await;
    let failure = confirm(&[&first.address]).await.unwrap_err();
    assert_eq!(&*failure.name, "not-leader");
    assert_eq!(
        (first.received().len(), second.received().len(), other.received().len()),
        (1, 1, 1)
    );
}

/// Guards against a confirm that is reported as failed although it may have been applied.
#[tokio::test]
async fn confirm_without_response() {
    let garbled = Reply::Json(200, serde_json::json!({"revision": "next"}));
    for reply in [Reply::NoResponse, Reply::Close, garbled] {
        let daemon = MockDaemon::start([reply]).await;
        let failure = confirm(&[&daemon.address]).await.unwrap_err();
        assert_eq!((&*failure.name, failure.outcome), ("outcome-unknown", Outcome::Unknown));
        assert!(failure.advice.contains("Repeat the same command, confirm i-1 --based-on 7"));
        assert_eq!(failure.intent, "i-1".parse().ok());
    }
    let failure = confirm(&[&unused_address().await]).await.unwrap_err();
    assert_eq!((&*failure.name, failure.outcome), ("no-daemon", Outcome::Unknown));
    assert!(failure.advice.contains("Repeat the same command"));
}
