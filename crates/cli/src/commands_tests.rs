//! Tests of the whole command line against a mock daemon.

use std::sync::atomic::{AtomicU32, Ordering};

use celerygate_types::ResultCode;
use expect_test::expect;

use super::*;
use crate::mock_daemon::{MockDaemon, Reply, capture_output, error_reply, intent_answer};

/// Runs a command line with the address of a daemon and a token file. Returns the exit code and the
/// output.
async fn run_with(daemon: &str, line: &str) -> (u8, String) {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let name = format!("celerygate-token-{}-{number}", std::process::id());
    let token = std::env::temp_dir().join(name);
    fs::write(&token, "0123456789abcdef\n").unwrap();
    let options = ["--daemon", daemon, "--token-file"];
    let options = options.iter().map(OsString::from).chain([OsString::from(&token)]);
    let args = line.split(' ').map(OsString::from).chain(options).collect::<Vec<_>>();
    let (printer, text) = capture_output();
    let code = run_to_code(&args, printer).await;
    fs::remove_file(token).unwrap();
    (code, text.take())
}

async fn run_without_options(line: &str) -> (u8, String) {
    let (printer, text) = capture_output();
    let args: Vec<_> = line.split(' ').map(OsString::from).collect();
    (run_to_code(&args, printer).await, text.take())
}

/// Guards against options with conflicting names or settings, which clap reports only at run time.
#[test]
fn build_consistent() {
    build().debug_assert();
}

/// Guards against usage errors that end with clap's exit code 2, which here means a result code
/// from 2000 to 2999.
#[tokio::test]
async fn run_usage() {
    let (code, text) = run_without_options("celerygate status --colour").await;
    assert_eq!(code, 3);
    expect![[r#"
        ! error 3002 usage: unexpected argument '--colour' found

        Usage: celerygate status [OPTIONS]

        For more information, try '--help'.
        outcome: not-run
        advice: See --help.
    "#]]
    .assert_eq(&text);
    let (code, text) = run_without_options("celerygate --output=json confirm").await;
    assert_eq!(code, 3);
    let value: serde_json::Value = text.trim_start_matches("! ").parse().unwrap();
    assert_eq!((&value["code"], &value["name"]), (&3002.into(), &"usage".into()));
    let (code, text) = run_without_options("celerygate --help").await;
    assert_eq!(code, 0);
    assert!(text.contains("completions"));
}

/// Guards against global options that are not passed on to nested subcommands.
#[tokio::test]
async fn run_intent_request() {
    let daemon = MockDaemon::start([Reply::Json(200, intent_answer("planned", 0, false))]).await;
    let line = "celerygate intent move --service listkeeper --from east --to west --share 12.5%";
    let (code, text) = run_with(&daemon.address, &format!("{line} --id i-1 --based-on 7")).await;
    assert_eq!(code, 0, "{text}");
    assert!(text.starts_with("intent: i-1\n"));
    expect![[r#"
        [
            ReceivedRequest {
                request_line: "POST /v1/intents",
                authorization: "Bearer 0123456789abcdef",
                body: "{\"based_on\":7,\"intent\":\"i-1\",\"kind\":{\"move\":{\"from\":\"east\",\"service\":\"listkeeper\",\"share_ppm\":125000,\"to\":\"west\"}}}",
            },
        ]"#]].assert_eq(&format!("{:#?}", daemon.received()));
    let (_, text) = run_with(&daemon.address, line).await;
    let random_id = text.lines().next().unwrap().strip_prefix("intent: ").unwrap();
    assert!(daemon.received()[1].body.contains(&format!("\"intent\":\"{random_id}\"")));
    assert!(daemon.received()[1].body.contains("\"based_on\":null"));
}

/// Guards against a successful exit code for an intent that was refused.
#[tokio::test]
async fn run_intent_refused() {
    let mut refused = intent_answer("refused", 0, false);
    refused["record"]["plan"]["refusal"] = serde_json::json!({"code": 2101, "reason": "too much"});
    let daemon = MockDaemon::start([Reply::Json(200, refused)]).await;
    let (code, text) = run_with(&daemon.address, "celerygate intent drain region east").await;
    assert_eq!(code, 2);
    assert!(text.contains("! error 2101 link-cap: too much"), "{text}");
}

/// Guards against a confirm at a newer revision than the one at which the plan was made, and
/// against a wait that gives up during the election of a leader.
#[tokio::test]
async fn run_confirm_wait() {
    let ok_reply = |state, step, in_force| Reply::Json(200, intent_answer(state, step, in_force));
    let no_leader = error_reply(ResultCode::NoLeader, None);
    let replies = [
        ok_reply("planned", 0, false),
        ok_reply("running", 0, false),
        no_leader,
        ok_reply("done", 2, true),
    ];
    let daemon = MockDaemon::start(replies).await;
    let (code, text) = run_with(&daemon.address, "celerygate confirm i-1 --wait").await;
    assert_eq!(code, 0, "{text}");
    assert!(text.contains("state: done"), "{text}");
    let lines: Vec<_> =
        daemon.received().into_iter().map(|request| request.request_line + &request.body).collect();
    let (get, confirm) = ("GET /v1/intents/i-1", r#"POST /v1/intents/i-1/confirm{"based_on":7}"#);
    assert_eq!(lines, [get, confirm, get, get]);
}

/// Guards against exit codes that do not match the daemon's result code.
#[tokio::test]
async fn run_exit_codes() {
    for (code, expected) in [
        (ResultCode::CredentialRefused, 1),
        (ResultCode::RevisionConflict, 2),
        (ResultCode::OutcomeUnknown, 2),
        (ResultCode::Internal, 3),
    ] {
        let daemon = MockDaemon::start([error_reply(code, None)]).await;
        let line = "celerygate confirm i-1 --based-on 7";
        let (found, text) = run_with(&daemon.address, line).await;
        assert_eq!(found, expected, "{text}");
        assert!(text.starts_with(&format!("! error {} {code}: ", code.number())), "{text}");
    }
}

/// Guards against completion scripts that are empty or made for another program.
#[tokio::test]
async fn run_completions() {
    let (code, text) = run_without_options("celerygate completions bash").await;
    assert_eq!(code, 0);
    assert!(text.contains("_celerygate()"));
}
