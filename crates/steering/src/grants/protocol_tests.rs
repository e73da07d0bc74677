//! Tests of single request-reply exchanges between the owner and the holders of tokens.

use std::time::{Duration, Instant};

use celerygate_types::wire::{GrantReply, GrantRequest};
use celerygate_types::{Incarnation, OrganisationId, RequestCount, RequestRate, Term, VmId};

use super::{
    Admission, GrantHolder, GrantIgnoreReason, GrantOwner, GrantResponse, HOLDER_EXPIRY, Limit,
    OWNER_EXPIRY, TokenRequest,
};

const MS: Duration = Duration::from_millis(1);

struct Case {
    now: Instant,
    organisation: OrganisationId,
    vms: Vec<VmId>,
    owner: GrantOwner,
    holders: Vec<GrantHolder>,
}

impl Case {
    /// Creates an owner of term 1 and three holders; the bucket has filled for the given time.
    fn new(rate: u64, burst: u64, filled_for: Duration) -> Self {
        let now = Instant::now();
        let organisation: OrganisationId = "acme".parse().unwrap();
        let vms: Vec<VmId> = (0..3).map(|vm| format!("vm-{vm}").parse().unwrap()).collect();
        let limit = Limit { rate: RequestRate(rate), burst: RequestCount(burst), window: None };
        let lease_until = now + Duration::from_secs(3_600);
        let limits = [(organisation.clone(), limit)];
        let owner = GrantOwner::new(Term(1), [], limits, lease_until, now);
        let holders = vec![GrantHolder::new(Term(1)); 3];
        Self { now: now + filled_for, organisation, vms, owner, holders }
    }

    fn need(&self, within: Duration) -> TokenRequest {
        TokenRequest { arrived: self.now, deadline: self.now + within, ahead: 0 }
    }

    fn admit(&mut self, vm: usize) -> Admission {
        let need = self.need(Duration::from_secs(30));
        self.holders[vm].admit(&self.organisation, &need, self.now)
    }

    fn request(&mut self, vm: usize, waiting: u64) -> GrantRequest {
        self.now += 250 * MS;
        self.holders[vm].poll(|_| waiting, self.now).unwrap()
    }

    fn reply_to(&mut self, vm: usize, request: &GrantRequest) -> GrantReply {
        match self.owner.handle_request(&self.vms[vm], Incarnation(1), request, self.now) {
            GrantResponse::Reply(reply) => reply,
            GrantResponse::Ignore(reason) => panic!("{reason}"),
        }
    }

    fn exchange(&mut self, vm: usize, waiting: u64) -> u64 {
        let request = self.request(vm, waiting);
        let reply = self.reply_to(vm, &request);
        assert!(self.holders[vm].accept(&reply, self.now));
        reply.awards.iter().map(|award| award.granted_requests.get()).sum()
    }

    fn outstanding(&self) -> u64 {
        self.owner.bucket(&self.organisation).unwrap().1.get()
    }
}

/// Guards against a refusal before the owner has replied or when only the limit per VM is reached,
/// and against waiting after the owner has reported the bucket as exhausted.
#[test]
fn admit_wait_then_refuse() {
    let mut case = Case::new(10, 40, Duration::from_secs(60));
    let waits = |admission| matches!(admission, Admission::WaitForTokens { .. });
    assert!(waits(case.admit(0)));
    assert_eq!(case.exchange(0, 30), 10);
    (0..10).for_each(|_| assert_eq!(case.admit(0), Admission::Admit));
    assert!(waits(case.admit(0)), "the bucket is not exhausted");
    while case.exchange(0, 30) == 10 {
        while case.admit(0) == Admission::Admit {}
    }
    while case.admit(0) == Admission::Admit {}
    let need = TokenRequest { ahead: 20, ..case.need(Duration::from_secs(30)) };
    let admission = case.holders[0].recheck(&case.organisation, &need, case.now);
    assert!(matches!(admission, Admission::Refuse { .. }), "{admission:?}");
    // After 500 ms without a reply, the bucket no longer counts as exhausted.
    case.now += 500 * MS;
    assert!(waits(case.admit(0)));
}

/// Guards against a wait that cannot end before the deadline: the round trip takes 40 ms, the
/// deadline is 20 ms away.
#[test]
fn admit_deadline_before_reply() {
    let mut case = Case::new(10, 40, Duration::from_secs(60));
    for _ in 0..10 {
        case.admit(0);
        let request = case.request(0, 0);
        case.now += 40 * MS;
        let reply = case.reply_to(0, &request);
        case.holders[0].accept(&reply, case.now);
    }
    while case.admit(0) == Admission::Admit {}
    let need = case.need(20 * MS);
    let admission = case.holders[0].admit(&case.organisation, &need, case.now);
    assert!(matches!(admission, Admission::Refuse { .. }), "{admission:?}");
}

