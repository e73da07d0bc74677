//! Whether a configuration is current, and when a change is in force everywhere.
