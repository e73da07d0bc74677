//! Retention of the records of intents.

use std::collections::BTreeSet;

use celerygate_types::IntentId;
use celerygate_types::wire::{Configuration, IntentKind, IntentRecord, IntentState};

use super::last_confirmed_revision;

/// Time for which a resent intent or confirm gets the outcome of the first one.
pub const RETENTION_MS: u64 = 24 * 60 * 60 * 1000;
/// Largest number of finished records and, separately, of unconfirmed records.
pub const MAX_RETAINED: usize = 10_000;

/// Drops finished intents that are too old or too many. Called only for commands that raise the
/// revision, because finished records are part of the digest.
pub(super) fn drop_finished(configuration: &mut Configuration, now_unix_ms: u64) {
    // `last_confirmed_revision` depends on the newest confirmed record, so that record is kept.
    let newest = Some(last_confirmed_revision(configuration));
    let drains = configuration.drains.clone();
    let is_droppable = |record: &IntentRecord| {
        // Cancelling its intent is the only way to end a drain in force, so its record is kept.
        let is_in_force =
            matches!(&record.kind, IntentKind::Drain(subject) if drains.contains(subject));
        let is_finished = match record.state {
            IntentState::Done => !is_in_force,
            IntentState::Cancelled => true,
            _ => false,
        };
        is_finished && record.confirmed_revision.is_some() && record.confirmed_revision != newest
    };
    drop_old(configuration, now_unix_ms, is_droppable);
}

/// Drops unconfirmed intents that are too old or too many.
pub(super) fn drop_unconfirmed(configuration: &mut Configuration, now_unix_ms: u64) {
    drop_old(configuration, now_unix_ms, |record| record.confirmed_revision.is_none());
}

fn drop_old(
    configuration: &mut Configuration,
    now_unix_ms: u64,
    is_droppable: impl Fn(&IntentRecord) -> bool,
) {
    let changed_at_ms = |record: &IntentRecord| {
        record.step_applied_at_unix_ms.unwrap_or(record.proposed_at_unix_ms)
    };
    let is_expired =
        |record: &IntentRecord| now_unix_ms.saturating_sub(changed_at_ms(record)) >= RETENTION_MS;
    configuration.intents.retain(|record| !is_droppable(record) || !is_expired(record));
    let mut candidates: Vec<(u64, &IntentId)> = configuration
        .intents
        .iter()
        .filter(|record| is_droppable(record))
        .map(|record| (changed_at_ms(record), &record.intent))
        .collect();
    // Leaves space for the record that the current command adds or finishes.
    let surplus = candidates.len().saturating_sub(MAX_RETAINED - 1);
    if surplus == 0 {
        return;
    }
    candidates.sort_unstable();
    let oldest: BTreeSet<IntentId> =
        candidates[..surplus].iter().map(|(_, intent)| (*intent).clone()).collect();
    configuration.intents.retain(|record| !oldest.contains(&record.intent));
}
