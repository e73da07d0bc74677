//! Stores that targets leave on the disk of a control VM.
//!
//! A target is told that it may leave once most control VMs have stored it. The record in memory is
//! lost with all processes or all power, and a late report would bring the target back.

use std::path::Path;
use std::time::Instant;

use anyhow::{Context, Result};
use celerygate_control::leaving_log::LeavingLog;
use celerygate_control::storage::open_folder;
use celerygate_steering::instances::ENDED_RETENTION;
use celerygate_types::Clock;
use celerygate_types::wire::TargetUpdate;
use tokio::sync::mpsc;

/// Subfolder of the data folder.
const FOLDER: &str = "leaving";
/// Maximum number of updates that wait for the disk. Further ones are not stored, so that their targets
/// ask again.
const MAX_QUEUED: usize = 1_024;

type OnStored = Box<dyn FnOnce() + Send>;

/// An update, and what to do once it is stored; dropped if it cannot be stored.
struct Pending {
    update: TargetUpdate,
    on_stored: OnStored,
}

/// Queue of updates to store.
pub struct LeavingStore {
    queue: mpsc::Sender<Pending>,
}

impl LeavingStore {
    /// Opens the files in the data folder and starts the task that writes them. Returns the stored
    /// updates too.
    ///
    /// # Errors
    ///
    /// When the files cannot be opened or are damaged.
    pub fn open(data_folder: &Path, clock: Clock) -> Result<(Self, Vec<TargetUpdate>)> {
        let folder = data_folder.join(FOLDER);
        let storage = open_folder(&folder)
            .with_context(|| format!("open the folder {}", folder.display()))?;
        let opened = LeavingLog::open(storage, ENDED_RETENTION, clock.unix_ms(), clock.now())?;
        let (queue, receiver) = mpsc::channel(MAX_QUEUED);
        tokio::spawn(write_updates(opened.log, receiver, clock));
        Ok((Self { queue }, opened.updates))
    }

    /// Stores an update and then calls `on_stored`, which is dropped if the update cannot be stored.
    pub fn store(&self, update: TargetUpdate, on_stored: impl FnOnce() + Send + 'static) {
        let pending = Pending { update, on_stored: Box::new(on_stored) };
        if self.queue.try_send(pending).is_err() {
            log::warn!("too many leaving targets wait for the disk, not storing another one");
        }
    }
}

/// Writes the queued updates, all that wait at once, until the queue is closed.
async fn write_updates(mut log: LeavingLog, mut queue: mpsc::Receiver<Pending>, clock: Clock) {
    let mut pending = Vec::new();
    while queue.recv_many(&mut pending, MAX_QUEUED).await > 0 {
        let (updates, on_stored): (Vec<TargetUpdate>, Vec<OnStored>) =
            pending.drain(..).map(|pending| (pending.update, pending.on_stored)).unzip();
        let (unix_ms, now): (u64, Instant) = (clock.unix_ms(), clock.now());
        // A disk write can block for seconds, so it runs outside the async worker threads.
        let written = tokio::task::spawn_blocking(move || {
            let result = log.store(&updates, unix_ms, now);
            (log, result)
        });
        match written.await {
            Ok((returned, result)) => {
                log = returned;
                match result {
                    Ok(()) => on_stored.into_iter().for_each(|on_stored| on_stored()),
                    Err(error) => log::warn!(updates = on_stored.len(),
                        error:% = format!("{error:#}");
                        "failed to store leaving targets, not confirming them"),
                }
            }
            Err(error) => {
                log::error!(error:% = error; "task that stores leaving targets failed");
                return;
            }
        }
    }
}
