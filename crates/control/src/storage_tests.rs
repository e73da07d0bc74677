//! Tests of the data folder on the file system.

use std::path::PathBuf;

use super::*;

fn folder(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("celerygate-{name}-{}", std::process::id()));
    let _ = fs::remove_dir_all(&path);
    path
}

/// Guards against files that are lost on reopening, and against listing the leftover of an
/// interrupted replacement as a file.
#[test]
fn open_folder_round_trip() {
    let path = folder("round-trip");
    let mut storage = open_folder(&path).unwrap();
    (storage.replace)("a", b"one").unwrap();
    (storage.append)("a", b"two").unwrap();
    (storage.sync)("a").unwrap();
    (storage.truncate)("a", 4).unwrap();
    (storage.append)("a", b"!").unwrap();
    (storage.replace)("b", b"x").unwrap();
    (storage.remove)("b").unwrap();
    (storage.remove)("b").unwrap();
    fs::write(path.join("c.new"), b"partial").unwrap();
    drop(storage);
    let mut storage = open_folder(&path).unwrap();
    assert_eq!((storage.list)().unwrap(), ["a"]);
    assert_eq!((storage.read)("a").unwrap().unwrap(), b"onet!");
    assert_eq!((storage.read)("b").unwrap(), None);
    assert!((storage.append)("missing", b"x").is_err());
    fs::remove_dir_all(&path).unwrap();
}

/// Guards against two processes writing to one data folder.
#[test]
fn open_folder_twice() {
    let path = folder("twice");
    let first = open_folder(&path).unwrap();
    assert!(open_folder(&path).is_err());
    drop(first);
    open_folder(&path).unwrap();
    fs::remove_dir_all(&path).unwrap();
}

/// Guards against a control VM that takes another module's subfolder for a file of its log.
#[test]
fn list_excludes_subfolders() {
    let folder = tempfile::tempdir().unwrap();
    std::fs::create_dir(folder.path().join("other")).unwrap();
    let mut storage = open_folder(folder.path()).unwrap();
    (storage.replace)("a", b"1").unwrap();
    assert_eq!((storage.list)().unwrap(), ["a"]);
}
