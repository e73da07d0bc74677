//! Average processing times of requests at targets.

use std::time::Duration;

/// Weight of the latest request in the moving averages.
const EWMA_WEIGHT: f64 = 0.05;
/// Initial estimate for requests with a known object, as a fraction of the route's target latency.
const KNOWN_OBJECT_ESTIMATE: f64 = 0.4;
/// Initial estimate for requests with an unknown object, as a fraction of the route's target
/// latency.
const UNKNOWN_OBJECT_ESTIMATE: f64 = 1.2;

/// An exponential moving average; the arithmetic mean while there are few values.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Average {
    value_s: f64,
    count: u32,
}

impl Average {
    fn observe(&mut self, time: Duration) {
        self.count = self.count.saturating_add(1);
        let weight = (1.0 / f64::from(self.count)).max(EWMA_WEIGHT);
        self.value_s += weight * (time.as_secs_f64() - self.value_s);
    }

    fn value(&self) -> Duration {
        Duration::from_secs_f64(self.value_s)
    }
}

/// Average times that targets take for a service's requests, without queueing.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ProcessingTimes {
    known: Average,
    unknown: Average,
    all: Average,
}

impl ProcessingTimes {
    /// Returns the estimates before any observation; the first observation replaces them.
    pub fn initial_estimate(target_latency: Duration) -> Self {
        let estimate = |fraction: f64| Average {
            value_s: target_latency.mul_f64(fraction).as_secs_f64(),
            count: 0,
        };
        let unknown = estimate(UNKNOWN_OBJECT_ESTIMATE);
        Self { known: estimate(KNOWN_OBJECT_ESTIMATE), unknown, all: unknown }
    }

    /// Records the processing time of a request that did not have to wait for a slot.
    pub fn observe(&mut self, time: Duration, knew_object: bool) {
        let average = if knew_object { &mut self.known } else { &mut self.unknown };
        average.observe(time);
        self.all.observe(time);
    }

    /// Returns the average processing time of all requests.
    pub fn mean(&self) -> Duration {
        self.all.value()
    }

    /// Returns the expected processing time of a request.
    pub fn expected(&self, knows_object: bool) -> Duration {
        if knows_object { self.known.value() } else { self.unknown.value() }
    }
}
