//! Failures and the exit codes that stand for them.

use std::fmt;

use celerygate_types::wire::ErrorBody;
use celerygate_types::{IntentId, Outcome, RequestId, ResultCode};
use serde::Serialize;

/// Why a command failed, in the form in which it is printed.
///
/// The texts are boxed to keep results of functions below the 128 bytes that clippy allows.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Failure {
    /// Number of the result code.
    pub code: u16,
    /// Name of the result code.
    pub name: Box<str>,
    /// Whether the request can have run.
    pub outcome: Outcome,
    /// What happened.
    pub message: Box<str>,
    /// What to do.
    pub advice: Box<str>,
    /// The request in the daemon's log.
    pub request: Option<RequestId>,
    /// The intent that the failed request was about.
    pub intent: Option<IntentId>,
    /// A new key that the recorded intent may refer to. Text output has shown it before.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub key: Option<Box<str>>,
}

impl Failure {
    /// A failure found by this program.
    pub fn new(code: ResultCode, message: impl Into<String>) -> Self {
        Self {
            code: code.number(),
            name: code.to_string().into(),
            outcome: code.outcome(),
            message: message.into().into(),
            advice: code.advice().into(),
            request: None,
            intent: None,
            key: None,
        }
    }

    /// A command line that makes no sense.
    pub fn usage(message: impl Into<String>) -> Self {
        Self::new(ResultCode::Usage, message)
    }

    /// Adds to the advice what helps in this case.
    pub fn with_advice(mut self, advice: &str) -> Self {
        if !advice.is_empty() {
            self.advice = format!("{} {advice}", self.advice).into();
        }
        self
    }

    /// Names the intent that the failed request was about.
    pub fn with_intent(mut self, intent: &IntentId) -> Self {
        self.intent = Some(intent.clone());
        self
    }

    /// Returns the exit code: 1, 2 or 3, as the head of `docs/result-codes.md` states.
    pub fn exit_code(&self) -> u8 {
        match self.code / 1_000 {
            1 => 1,
            2 => 2,
            _ => 3,
        }
    }
}

impl From<ErrorBody> for Failure {
    fn from(body: ErrorBody) -> Self {
        Self {
            code: body.code,
            name: body.name.as_str().into(),
            outcome: body.outcome,
            message: body.message.as_str().into(),
            advice: body.advice.as_str().into(),
            request: Some(body.request),
            intent: None,
            key: None,
        }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "error {} {}: {}", self.code, self.name, self.message)?;
        writeln!(f, "outcome: {}", self.outcome)?;
        write!(f, "advice: {}", self.advice)?;
        if let Some(intent) = &self.intent {
            write!(f, "\nintent: {intent}")?;
        }
        if let Some(request) = &self.request {
            write!(f, "\nrequest: {request}")?;
        }
        Ok(())
    }
}

#[cfg(test)]
#[path = "exit_tests.rs"]
mod tests;
