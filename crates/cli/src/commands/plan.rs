//! `plan show`: shows an intent with its plan and progress.

use clap::{ArgMatches, Command};

use super::{intent_argument, required};
use crate::client::Client;
use crate::exit::Failure;
use crate::output::Output;

/// Builds the subcommand.
pub fn build() -> Command {
    let show = Command::new("show")
        .about("Show an intent with its plan and progress")
        .arg(intent_argument());
    Command::new("plan").about("Review plans").subcommand_required(true).subcommand(show)
}

/// Prints the intent with its plan.
pub async fn execute(
    matches: &ArgMatches,
    client: &Client,
    output: &Output,
) -> Result<(), Failure> {
    let Some(("show", matches)) = matches.subcommand() else {
        return Err(Failure::usage("no subcommand is given"));
    };
    output.print_intent(&client.intent(&required(matches, "intent")).await?);
    Ok(())
}
