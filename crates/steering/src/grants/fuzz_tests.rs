//! Stateful fuzzing of token owners and holders over a faulty network, with fixed seeds.

use celerygate_types::wire::{GrantReply, GrantRequest};
use celerygate_types::{Incarnation, OrganisationId, RequestCount, RequestRate, Term, VmId};
use rand::RngExt;

use super::network_tests::Network;
use super::{Admission, GrantHolder, GrantOwner, GrantResponse, Limit, TokenRequest};

const VMS: usize = 7;
const STEP_US: u64 = 1_000;

#[derive(Clone)]
enum Message {
    Request(usize, Incarnation, GrantRequest),
    Reply(Incarnation, GrantReply),
}

/// The oracle: a token bucket that starts full. It runs below zero exactly when some window of
/// length T admits more than `burst + rate * T`.
fn is_within_limit(limit: Limit, admitted_us: &[u64]) -> bool {
    let full = limit.burst.get() as i128 * 1_000_000;
    let (mut level, mut last) = (full, 0);
    admitted_us.iter().all(|&at| {
        level = full.min(level + i128::from(limit.rate.get()) * i128::from(at - last)) - 1_000_000;
        last = at;
        level >= 0
    })
}

struct Fleet {
    network: Network<Message>,
    vms: Vec<VmId>,
    organisation: OrganisationId,
    limit: Limit,
    holders: Vec<(Incarnation, GrantHolder)>,
    down_until_us: Vec<u64>,
    /// Each owner with the VM it runs on; previous owners continue until their lease ends.
    owners: Vec<(usize, GrantOwner)>,
    lease_end_us: u64,
    admitted_us: Vec<u64>,
    /// Number of tokens that each VM requests beyond its demand.
    surplus_wanted: Vec<u64>,
    /// End of the current surge, in which every VM uses all tokens that it holds.
    surge_until_us: u64,
}

impl Fleet {
    fn new(seed: u64) -> Self {
        let mut network = Network::new(seed, VMS);
        // Mostly low rates: a high rate refills the bucket so fast that a token freed twice stays
        // unnoticed.
        let rate = RequestRate(1 << network.rng.random_range(0..9));
        let burst = RequestCount(network.rng.random_range(1..400));
        let limit = Limit { rate, burst, window: None };
        Self {
            network,
            vms: (0..VMS).map(|vm| format!("vm-{vm}").parse().unwrap()).collect(),
            organisation: "acme".parse().unwrap(),
            limit,
            holders: (0..VMS).map(|_| (Incarnation(1), GrantHolder::new(Term(0)))).collect(),
            down_until_us: vec![0; VMS],
            owners: Vec::new(),
            lease_end_us: 0,
            admitted_us: Vec::new(),
            surplus_wanted: vec![3; VMS],
            surge_until_us: 0,
        }
    }

    fn change_owner(&mut self, now_us: u64) {
        let vm = self.network.rng.random_range(0..VMS);
        self.lease_end_us = now_us + self.network.rng.random_range(300_000..3_000_000);
        let lease_until = self.network.local(vm, self.lease_end_us);
        let limits = [(self.organisation.clone(), self.limit)];
        let term = Term(self.owners.len() as u64 + 1);
        let now = self.network.local(vm, now_us);
        self.owners.push((vm, GrantOwner::new(term, &self.vms, limits, lease_until, now)));
    }

    fn inject_faults(&mut self, now_us: u64) {
        let lease_over = now_us >= self.lease_end_us;
        if lease_over && (self.owners.is_empty() || self.network.chance(2)) {
            self.change_owner(now_us);
        }
        for vm in 0..VMS {
            let chance = self.network.rng.random_range(0..4_000);
            let end_us = now_us + self.network.rng.random_range(1_000..2_500_000);
            match chance {
                0 => self.network.partitioned_until_us[vm] = end_us,
                1 => {
                    let incarnation = Incarnation(self.holders[vm].0.get() + 1);
                    self.holders[vm] = (incarnation, GrantHolder::new(Term(0)));
                    self.down_until_us[vm] = end_us;
                }
                _ => {}
            }
        }
    }

    fn deliver(&mut self, now_us: u64) {
        for (to, message) in self.network.arrived(now_us) {
            let now = self.network.local(to, now_us);
            match message {
                Message::Request(from, incarnation, request) => {
                    let sent_to = |owner: &(usize, GrantOwner)| owner.1.term() == request.term;
                    let Some((_, owner)) = self.owners.iter_mut().find(|owner| sent_to(owner))
                    else {
                        continue;
                    };
                    let response =
                        owner.handle_request(&self.vms[from], incarnation, &request, now);
                    let (level, outstanding) = owner.bucket(&self.organisation).unwrap();
                    assert!(
                        level == RequestCount::ZERO
                            || level.saturating_add(outstanding) <= self.limit.burst,
                        "level {level}, outstanding {outstanding}, {:?}",
                        self.limit
                    );
                    if let GrantResponse::Reply(reply) = response {
                        let reply = Message::Reply(incarnation, reply);
                        self.network.send(to, from, reply, now_us);
                    }
                }
                Message::Reply(incarnation, reply) => {
                    let (current, holder) = &mut self.holders[to];
                    if *current == incarnation && now_us >= self.down_until_us[to] {
                        holder.accept(&reply, now);
                    }
                }
            }
        }
    }

