//! Connections to a target that have gone silent: a machine in between acknowledges what is sent on
//! them, and nothing comes back.
//!
//! Each request on such a connection waits in vain until it is given up. The first one shows which
//! other connections may be silent too. A target that is slow looks the same, so other connections
//! are only given up on evidence.

use std::time::{Duration, Instant};

/// Minimum wait for the first byte of a response that counts as silence. Slow targets often exceed
/// shorter waits. Equal to the time for connecting to a target, which allows for saturated links.
pub const MIN_SILENCE: Duration = Duration::from_secs(1);

/// A request that was given up before a byte of its response was received.
#[derive(Clone, Copy, Debug)]
pub struct UnansweredRequest {
    /// When the previous response on its connection ended, `None` on a new connection.
    pub idle_since: Option<Instant>,
    /// When its last byte was passed on, `None` while its caller is still sending it.
    pub sent_at: Option<Instant>,
}

/// Times of an idle connection to the same target.
#[derive(Clone, Copy, Debug)]
pub struct IdleTimes {
    /// When the connection was established.
    pub opened_at: Instant,
    /// When the last response on it ended.
    pub idle_since: Instant,
}

/// What to do with the idle connections of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SilenceVerdict {
    /// Keep all: the target may only be slow.
    Keep,
    /// Close those whose last response ended before this time.
    CloseIdleSince(Instant),
}

/// Decides which idle connections of a target are not used again after a request was given up.
///
/// A request on a new connection shows nothing about idle ones. A response that came during the wait
/// on a connection which is older than the last use of the unanswered one shows that the path of that
/// time still works, and that the target was busy with this request.
pub fn judge(
    request: &UnansweredRequest,
    idle: impl IntoIterator<Item = IdleTimes>,
    now: Instant,
) -> SilenceVerdict {
    let (Some(idle_since), Some(sent_at)) = (request.idle_since, request.sent_at) else {
        return SilenceVerdict::Keep;
    };
    if now.saturating_duration_since(sent_at) < MIN_SILENCE {
        return SilenceVerdict::Keep;
    }
    let is_proof = |idle: IdleTimes| idle.opened_at <= idle_since && idle.idle_since > sent_at;
    if idle.into_iter().any(is_proof) {
        SilenceVerdict::Keep
    } else {
        SilenceVerdict::CloseIdleSince(sent_at)
    }
}

#[cfg(test)]
#[path = "silence_tests.rs"]
mod tests;
