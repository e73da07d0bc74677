//! Announced targets, their health, and target selection.
//!
//! Targets announce themselves and renew the announcement every second. A record is valid for 5 s
//! after the last renewal; daemons relay records to each other together with their age. The daemon
//! ejects failing targets by its own observations (passive health checks), which no reported health
//! overrides.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use celerygate_types::wire::{Announcement, Departure, TargetRecord};
use celerygate_types::{
    DataCentreId, Incarnation, RegionId, ResultCode, ServiceId, SlotCount, TargetId,
};
use smol_str::SmolStr;

use crate::availability::{Availability, Eligibility};
use crate::lookup::rendezvous::id_hash;

mod choice;
mod health;
mod notices;

pub use choice::{
    Choice, Distance, Location, SelectedTarget, TargetUsage, choose, distance, weight,
};
pub use health::{EjectionVerdict, Health, Observation};

/// How long an announcement is valid after its last renewal.
pub const LEASE: Duration = Duration::from_secs(5);
/// Interval at which a target should renew its announcement.
pub const RENEWAL_INTERVAL: Duration = Duration::from_secs(1);
/// Added to the age of a relayed record for the time in transit. Without it, a record that two
/// daemons keep sending to each other would never expire.
pub const RELAY_ALLOWANCE: Duration = Duration::from_millis(50);
/// How long a target is remembered after it departed or its lease expired, so that late messages of
/// the same or an earlier incarnation are recognised.
pub const TOMBSTONE_TTL: Duration = Duration::from_secs(60);
/// How long a departure is relayed to other daemons.
pub const DEPARTURE_RELAY_TIME: Duration = Duration::from_secs(10);
/// Maximum number of known targets; bounds the memory that announcements use.
pub const MAX_TARGETS: usize = 16_384;

/// A target known to this daemon.
#[derive(Clone, Debug)]
pub struct Target {
    /// Id of the target.
    pub target: TargetId,
    /// Socket address of the target.
    pub address: SmolStr,
    /// Region of the target.
    pub region: RegionId,
    /// Data centre of the target.
    pub data_centre: DataCentreId,
    /// Incarnation of the target's process.
    pub incarnation: Incarnation,
    /// Requests that it runs concurrently.
    pub slots: SlotCount,
    /// Maximum number of connections that it accepts.
    pub connections: u32,
    /// Whether it is leaving and takes no new requests.
    pub leaving: bool,
    /// Time of the last renewal, or of the departure.
    pub renewed_at: Instant,
    /// When this daemon first learned of this incarnation; start of the slow start.
    pub known_since: Instant,
    /// Health according to this daemon's observations.
    pub health: Health,
    /// Whether it leaves or is paused according to its responses to this daemon.
    pub availability: Availability,
    /// When the target last announced itself to this daemon.
    announced_at: Option<Instant>,
    /// Whether the announcement stays valid without renewals, see [`TargetTable::hold_leases`].
    is_lease_held: bool,
    pub(crate) hash: u64,
}

impl Target {
    /// Returns whether the target has capacity for requests: it is live and not ejected.
    pub fn is_usable(&self, now: Instant) -> bool {
        self.is_live(now) && !self.health.is_ejected(now)
    }

    /// Returns whether this daemon may send the target new requests: it is usable, and has not stated
    /// that it leaves or wants none for a time.
    pub fn accepts_requests(&self, now: Instant) -> bool {
        let eligibility = self.availability.eligibility(0, now);
        self.is_usable(now) && eligibility == Eligibility::Eligible
    }

    /// Returns whether the target's announcement is valid and the target is not leaving.
    pub fn is_live(&self, now: Instant) -> bool {
        let is_recent = now.saturating_duration_since(self.renewed_at) < LEASE;
        !self.leaving && (self.is_lease_held || is_recent)
    }

    fn is_past_retention(&self, now: Instant) -> bool {
        let is_held = self.is_lease_held && !self.leaving;
        !is_held && now.saturating_duration_since(self.renewed_at) >= TOMBSTONE_TTL
    }

    fn is_relayed(&self, now: Instant) -> bool {
        let relayed = if self.leaving { DEPARTURE_RELAY_TIME } else { LEASE };
        now.saturating_duration_since(self.renewed_at) < relayed
    }

    fn is_announced_here(&self, now: Instant) -> bool {
        self.announced_at.is_some_and(|at| now.saturating_duration_since(at) < LEASE)
    }
}

/// Effect of an announcement, departure or relayed record on the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordUpdate {
    /// A new target, or a new incarnation of a known one, was added.
    New,
    /// The existing record was renewed or changed.
    Renewed,
    /// The existing record is unchanged.
    Unchanged,
    /// The message was refused.
    Refused(ResultCode),
}

/// All known targets.
#[derive(Clone, Debug, Default)]
pub struct TargetTable {
    services: HashMap<ServiceId, Vec<Target>>,
    len: usize,
    /// Departures of unknown targets with their arrival time, to reject records that arrive later.
    departures: Vec<(Departure, Instant)>,
}

