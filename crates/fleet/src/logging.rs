//! Structured logging to standard output.
//!
//! A separate thread writes the lines from a bounded queue. When the reader of the output is slow,
//! lines are dropped and counted, and requests do not block.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
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

struct QueueWriter {
    lines: SyncSender<Vec<u8>>,
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
        if self.lines.try_send(line).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        Ok(())
    }
}

/// Starts logging at a level, for example `info`.
///
/// # Errors
///
/// When the level is invalid or a logger is already set.
pub fn start(level: &str) -> Result<LoggerHandle> {
    let (lines, queue) = sync_channel(QUEUE_LINES);
    let dropped = Arc::new(AtomicU64::new(0));
    let counter = Arc::clone(&dropped);
    thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || write_lines(&queue, &counter))
        .context("start the log thread")?;
    Logger::try_with_str(level)
        .with_context(|| format!("invalid log level {level:?}"))?
        .log_to_writer(Box::new(QueueWriter {
            lines,
            dropped,
            window: Mutex::new(RateWindow { start: Instant::now(), lines: 0 }),
        }))
        .start()
        .context("start logging")
}

fn write_lines(queue: &Receiver<Vec<u8>>, dropped: &AtomicU64) {
    let mut output = io::stdout().lock();
    while let Ok(line) = queue.recv() {
        let mut batch = line;
        while let Ok(line) = queue.try_recv() {
            batch.extend_from_slice(&line);
            if batch.len() > 64 * 1_024 {
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
    }
}

#[cfg(test)]
#[path = "logging_tests.rs"]
mod tests;
