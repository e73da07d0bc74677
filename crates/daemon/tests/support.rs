//! What the suites share: the daemon as a process, stand-in targets, and connections of callers.

#![allow(dead_code, reason = "no suite uses every part")]

pub mod caller;
pub mod daemon;
pub mod raw_target;
pub mod target;

use std::future::Future;
use std::time::{Duration, Instant};

use blake3::Hasher;

/// Limit of every wait. It only bounds how long a failing test takes.
pub const PATIENCE: Duration = Duration::from_secs(60);

/// Waits until a check returns something.
pub async fn eventually<T, F>(what: &str, mut check: impl FnMut() -> F) -> T
where
    F: Future<Output = Option<T>>,
{
    let end = Instant::now() + PATIENCE;
    loop {
        if let Some(found) = check().await {
            return found;
        }
        assert!(Instant::now() < end, "gave up waiting until {what}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Returns bytes that look random and depend on the seed only.
pub fn random_bytes(seed: &str, len: usize) -> Vec<u8> {
    let mut bytes = vec![0; len];
    Hasher::new().update(seed.as_bytes()).finalize_xof().fill(&mut bytes);
    bytes
}

/// Returns the position of a part, so that raw bytes can be searched.
pub fn position(bytes: &[u8], part: &[u8]) -> Option<usize> {
    bytes.windows(part.len()).position(|window| window == part)
}
