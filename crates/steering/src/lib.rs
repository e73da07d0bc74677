//! Request-path decisions: plain functions over plain structs, with the time passed in.

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
pub mod routing;
pub mod shares;
pub mod slots;
pub mod targets;
