//! Guards against incomplete plans and statuses, and against control characters that reach the
//! terminal.

use celerygate_types::ResultCode;
use expect_test::expect;
use serde_json::{Value, from_value, json};

use super::*;
use crate::mock_daemon::{capture_output, intent_answer};

fn printed(format: Format, show: impl FnOnce(&Output)) -> String {
    let (printer, text) = capture_output();
    show(&Output { format, printer });
    text.take()
}

fn status_answer() -> StatusAnswer {
    let record = intent_answer("held", 1, true)["record"].clone();
    from_value(json!({
        "vm": "east-1", "term": 3, "leader": "west-1", "revision": 8, "fresh": true,
        "in_force_revision": null,
        "vms": [
            {"vm": "east-1", "region": "east", "state": "serving", "revision": 8, "heard_ms": 0,
             "leader": false},
            {"vm": "west-1", "region": "west", "state": null, "revision": null, "heard_ms": null,
             "leader": true},
        ],
        "regions": [{"region": "east", "load_slots": 4, "capacity_slots": 9}],
        "links": [{"from": "east", "to": "west", "use_bytes_per_s": 500, "cap_bytes_per_s": 900}],
        "organisations": [{"organisation": "birchwood", "rate_requests_per_s": 600,
            "burst_requests": 1200, "keys": ["k-1", "k-2"]}],
        "targets": [{"service": "listkeeper", "target": "t-1", "region": "east", "slots": 3,
            "running_slots": 1, "usable": false, "note": "ejected\u{1b}[2J"}],
        "intents": [record],
    }))
    .unwrap()
}

/// Guards against a plan without the figures on which the operator decides.
#[test]
fn print_intent_text() {
    let answer = from_value(intent_answer("running", 1, false)).unwrap();
    expect![[r#"
        i-1: move 12.5% of listkeeper from east to west
        state: running
        based on revision 7, confirmed at -, current 8, last change in force: no
        risk: cold caches
         step  state    what       links B/s                 regions slots
         1     applied  move 10%   east to west: 500 of 900  east: 4 of 9
                                                             west: 7 of 9
         2              move 2.5%  east to west: 500 of 900  east: 4 of 9
                                                             west: 7 of 9
    "#]]
    .assert_eq(&printed(Format::Text, |output| output.print_intent(&answer)));
}

/// Guards against a status that omits a part of the system, and against control characters from
/// targets that reach the terminal.
#[test]
fn print_status_text() {
    let text = printed(Format::Text, |output| output.print_status(&status_answer()));
    expect![[r#"
        answered by east-1: term 3, leader west-1, revision 8, in force -, fresh: yes

         vm      region  state    revision  heard     role
         east-1  east    serving  8         0 ms ago
         west-1  west    -        -         -         leader

         region  load slots  capacity slots
         east    4           9

         link          use B/s  cap B/s
         east to west  500      900

         organisation  rate requests/s  burst requests  keys
         birchwood     600              1200            k-1 k-2

         service     target  region  slots   usable  note
         listkeeper  t-1     east    1 of 3  no      ejected�[2J

         intent  what                                        state  steps
         i-1     move 12.5% of listkeeper from east to west  held   1 of 2
    "#]]
    .assert_eq(&text);
}

/// Guards against JSON output that differs from the answer of the API.
#[test]
fn print_status_json() {
    let text = printed(Format::Json, |output| output.print_status(&status_answer()));
    assert_eq!(from_value::<StatusAnswer>(text.parse().unwrap()).unwrap(), status_answer());
}

/// Guards against an error without the code, outcome or advice.
#[test]
fn print_failure_text() {
    let failure = Failure::new(ResultCode::OutcomeUnknown, "127.0.0.1:7202: no answer")
        .with_advice("Repeat the same command.")
        .with_intent(&"i-1".parse().unwrap());
    expect![[r#"
        ! error 2006 outcome-unknown: 127.0.0.1:7202: no answer
        outcome: unknown
        advice: Send the same request again; it is applied at most once. Repeat the same command.
        intent: i-1
    "#]]
    .assert_eq(&printed(Format::Text, |output| output.print_failure(&failure)));
    expect![[r#"
        ! {
          "code": 2006,
          "name": "outcome-unknown",
          "outcome": "unknown",
          "message": "127.0.0.1:7202: no answer",
          "advice": "Send the same request again; it is applied at most once. Repeat the same command.",
          "request": null,
          "intent": "i-1"
        }
    "#]].assert_eq(&printed(Format::Json, |output| output.print_failure(&failure)));
}

/// Guards against a key that is missing in JSON output or printed twice in text output.
#[test]
fn print_proposal_key() {
    let answer: IntentAnswer = from_value(intent_answer("planned", 0, false)).unwrap();
    let show = |output: &Output| {
        output.print_before_send(&answer.record.intent, Some("secret-key"));
        output.print_proposal(Some("secret-key"), &answer);
    };
    assert_eq!(printed(Format::Text, show).matches("secret-key").count(), 1);
    let value: Value = printed(Format::Json, show).parse().unwrap();
    assert_eq!((&value["intent"], &value["key"]), (&json!("i-1"), &json!("secret-key")));
}
