//! `intent key`: issues, replaces and withdraws keys of organisations.

use std::path::PathBuf;

use celerygate_types::KeyId;
use celerygate_types::wire::{IntentKind, KeyIssueIntent, KeyReplaceIntent, KeyWithdrawIntent};
use clap::{Arg, ArgMatches, Command, value_parser};

use super::super::{hash_key, read_trimmed, required};
use super::{ParsedIntent, organisation_option, required_option};
use crate::exit::Failure;

/// Minimum length of a key that is read from a file. 16 random bytes cannot be guessed.
const MIN_KEY_BYTES: usize = 16;

/// Builds the subcommand.
pub fn build() -> Command {
    let issue = Command::new("issue")
        .about("Issue another key to an organisation")
        .arg(organisation_option())
        .args(new_key_options());
    let replace = Command::new("replace")
        .about("Issue a key and let an old one expire after an overlap")
        .arg(organisation_option())
        .arg(key_option("old-key", "Id of the key that expires"))
        .args(new_key_options())
        .arg(
            required_option("overlap-ms", "MS", "Time for which both keys work")
                .value_parser(value_parser!(u64)),
        );
    let withdraw = Command::new("withdraw")
        .about("Withdraw a key; requests in progress run to completion")
        .arg(organisation_option())
        .arg(key_option("key", "Id of the key that is withdrawn"));
    Command::new("key")
        .about("Issue, replace or withdraw a key of an organisation")
        .subcommand_required(true)
        .subcommands([issue, replace, withdraw])
}

fn key_option(name: &'static str, help: &'static str) -> Arg {
    required_option(name, "KEY-ID", help).value_parser(value_parser!(KeyId))
}

fn new_key_options() -> [Arg; 2] {
    [
        key_option("key", "Id of the new key; a fresh one by default").required(false),
        Arg::new("from-file")
            .long("from-file")
            .value_name("FILE")
            .help("Use the key in this file instead of a random one, and do not show it")
            .value_parser(value_parser!(PathBuf)),
    ]
}

/// Parses an intent for a key. The intent contains only the hash of the key.
pub fn parse_intent(matches: &ArgMatches) -> Result<ParsedIntent, Failure> {
    match matches.subcommand() {
        Some(("issue", matches)) => {
            let NewKey { id, text, is_generated } = parse_new_key(matches)?;
            let kind = IntentKind::KeyIssue(KeyIssueIntent {
                organisation: required(matches, "organisation"),
                key: id,
                hash: hash_key::hash(&text),
            });
            Ok(ParsedIntent { kind, key: is_generated.then_some(text) })
        }
        Some(("replace", matches)) => {
            let NewKey { id, text, is_generated } = parse_new_key(matches)?;
            let kind = IntentKind::KeyReplace(KeyReplaceIntent {
                organisation: required(matches, "organisation"),
                old_key: required(matches, "old-key"),
                key: id,
                hash: hash_key::hash(&text),
                overlap_ms: required(matches, "overlap-ms"),
            });
            Ok(ParsedIntent { kind, key: is_generated.then_some(text) })
        }
        Some(("withdraw", matches)) => {
            let kind = IntentKind::KeyWithdraw(KeyWithdrawIntent {
                organisation: required(matches, "organisation"),
                key: required(matches, "key"),
            });
            Ok(ParsedIntent { kind, key: None })
        }
        _ => Err(Failure::usage("no subcommand is given")),
    }
}

struct NewKey {
    id: KeyId,
    text: String,
    /// Whether the key was generated, so that it has to be shown to the operator.
    is_generated: bool,
}

fn parse_new_key(matches: &ArgMatches) -> Result<NewKey, Failure> {
    let id = matches.get_one("key").cloned().unwrap_or_else(random_id);
    let Some(path) = matches.get_one::<PathBuf>("from-file") else {
        return Ok(NewKey { id, text: random_key(), is_generated: true });
    };
    let text = read_trimmed(path)?;
    if text.len() < MIN_KEY_BYTES || !text.bytes().all(|byte| byte.is_ascii_graphic()) {
        let path = path.display();
        return Err(Failure::usage(format!(
            "{path}: expected {MIN_KEY_BYTES} or more visible ASCII characters"
        )));
    }
    Ok(NewKey { id, text, is_generated: false })
}

fn random_id() -> KeyId {
    let text = format!("k-{:016x}", rand::random::<u64>());
    text.parse().expect("hexadecimal digits are allowed in ids")
}

/// Returns 256 random bits in hexadecimal.
fn random_key() -> String {
    rand::random::<[u8; 32]>().iter().map(|byte| format!("{byte:02x}")).collect()
}
