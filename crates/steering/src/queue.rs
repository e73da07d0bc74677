//! Bounded wait queue of one VM with start-time fair queueing (SFQ) of slot time between
//! organisations.
//!
//! A request first waits for a token, if none is available, and then for a slot. The queue decides
//! the order of the requests that have a token. The work of a request is the time for which it
//! occupies a slot of its target.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use celerygate_types::{OrganisationId, ResultCode, ServiceId, SlotCount};

use crate::grants::{Admission, TokenRequest};

/// Maximum number of requests that wait at one VM.
pub const MAX_WAITING: usize = 256;

/// Maximum number of requests of one organisation that wait at one VM.
pub const MAX_WAITING_PER_ORGANISATION: usize = 64;

/// Maximum work that is charged for one request: the longest deadline of a request.
const MAX_WORK: Duration = Duration::from_secs(600);

/// Maximum work by which an organisation may lag behind the virtual time, because of refunds or
/// because none of its requests could start. Without a limit, it would starve the others for as
/// long as it was blocked.
const MAX_LAG_US: u64 = 1_000_000;

/// Virtual time per microsecond of work at weight 1. Weights are limited to this value, because
/// integer division would charge nothing for 1 µs of work at a higher weight.
const VIRTUAL_TIME_SCALE: u64 = 1_024;

/// Identifies a waiting request within its queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// A request to submit to the queue.
#[derive(Clone, Copy, Debug)]
pub struct Arrival<'a> {
    /// The organisation of the caller.
    pub organisation: &'a OrganisationId,
    /// The organisation's weight; 0 is treated as 1.
    pub weight: u32,
    /// The requested service.
    pub service: &'a ServiceId,
    /// Estimated work.
    pub work: Duration,
    /// Latest time at which the request may start.
    pub deadline: Instant,
    /// Whether the request already has a token of its organisation.
    pub has_token: bool,
}

/// The slots of a service that this VM may use.
#[derive(Clone, Copy, Debug)]
pub struct Capacity {
    /// Permits that this VM holds or expects; if 0, no wait is estimated.
    pub slots: SlotCount,
    /// Whether one of them is free now.
    pub has_free: bool,
    /// Expected time until a slot that is in use becomes free.
    pub next_free: Duration,
}

/// The decision on a submitted request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueDecision {
    /// Start it; its work has been charged.
    Start,
    /// The request waits.
    Wait {
        /// The ticket of the request.
        ticket: Ticket,
        /// A waiting request that was removed to make room; refuse it with `queue-full`.
        displaced: Option<Ticket>,
    },
    /// Refuse the request with this code.
    Refuse(ResultCode),
}

/// A waiting request that may start now; its work has been charged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DequeuedRequest {
    /// The ticket of the request.
    pub ticket: Ticket,
    /// The organisation of the caller.
    pub organisation: OrganisationId,
    /// The estimated work that was charged.
    pub work: Duration,
}

#[derive(Clone, Debug)]
struct WaitingRequest {
    ticket: Ticket,
    service: ServiceId,
    work_us: u64,
    arrived: Instant,
    deadline: Instant,
    has_token: bool,
}

/// The waiting requests of one organisation, in order of arrival.
#[derive(Clone, Debug, Default)]
struct Flow {
    weight: u64,
    /// Start tag, in virtual time, of the next request.
    start_tag: u64,
    waiting: VecDeque<WaitingRequest>,
}

impl Flow {
    fn cost(&self, work_us: u64) -> u64 {
        work_us * VIRTUAL_TIME_SCALE / self.weight.clamp(1, VIRTUAL_TIME_SCALE)
    }

    fn without_token(&self) -> impl Iterator<Item = &WaitingRequest> {
        self.waiting.iter().filter(|waiting| !waiting.has_token)
    }

    /// Returns whether this flow has more waiting requests, relative to its weight, than a flow with
    /// the given number and weight.
    fn is_longer_than(&self, waiting: usize, weight: u64) -> bool {
        self.waiting.len() as u64 * weight.max(1) > waiting as u64 * self.weight.max(1)
    }
}

/// The waiting requests of one VM.
#[derive(Clone, Debug, Default)]
pub struct WaitQueue {
    virtual_time: u64,
    last_ticket: u64,
    waiting: usize,
    flows: BTreeMap<OrganisationId, Flow>,
}

fn micros(work: Duration) -> u64 {
    u64::try_from(work.min(MAX_WORK).as_micros()).unwrap_or(u64::MAX)
}

