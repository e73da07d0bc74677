//! Tests of the command line as a whole.

use std::sync::atomic::{AtomicU32, Ordering};

use celerygate_types::ResultCode;
use expect_test::expect;

use super::*;
use crate::stand_in::{Reply, StandIn, answer, collect, refusal};

/// Runs a command line with the address of a daemon and a token file.
async fn run_with(daemon: &str, line: &str) -> (u8, String) {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let name = format!("celerygate-token-{}-{number}", std::process::id());
    let token = std::env::temp_dir().join(name);
    fs::write(&token, "0123456789abcdef\n").unwrap();
    let options = ["--daemon", daemon, "--token-file"];
    let options = options.iter().map(OsString::from).chain([OsString::from(&token)]);
    let args = line.split(' ').map(OsString::from).chain(options).collect::<Vec<_>>();
    let (printer, text) = collect();
    let code = run_to_code(&args, printer).await;
    fs::remove_file(token).unwrap();
    (code, text.take())
}

async fn run_bare(line: &str) -> (u8, String) {
    let (printer, text) = collect();
    let args: Vec<_> = line.split(' ').map(OsString::from).collect();
    (run_to_code(&args, printer).await, text.take())
}

/// Guards against conflicting names and settings of options, which clap finds only at run time.
#[test]
fn build_consistent() {
    build().debug_assert();
}

/// Guards against usage errors with clap's exit code 2, which stands for operators' codes here.
#[tokio::test]
async fn run_usage() {
    let (code, text) = run_bare("celerygate status --colour").await;
    assert_eq!(code, 3);
    expect![[r#"
        ! error 3002 usage: unexpected argument '--colour' found

        Usage: celerygate status [OPTIONS]

        For more information, try '--help'.
        outcome: not-run
        advice: See --help.
    "#]]
    .assert_eq(&text);
    let (code, text) = run_bare("celerygate --output=json confirm").await;
    assert_eq!(code, 3);
    let value: serde_json::Value = text.trim_start_matches("! ").parse().unwrap();
    assert_eq!((&value["code"], &value["name"]), (&3002.into(), &"usage".into()));
    let (code, text) = run_bare("celerygate --help").await;
    assert_eq!(code, 0);
    assert!(text.contains("completions"));
}

/// Guards against global options that are lost on the way to a nested subcommand.
#[tokio::test]
async fn run_intent_request() {
    let daemon = StandIn::start([Reply::Json(200, answer("planned", 0, false))]).await;
    let line = "celerygate intent move --service listkeeper --from east --to west --share 12.5%";
    let (code, text) = run_with(&daemon.address, &format!("{line} --id i-1 --based-on 7")).await;
    assert_eq!(code, 0, "{text}");
    assert!(text.starts_with("intent: i-1\n"));
    expect![[r#"
        [
            Seen {
                line: "POST /v1/intents",
                authorization: "Bearer 0123456789abcdef",
                body: "{\"based_on\":7,\"intent\":\"i-1\",\"kind\":{\"move\":{\"from\":\"east\",\"service\":\"listkeeper\",\"share_ppm\":125000,\"to\":\"west\"}}}",
            },
        ]"#]].assert_eq(&format!("{:#?}", daemon.seen()));
    let (_, text) = run_with(&daemon.address, line).await;
    let fresh = text.lines().next().unwrap().strip_prefix("intent: ").unwrap();
    assert!(daemon.seen()[1].body.contains(&format!("\"intent\":\"{fresh}\"")));
    assert!(daemon.seen()[1].body.contains("\"based_on\":null"));
}

/// Guards against success for an intent that is never going to be carried out.
#[tokio::test]
async fn run_intent_refused() {
    let mut refused = answer("refused", 0, false);
    refused["record"]["plan"]["refusal"] = serde_json::json!({"code": 2101, "reason": "too much"});
    let daemon = StandIn::start([Reply::Json(200, refused)]).await;
    let (code, text) = run_with(&daemon.address, "celerygate intent drain region east").await;
    assert_eq!(code, 2);
    assert!(text.contains("! error 2101 link-cap: too much"), "{text}");
}

/// Guards against a confirm at a newer revision than the one whose plan the operator has seen, and
/// against a wait that gives up while daemons change their leader.
#[tokio::test]
async fn run_confirm_wait() {
    let ok = |state, step, in_force| Reply::Json(200, answer(state, step, in_force));
    let no_leader = refusal(ResultCode::NoLeader, None);
    let replies =
        [ok("planned", 0, false), ok("running", 0, false), no_leader, ok("done", 2, true)];
    let daemon = StandIn::start(replies).await;
    let (code, text) = run_with(&daemon.address, "celerygate confirm i-1 --wait").await;
    assert_eq!(code, 0, "{text}");
    assert!(text.contains("state: done"), "{text}");
    let lines: Vec<_> = daemon.seen().into_iter().map(|seen| seen.line + &seen.body).collect();
    let (look, confirm) = ("GET /v1/intents/i-1", r#"POST /v1/intents/i-1/confirm{"based_on":7}"#);
    assert_eq!(lines, [look, confirm, look, look]);
}

/// Guards against exit codes that do not follow the result code of the daemon.
#[tokio::test]
async fn run_exit_codes() {
    for (code, expected) in [
        (ResultCode::CredentialRefused, 1),
        (ResultCode::RevisionConflict, 2),
        (ResultCode::OutcomeUnknown, 2),
        (ResultCode::Internal, 3),
    ] {
        let daemon = StandIn::start([refusal(code, None)]).await;
        let line = "celerygate confirm i-1 --based-on 7";
        let (found, text) = run_with(&daemon.address, line).await;
        assert_eq!(found, expected, "{text}");
        assert!(text.starts_with(&format!("! error {} {code}: ", code.number())), "{text}");
    }
}

/// Guards against completion scripts that are empty or for another program.
#[tokio::test]
async fn run_completions() {
    let (code, text) = run_bare("celerygate completions bash").await;
    assert_eq!(code, 0);
    assert!(text.contains("_celerygate()"));
}
