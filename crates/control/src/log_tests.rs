//! Tests of the log on disk: lost, reverted and invented entries.

use celerygate_types::wire::Command;

use super::frame::{Frames, decode, encode};
use super::*;
use crate::storage::memory::{MemoryDisk, TornWrite};

const SMALL_SEGMENT_BYTES: u64 = 120;

fn vm() -> VmId {
    "vm-1".parse().unwrap()
}

fn entry(index: u64, term: u64) -> LogEntry {
    LogEntry { command: Command::Noop(Term(term)), index: LogIndex(index), term: Term(term) }
}

fn entries(range: std::ops::RangeInclusive<u64>, term: u64) -> Vec<LogEntry> {
    range.map(|index| entry(index, term)).collect()
}

fn open(disk: &MemoryDisk) -> Result<OpenedLog> {
    Log::open_with_segment_bytes(disk.storage(), &vm(), 17, SMALL_SEGMENT_BYTES)
}

fn stored_entries(disk: &MemoryDisk) -> Vec<(u64, u64)> {
    let tail = open(disk).unwrap().tail;
    tail.between(tail.base(), tail.last_index()).map(|e| (e.index.0, e.term.0)).collect()
}

fn snapshot(index: u64, term: u64) -> SnapshotRecord {
    let configuration = crate::state::empty_configuration();
    SnapshotRecord { configuration, last_index: LogIndex(index), last_term: Term(term) }
}

fn last_segment(disk: &MemoryDisk) -> String {
    disk.file_names().into_iter().rfind(|name| name.starts_with(SEGMENT_PREFIX)).unwrap()
}

/// Guards against entries that are lost or out of order across segments and a restart.
#[test]
fn append_several_segments() {
    let disk = MemoryDisk::new();
    let mut log = open(&disk).unwrap().log;
    (1..=40).for_each(|index| log.append(&[entry(index, 1)]).unwrap());
    assert!(disk.file_names().len() > 5, "{:?}", disk.file_names());
    assert_eq!(stored_entries(&disk), (1..=40).map(|index| (index, 1)).collect::<Vec<_>>());
}

/// Guards against replaced entries that reappear after a restart, also when compaction has removed
/// the segment that held the first of them.
#[test]
fn append_replaces_conflicting() {
    let disk = MemoryDisk::new();
    let mut log = open(&disk).unwrap().log;
    (1..=12).for_each(|index| log.append(&[entry(index, 1)]).unwrap());
    log.append(&entries(4..=5, 2)).unwrap();
    assert_eq!(stored_entries(&disk), [(1, 1), (2, 1), (3, 1), (4, 2), (5, 2)]);
    (6..=30).for_each(|index| log.append(&[entry(index, 2)]).unwrap());
    log.store_snapshot(&snapshot(14, 2)).unwrap();
    assert_eq!(stored_entries(&disk), (15..=30).map(|index| (index, 2)).collect::<Vec<_>>());
}

/// Guards against an interrupted write that makes the log unreadable or is read as an entry.
#[test]
fn open_torn_tail() {
    let torn_writes =
        (0..60).map(TornWrite::Prefix).chain([TornWrite::Discard, TornWrite::ZeroSector(0)]);
    for torn_write in torn_writes {
        let disk = MemoryDisk::new();
        let mut log = open(&disk).unwrap().log;
        log.append(&entries(1..=3, 1)).unwrap();
        disk.stop_at_write(1, false);
        log.append(&entries(4..=9, 1)).unwrap_err();
        disk.crash(torn_write);
        assert_eq!(stored_entries(&disk), [(1, 1), (2, 1), (3, 1)], "{torn_write:?}");
        open(&disk).unwrap().log.append(&[entry(4, 2)]).unwrap();
        assert_eq!(stored_entries(&disk), [(1, 1), (2, 1), (3, 1), (4, 2)], "{torn_write:?}");
    }
}

/// Guards against acknowledging entries that an ended process has written but not synced, which a
/// later loss of power takes away.
#[test]
fn open_unsynced_entries() {
    let disk = MemoryDisk::new();
    let mut log = open(&disk).unwrap().log;
    log.append(&[entry(1, 1)]).unwrap();
    disk.stop_at_write(1, false);
    log.append(&entries(2..=3, 1)).unwrap_err();
    disk.end_process();
    let reopened = stored_entries(&disk);
    disk.crash(TornWrite::Discard);
    assert_eq!(stored_entries(&disk), reopened);
}

/// Guards against a new segment, snapshot or vote whose name a loss of power takes away after the
/// restarted process has relied on it.
#[test]
fn open_unsynced_names() {
    for write in 0..8 {
        let disk = MemoryDisk::new();
        let mut log = open(&disk).unwrap().log;
        (1..=6).for_each(|index| log.append(&[entry(index, 1)]).unwrap());
        disk.stop_at_write(write, true);
        let vote = VoteRecord { term: Term(7), voted_for: None };
        let _ = log.store_vote(&vote);
        let _ = log.install_snapshot(&snapshot(9, 2));
        disk.end_process();
        let mut reopened = open(&disk).unwrap();
        let next = reopened.log.last_index().0 + 1;
        reopened.log.append(&[entry(next, 7)]).unwrap();
        let snapshot_index = reopened.log.snapshot_index();
        disk.crash(TornWrite::Discard);
        let after = open(&disk).unwrap();
        assert_eq!(after.vote, reopened.vote, "write {write}");
        assert_eq!(after.log.snapshot_index(), snapshot_index, "write {write}");
        assert_eq!(after.log.last_index(), LogIndex(next), "write {write}");
    }
}

