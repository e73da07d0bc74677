//! Measures the CPU time, memory and traffic of control daemons by the number of their followers.
//! It writes the settings of three control daemons, simulates any number of followers, and fits a
//! line to the measured values.
//!
//! `scripts/capacity.sh` starts the daemons and calls the subcommands in order.

#[path = "control_load/blocks.rs"]
mod blocks;
#[path = "control_load/follower.rs"]
mod follower;
#[path = "shared/http.rs"]
mod http;
#[path = "control_load/options.rs"]
mod options;
#[path = "control_load/process.rs"]
mod process;
#[path = "control_load/report.rs"]
mod report;
#[path = "control_load/run.rs"]
mod run;
#[path = "control_load/settings.rs"]
mod settings;
#[path = "control_load/slots.rs"]
mod slots;

use anyhow::Result;

#[tokio::main]
async fn main() -> Result<()> {
    match options::parse()? {
        options::Action::Settings(deployment) => settings::write(&deployment),
        options::Action::Run(load) => run::run(load).await,
        options::Action::Blocks(counts) => blocks::measure(&counts),
        options::Action::Slots(counts) => slots::measure(&counts),
        options::Action::Report(file) => report::print(&file),
    }
}
