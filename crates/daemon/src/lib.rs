//! The parts of the celerygate daemon; the binary `celerygated` only parses its command line.

pub mod announce;
pub mod api;
pub mod body;
pub mod callers;
pub mod commands;
pub mod control;
pub mod daemon;
pub mod forward;
pub mod jobs;
pub mod locks;
pub mod lookup;
pub mod measure;
pub mod once;
pub mod operators;
pub mod parse_errors;
pub mod peers;
pub mod permits;
pub mod refusal;
pub mod settings;
pub mod shutdown;
pub mod status;
pub mod tables;
pub mod telemetry;
pub mod upstream;
pub mod view;
pub mod workers;
