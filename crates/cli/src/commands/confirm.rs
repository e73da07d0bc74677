//! `confirm`: confirms the plan of an intent, so that it is executed.

use std::time::{Duration, Instant};

use celerygate_types::wire::{IntentAnswer, IntentState};
use celerygate_types::{IntentId, ResultCode, Revision};
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use indicatif::{ProgressBar, ProgressStyle};

use super::{intent_argument, required};
use crate::client::Client;
use crate::exit::Failure;
use crate::output::{Format, Output, state_with_reason};

/// Time between two requests for the state of a running intent.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Time without an answer after which `--wait` gives up. Elections and restarts of daemons take a
/// few seconds.
const UNREACHABLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Builds the subcommand.
pub fn build() -> Command {
    Command::new("confirm")
        .about("Carry out the plan of an intent")
        .arg(intent_argument())
        .arg(
            Arg::new("based-on")
                .long("based-on")
                .value_name("REVISION")
                .help("Revision the plan was reviewed at; the one the plan is based on by default")
                .value_parser(value_parser!(Revision)),
        )
        .arg(
            Arg::new("wait")
                .long("wait")
                .help("Follow the intent until its last change is in force everywhere")
                .action(ArgAction::SetTrue),
        )
}

/// Confirms the intent, waits until it is in force if `--wait` is given, and prints it.
pub async fn execute(
    matches: &ArgMatches,
    client: &Client,
    output: &Output,
) -> Result<(), Failure> {
    let intent: IntentId = required(matches, "intent");
    let based_on = match matches.get_one::<Revision>("based-on") {
        Some(revision) => *revision,
        None => client.intent(&intent).await?.record.based_on,
    };
    let mut answer = client.confirm(&intent, based_on).await?;
    if matches.get_flag("wait") {
        answer = wait_until_in_force(client, output, answer).await?;
    }
    output.print_intent(&answer);
    match answer.record.state {
        state @ (IntentState::Cancelled | IntentState::Refused) => {
            let failure = Failure::new(ResultCode::IntentState, format!("The intent is {state}."));
            Err(failure.with_intent(&intent))
        }
        _ => Ok(()),
    }
}

/// Whether `--wait` has to request the state of the intent again.
#[derive(Debug, PartialEq)]
enum NextPoll {
    /// The intent is still running.
    Continue,
    /// The intent is finished.
    Stop,
}

fn next_poll(answer: &IntentAnswer) -> NextPoll {
    let record = &answer.record;
    // `in_force` becomes true after each step of a move, so it does not mean that all are applied.
    let last_step_applied = record.next_step as usize >= record.plan.steps.len();
    match record.state {
        IntentState::Cancelled | IntentState::Refused => NextPoll::Stop,
        IntentState::Done if answer.in_force => NextPoll::Stop,
        _ if answer.in_force && last_step_applied => NextPoll::Stop,
        _ => NextPoll::Continue,
    }
}

async fn wait_until_in_force(
    client: &Client,
    output: &Output,
    mut answer: IntentAnswer,
) -> Result<IntentAnswer, Failure> {
    let bar = progress_bar(output.format);
    let mut last_answer_at = Instant::now();
    while next_poll(&answer) == NextPoll::Continue {
        update_progress(&bar, &answer);
        tokio::time::sleep(POLL_INTERVAL).await;
        match client.intent(&answer.record.intent).await {
            Ok(newer) => {
                answer = newer;
                last_answer_at = Instant::now();
            }
            Err(failure) if last_answer_at.elapsed() < UNREACHABLE_TIMEOUT => {
                bar.set_message(format!("{}: {}", failure.name, failure.message));
            }
            Err(failure) => {
                bar.finish_and_clear();
                let advice = "The intent is confirmed; look at it with plan show.";
                return Err(failure.with_advice(advice));
            }
        }
    }
    bar.finish_and_clear();
    Ok(answer)
}

/// Creates a progress bar that is drawn on the standard error output, if that is a terminal.
fn progress_bar(format: Format) -> ProgressBar {
    if format == Format::Json {
        return ProgressBar::hidden();
    }
    let bar = ProgressBar::new(0);
    let style = ProgressStyle::with_template("{spinner} {elapsed} [{bar:20}] {pos}/{len} {msg}");
    bar.set_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()));
    bar.enable_steady_tick(Duration::from_millis(100));
    bar
}

fn update_progress(bar: &ProgressBar, answer: &IntentAnswer) {
    bar.set_length(answer.record.plan.steps.len() as u64);
    bar.set_position(u64::from(answer.record.next_step));
    let in_force = if answer.in_force { "in force" } else { "not yet in force everywhere" };
    bar.set_message(format!("{}, last change {in_force}", state_with_reason(&answer.record)));
}

#[cfg(test)]
#[path = "confirm_tests.rs"]
mod tests;
