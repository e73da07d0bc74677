//! The control plane: consensus, the log on disk, the replicated configuration, intents, and the
//! distribution of the configuration to the daemons.

pub mod distribution;
pub mod founding;
pub mod freshness;
pub mod idempotency_log;
pub mod intents;
pub mod leaving_log;
pub mod log;
pub mod membership;
pub mod node;
pub mod replica;
pub mod revision_age;
pub mod state;
pub mod storage;
