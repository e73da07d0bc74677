//! A fleet of daemons that discover each other through seed VMs, learn about targets from their
//! heartbeats and route requests to them.
//!
//! A front end supplies an [`adapter::ProtocolAdapter`] and serves its own endpoints with a
//! [`run::DaemonHandle`]. Only the front end knows the message formats of callers, targets and
//! operators.

pub mod adapter;
pub mod callers;
pub mod clock;
pub mod commands;
pub mod daemon;
pub mod entry_count;
pub mod forward;
pub mod group;
pub mod http1;
pub mod leaving_store;
pub mod listen;
pub mod logging;
pub mod lookup;
pub mod mesh;
pub mod quota;
pub mod run;
pub mod supervise;
pub mod sync;
pub mod tables;
pub mod targets;
