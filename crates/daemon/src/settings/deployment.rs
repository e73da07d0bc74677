//! Checks of the deployment file.

use std::collections::{HashMap, HashSet};
use std::hash::Hash;

use celerygate_types::RegionId;
use celerygate_types::wire::{Deployment, Organisation};
use ipnet::IpNet;

use super::fault::Faults;

/// Checks that everything is named once and that every reference leads somewhere.
pub(super) fn check(deployment: &Deployment, faults: &mut Faults) {
    let regions: HashSet<&RegionId> = deployment.regions.iter().collect();
    if regions.is_empty() {
        faults.add("regions", "no region is given");
    }
    add_repeats(deployment.regions.iter(), |index| format!("regions[{index}]"), faults);
    check_organisations(&deployment.organisations, faults);
    check_services(deployment, faults);
    check_links(deployment, &regions, faults);
    check_client_blocks(deployment, &regions, faults);
}

/// Adds a fault for each item that is equal to an earlier one.
fn add_repeats<T: Eq + Hash>(
    items: impl Iterator<Item = T>,
    field: impl Fn(usize) -> String,
    faults: &mut Faults,
) {
    let mut seen = HashMap::new();
    for (index, item) in items.enumerate() {
        let first = *seen.entry(item).or_insert(index);
        if first != index {
            faults.add(field(index), format!("repeats {}", field(first)));
        }
    }
}

fn check_organisations(organisations: &[Organisation], faults: &mut Faults) {
    let names = organisations.iter().map(|found| &found.organisation);
    add_repeats(names, |index| format!("organisations[{index}].organisation"), faults);
    let mut hashes = HashMap::new();
    for (index, organisation) in organisations.iter().enumerate() {
        let field = format!("organisations[{index}]");
        let positive = [
            ("weight", u64::from(organisation.weight)),
            ("rate_requests_per_s", organisation.rate_requests_per_s.get()),
            ("burst_requests", organisation.burst_requests.get()),
        ];
        for (name, _) in positive.into_iter().filter(|(_, value)| *value == 0) {
            faults.add(format!("{field}.{name}"), "expected 1 or more, found 0");
        }
        let keys = organisation.keys.iter().map(|found| &found.key);
        add_repeats(keys, |key| format!("{field}.keys[{key}].key"), faults);
        for (key, record) in organisation.keys.iter().enumerate() {
            // The hash alone decides whose request it is.
            let place = format!("{field}.keys[{key}].hash");
            if let Some(first) = hashes.get(&record.hash) {
                faults.add(place, format!("repeats {first}"));
            } else {
                hashes.insert(record.hash, place);
            }
        }
    }
}

fn check_services(deployment: &Deployment, faults: &mut Faults) {
    let names = deployment.services.iter().map(|found| &found.service);
    add_repeats(names, |index| format!("services[{index}].service"), faults);
    for (index, service) in deployment.services.iter().enumerate() {
        for (place, prefix) in service.open_prefixes.iter().enumerate() {
            if !prefix.starts_with('/') {
                let field = format!("services[{index}].open_prefixes[{place}]");
                faults.add(field, format!("expected a path that begins with /, found {prefix:?}"));
            }
        }
    }
}

fn check_region(region: &RegionId, known: &HashSet<&RegionId>, field: String, faults: &mut Faults) {
    if !known.contains(region) {
        faults.add(field, format!("{region} is not among the regions"));
    }
}

fn check_links(deployment: &Deployment, regions: &HashSet<&RegionId>, faults: &mut Faults) {
    let ends = deployment.links.iter().map(|link| (&link.from, &link.to));
    add_repeats(ends, |index| format!("links[{index}]"), faults);
    for (index, link) in deployment.links.iter().enumerate() {
        check_region(&link.from, regions, format!("links[{index}].from"), faults);
        check_region(&link.to, regions, format!("links[{index}].to"), faults);
        if link.from == link.to {
            faults.add(format!("links[{index}].to"), "is the region the link begins at");
        }
        if link.cap_bytes_per_s.get() == 0 {
            faults.add(format!("links[{index}].cap_bytes_per_s"), "expected 1 or more, found 0");
        }
    }
}

fn check_client_blocks(deployment: &Deployment, regions: &HashSet<&RegionId>, faults: &mut Faults) {
    let field = |index: usize| format!("client_blocks[{index}].network");
    let mut networks = Vec::with_capacity(deployment.client_blocks.len());
    for (index, block) in deployment.client_blocks.iter().enumerate() {
        check_region(&block.region, regions, format!("client_blocks[{index}].region"), faults);
        match block.network.parse::<IpNet>() {
            Ok(network) if network.trunc() == network => networks.push((index, network)),
            Ok(network) => {
                let expected = network.trunc();
                faults.add(field(index), format!("expected {expected}, found {network}"));
            }
            Err(_) => {
                let found = &block.network;
                faults.add(field(index), format!("expected ADDRESS/BITS, found {found:?}"));
            }
        }
    }
    let mut seen = HashMap::with_capacity(networks.len());
    for (index, network) in networks {
        if let Some(first) = seen.insert(network, index) {
            faults.add(field(index), format!("repeats {}", field(first)));
        }
    }
}
