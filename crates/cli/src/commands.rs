//! The subcommands.

pub mod hash_key;

use clap::{ArgMatches, Command};

/// Builds the whole command line.
pub fn build() -> Command {
    clap::command!().subcommand_required(true).subcommand(hash_key::build())
}

/// Executes the given subcommand.
pub fn execute(matches: &ArgMatches) -> anyhow::Result<()> {
    match matches.subcommand() {
        Some(("hash-key", matches)) => hash_key::execute(matches),
        _ => Ok(()),
    }
}
