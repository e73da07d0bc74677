//! The holder of leased tokens: runs on every VM.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use celerygate_types::wire::{GrantAsk, GrantReply, GrantRequest};
use celerygate_types::{OrganisationId, RequestCount, Term};
use smallvec::SmallVec;

use super::{HOLDER_EXPIRY, REQUEST_INTERVAL, RESEND_AFTER};

/// Time for which a request asks ahead: twice the request interval, so that the tokens last until
/// the next reply.
const DEMAND_HORIZON: Duration = Duration::from_millis(200);

/// Least demand, in requests per second, for which tokens are held ahead. Below one request in 10 s
/// a token ahead is not worth the messages.
const HOLD_FROM_PER_S: f64 = 0.1;

/// Longest wait for a token after the owner has answered that tokens are scarce.
const SCARCE_WAIT: Duration = Duration::from_millis(500);

/// Time for which the owner's last answer counts. Without a newer one the request waits.
const ANSWER_AGE: Duration = Duration::from_millis(500);

/// Time after its last arrival for which an organisation is listed in requests.
const ACTIVE_TIME: Duration = Duration::from_millis(2_000);

/// Tokens that expire earlier than this are replaced by the next request, as the reply to the one
/// after it may come too late.
const RENEW_BEFORE: Duration = Duration::from_millis(150);

/// Weight of the latest interval in the averages of demand, inflow and round trip.
const LATEST_WEIGHT: f64 = 0.4;

/// What to do with a request that needs a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// A token was taken; the request is admitted.
    Admit,
    /// Decide again when a reply has arrived, and at this time at the latest.
    WaitForTokens {
        /// When to decide again if no reply arrives.
        recheck_at: Instant,
    },
    /// Refuse with `rate-exceeded`.
    Refuse {
        /// When a token is expected.
        retry_after: Duration,
    },
}

/// A request that needs a token.
#[derive(Clone, Copy, Debug)]
pub struct TokenRequest {
    /// When the request arrived.
    pub arrived: Instant,
    /// When its caller gives up.
    pub deadline: Instant,
    /// Requests of the same organisation that wait for tokens at this VM and arrived earlier.
    pub ahead: u64,
}

#[derive(Clone, Copy, Debug)]
struct Batch {
    requests: u64,
    expires_at: Instant,
}

/// The owner's last answer for an organisation.
#[derive(Clone, Copy, Debug)]
struct Answer {
    at: Instant,
    exhausted: bool,
}

/// What this VM holds and knows of one organisation.
#[derive(Clone, Debug, Default)]
struct Tokens {
    /// Ordered by expiry; the oldest token is used first.
    batches: SmallVec<[Batch; 4]>,
    used_requests: u64,
    arrivals: u64,
    arrived_at: Option<Instant>,
    demand_per_s: f64,
    inflow_per_s: f64,
    answer: Option<Answer>,
    exhausted_at: Option<Instant>,
    /// Whether the owner may count tokens here that were used or given up since.
    owes_report: bool,
}

impl Tokens {
    fn expire(&mut self, now: Instant) {
        if self.batches.first().is_some_and(|batch| batch.expires_at <= now) {
            self.batches.retain(|batch| batch.expires_at > now);
        }
    }

    /// Extends the tokens that are left.
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

    fn take(&mut self) {
        if let Some(batch) = self.batches.first_mut() {
            batch.requests -= 1;
            self.used_requests += 1;
            if batch.requests == 0 {
                self.batches.remove(0);
            }
        }
    }

    /// Gives up the newest tokens beyond a number.
    fn keep_oldest(&mut self, mut keep: u64) {
        for batch in &mut self.batches {
            batch.requests = batch.requests.min(keep);
            keep -= batch.requests;
        }
        self.batches.retain(|batch| batch.requests > 0);
    }

    fn is_active(&self, now: Instant) -> bool {
        let idle = self.arrived_at.map(|at| now.saturating_duration_since(at));
        idle.is_some_and(|idle| idle < ACTIVE_TIME)
    }

    fn is_exhausted(&self, now: Instant) -> bool {
        let recent = |answer: &Answer| now.saturating_duration_since(answer.at) < ANSWER_AGE;
        self.answer.filter(recent).is_some_and(|answer| answer.exhausted)
    }

    /// Returns the tokens to hold: the demand expected within the horizon, and one standard
    /// deviation of a Poisson arrival more; one for some time after an arrival, and none below a
    /// demand.
    fn goal(&self, hold_for: Duration, now: Instant) -> u64 {
        if !hold_for.is_zero() && self.is_exhausted(now) {
            // A token that waits here for the next request is missing at a VM where one waits.
            return 0;
        }
        let idle = self.arrived_at.map(|at| now.saturating_duration_since(at));
        let holds_one = idle.is_some_and(|idle| idle < hold_for);
        if self.demand_per_s < HOLD_FROM_PER_S {
            return u64::from(holds_one);
        }
        let expected = self.demand_per_s * DEMAND_HORIZON.as_secs_f64();
        (expected + expected.sqrt()).ceil() as u64
    }

