//! Signals with which an operator or the platform controls the process.

use anyhow::{Context, Result};
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Handlers of the signals. They are installed before the first listener is opened, because a
/// signal without a handler ends the process at once, together with the requests that it serves.
#[derive(Debug)]
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    reload: Signal,
}

/// What a signal asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Request {
    /// Stop gracefully (SIGTERM or SIGINT).
    Stop,
    /// Apply changed settings (SIGHUP).
    Reload,
}

impl Signals {
    /// Installs the handlers. Signals that arrive before [`Signals::next`] is called are kept.
    ///
    /// # Errors
    ///
    /// When a handler cannot be installed.
    pub fn install() -> Result<Self> {
        let install = |kind, name| signal(kind).with_context(|| format!("install {name} handler"));
        Ok(Self {
            terminate: install(SignalKind::terminate(), "SIGTERM")?,
            interrupt: install(SignalKind::interrupt(), "SIGINT")?,
            reload: install(SignalKind::hangup(), "SIGHUP")?,
        })
    }

    /// Waits for the next signal.
    pub async fn next(&mut self) -> Request {
        tokio::select! {
            _ = self.terminate.recv() => Request::Stop,
            _ = self.interrupt.recv() => Request::Stop,
            _ = self.reload.recv() => Request::Reload,
        }
    }
}
