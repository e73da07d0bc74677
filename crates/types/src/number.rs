//! Newtypes over integers with a unit in their text form.

use thiserror::Error;

/// Error for a text that is not a number with the expected unit.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("expected a whole number{unit}, found {found:?}")]
pub struct NumberError {
    /// The expected unit with a leading space, empty when there is none.
    pub unit: &'static str,
    /// The rejected text.
    pub found: String,
}

/// Defines a newtype over an integer whose `Display` and `FromStr` carry a unit.
macro_rules! number_type {
    ($(#[$meta:meta])* $name:ident, $int:ty, $unit:literal) => {
        $(#[$meta])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash,
            serde::Serialize, serde::Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $int);

        impl $name {
            /// Zero.
            pub const ZERO: Self = Self(0);

            /// Returns the number without its unit.
            pub const fn get(self) -> $int {
                self.0
            }

            /// Adds, saturating at the largest value.
            pub const fn saturating_add(self, other: Self) -> Self {
                Self(self.0.saturating_add(other.0))
            }

            /// Subtracts, saturating at zero.
            pub const fn saturating_sub(self, other: Self) -> Self {
                Self(self.0.saturating_sub(other.0))
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                write!(f, "{}{}", self.0, $unit)
            }
        }

        impl std::str::FromStr for $name {
            type Err = $crate::number::NumberError;

            /// Parses a whole number; the unit may be left out.
            fn from_str(text: &str) -> Result<Self, Self::Err> {
                let digits = text.strip_suffix($unit).unwrap_or(text).trim();
                digits.parse().map(Self).map_err(|_| $crate::number::NumberError {
                    unit: $unit,
                    found: text.to_owned(),
                })
            }
        }

        impl From<$int> for $name {
            fn from(value: $int) -> Self {
                Self(value)
            }
        }

        impl std::iter::Sum for $name {
            fn sum<I: Iterator<Item = Self>>(items: I) -> Self {
                items.fold(Self::ZERO, Self::saturating_add)
            }
        }
    };
}

pub(crate) use number_type;
