//! Tests of trying daemons in turn: a change must never be reported as failed when it may have
//! been made.

use super::*;

fn refused(code: ResultCode) -> Try<()> {
    Try::Refused(ErrorBody {
        advice: code.advice().into(),
        code: code.number(),
        leader: Some("127.0.0.1:9".into()),
        message: code.message().into(),
        name: code.to_string().into(),
        outcome: code.outcome(),
        request: "r-1".parse().unwrap(),
    })
}

/// Feeds tries until one settles the request; returns the code of the failure.
fn outcome(changes: bool, tried: impl IntoIterator<Item = Try<()>>) -> Result<(), u16> {
    let mut tries = Tries::new(changes);
    for one in tried {
        match tries.next(one) {
            Next::Answer(()) => return Ok(()),
            Next::Fail(failure) => return Err(failure.code),
            Next::TryAnother => {}
        }
    }
    Err(tries.conclude().code)
}

fn unanswered() -> Try<()> {
    Try::Unanswered("no answer".to_owned())
}

fn not_sent() -> Try<()> {
    Try::NotSent("cannot connect".to_owned())
}

/// Guards against an unanswered change that is reported as failed or as not run.
#[test]
fn next_change_unanswered() {
    assert_eq!(outcome(true, [unanswered()]), Err(2006));
    assert_eq!(outcome(true, [unanswered(), not_sent()]), Err(2006));
    for later in [
        ResultCode::NotLeader,
        ResultCode::NoLeader,
        ResultCode::CredentialRefused,
        ResultCode::Stopping,
        ResultCode::ConfigurationStale,
        ResultCode::BadRequest,
    ] {
        assert_eq!(outcome(true, [unanswered(), refused(later)]), Err(2006), "{later}");
        assert_eq!(outcome(true, [refused(ResultCode::NoLeader), unanswered()]), Err(2006));
    }
    assert_eq!(outcome(true, [refused(ResultCode::OutcomeUnknown), not_sent()]), Err(2006));
    assert_eq!(outcome(true, [refused(ResultCode::Internal)]), Err(3003));
}

/// Guards against asking other daemons although the control group has decided.
#[test]
fn next_settled() {
    assert_eq!(outcome(true, [unanswered(), Try::Answered(())]), Ok(()));
    for decided in
        [ResultCode::RevisionConflict, ResultCode::IntentMismatch, ResultCode::SubjectUnknown]
    {
        let number = Err(decided.number());
        assert_eq!(outcome(true, [unanswered(), refused(decided), Try::Answered(())]), number);
    }
    assert_eq!(
        outcome(true, [refused(ResultCode::CredentialRefused), Try::Answered(())]),
        Err(1102)
    );
}

/// Guards against a daemon without a leader hiding one that has it.
#[test]
fn next_another_daemon() {
    assert_eq!(outcome(true, [refused(ResultCode::NoLeader), Try::Answered(())]), Ok(()));
    assert_eq!(outcome(true, [not_sent(), unanswered(), Try::Answered(())]), Ok(()));
    assert_eq!(outcome(true, [not_sent(), refused(ResultCode::NoLeader)]), Err(2001));
}

/// Guards against a report of a changed system for a request that changes nothing.
#[test]
fn conclude_no_daemon() {
    assert_eq!(outcome(false, [unanswered(), not_sent()]), Err(3001));
    assert_eq!(outcome(true, [not_sent(), not_sent()]), Err(3001));
}
