//! An injectable clock, so that tests can control time.

use std::fmt;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Reads monotonic and wall time.
///
/// Leases, deadlines and ages use the monotonic time; wall time is used only in records for
/// people and for the expiry of keys.
#[derive(Clone)]
pub struct Clock {
    /// Returns the monotonic time.
    pub monotonic: Arc<dyn Fn() -> Instant + Send + Sync>,
    /// Returns the wall time.
    pub wall: Arc<dyn Fn() -> SystemTime + Send + Sync>,
}

impl Clock {
    /// Returns the clock of the operating system.
    pub fn system() -> Self {
        Self { monotonic: Arc::new(Instant::now), wall: Arc::new(SystemTime::now) }
    }

    /// Returns the monotonic time.
    pub fn now(&self) -> Instant {
        (self.monotonic)()
    }

    /// Returns the wall time in milliseconds since the Unix epoch, 0 before it.
    pub fn unix_ms(&self) -> u64 {
        let since_epoch = (self.wall)().duration_since(UNIX_EPOCH).unwrap_or_default();
        u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
    }
}

impl fmt::Debug for Clock {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Clock")
    }
}

/// A clock for tests that moves only through [`ManualClock::advance`].
#[derive(Clone, Debug)]
pub struct ManualClock {
    start: Instant,
    elapsed: Arc<Mutex<Duration>>,
}

impl ManualClock {
    /// Creates a clock whose wall time is the Unix epoch.
    pub fn new() -> Self {
        Self { start: Instant::now(), elapsed: Arc::default() }
    }

    /// Moves the clock forward.
    pub fn advance(&self, by: Duration) {
        *self.elapsed.lock().unwrap_or_else(PoisonError::into_inner) += by;
    }

    /// Returns the total time by which the clock was advanced.
    pub fn elapsed(&self) -> Duration {
        *self.elapsed.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns a [`Clock`] that reads this clock.
    pub fn clock(&self) -> Clock {
        let (monotonic, wall) = (self.clone(), self.clone());
        Clock {
            monotonic: Arc::new(move || monotonic.start + monotonic.elapsed()),
            wall: Arc::new(move || UNIX_EPOCH + wall.elapsed()),
        }
    }
}

impl Default for ManualClock {
    fn default() -> Self {
        Self::new()
    }
}
