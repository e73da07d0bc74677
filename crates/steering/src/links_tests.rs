//! Tests of links.
