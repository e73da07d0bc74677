//! Tests of freshness with lost, late and duplicated messages and clocks that run at different
//! rates.

use celerygate_types::VmId;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

use super::*;

const TICK_MS: u64 = 20;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn reply(nonce: u64, term: u64, revision: u64, age_ms: u64) -> FreshnessReply {
    FreshnessReply { age_ms, nonce, revision: Revision(revision), term: Term(term) }
}

/// Guards against freshness that starts at the arrival of the reply or ignores the reply's age.
#[test]
fn handle_reply_from_request_time() {
    let start = Instant::now() + ms(10_000);
    let mut daemon = Freshness::new(7);
    let nonce = daemon.start_request(start);
    let until = start + ms(3_700);
    assert_eq!(daemon.handle_reply(&reply(nonce, 1, 0, 300)), ReplyOutcome::Fresh(until));
    assert!(daemon.admits(until - ms(1)) && !daemon.admits(until));
    assert_eq!(daemon.handle_reply(&reply(nonce, 1, 0, 0)), ReplyOutcome::UnknownNonce);
}

/// Guards against a daemon that is fresh before it has applied the stated revision.
#[test]
fn handle_reply_behind_until_applied() {
    let start = Instant::now() + ms(10_000);
    let mut daemon = Freshness::new(7);
    let nonce = daemon.start_request(start);
    let until = start + FRESHNESS_LIFETIME;
    let behind = ReplyOutcome::Behind { revision: Revision(3), until };
    assert_eq!(daemon.handle_reply(&reply(nonce, 1, 3, 0)), behind);
    assert!(daemon.record_applied(Revision(2)) && !daemon.admits(start));
    assert!(daemon.record_applied(Revision(3)) && daemon.admits(start));
    assert!(!daemon.record_applied(Revision(2)), "an older configuration was accepted");
}

/// Guards against accepting replies that come from a replaced leader or from a parent that is
/// behind.
#[test]
fn handle_reply_older_refused() {
    let start = Instant::now() + ms(10_000);
    let mut daemon = Freshness::new(7);
    daemon.record_applied(Revision(5));
    daemon.observe_term(Term(2));
    let nonces = [daemon.start_request(start), daemon.start_request(start)];
    assert_eq!(daemon.handle_reply(&reply(nonces[0], 1, 9, 0)), ReplyOutcome::OlderTerm);
    assert_eq!(daemon.handle_reply(&reply(nonces[1], 2, 4, 0)), ReplyOutcome::OlderRevision);
    assert_eq!(daemon.fresh_until(), None);
}

/// Guards against replies from a leader without a lease and from a relay that has lost its parent.
#[test]
fn leader_and_relay_reply_limits() {
    let now = Instant::now() + ms(10_000);
    let leader = |lease| leader_reply(1, Term(2), Revision(3), lease, now);
    assert_eq!(leader(None), None);
    assert_eq!(leader(Some(now)), None);
    assert_eq!(leader(Some(now + ms(1))), Some(reply(1, 2, 3, 0)));
    let known = KnownCommit { term: Term(2), revision: Revision(3), current_at: now };
    let relay = |term, at| relay_reply(1, Term(term), Some(known), at);
    assert_eq!(relay(2, now + Duration::from_micros(1_500)), Some(reply(1, 2, 3, 2)));
    assert_eq!(relay(3, now), None);
    assert_eq!(relay(2, now + MAX_RELAY_AGE + ms(1)), None);
}

/// Guards against a daemon that no longer sends requests and delays every change, and against
/// ignoring such a daemon while it may still be fresh.
#[test]
fn revision_in_force_silent_daemon() {
    let start = Instant::now();
    let vms: Vec<VmId> = ["vm-1", "vm-2"].map(|name| name.parse().unwrap()).to_vec();
    let mut in_force = InForceTracker::default();
    in_force.set_members(vms.iter().cloned().map(|vm| (vm, true)), start);
    in_force.record_commit(Revision(1), start);
    in_force.record_acknowledgement(&vms[0], Revision(1), AckSource::Direct, start + ms(100));
    assert_eq!(in_force.revision_in_force(start + ms(4_399)), Revision(0));
    assert_eq!(in_force.revision_in_force(start + ms(4_400)), Revision(1));
    in_force.record_commit(Revision(2), start + ms(5_000));
    in_force.record_acknowledgement(&vms[0], Revision(2), AckSource::Direct, start + ms(5_100));
    assert_eq!(in_force.revision_in_force(start + ms(5_100)), Revision(2));
}

