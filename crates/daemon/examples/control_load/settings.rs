//! Settings, deployment, names and addresses of the measured daemons and the simulated followers.

use std::fs;
use std::net::SocketAddr;

use anyhow::{Context as _, Result};
use celerygate_types::VmId;
use serde_json::{Value, json};

use crate::options::Deployment;

pub const CONTROL_VMS: usize = 3;
pub const REGIONS: usize = 9;
const DATA_CENTRES: usize = 20;
pub const ORGANISATIONS: usize = 8;

pub fn control_name(index: usize) -> String {
    format!("control-{index}")
}

pub fn follower_name(index: usize) -> Result<VmId> {
    format!("vm-{index:04}").parse().context("failed to parse the name of a simulated follower")
}

/// Returns the address of a listener. Each daemon has its own loopback address.
fn address(index: usize, port: u16) -> String {
    format!("127.8.{}.{}:{port}", index / 250, index % 250 + 1)
}

/// Returns the address for messages between daemons. Control daemons have the first indices,
/// followed by the simulated followers.
pub fn peer_address(index: usize, port: u16) -> Result<SocketAddr> {
    address(index, port + 3).parse().context("failed to parse the peer address")
}

pub fn operators_address(index: usize, port: u16) -> String {
    address(index, port + 2)
}

fn peer(index: usize, port: u16) -> Result<Value> {
    let control = index < CONTROL_VMS;
    let vm = if control {
        control_name(index)
    } else {
        follower_name(index - CONTROL_VMS)?.as_str().to_owned()
    };
    let data_centre = index % DATA_CENTRES;
    Ok(json!({
        "vm": vm,
        "region": format!("region-{}", data_centre % REGIONS),
        "data_centre": format!("dc-{data_centre}"),
        "control": control,
        "callers": address(index, port),
        "operators": address(index, port + 2),
        "peers": address(index, port + 3),
    }))
}

/// Returns a distinct /24 network and its region. The first 65,536 networks are in 10.0.0.0/8, the
/// next ones in 11.0.0.0/8.
pub fn client_block(index: usize) -> (String, String) {
    let network = format!("{}.{}.{}.0/24", 10 + index / 65_536, index / 256 % 256, index % 256);
    (network, format!("region-{}", index % REGIONS))
}

fn deployment(options: &Deployment) -> Value {
    let organisations: Vec<Value> = (0..ORGANISATIONS)
        .map(|index| {
            json!({
                "organisation": format!("org-{index}"),
                "weight": 1,
                "rate_requests_per_s": 100_000,
                "burst_requests": 200_000,
                "keys": [{
                    "key": format!("key-{index}"),
                    "hash": blake3::hash(format!("key-{index}").as_bytes()).to_hex().as_str(),
                    "expires_at_unix_ms": null,
                }],
            })
        })
        .collect();
    let services: Vec<Value> = (0..options.services)
        .map(|index| json!({"service": format!("site-{index}"), "open_prefixes": []}))
        .collect();
    let blocks: Vec<Value> = (0..options.blocks)
        .map(|index| {
            let (network, region) = client_block(index);
            json!({"network": network, "region": region})
        })
        .collect();
    let regions: Vec<String> = (0..REGIONS).map(|index| format!("region-{index}")).collect();
    json!({
        "regions": regions,
        "organisations": organisations,
        "services": services,
        "links": [],
        "client_blocks": blocks,
    })
}

/// Writes the settings of the control daemons and their shared files.
pub fn write(options: &Deployment) -> Result<()> {
    let folder = &options.folder;
    let count = CONTROL_VMS + options.followers;
    let peers = (0..count).map(|index| peer(index, options.port)).collect::<Result<Vec<_>>>()?;
    fs::write(folder.join("deployment.json"), deployment(options).to_string())?;
    for name in ["daemons", "operators", "targets"] {
        fs::write(folder.join(format!("{name}.token")), blake3::hash(name.as_bytes()).to_string())?;
    }
    for index in 0..CONTROL_VMS {
        let name = control_name(index);
        let settings = json!({
            "vm": name,
            "listeners": {
                "callers": address(index, options.port),
                "targets": address(index, options.port + 1),
                "operators": address(index, options.port + 2),
                "peers": address(index, options.port + 3),
            },
            "credentials": {
                "daemons_file": "daemons.token",
                "operators_file": "operators.token",
                "targets_file": "targets.token",
            },
            "deployment_file": "deployment.json",
            "log": {"level": "warn"},
            "data_folder": format!("data-{index}"),
            "peers": peers,
        });
        fs::write(folder.join(format!("{name}.json")), settings.to_string())?;
    }
    Ok(())
}
