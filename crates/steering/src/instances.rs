//! Instances of targets, according to the reports that targets send to any control VM.
//!
//! Reports can arrive late and through several VMs. An instance is one run of a target's process,
//! identified by the target's id and its start time; its reports are ordered by sequence number. An
//! instance that has ended is remembered for a time, so that a late report cannot bring it back.
//!
//! Other writers send reports too, under the ids of targets. A report that names a service of no
//! configuration, or a data centre that the deployment does not have, does not take a target out of a
//! service that the configuration in force names: it is held until its service is named, or the target is
//! no longer known.

use std::collections::{HashMap, HashSet};
use std::net::{IpAddr, SocketAddr};
use std::time::{Duration, Instant};

use celerygate_types::wire::{InstanceRecord, InstanceState, RelayedInstance, TargetDeparture};
use celerygate_types::{DataCentreId, ServiceId, SlotCount, TargetId};
use smol_str::SmolStr;

use self::departures::Departures;
use self::named_places::NamedPlaces;

pub use self::addresses::{DISPLACEMENT_HEARTBEATS, InstancesByAddress};

mod addresses;
mod departures;
mod named_places;

/// How long an ended instance is remembered; longer than any report is in transit.
pub const ENDED_RETENTION: Duration = Duration::from_secs(60);
/// Number of missed heartbeats after which a target counts as silent; heartbeats can be seconds
/// late.
pub const MAX_MISSED_HEARTBEATS: u32 = 3;
/// Minimum delay of the expected end of the warm-up that counts as a change for other VMs.
const COLD_TOLERANCE: Duration = Duration::from_millis(500);

/// How far a target's start time may lie in the future of this VM's clock.
const MAX_START_AHEAD: Duration = Duration::from_secs(24 * 60 * 60);
/// Start of 2020. An earlier wall time means that the clock of this VM is not set, and start times
/// cannot be compared with it.
const CLOCK_SET_MIN_UNIX_MS: u64 = 1_577_836_800_000;
/// Time for which an instance is not used after another process has answered at its address.
const MISDIRECTED_RETENTION: Duration = Duration::from_secs(15);

/// Slots that a target is believed to have, as a multiple of the median of its service. Machines of one
/// service differ by less.
const MAX_SLOTS_PER_MEDIAN: u32 = 4;

/// Why a report names no target that can be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReportError {
    /// The address is not an IP address with a port.
    #[error("the address {0:?} is not an IP address with a port")]
    InvalidAddress(SmolStr),
    /// No connection can be opened to the address.
    #[error("the address {0} is not that of a single host, or its port is 0")]
    NotAnEndpoint(SocketAddr),
    /// The number of slots is zero or above [`SlotCount::MAX`].
    #[error("expected 1 to {max} slots, found {0}", max = SlotCount::MAX.get())]
    InvalidSlots(SlotCount),
    /// The target started in the future.
    #[error("the start time {born_unix_ms} is more than a day after {now_unix_ms}")]
    StartInFuture {
        /// The stated start time.
        born_unix_ms: u64,
        /// Wall time of this VM.
        now_unix_ms: u64,
    },
}

/// Checks that a report can be that of a target. Anyone who reaches a control VM can send reports, and
/// other daemons can forward them.
///
/// # Errors
///
/// When a value is outside the range of what a target can state.
pub fn check_report(record: &InstanceRecord, now_unix_ms: u64) -> Result<(), ReportError> {
    let Ok(address) = record.address.parse::<SocketAddr>() else {
        return Err(ReportError::InvalidAddress(record.address.clone()));
    };
    let is_broadcast = matches!(address.ip(), IpAddr::V4(ip) if ip.is_broadcast());
    let is_endpoint =
        !address.ip().is_unspecified() && !address.ip().is_multicast() && !is_broadcast;
    if !is_endpoint || address.port() == 0 {
        return Err(ReportError::NotAnEndpoint(address));
    }
    if record.slots == SlotCount::ZERO || record.slots > SlotCount::MAX {
        return Err(ReportError::InvalidSlots(record.slots));
    }
    check_start_time(record.born_unix_ms, now_unix_ms)
}

/// Checks that a target can have started at a time.
///
/// # Errors
///
/// When the time is too far in the future.
pub fn check_start_time(born_unix_ms: u64, now_unix_ms: u64) -> Result<(), ReportError> {
    let latest_start = now_unix_ms.max(CLOCK_SET_MIN_UNIX_MS) + MAX_START_AHEAD.as_millis() as u64;
    if now_unix_ms >= CLOCK_SET_MIN_UNIX_MS && born_unix_ms > latest_start {
        return Err(ReportError::StartInFuture { born_unix_ms, now_unix_ms });
    }
    Ok(())
}

