//! Refusals as callers, targets and operators see them.

use std::time::Duration;

use celerygate_types::wire::ErrorBody;
use celerygate_types::{RequestId, ResultCode};
use smol_str::SmolStr;

/// A refused or failed request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The numbered reason.
    pub code: ResultCode,
    /// What exactly was wrong, where the code alone does not tell.
    pub detail: Option<SmolStr>,
    /// When another attempt makes sense.
    pub retry_after: Option<Duration>,
    /// The operators' address of the leader, where that helps.
    pub leader: Option<SmolStr>,
}

impl From<ResultCode> for Refusal {
    fn from(code: ResultCode) -> Self {
        Self { code, detail: None, retry_after: None, leader: None }
    }
}

impl Refusal {
    /// Returns a refusal that tells what exactly was wrong.
    pub fn with_detail(code: ResultCode, detail: impl Into<SmolStr>) -> Self {
        Self { detail: Some(detail.into()), ..Self::from(code) }
    }

    /// Returns the body that explains the refusal.
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

    /// Returns the value of `Retry-After`, at least 1 s, since the header has whole seconds.
    pub fn retry_after_s(&self) -> Option<u64> {
        self.retry_after.map(|time| time.as_millis().div_ceil(1_000).max(1) as u64)
    }
}
