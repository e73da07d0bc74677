//! What a daemon has received of one control VM, and when to ask again.

use std::time::{Duration, Instant};

/// Time after which an answer is no longer expected and the question is put again. A link that is
/// full delays answers, and repeated ones would fill it further.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_000);

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
pub enum Ask {
    /// Ask for what has changed since this position.
    Send(Position),
    /// Wait for the answer to the last question.
    Wait,
}

/// What to do after an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answered {
    /// Ask again at once: there was news meanwhile, or the answer was cut.
    AskAgain,
    /// Ask at the next interval.
    Done,
}

/// The exchange with one control VM.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cursor {
    position: Position,
    asked_at: Option<Instant>,
    has_news: bool,
}

impl Cursor {
    /// Decides about a question that is due now.
    pub fn ask(&mut self, now: Instant) -> Ask {
        let is_waiting = |at: Instant| now.saturating_duration_since(at) < ANSWER_TIMEOUT;
        if self.asked_at.is_some_and(is_waiting) {
            self.has_news = true;
            return Ask::Wait;
        }
        self.asked_at = Some(now);
        self.has_news = false;
        Ask::Send(self.position)
    }

    /// Makes the next question ask for all targets.
    pub fn ask_for_all(&mut self) {
        self.position.targets_change = 0;
    }

    /// Takes an answer; `is_cut` tells that it holds a part of the changes only.
    pub fn answered(&mut self, position: Position, is_cut: bool) -> Answered {
        let asks_again = is_cut || self.has_news;
        *self = Self { position, asked_at: None, has_news: false };
        if asks_again { Answered::AskAgain } else { Answered::Done }
    }
}

#[cfg(test)]
#[path = "cursor_tests.rs"]
mod tests;
