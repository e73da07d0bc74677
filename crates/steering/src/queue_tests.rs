//! Tests of the order, bounds and accounting of waiting requests.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use celerygate_types::{OrganisationId, ResultCode, ServiceId, SlotCount};
use proptest::prelude::*;

use super::{Arrival, Capacity, MAX_WAITING, QueueDecision, Ticket, WaitQueue};
use crate::grants::Admission;

const MS: Duration = Duration::from_millis(1);
const BUSY: Capacity =
    Capacity { slots: SlotCount(2), has_free: false, next_free: Duration::from_millis(5) };

fn organisation(index: usize) -> OrganisationId {
    format!("org-{index}").parse().unwrap()
}

fn service(index: usize) -> ServiceId {
    format!("service-{index}").parse().unwrap()
}

struct Case {
    queue: WaitQueue,
    now: Instant,
}

impl Case {
    fn new() -> Self {
        Self { queue: WaitQueue::new(), now: Instant::now() }
    }

    fn submit_with(
        &mut self,
        (org, weight, service_index): (usize, u32, usize),
        work: Duration,
        within: Duration,
        has_token: bool,
        capacity: &Capacity,
    ) -> QueueDecision {
        let arrival = Arrival {
            organisation: &organisation(org),
            weight,
            service: &service(service_index),
            work,
            deadline: self.now + within,
            has_token,
        };
        self.queue.submit(&arrival, capacity, self.now)
    }

    fn submit(&mut self, org: usize, weight: u32, work: Duration) -> QueueDecision {
        self.submit_with((org, weight, 0), work, Duration::from_secs(3_600), true, &BUSY)
    }
}

/// Guards against an unbounded queue, and against organisations above their share that fill it so
/// that one without waiting requests is refused.
#[test]
fn submit_bounds_and_displacement() {
    let mut case = Case::new();
    for org in 0..4 {
        for _ in 0..64 {
            assert!(matches!(case.submit(org, 1, MS), QueueDecision::Wait { displaced: None, .. }));
        }
        assert_eq!(case.submit(org, 1, MS), QueueDecision::Refuse(ResultCode::QueueFull));
    }
    assert_eq!(case.queue.len(), MAX_WAITING);
    for waiting in 0..51 {
        let decision = case.submit(9, 1, MS);
        let displaced = matches!(decision, QueueDecision::Wait { displaced: Some(_), .. });
        assert!(displaced, "{decision:?} with {waiting} waiting");
    }
    assert_eq!(case.queue.len(), MAX_WAITING);
    assert_eq!(case.submit(9, 1, MS), QueueDecision::Refuse(ResultCode::QueueFull));
}

/// Guards against requests that wait although they cannot start before the deadline, and against
/// the refusal of those that can: 20 x 10 ms on 2 slots, plus 5 ms until the next slot is free, is
/// 105 ms.
#[test]
fn submit_deadline_unreachable() {
    let mut case = Case::new();
    for _ in 0..20 {
        case.submit(0, 1, 10 * MS);
    }
    let mut submit = |within| case.submit_with((0, 1, 0), MS, within, true, &BUSY);
    assert_eq!(submit(105 * MS), QueueDecision::Refuse(ResultCode::DeadlineUnreachable));
    assert_eq!(submit(Duration::ZERO), QueueDecision::Refuse(ResultCode::DeadlineUnreachable));
    assert!(matches!(submit(106 * MS), QueueDecision::Wait { .. }));
    // Requests of another organisation or for another service do not wait behind the backlog.
    let other = case.submit_with((1, 1, 0), MS, 20 * MS, true, &BUSY);
    assert!(matches!(other, QueueDecision::Wait { .. }), "{other:?}");
    let other = case.submit_with((0, 1, 1), MS, 20 * MS, true, &BUSY);
    assert!(matches!(other, QueueDecision::Wait { .. }), "{other:?}");
}

/// Guards against a new request that overtakes waiting ones for the same service, and against one
/// that waits although only requests for other services are waiting.
#[test]
fn submit_free_slot() {
    let mut case = Case::new();
    let free = Capacity { has_free: true, ..BUSY };
    let hour = Duration::from_secs(3_600);
    assert_eq!(case.submit_with((0, 1, 0), MS, hour, true, &free), QueueDecision::Start);
    case.submit(1, 1, MS);
    assert!(matches!(
        case.submit_with((0, 1, 0), MS, hour, true, &free),
        QueueDecision::Wait { .. }
    ));
    assert_eq!(case.submit_with((0, 1, 1), MS, hour, true, &free), QueueDecision::Start);
}

