//! What the other daemons last said of themselves.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use celerygate_types::VmId;
use celerygate_types::wire::Heartbeat;

/// Time without a heartbeat after which a daemon counts as dead: two heartbeats may be lost.
pub const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(2);

/// A daemon's last heartbeat.
#[derive(Clone, Debug)]
pub struct PeerHeartbeat {
    /// Arrival of the heartbeat.
    pub received_at: Instant,
    /// The heartbeat.
    pub heartbeat: Heartbeat,
}

/// The last heartbeat of each daemon.
#[derive(Debug, Default)]
pub struct PeerHeartbeats {
    known: HashMap<VmId, PeerHeartbeat>,
}

impl PeerHeartbeats {
    /// Records a heartbeat.
    pub fn record(&mut self, vm: VmId, heartbeat: Heartbeat, now: Instant) {
        self.known.insert(vm, PeerHeartbeat { received_at: now, heartbeat });
    }

    /// Returns a daemon's last heartbeat.
    pub fn get(&self, vm: &VmId) -> Option<&PeerHeartbeat> {
        self.known.get(vm)
    }

    /// Returns a daemon's last heartbeat unless the daemon counts as dead.
    pub fn live(&self, vm: &VmId, now: Instant) -> Option<&PeerHeartbeat> {
        let live = |known: &&PeerHeartbeat| {
            now.saturating_duration_since(known.received_at) < HEARTBEAT_TIMEOUT
        };
        self.known.get(vm).filter(live)
    }

    /// Returns every live daemon.
    pub fn all_live(&self, now: Instant) -> impl Iterator<Item = (&VmId, &PeerHeartbeat)> {
        self.known.iter().filter(move |(_, known)| {
            now.saturating_duration_since(known.received_at) < HEARTBEAT_TIMEOUT
        })
    }
}