/// A daemon, a relay or the leader in the simulation, with its own clock.
struct Node {
    vm: VmId,
    rate: f64,
    freshness: Freshness,
    next_poll: Instant,
    /// Start and end of the time during which the node is cut off from the network.
    outage_ms: (u64, u64),
}

/// A message in flight. A request with `to: None` is sent to the leader.
enum Packet {
    Request { from: usize, to: Option<usize>, nonce: u64, revision: Revision },
    Reply { to: usize, reply: FreshnessReply },
    Change { to: usize, revision: Revision },
}

/// Daemons 0 and 1 poll the leader; daemons 2 and 3 poll daemon 0, which is a relay. Commits and
/// changes of the leader happen at random times.
struct Simulation {
    start: Instant,
    random: u64,
    faults: bool,
    now_ms: u64,
    leader_rate: f64,
    term: Term,
    committed: Revision,
    in_force: InForceTracker,
    nodes: Vec<Node>,
    packets: Vec<(u64, Packet)>,
    fresh_ticks: u64,
}

impl Simulation {
    fn new(seed: u64, faults: bool) -> Self {
        let start = Instant::now() + ms(100_000);
        let mut simulation = Self {
            start,
            random: seed,
            faults,
            now_ms: 0,
            leader_rate: 1.0,
            term: Term(1),
            committed: Revision(1),
            in_force: InForceTracker::default(),
            nodes: Vec::new(),
            packets: Vec::new(),
            fresh_ticks: 0,
        };
        simulation.leader_rate = simulation.random_rate();
        for index in 0..4 {
            let outage = (simulation.below(40_000), simulation.below(8_000));
            let node = Node {
                vm: format!("vm-{index}").parse().unwrap(),
                rate: simulation.random_rate(),
                freshness: Freshness::new(simulation.below(u64::MAX)),
                next_poll: start,
                outage_ms: (outage.0, outage.0 + outage.1),
            };
            simulation.nodes.push(node);
        }
        simulation.begin_term();
        simulation
    }

    /// Returns the next number of a splitmix64 sequence below a limit.
    fn below(&mut self, limit: u64) -> u64 {
        self.random = self.random.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut mixed = self.random;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        (mixed ^ (mixed >> 31)) % limit
    }

    /// Returns a random clock rate; the quotient of two rates stays below 1.1.
    fn random_rate(&mut self) -> f64 {
        if self.faults { 0.955 + self.below(90) as f64 / 1_000.0 } else { 1.0 }
    }

    fn local_time(&self, rate: f64) -> Instant {
        self.start + ms(self.now_ms).mul_f64(rate)
    }

    fn begin_term(&mut self) {
        let now = self.local_time(self.leader_rate);
        self.in_force = InForceTracker::default();
        let members = self.nodes.iter().enumerate().map(|(n, node)| (node.vm.clone(), n < 2));
        self.in_force.set_members(members.collect::<Vec<_>>(), now);
        self.in_force.record_commit(self.committed, now);
    }

    fn send(&mut self, node: usize, packet: impl Fn() -> Packet) {
        let (start, end) = self.nodes[node].outage_ms;
        let is_cut_off = (start..end).contains(&self.now_ms);
        if self.faults && (is_cut_off || self.below(10) < 2) {
            return;
        }
        for _ in 0..=u64::from(self.faults && self.below(10) < 2) {
            let max_delay_ms = if self.faults && self.below(10) == 0 { 6_000 } else { 150 };
            let delay_ms = 1 + self.below(max_delay_ms);
            self.packets.push((self.now_ms + delay_ms, packet()));
        }
    }

