//! The holder of leased slot permits: each VM has one per region.

use std::collections::BTreeMap;
use std::time::Instant;

use celerygate_types::SlotCount;
use celerygate_types::wire::{SlotAsk, SlotReply, SlotRequest};

use super::{
    HOLDER_LEASE, IDLE_TIMEOUT, NOTICE_SEQUENCE, RENEW_INTERVAL, REPLY_TIMEOUT, REQUEST_INTERVAL,
    RETRY_INTERVAL, SlotTarget,
};

/// The permits of one target on this VM.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SlotUsage {
    /// Permits held, including those in use.
    pub held: SlotCount,
    /// Permits in use.
    pub running: SlotCount,
}

#[derive(Clone, Debug, Default)]
struct Permits {
    running: u32,
    /// For each permit that is not in use, when it was last used; the earliest first.
    idle_since: Vec<Instant>,
    /// Number of permits above which the owner recalls them.
    limit: Option<u32>,
    lease_until: Option<Instant>,
    /// Permits held according to the last request.
    reported_held: u32,
    /// Additional permits wanted according to the last request.
    reported_wanted: u32,
}

impl Permits {
    fn held(&self) -> u32 {
        self.running + self.idle_since.len() as u32
    }

    /// Drops permits whose lease or idle time-out has expired, and returns whether there were any.
    fn expire(&mut self, now: Instant) -> bool {
        let before = self.idle_since.len();
        if self.lease_until.is_none_or(|until| now >= until) {
            self.idle_since.clear();
        }
        self.idle_since.retain(|since| now.saturating_duration_since(*since) < IDLE_TIMEOUT);
        self.idle_since.len() < before
    }

    fn shrink_to(&mut self, limit: u32) {
        let surplus = self.held().saturating_sub(limit).min(self.idle_since.len() as u32);
        self.idle_since.drain(..surplus as usize);
        self.limit = Some(limit);
    }
}

#[derive(Clone, Copy, Debug)]
struct InFlightRequest {
    sequence: u64,
    sent_at: Instant,
}

/// Holds the slot permits that a region's owner has leased to this VM.
#[derive(Clone, Debug)]
pub struct SlotHolder {
    epoch: u64,
    sequence: u64,
    in_flight: Option<InFlightRequest>,
    sent_at: Option<Instant>,
    /// Whether to send a request without waiting for the next renewal.
    report_due: bool,
    targets: BTreeMap<SlotTarget, Permits>,
}

impl SlotHolder {
    /// Creates a holder without permits.
    pub fn new(epoch: u64) -> Self {
        Self {
            epoch,
            sequence: 0,
            in_flight: None,
            sent_at: None,
            report_due: true,
            targets: BTreeMap::new(),
        }
    }

    /// Switches to the owner of a later epoch. Permits of the previous owner stay usable until
    /// their lease ends; its reply to the request in flight is discarded.
    pub fn set_epoch(&mut self, epoch: u64) {
        if epoch > self.epoch {
            self.epoch = epoch;
            self.in_flight = None;
            self.report_due = true;
        }
    }

    /// Returns the permits of a target that are held and in use.
    pub fn slot_usage(&self, target: &SlotTarget) -> SlotUsage {
        self.targets.get(target).map_or(SlotUsage::default(), |permits| SlotUsage {
            held: SlotCount(permits.held()),
            running: SlotCount(permits.running),
        })
    }

    /// Returns the targets with a valid permit that is not in use.
    pub fn free(&self, now: Instant) -> impl Iterator<Item = &SlotTarget> {
        let usable = move |permits: &Permits| {
            permits.lease_until.is_some_and(|until| now < until) && !permits.idle_since.is_empty()
        };
        self.targets.iter().filter(move |(_, permits)| usable(permits)).map(|(target, _)| target)
    }

    /// Takes a permit for a request that starts now; returns false if none is free.
    pub fn acquire(&mut self, target: &SlotTarget, now: Instant) -> bool {
        let Some(permits) = self.targets.get_mut(target) else {
            return false;
        };
        if permits.lease_until.is_none_or(|until| now >= until) {
            return false;
        }
        // Takes the most recently used permit, so that surplus permits reach the idle time-out and
        // are returned.
        let taken = permits.idle_since.pop().is_some();
        permits.running += u32::from(taken);
        taken
    }

    /// Releases the permit of a request that has ended.
    pub fn release(&mut self, target: &SlotTarget, now: Instant) {
        let Some(permits) = self.targets.get_mut(target) else {
            return;
        };
        let is_recalled = permits.limit.is_some_and(|limit| permits.held() > limit);
        permits.running = permits.running.saturating_sub(1);
        if !is_recalled && permits.lease_until.is_some_and(|until| now < until) {
            permits.idle_since.push(now);
        } else {
            self.report_due = true;
        }
    }

