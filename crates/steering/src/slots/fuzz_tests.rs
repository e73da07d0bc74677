//! Stateful fuzzing of permit owners and holders over a faulty network, with fixed seeds.

use std::collections::HashMap;
use std::time::Instant;

use celerygate_types::wire::{SlotReply, SlotRequest};
use celerygate_types::{Incarnation, SlotCount, VmId};
use rand::RngExt;

use super::{HOLDER_LEASE, SlotHolder, SlotMessage, SlotOwner, SlotResponse, SlotTarget};
use crate::grants::network_tests::Network;

const VMS: usize = 6;
const STEP_US: u64 = 1_000;

#[derive(Clone)]
enum Message {
    Request(usize, Incarnation, SlotRequest),
    Reply(Incarnation, SlotReply),
}

struct RunningRequest {
    target: SlotTarget,
    end_us: u64,
    /// Whether the lease of its VM ended while it ran, which is a documented transient state.
    outlived_lease: bool,
}

struct Vm {
    incarnation: Incarnation,
    holder: SlotHolder,
    down_until_us: u64,
    /// Number of waiting requests per target.
    waiting: Vec<u32>,
    running: Vec<RunningRequest>,
    sent: HashMap<u64, Instant>,
    lease_until: Option<Instant>,
    served: usize,
}

impl Vm {
    fn new(incarnation: u64, targets: usize, down_until_us: u64) -> Self {
        Self {
            incarnation: Incarnation(incarnation),
            holder: SlotHolder::new(0),
            down_until_us,
            waiting: vec![0; targets],
            running: Vec::new(),
            sent: HashMap::new(),
            lease_until: None,
            served: 0,
        }
    }
}

struct Fleet {
    network: Network<Message>,
    ids: Vec<VmId>,
    targets: Vec<(SlotTarget, u32)>,
    vms: Vec<Vm>,
    owners: Vec<(usize, SlotOwner)>,
    lease_end_us: u64,
    /// Probability of a new request per step, for each VM and target, in percent.
    demand_percent: Vec<u32>,
    longest_us: u64,
    outlived_leases: usize,
    busy_slot_steps: u64,
}

impl Fleet {
    fn new(seed: u64, targets: usize) -> Self {
        let mut network = Network::new(seed, VMS);
        let target = |index| -> SlotTarget {
            ("search".parse().unwrap(), format!("target-{index}").parse().unwrap())
        };
        Self {
            targets: (0..targets)
                .map(|index| (target(index), network.rng.random_range(1..5)))
                .collect(),
            demand_percent: (0..VMS).map(|_| network.rng.random_range(0..6)).collect(),
            network,
            ids: (0..VMS).map(|vm| format!("vm-{vm}").parse().unwrap()).collect(),
            vms: (0..VMS).map(|_| Vm::new(1, targets, 0)).collect(),
            owners: Vec::new(),
            lease_end_us: 0,
            longest_us: 300_000,
            outlived_leases: 0,
            busy_slot_steps: 0,
        }
    }

    fn change_owner(&mut self, now_us: u64, lease_us: u64) {
        let vm = self.network.rng.random_range(0..VMS);
        self.lease_end_us = now_us + lease_us;
        let lease_until = self.network.local(vm, self.lease_end_us);
        let epoch = self.owners.len() as u64 + 1;
        let now = self.network.local(vm, now_us);
        let mut owner = SlotOwner::new(epoch, &self.ids, lease_until, now);
        for (target, slots) in &self.targets {
            owner.set_slots(target, SlotCount(*slots));
        }
        self.owners.push((vm, owner));
    }

    fn inject_faults(&mut self, now_us: u64) {
        if now_us >= self.lease_end_us && (self.owners.is_empty() || self.network.chance(2)) {
            let lease_us = self.network.rng.random_range(300_000..8_000_000);
            self.change_owner(now_us, lease_us);
        }
        for vm in 0..VMS {
            let end_us = now_us + self.network.rng.random_range(1_000..2_500_000);
            match self.network.rng.random_range(0..10_000) {
                0 => self.network.partitioned_until_us[vm] = end_us,
                1 => {
                    let incarnation = self.vms[vm].incarnation.get() + 1;
                    self.vms[vm] = Vm::new(incarnation, self.targets.len(), end_us);
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
                    let epoch = request.epoch;
                    let Some((_, owner)) =
                        self.owners.iter_mut().find(|owner| owner.1.epoch() == epoch)
                    else {
                        continue;
                    };
                    let response =
                        owner.handle_request(&self.ids[from], incarnation, &request, now);
                    if let SlotResponse::Send(messages) = response {
                        self.send_all(to, messages, now_us);
                    }
                }
                Message::Reply(incarnation, reply) => {
                    let vm = &mut self.vms[to];
                    let alive = vm.incarnation == incarnation && now_us >= vm.down_until_us;
                    if alive
                        && vm.holder.accept(&reply, now)
                        && let Some(sent_at) = vm.sent.get(&reply.sequence)
                    {
                        vm.lease_until = Some(*sent_at + HOLDER_LEASE);
                    }
                }
            }
        }
    }

    fn send_all(&mut self, from: usize, messages: Vec<SlotMessage>, now_us: u64) {
        for message in messages {
            let to = self.ids.iter().position(|id| *id == message.vm).unwrap();
            let message = Message::Reply(message.incarnation, message.reply);
            self.network.send(from, to, message, now_us);
        }
    }

