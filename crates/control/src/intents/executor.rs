//! Execution of running intents. The whole state of the executor is in the configuration, so a new
//! leader continues where the previous one stopped.

use std::time::{Duration, Instant};

use celerygate_steering::moves::{SETTLING_TIME, StepCheck, check_step};
use celerygate_types::wire::{
    Configuration, HoldCommand, IntentKind, IntentRecord, IntentState, Refusal, StepCommand,
};
use celerygate_types::{IntentId, Measurements, ResultCode};
use smol_str::{SmolStr, format_smolstr};
use strum::IntoEnumIterator;

use crate::state;

/// The lease of the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaderLease {
    /// Time at which this leader first held the lease in its term.
    pub since: Instant,
    /// Time at which the lease ends unless it is renewed.
    pub until: Instant,
}

/// The current time on the monotonic clock and on the wall clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockReading {
    /// Compared with the lease.
    pub monotonic: Instant,
    /// Stored in records, in milliseconds since the Unix epoch.
    pub unix_ms: u64,
}

/// Next action of the leader for the running intents.
#[derive(Clone, Debug, PartialEq)]
pub enum ExecutorAction {
    /// Propose the next step of an intent.
    Step(StepCommand),
    /// Propose to hold an intent, with the reason.
    Hold(HoldCommand),
    /// Propose to continue a held intent.
    ClearHold(HoldCommand),
    /// Nothing to propose until this time.
    WaitUntil {
        /// Time since the Unix epoch.
        unix_ms: u64,
    },
    /// No intent is running, or this VM has no lease.
    Idle,
}

/// Interval between two checks of a held intent.
const HELD_RECHECK_INTERVAL_MS: u64 = 1_000;

/// Returns the next action, which the caller must apply before the next call.
///
/// Intents take turns: the one with the oldest last step is considered first, so that a long move
/// does not block the others until it ends.
pub fn next_action(
    configuration: &Configuration,
    measurements: &Measurements,
    lease: Option<LeaderLease>,
    now: ClockReading,
) -> ExecutorAction {
    let Some(lease) = lease.filter(|lease| now.monotonic < lease.until) else {
        return ExecutorAction::Idle;
    };
    let last_step = last_step_unix_ms(configuration, lease, now);
    let mut wait_until: Option<u64> = None;
    for record in by_last_step(configuration) {
        let Some(step) = record.plan.steps.get(record.next_step as usize) else { continue };
        let check = check_step(configuration, measurements, step, last_step, now.unix_ms);
        let unix_ms = match (check, record.state) {
            (StepCheck::Proceed, IntentState::Held) => {
                let intent = record.intent.clone();
                return ExecutorAction::ClearHold(HoldCommand { intent, reason: None });
            }
            (StepCheck::Proceed, _) => return ExecutorAction::Step(step_command(record, now)),
            (StepCheck::WaitUntil { unix_ms }, _) => unix_ms,
            (StepCheck::Hold(refusal), _) if is_held_with_code(record, &refusal) => {
                now.unix_ms.saturating_add(HELD_RECHECK_INTERVAL_MS)
            }
            (StepCheck::Hold(refusal), _) => {
                return ExecutorAction::Hold(hold_command(&record.intent, &refusal));
            }
        };
        wait_until = Some(wait_until.map_or(unix_ms, |earlier| earlier.min(unix_ms)));
    }
    wait_until.map_or(ExecutorAction::Idle, |unix_ms| ExecutorAction::WaitUntil { unix_ms })
}

/// Returns the running and held intents, ordered by the time of their last step, oldest first.
fn by_last_step(configuration: &Configuration) -> Vec<&IntentRecord> {
    let active =
        |record: &&IntentRecord| matches!(record.state, IntentState::Running | IntentState::Held);
    let mut records: Vec<&IntentRecord> = configuration.intents.iter().filter(active).collect();
    records.sort_by_key(|record| (record.step_applied_at_unix_ms, record.confirmed_revision));
    records
}

fn step_command(record: &IntentRecord, now: ClockReading) -> StepCommand {
    let intent = record.intent.clone();
    StepCommand { at_unix_ms: now.unix_ms, intent, step: record.next_step }
}

/// Returns the time at which the last step of any move or drain was applied.
///
/// A time in the future was recorded by a previous leader whose wall clock is ahead. The executor
/// waits for small differences. A time further ahead than the settling time is ignored once this
/// leader has held its lease for the settling time, because the step was applied before the lease.
fn last_step_unix_ms(
    configuration: &Configuration,
    lease: LeaderLease,
    now: ClockReading,
) -> Option<u64> {
    let moves = configuration
        .intents
        .iter()
        .filter(|record| matches!(record.kind, IntentKind::Move(_) | IntentKind::Drain(_)));
    let settle_ms = u64::try_from(SETTLING_TIME.as_millis()).unwrap_or(u64::MAX);
    let last = moves.filter_map(|record| record.step_applied_at_unix_ms).max()?;
    let is_ahead = last > now.unix_ms.saturating_add(settle_ms);
    if !is_ahead {
        return Some(last);
    }
    let lease_age: Duration = now.monotonic.saturating_duration_since(lease.since);
    let remaining = SETTLING_TIME.saturating_sub(lease_age);
    let remaining_ms = u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX);
    (remaining_ms > 0).then(|| now.unix_ms.saturating_add(remaining_ms).saturating_sub(settle_ms))
}

/// Returns the prefix of a hold's reason: the name of the refusal's code. A hold is replaced only
/// when the code changes, not with each new figure in the reason.
fn reason_prefix(refusal: &Refusal) -> SmolStr {
    let code = ResultCode::iter().find(|code| code.number() == refusal.code);
    code.map_or_else(|| format_smolstr!("{}:", refusal.code), |code| format_smolstr!("{code}:"))
}

fn hold_command(intent: &IntentId, refusal: &Refusal) -> HoldCommand {
    let reason = format_smolstr!("{} {}", reason_prefix(refusal), refusal.reason);
    HoldCommand { intent: intent.clone(), reason: Some(reason) }
}

fn is_held_with_code(record: &IntentRecord, refusal: &Refusal) -> bool {
    let prefix = reason_prefix(refusal);
    let is_held = record.state == IntentState::Held;
    is_held && record.held_reason.as_ref().is_some_and(|reason| reason.starts_with(prefix.as_str()))
}

/// Returns an unfinished intent that moves the same traffic, if any. Two plans that set the same
/// routes would revert each other's steps.
pub(super) fn find_conflict<'a>(
    configuration: &'a Configuration,
    kind: &IntentKind,
) -> Option<&'a IntentRecord> {
    let mut unfinished = configuration.intents.iter().filter(|record| state::is_unfinished(record));
    unfinished.find(|record| match (&record.kind, kind) {
        (IntentKind::Move(running), IntentKind::Move(new)) => running.service == new.service,
        _ => state::runs_in_steps(&record.kind) && state::runs_in_steps(kind),
    })
}

#[cfg(test)]
#[path = "executor_tests.rs"]
mod tests;
