//! The replicated log on disk: segments, snapshots and compaction.
//!
//! Files of a data folder:
//!
//! - `identity`: the id of the VM and the random store id of the folder.
//! - `vote`: term and vote, replaced atomically.
//! - `snapshot`: the latest snapshot, replaced atomically.
//! - `segment-N`: frames. The first frame is a `SegmentHeader`, every other frame a batch of
//!   entries. A batch whose first index is not above the last stored one replaces the entries from
//!   that index on, so that conflicting entries are discarded and replaced in one write.

use std::io;

use anyhow::{Context, Result, bail, ensure};
use celerygate_types::wire::{LogEntry, SnapshotRecord, VoteRecord};
use celerygate_types::{LogIndex, Term, VmId};
use serde::{Deserialize, Serialize};

use crate::replica::Tail;
use crate::storage::Storage;

pub mod frame;

pub use frame::payload_bytes;

const FORMAT_VERSION: u16 = 1;
const IDENTITY_FILE: &str = "identity";
const VOTE_FILE: &str = "vote";
const SNAPSHOT_FILE: &str = "snapshot";
const SEGMENT_PREFIX: &str = "segment-";
/// Size above which a new segment is started. Compaction removes whole segments; at a few hundred
/// bytes for each command, a segment holds one to two days of changes at target size.
pub const SEGMENT_BYTES: u64 = 1024 * 1024;

/// The VM that a data folder belongs to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Identity {
    version: u16,
    vm: VmId,
    store_id: u64,
}

/// The first frame of a segment.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct SegmentHeader {
    version: u16,
    number: u64,
    /// Index of the entry before the first one.
    base_index: LogIndex,
    base_term: Term,
    /// Whether all earlier segments are obsolete because a snapshot has replaced the log.
    is_reset: bool,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
enum Record {
    Header(SegmentHeader),
    Batch(Vec<LogEntry>),
}

/// A segment on disk.
#[derive(Clone, Debug)]
struct Segment {
    number: u64,
    bytes: u64,
    /// Highest index in this segment and the earlier ones.
    last_index: LogIndex,
}

/// The durable consensus state in one data folder.
pub struct Log {
    storage: Storage,
    store_id: u64,
    segments: Vec<Segment>,
    last_index: LogIndex,
    last_term: Term,
    snapshot_index: LogIndex,
    segment_bytes: u64,
    has_failed: bool,
}

/// The log and the other contents of a data folder, as read when it was opened.
pub struct OpenedLog {
    /// The log, ready for writing.
    pub log: Log,
    /// Term and vote.
    pub vote: VoteRecord,
    /// The latest snapshot.
    pub snapshot: Option<SnapshotRecord>,
    /// The entries after the snapshot.
    pub tail: Tail,
}

fn segment_name(number: u64) -> String {
    format!("{SEGMENT_PREFIX}{number:016}")
}

fn segment_number(name: &str) -> Option<u64> {
    name.strip_prefix(SEGMENT_PREFIX)?.parse().ok()
}

impl Log {
    /// Opens a data folder and reads everything in it.
    ///
    /// An empty folder gets the store id `new_store_id`, which must be random.
    pub fn open(storage: Storage, vm: &VmId, new_store_id: u64) -> Result<OpenedLog> {
        Self::open_with_segment_bytes(storage, vm, new_store_id, SEGMENT_BYTES)
    }

    /// Opens a data folder like [`Self::open`], with the given segment size.
    pub fn open_with_segment_bytes(
        mut storage: Storage,
        vm: &VmId,
        new_store_id: u64,
        segment_bytes: u64,
    ) -> Result<OpenedLog> {
        // What an ended process or an earlier opening left unsynced is read below and acknowledged
        // as stored.
        (storage.sync_all)().context("sync the data folder")?;
        let names = (storage.list)().context("list the data folder")?;
        let identity = open_identity(&mut storage, &names, vm, new_store_id)?;
        let numbers: Vec<u64> = names.iter().filter_map(|name| segment_number(name)).collect();
        let vote = open_vote(&mut storage, !numbers.is_empty())?;
        let snapshot = read_snapshot(&mut storage)?;
        let position = snapshot
            .as_ref()
            .map_or((LogIndex::ZERO, Term::ZERO), |record| (record.last_index, record.last_term));
        let mut log = Self {
            storage,
            store_id: identity.store_id,
            segments: Vec::new(),
            last_index: position.0,
            last_term: position.1,
            snapshot_index: position.0,
            segment_bytes,
            has_failed: false,
        };
        let stored = log.read_segments(&numbers)?;
        let tail = log.reconcile_with_snapshot(stored, position)?;
        Ok(OpenedLog { log, vote, snapshot, tail })
    }

    /// Returns the random store id of the data folder.
    pub fn store_id(&self) -> u64 {
        self.store_id
    }

    /// Returns the index of the last stored entry.
    pub fn last_index(&self) -> LogIndex {
        self.last_index
    }

    /// Returns the last index that the stored snapshot covers, or 0 if there is none.
    pub fn snapshot_index(&self) -> LogIndex {
        self.snapshot_index
    }