    fn step_vm(&mut self, index: usize, now_us: u64, faults: bool) {
        let now = self.network.local(index, now_us);
        let vm = &mut self.vms[index];
        let lease_ended = vm.lease_until.is_some_and(|until| now >= until);
        for running in &mut vm.running {
            self.outlived_leases += usize::from(lease_ended && !running.outlived_lease);
            running.outlived_lease |= lease_ended;
        }
        for ended in vm.running.extract_if(.., |running| running.end_us <= now_us) {
            vm.holder.release(&ended.target, now);
            vm.served += 1;
        }
        for (position, (target, _)) in self.targets.iter().enumerate() {
            let chance = self.demand_percent[index];
            if vm.waiting[position] < 5 && self.network.rng.random_range(0..100) < chance {
                vm.waiting[position] += 1;
            }
            while vm.waiting[position] > 0 && vm.holder.acquire(target, now) {
                vm.waiting[position] -= 1;
                let end_us = now_us + self.network.rng.random_range(1_000..self.longest_us);
                let target = target.clone();
                vm.running.push(RunningRequest { target, end_us, outlived_lease: false });
            }
        }
        // A VM learns of a new owner after a delay, and not at all while it is partitioned.
        if !self.network.is_partitioned(index, now_us)
            && (!faults || self.network.rng.random_range(0..700) == 0)
            && let Some((_, owner)) = self.owners.last()
        {
            vm.holder.set_epoch(owner.epoch());
        }
        let wanted = self.targets.iter().map(|(target, _)| target).zip(vm.waiting.iter().copied());
        if let Some(request) = vm.holder.poll(wanted, now) {
            vm.sent.insert(request.sequence, now);
            let owner = self.owners.iter().find(|owner| owner.1.epoch() == request.epoch);
            let to = owner.map_or(0, |owner| owner.0);
            let message = Message::Request(index, vm.incarnation, request);
            self.network.send(index, to, message, now_us);
        }
    }

    /// The oracle: apart from requests that outlive their lease, no target runs more requests than
    /// it has slots.
    fn check(&mut self, seed: u64, now_us: u64) {
        for (target, slots) in &self.targets {
            let running = self.vms.iter().flat_map(|vm| &vm.running);
            let counts =
                |running: &&RunningRequest| running.target == *target && !running.outlived_lease;
            let count = running.filter(counts).count();
            assert!(count <= *slots as usize, "seed {seed}: {count} of {slots} at {now_us} us");
            self.busy_slot_steps += count as u64;
        }
    }

    fn run(&mut self, seed: u64, until_us: u64, faults: bool) {
        for now_us in (0..until_us).step_by(STEP_US as usize) {
            if faults {
                self.inject_faults(now_us);
            } else if self.owners.is_empty() {
                self.change_owner(now_us, until_us);
            }
            self.deliver(now_us);
            for vm in 0..VMS {
                if now_us >= self.vms[vm].down_until_us {
                    self.step_vm(vm, now_us, faults);
                }
            }
            if now_us.is_multiple_of(20_000) {
                for index in 0..self.owners.len() {
                    let vm = self.owners[index].0;
                    let now = self.network.local(vm, now_us);
                    let messages = self.owners[index].1.tick(now);
                    self.send_all(vm, messages, now_us);
                }
            }
            self.check(seed, now_us);
        }
    }
}

/// Guards against permits that two VMs use at the same time, with failed, restarted and partitioned
/// VMs, changes of owner, faulty messages and different clock rates.
#[test]
fn fleet_never_exceeds_slots() {
    let (mut served, mut outlived) = (0, 0);
    for seed in 0..60 {
        let mut fleet = Fleet::new(seed, 2);
        fleet.longest_us = if seed % 3 == 0 { 3_000_000 } else { 200_000 };
        fleet.run(seed, 6_000_000, true);
        served += fleet.vms.iter().map(|vm| vm.served).sum::<usize>();
        outlived += fleet.outlived_leases;
    }
    assert!(served > 2_000, "only {served} served: the test exercises too little");
    assert!(outlived > 10, "only {outlived} requests outlived their lease");
}

/// Guards against starvation of a VM and against permits that stay unused, when all VMs want more
/// than their share of one target. There are no faults.
#[test]
fn fleet_shares_slots_evenly() {
    // With 10 ms per message and 20 ms per request, a slot is idle while its permit is handed over.
    for (slots, delay_us, least_busy) in
        [(1, 500, 0.93), (3, 500, 0.93), (8, 500, 0.93), (3, 10_000, 0.7), (8, 10_000, 0.9)]
    {
        let mut fleet = Fleet::new(0, 1);
        fleet.targets[0].1 = slots;
        fleet.demand_percent = vec![50; VMS];
        fleet.longest_us = 40_000;
        fleet.network.delay_us = delay_us;
        fleet.run(0, 30_000_000, false);
        let served: Vec<usize> = fleet.vms.iter().map(|vm| vm.served).collect();
        let mean = served.iter().sum::<usize>() / VMS;
        let worst = served.iter().min().copied().unwrap_or(0);
        let busy = fleet.busy_slot_steps as f64 / f64::from(slots) / 30_000.0;
        assert!(worst * 100 >= mean * 90, "{slots} slots: {served:?}");
        assert!(busy > least_busy, "{slots} slots: {busy} busy");
    }
}
