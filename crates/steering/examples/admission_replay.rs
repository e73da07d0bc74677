//! Replays the same arrivals under several admission policies and prints a comparison.
//!
//! Requests of 8 organisations, the first at five times its rate and the others at 90%, arrive
//! unevenly at 7 VMs, one of which fails half-way. A message takes a fixed time: 0.5 ms inside a
//! region, half the round trip between regions. 15 targets of 3 slots are in the owner's region.
//!
//! A request is inside the rate if a single bucket for all VMs, without any delay, admits it.

#![allow(clippy::unwrap_used, reason = "fixed inputs")]

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use celerygate_steering::grants::{
    Admission, GrantHolder, GrantOwner, GrantResponse, Limit, TokenRequest,
};
use celerygate_steering::queue::{Arrival, Capacity, QueueDecision, Ticket, WaitQueue};
use celerygate_steering::slots::{SlotHolder, SlotMessage, SlotOwner, SlotResponse, SlotTarget};
use celerygate_types::wire::{GrantReply, GrantRequest, SlotReply, SlotRequest};
use celerygate_types::{
    Incarnation, OrganisationId, RequestCount, RequestRate, ServiceId, SlotCount, Term, VmId,
};
use hdrhistogram::Histogram;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

#[path = "admission_replay/arrivals.rs"]
mod arrivals;
use arrivals::{Bucket, Request, arrivals};

const STEP_US: u64 = 500;
const RUN_US: u64 = 40_000_000;
const FAILURE_US: u64 = RUN_US / 2;
/// Time without an owner after the leader has failed.
const ELECTION_US: u64 = 2_000_000;
const RATES: [u64; 8] = [160, 120, 120, 80, 80, 80, 40, 40];
const VMS: usize = 7;
const REGIONS: [usize; VMS] = [0, 0, 0, 1, 1, 2, 2];
const TARGETS: usize = 15;
const SLOTS: u32 = 3;
const MEAN_WORK_US: f64 = 50_000.0;

#[derive(Clone, Copy, PartialEq)]
enum RatePolicy {
    Leased,
    StaticSplit,
    LocalOnly,
}

#[derive(Clone, Copy, PartialEq)]
enum SlotPolicy {
    Leased,
    LeastLoaded,
    TwoChoices,
}

#[derive(Clone)]
enum Message {
    GrantRequest(usize, GrantRequest),
    GrantReply(GrantReply),
    SlotRequest(usize, SlotRequest),
    SlotReply(SlotReply),
}

struct RunningRequest {
    end_us: u64,
    target: usize,
    organisation: usize,
    started_us: u64,
    estimate: Duration,
}

struct Vm {
    alive: bool,
    grants: GrantHolder,
    buckets: Vec<Bucket>,
    queue: WaitQueue,
    slots: SlotHolder,
    waiting: HashMap<Ticket, Request>,
    running: Vec<RunningRequest>,
    next_target: usize,
}

#[derive(Default)]
struct Counts {
    inside_rate: u64,
    started: u64,
    refused_inside: u64,
    /// Requests started beyond the rate.
    above_rate: u64,
}

struct Replay {
    rate: RatePolicy,
    slots: SlotPolicy,
    round_trip_us: u64,
    base: Instant,
    rng: StdRng,
    ids: Vec<OrganisationId>,
    vm_ids: Vec<VmId>,
    service: ServiceId,
    targets: Vec<SlotTarget>,
    vms: Vec<Vm>,
    owner: Option<(usize, GrantOwner, SlotOwner)>,
    term: u64,
    /// Messages in flight with their receiver, by time of arrival and order of sending.
    in_flight: BTreeMap<(u64, u64), (usize, Message)>,
    messages_sent: u64,
    reported_load: Vec<u32>,
    counts: Vec<Counts>,
    /// One bucket per organisation for all VMs, without any delay.
    reference_buckets: Vec<Bucket>,
    /// Waits of the first organisation, and of the others.
    waits_us: [Histogram<u64>; 2],
    /// Messages sent: grants, slot requests, slot replies, notices.
    sent: [u64; 4],
    /// Most requests that ran at one target at the same time.
    max_occupancy: u32,
    /// Running requests, summed over all steps.
    occupied_steps: u64,
}

