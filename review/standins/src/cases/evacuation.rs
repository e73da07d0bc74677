//! Slow servers lose some of their answers more than `evacuation_delay_s` after a zone was evacuated.

use std::path::Path;
use std::thread::{self, sleep};
use std::time::Duration;

use super::{
    CONTACT_WINDOW, EVACUATION_DELAY, FIRST_CONFIGURATION_LIMIT, not_run, shared_controls,
    start_all,
};
use crate::Verdict;
use crate::clients::{request, wait_until_served};
use crate::fleet::{Fleet, limits, route, service};
use crate::record::Record;
use crate::target::{TROUBLE_HEADER, Target, WORK_HEADER};

/// Timeout of the route: the longest one that the pages show, on the large site.
const TIMEOUT_S: f64 = 6.0;
const DEADLINE_MS: u64 = 8_000;
/// Work of a sound server. Lists of the site take up to 828 ms.
const WORK_MS: &str = "450";
/// Servers that are slow and lose answers: two of six.
const TROUBLED: &str = "i-1,i-4";
const REQUESTS: usize = 30;

pub fn run(record: &Record, folder: &Path, has_trouble: bool) -> Verdict {
    let zones = [("coastal-a", "coastal"), ("valley-a", "valley")];
    let mut fleet = Fleet::new(record.clone(), folder, &zones);
    for number in 1..=5 {
        fleet.add_control(number, usize::from(number) % 2);
    }
    let entry = fleet.add_entry(1, 1);
    start_all(&mut fleet);
    let controls = shared_controls(&fleet);
    // The first three are in the zone that is evacuated, which is also the entry VM's.
    let targets: Vec<Target> = (1..=6)
        .map(|number| {
            let zone = zones[usize::from(number <= 3)].0;
            let address = fleet.ip(100 + number) + ":8500";
            Target::start(record, &format!("i-{number}"), address, zone, "lists", &controls)
        })
        .collect();
    let resources = [route("r", "safe", TIMEOUT_S, "lists"), service("lists"), limits()];
    if !fleet.configure(0, &resources, FIRST_CONFIGURATION_LIMIT)
        || !wait_until_served(&fleet, &entry, "/r/first")
    {
        return not_run("the fleet does not serve");
    }
    sleep(CONTACT_WINDOW + Duration::from_secs(2));
    let address = format!("{}:8389", fleet.vm(&entry).ip);
    let clients: Vec<_> = (0..REQUESTS)
        .map(|number| {
            let (record, address) = (record.clone(), address.clone());
            thread::spawn(move || {
                let troubled = if has_trouble { TROUBLED } else { "" };
                let headers = [(WORK_HEADER, WORK_MS), (TROUBLE_HEADER, troubled)];
                let attempt = format!("list-{number}");
                request(&record, &address, "/r/x", &attempt, DEADLINE_MS, &headers)
            })
        })
        .collect();
    sleep(Duration::from_millis(50));
    let order = "/rpc?call=evacuations.start&of=valley-a";
    let answer = fleet.order(order, None, "", Duration::from_secs(4));
    if answer.is_none_or(|answer| answer.status != 200) {
        return not_run("the evacuation is not acknowledged");
    }
    let acknowledged_s = record.now_s();
    for client in clients {
        let _ = client.join();
    }
    let bound_s = acknowledged_s + EVACUATION_DELAY.as_secs_f64();
    let evacuated = targets[..3].iter().flat_map(Target::runs);
    let late = evacuated.filter(|run| run.at_s > bound_s).count();
    record.line(&format!(
        "evacuation acknowledged at {acknowledged_s:.3}: {late} of {REQUESTS} requests reached the \
         evacuated zone after {bound_s:.3}"
    ));
    if late > 0 { Verdict::Broken } else { Verdict::Held }
}