    /// Updates the demand, gives up surplus tokens, and returns the ask, if there is any.
    fn ask(
        &mut self,
        organisation: &OrganisationId,
        waiting: u64,
        since_last: Duration,
        hold_for: Duration,
        now: Instant,
    ) -> Option<GrantAsk> {
        self.expire(now);
        let latest = self.arrivals as f64 / since_last.max(REQUEST_INTERVAL).as_secs_f64();
        self.arrivals = 0;
        let average = self.demand_per_s + LATEST_WEIGHT * (latest - self.demand_per_s);
        self.demand_per_s = if latest > average { latest } else { average };
        let goal = self.goal(hold_for, now) + waiting;
        // Twice the goal, so that fluctuating demand does not send tokens back and forth.
        self.keep_oldest(goal * 2);
        let lasting = |batch: &&Batch| batch.expires_at > now + RENEW_BEFORE;
        let held_lasting: u64 =
            self.batches.iter().filter(lasting).map(|batch| batch.requests).sum();
        let wanted = goal.saturating_sub(held_lasting);
        let held = self.held();
        let owed_report = std::mem::replace(&mut self.owes_report, held > 0);
        (held > 0 || wanted > 0 || owed_report || self.is_active(now)).then(|| GrantAsk {
            organisation: organisation.clone(),
            held_requests: RequestCount(held),
            used_requests: RequestCount(self.used_requests),
            wanted_requests: RequestCount(wanted),
            waiting_requests: RequestCount(waiting),
        })
    }
}

#[derive(Clone, Copy, Debug)]
struct Pending {
    sequence: u64,
    sent_at: Instant,
    /// How long its reply is waited for.
    wait: Duration,
}

/// Holds the tokens of every organisation on one VM.
#[derive(Clone, Debug)]
pub struct GrantHolder {
    term: Term,
    sequence: u64,
    pending: Option<Pending>,
    sent_at: Option<Instant>,
    replied_at: Option<Instant>,
    /// When the last request that was replied to was sent.
    answered_request_at: Option<Instant>,
    round_trip: Duration,
    /// How long the next reply is waited for.
    reply_wait: Duration,
    /// Whether the owner may count tokens that this VM no longer has.
    report_due: bool,
    hold_for: Duration,
    tokens: HashMap<OrganisationId, Tokens>,
}

impl GrantHolder {
    /// Returns a holder without tokens.
    pub fn new(term: Term) -> Self {
        Self {
            term,
            sequence: 0,
            pending: None,
            sent_at: None,
            replied_at: None,
            answered_request_at: None,
            round_trip: Duration::ZERO,
            reply_wait: RESEND_AFTER,
            report_due: true,
            hold_for: Duration::ZERO,
            tokens: HashMap::new(),
        }
    }

    /// Returns the holder with a time after an arrival for which it holds a token for the next one.
    /// Only for owners that grant tokens ahead of the bucket: with many VMs and small bursts, tokens
    /// that wait at one VM are missing at another.
    #[must_use]
    pub fn with_hold_time(self, hold_for: Duration) -> Self {
        Self { hold_for, ..self }
    }

    /// Changes to the owner of a later term. Tokens of the earlier one stay usable until they
    /// expire; its reply that is still under way is discarded.
    pub fn set_term(&mut self, term: Term) {
        if term > self.term {
            self.term = term;
            self.pending = None;
            self.report_due = true;
        }
    }

    /// Forgets organisations that the configuration no longer lists.
    pub fn retain(&mut self, mut keep: impl FnMut(&OrganisationId) -> bool) {
        self.tokens.retain(|organisation, _| keep(organisation));
    }

    /// Returns the tokens that are held for an organisation.
    pub fn held(&self, organisation: &OrganisationId, now: Instant) -> RequestCount {
        let valid = |batch: &&Batch| batch.expires_at > now;
        let batches = self.tokens.get(organisation).map(|tokens| tokens.batches.iter());
        batches.into_iter().flatten().filter(valid).map(|batch| RequestCount(batch.requests)).sum()
    }

