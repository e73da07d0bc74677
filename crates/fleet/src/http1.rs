//! HTTP/1.1 parsing for callers' connections: `httparse` parses heads, and this module handles the
//! framing of bodies.
//!
//! hyper's server runs one request of a connection at a time. Callers pipeline requests, so the
//! daemon reads ahead and needs its own framing.

use hyper::body::Bytes;
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HeaderName, HeaderValue, TRANSFER_ENCODING,
};
use hyper::http::request::Parts;
use hyper::{HeaderMap, Method, Request, Uri, Version};

/// Maximum size of a request head.
pub const MAX_HEAD_BYTES: usize = 32 * 1_024;
/// Maximum number of headers in a head.
const MAX_HEADERS: usize = 128;
/// Maximum length of a chunk size line or trailer line.
const MAX_CHUNK_LINE_BYTES: usize = 256;

/// A complete request.
#[derive(Debug)]
pub struct RequestMessage {
    /// Request line and headers.
    pub parts: Parts,
    /// Decoded body.
    pub body: Bytes,
    /// Whether the caller keeps the connection open after this request.
    pub keep_alive: bool,
}

/// Result of parsing the start of a buffer.
#[derive(Debug)]
pub enum ParseOutcome {
    /// A complete request and its length in bytes.
    Complete(Box<RequestMessage>, usize),
    /// An incomplete request; more bytes are needed.
    Partial {
        /// Whether the caller waits for `100 Continue` before it sends the body.
        expects_continue: bool,
    },
    /// Bytes that are not a valid request.
    Error(ParseError),
}

/// Reason for which a request cannot be parsed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum ParseError {
    /// The head or the framing of the body is malformed or ambiguous.
    Malformed,
    /// The head is too large.
    HeadTooLarge,
    /// The body is too large.
    BodyTooLarge,
    /// The memory for incomplete and running requests is used up.
    NoMemory,
}

impl ParseError {
    /// Returns the HTTP status of the response.
    pub fn status(self) -> u16 {
        match self {
            Self::Malformed => 400,
            Self::HeadTooLarge => 431,
            Self::BodyTooLarge => 413,
            Self::NoMemory => 503,
        }
    }
}

enum Framing {
    Length(usize),
    Chunked,
}

/// Parses the request at the start of a buffer.
pub fn parse(buffer: &[u8], max_body_bytes: usize) -> ParseOutcome {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    let head_bytes = match head.parse(buffer) {
        Ok(httparse::Status::Complete(bytes)) if bytes <= MAX_HEAD_BYTES => bytes,
        Ok(httparse::Status::Partial) if buffer.len() <= MAX_HEAD_BYTES => {
            return ParseOutcome::Partial { expects_continue: false };
        }
        Ok(_) | Err(httparse::Error::TooManyHeaders) => {
            return ParseOutcome::Error(ParseError::HeadTooLarge);
        }
        Err(_) => return ParseOutcome::Error(ParseError::Malformed),
    };
    let Some(parts) = read_head(&head) else { return ParseOutcome::Error(ParseError::Malformed) };
    let Some(framing) = framing(&parts.headers) else {
        return ParseOutcome::Error(ParseError::Malformed);
    };
    let rest = &buffer[head_bytes..];
    let body = match framing {
        Framing::Length(length) if length > max_body_bytes => {
            return ParseOutcome::Error(ParseError::BodyTooLarge);
        }
        Framing::Length(length) if rest.len() >= length => {
            Ok(Some((Bytes::copy_from_slice(&rest[..length]), length)))
        }
        Framing::Length(_) => Ok(None),
        Framing::Chunked => read_chunks(rest, max_body_bytes),
    };
    match body {
        Ok(Some((body, body_bytes))) => {
            let keep_alive = keep_alive(&parts);
            let received = RequestMessage { parts, body, keep_alive };
            ParseOutcome::Complete(Box::new(received), head_bytes + body_bytes)
        }
        Ok(None) => {
            let expects_continue = rest.is_empty() && parts.headers.contains_key(EXPECT);
            ParseOutcome::Partial { expects_continue }
        }
        Err(error) => ParseOutcome::Error(error),
    }
}

fn read_head(head: &httparse::Request<'_, '_>) -> Option<Parts> {
    let mut headers = HeaderMap::with_capacity(head.headers.len());
    for header in head.headers.iter() {
        let name = HeaderName::from_bytes(header.name.as_bytes()).ok()?;
        headers.append(name, HeaderValue::from_bytes(header.value).ok()?);
    }
    let mut request = Request::new(());
    *request.method_mut() = Method::from_bytes(head.method?.as_bytes()).ok()?;
    *request.uri_mut() = head.path?.parse::<Uri>().ok()?;
    *request.version_mut() = if head.version? == 0 { Version::HTTP_10 } else { Version::HTTP_11 };
    *request.headers_mut() = headers;
    Some(request.into_parts().0)
}

