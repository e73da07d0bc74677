//! Tests of the recovery of a replica. A replica that counts as complete too early lets a request
//! run twice; one that never becomes complete refuses requests with idempotency keys for an hour.

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

/// Returns an empty replica and two others that hold some keys each.
fn replicas(now: Instant) -> [IdempotencyTable; 3] {
    let mut replicas = [0, 1, 2].map(|number| table(number, now));
    replicas[1].set_complete(now);
    replicas[2].set_complete(now);
    for key in 0..7 {
        let holder = 1 + (key % 2) as usize;
        replicas[holder].start(&organisation(), key, &request(key), now);
    }
    replicas
}

fn recover_all(
    replicas: &mut [IdempotencyTable; 3],
    recovery: &mut ReplicaRecovery,
    now: Instant,
) -> Vec<PageAction> {
    let mut actions = Vec::new();
    for source in 1..3 {
        let from = vm(source);
        let next_position = |recovery: &ReplicaRecovery| {
            let mut requests = recovery.page_requests();
            requests.find(|(vm, _)| **vm == from).map(|(_, after)| after)
        };
        while let Some(after) = next_position(recovery) {
            let page = replicas[source].page(&vm(0), after, PAGE);
            let complete = replicas[source].is_complete(now);
            let next = recovery.apply_page(&from, Incarnation(1), after, &page, complete);
            actions.push(next);
            if next == PageAction::Ignore {
                break;
            }
            for (at, record) in
                page.records.iter().filter(|(_, record)| recovery.should_insert(record))
            {
                replicas[0].insert_copied(record, *at);
            }
        }
    }
    actions
}

/// Guards against an empty replica that refuses every request with an idempotency key for an hour.
#[test]
fn recover_from_all_sources_restores_keys() {
    let now = Instant::now() + RETENTION;
    let mut replicas = replicas(now);
    let mut recovery = ReplicaRecovery::default();
    recovery.set_sources([&vm(1), &vm(2)]);
    let actions = recover_all(&mut replicas, &mut recovery, now);
    assert_eq!(actions.last(), Some(&PageAction::Complete));
    replicas[0].set_complete(now);
    for key in 0..7 {
        let verdict = replicas[0].start(&organisation(), key, &request(100), now);
        assert_eq!(verdict, OnceVerdict::Duplicate, "key {key}");
    }
    assert_eq!(replicas[0].start(&organisation(), 50, &request(50), now), OnceVerdict::First);
}

/// Guards against two empty replicas that recover from each other and then count as complete.
#[test]
fn recover_ignores_incomplete_source() {
    let now = Instant::now() + RETENTION;
    let mut replicas = replicas(now);
    replicas[2] = table(2, now);
    let mut recovery = ReplicaRecovery::default();
    recovery.set_sources([&vm(1), &vm(2)]);
    let actions = recover_all(&mut replicas, &mut recovery, now);
    assert!(!actions.contains(&PageAction::Complete), "{actions:?}");
}

/// Guards against using the position of an earlier incarnation, which skips records of the new one.
#[test]
fn recover_restarted_source_starts_over() {
    let now = Instant::now() + RETENTION;
    let replicas = replicas(now);
    let mut recovery = ReplicaRecovery::default();
    recovery.set_sources([&vm(1)]);
    let page = replicas[1].page(&vm(0), 0, PAGE);
    assert_eq!(recovery.apply_page(&vm(1), Incarnation(1), 0, &page, true), PageAction::AskAgain);
    let page = replicas[1].page(&vm(0), page.next, PAGE);
    assert_eq!(recovery.apply_page(&vm(1), Incarnation(2), 2, &page, true), PageAction::Ignore);
    assert_eq!(recovery.page_requests().map(|(_, after)| after).collect::<Vec<_>>(), [0]);
}

/// Guards against a delayed page that restores a key after its request was released.
#[test]
fn recover_released_key_is_not_restored() {
    let now = Instant::now() + RETENTION;
    let mut replicas = replicas(now);
    let mut recovery = ReplicaRecovery::default();
    recovery.set_sources([&vm(1), &vm(2)]);
    let (_, released) = replicas[1].page(&vm(0), 0, 1).records[0];
    recovery.record_release(&released);
    recover_all(&mut replicas, &mut recovery, now);
    replicas[0].set_complete(now);
    let verdict = replicas[0].start(&organisation(), released.fingerprint, &request(9), now);
    assert_eq!(verdict, OnceVerdict::First);
}

/// Guards against a page position that becomes wrong when old keys expire.
#[test]
fn page_after_expiry_continues() {
    let start = Instant::now() + RETENTION;
    let mut replicas = replicas(start);
    let first = replicas[1].page(&vm(0), 0, PAGE);
    let later = start + RETENTION + Duration::from_secs(1);
    replicas[1].expire(later);
    replicas[1].start(&organisation(), 90, &request(90), later);
    let page = replicas[1].page(&vm(0), first.next, 10);
    assert!(page.is_last);
    assert_eq!(page.records.iter().map(|(_, record)| record.fingerprint).collect::<Vec<_>>(), [90]);
}
