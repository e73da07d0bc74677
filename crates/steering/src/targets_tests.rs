//! Tests of targets.
