//! A stand-in target whose answers break the protocol.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use super::position;

/// End of every request body that is sent to a raw target, so that it can tell when it has all.
pub const BODY_END: &str = "end-of-body";

/// Time between a response and bytes that nobody asked for.
pub const LATE: Duration = Duration::from_millis(200);

/// What a raw target does with a request.
#[derive(Clone, Debug)]
pub enum Answer {
    /// Sends bytes and closes the connection.
    Close(Vec<u8>),
    /// Sends bytes and waits for the next request.
    Keep(Vec<u8>),
    /// Sends bytes, and others a while later although there was no other request.
    Late(Vec<u8>, Vec<u8>),
    /// Sends bytes and then nothing more.
    Stall(Vec<u8>),
}

/// A request as it arrived.
#[derive(Clone, Debug)]
pub struct RawSeen {
    /// Number of the connection.
    pub connection: usize,
    /// Head and body.
    pub text: String,
}

/// A stand-in target that answers with prepared bytes.
pub struct RawTarget {
    /// Address.
    pub address: SocketAddr,
    seen: Arc<Mutex<Vec<RawSeen>>>,
}

impl RawTarget {
    /// Starts a target; `answer` gets the request and its number, from 0 on.
    pub async fn start(answer: impl Fn(usize, &str) -> Answer + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let seen = Arc::<Mutex<Vec<RawSeen>>>::default();
        let (answer, accepting) = (Arc::new(answer), Arc::clone(&seen));
        tokio::spawn(async move {
            let mut connection = 0;
            while let Ok((stream, _)) = listener.accept().await {
                let (answer, seen) = (Arc::clone(&answer), Arc::clone(&accepting));
                tokio::spawn(async move { serve(stream, connection, &*answer, &seen).await });
                connection += 1;
            }
        });
        Self { address, seen }
    }

    /// Returns the requests so far.
    pub fn seen(&self) -> Vec<RawSeen> {
        self.seen.lock().clone()
    }
}

async fn serve(
    mut stream: TcpStream,
    connection: usize,
    answer: &(impl Fn(usize, &str) -> Answer + Sync),
    seen: &Mutex<Vec<RawSeen>>,
) {
    while let Some(text) = read_request(&mut stream).await {
        let number = {
            let mut seen = seen.lock();
            seen.push(RawSeen { connection, text: text.clone() });
            seen.len() - 1
        };
        match answer(number, &text) {
            Answer::Close(bytes) => {
                let _ = stream.write_all(&bytes).await;
                return;
            }
            Answer::Keep(bytes) => {
                if stream.write_all(&bytes).await.is_err() {
                    return;
                }
            }
            Answer::Late(bytes, late) => {
                let _ = stream.write_all(&bytes).await;
                tokio::time::sleep(LATE).await;
                if stream.write_all(&late).await.is_err() {
                    return;
                }
            }
            Answer::Stall(bytes) => {
                let _ = stream.write_all(&bytes).await;
                // Ends when the daemon closes the connection.
                let _ = stream.read(&mut [0; 64]).await;
                return;
            }
        }
    }
}

/// Reads one request; none at the end of the connection.
async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    let mut part = [0; 4_096];
    loop {
        let count = stream.read(&mut part).await.ok().filter(|count| *count > 0)?;
        bytes.extend_from_slice(&part[..count]);
        let has_body = bytes.starts_with(b"POST") || bytes.starts_with(b"PUT");
        let end: &[u8] = if has_body { BODY_END.as_bytes() } else { b"\r\n\r\n" };
        if position(&bytes, end).is_some() {
            return Some(String::from_utf8_lossy(&bytes).into_owned());
        }
    }
}