/// Guards against tokens that are freed twice by a repeated or reordered request, and against
/// accepting the reply to a request that a later one has replaced.
#[test]
fn handle_request_repeated_and_reordered() {
    let mut case = Case::new(1, 40, Duration::from_secs(60));
    case.admit(0);
    let first = case.request(0, 9);
    let second = case.request(0, 9);
    let reply = case.reply_to(0, &second);
    let ignored = GrantResponse::Ignore(GrantIgnoreReason::Repeated);
    for request in [&first, &second] {
        let response = case.owner.handle_request(&case.vms[0], Incarnation(1), request, case.now);
        assert_eq!(response, ignored);
    }
    let earlier = GrantReply { sequence: first.sequence, ..reply.clone() };
    assert!(!case.holders[0].accept(&earlier, case.now));
    assert!(case.holders[0].accept(&reply, case.now));
    assert!(!case.holders[0].accept(&reply, case.now));
    assert_eq!(case.holders[0].held(&case.organisation, case.now).get(), case.outstanding());
}

/// Guards against unused tokens that return to the bucket only when they expire.
#[test]
fn handle_request_returned_tokens() {
    let mut case = Case::new(1, 40, Duration::from_secs(60));
    case.admit(0);
    assert_eq!(case.exchange(0, 9), 10);
    let level = case.owner.bucket(&case.organisation).unwrap().0.get();
    for _ in 0..3 {
        case.exchange(0, 0);
    }
    let (level_after, outstanding) = case.owner.bucket(&case.organisation).unwrap();
    assert!(level_after.get() >= level + 5, "{level_after} after {level}");
    assert_eq!(level_after.get() + outstanding.get(), 40);
}

/// Guards against a holder that uses a grant after the owner has stopped counting it, with a clock
/// that runs 10% slower.
#[test]
fn grant_expires_at_holder_first() {
    let mut case = Case::new(1, 40, Duration::from_secs(60));
    case.admit(0);
    case.exchange(0, 9);
    let granted_at = case.now;
    assert!(HOLDER_EXPIRY.mul_f64(1.1) < OWNER_EXPIRY);
    case.now = granted_at + HOLDER_EXPIRY;
    assert_eq!(case.holders[0].held(&case.organisation, case.now), RequestCount::ZERO);
    case.now = granted_at + OWNER_EXPIRY - 300 * MS;
    let request = case.request(1, 0);
    case.reply_to(1, &request);
    assert_eq!(case.outstanding(), 10);
    let request = case.request(2, 0);
    case.reply_to(2, &request);
    assert_eq!(case.outstanding(), 0);
}

/// Guards against a new owner that grants tokens which a VM may still use from the previous term.
#[test]
fn new_owner_counts_holdings() {
    let mut case = Case::new(100, 40, Duration::from_secs(60));
    case.admit(0);
    assert_eq!(case.exchange(0, 9), 10);
    let limit = Limit { rate: RequestRate(100), burst: RequestCount(40), window: None };
    let limits = [(case.organisation.clone(), limit)];
    let start = case.now;
    let lease_until = start + Duration::from_secs(3_600);
    case.owner = GrantOwner::new(Term(2), &case.vms, limits, lease_until, start);
    assert_eq!(case.outstanding(), 30);
    case.holders.iter_mut().for_each(|holder| holder.set_term(Term(2)));
    let request = case.request(0, 40);
    case.reply_to(0, &request);
    // 10 reported, 20 withheld for the others, and at most 10 refilled in 250 ms.
    assert!((30..=40).contains(&case.outstanding()), "{}", case.outstanding());
    case.now = start + OWNER_EXPIRY + 100 * MS;
    let request = case.request(1, 0);
    case.reply_to(1, &request);
    assert_eq!(case.outstanding(), 0);
}

/// Guards against one VM that takes all tokens when they are scarce, and against a VM that gets
/// none when there are fewer tokens than VMs.
#[test]
fn grant_fair_when_scarce() {
    for (rate, burst) in [(40, 40), (3, 2)] {
        let mut case = Case::new(rate, burst, Duration::ZERO);
        let mut granted = [0; 3];
        for _ in 0..200 {
            for (vm, granted) in granted.iter_mut().enumerate() {
                while case.admit(vm) == Admission::Admit {}
                // All request at the same time, VM 0 first and for ten times as much as the others.
                case.now -= if vm == 0 { 100 } else { 250 } * MS;
                *granted += case.exchange(vm, if vm == 0 { 200 } else { 20 });
            }
        }
        let (most, least) = (granted.iter().max().unwrap(), granted.iter().min().unwrap());
        assert!(least * 100 >= most * 85, "{granted:?} with burst {burst}");
    }
}
