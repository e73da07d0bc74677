//! Stable assignment of client blocks to regions.
