//! Daemons that find each other by seeds, learn targets from their heartbeats and steer requests to
//! them.
//!
//! A front end supplies a [`dialect::Dialect`], serves its own calls from [`run::Daemon`], and is
//! the only part that knows how callers, targets and operators write their messages.

pub mod callers;
pub mod clock;
pub mod dialect;
pub mod entry_count;
pub mod fleet;
pub mod forward;
pub mod group;
pub mod http1;
pub mod listen;
pub mod logging;
pub mod lookup;
pub mod mesh;
pub mod orders;
pub mod quota;
pub mod run;
pub mod sync;
pub mod tables;
pub mod targets;
