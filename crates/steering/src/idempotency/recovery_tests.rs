//! Tests of copying keys: a home that calls itself complete too early lets a request run twice, one
//! that never does refuses keyed requests for an hour.

use std::time::Duration;

use celerygate_types::wire::OnceVerdict;
use celerygate_types::{OrganisationId, RequestId};

use super::*;
use crate::idempotency::{IdempotencyLimits, IdempotencyTable, RETENTION};

const PAGE: usize = 2;

fn vm(number: usize) -> VmId {
    format!("vm{number}").parse().unwrap()
}

fn organisation() -> OrganisationId {
    "north".parse().unwrap()
}

fn request(number: u64) -> RequestId {
    format!("request-{number}").parse().unwrap()
}

fn table(number: usize, now: Instant) -> IdempotencyTable {
    let mut table = IdempotencyTable::new(vm(number), IdempotencyLimits::default(), now);
    table.set_members(&[vm(0), vm(1), vm(2)], now);
    table
}

/// Two homes that hold some keys each, and an emptied third one.
fn homes(now: Instant) -> [IdempotencyTable; 3] {
    let mut homes = [0, 1, 2].map(|number| table(number, now));
    homes[1].set_complete(now);
    homes[2].set_complete(now);
    for key in 0..7 {
        let holder = 1 + (key % 2) as usize;
        homes[holder].start(&organisation(), key, &request(key), now);
    }
    homes
}

fn copy_all(
    homes: &mut [IdempotencyTable; 3],
    copy: &mut ReplicaRecovery,
    now: Instant,
) -> Vec<PageAction> {
    let mut steps = Vec::new();
    for source in 1..3 {
        let from = vm(source);
        let question = |copy: &ReplicaRecovery| {
            let mut questions = copy.page_requests();
            questions.find(|(vm, _)| **vm == from).map(|(_, asked)| asked)
        };
        while let Some(asked) = question(copy) {
            let page = homes[source].page(&vm(0), asked, PAGE);
            let complete = homes[source].is_complete(now);
            let next = copy.apply_page(&from, Incarnation(1), asked, &page, complete);
            steps.push(next);
            if next == PageAction::Ignore {
                break;
            }
            for (at, record) in page.records.iter().filter(|(_, record)| copy.should_insert(record))
            {
                homes[0].insert_copied(record, *at);
            }
        }
    }
    steps
}

/// Guards against an emptied home that refuses every keyed request for an hour.
#[test]
fn copy_every_home_restores_keys() {
    let now = Instant::now() + RETENTION;
    let mut homes = homes(now);
    let mut copy = ReplicaRecovery::default();
    copy.set_sources([&vm(1), &vm(2)]);
    let steps = copy_all(&mut homes, &mut copy, now);
    assert_eq!(steps.last(), Some(&PageAction::Complete));
    homes[0].set_complete(now);
    for key in 0..7 {
        let verdict = homes[0].start(&organisation(), key, &request(100), now);
        assert_eq!(verdict, OnceVerdict::Duplicate, "key {key}");
    }
    assert_eq!(homes[0].start(&organisation(), 50, &request(50), now), OnceVerdict::First);
}

/// Guards against two emptied homes that copy each other's emptiness.
#[test]
fn copy_incomplete_source_does_not_count() {
    let now = Instant::now() + RETENTION;
    let mut homes = homes(now);
    homes[2] = table(2, now);
    let mut copy = ReplicaRecovery::default();
    copy.set_sources([&vm(1), &vm(2)]);
    let steps = copy_all(&mut homes, &mut copy, now);
    assert!(!steps.contains(&PageAction::Complete), "{steps:?}");
}

/// Guards against positions of an earlier life that skip records of the new one.
#[test]
fn copy_restarted_source_begins_again() {
    let now = Instant::now() + RETENTION;
    let homes = homes(now);
    let mut copy = ReplicaRecovery::default();
    copy.set_sources([&vm(1)]);
    let page = homes[1].page(&vm(0), 0, PAGE);
    assert_eq!(copy.apply_page(&vm(1), Incarnation(1), 0, &page, true), PageAction::AskAgain);
    let page = homes[1].page(&vm(0), page.next, PAGE);
    assert_eq!(copy.apply_page(&vm(1), Incarnation(2), 2, &page, true), PageAction::Ignore);
    assert_eq!(copy.page_requests().map(|(_, after)| after).collect::<Vec<_>>(), [0]);
}

/// Guards against a key that a late page brings back after its request was released.
#[test]
fn copy_released_key_is_not_restored() {
    let now = Instant::now() + RETENTION;
    let mut homes = homes(now);
    let mut copy = ReplicaRecovery::default();
    copy.set_sources([&vm(1), &vm(2)]);
    let (_, released) = homes[1].page(&vm(0), 0, 1).records[0];
    copy.record_release(&released);
    copy_all(&mut homes, &mut copy, now);
    homes[0].set_complete(now);
    let verdict = homes[0].start(&organisation(), released.fingerprint, &request(9), now);
    assert_eq!(verdict, OnceVerdict::First);
}

/// Guards against pages that lose their place when old keys expire.
#[test]
fn page_after_expiry_continues() {
    let start = Instant::now() + RETENTION;
    let mut homes = homes(start);
    let first = homes[1].page(&vm(0), 0, PAGE);
    let later = start + RETENTION + Duration::from_secs(1);
    homes[1].expire(later);
    homes[1].start(&organisation(), 90, &request(90), later);
    let page = homes[1].page(&vm(0), first.next, 10);
    assert!(page.is_last);
    assert_eq!(page.records.iter().map(|(_, record)| record.fingerprint).collect::<Vec<_>>(), [90]);
}
