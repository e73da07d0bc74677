//! Rate tokens between the owner of the buckets and this VM.

use std::sync::Arc;

use celerygate_steering::grants::{GrantOwner, GrantResponse, Limit};
use celerygate_types::wire::{Configuration, GrantReply, GrantRequest, Message};
use celerygate_types::{Incarnation, OrganisationId, VmId};

use super::Control;
use crate::daemon::Daemon;
use crate::permits;

/// Returns the rate and burst of each organisation.
pub fn limits(configuration: &Configuration) -> impl Iterator<Item = (OrganisationId, Limit)> {
    configuration.organisations.iter().map(|organisation| {
        let limit = Limit {
            rate: organisation.rate_requests_per_s,
            burst: organisation.burst_requests,
            window: None,
        };
        (organisation.organisation.clone(), limit)
    })
}

/// Keeps the owner of the buckets in step with lease and configuration.
pub fn maintain_owner(daemon: &Daemon, control: &mut Control) {
    let now = daemon.clock.now();
    let Control { configuration, vm: Some(vm), .. } = control else { return };
    let Some(lease_until) = vm.node.replica().lease_end() else { return };
    let Some(leading) = &mut vm.leading else { return };
    match &mut leading.owner {
        Some(owner) => {
            owner.extend_lease(lease_until);
            owner.configure(limits(configuration), now);
        }
        None => {
            let vms = configuration.members.iter().map(|member| &member.vm);
            let limits = limits(configuration);
            leading.owner = Some(GrantOwner::new(leading.term, vms, limits, lease_until, now));
        }
    }
}

/// Sends the request for tokens that is due, if any.
pub fn poll_owner(daemon: &Arc<Daemon>) {
    let now = daemon.clock.now();
    let mut control = daemon.tables.control.lock();
    let request = {
        let permits = daemon.tables.permits.lock();
        let waiting = |id: &OrganisationId| permits.queue.waiting_for_tokens(id);
        daemon.tables.grants.lock().poll(waiting, now)
    };
    let Some(request) = request else { return };
    if control.is_leading(now) {
        let own = daemon.own_vm.clone();
        answer(daemon, &mut control, &own, daemon.incarnation, &request);
        return;
    }
    if let Some(leader) = &control.leader {
        daemon.peers.send(leader, Message::GrantRequest(request));
    }
}

/// Answers a request for tokens as the owner of the buckets.
pub fn answer(
    daemon: &Arc<Daemon>,
    control: &mut Control,
    from: &VmId,
    incarnation: Incarnation,
    request: &GrantRequest,
) {
    let now = daemon.clock.now();
    let leading = control.vm.as_mut().and_then(|vm| vm.leading.as_mut());
    let Some(owner) = leading.and_then(|leading| leading.owner.as_mut()) else { return };
    match owner.handle_request(from, incarnation, request, now) {
        GrantResponse::Reply(reply) if *from == daemon.own_vm => accept(daemon, &reply),
        GrantResponse::Reply(reply) => {
            // A later life counts its requests anew and must not take tokens of an earlier one.
            daemon.peers.send_to_incarnation(from, incarnation, Message::GrantReply(reply));
        }
        GrantResponse::Ignore(reason) => {
            log::debug!(peer:% = from, reason:% = reason; "request for tokens ignored");
        }
    }
}

/// Takes tokens from the owner's reply and wakes the requests that wait for them.
pub fn accept(daemon: &Arc<Daemon>, reply: &GrantReply) {
    let accepted = daemon.tables.grants.lock().accept(reply, daemon.clock.now());
    if accepted {
        permits::dispatch(daemon);
    }
}
