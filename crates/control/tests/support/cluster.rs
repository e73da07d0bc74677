//! Replicas in one process with a simulated network, and the checks of their invariants.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use celerygate_control::founding;
use celerygate_control::log::Log;
use celerygate_control::membership::{self, GroupSize};
use celerygate_control::node::{Node, Output};
use celerygate_control::replica::Input;
use celerygate_control::storage::memory::{MemoryDisk, TornWrite};
use celerygate_types::wire::{
    Command, Configuration, EvacuateCommand, HoldCommand, LogEntry, Member, MemberRole,
    MembershipChange, Message,
};
use celerygate_types::{ManualClock, VmId};

#[path = "losses.rs"]
mod losses;
#[path = "state.rs"]
mod state;

use state::{apply, command_name, count_applied, id};
pub use state::{configuration, member, vm_id};

const TIME_STEP: Duration = Duration::from_millis(10);
/// Number of applied entries after which a VM takes a snapshot.
const SNAPSHOT_INTERVAL_ENTRIES: u64 = 7;
/// Small enough that a test fills several segments.
const SEGMENT_BYTES: u64 = 600;
/// Rates of the VMs' clocks; the extremes differ by 10%.
const CLOCK_RATES_PERMILLE: [u32; 5] = [1_000, 952, 1_047, 980, 1_020];

pub struct Vm {
    pub id: VmId,
    pub disk: MemoryDisk,
    /// Disks that were replaced; one of them may be reinstalled later.
    previous_disks: Vec<MemoryDisk>,
    pub node: Option<Node>,
    pub state: Configuration,
    applied_index: u64,
    snapshot_index: u64,
    store_id: Option<u64>,
    /// Whether the next start is the first one, as the settings of a VM tell it.
    is_first_start: bool,
    /// The members as of the last entry of the VM's log.
    members: Vec<Member>,
    restart_at: Option<Duration>,
    paused_until: Duration,
    /// Effect of a failed write on unsynced data; without one, only the process ends.
    torn_write: Option<TornWrite>,
    clock_rate_permille: u32,
    next_tick: Duration,
}

struct Packet {
    deliver_at: Duration,
    from: usize,
    to: usize,
    message: Message,
}

pub struct Cluster {
    pub vms: Vec<Vm>,
    pub clock: ManualClock,
    start_instant: Instant,
    packets: Vec<Packet>,
    pub cut_links: BTreeSet<(usize, usize)>,
    pub loss_percent: u64,
    pub delay_ms: u64,
    pub excluded_vms: BTreeSet<VmId>,
    /// VMs that have received a stop signal.
    pub leaving_vms: BTreeSet<VmId>,
    /// Size at which the group is kept as a driver does; without one, all VMs become voters.
    pub group_size: Option<GroupSize>,
    /// VMs that create the group together; without them, the first VM creates it.
    pub founders: Vec<VmId>,
    random: u64,
    /// All entries that any VM applied, in order.
    pub applied_entries: Vec<LogEntry>,
    /// Commands that their proposer has applied, with their index.
    pub accepted: BTreeMap<String, usize>,
    /// Undecided proposals: proposer, index, term and command name.
    proposals: Vec<(usize, u64, u64, String)>,
    next_command: u64,
    pub lease_holders: Vec<usize>,
}

impl Cluster {
    /// Starts `count` VMs, the first `control` of which create the group.
    pub fn new(count: usize, control: usize, seed: u64) -> Self {
        let vm = |number: usize| Vm {
            id: vm_id(number),
            disk: MemoryDisk::new(),
            previous_disks: vec![],
            node: None,
            state: configuration(vec![]),
            applied_index: 0,
            snapshot_index: 0,
            store_id: None,
            is_first_start: true,
            members: vec![],
            restart_at: Some(Duration::ZERO),
            paused_until: Duration::ZERO,
            torn_write: Some(TornWrite::Discard),
            clock_rate_permille: CLOCK_RATES_PERMILLE[number % CLOCK_RATES_PERMILLE.len()],
            next_tick: Duration::ZERO,
        };
        let mut cluster = Self {
            vms: (0..count).map(vm).collect(),
            clock: ManualClock::new(),
            start_instant: Instant::now(),
            packets: vec![],
            cut_links: BTreeSet::new(),
            loss_percent: 0,
            delay_ms: 10,
            excluded_vms: BTreeSet::new(),
            leaving_vms: BTreeSet::new(),
            group_size: None,
            founders: vec![],
            random: seed,
            applied_entries: vec![],
            accepted: BTreeMap::new(),
            proposals: vec![],
            next_command: 0,
            lease_holders: vec![],
        };
        cluster.excluded_vms.extend((control..count).map(vm_id));
        cluster
    }