    /// Stores term and vote durably.
    pub fn store_vote(&mut self, vote: &VoteRecord) -> Result<()> {
        let bytes = frame::encode(vote)?;
        self.write("store the vote", |storage| (storage.replace)(VOTE_FILE, &bytes))
    }

    /// Appends consecutive entries and syncs them. They replace all stored entries from the index
    /// of the first one on.
    pub fn append(&mut self, entries: &[LogEntry]) -> Result<()> {
        let (Some(first), Some(last)) = (entries.first(), entries.last()) else { return Ok(()) };
        ensure!(
            first.index > self.snapshot_index && first.index.0 <= self.last_index.0 + 1,
            "entries from {} do not continue the log at {}",
            first.index,
            self.last_index
        );
        if self.segments.last().is_none_or(|segment| segment.bytes >= self.segment_bytes) {
            self.start_segment(self.last_index, self.last_term, false)?;
        }
        let bytes = frame::encode(&Record::Batch(entries.to_vec()))?;
        let segment = self.segments.last_mut().context("no segment is open")?;
        segment.bytes += bytes.len() as u64;
        segment.last_index = segment.last_index.max(last.index);
        let name = segment_name(segment.number);
        self.write("append entries", |storage| (storage.append)(&name, &bytes))?;
        self.write("sync entries", |storage| (storage.sync)(&name))?;
        (self.last_index, self.last_term) = (last.index, last.term);
        Ok(())
    }

    /// Stores a snapshot of entries that are in the log, and removes the segments that it covers.
    pub fn store_snapshot(&mut self, snapshot: &SnapshotRecord) -> Result<()> {
        ensure!(snapshot.last_index <= self.last_index, "the snapshot is ahead of the log");
        self.replace_snapshot(snapshot)?;
        while let [first, _, ..] = self.segments.as_slice()
            && first.last_index <= snapshot.last_index
        {
            self.remove_first_segment()?;
        }
        Ok(())
    }

    /// Stores a snapshot that replaces the whole log.
    pub fn install_snapshot(&mut self, snapshot: &SnapshotRecord) -> Result<()> {
        self.replace_snapshot(snapshot)?;
        self.reset(snapshot.last_index, snapshot.last_term)
    }

    /// Reads the latest snapshot.
    pub fn read_snapshot(&mut self) -> Result<Option<SnapshotRecord>> {
        read_snapshot(&mut self.storage)
    }

    /// Runs a write. After a failed write the contents of the disk are unknown, so all further
    /// writes are refused.
    fn write(
        &mut self,
        operation: &'static str,
        change: impl FnOnce(&mut Storage) -> io::Result<()>,
    ) -> Result<()> {
        ensure!(!self.has_failed, "{operation}: an earlier write has failed");
        change(&mut self.storage).inspect_err(|_| self.has_failed = true).context(operation)
    }

    fn replace_snapshot(&mut self, snapshot: &SnapshotRecord) -> Result<()> {
        let bytes = frame::encode(snapshot)?;
        self.write("store the snapshot", |storage| (storage.replace)(SNAPSHOT_FILE, &bytes))?;
        self.snapshot_index = snapshot.last_index;
        Ok(())
    }

    fn start_segment(
        &mut self,
        base_index: LogIndex,
        base_term: Term,
        is_reset: bool,
    ) -> Result<()> {
        let number = self.segments.last().map_or(1, |segment| segment.number + 1);
        let header =
            SegmentHeader { version: FORMAT_VERSION, number, base_index, base_term, is_reset };
        let bytes = frame::encode(&Record::Header(header))?;
        let name = segment_name(number);
        self.write("start a segment", |storage| (storage.replace)(&name, &bytes))?;
        let bytes = bytes.len() as u64;
        self.segments.push(Segment { number, bytes, last_index: base_index });
        Ok(())
    }

    /// Discards the stored entries and continues the log after an index.
    fn reset(&mut self, index: LogIndex, term: Term) -> Result<()> {
        self.start_segment(index, term, true)?;
        while self.segments.len() > 1 {
            self.remove_first_segment()?;
        }
        (self.last_index, self.last_term) = (index, term);
        Ok(())
    }

    fn remove_first_segment(&mut self) -> Result<()> {
        let name = segment_name(self.segments.remove(0).number);
        self.write("remove a segment", |storage| (storage.remove)(&name))
    }

    /// Reads all segments. Returns the entries and their base, or `None` if there are no segments.
    fn read_segments(&mut self, numbers: &[u64]) -> Result<Option<Tail>> {
        let mut stored: Option<Tail> = None;
        for (position, number) in numbers.iter().enumerate() {
            let name = segment_name(*number);
            let is_last = position + 1 == numbers.len();
            let bytes = (self.storage.read)(&name)
                .with_context(|| format!("read {name}"))?
                .with_context(|| format!("{name} is missing"))?;
            let frames = frame::decode(&bytes, is_last).with_context(|| name.clone())?;
            if frames.is_torn {
                log::warn!(file = name.as_str(), dropped_bytes = bytes.len() - frames.valid_bytes;
                    "dropped an entry whose write was interrupted");
                let length = frames.valid_bytes as u64;
                self.write("truncate a torn entry", |storage| (storage.truncate)(&name, length))?;
            }
            let mut highest = stored.as_ref().map(Tail::last_index).unwrap_or_default();
            replay(&mut stored, frames.payloads, *number, &mut highest).with_context(|| name)?;
            let bytes = frames.valid_bytes as u64;
            self.segments.push(Segment { number: *number, bytes, last_index: highest });
        }
        let is_contiguous = numbers.windows(2).all(|pair| pair[1] == pair[0] + 1);
        ensure!(is_contiguous, "the segment numbers {numbers:?} have a gap");
        Ok(stored)
    }