/// Returns how the body is framed, or `None` if the headers are ambiguous: two parsers could then
/// disagree on where the next request begins (request smuggling).
fn framing(headers: &HeaderMap) -> Option<Framing> {
    let lengths: Vec<&HeaderValue> = headers.get_all(CONTENT_LENGTH).iter().collect();
    let encodings: Vec<&HeaderValue> = headers.get_all(TRANSFER_ENCODING).iter().collect();
    match (lengths[..].first(), encodings[..].first()) {
        (None, None) => Some(Framing::Length(0)),
        (Some(length), None) if lengths.len() == 1 => {
            let digits = length.to_str().ok()?;
            let is_number = !digits.is_empty() && digits.bytes().all(|byte| byte.is_ascii_digit());
            is_number.then(|| digits.parse().ok()).flatten().map(Framing::Length)
        }
        (None, Some(encoding)) if encodings.len() == 1 => {
            encoding.as_bytes().eq_ignore_ascii_case(b"chunked").then_some(Framing::Chunked)
        }
        _ => None,
    }
}

fn keep_alive(parts: &Parts) -> bool {
    let has_token = |token: &str| {
        let values =
            parts.headers.get_all(CONNECTION).iter().filter_map(|value| value.to_str().ok());
        let mut tokens = values.flat_map(|value| value.split(','));
        tokens.any(|value| value.trim().eq_ignore_ascii_case(token))
    };
    if parts.version == Version::HTTP_10 { has_token("keep-alive") } else { !has_token("close") }
}

/// Decodes a chunked body and returns it with its encoded length, or `None` if it is incomplete.
fn read_chunks(bytes: &[u8], max_bytes: usize) -> Result<Option<(Bytes, usize)>, ParseError> {
    let mut body = Vec::new();
    let mut offset = 0;
    loop {
        let Some((line, next)) = read_line(&bytes[offset..])? else { return Ok(None) };
        let digits = line.split(|byte| *byte == b';').next().unwrap_or_default().trim_ascii();
        let size = std::str::from_utf8(digits).ok().filter(|digits| {
            !digits.is_empty() && digits.bytes().all(|byte| byte.is_ascii_hexdigit())
        });
        let size = size.and_then(|digits| usize::from_str_radix(digits, 16).ok());
        let size = size.ok_or(ParseError::Malformed)?;
        offset += next;
        if size == 0 {
            return Ok(
                trailers_length(&bytes[offset..])?.map(|end| (Bytes::from(body), offset + end))
            );
        }
        if body.len().saturating_add(size) > max_bytes {
            return Err(ParseError::BodyTooLarge);
        }
        let Some(chunk) = bytes.get(offset..offset + size + 2) else { return Ok(None) };
        if !chunk.ends_with(b"\r\n") {
            return Err(ParseError::Malformed);
        }
        body.extend_from_slice(&chunk[..size]);
        offset += size + 2;
    }
}

/// Returns a line without its CRLF and the line's length including it, or `None` if it is
/// incomplete.
fn read_line(bytes: &[u8]) -> Result<Option<(&[u8], usize)>, ParseError> {
    match bytes.windows(2).position(|pair| pair == b"\r\n") {
        Some(end) if end <= MAX_CHUNK_LINE_BYTES => Ok(Some((&bytes[..end], end + 2))),
        None if bytes.len() <= MAX_CHUNK_LINE_BYTES => Ok(None),
        _ => Err(ParseError::Malformed),
    }
}

/// Returns the length of the trailers including the final empty line, or `None` if they are
/// incomplete. Trailers are discarded.
fn trailers_length(bytes: &[u8]) -> Result<Option<usize>, ParseError> {
    let mut offset = 0;
    while let Some((trailer, next)) = read_line(&bytes[offset..])? {
        offset += next;
        if trailer.is_empty() {
            return Ok(Some(offset));
        }
        if offset > MAX_HEAD_BYTES {
            return Err(ParseError::HeadTooLarge);
        }
    }
    Ok(None)
}

/// Writes the head of a response. `length` is the size of the body; `None` selects chunked
/// encoding.
pub fn write_head(
    buffer: &mut Vec<u8>,
    status: hyper::StatusCode,
    headers: &HeaderMap,
    length: Option<u64>,
    close: bool,
) {
    let reason = status.canonical_reason().unwrap_or("Unknown");
    buffer.extend_from_slice(format!("HTTP/1.1 {} {reason}\r\n", status.as_u16()).as_bytes());
    for (name, value) in headers {
        if name == CONTENT_LENGTH || name == TRANSFER_ENCODING || name == CONNECTION {
            continue;
        }
        buffer.extend_from_slice(name.as_str().as_bytes());
        buffer.extend_from_slice(b": ");
        buffer.extend_from_slice(value.as_bytes());
        buffer.extend_from_slice(b"\r\n");
    }
    match length {
        Some(length) => {
            buffer.extend_from_slice(format!("content-length: {length}\r\n").as_bytes());
        }
        None => buffer.extend_from_slice(b"transfer-encoding: chunked\r\n"),
    }
    if close {
        buffer.extend_from_slice(b"connection: close\r\n");
    }
    buffer.extend_from_slice(b"\r\n");
}

#[cfg(test)]
#[path = "http1_tests.rs"]
mod tests;
