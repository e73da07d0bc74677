//! Measures what control costs a daemon. It writes settings for three control daemons with any
//! number of stand-in followers, acts as these followers, and fits lines to the measured rows.
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
