//! Tests of idempotency keys. A wrong verdict runs a request twice, for example books a crew twice.

use std::time::Instant;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use super::*;
use celerygate_types::RequestId;

fn config_with_seed(seed: u64) -> ProptestConfig {
    let rng_seed = RngSeed::Fixed(seed);
    ProptestConfig { cases: 600, rng_seed, failure_persistence: None, ..Default::default() }
}

fn vms(numbers: impl IntoIterator<Item = usize>) -> Vec<VmId> {
    numbers.into_iter().map(|vm| format!("vm{vm}").parse().unwrap()).collect()
}

fn organisation() -> OrganisationId {
    "north".parse().unwrap()
}

fn request(number: usize) -> RequestId {
    format!("request-{number}").parse().unwrap()
}

fn minutes(minutes: u64) -> Duration {
    Duration::from_secs(minutes * 60)
}

/// Returns the table of a replica that has been running for more than an hour.
fn long_running_table(
    vm: &VmId,
    members: &[VmId],
    limits: IdempotencyLimits,
    now: Instant,
) -> IdempotencyTable {
    let start = now - minutes(61);
    let mut table = IdempotencyTable::new(vm.clone(), limits, start);
    table.set_members(members, start);
    table
}

/// Steps of the simulation in [`decide_at_most_once`].
#[derive(Clone, Debug)]
enum Step {
    /// A new request with the key. The bits select the replicas that receive it, and those whose
    /// replies arrive.
    Request {
        received: u8,
        replied: u8,
    },
    /// The request with this index is sent to the replicas again.
    Retry {
        request: usize,
        received: u8,
        replied: u8,
    },
    /// A VM restarts and loses its records.
    Restart(usize),
    /// A VM leaves the configuration, and a new one joins.
    Replace(usize),
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..8_u8, 0..8_u8)
            .prop_map(|(received, replied)| Step::Request { received, replied }),
        2 => (0..6_usize, 0..8_u8, 0..8_u8)
            .prop_map(|(request, received, replied)| Step::Retry { request, received, replied }),
        2 => (0..7_usize).prop_map(Step::Restart),
        1 => (0..7_usize).prop_map(Step::Replace),
        4 => (0..50_u64).prop_map(Step::Wait),
    ]
}

/// Replicas, replies and decision of a request.
type PendingRequest = (KeyReplicas, Vec<(VmId, OnceVerdict)>, IdempotencyDecision);

struct Simulation {
    now: Instant,
    members: Vec<VmId>,
    tables: Vec<IdempotencyTable>,
    next_vm: usize,
    requests: Vec<PendingRequest>,
    /// Time at which a replica last lost its records, and time at which a request was last sent.
    lost_at: Option<Instant>,
    sent_at: Option<Instant>,
}

impl Simulation {
    fn new() -> Self {
        let (now, members) = (Instant::now() + minutes(1_000), vms(0..7));
        let table = |vm| long_running_table(vm, &members, IdempotencyLimits::default(), now);
        let tables = members.iter().map(table).collect();
        let requests = Vec::new();
        Self { now, tables, members, next_vm: 7, requests, lost_at: None, sent_at: None }
    }

    /// Sends a request to its replicas. Returns whether the decision is to send it although another
    /// request was sent within the retention time.
    fn send_to_replicas(&mut self, number: usize, received: u8, replied: u8) -> bool {
        let (replicas, replies, decision) = &mut self.requests[number];
        if *decision != IdempotencyDecision::Wait {
            return false;
        }
        for (bit, replica) in replicas.iter().enumerate() {
            let Some(at) = self.members.iter().position(|vm| vm == replica) else { continue };
            if received & (1 << bit) != 0 {
                let verdict = self.tables[at].start(&organisation(), 7, &request(number), self.now);
                if replied & (1 << bit) != 0 {
                    replies.push((replica.clone(), verdict));
                }
            }
        }
        *decision = decide(replicas, replies.iter().map(|(vm, verdict)| (vm, *verdict)), false);
        if *decision != IdempotencyDecision::Send {
            return false;
        }
        let is_second = self.sent_at.is_some_and(|at| self.now - at < RETENTION);
        self.sent_at = Some(self.now);
        is_second
    }

    /// Restarts or replaces a VM, at most one per hour: the guarantee covers the loss of one
    /// replica.
    fn restart_vm(&mut self, at: usize, replace: bool) {
        if self.lost_at.is_some_and(|lost_at| self.now - lost_at < RETENTION) {
            return;
        }
        self.lost_at = Some(self.now);
        if replace {
            self.members[at] = vms([self.next_vm]).remove(0);
            self.next_vm += 1;
        }
        self.tables[at] =
            IdempotencyTable::new(self.members[at].clone(), IdempotencyLimits::default(), self.now);
        for table in &mut self.tables {
            table.set_members(&self.members, self.now);
        }
    }
}

