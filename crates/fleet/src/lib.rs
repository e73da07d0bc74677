//! Daemons that find each other by seeds, learn targets from their heartbeats and steer requests to
//! them.
//!
//! A front end supplies a [`adapter::ProtocolAdapter`], serves its own calls from [`run::Daemon`], and is
//! the only part that knows how callers, targets and operators write their messages.

pub mod adapter;
pub mod callers;
pub mod clock;
pub mod commands;
pub mod daemon;
pub mod entry_count;
pub mod forward;
pub mod group;
pub mod http1;
pub mod listen;
pub mod logging;
pub mod lookup;
pub mod mesh;
pub mod quota;
pub mod run;
pub mod sync;
pub mod tables;
pub mod targets;
