//! The replicated configuration and how commands change it.
