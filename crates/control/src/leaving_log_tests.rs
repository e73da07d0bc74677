//! Tests of the files of leaving targets: an update that is lost after its confirmation lets a target
//! that has left be used again.

use celerygate_types::wire::TargetDeparture;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

use super::*;
use crate::storage::memory::{MemoryDisk, TornWrite};

const RETENTION: Duration = Duration::from_secs(60);
const WALL_MS: u64 = 1_700_000_000_000;

fn departure(number: u64) -> TargetUpdate {
    let departed = TargetDeparture {
        instance: format!("i-{number}").parse().expect("valid id"),
        born_max_unix_ms: number,
        age_ms: 0,
    };
    TargetUpdate { sequence: 0, records: Vec::new(), departures: vec![departed] }
}

fn open(disk: &MemoryDisk, now: Instant) -> OpenedLeavingLog {
    LeavingLog::open(disk.storage(), RETENTION, WALL_MS, now).expect("the files can be opened")
}

fn store(log: &mut LeavingLog, number: u64, now: Instant) -> Result<()> {
    log.store(&[departure(number)], WALL_MS, now)
}

#[test]
fn store_survives_power_loss() {
    let (disk, now) = (MemoryDisk::new(), Instant::now());
    let mut opened = open(&disk, now);
    store(&mut opened.log, 1, now).unwrap();
    store(&mut opened.log, 2, now).unwrap();
    disk.crash(TornWrite::Discard);
    assert_eq!(open(&disk, now).updates, [departure(1), departure(2)]);
}

/// Guards against a write for each heartbeat of a target that goes on to serve.
#[test]
fn store_again_no_write() {
    let (disk, now) = (MemoryDisk::new(), Instant::now());
    let mut opened = open(&disk, now);
    store(&mut opened.log, 1, now).unwrap();
    let writes = disk.attempted_writes();
    store(&mut opened.log, 1, now).unwrap();
    assert_eq!(disk.attempted_writes(), writes);
}

/// Guards against updates that are written behind a part of a frame, where they cannot be read.
#[test]
fn store_after_full_disk() {
    let (disk, now) = (MemoryDisk::new(), Instant::now());
    let mut opened = open(&disk, now);
    store(&mut opened.log, 1, now).unwrap();
    disk.fill(20);
    assert!(store(&mut opened.log, 2, now).is_err());
    assert!(store(&mut opened.log, 2, now).is_err());
    disk.make_room();
    store(&mut opened.log, 3, now).unwrap();
    disk.crash(TornWrite::Keep);
    assert_eq!(open(&disk, now).updates, [departure(1), departure(3)]);
}

/// Guards against an update whose sync has failed and which counts as stored when it is repeated.
#[test]
fn store_again_after_failed_sync() {
    let (disk, now) = (MemoryDisk::new(), Instant::now());
    let mut opened = open(&disk, now);
    store(&mut opened.log, 1, now).unwrap();
    disk.fail_next_sync();
    assert!(store(&mut opened.log, 2, now).is_err());
    store(&mut opened.log, 2, now).unwrap();
    disk.crash(TornWrite::Discard);
    assert_eq!(open(&disk, now).updates, [departure(1), departure(2)]);
}

/// Guards against files that are kept for ever, and against ones that are removed too early.
#[test]
fn store_expired_files_removed() {
    let (disk, now) = (MemoryDisk::new(), Instant::now());
    let mut opened = open(&disk, now);
    store(&mut opened.log, 1, now).unwrap();
    store(&mut opened.log, 2, now + RETENTION / 2).unwrap();
    store(&mut opened.log, 3, now + RETENTION).unwrap();
    assert_eq!(open(&disk, now).updates, [departure(1), departure(2), departure(3)]);
    store(&mut opened.log, 4, now + RETENTION * 3 / 2).unwrap();
    store(&mut opened.log, 5, now + RETENTION * 2).unwrap();
    assert_eq!(open(&disk, now).updates, [departure(3), departure(4), departure(5)]);
}

/// Guards against files of a process that restarts again and again, each time with the same updates.
#[test]
fn open_old_updates_ignored() {
    let (disk, now) = (MemoryDisk::new(), Instant::now());
    store(&mut open(&disk, now).log, 1, now).unwrap();
    let later_ms = WALL_MS + MAX_AGE.as_millis() as u64;
    let opened = LeavingLog::open(disk.storage(), RETENTION, later_ms, now).unwrap();
    assert_eq!(opened.updates, []);
}

proptest! {
    #![proptest_config(Config { rng_seed: RngSeed::Fixed(33), ..Config::default() })]

    /// Guards against an update that was stored and is gone after a loss of power at any write, torn in
    /// any way, and against files that cannot be opened afterwards.
    #[test]
    fn store_stopped_disk(writes in 0_u64..12, takes_effect: bool, torn in 0_usize..4, seed: usize) {
        let (disk, now) = (MemoryDisk::new(), Instant::now());
        let mut stored = Vec::new();
        disk.stop_at_write(writes + 1, takes_effect);
        if let Ok(mut opened) = LeavingLog::open(disk.storage(), RETENTION, WALL_MS, now) {
            for number in 1..6 {
                // The third update begins a new file.
                let at = now + RETENTION / 2 * number.min(3) as u32;
                if store(&mut opened.log, number, at).is_ok() {
                    stored.push(departure(number));
                }
            }
        }
        let kinds =
            [TornWrite::Discard, TornWrite::Prefix(seed), TornWrite::ZeroSector(seed), TornWrite::Keep];
        disk.crash(kinds[torn]);
        let updates = open(&disk, now).updates;
        for update in stored {
            prop_assert!(updates.contains(&update), "{update:?} is not in {updates:?}");
        }
    }
}
