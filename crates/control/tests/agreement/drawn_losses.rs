//! Acknowledged commands after losses at drawn moments: up to two disks are lost and all other VMs
//! lose power, while a VM is replaced, processes are killed, links are cut and syncs fail.
//!
//! `CELERYGATE_LOSS_SEEDS=FIRST-LAST` runs other seeds.

use std::ops::RangeInclusive;

use celerygate_control::storage::memory::TornWrite;

use super::cluster::{self, Cluster};
use super::disk_losses::{
    CATCH_UP_MS, LOST_DISKS_MAX, SHUTDOWN_MS, VOTERS, acknowledge, group, propose,
};

const DEFAULT_SEEDS: RangeInclusive<u64> = 1..=150;
/// Time from the last fault until a VM that was to be replaced goes away, if the last fault came
/// before.
const RECOVERY_MS: u64 = 15_000;

fn seeds() -> RangeInclusive<u64> {
    let Ok(text) = std::env::var("CELERYGATE_LOSS_SEEDS") else { return DEFAULT_SEEDS };
    let (first, last) = text.split_once('-').unwrap_or((&text, &text));
    let number = |text: &str| text.parse().expect("a seed is a number");
    number(first)..=number(last)
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Replacement {
    None,
    /// The successor starts first, then the old VM gets a stop signal.
    Planned,
    /// The old VM is gone before its successor starts.
    Unplanned,
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Propose,
    /// The successor starts.
    Join,
    /// The old VM, which may be the leader, gets a stop signal.
    Signal {
        leads: bool,
    },
    /// The stop signal becomes known to the others.
    AnnounceLeaving,
    /// The old VM is gone.
    Leave {
        leads: bool,
    },
    /// A process ends at its next writes, which stay unsynced.
    KillInWrite {
        write: u64,
    },
    FailSync,
    /// All processes end, and restart with what the kernel holds.
    KillAll,
    /// All VMs lose power.
    PowerOff,
    Cut,
    HealCuts,
    LoseDisk {
        down_ms: u64,
    },
}

/// A drawn course of events and what of it has happened.
struct Play {
    cluster: Cluster,
    started_ms: u64,
    old: Option<usize>,
    has_left: bool,
    /// Disks lost so far, apart from the old VM's.
    lost_disk: Option<usize>,
    /// Time of the latest event after which a lost disk counts for [`CATCH_UP_MS`] more.
    unstable_until_ms: u64,
}

impl Play {
    fn now_ms(&self) -> u64 {
        self.cluster.clock.elapsed().as_millis() as u64
    }

    fn below(&mut self, below: u64) -> u64 {
        self.cluster.random_below(below)
    }

    fn chance(&mut self, one_in: u64) -> bool {
        self.below(one_in) == 0
    }

    fn drawn_vm(&mut self) -> usize {
        self.below(VOTERS as u64) as usize
    }

    fn disturb(&mut self, for_ms: u64) {
        self.unstable_until_ms = self.unstable_until_ms.max(self.now_ms() + for_ms);
    }

    /// Draws the events and their times in ms, relative to the start.
    fn draw_events(&mut self) -> Vec<(u64, Event)> {
        let kinds = [Replacement::None, Replacement::Planned, Replacement::Unplanned];
        let replacement = kinds[self.below(3) as usize];
        let mut events = Vec::new();
        let join_ms = 1_000 + self.below(2_000);
        let leads = self.chance(2);
        match replacement {
            Replacement::None => {}
            Replacement::Planned => {
                let signal_ms = join_ms + self.below(6_000);
                let known_ms = signal_ms + self.below(150);
                events.push((join_ms, Event::Join));
                events.push((signal_ms, Event::Signal { leads }));
                events.push((known_ms, Event::AnnounceLeaving));
                events.push((signal_ms + SHUTDOWN_MS, Event::Leave { leads }));
            }
            Replacement::Unplanned => {
                events.push((join_ms, Event::Leave { leads }));
                events.push((join_ms + 500 + self.below(1_500), Event::Join));
            }
        }
        for _ in 0..3 + self.below(8) {
            events.push((self.below(10_000), Event::Propose));
        }
        for _ in 0..self.below(3) {
            let write = self.below(4);
            events.push((self.below(9_000), Event::KillInWrite { write }));
        }
        if self.chance(6) {
            events.push((self.below(9_000), Event::FailSync));
        }
        if self.chance(5) {
            events.push((self.below(9_000), Event::KillAll));
        }
        if self.chance(6) {
            events.push((self.below(9_000), Event::PowerOff));
        }
        if self.chance(3) {
            let cut_ms = self.below(8_000);
            events.push((cut_ms, Event::Cut));
            events.push((cut_ms + 200 + self.below(4_000), Event::HealCuts));
        }
        if self.chance(4) {
            let down_ms = 100 + self.below(1_500);
            events.push((self.below(6_000), Event::LoseDisk { down_ms }));
        }
        events.sort_by_key(|(at, _)| *at);
        events
    }

    fn run_until_ms(&mut self, at_ms: u64) {
        let left_ms = (self.started_ms + at_ms).saturating_sub(self.now_ms());
        self.cluster.run(left_ms);
    }

    fn torn_write(&mut self) -> TornWrite {
        let number = self.below(1 << 20) as usize;
        match self.below(4) {
            0 => TornWrite::Keep,
            1 => TornWrite::Prefix(number),
            2 => TornWrite::ZeroSector(number),
            _ => TornWrite::Discard,
        }
    }

    /// Returns the VM that is replaced: a voter, because a learner that leaves stays listed.
    fn set_old(&mut self, leads: bool) -> usize {
        let first = self.drawn_vm();
        let mut voters = (0..VOTERS).map(|vm| (first + vm) % VOTERS);
        let drawn = voters.find(|vm| self.cluster.is_voter(*vm)).unwrap_or(first);
        let leader = self.cluster.leader().filter(|leader| leads && *leader < VOTERS);
        let old = *self.old.get_or_insert(leader.unwrap_or(drawn));
        if self.lost_disk == Some(old) {
            self.lost_disk = None;
        }
        old
    }

    fn leave(&mut self, leads: bool) {
        let old = self.set_old(leads);
        if !self.has_left {
            self.has_left = true;
            self.cluster.leave(old);
            self.disturb(0);
        }
    }

    /// Ends or cuts the power of all running VMs; the old VM does not return after its stop signal.
    fn stop_all(&mut self, wiped: &[usize], loses_power: bool) {
        if self.old.is_some() {
            self.leave(false);
        }
        for number in 0..self.cluster.vms.len() {
            if self.cluster.excluded_vms.contains(&cluster::vm_id(number)) {
                continue;
            }
            let down_ms = 300 + self.below(800);
            let torn_write = self.torn_write();
            if wiped.contains(&number) {
                self.cluster.wipe(number, down_ms);
            } else if loses_power {
                self.cluster.crash(number, torn_write, down_ms);
            } else {
                self.cluster.end_process(number, down_ms);
            }
        }
        // The running VMs hold in memory which VMs leave.
        self.cluster.leaving_vms.clear();
        self.disturb(1_100);
    }

    fn handle(&mut self, event: Event) {
        let leader = self.cluster.leader();
        println!("  {} ms: {event:?}, leader {leader:?}", self.now_ms() - self.started_ms);
        match event {
            Event::Propose => propose(&mut self.cluster),
            Event::Join => {
                self.cluster.join(VOTERS);
                self.disturb(0);
            }
            Event::Signal { leads } => {
                self.set_old(leads);
                // While the old VM stops, it counts as lost.
                self.disturb(0);
            }
            Event::AnnounceLeaving => {
                if let (Some(old), false) = (self.old, self.has_left) {
                    self.cluster.leaving_vms.insert(cluster::vm_id(old));
                }
            }
            Event::Leave { leads } => self.leave(leads),
            Event::KillInWrite { write } => {
                let vm = self.drawn_vm();
                if self.old != Some(vm) {
                    self.cluster.end_process_at_write(vm, write);
                    self.disturb(3_000);
                }
            }
            Event::FailSync => {
                let vm = self.drawn_vm();
                self.cluster.vms[vm].disk.fail_next_sync();
                self.disturb(3_000);
            }
            Event::KillAll => self.stop_all(&[], false),
            Event::PowerOff => self.stop_all(&[], true),
            Event::Cut => {
                let vm = self.drawn_vm();
                let others = 0..self.cluster.vms.len();
                self.cluster.cut_links.extend(others.flat_map(|other| [(vm, other), (other, vm)]));
                self.disturb(0);
            }
            Event::HealCuts => {
                self.cluster.cut_links.clear();
                self.disturb(0);
            }
            Event::LoseDisk { down_ms } => {
                let vm = self.drawn_vm();
                if self.lost_disks() == 0 && self.old != Some(vm) {
                    self.lost_disk = Some(vm);
                    self.cluster.wipe(vm, down_ms);
                    self.disturb(down_ms);
                }
            }
        }
    }

    /// Ends the processes of two followers while they write a command, and cuts off up to two other
    /// voters, so that the quorum needs the followers' unsynced entries.
    fn acknowledge_after_killed_writes(&mut self) {
        let Some(leader) = self.cluster.leader() else { return };
        let mut followers: Vec<usize> = (0..self.cluster.vms.len()).collect();
        followers.retain(|vm| *vm != leader && self.cluster.is_voter(*vm));
        for last in (1..followers.len()).rev() {
            let drawn = self.below(last as u64 + 1) as usize;
            followers.swap(last, drawn);
        }
        let cut_count = self.below(3) as usize;
        let killed = followers.split_off(followers.len().min(2));
        for vm in killed {
            let write = self.below(2);
            self.cluster.end_process_at_write(vm, write);
        }
        let others = 0..self.cluster.vms.len();
        for vm in followers.into_iter().take(cut_count) {
            self.cluster
                .cut_links
                .extend(others.clone().flat_map(|other| [(vm, other), (other, vm)]));
        }
        let before = self.cluster.accepted.len();
        propose(&mut self.cluster);
        for _ in 0..100 {
            if self.cluster.accepted.len() > before {
                break;
            }
            self.cluster.run(10);
        }
        let delay_ms = self.below(3) * 10;
        self.cluster.run(delay_ms);
    }

    /// Returns how many disks count as lost at this moment.
    fn lost_disks(&self) -> usize {
        let is_cut = !self.cluster.cut_links.is_empty();
        let is_missing = self.old.is_some() && self.cluster.vms[VOTERS].node.is_none();
        if !is_cut && !is_missing && self.now_ms() >= self.unstable_until_ms + CATCH_UP_MS {
            return 0;
        }
        usize::from(self.old.is_some()) + usize::from(self.lost_disk.is_some())
    }

    /// Draws the disks that are lost in the last fault.
    fn draw_wiped(&mut self) -> Vec<usize> {
        let count = (LOST_DISKS_MAX - self.lost_disks()).min(self.below(4) as usize);
        let mut wiped = Vec::new();
        while wiped.len() < count {
            let vm = self.below(self.cluster.vms.len() as u64) as usize;
            let is_excluded = self.cluster.excluded_vms.contains(&cluster::vm_id(vm));
            if !is_excluded && self.old != Some(vm) && !wiped.contains(&vm) {
                wiped.push(vm);
            }
        }
        wiped
    }

    /// Cuts the power of all VMs, ends the replacement and checks all acknowledged commands.
    fn finish(mut self) {
        let (wiped, now_ms) = (self.draw_wiped(), self.now_ms() - self.started_ms);
        println!("  {now_ms} ms: final fault, disks {wiped:?}, replaced {:?}", self.old);
        self.stop_all(&wiped, true);
        let has_joined = !self.cluster.excluded_vms.contains(&cluster::vm_id(VOTERS));
        if self.has_left && !has_joined {
            self.cluster.join(VOTERS);
        }
        if has_joined && !self.has_left {
            self.cluster.cut_links.clear();
            self.cluster.run(RECOVERY_MS);
            self.leave(false);
        }
        self.cluster.heal_and_check();
    }
}

fn play(seed: u64) {
    println!("seed {seed}");
    let mut cluster = group(seed);
    for _ in 0..cluster.random_below(9) {
        acknowledge(&mut cluster);
    }
    let started_ms = cluster.clock.elapsed().as_millis() as u64;
    let mut play = Play {
        cluster,
        started_ms,
        old: None,
        has_left: false,
        lost_disk: None,
        unstable_until_ms: 0,
    };
    let end_ms = 1_000 + play.below(13_000);
    for (at_ms, event) in play.draw_events() {
        if at_ms < end_ms {
            play.run_until_ms(at_ms);
            play.handle(event);
        }
    }
    play.run_until_ms(end_ms);
    match play.below(4) {
        0 => {}
        1 => {
            propose(&mut play.cluster);
            let delay_ms = play.below(120);
            play.cluster.run(delay_ms);
        }
        2 => play.acknowledge_after_killed_writes(),
        _ => {
            if play.cluster.cut_links.is_empty() {
                acknowledge(&mut play.cluster);
            }
        }
    }
    play.finish();
}

/// Guards against a combination of moments after which no voter remembers an acknowledged change or
/// evacuation: before, during and after the replacement of a voter, with unsynced writes.
#[test]
fn lose_power_drawn_moments() {
    let fails = |seed: &u64| std::panic::catch_unwind(|| play(*seed)).is_err();
    let failed: Vec<u64> = seeds().filter(fails).collect();
    assert!(failed.is_empty(), "seeds {failed:?}");
}

/// Guards against a group that is one voter short while a voter that is only cut off is replaced:
/// two disks that are lost at this moment leave two voters of four.
#[test]
fn lose_power_while_cut_voter_is_replaced() {
    for cut_ms in (2_300..3_000).step_by(20) {
        let mut cluster = group(cut_ms);
        acknowledge(&mut cluster);
        cluster.join(VOTERS);
        cluster.run(1_000);
        let leader = cluster.leader().expect("a leader");
        let mut others: Vec<usize> = (0..VOTERS).filter(|vm| *vm != leader).collect();
        let cut = others.remove(0);
        let links = (0..=VOTERS).flat_map(|other| [(cut, other), (other, cut)]);
        cluster.cut_links.extend(links);
        cluster.run(cut_ms);
        cluster.lose_power(&others[..LOST_DISKS_MAX], TornWrite::Discard);
        cluster.cut_links.clear();
        cluster.run_until("a leader is elected", |cluster| cluster.leader().is_some());
        cluster.run(RECOVERY_MS);
        let voter = (0..VOTERS).find(|vm| cluster.is_voter(*vm)).expect("a voter");
        cluster.leave(voter);
        cluster.heal_and_check();
    }
}
