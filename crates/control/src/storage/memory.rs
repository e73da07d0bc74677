//! A data folder in memory for tests, with injected faults.

use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;

use parking_lot::Mutex;

use super::Storage;

/// Unit in which a simulated disk writes; a torn write can lack any of them.
pub const SECTOR_BYTES: usize = 512;

/// What a crash leaves of bytes that were appended but not synced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TornWrite {
    /// Nothing.
    Discard,
    /// A first part, chosen by this number.
    Prefix(usize),
    /// The full length, with one sector of zeros chosen by this number.
    ZeroSector(usize),
    /// Everything.
    Keep,
}

#[derive(Clone, Debug, Default)]
struct MemoryFile {
    bytes: Vec<u8>,
    /// Length that a crash cannot touch.
    synced: usize,
}

#[derive(Debug, Default)]
struct Disk {
    files: BTreeMap<String, MemoryFile>,
    /// Writes that still succeed before the disk stops.
    writes_left: Option<u64>,
    /// Whether the operation at which the disk stops takes effect.
    last_write_counts: bool,
    stopped: bool,
    fail_next_sync: bool,
    ignore_syncs: bool,
    writes: u64,
}

/// The files of a simulated disk; they outlive the [`Storage`]s that are opened on them.
#[derive(Clone, Debug, Default)]
pub struct MemoryDisk {
    disk: Arc<Mutex<Disk>>,
}

fn stopped() -> io::Error {
    io::Error::other("the simulated disk has stopped")
}

impl Disk {
    /// Counts a write; returns whether it takes effect and whether it succeeds.
    fn begin_write(&mut self) -> io::Result<bool> {
        if self.stopped {
            return Err(stopped());
        }
        self.writes += 1;
        if let Some(left) = &mut self.writes_left {
            if *left == 0 {
                self.stopped = true;
                return Ok(false);
            }
            *left -= 1;
        }
        Ok(true)
    }

    /// Runs a change that is durable at once.
    fn write(&mut self, change: impl FnOnce(&mut Self) -> io::Result<()>) -> io::Result<()> {
        let succeeds = self.begin_write()?;
        if succeeds || self.last_write_counts {
            change(self)?;
        }
        if succeeds { Ok(()) } else { Err(stopped()) }
    }

    fn file(&mut self, name: &str) -> io::Result<&mut MemoryFile> {
        self.files.get_mut(name).ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        if std::mem::take(&mut self.fail_next_sync) {
            return Err(io::Error::other("the simulated disk has failed a sync"));
        }
        self.write(|disk| {
            let ignore = disk.ignore_syncs;
            let file = disk.file(name)?;
            if !ignore {
                file.synced = file.bytes.len();
            }
            Ok(())
        })
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.write(|disk| {
            let file = disk.file(name)?;
            file.bytes.truncate(usize::try_from(length).unwrap_or(usize::MAX));
            file.synced = file.bytes.len();
            Ok(())
        })
    }
}

impl MemoryDisk {
    /// Returns an empty disk.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the operations on this disk.
    pub fn storage(&self) -> Storage {
        let [append, sync, read, truncate, replace, remove, list] =
            std::array::from_fn(|_| Arc::clone(&self.disk));
        Storage {
            append: Box::new(move |name, bytes| {
                append.lock().write(|disk| {
                    disk.file(name)?.bytes.extend_from_slice(bytes);
                    Ok(())
                })
            }),
            sync: Box::new(move |name| sync.lock().sync(name)),
            read: Box::new(move |name| {
                Ok(read.lock().files.get(name).map(|file| file.bytes.clone()))
            }),
            truncate: Box::new(move |name, length| truncate.lock().truncate(name, length)),
            replace: Box::new(move |name, bytes| {
                let file = MemoryFile { bytes: bytes.to_vec(), synced: bytes.len() };
                replace.lock().write(|disk| {
                    disk.files.insert(name.to_owned(), file);
                    Ok(())
                })
            }),
            remove: Box::new(move |name| {
                remove.lock().write(|disk| {
                    disk.files.remove(name);
                    Ok(())
                })
            }),
            list: Box::new(move || Ok(list.lock().files.keys().cloned().collect())),
        }
    }

    /// Stops the disk at a write: all earlier ones succeed, this and all later ones fail. The
    /// write itself takes effect or not.
    pub fn stop_at_write(&self, writes_before: u64, takes_effect: bool) {
        let mut disk = self.disk.lock();
        disk.writes_left = Some(writes_before);
        disk.last_write_counts = takes_effect;
    }

    /// Makes the next sync fail.
    pub fn fail_next_sync(&self) {
        self.disk.lock().fail_next_sync = true;
    }

    /// Makes syncs succeed without effect, as a disk with a volatile cache does.
    pub fn ignore_syncs(&self) {
        self.disk.lock().ignore_syncs = true;
    }

    /// Returns how many writes were attempted.
    pub fn writes(&self) -> u64 {
        self.disk.lock().writes
    }

    /// Loses what was not synced and lets the disk work again.
    pub fn crash(&self, tear: TornWrite) {
        let mut disk = self.disk.lock();
        disk.stopped = false;
        disk.writes_left = None;
        disk.fail_next_sync = false;
        for file in disk.files.values_mut() {
            let unsynced = file.bytes.len() - file.synced;
            match tear {
                _ if unsynced == 0 => {}
                TornWrite::Discard => file.bytes.truncate(file.synced),
                TornWrite::Prefix(number) => file.bytes.truncate(file.synced + number % unsynced),
                TornWrite::ZeroSector(number) => {
                    let first = file.synced / SECTOR_BYTES;
                    let sectors = (file.bytes.len() - 1) / SECTOR_BYTES - first + 1;
                    let start = (first + number % sectors) * SECTOR_BYTES;
                    let end = (start + SECTOR_BYTES).min(file.bytes.len());
                    file.bytes[start.max(file.synced)..end].fill(0);
                }
                TornWrite::Keep => {}
            }
            file.synced = file.bytes.len();
        }
    }

    /// Changes the bytes of a file, as damage does.
    pub fn corrupt(&self, name: &str, change: impl FnOnce(&mut Vec<u8>)) {
        if let Some(file) = self.disk.lock().files.get_mut(name) {
            change(&mut file.bytes);
            file.synced = file.bytes.len();
        }
    }

    /// Returns the names of the files.
    pub fn file_names(&self) -> Vec<String> {
        self.disk.lock().files.keys().cloned().collect()
    }
}
