//! Which headers are forwarded, in each direction.
//!
//! Not forwarded to the target: hop-by-hop headers, headers named by `Connection`, `Authorization`,
//! every header whose value contains the caller's key, and internal headers. The deadline header
//! is dropped too; the daemon sends its own with the reduced value of [`remaining_ms`].
//! Not forwarded to the caller: hop-by-hop headers, headers named by `Connection`, and internal
//! headers. A request whose path or query contains the key is refused, because a changed address
//! would be another request; see [`path_contains_key`]. Bodies are not inspected.

use std::time::{Duration, Instant};

use celerygate_types::ResultCode;
use smallvec::SmallVec;

use crate::keys;

/// Prefix of the internal headers.
pub const INTERNAL_PREFIX: &str = "celerygate-";
/// Header with the time that a request may take.
pub const DEADLINE_HEADER: &str = "celerygate-deadline-ms";
/// Header with the idempotency key of a request.
pub const IDEMPOTENCY_HEADER: &str = "idempotency-key";
/// Deadline of a request that states none.
pub const DEFAULT_DEADLINE: Duration = Duration::from_millis(30_000);
/// Longest deadline; a later one is reduced to this.
pub const MAX_DEADLINE: Duration = Duration::from_millis(600_000);
/// Longest idempotency key, in bytes.
pub const MAX_IDEMPOTENCY_KEY_BYTES: usize = 255;

