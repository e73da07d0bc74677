//! The holder of leased tokens: runs on every VM.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use celerygate_types::wire::{GrantAsk, GrantReply, GrantRequest};
use celerygate_types::{OrganisationId, RequestCount, Term};
use smallvec::SmallVec;

use super::{HOLDER_EXPIRY, REPLY_TIMEOUT, REQUEST_INTERVAL, WAITING_REQUEST_INTERVAL};

/// Period whose expected demand a request covers: twice the request interval, so that the tokens
/// last until the next reply.
const DEMAND_HORIZON: Duration = Duration::from_millis(200);

/// Minimum demand, in requests per second, at which tokens are prefetched. A prefetched token is
/// not worth the messages below one request in 10 s.
const MIN_PREFETCH_DEMAND_PER_S: f64 = 0.1;

/// Maximum wait for a token after the owner has reported the bucket as exhausted.
const MAX_EXHAUSTED_WAIT: Duration = Duration::from_millis(500);

/// Time after which a reply that reports the bucket as exhausted is ignored. Requests then wait for
/// the next reply.
const MAX_REPLY_AGE: Duration = Duration::from_millis(500);

/// Time after its last request for which an organisation is listed in grant requests.
const ACTIVE_PERIOD: Duration = Duration::from_millis(2_000);

/// Tokens that expire within this time are replaced by the next request, because the reply to the
/// one after it may come too late.
const RENEWAL_MARGIN: Duration = Duration::from_millis(150);

/// Weight of the latest sample in the moving averages of demand, inflow and round trip.
const EWMA_WEIGHT: f64 = 0.4;

/// The decision on a request that needs a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// A token was taken; the request is admitted.
    Admit,
    /// Call [`GrantHolder::recheck`] when a reply arrives, and at `recheck_at` at the latest.
    WaitForTokens {
        /// When to recheck if no reply arrives.
        recheck_at: Instant,
    },
    /// Refuse with `rate-exceeded`.
    Refuse {
        /// Expected time until a token is available.
        retry_after: Duration,
    },
}

/// A request that needs a token.
#[derive(Clone, Copy, Debug)]
pub struct TokenRequest {
    /// When the request arrived.
    pub arrived: Instant,
    /// Deadline of the caller.
    pub deadline: Instant,
    /// Number of earlier requests of the same organisation that wait for tokens at this VM.
    pub ahead: u64,
}

#[derive(Clone, Copy, Debug)]
struct Batch {
    requests: u64,
    expires_at: Instant,
}

/// The owner's last reply about an organisation.
#[derive(Clone, Copy, Debug)]
struct LastReply {
    at: Instant,
    exhausted: bool,
}

/// Tokens and demand of one organisation on this VM.
#[derive(Clone, Debug, Default)]
struct Tokens {
    /// Ordered by expiry; the token that expires first is used first.
    batches: SmallVec<[Batch; 4]>,
    used_requests: u64,
    arrivals: u64,
    arrived_at: Option<Instant>,
    demand_per_s: f64,
    inflow_per_s: f64,
    last_reply: Option<LastReply>,
    exhausted_at: Option<Instant>,
    /// Whether the owner's record may include tokens that were used or returned since the last
    /// report.
    report_pending: bool,
}

impl Tokens {
    fn expire(&mut self, now: Instant) {
        if self.batches.first().is_some_and(|batch| batch.expires_at <= now) {
            self.batches.retain(|batch| batch.expires_at > now);
        }
    }

    /// Extends the expiry of the remaining tokens.
    fn renew(&mut self, expires_at: Instant, now: Instant) {
        self.expire(now);
        let held = self.held();
        self.batches.clear();
        if held > 0 && expires_at > now {
            self.batches.push(Batch { requests: held, expires_at });
        }
    }

    fn held(&self) -> u64 {
        self.batches.iter().map(|batch| batch.requests).sum()
    }

    fn consume(&mut self) {
        if let Some(batch) = self.batches.first_mut() {
            batch.requests -= 1;
            self.used_requests += 1;
            if batch.requests == 0 {
                self.batches.remove(0);
            }
        }
    }

    /// Drops the newest tokens beyond the given number.
    fn keep_oldest(&mut self, mut keep: u64) {
        for batch in &mut self.batches {
            batch.requests = batch.requests.min(keep);
            keep -= batch.requests;
        }
        self.batches.retain(|batch| batch.requests > 0);
    }

