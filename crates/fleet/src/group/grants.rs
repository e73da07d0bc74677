//! The leader's side of rate limiting: it owns the token buckets and grants tokens to the VMs.

use std::time::Instant;

use celerygate_steering::grants::{GrantOwner, GrantResponse, Limit};
use celerygate_types::wire::{FleetMessage, FleetSettings, GrantRequest, Message};
use celerygate_types::{Incarnation, OrganisationId, VmId};

use super::ReplicaDriver;
use crate::daemon::quota_window;
use crate::tables::Content;

impl ReplicaDriver<'_> {
    pub(super) fn configure_grants(&mut self) {
        let Some(grants) = &mut self.grants else { return };
        if let Some(content) = self.context.tables.content() {
            let limits = limits_per_window(&self.context.settings, &content);
            grants.configure(limits, self.context.clock.now());
        }
    }

    /// Returns the grant owner while this VM holds the lease. It is created right after the
    /// election, because an owner that has observed a full window grants tokens in advance.
    pub(super) fn grant_owner(&mut self, now: Instant) -> Option<&mut GrantOwner> {
        let replica = self.node.replica();
        let lease_end = replica.lease_end().filter(|end| now < *end)?;
        let term = replica.term();
        let is_current = self.grants.as_ref().is_some_and(|grants| grants.term() == term);
        if !is_current {
            let content = self.context.tables.content()?;
            let vms = (self.callbacks.entry_vms)();
            let limits = limits_per_window(&self.context.settings, &content);
            self.grants = Some(GrantOwner::new(term, &vms, limits, lease_end, now));
        }
        let grants = self.grants.as_mut()?;
        grants.extend_lease(lease_end);
        Some(grants)
    }

    pub(super) fn grant(&mut self, vm: &VmId, incarnation: Incarnation, request: &GrantRequest) {
        let now = self.context.clock.now();
        let Some(grants) = self.grant_owner(now) else { return };
        match grants.handle_request(vm, incarnation, request, now) {
            GrantResponse::Reply(reply) => {
                (self.callbacks.send)(vm, FleetMessage::Agreement(Message::GrantReply(reply)));
            }
            GrantResponse::Ignore(reason) => {
                log::debug!(vm = vm.as_str(), reason:% = reason; "ignored token request");
            }
        }
    }
}

/// Returns the organisations' limits per quota window.
fn limits_per_window(settings: &FleetSettings, content: &Content) -> Vec<(OrganisationId, Limit)> {
    let quota = quota_window(settings);
    content.routing.limits().map(|(id, limit)| (id, limit.per_window(&quota))).collect()
}