impl Replay {
    fn new(rate: RatePolicy, slots: SlotPolicy, round_trip_us: u64) -> Self {
        let service: ServiceId = "search".parse().unwrap();
        let local = |scale: f64| {
            RATES.iter().map(move |&rate| Bucket::new(rate as f64 * scale, rate as f64 * scale))
        };
        let part = if rate == RatePolicy::StaticSplit { 1.0 / VMS as f64 } else { 1.0 };
        let vm = || Vm {
            alive: true,
            grants: GrantHolder::new(Term(0)),
            buckets: local(part).collect(),
            queue: WaitQueue::new(),
            slots: SlotHolder::new(0),
            waiting: HashMap::new(),
            running: Vec::new(),
            next_target: 0,
        };
        let target = |n| (service.clone(), format!("target-{n}").parse().unwrap());
        Self {
            rate,
            slots,
            round_trip_us,
            base: Instant::now(),
            rng: StdRng::seed_from_u64(2),
            ids: (0..RATES.len()).map(|n| format!("organisation-{n}").parse().unwrap()).collect(),
            vm_ids: (0..VMS).map(|n| format!("vm-{n}").parse().unwrap()).collect(),
            targets: (0..TARGETS).map(target).collect(),
            service,
            vms: (0..VMS).map(|_| vm()).collect(),
            owner: None,
            term: 0,
            in_flight: BTreeMap::new(),
            messages_sent: 0,
            reported_load: vec![0; TARGETS],
            counts: RATES.iter().map(|_| Counts::default()).collect(),
            reference_buckets: local(1.0).collect(),
            waits_us: [Histogram::new(3).unwrap(), Histogram::new(3).unwrap()],
            sent: [0; 4],
            max_occupancy: 0,
            occupied_steps: 0,
        }
    }

    fn at(&self, us: u64) -> Instant {
        self.base + Duration::from_micros(us)
    }

