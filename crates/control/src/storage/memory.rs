//! An in-memory data folder for tests, with fault injection.

use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;

use parking_lot::Mutex;

use super::Storage;

/// Unit in which a simulated disk writes; a torn write can lack any sector.
pub const SECTOR_BYTES: usize = 512;

/// Effect of a crash on bytes that were appended but not synced, and on names that were changed
/// without a sync of the folder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TornWrite {
    /// All of them are lost.
    Discard,
    /// A prefix of the bytes remains; its length is the number modulo the unsynced length. Each
    /// changed name is kept or lost according to one bit of the number.
    Prefix(usize),
    /// All bytes remain, except that one sector, selected by the number, reads as zeros. Each
    /// changed name is kept or lost according to one bit of the number.
    ZeroSector(usize),
    /// All of them remain.
    Keep,
}

impl TornWrite {
    /// Returns whether the crash keeps the changed name at this position.
    fn keeps_name(self, position: usize) -> bool {
        match self {
            Self::Discard => false,
            Self::Keep => true,
            Self::Prefix(bits) | Self::ZeroSector(bits) => bits >> (position % 8) & 1 == 1,
        }
    }
}

#[derive(Clone, Debug, Default)]
struct MemoryFile {
    bytes: Vec<u8>,
    /// Length of the synced part, which a crash leaves intact.
    synced_len: usize,
}

#[derive(Debug, Default)]
struct Disk {
    files: BTreeMap<String, MemoryFile>,
    /// The files that a crash can bring back under the names changed since the last sync of the
    /// folder.
    replaced_files: BTreeMap<String, Option<MemoryFile>>,
    /// Number of writes that still succeed before the disk stops.
    writes_left: Option<u64>,
    /// Whether the write at which the disk stops takes effect.
    final_write_takes_effect: bool,
    stopped: bool,
    /// Number of bytes that still fit; without one, there is room.
    room_bytes: Option<usize>,
    fail_next_sync: bool,
    ignore_syncs: bool,
    attempted_writes: u64,
}

/// The files of a simulated disk, which outlive each [`Storage`] that is opened on them.
#[derive(Clone, Debug, Default)]
pub struct MemoryDisk {
    disk: Arc<Mutex<Disk>>,
}

fn disk_stopped_error() -> io::Error {
    io::Error::other("the simulated disk has stopped")
}

impl Disk {
    /// Counts a write; returns false for the write at which the disk stops, and an error after it.
    fn begin_write(&mut self) -> io::Result<bool> {
        if self.stopped {
            return Err(disk_stopped_error());
        }
        self.attempted_writes += 1;
        if let Some(left) = &mut self.writes_left {
            if *left == 0 {
                self.stopped = true;
                return Ok(false);
            }
            *left -= 1;
        }
        Ok(true)
    }

    /// Runs one counted write on the disk.
    fn write(&mut self, change: impl FnOnce(&mut Self) -> io::Result<()>) -> io::Result<()> {
        let succeeds = self.begin_write()?;
        if succeeds || self.final_write_takes_effect {
            change(self)?;
        }
        if succeeds { Ok(()) } else { Err(disk_stopped_error()) }
    }

    /// Takes room for a write of `length` bytes, and returns how many of them fit.
    fn take_room(&mut self, length: usize) -> usize {
        let Some(room) = &mut self.room_bytes else { return length };
        let fitting = length.min(*room);
        *room -= fitting;
        fitting
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let fitting = self.take_room(bytes.len());
        self.write(|disk| {
            disk.file(name)?.bytes.extend_from_slice(&bytes[..fitting]);
            Ok(())
        })?;
        if fitting < bytes.len() { Err(io::ErrorKind::StorageFull.into()) } else { Ok(()) }
    }

    fn replace(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        if self.take_room(bytes.len()) < bytes.len() {
            return Err(io::ErrorKind::StorageFull.into());
        }
        let file = MemoryFile { bytes: bytes.to_vec(), synced_len: bytes.len() };
        self.set_name(name, Some(file))?;
        self.sync_folder()
    }

