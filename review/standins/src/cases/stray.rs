//! Another writer sends one heartbeat for each server, with a service that no configuration names.

use std::path::Path;
use std::thread::sleep;
use std::time::Duration;

use super::{CONTACT_WINDOW, FIRST_CONFIGURATION_LIMIT, not_run, shared_controls, start_all};
use crate::Verdict;
use crate::clients::Load;
use crate::fleet::{Fleet, limits, route, service};
use crate::record::Record;
use crate::target::Target;

/// Sequence number of the other writer. The servers need 25 minutes to reach it.
const OTHER_SEQUENCE: u64 = 1_000;
/// Length of the traffic: more than twenty heartbeats of each server.
const REQUEST_INTERVAL: Duration = Duration::from_millis(200);
const REQUESTS: u32 = 200;

pub fn run(record: &Record, folder: &Path, has_trouble: bool) -> Verdict {
    let zones = [("coastal-a", "coastal"), ("valley-a", "valley")];
    let mut fleet = Fleet::new(record.clone(), folder, &zones);
    for number in 1..=5 {
        fleet.add_control(number, usize::from(number) % 2);
    }
    let entry = fleet.add_entry(1, 0);
    start_all(&mut fleet);
    let resources = [route("r", "safe", 1.2, "lists"), service("lists"), limits()];
    if !fleet.configure(0, &resources, FIRST_CONFIGURATION_LIMIT) {
        return not_run("the first configuration is not acknowledged");
    }
    let controls = shared_controls(&fleet);
    let start = |instance: &str, number, zone: usize| {
        let address = fleet.ip(number) + ":8500";
        Target::start(record, instance, address, zones[zone].0, "lists", &controls)
    };
    let targets = [start("i-1", 101, 0), start("i-2", 102, 1)];
    sleep(CONTACT_WINDOW);
    if has_trouble {
        for target in &targets {
            let body = target.heartbeat("another-system", OTHER_SEQUENCE);
            let is_taken = target.report("instances.heartbeat", &body);
            let instance = &target.instance;
            record.line(&format!("another writer reports {instance}, acknowledged: {is_taken}"));
        }
        sleep(CONTACT_WINDOW);
    }
    let address = format!("{}:8389", fleet.vm(&entry).ip);
    let load = Load::start(record, "client", address, "/r/x", REQUEST_INTERVAL, REQUESTS);
    sleep(REQUEST_INTERVAL * REQUESTS);
    let exchanges = load.stop();
    let served = exchanges.iter().filter(|exchange| exchange.answer.status == 200).count();
    let all = exchanges.len();
    record.line(&format!("{served} of {all} requests were served"));
    if all < REQUESTS as usize / 2 {
        return not_run("too few requests");
    }
    if served == 0 { Verdict::Broken } else { Verdict::Held }
}
