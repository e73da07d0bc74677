//! Matches request paths against the open prefixes of a service, whose paths need no key.
//!
//! The target receives the path as the caller wrote it and may normalise it in its own way. An open
//! prefix therefore matches only a path that all servers interpret alike. A path with dot segments,
//! empty segments, path parameters, backslashes or percent-encoded separators needs a key, even if
//! its normalised form is below an open prefix.

use smol_str::SmolStr;

/// Returns whether a path is below one of the open prefixes of a service.
///
/// A prefix matches whole segments: `/public` matches `/public` and `/public/a`, but neither
/// `/publication` nor `/Public`. `/` matches all paths; an empty prefix matches none.
pub fn is_open(path: &str, open_prefixes: &[SmolStr]) -> bool {
    is_unambiguous(path) && open_prefixes.iter().any(|prefix| matches_prefix(prefix, path))
}

fn matches_prefix(prefix: &str, path: &str) -> bool {
    if !is_unambiguous(prefix) {
        return false;
    }
    let prefix = prefix.strip_suffix('/').unwrap_or(prefix);
    match path.strip_prefix(prefix) {
        Some(rest) => rest.is_empty() || rest.starts_with('/'),
        None => false,
    }
}

/// Returns whether all servers interpret a path alike.
pub fn is_unambiguous(path: &str) -> bool {
    let Some(rest) = path.strip_prefix('/') else { return false };
    let mut segments = rest.split('/').peekable();
    while let Some(segment) = segments.next() {
        let is_last = segments.peek().is_none();
        if matches!(segment, "." | "..") || (segment.is_empty() && !is_last) {
            return false;
        }
        if !is_unambiguous_segment(segment.as_bytes()) {
            return false;
        }
    }
    true
}

fn is_unambiguous_segment(segment: &[u8]) -> bool {
    let mut bytes = segment.iter();
    while let Some(&byte) = bytes.next() {
        let unambiguous = match byte {
            b'%' => match (bytes.next().and_then(hex_digit), bytes.next().and_then(hex_digit)) {
                (Some(high), Some(low)) => is_unambiguous_escape(high * 16 + low),
                _ => false,
            },
            // Some servers remove path parameters before they resolve dot segments (`/..;/`).
            b'\\' | b';' | b'?' | b'#' => false,
            _ => byte.is_ascii_graphic(),
        };
        if !unambiguous {
            return false;
        }
    }
    true
}

/// Returns whether the segments stay the same if a server decodes this escape once, twice or not at
/// all.
fn is_unambiguous_escape(decoded: u8) -> bool {
    !matches!(decoded, b'.' | b'/' | b'\\' | b'%' | b';' | b'?' | b'#')
        && !decoded.is_ascii_control()
}

fn hex_digit(digit: &u8) -> Option<u8> {
    char::from(*digit).to_digit(16).and_then(|value| u8::try_from(value).ok())
}
