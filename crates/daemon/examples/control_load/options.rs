//! Command-line options.

use std::path::PathBuf;
use std::time::Duration;

use anyhow::{Context as _, Result};
use clap::{Arg, ArgMatches, Command, value_parser};

/// Options of the subcommand `settings`.
pub struct Deployment {
    pub folder: PathBuf,
    pub followers: usize,
    pub blocks: usize,
    pub services: usize,
    pub port: u16,
}

/// Options of the subcommand `run`.
pub struct Load {
    pub folder: PathBuf,
    pub followers: usize,
    pub port: u16,
    /// Process ids of the control daemons, in the order of their names.
    pub pids: Vec<u32>,
    /// Duration of each measured phase.
    pub phase: Duration,
    pub commits: usize,
    /// Whether to wait until all followers have the configuration. A configuration larger than a
    /// frame is never delivered.
    pub await_configuration: bool,
}

pub enum Action {
    Settings(Deployment),
    Run(Load),
    Blocks(Vec<usize>),
    Slots(Vec<usize>),
    Report(PathBuf),
}

fn number(name: &'static str, default: &'static str) -> Arg {
    Arg::new(name).long(name).default_value(default).value_parser(value_parser!(usize))
}

fn folder() -> Arg {
    Arg::new("folder").long("folder").required(true).value_parser(value_parser!(PathBuf))
}

fn port() -> Arg {
    Arg::new("port").long("port").default_value("7400").value_parser(value_parser!(u16))
}

fn command() -> Command {
    let counts = Arg::new("counts").num_args(1..).required(true);
    let pids = Arg::new("pids").long("pids").num_args(3).required(true);
    let waits = Arg::new("await-configuration").long("await-configuration").default_value("true");
    Command::new("control_load")
        .about("Measures the cost of control daemons by their number of followers")
        .subcommand_required(true)
        .subcommand(
            Command::new("settings")
                .about("Writes the settings of three control daemons")
                .args([folder(), port(), number("stand-ins", "20"), number("blocks", "100")])
                .arg(number("services", "170")),
        )
        .subcommand(
            Command::new("run")
                .about(
                    "Simulates followers and prints the measured values for each phase and daemon",
                )
                .args([folder(), port(), number("stand-ins", "20"), number("phase-s", "10")])
                .args([number("commits", "8")])
                .arg(waits.value_parser(value_parser!(bool)))
                .arg(pids.value_parser(value_parser!(u32))),
        )
        .subcommand(
            Command::new("blocks")
                .about("Measures size and processing time of a configuration by its client blocks")
                .arg(counts.clone().value_parser(value_parser!(usize))),
        )
        .subcommand(
            Command::new("slots")
                .about("Measures a slot owner by the number of VMs that hold permits")
                .arg(counts.value_parser(value_parser!(usize))),
        )
        .subcommand(
            Command::new("report")
                .about("Prints medians and least-squares fits of measured rows")
                .arg(Arg::new("rows").required(true).value_parser(value_parser!(PathBuf))),
        )
}

fn get<T: Clone + Send + Sync + 'static>(matches: &ArgMatches, name: &str) -> Result<T> {
    matches.get_one::<T>(name).cloned().with_context(|| format!("--{name} is missing"))
}

pub fn parse() -> Result<Action> {
    let matches = command().get_matches();
    Ok(match matches.subcommand() {
        Some(("settings", matches)) => Action::Settings(Deployment {
            folder: get(matches, "folder")?,
            followers: get(matches, "stand-ins")?,
            blocks: get(matches, "blocks")?,
            services: get(matches, "services")?,
            port: get(matches, "port")?,
        }),
        Some(("run", matches)) => Action::Run(Load {
            folder: get(matches, "folder")?,
            followers: get(matches, "stand-ins")?,
            port: get(matches, "port")?,
            pids: matches.get_many("pids").into_iter().flatten().copied().collect(),
            phase: Duration::from_secs(get::<usize>(matches, "phase-s")? as u64),
            commits: get(matches, "commits")?,
            await_configuration: get(matches, "await-configuration")?,
        }),
        Some(("blocks", matches)) => {
            Action::Blocks(matches.get_many("counts").into_iter().flatten().copied().collect())
        }
        Some(("slots", matches)) => {
            Action::Slots(matches.get_many("counts").into_iter().flatten().copied().collect())
        }
        Some(("report", matches)) => Action::Report(get(matches, "rows")?),
        _ => anyhow::bail!("a subcommand is missing"),
    })
}