/// Returns the most slots that a target of a service is believed to have, from the slots that all of
/// them state. A target's part of the objects is proportional to its slots, so that a single wrong
/// statement would draw most of them to a target that cannot serve them.
pub fn believed_slots_max(stated: &mut [SlotCount]) -> SlotCount {
    stated.sort_unstable();
    // The lower median: with two targets, the larger statement is the one in doubt.
    let median = stated.get(stated.len().saturating_sub(1) / 2).copied().unwrap_or(SlotCount::MAX);
    SlotCount(median.get().saturating_mul(MAX_SLOTS_PER_MEDIAN))
}

/// Effect of a report on the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportResult {
    /// The report changed something that other VMs must be notified of.
    Changed,
    /// The report is newer and changed nothing that other VMs need.
    Renewed,
    /// The report was ignored, because a later report or instance is known.
    Outdated,
    /// The report is held and has no effect yet: it names a service of no configuration, or an unknown
    /// data centre, and the target is known for ones that the configuration in force names.
    Held,
}

/// The latest known instance of a target.
#[derive(Clone, Debug)]
pub struct Instance {
    /// The latest report.
    pub record: InstanceRecord,
    /// Time at which the target is warm.
    pub warm_at: Instant,
    /// Time at which the latest report arrived from the target, at this VM or another one.
    pub reported_at: Instant,
    /// Time at which this VM first learned of this instance.
    pub known_since: Instant,
    /// Time at which this VM first learned of the target at this address, in this or an earlier process.
    address_since: Instant,
    /// Version of the table in which this instance last changed.
    pub version: u64,
    /// Time until which the instance is not used, because another process answered at its address.
    misdirected_until: Option<Instant>,
    /// Whether a configuration in force has named the service of the record, in a known data centre.
    was_named: bool,
    /// Report of a service that no configuration has named, or of an unknown data centre.
    held: Option<HeldReport>,
}

/// A report that waits until a configuration names its service.
#[derive(Clone, Debug)]
struct HeldReport {
    record: InstanceRecord,
    reported_at: Instant,
}

impl Instance {
    fn new(
        record: InstanceRecord,
        is_named: bool,
        version: u64,
        reported_at: Instant,
        now: Instant,
    ) -> Self {
        Self {
            warm_at: now + Duration::from_millis(record.cold_ms),
            record,
            reported_at,
            known_since: now,
            address_since: now,
            version,
            misdirected_until: None,
            was_named: is_named,
            held: None,
        }
    }

    /// Holds a report until its service is named.
    fn hold(&mut self, record: InstanceRecord, reported_at: Instant) {
        let order = |record: &InstanceRecord| (record.born_unix_ms, record.sequence);
        if self.held.as_ref().is_none_or(|held| order(&held.record) < order(&record)) {
            self.held = Some(HeldReport { record, reported_at });
        }
    }

    /// Returns the record with its age and the remaining warm-up time.
    pub fn relayed(&self, now: Instant) -> RelayedInstance {
        let cold = self.warm_at.saturating_duration_since(now);
        let record = InstanceRecord { cold_ms: whole_ms(cold), ..self.record.clone() };
        let age = now.saturating_duration_since(self.reported_at);
        RelayedInstance { record, age_ms: whole_ms(age) }
    }

    /// Returns since when the target is known at the address of its next report.
    fn address_since_with(&self, next: &InstanceRecord, now: Instant) -> Instant {
        if next.address == self.record.address { self.address_since } else { now }
    }

    /// Returns until when the instance is not used because another process answered at its address,
    /// none if it may be used now.
    pub fn misdirected_until(&self, now: Instant) -> Option<Instant> {
        self.misdirected_until.filter(|until| now < *until)
    }
}

/// The latest instance of every known target.
#[derive(Clone, Debug, Default)]
pub struct InstanceTable {
    instances: HashMap<TargetId, Instance>,
    departures: Departures,
    named: NamedPlaces,
    version: u64,
}

fn whole_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

impl InstanceTable {
    /// Applies a report that has just arrived from its target.
    pub fn report(&mut self, record: InstanceRecord, now: Instant) -> ReportResult {
        self.apply(record, now, now)
    }

