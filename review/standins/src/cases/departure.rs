//! All processes are killed right after a server's deregistration was acknowledged, and one of its
//! earlier heartbeats arrives late.

use std::path::Path;
use std::thread::sleep;
use std::time::Duration;

use super::{
    CONTACT_WINDOW, DRAIN, FIRST_CONFIGURATION_LIMIT, not_run, shared_controls, start_all,
};
use crate::Verdict;
use crate::clients::{Load, wait_until_served};
use crate::fleet::{Fleet, limits, route, service};
use crate::record::Record;
use crate::target::Target;

/// Time for which the processes are down. The core is back within a second.
const DOWN_TIME: Duration = Duration::from_millis(600);
/// Time from the deregistration to the arrival of the late heartbeat.
const HEARTBEAT_DELAY: Duration = Duration::from_millis(4_000);
/// Time from the deregistration to the exit of the server.
const SERVE_ON: Duration = Duration::from_secs(12);

pub fn run(record: &Record, folder: &Path, has_trouble: bool) -> Verdict {
    let zones = [("coastal-a", "coastal"), ("valley-a", "valley")];
    let mut fleet = Fleet::new(record.clone(), folder, &zones);
    for number in 1..=5 {
        fleet.add_control(number, usize::from(number) % 2);
    }
    let entries = [fleet.add_entry(1, 0), fleet.add_entry(2, 1)];
    start_all(&mut fleet);
    let controls = shared_controls(&fleet);
    let start = |instance: &str, number, zone: usize| {
        let address = fleet.ip(number) + ":8500";
        Target::start(record, instance, address, zones[zone].0, "lists", &controls)
    };
    let (leaving, _staying) = (start("i-leaving", 101, 0), start("i-staying", 102, 1));
    if !fleet.configure(
        0,
        &[route("r", "safe", 1.2, "lists"), service("lists"), limits()],
        FIRST_CONFIGURATION_LIMIT,
    ) || !entries.iter().all(|entry| wait_until_served(&fleet, entry, "/r/first"))
    {
        return not_run("the fleet does not serve");
    }
    sleep(CONTACT_WINDOW + Duration::from_secs(2));
    let loads: Vec<Load> = entries
        .iter()
        .map(|entry| {
            let address = format!("{}:8389", fleet.vm(entry).ip);
            Load::start(record, entry, address, "/r/x", Duration::from_millis(50), 2_000)
        })
        .collect();
    sleep(Duration::from_secs(1));
    let late_heartbeat = leaving.next_heartbeat();
    if !leaving.deregister() {
        return not_run("the deregistration is not acknowledged");
    }
    let left_s = record.now_s();
    if has_trouble {
        let names: Vec<String> = fleet.vms.keys().cloned().collect();
        names.iter().for_each(|name| fleet.kill(name));
        sleep(DOWN_TIME);
        names.iter().for_each(|name| fleet.start(name, false));
    }
    let back_s = record.now_s();
    sleep(Duration::from_secs_f64(left_s + HEARTBEAT_DELAY.as_secs_f64() - record.now_s()));
    let is_taken = leaving.report("instances.heartbeat", &late_heartbeat);
    record.line(&format!("late heartbeat of i-leaving arrives, acknowledged: {is_taken}"));
    sleep(Duration::from_secs_f64(left_s + SERVE_ON.as_secs_f64() - record.now_s()));
    record.line("i-leaving would exit now");
    loads.iter().for_each(|load| drop(load.stop()));
    // From here on, the acknowledgement binds, and all machines are in touch again.
    let judged_s =
        (left_s + DRAIN.as_secs_f64()).max(back_s + 2.0 * CONTACT_WINDOW.as_secs_f64() + 0.2);
    let until_s = left_s + SERVE_ON.as_secs_f64();
    let is_judged = |at_s: f64| at_s > judged_s && at_s < until_s;
    let late = leaving.runs().iter().filter(|run| is_judged(run.at_s)).count();
    let all = leaving.runs().iter().filter(|run| run.at_s > left_s + DRAIN.as_secs_f64()).count();
    record.line(&format!(
        "deregistered at {left_s:.3}, judged from {judged_s:.3}: {late} requests reached the server, \
         {all} from drain_s on"
    ));
    if late > 0 { Verdict::Broken } else { Verdict::Held }
}
