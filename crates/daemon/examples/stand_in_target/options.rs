//! Command-line options of the stand-in target.

use std::fs;
use std::path::PathBuf;
use std::time::Duration;

use anyhow::{Context as _, Result};
use celerygate_types::{DataCentreId, RegionId, ServiceId, SlotCount, TargetId};
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

/// Options of the stand-in target.
pub struct Options {
    /// Targets' addresses of the daemons, tried in turn.
    pub announce: Vec<String>,
    pub token: String,
    pub service: ServiceId,
    pub target: TargetId,
    pub region: RegionId,
    pub data_centre: DataCentreId,
    pub listen: String,
    pub slots: SlotCount,
    pub connections: u32,
    /// Time for which the target accepts requests after its departure.
    pub drain: Duration,
    pub faults: Faults,
    /// File to which the idempotency key of each `POST /count` is appended when it runs.
    pub run_log_file: Option<PathBuf>,
}

/// Injected faults. In the fields `*_every`, N affects every Nth request and 0 none.
#[derive(Clone, Copy)]
pub struct Faults {
    /// Delay before each response.
    pub delay: Duration,
    pub stall_every: u64,
    pub shed_every: u64,
    pub truncate_every: u64,
    /// Delay after each chunk of a body.
    pub chunk_delay: Duration,
}

fn command() -> Command {
    let option = |name: &'static str, help: &'static str| Arg::new(name).long(name).help(help);
    let number = |name, help| option(name, help).value_parser(value_parser!(u64));
    Command::new("stand_in_target")
        .about("A stand-in target with fault injection")
        .arg(
            option("announce", "Targets' address of a daemon; several are tried in turn")
                .value_name("HOST:PORT")
                .action(ArgAction::Append)
                .required(true),
        )
        .arg(
            option("token-file", "File with the targets' token")
                .value_parser(value_parser!(PathBuf))
                .required(true),
        )
        .arg(option("service", "Service").value_parser(value_parser!(ServiceId)).required(true))
        .arg(
            option("target", "Id of the target")
                .value_parser(value_parser!(TargetId))
                .required(true),
        )
        .arg(option("region", "Region").value_parser(value_parser!(RegionId)).required(true))
        .arg(
            option("data-centre", "Data centre of the target")
                .value_parser(value_parser!(DataCentreId))
                .required(true),
        )
        .arg(option("listen", "Address to listen on").default_value("127.0.0.1:0"))
        .arg(
            option("slots", "Largest number of concurrent requests")
                .value_parser(value_parser!(SlotCount))
                .default_value("3"),
        )
        .arg(
            option("connections", "Largest number of connections")
                .value_parser(value_parser!(u32))
                .default_value("300"),
        )
        .arg(
            option("ran-file", "File to which the idempotency key of each POST /count is appended")
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(
            number("drain-ms", "Time to accept requests after the departure, in ms")
                .default_value("4000"),
        )
        .arg(number("delay-ms", "Delay before each response in ms").default_value("0"))
        .arg(number("piece-delay-ms", "Delay after each 64 KiB of a body in ms").default_value("0"))
        .arg(number("stall-every", "Never answer every Nth request; 0 for none").default_value("0"))
        .arg(
            number("shed-every", "Answer every Nth request with 503; 0 for none")
                .default_value("0"),
        )
        .arg(
            number("truncate-every", "Truncate the body of every Nth response; 0 for none")
                .default_value("0"),
        )
}

/// Parses the command line and reads the token.
pub fn parse() -> Result<Options> {
    let matches = command().get_matches();
    let path: PathBuf = value(&matches, "token-file");
    let token =
        fs::read_to_string(&path).with_context(|| format!("failed to read {}", path.display()))?;
    let announce = matches.get_many::<String>("announce").into_iter().flatten();
    Ok(Options {
        announce: announce.cloned().collect(),
        token: token.trim().to_owned(),
        service: value(&matches, "service"),
        target: value(&matches, "target"),
        region: value(&matches, "region"),
        data_centre: value(&matches, "data-centre"),
        listen: value(&matches, "listen"),
        slots: value(&matches, "slots"),
        connections: value(&matches, "connections"),
        drain: Duration::from_millis(value(&matches, "drain-ms")),
        faults: Faults {
            delay: Duration::from_millis(value(&matches, "delay-ms")),
            stall_every: value(&matches, "stall-every"),
            shed_every: value(&matches, "shed-every"),
            truncate_every: value(&matches, "truncate-every"),
            chunk_delay: Duration::from_millis(value(&matches, "piece-delay-ms")),
        },
        run_log_file: matches.get_one::<PathBuf>("ran-file").cloned(),
    })
}

/// Returns the value of an option that is required or has a default.
fn value<T: Clone + Send + Sync + 'static>(matches: &ArgMatches, name: &str) -> T {
    matches.get_one::<T>(name).cloned().unwrap_or_else(|| panic!("{name} has a value"))
}
