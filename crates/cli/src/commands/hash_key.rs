//! `hash-key`: the hash under which a deployment file knows a key.

use std::path::PathBuf;

use celerygate_types::KeyHash;
use clap::{Arg, ArgMatches, Command, value_parser};

use super::read_text;
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

/// Prints one hash for each file, in their order.
pub fn execute(matches: &ArgMatches, output: &Output) -> Result<(), Failure> {
    for path in matches.get_many::<PathBuf>("file").into_iter().flatten() {
        output.print(&hash(&read_text(path)?).to_string());
    }
    Ok(())
}

/// Returns the hash by which daemons recognise a key.
pub fn hash(key: &str) -> KeyHash {
    KeyHash(*blake3::hash(key.as_bytes()).as_bytes())
}
