//! Tests of link budgets. If their sum exceeds the cap, all traffic between two regions is delayed.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use super::*;
use celerygate_types::ByteCount;

const CAP: ByteRate = ByteRate(37_500_000);
const VMS: usize = 3;

fn config_with_seed(seed: u64) -> ProptestConfig {
    let rng_seed = RngSeed::Fixed(seed);
    ProptestConfig { cases: 300, rng_seed, failure_persistence: None, ..Default::default() }
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn holder(vm: usize, incarnation: u64, now: Instant) -> LinkLeaseHolder {
    let vm = format!("vm{vm}").parse().unwrap();
    LinkLeaseHolder::new(vm, Incarnation(incarnation), static_budget(CAP, VMS), now)
}

#[derive(Clone, Debug)]
enum Step {
    /// A VM requests a lease; the request and the reply arrive after these delays, or are lost.
    Request {
        vm: usize,
        used: u64,
        request_ms: Option<u64>,
        reply_ms: Option<u64>,
    },
    /// The allocator fails, and its successor starts after this time.
    Failover {
        gap_ms: u64,
    },
    /// A VM restarts and loses its state.
    Restart(usize),
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let delay = || prop_oneof![5 => (0..40_u64).prop_map(Some), 2 => (0..2_500_u64).prop_map(Some), 1 => Just(None)];
    prop_oneof![
        8 => (0..VMS, prop_oneof![Just(0), 0..40_000_000_u64], delay(), delay())
            .prop_map(|(vm, used, request_ms, reply_ms)| Step::Request {
                vm, used, request_ms, reply_ms,
            }),
        1 => (0..3_000_u64).prop_map(|gap_ms| Step::Failover { gap_ms }),
        1 => (0..VMS).prop_map(Step::Restart),
        8 => (0..700_u64).prop_map(Step::Wait),
    ]
}

enum InFlight {
    Request(LinkLeaseRequest, Option<u64>),
    Reply(usize, u64, LinkLease),
}

proptest! {
    #![proptest_config(config_with_seed(71))]

    /// Guards against leases whose sum exceeds the leased share, with delayed and lost messages,
    /// restarted VMs and changes of the allocator.
    #[test]
    fn grant_sum_within_cap(steps in prop::collection::vec(step(), 1..120)) {
        let start = Instant::now();
        let mut now = start;
        let mut allocator = LinkAllocator::new(1, CAP, start - RESERVATION_DURATION);
        let mut epoch = 1;
        let mut holders: Vec<(u64, LinkLeaseHolder)> =
            (0..VMS).map(|vm| (0, holder(vm, 0, now))).collect();
        let mut in_flight: Vec<(Instant, InFlight)> = Vec::new();
        for step in steps {
            let mut until = now;
            match step {
                Step::Request { vm, used, request_ms, reply_ms } => {
                    let request = holders[vm].1.request(ByteRate(used), now);
                    if let Some(request_ms) = request_ms {
                        in_flight
                            .push((now + ms(request_ms), InFlight::Request(request, reply_ms)));
                    }
                }
                Step::Failover { gap_ms } => {
                    epoch += 1;
                    allocator = LinkAllocator::new(epoch, CAP, now + ms(gap_ms));
                    // Requests that the old allocator has not answered are lost.
                    in_flight.retain(|(_, message)| matches!(message, InFlight::Reply(..)));
                    until = now + ms(gap_ms);
                }
                Step::Restart(vm) => {
                    let incarnation = holders[vm].0 + 1;
                    holders[vm] = (incarnation, holder(vm, incarnation, now));
                }
                Step::Wait(wait_ms) => until = now + ms(wait_ms),
            }
            loop {
                in_flight.sort_by_key(|(at, _)| *at);
                let sum: ByteRate = holders.iter().map(|(_, holder)| holder.leased(now)).sum();
                prop_assert!(sum.get() <= LEASED_SHARE.of(CAP.get()), "{sum} leased");
                let budgets: ByteRate = holders.iter().map(|(_, holder)| holder.budget(now)).sum();
                prop_assert!(budgets <= CAP, "{budgets}");
                if in_flight.first().is_none_or(|(at, _)| *at > until) {
                    break;
                }
                let (at, message) = in_flight.remove(0);
                now = now.max(at);
                match message {
                    InFlight::Request(request, reply_ms) => {
                        let vm = holders
                            .iter()
                            .position(|(_, holder)| holder.vm == request.vm)
                            .unwrap();
                        let lease = allocator.grant(&request, now);
                        if let Some(reply_ms) = reply_ms {
                            let reply = InFlight::Reply(vm, holders[vm].0, lease);
                            in_flight.push((now + ms(reply_ms), reply));
                        }
                    }
                    InFlight::Reply(vm, incarnation, lease) if holders[vm].0 == incarnation => {
                        holders[vm].1.apply(&lease, now);
                    }
                    InFlight::Reply(..) => {}
                }
            }
            now = now.max(until);
        }
    }

    /// Guards against a pacer that exceeds its rate, sends a download before a waiting small
    /// response, or loses bytes.
    #[test]
    fn next_within_rate(
        rate in 1_000..50_000_000_u64,
        steps in prop::collection::vec((0..8_u64, any::<bool>(), 1..200_000_u64, 0..60_u64), 1..60),
    ) {
        let start = Instant::now();
        let mut now = start;
        let mut pacer = Pacer::new(ByteRate(rate), start);
        let burst = ByteRate(rate).over(ms(10)).get().max(QUANTUM_BYTES);
        let mut waiting = std::collections::HashMap::<u64, u64>::new();
        let mut sent: Vec<(Instant, u64)> = Vec::new();
        for (stream, is_small, bytes, wait_ms) in steps {
            let class = if is_small { TrafficClass::Small } else { TrafficClass::Download };
            // Streams with even numbers are small responses, the others are downloads.
            let stream = stream * 2 + u64::from(!is_small);
            pacer.submit(stream, class, bytes);
            *waiting.entry(stream).or_default() += bytes;
            let until = now + ms(wait_ms);
            loop {
                match pacer.next(now) {
                    PacerAction::Send { stream, bytes } => {
                        let left = waiting.get_mut(&stream).unwrap();
                        prop_assert!(bytes <= QUANTUM_BYTES && bytes <= *left);
                        *left -= bytes;
                        let small_waits = waiting
                            .iter()
                            .any(|(stream, left)| stream % 2 == 0 && *left > 0);
                        prop_assert!(stream % 2 == 0 || !small_waits);
                        sent.push((now, bytes));
                    }
                    PacerAction::WaitUntil(at) if at > until => break,
                    PacerAction::WaitUntil(at) => { prop_assert!(at > now); now = at }
                    PacerAction::NoBudget => prop_assert!(false, "the rate is not zero"),
                    PacerAction::Idle => {
                        prop_assert!(waiting.values().all(|left| *left == 0));
                        break
                    }
                }
            }
            now = now.max(until);
        }
        for (at, (from, _)) in sent.iter().enumerate() {
            let mut sum = 0;
            for (to, bytes) in &sent[at..] {
                sum += bytes;
                let allowed = ByteRate(rate).over(*to - *from).get() + 1 + burst;
                prop_assert!(sum <= allowed, "{sum} bytes, {allowed} allowed");
            }
        }
    }
}

/// Simulates VMs that use their budgets up to their demands, and returns the final budgets.
fn budgets_after(demands: [u64; VMS], seconds: u64) -> Vec<u64> {
    let start = Instant::now();
    let mut allocator = LinkAllocator::new(1, CAP, start - RESERVATION_DURATION);
    let mut holders: Vec<LinkLeaseHolder> = (0..VMS).map(|vm| holder(vm, 0, start)).collect();
    for second in 0..seconds {
        let now = start + Duration::from_secs(second);
        for (holder, demand) in holders.iter_mut().zip(demands) {
            let used = ByteRate(demand.min(holder.budget(now).get()));
            let request = holder.request(used, now);
            let lease = allocator.grant(&request, now);
            holder.apply(&lease, now);
        }
    }
    let end = start + Duration::from_secs(seconds - 1);
    holders.iter().map(|holder| holder.budget(end).get()).collect()
}

/// Guards against an allocation that leaves the link idle, or starves a VM that starts to use it.
#[test]
fn grant_follows_use() {
    let alone = budgets_after([u64::MAX, 0, 0], 10);
    assert!(alone[0] >= CAP.get() * 87 / 100, "{alone:?}");
    assert!(alone[1] >= CAP.get() * 2 / 100, "{alone:?}");
    let partly = budgets_after([u64::MAX, 8_000_000, 0], 10);
    assert!(partly[0] >= CAP.get() * 60 / 100 && partly[1] >= 8_000_000, "{partly:?}");
    let equal = budgets_after([u64::MAX, u64::MAX, 0], 10);
    assert!(equal[0].abs_diff(equal[1]) < CAP.get() / 50, "{equal:?}");
}

/// Guards against never reusing the lease of a failed VM, and against reusing it too early.
#[test]
fn grant_vm_failed() {
    let start = Instant::now();
    let mut allocator = LinkAllocator::new(1, CAP, start - RESERVATION_DURATION);
    let (mut first, mut second) = (holder(0, 0, start), holder(1, 0, start));
    let mut request = |holder: &mut LinkLeaseHolder, used, now| {
        let request = holder.request(ByteRate(used), now);
        let lease = allocator.grant(&request, now);
        holder.apply(&lease, now);
        holder.leased(now).get()
    };
    let pool = LEASED_SHARE.of(CAP.get());
    assert_eq!(request(&mut first, 1_000, start), pool);
    assert_eq!(request(&mut second, 1_000, start + ms(10)), 0);
    assert_eq!(request(&mut second, 1_000, start + ms(2_100)), 0);
    assert_eq!(request(&mut second, 1_000, start + RESERVATION_DURATION), pool);
    assert_eq!(first.leased(start + LEASE_DURATION), ByteRate::ZERO);
}

/// Guards against applying a reply that is older than the applied one, because the allocator no
/// longer counts its lease, and against applying a reply from a replaced allocator.
#[test]
fn apply_out_of_order() {
    let start = Instant::now();
    let mut holder = holder(0, 0, start);
    let lease = |epoch, sequence, rate| LinkLease { epoch, sequence, rate: ByteRate(rate) };
    for _ in 0..5 {
        holder.request(ByteRate(1), start);
    }
    assert!(holder.apply(&lease(1, 2, 20), start));
    assert!(!holder.apply(&lease(1, 1, 90), start));
    assert!(holder.apply(&lease(2, 3, 30), start));
    assert!(!holder.apply(&lease(1, 4, 90), start));
    assert!(!holder.apply(&lease(2, 6, 90), start));
    assert!(!holder.apply(&lease(2, 5, 90), start + LEASE_DURATION));
    assert_eq!(holder.leased(start + ms(1_999)), ByteRate(30));
    assert_eq!(holder.leased(start + LEASE_DURATION), ByteRate::ZERO);
}

/// Guards against a new allocator that leases bandwidth still covered by leases of its predecessor.
#[test]
fn grant_takeover() {
    let start = Instant::now();
    let mut allocator = LinkAllocator::new(2, CAP, start);
    let request = |vm: usize, held| LinkLeaseRequest {
        vm: format!("vm{vm}").parse().unwrap(),
        incarnation: Incarnation(1),
        sequence: 9,
        applied_sequence: 8,
        leased: ByteRate(held),
        used: ByteRate(1_000),
        is_limited: true,
    };
    assert_eq!(allocator.grant(&request(0, 70), start + ms(100)).rate, ByteRate(70));
    assert_eq!(allocator.grant(&request(1, 0), start + ms(200)).rate, ByteRate::ZERO);
    let later = allocator.grant(&request(1, 0), start + RESERVATION_DURATION);
    assert!(later.rate.get() > LEASED_SHARE.of(CAP.get()) / 3);
    assert_eq!(later.epoch, 2);
}

/// Guards against a download that starves other downloads.
#[test]
fn next_downloads_alternate() {
    let start = Instant::now();
    let mut pacer = Pacer::new(ByteRate(1_000_000_000), start);
    for stream in 0..3 {
        pacer.submit(stream, TrafficClass::Download, 10 * QUANTUM_BYTES);
    }
    pacer.cancel(1);
    let order: Vec<u64> = (0..6)
        .map(|_| match pacer.next(start + ms(10)) {
            PacerAction::Send { stream, .. } => stream,
            other => panic!("{other:?}"),
        })
        .collect();
    assert_eq!(order, [0, 2, 0, 2, 0, 2]);
    pacer.set_rate(ByteRate::ZERO, start + ms(10));
    assert_eq!((0..9).map(|_| pacer.next(start + ms(10))).last(), Some(PacerAction::NoBudget));
}

#[test]
fn class_of_lengths() {
    let class = |length: Option<u64>, sent| class_of(length.map(ByteCount), ByteCount(sent));
    assert_eq!(class(Some(65_535), 65_000), TrafficClass::Small);
    assert_eq!(class(Some(65_536), 0), TrafficClass::Download);
    assert_eq!(class(None, 65_535), TrafficClass::Small);
    assert_eq!(class(None, 65_536), TrafficClass::Download);
}
