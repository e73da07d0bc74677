//! `celerygated check`: checks settings without starting anything.

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

/// Prints every fault, or that there is none.
pub fn execute(matches: &ArgMatches) -> ExitCode {
    match settings::check(&settings_path(matches)) {
        Ok(_) => {
            println!("settings are valid");
            ExitCode::SUCCESS
        }
        Err(faults) => report(&faults),
    }
}

/// Prints faults of the settings to standard error.
pub fn report(faults: &[settings::Fault]) -> ExitCode {
    for fault in faults {
        eprintln!("{fault}");
    }
    ExitCode::from(INVALID_SETTINGS)
}
