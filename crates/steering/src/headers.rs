//! Decides which headers are forwarded, and parses the headers that control a request.
//!
//! Not forwarded to the target: hop-by-hop headers, headers named by `Connection`, `Authorization`,
//! every header whose value contains the caller's key, and internal headers. The deadline header is
//! an internal header as well; the daemon sends its own with the value of [`remaining_ms`].
//!
//! Not forwarded to the caller: hop-by-hop headers, headers named by `Connection`, and internal
//! headers.
//!
//! A request whose path or query contains the key is refused, because removing the key from its URL
//! would change the request; see [`path_contains_key`]. Bodies are not inspected.

use std::time::{Duration, Instant};

use celerygate_types::{ResultCode, TimeSpan};
use smallvec::SmallVec;

use crate::keys;

/// Prefix of internal headers.
pub const INTERNAL_PREFIX: &str = "celerygate-";
/// Header with the maximum duration of a request in milliseconds.
pub const DEADLINE_HEADER: &str = "celerygate-deadline-ms";
/// Header with the idempotency key of a request.
pub const IDEMPOTENCY_HEADER: &str = "idempotency-key";
/// Deadline of a request without a deadline header.
pub const DEFAULT_DEADLINE: Duration = Duration::from_millis(30_000);
/// Maximum deadline; a longer one is reduced to this.
pub const MAX_DEADLINE: Duration = Duration::from_millis(600_000);
/// Maximum length of an idempotency key in bytes.
pub const MAX_IDEMPOTENCY_KEY_BYTES: usize = 255;

/// Hop-by-hop headers (RFC 9110, 7.6.1, and older names that are still in use).
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

/// Decides which headers of a request or response are forwarded.
#[derive(Clone, Debug)]
pub struct HeaderFilter<'a> {
    connection_headers: SmallVec<[&'a [u8]; 4]>,
    /// Credentials of the request; empty for a response.
    credentials: SmallVec<[&'a [u8]; 1]>,
    is_request: bool,
}

impl<'a> HeaderFilter<'a> {
    /// Returns the filter for a request with these headers.
    pub fn for_request(headers: impl IntoIterator<Item = (&'a str, &'a [u8])>) -> Self {
        let mut filter = Self::without_headers(true);
        for (name, value) in headers {
            filter.add_connection_names(name, value);
            if names_equal(name, "authorization") {
                let credential = keys::bearer_token(value).unwrap_or(value).trim_ascii();
                if !credential.is_empty() {
                    filter.credentials.push(credential);
                }
            }
        }
        filter
    }

    /// Returns the filter for a response with these headers.
    pub fn for_response(headers: impl IntoIterator<Item = (&'a str, &'a [u8])>) -> Self {
        let mut filter = Self::without_headers(false);
        for (name, value) in headers {
            filter.add_connection_names(name, value);
        }
        filter
    }

    fn without_headers(is_request: bool) -> Self {
        Self { connection_headers: SmallVec::new(), credentials: SmallVec::new(), is_request }
    }

    fn add_connection_names(&mut self, name: &str, value: &'a [u8]) {
        if name.eq_ignore_ascii_case("connection") {
            let names = value.split(|byte| *byte == b',').map(<[u8]>::trim_ascii);
            self.connection_headers.extend(names.filter(|name| !name.is_empty()));
        }
    }

    /// Returns whether a header or trailer is forwarded.
    pub fn should_forward(&self, name: &str, value: &[u8]) -> bool {
        let is_hop_by_hop = HOP_BY_HOP.iter().any(|hop| name.eq_ignore_ascii_case(hop))
            || self.connection_headers.iter().any(|hop| name.as_bytes().eq_ignore_ascii_case(hop));
        if is_hop_by_hop || is_internal(name) {
            return false;
        }
        if !self.is_request {
            return true;
        }
        !names_equal(name, "authorization")
            && !self.credentials.iter().any(|credential| contains_decoded(value, credential))
    }
}

/// Returns whether a header name has the prefix of internal headers.
pub fn is_internal(name: &str) -> bool {
    name.get(..INTERNAL_PREFIX.len()).is_some_and(|start| names_equal(start, INTERNAL_PREFIX))
}

/// Compares header names. `_` and `-` are equal, because servers that map headers to CGI-style
/// variables cannot distinguish them.
fn names_equal(name: &str, expected: &str) -> bool {
    let folded = |byte: u8| if byte == b'_' { b'-' } else { byte.to_ascii_lowercase() };
    name.len() == expected.len() && name.bytes().map(folded).eq(expected.bytes())
}

/// Returns whether the path or query of a request contains the key, as it is or percent-encoded.
///
/// Such a request is refused with `bad-request`: keys are accepted only in the `Authorization`
/// header, and URLs end up in the logs of targets.
pub fn path_contains_key(path_and_query: &str, key: &[u8]) -> bool {
    contains_decoded(path_and_query.as_bytes(), key)
}

fn contains_decoded(value: &[u8], key: &[u8]) -> bool {
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

/// Parses the deadline of a request from the values of [`DEADLINE_HEADER`].
///
/// # Errors
///
/// [`ResultCode::BadRequest`] when the values are malformed or differ.
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

/// Parses the idempotency key of a request from the values of [`IDEMPOTENCY_HEADER`].
///
/// # Errors
///
/// [`ResultCode::BadRequest`] when the values are malformed or differ.
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

/// Parses the time after which to retry, in whole or fractional seconds: digits with at most one
/// decimal point. Signs, exponents, dates and other text give none. [`TimeSpan::MAX`] replaces a longer
/// time.
pub fn parse_retry_after(value: &[u8]) -> Option<Duration> {
    let text = std::str::from_utf8(value).ok()?.trim();
    let is_decimal = text.starts_with(|first: char| first.is_ascii_digit())
        && text.chars().all(|character| character.is_ascii_digit() || character == '.');
    let seconds: f64 = text.parse().ok().filter(|_| is_decimal)?;
    TimeSpan::clamped_from_secs_f64(seconds).map(TimeSpan::get)
}

/// Returns the value of a header, or an error if it has several different values.
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

/// Returns the milliseconds that remain until the deadline, or `None` if it has passed.
pub fn remaining_ms(received_at: Instant, deadline: Duration, now: Instant) -> Option<u64> {
    let left = deadline.checked_sub(now.saturating_duration_since(received_at))?;
    u64::try_from(left.as_millis()).ok().filter(|ms| *ms > 0)
}

#[cfg(test)]
#[path = "headers_tests.rs"]
mod tests;
