//! A minimal HTTP/1.1 client: one request for each connection.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// An answer, or what is known about a missing one.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Status; 0 if no complete head came.
    pub status: u16,
    /// Lines of the head.
    pub head: String,
    /// Time from the start of the call to the end of the answer.
    pub time: Duration,
}

impl Answer {
    /// Returns the value of a header, empty if there is none.
    pub fn header(&self, name: &str) -> &str {
        let mut lines = self.head.lines().filter_map(|line| line.split_once(": "));
        lines.find(|(key, _)| key.eq_ignore_ascii_case(name)).map_or("", |(_, value)| value)
    }
}

/// Sends a request and reads the answer until the peer closes the connection, for at most `limit`.
pub fn call(
    address: &str,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    limit: Duration,
) -> Answer {
    let started = Instant::now();
    let mut text = format!("{method} {path} HTTP/1.1\r\nconnection: close\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if !headers.iter().any(|(name, _)| *name == "host") {
        text.push_str("host: daemon\r\n");
    }
    text.push_str(&format!("content-length: {}\r\n\r\n{body}", body.len()));
    let bytes = exchange(address, text.as_bytes(), started, limit).unwrap_or_default();
    let received = String::from_utf8_lossy(&bytes).into_owned();
    let (head, _) = received.split_once("\r\n\r\n").unwrap_or(("", ""));
    let status = head.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
    Answer { status, head: head.to_owned(), time: started.elapsed() }
}

fn exchange(
    address: &str,
    request: &[u8],
    started: Instant,
    limit: Duration,
) -> std::io::Result<Vec<u8>> {
    let address: SocketAddr = address.parse().map_err(std::io::Error::other)?;
    let mut stream = TcpStream::connect_timeout(&address, limit)?;
    stream.write_all(request)?;
    let mut received = Vec::new();
    let mut buffer = [0; 16 * 1_024];
    while let Some(left) = limit.checked_sub(started.elapsed()).filter(|left| !left.is_zero()) {
        stream.set_read_timeout(Some(left))?;
        match stream.read(&mut buffer) {
            Ok(0) => return Ok(received),
            Ok(count) => received.extend_from_slice(&buffer[..count]),
            Err(_) => break,
        }
    }
    // Without the end of the connection, the answer is not complete.
    Ok(Vec::new())
}
