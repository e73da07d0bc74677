//! Request handling of the stand-in target.

use std::collections::HashMap;
use std::convert::Infallible;
use std::fs::{File, OpenOptions};
use std::future::Future as _;
use std::io::Write as _;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use anyhow::{Context as _, Result};
use blake3::{Hasher, OutputReader};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt as _, Full};
use hyper::body::{Body, Bytes, Frame, Incoming, SizeHint};
use hyper::header::AUTHORIZATION;
use hyper::{Method, Request, Response, StatusCode};
use parking_lot::Mutex;
use tokio::time::{Sleep, sleep};

use crate::body::{DIGEST_HEADER, stream};
use crate::options::{Faults, Options};

/// Size of the chunks in which bodies are generated.
const CHUNK_BYTES: usize = 64 << 10;

/// Time to send the first part of a truncated body: on an error hyper discards what it has not
/// sent.
const TRUNCATION_DELAY: Duration = Duration::from_millis(50);

/// Largest body; protects the machine from a mistyped size.
const MAX_BODY_BYTES: u64 = 1 << 30;

type ResponseBody = UnsyncBoxBody<Bytes, Truncated>;

/// Error that ends a body before its last byte, as an injected fault.
#[derive(Debug)]
pub struct Truncated;

impl std::fmt::Display for Truncated {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("truncated on request")
    }
}

impl std::error::Error for Truncated {}

/// Counters of the target.
#[derive(Default)]
struct Stats {
    requests: AtomicU64,
    running: AtomicU64,
    max_running: AtomicU64,
    /// Requests that started while all slots were in use.
    over_slots: AtomicU64,
    /// Requests with an `authorization` header, which the daemon must remove.
    with_key: AtomicU64,
    truncated: AtomicU64,
    stalled: AtomicU64,
    shed: AtomicU64,
    /// Number of `POST /count` requests by idempotency key.
    run_counts: Mutex<HashMap<String, u64>>,
}

/// The stand-in target.
pub struct Target {
    slots: u64,
    faults: Faults,
    stats: Arc<Stats>,
    /// Log of the idempotency keys that have run. The targets of a service share the file, so that
    /// a repetition on another target is detected, too.
    run_log: Option<File>,
}

/// Counts a request as running until its response body is dropped.
struct RunningGuard(Arc<Stats>);

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::Relaxed);
    }
}

fn is_nth(number: u64, every: u64) -> bool {
    every != 0 && number.is_multiple_of(every)
}

impl Target {
    /// Creates a target and opens its run log.
    pub fn new(options: &Options) -> Result<Self> {
        let slots = u64::from(options.slots.get());
        let open = |path: &std::path::PathBuf| {
            let opened = OpenOptions::new().create(true).append(true).open(path);
            opened.with_context(|| format!("failed to open {}", path.display()))
        };
        let run_log = options.run_log_file.as_ref().map(open).transpose()?;
        Ok(Self { slots, faults: options.faults, stats: Arc::default(), run_log })
    }

    /// Answers one request.
    pub async fn answer(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<ResponseBody>, Infallible> {
        let running = self.start_request(&request);
        let number = self.stats.requests.fetch_add(1, Ordering::Relaxed) + 1;
        tokio::time::sleep(self.faults.delay).await;
        if is_nth(number, self.faults.stall_every) {
            self.stats.stalled.fetch_add(1, Ordering::Relaxed);
            std::future::pending::<()>().await;
        }
        if is_nth(number, self.faults.shed_every) {
            self.stats.shed.fetch_add(1, Ordering::Relaxed);
            return Ok(text(StatusCode::SERVICE_UNAVAILABLE, "shed", running));
        }
        let (head, body) = request.into_parts();
        // The body is read so that the connection can be reused.
        if body.collect().await.is_err() {
            return Ok(text(StatusCode::BAD_REQUEST, "request body is incomplete", running));
        }
        let path = head.uri.path();
        Ok(match (&head.method, path.strip_prefix("/echo/")) {
            (&Method::GET, Some(rest)) => {
                let truncate = is_nth(number, self.faults.truncate_every);
                if truncate {
                    self.stats.truncated.fetch_add(1, Ordering::Relaxed);
                }
                echo(path, rest, truncate, self.faults.chunk_delay, running)
            }
            (&Method::POST, None) if path == "/count" => {
                match head.headers.get("idempotency-key").and_then(|key| key.to_str().ok()) {
                    Some(key) => text(StatusCode::OK, &self.count(key).to_string(), running),
                    None => text(StatusCode::BAD_REQUEST, "idempotency-key is missing", running),
                }
            }
            _ => text(StatusCode::NOT_FOUND, "unknown path", running),
        })
    }

    fn start_request(&self, request: &Request<Incoming>) -> RunningGuard {
        let running = self.stats.running.fetch_add(1, Ordering::Relaxed) + 1;
        self.stats.max_running.fetch_max(running, Ordering::Relaxed);
        if running > self.slots {
            self.stats.over_slots.fetch_add(1, Ordering::Relaxed);
        }
        if request.headers().contains_key(AUTHORIZATION) {
            self.stats.with_key.fetch_add(1, Ordering::Relaxed);
        }
        RunningGuard(self.stats.clone())
    }

    fn count(&self, key: &str) -> u64 {
        // Each line is a single write, so that lines of several targets are not interleaved.
        if let Some(mut run_log) = self.run_log.as_ref()
            && let Err(error) = run_log.write_all(format!("{key}\n").as_bytes())
        {
            eprintln!("failed to record the run of {key}: {error}");
        }
        let mut run_counts = self.stats.run_counts.lock();
        let count = run_counts.entry(key.to_owned()).or_default();
        *count += 1;
        *count
    }

    /// Returns the counters as one line of text.
    pub fn summary(&self) -> String {
        let stats = &self.stats;
        let repeated = stats.run_counts.lock().values().filter(|count| **count > 1).count();
        format!(
            "requests={} most_running={} slots={} over_slots={} with_key={} repeated_keys={repeated} \
             truncated={} stalled={} shed={}",
            stats.requests.load(Ordering::Relaxed),
            stats.max_running.load(Ordering::Relaxed),
            self.slots,
            stats.over_slots.load(Ordering::Relaxed),
            stats.with_key.load(Ordering::Relaxed),
            stats.truncated.load(Ordering::Relaxed),
            stats.stalled.load(Ordering::Relaxed),
            stats.shed.load(Ordering::Relaxed),
        )
    }
}

fn response(status: StatusCode, body: ResponseBody) -> Response<ResponseBody> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response
}