    /// Applies a report that another daemon has passed on. Its age counts: daemons that pass on a report
    /// to each other would otherwise keep it after its target has gone.
    pub fn merge(&mut self, relayed: RelayedInstance, now: Instant) -> ReportResult {
        let age = Duration::from_millis(relayed.age_ms);
        match now.checked_sub(age) {
            Some(reported_at) if age < ENDED_RETENTION => {
                self.apply(relayed.record, reported_at, now)
            }
            _ => ReportResult::Outdated,
        }
    }

    fn apply(
        &mut self,
        record: InstanceRecord,
        reported_at: Instant,
        now: Instant,
    ) -> ReportResult {
        if self.departures.includes(&record.instance, record.born_unix_ms) {
            return ReportResult::Outdated;
        }
        let warm_at = now + Duration::from_millis(record.cold_ms);
        let is_named = self.named.contain(&record);
        let Some(known) = self.instances.get_mut(&record.instance) else {
            self.version += 1;
            let instance = Instance::new(record, is_named, self.version, reported_at, now);
            self.instances.insert(instance.record.instance.clone(), instance);
            return ReportResult::Changed;
        };
        let current = &known.record;
        let is_same_place =
            record.service == current.service && record.data_centre == current.data_centre;
        if !is_named && !is_same_place && self.named.contain(current) {
            known.hold(record, reported_at);
            return ReportResult::Held;
        }
        if is_named && !known.was_named {
            // The numbers of a report whose service or data centre was never named prove nothing about
            // the target.
            self.version += 1;
            let address_since = known.address_since_with(&record, now);
            let named = Instance::new(record, is_named, self.version, reported_at, now);
            let named = Instance { address_since, ..named };
            let unnamed = std::mem::replace(known, named);
            known.hold(unnamed.record, unnamed.reported_at);
            return ReportResult::Changed;
        }
        let is_new_instance = record.born_unix_ms > current.born_unix_ms;
        let is_newer = record.born_unix_ms == current.born_unix_ms
            && (record.sequence > current.sequence
                || (record.sequence == current.sequence && record.state > current.state));
        // The state of an instance never goes back: a report with an earlier state was sent
        // earlier. A report with a later state counts even if its sequence number is low, since
        // another writer can have reported a higher one.
        let is_same_instance = record.born_unix_ms == current.born_unix_ms;
        if is_same_instance && !is_newer && record.state > current.state {
            self.version += 1;
            known.record.state = record.state;
            known.version = self.version;
            known.reported_at = known.reported_at.max(reported_at);
            return ReportResult::Changed;
        }
        if !is_new_instance && (!is_newer || current.state == InstanceState::Gone) {
            return ReportResult::Outdated;
        }
        let state = if is_new_instance { record.state } else { record.state.max(current.state) };
        let is_colder = record.cold_ms > 0 && warm_at > known.warm_at + COLD_TOLERANCE;
        let differs = is_new_instance
            || state != current.state
            || record.address != current.address
            || record.service != current.service
            || record.slots != current.slots
            || is_colder;
        known.was_named = is_named || (known.was_named && is_same_place);
        known.address_since = known.address_since_with(&record, now);
        known.record = InstanceRecord { state, ..record };
        if is_new_instance || is_colder || warm_at < known.warm_at {
            known.warm_at = warm_at;
        }
        known.reported_at = known.reported_at.max(reported_at);
        if is_new_instance {
            known.known_since = now;
            known.misdirected_until = None;
        }
        if !differs {
            return ReportResult::Renewed;
        }
        self.version += 1;
        known.version = self.version;
        ReportResult::Changed
    }

    /// Sets the data centres of the deployment. Without them, all count as known.
    pub fn set_data_centres(&mut self, data_centres: HashSet<DataCentreId>) {
        self.named.data_centres = Some(data_centres);
    }

    /// Sets the services of the configuration in force, and applies the reports that were held for one
    /// of them.
    pub fn set_named_services(&mut self, services: HashSet<ServiceId>) {
        self.named.services = services;
        let mut released = Vec::new();
        for instance in self.instances.values_mut() {
            instance.was_named |= self.named.contain(&instance.record);
            let is_named = |held: &mut HeldReport| self.named.contain(&held.record);
            released.extend(instance.held.take_if(is_named));
        }
        for HeldReport { record, reported_at } in released {
            self.report(record, reported_at);
        }
    }

    /// Records that a target itself has just sent a report, whatever its sequence number. A report
    /// that another writer sent with a high one would otherwise make the target silent.
    pub fn record_sign_of_life(&mut self, record: &InstanceRecord, now: Instant) {
        if let Some(known) = self.instances.get_mut(&record.instance)
            && known.record.born_unix_ms == record.born_unix_ms
            && known.record.state != InstanceState::Gone
        {
            known.reported_at = now;
        }
    }

