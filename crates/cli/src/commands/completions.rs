//! `completions`: prints completion scripts for shells.

use clap::builder::EnumValueParser;
use clap::{Arg, ArgMatches, Command};
use clap_complete::Shell;

use super::required;
use crate::exit::Failure;
use crate::output::Output;

/// Builds the subcommand.
pub fn build() -> Command {
    Command::new("completions").about("Print a completion script for a shell").arg(
        Arg::new("shell")
            .value_name("SHELL")
            .help("The shell")
            .required(true)
            .value_parser(EnumValueParser::<Shell>::new()),
    )
}

/// Prints the completion script of the given shell.
pub fn execute(matches: &ArgMatches, output: &Output) -> Result<(), Failure> {
    let mut script = Vec::new();
    let shell: Shell = required(matches, "shell");
    clap_complete::generate(shell, &mut super::build(), "celerygate", &mut script);
    output.print_text(String::from_utf8_lossy(&script).trim_end());
    Ok(())
}