    /// Decides on a request that has just arrived.
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
        self.recheck(organisation, need, now)
    }

    /// Returns whether the owner has called an organisation exhausted within a time.
    pub fn was_exhausted(
        &self,
        organisation: &OrganisationId,
        within: Duration,
        now: Instant,
    ) -> bool {
        let at = self.tokens.get(organisation).and_then(|tokens| tokens.exhausted_at);
        at.is_some_and(|at| now.saturating_duration_since(at) < within)
    }

    /// Returns whether the owner has answered a request that was sent at a time or later.
    pub fn has_reply_since(&self, at: Instant) -> bool {
        self.answered_request_at.is_some_and(|sent_at| sent_at >= at)
    }

    /// Returns whether the owner has said lately that an organisation has used its rate.
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
        let reply_expected = self.reply_expected(now);
        let exhausted = self.is_exhausted(organisation, now);
        let Some(tokens) = self.tokens.get_mut(organisation) else {
            return Admission::WaitForTokens { recheck_at: need.deadline };
        };
        tokens.expire(now);
        let held = tokens.held();
        if held > need.ahead {
            tokens.take();
            return Admission::Admit;
        }
        let missing = need.ahead + 1 - held;
        let (wait, limit) = if exhausted {
            let wait = missing as f64 / tokens.inflow_per_s.max(1.0);
            (Duration::from_secs_f64(wait), need.deadline.min(need.arrived + SCARCE_WAIT))
        } else {
            (reply_expected.saturating_duration_since(now), need.deadline)
        };
        if now >= limit || now + wait > limit {
            return Admission::Refuse { retry_after: wait.max(REQUEST_INTERVAL) };
        }
        Admission::WaitForTokens { recheck_at: limit }
    }

    /// Returns when the reply to the request in flight, or to the next one, is expected.
    fn reply_expected(&self, now: Instant) -> Instant {
        let sent_at = match (self.pending, self.sent_at) {
            (Some(pending), _) => pending.sent_at,
            (None, Some(sent_at)) => now.max(sent_at + REQUEST_INTERVAL),
            (None, None) => now,
        };
        sent_at + self.round_trip
    }

    /// Returns the earliest time at which [`Self::poll`] can return a request; none before the first.
    pub fn next_poll(&self) -> Option<Instant> {
        match (self.pending, self.sent_at) {
            (Some(pending), _) => Some(pending.sent_at + pending.wait),
            (None, sent_at) => sent_at.map(|at| at + REQUEST_INTERVAL),
        }
    }

    /// Returns the request to send to the owner now, if one is due. To be called every
    /// [`REQUEST_INTERVAL`], and while requests wait also at [`Self::next_poll`]. `waiting` returns the number of
    /// requests of an organisation that wait for tokens at this VM.
    pub fn poll(
        &mut self,
        waiting: impl Fn(&OrganisationId) -> u64,
        now: Instant,
    ) -> Option<GrantRequest> {
        if self.next_poll().is_some_and(|at| now < at) {
            return None;
        }
        let since_last =
            self.sent_at.map_or(REQUEST_INTERVAL, |at| now.saturating_duration_since(at));
        let hold_for = self.hold_for;
        let asks: Vec<GrantAsk> = self
            .tokens
            .iter_mut()
            .filter_map(|(id, tokens)| tokens.ask(id, waiting(id), since_last, hold_for, now))
            .collect();
        if asks.is_empty() && !self.report_due {
            return None;
        }
        self.sequence += 1;
        if self.pending.is_some() {
            // A reply over a full link may take longer than the first wait.
            self.reply_wait = (self.reply_wait * 2).min(HOLDER_EXPIRY);
        }
        let (sequence, wait) = (self.sequence, self.reply_wait);
        self.pending = Some(Pending { sequence, sent_at: now, wait });
        self.sent_at = Some(now);
        // The request after the last one with asks tells the owner that nothing is held.
        self.report_due = !asks.is_empty();
        Some(GrantRequest { sequence: self.sequence, term: self.term, asks })
    }

    /// Takes the tokens of a reply, and returns whether the reply was accepted. Only the reply to
    /// the request in flight is: the owner may have freed the tokens of any other.
    pub fn accept(&mut self, reply: &GrantReply, now: Instant) -> bool {
        let expected =
            |pending: &Pending| reply.term == self.term && reply.sequence == pending.sequence;
        let Some(pending) = self.pending.filter(expected) else {
            return false;
        };
        self.pending = None;
        self.answered_request_at = Some(pending.sent_at);
        let round_trip = now.saturating_duration_since(pending.sent_at);
        self.round_trip =
            self.round_trip.mul_f64(1.0 - LATEST_WEIGHT) + round_trip.mul_f64(LATEST_WEIGHT);
        self.reply_wait = RESEND_AFTER.max(self.round_trip * 2).min(HOLDER_EXPIRY);
        let since_last = self
            .replied_at
            .replace(now)
            .map_or(REQUEST_INTERVAL, |at| now.saturating_duration_since(at))
            .max(REQUEST_INTERVAL);
        let expires_at = pending.sent_at + HOLDER_EXPIRY;
        // The request stated all tokens that are held, and the owner has counted them anew.
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
            tokens.owes_report |= granted > 0;
            let inflow = granted as f64 / since_last.as_secs_f64();
            tokens.inflow_per_s += LATEST_WEIGHT * (inflow - tokens.inflow_per_s);
            tokens.answer = Some(Answer { at: now, exhausted: award.exhausted });
            if award.exhausted {
                tokens.exhausted_at = Some(now);
            }
        }
        true
    }
}
