//! What the outcome of one try means for the next one and for the whole request.

use celerygate_types::wire::ErrorBody;
use celerygate_types::{Outcome, ResultCode};

use crate::exit::Failure;

/// How one try ended.
#[derive(Debug, PartialEq)]
pub enum Try<T> {
    /// The daemon answered.
    Answered(T),
    /// The daemon refused the request.
    Refused(ErrorBody),
    /// No byte of the request was sent.
    NotSent(String),
    /// The request was sent and no usable answer came.
    Unanswered(String),
}

impl<T> Try<T> {
    /// Returns the leader's address when the daemon named it instead of handling the request.
    pub fn leader(&self) -> Option<String> {
        match self {
            Self::Refused(body) if body.code == ResultCode::NotLeader.number() => {
                body.leader.as_ref().map(ToString::to_string)
            }
            _ => None,
        }
    }
}

/// What to do after a try.
#[derive(Debug, PartialEq)]
pub enum Next<T> {
    /// The request is answered.
    Answer(T),
    /// No other daemon would decide differently.
    Fail(Failure),
    /// Send the same request to the next daemon.
    TryAnother,
}

/// What is known after some tries of one request.
#[derive(Debug)]
pub struct Tries {
    /// Whether the request changes something.
    changes: bool,
    /// The last try after which the request may have run.
    unknown: Option<Failure>,
    /// The last refusal that another daemon may not share.
    refused: Option<Failure>,
    not_sent: Vec<String>,
}

impl Tries {
    /// Begins a request; `changes` tells whether it changes something.
    pub fn new(changes: bool) -> Self {
        Self { changes, unknown: None, refused: None, not_sent: Vec::new() }
    }

    /// Takes the outcome of a try into account.
    pub fn next<T>(&mut self, tried: Try<T>) -> Next<T> {
        match tried {
            Try::Answered(answer) => Next::Answer(answer),
            Try::NotSent(reason) => {
                self.not_sent.push(reason);
                Next::TryAnother
            }
            Try::Unanswered(reason) => {
                let code =
                    if self.changes { ResultCode::OutcomeUnknown } else { ResultCode::NoDaemon };
                self.unknown = Some(Failure::new(code, reason));
                Next::TryAnother
            }
            Try::Refused(body) => self.next_after_refusal(Failure::from(body)),
        }
    }

    fn next_after_refusal<T>(&mut self, failure: Failure) -> Next<T> {
        if failure.outcome == Outcome::Unknown {
            self.unknown = Some(failure);
            return Next::TryAnother;
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
        // A decision of the control group covers earlier tries of the same request; the refusal of
        // a single daemon, such as a wrong token, says nothing about them.
        let covers_earlier = failure.code / 1_000 == 2 || self.unknown.is_none();
        if another_may_accept || !covers_earlier {
            self.refused = Some(failure);
            return Next::TryAnother;
        }
        Next::Fail(failure)
    }

    /// Returns the failure of a request that no daemon settled.
    ///
    /// One try that may have run makes the whole outcome unknown, whatever other daemons said.
    pub fn conclude(self) -> Failure {
        self.unknown
            .or(self.refused)
            .unwrap_or_else(|| Failure::new(ResultCode::NoDaemon, self.not_sent.join("; ")))
    }
}

#[cfg(test)]
#[path = "tries_tests.rs"]
mod tests;