    pub fn random_below(&mut self, below: u64) -> u64 {
        self.random = self.random.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut mixed = self.random;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        (mixed ^ (mixed >> 31)) % below.max(1)
    }

    fn local_now(&self, vm: usize) -> Instant {
        self.start_instant + self.clock.elapsed() * self.vms[vm].clock_rate_permille / 1_000
    }

    fn start(&mut self, number: usize) {
        let (store_id, random) = (self.random_below(u64::MAX), self.random_below(u64::MAX));
        let now = self.local_now(number);
        let vm = &mut self.vms[number];
        let founding_store_id = founding::store_id(&vm.id, &self.founders);
        let is_first_start = std::mem::take(&mut vm.is_first_start);
        let is_founder = self.founders.contains(&vm.id);
        let store_id = if is_first_start && is_founder { founding_store_id } else { store_id };
        let opened_log =
            Log::open_with_segment_bytes(vm.disk.storage(), &vm.id, store_id, SEGMENT_BYTES);
        let Ok(opened_log) = opened_log else { return self.crash(number, TornWrite::Discard, 50) };
        vm.store_id = Some(opened_log.log.store_id());
        let opened = Node::from_opened_log(opened_log, &vm.id, random, now);
        vm.applied_index = opened.snapshot.as_ref().map_or(0, |snapshot| snapshot.last_index.0);
        vm.snapshot_index = vm.applied_index;
        vm.state = opened.snapshot.map_or_else(|| configuration(vec![]), |s| s.configuration);
        vm.node = Some(opened.node);
        if is_founder && vm.store_id == Some(founding_store_id) {
            let founders = self.founders.iter().cloned();
            let members = founders.map(|id| member(id, MemberRole::Voter, None)).collect();
            let mut first = founding::first_configuration(configuration(members));
            // Tells the proposals of different founders apart.
            first
                .members
                .iter_mut()
                .for_each(|m| m.callers_address = vm_id(number).as_str().into());
            self.handle(number, Input::Found(Box::new(first)));
        } else if number == 0 && vm.applied_index == 0 && self.founders.is_empty() {
            let control =
                (0..self.vms.len()).map(vm_id).filter(|id| !self.excluded_vms.contains(id));
            let members = control.map(|id| member(id, MemberRole::Learner, None)).collect();
            let configuration = Box::new(configuration(members));
            self.handle(number, Input::Bootstrap { configuration });
        }
    }

    /// Returns the members after all entries that any VM has applied.
    fn committed_members(&self) -> Option<Vec<Member>> {
        let mut members = vec![];
        self.applied_entries
            .iter()
            .for_each(|e| membership::apply_command(&mut members, &e.command));
        (!members.is_empty()).then_some(members)
    }

    fn handle(&mut self, number: usize, input: Input) {
        let now = self.local_now(number);
        let vm = &mut self.vms[number];
        let Some(node) = &mut vm.node else { return };
        let command = match &input {
            Input::Propose(command) => command_name(command),
            _ => None,
        };
        let outputs = match node.handle(input, now) {
            Ok(outputs) => outputs,
            Err(_) => {
                assert!(
                    node.handle(Input::Tick { random: 0 }, now).is_err(),
                    "a node accepted input after a failed write"
                );
                return self.crash_after_failed_write(number);
            }
        };
        let members = node.replica().members();
        if vm.members != members {
            vm.members = members.to_vec();
        }
        for output in outputs {
            match output {
                Output::Send { to, message } => self.send(number, &to, *message),
                Output::Apply(entries) => {
                    entries.into_iter().for_each(|entry| self.check_applied(number, entry));
                }
                Output::InstallSnapshot(snapshot) => {
                    let mut expected = configuration(vec![]);
                    let through = snapshot.last_index.0 as usize;
                    self.applied_entries[..through].iter().for_each(|e| apply(&mut expected, e));
                    assert_eq!(
                        snapshot.configuration, expected,
                        "snapshot differs from the applied entries"
                    );
                    self.vms[number].applied_index = snapshot.last_index.0;
                    self.vms[number].snapshot_index = snapshot.last_index.0;
                    self.vms[number].state = snapshot.configuration;
                }
                Output::Proposed { index, term } => {
                    let proposal = command.clone().map(|name| (number, index.0, term.0, name));
                    self.proposals.extend(proposal);
                }
                _ => {}
            }
        }
    }

    /// Checks that all VMs apply the same entries in the same order, each once.
    fn check_applied(&mut self, number: usize, entry: LogEntry) {
        let vm = &mut self.vms[number];
        assert_eq!(entry.index.0, vm.applied_index + 1, "{} skipped or repeated an entry", vm.id);
        vm.applied_index = entry.index.0;
        apply(&mut vm.state, &entry);
        let position = entry.index.0 as usize;
        match self.applied_entries.get(position - 1) {
            Some(known) => assert_eq!(*known, entry, "{} reverted an entry", vm.id),
            None => self.applied_entries.push(entry.clone()),
        }
        assert!(position <= self.applied_entries.len(), "{} applied ahead of a gap", vm.id);
        self.proposals.retain(|(proposer, index, term, name)| {
            let is_decided = *proposer == number && *index == entry.index.0;
            if is_decided && *term == entry.term.0 {
                self.accepted.insert(name.clone(), position);
            }
            !is_decided
        });
    }

