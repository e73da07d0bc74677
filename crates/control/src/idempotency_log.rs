//! The file in which a replica, a VM that records idempotency keys, stores them.
//!
//! The file has a header of 16 bytes, followed by records of 37 bytes. A record is synced before
//! the replica replies. A torn record at the end was never acknowledged and is dropped; damage
//! before the end is an error.

use anyhow::{Context, Result, bail, ensure};
use celerygate_steering::idempotency::{IdempotencyRecord, RecordKind};

use crate::storage::Storage;

const FILE: &str = "keys";
const MAGIC: &[u8; 4] = b"CGO1";
const HEADER_BYTES: usize = 16;
const RECORD_BYTES: usize = 37;
/// Number of records below which the file is not rewritten to remove expired records.
const COMPACTION_MIN_RECORDS: usize = 50_000;

/// Whether the file holds all unexpired keys of this replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Coverage {
    /// The file lacks no key: the folder is as old as the control group, or all keys were copied.
    Complete,
    /// Keys recorded before this time may be missing.
    UnknownBefore {
        /// Time at which the file was created, since the Unix epoch.
        unix_ms: u64,
    },
}

/// A record with the wall-clock time at which it was made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimestampedRecord {
    /// Time since the Unix epoch.
    pub unix_ms: u64,
    /// The record.
    pub record: IdempotencyRecord,
}

/// The open file of idempotency keys.
pub struct IdempotencyLog {
    storage: Storage,
    coverage: Coverage,
    record_count: usize,
}

/// An opened file and its records.
pub struct OpenedIdempotencyLog {
    /// The file.
    pub log: IdempotencyLog,
    /// Its records, oldest first.
    pub records: Vec<TimestampedRecord>,
}

impl IdempotencyLog {
    /// Opens the file, creating it if needed.
    ///
    /// # Errors
    ///
    /// When the file cannot be read or is damaged before its end.
    pub fn open(mut storage: Storage, now_unix_ms: u64) -> Result<OpenedIdempotencyLog> {
        // An ended process can have left records unsynced; they count as stored from here on.
        (storage.sync_all)().context("sync the idempotency keys")?;
        let contents = (storage.read)(FILE).context("read the idempotency keys")?;
        let Some(bytes) = contents else {
            let coverage = Coverage::UnknownBefore { unix_ms: now_unix_ms };
            let mut log = Self { storage, coverage, record_count: 0 };
            log.rewrite(&[])?;
            return Ok(OpenedIdempotencyLog { log, records: Vec::new() });
        };
        let coverage = parse_header(&bytes)?;
        let (records, length) = parse_records(&bytes)?;
        if length < bytes.len() {
            log::warn!(bytes = bytes.len() - length; "torn idempotency key record dropped");
            (storage.truncate)(FILE, length as u64).context("truncate the idempotency keys")?;
        }
        let log = Self { storage, coverage, record_count: records.len() };
        Ok(OpenedIdempotencyLog { log, records })
    }

    /// Returns whether the file lacks no key, or the time before which keys may be missing.
    pub fn coverage(&self) -> Coverage {
        self.coverage
    }

    /// Appends a record and syncs it.
    ///
    /// # Errors
    ///
    /// When the disk fails. The process must exit then, because the contents of the disk are
    /// unknown.
    pub fn append(&mut self, record: &TimestampedRecord) -> Result<()> {
        (self.storage.append)(FILE, &encode(record)).context("write an idempotency key")?;
        (self.storage.sync)(FILE).context("sync the idempotency keys")?;
        self.record_count += 1;
        Ok(())
    }

    /// Returns whether the file should be rewritten to remove expired records.
    pub fn is_compaction_due(&self, live_records: usize) -> bool {
        self.record_count >= COMPACTION_MIN_RECORDS && self.record_count >= 2 * live_records
    }

    /// Replaces the contents of the file by the given records.
    ///
    /// # Errors
    ///
    /// When the disk fails.
    pub fn rewrite(&mut self, records: &[TimestampedRecord]) -> Result<()> {
        let mut bytes = encode_header(self.coverage);
        records.iter().for_each(|record| bytes.extend_from_slice(&encode(record)));
        (self.storage.replace)(FILE, &bytes).context("replace the idempotency keys")?;
        self.record_count = records.len();
        Ok(())
    }