/// Headers that concern one connection only (RFC 9110, 7.6.1, and older names still in use).
const HOP_BY_HOP: [&str; 11] = [
    "connection",
    "http2-settings",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authentication-info",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Decides which headers of one message are forwarded.
#[derive(Clone, Debug)]
pub struct HeaderFilter<'a> {
    named_by_connection: SmallVec<[&'a [u8]; 4]>,
    /// Bearer credentials of the request; empty for a response.
    credentials: SmallVec<[&'a [u8]; 1]>,
    is_request: bool,
}

impl<'a> HeaderFilter<'a> {
    /// Returns the filter of a request; `headers` are all its headers.
    pub fn for_request(headers: impl IntoIterator<Item = (&'a str, &'a [u8])>) -> Self {
        let mut filter = Self::empty(true);
        for (name, value) in headers {
            filter.note_connection(name, value);
            if same_name(name, "authorization") {
                let credential = keys::bearer_token(value).unwrap_or(value).trim_ascii();
                if !credential.is_empty() {
                    filter.credentials.push(credential);
                }
            }
        }
        filter
    }

    /// Returns the filter of a response; `headers` are all its headers.
    pub fn for_response(headers: impl IntoIterator<Item = (&'a str, &'a [u8])>) -> Self {
        let mut filter = Self::empty(false);
        for (name, value) in headers {
            filter.note_connection(name, value);
        }
        filter
    }

    fn empty(is_request: bool) -> Self {
        Self { named_by_connection: SmallVec::new(), credentials: SmallVec::new(), is_request }
    }

    fn note_connection(&mut self, name: &str, value: &'a [u8]) {
        if name.eq_ignore_ascii_case("connection") {
            let names = value.split(|byte| *byte == b',').map(<[u8]>::trim_ascii);
            self.named_by_connection.extend(names.filter(|name| !name.is_empty()));
        }
    }

    /// Returns whether a header is forwarded; also decides about trailers.
    pub fn should_forward(&self, name: &str, value: &[u8]) -> bool {
        let is_hop_by_hop = HOP_BY_HOP.iter().any(|hop| name.eq_ignore_ascii_case(hop))
            || self.named_by_connection.iter().any(|hop| name.as_bytes().eq_ignore_ascii_case(hop));
        if is_hop_by_hop || is_internal(name) {
            return false;
        }
        if !self.is_request {
            return true;
        }
        !same_name(name, "authorization")
            && !self.credentials.iter().any(|credential| reveals(value, credential))
    }
}

/// Returns whether a name begins with the prefix of internal headers.
pub fn is_internal(name: &str) -> bool {
    name.get(..INTERNAL_PREFIX.len()).is_some_and(|start| same_name(start, INTERNAL_PREFIX))
}

/// Compares header names; servers with CGI-like variables read `_` and `-` alike.
fn same_name(name: &str, expected: &str) -> bool {
    let folded = |byte: u8| if byte == b'_' { b'-' } else { byte.to_ascii_lowercase() };
    name.len() == expected.len() && name.bytes().map(folded).eq(expected.bytes())
}

/// Returns whether the path or query of a request contains the key, plainly or percent-encoded.
///
/// Such a request is refused with `bad-request`: a key comes from the `Authorization` header only,
/// and addresses end up in the logs of targets.
pub fn path_contains_key(path_and_query: &str, key: &[u8]) -> bool {
    reveals(path_and_query.as_bytes(), key)
}

fn reveals(value: &[u8], key: &[u8]) -> bool {
    if key.is_empty() {
        return false;
    }
    contains(value, key) || (value.contains(&b'%') && contains(&percent_decoded(value), key))
}

fn contains(value: &[u8], part: &[u8]) -> bool {
    value.len() >= part.len() && value.windows(part.len()).any(|window| window == part)
}

fn percent_decoded(value: &[u8]) -> Vec<u8> {
    let digit = |at: usize| value.get(at).and_then(|byte| char::from(*byte).to_digit(16));
    let mut decoded = Vec::with_capacity(value.len());
    let mut at = 0;
    while let Some(&byte) = value.get(at) {
        match (byte, digit(at + 1), digit(at + 2)) {
            (b'%', Some(high), Some(low)) => {
                decoded.push(u8::try_from(high * 16 + low).unwrap_or(byte));
                at += 3;
            }
            _ => {
                decoded.push(byte);
                at += 1;
            }
        }
    }
    decoded
}

/// Reads the deadline of a request from the values of [`DEADLINE_HEADER`].
pub fn parse_deadline<'a>(
    values: impl IntoIterator<Item = &'a [u8]>,
) -> Result<Duration, ResultCode> {
    let Some(value) = single_value(values)? else { return Ok(DEFAULT_DEADLINE) };
    let is_number = !value.is_empty() && value.len() <= 18 && value.iter().all(u8::is_ascii_digit);
    if !is_number {
        return Err(ResultCode::BadRequest);
    }
    let ms = value.iter().fold(0_u64, |ms, digit| ms * 10 + u64::from(digit - b'0'));
    Ok(Duration::from_millis(ms).min(MAX_DEADLINE))
}

/// Reads the idempotency key of a request from the values of [`IDEMPOTENCY_HEADER`].
pub fn parse_idempotency_key<'a>(
    values: impl IntoIterator<Item = &'a [u8]>,
) -> Result<Option<&'a [u8]>, ResultCode> {
    let Some(value) = single_value(values)? else { return Ok(None) };
    let is_visible = value.iter().all(|byte| byte.is_ascii_graphic() || *byte == b' ');
    if value.is_empty() || value.len() > MAX_IDEMPOTENCY_KEY_BYTES || !is_visible {
        return Err(ResultCode::BadRequest);
    }
    Ok(Some(value))
}

/// Returns the only value of a header; different values contradict each other.
fn single_value<'a>(
    values: impl IntoIterator<Item = &'a [u8]>,
) -> Result<Option<&'a [u8]>, ResultCode> {
    let mut values = values.into_iter().map(<[u8]>::trim_ascii);
    let Some(first) = values.next() else { return Ok(None) };
    if values.any(|value| value != first) {
        return Err(ResultCode::BadRequest);
    }
    Ok(Some(first))
}

/// Returns the milliseconds that are left of a deadline, `None` when it has passed.
pub fn remaining_ms(received_at: Instant, deadline: Duration, now: Instant) -> Option<u64> {
    let left = deadline.checked_sub(now.saturating_duration_since(received_at))?;
    u64::try_from(left.as_millis()).ok().filter(|ms| *ms > 0)
}

#[cfg(test)]
#[path = "headers_tests.rs"]
mod tests;
