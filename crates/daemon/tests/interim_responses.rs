//! Interim responses, which a target may send before the response to a request.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

use celerygate_daemon::upstream::{ConnectionPool, ConnectionReuse, NetworkPath, SendError};
use http_body_util::{BodyExt, Empty};
use hyper::Request;

/// Upper bound of a wait. Only failing tests wait this long.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
const INTERIM: &str = "HTTP/1.1 100 Continue\r\n\r\n";
const FINAL: &str = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nfinal";

/// Starts a target that writes bytes again and again after a request, until the connection is
/// closed, and then the final response.
fn start_target(interim: String, count: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind to a free port");
    let address = listener.local_addr().expect("local address of the listener");
    std::thread::spawn(move || {
        let mut stream = listener.accept().expect("a connection").0;
        read_request(&mut stream);
        for _ in 0..count {
            if stream.write_all(interim.as_bytes()).is_err() {
                return;
            }
        }
        let _ = stream.write_all(FINAL.as_bytes());
    });
    address
}

fn read_request(stream: &mut TcpStream) {
    let mut bytes = Vec::new();
    let mut buffer = [0; 1_024];
    while !bytes.ends_with(b"\r\n\r\n") {
        let count = stream.read(&mut buffer).expect("a request");
        bytes.extend_from_slice(&buffer[..count]);
    }
}

async fn send(address: SocketAddr) -> Result<Vec<u8>, SendError> {
    let body = Empty::new().map_err(|never| match never {}).boxed_unsync();
    let request = Request::builder().uri("/").header("host", "a").body(body).expect("a request");
    let pool = Arc::<ConnectionPool>::default();
    let sent = pool.send(address, NetworkPath::WithinRegion, ConnectionReuse::New, "", request);
    let response = tokio::time::timeout(WAIT_TIMEOUT, sent).await.expect("the request ends")?;
    Ok(response.into_body().collect().await.expect("a complete body").to_bytes().to_vec())
}

/// Guards against a target that occupies a daemon's thread with interim responses without end.
#[tokio::test]
async fn send_interim_responses_endless() {
    let result = send(start_target(INTERIM.repeat(1_000), usize::MAX)).await;
    assert!(matches!(result, Err(SendError::NoResponse { .. })), "{result:?}");
}

/// Guards against a limit that rejects a response after some interim responses.
#[tokio::test]
async fn send_interim_responses_few() {
    let result = send(start_target(INTERIM.to_owned(), 10)).await;
    assert_eq!(result.expect("a response"), b"final");
}