    /// Checks that at most one VM holds a lease, and that it has applied all entries that any VM
    /// has.
    fn check_lease(&mut self) {
        let has_lease = |number: &usize| {
            let node = self.vms[*number].node.as_ref();
            node.is_some_and(|node| node.replica().has_lease(self.local_now(*number)))
        };
        let holders: Vec<usize> = (0..self.vms.len()).filter(has_lease).collect();
        assert!(holders.len() <= 1, "VMs {holders:?} hold a lease at {:?}", self.clock.elapsed());
        if let Some(holder) = holders.first() {
            let applied = self.vms[*holder].applied_index;
            assert_eq!(
                applied,
                self.applied_entries.len() as u64,
                "the lease holder lacks entries"
            );
            if self.lease_holders.last() != Some(holder) {
                self.lease_holders.push(*holder);
            }
        }
    }

    fn send(&mut self, from: usize, to: &VmId, message: Message) {
        let Some(to) = self.vms.iter().position(|vm| vm.id == *to) else { return };
        for _ in 0..1 + u64::from(self.random_below(100) < self.loss_percent) {
            if self.cut_links.contains(&(from, to)) || self.random_below(100) < self.loss_percent {
                continue;
            }
            let mut delay_ms = 1 + self.random_below(self.delay_ms);
            if self.random_below(100) < self.loss_percent {
                delay_ms += self.random_below(3_000);
            }
            let deliver_at = self.clock.elapsed() + Duration::from_millis(delay_ms);
            self.packets.push(Packet { deliver_at, from, to, message: message.clone() });
        }
    }

    fn describe(&self) -> String {
        let line = |vm: &Vm| {
            let state = vm.node.as_ref().map(|node| {
                let replica = node.replica();
                let members: Vec<_> =
                    replica.members().iter().map(|m| (&m.vm, m.role, m.store_id)).collect();
                let position = (replica.commit_index(), replica.last_index());
                format!("{} {} {position:?} {members:?}", replica.term(), replica.is_leader())
            });
            format!("{} store {:?} {state:?}\n", vm.id, vm.store_id)
        };
        self.vms.iter().map(line).collect()
    }

    /// Returns the VM that leads the highest term by its own state.
    pub fn leader(&self) -> Option<usize> {
        let leads = |n: &usize| self.vms[*n].node.as_ref().is_some_and(|n| n.replica().is_leader());
        let term = |n: &usize| self.vms[*n].node.as_ref().map(|node| node.replica().term());
        (0..self.vms.len()).filter(leads).max_by_key(term)
    }

    pub fn propose(&mut self, number: usize) {
        let survives_loss = |node: &Node| {
            let members = node.replica().members();
            self.group_size.is_none_or(|size| size.commits_survive_disk_loss(members))
        };
        if !self.vms[number].node.as_ref().is_some_and(survives_loss) {
            return;
        }
        self.next_command += 1;
        let name = format!("c-{}", self.next_command);
        // Changes and evacuations take turns.
        let command = if self.next_command.is_multiple_of(2) {
            Command::Evacuate(EvacuateCommand { data_centre: id(&name), active: true })
        } else {
            Command::Hold(HoldCommand { intent: id(&name), reason: None })
        };
        self.handle(number, Input::Propose(command));
    }

    /// Proposes the membership change that a driver would propose on a tick of the leader.
    fn propose_membership_change(&mut self, number: usize) {
        let now = self.local_now(number);
        let Some(node) = &self.vms[number].node else { return };
        let replica = node.replica();
        let members = replica.members();
        let is_missing = |id: &VmId| {
            let joins = !self.excluded_vms.contains(id) && !self.leaving_vms.contains(id);
            joins && membership::find(members, id).is_none()
        };
        if !replica.can_change_members() {
            return;
        }
        let next = replica.next_membership_change(now);
        let change = match self.group_size {
            Some(size) => size.next_change(
                members,
                next,
                |vm| replica.time_since_reply(vm, now),
                |vm| self.leaving_vms.contains(vm),
            ),
            None => next.or_else(|| {
                let mut leaving = members.iter().filter(|m| self.excluded_vms.contains(&m.vm));
                leaving.next().map(|m| MembershipChange::Remove(m.vm.clone()))
            }),
        };
        let change = change.or_else(|| {
            let id = (0..self.vms.len()).map(vm_id).find(is_missing)?;
            Some(MembershipChange::AddLearner(member(id, MemberRole::Learner, None)))
        });
        if let Some(change) = change.filter(|_| replica.is_leader()) {
            self.handle(number, Input::Propose(Command::Membership(change)));
        }
    }

