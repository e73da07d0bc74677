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
const SMALLER_AFTER: Duration = Duration::from_secs(120);

/// The number that a control VM remembers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EntryCount {
    remembered: u32,
    smaller_since: Option<Instant>,
}

/// What to do with a number that was counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Counted {
    /// Write it to disk.
    Store(u32),
    /// Keep what is remembered.
    Keep,
}

impl EntryCount {
    /// Returns the count of an earlier life.
    pub fn restored(remembered: u32) -> Self {
        Self { remembered, smaller_since: None }
    }

    /// Returns the remembered number.
    pub fn get(&self) -> u32 {
        self.remembered
    }

    /// Takes the number of entry VMs that run.
    pub fn count(&mut self, running: u32, now: Instant) -> Counted {
        if running >= self.remembered {
            self.smaller_since = None;
        } else {
            let since = *self.smaller_since.get_or_insert(now);
            if now.saturating_duration_since(since) < SMALLER_AFTER {
                return Counted::Keep;
            }
        }
        if running == self.remembered {
            return Counted::Keep;
        }
        *self = Self::restored(running);
        Counted::Store(running)
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
    let remembered = text.and_then(|text| text.trim().parse().ok()).unwrap_or_default();
    *daemon.tables.entry_count.lock() = EntryCount::restored(remembered);
    tokio::spawn(remember(Arc::clone(daemon), storage));
    Ok(())
}

async fn remember(daemon: Arc<Daemon>, mut storage: Storage) {
    loop {
        sleep(INTERVAL).await;
        let now = daemon.now();
        let running = daemon.tables.daemons.lock().running(DaemonRole::Entry, now).count();
        let counted = daemon.tables.entry_count.lock().count(running as u32, now);
        let Counted::Store(number) = counted else { continue };
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
