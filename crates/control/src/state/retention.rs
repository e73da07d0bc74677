//! How long records of intents are kept.

use std::collections::BTreeSet;

use celerygate_types::IntentId;
use celerygate_types::wire::{Configuration, IntentKind, IntentRecord, IntentState};

use super::last_confirmed_revision;

/// Time for which a resent intent or confirm gets its first outcome.
pub const RETENTION_MS: u64 = 24 * 60 * 60 * 1000;
/// Largest number of finished records, and of records without a confirm.
pub const MAX_RETAINED: usize = 10_000;

/// Drops finished intents. Runs only in commands that raise the revision, because finished records
/// are part of the digest.
pub(super) fn drop_finished(configuration: &mut Configuration, now_unix_ms: u64) {
    // `last_confirmed_revision` reads the newest record, so that one stays.
    let newest = Some(last_confirmed_revision(configuration));
    let drains = configuration.drains.clone();
    let droppable = |record: &IntentRecord| {
        // A drain in force is undone by cancelling its intent, so that record stays too.
        let in_force = matches!(&record.kind, IntentKind::Drain(it) if drains.contains(it));
        let finished = match record.state {
            IntentState::Done => !in_force,
            IntentState::Cancelled => true,
            _ => false,
        };
        finished && record.confirmed_revision.is_some() && record.confirmed_revision != newest
    };
    drop_old(configuration, now_unix_ms, droppable);
}

/// Drops intents that were never confirmed.
pub(super) fn drop_unconfirmed(configuration: &mut Configuration, now_unix_ms: u64) {
    drop_old(configuration, now_unix_ms, |record| record.confirmed_revision.is_none());
}

fn drop_old(
    configuration: &mut Configuration,
    now_unix_ms: u64,
    droppable: impl Fn(&IntentRecord) -> bool,
) {
    let last_change = |record: &IntentRecord| {
        record.step_applied_at_unix_ms.unwrap_or(record.proposed_at_unix_ms)
    };
    let expired =
        |record: &IntentRecord| now_unix_ms.saturating_sub(last_change(record)) >= RETENTION_MS;
    configuration.intents.retain(|record| !droppable(record) || !expired(record));
    let mut kept: Vec<(u64, &IntentId)> = configuration
        .intents
        .iter()
        .filter(|record| droppable(record))
        .map(|record| (last_change(record), &record.intent))
        .collect();
    // Leaves room for the record that this command adds or finishes.
    let surplus = kept.len().saturating_sub(MAX_RETAINED - 1);
    if surplus == 0 {
        return;
    }
    kept.sort_unstable();
    let oldest: BTreeSet<IntentId> =
        kept[..surplus].iter().map(|(_, intent)| (*intent).clone()).collect();
    configuration.intents.retain(|record| !oldest.contains(&record.intent));
}