proptest! {
    #![proptest_config(config_with_seed(61))]

    /// Guards against sending a request twice within an hour, with lost messages, replicas that
    /// lose their records, and replaced VMs.
    #[test]
    fn decide_at_most_once(steps in prop::collection::vec(step(), 1..40)) {
        let mut simulation = Simulation::new();
        for step in steps {
            let is_second = match step {
                Step::Request { received, replied } => {
                    let replicas = replicas(&simulation.members, &organisation(), 7);
                    simulation.requests.push((replicas, Vec::new(), IdempotencyDecision::Wait));
                    simulation.send_to_replicas(simulation.requests.len() - 1, received, replied)
                }
                Step::Retry { request, received, replied } => {
                    request < simulation.requests.len()
                        && simulation.send_to_replicas(request, received, replied)
                }
                Step::Restart(at) => { simulation.restart_vm(at, false); false }
                Step::Replace(at) => { simulation.restart_vm(at, true); false }
                Step::Wait(wait) => {
                    simulation.now += minutes(wait);
                    // A request waits for replies for seconds, not minutes.
                    for (_, _, decision) in &mut simulation.requests {
                        if wait > 0 && *decision == IdempotencyDecision::Wait {
                            *decision = IdempotencyDecision::Refuse(ResultCode::OnceUnavailable);
                        }
                    }
                    false
                }
            };
            prop_assert!(!is_second);
        }
    }

    /// Guards against a membership change that moves the replicas of unrelated keys.
    #[test]
    fn replicas_minimal_change(fingerprint in any::<u64>(), removed in 0..7_usize) {
        let before = replicas(&vms(0..7), &organisation(), fingerprint);
        let after =
            replicas(&vms((0..7).filter(|vm| *vm != removed)), &organisation(), fingerprint);
        let removed = &vms([removed])[0];
        let kept = before.iter().filter(|vm| *vm != removed);
        prop_assert!(kept.clone().all(|vm| after.contains(vm)));
        prop_assert_eq!(after.len(), REPLICA_COUNT);
        let reversed: Vec<VmId> = vms(0..7).into_iter().rev().collect();
        prop_assert_eq!(replicas(&reversed, &organisation(), fingerprint), before);
    }
}

/// Guards against an uneven distribution of keys over replicas.
#[test]
fn replicas_evenly_distributed() {
    let members = vms(0..7);
    let mut counts = [0_usize; 7];
    for key in 0..7_000_u32 {
        for replica in replicas(&members, &organisation(), fingerprint(&key.to_le_bytes())) {
            counts[members.iter().position(|vm| *vm == replica).unwrap()] += 1;
        }
    }
    assert!(counts.iter().all(|count| (2_800..3_200).contains(count)), "{counts:?}");
}

/// Guards against sending after a single reply, counting replies of other VMs or repeated replies,
/// and waiting for replies that cannot change the decision.
#[test]
fn decide_replies() {
    use OnceVerdict::{Duplicate, First, Unknown};
    let replicas = vms(0..3);
    let run = |replies: &[(usize, OnceVerdict)], is_last| {
        let all = vms(0..5);
        decide(&replicas, replies.iter().map(|(vm, verdict)| (&all[*vm], *verdict)), is_last)
    };
    let unavailable = IdempotencyDecision::Refuse(ResultCode::OnceUnavailable);
    let duplicate = IdempotencyDecision::Refuse(ResultCode::DuplicateRequest);
    assert_eq!(run(&[], false), IdempotencyDecision::Wait);
    assert_eq!(run(&[(0, First), (0, First), (4, First)], false), IdempotencyDecision::Wait);
    assert_eq!(run(&[(0, First), (2, First)], false), IdempotencyDecision::Send);
    assert_eq!(run(&[(0, First), (1, Unknown)], false), IdempotencyDecision::Wait);
    assert_eq!(run(&[(0, First), (1, Unknown), (2, First)], true), IdempotencyDecision::Send);
    assert_eq!(run(&[(0, Unknown), (1, Unknown)], false), unavailable);
    assert_eq!(run(&[(0, First)], true), unavailable);
    assert_eq!(run(&[(0, First), (1, Duplicate), (2, First)], false), duplicate);
    assert_eq!(run(&[(4, Duplicate)], true), unavailable);
    let single = &vms([0])[..];
    assert_eq!(decide(single, [(&single[0], First)], false), IdempotencyDecision::Send);
    assert_eq!(decide(&[], [], true), unavailable);
}

