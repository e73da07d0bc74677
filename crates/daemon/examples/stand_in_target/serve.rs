//! Answers requests.

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

/// Size of the pieces in which bodies are made.
const PIECE_BYTES: usize = 64 << 10;

/// Time to send the first part of a body that is cut; hyper drops what it has not sent.
const CUT_PAUSE: Duration = Duration::from_millis(50);

/// Largest body; a typing error must not keep the machine busy.
const MAX_BODY_BYTES: u64 = 1 << 30;

type AnyBody = UnsyncBoxBody<Bytes, Truncated>;

/// The wanted end of a body before its last byte.
#[derive(Debug)]
pub struct Truncated;

impl std::fmt::Display for Truncated {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("truncated on request")
    }
}

impl std::error::Error for Truncated {}

/// What the target has done so far.
#[derive(Default)]
struct Seen {
    requests: AtomicU64,
    running: AtomicU64,
    most_running: AtomicU64,
    over_slots: AtomicU64,
    with_key: AtomicU64,
    truncated: AtomicU64,
    stalled: AtomicU64,
    shed: AtomicU64,
    counts: Mutex<HashMap<String, u64>>,
}

/// The target.
pub struct Target {
    slots: u64,
    faults: Faults,
    seen: Arc<Seen>,
    /// Shared by the targets of a service, so that a repeat on another target is found as well.
    ran: Option<File>,
}

/// Counts a request as running until its body is gone.
struct Running(Arc<Seen>);

impl Drop for Running {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::Relaxed);
    }
}

fn is_nth(number: u64, every: u64) -> bool {
    every != 0 && number.is_multiple_of(every)
}

impl Target {
    /// Makes the target that the options describe.
    pub fn new(options: &Options) -> Result<Self> {
        let slots = u64::from(options.slots.get());
        let open = |path: &std::path::PathBuf| {
            let opened = OpenOptions::new().create(true).append(true).open(path);
            opened.with_context(|| format!("open {}", path.display()))
        };
        let ran = options.ran_file.as_ref().map(open).transpose()?;
        Ok(Self { slots, faults: options.faults, seen: Arc::default(), ran })
    }

