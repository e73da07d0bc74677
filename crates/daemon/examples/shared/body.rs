//! Response bodies that client and target both derive from the request path.

use blake3::{Hasher, OutputReader};

/// Header with the BLAKE3 hash of the complete body in hexadecimal.
pub const DIGEST_HEADER: &str = "x-body-digest";

/// Returns an endless pseudo-random byte stream derived from the path.
pub fn stream(path: &str) -> OutputReader {
    Hasher::new().update(path.as_bytes()).finalize_xof()
}