/// Guards against starvation of an organisation after it alone has used otherwise idle slots for a
/// long time.
#[test]
fn dequeue_after_long_idle_use() {
    let mut case = Case::new();
    let free = Capacity { has_free: true, ..BUSY };
    for _ in 0..10_000 {
        case.submit_with((0, 1, 0), 100 * MS, Duration::from_secs(3_600), true, &free);
    }
    for _ in 0..40 {
        case.submit(0, 1, 100 * MS);
        case.submit(1, 1, 100 * MS);
    }
    let first: Vec<_> = std::iter::from_fn(|| case.queue.dequeue(|_| true)).take(20).collect();
    let first_org = first.iter().filter(|started| started.organisation == organisation(0)).count();
    assert!((9..=11).contains(&first_org), "{first_org} of 20");
}

/// Guards against an organisation that, after it was blocked, starves another for as long as it was
/// blocked: after 100 s of the other's work, its lead is limited to 1 s.
#[test]
fn dequeue_after_long_block() {
    let mut case = Case::new();
    let hour = Duration::from_secs(3_600);
    for _ in 0..30 {
        case.submit_with((0, 1, 0), 100 * MS, hour, true, &BUSY);
    }
    for _ in 0..1_000 {
        case.submit_with((1, 1, 1), 100 * MS, hour, true, &BUSY);
        case.queue.dequeue(|free| *free == service(1));
    }
    for _ in 0..30 {
        case.submit_with((1, 1, 1), 100 * MS, hour, true, &BUSY);
    }
    let first: Vec<_> = std::iter::from_fn(|| case.queue.dequeue(|_| true)).take(20).collect();
    let first_org = first.iter().filter(|started| started.organisation == organisation(0)).count();
    assert!((14..=16).contains(&first_org), "{first_org} of 20");
}

/// Guards against shares that depend on the estimates: organisation 0 is estimated at 1 ms and
/// takes 10 ms.
#[test]
fn finish_corrects_shares() {
    let mut case = Case::new();
    let mut used = [Duration::ZERO; 2];
    for _ in 0..2_000 {
        case.submit(0, 1, MS);
        case.submit(1, 1, 10 * MS);
        let started = case.queue.dequeue(|_| true).unwrap();
        case.queue.finish(&started.organisation, started.work, 10 * MS);
        used[usize::from(started.organisation == organisation(1))] += 10 * MS;
    }
    let ratio = used[0].as_secs_f64() / used[1].as_secs_f64();
    assert!((0.95..=1.05).contains(&ratio), "{ratio}");
}

