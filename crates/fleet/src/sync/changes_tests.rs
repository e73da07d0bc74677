//! Guards against changes that a daemon never receives, because a reply holds only a part of them and
//! states a later version.

use celerygate_types::wire::{InstanceRecord, InstanceState};

use super::*;

fn record(number: usize) -> InstanceRecord {
    InstanceRecord {
        instance: format!("i-{number}").parse().expect("valid id"),
        born_unix_ms: 1,
        sequence: 1,
        service: "lists".parse().expect("valid id"),
        address: "10.0.0.9:80".into(),
        data_centre: "east-1".parse().expect("valid id"),
        slots: 4.into(),
        state: InstanceState::Ready,
        cold_ms: 0,
    }
}

#[test]
fn since_all_changes_in_parts() {
    let now = Instant::now();
    for departed_in in [1, 2, 5, 1_000] {
        let mut table = InstanceTable::default();
        for number in 0..1_500 {
            table.report(record(number), now);
            if number % departed_in == 0 {
                let other = format!("other-{number}").parse().expect("valid id");
                table.record_deregistration(&other, None, 1, now).expect("room");
            }
        }
        let (mut since, mut targets, mut departures) = (0, 0, 0);
        while since < table.version() {
            let changes = TargetChanges::since(&table, since, now);
            assert!(changes.through > since);
            let count = changes.targets.len().max(changes.departures.len());
            assert!(count <= MAX_PER_MESSAGE);
            assert!(count == MAX_PER_MESSAGE || changes.through == table.version());
            (since, targets, departures) = (
                changes.through,
                targets + changes.targets.len(),
                departures + changes.departures.len(),
            );
        }
        assert_eq!((targets, departures), (1_500, 1_500_usize.div_ceil(departed_in)));
    }
}
