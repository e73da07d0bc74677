//! Durable files in one data folder, accessed through closures.
//!
//! An error of any write operation is fatal to the process. In particular, a failed sync is never
//! retried: the page cache may have dropped the data and report success the second time.

use std::collections::HashMap;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::Arc;

use parking_lot::Mutex;

pub mod memory;

/// Name of the file that a process locks to keep other processes out of the data folder.
pub const LOCK_FILE: &str = "lock";
/// Suffix of a file that is written before it replaces another one.
pub const REPLACEMENT_SUFFIX: &str = ".new";

type FileOperation<T> = Box<dyn FnMut(&str) -> io::Result<T> + Send>;
type FolderOperation = Box<dyn FnMut() -> io::Result<()> + Send>;
type FileLengthOperation = Box<dyn FnMut(&str, u64) -> io::Result<()> + Send>;
type FileBytesOperation = Box<dyn FnMut(&str, &[u8]) -> io::Result<()> + Send>;

/// Operations on the files of one data folder.
pub struct Storage {
    /// Appends bytes to an existing file. They are durable after the next sync.
    pub append: FileBytesOperation,
    /// Makes the contents of a file durable.
    pub sync: FileOperation<()>,
    /// Makes the contents and the names of all files durable, including changes that an earlier
    /// process left unsynced.
    pub sync_all: FolderOperation,
    /// Returns the contents of a file, `None` when it does not exist.
    pub read: FileOperation<Option<Vec<u8>>>,
    /// Truncates a file to a length, durably.
    pub truncate: FileLengthOperation,
    /// Creates or replaces a file, durably; a crash leaves the old or the new contents.
    pub replace: FileBytesOperation,
    /// Removes a file, durably; a missing file is not an error.
    pub remove: FileOperation<()>,
    /// Returns the names of all files in the folder, sorted.
    pub list: Box<dyn FnMut() -> io::Result<Vec<String>> + Send>,
}

/// An open data folder in the file system.
struct DataFolder {
    path: PathBuf,
    /// Holds the lock of the folder.
    _lock: File,
    /// Files that are open for appending.
    append_handles: HashMap<String, File>,
}

impl DataFolder {
    fn path(&self, name: &str) -> PathBuf {
        self.path.join(name)
    }

    fn append_handle(&mut self, name: &str) -> io::Result<&mut File> {
        if !self.append_handles.contains_key(name) {
            let file = OpenOptions::new().append(true).open(self.path(name))?;
            self.append_handles.insert(name.to_owned(), file);
        }
        self.append_handles.get_mut(name).ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    fn sync_folder(&self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }

    fn sync_all(&self) -> io::Result<()> {
        for name in self.list()? {
            File::open(self.path(&name))?.sync_all()?;
        }
        self.sync_folder()
    }

    fn replace(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.append_handles.remove(name);
        let replacement = self.path(&format!("{name}{REPLACEMENT_SUFFIX}"));
        let mut file = File::create(&replacement)?;
        file.write_all(bytes)?;
        file.sync_all()?;
        fs::rename(&replacement, self.path(name))?;
        self.sync_folder()
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        let file = self.append_handle(name)?;
        file.set_len(length)?;
        file.sync_all()
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.append_handles.remove(name);
        match fs::remove_file(self.path(name)) {
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(()),
            Err(error) => Err(error),
            Ok(()) => self.sync_folder(),
        }
    }

    fn list(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.path)? {
            let entry = entry?;
            // Other modules keep their files in subfolders.
            if entry.file_type()?.is_dir() {
                continue;
            }
            let name = entry.file_name().to_string_lossy().into_owned();
            if name != LOCK_FILE && !name.ends_with(REPLACEMENT_SUFFIX) {
                names.push(name);
            }
        }
        names.sort_unstable();
        Ok(names)
    }
}

/// Opens a data folder in the file system, creating it if needed, and locks it against other
/// processes.
pub fn open_folder(path: &Path) -> io::Result<Storage> {
    fs::create_dir_all(path)?;
    let lock = File::create(path.join(LOCK_FILE))?;
    lock.try_lock().map_err(|error| {
        io::Error::other(format!("lock data folder {}: {error}", path.display()))
    })?;
    if let Some(parent) = path.parent().filter(|parent| !parent.as_os_str().is_empty()) {
        File::open(parent)?.sync_all()?;
    }
    let folder = DataFolder { path: path.to_owned(), _lock: lock, append_handles: HashMap::new() };
    // The closures share the folder; only the owner of the `Storage` calls them.
    let folder = Arc::new(Mutex::new(folder));
    let [append, sync, sync_all, read, truncate, replace, remove, list] =
        std::array::from_fn(|_| Arc::clone(&folder));
    Ok(Storage {
        append: Box::new(move |name, bytes| append.lock().append_handle(name)?.write_all(bytes)),
        sync: Box::new(move |name| sync.lock().append_handle(name)?.sync_data()),
        sync_all: Box::new(move || sync_all.lock().sync_all()),
        read: Box::new(move |name| match fs::read(read.lock().path(name)) {
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
            other => other.map(Some),
        }),
        truncate: Box::new(move |name, length| truncate.lock().truncate(name, length)),
        replace: Box::new(move |name, bytes| replace.lock().replace(name, bytes)),
        remove: Box::new(move |name| remove.lock().remove(name)),
        list: Box::new(move || list.lock().list()),
    })
}

#[cfg(test)]
#[path = "storage_tests.rs"]
mod tests;
