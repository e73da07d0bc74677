//! Decides after each attempt whether a request is finished or is sent to the next daemon.

use celerygate_types::wire::ErrorBody;
use celerygate_types::{Outcome, ResultCode};

use crate::exit::Failure;

/// Result of sending a request to one daemon.
#[derive(Debug, PartialEq)]
pub enum Attempt<T> {
    /// The daemon executed the request.
    Answered(T),
    /// The daemon returned an error.
    Refused(ErrorBody),
    /// The request failed before any byte of it was sent.
    Unsent(String),
    /// The request was sent, but no valid response was received.
    NoResponse(String),
}

impl<T> Attempt<T> {
    /// Returns the leader's address if the daemon is not the leader and names it.
    pub fn leader(&self) -> Option<String> {
        match self {
            Self::Refused(body) if body.code == ResultCode::NotLeader.number() => {
                body.leader.as_ref().map(ToString::to_string)
            }
            _ => None,
        }
    }
}

/// What the client does after an attempt.
#[derive(Debug, PartialEq)]
pub enum Decision<T> {
    /// Return the answer.
    Answer(T),
    /// Fail, because no other daemon would decide differently.
    Fail(Failure),
    /// Send the same request to the next daemon.
    TryNextDaemon,
}

/// State of a request that is sent to several daemons in turn.
#[derive(Debug)]
pub struct Failover {
    /// Whether the request changes the state of the system.
    is_write: bool,
    /// Failure of the last attempt that may have executed the request.
    unknown_outcome: Option<Failure>,
    /// The last refusal after which the request was sent to another daemon.
    refusal: Option<Failure>,
    /// Reasons of the attempts in which nothing was sent.
    send_errors: Vec<String>,
}

impl Failover {
    /// Creates the state of a new request. `is_write` states whether it changes the system.
    pub fn new(is_write: bool) -> Self {
        Self { is_write, unknown_outcome: None, refusal: None, send_errors: Vec::new() }
    }

    /// Records the result of an attempt and decides what to do next.
    pub fn handle_result<T>(&mut self, result: Attempt<T>) -> Decision<T> {
        match result {
            Attempt::Answered(answer) => Decision::Answer(answer),
            Attempt::Unsent(reason) => {
                self.send_errors.push(reason);
                Decision::TryNextDaemon
            }
            Attempt::NoResponse(reason) => {
                let code =
                    if self.is_write { ResultCode::OutcomeUnknown } else { ResultCode::NoDaemon };
                self.unknown_outcome = Some(Failure::new(code, reason));
                Decision::TryNextDaemon
            }
            Attempt::Refused(body) => self.handle_refusal(Failure::from(body)),
        }
    }

    fn handle_refusal<T>(&mut self, failure: Failure) -> Decision<T> {
        if failure.outcome == Outcome::Unknown {
            self.unknown_outcome = Some(failure);
            return Decision::TryNextDaemon;
        }
        let another_may_accept = matches!(
            ResultCode::from_number(failure.code),
            Some(
                ResultCode::NotLeader
                    | ResultCode::NoLeader
                    | ResultCode::Stopping
                    | ResultCode::ConfigurationStale
            )
        );
        // A decision of the control group also holds for earlier attempts of the same request. The
        // refusal of a single daemon, such as one for a wrong token, does not.
        let decides_earlier_attempts = failure.code / 1_000 == 2 || self.unknown_outcome.is_none();
        if another_may_accept || !decides_earlier_attempts {
            self.refusal = Some(failure);
            return Decision::TryNextDaemon;
        }
        Decision::Fail(failure)
    }

    /// Returns the failure of a request that no daemon has executed or refused for good.
    ///
    /// If one attempt may have executed the request, the outcome is unknown, whatever the other
    /// daemons answered.
    pub fn into_failure(self) -> Failure {
        self.unknown_outcome
            .or(self.refusal)
            .unwrap_or_else(|| Failure::new(ResultCode::NoDaemon, self.send_errors.join("; ")))
    }
}

#[cfg(test)]
#[path = "failover_tests.rs"]
mod tests;
