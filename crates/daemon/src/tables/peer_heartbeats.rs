//! The last heartbeat of each peer daemon.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use celerygate_types::VmId;
use celerygate_types::wire::Heartbeat;

/// Time without a heartbeat after which a daemon counts as dead. Heartbeats are sent every second,
/// so two may be lost.
pub const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(2);

/// The last heartbeat of a daemon.
#[derive(Clone, Debug)]
pub struct PeerHeartbeat {
    /// Time at which the heartbeat arrived.
    pub received_at: Instant,
    /// The heartbeat.
    pub heartbeat: Heartbeat,
}

/// The last heartbeat of each daemon.
#[derive(Debug, Default)]
pub struct PeerHeartbeats {
    peers: HashMap<VmId, PeerHeartbeat>,
}

impl PeerHeartbeats {
    /// Records a heartbeat, replacing the previous one.
    pub fn record(&mut self, vm: VmId, heartbeat: Heartbeat, now: Instant) {
        self.peers.insert(vm, PeerHeartbeat { received_at: now, heartbeat });
    }

    /// Returns a daemon's last heartbeat.
    pub fn get(&self, vm: &VmId) -> Option<&PeerHeartbeat> {
        self.peers.get(vm)
    }

    /// Returns a daemon's last heartbeat unless the daemon counts as dead.
    pub fn live(&self, vm: &VmId, now: Instant) -> Option<&PeerHeartbeat> {
        let live = |peer: &&PeerHeartbeat| {
            now.saturating_duration_since(peer.received_at) < HEARTBEAT_TIMEOUT
        };
        self.peers.get(vm).filter(live)
    }

    /// Returns the last heartbeats of all live daemons.
    pub fn all_live(&self, now: Instant) -> impl Iterator<Item = (&VmId, &PeerHeartbeat)> {
        self.peers.iter().filter(move |(_, peer)| {
            now.saturating_duration_since(peer.received_at) < HEARTBEAT_TIMEOUT
        })
    }
}