    /// Returns the earliest time at which [`Self::poll`] can return a request; none before the
    /// first request.
    pub fn next_poll(&self) -> Option<Instant> {
        let interval = if self.in_flight.is_some() { REPLY_TIMEOUT } else { REQUEST_INTERVAL };
        self.sent_at.map(|sent_at| sent_at + interval)
    }

    /// Returns the request to send to the owner now, if one is due. Call it when a request starts
    /// to wait or has ended, when a message was accepted, at [`Self::next_poll`] while any of these
    /// is unreported, and every [`RETRY_INTERVAL`]. `wanted` lists the targets for which requests
    /// wait, with the number of permits that would let them start.
    pub fn poll<'a>(
        &mut self,
        wanted: impl IntoIterator<Item = (&'a SlotTarget, u32)>,
        now: Instant,
    ) -> Option<SlotRequest> {
        let wanted: BTreeMap<&SlotTarget, u32> = wanted.into_iter().collect();
        for (target, _) in wanted.iter().filter(|(_, demand)| **demand > 0) {
            if !self.targets.contains_key(*target) {
                self.targets.insert((*target).clone(), Permits::default());
            }
        }
        let (mut asks, mut has_new_demand, mut has_demand) = (Vec::new(), false, false);
        for (target, permits) in &mut self.targets {
            self.report_due |= permits.expire(now);
            let demand = wanted.get(target).copied().unwrap_or(0);
            let demand = demand.saturating_sub(permits.idle_since.len() as u32);
            has_new_demand |= demand > permits.reported_wanted;
            has_demand |= demand > 0;
            if permits.held() > 0 || demand > 0 {
                asks.push(SlotAsk {
                    service: target.0.clone(),
                    target: target.1.clone(),
                    held_slots: SlotCount(permits.held()),
                    running_slots: SlotCount(permits.running),
                    wanted_slots: SlotCount(demand),
                });
            }
        }
        // The owner's record may include permits whose award was lost.
        let since_sent = self.sent_at.map(|at| now.saturating_duration_since(at));
        self.report_due |=
            self.in_flight.is_some() && since_sent.is_some_and(|since| since >= REPLY_TIMEOUT);
        let interval = if self.report_due || has_new_demand {
            REQUEST_INTERVAL
        } else if has_demand {
            RETRY_INTERVAL
        } else if !asks.is_empty() {
            RENEW_INTERVAL
        } else {
            return None;
        };
        let interval = if self.in_flight.is_some() { REPLY_TIMEOUT } else { interval };
        if since_sent.is_some_and(|since| since < interval) {
            return None;
        }
        self.report_due = false;
        self.sequence += 1;
        self.in_flight = Some(InFlightRequest { sequence: self.sequence, sent_at: now });
        self.sent_at = Some(now);
        self.targets.retain(|_, permits| {
            permits.reported_held = 0;
            permits.reported_wanted = 0;
            permits.held() > 0
        });
        for ask in &asks {
            let key = (ask.service.clone(), ask.target.clone());
            let permits = self.targets.entry(key).or_default();
            permits.reported_held = ask.held_slots.get();
            permits.reported_wanted = ask.wanted_slots.get();
        }
        Some(SlotRequest { epoch: self.epoch, sequence: self.sequence, asks })
    }

    /// Applies a message of the owner and returns whether it was accepted. Only the reply to the
    /// request in flight adds permits, because the owner may have allocated those of any other
    /// reply to another VM.
    pub fn accept(&mut self, reply: &SlotReply, now: Instant) -> bool {
        if reply.epoch != self.epoch {
            return false;
        }
        if reply.sequence == NOTICE_SEQUENCE {
            self.report_due = true;
            for award in &reply.awards {
                let key = (award.service.clone(), award.target.clone());
                if let Some(permits) = self.targets.get_mut(&key)
                    && award.held_slots.get() < permits.held()
                {
                    permits.shrink_to(award.held_slots.get());
                }
            }
            return true;
        }
        let Some(answered) = self.in_flight.filter(|sent| sent.sequence == reply.sequence) else {
            return false;
        };
        self.in_flight = None;
        for award in &reply.awards {
            let key = (award.service.clone(), award.target.clone());
            let Some(permits) = self.targets.get_mut(&key) else {
                continue;
            };
            permits.lease_until = Some(answered.sent_at + HOLDER_LEASE);
            let held = award.held_slots.get();
            if held < permits.reported_held {
                permits.shrink_to(held);
                self.report_due = true;
                continue;
            }
            permits.limit = None;
            let added = held - permits.reported_held;
            permits.idle_since.extend((0..added).map(|_| now));
            permits.reported_wanted = permits.reported_wanted.saturating_sub(added);
        }
        true
    }
}
