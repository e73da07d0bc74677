//! The files in which a control VM stores that targets leave, before it confirms it.
//!
//! Each file holds frames of [`StoredTargetUpdates`]. One frame is appended and synced at a time. After
//! a failed write the next one goes to a new file, because the end of the old one is unknown. Files are
//! removed once everything in them has expired.

use std::collections::HashSet;
use std::time::{Duration, Instant};

use anyhow::{Context, Result};
use celerygate_types::TargetId;
use celerygate_types::wire::{InstanceState, StoredTargetUpdates, TargetUpdate};

use crate::log::frame;
use crate::storage::Storage;

const FILE_PREFIX: &str = "targets-";
/// Wall-clock age from which stored updates are ignored when the files are opened. Longer than the time
/// for which they matter, since the wall clock can have been changed by minutes.
const MAX_AGE: Duration = Duration::from_secs(10 * 60);

/// A statement that a target leaves.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Statement {
    target: TargetId,
    /// Latest start time of the processes that it concerns.
    born_max_unix_ms: u64,
    state: InstanceState,
}

fn statements(update: &TargetUpdate) -> impl Iterator<Item = Statement> {
    let records = update.records.iter().map(|record| Statement {
        target: record.instance.clone(),
        born_max_unix_ms: record.born_unix_ms,
        state: record.state,
    });
    let departures = update.departures.iter().map(|departure| Statement {
        target: departure.instance.clone(),
        born_max_unix_ms: departure.born_max_unix_ms,
        state: InstanceState::Gone,
    });
    records.chain(departures)
}

/// A file of an earlier time, which is only read.
#[derive(Debug)]
struct ClosedFile {
    number: u64,
    last_write_at: Instant,
}

/// The file that is written.
#[derive(Debug)]
struct OpenFile {
    number: u64,
    created_at: Instant,
    last_write_at: Instant,
    stored: HashSet<Statement>,
}

/// Where the next frame goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NextWrite {
    /// To the end of the open file.
    Append(u64),
    /// To a new file.
    NewFile(u64),
}

/// The open files.
pub struct LeavingLog {
    storage: Storage,
    retention: Duration,
    closed: Vec<ClosedFile>,
    /// The file that is written, none before the first write and after a failed one.
    open: Option<OpenFile>,
    next_number: u64,
}

/// The opened files and the updates in them.
pub struct OpenedLeavingLog {
    /// The files.
    pub log: LeavingLog,
    /// The stored updates that have not expired, oldest first.
    pub updates: Vec<TargetUpdate>,
}

fn file_name(number: u64) -> String {
    format!("{FILE_PREFIX}{number:016x}")
}

fn file_number(name: &str) -> Option<u64> {
    u64::from_str_radix(name.strip_prefix(FILE_PREFIX)?, 16).ok()
}

impl LeavingLog {
    /// Opens the files. Updates are kept for at least `retention` after they were stored.
    ///
    /// # Errors
    ///
    /// When a file cannot be read, or is damaged before its end.
    pub fn open(
        mut storage: Storage,
        retention: Duration,
        now_unix_ms: u64,
        now: Instant,
    ) -> Result<OpenedLeavingLog> {
        // An ended process can have left updates unsynced; they count as stored from here on.
        (storage.sync_all)().context("sync the leaving targets")?;
        let names = (storage.list)().context("list the files of leaving targets")?;
        let numbers: Vec<u64> = names.iter().filter_map(|name| file_number(name)).collect();
        let mut updates = Vec::new();
        for number in &numbers {
            let name = file_name(*number);
            let bytes = (storage.read)(&name).context("read leaving targets")?.unwrap_or_default();
            // A failed write can have left a part of a frame in any of the files.
            let frames = frame::decode::<StoredTargetUpdates>(&bytes, true)
                .with_context(|| format!("decode {name}"))?;
            if frames.is_torn {
                log::warn!(file = name.as_str(), bytes = bytes.len() - frames.valid_bytes;
                    "torn record of leaving targets dropped");
            }
            let is_recent = |stored: &StoredTargetUpdates| {
                now_unix_ms.saturating_sub(stored.written_unix_ms) < MAX_AGE.as_millis() as u64
            };
            let recent = frames.payloads.into_iter().filter(is_recent);
            updates.extend(recent.flat_map(|stored| stored.updates));
        }
        let next_number = numbers.last().map_or(0, |number| number + 1);
        let closed = numbers.into_iter().map(|number| ClosedFile { number, last_write_at: now });
        let closed = closed.collect();
        let log = Self { storage, retention, closed, open: None, next_number };
        Ok(OpenedLeavingLog { log, updates })
    }

    /// Stores updates, unless the open file has all that they state.
    ///
    /// # Errors
    ///
    /// When the disk fails or is full. The updates may or may not be stored then.
    pub fn store(
        &mut self,
        updates: &[TargetUpdate],
        now_unix_ms: u64,
        now: Instant,
    ) -> Result<()> {
        let next = self.next_write(now);
        let new: HashSet<Statement> = updates.iter().flat_map(statements).collect();
        if let (NextWrite::Append(_), Some(open)) = (next, &self.open)
            && new.is_subset(&open.stored)
        {
            return Ok(());
        }
        let stored =
            StoredTargetUpdates { written_unix_ms: now_unix_ms, updates: updates.to_vec() };
        let bytes = frame::encode(&stored)?;
        if let Err(error) = self.write(next, &bytes, now) {
            self.close_file();
            return Err(error);
        }
        if let Some(open) = &mut self.open {
            open.last_write_at = now;
            open.stored.extend(new);
        }
        Ok(())
    }

    fn next_write(&self, now: Instant) -> NextWrite {
        match &self.open {
            Some(open) if now.saturating_duration_since(open.created_at) < self.retention => {
                NextWrite::Append(open.number)
            }
            _ => NextWrite::NewFile(self.next_number),
        }
    }

    fn write(&mut self, next: NextWrite, bytes: &[u8], now: Instant) -> Result<()> {
        match next {
            NextWrite::Append(number) => {
                let name = file_name(number);
                (self.storage.append)(&name, bytes).context("write leaving targets")?;
                (self.storage.sync)(&name).context("sync leaving targets")
            }
            NextWrite::NewFile(number) => {
                self.close_file();
                // A failed write can leave the file behind, so that its number is not used again.
                self.next_number = number + 1;
                (self.storage.replace)(&file_name(number), bytes)
                    .context("create a file of leaving targets")?;
                let stored = HashSet::new();
                self.open = Some(OpenFile { number, created_at: now, last_write_at: now, stored });
                self.remove_expired(now);
                Ok(())
            }
        }
    }

    fn close_file(&mut self) {
        let closed = self
            .open
            .take()
            .map(|OpenFile { number, last_write_at, .. }| ClosedFile { number, last_write_at });
        self.closed.extend(closed);
    }

    fn remove_expired(&mut self, now: Instant) {
        let (retention, remove) = (self.retention, &mut self.storage.remove);
        self.closed.retain(|file| {
            if now.saturating_duration_since(file.last_write_at) < retention {
                return true;
            }
            let name = file_name(file.number);
            let removed = remove(&name);
            if let Err(error) = &removed {
                log::warn!(file = name.as_str(), error:% = error;
                    "failed to remove a file of expired leaving targets");
            }
            removed.is_err()
        });
    }
}

#[cfg(test)]
#[path = "leaving_log_tests.rs"]
mod tests;
