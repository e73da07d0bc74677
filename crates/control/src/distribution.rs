//! Who sends the configuration to whom, and as what.
