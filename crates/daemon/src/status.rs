//! Status of the system, as known to this daemon, for operators.

use std::time::Instant;

use celerygate_steering::availability::Eligibility;
use celerygate_types::VmId;
use celerygate_types::wire::{
    Configuration, LinkUse, OrganisationStatus, RegionHeadroom, StatusAnswer, TargetStatus,
    VmStatus,
};

use crate::daemon::Daemon;
use crate::measure;
use crate::view::View;

/// Collects the status that the operators' API returns.
pub fn status(daemon: &Daemon) -> StatusAnswer {
    let now = daemon.clock.now();
    let view = daemon.tables.view();
    let (configuration, term, leader, in_force) = {
        let mut control = daemon.tables.control.lock();
        let term = control.term();
        (control.configuration.clone(), term, control.leader(now), control.in_force(now))
    };
    let measured = measure::measurements(daemon, &configuration);
    let regions = configuration.regions.iter().map(|region| {
        let load = measured.regions.get(region).copied().unwrap_or_default();
        RegionHeadroom {
            region: region.clone(),
            load_slots: load.load_slots,
            capacity_slots: load.capacity_slots,
        }
    });
    let links = configuration.links.iter().map(|link| LinkUse {
        from: link.from.clone(),
        to: link.to.clone(),
        use_bytes_per_s: measured
            .links
            .get(&(link.from.clone(), link.to.clone()))
            .map_or_else(Default::default, |measure| measure.use_bytes_per_s),
        cap_bytes_per_s: link.cap_bytes_per_s,
    });
    StatusAnswer {
        vm: daemon.own_vm.clone(),
        term,
        fresh: daemon.is_fresh(),
        in_force_revision: in_force,
        revision: configuration.revision,
        vms: vms(daemon, &configuration, leader.as_ref(), now),
        regions: regions.collect(),
        links: links.collect(),
        organisations: organisations(&configuration),
        targets: targets(daemon, &view, now),
        intents: configuration.intents.clone(),
        leader,
    }
}

fn vms(
    daemon: &Daemon,
    configuration: &Configuration,
    leader: Option<&VmId>,
    now: Instant,
) -> Vec<VmStatus> {
    let own_state = daemon.state();
    let peer_heartbeats = daemon.tables.peer_heartbeats.lock();
    let status = |member: &celerygate_types::wire::Member| {
        let is_own = member.vm == daemon.own_vm;
        let live = peer_heartbeats.live(&member.vm, now).map(|peer| &peer.heartbeat);
        VmStatus {
            vm: member.vm.clone(),
            region: member.region.clone(),
            state: if is_own { Some(own_state) } else { live.map(|heartbeat| heartbeat.state) },
            revision: if is_own {
                Some(configuration.revision)
            } else {
                live.map(|heartbeat| heartbeat.revision)
            },
            heard_ms: if is_own {
                Some(0)
            } else {
                measure::heartbeat_age_ms(&peer_heartbeats, &member.vm, now)
            },
            leader: leader == Some(&member.vm),
        }
    };
    configuration.members.iter().map(status).collect()
}

fn organisations(configuration: &Configuration) -> Vec<OrganisationStatus> {
    let status = |organisation: &celerygate_types::wire::Organisation| OrganisationStatus {
        organisation: organisation.organisation.clone(),
        rate_requests_per_s: organisation.rate_requests_per_s,
        burst_requests: organisation.burst_requests,
        keys: organisation.keys.iter().map(|key| key.key.clone()).collect(),
    };
    configuration.organisations.iter().map(status).collect()
}

fn targets(daemon: &Daemon, view: &View, now: Instant) -> Vec<TargetStatus> {
    let targets = daemon.tables.targets.lock();
    let permits = daemon.tables.permits.lock();
    let status = |(service, target): (&celerygate_types::ServiceId, &_)| {
        let target: &celerygate_steering::targets::Target = target;
        let drained = view.is_target_drained(service, &target.target);
        let eligibility = target.availability.eligibility(0, now);
        let note = if drained {
            "drained"
        } else if target.leaving || eligibility == Eligibility::Leaving {
            "leaving"
        } else if matches!(eligibility, Eligibility::Paused { .. }) {
            "paused"
        } else if target.health.is_ejected(now) {
            "ejected"
        } else if !target.is_live(now) {
            "announcement expired"
        } else {
            ""
        };
        TargetStatus {
            service: service.clone(),
            target: target.target.clone(),
            region: target.region.clone(),
            slots: target.slots,
            running_slots: permits.slot_usage(service, target).running,
            usable: note.is_empty(),
            note: note.into(),
        }
    };
    targets.iter().map(status).collect()
}
