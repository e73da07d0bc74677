//! How many entry VMs the fleet has, also right after all daemons have restarted.
//!
//! VMs divide rates and paces by this number while no leader does it for them. After a loss of all
//! power each daemon knows few others, and shares of a small number would add up to several times the
//! whole. Control VMs therefore remember the number on disk.

use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

use anyhow::{Context, Result};
use celerygate_control::storage::{Storage, open_folder};
use celerygate_types::wire::DaemonRole;
use tokio::time::sleep;

use crate::daemon::Daemon;

/// Folder within the data folder.
const FOLDER: &str = "fleet";
const FILE: &str = "entry-vms";
/// Time between two counts.
const INTERVAL: Duration = Duration::from_secs(1);
/// Time for which a smaller number has to last before it is remembered: VMs that restart or are cut
/// off come back.
const DECREASE_DELAY: Duration = Duration::from_secs(120);

/// The number that a control VM remembers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EntryCount {
    stored_count: u32,
    decrease_since: Option<Instant>,
}

/// What to do with a number that was counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CountChange {
    /// Write it to disk.
    Store(u32),
    /// Keep what is remembered.
    Keep,
}

impl EntryCount {
    /// Returns the count of an earlier life.
    pub fn from_stored(stored_count: u32) -> Self {
        Self { stored_count, decrease_since: None }
    }

    /// Returns the remembered number.
    pub fn get(&self) -> u32 {
        self.stored_count
    }

    /// Takes the number of entry VMs that run.
    pub fn update(&mut self, running: u32, now: Instant) -> CountChange {
        if running >= self.stored_count {
            self.decrease_since = None;
        } else {
            let since = *self.decrease_since.get_or_insert(now);
            if now.saturating_duration_since(since) < DECREASE_DELAY {
                return CountChange::Keep;
            }
        }
        if running == self.stored_count {
            return CountChange::Keep;
        }
        *self = Self::from_stored(running);
        CountChange::Store(running)
    }
}

/// Remembers the number on disk until the task is aborted.
///
/// # Errors
///
/// When the folder cannot be opened.
pub fn start(daemon: &Arc<Daemon>, data_folder: &Path) -> Result<()> {
    let folder = data_folder.join(FOLDER);
    let mut storage =
        open_folder(&folder).with_context(|| format!("open the folder {}", folder.display()))?;
    let stored = (storage.read)(FILE).context("read the number of entry VMs")?;
    let text = stored.and_then(|bytes| String::from_utf8(bytes).ok());
    let stored_count = text.and_then(|text| text.trim().parse().ok()).unwrap_or_default();
    *daemon.tables.entry_count.lock() = EntryCount::from_stored(stored_count);
    tokio::spawn(store_changes(Arc::clone(daemon), storage));
    Ok(())
}

async fn store_changes(daemon: Arc<Daemon>, mut storage: Storage) {
    loop {
        sleep(INTERVAL).await;
        let now = daemon.now();
        let running = daemon.tables.daemons.lock().running(DaemonRole::Entry, now).count();
        let change = daemon.tables.entry_count.lock().update(running as u32, now);
        let CountChange::Store(number) = change else { continue };
        log::info!(entry_vms = number; "number of entry VMs changed");
        // A disk can hang for seconds, which must not hold up the other tasks.
        let written = tokio::task::spawn_blocking(move || {
            let result = (storage.replace)(FILE, number.to_string().as_bytes());
            (storage, result)
        });
        match written.await {
            Ok((returned, result)) => {
                storage = returned;
                if let Err(error) = result {
                    log::warn!(error:% = error; "number of entry VMs not written, kept in memory");
                }
            }
            Err(error) => {
                log::error!(error:% = error; "number of entry VMs is no longer written");
                return;
            }
        }
    }
}

#[cfg(test)]
#[path = "entry_count_tests.rs"]
mod tests;
