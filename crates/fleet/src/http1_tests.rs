//! Guards against request smuggling and ambiguous framing.

use super::*;

const LIMIT: usize = 1_000;

fn complete(bytes: &[u8]) -> (RequestMessage, usize) {
    match parse(bytes, LIMIT) {
        ParseOutcome::Complete(received, used) => (*received, used),
        other => panic!("expected a request, found {other:?}"),
    }
}

fn parse_error(bytes: &[u8]) -> ParseError {
    match parse(bytes, LIMIT) {
        ParseOutcome::Error(error) => error,
        other => panic!("expected a fault, found {other:?}"),
    }
}

#[test]
fn parse_pipelined_one_at_a_time() {
    let bytes = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n";
    let (first, used) = complete(bytes);
    assert_eq!(first.parts.uri.path(), "/a");
    let (second, rest) = complete(&bytes[used..]);
    assert_eq!((second.parts.uri.path(), used + rest), ("/b", bytes.len()));
}

#[test]
fn parse_body_with_length() {
    let bytes = b"POST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nabcGET";
    let (received, used) = complete(bytes);
    assert_eq!((&received.body[..], used), (&b"abc"[..], bytes.len() - 3));
    assert!(matches!(parse(&bytes[..bytes.len() - 4], LIMIT), ParseOutcome::Partial { .. }));
}

#[test]
fn parse_body_in_chunks() {
    let head = b"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    let bytes = [&head[..], b"3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nT: v\r\n\r\nGET"].concat();
    let (received, used) = complete(&bytes);
    assert_eq!((&received.body[..], used), (&b"abcde"[..], bytes.len() - 3));
    for end in head.len()..bytes.len() - 3 {
        assert!(matches!(parse(&bytes[..end], LIMIT), ParseOutcome::Partial { .. }), "{end}");
    }
}

#[test]
fn parse_ambiguous_framing_refused() {
    for headers in [
        "Content-Length: 3\r\nTransfer-Encoding: chunked",
        "Content-Length: 3\r\nContent-Length: 4",
        "Content-Length: +3",
        "Content-Length: 3, 3",
        "Transfer-Encoding: gzip, chunked",
        "Transfer-Encoding : chunked",
    ] {
        let bytes = format!("POST /a HTTP/1.1\r\n{headers}\r\n\r\n3\r\nabc\r\n0\r\n\r\n");
        assert_eq!(parse_error(bytes.as_bytes()), ParseError::Malformed, "{headers}");
    }
    let bytes = b"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabcd\r\n0\r\n\r\n";
    assert_eq!(parse_error(bytes), ParseError::Malformed);
}

#[test]
fn parse_too_large_refused() {
    let long = format!("GET /{} HTTP/1.1\r\n", "a".repeat(MAX_HEAD_BYTES));
    assert_eq!(parse_error(long.as_bytes()), ParseError::HeadTooLarge);
    assert_eq!(
        parse_error(b"POST /a HTTP/1.1\r\nContent-Length: 1001\r\n\r\n"),
        ParseError::BodyTooLarge
    );
    let chunked = b"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nfffffffff\r\n";
    assert_eq!(parse_error(chunked), ParseError::BodyTooLarge);
}

#[test]
fn parse_connection_close() {
    assert!(complete(b"GET / HTTP/1.1\r\n\r\n").0.keep_alive);
    assert!(!complete(b"GET / HTTP/1.1\r\nConnection: x, Close\r\n\r\n").0.keep_alive);
    assert!(!complete(b"GET / HTTP/1.0\r\n\r\n").0.keep_alive);
}

#[test]
fn write_head_replaces_framing() {
    let mut headers = HeaderMap::new();
    headers.insert("x-a", HeaderValue::from_static("1"));
    headers.insert(CONTENT_LENGTH, HeaderValue::from_static("7"));
    let mut buffer = Vec::new();
    write_head(&mut buffer, hyper::StatusCode::OK, &headers, Some(3), true);
    expect_test::expect![[r#"
        HTTP/1.1 200 OK
        x-a: 1
        content-length: 3
        connection: close

    "#]]
    .assert_eq(&String::from_utf8_lossy(&buffer).replace("\r\n", "\n"));
}