    /// Marks the file as complete and rewrites it with the given records.
    ///
    /// # Errors
    ///
    /// When the disk fails.
    pub fn mark_complete(&mut self, records: &[TimestampedRecord]) -> Result<()> {
        self.coverage = Coverage::Complete;
        self.rewrite(records)
    }
}

fn encode_header(coverage: Coverage) -> Vec<u8> {
    let unix_ms = match coverage {
        Coverage::Complete => 0,
        Coverage::UnknownBefore { unix_ms } => unix_ms.max(1),
    };
    let mut header = Vec::with_capacity(HEADER_BYTES);
    header.extend_from_slice(MAGIC);
    header.extend_from_slice(&unix_ms.to_le_bytes());
    let checksum = crc32fast::hash(&header);
    header.extend_from_slice(&checksum.to_le_bytes());
    header
}

fn parse_header(bytes: &[u8]) -> Result<Coverage> {
    ensure!(bytes.len() >= HEADER_BYTES, "the file of idempotency keys has no header");
    let (body, checksum) = bytes[..HEADER_BYTES].split_at(HEADER_BYTES - 4);
    ensure!(
        checksum == crc32fast::hash(body).to_le_bytes(),
        "the header of the idempotency keys is damaged"
    );
    ensure!(body.starts_with(MAGIC), "the file of idempotency keys has an unknown format");
    Ok(match read_u64(body, 4) {
        0 => Coverage::Complete,
        unix_ms => Coverage::UnknownBefore { unix_ms },
    })
}

fn encode(timed: &TimestampedRecord) -> [u8; RECORD_BYTES] {
    let TimestampedRecord { unix_ms, record } = timed;
    let mut bytes = [0; RECORD_BYTES];
    bytes[..8].copy_from_slice(&record.organisation.to_le_bytes());
    bytes[8..16].copy_from_slice(&record.fingerprint.to_le_bytes());
    bytes[16..24].copy_from_slice(&record.request.to_le_bytes());
    bytes[24..32].copy_from_slice(&unix_ms.to_le_bytes());
    bytes[32] = match record.kind {
        RecordKind::Started => 1,
        RecordKind::Released => 2,
    };
    let checksum = crc32fast::hash(&bytes[..33]);
    bytes[33..].copy_from_slice(&checksum.to_le_bytes());
    bytes
}

fn decode(bytes: &[u8]) -> Option<TimestampedRecord> {
    let (body, checksum) = bytes.split_at_checked(33)?;
    if checksum != crc32fast::hash(body).to_le_bytes() {
        return None;
    }
    let kind = match body[32] {
        1 => RecordKind::Started,
        2 => RecordKind::Released,
        _ => return None,
    };
    let (organisation, fingerprint) = (read_u64(body, 0), read_u64(body, 8));
    let record = IdempotencyRecord { organisation, fingerprint, request: read_u64(body, 16), kind };
    Some(TimestampedRecord { unix_ms: read_u64(body, 24), record })
}

/// Returns the records and the length of the file up to the end of the last complete record.
fn parse_records(bytes: &[u8]) -> Result<(Vec<TimestampedRecord>, usize)> {
    let mut records = Vec::new();
    let mut offset = HEADER_BYTES;
    while let Some(next) = bytes.get(offset..offset + RECORD_BYTES) {
        match decode(next) {
            Some(record) => records.push(record),
            // Only the last write can be torn: earlier records were synced before the next was
            // written.
            None if offset + RECORD_BYTES >= bytes.len() => return Ok((records, offset)),
            None => bail!("the idempotency key record at byte {offset} is damaged"),
        }
        offset += RECORD_BYTES;
    }
    Ok((records, offset))
}

fn read_u64(bytes: &[u8], offset: usize) -> u64 {
    let mut value = [0; 8];
    value.copy_from_slice(&bytes[offset..offset + 8]);
    u64::from_le_bytes(value)
}

#[cfg(test)]
#[path = "idempotency_log_tests.rs"]
mod tests;
