//! Position in the changes of one control VM, and the schedule of sync requests to it.

use std::time::{Duration, Instant};

/// Time after which an unanswered sync request is sent again. A congested link delays replies, and
/// requests sent sooner would congest it further.
pub const REPLY_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Position up to which this daemon has received a control VM's changes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Position {
    /// Incarnation of the control VM to which `targets_change` belongs.
    pub targets_epoch: u64,
    /// Sequence number of the latest received change of a target.
    pub targets_change: u64,
    /// Digest of the received list of daemons.
    pub daemons_digest: u64,
}

/// Action when a sync request is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextRequest {
    /// Send a request.
    Send {
        /// Request the changes since this position.
        position: Position,
        /// Inform the control VM of the departures that this daemon knows: it has restarted, and may
        /// have forgotten them.
        informs: bool,
    },
    /// Wait for the reply to the last request.
    Wait,
}

/// Action after a reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AfterReply {
    /// Send another request at once: one became due meanwhile, or the reply was truncated.
    RequestAgain,
    /// Send the next request at the regular interval.
    Done,
}

/// State of the sync requests to one control VM.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cursor {
    position: Position,
    sent_at: Option<Instant>,
    request_deferred: bool,
    is_full_sync_due: bool,
    /// Whether the outstanding request informs the control VM of departures.
    informs: bool,
    /// Incarnation of the control VM that has been informed.
    informed_epoch: u64,
}

impl Cursor {
    /// Decides whether a request that is due is sent. While another one is unanswered, it is
    /// deferred until the reply.
    pub fn next_request(&mut self, now: Instant) -> NextRequest {
        let is_waiting = |at: Instant| now.saturating_duration_since(at) < REPLY_TIMEOUT;
        if self.sent_at.is_some_and(is_waiting) {
            self.request_deferred = true;
            return NextRequest::Wait;
        }
        self.sent_at = Some(now);
        self.request_deferred = false;
        if std::mem::take(&mut self.is_full_sync_due) {
            self.position.targets_change = 0;
        }
        let epoch = self.position.targets_epoch;
        self.informs = epoch != 0 && epoch != self.informed_epoch;
        NextRequest::Send { position: self.position, informs: self.informs }
    }

    /// Makes the next request fetch all targets.
    pub fn request_full_sync(&mut self) {
        self.is_full_sync_due = true;
    }

    /// Handles a reply; `is_truncated` states that it contains only part of the changes.
    pub fn handle_reply(&mut self, position: Position, is_truncated: bool) -> AfterReply {
        let requests_again = is_truncated || self.request_deferred;
        let epoch = position.targets_epoch;
        let is_informed = self.informs && epoch == self.position.targets_epoch;
        let informed_epoch = if is_informed { epoch } else { self.informed_epoch };
        *self = Self {
            position,
            sent_at: None,
            request_deferred: false,
            informs: false,
            informed_epoch,
            ..*self
        };
        if requests_again { AfterReply::RequestAgain } else { AfterReply::Done }
    }
}

#[cfg(test)]
#[path = "cursor_tests.rs"]
mod tests;
