//! The operators' command line of celerygate.

mod client;
mod commands;
mod exit;
#[cfg(test)]
#[path = "mock_daemon_tests.rs"]
mod mock_daemon;
mod output;
mod share;

use std::process::ExitCode;

use output::Printer;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    commands::run(std::env::args_os(), Printer::standard()).await
}
