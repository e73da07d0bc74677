//! Command-line options of the load client.

use std::fs;
use std::path::{Path, PathBuf};
use std::time::Duration;

use anyhow::{Context as _, Result, ensure};
use celerygate_types::ServiceId;
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

/// The load to generate.
pub struct Load {
    /// Callers' addresses of daemons that answer lookups, tried in turn.
    pub lookup: Vec<String>,
    pub service: ServiceId,
    pub requests: u64,
    /// Number of connections of each organisation.
    pub connections: u32,
    /// Requests per second of each organisation; unlimited if `None`.
    pub rate_requests_per_s: Option<f64>,
    pub body_bytes: u64,
    /// Every Nth request is a `POST /count`; 0 for none.
    pub count_every: u64,
    pub deadline: Duration,
    pub max_refused: u64,
    /// Whether to print refused requests.
    pub verbose: bool,
}

/// An organisation on whose behalf requests are sent.
pub struct Organisation {
    pub name: String,
    pub key: String,
    /// Client address for which entry VMs are looked up.
    pub client: Option<String>,
}

fn command() -> Command {
    let option = |name: &'static str, help: &'static str| Arg::new(name).long(name).help(help);
    let number = |name, help| option(name, help).value_parser(value_parser!(u64));
    Command::new("load_client")
        .about("Sends requests through celerygate and verifies the responses")
        .arg(
            option(
                "lookup",
                "Callers' address of a daemon that answers lookups; several are tried in turn",
            )
            .value_name("HOST:PORT")
            .action(ArgAction::Append)
            .required(true),
        )
        .arg(option("service", "Service").value_parser(value_parser!(ServiceId)).required(true))
        .arg(
            option("keys", "Folder with one ORGANISATION.key file for each organisation")
                .value_parser(value_parser!(PathBuf))
                .required(true),
        )
        .arg(
            option(
                "client",
                "Client address of the lookups; several are assigned to organisations in turn",
            )
            .value_name("ADDRESS")
            .action(ArgAction::Append),
        )
        .arg(number("requests", "Total number of requests").default_value("1000"))
        .arg(
            option("connections", "Connections for each organisation")
                .value_parser(value_parser!(u32).range(1..=1_000))
                .default_value("4"),
        )
        .arg(
            option("rate", "Requests per second of each organisation; unlimited by default")
                .value_parser(value_parser!(f64)),
        )
        .arg(number("bytes", "Size of each response body in bytes").default_value("1024"))
        .arg(
            number("count-every", "Send every Nth request as POST /count; 0 for none")
                .default_value("0"),
        )
        .arg(
            number("deadline-ms", "Deadline of each request in milliseconds")
                .default_value("10000"),
        )
        .arg(
            number("max-refused", "Number of refused requests up to which the exit code is 0")
                .default_value("0"),
        )
        .arg(option("verbose", "Print refused requests, too").action(ArgAction::SetTrue))
}

/// Parses the command line and reads the keys.
pub fn parse() -> Result<(Load, Vec<Organisation>)> {
    let matches = command().get_matches();
    let rate_requests_per_s = matches.get_one::<f64>("rate").copied();
    ensure!(rate_requests_per_s.is_none_or(|rate| rate > 0.0), "--rate must be above 0");
    let load = Load {
        lookup: matches.get_many::<String>("lookup").into_iter().flatten().cloned().collect(),
        service: value(&matches, "service"),
        requests: value(&matches, "requests"),
        connections: value(&matches, "connections"),
        rate_requests_per_s,
        body_bytes: value(&matches, "bytes"),
        count_every: value(&matches, "count-every"),
        deadline: Duration::from_millis(value(&matches, "deadline-ms")),
        max_refused: value(&matches, "max-refused"),
        verbose: matches.get_flag("verbose"),
    };
    let clients: Vec<String> =
        matches.get_many::<String>("client").into_iter().flatten().cloned().collect();
    let organisations = read_keys(&value::<PathBuf>(&matches, "keys"), &clients)?;
    Ok((load, organisations))
}

fn read_keys(folder: &Path, clients: &[String]) -> Result<Vec<Organisation>> {
    let read = || format!("failed to read {}", folder.display());
    let mut files = Vec::new();
    for entry in fs::read_dir(folder).with_context(read)? {
        files.push(entry.with_context(read)?.path());
    }
    files.retain(|file| file.extension().is_some_and(|extension| extension == "key"));
    files.sort();
    ensure!(!files.is_empty(), "no .key file in {}", folder.display());
    let mut organisations = Vec::new();
    for (index, file) in files.iter().enumerate() {
        let name = file.file_stem().unwrap_or_default().to_string_lossy().into_owned();
        let key = fs::read_to_string(file)
            .with_context(|| format!("failed to read {}", file.display()))?;
        let client = (!clients.is_empty()).then(|| clients[index % clients.len()].clone());
        organisations.push(Organisation { name, key: key.trim().to_owned(), client });
    }
    Ok(organisations)
}

/// Returns the value of an option that is required or has a default.
fn value<T: Clone + Send + Sync + 'static>(matches: &ArgMatches, name: &str) -> T {
    matches.get_one::<T>(name).cloned().unwrap_or_else(|| panic!("{name} has a value"))
}