impl TargetTable {
    /// Returns a table without targets.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the targets of a service, including leaving and ejected ones.
    pub fn of_service(&self, service: &ServiceId) -> &[Target] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns every known target with its service.
    pub fn iter(&self) -> impl Iterator<Item = (&ServiceId, &Target)> {
        self.services
            .iter()
            .flat_map(|(service, targets)| targets.iter().map(move |target| (service, target)))
    }

    /// Returns a target.
    pub fn get(&self, service: &ServiceId, target: &TargetId) -> Option<&Target> {
        self.of_service(service).iter().find(|known| known.target == *target)
    }

    fn get_mut(&mut self, service: &ServiceId, target: &TargetId) -> Option<&mut Target> {
        self.services.get_mut(service)?.iter_mut().find(|known| known.target == *target)
    }

    /// Records an announcement or renewal that the target sent to this daemon.
    ///
    /// A target that has departed can only return with a higher incarnation.
    pub fn announce(&mut self, announcement: &Announcement, now: Instant) -> RecordUpdate {
        let record = TargetRecord {
            address: announcement.address.clone(),
            age_ms: 0,
            connections: announcement.connections,
            data_centre: announcement.data_centre.clone(),
            incarnation: announcement.incarnation,
            leaving: false,
            region: announcement.region.clone(),
            service: announcement.service.clone(),
            slots: announcement.slots,
            target: announcement.target.clone(),
        };
        let known = self.get(&announcement.service, &announcement.target);
        let refused = known.is_some_and(|known| {
            announcement.incarnation < known.incarnation
                || (announcement.incarnation == known.incarnation && known.leaving)
        });
        if refused || self.has_departed(&record) {
            return RecordUpdate::Refused(ResultCode::AnnouncementRefused);
        }
        let accepted = self.apply(&record, now, now);
        if let Some(known) = self.get_mut(&announcement.service, &announcement.target) {
            known.announced_at = Some(now);
        }
        accepted
    }

    /// Records the departure of a target.
    pub fn depart(&mut self, departure: &Departure, now: Instant) -> RecordUpdate {
        match self.get_mut(&departure.service, &departure.target) {
            Some(known) if departure.incarnation < known.incarnation => {
                RecordUpdate::Refused(ResultCode::AnnouncementRefused)
            }
            Some(known) => {
                let is_repeated = known.leaving && departure.incarnation == known.incarnation;
                known.incarnation = departure.incarnation;
                known.leaving = true;
                known.renewed_at = now;
                known.announced_at = Some(now);
                if is_repeated { RecordUpdate::Unchanged } else { RecordUpdate::Renewed }
            }
            None => {
                if self.departures.len() < MAX_TARGETS {
                    self.departures.push((departure.clone(), now));
                }
                RecordUpdate::Unchanged
            }
        }
    }

    /// Returns whether a record belongs to a target whose departure arrived before its record.
    fn has_departed(&self, record: &TargetRecord) -> bool {
        self.departures.iter().any(|(departure, _)| {
            departure.service == record.service
                && departure.target == record.target
                && departure.incarnation >= record.incarnation
        })
    }

    /// Merges a record that another daemon relayed.
    pub fn merge(&mut self, record: &TargetRecord, now: Instant) -> RecordUpdate {
        let age = Duration::from_millis(record.age_ms).saturating_add(RELAY_ALLOWANCE);
        let max_age = if record.leaving { TOMBSTONE_TTL } else { LEASE };
        match now.checked_sub(age) {
            Some(renewed_at) if age < max_age => self.apply(record, renewed_at, now),
            _ => RecordUpdate::Unchanged,
        }
    }

    fn apply(&mut self, record: &TargetRecord, renewed_at: Instant, now: Instant) -> RecordUpdate {
        let is_full = self.len >= MAX_TARGETS;
        let has_departed = self.has_departed(record);
        let new_target = || {
            let mut target = target_from(record, renewed_at, now);
            if has_departed {
                target.leaving = true;
                target.renewed_at = now;
                target.announced_at = Some(now);
            }
            target
        };
        let Some(known) = self.get_mut(&record.service, &record.target) else {
            if is_full {
                return RecordUpdate::Refused(ResultCode::AnnouncementRefused);
            }
            self.len += 1;
            self.services.entry(record.service.clone()).or_default().push(new_target());
            return RecordUpdate::New;
        };
        if record.incarnation < known.incarnation {
            return RecordUpdate::Unchanged;
        }
        if record.incarnation > known.incarnation {
            *known = new_target();
            return RecordUpdate::New;
        }
        if record.leaving && !known.leaving {
            known.leaving = true;
            known.renewed_at = renewed_at;
            return RecordUpdate::Renewed;
        }
        if known.leaving || renewed_at <= known.renewed_at {
            return RecordUpdate::Unchanged;
        }
        known.address = record.address.clone();
        known.region = record.region.clone();
        known.data_centre = record.data_centre.clone();
        known.slots = record.slots;
        known.connections = record.connections;
        known.renewed_at = renewed_at;
        RecordUpdate::Renewed
    }

