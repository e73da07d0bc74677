//! Guards against lookups that return remote entry VMs although a near one serves, or that return a
//! leaving one.

use celerygate_types::Incarnation;

use super::*;

fn entry(number: u8, region: &str, data_centre: &str, state: VmState) -> DaemonRecord {
    DaemonRecord {
        vm: format!("10.0.0.{number}").parse().expect("valid id"),
        incarnation: Incarnation(1),
        role: DaemonRole::Entry,
        region: region.parse().expect("valid id"),
        data_centre: data_centre.parse().expect("valid id"),
        callers_address: Some(format!("10.0.0.{number}:80").into()),
        state,
    }
}

fn near(entries: &[DaemonRecord]) -> Vec<SmolStr> {
    let (region, data_centre) = ("east".parse(), "east-1".parse());
    nearest_entries(entries, &region.expect("valid id"), &data_centre.expect("valid id"))
}

#[test]
fn nearest_entries_by_distance() {
    let mut entries = vec![
        entry(1, "west", "west-1", VmState::Serving),
        entry(2, "east", "east-2", VmState::Serving),
        entry(3, "east", "east-1", VmState::Serving),
    ];
    assert_eq!(near(&entries), ["10.0.0.3:80"]);
    entries[2].state = VmState::Leaving;
    assert_eq!(near(&entries), ["10.0.0.2:80"]);
    entries[1].state = VmState::Starting;
    assert_eq!(near(&entries), ["10.0.0.1:80"]);
    assert!(near(&[]).is_empty());
}

/// Guards against overloaded links during a rolling restart of a data centre's entry VMs: with two
/// and then one of three left, the last ones would take the load of all (hurma-kapi-grown,
/// scale-1).
#[test]
fn nearest_entries_few_left_use_region() {
    let mut entries: Vec<_> =
        (1..=4).map(|number| entry(number, "east", "east-1", VmState::Serving)).collect();
    entries.extend((5..=8).map(|number| entry(number, "east", "east-2", VmState::Serving)));
    assert_eq!(near(&entries).len(), 4);
    entries[0].state = VmState::Leaving;
    assert_eq!(near(&entries), ["10.0.0.2:80", "10.0.0.3:80", "10.0.0.4:80"]);
    entries[1].state = VmState::Starting;
    assert_eq!(near(&entries).len(), 6);
}
