//! A small HTTP/1.1 client and the reading of messages, for stand-ins.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A message: its first line, its headers with names in lower case, and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(own, _)| own == name).map(|(_, value)| value.as_str())
    }

    /// Returns the status of a response.
    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

/// A connection with bytes that are not used yet.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buffer: Vec::new() }
    }

    pub fn open(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        Ok(Self::new(TcpStream::connect_timeout(&address, timeout)?))
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    fn fill(&mut self, end: Instant) -> io::Result<()> {
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        self.stream.set_read_timeout(Some(left))?;
        let mut bytes = [0; 65_536];
        match self.stream.read(&mut bytes) {
            Ok(0) => Err(io::ErrorKind::UnexpectedEof.into()),
            Ok(count) => {
                self.buffer.extend_from_slice(&bytes[..count]);
                Ok(())
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                Err(io::ErrorKind::TimedOut.into())
            }
            Err(error) => Err(error),
        }
    }

    fn take_line(&mut self, end: Instant) -> io::Result<String> {
        loop {
            if let Some(at) = self.buffer.windows(2).position(|pair| pair == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..at]).into_owned();
                self.buffer.drain(..at + 2);
                return Ok(line);
            }
            self.fill(end)?;
        }
    }

    fn take(&mut self, count: usize, end: Instant) -> io::Result<Vec<u8>> {
        while self.buffer.len() < count {
            self.fill(end)?;
        }
        Ok(self.buffer.drain(..count).collect())
    }

    /// Reads a message with a length or in chunks.
    pub fn read(&mut self, timeout: Duration) -> io::Result<Message> {
        let end = Instant::now() + timeout;
        let mut message = Message { start: self.take_line(end)?, ..Message::default() };
        loop {
            let line = self.take_line(end)?;
            if line.is_empty() {
                break;
            }
            let Some((name, value)) = line.split_once(':') else {
                return Err(io::ErrorKind::InvalidData.into());
            };
            message.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
        if message.header("transfer-encoding").is_some() {
            loop {
                let size = self.take_line(end)?;
                let size = usize::from_str_radix(size.trim(), 16)
                    .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
                let chunk = self.take(size, end)?;
                message.body.extend_from_slice(&chunk);
                self.take_line(end)?;
                if size == 0 {
                    return Ok(message);
                }
            }
        }
        let length = message.header("content-length").and_then(|length| length.parse().ok());
        message.body = self.take(length.unwrap_or(0), end)?;
        Ok(message)
    }
}

/// Sends one request on a connection of its own and reads the response.
pub fn call(
    address: SocketAddr,
    head: &str,
    body: &[u8],
    timeout: Duration,
) -> io::Result<Message> {
    let mut connection = Connection::open(address, timeout)?;
    connection.stream.set_write_timeout(Some(timeout))?;
    let length = body.len();
    let text = format!("{head}Host: {address}\r\nContent-Length: {length}\r\n\r\n");
    connection.write(text.as_bytes())?;
    connection.write(body)?;
    connection.read(timeout)
}