    fn is_active(&self, now: Instant) -> bool {
        let idle = self.arrived_at.map(|at| now.saturating_duration_since(at));
        idle.is_some_and(|idle| idle < ACTIVE_PERIOD)
    }

    fn is_exhausted(&self, now: Instant) -> bool {
        let is_recent = |reply: &LastReply| now.saturating_duration_since(reply.at) < MAX_REPLY_AGE;
        self.last_reply.filter(is_recent).is_some_and(|reply| reply.exhausted)
    }

    /// Returns the number of tokens to hold: the demand expected within [`DEMAND_HORIZON`] plus one
    /// standard deviation of a Poisson process. Below [`MIN_PREFETCH_DEMAND_PER_S`] it is one token
    /// for `hold_time` after a request, then none.
    fn desired(&self, hold_time: Duration, now: Instant) -> u64 {
        if !hold_time.is_zero() && self.is_exhausted(now) {
            // A token that is kept for a future request would be missing at a VM where one waits.
            return 0;
        }
        let idle = self.arrived_at.map(|at| now.saturating_duration_since(at));
        let keeps_one = idle.is_some_and(|idle| idle < hold_time);
        if self.demand_per_s < MIN_PREFETCH_DEMAND_PER_S {
            return u64::from(keeps_one);
        }
        let expected = self.demand_per_s * DEMAND_HORIZON.as_secs_f64();
        (expected + expected.sqrt()).ceil() as u64
    }

    fn update_demand(&mut self, since_update: Duration) {
        let latest = self.arrivals as f64 / since_update.as_secs_f64();
        self.arrivals = 0;
        let average = self.demand_per_s + EWMA_WEIGHT * (latest - self.demand_per_s);
        self.demand_per_s = if latest > average { latest } else { average };
    }

    /// Drops surplus tokens and returns this organisation's part of the next request, if it needs
    /// one.
    fn next_ask(
        &mut self,
        organisation: &OrganisationId,
        waiting: u64,
        hold_time: Duration,
        now: Instant,
    ) -> Option<GrantAsk> {
        self.expire(now);
        let desired = self.desired(hold_time, now) + waiting;
        // Twice the desired number, so that fluctuating demand does not make tokens oscillate
        // between this VM and the owner.
        self.keep_oldest(desired * 2);
        let outlasts_margin = |batch: &&Batch| batch.expires_at > now + RENEWAL_MARGIN;
        let held_beyond_margin: u64 =
            self.batches.iter().filter(outlasts_margin).map(|batch| batch.requests).sum();
        let wanted = desired.saturating_sub(held_beyond_margin);
        let held = self.held();
        let was_report_pending = std::mem::replace(&mut self.report_pending, held > 0);
        (held > 0 || wanted > 0 || was_report_pending || self.is_active(now)).then(|| GrantAsk {
            organisation: organisation.clone(),
            held_requests: RequestCount(held),
            used_requests: RequestCount(self.used_requests),
            wanted_requests: RequestCount(wanted),
            waiting_requests: RequestCount(waiting),
        })
    }
}

#[derive(Clone, Copy, Debug)]
struct InFlightRequest {
    sequence: u64,
    sent_at: Instant,
    /// Time after which a new request replaces this one.
    timeout: Duration,
}

/// Holds the tokens of every organisation on one VM.
#[derive(Clone, Debug)]
pub struct GrantHolder {
    term: Term,
    sequence: u64,
    in_flight: Option<InFlightRequest>,
    sent_at: Option<Instant>,
    replied_at: Option<Instant>,
    /// When the last request with a reply was sent.
    answered_request_at: Option<Instant>,
    round_trip: Duration,
    /// Reply time-out of the next request.
    reply_timeout: Duration,
    /// Whether the owner's record may list tokens that this VM no longer holds.
    report_due: bool,
    hold_time: Duration,
    /// Whether a request has started to wait for a token since the last request to the owner.
    has_new_waiting: bool,
    /// When the averages of the demand were last updated.
    demand_updated_at: Option<Instant>,
    tokens: HashMap<OrganisationId, Tokens>,
}

impl GrantHolder {
    /// Creates a holder without tokens.
    pub fn new(term: Term) -> Self {
        Self {
            term,
            sequence: 0,
            in_flight: None,
            sent_at: None,
            replied_at: None,
            answered_request_at: None,
            round_trip: Duration::ZERO,
            reply_timeout: REPLY_TIMEOUT,
            report_due: true,
            hold_time: Duration::ZERO,
            has_new_waiting: false,
            demand_updated_at: None,
            tokens: HashMap::new(),
        }
    }