/// Guards against removing a key too early or never, and against refusing a repeated message.
#[test]
fn start_retention() {
    let now = Instant::now() + minutes(100);
    let members = vms(0..3);
    let mut table = long_running_table(&members[0], &members, IdempotencyLimits::default(), now);
    let mut start =
        |number, at| table.start(&organisation(), 1, &request(number), now + minutes(at));
    assert_eq!(start(1, 0), OnceVerdict::First);
    assert_eq!(start(1, 1), OnceVerdict::First);
    assert_eq!(start(2, 59), OnceVerdict::Duplicate);
    assert_eq!(start(3, 60), OnceVerdict::First);
    assert_eq!(start(1, 61), OnceVerdict::Duplicate);
}

/// Guards against a replica that reports a key as new although it may have been recorded before the
/// replica started.
#[test]
fn start_first_hour() {
    let now = Instant::now();
    let members = vms(0..3);
    let mut table = IdempotencyTable::new(members[0].clone(), IdempotencyLimits::default(), now);
    table.set_members(&members, now);
    let mut start =
        |key, number, at| table.start(&organisation(), key, &request(number), now + minutes(at));
    assert_eq!(start(1, 1, 59), OnceVerdict::Unknown);
    assert_eq!(start(1, 2, 59), OnceVerdict::Duplicate);
    assert_eq!(start(2, 3, 60), OnceVerdict::First);
    assert_eq!(start(1, 4, 60), OnceVerdict::Duplicate);
}

/// Guards against a VM that became a replica through a membership change, and reports a key as new
/// although it may have been recorded before the change.
#[test]
fn start_new_replica() {
    let now = Instant::now() + minutes(100);
    let (before, after) = (vms(0..4), vms([0, 1, 2, 4]));
    let new = |key: &u64| {
        let is_replica =
            |members: &[VmId]| replicas(members, &organisation(), *key).contains(&after[0]);
        !is_replica(&before) && is_replica(&after)
    };
    let old = |key: &u64| {
        let is_replica =
            |members: &[VmId]| replicas(members, &organisation(), *key).contains(&after[0]);
        is_replica(&before) && is_replica(&after)
    };
    let (new, old) = ((0..).find(new).unwrap(), (0..).find(old).unwrap());
    let mut table = long_running_table(&after[0], &before, IdempotencyLimits::default(), now);
    table.set_members(&after, now);
    for (key, at, expected) in [
        (new, 0, OnceVerdict::Unknown),
        (old, 0, OnceVerdict::First),
        (new, 59, OnceVerdict::Unknown),
        (new, 60, OnceVerdict::First),
    ] {
        let at = now + minutes(at);
        table.set_members(&after, at);
        assert_eq!(table.start(&organisation(), key, &request(1), at), expected, "{key}");
    }
}

/// Guards against unbounded memory use, and against evicting keys from a full table.
#[test]
fn start_table_full() {
    let now = Instant::now() + minutes(100);
    let members = vms(0..3);
    let limits = IdempotencyLimits { total: 5, per_organisation: 3 };
    let mut table = long_running_table(&members[0], &members, limits, now);
    let south = "south".parse().unwrap();
    for key in 0..3 {
        assert_eq!(table.start(&organisation(), key, &request(1), now), OnceVerdict::First);
    }
    assert_eq!(table.start(&organisation(), 3, &request(1), now), OnceVerdict::Unknown);
    for (key, expected) in
        [(0, OnceVerdict::First), (1, OnceVerdict::First), (2, OnceVerdict::Unknown)]
    {
        assert_eq!(table.start(&south, key, &request(1), now), expected);
    }
    assert_eq!(table.start(&organisation(), 0, &request(2), now), OnceVerdict::Duplicate);
    table.release(&organisation(), 0, &request(2));
    assert_eq!(table.len(), 5);
    table.release(&organisation(), 0, &request(1));
    assert_eq!(table.len(), 4);
    table.expire(now + minutes(60));
    assert!(table.is_empty());
}

/// Guards against a full table that uses a large part of the daemon's memory.
#[test]
fn heap_bytes_full() {
    let now = Instant::now() + minutes(100);
    let members = vms(0..3);
    let mut table = long_running_table(&members[0], &members, IdempotencyLimits::default(), now);
    for (at, organisation) in ["a", "b", "c", "d"].into_iter().enumerate() {
        let organisation = organisation.parse().unwrap();
        for key in 0..50_001 {
            table.start(&organisation, key, &request(at), now);
        }
    }
    assert_eq!(table.len(), 150_000);
    assert!(table.heap_bytes() < 20_000_000, "{} B", table.heap_bytes());
}
