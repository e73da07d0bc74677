//! Tests of the file of idempotency keys: a key lost in a crash would let a request run twice.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

use super::*;
use crate::storage::memory::{MemoryDisk, TornWrite};

fn record(number: u64, kind: RecordKind) -> TimestampedRecord {
    let record = IdempotencyRecord { organisation: 1, fingerprint: number, request: number, kind };
    TimestampedRecord { unix_ms: 1_000 + number, record }
}

fn open(disk: &MemoryDisk, unix_ms: u64) -> OpenedIdempotencyLog {
    IdempotencyLog::open(disk.storage(), unix_ms).unwrap()
}

#[test]
fn open_new_folder_is_incomplete() {
    let disk = MemoryDisk::new();
    assert_eq!(open(&disk, 500).log.coverage(), Coverage::UnknownBefore { unix_ms: 500 });
    assert_eq!(open(&disk, 900).log.coverage(), Coverage::UnknownBefore { unix_ms: 500 });
}

#[test]
fn mark_complete_survives_crash() {
    let disk = MemoryDisk::new();
    let mut opened = open(&disk, 500);
    opened.log.append(&record(1, RecordKind::Started)).unwrap();
    opened.log.mark_complete(&[record(1, RecordKind::Started)]).unwrap();
    disk.crash(TornWrite::Discard);
    let opened = open(&disk, 900);
    assert_eq!(opened.log.coverage(), Coverage::Complete);
    assert_eq!(opened.records, [record(1, RecordKind::Started)]);
}

#[test]
fn open_damage_before_end() {
    let disk = MemoryDisk::new();
    let mut opened = open(&disk, 500);
    opened.log.append(&record(1, RecordKind::Started)).unwrap();
    opened.log.append(&record(2, RecordKind::Started)).unwrap();
    drop(opened);
    disk.corrupt(FILE, |bytes| bytes[HEADER_BYTES + 3] ^= 1);
    assert!(IdempotencyLog::open(disk.storage(), 900).is_err());
}

#[test]
fn append_failed_sync() {
    let disk = MemoryDisk::new();
    let mut opened = open(&disk, 500);
    disk.fail_next_sync();
    assert!(opened.log.append(&record(1, RecordKind::Started)).is_err());
}

/// Guards against a key that a restarted process has relied on and that a loss of power takes away.
#[test]
fn open_unsynced_record() {
    let disk = MemoryDisk::new();
    let mut opened = open(&disk, 500);
    disk.stop_at_write(1, false);
    opened.log.append(&record(1, RecordKind::Started)).unwrap_err();
    disk.end_process();
    let reopened = open(&disk, 900).records;
    disk.crash(TornWrite::Discard);
    assert_eq!(open(&disk, 1_000).records, reopened);
}

fn any_torn_write() -> impl Strategy<Value = TornWrite> {
    prop_oneof![
        Just(TornWrite::Discard),
        Just(TornWrite::Keep),
        any::<usize>().prop_map(TornWrite::Prefix),
        any::<usize>().prop_map(TornWrite::ZeroSector),
    ]
}

proptest! {
    #![proptest_config(Config { cases: 64, rng_seed: RngSeed::Fixed(5), ..Config::default() })]

    /// Guards against a crash that loses a key whose append had succeeded.
    #[test]
    fn append_crash_at_any_write(
        count in 1_u64..20,
        stop_at_write in 0_u64..40,
        takes_effect in any::<bool>(),
        torn_write in any_torn_write(),
    ) {
        let disk = MemoryDisk::new();
        let mut opened = open(&disk, 500);
        disk.stop_at_write(stop_at_write, takes_effect);
        let mut acknowledged = Vec::new();
        for number in 0..count {
            let next = record(number, RecordKind::Started);
            if opened.log.append(&next).is_err() {
                break;
            }
            acknowledged.push(next);
        }
        drop(opened);
        disk.crash(torn_write);
        let recovered = open(&disk, 900).records;
        prop_assert!(
            recovered.starts_with(&acknowledged),
            "{recovered:?} lacks some of {acknowledged:?}"
        );
    }
}