    /// Stops counting missing renewals: a target that is live now stays live until it departs or
    /// starts again. For a daemon that takes no more announcements, because it cannot tell a lost
    /// target from one that is not heard; failed connections still eject the target. Its records are
    /// relayed with their true age.
    pub fn hold_leases(&mut self, now: Instant) {
        for target in self.services.values_mut().flatten() {
            target.is_lease_held = target.is_live(now);
        }
    }

    /// Returns the records of targets that announce themselves to this daemon or are leaving. The
    /// daemons of a small deployment send these records to each other.
    pub fn own_records(&self, now: Instant) -> Vec<TargetRecord> {
        self.records_of(|target| target.is_announced_here(now) || target.leaving, now)
    }

    /// Returns all records, for relaying between groups of daemons.
    pub fn records(&self, now: Instant) -> Vec<TargetRecord> {
        self.records_of(|_| true, now)
    }

    /// Returns the selected records, departures first, so that departures are in the first
    /// datagram.
    fn records_of(&self, is_selected: impl Fn(&Target) -> bool, now: Instant) -> Vec<TargetRecord> {
        let relayed =
            self.iter().filter(|(_, target)| target.is_relayed(now) && is_selected(target));
        let mut records: Vec<_> =
            relayed.map(|(service, target)| record_of(service, target, now)).collect();
        records.sort_by_key(|record| (!record.leaving, record.age_ms));
        records
    }

    /// Forgets targets that departed or whose lease expired [`TOMBSTONE_TTL`] ago, and returns
    /// them.
    pub fn expire(&mut self, now: Instant) -> Vec<(ServiceId, TargetId)> {
        let mut removed = Vec::new();
        for (service, targets) in &mut self.services {
            targets.retain(|target| {
                let keep = !target.is_past_retention(now);
                if !keep {
                    removed.push((service.clone(), target.target.clone()));
                }
                keep
            });
        }
        self.services.retain(|_, targets| !targets.is_empty());
        let is_retained = |at: Instant| now.saturating_duration_since(at) < TOMBSTONE_TTL;
        self.departures.retain(|(_, at)| is_retained(*at));
        self.len -= removed.len();
        removed
    }

    /// Records the result of a request or connection attempt, and ejects the target if it is
    /// failing and the ejection caps allow it.
    ///
    /// An observation of another incarnation is ignored. `region_load` returns the number of slots
    /// that all VMs together use for the service in a region.
    pub fn observe(
        &mut self,
        service: &ServiceId,
        target: &TargetId,
        incarnation: Incarnation,
        observation: Observation,
        region_load: impl Fn(&RegionId) -> SlotCount,
        now: Instant,
    ) -> EjectionVerdict {
        let Some(targets) = self.services.get_mut(service) else { return EjectionVerdict::Ignored };
        let is_target =
            |known: &Target| known.target == *target && known.incarnation == incarnation;
        let Some(at) = targets.iter().position(is_target) else { return EjectionVerdict::Ignored };
        health::observe(targets, at, observation, region_load, now)
    }

    /// Ends ejections that the caps no longer allow because targets left or the load increased, and
    /// returns the readmitted targets.
    pub fn enforce_ejection_caps(
        &mut self,
        region_load: impl Fn(&ServiceId, &RegionId) -> SlotCount,
        now: Instant,
    ) -> Vec<(ServiceId, TargetId)> {
        let mut readmitted = Vec::new();
        for (service, targets) in &mut self.services {
            for at in
                health::enforce_ejection_caps(targets, |region| region_load(service, region), now)
            {
                readmitted.push((service.clone(), targets[at].target.clone()));
            }
        }
        readmitted
    }
}

fn target_from(record: &TargetRecord, renewed_at: Instant, now: Instant) -> Target {
    Target {
        target: record.target.clone(),
        address: record.address.clone(),
        region: record.region.clone(),
        data_centre: record.data_centre.clone(),
        incarnation: record.incarnation,
        slots: record.slots,
        connections: record.connections,
        leaving: record.leaving,
        renewed_at,
        known_since: now,
        health: Health::new(now),
        availability: Availability::default(),
        announced_at: None,
        is_lease_held: false,
        hash: id_hash(record.target.as_str()),
    }
}

fn record_of(service: &ServiceId, target: &Target, now: Instant) -> TargetRecord {
    let age = now.saturating_duration_since(target.renewed_at);
    TargetRecord {
        address: target.address.clone(),
        age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
        connections: target.connections,
        data_centre: target.data_centre.clone(),
        incarnation: target.incarnation,
        leaving: target.leaving,
        region: target.region.clone(),
        service: service.clone(),
        slots: target.slots,
        target: target.target.clone(),
    }
}

#[cfg(test)]
#[path = "targets_tests.rs"]
mod tests;