fn text(status: StatusCode, text: &str, running: RunningGuard) -> Response<ResponseBody> {
    let body = Full::new(Bytes::copy_from_slice(text.as_bytes()));
    let body = body.map_err(|never| match never {}).map_frame(move |frame| {
        let _guard = &running;
        frame
    });
    response(status, body.boxed_unsync())
}

fn echo(
    path: &str,
    rest: &str,
    truncate: bool,
    chunk_delay: Duration,
    running: RunningGuard,
) -> Response<ResponseBody> {
    let size = rest.split('/').next().and_then(|size| size.parse().ok());
    let Some(size) = size.filter(|size| *size <= MAX_BODY_BYTES) else {
        return text(StatusCode::BAD_REQUEST, "body size is invalid", running);
    };
    let sent = if truncate { size / 2 } else { size };
    let body = EchoBody {
        reader: stream(path),
        remaining_bytes: size,
        truncate_at_bytes: size - sent,
        truncation_timer: None,
        chunk_delay,
        chunk_timer: None,
        _running: running,
    };
    let mut response = response(StatusCode::OK, body.boxed_unsync());
    if let Ok(digest) = digest(path, size).parse() {
        response.headers_mut().insert(DIGEST_HEADER, digest);
    }
    response
}

/// Returns the BLAKE3 hash of the first `len` bytes of the stream of a path, in hexadecimal.
fn digest(path: &str, len: u64) -> String {
    let mut hasher = Hasher::new();
    let mut reader = stream(path);
    let mut chunk = vec![0; CHUNK_BYTES];
    let mut remaining_bytes = len;
    while remaining_bytes > 0 {
        let size = remaining_bytes.min(CHUNK_BYTES as u64) as usize;
        reader.fill(&mut chunk[..size]);
        hasher.update(&chunk[..size]);
        remaining_bytes -= size as u64;
    }
    hasher.finalize().to_hex().to_string()
}

/// A response body that is generated while it is sent.
struct EchoBody {
    reader: OutputReader,
    remaining_bytes: u64,
    /// The body fails when this many bytes remain; 0 for a complete body.
    truncate_at_bytes: u64,
    /// Delays the failure until the first part of the body is sent.
    truncation_timer: Option<Pin<Box<Sleep>>>,
    chunk_delay: Duration,
    /// Delays the next chunk.
    chunk_timer: Option<Pin<Box<Sleep>>>,
    _running: RunningGuard,
}

impl Body for EchoBody {
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        if let Some(timer) = &mut self.chunk_timer {
            ready!(timer.as_mut().poll(context));
            self.chunk_timer = None;
        }
        if self.remaining_bytes == self.truncate_at_bytes {
            if self.truncate_at_bytes == 0 {
                return Poll::Ready(None);
            }
            let timer = || Box::pin(sleep(TRUNCATION_DELAY));
            ready!(self.truncation_timer.get_or_insert_with(timer).as_mut().poll(context));
            return Poll::Ready(Some(Err(Truncated)));
        }
        let size = (self.remaining_bytes - self.truncate_at_bytes).min(CHUNK_BYTES as u64);
        let mut chunk = vec![0; size as usize];
        self.reader.fill(&mut chunk);
        self.remaining_bytes -= size;
        if !self.chunk_delay.is_zero() {
            self.chunk_timer = Some(Box::pin(sleep(self.chunk_delay)));
        }
        Poll::Ready(Some(Ok(Frame::data(chunk.into()))))
    }

    fn is_end_stream(&self) -> bool {
        self.remaining_bytes == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.remaining_bytes)
    }
}
