//! Phases of a graceful shutdown.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;

use crate::connections::OpenConnections;
use crate::signals::{Request, Signals};

/// Time for which a daemon accepts requests after a stop was requested: callers cache lookup
/// answers for 5 s, and 1 s covers the transmission of the last answer.
pub const LEAVING_DURATION: Duration = Duration::from_secs(6);

/// Phase in the life of a daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// The daemon accepts requests and appears in lookup answers.
    Serving,
    /// The daemon accepts requests but no longer appears in lookup answers.
    Leaving,
    /// The daemon accepts no new requests and finishes those in progress.
    Closing,
}

/// Publishes the current phase to all parts of the daemon.
#[derive(Clone, Debug)]
pub struct Shutdown {
    phase: watch::Sender<Phase>,
    /// Connections that the daemon finishes before it exits.
    pub connections: Arc<OpenConnections>,
}

impl Default for Shutdown {
    fn default() -> Self {
        Self { phase: watch::Sender::new(Phase::Serving), connections: Arc::default() }
    }
}

impl Shutdown {
    /// Returns the current phase.
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Waits until a stop is requested.
    pub async fn wait_until_leaving(&self) {
        self.wait_for(Phase::Leaving).await;
    }

    /// Waits until the daemon accepts no more requests.
    pub async fn wait_until_closing(&self) {
        self.wait_for(Phase::Closing).await;
    }

    async fn wait_for(&self, minimum: Phase) {
        let mut phase = self.phase.subscribe();
        // The wait fails only if the sender is dropped, and `self` owns the sender.
        let _ = phase.wait_for(|&phase| phase >= minimum).await;
    }

    /// Waits until a stop is requested, then goes through the phases. A second request during the
    /// leaving phase starts the closing phase at once.
    pub async fn run(&self, signals: &mut Signals) {
        wait_for_stop(signals).await;
        log::info!(
            phase = "leaving", leave_ms = LEAVING_DURATION.as_millis() as u64;
            "stop requested"
        );
        self.phase.send_replace(Phase::Leaving);
        tokio::select! {
            () = tokio::time::sleep(LEAVING_DURATION) => {}
            () = wait_for_stop(signals) => {}
        }
        log::info!(
            phase = "closing", open_connections = self.connections.count();
            "taking no more requests"
        );
        self.phase.send_replace(Phase::Closing);
    }
}

async fn wait_for_stop(signals: &mut Signals) {
    while signals.next().await == Request::Reload {
        log::warn!("reload requested, but settings are read at the start only");
    }
}

/// Handles signals in the closing phase, which has no shorter form: requests in progress are always
/// finished.
pub async fn ignore_signals(signals: &mut Signals) -> ! {
    loop {
        wait_for_stop(signals).await;
        log::info!(phase = "closing"; "stop requested again");
    }
}
