//! Instances of targets, according to the reports that targets send to any control VM.
//!
//! Reports can arrive late and through several VMs. An instance is one run of a target's process,
//! identified by the target's id and its start time; its reports are ordered by sequence number. An
//! instance that has ended is remembered for a time, so that a late report cannot bring it back.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use celerygate_types::TargetId;
use celerygate_types::wire::{InstanceRecord, InstanceState};
use smol_str::SmolStr;

/// How long an ended instance is remembered; longer than any report is in transit.
pub const ENDED_RETENTION: Duration = Duration::from_secs(60);
/// Number of missed heartbeats after which a target counts as silent; heartbeats can be seconds
/// late.
pub const MAX_MISSED_HEARTBEATS: u32 = 3;
/// Minimum delay of the expected end of the warm-up that counts as a change for other VMs.
const COLD_TOLERANCE: Duration = Duration::from_millis(500);

/// Effect of a report on the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportResult {
    /// The report changed something that other VMs must be notified of.
    Changed,
    /// The report is newer and changed nothing that other VMs need.
    Renewed,
    /// The report was ignored, because a later report or instance is known.
    Outdated,
}

/// The latest known instance of a target.
#[derive(Clone, Debug)]
pub struct Instance {
    /// The latest report.
    pub record: InstanceRecord,
    /// Time at which the target is warm.
    pub warm_at: Instant,
    /// Time at which the latest report arrived at this VM.
    pub reported_at: Instant,
    /// Time at which this VM first learned of this instance.
    pub known_since: Instant,
    /// Version of the table in which this instance last changed.
    pub version: u64,
}

impl Instance {
    /// Returns the record with the remaining warm-up time.
    pub fn current_record(&self, now: Instant) -> InstanceRecord {
        let cold = self.warm_at.saturating_duration_since(now);
        let cold_ms = u64::try_from(cold.as_millis()).unwrap_or(u64::MAX);
        InstanceRecord { cold_ms, ..self.record.clone() }
    }
}

/// The latest instance of every known target.
#[derive(Clone, Debug, Default)]
pub struct InstanceTable {
    instances: HashMap<TargetId, Instance>,
    version: u64,
}

impl InstanceTable {
    /// Applies a report.
    pub fn report(&mut self, record: InstanceRecord, now: Instant) -> ReportResult {
        let warm_at = now + Duration::from_millis(record.cold_ms);
        let Some(known) = self.instances.get_mut(&record.instance) else {
            self.version += 1;
            self.instances.insert(
                record.instance.clone(),
                Instance {
                    record,
                    warm_at,
                    reported_at: now,
                    known_since: now,
                    version: self.version,
                },
            );
            return ReportResult::Changed;
        };
        let current = &known.record;
        let is_new_instance = record.born_unix_ms > current.born_unix_ms;
        let is_newer = record.born_unix_ms == current.born_unix_ms
            && (record.sequence > current.sequence
                || (record.sequence == current.sequence && record.state > current.state));
        if !is_new_instance && (!is_newer || current.state == InstanceState::Gone) {
            return ReportResult::Outdated;
        }
        // The state of an instance never goes back: a report with an earlier state was sent
        // earlier.
        let state = if is_new_instance { record.state } else { record.state.max(current.state) };
        let is_colder = record.cold_ms > 0 && warm_at > known.warm_at + COLD_TOLERANCE;
        let differs = is_new_instance
            || state != current.state
            || record.address != current.address
            || record.service != current.service
            || record.slots != current.slots
            || is_colder;
        known.record = InstanceRecord { state, ..record };
        if is_new_instance || is_colder || warm_at < known.warm_at {
            known.warm_at = warm_at;
        }
        known.reported_at = now;
        if is_new_instance {
            known.known_since = now;
        }
        if !differs {
            return ReportResult::Renewed;
        }
        self.version += 1;
        known.version = self.version;
        ReportResult::Changed
    }

    /// Marks the current instance of a target as gone and returns its record. Returns `None` if the
    /// target is unknown or its instance started at another time than `born_unix_ms`.
    pub fn mark_gone(
        &mut self,
        instance: &TargetId,
        born_unix_ms: Option<u64>,
        now: Instant,
    ) -> Option<InstanceRecord> {
        let known = self.instances.get_mut(instance)?;
        if born_unix_ms.is_some_and(|born| born != known.record.born_unix_ms) {
            return None;
        }
        if known.record.state != InstanceState::Gone {
            self.version += 1;
            known.record.state = InstanceState::Gone;
            known.version = self.version;
            known.reported_at = now;
        }
        Some(known.record.clone())
    }

    /// Returns the version of the table, which increases with each change.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the targets that have changed since a version.
    pub fn changed_since(&self, version: u64) -> impl Iterator<Item = &Instance> {
        self.instances.values().filter(move |instance| instance.version > version)
    }

    /// Returns all targets.
    pub fn iter(&self) -> impl Iterator<Item = &Instance> {
        self.instances.values()
    }

    /// Returns the instance of a target.
    pub fn get(&self, instance: &TargetId) -> Option<&Instance> {
        self.instances.get(instance)
    }

    /// Returns the latest start time, in Unix milliseconds, of an instance at each address. An
    /// instance that started earlier at the same address has ended, even if its last reports arrive
    /// late.
    pub fn latest_start_times(&self) -> HashMap<&SmolStr, u64> {
        let mut start_times: HashMap<&SmolStr, u64> = HashMap::new();
        for instance in self.instances.values() {
            let start_time = start_times.entry(&instance.record.address).or_default();
            *start_time = (*start_time).max(instance.record.born_unix_ms);
        }
        start_times
    }

    /// Returns the targets that missed more than [`MAX_MISSED_HEARTBEATS`] heartbeats.
    pub fn silent(&self, heartbeat: Duration, now: Instant) -> impl Iterator<Item = &TargetId> {
        let max_silence = heartbeat * MAX_MISSED_HEARTBEATS;
        let is_silent = move |instance: &&Instance| {
            instance.record.state != InstanceState::Gone
                && now.saturating_duration_since(instance.reported_at) > max_silence
        };
        self.instances.values().filter(is_silent).map(|instance| &instance.record.instance)
    }

    /// Removes instances that ended, or were last reported, [`ENDED_RETENTION`] ago.
    pub fn expire(&mut self, now: Instant) {
        self.instances.retain(|_, instance| {
            now.saturating_duration_since(instance.reported_at) < ENDED_RETENTION
        });
    }
}

#[cfg(test)]
#[path = "instances_tests.rs"]
mod tests;
