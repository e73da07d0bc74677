//! Validates the listeners and the peers of the settings.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

use celerygate_types::wire::{Deployment, ListenerSettings, PeerSettings, Settings};

use super::error::SettingsErrors;

/// Largest control group; each voter adds a copy of every log entry.
const MAX_CONTROL_VMS: usize = 7;

/// Checks listeners and peers, and the peers' regions if the deployment file was loaded.
pub(super) fn check(
    settings: &Settings,
    deployment: Option<&Deployment>,
    errors: &mut SettingsErrors,
) {
    check_listeners(&settings.listeners, errors);
    check_own_vm(settings, errors);
    check_vm_ids(&settings.peers, errors);
    check_addresses(&settings.peers, errors);
    check_locations(&settings.peers, deployment, errors);
    check_control_vms(&settings.peers, errors);
}

fn check_listeners(listeners: &ListenerSettings, errors: &mut SettingsErrors) {
    let fields = [
        ("callers", &listeners.callers),
        ("targets", &listeners.targets),
        ("operators", &listeners.operators),
        ("peers", &listeners.peers),
    ];
    let mut seen: HashMap<SocketAddr, &str> = HashMap::new();
    for (name, text) in fields {
        let field = format!("listeners.{name}");
        let Some(address) = parse_address(text, &field, errors) else { continue };
        // Port 0 requests any free port, so several listeners may use it.
        if address.port() == 0 {
            continue;
        }
        if let Some(other) = seen.insert(address, name) {
            errors.add(field, format!("{address} is also the address of listeners.{other}"));
        }
    }
}

fn parse_address(text: &str, field: &str, errors: &mut SettingsErrors) -> Option<SocketAddr> {
    match text.parse() {
        Ok(address) => Some(address),
        Err(_) => {
            errors.add(field, format!("expected IP:PORT, found {text:?}"));
            None
        }
    }
}

fn check_own_vm(settings: &Settings, errors: &mut SettingsErrors) {
    let Some(own) = settings.peers.iter().find(|peer| peer.vm == settings.vm) else {
        errors.add("vm", format!("{} is not among the peers", settings.vm));
        return;
    };
    match (own.control, &settings.data_folder) {
        (true, None) => errors.add("data_folder", "is missing on a control VM"),
        (false, Some(_)) => errors.add("data_folder", "is given on a VM that is not a control VM"),
        _ => {}
    }
}

fn check_vm_ids(peers: &[PeerSettings], errors: &mut SettingsErrors) {
    let mut seen = HashMap::new();
    for (index, peer) in peers.iter().enumerate() {
        if let Some(first) = seen.insert(&peer.vm, index) {
            let message = format!("{} is also the name of peers[{first}]", peer.vm);
            errors.add(format!("peers[{index}].vm"), message);
        }
    }
}

fn check_addresses(peers: &[PeerSettings], errors: &mut SettingsErrors) {
    let mut seen: HashMap<SocketAddr, String> = HashMap::new();
    for (index, peer) in peers.iter().enumerate() {
        let fields =
            [("callers", &peer.callers), ("operators", &peer.operators), ("peers", &peer.peers)];
        for (name, text) in fields {
            let field = format!("peers[{index}].{name}");
            let Some(address) = parse_address(text, &field, errors) else { continue };
            if address.ip().is_unspecified() || address.port() == 0 {
                errors.add(field, format!("{address} is not an address to connect to"));
            } else if let Some(first) = seen.get(&address) {
                errors.add(field, format!("{address} is also the address of {first}"));
            } else {
                seen.insert(address, field);
            }
        }
    }
}

/// Checks that regions exist and that each data centre belongs to one region only, because each
/// data centre has one relay.
fn check_locations(
    peers: &[PeerSettings],
    deployment: Option<&Deployment>,
    errors: &mut SettingsErrors,
) {
    let known: Option<HashSet<_>> = deployment.map(|found| found.regions.iter().collect());
    let mut regions = HashMap::new();
    for (index, peer) in peers.iter().enumerate() {
        if known.as_ref().is_some_and(|known| !known.contains(&peer.region)) {
            let message = format!("{} is not a region of the deployment", peer.region);
            errors.add(format!("peers[{index}].region"), message);
        }
        let first = *regions.entry(&peer.data_centre).or_insert(&peer.region);
        if *first != peer.region {
            let message = format!("{} is also a data centre of {first}", peer.data_centre);
            errors.add(format!("peers[{index}].data_centre"), message);
        }
    }
}

/// Checks the number of control VMs. Two are refused: a group of two voters tolerates no failure,
/// so it is less available than a single one.
fn check_control_vms(peers: &[PeerSettings], errors: &mut SettingsErrors) {
    let found = peers.iter().filter(|peer| peer.control).count();
    if found != 1 && !(3..=MAX_CONTROL_VMS).contains(&found) {
        errors.add(
            "peers",
            format!("expected 1 or 3 to {MAX_CONTROL_VMS} control VMs, found {found}"),
        );
    }
}
