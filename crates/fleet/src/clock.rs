//! Clock for a daemon on a VM that may be suspended.

use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use celerygate_types::Clock;
use rustix::time::{ClockId, clock_gettime};

/// Returns a clock whose monotonic time includes time during which the VM was suspended, so that
/// leases, grants and timeouts expire during a suspension.
pub fn suspend_aware() -> Clock {
    let (start, booted) = (Instant::now(), since_boot());
    Clock {
        monotonic: Arc::new(move || start + since_boot().saturating_sub(booted)),
        wall: Arc::new(SystemTime::now),
    }
}

fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanoseconds = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanoseconds)
}