    fn arrivals(&mut self, vm: usize, now_us: u64, faults: bool) {
        // Uneven over the VMs: the first gets half of all arrivals. With faults there are few
        // arrivals, so that tokens get close to expiry, and an occasional surge.
        let share = if vm == 0 { 0.5 } else { 0.5 / (VMS - 1) as f64 };
        let load = if faults { 0.1 } else { 2.0 };
        let mean = load * self.limit.rate.get() as f64 * share * STEP_US as f64 / 1e6;
        let is_surge = now_us < self.surge_until_us;
        let count =
            if is_surge { 500 } else { u64::from(self.network.rng.random_bool(mean.min(1.0))) };
        let now = self.network.local(vm, now_us);
        let deadline = now + std::time::Duration::from_secs(1);
        let need = TokenRequest { arrived: now, deadline, ahead: 0 };
        for _ in 0..count {
            let holder = &mut self.holders[vm].1;
            if holder.admit(&self.organisation, &need, now) != Admission::Admit {
                break;
            }
            self.admitted_us.push(now_us);
        }
    }

    fn run(&mut self, until_us: u64, faults: bool) {
        for now_us in (0..until_us).step_by(STEP_US as usize) {
            if faults {
                self.inject_faults(now_us);
            } else if self.owners.is_empty() {
                self.change_owner(now_us);
                self.lease_end_us = u64::MAX;
                let end = self.network.local(0, until_us * 2);
                self.owners[0].1.extend_lease(end);
            }
            if faults && self.network.rng.random_range(0..700) == 0 {
                self.surge_until_us = now_us + self.network.rng.random_range(1_000..300_000);
                let burst = self.limit.burst.get();
                self.surplus_wanted.fill_with(|| self.network.rng.random_range(0..=burst));
            }
            self.deliver(now_us);
            for vm in 0..VMS {
                if now_us < self.down_until_us[vm] {
                    continue;
                }
                self.arrivals(vm, now_us, faults);
                // A VM learns of a new owner after a delay, and not at all while it is partitioned.
                let learns = !faults || self.network.rng.random_range(0..300) == 0;
                let is_partitioned = self.network.is_partitioned(vm, now_us);
                let owner = self.owners.last().filter(|_| learns && !is_partitioned);
                let owner = owner.map(|(vm, owner)| (*vm, owner.term()));
                let (incarnation, holder) = &mut self.holders[vm];
                if let Some((_, term)) = owner {
                    holder.set_term(term);
                }
                let now = self.network.local(vm, now_us);
                if let Some(request) = holder.poll(|_| self.surplus_wanted[vm], now) {
                    let to = self.owners.iter().find(|owner| owner.1.term() == request.term);
                    let to = to.map_or(0, |owner| owner.0);
                    let request = Message::Request(vm, *incarnation, request);
                    self.network.send(vm, to, request, now_us);
                }
            }
        }
    }
}

/// Guards against tokens that are freed twice or used after they have expired at the owner, with
/// failed, restarted and partitioned VMs, changes of owner, faulty messages and different clock
/// rates.
#[test]
fn fleet_never_exceeds_rate_and_burst() {
    let mut admitted = 0;
    for seed in 0..100 {
        let mut fleet = Fleet::new(seed);
        fleet.run(6_000_000, true);
        assert!(
            is_within_limit(fleet.limit, &fleet.admitted_us),
            "seed {seed}: {:?} admitted {} in 6 s",
            fleet.limit,
            fleet.admitted_us.len()
        );
        admitted += fleet.admitted_us.len();
    }
    assert!(admitted > 5_000, "only {admitted} admitted: the test exercises too little");
}

/// Guards against a protocol that is safe only because it admits too little: without faults the
/// fleet reaches the rate, although half of the arrivals are at one VM.
#[test]
fn fleet_reaches_rate_with_uneven_arrivals() {
    let mut fleet = Fleet::new(0);
    fleet.limit = Limit { rate: RequestRate(300), burst: RequestCount(300), window: None };
    fleet.run(10_000_000, false);
    let admitted = fleet.admitted_us.iter().filter(|&&at| at >= 3_000_000).count();
    // The owner's clock may run at 91% of real time.
    assert!(admitted > 7 * 300 * 91 / 100 * 95 / 100, "{admitted} admitted in 7 s");
}
