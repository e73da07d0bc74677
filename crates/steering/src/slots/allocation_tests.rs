//! Tests of the allocation of slots to VMs.

use proptest::prelude::*;

use super::{Demand, allocate};

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against allocations above the slots, slots that stay free while a VM needs one,
    /// shares that are not max-min fair, and a VM that never gets its turn.
    #[test]
    fn allocate_any_demands(
        slots in 0_u32..12,
        demands in prop::collection::vec((0_u32..6, 0_u32..6, 0_u32..6), 1..8),
    ) {
        let demands: Vec<Demand> = demands
            .into_iter()
            .map(|(allocated, running, wanted)| {
                Demand { allocated, running: running.min(allocated), wanted }
            })
            .collect();
        let needed: u32 = demands.iter().map(|demand| demand.needed()).sum();
        let mut totals = vec![0; demands.len()];
        for rotation in 0..840 {
            let shares = allocate(slots, &demands, rotation);
            let sum: u32 = shares.iter().sum();
            prop_assert!(sum <= slots, "{shares:?}");
            if needed >= slots {
                prop_assert_eq!(sum, slots);
                let most = shares.iter().max().copied().unwrap_or(0);
                for (share, demand) in shares.iter().zip(&demands) {
                    prop_assert!(*share <= demand.needed());
                    prop_assert!(*share == demand.needed() || share + 1 >= most, "{shares:?}");
                }
            } else {
                prop_assert!(
                    shares.iter().zip(&demands).all(|(share, demand)| *share >= demand.needed())
                );
            }
            totals.iter_mut().zip(&shares).for_each(|(total, share)| *total += share);
        }
        for (total, demand) in totals.iter().zip(&demands) {
            prop_assert!(slots == 0 || demand.needed() == 0 || *total > 0, "{totals:?}");
        }
    }
}
