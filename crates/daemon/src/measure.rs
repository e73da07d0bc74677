//! Collects the load of regions, links, services and targets as known to this daemon.

use std::time::{Duration, Instant};

use celerygate_types::measurements::{
    LinkUsage, Measurements, RegionLoad, ServiceRegionLoad, TargetCapacity,
};
use celerygate_types::wire::{Configuration, LinkLoad, Member, ServiceLoad};
use celerygate_types::{RegionId, VmId};

use crate::daemon::Daemon;
use crate::tables::{HEARTBEAT_TIMEOUT, PeerHeartbeats};

/// Collects the measurements from heartbeats, announcements and this daemon's own load.
pub fn measurements(daemon: &Daemon, configuration: &Configuration) -> Measurements {
    let now = daemon.clock.now();
    let mut measured = Measurements::default();
    {
        let peer_heartbeats = daemon.tables.peer_heartbeats.lock();
        for member in configuration.members.iter().filter(|member| member.vm != daemon.own_vm) {
            add_peer(&mut measured, &peer_heartbeats, member, now);
        }
    }
    for link in daemon.tables.links.lock().loads() {
        add_link(&mut measured, &link, Duration::ZERO);
    }
    for load in daemon.loads() {
        add_load(&mut measured, &daemon.location.region, &load, Duration::ZERO);
    }
    add_targets(&mut measured, daemon, now);
    for link in &configuration.links {
        // A link without reported use carries no traffic; its age is that of the sending region.
        let age = measured.regions.get(&link.from).map(|region| region.age);
        if let Some(age) = age {
            let key = (link.from.clone(), link.to.clone());
            measured.links.entry(key).or_insert(LinkUsage { age, ..LinkUsage::default() });
        }
    }
    measured
}

/// Adds the last heartbeat of a peer, unless the peer counts as dead. A late heartbeat increases
/// the age of its region's load.
fn add_peer(
    measured: &mut Measurements,
    peer_heartbeats: &PeerHeartbeats,
    member: &Member,
    now: Instant,
) {
    let Some(peer) = peer_heartbeats.get(&member.vm) else { return };
    let age = now.saturating_duration_since(peer.received_at);
    if age >= HEARTBEAT_TIMEOUT {
        return;
    }
    let region = measured.regions.entry(member.region.clone()).or_default();
    region.age = region.age.max(age);
    for load in &peer.heartbeat.loads {
        add_load(measured, &member.region, load, age);
    }
    for link in &peer.heartbeat.links {
        add_link(measured, link, age);
    }
}

fn add_link(measured: &mut Measurements, link: &LinkLoad, age: Duration) {
    let key = (link.from.clone(), link.to.clone());
    let usage = measured.links.entry(key).or_default();
    usage.use_bytes_per_s = usage.use_bytes_per_s.saturating_add(link.use_bytes_per_s);
    usage.age = usage.age.max(age);
}

fn add_load(measured: &mut Measurements, region: &RegionId, load: &ServiceLoad, age: Duration) {
    let total = measured.regions.entry(region.clone()).or_default();
    total.load_slots = total.load_slots.saturating_add(load.running_slots);
    total.age = total.age.max(age);
    let key = (load.service.clone(), region.clone());
    let service = measured.services.entry(key).or_default();
    service.running_slots = service.running_slots.saturating_add(load.running_slots);
    service.sent_bytes_per_s = service.sent_bytes_per_s.saturating_add(load.sent_bytes_per_s);
}

fn add_targets(measured: &mut Measurements, daemon: &Daemon, now: Instant) {
    let targets = daemon.tables.targets.lock();
    for (service, target) in targets.iter().filter(|(_, target)| target.is_usable(now)) {
        let capacity = TargetCapacity { region: target.region.clone(), slots: target.slots };
        measured.targets.insert((service.clone(), target.target.clone()), capacity);
        let region: &mut RegionLoad = measured.regions.entry(target.region.clone()).or_default();
        region.capacity_slots = region.capacity_slots.saturating_add(target.slots);
        let key = (service.clone(), target.region.clone());
        let load: &mut ServiceRegionLoad = measured.services.entry(key).or_default();
        load.capacity_slots = load.capacity_slots.saturating_add(target.slots);
    }
}

/// Returns the time since a VM's last heartbeat in milliseconds.
pub fn heartbeat_age_ms(peer_heartbeats: &PeerHeartbeats, vm: &VmId, now: Instant) -> Option<u64> {
    let received_at = peer_heartbeats.get(vm)?.received_at;
    u64::try_from(now.saturating_duration_since(received_at).as_millis()).ok()
}
