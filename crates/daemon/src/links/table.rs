//! Budgets, pacers and dividers of the links that this VM uses or divides.

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

/// A stream with bytes that wait for the budget.
struct Stream {
    waiting_bytes: u64,
    waker: Waker,
}

struct LinkState {
    holder: LinkLeaseHolder,
    pacer: Pacer,
    streams: HashMap<u64, Stream>,
    /// Bytes released since the last question.
    released_bytes: u64,
    asked_at: Instant,
    used: ByteRate,
}

struct Divided {
    epoch: u64,
    divider: LinkAllocator,
}

/// The links of this VM.
#[derive(Default)]
pub struct Links {
    links: HashMap<LinkKey, LinkState>,
    divided: HashMap<LinkKey, Divided>,
    last_stream: u64,
}

impl Links {
    /// Takes over caps, VMs and dividers, and drops budgets that have expired.
    pub fn configure(&mut self, daemon: &Daemon, configuration: &Configuration, now: Instant) {
        let own = &daemon.location.region;
        let vms_in = |region: &RegionId| {
            configuration.members.iter().filter(|member| member.region == *region).count()
        };
        for link in &configuration.links {
            let key = (link.from.clone(), link.to.clone());
            let owners = configuration.slot_owners.iter();
            let owner = owners.clone().find(|owner| owner.region == link.from);
            let epoch = owner.filter(|owner| owner.vm == daemon.own_vm).map(|owner| owner.epoch);
            self.set_divider(&key, epoch, link.cap_bytes_per_s, now);
            if link.from != *own && link.to != *own {
                continue;
            }
            // Requests from one side and responses to the other share the direction.
            let vms = vms_in(&link.from) + vms_in(&link.to);
            let standing = static_budget(link.cap_bytes_per_s, vms);
            let state = self.links.entry(key).or_insert_with(|| LinkState {
                holder: LinkLeaseHolder::new(
                    daemon.own_vm.clone(),
                    daemon.incarnation,
                    standing,
                    now,
                ),
                pacer: Pacer::new(standing, now),
                streams: HashMap::new(),
                released_bytes: 0,
                asked_at: now,
                used: ByteRate::ZERO,
            });
            state.holder.set_static_budget(standing);
            state.pacer.set_rate(state.holder.budget(now), now);
        }
        let is_known = |key: &LinkKey| {
            configuration.links.iter().any(|link| link.from == key.0 && link.to == key.1)
        };
        self.links.retain(|key, _| is_known(key));
        self.divided.retain(|key, _| is_known(key));
    }

    fn set_divider(&mut self, key: &LinkKey, epoch: Option<u64>, cap: ByteRate, now: Instant) {
        let Some(epoch) = epoch else {
            self.divided.remove(key);
            return;
        };
        match self.divided.get_mut(key).filter(|divided| divided.epoch == epoch) {
            Some(divided) => divided.divider.set_cap(cap),
            None => {
                let divider = LinkAllocator::new(epoch, cap, now);
                self.divided.insert(key.clone(), Divided { epoch, divider });
            }
        }
    }

    /// Returns the divider of a direction, if this VM is it.
    pub fn divider(&mut self, key: &LinkKey) -> Option<&mut LinkAllocator> {
        self.divided.get_mut(key).map(|divided| &mut divided.divider)
    }

    /// Returns the questions that are due.
    pub fn ask(&mut self, now: Instant) -> Vec<LinkQuestion> {
        let mut questions = Vec::new();
        for ((from, to), state) in &mut self.links {
            let elapsed = now.saturating_duration_since(state.asked_at);
            if elapsed < RENEWAL_INTERVAL {
                continue;
            }
            state.used = rate_over(state.released_bytes, elapsed);
            (state.released_bytes, state.asked_at) = (0, now);
            let ask = state.holder.request(state.used, now);
            questions.push(LinkQuestion {
                from: from.clone(),
                to: to.clone(),
                sequence: ask.sequence,
                applied_sequence: ask.applied_sequence,
                held_bytes_per_s: ask.leased,
                used_bytes_per_s: ask.used,
                is_limited: ask.is_limited,
            });
        }
        questions
    }

    /// Takes a budget from a divider.
    pub fn accept(&mut self, key: &LinkKey, lease: &LinkLease, now: Instant) {
        if let Some(state) = self.links.get_mut(key)
            && state.holder.apply(lease, now)
        {
            state.pacer.set_rate(state.holder.budget(now), now);
            release(state, now);
        }
    }

    /// Returns whether a direction has a cap.
    pub fn is_capped(&self, key: &LinkKey) -> bool {
        self.links.contains_key(key)
    }

    /// Returns this VM's use of each direction.
    pub fn loads(&self) -> Vec<LinkLoad> {
        let used = self.links.iter().filter(|(_, state)| state.used > ByteRate::ZERO);
        used.map(|((from, to), state)| LinkLoad {
            from: from.clone(),
            to: to.clone(),
            use_bytes_per_s: state.used,
        })
        .collect()
    }

    /// Returns the number of a new stream.
    pub fn open_stream(&mut self) -> u64 {
        self.last_stream += 1;
        self.last_stream
    }

    /// Adds bytes that a stream wants to pass on.
    pub fn submit(
        &mut self,
        key: &LinkKey,
        stream: u64,
        class: TrafficClass,
        bytes: u64,
        waker: &Waker,
    ) {
        // A direction that has lost its cap is not paced any more.
        let Some(state) = self.links.get_mut(key) else { return };
        state.pacer.submit(stream, class, bytes);
        state.streams.insert(stream, Stream { waiting_bytes: bytes, waker: waker.clone() });
    }

    /// Releases what the budget allows; returns when to try again for this stream, none when all
    /// its bytes are released.
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

/// Releases bytes in the pacer's order and wakes the streams that are complete; returns when more
/// can be released.
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

fn rate_over(bytes: u64, elapsed: Duration) -> ByteRate {
    ByteRate((bytes as f64 / elapsed.as_secs_f64()) as u64)
}

#[cfg(test)]
#[path = "table_tests.rs"]
mod tests;
