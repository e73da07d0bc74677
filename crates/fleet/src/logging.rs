//! Structured logging to standard output.
//!
//! A separate thread writes the lines from a bounded queue. When the reader of the output is slow,
//! lines are dropped and counted, and requests do not block.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::thread;
use std::time::{Duration, Instant};

use anyhow::{Context, Result};
use flexi_logger::writers::LogWriter;
use flexi_logger::{DeferredNow, Logger, LoggerHandle, json_format};
use log::Record;
use parking_lot::Mutex;

/// Maximum number of queued lines. At 200 bytes per line the queue takes about 1 MB.
const QUEUE_LINES: usize = 4_096;

/// Maximum number of lines per second below the level `warn`; warnings and errors are not limited.
/// The busiest entry VM of the deployments writes 1,350 lines/s.
const LINES_PER_S: u32 = 2_000;

/// Maximum time for which a flush waits. The reader of the output may be slow, and the process has
/// little time left when it exits.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// Pause between two attempts to queue a flush behind waiting lines.
const FLUSH_RETRY_INTERVAL: Duration = Duration::from_millis(5);

/// Size above which collected lines are written.
const BATCH_BYTES: usize = 64 * 1_024;

/// An entry of the queue.
enum QueueItem {
    Line(Vec<u8>),
    /// Is sent back once the lines before it are written.
    Flush(SyncSender<()>),
}

struct QueueWriter {
    queue: SyncSender<QueueItem>,
    dropped: Arc<AtomicU64>,
    window: Mutex<RateWindow>,
}

/// Number of lines in the current second.
struct RateWindow {
    start: Instant,
    lines: u32,
}

impl RateWindow {
    /// Counts a line and returns whether it is within the limit.
    fn allows(&mut self, now: Instant) -> bool {
        if now.saturating_duration_since(self.start) >= Duration::from_secs(1) {
            *self = Self { start: now, lines: 0 };
        }
        self.lines += 1;
        self.lines <= LINES_PER_S
    }
}

impl LogWriter for QueueWriter {
    fn write(&self, now: &mut DeferredNow, record: &Record) -> io::Result<()> {
        if record.level() > log::Level::Warn && !self.window.lock().allows(Instant::now()) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            return Ok(());
        }
        let mut line = Vec::with_capacity(256);
        json_format(&mut line, now, record)?;
        line.push(b'\n');
        if self.queue.try_send(QueueItem::Line(line)).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    /// Waits until the queued lines are written, at most [`FLUSH_TIMEOUT`].
    fn flush(&self) -> io::Result<()> {
        let end = Instant::now() + FLUSH_TIMEOUT;
        let (written, wait) = sync_channel(1);
        let mut item = QueueItem::Flush(written);
        loop {
            match self.queue.try_send(item) {
                Ok(()) => break,
                Err(TrySendError::Full(returned)) if Instant::now() < end => item = returned,
                Err(_) => return Err(io::ErrorKind::TimedOut.into()),
            }
            thread::sleep(FLUSH_RETRY_INTERVAL);
        }
        let remaining = end.saturating_duration_since(Instant::now());
        wait.recv_timeout(remaining).map_err(|_| io::ErrorKind::TimedOut.into())
    }
}

/// Starts logging at a level, for example `info`.
///
/// # Errors
///
/// When the level is invalid or a logger is already set.
pub fn start(level: &str) -> Result<LoggerHandle> {
    let (queue, items) = sync_channel(QUEUE_LINES);
    let dropped = Arc::new(AtomicU64::new(0));
    let counter = Arc::clone(&dropped);
    thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || write_lines(&items, &counter, &mut io::stdout().lock()))
        .context("start the log thread")?;
    Logger::try_with_str(level)
        .with_context(|| format!("invalid log level {level:?}"))?
        .log_to_writer(Box::new(QueueWriter {
            queue,
            dropped,
            window: Mutex::new(RateWindow { start: Instant::now(), lines: 0 }),
        }))
        .start()
        .context("start logging")
}

/// Logs each panic with its place, instead of writing it to standard error.
pub fn log_panics() {
    std::panic::set_hook(Box::new(|panic| {
        let place = panic.location().map(ToString::to_string).unwrap_or_default();
        let thread = thread::current().name().unwrap_or_default().to_owned();
        let message = panic.payload_as_str().unwrap_or_default();
        log::error!(thread = thread.as_str(), place = place.as_str(), message = message; "panic");
    }));
}

fn write_lines(items: &Receiver<QueueItem>, dropped: &AtomicU64, output: &mut impl Write) {
    let mut batch = Vec::new();
    let mut flushes: Vec<SyncSender<()>> = Vec::new();
    while let Ok(first) = items.recv() {
        for item in std::iter::once(first).chain(items.try_iter()) {
            match item {
                QueueItem::Line(line) => batch.extend_from_slice(&line),
                QueueItem::Flush(written) => flushes.push(written),
            }
            if batch.len() > BATCH_BYTES {
                break;
            }
        }
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            let note =
                format!("{{\"level\":\"WARN\",\"text\":\"log lines dropped\",\"lines\":{lost}}}\n");
            batch.extend_from_slice(note.as_bytes());
        }
        // Standard output has no reader, so the error cannot be logged.
        let _ = output.write_all(&batch).and_then(|()| output.flush());
        batch.clear();
        for written in flushes.drain(..) {
            // A flush that has timed out no longer waits.
            let _ = written.try_send(());
        }
    }
}

#[cfg(test)]
#[path = "logging_tests.rs"]
mod tests;
