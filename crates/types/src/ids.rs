//! Identifiers.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use thiserror::Error;

use crate::number::number_type;

/// Maximum length of an id in bytes.
pub const MAX_ID_BYTES: usize = 64;

/// Error for a text that is not a valid id.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("expected 1 to {MAX_ID_BYTES} characters of a-z, 0-9, '.', '_' and '-', found {found:?}")]
pub struct IdError {
    /// The rejected text, truncated to [`MAX_ID_BYTES`] characters.
    pub found: String,
}

fn check_id(text: &str) -> Result<SmolStr, IdError> {
    let allowed = |byte: u8| matches!(byte, b'a'..=b'z' | b'0'..=b'9' | b'.' | b'_' | b'-');
    if text.is_empty() || text.len() > MAX_ID_BYTES || !text.bytes().all(allowed) {
        return Err(IdError { found: text.chars().take(MAX_ID_BYTES).collect() });
    }
    Ok(SmolStr::new(text))
}

/// Defines a text id that is validated when it is parsed or deserialised.
macro_rules! text_id {
    ($(#[$meta:meta])* $name:ident) => {
        $(#[$meta])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "SmolStr", into = "SmolStr")]
        pub struct $name(SmolStr);

        impl $name {
            /// Returns the id as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<SmolStr> for $name {
            type Error = IdError;

            fn try_from(text: SmolStr) -> Result<Self, IdError> {
                check_id(&text).map(Self)
            }
        }

        impl From<$name> for SmolStr {
            fn from(id: $name) -> SmolStr {
                id.0
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, IdError> {
                check_id(text).map(Self)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

text_id!(
    /// Identifies a VM of the system.
    VmId
);
text_id!(
    /// Identifies a region.
    RegionId
);
text_id!(
    /// Identifies a data centre.
    DataCentreId
);
text_id!(
    /// Identifies an organisation.
    OrganisationId
);
text_id!(
    /// Identifies a service.
    ServiceId
);
text_id!(
    /// Identifies a target.
    TargetId
);
text_id!(
    /// Identifies an intent; chosen by the operator.
    IntentId
);
text_id!(
    /// Identifies a request.
    RequestId
);
text_id!(
    /// Identifies a key of an organisation without revealing it.
    KeyId
);

number_type!(
    /// Number of accepted configuration changes.
    Revision, u64, ""
);
number_type!(
    /// Leadership term of the control group.
    Term, u64, ""
);
number_type!(
    /// Position in the replicated log, from 1.
    LogIndex, u64, ""
);
number_type!(
    /// Distinguishes the runs of a process; each restart has a higher number.
    Incarnation, u64, ""
);

/// The blake3 hash of a key; its text form is 64 hexadecimal digits.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "SmolStr", into = "SmolStr")]
pub struct KeyHash(pub [u8; 32]);

impl fmt::Display for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for KeyHash {
    /// Shows the first two bytes only, so that debug output does not help an offline search for the
    /// key.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "KeyHash({:02x}{:02x}..)", self.0[0], self.0[1])
    }
}

impl FromStr for KeyHash {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        let invalid = || IdError { found: "a text that is not 64 hexadecimal digits".to_owned() };
        let lower_hex = |byte: u8| matches!(byte, b'0'..=b'9' | b'a'..=b'f');
        if text.len() != 64 || !text.bytes().all(lower_hex) {
            return Err(invalid());
        }
        let mut hash = [0; 32];
        for (byte, start) in hash.iter_mut().zip((0..64).step_by(2)) {
            *byte = u8::from_str_radix(&text[start..start + 2], 16).map_err(|_| invalid())?;
        }
        Ok(Self(hash))
    }
}

impl TryFrom<SmolStr> for KeyHash {
    type Error = IdError;

    fn try_from(text: SmolStr) -> Result<Self, IdError> {
        text.parse()
    }
}

impl From<KeyHash> for SmolStr {
    fn from(hash: KeyHash) -> SmolStr {
        smol_str::format_smolstr!("{hash}")
    }
}

#[cfg(test)]
#[path = "ids_tests.rs"]
mod tests;
