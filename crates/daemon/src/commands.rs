//! Subcommands of `celerygated`.

pub mod check;
pub mod run;

use std::path::PathBuf;

use clap::{Arg, ArgMatches, value_parser};

fn settings_argument() -> Arg {
    Arg::new("settings")
        .value_name("SETTINGS")
        .help("Settings file (JSON)")
        .required(true)
        .value_parser(value_parser!(PathBuf))
}

fn settings_path(matches: &ArgMatches) -> PathBuf {
    matches.get_one::<PathBuf>("settings").cloned().unwrap_or_default()
}
