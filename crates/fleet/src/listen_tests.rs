//! Guards against calls of operators, targets and lookups that are lost when the daemon stops.

use std::io::Write;

use http_body_util::Full;
use hyper::body::Bytes;
use tokio::io::AsyncReadExt;

use super::*;

const REQUEST: &[u8] = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 0\r\n\r\n";
/// Size of the responses.
const RESPONSE_BYTES: usize = 300_000;

/// A listener that answers each request with [`RESPONSE_BYTES`], and its parts.
struct Server {
    address: SocketAddr,
    close: watch::Sender<bool>,
    open: Arc<OpenConnections>,
}

impl Server {
    async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (close, shutdown) = watch::channel(false);
        let open = Arc::<OpenConnections>::default();
        let handle =
            |_| async { Response::new(Full::new(Bytes::from(vec![b'x'; RESPONSE_BYTES]))) };
        tokio::spawn(serve(listener, shutdown, Arc::clone(&open), handle));
        Self { address, close, open }
    }

    /// Connects and sends a request without letting other tasks run, so that the connection is in
    /// the accept queue.
    fn connect_queued(&self) -> TcpStream {
        let mut peer = std::net::TcpStream::connect(self.address).unwrap();
        peer.write_all(REQUEST).unwrap();
        peer.set_nonblocking(true).unwrap();
        TcpStream::from_std(peer).unwrap()
    }
}

/// Reads until the connection ends and returns the number of bytes.
async fn read_all(stream: &mut TcpStream) -> std::io::Result<usize> {
    let mut received = Vec::new();
    stream.read_to_end(&mut received).await
}

/// Guards against a stop that sees no open connection between the accept of a queued connection and
/// the start of its task, and ends the process.
#[tokio::test]
async fn stop_connection_in_accept_queue() {
    let server = Server::start().await;
    let mut peer = server.connect_queued();
    server.close.send(true).unwrap();
    let served = tokio::spawn(async move { read_all(&mut peer).await });
    server.open.wait_until_closed().await;
    // The last count ends after the peer has closed its side.
    assert!(served.is_finished(), "the stop ends before the queued connection is served");
}
