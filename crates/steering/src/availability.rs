//! Targets that take no new requests according to their own responses: they leave, or they asked for
//! a pause.
//!
//! A target that leaves gets no new request for the rest of its life, that is, one incarnation of its
//! process. A target that asked for a pause gets none until the end of the pause. It may have too
//! little capacity for all of its callers, so its requests resume one at a time: each usable response
//! raises the limit of requests in flight by one, until it reaches the target's slots.
//!
//! Every VM decides by the responses that it has received itself. A restarted VM learns again.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use celerygate_types::{Incarnation, SlotCount, TargetId};
use smallvec::SmallVec;

use crate::responses::ResponseKind;

/// Longest pause that is believed; a longer one ends after this time. When it ends, a single request
/// finds out whether the target still wants none, so a faulty value does not remove a target for
/// good.
pub const MAX_PAUSE: Duration = Duration::from_secs(600);
/// Number of requests in flight with which a target resumes after a pause.
pub const INITIAL_RESUME_LIMIT: u32 = 1;
/// How long the state of an unknown target is kept.
pub const UNKNOWN_RETENTION: Duration = MAX_PAUSE;

/// What a response states about its target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Notice {
    /// Whether the target leaves.
    pub is_leaving: bool,
    /// Time for which the target wants no requests from this VM. Zero states nothing; at most
    /// [`MAX_PAUSE`] is believed.
    pub pause: Option<Duration>,
}

impl Notice {
    /// Returns the believed pause.
    fn believed_pause(&self) -> Option<Duration> {
        self.pause.filter(|pause| !pause.is_zero()).map(|pause| pause.min(MAX_PAUSE))
    }

    /// Returns what is believed of the notice in a response. A target that leaves goes on leaving,
    /// whichever of its responses states it, but the copy of an earlier one would begin its pause anew.
    #[must_use]
    pub fn believed_in(self, response: ResponseKind) -> Self {
        match response {
            ResponseKind::Rejected(reason) if reason.concerns_request_ids() => {
                Self { pause: None, ..self }
            }
            ResponseKind::Rejected(_) | ResponseKind::Answer | ResponseKind::NotRun => self,
        }
    }

    /// Returns whether the target asks for a pause.
    pub fn asks_for_pause(&self) -> bool {
        self.believed_pause().is_some()
    }
}

/// Whether a target may get a new request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Eligibility {
    /// It may.
    Eligible,
    /// It resumes after a pause and has as many requests in flight as it may have for now.
    AtResumeLimit {
        /// The maximum number of requests in flight.
        limit: u32,
    },
    /// It wants no requests until this time.
    Paused {
        /// End of the pause.
        until: Instant,
    },
    /// It leaves.
    Leaving,
}

/// A change of a target's availability.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AvailabilityChange {
    /// The target leaves.
    LeavingBegan,
    /// The life of a leaving target has ended.
    LeavingEnded,
    /// The target takes no requests until this time. A later notice may extend the pause.
    PauseBegan {
        /// End of the pause.
        until: Instant,
    },
    /// The pause has ended.
    PauseEnded,
}

/// Changes of one target's availability, in order.
pub type AvailabilityChanges = SmallVec<[AvailabilityChange; 2]>;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Pause {
    #[default]
    None,
    Until(Instant),
    Resuming {
        limit: u32,
    },
}

/// Availability of one life of a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Availability {
    is_leaving: bool,
    pause: Pause,
}

impl Availability {
    /// Records what a response of the target states.
    pub fn record(&mut self, notice: Notice, now: Instant) -> AvailabilityChanges {
        let mut changes: AvailabilityChanges = self.end_pause(now).into_iter().collect();
        if notice.is_leaving && !self.is_leaving {
            self.is_leaving = true;
            changes.push(AvailabilityChange::LeavingBegan);
        }
        if let Some(pause) = notice.believed_pause() {
            let until = now + pause;
            match self.pause {
                Pause::Until(known) => self.pause = Pause::Until(known.max(until)),
                Pause::None | Pause::Resuming { .. } => {
                    self.pause = Pause::Until(until);
                    changes.push(AvailabilityChange::PauseBegan { until });
                }
            }
        }
        changes
    }

    /// Records a usable response, which raises the limit of a target that resumes.
    pub fn record_response(
        &mut self,
        slots: SlotCount,
        now: Instant,
    ) -> Option<AvailabilityChange> {
        let ended = self.end_pause(now);
        if let Pause::Resuming { limit } = self.pause {
            let limit = limit + 1;
            let is_resumed = limit >= slots.get();
            self.pause = if is_resumed { Pause::None } else { Pause::Resuming { limit } };
        }
        ended
    }

    /// Ends a pause whose time has passed.
    pub fn end_pause(&mut self, now: Instant) -> Option<AvailabilityChange> {
        match self.pause {
            Pause::Until(until) if now >= until => {
                self.pause = Pause::Resuming { limit: INITIAL_RESUME_LIMIT };
                Some(AvailabilityChange::PauseEnded)
            }
            _ => None,
        }
    }

    /// Returns whether the target may get a request in addition to those in flight.
    pub fn eligibility(&self, in_flight: u32, now: Instant) -> Eligibility {
        if self.is_leaving {
            return Eligibility::Leaving;
        }
        let limit = match self.pause {
            Pause::None => return Eligibility::Eligible,
            Pause::Until(until) if now < until => return Eligibility::Paused { until },
            Pause::Until(_) => INITIAL_RESUME_LIMIT,
            Pause::Resuming { limit } => limit,
        };
        if in_flight < limit { Eligibility::Eligible } else { Eligibility::AtResumeLimit { limit } }
    }

