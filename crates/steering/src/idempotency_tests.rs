//! Tests of idempotency keys: a wrong answer books a crew twice.

use std::time::Instant;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use super::*;
use celerygate_types::RequestId;

fn fixed(seed: u64) -> ProptestConfig {
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

/// A table that has been up and a home for more than an hour.
fn settled(
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

/// What happens between the requests of [`decide_at_most_once`].
#[derive(Clone, Debug)]
enum Step {
    /// A request with the key; the bits tell which homes receive it and whose answers arrive.
    Request {
        received: u8,
        answered: u8,
    },
    /// The request of this position asks the homes again.
    Again {
        request: usize,
        received: u8,
        answered: u8,
    },
    /// A VM loses its memory.
    Restart(usize),
    /// A VM leaves the configuration and another joins.
    Replace(usize),
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..8_u8, 0..8_u8).prop_map(|(received, answered)| Step::Request { received, answered }),
        2 => (0..6_usize, 0..8_u8, 0..8_u8)
            .prop_map(|(request, received, answered)| Step::Again { request, received, answered }),
        2 => (0..7_usize).prop_map(Step::Restart),
        1 => (0..7_usize).prop_map(Step::Replace),
        4 => (0..50_u64).prop_map(Step::Wait),
    ]
}

/// Replicas, answers and decision of a request.
type Asked = (KeyReplicas, Vec<(VmId, OnceVerdict)>, IdempotencyDecision);

struct World {
    now: Instant,
    members: Vec<VmId>,
    tables: Vec<IdempotencyTable>,
    joined: usize,
    requests: Vec<Asked>,
    /// Times of the last loss of a home's memory and of the sending of a request.
    lost_at: Option<Instant>,
    sent_at: Option<Instant>,
}

impl World {
    fn new() -> Self {
        let (now, members) = (Instant::now() + minutes(1_000), vms(0..7));
        let table = |vm| settled(vm, &members, IdempotencyLimits::default(), now);
        let tables = members.iter().map(table).collect();
        let requests = Vec::new();
        Self { now, tables, members, joined: 7, requests, lost_at: None, sent_at: None }
    }

    /// Returns whether a request is sent although one was sent within the retention.
    fn ask(&mut self, number: usize, received: u8, answered: u8) -> bool {
        let (homes, answers, decision) = &mut self.requests[number];
        if *decision != IdempotencyDecision::Wait {
            return false;
        }
        for (bit, home) in homes.iter().enumerate() {
            let Some(at) = self.members.iter().position(|vm| vm == home) else { continue };
            if received & (1 << bit) != 0 {
                let verdict = self.tables[at].start(&organisation(), 7, &request(number), self.now);
                if answered & (1 << bit) != 0 {
                    answers.push((home.clone(), verdict));
                }
            }
        }
        *decision = decide(homes, answers.iter().map(|(vm, verdict)| (vm, *verdict)), false);
        if *decision != IdempotencyDecision::Send {
            return false;
        }
        let is_second = self.sent_at.is_some_and(|at| self.now - at < RETENTION);
        self.sent_at = Some(self.now);
        is_second
    }

    /// Restarts or replaces a VM, at most one an hour: the promise covers the loss of one home.
    fn lose(&mut self, at: usize, replace: bool) {
        if self.lost_at.is_some_and(|lost_at| self.now - lost_at < RETENTION) {
            return;
        }
        self.lost_at = Some(self.now);
        if replace {
            self.members[at] = vms([self.joined]).remove(0);
            self.joined += 1;
        }
        self.tables[at] =
            IdempotencyTable::new(self.members[at].clone(), IdempotencyLimits::default(), self.now);
        for table in &mut self.tables {
            table.set_members(&self.members, self.now);
        }
    }
}

