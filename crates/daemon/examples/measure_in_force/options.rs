//! Command-line options of the measurement.

use std::fs;
use std::path::PathBuf;

use anyhow::{Context as _, Result};
use celerygate_types::{OrganisationId, ServiceId};
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

/// Options of the measurement.
pub struct Options {
    /// Operators' addresses of the daemons.
    pub operators: Vec<String>,
    /// Callers' addresses of the entry VMs to probe.
    pub entries: Vec<String>,
    pub token: String,
    pub service: ServiceId,
    /// Organisation whose keys are issued and withdrawn.
    pub key_organisation: OrganisationId,
    /// Organisation whose rate is changed.
    pub rate_organisation: OrganisationId,
    /// Rounds of three changes each.
    pub rounds: u32,
}

fn command() -> Command {
    let option = |name: &'static str, help: &'static str| Arg::new(name).long(name).help(help);
    let address = |name, help| option(name, help).action(ArgAction::Append).required(true);
    let organisation =
        |name, help| option(name, help).value_parser(value_parser!(OrganisationId)).required(true);
    Command::new("measure_in_force")
        .about("Measures the time until confirmed changes are in force on all VMs")
        .arg(address("operators", "Operators' address of a daemon; several are tried in turn"))
        .arg(address("entry", "Callers' address of an entry VM to probe"))
        .arg(
            option("token-file", "File with the operators' token")
                .value_parser(value_parser!(PathBuf))
                .required(true),
        )
        .arg(option("service", "Service").value_parser(value_parser!(ServiceId)).required(true))
        .arg(organisation("key-organisation", "Organisation whose keys are issued and withdrawn"))
        .arg(organisation("rate-organisation", "Organisation whose rate is changed"))
        .arg(
            option(
                "rounds",
                "Number of rounds; each changes a rate and issues and withdraws a key",
            )
            .value_parser(value_parser!(u32))
            .default_value("20"),
        )
}

/// Parses the command line and reads the token.
pub fn parse() -> Result<Options> {
    let matches = command().get_matches();
    let path: PathBuf = value(&matches, "token-file");
    let token =
        fs::read_to_string(&path).with_context(|| format!("failed to read {}", path.display()))?;
    Ok(Options {
        operators: values(&matches, "operators"),
        entries: values(&matches, "entry"),
        token: token.trim().to_owned(),
        service: value(&matches, "service"),
        key_organisation: value(&matches, "key-organisation"),
        rate_organisation: value(&matches, "rate-organisation"),
        rounds: value(&matches, "rounds"),
    })
}

fn values(matches: &ArgMatches, name: &str) -> Vec<String> {
    matches.get_many::<String>(name).into_iter().flatten().cloned().collect()
}

/// Returns the value of an option that is required or has a default.
fn value<T: Clone + Send + Sync + 'static>(matches: &ArgMatches, name: &str) -> T {
    matches.get_one::<T>(name).cloned().unwrap_or_else(|| panic!("{name} has a value"))
}
