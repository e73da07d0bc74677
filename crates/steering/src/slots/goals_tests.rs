//! Division of slots between VMs.

use proptest::prelude::*;

use super::{Demand, goals};

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against goals above the slots, slots that are left over while a VM needs one, shares
    /// that are not max-min fair, and a VM that never gets its turn.
    #[test]
    fn goals_any_demands(
        slots in 0_u32..12,
        demands in prop::collection::vec((0_u32..6, 0_u32..6, 0_u32..6), 1..8),
    ) {
        let demands: Vec<Demand> = demands
            .into_iter()
            .map(|(counted, running, want)| Demand { counted, running: running.min(counted), want })
            .collect();
        let needed: u32 = demands.iter().map(|demand| demand.needed()).sum();
        let mut turns = vec![0; demands.len()];
        for turn in 0..840 {
            let goals = goals(slots, &demands, turn);
            let sum: u32 = goals.iter().sum();
            prop_assert!(sum <= slots, "{goals:?}");
            if needed >= slots {
                prop_assert_eq!(sum, slots);
                let most = goals.iter().max().copied().unwrap_or(0);
                for (goal, demand) in goals.iter().zip(&demands) {
                    prop_assert!(*goal <= demand.needed());
                    prop_assert!(*goal == demand.needed() || goal + 1 >= most, "{goals:?}");
                }
            } else {
                prop_assert!(goals.iter().zip(&demands).all(|(goal, demand)| *goal >= demand.needed()));
            }
            turns.iter_mut().zip(&goals).for_each(|(turns, goal)| *turns += goal);
        }
        for (turns, demand) in turns.iter().zip(&demands) {
            prop_assert!(slots == 0 || demand.needed() == 0 || *turns > 0, "{turns:?}");
        }
    }
}
