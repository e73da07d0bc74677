//! Sizes, rates and shares.

use std::time::Duration;

use crate::number::number_type;

number_type!(
    /// A size in bytes.
    ByteCount, u64, " B"
);
number_type!(
    /// A rate in bytes per second.
    ByteRate, u64, " B/s"
);
number_type!(
    /// A rate in requests per second.
    RequestRate, u64, " requests/s"
);
number_type!(
    /// A number of requests.
    RequestCount, u64, " requests"
);
number_type!(
    /// A number of requests that a target runs at the same time.
    SlotCount, u32, " slots"
);
number_type!(
    /// A share in parts per million.
    SharePpm, u32, " ppm"
);

impl SharePpm {
    /// The whole: 1,000,000 ppm.
    pub const WHOLE: Self = Self(1_000_000);

    /// Returns this share of an amount, rounded down.
    pub const fn of(self, amount: u64) -> u64 {
        ((amount as u128 * self.0 as u128) / Self::WHOLE.0 as u128) as u64
    }
}

impl ByteRate {
    /// Returns the number of bytes that this rate allows within a duration, rounded down.
    pub fn over(self, time: Duration) -> ByteCount {
        let bytes = u128::from(self.0) * time.as_nanos() / 1_000_000_000;
        ByteCount(u64::try_from(bytes).unwrap_or(u64::MAX))
    }
}

#[cfg(test)]
#[path = "sizes_tests.rs"]
mod tests;
