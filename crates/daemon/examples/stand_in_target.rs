//! A stand-in target: announces itself to daemons, returns bodies that clients can verify, and
//! injects faults (stalled, shed, truncated or delayed responses).
//!
//! - `GET /echo/BYTES` and `GET /echo/BYTES/ANYTHING` return a body derived from the path, with its
//!   digest in a header.
//! - `POST /count` with the header `idempotency-key` returns the number of requests with this key
//!   that have run.

#[path = "stand_in_target/announcer.rs"]
mod announcer;
#[path = "shared/body.rs"]
mod body;
#[path = "shared/http.rs"]
mod http;
#[path = "stand_in_target/options.rs"]
mod options;
#[path = "stand_in_target/serve.rs"]
mod serve;

use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context as _, Result};
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};

use announcer::Announcer;
use serve::Target;

/// Longest wait for requests in progress after the drain time.
const FINISH_TIMEOUT: Duration = Duration::from_secs(30);

#[tokio::main]
async fn main() -> Result<()> {
    let options = options::parse()?;
    let listen = &options.listen;
    let listener =
        TcpListener::bind(listen).await.with_context(|| format!("failed to listen on {listen}"))?;
    let address =
        listener.local_addr().context("failed to read the address of the listener")?.to_string();
    let mut terminate =
        signal(SignalKind::terminate()).context("failed to install the SIGTERM handler")?;
    let mut interrupt =
        signal(SignalKind::interrupt()).context("failed to install the SIGINT handler")?;

    let target = Arc::new(Target::new(&options)?);
    let announcer = Announcer::new(&options, &address);
    let renewals = tokio::spawn(announcer.clone().renew());
    eprintln!("target {} serves {} on {address}", options.target, options.service);

    let open = GracefulShutdown::new();
    {
        let accept = accept(&listener, &target, &open);
        tokio::pin!(accept);
        tokio::select! {
            () = &mut accept => {}
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        renewals.abort();
        announcer.send_departure().await;
        // Daemons may send new requests until all of them have received the departure.
        let _ = tokio::time::timeout(options.drain, accept).await;
    }
    if tokio::time::timeout(FINISH_TIMEOUT, open.shutdown()).await.is_err() {
        eprintln!(
            "target {}: requests in progress did not finish within {FINISH_TIMEOUT:?}",
            options.target
        );
    }
    println!("target {}: {}", options.target, target.summary());
    Ok(())
}

/// Accepts connections; does not return.
async fn accept(listener: &TcpListener, target: &Arc<Target>, open: &GracefulShutdown) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                eprintln!("failed to accept a connection: {error}");
                tokio::time::sleep(Duration::from_millis(100)).await;
                continue;
            }
        };
        let _ = stream.set_nodelay(true);
        let target = target.clone();
        let service = service_fn(move |request| {
            let target = target.clone();
            async move { target.answer(request).await }
        });
        let connection = hyper::server::conn::http1::Builder::new()
            .timer(TokioTimer::new())
            .serve_connection(TokioIo::new(stream), service);
        let watched = open.watch(connection);
        // Errors are caused by the peer or by an injected truncation.
        tokio::spawn(async move { watched.await.ok() });
    }
}
