//! The cases by name.

use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::Verdict;
use crate::fleet::Fleet;
use crate::record::Record;

mod departure;
mod evacuation;
mod founding;
mod orphan;
mod stray;

/// Bounds of the site `punchlist-ne`.
const CONTACT_WINDOW: Duration = Duration::from_secs(3);
const CONFIG_PROPAGATION: Duration = Duration::from_millis(2_500);
const DRAIN: Duration = Duration::from_millis(2_500);
const EVACUATION_DELAY: Duration = Duration::from_secs(5);
/// Longest wait of the operator for its first configuration, which it sends until it is accepted.
const FIRST_CONFIGURATION_LIMIT: Duration = Duration::from_secs(20);

/// Runs a case.
pub fn run(case: &str, record: &Record, folder: &Path, has_trouble: bool) -> Verdict {
    let run = match case {
        "orphan" => orphan::run,
        "departure" => departure::run,
        "evacuation" => evacuation::run,
        "founding" => founding::run,
        "stray" => stray::run,
        _ => return Verdict::NotRun(format!("no case is named {case}")),
    };
    run(record, folder, has_trouble)
}

/// Starts five control VMs and the entry VMs that the fleet has, for the first time.
fn start_all(fleet: &mut Fleet) {
    fleet.seeds = fleet.control_list[..3].to_vec();
    let names: Vec<String> = fleet.vms.keys().cloned().collect();
    names.iter().for_each(|name| fleet.start(name, true));
}

/// Returns the list of control VMs that the servers use, for sharing with them.
fn shared_controls(fleet: &Fleet) -> Arc<Mutex<Vec<String>>> {
    Arc::new(Mutex::new(fleet.control_addresses()))
}

fn not_run(reason: &str) -> Verdict {
    Verdict::NotRun(reason.to_owned())
}