/// Guards against requests that start without a token, and against decisions that are applied to
/// the wrong one of several waiting requests.
#[test]
fn recheck_tokens_in_order() {
    let mut case = Case::new();
    let hour = Duration::from_secs(3_600);
    let tickets: Vec<Ticket> = (0..4)
        .map(|_| match case.submit_with((0, 1, 0), MS, hour, false, &BUSY) {
            QueueDecision::Wait { ticket, .. } => ticket,
            other => panic!("{other:?}"),
        })
        .collect();
    assert_eq!(case.queue.dequeue(|_| true), None);
    let decisions = [
        Admission::Admit,
        Admission::WaitForTokens { recheck_at: case.now },
        Admission::Refuse { retry_after: MS },
        Admission::Admit,
    ];
    let mut ahead_of_each = Vec::new();
    let refused = case.queue.recheck_tokens(&organisation(0), |need| {
        ahead_of_each.push(need.ahead);
        decisions[ahead_of_each.len() - 1]
    });
    assert_eq!((ahead_of_each, refused), (vec![0, 0, 1, 1], vec![(tickets[2], MS)]));
    assert_eq!(case.queue.waiting_for_tokens(&organisation(0)), 1);
    assert_eq!(case.queue.dequeue(|_| true).map(|started| started.ticket), Some(tickets[0]));
    assert_eq!(case.queue.dequeue(|_| true).map(|started| started.ticket), Some(tickets[3]));
    assert_eq!(case.queue.dequeue(|_| true), None);
    assert!(case.queue.cancel(tickets[1]) && !case.queue.cancel(tickets[1]));
    assert!(case.queue.is_empty());
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against starvation and wrong shares: at any time, organisations that always have
    /// waiting requests have received slot time by weight, up to the largest request of each.
    #[test]
    fn dequeue_shares_by_weight(
        flows in prop::collection::vec((1_u32..10, 1_u32..200), 2..6),
        rounds in 200_usize..400,
    ) {
        let mut case = Case::new();
        let mut served = vec![0.0; flows.len()];
        for _ in 0..rounds {
            for (org, (weight, work_ms)) in flows.iter().enumerate() {
                case.submit(org, *weight, *work_ms * MS);
            }
            let started = case.queue.dequeue(|_| true).unwrap();
            let org = (0..flows.len()).find(|org| organisation(*org) == started.organisation);
            let org = org.unwrap();
            served[org] += started.work.as_secs_f64() * 1e3 / f64::from(flows[org].0);
            for (other, (weight, work_ms)) in flows.iter().enumerate() {
                // The fairness bound of start-time fair queueing: the largest request of each of
                // the two.
                let bound = f64::from(*work_ms) / f64::from(*weight)
                    + f64::from(flows[org].1) / f64::from(flows[org].0);
                let lead = served[org] - served[other];
                prop_assert!(lead <= bound + 1e-3, "{org} leads {other} by {lead} of {bound}");
            }
        }
    }

    /// Guards against lost, duplicated or reordered requests: under any sequence of calls, every
    /// request ends exactly once, requests of one organisation and service start in order of
    /// arrival, and an organisation that can start is not starved.
    #[test]
    fn queue_mixed_calls(
        calls in prop::collection::vec((0_u8..8, 0_usize..4, 0_usize..2, 1_u32..50), 1..400),
    ) {
        let mut case = Case::new();
        let mut open: BTreeMap<Ticket, (usize, usize)> = BTreeMap::new();
        let mut overtaken = [0.0_f64; 4];
        for (call, org, service_index, number) in calls {
            match call {
                0..4 => {
                    let within = 20 * number * MS;
                    let flow = (org, 1, service_index);
                    let decision = case.submit_with(flow, number * MS, within, true, &BUSY);
                    if let QueueDecision::Wait { ticket, displaced } = decision {
                        prop_assert!(open.insert(ticket, (org, service_index)).is_none());
                        if let Some(displaced) = displaced {
                            prop_assert!(open.remove(&displaced).is_some());
                        }
                    }
                }
                4..6 => {
                    let free = service(service_index);
                    let Some(started) = case.queue.dequeue(|other| *other == free) else {
                        prop_assert!(open.values().all(|flow| flow.1 != service_index));
                        continue;
                    };
                    let flow = open.remove(&started.ticket);
                    let (org, _) = flow.unwrap();
                    prop_assert_eq!(flow, Some((org, service_index)));
                    let earlier = open.iter().find(|other| *other.1 == (org, service_index));
                    prop_assert!(earlier.is_none_or(|(other, _)| *other > started.ticket));
                    overtaken[org] = 0.0;
                    for (other, overtaken) in overtaken.iter_mut().enumerate() {
                        if open.values().any(|flow| *flow == (other, service_index)) {
                            *overtaken += started.work.as_secs_f64();
                        }
                        // The maximum lag of 1 s and one request of 50 ms, for each other
                        // organisation.
                        prop_assert!(*overtaken < 3.0 * 1.1, "{overtaken}");
                    }
                }
                6 => {
                    let ticket = open.keys().nth(number as usize % open.len().max(1)).copied();
                    prop_assert!(ticket.is_none_or(|ticket| case.queue.cancel(ticket)));
                    open.retain(|other, _| Some(*other) != ticket);
                }
                _ => {
                    case.now += number * MS;
                    for ticket in case.queue.expire(case.now) {
                        prop_assert!(open.remove(&ticket).is_some());
                    }
                    prop_assert!(case.queue.next_deadline().is_none_or(|at| at > case.now));
                }
            }
            prop_assert_eq!(case.queue.len(), open.len());
        }
    }
}
