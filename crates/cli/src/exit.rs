//! Failures of a command and their exit codes.

use std::fmt;

use celerygate_types::wire::ErrorBody;
use celerygate_types::{IntentId, Outcome, RequestId, ResultCode};
use serde::Serialize;

/// The reason for which a command failed, as it is printed.
///
/// The texts are boxed, because clippy limits the size of an error type to 128 bytes.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Failure {
    /// Number of the result code.
    pub code: u16,
    /// Name of the result code.
    pub name: Box<str>,
    /// Whether the request may have been executed.
    pub outcome: Outcome,
    /// Description of the failure.
    pub message: Box<str>,
    /// What the operator can do.
    pub advice: Box<str>,
    /// Id of the request in the daemon's log.
    pub request: Option<RequestId>,
    /// Id of the intent to which the failed request refers.
    pub intent: Option<IntentId>,
    /// A generated key to which the intent refers if it was recorded. Text output prints the key
    /// before the request is sent.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub key: Option<Box<str>>,
}

impl Failure {
    /// Creates a failure that this program has detected.
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

    /// Creates the failure for an invalid command line.
    pub fn usage(message: impl Into<String>) -> Self {
        Self::new(ResultCode::Usage, message)
    }

    /// Appends advice for this particular case.
    pub fn with_advice(mut self, advice: &str) -> Self {
        if !advice.is_empty() {
            self.advice = format!("{} {advice}", self.advice).into();
        }
        self
    }

    /// Sets the id of the intent to which the failed request refers.
    pub fn with_intent(mut self, intent: &IntentId) -> Self {
        self.intent = Some(intent.clone());
        self
    }

    /// Returns the exit code: 1, 2 or 3, as defined at the beginning of
    /// `docs/result-codes.md`.
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