    /// Returns the stored entries that follow the snapshot.
    fn reconcile_with_snapshot(
        &mut self,
        stored: Option<Tail>,
        (index, term): (LogIndex, Term),
    ) -> Result<Tail> {
        let Some(mut tail) = stored else {
            return Ok(Tail::new(index, term));
        };
        ensure!(tail.base() <= index, "entries {} to {} are missing", index.0 + 1, tail.base());
        if tail.term_at(index) == Some(term) {
            tail.compact_through(index);
        } else {
            // A crash interrupted `install_snapshot`; the entries are older than the snapshot.
            self.reset(index, term)?;
            tail = Tail::new(index, term);
        }
        (self.last_index, self.last_term) = (tail.last_index(), tail.last_term());
        Ok(tail)
    }
}

/// Adds the records of one segment to the entries of the earlier ones.
fn replay(
    stored: &mut Option<Tail>,
    records: Vec<Record>,
    number: u64,
    highest: &mut LogIndex,
) -> Result<()> {
    let mut records = records.into_iter();
    let Some(Record::Header(header)) = records.next() else {
        bail!("the segment header is missing")
    };
    ensure!(header.version == FORMAT_VERSION, "unknown segment format version {}", header.version);
    ensure!(header.number == number, "the segment header has the number {}", header.number);
    let base = Tail::new(header.base_index, header.base_term);
    let tail = stored.get_or_insert_with(|| base.clone());
    if header.is_reset {
        *tail = base;
    }
    let is_next = tail.last_index() == header.base_index && tail.last_term() == header.base_term;
    ensure!(is_next, "the segment does not continue the previous segment");
    *highest = (*highest).max(header.base_index);
    for record in records {
        let Record::Batch(entries) = record else { bail!("the segment has a second header") };
        match entries.first() {
            // The batch replaces entries of a segment that compaction has removed. The term before
            // the batch is unknown then and not needed: a snapshot covers the base of the segment.
            Some(first) if first.index <= tail.base() => {
                *tail = Tail::new(LogIndex(first.index.0.saturating_sub(1)), Term::ZERO);
            }
            Some(first) => tail.truncate_after(LogIndex(first.index.0 - 1)),
            None => {}
        }
        for entry in entries {
            ensure!(
                entry.index.0 == tail.last_index().0 + 1,
                "entry {} is out of order",
                entry.index
            );
            *highest = (*highest).max(entry.index);
            tail.push(entry);
        }
    }
    Ok(())
}

fn open_identity(
    storage: &mut Storage,
    names: &[String],
    vm: &VmId,
    new_store_id: u64,
) -> Result<Identity> {
    let Some(bytes) = (storage.read)(IDENTITY_FILE).context("read the identity")? else {
        ensure!(names.is_empty(), "the data folder has files but no identity");
        let identity = Identity { version: FORMAT_VERSION, vm: vm.clone(), store_id: new_store_id };
        let bytes = frame::encode(&identity)?;
        (storage.replace)(IDENTITY_FILE, &bytes).context("store the identity")?;
        return Ok(identity);
    };
    let identity: Identity = frame::decode_one(&bytes).context("decode the identity")?;
    ensure!(
        identity.version == FORMAT_VERSION,
        "unknown format version {} of the data folder",
        identity.version
    );
    ensure!(identity.vm == *vm, "the data folder belongs to VM {}, not {vm}", identity.vm);
    Ok(identity)
}

/// Reads the vote; creates it before the first segment, so that a folder with segments has a vote.
fn open_vote(storage: &mut Storage, has_segments: bool) -> Result<VoteRecord> {
    if let Some(bytes) = (storage.read)(VOTE_FILE).context("read the vote")? {
        return frame::decode_one(&bytes).context("decode the vote");
    }
    ensure!(!has_segments, "the data folder has a log but no vote");
    let vote = VoteRecord { term: Term::ZERO, voted_for: None };
    (storage.replace)(VOTE_FILE, &frame::encode(&vote)?).context("store the vote")?;
    Ok(vote)
}

fn read_snapshot(storage: &mut Storage) -> Result<Option<SnapshotRecord>> {
    let bytes = (storage.read)(SNAPSHOT_FILE).context("read the snapshot")?;
    bytes.map(|bytes| frame::decode_one(&bytes).context("decode the snapshot")).transpose()
}

#[cfg(test)]
#[path = "log_tests.rs"]
mod tests;
