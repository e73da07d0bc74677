//! Membership of the control group: VMs that join and the replacement of lost VMs.

use anyhow::Result;
use celerygate_control::membership::{self, GroupSize};
use celerygate_control::replica::Input;
use celerygate_types::wire::{
    Command, DaemonRecord, Member, MemberRole, MembershipChange, VmState,
};
use celerygate_types::{LogIndex, VmId};

use super::ReplicaDriver;

impl ReplicaDriver<'_> {
    pub(super) fn join(&mut self, record: DaemonRecord, store_id: u64) {
        let recorded = membership::find(self.node.replica().members(), &record.vm);
        let joins = recorded.is_none() && record.state != VmState::Leaving;
        if self.node.replica().is_leader() && joins {
            self.joining.insert(record.vm.clone(), member(&record, store_id));
        }
    }

    pub(super) fn voter_count(&self) -> usize {
        membership::voters(self.node.replica().members()).count()
    }

    /// Returns the voters, none before this member has an entry of the group: founders that only
    /// intend to create a group confirm nothing for it.
    pub(super) fn known_voters(&self) -> Vec<VmId> {
        let replica = self.node.replica();
        if replica.last_index() == LogIndex::ZERO {
            return Vec::new();
        }
        membership::voters(replica.members()).map(|voter| voter.vm.clone()).collect()
    }

    pub(super) fn is_leaving(&self, vm: &VmId) -> bool {
        let tables = &self.context.tables;
        if *vm == self.context.settings.vm {
            return tables.state() == VmState::Leaving;
        }
        let daemons = tables.daemons.lock();
        daemons.known.get(vm).is_some_and(|known| known.record.state == VmState::Leaving)
    }

    pub(super) fn change_members(&mut self) -> Result<()> {
        if !self.node.replica().is_leader() {
            self.joining.clear();
            return Ok(());
        }
        let now = self.context.clock.now();
        let size = GroupSize::for_lost_disks(self.context.settings.lost_disks_max as usize);
        let replica = self.node.replica();
        if !replica.can_change_members() {
            return Ok(());
        }
        let next = size.next_change(
            replica.members(),
            replica.next_membership_change(now),
            |vm| replica.time_since_reply(vm, now),
            |vm| self.is_leaving(vm),
        );
        let change = match (next, self.joining.pop_first()) {
            (Some(change), _) => change,
            (None, Some((_, member))) => MembershipChange::AddLearner(member),
            (None, None) => return Ok(()),
        };
        log::info!(change:? = change; "proposing membership change");
        self.current_proposal = None;
        self.handle(Input::Propose(Command::Membership(change)))
    }
}

fn member(record: &DaemonRecord, store_id: u64) -> Member {
    Member {
        vm: record.vm.clone(),
        region: record.region.clone(),
        data_centre: record.data_centre.clone(),
        role: MemberRole::Learner,
        store_id: Some(store_id),
        callers_address: Default::default(),
        operators_address: Default::default(),
        peer_address: Default::default(),
    }
}
