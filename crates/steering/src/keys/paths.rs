//! Paths that need no key.
//!
//! The target sees the path as the caller wrote it and may normalise it in its own way. An open
//! prefix therefore only matches a path that every server reads alike: a path with dot segments,
//! empty segments, path parameters, backslashes or percent-encoded separators needs a key, even
//! where its normal form lies below an open prefix.

use smol_str::SmolStr;

/// Returns whether a path lies below one of the open prefixes of a service.
///
/// A prefix matches whole segments: `/public` matches `/public` and `/public/a`, and neither
/// `/publication` nor `/Public`. `/` opens the service; an empty prefix opens nothing.
pub fn is_open(path: &str, open_prefixes: &[SmolStr]) -> bool {
    is_unambiguous(path) && open_prefixes.iter().any(|prefix| covers(prefix, path))
}

fn covers(prefix: &str, path: &str) -> bool {
    if !is_unambiguous(prefix) {
        return false;
    }
    let prefix = prefix.strip_suffix('/').unwrap_or(prefix);
    match path.strip_prefix(prefix) {
        Some(rest) => rest.is_empty() || rest.starts_with('/'),
        None => false,
    }
}

/// Returns whether every server reads a path alike.
pub fn is_unambiguous(path: &str) -> bool {
    let Some(rest) = path.strip_prefix('/') else { return false };
    let mut segments = rest.split('/').peekable();
    while let Some(segment) = segments.next() {
        let is_last = segments.peek().is_none();
        if matches!(segment, "." | "..") || (segment.is_empty() && !is_last) {
            return false;
        }
        if !is_plain_segment(segment.as_bytes()) {
            return false;
        }
    }
    true
}

fn is_plain_segment(segment: &[u8]) -> bool {
    let mut bytes = segment.iter();
    while let Some(&byte) = bytes.next() {
        let plain = match byte {
            b'%' => match (bytes.next().and_then(hex), bytes.next().and_then(hex)) {
                (Some(high), Some(low)) => is_harmless_escape(high * 16 + low),
                _ => false,
            },
            // Some servers drop path parameters before they resolve dot segments (`/..;/`).
            b'\\' | b';' | b'?' | b'#' => false,
            _ => byte.is_ascii_graphic(),
        };
        if !plain {
            return false;
        }
    }
    true
}

/// Returns whether decoding an escape once, twice or not at all leaves the segments unchanged.
fn is_harmless_escape(decoded: u8) -> bool {
    !matches!(decoded, b'.' | b'/' | b'\\' | b'%' | b';' | b'?' | b'#')
        && !decoded.is_ascii_control()
}

fn hex(digit: &u8) -> Option<u8> {
    char::from(*digit).to_digit(16).and_then(|value| u8::try_from(value).ok())
}
