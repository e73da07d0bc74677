//! Path of a change: consensus, durable state, intents and distribution.

pub mod distribution;
pub mod freshness;
pub mod idempotency_log;
pub mod intents;
pub mod log;
pub mod membership;
pub mod node;
pub mod replica;
pub mod state;
pub mod storage;
