//! Tests of single request-reply exchanges between the owner and the holders of slot permits.

use std::time::{Duration, Instant};

use celerygate_types::wire::SlotReply;
use celerygate_types::{Incarnation, SlotCount, VmId};

use super::{
    HOLDER_LEASE, IDLE_TIMEOUT, OWNER_LEASE, SlotHolder, SlotMessage, SlotOwner, SlotResponse,
    SlotTarget,
};

const MS: Duration = Duration::from_millis(1);

struct Case {
    now: Instant,
    target: SlotTarget,
    vms: Vec<VmId>,
    owner: SlotOwner,
    holders: Vec<SlotHolder>,
}

impl Case {
    /// Creates an owner with two VMs that have reported, and a target with the given slots.
    fn new(slots: u32) -> Self {
        let now = Instant::now();
        let target = ("search".parse().unwrap(), "target-1".parse().unwrap());
        let vms: Vec<VmId> = vec!["vm-0".parse().unwrap(), "vm-1".parse().unwrap()];
        let mut owner = SlotOwner::new(1, &vms, now + Duration::from_secs(60), now);
        owner.set_slots(&target, SlotCount(slots));
        let holders = vec![SlotHolder::new(1); 2];
        let mut case = Self { now, target, vms, owner, holders };
        for vm in 0..2 {
            // The owner withholds permits until both have reported.
            case.request(vm, 0);
        }
        case.now += 60 * MS;
        case
    }

    fn exchange(&mut self, vm: usize, want: u32) -> Vec<SlotMessage> {
        let request = self.holders[vm].poll([(&self.target, want)], self.now).unwrap();
        match self.owner.handle_request(&self.vms[vm], Incarnation(1), &request, self.now) {
            SlotResponse::Send(messages) => messages,
            SlotResponse::Ignore(reason) => panic!("{reason}"),
        }
    }

    /// Sends a request and delivers the reply; returns the other messages.
    fn request(&mut self, vm: usize, want: u32) -> Vec<SlotMessage> {
        let mut messages = self.exchange(vm, want);
        let reply = messages.remove(0).reply;
        assert!(self.holders[vm].accept(&reply, self.now));
        messages
    }

    fn acquire_all(&mut self, vm: usize) -> u32 {
        let acquired = (0..100).take_while(|_| self.holders[vm].acquire(&self.target, self.now));
        acquired.count() as u32
    }
}

/// Guards against permits that need more than one round trip.
#[test]
fn request_one_round_trip() {
    let mut case = Case::new(4);
    case.request(0, 3);
    assert_eq!(case.acquire_all(0), 3);
}

/// Guards against idle permits that a VM keeps while others wait, and against the recall of a
/// permit in use, which returns only when its request has ended.
#[test]
fn request_recalls_idle_and_not_running() {
    let mut case = Case::new(3);
    case.request(0, 3);
    assert!(case.holders[0].acquire(&case.target, case.now));
    case.now += 300 * MS;
    case.request(0, 0);
    let recalls = case.request(1, 3);
    assert_eq!(recalls[0].vm, case.vms[0]);
    assert!(case.holders[0].accept(&recalls[0].reply, case.now));
    case.now += 5 * MS;
    let messages = case.request(0, 0);
    assert_eq!(case.holders[0].slot_usage(&case.target).held, SlotCount(1));
    let notice = messages.iter().find(|message| message.vm == case.vms[1]).unwrap();
    case.holders[1].accept(&notice.reply, case.now);
    assert_eq!(case.acquire_all(1), 0, "a notice adds nothing");
    case.now += 5 * MS;
    case.request(1, 3);
    assert_eq!(case.acquire_all(1), 2);
}

/// Guards against unused permits that a VM keeps, and against requests that start after the lease.
#[test]
fn poll_idle_and_lease_end() {
    let mut case = Case::new(2);
    case.request(0, 2);
    let granted_at = case.now;
    while case.now < granted_at + IDLE_TIMEOUT - 100 * MS {
        case.now += 300 * MS;
        case.request(0, 0);
        assert_eq!(case.holders[0].slot_usage(&case.target).held, SlotCount(2));
    }
    case.now = granted_at + IDLE_TIMEOUT;
    case.request(0, 0);
    assert_eq!(case.owner.allocated(&case.target), SlotCount(0));
    case.now += 60 * MS;
    case.request(0, 2);
    assert!(case.holders[0].acquire(&case.target, case.now));
    case.now += HOLDER_LEASE - 100 * MS;
    case.holders[0].release(&case.target, case.now);
    case.now += 100 * MS;
    assert_eq!(case.acquire_all(0), 0);
    assert!(case.holders[0].poll([], case.now).is_some_and(|request| request.asks.is_empty()));
}

/// Guards against a permit that is recalled before its holder has received it.
#[test]
fn request_while_award_in_flight() {
    let mut case = Case::new(2);
    case.request(1, 1);
    assert_eq!(case.acquire_all(1), 1);
    case.exchange(0, 1);
    case.now += 5 * MS;
    let messages = case.exchange(1, 1);
    assert!(messages.iter().all(|message| message.vm == case.vms[1]), "{messages:?}");
}

/// Guards against a reply that adds permits although a later request has replaced its request, and
/// against a notice that adds permits.
#[test]
fn accept_late_reply_and_notice() {
    let mut case = Case::new(2);
    let late = case.exchange(0, 2).remove(0).reply;
    case.now += 100 * MS;
    let current = case.exchange(0, 0).remove(0).reply;
    assert!(!case.holders[0].accept(&late, case.now));
    let notice = SlotReply { sequence: 0, ..late };
    case.holders[0].accept(&notice, case.now);
    assert!(case.holders[0].accept(&current, case.now));
    assert_eq!(case.acquire_all(0), 0);
}

/// Guards against a new owner that leases permits which a VM that has not reported may still use,
/// and against permits that are withheld for longer than that VM's lease.
#[test]
fn new_owner_withholds() {
    let mut case = Case::new(2);
    let start = case.now;
    case.owner = SlotOwner::new(2, &case.vms, start + Duration::from_secs(60), start);
    case.owner.set_slots(&case.target, SlotCount(2));
    case.holders[0].set_epoch(2);
    case.request(0, 1);
    assert_eq!(case.acquire_all(0), 0);
    case.now = start + OWNER_LEASE;
    case.request(0, 1);
    assert_eq!(case.acquire_all(0), 1);
}

/// Guards against a late report that renews permits which another VM has got in the meantime.
#[test]
fn handle_request_report_after_lease() {
    let mut case = Case::new(2);
    case.request(0, 2);
    case.now += 900 * MS;
    let late = case.holders[0].poll([], case.now).unwrap();
    case.now += OWNER_LEASE - 900 * MS;
    case.request(1, 2);
    case.now += 300 * MS;
    case.request(1, 0);
    let response = case.owner.handle_request(&case.vms[0], Incarnation(1), &late, case.now);
    let SlotResponse::Send(messages) = response else { panic!("{response:?}") };
    assert!(case.holders[0].accept(&messages[0].reply, case.now));
    assert_eq!((case.acquire_all(0), case.acquire_all(1)), (0, 2));
}
