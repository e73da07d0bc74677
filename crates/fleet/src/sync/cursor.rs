//! What a daemon has received of one control VM, and when to ask again.

use std::time::{Duration, Instant};

/// Time after which an answer is no longer expected and the question is put again. A link that is
/// full delays answers, and repeated ones would fill it further.
pub const REPLY_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Numbers up to which the receiver knows a control VM's changes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Position {
    /// Life of the control VM that the other numbers belong to.
    pub targets_epoch: u64,
    /// Latest change of a target.
    pub targets_change: u64,
    /// Digest of the list of daemons.
    pub daemons_digest: u64,
}

/// What to do when a question is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextRequest {
    /// Ask for what has changed since this position.
    Send(Position),
    /// Wait for the answer to the last question.
    Wait,
}

/// What to do after an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AfterReply {
    /// Ask again at once: there was news meanwhile, or the answer was cut.
    RequestAgain,
    /// Ask at the next interval.
    Done,
}

/// The exchange with one control VM.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cursor {
    position: Position,
    sent_at: Option<Instant>,
    request_missed: bool,
}

impl Cursor {
    /// Decides about a question that is due now.
    pub fn next_request(&mut self, now: Instant) -> NextRequest {
        let is_waiting = |at: Instant| now.saturating_duration_since(at) < REPLY_TIMEOUT;
        if self.sent_at.is_some_and(is_waiting) {
            self.request_missed = true;
            return NextRequest::Wait;
        }
        self.sent_at = Some(now);
        self.request_missed = false;
        NextRequest::Send(self.position)
    }

    /// Makes the next question ask for all targets.
    pub fn request_full_sync(&mut self) {
        self.position.targets_change = 0;
    }

    /// Takes an answer; `is_truncated` tells that it holds a part of the changes only.
    pub fn handle_reply(&mut self, position: Position, is_truncated: bool) -> AfterReply {
        let requests_again = is_truncated || self.request_missed;
        *self = Self { position, sent_at: None, request_missed: false };
        if requests_again { AfterReply::RequestAgain } else { AfterReply::Done }
    }
}

#[cfg(test)]
#[path = "cursor_tests.rs"]
mod tests;
