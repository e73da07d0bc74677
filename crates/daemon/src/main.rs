//! Command line of the celerygate daemon, which runs on every VM of the system.

use std::process::ExitCode;

use celerygate_daemon::commands;
use clap::Command;

fn main() -> ExitCode {
    let command = Command::new("celerygated")
        .version(clap::crate_version!())
        .about("Daemon of the celerygate traffic steering system")
        .subcommand_required(true)
        .subcommand(commands::run::command())
        .subcommand(commands::check::command());
    let result = match command.get_matches().subcommand() {
        Some(("run", matches)) => commands::run::execute(matches),
        Some(("check", matches)) => Ok(commands::check::execute(matches)),
        _ => unreachable!("clap requires one of the subcommands"),
    };
    result.unwrap_or_else(|error| {
        eprintln!("error: {error:#}");
        ExitCode::FAILURE
    })
}
