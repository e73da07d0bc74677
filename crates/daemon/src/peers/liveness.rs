//! Whether a connection to a peer still carries frames.
//!
//! Only the peer can show it. A proxy, a tunnel or the kernel of a stopped process goes on
//! acknowledging bytes that nobody reads, so that writes succeed and no time-out of TCP passes.

use std::time::Duration;

use tokio::time::Instant;

/// Minimum interval between two frames that ask for a confirmation. Below the interval at which daemons
/// ask each other for changes, so that these frames need no probes.
const ASK_INTERVAL: Duration = Duration::from_millis(300);
/// Time after which a probe asks for a confirmation if no frame does. The frames between two daemons go
/// over one connection for each direction. A silent connection for replies is found at the same time as
/// the one for requests, and not only with the first reply that is lost.
const PROBE_INTERVAL: Duration = Duration::from_millis(600);
/// Wait for a confirmation, or for a sign that a part of a long frame has arrived, after which a connection
/// is compared with a new one. Deployments expect daemons to be in touch again within 3 s.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Wait for the confirmation of a probe on a new connection. It doubles with each one that is not confirmed,
/// up to [`MAX_PROBE_TIMEOUT`]: the peer may be stopped.
const FIRST_PROBE_TIMEOUT: Duration = Duration::from_millis(2_400);
const MAX_PROBE_TIMEOUT: Duration = Duration::from_millis(4_800);
/// Time without a frame after which a connection is closed, so that it needs no more probes.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time without a frame or a probe after which the receiver closes a connection. Its sender may have
/// given it up without a trace.
pub const RECEIVE_TIMEOUT: Duration = Duration::from_secs(30);
const _: () = assert!(RECEIVE_TIMEOUT.as_secs() > IDLE_TIMEOUT.as_secs());

/// Returns the waits for the confirmations of the probes on connections that are opened one after the other.
pub fn probe_timeouts() -> impl Iterator<Item = Duration> {
    let doubled = |wait: &Duration| Some((*wait * 2).min(MAX_PROBE_TIMEOUT));
    std::iter::successors(Some(FIRST_PROBE_TIMEOUT), doubled)
}

/// State of a connection, at its sender.
#[derive(Clone, Copy, Debug)]
pub struct Liveness {
    last_frame_at: Instant,
    last_asked_at: Option<Instant>,
    /// Last sign of life since an unconfirmed request for a confirmation, or the time of the request.
    unconfirmed_since: Option<Instant>,
}

/// Whether a frame asks the peer for a confirmation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ask {
    /// The peer confirms the frame.
    Confirmation,
    /// The peer sends nothing.
    Nothing,
}

/// Next step of a sender that has no frame to send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Do nothing until this time.
    Wait(Instant),
    /// Ask for a confirmation without a frame.
    Probe,
    /// Open another connection and close the one that does not confirm first: on a full link, confirmations
    /// take longer, but what was sent earlier arrives earlier.
    Compare,
    /// Close the connection: it is not in use.
    CloseIdle,
}

impl Liveness {
    /// Creates the state of a new connection.
    pub fn new(now: Instant) -> Self {
        Self { last_frame_at: now, last_asked_at: None, unconfirmed_since: None }
    }

    /// Records a frame that is about to be sent, and returns whether it asks for a confirmation.
    pub fn begin_frame(&mut self, now: Instant) -> Ask {
        self.last_frame_at = now;
        let is_recent = |at: Instant| now.saturating_duration_since(at) < ASK_INTERVAL;
        if self.unconfirmed_since.is_some() || self.last_asked_at.is_some_and(is_recent) {
            return Ask::Nothing;
        }
        self.record_ask(now);
        Ask::Confirmation
    }

    /// Records that the peer was asked for a confirmation.
    pub fn record_ask(&mut self, now: Instant) {
        self.last_asked_at = Some(now);
        self.unconfirmed_since = Some(now);
    }

    /// Records that the peer has received a part of a long frame.
    pub fn record_progress(&mut self, now: Instant) {
        self.unconfirmed_since = self.unconfirmed_since.map(|_| now);
    }

    /// Records a confirmation.
    pub fn record_confirmation(&mut self) {
        self.unconfirmed_since = None;
    }

    /// Returns what to do now.
    pub fn next_step(&self, now: Instant) -> NextStep {
        if let Some(since) = self.unconfirmed_since {
            let end = since + CONFIRMATION_TIMEOUT;
            return if now < end { NextStep::Wait(end) } else { NextStep::Compare };
        }
        let idle_end = self.last_frame_at + IDLE_TIMEOUT;
        let probe_at = self.last_asked_at.unwrap_or(self.last_frame_at) + PROBE_INTERVAL;
        if now >= idle_end {
            NextStep::CloseIdle
        } else if now >= probe_at {
            NextStep::Probe
        } else {
            NextStep::Wait(probe_at.min(idle_end))
        }
    }
}

#[cfg(test)]
#[path = "liveness_tests.rs"]
mod tests;
