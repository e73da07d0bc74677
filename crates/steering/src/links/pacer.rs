//! Token bucket of a VM for one link direction.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use celerygate_types::{ByteCount, ByteRate};

/// Size from which a response is a download.
pub const DOWNLOAD_THRESHOLD: ByteCount = ByteCount(64 * 1_024);
/// Most bytes that a stream sends before others have their turn.
pub const QUANTUM_BYTES: u64 = 16 * 1_024;
/// Time whose traffic the bucket holds at most; longer bursts fill the buffers of the link.
const BURST: Duration = Duration::from_millis(10);

/// Order in which traffic is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum TrafficClass {
    /// Sent first.
    Small,
    /// Shares what small responses leave.
    Download,
}

/// Returns the class of a response; one of unknown length counts as small at its beginning.
pub fn class_of(length: Option<ByteCount>, sent: ByteCount) -> TrafficClass {
    if length.unwrap_or(sent) < DOWNLOAD_THRESHOLD {
        TrafficClass::Small
    } else {
        TrafficClass::Download
    }
}

/// What to send next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PacerAction {
    /// Send this many bytes of this stream now; call again for more.
    Send {
        /// The stream.
        stream: u64,
        /// Bytes to send.
        bytes: u64,
    },
    /// Nothing may be sent before this time.
    WaitUntil(Instant),
    /// The rate is zero; wait for another one.
    NoBudget,
    /// No stream waits.
    Idle,
}

#[derive(Clone, Copy, Debug)]
struct Waiting {
    stream: u64,
    bytes: u64,
}

/// Paces what one VM sends over one link direction.
///
/// In any time t at a constant rate, the released bytes are at most `rate * t + burst`, where burst
/// is 10 ms worth of the rate and at least [`QUANTUM_BYTES`].
#[derive(Clone, Debug)]
pub struct Pacer {
    rate: ByteRate,
    /// Available bytes times 10^9, so that no fraction is lost between two calls.
    nano_tokens: u128,
    updated_at: Instant,
    small: VecDeque<Waiting>,
    downloads: VecDeque<Waiting>,
}

const NANOS: u128 = 1_000_000_000;

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

    /// Adds bytes that a stream wants to send.
    pub fn submit(&mut self, stream: u64, class: TrafficClass, bytes: u64) {
        if bytes > 0 {
            self.queue(class).push_back(Waiting { stream, bytes });
        }
    }

    /// Removes what a stream still wants to send.
    pub fn cancel(&mut self, stream: u64) {
        self.small.retain(|waiting| waiting.stream != stream);
        self.downloads.retain(|waiting| waiting.stream != stream);
    }

    /// Returns what to send next. Small responses go before downloads; within a class, streams take
    /// turns.
    pub fn next(&mut self, now: Instant) -> PacerAction {
        self.refill(now);
        let class =
            if self.small.is_empty() { TrafficClass::Download } else { TrafficClass::Small };
        let Some(waiting) = self.queue(class).front().copied() else { return PacerAction::Idle };
        let bytes = waiting.bytes.min(QUANTUM_BYTES);
        let cost = u128::from(bytes) * NANOS;
        if cost > self.nano_tokens {
            return self.wait_for(cost, now);
        }
        self.nano_tokens -= cost;
        let queue = self.queue(class);
        queue.pop_front();
        if waiting.bytes > bytes {
            queue.push_back(Waiting { stream: waiting.stream, bytes: waiting.bytes - bytes });
        }
        PacerAction::Send { stream: waiting.stream, bytes }
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

    fn queue(&mut self, class: TrafficClass) -> &mut VecDeque<Waiting> {
        match class {
            TrafficClass::Small => &mut self.small,
            TrafficClass::Download => &mut self.downloads,
        }
    }

    fn burst(&self) -> u128 {
        let bytes = self.rate.over(BURST).get().max(QUANTUM_BYTES);
        u128::from(bytes) * NANOS
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated_at);
        let refilled = u128::from(self.rate.get()).saturating_mul(elapsed.as_nanos());
        self.nano_tokens = self.nano_tokens.saturating_add(refilled).min(self.burst());
        self.updated_at = self.updated_at.max(now);
    }
}
