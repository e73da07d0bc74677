//! Helpers shared by the integration tests: a daemon process, stand-in targets and HTTP callers.

#![allow(dead_code, reason = "each test file uses only some of the helpers")]

pub mod caller;
pub mod daemon;
pub mod raw_target;
pub mod target;
pub mod tls;

use std::future::Future;
use std::time::{Duration, Instant};

use blake3::Hasher;

/// Upper bound of every wait. Only failing tests wait this long.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Polls `check` every 20 ms until it returns a value, and panics after `WAIT_TIMEOUT`. `what`
/// names the awaited condition in the panic message.
pub async fn eventually<T, F>(what: &str, mut check: impl FnMut() -> F) -> T
where
    F: Future<Output = Option<T>>,
{
    let end = Instant::now() + WAIT_TIMEOUT;
    loop {
        if let Some(found) = check().await {
            return found;
        }
        assert!(Instant::now() < end, "timed out after {WAIT_TIMEOUT:?} waiting until {what}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Returns `len` pseudo-random bytes that depend only on the seed.
pub fn random_bytes(seed: &str, len: usize) -> Vec<u8> {
    let mut bytes = vec![0; len];
    Hasher::new().update(seed.as_bytes()).finalize_xof().fill(&mut bytes);
    bytes
}

/// Returns the offset of the first occurrence of `part` in `bytes`.
pub fn position(bytes: &[u8], part: &[u8]) -> Option<usize> {
    bytes.windows(part.len()).position(|window| window == part)
}
