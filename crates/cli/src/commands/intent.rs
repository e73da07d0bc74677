//! `intent`: proposes a change to the system and shows its plan.

mod key;

use celerygate_types::wire::{
    DrainSubject, IntentKind, IntentRequest, IntentState, MoveIntent, RateIntent, TargetName,
};
use celerygate_types::{
    IntentId, OrganisationId, Outcome, RegionId, RequestCount, RequestRate, ResultCode, Revision,
    ServiceId, SharePpm, TargetId, VmId,
};
use clap::{Arg, ArgMatches, Command, value_parser};

use super::{intent_argument, required};
use crate::client::Client;
use crate::exit::Failure;
use crate::output::Output;
use crate::share;

/// Builds the subcommand.
pub fn build() -> Command {
    Command::new("intent")
        .about("Propose a change and show its plan; nothing changes before confirm")
        .subcommand_required(true)
        .arg(
            Arg::new("id")
                .long("id")
                .value_name("ID")
                .help("Id of the intent; a fresh one by default")
                .value_parser(value_parser!(IntentId))
                .global(true),
        )
        .arg(
            Arg::new("based-on")
                .long("based-on")
                .value_name("REVISION")
                .help("Revision you looked at; the current one by default")
                .value_parser(value_parser!(Revision))
                .global(true),
        )
        .subcommand(build_move())
        .subcommand(build_drain())
        .subcommand(key::build())
        .subcommand(build_rate())
        .subcommand(build_intent_command("cancel", "Cancel an intent"))
        .subcommand(build_intent_command("pause", "Pause a running intent"))
        .subcommand(build_intent_command("resume", "Resume a paused intent"))
}

/// Returns a required option that takes a value.
fn required_option(name: &'static str, value_name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).value_name(value_name).help(help).required(true)
}

fn organisation_option() -> Arg {
    required_option("organisation", "O", "The organisation")
        .value_parser(value_parser!(OrganisationId))
}

fn build_move() -> Command {
    Command::new("move")
        .about("Move a share of a service's traffic between regions")
        .arg(required_option("service", "S", "The service").value_parser(value_parser!(ServiceId)))
        .arg(
            required_option("from", "R", "Region that gives up traffic")
                .value_parser(value_parser!(RegionId)),
        )
        .arg(
            required_option("to", "R", "Region that takes traffic")
                .value_parser(value_parser!(RegionId)),
        )
        .arg(
            required_option("share", "SHARE", "Share of the traffic, such as 10%")
                .value_parser(share::parse),
        )
}

fn build_drain() -> Command {
    let positional = |name, value_name| Arg::new(name).value_name(value_name).required(true);
    let region = Command::new("region")
        .about("Drain a region")
        .arg(positional("region", "REGION").value_parser(value_parser!(RegionId)));
    let target = Command::new("target")
        .about("Drain a target of a service")
        .arg(required_option("service", "S", "The service").value_parser(value_parser!(ServiceId)))
        .arg(positional("target", "TARGET").value_parser(value_parser!(TargetId)));
    let vm = Command::new("vm")
        .about("Drain a VM of the system")
        .arg(positional("vm", "VM").value_parser(value_parser!(VmId)));
    Command::new("drain")
        .about("Drain a region, a target or a VM")
        .subcommand_required(true)
        .subcommands([region, target, vm])
}

fn build_rate() -> Command {
    let rate = required_option("rate", "REQUESTS/S", "Requests per second");
    let burst = required_option("burst", "REQUESTS", "Requests that may come at once");
    Command::new("rate")
        .about("Set the rate and burst of an organisation over all VMs")
        .arg(organisation_option())
        .arg(rate.value_parser(value_parser!(RequestRate)))
        .arg(burst.value_parser(value_parser!(RequestCount)))
}

fn build_intent_command(name: &'static str, about: &'static str) -> Command {
    Command::new(name).about(about).arg(intent_argument())
}

/// An intent that was parsed from the command line.
struct ParsedIntent {
    kind: IntentKind,
    /// The generated key whose hash is part of the intent.
    key: Option<String>,
}

fn parse_intent(matches: &ArgMatches) -> Result<ParsedIntent, Failure> {
    let kind = match matches.subcommand() {
        Some(("move", matches)) => IntentKind::Move(MoveIntent {
            service: required(matches, "service"),
            from: required(matches, "from"),
            to: required(matches, "to"),
            share_ppm: required::<SharePpm>(matches, "share"),
        }),
        Some(("drain", matches)) => IntentKind::Drain(drain_subject(matches)?),
        Some(("key", matches)) => return key::parse_intent(matches),
        Some(("rate", matches)) => IntentKind::Rate(RateIntent {
            organisation: required(matches, "organisation"),
            rate_requests_per_s: required(matches, "rate"),
            burst_requests: required(matches, "burst"),
        }),
        Some(("cancel", matches)) => IntentKind::Cancel(required(matches, "intent")),
        Some(("pause", matches)) => IntentKind::Pause(required(matches, "intent")),
        Some(("resume", matches)) => IntentKind::Resume(required(matches, "intent")),
        _ => return Err(Failure::usage("no subcommand is given")),
    };
    Ok(ParsedIntent { kind, key: None })
}

fn drain_subject(matches: &ArgMatches) -> Result<DrainSubject, Failure> {
    match matches.subcommand() {
        Some(("region", matches)) => Ok(DrainSubject::Region(required(matches, "region"))),
        Some(("target", matches)) => Ok(DrainSubject::Target(TargetName {
            service: required(matches, "service"),
            target: required(matches, "target"),
        })),
        Some(("vm", matches)) => Ok(DrainSubject::Vm(required(matches, "vm"))),
        _ => Err(Failure::usage("no subcommand is given")),
    }
}

/// Sends the intent and prints its plan.
pub async fn execute(
    matches: &ArgMatches,
    client: &Client,
    output: &Output,
) -> Result<(), Failure> {
    let ParsedIntent { kind, key } = parse_intent(matches)?;
    let (intent, based_on) = match matches.subcommand() {
        Some((_, inner)) => (inner.get_one("id").cloned(), inner.get_one("based-on").copied()),
        None => (None, None),
    };
    let request = IntentRequest { intent: intent.unwrap_or_else(random_id), based_on, kind };
    output.print_before_send(&request.intent, key.as_deref());
    let answer = match client.propose(&request).await {
        Ok(answer) => answer,
        Err(failure) if failure.outcome == Outcome::Unknown => {
            return Err(Failure { key: key.map(Into::into), ..failure });
        }
        Err(failure) => return Err(failure),
    };
    output.print_proposal(key.as_deref(), &answer);
    let record = &answer.record;
    match (&record.plan.refusal, record.state) {
        (Some(refusal), _) => {
            let code = ResultCode::from_number(refusal.code).unwrap_or(ResultCode::IntentRefused);
            Err(Failure::new(code, refusal.reason.as_str()).with_intent(&record.intent))
        }
        (None, IntentState::Refused) => {
            let failure = Failure::new(ResultCode::IntentRefused, "The plan was refused.");
            Err(failure.with_intent(&record.intent))
        }
        _ => Ok(()),
    }
}

/// Returns a random id; 64 random bits make it unique in practice.
fn random_id() -> IntentId {
    let text = format!("i-{:016x}", rand::random::<u64>());
    text.parse().expect("hexadecimal digits are allowed in ids")
}

#[cfg(test)]
#[path = "intent_tests.rs"]
mod tests;
