//! Notices of targets: they leave, or want no requests from this daemon for a time.

use std::time::Instant;

use celerygate_types::{Incarnation, ServiceId, SlotCount, TargetId};

use super::{Target, TargetTable};
use crate::availability::{
    AvailabilityChange, AvailabilityChanges, Notice, UnavailableCounts, earliest_resume,
};

impl TargetTable {
    fn life_mut(
        &mut self,
        service: &ServiceId,
        target: &TargetId,
        incarnation: Incarnation,
    ) -> Option<&mut Target> {
        self.get_mut(service, target).filter(|known| known.incarnation == incarnation)
    }

    /// Records what a response of a target states. A response of another incarnation than the known
    /// one is ignored.
    pub fn record_notice(
        &mut self,
        service: &ServiceId,
        target: &TargetId,
        incarnation: Incarnation,
        notice: Notice,
        now: Instant,
    ) -> AvailabilityChanges {
        let known = self.life_mut(service, target, incarnation);
        known.map_or_else(Default::default, |known| known.availability.record(notice, now))
    }

    /// Records a usable response, which raises the limit of a target that resumes.
    pub fn record_response(
        &mut self,
        service: &ServiceId,
        target: &TargetId,
        incarnation: Incarnation,
        now: Instant,
    ) -> Option<AvailabilityChange> {
        let known = self.life_mut(service, target, incarnation)?;
        let slots = known.slots;
        known.availability.record_response(slots, now)
    }

    /// Ends the pauses whose time has passed, and returns their targets.
    pub fn end_pauses(&mut self, now: Instant) -> Vec<(ServiceId, TargetId)> {
        let mut ended = Vec::new();
        for (service, targets) in &mut self.services {
            for target in targets {
                if target.availability.end_pause(now).is_some() {
                    ended.push((service.clone(), target.target.clone()));
                }
            }
        }
        ended
    }

    /// Returns the number of live targets that take no new requests because of their notices.
    pub fn unavailable(&self, now: Instant) -> UnavailableCounts {
        let live = self.iter().filter(|(_, target)| target.is_live(now));
        UnavailableCounts::of(live.map(|(_, target)| &target.availability), now)
    }

    /// Returns the earliest end of a pause if all usable targets of a service are paused or leave,
    /// none otherwise. `running` returns the requests of this daemon at a target, or none if the
    /// configuration does not allow the target.
    pub fn earliest_resume(
        &self,
        service: &ServiceId,
        running: impl Fn(&Target) -> Option<SlotCount>,
        now: Instant,
    ) -> Option<Instant> {
        let usable = self.of_service(service).iter().filter(|target| target.is_usable(now));
        earliest_resume(usable.filter_map(|target| {
            Some(target.availability.eligibility(running(target)?.get(), now))
        }))
    }
}

#[cfg(test)]
#[path = "notices_tests.rs"]
mod tests;
