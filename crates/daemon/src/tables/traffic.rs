//! Measures the bytes that this VM sends to callers, by service.

use std::collections::HashMap;
use std::time::Instant;

use celerygate_types::{ByteRate, ServiceId};

/// Counts the bytes of each service between two heartbeats and computes their rates.
#[derive(Debug)]
pub struct TrafficMeter {
    since: Instant,
    bytes: HashMap<ServiceId, u64>,
    rates: HashMap<ServiceId, ByteRate>,
}

impl TrafficMeter {
    /// Returns a meter whose first interval starts now.
    pub fn new(now: Instant) -> Self {
        Self { since: now, bytes: HashMap::new(), rates: HashMap::new() }
    }

    /// Counts bytes of a service.
    pub fn add(&mut self, service: &ServiceId, bytes: u64) {
        match self.bytes.get_mut(service) {
            Some(sum) => *sum += bytes,
            None => {
                self.bytes.insert(service.clone(), bytes);
            }
        }
    }

    /// Computes the rates since the last call and starts a new interval.
    pub fn update_rates(&mut self, now: Instant) {
        let elapsed_s = now.saturating_duration_since(self.since).as_secs_f64();
        if elapsed_s <= 0.0 {
            return;
        }
        self.since = now;
        let rate = |bytes: u64| ByteRate((bytes as f64 / elapsed_s) as u64);
        self.rates = self.bytes.drain().map(|(service, bytes)| (service, rate(bytes))).collect();
    }

    /// Returns the rate of a service in the interval before the last `update_rates`.
    pub fn rate(&self, service: &ServiceId) -> ByteRate {
        self.rates.get(service).copied().unwrap_or_default()
    }
}

#[cfg(test)]
#[path = "traffic_tests.rs"]
mod tests;
