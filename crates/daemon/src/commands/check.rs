//! `celerygated check`: validates settings without starting the daemon.

use std::process::ExitCode;

use clap::{ArgMatches, Command};

use super::{settings_argument, settings_path};
use crate::settings;

/// Exit code for invalid settings; result codes 3xxx belong to the programs themselves.
pub const INVALID_SETTINGS: u8 = 3;

/// Returns the definition of the subcommand.
pub fn command() -> Command {
    Command::new("check")
        .about("Check a settings file and everything it names")
        .arg(settings_argument())
}

/// Validates the settings and prints every error, or that there is none.
pub fn execute(matches: &ArgMatches) -> ExitCode {
    match settings::check(&settings_path(matches)) {
        Ok(_) => {
            println!("settings are valid");
            ExitCode::SUCCESS
        }
        Err(errors) => report(&errors),
    }
}

/// Prints errors of the settings to standard error.
pub fn report(errors: &[settings::SettingsError]) -> ExitCode {
    for error in errors {
        eprintln!("{error}");
    }
    ExitCode::from(INVALID_SETTINGS)
}