    /// Returns whether nothing distinguishes the target from one without notices.
    fn is_default(&self) -> bool {
        *self == Self::default()
    }

    fn end_life(&self) -> AvailabilityChanges {
        let mut changes = AvailabilityChanges::new();
        if self.is_leaving {
            changes.push(AvailabilityChange::LeavingEnded);
        }
        if matches!(self.pause, Pause::Until(_)) {
            changes.push(AvailabilityChange::PauseEnded);
        }
        changes
    }
}

/// Returns the earliest end of a pause if no target may get a request now or after the end of one in
/// flight, none otherwise. A request that is refused for it can be served from that time on.
pub fn earliest_resume(targets: impl IntoIterator<Item = Eligibility>) -> Option<Instant> {
    let mut earliest: Option<Instant> = None;
    for target in targets {
        match target {
            Eligibility::Eligible | Eligibility::AtResumeLimit { .. } => return None,
            Eligibility::Paused { until } => {
                earliest = Some(earliest.map_or(until, |known| known.min(until)));
            }
            Eligibility::Leaving => {}
        }
    }
    earliest
}

/// One run of a target's process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetLife {
    /// Id of the target.
    pub target: TargetId,
    /// Incarnation of its process.
    pub incarnation: Incarnation,
}

/// What is known about a target's life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LifeStatus {
    /// The process runs as far as known.
    Current,
    /// The process has ended, or a later one is known.
    Ended,
    /// The target is not known, or not any more. Its record may return with a later report.
    Unknown,
}

/// Number of targets that take no new requests because of their notices.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UnavailableCounts {
    /// Targets that leave.
    pub leaving: u64,
    /// Targets that are paused and do not leave.
    pub paused: u64,
}

impl UnavailableCounts {
    /// Counts targets.
    pub fn of<'a>(targets: impl IntoIterator<Item = &'a Availability>, now: Instant) -> Self {
        let mut counts = Self::default();
        for availability in targets {
            match availability.eligibility(0, now) {
                Eligibility::Leaving => counts.leaving += 1,
                Eligibility::Paused { .. } => counts.paused += 1,
                Eligibility::Eligible | Eligibility::AtResumeLimit { .. } => {}
            }
        }
        counts
    }
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    incarnation: Incarnation,
    availability: Availability,
    recorded_at: Instant,
}

/// Availability of the targets of a VM, for the latest incarnation of each that sent a notice.
#[derive(Clone, Debug, Default)]
pub struct AvailabilityTable {
    entries: HashMap<TargetId, Entry>,
}

impl AvailabilityTable {
    /// Records what a response of a target states. A response of an earlier incarnation than the
    /// latest known one is ignored.
    pub fn record(
        &mut self,
        life: &TargetLife,
        notice: Notice,
        now: Instant,
    ) -> AvailabilityChanges {
        if !notice.is_leaving && !notice.asks_for_pause() {
            return AvailabilityChanges::new();
        }
        let entry = self.entries.entry(life.target.clone()).or_insert_with(|| Entry {
            incarnation: life.incarnation,
            availability: Availability::default(),
            recorded_at: now,
        });
        if life.incarnation < entry.incarnation {
            return AvailabilityChanges::new();
        }
        let mut changes = AvailabilityChanges::new();
        if life.incarnation > entry.incarnation {
            changes = entry.availability.end_life();
            entry.incarnation = life.incarnation;
            entry.availability = Availability::default();
        }
        entry.recorded_at = now;
        changes.extend(entry.availability.record(notice, now));
        changes
    }

    /// Records a usable response, which raises the limit of a target that resumes.
    pub fn record_response(
        &mut self,
        life: &TargetLife,
        slots: SlotCount,
        now: Instant,
    ) -> Option<AvailabilityChange> {
        let entry = self.entries.get_mut(&life.target)?;
        if entry.incarnation != life.incarnation {
            return None;
        }
        entry.availability.record_response(slots, now)
    }

    /// Returns whether a target may get a request in addition to those in flight.
    pub fn eligibility(
        &self,
        target: &TargetId,
        incarnation: Incarnation,
        in_flight: u32,
        now: Instant,
    ) -> Eligibility {
        match self.entries.get(target) {
            Some(entry) if incarnation <= entry.incarnation => {
                entry.availability.eligibility(in_flight, now)
            }
            _ => Eligibility::Eligible,
        }
    }

    /// Ends the pauses whose time has passed, and forgets targets that resumed, whose life has ended
    /// or that are unknown for [`UNKNOWN_RETENTION`]. Returns the changes.
    pub fn expire(
        &mut self,
        status: impl Fn(&TargetId, Incarnation) -> LifeStatus,
        now: Instant,
    ) -> Vec<(TargetId, AvailabilityChange)> {
        let mut changes = Vec::new();
        self.entries.retain(|target, entry| {
            let ended = entry.availability.end_pause(now);
            changes.extend(ended.map(|change| (target.clone(), change)));
            let has_life = match status(target, entry.incarnation) {
                LifeStatus::Current => true,
                LifeStatus::Ended => false,
                LifeStatus::Unknown => {
                    now.saturating_duration_since(entry.recorded_at) < UNKNOWN_RETENTION
                }
            };
            if !has_life {
                let ended = entry.availability.end_life();
                changes.extend(ended.into_iter().map(|change| (target.clone(), change)));
            }
            has_life && !entry.availability.is_default()
        });
        changes
    }

    /// Returns whether no target has sent a notice that still has an effect.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the number of targets that take no new requests.
    pub fn unavailable(&self, now: Instant) -> UnavailableCounts {
        UnavailableCounts::of(self.entries.values().map(|entry| &entry.availability), now)
    }
}

#[cfg(test)]
#[path = "availability_tests.rs"]
mod tests;
