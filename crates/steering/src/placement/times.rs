//! Average times of requests at targets.

use std::time::Duration;

/// Weight of the latest request in the average times of requests.
const TIME_WEIGHT: f64 = 0.05;
/// First guesses of the times of requests, as parts of the route's target latency.
const KNOWN_TIME_GUESS: f64 = 0.4;
/// See [`KNOWN_TIME_GUESS`].
const UNKNOWN_TIME_GUESS: f64 = 1.2;

/// An average that follows the latest values, and the plain mean while there are few.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Average {
    value_s: f64,
    count: u32,
}

impl Average {
    fn observe(&mut self, time: Duration) {
        self.count = self.count.saturating_add(1);
        let weight = (1.0 / f64::from(self.count)).max(TIME_WEIGHT);
        self.value_s += weight * (time.as_secs_f64() - self.value_s);
    }

    fn value(&self) -> Duration {
        Duration::from_secs_f64(self.value_s)
    }
}

/// Average times of a service's requests at a target, without their wait.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ProcessingTimes {
    known: Average,
    unknown: Average,
    all: Average,
}

impl ProcessingTimes {
    /// Returns first guesses for a route; the first observation replaces them.
    pub fn initial_estimate(target_latency: Duration) -> Self {
        let guess =
            |part: f64| Average { value_s: target_latency.mul_f64(part).as_secs_f64(), count: 0 };
        let unknown = guess(UNKNOWN_TIME_GUESS);
        Self { known: guess(KNOWN_TIME_GUESS), unknown, all: unknown }
    }

    /// Takes the time of a request that found a free slot.
    pub fn observe(&mut self, time: Duration, knew_object: bool) {
        let average = if knew_object { &mut self.known } else { &mut self.unknown };
        average.observe(time);
        self.all.observe(time);
    }

    /// Returns the average over all requests.
    pub fn mean(&self) -> Duration {
        self.all.value()
    }

    /// Returns the expected time of a request.
    pub fn expected(&self, knows_object: bool) -> Duration {
        if knows_object { self.known.value() } else { self.unknown.value() }
    }
}