impl WaitQueue {
    /// Returns an empty queue.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting == 0
    }

    /// Returns the number of an organisation's requests that wait for a token.
    pub fn waiting_for_tokens(&self, organisation: &OrganisationId) -> u64 {
        self.flows.get(organisation).map_or(0, |flow| flow.without_token().count() as u64)
    }

    /// Returns the number of requests with a token that wait for a slot of a service.
    pub fn waiting_for_slots(&self, service: &ServiceId) -> usize {
        let waiting = self.flows.values().flat_map(|flow| &flow.waiting);
        waiting.filter(|waiting| waiting.has_token && waiting.service == *service).count()
    }

    /// Returns the earliest deadline of a waiting request.
    pub fn next_deadline(&self) -> Option<Instant> {
        let waiting = self.flows.values().flat_map(|flow| &flow.waiting);
        waiting.map(|waiting| waiting.deadline).min()
    }

    /// Starts, queues or refuses a new request.
    pub fn submit(
        &mut self,
        arrival: &Arrival<'_>,
        capacity: &Capacity,
        now: Instant,
    ) -> QueueDecision {
        if now >= arrival.deadline {
            return QueueDecision::Refuse(ResultCode::DeadlineUnreachable);
        }
        let starts_now = arrival.has_token
            && capacity.has_free
            && (self.waiting == 0 || self.waiting_for_slots(arrival.service) == 0);
        let virtual_time = self.virtual_time;
        let flow = self.flow(arrival);
        if flow.waiting.is_empty() {
            flow.start_tag = flow.start_tag.max(virtual_time);
        }
        if starts_now {
            let start = flow.start_tag;
            flow.start_tag += flow.cost(micros(arrival.work));
            self.virtual_time = virtual_time.max(start);
            return QueueDecision::Start;
        }
        if flow.waiting.len() >= MAX_WAITING_PER_ORGANISATION {
            return QueueDecision::Refuse(ResultCode::QueueFull);
        }
        if now + self.estimated_wait(arrival, capacity) >= arrival.deadline {
            return QueueDecision::Refuse(ResultCode::DeadlineUnreachable);
        }
        let displaced = if self.waiting >= MAX_WAITING {
            let Some(displaced) = self.displace(arrival) else {
                return QueueDecision::Refuse(ResultCode::QueueFull);
            };
            Some(displaced)
        } else {
            None
        };
        self.last_ticket += 1;
        self.waiting += 1;
        let ticket = Ticket(self.last_ticket);
        self.flow(arrival).waiting.push_back(WaitingRequest {
            ticket,
            service: arrival.service.clone(),
            work_us: micros(arrival.work),
            arrived: now,
            deadline: arrival.deadline,
            has_token: arrival.has_token,
        });
        QueueDecision::Wait { ticket, displaced }
    }

    fn flow(&mut self, arrival: &Arrival<'_>) -> &mut Flow {
        if !self.flows.contains_key(arrival.organisation) {
            self.flows.insert(arrival.organisation.clone(), Flow::default());
        }
        #[expect(clippy::unwrap_used, reason = "the entry was inserted above when it was missing")]
        let flow = self.flows.get_mut(arrival.organisation).unwrap();
        flow.weight = u64::from(arrival.weight);
        flow
    }

    /// Estimates the wait for a slot: the work for the same service that starts earlier in virtual
    /// time, divided by the number of slots.
    fn estimated_wait(&self, arrival: &Arrival<'_>, capacity: &Capacity) -> Duration {
        let Some(own) = self.flows.get(arrival.organisation).filter(|_| capacity.slots.get() > 0)
        else {
            return Duration::ZERO;
        };
        let backlog_us: u64 = own.waiting.iter().map(|waiting| waiting.work_us).sum();
        let start = own.start_tag + own.cost(backlog_us);
        let mut ahead_us = 0;
        for flow in self.flows.values() {
            let mut tag = flow.start_tag;
            for waiting in &flow.waiting {
                if tag >= start && !std::ptr::eq(flow, own) {
                    break;
                }
                tag += flow.cost(waiting.work_us);
                ahead_us += if waiting.service == *arrival.service { waiting.work_us } else { 0 };
            }
        }
        let next_free = if capacity.has_free { Duration::ZERO } else { capacity.next_free };
        next_free + Duration::from_micros(ahead_us / u64::from(capacity.slots.get()))
    }

    /// Removes the newest request of the organisation with the most waiting requests relative to its
    /// weight, unless the arriving request's organisation would have as many. Without this, four
    /// organisations above their share could fill the queue, and the others would be refused.
    fn displace(&mut self, arrival: &Arrival<'_>) -> Option<Ticket> {
        let own = self.flows.get(arrival.organisation).map_or(0, |flow| flow.waiting.len());
        let weight = u64::from(arrival.weight);
        let longest = self.flows.values_mut().reduce(|longest, flow| {
            let is_longer = flow.is_longer_than(longest.waiting.len(), longest.weight);
            if is_longer { flow } else { longest }
        })?;
        if !longest.is_longer_than(own + 1, weight) {
            return None;
        }
        let displaced = longest.waiting.pop_back()?;
        self.waiting -= 1;
        Some(displaced.ticket)
    }

    /// Removes and returns the next request to start, among those with a token whose service has a
    /// free slot according to `has_free`. Call it until it returns none.
    pub fn dequeue(
        &mut self,
        mut has_free: impl FnMut(&ServiceId) -> bool,
    ) -> Option<DequeuedRequest> {
        let mut checked: Vec<(ServiceId, bool)> = Vec::new();
        let mut can_start = |waiting: &WaitingRequest| {
            let service = &waiting.service;
            if !waiting.has_token {
                return false;
            }
            if let Some((_, free)) = checked.iter().find(|(other, _)| other == service) {
                return *free;
            }
            let free = has_free(service);
            checked.push((service.clone(), free));
            free
        };
        for flow in self.flows.values_mut() {
            flow.start_tag =
                flow.start_tag.max(self.virtual_time.saturating_sub(flow.cost(MAX_LAG_US)));
        }
        let mut best: Option<(u64, Ticket, &OrganisationId, usize)> = None;
        for (organisation, flow) in &self.flows {
            let Some(position) = flow.waiting.iter().position(&mut can_start) else {
                continue;
            };
            // At equal start tags, the request that arrived first starts first.
            let candidate = (flow.start_tag, flow.waiting[position].ticket, organisation, position);
            if best.as_ref().is_none_or(|best| (candidate.0, candidate.1) < (best.0, best.1)) {
                best = Some(candidate);
            }
        }
        let (start, _, organisation, position) = best?;
        let organisation = organisation.clone();
        let flow = self.flows.get_mut(&organisation)?;
        let waiting = flow.waiting.remove(position)?;
        flow.start_tag += flow.cost(waiting.work_us);
        self.waiting -= 1;
        self.virtual_time = self.virtual_time.max(start);
        let work = Duration::from_micros(waiting.work_us);
        Some(DequeuedRequest { ticket: waiting.ticket, organisation, work })
    }

    /// Replaces the estimated work that an organisation was charged by the actual slot time of its
    /// request.
    pub fn finish(&mut self, organisation: &OrganisationId, estimate: Duration, actual: Duration) {
        if let Some(flow) = self.flows.get_mut(organisation) {
            let charged = flow.cost(micros(estimate));
            flow.start_tag = (flow.start_tag + flow.cost(micros(actual))).saturating_sub(charged);
        }
    }

    /// Rechecks the requests of an organisation that wait for a token, in order of arrival, and
    /// returns those to refuse with the time after which to retry. `decide` calls
    /// `GrantHolder::recheck`.
    pub fn recheck_tokens(
        &mut self,
        organisation: &OrganisationId,
        mut decide: impl FnMut(&TokenRequest) -> Admission,
    ) -> Vec<(Ticket, Duration)> {
        let mut refused = Vec::new();
        let Some(flow) = self.flows.get_mut(organisation) else {
            return refused;
        };
        let mut ahead = 0;
        flow.waiting.retain_mut(|waiting| {
            if waiting.has_token {
                return true;
            }
            let need = TokenRequest { arrived: waiting.arrived, deadline: waiting.deadline, ahead };
            match decide(&need) {
                Admission::Admit => waiting.has_token = true,
                Admission::WaitForTokens { .. } => ahead += 1,
                Admission::Refuse { retry_after } => refused.push((waiting.ticket, retry_after)),
            }
            refused.last().is_none_or(|(ticket, _)| *ticket != waiting.ticket)
        });
        self.waiting -= refused.len();
        refused
    }

    /// Removes a request whose caller has disconnected, and returns whether it was waiting.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        let removed = self.remove_if(|waiting| waiting.ticket == ticket);
        !removed.is_empty()
    }

    /// Removes the requests whose deadline has passed; refuse them with
    /// `deadline-passed-waiting`.
    pub fn expire(&mut self, now: Instant) -> Vec<Ticket> {
        self.remove_if(|waiting| waiting.deadline <= now)
    }

    fn remove_if(&mut self, mut matches: impl FnMut(&WaitingRequest) -> bool) -> Vec<Ticket> {
        let mut removed = Vec::new();
        for flow in self.flows.values_mut() {
            flow.waiting.retain(|waiting| {
                let remove = matches(waiting);
                if remove {
                    removed.push(waiting.ticket);
                }
                !remove
            });
        }
        self.waiting -= removed.len();
        removed
    }

    /// Removes the organisations without waiting requests for which `keep` returns false.
    pub fn retain(&mut self, mut keep: impl FnMut(&OrganisationId) -> bool) {
        self.flows.retain(|organisation, flow| !flow.waiting.is_empty() || keep(organisation));
    }
}

#[cfg(test)]
#[path = "queue_tests.rs"]
mod tests;
