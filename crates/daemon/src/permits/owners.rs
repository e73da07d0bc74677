//! Messages between the holders of permits and the owners that lease them.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Instant;

use celerygate_steering::slots::{SlotMessage, SlotResponse, SlotTarget};
use celerygate_steering::targets::{Target, TargetTable, distance};
use celerygate_types::wire::{Message, SlotReply, SlotRequest};
use celerygate_types::{Incarnation, RegionId, VmId};

use super::{dispatch, usable};
use crate::daemon::Daemon;
use crate::tables::Permits;
use crate::view::View;

/// Sends the requests for permits that are due.
pub fn send_slot_requests(daemon: &Arc<Daemon>) {
    let view = daemon.tables.view();
    let now = daemon.clock.now();
    let requests = {
        let targets = daemon.tables.targets.lock();
        let mut permits = daemon.tables.permits.lock();
        let wanted = wanted(daemon, &view, &targets, &permits, now);
        permits.poll(&wanted, now)
    };
    for (region, request) in requests {
        let owners = &view.configuration.slot_owners;
        match owners.iter().find(|owner| owner.region == region).map(|owner| &owner.vm) {
            Some(owner) if *owner == daemon.own_vm => {
                handle_request(daemon, &daemon.own_vm, daemon.incarnation, &request);
            }
            Some(owner) => {
                daemon.peers.send(owner, Message::SlotRequest(request));
            }
            None => {}
        }
    }
}

/// Returns which targets the waiting requests want permits for: the nearest first, each up to its
/// slots, and one more target's worth than there are requests, since others may hold some.
fn wanted(
    daemon: &Daemon,
    view: &View,
    targets: &TargetTable,
    permits: &Permits,
    now: Instant,
) -> HashMap<RegionId, Vec<(SlotTarget, u32)>> {
    let mut wanted: HashMap<RegionId, Vec<(SlotTarget, u32)>> = HashMap::new();
    for (region, key) in permits.retry_demand() {
        add_want(&mut wanted, region, key, 1);
    }
    for service in &view.configuration.services {
        let service = &service.service;
        let mut open = u32::try_from(permits.waiting(service).get()).unwrap_or(u32::MAX);
        if open == 0 {
            continue;
        }
        let mut usable: Vec<&Target> = usable(daemon, view, targets, service, now).collect();
        usable.sort_by_key(|target| {
            let held = permits.slot_usage(service, target).held;
            (distance(&daemon.location, target), held >= target.slots)
        });
        for target in usable {
            if open == 0 {
                break;
            }
            let held = permits.slot_usage(service, target).held;
            let count = target.slots.saturating_sub(held).get().min(open);
            if count > 0 {
                open -= count;
                let key = (service.clone(), target.target.clone());
                add_want(&mut wanted, &target.region, &key, count);
            }
        }
    }
    wanted
}

/// Adds to the number of permits that are wanted of a target.
fn add_want(
    wanted: &mut HashMap<RegionId, Vec<(SlotTarget, u32)>>,
    region: &RegionId,
    key: &SlotTarget,
    count: u32,
) {
    let wants = wanted.entry(region.clone()).or_default();
    match wants.iter_mut().find(|(known, _)| known == key) {
        Some((_, sum)) => *sum += count,
        None => wants.push((key.clone(), count)),
    }
}

/// Answers a request for permits as the owner of a region.
pub fn handle_request(
    daemon: &Arc<Daemon>,
    from: &VmId,
    incarnation: Incarnation,
    request: &SlotRequest,
) {
    let now = daemon.clock.now();
    let answered = {
        let mut permits = daemon.tables.permits.lock();
        let owner = permits.owner(request.epoch);
        owner.map(|owner| owner.handle_request(from, incarnation, request, now))
    };
    match answered {
        Some(SlotResponse::Send(messages)) => send_replies(daemon, messages),
        Some(SlotResponse::Ignore(reason)) => {
            log::debug!(peer:% = from, reason:% = reason; "request for permits ignored");
        }
        None => log::debug!(peer:% = from, epoch = request.epoch; "not the owner of these permits"),
    }
}

fn send_replies(daemon: &Arc<Daemon>, messages: Vec<SlotMessage>) {
    for SlotMessage { vm, incarnation, reply } in messages {
        if vm == daemon.own_vm {
            handle_reply(daemon, &reply);
        } else {
            daemon.peers.send_to_incarnation(&vm, incarnation, Message::SlotReply(reply));
        }
    }
}

/// Takes a message of an owner.
pub fn handle_reply(daemon: &Arc<Daemon>, reply: &SlotReply) {
    let accepted = daemon.tables.permits.lock().accept(reply, daemon.clock.now());
    if accepted {
        dispatch(daemon);
    }
}

/// Keeps owners and holders in step with configuration and targets, and sends what is due.
pub fn tick(daemon: &Arc<Daemon>) {
    let view = daemon.tables.view();
    let now = daemon.clock.now();
    let fresh_until = daemon.fresh_until();
    let messages = {
        let targets = daemon.tables.targets.lock();
        let mut permits = daemon.tables.permits.lock();
        let configuration = &view.configuration;
        let vms = configuration.members.iter().map(|member| &member.vm);
        permits.set_owners(&daemon.own_vm, &configuration.slot_owners, vms, fresh_until, now);
        permits.set_targets(&targets, now);
        permits.tick_owners(now)
    };
    send_replies(daemon, messages);
    send_slot_requests(daemon);
    dispatch(daemon);
}
