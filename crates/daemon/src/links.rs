//! Links between regions: pacing what crosses them and dividing their caps.
//!
//! A VM paces the request bodies that it sends to targets of another region and the response bodies
//! that it reads from them. It reads a response no faster than its budget; the receive buffer of
//! such a connection is bounded, so that flow control slows the target down. The slot owner of the
//! sending region divides a direction between all VMs that cause traffic in it.

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

/// Keeps budgets in step with the configuration, and asks the dividers when it is time.
pub fn tick(daemon: &Arc<Daemon>) {
    let view = daemon.tables.view();
    let now = daemon.clock.now();
    let configuration = &view.configuration;
    let questions = {
        let mut links = daemon.tables.links.lock();
        links.configure(daemon, configuration, now);
        links.ask(now)
    };
    let mut by_divider: HashMap<&VmId, Vec<LinkQuestion>> = HashMap::new();
    for question in questions {
        let owners = &configuration.slot_owners;
        if let Some(owner) = owners.iter().find(|owner| owner.region == question.from) {
            by_divider.entry(&owner.vm).or_default().push(question);
        }
    }
    for (divider, questions) in by_divider {
        let request = LinkRequest { questions };
        if *divider == daemon.own_vm {
            handle_request(daemon, &daemon.own_vm, daemon.incarnation, &request);
        } else {
            daemon.peers.send(divider, Message::LinkRequest(request));
        }
    }
}

/// Answers a request for budgets as the divider of some directions.
pub fn handle_request(
    daemon: &Arc<Daemon>,
    from: &VmId,
    incarnation: Incarnation,
    request: &LinkRequest,
) {
    // Only a divider whose configuration is current knows that no other one was named.
    if !daemon.is_fresh() {
        return;
    }
    let now = daemon.clock.now();
    let budgets = {
        let mut links = daemon.tables.links.lock();
        let mut budgets = Vec::with_capacity(request.questions.len());
        for question in &request.questions {
            let key = (question.from.clone(), question.to.clone());
            let Some(divider) = links.divider(&key) else { continue };
            let lease = divider.grant(&ask(from, incarnation, question), now);
            budgets.push(budget(&key, &lease));
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

fn ask(vm: &VmId, incarnation: Incarnation, question: &LinkQuestion) -> LinkLeaseRequest {
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

fn budget(key: &LinkKey, lease: &LinkLease) -> LinkBudget {
    LinkBudget {
        from: key.0.clone(),
        to: key.1.clone(),
        epoch: lease.epoch,
        sequence: lease.sequence,
        rate_bytes_per_s: lease.rate,
    }
}

/// Takes budgets from a divider.
pub fn handle_reply(daemon: &Daemon, reply: &LinkReply) {
    let now = daemon.clock.now();
    let mut links = daemon.tables.links.lock();
    for budget in &reply.budgets {
        let key = (budget.from.clone(), budget.to.clone());
        let LinkBudget { epoch, sequence, rate_bytes_per_s: rate, .. } = *budget;
        links.accept(&key, &LinkLease { epoch, sequence, rate }, now);
    }
}

/// Returns the direction of responses from a region, if they cross a link with a cap.
pub fn inbound(daemon: &Daemon, region: &RegionId) -> Option<LinkKey> {
    direction(daemon, region, &daemon.location.region)
}

/// Returns the direction of requests to a region, if they cross a link with a cap.
pub fn outbound(daemon: &Daemon, region: &RegionId) -> Option<LinkKey> {
    direction(daemon, &daemon.location.region, region)
}

fn direction(daemon: &Daemon, from: &RegionId, to: &RegionId) -> Option<LinkKey> {
    if from == to {
        return None;
    }
    let key = (from.clone(), to.clone());
    daemon.tables.links.lock().is_capped(&key).then_some(key)
}
