//! Budgets and pacers of the link directions that this VM uses, and allocators of those whose cap
//! it allocates.

use std::collections::HashMap;
use std::task::Waker;
use std::time::{Duration, Instant};

use celerygate_steering::links::{
    LinkAllocator, LinkLease, LinkLeaseHolder, Pacer, PacerAction, RENEWAL_INTERVAL, TrafficClass,
    static_budget,
};
use celerygate_types::wire::{Configuration, LinkLoad, LinkQuestion};
use celerygate_types::{ByteRate, RegionId};

use crate::daemon::Daemon;

/// A link direction: sending and receiving region.
pub type LinkKey = (RegionId, RegionId);

/// A stream with bytes that wait for budget.
struct Stream {
    waiting_bytes: u64,
    waker: Waker,
}

/// A link direction that this VM uses.
struct LinkState {
    holder: LinkLeaseHolder,
    pacer: Pacer,
    streams: HashMap<u64, Stream>,
    /// Bytes released since the last lease request.
    released_bytes: u64,
    requested_at: Instant,
    used: ByteRate,
}

/// A link direction whose cap this VM allocates.
struct Allocation {
    epoch: u64,
    allocator: LinkAllocator,
}

/// The links of this VM.
#[derive(Default)]
pub struct Links {
    links: HashMap<LinkKey, LinkState>,
    allocations: HashMap<LinkKey, Allocation>,
    last_stream_id: u64,
}

impl Links {
    /// Updates caps, VMs and allocators from the configuration. Also sets the rates of the pacers,
    /// which fall back to the static budget when a lease has expired.
    pub fn configure(&mut self, daemon: &Daemon, configuration: &Configuration, now: Instant) {
        let own_region = &daemon.location.region;
        let vms_in = |region: &RegionId| {
            configuration.members.iter().filter(|member| member.region == *region).count()
        };
        for link in &configuration.links {
            let key = (link.from.clone(), link.to.clone());
            let owners = configuration.slot_owners.iter();
            let owner = owners.clone().find(|owner| owner.region == link.from);
            let epoch = owner.filter(|owner| owner.vm == daemon.own_vm).map(|owner| owner.epoch);
            self.set_allocator(&key, epoch, link.cap_bytes_per_s, now);
            if link.from != *own_region && link.to != *own_region {
                continue;
            }
            // Requests from VMs of the sending region and responses to VMs of the receiving region
            // share the direction.
            let vms = vms_in(&link.from) + vms_in(&link.to);
            let static_rate = static_budget(link.cap_bytes_per_s, vms);
            let state = self.links.entry(key).or_insert_with(|| LinkState {
                holder: LinkLeaseHolder::new(
                    daemon.own_vm.clone(),
                    daemon.incarnation,
                    static_rate,
                    now,
                ),
                pacer: Pacer::new(static_rate, now),
                streams: HashMap::new(),
                released_bytes: 0,
                requested_at: now,
                used: ByteRate::ZERO,
            });
            state.holder.set_static_budget(static_rate);
            state.pacer.set_rate(state.holder.budget(now), now);
        }
        let is_configured = |key: &LinkKey| {
            configuration.links.iter().any(|link| link.from == key.0 && link.to == key.1)
        };
        self.links.retain(|key, _| is_configured(key));
        self.allocations.retain(|key, _| is_configured(key));
    }

    fn set_allocator(&mut self, key: &LinkKey, epoch: Option<u64>, cap: ByteRate, now: Instant) {
        let Some(epoch) = epoch else {
            self.allocations.remove(key);
            return;
        };
        match self.allocations.get_mut(key).filter(|allocation| allocation.epoch == epoch) {
            Some(allocation) => allocation.allocator.set_cap(cap),
            None => {
                let allocator = LinkAllocator::new(epoch, cap, now);
                self.allocations.insert(key.clone(), Allocation { epoch, allocator });
            }
        }
    }

    /// Returns the allocator of a link direction, if this VM is the allocator.
    pub fn allocator(&mut self, key: &LinkKey) -> Option<&mut LinkAllocator> {
        self.allocations.get_mut(key).map(|allocation| &mut allocation.allocator)
    }

