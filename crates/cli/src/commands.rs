//! The subcommands and their common options.

pub mod completions;
pub mod confirm;
pub mod hash_key;
pub mod intent;
pub mod plan;
pub mod status;

use std::ffi::OsString;
use std::fs;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use celerygate_types::IntentId;
use clap::builder::{PossibleValuesParser, TypedValueParser as _};
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use strum::VariantNames as _;

use crate::client::Client;
use crate::exit::Failure;
use crate::output::{Format, Output, Printer};

/// Environment variable that holds the addresses of the daemons.
const DAEMONS_ENV_VARIABLE: &str = "CELERYGATE_DAEMONS";

/// Default time limit of one attempt. It is longer than the election of a leader, which takes 1 to
/// 2 s.
const DEFAULT_TIMEOUT_MS: &str = "5000";

/// Builds the parser of the command line.
pub fn build() -> Command {
    clap::command!()
        .name("celerygate")
        .about("The operators' command line of celerygate")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .args(global_options())
        .subcommand(intent::build())
        .subcommand(plan::build())
        .subcommand(confirm::build())
        .subcommand(status::build())
        .subcommand(completions::build())
        .subcommand(hash_key::build())
}

fn global_options() -> [Arg; 4] {
    [
        Arg::new("daemon")
            .long("daemon")
            .value_name("HOST:PORT")
            .help("Operators' address of a daemon; several are tried in turn")
            .env(DAEMONS_ENV_VARIABLE)
            .value_delimiter(',')
            .action(ArgAction::Append)
            .global(true),
        Arg::new("token-file")
            .long("token-file")
            .value_name("FILE")
            .help("File with the operators' token")
            .value_parser(value_parser!(PathBuf))
            .global(true),
        Arg::new("output")
            .long("output")
            .value_name("FORMAT")
            .help("How to print results and failures")
            .value_parser(
                PossibleValuesParser::new(Format::VARIANTS).try_map(|text| text.parse::<Format>()),
            )
            .default_value("text")
            .global(true),
        Arg::new("timeout-ms")
            .long("timeout-ms")
            .value_name("MS")
            .help("Time for connecting to one daemon, and again for its answer")
            .value_parser(value_parser!(u64).range(1..=3_600_000))
            .default_value(DEFAULT_TIMEOUT_MS)
            .global(true),
    ]
}

/// Parses the command line, executes it and returns the exit code.
pub async fn run(args: impl IntoIterator<Item = OsString>, printer: Printer) -> ExitCode {
    let args: Vec<OsString> = args.into_iter().collect();
    ExitCode::from(run_to_code(&args, printer).await)
}

async fn run_to_code(args: &[OsString], printer: Printer) -> u8 {
    let matches = match build().try_get_matches_from(args) {
        Ok(matches) => matches,
        Err(error) if !error.use_stderr() => {
            (printer.result)(&error.to_string());
            return 0;
        }
        Err(error) => {
            let message = error.to_string();
            let message = message.strip_prefix("error: ").unwrap_or(&message).trim_end();
            let output = Output { format: requested_format(args), printer };
            return print_failure(&output, &Failure::usage(message));
        }
    };
    let format = matches.get_one("output").copied().unwrap_or(Format::Text);
    let output = Output { format, printer };
    match execute(&matches, &output).await {
        Ok(()) => 0,
        Err(failure) => print_failure(&output, &failure),
    }
}

fn print_failure(output: &Output, failure: &Failure) -> u8 {
    output.print_failure(failure);
    failure.exit_code()
}

/// Returns the output format requested by a command line that could not be parsed.
fn requested_format(args: &[OsString]) -> Format {
    let json = args.windows(2).any(|pair| pair[0] == "--output" && pair[1] == "json")
        || args.iter().any(|arg| arg == "--output=json");
    if json { Format::Json } else { Format::Text }
}

async fn execute(matches: &ArgMatches, output: &Output) -> Result<(), Failure> {
    match matches.subcommand() {
        Some(("intent", matches)) => intent::execute(matches, &client(matches)?, output).await,
        Some(("plan", matches)) => plan::execute(matches, &client(matches)?, output).await,
        Some(("confirm", matches)) => confirm::execute(matches, &client(matches)?, output).await,
        Some(("status", matches)) => status::execute(&client(matches)?, output).await,
        Some(("completions", matches)) => completions::execute(matches, output),
        Some(("hash-key", matches)) => hash_key::execute(matches, output),
        _ => Err(Failure::usage("no subcommand is given")),
    }
}

/// Creates the client from the global options.
fn client(matches: &ArgMatches) -> Result<Client, Failure> {
    let daemons: Vec<String> = matches
        .get_many::<String>("daemon")
        .into_iter()
        .flatten()
        .map(|daemon| daemon.trim().to_owned())
        .filter(|daemon| !daemon.is_empty())
        .collect();
    if daemons.is_empty() {
        return Err(Failure::usage(format!("give --daemon or set {DAEMONS_ENV_VARIABLE}")));
    }
    let path: &PathBuf =
        matches.get_one("token-file").ok_or_else(|| Failure::usage("give --token-file"))?;
    let timeout_ms = matches.get_one("timeout-ms").copied().unwrap_or_default();
    let token = read_trimmed(path)?;
    Ok(Client { daemons, token, timeout: Duration::from_millis(timeout_ms) })
}

/// Reads a text file and removes leading and trailing white space.
///
/// # Errors
///
/// When the file cannot be read or is empty.
fn read_trimmed(path: &PathBuf) -> Result<String, Failure> {
    let text = fs::read_to_string(path)
        .map_err(|error| Failure::usage(format!("cannot read {}: {error}", path.display())))?;
    match text.trim() {
        "" => Err(Failure::usage(format!("{} is empty", path.display()))),
        trimmed => Ok(trimmed.to_owned()),
    }
}

/// Returns the positional argument for the id of an existing intent.
fn intent_argument() -> Arg {
    Arg::new("intent")
        .value_name("ID")
        .help("Id of the intent")
        .required(true)
        .value_parser(value_parser!(IntentId))
}

/// Returns the value of a required argument. clap has checked that it is present.
fn required<T: Clone + Send + Sync + 'static>(matches: &ArgMatches, name: &str) -> T {
    matches.get_one::<T>(name).cloned().unwrap_or_else(|| panic!("{name} is a required argument"))
}

#[cfg(test)]
#[path = "commands_tests.rs"]
mod tests;
