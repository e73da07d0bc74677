//! Guards against a failover between daemons that reports a change as failed although it may have
//! been made.

use super::*;

fn refusal(code: ResultCode) -> Attempt<()> {
    Attempt::Refused(ErrorBody {
        advice: code.advice().into(),
        code: code.number(),
        leader: Some("127.0.0.1:9".into()),
        message: code.message().into(),
        name: code.to_string().into(),
        outcome: code.outcome(),
        request: "r-1".parse().unwrap(),
    })
}

/// Handles the results in turn until one decides the request. Returns the code of the failure.
fn outcome(is_write: bool, results: impl IntoIterator<Item = Attempt<()>>) -> Result<(), u16> {
    let mut failover = Failover::new(is_write);
    for result in results {
        match failover.handle_result(result) {
            Decision::Answer(()) => return Ok(()),
            Decision::Fail(failure) => return Err(failure.code),
            Decision::TryNextDaemon => {}
        }
    }
    Err(failover.into_failure().code)
}

fn no_response() -> Attempt<()> {
    Attempt::NoResponse("no answer".to_owned())
}

fn not_sent() -> Attempt<()> {
    Attempt::Unsent("cannot connect".to_owned())
}

/// Guards against a change without a response that is reported as failed or as not run.
#[test]
fn handle_result_write_without_response() {
    assert_eq!(outcome(true, [no_response()]), Err(2006));
    assert_eq!(outcome(true, [no_response(), not_sent()]), Err(2006));
    for later in [
        ResultCode::NotLeader,
        ResultCode::NoLeader,
        ResultCode::CredentialRefused,
        ResultCode::Stopping,
        ResultCode::ConfigurationStale,
        ResultCode::BadRequest,
    ] {
        assert_eq!(outcome(true, [no_response(), refusal(later)]), Err(2006), "{later}");
        assert_eq!(outcome(true, [refusal(ResultCode::NoLeader), no_response()]), Err(2006));
    }
    assert_eq!(outcome(true, [refusal(ResultCode::OutcomeUnknown), not_sent()]), Err(2006));
    assert_eq!(outcome(true, [refusal(ResultCode::Internal)]), Err(3003));
}

/// Guards against requests to other daemons after the control group has decided.
#[test]
fn handle_result_decided() {
    assert_eq!(outcome(true, [no_response(), Attempt::Answered(())]), Ok(()));
    for decided in
        [ResultCode::RevisionConflict, ResultCode::IntentMismatch, ResultCode::SubjectUnknown]
    {
        let number = Err(decided.number());
        assert_eq!(outcome(true, [no_response(), refusal(decided), Attempt::Answered(())]), number);
    }
    assert_eq!(
        outcome(true, [refusal(ResultCode::CredentialRefused), Attempt::Answered(())]),
        Err(1102)
    );
}

/// Guards against giving up at a daemon that knows no leader while another daemon knows it.
#[test]
fn handle_result_next_daemon() {
    assert_eq!(outcome(true, [refusal(ResultCode::NoLeader), Attempt::Answered(())]), Ok(()));
    assert_eq!(outcome(true, [not_sent(), no_response(), Attempt::Answered(())]), Ok(()));
    assert_eq!(outcome(true, [not_sent(), refusal(ResultCode::NoLeader)]), Err(2001));
}

/// Guards against a report that the system may have changed if the request only reads or was never
/// sent.
#[test]
fn into_failure_no_daemon() {
    assert_eq!(outcome(false, [no_response(), not_sent()]), Err(3001));
    assert_eq!(outcome(true, [not_sent(), not_sent()]), Err(3001));
}
