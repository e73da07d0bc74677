//! The phases of a planned stop.

use std::time::Duration;

use anyhow::{Context, Result};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

/// Time for which a stopping daemon keeps accepting requests: callers cache lookup answers for
/// 5 s, and 1 s covers the way of the last answer.
pub const LEAVE_TIME: Duration = Duration::from_secs(6);

/// Where a daemon is between its start and its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// It takes requests and appears in lookup answers.
    Serving,
    /// It takes requests but no longer appears in lookup answers.
    Leaving,
    /// It takes no new request and finishes those in progress.
    Closing,
}

/// Tells all parts of the daemon the current phase.
#[derive(Clone, Debug)]
pub struct Shutdown {
    phase: watch::Sender<Phase>,
}

impl Default for Shutdown {
    fn default() -> Self {
        Self { phase: watch::Sender::new(Phase::Serving) }
    }
}

impl Shutdown {
    /// Returns the current phase.
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Waits until a stop is requested.
    pub async fn leaving(&self) {
        self.reached(Phase::Leaving).await;
    }

    /// Waits until the daemon takes no more requests.
    pub async fn closing(&self) {
        self.reached(Phase::Closing).await;
    }

    async fn reached(&self, awaited: Phase) {
        let mut phase = self.phase.subscribe();
        // The sender lives as long as `self`, so the wait cannot fail.
        let _ = phase.wait_for(|&phase| phase >= awaited).await;
    }

    /// Waits for SIGTERM or SIGINT, then walks through the phases. A second signal during the
    /// leaving phase goes on to closing at once.
    ///
    /// # Errors
    ///
    /// When the signal handlers cannot be installed.
    pub async fn run(&self) -> Result<()> {
        let mut terminate = signal(SignalKind::terminate()).context("handle SIGTERM")?;
        let mut interrupt = signal(SignalKind::interrupt()).context("handle SIGINT")?;
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        log::info!(phase = "leaving", leave_ms = LEAVE_TIME.as_millis() as u64; "stop requested");
        self.phase.send_replace(Phase::Leaving);
        tokio::select! {
            () = tokio::time::sleep(LEAVE_TIME) => {}
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        log::info!(phase = "closing"; "taking no more requests");
        self.phase.send_replace(Phase::Closing);
        Ok(())
    }
}
