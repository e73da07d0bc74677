//! Losses in the cluster: processes that end, power, disks and VMs that leave.

use std::time::Duration;

use celerygate_control::membership;
use celerygate_control::storage::memory::{MemoryDisk, TornWrite};
use celerygate_types::wire::Member;

use super::{Cluster, vm_id};

/// Time after a loss of power after which all VMs restart.
const POWER_OFF_MS: u64 = 700;

impl Cluster {
    /// Cuts a VM's power; it restarts after `down_ms`.
    pub fn crash(&mut self, number: usize, torn_write: TornWrite, down_ms: u64) {
        self.vms[number].disk.crash(torn_write);
        self.stop(number, down_ms);
    }

    fn stop(&mut self, number: usize, down_ms: u64) {
        let restart_at = self.clock.elapsed() + Duration::from_millis(down_ms);
        let vm = &mut self.vms[number];
        vm.node = None;
        vm.restart_at = Some(restart_at);
        self.proposals.retain(|(proposer, ..)| *proposer != number);
    }

    /// Makes a VM crash at a later write.
    pub fn crash_at_write(
        &mut self,
        number: usize,
        before: u64,
        takes_effect: bool,
        torn_write: TornWrite,
    ) {
        self.vms[number].disk.stop_at_write(before, takes_effect);
        self.vms[number].torn_write = Some(torn_write);
    }

    /// Ends a VM's process at a later write, which takes effect but stays unsynced.
    pub fn end_process_at_write(&mut self, number: usize, before: u64) {
        self.vms[number].disk.stop_at_write(before, true);
        self.vms[number].torn_write = None;
    }

    /// Ends only the process at the next failed write, and keeps what it left unsynced.
    pub fn keep_unsynced_writes(&mut self, number: usize) {
        self.vms[number].torn_write = None;
    }

    pub(super) fn crash_after_failed_write(&mut self, number: usize) {
        match self.vms[number].torn_write.replace(TornWrite::Discard) {
            Some(torn_write) => {
                self.vms[number].torn_write = Some(torn_write);
                self.crash(number, torn_write, 200);
            }
            None => self.end_process(number, 200),
        }
    }

    /// Replaces the disk by an empty one or by an earlier one of the VM, unless too few intact
    /// voters would remain. Membership changes in the log of any VM count, because they may still
    /// be committed.
    pub fn lose_disk(&mut self, number: usize) -> bool {
        let Some(members) = self.committed_members() else { return false };
        let keeps_quorum = |members: &[Member]| {
            let is_intact =
                |voter: &&Member| voter.vm != self.vms[number].id && self.has_recorded_store(voter);
            let intact = membership::voters(members).filter(is_intact).count();
            membership::voters(members).count() >= 3 && intact >= membership::quorum(members)
        };
        let in_use = self.vms.iter().filter(|vm| !self.excluded_vms.contains(&vm.id));
        let mut known = in_use.map(|vm| &vm.members).filter(|known| !known.is_empty());
        if !keeps_quorum(&members) || !known.all(|members| keeps_quorum(members)) {
            return false;
        }
        self.crash(number, TornWrite::Discard, 300);
        let reuses_previous = self.random_below(3) == 0;
        let vm = &mut self.vms[number];
        let old = if reuses_previous { vm.previous_disks.pop() } else { None };
        let lost = std::mem::replace(&mut vm.disk, old.unwrap_or_default());
        vm.previous_disks.push(lost);
        vm.is_first_start = false;
        vm.store_id = None;
        vm.members.clear();
        true
    }

    /// Returns whether a VM is a voter with its present disk.
    pub fn is_voter(&self, number: usize) -> bool {
        let vm = &self.vms[number];
        self.committed_members().zip(vm.store_id).is_some_and(|(members, store_id)| {
            membership::counts_as_voter(&members, &vm.id, store_id)
        })
    }

    fn has_recorded_store(&self, member: &Member) -> bool {
        let Some(vm) = self.vms.iter().find(|vm| vm.id == member.vm) else { return false };
        !self.excluded_vms.contains(&member.vm) && vm.store_id == member.store_id
    }

    pub fn restart(&mut self, number: usize) {
        self.vms[number].restart_at = Some(self.clock.elapsed());
    }

    /// Moves the first start of a VM; expected before the cluster runs.
    pub fn start_after(&mut self, number: usize, ms: u64) {
        self.vms[number].restart_at = Some(Duration::from_millis(ms));
    }

    pub fn pause(&mut self, number: usize, ms: u64) {
        self.vms[number].paused_until = self.clock.elapsed() + Duration::from_millis(ms);
    }

    /// Ends a process, which leaves unsynced writes in the page cache; it restarts after `down_ms`.
    pub fn end_process(&mut self, number: usize, down_ms: u64) {
        self.vms[number].disk.end_process();
        self.stop(number, down_ms);
    }

    /// Replaces a VM's disk by an empty one; the VM restarts after `down_ms`.
    pub fn wipe(&mut self, number: usize, down_ms: u64) {
        self.crash(number, TornWrite::Discard, down_ms);
        let vm = &mut self.vms[number];
        vm.disk = MemoryDisk::new();
        vm.is_first_start = false;
        vm.store_id = None;
        vm.members.clear();
    }

    /// Cuts the power of all running VMs. Those in `wiped` return with empty disks.
    pub fn lose_power(&mut self, wiped: &[usize], torn_write: TornWrite) {
        for number in 0..self.vms.len() {
            if wiped.contains(&number) {
                self.wipe(number, POWER_OFF_MS);
            } else if !self.excluded_vms.contains(&vm_id(number)) {
                self.crash(number, torn_write, POWER_OFF_MS);
            }
        }
    }

    /// Adds a VM with an empty disk to the group.
    pub fn join(&mut self, number: usize) {
        self.excluded_vms.remove(&vm_id(number));
        self.restart(number);
    }

    /// Stops a VM for good.
    pub fn leave(&mut self, number: usize) {
        self.crash(number, TornWrite::Discard, u64::from(u32::MAX));
        self.excluded_vms.insert(vm_id(number));
    }
}
