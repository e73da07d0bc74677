//! Messages between the holders of slot permits and the owners that lease them.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Instant;

use celerygate_steering::slots::{SlotMessage, SlotResponse, SlotTarget};
use celerygate_steering::targets::{Target, TargetTable, distance};
use celerygate_types::wire::{Message, SlotReply, SlotRequest};
use celerygate_types::{Incarnation, RegionId, VmId};

use super::{dispatch, usable_targets};
use crate::daemon::Daemon;
use crate::tables::Permits;
use crate::view::View;

/// Sends the slot requests that are due.
pub fn send_slot_requests(daemon: &Arc<Daemon>) {
    let view = daemon.tables.view();
    let now = daemon.clock.now();
    let requests = {
        let targets = daemon.tables.targets.lock();
        let mut permits = daemon.tables.permits.lock();
        let demand = permit_demand(daemon, &view, &targets, &permits, now);
        permits.poll(&demand, now)
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

/// Returns the permits to request from each region, for retries and for the requests that wait for
/// a slot. Each waiting request adds one permit, of the nearest target with slots that this VM does
/// not hold.
fn permit_demand(
    daemon: &Daemon,
    view: &View,
    targets: &TargetTable,
    permits: &Permits,
    now: Instant,
) -> HashMap<RegionId, Vec<(SlotTarget, u32)>> {
    let mut demand: HashMap<RegionId, Vec<(SlotTarget, u32)>> = HashMap::new();
    for (region, key) in permits.retry_demand() {
        add_demand(&mut demand, region, key, 1);
    }
    for service in &view.configuration.services {
        let service = &service.service;
        let mut unassigned = u32::try_from(permits.waiting(service).get()).unwrap_or(u32::MAX);
        if unassigned == 0 {
            continue;
        }
        let mut usable: Vec<&Target> =
            usable_targets(daemon, view, targets, service, now).collect();
        usable.sort_by_key(|target| {
            let held = permits.slot_usage(service, target).held;
            (distance(&daemon.location, target), held >= target.slots)
        });
        for target in usable {
            if unassigned == 0 {
                break;
            }
            let held = permits.slot_usage(service, target).held;
            let count = target.slots.saturating_sub(held).get().min(unassigned);
            if count > 0 {
                unassigned -= count;
                let key = (service.clone(), target.target.clone());
                add_demand(&mut demand, &target.region, &key, count);
            }
        }
    }
    demand
}

/// Adds `count` to the demand for permits of a target.
fn add_demand(
    demand: &mut HashMap<RegionId, Vec<(SlotTarget, u32)>>,
    region: &RegionId,
    key: &SlotTarget,
    count: u32,
) {
    let region_demand = demand.entry(region.clone()).or_default();
    match region_demand.iter_mut().find(|(known, _)| known == key) {
        Some((_, sum)) => *sum += count,
        None => region_demand.push((key.clone(), count)),
    }
}

/// Handles a slot request as the owner of a region.
pub fn handle_request(
    daemon: &Arc<Daemon>,
    from: &VmId,
    incarnation: Incarnation,
    request: &SlotRequest,
) {
    let now = daemon.clock.now();
    let response = {
        let mut permits = daemon.tables.permits.lock();
        let owner = permits.owner(request.epoch);
        owner.map(|owner| owner.handle_request(from, incarnation, request, now))
    };
    match response {
        Some(SlotResponse::Send(messages)) => send_replies(daemon, messages),
        Some(SlotResponse::Ignore(reason)) => {
            log::debug!(peer:% = from, reason:% = reason; "slot request ignored");
        }
        None => log::debug!(
            peer:% = from, epoch = request.epoch;
            "slot request ignored: this VM is not the owner"
        ),
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

/// Handles a message of an owner.
pub fn handle_reply(daemon: &Arc<Daemon>, reply: &SlotReply) {
    let accepted = daemon.tables.permits.lock().accept(reply, daemon.clock.now());
    if accepted {
        dispatch(daemon);
    }
}

/// Updates owners and holders from the configuration and the targets, and sends the messages that
/// are due.
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
