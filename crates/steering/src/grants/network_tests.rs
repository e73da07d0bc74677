//! A network with faults and nodes with clocks of different rates, shared by the fuzz tests.

use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Faults of one case, drawn from its seed.
pub struct Network<M> {
    pub rng: StdRng,
    base: Instant,
    clock_percent: Vec<u64>,
    loss_percent: u32,
    duplicate_percent: u32,
    late_percent: u32,
    pub delay_us: u64,
    /// Time until which a node neither sends nor receives.
    pub cut_until_us: Vec<u64>,
    in_flight: Vec<(u64, usize, M)>,
}

impl<M: Clone> Network<M> {
    pub fn new(seed: u64, nodes: usize) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        // Every fourth case has no message faults, so that healthy operation is checked as well.
        let mut percent = |limit: u32| {
            if seed.is_multiple_of(4) { 0 } else { rng.random_range(0..=limit) }
        };
        let (loss_percent, duplicate_percent) = (percent(20), percent(20));
        let late_percent = percent(10);
        Self {
            // Real time is that of the fastest clock; 91% is 10% slower.
            clock_percent: (0..nodes).map(|_| [91, 95, 100][rng.random_range(0..3)]).collect(),
            delay_us: rng.random_range(500..20_000),
            rng,
            base: Instant::now(),
            loss_percent,
            duplicate_percent,
            late_percent,
            cut_until_us: vec![0; nodes],
            in_flight: Vec::new(),
        }
    }

    /// Returns a node's own time at a real time.
    pub fn local(&self, node: usize, real_us: u64) -> Instant {
        self.base + Duration::from_micros(real_us * self.clock_percent[node] / 100)
    }

    pub fn is_cut(&self, node: usize, real_us: u64) -> bool {
        real_us < self.cut_until_us[node]
    }

    pub fn percent(&mut self, chance: u32) -> bool {
        self.rng.random_range(0..100) < chance
    }

    pub fn send(&mut self, from: usize, to: usize, message: M, real_us: u64) {
        if self.is_cut(from, real_us) {
            return;
        }
        let copies = 1 + usize::from(self.percent(self.duplicate_percent));
        for _ in 0..copies {
            if self.percent(self.loss_percent) {
                continue;
            }
            let late = self.percent(self.late_percent);
            let extra = if late { self.rng.random_range(0..1_500_000) } else { 0 };
            let jitter = self.rng.random_range(0..1_000);
            let at = real_us + self.delay_us + jitter + extra;
            self.in_flight.push((at, to, message.clone()));
        }
    }

    /// Returns the messages that arrive by now, in the order of their arrival.
    pub fn arrived(&mut self, real_us: u64) -> Vec<(usize, M)> {
        let mut due: Vec<(u64, usize, M)> =
            self.in_flight.extract_if(.., |message| message.0 <= real_us).collect();
        due.sort_by_key(|message| message.0);
        let cut = |to: usize| self.is_cut(to, real_us);
        due.into_iter()
            .filter(|(_, to, _)| !cut(*to))
            .map(|(_, to, message)| (to, message))
            .collect()
    }
}