    fn file(&mut self, name: &str) -> io::Result<&mut MemoryFile> {
        self.files.get_mut(name).ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    /// Changes the file of a name; a crash can undo it until the folder is synced.
    fn set_name(&mut self, name: &str, file: Option<MemoryFile>) -> io::Result<()> {
        self.write(|disk| {
            let before = match file {
                Some(file) => disk.files.insert(name.to_owned(), file),
                None => disk.files.remove(name),
            };
            disk.replaced_files.entry(name.to_owned()).or_insert(before);
            Ok(())
        })
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        self.write(|disk| {
            if !disk.ignore_syncs {
                disk.replaced_files.clear();
            }
            Ok(())
        })
    }

    fn sync_all(&mut self) -> io::Result<()> {
        let names: Vec<String> = self.files.keys().cloned().collect();
        names.iter().try_for_each(|name| self.sync(name))?;
        self.sync_folder()
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        if std::mem::take(&mut self.fail_next_sync) {
            return Err(io::Error::other("the simulated disk has failed a sync"));
        }
        self.write(|disk| {
            let ignore = disk.ignore_syncs;
            let file = disk.file(name)?;
            if !ignore {
                file.synced_len = file.bytes.len();
            }
            Ok(())
        })
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.write(|disk| {
            let file = disk.file(name)?;
            file.bytes.truncate(usize::try_from(length).unwrap_or(usize::MAX));
            file.synced_len = file.bytes.len();
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
        let [append, sync, sync_all, read, truncate, replace, remove, list] =
            std::array::from_fn(|_| Arc::clone(&self.disk));
        Storage {
            append: Box::new(move |name, bytes| append.lock().append(name, bytes)),
            sync: Box::new(move |name| sync.lock().sync(name)),
            sync_all: Box::new(move || sync_all.lock().sync_all()),
            read: Box::new(move |name| {
                Ok(read.lock().files.get(name).map(|file| file.bytes.clone()))
            }),
            truncate: Box::new(move |name, length| truncate.lock().truncate(name, length)),
            replace: Box::new(move |name, bytes| replace.lock().replace(name, bytes)),
            remove: Box::new(move |name| {
                let mut disk = remove.lock();
                disk.set_name(name, None)?;
                disk.sync_folder()
            }),
            list: Box::new(move || Ok(list.lock().files.keys().cloned().collect())),
        }
    }

    /// Stops the disk after `writes_before` more writes: the next write and all later ones fail.
    /// `takes_effect` says whether that next write changes the disk although it fails.
    pub fn stop_at_write(&self, writes_before: u64, takes_effect: bool) {
        let mut disk = self.disk.lock();
        disk.writes_left = Some(writes_before);
        disk.final_write_takes_effect = takes_effect;
    }

    /// Fills the disk, so that it takes only `room_bytes` more, also after the end of a process.
    pub fn fill(&self, room_bytes: usize) {
        self.disk.lock().room_bytes = Some(room_bytes);
    }

    /// Makes room on a full disk.
    pub fn make_room(&self) {
        self.disk.lock().room_bytes = None;
    }

    /// Makes the next sync fail.
    pub fn fail_next_sync(&self) {
        self.disk.lock().fail_next_sync = true;
    }

    /// Makes syncs succeed without effect, like a disk with a volatile write cache.
    pub fn ignore_syncs(&self) {
        self.disk.lock().ignore_syncs = true;
    }

    /// Returns the number of attempted writes.
    pub fn attempted_writes(&self) -> u64 {
        self.disk.lock().attempted_writes
    }

    /// Simulates the end of the process: files remain as they are, unsynced changes stay unsynced,
    /// and the disk works again.
    pub fn end_process(&self) {
        let mut disk = self.disk.lock();
        disk.stopped = false;
        disk.writes_left = None;
        disk.fail_next_sync = false;
    }

    /// Simulates a loss of power: tears unsynced writes and undoes unsynced changes of names, then
    /// lets the disk work again.
    pub fn crash(&self, torn_write: TornWrite) {
        self.end_process();
        let mut disk = self.disk.lock();
        let replaced_files = std::mem::take(&mut disk.replaced_files);
        for (position, (name, before)) in replaced_files.into_iter().enumerate() {
            match before {
                _ if torn_write.keeps_name(position) => {}
                Some(file) => drop(disk.files.insert(name, file)),
                None => drop(disk.files.remove(&name)),
            }
        }
        for file in disk.files.values_mut() {
            let unsynced = file.bytes.len() - file.synced_len;
            match torn_write {
                _ if unsynced == 0 => {}
                TornWrite::Discard => file.bytes.truncate(file.synced_len),
                TornWrite::Prefix(seed) => file.bytes.truncate(file.synced_len + seed % unsynced),
                TornWrite::ZeroSector(seed) => {
                    let first = file.synced_len / SECTOR_BYTES;
                    let sectors = (file.bytes.len() - 1) / SECTOR_BYTES - first + 1;
                    let start = (first + seed % sectors) * SECTOR_BYTES;
                    let end = (start + SECTOR_BYTES).min(file.bytes.len());
                    file.bytes[start.max(file.synced_len)..end].fill(0);
                }
                TornWrite::Keep => {}
            }
            file.synced_len = file.bytes.len();
        }
    }

    /// Changes the bytes of a file to simulate corruption.
    pub fn corrupt(&self, name: &str, change: impl FnOnce(&mut Vec<u8>)) {
        if let Some(file) = self.disk.lock().files.get_mut(name) {
            change(&mut file.bytes);
            file.synced_len = file.bytes.len();
        }
    }

    /// Returns the names of the files.
    pub fn file_names(&self) -> Vec<String> {
        self.disk.lock().files.keys().cloned().collect()
    }
}