    /// Records that another process than this instance answered at its address. Returns whether the
    /// instance was in use.
    pub fn record_misdirected(
        &mut self,
        instance: &TargetId,
        born_unix_ms: u64,
        now: Instant,
    ) -> bool {
        let Some(known) = self.instances.get_mut(instance) else { return false };
        if known.record.born_unix_ms != born_unix_ms || known.misdirected_until(now).is_some() {
            return false;
        }
        known.misdirected_until = Some(now + MISDIRECTED_RETENTION);
        self.version += 1;
        true
    }

    /// Records the deregistration of a target, which may be unknown here, and returns what other VMs must
    /// be told. Without a start time, it concerns all processes that started until now, at the wall time
    /// `now_unix_ms`. Returns `None` if there is no room for another unknown target.
    pub fn record_deregistration(
        &mut self,
        instance: &TargetId,
        born_unix_ms: Option<u64>,
        now_unix_ms: u64,
        now: Instant,
    ) -> Option<TargetDeparture> {
        let known_born = self.instances.get(instance).map(|known| known.record.born_unix_ms);
        let born_max_unix_ms =
            born_unix_ms.unwrap_or_else(|| now_unix_ms.max(known_born.unwrap_or_default()));
        let departure = TargetDeparture { instance: instance.clone(), born_max_unix_ms, age_ms: 0 };
        self.depart(&departure, now);
        self.has_departed(instance, born_max_unix_ms).then_some(departure)
    }

    /// Applies a deregistration. Returns whether it was news.
    pub fn depart(&mut self, departure: &TargetDeparture, now: Instant) -> bool {
        let known = self.instances.get_mut(&departure.instance);
        if !self.departures.accepts(departure, known.is_some()) {
            return false;
        }
        self.version += 1;
        self.departures.insert(departure, self.version, now);
        if let Some(known) = known
            && known.record.born_unix_ms <= departure.born_max_unix_ms
        {
            known.record.state = InstanceState::Gone;
        }
        true
    }

    /// Returns whether the process of a target that started at a time has deregistered.
    pub fn has_departed(&self, instance: &TargetId, born_unix_ms: u64) -> bool {
        self.departures.includes(instance, born_unix_ms)
    }

    /// Returns whether the latest process of a target states that it is ready.
    pub fn is_ready(&self, instance: &TargetId) -> bool {
        self.instances.get(instance).is_some_and(|known| known.record.state == InstanceState::Ready)
    }

    /// Returns whether a report that a target leaves has had its effect: the target is known to leave.
    pub fn is_known_to_leave(&self, record: &InstanceRecord) -> bool {
        let is_known = self.instances.contains_key(&record.instance);
        let has_departed = self.has_departed(&record.instance, record.born_unix_ms);
        !self.is_ready(&record.instance) && (is_known || has_departed)
    }

    /// Returns whether a deregistration has had its effect.
    pub fn is_known_to_have_departed(&self, departure: &TargetDeparture) -> bool {
        !self.is_ready(&departure.instance)
            && self.has_departed(&departure.instance, departure.born_max_unix_ms)
    }

    /// Returns the deregistrations since a version, and the version of each.
    pub fn departures_since(
        &self,
        version: u64,
        now: Instant,
    ) -> impl Iterator<Item = (u64, TargetDeparture)> {
        self.departures.since(version, now)
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

    /// Returns the usable instances at each address. Instances at whose address another process has
    /// answered do not count.
    pub fn by_address(
        &self,
        is_usable: impl Fn(&InstanceRecord) -> bool,
        now: Instant,
    ) -> InstancesByAddress<'_> {
        let counts = |instance: &&Instance| {
            instance.misdirected_until(now).is_none() && is_usable(&instance.record)
        };
        let mut by_address = InstancesByAddress::default();
        for instance in self.instances.values().filter(counts) {
            by_address.insert(instance);
        }
        by_address
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

    /// Removes instances and departures that ended, or were last reported, [`ENDED_RETENTION`] ago.
    pub fn expire(&mut self, now: Instant) {
        self.departures.expire(now);
        let is_recent = |at: Instant| now.saturating_duration_since(at) < ENDED_RETENTION;
        let known_before = self.instances.len();
        self.instances.retain(|_, instance| {
            instance.held.take_if(|held| !is_recent(held.reported_at));
            is_recent(instance.reported_at)
        });
        if self.instances.len() < known_before {
            // Other targets can depend on the removed ones, for example at the same address.
            self.version += 1;
        }
    }
}

#[cfg(test)]
#[path = "instances_tests.rs"]
mod tests;
