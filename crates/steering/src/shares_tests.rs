//! Tests of the assignment of client blocks to regions.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

use super::*;

const REGIONS: [&str; 4] = ["a", "b", "c", "d"];

fn region(index: usize) -> RegionId {
    REGIONS[index].parse().unwrap()
}

fn any_route() -> impl Strategy<Value = Route> {
    prop::collection::btree_map(1..1_000_000_u32, 0..4_usize, 0..6).prop_map(|starts| {
        let mut route = home_route(&"rota-indir".parse().unwrap(), &region(0));
        route.segments.extend(
            starts
                .into_iter()
                .map(|(start, to)| Segment { region: region(to), start_ppm: SharePpm(start) }),
        );
        route
    })
}

fn is_merged(route: &Route) -> bool {
    route
        .segments
        .windows(2)
        .all(|pair| pair[0].region != pair[1].region && pair[0].start_ppm < pair[1].start_ppm)
}

proptest! {
    #![proptest_config(Config {
        cases: 500,
        rng_seed: RngSeed::Fixed(20_261_204),
        failure_persistence: None,
        ..Config::default()
    })]

    /// Guards against a move that reassigns blocks of other regions, or more or fewer than
    /// requested.
    #[test]
    fn move_share_exact(
        route in any_route(), from in 0..4_usize, to in 0..4_usize, amount in 0..=1_000_000_u32,
        positions in prop::collection::vec(0..1_000_000_u32, 64),
    ) {
        let (from, to) = (region(from), region(to));
        let moved = move_share(&route, &from, &to, SharePpm(amount));
        let expected = amount.min(region_share(&route, &from).0);
        let changed: u32 = moved_shares(&route, &moved).iter().map(|(_, _, sum)| sum.0).sum();
        prop_assert_eq!(changed, if from == to { 0 } else { expected });
        prop_assert!(is_merged(&moved), "{:?}", moved.segments);
        for position in positions.into_iter().map(SharePpm) {
            let (old, new) = (region_at(&route, position), region_at(&moved, position));
            prop_assert!(old == new || (old, new) == (Some(&from), Some(&to)));
        }
        let whole: SharePpm = (0..4).map(|index| region_share(&moved, &region(index))).sum();
        prop_assert_eq!(whole, SharePpm::WHOLE);
    }

    /// Guards against a move in steps whose result differs from one move of their sum.
    #[test]
    fn move_share_in_steps(
        route in any_route(), steps in prop::collection::vec(0..90_000_u32, 1..9),
    ) {
        let mut moved = route.clone();
        for step in &steps {
            moved = move_share(&moved, &region(1), &region(2), SharePpm(*step));
        }
        let sum = SharePpm(steps.iter().sum());
        prop_assert_eq!(moved, {
            let mut at_once = move_share(&route, &region(1), &region(2), sum);
            merge_adjacent(&mut at_once.segments);
            at_once
        });
    }
}

/// Guards against positions that cluster, so that a share of the hash space would not be the same
/// share of the blocks.
#[test]
fn block_position_even() {
    let blocks = (0..110_000_u32).map(|n| format!("10.{}.{}.0/24", n / 256 % 256, n % 256));
    let distinct: std::collections::BTreeSet<String> =
        blocks.chain((0..44_464).map(|n| format!("172.{}.{}.0/24", n / 256, n % 256))).collect();
    let low = distinct.iter().filter(|block| block_position(block) < SharePpm(100_000)).count();
    let share = low as f64 / distinct.len() as f64;
    assert!((0.098..0.102).contains(&share), "{share} of {}", distinct.len());
}

/// Guards against a hash that differs between builds, which would reassign client blocks.
#[test]
fn block_position_fixed() {
    let positions = ["10.0.0.0/24", "2001:db8::/48"].map(|block| block_position(block).get());
    expect_test::expect!["[688336, 874591]"].assert_eq(&format!("{positions:?}"));
}