    /// Returns the lease requests that are due.
    pub fn due_requests(&mut self, now: Instant) -> Vec<LinkQuestion> {
        let mut requests = Vec::new();
        for ((from, to), state) in &mut self.links {
            let elapsed = now.saturating_duration_since(state.requested_at);
            if elapsed < RENEWAL_INTERVAL {
                continue;
            }
            state.used = average_rate(state.released_bytes, elapsed);
            (state.released_bytes, state.requested_at) = (0, now);
            let request = state.holder.request(state.used, now);
            requests.push(LinkQuestion {
                from: from.clone(),
                to: to.clone(),
                sequence: request.sequence,
                applied_sequence: request.applied_sequence,
                held_bytes_per_s: request.leased,
                used_bytes_per_s: request.used,
                is_limited: request.is_limited,
            });
        }
        requests
    }

    /// Applies a lease of an allocator.
    pub fn apply_lease(&mut self, key: &LinkKey, lease: &LinkLease, now: Instant) {
        if let Some(state) = self.links.get_mut(key)
            && state.holder.apply(lease, now)
        {
            state.pacer.set_rate(state.holder.budget(now), now);
            release(state, now);
        }
    }

    /// Returns whether a link direction has a cap.
    pub fn is_capped(&self, key: &LinkKey) -> bool {
        self.links.contains_key(key)
    }

    /// Returns the rate at which this VM uses each link direction.
    pub fn loads(&self) -> Vec<LinkLoad> {
        let used = self.links.iter().filter(|(_, state)| state.used > ByteRate::ZERO);
        used.map(|((from, to), state)| LinkLoad {
            from: from.clone(),
            to: to.clone(),
            use_bytes_per_s: state.used,
        })
        .collect()
    }

    /// Returns the id of a new stream.
    pub fn open_stream(&mut self) -> u64 {
        self.last_stream_id += 1;
        self.last_stream_id
    }

    /// Queues bytes of a stream for release.
    pub fn submit(
        &mut self,
        key: &LinkKey,
        stream: u64,
        class: TrafficClass,
        bytes: u64,
        waker: &Waker,
    ) {
        // Traffic is not paced once the cap of its link direction has been removed.
        let Some(state) = self.links.get_mut(key) else { return };
        state.pacer.submit(stream, class, bytes);
        state.streams.insert(stream, Stream { waiting_bytes: bytes, waker: waker.clone() });
    }

    /// Releases the bytes that the budget allows. Returns when to poll again for this stream, or
    /// `None` if all its bytes have been released.
    pub fn poll(
        &mut self,
        key: &LinkKey,
        stream: u64,
        waker: &Waker,
        now: Instant,
    ) -> Option<Instant> {
        let state = self.links.get_mut(key)?;
        let retry_at = release(state, now);
        let waiting = state.streams.get_mut(&stream)?;
        if waiting.waiting_bytes == 0 {
            state.streams.remove(&stream);
            return None;
        }
        waiting.waker.clone_from(waker);
        Some(retry_at)
    }

    /// Removes a stream.
    pub fn close_stream(&mut self, key: &LinkKey, stream: u64) {
        if let Some(state) = self.links.get_mut(key) {
            state.pacer.cancel(stream);
            state.streams.remove(&stream);
        }
    }
}

/// Releases bytes in the order of the pacer and wakes the streams whose bytes are all released.
/// Returns when more bytes can be released.
fn release(state: &mut LinkState, now: Instant) -> Instant {
    loop {
        match state.pacer.next(now) {
            PacerAction::Send { stream, bytes } => {
                state.released_bytes += bytes;
                if let Some(waiting) = state.streams.get_mut(&stream) {
                    waiting.waiting_bytes = waiting.waiting_bytes.saturating_sub(bytes);
                    if waiting.waiting_bytes == 0 {
                        waiting.waker.wake_by_ref();
                    }
                }
            }
            PacerAction::WaitUntil(at) => return at,
            PacerAction::NoBudget | PacerAction::Idle => return now + RENEWAL_INTERVAL,
        }
    }
}

fn average_rate(bytes: u64, elapsed: Duration) -> ByteRate {
    ByteRate((bytes as f64 / elapsed.as_secs_f64()) as u64)
}

#[cfg(test)]
#[path = "table_tests.rs"]
mod tests;
