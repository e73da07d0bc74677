//! Deregistrations of targets. They are kept and passed on without a record of the target: a VM that has
//! just restarted knows few targets, and those that it does not know may be in use elsewhere.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use celerygate_types::TargetId;
use celerygate_types::wire::TargetDeparture;

use super::ENDED_RETENTION;

/// Maximum number of departures of unknown targets. Anyone who reaches a control VM can deregister any
/// id; all targets of a large deployment are a few thousand.
const UNKNOWN_MAX: usize = 8_192;

#[derive(Clone, Copy, Debug)]
struct Departure {
    born_max_unix_ms: u64,
    recorded_at: Instant,
    /// Version of the table in which the departure was added.
    version: u64,
}

/// The latest departure of each target, for [`ENDED_RETENTION`].
#[derive(Clone, Debug, Default)]
pub(super) struct Departures {
    by_target: HashMap<TargetId, Departure>,
}

impl Departures {
    /// Returns whether a process of a target that started at a time has ended.
    pub(super) fn includes(&self, target: &TargetId, born_unix_ms: u64) -> bool {
        let departure = self.by_target.get(target);
        departure.is_some_and(|departure| born_unix_ms <= departure.born_max_unix_ms)
    }

    /// Returns whether a departure is news, and can be kept. `is_known` states whether the table has a
    /// record of the target.
    pub(super) fn accepts(&self, departure: &TargetDeparture, is_known: bool) -> bool {
        Duration::from_millis(departure.age_ms) < ENDED_RETENTION
            && !self.includes(&departure.instance, departure.born_max_unix_ms)
            && (is_known || self.by_target.len() < UNKNOWN_MAX)
    }

    pub(super) fn insert(&mut self, departure: &TargetDeparture, version: u64, now: Instant) {
        let recorded_at = now.checked_sub(Duration::from_millis(departure.age_ms)).unwrap_or(now);
        let born_max_unix_ms = departure.born_max_unix_ms;
        let recorded = Departure { born_max_unix_ms, recorded_at, version };
        self.by_target.insert(departure.instance.clone(), recorded);
    }

    /// Returns the departures that were added after a version, and the version of each.
    pub(super) fn since(
        &self,
        version: u64,
        now: Instant,
    ) -> impl Iterator<Item = (u64, TargetDeparture)> {
        let added = self.by_target.iter().filter(move |(_, departure)| departure.version > version);
        added.map(move |(instance, departure)| {
            let age = now.saturating_duration_since(departure.recorded_at);
            let departed = TargetDeparture {
                instance: instance.clone(),
                born_max_unix_ms: departure.born_max_unix_ms,
                age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
            };
            (departure.version, departed)
        })
    }

    pub(super) fn expire(&mut self, now: Instant) {
        self.by_target.retain(|_, departure| {
            now.saturating_duration_since(departure.recorded_at) < ENDED_RETENTION
        });
    }
}
