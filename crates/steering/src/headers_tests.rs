//! Tests of headers.