    /// Sets the time after a request for which the holder keeps a token for the next one. Only for
    /// owners that grant an overdraft: otherwise, with many VMs and small bursts, tokens that are
    /// kept at one VM are missing at another.
    #[must_use]
    pub fn with_hold_time(self, hold_time: Duration) -> Self {
        Self { hold_time, ..self }
    }

    /// Switches to the owner of a later term. Tokens of the previous owner stay usable until they
    /// expire; its reply to the request in flight is discarded.
    pub fn set_term(&mut self, term: Term) {
        if term > self.term {
            self.term = term;
            self.in_flight = None;
            self.report_due = true;
        }
    }

    /// Removes the organisations for which `keep` returns false.
    pub fn retain(&mut self, mut keep: impl FnMut(&OrganisationId) -> bool) {
        self.tokens.retain(|organisation, _| keep(organisation));
    }

    /// Returns the number of unexpired tokens of an organisation.
    pub fn held(&self, organisation: &OrganisationId, now: Instant) -> RequestCount {
        let valid = |batch: &&Batch| batch.expires_at > now;
        let batches = self.tokens.get(organisation).map(|tokens| tokens.batches.iter());
        batches.into_iter().flatten().filter(valid).map(|batch| RequestCount(batch.requests)).sum()
    }

    /// Decides on a new request.
    pub fn admit(
        &mut self,
        organisation: &OrganisationId,
        need: &TokenRequest,
        now: Instant,
    ) -> Admission {
        if !self.tokens.contains_key(organisation) {
            self.tokens.insert(organisation.clone(), Tokens::default());
        }
        if let Some(tokens) = self.tokens.get_mut(organisation) {
            tokens.arrivals += 1;
            tokens.arrived_at = Some(now);
        }
        let admission = self.recheck(organisation, need, now);
        self.has_new_waiting |= admission != Admission::Admit;
        admission
    }

    /// Returns whether the owner has reported an organisation as exhausted within the given time.
    pub fn was_exhausted(
        &self,
        organisation: &OrganisationId,
        within: Duration,
        now: Instant,
    ) -> bool {
        let at = self.tokens.get(organisation).and_then(|tokens| tokens.exhausted_at);
        at.is_some_and(|at| now.saturating_duration_since(at) < within)
    }

    /// Returns whether the owner has replied to a request that was sent at `at` or later.
    pub fn has_reply_since(&self, at: Instant) -> bool {
        self.answered_request_at.is_some_and(|sent_at| sent_at >= at)
    }

    /// Returns whether the owner's last reply, if it is recent, reports an organisation as
    /// exhausted.
    pub fn is_exhausted(&self, organisation: &OrganisationId, now: Instant) -> bool {
        self.tokens.get(organisation).is_some_and(|tokens| tokens.is_exhausted(now))
    }

    /// Decides again on a request that waits for a token.
    pub fn recheck(
        &mut self,
        organisation: &OrganisationId,
        need: &TokenRequest,
        now: Instant,
    ) -> Admission {
        let reply_at = self.expected_reply_at(now);
        let exhausted = self.is_exhausted(organisation, now);
        let Some(tokens) = self.tokens.get_mut(organisation) else {
            return Admission::WaitForTokens { recheck_at: need.deadline };
        };
        tokens.expire(now);
        let held = tokens.held();
        if held > need.ahead {
            tokens.consume();
            return Admission::Admit;
        }
        let missing = need.ahead + 1 - held;
        let (wait, limit) = if exhausted {
            let wait = missing as f64 / tokens.inflow_per_s.max(1.0);
            (Duration::from_secs_f64(wait), need.deadline.min(need.arrived + MAX_EXHAUSTED_WAIT))
        } else {
            (reply_at.saturating_duration_since(now), need.deadline)
        };
        if now >= limit || now + wait > limit {
            return Admission::Refuse { retry_after: wait.max(REQUEST_INTERVAL) };
        }
        Admission::WaitForTokens { recheck_at: limit }
    }

    /// Returns when the reply to the request in flight, or to the next one, is expected.
    fn expected_reply_at(&self, now: Instant) -> Instant {
        let sent_at = match (self.in_flight, self.sent_at) {
            (Some(request), _) => request.sent_at,
            (None, Some(sent_at)) => now.max(sent_at + self.request_interval()),
            (None, None) => now,
        };
        sent_at + self.round_trip
    }