    fn run_vm(&mut self, number: usize) {
        let time = self.clock.elapsed();
        if self.vms[number].restart_at.is_some_and(|at| at <= time) {
            self.vms[number].restart_at = None;
            self.start(number);
        }
        if self.vms[number].paused_until > time || self.vms[number].node.is_none() {
            return;
        }
        let mut due: Vec<Packet> =
            self.packets.extract_if(.., |p| p.to == number && p.deliver_at <= time).collect();
        due.sort_by_key(|packet| packet.deliver_at);
        for packet in due {
            let from = vm_id(packet.from);
            self.handle(number, Input::Message { from, message: packet.message });
        }
        if self.vms[number].next_tick <= time {
            self.vms[number].next_tick = time + Duration::from_millis(50);
            let random = self.random_below(u64::MAX);
            self.handle(number, Input::Tick { random });
            self.propose_membership_change(number);
        }
        let vm = &mut self.vms[number];
        if let Some(node) = &mut vm.node
            && vm.applied_index >= vm.snapshot_index + SNAPSHOT_INTERVAL_ENTRIES
        {
            vm.snapshot_index = vm.applied_index;
            if node.store_snapshot(vm.state.clone()).is_ok() {
                return;
            }
            self.crash_after_failed_write(number);
        }
    }

    /// Advances time step by step and checks the invariants after each step of a VM.
    pub fn run(&mut self, ms: u64) {
        let end = self.clock.elapsed() + Duration::from_millis(ms);
        while self.clock.elapsed() < end {
            self.clock.advance(TIME_STEP);
            // Packets to stopped processes are lost.
            let (vms, time) = (&self.vms, self.clock.elapsed());
            self.packets.retain(|packet| packet.deliver_at > time || vms[packet.to].node.is_some());
            for number in 0..self.vms.len() {
                self.run_vm(number);
                self.check_lease();
            }
        }
    }

    /// Runs until the condition holds; panics after a simulated minute.
    pub fn run_until(&mut self, goal: &str, condition: impl Fn(&Self) -> bool) {
        let end = self.clock.elapsed() + Duration::from_secs(60);
        while !condition(self) {
            assert!(self.clock.elapsed() < end, "not reached in 60 s: {goal}\n{}", self.describe());
            self.run(10);
        }
    }

    /// Returns whether the voters are exactly the VMs that are not excluded.
    pub fn has_expected_voters(&self) -> bool {
        let Some(members) = self.committed_members() else { return false };
        let is_voter = |vm: &&Vm| {
            let store_id = vm.store_id.unwrap_or_default();
            membership::counts_as_voter(&members, &vm.id, store_id)
        };
        members.len() == self.vms.len() - self.excluded_vms.len()
            && self
                .vms
                .iter()
                .filter(|vm| !self.excluded_vms.contains(&vm.id))
                .all(|vm| is_voter(&vm))
    }

    /// Ends all faults, then checks that the group accepts a command and all VMs reach the same
    /// state.
    pub fn heal_and_check(&mut self) {
        (self.loss_percent, self.delay_ms) = (0, 10);
        self.cut_links.clear();
        for number in 0..self.vms.len() {
            self.vms[number].paused_until = Duration::ZERO;
            self.vms[number].disk.stop_at_write(u64::MAX, true);
        }
        self.run_until("all voters are back", Self::has_expected_voters);
        self.run_until("a leader is elected", |c| c.leader().is_some());
        let accepted = self.accepted.len();
        let end = self.clock.elapsed() + Duration::from_secs(60);
        while self.accepted.len() == accepted {
            assert!(self.clock.elapsed() < end, "no command accepted within 60 s");
            if let Some(leader) = self.leader() {
                self.propose(leader);
            }
            self.run(500);
        }
        self.run_until("all VMs have applied all entries", |c| {
            let excluded_vms = &c.excluded_vms;
            let mut others = c.vms.iter().filter(|vm| !excluded_vms.contains(&vm.id));
            others.all(|vm| vm.applied_index == c.applied_entries.len() as u64)
        });
        let mut expected = configuration(vec![]);
        self.applied_entries.iter().for_each(|entry| apply(&mut expected, entry));
        for (name, position) in &self.accepted {
            let found = count_applied(&expected, name);
            assert_eq!(found, 1, "accepted command {name} at {position}");
        }
        for vm in self.vms.iter().filter(|vm| !self.excluded_vms.contains(&vm.id)) {
            assert_eq!(vm.state, expected, "state of {}", vm.id);
        }
    }
}