    /// Answers one request.
    pub async fn answer(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<AnyBody>, Infallible> {
        let running = self.begin(&request);
        let number = self.seen.requests.fetch_add(1, Ordering::Relaxed) + 1;
        tokio::time::sleep(self.faults.delay).await;
        if is_nth(number, self.faults.stall_every) {
            self.seen.stalled.fetch_add(1, Ordering::Relaxed);
            std::future::pending::<()>().await;
        }
        if is_nth(number, self.faults.shed_every) {
            self.seen.shed.fetch_add(1, Ordering::Relaxed);
            return Ok(text(StatusCode::SERVICE_UNAVAILABLE, "shed", running));
        }
        let (head, body) = request.into_parts();
        // The body is read so that the connection can be used again.
        if body.collect().await.is_err() {
            return Ok(text(StatusCode::BAD_REQUEST, "the body is incomplete", running));
        }
        let path = head.uri.path();
        Ok(match (&head.method, path.strip_prefix("/echo/")) {
            (&Method::GET, Some(rest)) => {
                let cut = is_nth(number, self.faults.truncate_every);
                if cut {
                    self.seen.truncated.fetch_add(1, Ordering::Relaxed);
                }
                echo(path, rest, cut, self.faults.piece_delay, running)
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

    fn begin(&self, request: &Request<Incoming>) -> Running {
        let running = self.seen.running.fetch_add(1, Ordering::Relaxed) + 1;
        self.seen.most_running.fetch_max(running, Ordering::Relaxed);
        if running > self.slots {
            self.seen.over_slots.fetch_add(1, Ordering::Relaxed);
        }
        if request.headers().contains_key(AUTHORIZATION) {
            self.seen.with_key.fetch_add(1, Ordering::Relaxed);
        }
        Running(self.seen.clone())
    }

    fn count(&self, key: &str) -> u64 {
        // One write for each line, so that lines of several targets do not mix.
        if let Some(mut ran) = self.ran.as_ref()
            && let Err(error) = ran.write_all(format!("{key}\n").as_bytes())
        {
            eprintln!("the run of {key} is not recorded: {error}");
        }
        let mut counts = self.seen.counts.lock();
        let count = counts.entry(key.to_owned()).or_default();
        *count += 1;
        *count
    }

    /// Describes what the target has done.
    pub fn summary(&self) -> String {
        let seen = &self.seen;
        let repeated = seen.counts.lock().values().filter(|count| **count > 1).count();
        format!(
            "requests={} most_running={} slots={} over_slots={} with_key={} repeated_keys={repeated} \
             truncated={} stalled={} shed={}",
            seen.requests.load(Ordering::Relaxed),
            seen.most_running.load(Ordering::Relaxed),
            self.slots,
            seen.over_slots.load(Ordering::Relaxed),
            seen.with_key.load(Ordering::Relaxed),
            seen.truncated.load(Ordering::Relaxed),
            seen.stalled.load(Ordering::Relaxed),
            seen.shed.load(Ordering::Relaxed),
        )
    }
}

fn response(status: StatusCode, body: AnyBody) -> Response<AnyBody> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response
}

fn text(status: StatusCode, text: &str, running: Running) -> Response<AnyBody> {
    let body = Full::new(Bytes::copy_from_slice(text.as_bytes()));
    let body = body.map_err(|never| match never {}).map_frame(move |frame| {
        let _until_sent = &running;
        frame
    });
    response(status, body.boxed_unsync())
}

fn echo(
    path: &str,
    rest: &str,
    cut: bool,
    piece_delay: Duration,
    running: Running,
) -> Response<AnyBody> {
    let size = rest.split('/').next().and_then(|size| size.parse().ok());
    let Some(size) = size.filter(|size| *size <= MAX_BODY_BYTES) else {
        return text(StatusCode::BAD_REQUEST, "the size is invalid", running);
    };
    let sent = if cut { size / 2 } else { size };
    let body = Echo {
        reader: stream(path),
        left: size,
        cut_at: size - sent,
        before_cut: None,
        piece_delay,
        before_piece: None,
        _running: running,
    };
    let mut response = response(StatusCode::OK, body.boxed_unsync());
    if let Ok(digest) = digest(path, size).parse() {
        response.headers_mut().insert(DIGEST_HEADER, digest);
    }
    response
}

/// Returns the digest of the first bytes of the stream.
fn digest(path: &str, len: u64) -> String {
    let mut hasher = Hasher::new();
    let mut reader = stream(path);
    let mut piece = vec![0; PIECE_BYTES];
    let mut left = len;
    while left > 0 {
        let size = left.min(PIECE_BYTES as u64) as usize;
        reader.fill(&mut piece[..size]);
        hasher.update(&piece[..size]);
        left -= size as u64;
    }
    hasher.finalize().to_hex().to_string()
}

/// A body that is made while it is sent.
struct Echo {
    reader: OutputReader,
    left: u64,
    /// The body fails when this much is left; 0 for a complete one.
    cut_at: u64,
    /// Runs while the first part is sent.
    before_cut: Option<Pin<Box<Sleep>>>,
    piece_delay: Duration,
    /// Runs after a piece when there is a delay.
    before_piece: Option<Pin<Box<Sleep>>>,
    _running: Running,
}

impl Body for Echo {
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        if let Some(pause) = &mut self.before_piece {
            ready!(pause.as_mut().poll(context));
            self.before_piece = None;
        }
        if self.left == self.cut_at {
            if self.cut_at == 0 {
                return Poll::Ready(None);
            }
            let pause = || Box::pin(sleep(CUT_PAUSE));
            ready!(self.before_cut.get_or_insert_with(pause).as_mut().poll(context));
            return Poll::Ready(Some(Err(Truncated)));
        }
        let size = (self.left - self.cut_at).min(PIECE_BYTES as u64);
        let mut piece = vec![0; size as usize];
        self.reader.fill(&mut piece);
        self.left -= size;
        if !self.piece_delay.is_zero() {
            self.before_piece = Some(Box::pin(sleep(self.piece_delay)));
        }
        Poll::Ready(Some(Ok(Frame::data(piece.into()))))
    }

    fn is_end_stream(&self) -> bool {
        self.left == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.left)
    }
}
