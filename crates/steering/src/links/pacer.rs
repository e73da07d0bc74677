//! Token bucket that paces what a VM sends over one link direction.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use celerygate_types::{ByteCount, ByteRate};

/// Size from which a response counts as a download.
pub const DOWNLOAD_THRESHOLD: ByteCount = ByteCount(64 * 1_024);
/// Maximum number of bytes that a stream sends before the next stream has its turn.
pub const QUANTUM_BYTES: u64 = 16 * 1_024;
/// Capacity of the bucket, as time at the current rate. Longer bursts would fill the link's
/// buffers.
const BURST: Duration = Duration::from_millis(10);

/// Priority class of traffic.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum TrafficClass {
    /// Small responses, which are sent first.
    Small,
    /// Downloads, which share the bandwidth that small responses leave.
    Download,
}

/// Returns the class of a response. A response of unknown length is small until it has sent
/// [`DOWNLOAD_THRESHOLD`] bytes.
pub fn class_of(length: Option<ByteCount>, sent: ByteCount) -> TrafficClass {
    if length.unwrap_or(sent) < DOWNLOAD_THRESHOLD {
        TrafficClass::Small
    } else {
        TrafficClass::Download
    }
}

/// What the caller of [`Pacer::next`] does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PacerAction {
    /// Send this many bytes of this stream now, and call again.
    Send {
        /// Number of the stream.
        stream: u64,
        /// Number of bytes to send.
        bytes: u64,
    },
    /// Wait until this time before sending.
    WaitUntil(Instant),
    /// The rate is zero; wait until it changes.
    NoBudget,
    /// No stream has data to send.
    Idle,
}

#[derive(Clone, Copy, Debug)]
struct QueuedBytes {
    stream: u64,
    bytes: u64,
}

/// Token bucket with two priority classes, for what one VM sends over one link direction.
///
/// At a constant rate, the bytes released in any time `t` are at most `rate * t + burst`, where
/// `burst` is 10 ms worth of the rate and at least [`QUANTUM_BYTES`].
#[derive(Clone, Debug)]
pub struct Pacer {
    rate: ByteRate,
    /// Available bytes times 10^9, so that no fraction of a byte is lost between two calls.
    nano_tokens: u128,
    updated_at: Instant,
    small: VecDeque<QueuedBytes>,
    downloads: VecDeque<QueuedBytes>,
}

const NANOS_PER_SECOND: u128 = 1_000_000_000;

impl Pacer {
    /// Returns a pacer with an empty bucket.
    pub fn new(rate: ByteRate, now: Instant) -> Self {
        Self {
            rate,
            nano_tokens: 0,
            updated_at: now,
            small: VecDeque::new(),
            downloads: VecDeque::new(),
        }
    }

    /// Changes the rate.
    pub fn set_rate(&mut self, rate: ByteRate, now: Instant) {
        self.refill(now);
        self.rate = rate;
        self.nano_tokens = self.nano_tokens.min(self.burst());
    }

    /// Queues bytes of a stream for sending.
    pub fn submit(&mut self, stream: u64, class: TrafficClass, bytes: u64) {
        if bytes > 0 {
            self.queue(class).push_back(QueuedBytes { stream, bytes });
        }
    }

    /// Removes all queued bytes of a stream.
    pub fn cancel(&mut self, stream: u64) {
        self.small.retain(|queued| queued.stream != stream);
        self.downloads.retain(|queued| queued.stream != stream);
    }

    /// Returns what to send next. Small responses go before downloads; within a class, streams are
    /// served round-robin.
    pub fn next(&mut self, now: Instant) -> PacerAction {
        self.refill(now);
        let class =
            if self.small.is_empty() { TrafficClass::Download } else { TrafficClass::Small };
        let Some(queued) = self.queue(class).front().copied() else { return PacerAction::Idle };
        let bytes = queued.bytes.min(QUANTUM_BYTES);
        let cost = u128::from(bytes) * NANOS_PER_SECOND;
        if cost > self.nano_tokens {
            return self.wait_for(cost, now);
        }
        self.nano_tokens -= cost;
        let queue = self.queue(class);
        queue.pop_front();
        if queued.bytes > bytes {
            queue.push_back(QueuedBytes { stream: queued.stream, bytes: queued.bytes - bytes });
        }
        PacerAction::Send { stream: queued.stream, bytes }
    }

    fn wait_for(&self, cost: u128, now: Instant) -> PacerAction {
        let rate = u128::from(self.rate.get());
        if rate == 0 {
            return PacerAction::NoBudget;
        }
        let nanos = (cost - self.nano_tokens).div_ceil(rate);
        match now.checked_add(Duration::from_nanos(u64::try_from(nanos).unwrap_or(u64::MAX))) {
            Some(at) => PacerAction::WaitUntil(at),
            None => PacerAction::NoBudget,
        }
    }

    fn queue(&mut self, class: TrafficClass) -> &mut VecDeque<QueuedBytes> {
        match class {
            TrafficClass::Small => &mut self.small,
            TrafficClass::Download => &mut self.downloads,
        }
    }

    fn burst(&self) -> u128 {
        let bytes = self.rate.over(BURST).get().max(QUANTUM_BYTES);
        u128::from(bytes) * NANOS_PER_SECOND
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated_at);
        let refilled = u128::from(self.rate.get()).saturating_mul(elapsed.as_nanos());
        self.nano_tokens = self.nano_tokens.saturating_add(refilled).min(self.burst());
        self.updated_at = self.updated_at.max(now);
    }
}
