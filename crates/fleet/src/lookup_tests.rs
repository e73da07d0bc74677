//! Guards against lookups that return remote entry VMs although a near one serves, or that return a
//! leaving one.

use std::collections::HashMap;

use celerygate_types::Incarnation;
use rand::SeedableRng;
use rand::rngs::SmallRng;

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
    let (region, data_centre) = (region.expect("valid id"), data_centre.expect("valid id"));
    nearest_entries(entries, &region, &data_centre, &mut SmallRng::seed_from_u64(5))
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

/// Guards against the loss of a region whose callers all get the same first addresses: with 117 entry
/// VMs, the 78 that are left serve a third more requests each, and not only the first 64 of them.
#[test]
fn nearest_entries_lost_region_spreads_callers() {
    const LOOKUPS: usize = 5_000;
    let regions = ["east", "west", "north"];
    let entries: Vec<DaemonRecord> = (0..117)
        .map(|number| {
            let region = regions[usize::from(number) % 3];
            let is_lost = region == "east";
            let state = if is_lost { VmState::Leaving } else { VmState::Serving };
            entry(number, region, &format!("{region}-{}", number % 9), state)
        })
        .collect();
    let (region, data_centre) = ("east".parse().expect("an id"), "east-0".parse().expect("an id"));
    let mut random = SmallRng::seed_from_u64(5);
    let mut answers: HashMap<SmolStr, usize> = HashMap::new();
    for _ in 0..LOOKUPS {
        let addresses = nearest_entries(&entries, &region, &data_centre, &mut random);
        assert_eq!(addresses.len(), MAX_ADDRESSES);
        for address in addresses {
            *answers.entry(address).or_default() += 1;
        }
    }
    assert_eq!(answers.len(), 78, "each VM that is left is named");
    let mean = LOOKUPS * MAX_ADDRESSES / 78;
    let most = answers.values().max().copied().unwrap_or_default();
    assert!(most < mean * 11 / 10, "{most} of {mean} on average");
}
