//! The celerygate daemon: one program for every VM of the system.

mod announce;
mod api;
mod body;
mod callers;
mod commands;
mod control;
mod daemon;
mod forward;
mod jobs;
mod locks;
mod lookup;
mod measure;
mod operators;
mod parse_errors;
mod peers;
mod permits;
mod refusal;
mod settings;
mod shutdown;
mod status;
mod tables;
mod telemetry;
mod upstream;
mod view;
mod workers;

use std::process::ExitCode;

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