    /// Returns the earliest time at which [`Self::poll`] can return a request; none before the
    /// first request.
    pub fn next_poll(&self) -> Option<Instant> {
        match (self.in_flight, self.sent_at) {
            (Some(request), _) => Some(request.sent_at + request.timeout),
            (None, sent_at) => sent_at.map(|at| at + self.request_interval()),
        }
    }

    fn request_interval(&self) -> Duration {
        if self.has_new_waiting { WAITING_REQUEST_INTERVAL } else { REQUEST_INTERVAL }
    }

    /// Returns the request to send to the owner now, if one is due. Call it every
    /// [`REQUEST_INTERVAL`], and while requests wait also at [`Self::next_poll`]. `waiting` returns
    /// the number of requests of an organisation that wait for tokens at this VM.
    pub fn poll(
        &mut self,
        waiting: impl Fn(&OrganisationId) -> u64,
        now: Instant,
    ) -> Option<GrantRequest> {
        if self.next_poll().is_some_and(|at| now < at) {
            return None;
        }
        let since_update =
            self.demand_updated_at.map_or(REQUEST_INTERVAL, |at| now.saturating_duration_since(at));
        // Demand is averaged over whole intervals, however often requests to the owner are sent.
        if since_update >= REQUEST_INTERVAL {
            self.demand_updated_at = Some(now);
            for tokens in self.tokens.values_mut() {
                tokens.update_demand(since_update);
            }
        }
        self.has_new_waiting = false;
        let hold_time = self.hold_time;
        let asks: Vec<GrantAsk> = self
            .tokens
            .iter_mut()
            .filter_map(|(id, tokens)| tokens.next_ask(id, waiting(id), hold_time, now))
            .collect();
        if asks.is_empty() && !self.report_due {
            return None;
        }
        self.sequence += 1;
        if self.in_flight.is_some() {
            // A reply over a congested link may take longer than the first time-out.
            self.reply_timeout = (self.reply_timeout * 2).min(HOLDER_EXPIRY);
        }
        let (sequence, timeout) = (self.sequence, self.reply_timeout);
        self.in_flight = Some(InFlightRequest { sequence, sent_at: now, timeout });
        self.sent_at = Some(now);
        // The request after the last one with asks reports that no tokens are held.
        self.report_due = !asks.is_empty();
        Some(GrantRequest { sequence: self.sequence, term: self.term, asks })
    }

    /// Adds the tokens of a reply and returns whether the reply was accepted. Only the reply to the
    /// request in flight is accepted, because the owner may have freed the tokens of any other.
    pub fn accept(&mut self, reply: &GrantReply, now: Instant) -> bool {
        let expected =
            |sent: &InFlightRequest| reply.term == self.term && reply.sequence == sent.sequence;
        let Some(answered) = self.in_flight.filter(expected) else {
            return false;
        };
        self.in_flight = None;
        self.answered_request_at = Some(answered.sent_at);
        let round_trip = now.saturating_duration_since(answered.sent_at);
        self.round_trip =
            self.round_trip.mul_f64(1.0 - EWMA_WEIGHT) + round_trip.mul_f64(EWMA_WEIGHT);
        self.reply_timeout = REPLY_TIMEOUT.max(self.round_trip * 2).min(HOLDER_EXPIRY);
        let since_last = self
            .replied_at
            .replace(now)
            .map_or(REQUEST_INTERVAL, |at| now.saturating_duration_since(at))
            .max(REQUEST_INTERVAL);
        let expires_at = answered.sent_at + HOLDER_EXPIRY;
        // The request reported all tokens held, and the owner has renewed its record of them.
        for tokens in self.tokens.values_mut() {
            tokens.renew(expires_at, now);
        }
        for award in &reply.awards {
            let Some(tokens) = self.tokens.get_mut(&award.organisation) else {
                continue;
            };
            let granted = award.granted_requests.get();
            tokens.expire(now);
            if granted > 0 && expires_at > now {
                tokens.batches.push(Batch { requests: granted, expires_at });
            }
            tokens.report_pending |= granted > 0;
            let inflow = granted as f64 / since_last.as_secs_f64();
            tokens.inflow_per_s += EWMA_WEIGHT * (inflow - tokens.inflow_per_s);
            tokens.last_reply = Some(LastReply { at: now, exhausted: award.exhausted });
            if award.exhausted {
                tokens.exhausted_at = Some(now);
            }
        }
        true
    }
}
