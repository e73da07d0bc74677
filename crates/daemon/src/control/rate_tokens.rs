//! Leases rate tokens from the leader's token buckets to the VMs.

use std::sync::Arc;

use celerygate_steering::grants::{GrantOwner, GrantResponse, Limit};
use celerygate_types::wire::{Configuration, GrantReply, GrantRequest, Message};
use celerygate_types::{Incarnation, OrganisationId, VmId};

use super::Control;
use crate::daemon::Daemon;
use crate::permits;

/// Returns the rate limit of each organisation.
pub fn organisation_limits(
    configuration: &Configuration,
) -> impl Iterator<Item = (OrganisationId, Limit)> {
    configuration.organisations.iter().map(|organisation| {
        let limit = Limit {
            rate: organisation.rate_requests_per_s,
            burst: organisation.burst_requests,
            window: None,
        };
        (organisation.organisation.clone(), limit)
    })
}

/// Updates the token buckets with the current lease and configuration; creates them if needed.
pub fn update_grant_owner(daemon: &Daemon, control: &mut Control) {
    let now = daemon.clock.now();
    let Control { configuration, control_vm: Some(vm), .. } = control else { return };
    let Some(lease_until) = vm.node.replica().lease_end() else { return };
    let Some(leadership) = &mut vm.leadership else { return };
    match &mut leadership.grant_owner {
        Some(owner) => {
            owner.extend_lease(lease_until);
            owner.configure(organisation_limits(configuration), now);
        }
        None => {
            let vms = configuration.members.iter().map(|member| &member.vm);
            let limits = organisation_limits(configuration);
            leadership.grant_owner =
                Some(GrantOwner::new(leadership.term, vms, limits, lease_until, now));
        }
    }
}

/// Sends the due request for tokens to the leader, if any.
pub fn request_tokens(daemon: &Arc<Daemon>) {
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
        answer_token_request(daemon, &mut control, &own, daemon.incarnation, &request);
        return;
    }
    if let Some(leader) = &control.leader {
        daemon.peers.send(leader, Message::GrantRequest(request));
    }
}

/// Answers a request for tokens as the owner of the token buckets.
pub fn answer_token_request(
    daemon: &Arc<Daemon>,
    control: &mut Control,
    from: &VmId,
    incarnation: Incarnation,
    request: &GrantRequest,
) {
    let now = daemon.clock.now();
    let leadership = control.control_vm.as_mut().and_then(|vm| vm.leadership.as_mut());
    let Some(owner) = leadership.and_then(|state| state.grant_owner.as_mut()) else { return };
    match owner.handle_request(from, incarnation, request, now) {
        GrantResponse::Reply(reply) if *from == daemon.own_vm => accept_tokens(daemon, &reply),
        GrantResponse::Reply(reply) => {
            // A restarted daemon numbers its requests from the start again, so it must not accept
            // a reply to its previous incarnation.
            daemon.peers.send_to_incarnation(from, incarnation, Message::GrantReply(reply));
        }
        GrantResponse::Ignore(reason) => {
            log::debug!(peer:% = from, reason:% = reason; "token request ignored");
        }
    }
}

/// Adds the tokens of the owner's reply and starts the requests that wait for them.
pub fn accept_tokens(daemon: &Arc<Daemon>, reply: &GrantReply) {
    let accepted = daemon.tables.grants.lock().accept(reply, daemon.clock.now());
    if accepted {
        permits::dispatch(daemon);
    }
}