proptest! {
    #![proptest_config(fixed(61))]

    /// Guards against a second run of a request within the hour, with lost messages, homes that
    /// lose their memory, and VMs that are replaced.
    #[test]
    fn decide_at_most_once(steps in prop::collection::vec(step(), 1..40)) {
        let mut world = World::new();
        for step in steps {
            let is_second = match step {
                Step::Request { received, answered } => {
                    let homes = replicas(&world.members, &organisation(), 7);
                    world.requests.push((homes, Vec::new(), IdempotencyDecision::Wait));
                    world.ask(world.requests.len() - 1, received, answered)
                }
                Step::Again { request, received, answered } => {
                    request < world.requests.len() && world.ask(request, received, answered)
                }
                Step::Restart(at) => { world.lose(at, false); false }
                Step::Replace(at) => { world.lose(at, true); false }
                Step::Wait(wait) => {
                    world.now += minutes(wait);
                    // A request waits for answers for seconds, not for minutes.
                    for (_, _, decision) in &mut world.requests {
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

    /// Guards against homes that move although the VMs concerned have not changed.
    #[test]
    fn homes_minimal_change(fingerprint in any::<u64>(), removed in 0..7_usize) {
        let before = replicas(&vms(0..7), &organisation(), fingerprint);
        let after = replicas(&vms((0..7).filter(|vm| *vm != removed)), &organisation(), fingerprint);
        let removed = &vms([removed])[0];
        let kept = before.iter().filter(|vm| *vm != removed);
        prop_assert!(kept.clone().all(|vm| after.contains(vm)));
        prop_assert_eq!(after.len(), REPLICA_COUNT);
        let reversed: Vec<VmId> = vms(0..7).into_iter().rev().collect();
        prop_assert_eq!(replicas(&reversed, &organisation(), fingerprint), before);
    }
}

/// Guards against keys that all have the same homes.
#[test]
fn homes_spread() {
    let members = vms(0..7);
    let mut counts = [0_usize; 7];
    for key in 0..7_000_u32 {
        for home in replicas(&members, &organisation(), fingerprint(&key.to_le_bytes())) {
            counts[members.iter().position(|vm| *vm == home).unwrap()] += 1;
        }
    }
    assert!(counts.iter().all(|count| (2_800..3_200).contains(count)), "{counts:?}");
}

/// Guards against sending on one answer, on answers of strangers or repeated answers, and against
/// waiting for answers that cannot change the decision.
#[test]
fn decide_answers() {
    use OnceVerdict::{Duplicate, First, Unknown};
    let homes = vms(0..3);
    let run = |answers: &[(usize, OnceVerdict)], is_last| {
        let all = vms(0..5);
        decide(&homes, answers.iter().map(|(vm, verdict)| (&all[*vm], *verdict)), is_last)
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

/// Guards against forgetting a key early, keeping it for ever, and refusing a repeated message.
#[test]
fn start_retention() {
    let now = Instant::now() + minutes(100);
    let members = vms(0..3);
    let mut table = settled(&members[0], &members, IdempotencyLimits::default(), now);
    let mut start =
        |number, at| table.start(&organisation(), 1, &request(number), now + minutes(at));
    assert_eq!(start(1, 0), OnceVerdict::First);
    assert_eq!(start(1, 1), OnceVerdict::First);
    assert_eq!(start(2, 59), OnceVerdict::Duplicate);
    assert_eq!(start(3, 60), OnceVerdict::First);
    assert_eq!(start(1, 61), OnceVerdict::Duplicate);
}

/// Guards against a home that answers for the time before its start.
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

/// Guards against a VM that a change of the members has made a home, and that answers for the time
/// before the change.
#[test]
fn start_new_home() {
    let now = Instant::now() + minutes(100);
    let (before, after) = (vms(0..4), vms([0, 1, 2, 4]));
    let new = |key: &u64| {
        let is_home =
            |members: &[VmId]| replicas(members, &organisation(), *key).contains(&after[0]);
        !is_home(&before) && is_home(&after)
    };
    let old = |key: &u64| {
        let is_home =
            |members: &[VmId]| replicas(members, &organisation(), *key).contains(&after[0]);
        is_home(&before) && is_home(&after)
    };
    let (new, old) = ((0..).find(new).unwrap(), (0..).find(old).unwrap());
    let mut table = settled(&after[0], &before, IdempotencyLimits::default(), now);
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

/// Guards against unbounded memory, and against making room by forgetting keys.
#[test]
fn start_table_full() {
    let now = Instant::now() + minutes(100);
    let members = vms(0..3);
    let limits = IdempotencyLimits { total: 5, per_organisation: 3 };
    let mut table = settled(&members[0], &members, limits, now);
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

/// Guards against a full table that takes a large part of a daemon's memory.
#[test]
fn heap_bytes_full() {
    let now = Instant::now() + minutes(100);
    let members = vms(0..3);
    let mut table = settled(&members[0], &members, IdempotencyLimits::default(), now);
    for (at, organisation) in ["a", "b", "c", "d"].into_iter().enumerate() {
        let organisation = organisation.parse().unwrap();
        for key in 0..50_001 {
            table.start(&organisation, key, &request(at), now);
        }
    }
    assert_eq!(table.len(), 150_000);
    assert!(table.heap_bytes() < 20_000_000, "{} B", table.heap_bytes());
}
