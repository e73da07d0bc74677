//! The number of entry VMs in the fleet, persisted across restarts of all daemons.
//!
//! While no leader grants tokens, each VM divides the rate limits by this number. After a power
//! loss of all VMs a daemon knows few others; shares computed from that small number would add up
//! to several times the limit. Control VMs therefore store the number on disk.

use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

use anyhow::{Context, Result};
use celerygate_control::storage::{Storage, open_folder};
use celerygate_types::wire::DaemonRole;
use tokio::time::sleep;

use crate::daemon::Daemon;

/// Subfolder of the data folder.
const FOLDER: &str = "fleet";
const FILE: &str = "entry-vms";
/// Interval between two counts.
const COUNT_INTERVAL: Duration = Duration::from_secs(1);
/// Time after which a smaller number replaces the stored one: VMs that restart or are cut off from
/// the network return within it.
const DECREASE_DELAY: Duration = Duration::from_secs(120);

/// The number of entry VMs that a control VM stores.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EntryCount {
    stored_count: u32,
    /// Whether the last write has failed, so that an earlier number is on disk.
    has_failed: bool,
    decrease_since: Option<Instant>,
}

/// Result of a count.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CountChange {
    /// Store this number on disk.
    Store(u32),
    /// Keep the stored number.
    Keep,
}

impl EntryCount {
    /// Creates the count from the number stored by an earlier process.
    pub fn from_stored(stored_count: u32) -> Self {
        Self { stored_count, has_failed: false, decrease_since: None }
    }

    /// Returns the stored number.
    pub fn get(&self) -> u32 {
        self.stored_count
    }

    /// Updates the count with the number of running entry VMs. A larger number is stored at once, a
    /// smaller one after [`DECREASE_DELAY`].
    pub fn update(&mut self, running: u32, now: Instant) -> CountChange {
        if running >= self.stored_count {
            self.decrease_since = None;
        } else {
            let since = *self.decrease_since.get_or_insert(now);
            if now.saturating_duration_since(since) < DECREASE_DELAY {
                return CountChange::Keep;
            }
        }
        if running == self.stored_count && !self.has_failed {
            return CountChange::Keep;
        }
        *self = Self::from_stored(running);
        CountChange::Store(running)
    }

    /// Records that the number could not be stored. The next update stores it again.
    pub fn record_failure(&mut self) {
        self.has_failed = true;
    }
}

/// Loads the stored number and starts a task that counts entry VMs and stores changes.
///
/// # Errors
///
/// When the folder cannot be opened or the stored number cannot be read.
pub fn start(daemon: &Arc<Daemon>, data_folder: &Path) -> Result<()> {
    let folder = data_folder.join(FOLDER);
    let mut storage =
        open_folder(&folder).with_context(|| format!("open the folder {}", folder.display()))?;
    // An ended process can have left the number unsynced; an equal count is not stored again.
    (storage.sync_all)().context("sync the number of entry VMs")?;
    let stored = (storage.read)(FILE).context("read the number of entry VMs")?;
    let text = stored.and_then(|bytes| String::from_utf8(bytes).ok());
    let stored_count = text.and_then(|text| text.trim().parse().ok()).unwrap_or_default();
    *daemon.tables.entry_count.lock() = EntryCount::from_stored(stored_count);
    tokio::spawn(store_changes(Arc::clone(daemon), storage));
    Ok(())
}

async fn store_changes(daemon: Arc<Daemon>, mut storage: Storage) {
    loop {
        sleep(COUNT_INTERVAL).await;
        let now = daemon.now();
        let running = daemon.tables.daemons.lock().running(DaemonRole::Entry, now).count();
        let change = daemon.tables.entry_count.lock().update(running as u32, now);
        let CountChange::Store(number) = change else { continue };
        log::info!(entry_vms = number; "number of entry VMs changed");
        // A disk write can block for seconds, so it runs outside the async worker threads.
        let written = tokio::task::spawn_blocking(move || {
            let result = (storage.replace)(FILE, number.to_string().as_bytes());
            (storage, result)
        });
        match written.await {
            Ok((returned, result)) => {
                storage = returned;
                if let Err(error) = result {
                    daemon.tables.entry_count.lock().record_failure();
                    log::warn!(error:% = error;
                        "failed to store the number of entry VMs, keeping it in memory");
                }
            }
            Err(error) => {
                log::error!(error:% = error; "task that stores the number of entry VMs failed");
                return;
            }
        }
    }
}

#[cfg(test)]
#[path = "entry_count_tests.rs"]
mod tests;
