//! `hash-key`: prints the hash that represents a key in a deployment file.

use std::path::PathBuf;

use celerygate_types::KeyHash;
use clap::{Arg, ArgMatches, Command, value_parser};

use super::read_trimmed;
use crate::exit::Failure;
use crate::output::Output;

/// Builds the subcommand.
pub fn build() -> Command {
    Command::new("hash-key").about("Print the blake3 hash of keys for a deployment file").arg(
        Arg::new("file")
            .value_name("FILE")
            .help("File that holds one key; white space around it is ignored")
            .num_args(1..)
            .required(true)
            .value_parser(value_parser!(PathBuf)),
    )
}

/// Prints one hash per file, in the order of the files.
pub fn execute(matches: &ArgMatches, output: &Output) -> Result<(), Failure> {
    for path in matches.get_many::<PathBuf>("file").into_iter().flatten() {
        output.print_text(&hash(&read_trimmed(path)?).to_string());
    }
    Ok(())
}

/// Returns the hash by which daemons identify a key.
pub fn hash(key: &str) -> KeyHash {
    KeyHash(*blake3::hash(key.as_bytes()).as_bytes())
}
