//! `status`: shows the system as seen by one daemon.

use clap::Command;

use crate::client::Client;
use crate::exit::Failure;
use crate::output::Output;

/// Builds the subcommand.
pub fn build() -> Command {
    Command::new("status")
        .about("Show VMs, regions, links, organisations, targets and intents")
        .long_about(
            "Show VMs, regions, links, organisations, targets and intents as the first daemon \
             that answers sees them",
        )
}

/// Prints the status.
pub async fn execute(client: &Client, output: &Output) -> Result<(), Failure> {
    output.print_status(&client.status().await?);
    Ok(())
}
