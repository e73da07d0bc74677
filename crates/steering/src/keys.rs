//! Whose key a request shows.
//!
//! A key is taken from `Authorization: Bearer KEY` and from nowhere else. Keys are stored and
//! compared as blake3 hashes. A request on an open route needs no key, and a key that comes with it
//! is ignored.

use std::collections::HashMap;

use celerygate_types::wire::Organisation;
use celerygate_types::{KeyHash, KeyId, OrganisationId, ResultCode};
use smallvec::SmallVec;
use smol_str::SmolStr;
use subtle::ConstantTimeEq;

mod paths;

pub use paths::{is_open, is_unambiguous};

/// Longest key that is looked at, in bytes.
pub const MAX_KEY_BYTES: usize = 1_024;

/// Whom a request runs for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Identity {
    /// The route is open: the request runs for no organisation.
    Open,
    /// The request runs for this organisation.
    Organisation {
        /// Owner of the key.
        organisation: OrganisationId,
        /// Name of the key, for logs.
        key: KeyId,
    },
    /// The request must not run.
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
    /// Entries by the first 8 bytes of the hash, so that the complete hashes are only compared in
    /// constant time.
    entries: HashMap<u64, SmallVec<[KeyEntry; 1]>>,
    len: usize,
}

impl KeyTable {
    /// Builds the table from the organisations of a configuration.
    ///
    /// A hash that two organisations share identifies nobody, because a request must not run for an
    /// organisation that is picked arbitrarily.
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
                table.entries.entry(index_of(&record.hash)).or_default().push(KeyEntry {
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

    /// Returns the valid entry of a hash.
    fn find(&self, hash: &KeyHash, unix_ms: u64) -> Option<&KeyEntry> {
        let candidates = self.entries.get(&index_of(hash))?;
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

fn index_of(hash: &KeyHash) -> u64 {
    let mut first = [0; 8];
    first.copy_from_slice(&hash.0[..8]);
    u64::from_le_bytes(first)
}

/// Returns the hash under which a key is stored.
pub fn hash_key(key: &[u8]) -> KeyHash {
    KeyHash(*blake3::hash(key).as_bytes())
}

/// What the `Authorization` values of a request contain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PresentedKey<'a> {
    /// No bearer credential.
    Nothing,
    /// Exactly one bearer credential.
    Key(&'a [u8]),
    /// Several different values, or a bearer credential that is malformed.
    Unusable,
}

/// Reads the values of all `Authorization` headers of a request.
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

/// Returns what follows the scheme of a bearer credential; schemes ignore case (RFC 9110, 11.1).
pub fn bearer_token(value: &[u8]) -> Option<&[u8]> {
    let value = value.trim_ascii();
    let end = value.iter().position(|byte| matches!(byte, b' ' | b'\t')).unwrap_or(value.len());
    let (scheme, token) = value.split_at(end);
    scheme.eq_ignore_ascii_case(b"bearer").then(|| token.trim_ascii())
}

/// Returns whether a token consists of visible characters other than separators of a header list.
fn is_well_formed(token: &[u8]) -> bool {
    let allowed = |byte: &u8| byte.is_ascii_graphic() && !matches!(byte, b',' | b'"' | b';');
    !token.is_empty() && token.len() <= MAX_KEY_BYTES && token.iter().all(allowed)
}

/// Decides for whom a request runs.
///
/// `presented` are the values of all `Authorization` headers, `path` is the path inside the service
/// without the query, `open_prefixes` are those of the service, and `unix_ms` is the wall time.
pub fn identify<'a>(
    table: &KeyTable,
    presented: impl IntoIterator<Item = &'a [u8]>,
    path: &str,
    open_prefixes: &[SmolStr],
    unix_ms: u64,
) -> Identity {
    if is_open(path, open_prefixes) {
        return Identity::Open;
    }
    match presented_key(presented) {
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
