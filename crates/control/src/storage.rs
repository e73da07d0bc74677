//! Durable files under one data folder, passed in as closures.
//!
//! An error of any operation that writes is fatal to the process. In particular a failed sync is
//! never retried: the page cache may have dropped the data and report success the second time.

use std::collections::HashMap;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::Arc;

use parking_lot::Mutex;

pub mod memory;

/// Name of the file whose lock keeps a second process out of the data folder.
pub const LOCK_FILE: &str = "lock";
/// Ending of a file that is written before it replaces another one.
pub const REPLACEMENT_SUFFIX: &str = ".new";

type Named<T> = Box<dyn FnMut(&str) -> io::Result<T> + Send>;
type NamedLength = Box<dyn FnMut(&str, u64) -> io::Result<()> + Send>;
type NamedBytes = Box<dyn FnMut(&str, &[u8]) -> io::Result<()> + Send>;

/// Operations on the files of one data folder.
pub struct Storage {
    /// Adds bytes at the end of an existing file. They are durable after the next sync.
    pub append: NamedBytes,
    /// Makes the contents of a file durable.
    pub sync: Named<()>,
    /// Returns the contents of a file, `None` when it does not exist.
    pub read: Named<Option<Vec<u8>>>,
    /// Cuts a file to a length, durably.
    pub truncate: NamedLength,
    /// Creates or replaces a file, durably; a crash leaves the old or the new contents.
    pub replace: NamedBytes,
    /// Removes a file, durably; a missing file is no error.
    pub remove: Named<()>,
    /// Returns the names of all files, sorted.
    pub list: Box<dyn FnMut() -> io::Result<Vec<String>> + Send>,
}

/// An open data folder of the file system.
struct Folder {
    path: PathBuf,
    /// Keeps the folder locked.
    _lock: File,
    /// Files that are open for appending.
    open: HashMap<String, File>,
}

impl Folder {
    fn path(&self, name: &str) -> PathBuf {
        self.path.join(name)
    }

    fn opened(&mut self, name: &str) -> io::Result<&mut File> {
        if !self.open.contains_key(name) {
            let file = OpenOptions::new().append(true).open(self.path(name))?;
            self.open.insert(name.to_owned(), file);
        }
        self.open.get_mut(name).ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    fn sync_folder(&self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }

    fn replace(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.open.remove(name);
        let replacement = self.path(&format!("{name}{REPLACEMENT_SUFFIX}"));
        let mut file = File::create(&replacement)?;
        file.write_all(bytes)?;
        file.sync_all()?;
        fs::rename(&replacement, self.path(name))?;
        self.sync_folder()
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        let file = self.opened(name)?;
        file.set_len(length)?;
        file.sync_all()
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.open.remove(name);
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
            // Other parts keep their files in folders of their own.
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

/// Opens a data folder of the file system, creating it if needed, and locks it against other
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
    let folder = Folder { path: path.to_owned(), _lock: lock, open: HashMap::new() };
    // The closures share the folder; all of them are called by the one owner of the `Storage`.
    let folder = Arc::new(Mutex::new(folder));
    let [append, sync, read, truncate, replace, remove, list] =
        std::array::from_fn(|_| Arc::clone(&folder));
    Ok(Storage {
        append: Box::new(move |name, bytes| append.lock().opened(name)?.write_all(bytes)),
        sync: Box::new(move |name| sync.lock().opened(name)?.sync_data()),
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
