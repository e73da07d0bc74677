//! The idempotency keys of a home on disk.
//!
//! One file: a header of 16 bytes, then records of 37 bytes. A record is synced before the home
//! answers. A torn record at the end was never answered and is dropped; damage before the end is an
//! error.

use anyhow::{Context, Result, bail, ensure};
use celerygate_steering::idempotency::{IdempotencyRecord, RecordKind};

use crate::storage::Storage;

const FILE: &str = "keys";
const MAGIC: &[u8; 4] = b"CGO1";
const HEADER_BYTES: usize = 16;
const RECORD_BYTES: usize = 37;
/// Records after which the file is written anew without the expired ones.
const COMPACT_RECORDS: usize = 50_000;

/// What is known of the time before the first record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Coverage {
    /// Nothing was recorded before: the folder is as old as the control group.
    Complete,
    /// Keys recorded before this time may be missing.
    UnknownBefore {
        /// When the file was created.
        unix_ms: u64,
    },
}

/// A record with the wall time at which it was made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimestampedRecord {
    /// Time since the Unix epoch.
    pub unix_ms: u64,
    /// The record.
    pub record: IdempotencyRecord,
}

/// The open file.
pub struct IdempotencyLog {
    storage: Storage,
    coverage: Coverage,
    records: usize,
}

/// An opened file and what it holds.
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
        let contents = (storage.read)(FILE).context("read the idempotency keys")?;
        let Some(bytes) = contents else {
            let coverage = Coverage::UnknownBefore { unix_ms: now_unix_ms };
            let mut log = Self { storage, coverage, records: 0 };
            log.rewrite(&[])?;
            return Ok(OpenedIdempotencyLog { log, records: Vec::new() });
        };
        let coverage = parse_header(&bytes)?;
        let (records, length) = parse_records(&bytes)?;
        if length < bytes.len() {
            log::warn!(bytes = bytes.len() - length; "torn idempotency key record dropped");
            (storage.truncate)(FILE, length as u64).context("cut the idempotency keys")?;
        }
        let log = Self { storage, coverage, records: records.len() };
        Ok(OpenedIdempotencyLog { log, records })
    }

    /// Returns what is known of the time before the first record.
    pub fn coverage(&self) -> Coverage {
        self.coverage
    }

    /// Adds a record and makes it durable.
    ///
    /// # Errors
    ///
    /// When the disk fails; the process must end then, as what the disk holds is unknown.
    pub fn append(&mut self, record: &TimestampedRecord) -> Result<()> {
        (self.storage.append)(FILE, &encode(record)).context("write an idempotency key")?;
        (self.storage.sync)(FILE).context("sync the idempotency keys")?;
        self.records += 1;
        Ok(())
    }

    /// Returns whether the file should be written anew.
    pub fn is_compaction_due(&self, live_records: usize) -> bool {
        self.records >= COMPACT_RECORDS && self.records >= 2 * live_records
    }

    /// Writes the file anew with the given records.
    ///
    /// # Errors
    ///
    /// When the disk fails.
    pub fn rewrite(&mut self, records: &[TimestampedRecord]) -> Result<()> {
        let mut bytes = encode_header(self.coverage);
        records.iter().for_each(|record| bytes.extend_from_slice(&encode(record)));
        (self.storage.replace)(FILE, &bytes).context("replace the idempotency keys")?;
        self.records = records.len();
        Ok(())
    }

    /// Notes that nothing was recorded before the first record.
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
    ensure!(checksum == crc32fast::hash(body).to_le_bytes(), "the header is damaged");
    ensure!(body.starts_with(MAGIC), "the file has another format");
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
    bytes[32] = match record.change {
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
    let change = match body[32] {
        1 => RecordKind::Started,
        2 => RecordKind::Released,
        _ => return None,
    };
    let (organisation, fingerprint) = (read_u64(body, 0), read_u64(body, 8));
    let record =
        IdempotencyRecord { organisation, fingerprint, request: read_u64(body, 16), change };
    Some(TimestampedRecord { unix_ms: read_u64(body, 24), record })
}

/// Returns the records and the length of the file up to the last whole one.
fn parse_records(bytes: &[u8]) -> Result<(Vec<TimestampedRecord>, usize)> {
    let mut records = Vec::new();
    let mut at = HEADER_BYTES;
    while let Some(next) = bytes.get(at..at + RECORD_BYTES) {
        match decode(next) {
            Some(record) => records.push(record),
            // Only the last write can be torn: earlier ones were synced before they were answered.
            None if at + RECORD_BYTES >= bytes.len() => return Ok((records, at)),
            None => bail!("the idempotency key record at byte {at} is damaged"),
        }
        at += RECORD_BYTES;
    }
    Ok((records, at))
}

fn read_u64(bytes: &[u8], at: usize) -> u64 {
    let mut value = [0; 8];
    value.copy_from_slice(&bytes[at..at + 8]);
    u64::from_le_bytes(value)
}

#[cfg(test)]
#[path = "idempotency_log_tests.rs"]
mod tests;
