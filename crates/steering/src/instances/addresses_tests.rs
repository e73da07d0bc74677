//! Which of several instances at an address are left out.

use std::time::Duration;

use celerygate_types::TargetId;
use celerygate_types::wire::InstanceState;

use super::super::tests::record;
use super::super::{InstanceTable, MISDIRECTED_RETENTION};
use super::*;

/// Returns the start times of the instances that no other one at their address displaces.
fn not_displaced(table: &InstanceTable, now: Instant) -> Vec<u64> {
    let by_address = table.by_address(|_| true, now);
    let in_use = table.iter().filter(|instance| instance.misdirected_until(now).is_none());
    let in_use = in_use.filter(|instance| by_address.displaced_since(&instance.record).is_none());
    in_use.map(|instance| instance.record.born_unix_ms).collect()
}

#[test]
fn displaced_since_reused_address() {
    let now = Instant::now();
    let mut table = InstanceTable::default();
    table.report(record(5, 0, InstanceState::Ready), now);
    // A heartbeat of the target that had the address before was delayed by a partition.
    let earlier = InstanceRecord {
        instance: "i-2".parse().expect("valid id"),
        ..record(1, 9, InstanceState::Ready)
    };
    table.report(earlier, now);
    assert_eq!(not_displaced(&table, now), [5]);
}

/// Guards against an entry of another writer that takes the address of a target out of use: a start
/// time of 2^63 at a target's address made half of the requests fail.
#[test]
fn displaced_since_other_instance_answers() {
    let now = Instant::now();
    let mut table = InstanceTable::default();
    table.report(record(5, 0, InstanceState::Ready), now);
    let odd_id: TargetId = "odd".parse().expect("valid id");
    let odd = InstanceRecord { instance: odd_id.clone(), ..record(9, 0, InstanceState::Ready) };
    table.report(odd, now);
    assert_eq!(not_displaced(&table, now), [9]);
    assert!(!table.record_misdirected(&odd_id, 8, now), "another life of the instance");
    assert!(table.record_misdirected(&odd_id, 9, now));
    assert_eq!(not_displaced(&table, now), [5]);
    assert_eq!(not_displaced(&table, now + MISDIRECTED_RETENTION), [9]);
    // A process that starts under the id is used again.
    table.report(InstanceRecord { instance: odd_id, ..record(10, 0, InstanceState::Ready) }, now);
    assert_eq!(not_displaced(&table, now), [10]);
}

/// Guards against another writer that keeps a target out of use with ever new processes, or ever new ids,
/// at its address, and against a target that moves to the address of an ended one and is not used.
#[test]
fn displaced_since_first_report_at_address() {
    let start = Instant::now();
    let mut table = InstanceTable::default();
    let own = record(5, 0, InstanceState::Ready);
    table.report(own.clone(), start);
    let odd = |id: &str, born| InstanceRecord {
        instance: id.parse().expect("valid id"),
        ..record(born, 0, InstanceState::Ready)
    };
    for second in 1..10 {
        let now = start + Duration::from_secs(second);
        table.report(odd("odd", 10 + second), now);
        table.report(odd(&format!("odd-{second}"), 10 + second), now);
        let since = table.by_address(|_| true, now).displaced_since(&own);
        assert_eq!(since, Some(start + Duration::from_secs(1)));
    }
    let now = start + Duration::from_secs(20);
    let moved = InstanceRecord { address: "10.0.0.8:80".into(), ..odd("odd", 30) };
    let earlier = InstanceRecord { address: moved.address.clone(), ..odd("earlier", 5) };
    table.report(moved, now);
    assert_eq!(table.by_address(|_| true, now).displaced_since(&earlier), Some(now));
}
