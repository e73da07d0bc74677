//! Tests of lookup.