    fn start_owner(&mut self, vm: usize, us: u64) {
        self.term += 1;
        let (now, lease) = (self.at(us), self.at(RUN_US * 2));
        let limits = self.ids.iter().cloned().zip(RATES.map(|rate| Limit {
            rate: RequestRate(rate),
            burst: RequestCount(rate),
            window: None,
        }));
        let grants = GrantOwner::new(Term(self.term), &self.vm_ids, limits, lease, now);
        let mut slots = SlotOwner::new(self.term, &self.vm_ids, lease, now);
        for target in &self.targets {
            slots.set_slots(target, SlotCount(SLOTS));
        }
        self.owner = Some((vm, grants, slots));
        for vm in &mut self.vms {
            vm.grants.set_term(Term(self.term));
            vm.slots.set_epoch(self.term);
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Message, us: u64) {
        let delay = if REGIONS[from] == REGIONS[to] { 500 } else { self.round_trip_us / 2 };
        self.messages_sent += 1;
        self.sent[match message {
            Message::GrantRequest(..) | Message::GrantReply(_) => 0,
            Message::SlotRequest(..) => 1,
            Message::SlotReply(ref reply) if reply.sequence > 0 => 2,
            Message::SlotReply(_) => 3,
        }] += 1;
        self.in_flight.insert((us + delay, self.messages_sent), (to, message));
    }

    fn send_slot_replies(&mut self, from: usize, replies: Vec<SlotMessage>, us: u64) {
        for message in replies {
            let to = self.vm_ids.iter().position(|id| *id == message.vm).unwrap();
            self.send(from, to, Message::SlotReply(message.reply), us);
        }
    }

    fn deliver(&mut self, us: u64) {
        let now = self.at(us);
        while let Some(entry) = self.in_flight.first_entry().filter(|entry| entry.key().0 <= us) {
            let (to, message) = entry.remove();
            if !self.vms[to].alive {
                continue;
            }
            match message {
                Message::GrantReply(reply) => {
                    self.vms[to].grants.accept(&reply, now);
                }
                Message::SlotReply(reply) => {
                    self.vms[to].slots.accept(&reply, now);
                }
                Message::GrantRequest(from, request) => {
                    let Some((vm, owner, _)) = &mut self.owner else { continue };
                    let vm = *vm;
                    let answer =
                        owner.handle_request(&self.vm_ids[from], Incarnation(1), &request, now);
                    if let GrantResponse::Reply(reply) = answer {
                        self.send(vm, from, Message::GrantReply(reply), us);
                    }
                }
                Message::SlotRequest(from, request) => {
                    let Some((vm, _, owner)) = &mut self.owner else { continue };
                    let vm = *vm;
                    let answer =
                        owner.handle_request(&self.vm_ids[from], Incarnation(1), &request, now);
                    if let SlotResponse::Send(replies) = answer {
                        self.send_slot_replies(vm, replies, us);
                    }
                }
            }
        }
    }

    /// Chooses a target for a request at this VM; none if the VM has no free permit.
    fn choose(&mut self, vm: usize, us: u64) -> Option<usize> {
        let running_at = |target: usize| {
            self.vms[vm].running.iter().filter(|running| running.target == target).count()
        };
        match self.slots {
            SlotPolicy::Leased => {
                let now = self.at(us);
                let free = self.vms[vm].slots.free(now).next()?;
                self.targets.iter().position(|target| target == free)
            }
            SlotPolicy::LeastLoaded => {
                let first = self.rng.random_range(0..TARGETS);
                (0..TARGETS).map(|n| (first + n) % TARGETS).min_by_key(|target| running_at(*target))
            }
            SlotPolicy::TwoChoices => {
                let pair = [self.rng.random_range(0..TARGETS), self.rng.random_range(0..TARGETS)];
                pair.into_iter().min_by_key(|target| self.reported_load[*target])
            }
        }
    }

    fn start(&mut self, request: Request, estimate: Duration, us: u64) {
        let Some(target) = self.choose(request.vm, us) else { return };
        let now = self.at(us);
        let vm = &mut self.vms[request.vm];
        if self.slots == SlotPolicy::Leased {
            assert!(vm.slots.acquire(&self.targets[target], now));
        }
        vm.running.push(RunningRequest {
            end_us: us + request.work_us,
            target,
            organisation: request.organisation,
            started_us: us,
            estimate,
        });
        self.counts[request.organisation].started += 1;
        let waits_us = &mut self.waits_us[usize::from(request.organisation > 0)];
        waits_us.record(us - request.at_us).unwrap();
    }

    /// Decides whether a request gets a token; `first` is true if it has just arrived.
    fn token(&mut self, request: &Request, need: &TokenRequest, first: bool, us: u64) -> Admission {
        let now = self.at(us);
        let vm = &mut self.vms[request.vm];
        let organisation = &self.ids[request.organisation];
        let admission = match self.rate {
            RatePolicy::Leased if first => vm.grants.admit(organisation, need, now),
            RatePolicy::Leased => vm.grants.recheck(organisation, need, now),
            _ if vm.buckets[request.organisation].take(us) => Admission::Admit,
            _ => Admission::Refuse { retry_after: Duration::ZERO },
        };
        if admission == Admission::Admit && !self.reference_buckets[request.organisation].take(us) {
            self.counts[request.organisation].above_rate += 1;
        }
        admission
    }

    fn refuse(&mut self, request: &Request) {
        self.counts[request.organisation].refused_inside += u64::from(request.inside_rate);
    }

    fn arrive(&mut self, request: Request, us: u64) {
        self.counts[request.organisation].inside_rate += u64::from(request.inside_rate);
        let now = self.at(us);
        let deadline = now + Duration::from_secs(30);
        let ahead = self.vms[request.vm].queue.waiting_for_tokens(&self.ids[request.organisation]);
        let need = TokenRequest { arrived: now, deadline, ahead };
        let admission = self.token(&request, &need, true, us);
        if let Admission::Refuse { .. } = admission {
            return self.refuse(&request);
        }
        let has_free = self.choose(request.vm, us).is_some();
        let vm = &mut self.vms[request.vm];
        let held: u32 =
            self.targets.iter().map(|target| vm.slots.slot_usage(target).held.get()).sum();
        let work = Duration::from_micros(MEAN_WORK_US as u64);
        let arrival = Arrival {
            organisation: &self.ids[request.organisation],
            weight: 1,
            service: &self.service,
            work,
            deadline,
            has_token: admission == Admission::Admit,
        };
        let next_free = work / held.max(1);
        let capacity = Capacity { slots: SlotCount(held), has_free, next_free };
        match vm.queue.submit(&arrival, &capacity, now) {
            QueueDecision::Start => self.start(request, work, us),
            QueueDecision::Wait { ticket, displaced } => {
                vm.waiting.insert(ticket, request);
                if let Some(displaced) = displaced.and_then(|other| vm.waiting.remove(&other)) {
                    self.refuse(&displaced);
                }
            }
            QueueDecision::Refuse(_) => self.refuse(&request),
        }
    }

    fn step_vm(&mut self, vm: usize, us: u64) {
        let now = self.at(us);
        let node = &mut self.vms[vm];
        for ended in node.running.extract_if(.., |running| running.end_us <= us) {
            node.slots.release(&self.targets[ended.target], now);
            let actual = Duration::from_micros(us - ended.started_us);
            node.queue.finish(&self.ids[ended.organisation], ended.estimate, actual);
        }
        for organisation in 0..RATES.len() {
            let id = self.ids[organisation].clone();
            if self.vms[vm].queue.waiting_for_tokens(&id) == 0 {
                continue;
            }
            let mut queue = std::mem::take(&mut self.vms[vm].queue);
            let any = Request { at_us: 0, organisation, vm, work_us: 0, inside_rate: false };
            let refused = queue.recheck_tokens(&id, |need| self.token(&any, need, false, us));
            self.vms[vm].queue = queue;
            for (ticket, _) in refused {
                let request = self.vms[vm].waiting.remove(&ticket).unwrap();
                self.refuse(&request);
            }
        }
        while self.choose(vm, us).is_some() {
            let Some(started) = self.vms[vm].queue.dequeue(|_| true) else { break };
            let request = self.vms[vm].waiting.remove(&started.ticket).unwrap();
            self.start(request, started.work, us);
        }
        self.poll(vm, us);
    }

    fn poll(&mut self, vm: usize, us: u64) {
        let now = self.at(us);
        let node = &mut self.vms[vm];
        let owner = self.owner.as_ref().map_or(0, |owner| owner.0);
        let queue = &node.queue;
        let grants = node.grants.poll(|id| queue.waiting_for_tokens(id), now);
        // Requests one permit at each of twice as many targets as requests wait, starting at
        // another target each time. With fewer, a request often waits while another target has a
        // free slot.
        let waiting = (2 * queue.waiting_for_slots(&self.service)).min(TARGETS);
        let first = node.next_target;
        let wanted = (0..waiting).map(|n| (&self.targets[(first + n) % TARGETS], 1));
        let slots = node.slots.poll(wanted, now);
        if slots.is_some() {
            node.next_target = (first + waiting) % TARGETS;
        }
        if let Some(request) = grants.filter(|_| self.rate == RatePolicy::Leased) {
            self.send(vm, owner, Message::GrantRequest(vm, request), us);
        }
        if let Some(request) = slots.filter(|_| self.slots == SlotPolicy::Leased) {
            self.send(vm, owner, Message::SlotRequest(vm, request), us);
        }
    }

    fn run(mut self, requests: &[Request], failing_vm: usize) {
        self.start_owner(0, 0);
        // The leased buckets fill before the first arrival, because those of the other policies
        // start full.
        let warm_up_us = 4_000_000;
        let mut next = requests.iter().peekable();
        for us in (0..RUN_US + warm_up_us).step_by(STEP_US as usize) {
            if us == FAILURE_US + warm_up_us {
                let node = &mut self.vms[failing_vm];
                node.alive = false;
                node.running.clear();
                let lost: Vec<Request> = node.waiting.drain().map(|(_, request)| request).collect();
                for request in lost {
                    // Lost with its VM, not refused.
                    let inside = u64::from(request.inside_rate);
                    self.counts[request.organisation].inside_rate -= inside;
                }
                self.owner = self.owner.filter(|owner| owner.0 != failing_vm);
            }
            if us == FAILURE_US + ELECTION_US + warm_up_us && self.owner.is_none() {
                self.start_owner(1, us);
            }
            self.deliver(us);
            while let Some(request) = next.next_if(|request| request.at_us + warm_up_us <= us) {
                self.arrive(Request { at_us: us, ..*request }, us);
            }
            for vm in 0..VMS {
                if self.vms[vm].alive {
                    self.step_vm(vm, us);
                }
            }
            if us.is_multiple_of(20_000)
                && let Some((vm, _, owner)) = &mut self.owner
            {
                let (vm, replies) = (*vm, owner.tick(self.base + Duration::from_micros(us)));
                self.send_slot_replies(vm, replies, us);
            }
            let mut load = [0; TARGETS];
            let running = self.vms.iter().flat_map(|vm| &vm.running);
            running.for_each(|running| load[running.target] += 1);
            self.max_occupancy = self.max_occupancy.max(load.iter().max().copied().unwrap_or(0));
            self.occupied_steps += u64::from(load.iter().sum::<u32>());
            if us.is_multiple_of(100_000) {
                self.reported_load = load.to_vec();
            }
        }
        self.print();
    }

    fn print(&self) {
        let inside: u64 = self.counts[1..].iter().map(|counts| counts.inside_rate).sum();
        let refused: u64 = self.counts[1..].iter().map(|counts| counts.refused_inside).sum();
        let above: u64 = self.counts.iter().map(|counts| counts.above_rate).sum();
        let started: u64 = self.counts.iter().map(|counts| counts.started).sum();
        let shares =
            self.counts.iter().map(|counts| counts.started as f64 / counts.inside_rate as f64);
        let shares: Vec<f64> = shares.collect();
        let busy_us = self.occupied_steps as f64 * STEP_US as f64;
        let wait_ms =
            |of: usize, quantile| self.waits_us[of].value_at_quantile(quantile) as f64 / 1e3;
        let per_s = |messages: u64| (messages as f64 * 1e6 / RUN_US as f64 / VMS as f64).round();
        println!(
            "  refused inside {:.3}%, above rate {:.3}%, worst share {:.1}% (first {:.1}%), occupancy \
             {:.2}, busy {:.0}%, wait p50 {:.1} p99 {:.1} ms (first p50 {:.1} p99 {:.1} ms), messages \
             per s and VM {:?}",
            100.0 * refused as f64 / inside as f64,
            100.0 * above as f64 / started as f64,
            100.0 * shares.iter().copied().fold(f64::INFINITY, f64::min),
            100.0 * shares[0],
            f64::from(self.max_occupancy) / f64::from(SLOTS),
            100.0 * busy_us / (RUN_US as f64 * f64::from(SLOTS) * TARGETS as f64),
            wait_ms(1, 0.5),
            wait_ms(1, 0.99),
            wait_ms(0, 0.5),
            wait_ms(0, 0.99),
            self.sent.map(per_s),
        );
    }
}

/// Runs the policies whose name contains the first argument; without one, runs all.
fn main() {
    let filter = std::env::args().nth(1).unwrap_or_default();
    for round_trip_us in [20_000, 12_000, 1_000] {
        for (name, failing_vm) in [("an entry VM", 3), ("the owner's VM", 0)] {
            println!("round trip {} ms, {name} fails:", round_trip_us / 1_000);
            let requests = arrivals(&mut StdRng::seed_from_u64(1), failing_vm);
            for (label, rate, slots) in [
                ("leased tokens, leased slots", RatePolicy::Leased, SlotPolicy::Leased),
                ("static split, leased slots", RatePolicy::StaticSplit, SlotPolicy::Leased),
                ("local-only limit, leased slots", RatePolicy::LocalOnly, SlotPolicy::Leased),
                ("leased tokens, least-loaded", RatePolicy::Leased, SlotPolicy::LeastLoaded),
                ("leased tokens, two choices", RatePolicy::Leased, SlotPolicy::TwoChoices),
            ] {
                if !label.contains(&filter) {
                    continue;
                }
                println!(" {label}");
                Replay::new(rate, slots, round_trip_us).run(&requests, failing_vm);
            }
        }
    }
}
