//! Lives of targets, as they report themselves to any control VM.
//!
//! Reports arrive late and through several VMs. A life is identified by the target's id and the time
//! of its start; within a life the sequence number orders the reports. A life that has ended stays
//! known, so that a late report cannot revive it.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use celerygate_types::TargetId;
use celerygate_types::wire::{InstanceRecord, InstanceState};
use smol_str::SmolStr;

/// Time for which an ended life is remembered; longer than any report is under way.
pub const ENDED_RETENTION: Duration = Duration::from_secs(60);
/// Heartbeats that may be missing before a target counts as silent; they may come seconds late.
pub const MISSED_HEARTBEATS: u32 = 3;
/// Change of the remaining cold time beyond its passing that is told to other VMs.
const COLD_TOLERANCE: Duration = Duration::from_millis(500);

/// What a report did to the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportResult {
    /// Something that other VMs must know has changed.
    Changed,
    /// The target is still as it was.
    Renewed,
    /// A later report or life is known.
    Outdated,
}

/// A life of a target.
#[derive(Clone, Debug)]
pub struct Instance {
    /// The latest report.
    pub record: InstanceRecord,
    /// When the target is warm.
    pub warm_at: Instant,
    /// When the latest report arrived here.
    pub reported_at: Instant,
    /// When this life became known here.
    pub known_since: Instant,
    /// Number of the table's change that the latest difference belongs to.
    pub version: u64,
}

impl Instance {
    /// Returns the record with the cold time that is left.
    pub fn current_record(&self, now: Instant) -> InstanceRecord {
        let cold = self.warm_at.saturating_duration_since(now);
        let cold_ms = u64::try_from(cold.as_millis()).unwrap_or(u64::MAX);
        InstanceRecord { cold_ms, ..self.record.clone() }
    }
}

/// All known targets.
#[derive(Clone, Debug, Default)]
pub struct InstanceTable {
    instances: HashMap<TargetId, Instance>,
    version: u64,
}

impl InstanceTable {
    /// Takes a report.
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
        let own = &known.record;
        let is_new_life = record.born_unix_ms > own.born_unix_ms;
        let is_newer = record.born_unix_ms == own.born_unix_ms
            && (record.sequence > own.sequence
                || (record.sequence == own.sequence && record.state > own.state));
        if !is_new_life && (!is_newer || own.state == InstanceState::Gone) {
            return ReportResult::Outdated;
        }
        // Within a life, leaving is final: a report that says otherwise was sent earlier.
        let state = if is_new_life { record.state } else { record.state.max(own.state) };
        let colder = record.cold_ms > 0 && warm_at > known.warm_at + COLD_TOLERANCE;
        let differs = is_new_life
            || state != own.state
            || record.address != own.address
            || record.service != own.service
            || record.slots != own.slots
            || colder;
        known.record = InstanceRecord { state, ..record };
        if is_new_life || colder || warm_at < known.warm_at {
            known.warm_at = warm_at;
        }
        known.reported_at = now;
        if is_new_life {
            known.known_since = now;
        }
        if !differs {
            return ReportResult::Renewed;
        }
        self.version += 1;
        known.version = self.version;
        ReportResult::Changed
    }

    /// Ends the current life of a target and returns its record; none when it is not known or its
    /// life began at another time than the one that is given.
    pub fn end(
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

    /// Returns the number of the latest change.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the targets that have changed since a change.
    pub fn changed_since(&self, version: u64) -> impl Iterator<Item = &Instance> {
        self.instances.values().filter(move |instance| instance.version > version)
    }

    /// Returns all targets.
    pub fn iter(&self) -> impl Iterator<Item = &Instance> {
        self.instances.values()
    }

    /// Returns a target.
    pub fn get(&self, instance: &TargetId) -> Option<&Instance> {
        self.instances.get(instance)
    }

    /// Returns the start of the latest life at each address. A life that began earlier there has
    /// ended, also when its last reports arrive late.
    pub fn latest_start_times(&self) -> HashMap<&SmolStr, u64> {
        let mut births: HashMap<&SmolStr, u64> = HashMap::new();
        for instance in self.instances.values() {
            let birth = births.entry(&instance.record.address).or_default();
            *birth = (*birth).max(instance.record.born_unix_ms);
        }
        births
    }

    /// Returns the targets that should have sent heartbeats and have not.
    pub fn silent(&self, heartbeat: Duration, now: Instant) -> impl Iterator<Item = &TargetId> {
        let allowed = heartbeat * MISSED_HEARTBEATS;
        let is_silent = move |instance: &&Instance| {
            instance.record.state != InstanceState::Gone
                && now.saturating_duration_since(instance.reported_at) > allowed
        };
        self.instances.values().filter(is_silent).map(|instance| &instance.record.instance)
    }

    /// Forgets lives that ended, or fell silent, long ago.
    pub fn expire(&mut self, now: Instant) {
        self.instances.retain(|_, instance| {
            now.saturating_duration_since(instance.reported_at) < ENDED_RETENTION
        });
    }
}

#[cfg(test)]
#[path = "instances_tests.rs"]
mod tests;
