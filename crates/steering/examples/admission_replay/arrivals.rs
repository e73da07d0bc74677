//! The arrivals of the replay, and the token bucket that decides which of them are inside the rate.

use rand::RngExt;
use rand::rngs::StdRng;

use super::{FAILURE_US, MEAN_WORK_US, RATES, RUN_US, VMS};

/// Share of the arrivals at each VM in percent; organisation n starts at VM n.
const SHARES: [u64; VMS] = [40, 20, 12, 10, 8, 6, 4];

/// A request of the replay.
#[derive(Clone, Copy)]
pub struct Request {
    pub at_us: u64,
    pub organisation: usize,
    pub vm: usize,
    pub work_us: u64,
    pub inside_rate: bool,
}

/// A token bucket that starts full.
pub struct Bucket {
    rate: f64,
    burst: f64,
    level: f64,
    at_us: u64,
}

impl Bucket {
    pub fn new(rate: f64, burst: f64) -> Self {
        Self { rate, burst, level: burst, at_us: 0 }
    }

    pub fn take(&mut self, at_us: u64) -> bool {
        self.level += self.rate * (at_us - self.at_us) as f64 / 1e6;
        self.level = self.level.min(self.burst);
        self.at_us = at_us;
        let taken = self.level >= 1.0 - 1e-9;
        self.level -= if taken { 1.0 } else { 0.0 };
        taken
    }
}

/// Returns the arrivals of all organisations, in order. Callers use other VMs after the failure of
/// `failing_vm`.
pub fn arrivals(rng: &mut StdRng, failing_vm: usize) -> Vec<Request> {
    let mut requests = Vec::new();
    for (organisation, &rate) in RATES.iter().enumerate() {
        let per_s = rate as f64 * if organisation == 0 { 5.0 } else { 0.9 };
        let mut at_us = 0.0;
        loop {
            let mut exponential = |mean: f64| -mean * (1.0 - rng.random::<f64>()).ln();
            at_us += exponential(1e6 / per_s);
            let work_us = exponential(MEAN_WORK_US).clamp(2_000.0, 1e6) as u64;
            if at_us >= RUN_US as f64 {
                break;
            }
            let mut point = rng.random_range(0..100);
            let mut vm = organisation % VMS;
            for share in SHARES {
                if point < share {
                    break;
                }
                point -= share;
                vm = (vm + 1) % VMS;
            }
            if vm == failing_vm && at_us >= FAILURE_US as f64 {
                // Callers use the next address of their lookup response.
                vm = (vm + 1 + rng.random_range(0..VMS - 1)) % VMS;
            }
            let at_us = at_us as u64;
            requests.push(Request { at_us, organisation, vm, work_us, inside_rate: false });
        }
    }
    requests.sort_by_key(|request| request.at_us);
    let mut reference_buckets: Vec<Bucket> =
        RATES.iter().map(|&rate| Bucket::new(rate as f64, rate as f64)).collect();
    for request in &mut requests {
        request.inside_rate = reference_buckets[request.organisation].take(request.at_us);
    }
    requests
}
