//! Checks of the VMs named in the settings.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

use celerygate_types::wire::{Deployment, ListenerSettings, PeerSettings, Settings};

use super::fault::Faults;

/// Largest control group; each voter adds a copy of every log entry.
const MAX_CONTROL_VMS: usize = 7;

/// Checks listeners and peers, and the peers' regions when the deployment is known.
pub(super) fn check(settings: &Settings, deployment: Option<&Deployment>, faults: &mut Faults) {
    check_listeners(&settings.listeners, faults);
    check_own(settings, faults);
    check_names(&settings.peers, faults);
    check_addresses(&settings.peers, faults);
    check_places(&settings.peers, deployment, faults);
    check_control(&settings.peers, faults);
}

fn check_listeners(listeners: &ListenerSettings, faults: &mut Faults) {
    let fields = [
        ("callers", &listeners.callers),
        ("targets", &listeners.targets),
        ("operators", &listeners.operators),
        ("peers", &listeners.peers),
    ];
    let mut seen: HashMap<SocketAddr, &str> = HashMap::new();
    for (name, text) in fields {
        let field = format!("listeners.{name}");
        let Some(address) = parse_address(text, &field, faults) else { continue };
        // Port 0 asks the system for any free port, so two of them do not collide.
        if address.port() == 0 {
            continue;
        }
        if let Some(other) = seen.insert(address, name) {
            faults.add(field, format!("{address} is also the address of listeners.{other}"));
        }
    }
}

fn parse_address(text: &str, field: &str, faults: &mut Faults) -> Option<SocketAddr> {
    match text.parse() {
        Ok(address) => Some(address),
        Err(_) => {
            faults.add(field, format!("expected IP:PORT, found {text:?}"));
            None
        }
    }
}

fn check_own(settings: &Settings, faults: &mut Faults) {
    let Some(own) = settings.peers.iter().find(|peer| peer.vm == settings.vm) else {
        faults.add("vm", format!("{} is not among the peers", settings.vm));
        return;
    };
    match (own.control, &settings.data_folder) {
        (true, None) => faults.add("data_folder", "is missing on a control VM"),
        (false, Some(_)) => faults.add("data_folder", "is given on a VM that is not a control VM"),
        _ => {}
    }
}

fn check_names(peers: &[PeerSettings], faults: &mut Faults) {
    let mut seen = HashMap::new();
    for (index, peer) in peers.iter().enumerate() {
        if let Some(first) = seen.insert(&peer.vm, index) {
            let message = format!("{} is also the name of peers[{first}]", peer.vm);
            faults.add(format!("peers[{index}].vm"), message);
        }
    }
}

fn check_addresses(peers: &[PeerSettings], faults: &mut Faults) {
    let mut seen: HashMap<SocketAddr, String> = HashMap::new();
    for (index, peer) in peers.iter().enumerate() {
        let fields =
            [("callers", &peer.callers), ("operators", &peer.operators), ("peers", &peer.peers)];
        for (name, text) in fields {
            let field = format!("peers[{index}].{name}");
            let Some(address) = parse_address(text, &field, faults) else { continue };
            if address.ip().is_unspecified() || address.port() == 0 {
                faults.add(field, format!("{address} is not an address to connect to"));
            } else if let Some(first) = seen.get(&address) {
                faults.add(field, format!("{address} is also the address of {first}"));
            } else {
                seen.insert(address, field);
            }
        }
    }
}

/// A data centre has one relay, so its name must stand for one place.
fn check_places(peers: &[PeerSettings], deployment: Option<&Deployment>, faults: &mut Faults) {
    let known: Option<HashSet<_>> = deployment.map(|found| found.regions.iter().collect());
    let mut regions = HashMap::new();
    for (index, peer) in peers.iter().enumerate() {
        if known.as_ref().is_some_and(|known| !known.contains(&peer.region)) {
            let message = format!("{} is not a region of the deployment", peer.region);
            faults.add(format!("peers[{index}].region"), message);
        }
        let first = *regions.entry(&peer.data_centre).or_insert(&peer.region);
        if *first != peer.region {
            let message = format!("{} is also a data centre of {first}", peer.data_centre);
            faults.add(format!("peers[{index}].data_centre"), message);
        }
    }
}

/// Two voters tolerate no failure, so they only add a way to fail.
fn check_control(peers: &[PeerSettings], faults: &mut Faults) {
    let found = peers.iter().filter(|peer| peer.control).count();
    if found != 1 && !(3..=MAX_CONTROL_VMS).contains(&found) {
        faults.add(
            "peers",
            format!("expected 1 or 3 to {MAX_CONTROL_VMS} control VMs, found {found}"),
        );
    }
}