/// Guards against losing entries that a restarted process has acknowledged when the write of the
/// next batch is interrupted.
#[test]
fn open_unsynced_batch_then_another() {
    let disk = MemoryDisk::new();
    let mut log = open(&disk).unwrap().log;
    log.append(&[entry(1, 1)]).unwrap();
    disk.stop_at_write(1, false);
    log.append(&[entry(2, 1)]).unwrap_err();
    disk.end_process();
    let mut log = open(&disk).unwrap().log;
    disk.stop_at_write(1, false);
    log.append(&[entry(3, 1)]).unwrap_err();
    disk.crash(TornWrite::Prefix(7));
    assert_eq!(stored_entries(&disk), [(1, 1), (2, 1)]);
}

/// Guards against dropping acknowledged entries because damage is taken for a torn last write.
#[test]
fn open_damaged() {
    let write = |disk: &MemoryDisk| {
        let mut log = open(disk).unwrap().log;
        (1..=3).for_each(|index| log.append(&[entry(index, 1)]).unwrap());
    };
    let disk = MemoryDisk::new();
    write(&disk);
    let name = last_segment(&disk);
    let length = (disk.storage().read)(&name).unwrap().unwrap().len();
    for position in 0..length {
        let disk = MemoryDisk::new();
        write(&disk);
        disk.corrupt(&name, |bytes| bytes[position] ^= 0x55);
        assert!(open(&disk).is_err(), "damage at byte {position} of {length} was not detected");
    }
    disk.corrupt(&name, |bytes| bytes.truncate(length / 2));
    let mut log = open(&disk).unwrap().log;
    (2..=30).for_each(|index| log.append(&[entry(index, 1)]).unwrap());
    let middle = disk.file_names().into_iter().find(|name| name.ends_with('3')).unwrap();
    (disk.storage().remove)(&middle).unwrap();
    assert!(open(&disk).is_err(), "a missing segment was not detected");
}

/// Guards against retrying a failed sync, which can report success for data that the page cache
/// has dropped.
#[test]
fn append_failed_sync() {
    let disk = MemoryDisk::new();
    let mut log = open(&disk).unwrap().log;
    log.append(&[entry(1, 1)]).unwrap();
    disk.fail_next_sync();
    log.append(&[entry(2, 1)]).unwrap_err();
    let writes = disk.attempted_writes();
    log.append(&[entry(2, 1)]).unwrap_err();
    log.store_vote(&VoteRecord { term: Term(1), voted_for: None }).unwrap_err();
    assert_eq!(disk.attempted_writes(), writes, "the disk was used after a failed sync");
}

/// Guards against combining a snapshot with conflicting older entries when a crash interrupts its
/// installation.
#[test]
fn install_snapshot_interrupted() {
    for writes in 0..6 {
        for takes_effect in [false, true] {
            let disk = MemoryDisk::new();
            let mut log = open(&disk).unwrap().log;
            (1..=20).for_each(|index| log.append(&[entry(index, 1)]).unwrap());
            disk.stop_at_write(writes, takes_effect);
            let _ = log.install_snapshot(&snapshot(15, 3));
            disk.crash(TornWrite::Discard);
            let OpenedLog { mut log, snapshot, tail, .. } = open(&disk).unwrap();
            let expected = if snapshot.is_some() { 15 } else { 20 };
            assert_eq!(tail.last_index().0, expected, "{writes} {takes_effect}");
            log.append(&[entry(expected + 1, 4)]).unwrap();
            assert_eq!(stored_entries(&disk).last(), Some(&(expected + 1, 4)));
        }
    }
}

/// Guards against voting twice in a term after a restart, and against accepting a data folder that
/// belongs to another VM or lacks files.
#[test]
fn open_identity_and_vote() {
    let disk = MemoryDisk::new();
    let vote = VoteRecord { term: Term(7), voted_for: Some(vm()) };
    let mut contents = open(&disk).unwrap();
    contents.log.store_vote(&vote).unwrap();
    contents.log.append(&[entry(1, 7)]).unwrap();
    disk.crash(TornWrite::Discard);
    let again = Log::open(disk.storage(), &vm(), 99).unwrap();
    assert_eq!((again.vote, again.log.store_id()), (vote, 17));
    let other = Log::open(disk.storage(), &"vm-2".parse().unwrap(), 99);
    assert!(other.is_err(), "the folder of another VM was accepted");
    for name in [IDENTITY_FILE, VOTE_FILE] {
        let bytes = (disk.storage().read)(name).unwrap().unwrap();
        (disk.storage().remove)(name).unwrap();
        assert!(open(&disk).is_err(), "a missing {name} was not detected");
        (disk.storage().replace)(name, &bytes).unwrap();
    }
}

/// Guards against reading an incomplete frame as valid.
#[test]
fn decode_any_prefix() {
    let first = encode(&"first").unwrap();
    let both = [first.clone(), encode(&"second").unwrap()].concat();
    for length in first.len() + 1..both.len() {
        let frames: Frames<String> = decode(&both[..length], true).unwrap();
        assert_eq!(
            (frames.payloads.len(), frames.valid_bytes, frames.is_torn),
            (1, first.len(), true)
        );
        assert!(decode::<String>(&both[..length], false).is_err());
    }
}
