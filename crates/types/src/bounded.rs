//! Numbers that arrive from outside the process, checked against a range.
//!
//! Settings, documents, headers and messages can hold any number. The types and functions here accept
//! only values with which later additions and multiplications cannot overflow.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use thiserror::Error;

use crate::sizes::{RequestCount, RequestRate, SlotCount};

/// Error for a number outside its range.
#[derive(Clone, Debug, Error, PartialEq)]
#[error("expected a number from {min} to {max}, found {found}")]
pub struct RangeError {
    /// The smallest accepted value.
    pub min: f64,
    /// The largest accepted value.
    pub max: f64,
    /// The rejected value.
    pub found: f64,
}

/// Checks that a number is in a range. Not-a-number is in no range.
///
/// # Errors
///
/// When the number is outside the range.
pub fn check_range(found: f64, min: f64, max: f64) -> Result<f64, RangeError> {
    if (min..=max).contains(&found) { Ok(found) } else { Err(RangeError { min, max, found }) }
}

/// A length of time from outside the process, at most [`TimeSpan::MAX`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimeSpan(Duration);

impl TimeSpan {
    /// The longest accepted time. No request, connection or timeout of a deployment lasts longer than
    /// a day.
    pub const MAX: Self = Self(Duration::from_secs(24 * 60 * 60));

    /// Converts a number of seconds.
    ///
    /// # Errors
    ///
    /// When the number is negative, not a number, or above [`TimeSpan::MAX`].
    pub fn from_secs_f64(seconds: f64) -> Result<Self, RangeError> {
        let checked_s = check_range(seconds, 0.0, Self::MAX.0.as_secs_f64())?;
        Ok(Self(Duration::from_secs_f64(checked_s)))
    }

    /// Converts a number of seconds; [`TimeSpan::MAX`] replaces a longer time. Returns `None` for a
    /// negative number and for not-a-number.
    pub fn clamped_from_secs_f64(seconds: f64) -> Option<Self> {
        let clamped_s = seconds.min(Self::MAX.0.as_secs_f64());
        // `min` returns the other operand for not-a-number.
        if seconds.is_nan() { None } else { Self::from_secs_f64(clamped_s).ok() }
    }

    /// Returns the time as a standard duration.
    pub const fn get(self) -> Duration {
        self.0
    }

    /// Returns the time in milliseconds, rounded to the nearest integer.
    pub fn as_millis(self) -> u64 {
        // At most a day.
        (self.0.as_secs_f64() * 1_000.0).round() as u64
    }
}

impl fmt::Display for TimeSpan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} s", self.0.as_secs_f64())
    }
}

/// Error for a text that is not a time span.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum TimeSpanError {
    /// The text is not a number.
    #[error("expected a number of seconds, found {0:?}")]
    NotANumber(String),
    /// The number is outside the range.
    #[error(transparent)]
    OutOfRange(#[from] RangeError),
}

impl FromStr for TimeSpan {
    type Err = TimeSpanError;

    /// Parses a number of seconds; the unit may be left out.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let digits = text.strip_suffix('s').unwrap_or(text).trim();
        let seconds: f64 =
            digits.parse().map_err(|_| TimeSpanError::NotANumber(text.to_owned()))?;
        Ok(Self::from_secs_f64(seconds)?)
    }
}

impl RequestRate {
    /// The highest accepted rate. The time-dependent arithmetic of the rate limits stays within 64
    /// bits for days at this rate.
    pub const MAX: Self = Self(1_000_000_000);

    /// Converts a rate per second, rounded up.
    ///
    /// # Errors
    ///
    /// When the number is negative, not a number, or above [`RequestRate::MAX`].
    pub fn from_per_s(per_s: f64) -> Result<Self, RangeError> {
        check_range(per_s, 0.0, Self::MAX.0 as f64).map(|rate| Self(rate.ceil() as u64))
    }
}

impl RequestCount {
    /// The largest accepted count.
    pub const MAX: Self = Self(1_000_000_000);

    /// Converts a count, rounded down.
    ///
    /// # Errors
    ///
    /// When the number is negative, not a number, or above [`RequestCount::MAX`].
    pub fn from_f64(count: f64) -> Result<Self, RangeError> {
        check_range(count, 0.0, Self::MAX.0 as f64).map(|count| Self(count.floor() as u64))
    }
}

impl SlotCount {
    /// The largest number of slots that a target may state. A target has a thread or a connection for
    /// each, of which a machine has at most some ten thousand.
    pub const MAX: Self = Self(65_536);
}

#[cfg(test)]
#[path = "bounded_tests.rs"]
mod tests;
