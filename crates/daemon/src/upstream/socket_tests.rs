//! Sizes of reads from targets, which bound the memory of responses that nobody reads.

use super::*;

/// Guards against reads that together need more memory, the more connections are open.
#[test]
fn read_size_many_connections() {
    for open in [1, 500, 4_000] {
        assert!(read_size(open) * open <= READ_TOTAL_BYTES, "{open} connections");
    }
}

/// Guards against reads so small that a response takes a call to the kernel for each few bytes.
#[test]
fn read_size_within_range() {
    assert_eq!(read_size(0), READ_MAX_BYTES);
    assert_eq!(read_size(1), READ_MAX_BYTES);
    assert_eq!(read_size(1_000_000), READ_MIN_BYTES);
}
