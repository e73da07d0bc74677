//! Tests of keys.
