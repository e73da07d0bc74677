//! Changes of the control group, one at a time.
