//! Validates the deployment file.

use std::collections::{HashMap, HashSet};
use std::hash::Hash;

use celerygate_types::RegionId;
use celerygate_types::wire::{Deployment, Organisation};
use ipnet::IpNet;

use super::error::SettingsErrors;

/// Checks that names are unique, values are in range and referenced regions exist.
pub(super) fn check(deployment: &Deployment, errors: &mut SettingsErrors) {
    let regions: HashSet<&RegionId> = deployment.regions.iter().collect();
    if regions.is_empty() {
        errors.add("regions", "expected 1 or more regions, found 0");
    }
    add_duplicates(deployment.regions.iter(), |index| format!("regions[{index}]"), errors);
    check_organisations(&deployment.organisations, errors);
    check_services(deployment, errors);
    check_links(deployment, &regions, errors);
    check_client_blocks(deployment, &regions, errors);
}

/// Adds an error for each item that is equal to an earlier one.
fn add_duplicates<T: Eq + Hash>(
    items: impl Iterator<Item = T>,
    field: impl Fn(usize) -> String,
    errors: &mut SettingsErrors,
) {
    let mut seen = HashMap::new();
    for (index, item) in items.enumerate() {
        let first = *seen.entry(item).or_insert(index);
        if first != index {
            errors.add(field(index), format!("duplicates {}", field(first)));
        }
    }
}

fn check_organisations(organisations: &[Organisation], errors: &mut SettingsErrors) {
    let names = organisations.iter().map(|entry| &entry.organisation);
    add_duplicates(names, |index| format!("organisations[{index}].organisation"), errors);
    let mut hashes = HashMap::new();
    for (index, organisation) in organisations.iter().enumerate() {
        let field = format!("organisations[{index}]");
        let positive = [
            ("weight", u64::from(organisation.weight)),
            ("rate_requests_per_s", organisation.rate_requests_per_s.get()),
            ("burst_requests", organisation.burst_requests.get()),
        ];
        for (name, _) in positive.into_iter().filter(|(_, value)| *value == 0) {
            errors.add(format!("{field}.{name}"), "expected 1 or more, found 0");
        }
        let keys = organisation.keys.iter().map(|entry| &entry.key);
        add_duplicates(keys, |key_index| format!("{field}.keys[{key_index}].key"), errors);
        for (key_index, record) in organisation.keys.iter().enumerate() {
            // Requests are attributed by the hash of their key alone, so it must be unique.
            let field = format!("{field}.keys[{key_index}].hash");
            if let Some(first) = hashes.get(&record.hash) {
                errors.add(field, format!("duplicates {first}"));
            } else {
                hashes.insert(record.hash, field);
            }
        }
    }
}

fn check_services(deployment: &Deployment, errors: &mut SettingsErrors) {
    let names = deployment.services.iter().map(|entry| &entry.service);
    add_duplicates(names, |index| format!("services[{index}].service"), errors);
    for (index, service) in deployment.services.iter().enumerate() {
        for (prefix_index, prefix) in service.open_prefixes.iter().enumerate() {
            if !prefix.starts_with('/') {
                let field = format!("services[{index}].open_prefixes[{prefix_index}]");
                errors.add(field, format!("expected a path that begins with /, found {prefix:?}"));
            }
        }
    }
}

fn check_region(
    region: &RegionId,
    known: &HashSet<&RegionId>,
    field: String,
    errors: &mut SettingsErrors,
) {
    if !known.contains(region) {
        errors.add(field, format!("{region} is not among the regions"));
    }
}

fn check_links(deployment: &Deployment, regions: &HashSet<&RegionId>, errors: &mut SettingsErrors) {
    let ends = deployment.links.iter().map(|link| (&link.from, &link.to));
    add_duplicates(ends, |index| format!("links[{index}]"), errors);
    for (index, link) in deployment.links.iter().enumerate() {
        check_region(&link.from, regions, format!("links[{index}].from"), errors);
        check_region(&link.to, regions, format!("links[{index}].to"), errors);
        if link.from == link.to {
            errors.add(format!("links[{index}].to"), "is also the region in `from`");
        }
        if link.cap_bytes_per_s.get() == 0 {
            errors.add(format!("links[{index}].cap_bytes_per_s"), "expected 1 or more, found 0");
        }
    }
}

fn check_client_blocks(
    deployment: &Deployment,
    regions: &HashSet<&RegionId>,
    errors: &mut SettingsErrors,
) {
    let field = |index: usize| format!("client_blocks[{index}].network");
    let mut networks = Vec::with_capacity(deployment.client_blocks.len());
    for (index, block) in deployment.client_blocks.iter().enumerate() {
        check_region(&block.region, regions, format!("client_blocks[{index}].region"), errors);
        match block.network.parse::<IpNet>() {
            Ok(network) if network.trunc() == network => networks.push((index, network)),
            Ok(network) => {
                let expected = network.trunc();
                errors.add(field(index), format!("expected {expected}, found {network}"));
            }
            Err(_) => {
                let found = &block.network;
                errors.add(field(index), format!("expected ADDRESS/BITS, found {found:?}"));
            }
        }
    }
    let mut seen = HashMap::with_capacity(networks.len());
    for (index, network) in networks {
        if let Some(first) = seen.insert(network, index) {
            errors.add(field(index), format!("duplicates {}", field(first)));
        }
    }
}
