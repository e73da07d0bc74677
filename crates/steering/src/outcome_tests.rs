//! Tests of outcome.
