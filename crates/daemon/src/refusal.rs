//! Errors that are reported to callers, targets and operators.

use std::time::Duration;

use celerygate_types::wire::ErrorBody;
use celerygate_types::{RequestId, ResultCode};
use smol_str::SmolStr;

/// A refused or failed request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Reason of the refusal.
    pub code: ResultCode,
    /// Details that the code alone does not state.
    pub detail: Option<SmolStr>,
    /// Time after which the request can be repeated.
    pub retry_after: Option<Duration>,
    /// Operator address of the leader, if the request must be sent there.
    pub leader: Option<SmolStr>,
}

impl From<ResultCode> for Refusal {
    fn from(code: ResultCode) -> Self {
        Self { code, detail: None, retry_after: None, leader: None }
    }
}

impl Refusal {
    /// Returns a refusal with details.
    pub fn with_detail(code: ResultCode, detail: impl Into<SmolStr>) -> Self {
        Self { detail: Some(detail.into()), ..Self::from(code) }
    }

    /// Returns the response body for the refusal.
    pub fn body(&self, request: &RequestId) -> ErrorBody {
        let message = match &self.detail {
            Some(detail) => SmolStr::from(format!("{} {detail}", self.code.message())),
            None => SmolStr::new_static(self.code.message()),
        };
        ErrorBody {
            code: self.code.number(),
            name: SmolStr::from(self.code.to_string()),
            outcome: self.code.outcome(),
            message,
            advice: SmolStr::new_static(self.code.advice()),
            request: request.clone(),
            leader: self.leader.clone(),
        }
    }

    /// Returns the value of `Retry-After` in seconds: rounded up, because the header has whole
    /// seconds, and at least 1.
    pub fn retry_after_s(&self) -> Option<u64> {
        self.retry_after.map(|delay| delay.as_millis().div_ceil(1_000).max(1) as u64)
    }
}
