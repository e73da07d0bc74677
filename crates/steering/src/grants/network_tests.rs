//! A simulated network with faults and nodes whose clock rates differ, shared by the fuzz tests.

use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// A network whose faults and clock rates are drawn from the seed of the case.
pub struct Network<M> {
    pub rng: StdRng,
    base: Instant,
    clock_percent: Vec<u64>,
    loss_percent: u32,
    duplicate_percent: u32,
    delayed_percent: u32,
    pub delay_us: u64,
    /// End of the partition of each node, during which it neither sends nor receives.
    pub partitioned_until_us: Vec<u64>,
    in_flight: Vec<(u64, usize, M)>,
}

impl<M: Clone> Network<M> {
    pub fn new(seed: u64, nodes: usize) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        // Every fourth case has no message faults, so that fault-free operation is tested as well.
        let mut percent = |limit: u32| {
            if seed.is_multiple_of(4) { 0 } else { rng.random_range(0..=limit) }
        };
        let (loss_percent, duplicate_percent) = (percent(20), percent(20));
        let delayed_percent = percent(10);
        Self {
            // Real time runs at the rate of the fastest clock; 91% is 10% slower.
            clock_percent: (0..nodes).map(|_| [91, 95, 100][rng.random_range(0..3)]).collect(),
            delay_us: rng.random_range(500..20_000),
            rng,
            base: Instant::now(),
            loss_percent,
            duplicate_percent,
            delayed_percent,
            partitioned_until_us: vec![0; nodes],
            in_flight: Vec::new(),
        }
    }

    /// Returns the time on a node's clock at the given real time.
    pub fn local(&self, node: usize, real_us: u64) -> Instant {
        self.base + Duration::from_micros(real_us * self.clock_percent[node] / 100)
    }

    pub fn is_partitioned(&self, node: usize, real_us: u64) -> bool {
        real_us < self.partitioned_until_us[node]
    }

    pub fn chance(&mut self, percent: u32) -> bool {
        self.rng.random_range(0..100) < percent
    }

    pub fn send(&mut self, from: usize, to: usize, message: M, real_us: u64) {
        if self.is_partitioned(from, real_us) {
            return;
        }
        let copies = 1 + usize::from(self.chance(self.duplicate_percent));
        for _ in 0..copies {
            if self.chance(self.loss_percent) {
                continue;
            }
            let is_delayed = self.chance(self.delayed_percent);
            let extra = if is_delayed { self.rng.random_range(0..1_500_000) } else { 0 };
            let jitter = self.rng.random_range(0..1_000);
            let at = real_us + self.delay_us + jitter + extra;
            self.in_flight.push((at, to, message.clone()));
        }
    }

    /// Removes and returns the messages that have arrived by now, in the order of arrival.
    pub fn arrived(&mut self, real_us: u64) -> Vec<(usize, M)> {
        let mut due: Vec<(u64, usize, M)> =
            self.in_flight.extract_if(.., |message| message.0 <= real_us).collect();
        due.sort_by_key(|message| message.0);
        let is_partitioned = |to: usize| self.is_partitioned(to, real_us);
        due.into_iter()
            .filter(|(_, to, _)| !is_partitioned(*to))
            .map(|(_, to, message)| (to, message))
            .collect()
    }
}
