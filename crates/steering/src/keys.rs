//! Authentication of requests by key.
//!
//! A key is read only from the header `Authorization: Bearer KEY`. Keys are stored and compared as
//! BLAKE3 hashes. A request on an open route needs no key; a key that it carries is ignored.

use std::collections::HashMap;

use celerygate_types::wire::Organisation;
use celerygate_types::{KeyHash, KeyId, OrganisationId, ResultCode};
use smallvec::SmallVec;
use smol_str::SmolStr;
use subtle::ConstantTimeEq;

mod paths;

pub use paths::{is_open, is_unambiguous};

/// Maximum length of a key in bytes; longer keys are refused.
pub const MAX_KEY_BYTES: usize = 1_024;

/// Organisation for which a request runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Identity {
    /// The route is open, so the request runs without an organisation.
    Open,
    /// The request runs for this organisation.
    Organisation {
        /// Organisation that owns the key.
        organisation: OrganisationId,
        /// Id of the key, for logs.
        key: KeyId,
    },
    /// The request is refused with this code.
    Refused(ResultCode),
}

#[derive(Clone, Debug)]
struct KeyEntry {
    hash: KeyHash,
    organisation: OrganisationId,
    key: KeyId,
    expires_at_unix_ms: Option<u64>,
}

impl KeyEntry {
    fn is_valid(&self, unix_ms: u64) -> bool {
        self.expires_at_unix_ms.is_none_or(|expires| unix_ms < expires)
    }
}

/// The keys of one configuration revision.
#[derive(Clone, Debug, Default)]
pub struct KeyTable {
    /// Entries by the first 8 bytes of the hash, so that complete hashes are compared only in
    /// constant time.
    entries: HashMap<u64, SmallVec<[KeyEntry; 1]>>,
    len: usize,
}

impl KeyTable {
    /// Builds the table from the organisations of a configuration.
    ///
    /// A key that two organisations share is not accepted, because a request must not run for an
    /// arbitrarily chosen one of them.
    pub fn new(organisations: &[Organisation]) -> Self {
        let mut owners: HashMap<KeyHash, Option<OrganisationId>> = HashMap::new();
        for organisation in organisations {
            for record in &organisation.keys {
                let owner = owners
                    .entry(record.hash)
                    .or_insert_with(|| Some(organisation.organisation.clone()));
                if owner.as_ref() != Some(&organisation.organisation) {
                    *owner = None;
                }
            }
        }
        let mut table = Self::default();
        for organisation in organisations {
            for record in &organisation.keys {
                if owners.get(&record.hash).is_none_or(Option::is_none) {
                    continue;
                }
                table.len += 1;
                table.entries.entry(hash_prefix(&record.hash)).or_default().push(KeyEntry {
                    hash: record.hash,
                    organisation: organisation.organisation.clone(),
                    key: record.key.clone(),
                    expires_at_unix_ms: record.expires_at_unix_ms,
                });
            }
        }
        table
    }

    /// Returns the number of keys.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether the table has no key.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the unexpired entry with this hash.
    fn find(&self, hash: &KeyHash, unix_ms: u64) -> Option<&KeyEntry> {
        let candidates = self.entries.get(&hash_prefix(hash))?;
        let mut found = None;
        for entry in candidates {
            let equal = bool::from(entry.hash.0.ct_eq(&hash.0));
            if equal && entry.is_valid(unix_ms) {
                found = Some(entry);
            }
        }
        found
    }
}

fn hash_prefix(hash: &KeyHash) -> u64 {
    let mut first = [0; 8];
    first.copy_from_slice(&hash.0[..8]);
    u64::from_le_bytes(first)
}

/// Returns the hash under which a key is stored.
pub fn hash_key(key: &[u8]) -> KeyHash {
    KeyHash(*blake3::hash(key).as_bytes())
}

/// The key in the `Authorization` headers of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PresentedKey<'a> {
    /// There is no bearer credential.
    Nothing,
    /// There is exactly one well-formed bearer credential.
    Key(&'a [u8]),
    /// There are several different values, or the bearer credential is malformed.
    Unusable,
}

/// Reads the key from the values of all `Authorization` headers of a request.
pub fn presented_key<'a>(values: impl IntoIterator<Item = &'a [u8]>) -> PresentedKey<'a> {
    let mut values = values.into_iter().map(<[u8]>::trim_ascii);
    let Some(first) = values.next() else { return PresentedKey::Nothing };
    if values.any(|value| value != first) {
        return PresentedKey::Unusable;
    }
    match bearer_token(first) {
        None => PresentedKey::Nothing,
        Some(token) if is_well_formed(token) => PresentedKey::Key(token),
        Some(_) => PresentedKey::Unusable,
    }
}

/// Returns the token of a bearer credential. The scheme is case-insensitive (RFC 9110, 11.1).
pub fn bearer_token(value: &[u8]) -> Option<&[u8]> {
    let value = value.trim_ascii();
    let end = value.iter().position(|byte| matches!(byte, b' ' | b'\t')).unwrap_or(value.len());
    let (scheme, token) = value.split_at(end);
    scheme.eq_ignore_ascii_case(b"bearer").then(|| token.trim_ascii())
}

/// Returns whether a token has a valid length and consists of visible ASCII characters other than
/// `,`, `"` and `;`, which separate or quote values in a header list.
fn is_well_formed(token: &[u8]) -> bool {
    let allowed = |byte: &u8| byte.is_ascii_graphic() && !matches!(byte, b',' | b'"' | b';');
    !token.is_empty() && token.len() <= MAX_KEY_BYTES && token.iter().all(allowed)
}

/// Identifies the organisation for which a request runs.
///
/// `authorization` are the values of all `Authorization` headers, `path` is the path within the
/// service without the query, `open_prefixes` are the open path prefixes of the service, and
/// `unix_ms` is the current time.
pub fn identify<'a>(
    table: &KeyTable,
    authorization: impl IntoIterator<Item = &'a [u8]>,
    path: &str,
    open_prefixes: &[SmolStr],
    unix_ms: u64,
) -> Identity {
    if is_open(path, open_prefixes) {
        return Identity::Open;
    }
    match presented_key(authorization) {
        PresentedKey::Nothing => Identity::Refused(ResultCode::KeyMissing),
        PresentedKey::Unusable => Identity::Refused(ResultCode::KeyRefused),
        PresentedKey::Key(key) => match table.find(&hash_key(key), unix_ms) {
            Some(entry) => Identity::Organisation {
                organisation: entry.organisation.clone(),
                key: entry.key.clone(),
            },
            None => Identity::Refused(ResultCode::KeyRefused),
        },
    }
}

#[cfg(test)]
#[path = "keys_tests.rs"]
mod tests;
