//! Links between regions: pacing the traffic that crosses them and allocating their caps.
//!
//! A VM paces the request bodies that it sends to targets in another region and the response bodies
//! that it reads from them. It reads a response no faster than its budget allows; the receive
//! buffer of such a connection is bounded, so that TCP flow control slows down the target. The
//! allocator of a link direction is the slot owner of the sending region; it leases shares of the
//! cap to all VMs that cause traffic in that direction.

mod body;
mod table;

use std::collections::HashMap;
use std::sync::Arc;

use celerygate_steering::links::{LinkLease, LinkLeaseRequest};
use celerygate_types::wire::{LinkBudget, LinkQuestion, LinkReply, LinkRequest, Message};
use celerygate_types::{Incarnation, RegionId, VmId};

pub use body::PacedBody;
pub use table::{LinkKey, Links};

use crate::daemon::Daemon;

/// Updates the budgets from the configuration and sends the lease requests that are due.
pub fn tick(daemon: &Arc<Daemon>) {
    let view = daemon.tables.view();
    let now = daemon.clock.now();
    let configuration = &view.configuration;
    let lease_requests = {
        let mut links = daemon.tables.links.lock();
        links.configure(daemon, configuration, now);
        links.due_requests(now)
    };
    let mut by_allocator: HashMap<&VmId, Vec<LinkQuestion>> = HashMap::new();
    for question in lease_requests {
        let owners = &configuration.slot_owners;
        if let Some(owner) = owners.iter().find(|owner| owner.region == question.from) {
            by_allocator.entry(&owner.vm).or_default().push(question);
        }
    }
    for (allocator, questions) in by_allocator {
        let request = LinkRequest { questions };
        if *allocator == daemon.own_vm {
            handle_request(daemon, &daemon.own_vm, daemon.incarnation, &request);
        } else {
            daemon.peers.send(allocator, Message::LinkRequest(request));
        }
    }
}

/// Handles a lease request as the allocator of some link directions.
pub fn handle_request(
    daemon: &Arc<Daemon>,
    from: &VmId,
    incarnation: Incarnation,
    request: &LinkRequest,
) {
    // Only with a current configuration is it certain that no other allocator has been assigned.
    if !daemon.is_fresh() {
        return;
    }
    let now = daemon.clock.now();
    let budgets = {
        let mut links = daemon.tables.links.lock();
        let mut budgets = Vec::with_capacity(request.questions.len());
        for question in &request.questions {
            let key = (question.from.clone(), question.to.clone());
            let Some(allocator) = links.allocator(&key) else { continue };
            let lease = allocator.grant(&lease_request(from, incarnation, question), now);
            budgets.push(link_budget(&key, &lease));
        }
        budgets
    };
    let reply = LinkReply { budgets };
    if *from == daemon.own_vm {
        handle_reply(daemon, &reply);
    } else {
        daemon.peers.send_to_incarnation(from, incarnation, Message::LinkReply(reply));
    }
}

fn lease_request(vm: &VmId, incarnation: Incarnation, question: &LinkQuestion) -> LinkLeaseRequest {
    LinkLeaseRequest {
        vm: vm.clone(),
        incarnation,
        sequence: question.sequence,
        applied_sequence: question.applied_sequence,
        leased: question.held_bytes_per_s,
        used: question.used_bytes_per_s,
        is_limited: question.is_limited,
    }
}

fn link_budget(key: &LinkKey, lease: &LinkLease) -> LinkBudget {
    LinkBudget {
        from: key.0.clone(),
        to: key.1.clone(),
        epoch: lease.epoch,
        sequence: lease.sequence,
        rate_bytes_per_s: lease.rate,
    }
}

/// Applies the leases in a reply of an allocator.
pub fn handle_reply(daemon: &Daemon, reply: &LinkReply) {
    let now = daemon.clock.now();
    let mut links = daemon.tables.links.lock();
    for budget in &reply.budgets {
        let key = (budget.from.clone(), budget.to.clone());
        let LinkBudget { epoch, sequence, rate_bytes_per_s: rate, .. } = *budget;
        links.apply_lease(&key, &LinkLease { epoch, sequence, rate }, now);
    }
}

/// Returns the link direction of responses from a region, if the link has a cap.
pub fn inbound(daemon: &Daemon, region: &RegionId) -> Option<LinkKey> {
    capped_link(daemon, region, &daemon.location.region)
}

/// Returns the link direction of requests to a region, if the link has a cap.
pub fn outbound(daemon: &Daemon, region: &RegionId) -> Option<LinkKey> {
    capped_link(daemon, &daemon.location.region, region)
}

fn capped_link(daemon: &Daemon, from: &RegionId, to: &RegionId) -> Option<LinkKey> {
    if from == to {
        return None;
    }
    let key = (from.clone(), to.clone());
    daemon.tables.links.lock().is_capped(&key).then_some(key)
}
