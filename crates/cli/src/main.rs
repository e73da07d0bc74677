//! The operators' command line of celerygate.

mod client;
mod commands;
mod exit;
mod output;
mod share;
#[cfg(test)]
#[path = "stand_in_tests.rs"]
mod stand_in;

use std::process::ExitCode;

use output::Printer;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    commands::run(std::env::args_os(), Printer::standard()).await
}
