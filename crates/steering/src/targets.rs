//! Announced targets and the choice among them.
