//! Decisions on the request path: plain structs and functions without I/O. Callers pass the time
//! in.

pub mod availability;
pub mod buffers;
pub mod grants;
pub mod headers;
pub mod idempotency;
pub mod idle;
pub mod instances;
pub mod keys;
pub mod links;
pub mod lookup;
pub mod moves;
pub mod outcome;
pub mod placement;
pub mod queue;
pub mod responses;
pub mod routing;
pub mod shares;
pub mod silence;
pub mod slots;
pub mod targets;