    fn deliver(&mut self, packet: Packet) {
        match packet {
            Packet::Request { from, to: None, nonce, revision } => {
                let now = self.local_time(self.leader_rate);
                let vm = self.nodes[from].vm.clone();
                self.in_force.record_acknowledgement(&vm, revision, AckSource::Direct, now);
                let lease = Some(now + ms(100));
                if let Some(reply) = leader_reply(nonce, self.term, self.committed, lease, now) {
                    self.send(from, || Packet::Reply { to: from, reply: reply.clone() });
                }
            }
            Packet::Request { from, to: Some(relay), nonce, revision } => {
                let vm = self.nodes[from].vm.clone();
                let leader_now = self.local_time(self.leader_rate);
                self.in_force.record_acknowledgement(&vm, revision, AckSource::Relayed, leader_now);
                let node = &self.nodes[relay];
                let now = self.local_time(node.rate);
                let (term, commit) = (node.freshness.term(), node.freshness.known_commit());
                if let Some(reply) = relay_reply(nonce, term, commit, now) {
                    self.send(from, || Packet::Reply { to: from, reply: reply.clone() });
                }
            }
            Packet::Reply { to, reply } => {
                let outcome = self.nodes[to].freshness.handle_reply(&reply);
                if let ReplyOutcome::Behind { revision, .. } = outcome {
                    self.send(to, || Packet::Change { to, revision });
                }
            }
            Packet::Change { to, revision } => {
                self.nodes[to].freshness.record_applied(revision);
            }
        }
    }

    fn tick(&mut self) -> Result<(), TestCaseError> {
        if self.below(150) == 0 {
            self.committed = self.committed.saturating_add(Revision(1));
            let now = self.local_time(self.leader_rate);
            self.in_force.record_commit(self.committed, now);
        }
        if self.faults && self.below(500) == 0 {
            self.term = self.term.saturating_add(Term(1));
            self.begin_term();
        }
        for index in 0..self.nodes.len() {
            let now = self.local_time(self.nodes[index].rate);
            if now >= self.nodes[index].next_poll {
                self.nodes[index].next_poll = now + ms(500);
                let nonce = self.nodes[index].freshness.start_request(now);
                let revision = self.nodes[index].freshness.applied_revision();
                let to = (index >= 2).then_some(0);
                self.send(index, || Packet::Request { from: index, to, nonce, revision });
            }
        }
        let now_ms = self.now_ms;
        let due = self.packets.extract_if(.., |(at, _)| *at <= now_ms).collect::<Vec<_>>();
        due.into_iter().for_each(|(_, packet)| self.deliver(packet));
        let in_force = self.in_force.revision_in_force(self.local_time(self.leader_rate));
        for node in &self.nodes {
            if node.freshness.admits(self.local_time(node.rate)) {
                self.fresh_ticks += 1;
                let revision = node.freshness.applied_revision();
                prop_assert!(revision >= in_force, "{} admits under {revision}", node.vm);
            }
        }
        self.now_ms += TICK_MS;
        Ok(())
    }
}

proptest! {
    #![proptest_config(Config {
        cases: 150,
        rng_seed: RngSeed::Fixed(20_261_204),
        failure_persistence: None,
        ..Config::default()
    })]

    /// Guards against a daemon that admits keyed requests under an older configuration after the
    /// leader has reported a change as in force on all daemons.
    #[test]
    fn admits_after_in_force(seed in any::<u64>()) {
        let mut simulation = Simulation::new(seed, true);
        for _ in 0..3_000 {
            simulation.tick()?;
        }
        prop_assert!(simulation.fresh_ticks > 1_000, "the daemons were hardly ever fresh");
    }
}

/// Guards against passing `admits_after_in_force` only because daemons are never fresh.
#[test]
fn admits_without_faults() {
    let mut simulation = Simulation::new(1, false);
    for _ in 0..100 {
        simulation.tick().unwrap();
    }
    simulation.fresh_ticks = 0;
    for _ in 0..1_000 {
        simulation.tick().unwrap();
    }
    assert_eq!(simulation.fresh_ticks, 4 * 1_000);
}
