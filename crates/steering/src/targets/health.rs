//! Ejection of failing targets by the daemon's own observations (outlier detection).

use std::time::{Duration, Instant};

use celerygate_types::{RegionId, SlotCount};

use super::Target;

/// Number of consecutive failed connection attempts after which a target is ejected.
pub const MAX_CONNECT_FAILURES: u32 = 5;
/// Minimum number of requests for which a failure rate is evaluated.
pub const MIN_REQUESTS: u32 = 10;
/// Length of a counting window; the failure rate covers the current and the previous window.
pub const WINDOW: Duration = Duration::from_secs(10);
/// Duration of the first ejection; it doubles with each further one.
pub const BASE_EJECTION_TIME: Duration = Duration::from_secs(10);
/// Maximum duration of an ejection. The duration is reset if a target is not ejected again for this
/// long after an ejection.
pub const MAX_EJECTION_TIME: Duration = Duration::from_secs(160);

/// Observed result of a request or a connection attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observation {
    /// A request got a complete response other than a server error.
    Success,
    /// A request failed, exceeded its deadline at the target, or got a server error.
    Failure,
    /// A connection could not be established.
    ConnectFailure,
}

/// Effect of an observation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EjectionVerdict {
    /// The observation was ignored: the target or its incarnation is unknown.
    Ignored,
    /// The target stays in use.
    Kept,
    /// The target is failing but not ejected, because the other targets of its region could not
    /// carry the load.
    KeptByCap,
    /// The target was ejected and gets no requests until this time.
    Ejected {
        /// End of the ejection.
        until: Instant,
    },
}

#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    requests: u32,
    failures: u32,
}

/// Health of one incarnation of a target, according to this daemon's observations.
#[derive(Clone, Debug)]
pub struct Health {
    window_start: Instant,
    current: Counts,
    previous: Counts,
    connect_failures: u32,
    ejected_until: Option<Instant>,
    last_ejection_end: Option<Instant>,
    ejections: u32,
}

impl Health {
    /// Returns the state of a target without observations.
    pub fn new(now: Instant) -> Self {
        Self {
            window_start: now,
            current: Counts::default(),
            previous: Counts::default(),
            connect_failures: 0,
            ejected_until: None,
            last_ejection_end: None,
            ejections: 0,
        }
    }

    /// Returns whether the target is ejected.
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Returns the end of the current ejection, if the target is ejected.
    pub fn ejected_until(&self, now: Instant) -> Option<Instant> {
        self.ejected_until.filter(|until| now < *until)
    }

    fn count(&mut self, observation: Observation, now: Instant) {
        let elapsed = now.saturating_duration_since(self.window_start);
        if elapsed >= WINDOW {
            let is_adjacent = elapsed < WINDOW * 2;
            self.previous = if is_adjacent { self.current } else { Counts::default() };
            self.current = Counts::default();
            self.window_start = if is_adjacent { self.window_start + WINDOW } else { now };
        }
        match observation {
            Observation::Success => {
                self.current.requests += 1;
                self.connect_failures = 0;
            }
            Observation::Failure => {
                self.current.requests += 1;
                self.current.failures += 1;
                self.connect_failures = 0;
            }
            Observation::ConnectFailure => self.connect_failures += 1,
        }
    }

    fn is_failing(&self) -> bool {
        let requests = self.current.requests + self.previous.requests;
        let failures = self.current.failures + self.previous.failures;
        self.connect_failures >= MAX_CONNECT_FAILURES
            || (requests >= MIN_REQUESTS && failures * 2 > requests)
    }

    fn eject(&mut self, now: Instant) -> Instant {
        let since_ejection = self.last_ejection_end.map(|end| now.saturating_duration_since(end));
        if since_ejection.is_some_and(|since_ejection| since_ejection >= MAX_EJECTION_TIME) {
            self.ejections = 0;
        }
        let factor = 1_u32 << self.ejections.min(4);
        let until = now + (BASE_EJECTION_TIME * factor).min(MAX_EJECTION_TIME);
        self.ejections += 1;
        self.ejected_until = Some(until);
        self.last_ejection_end = Some(until);
        self.reset_counts(now);
        until
    }

    fn readmit(&mut self, now: Instant) {
        self.ejected_until = None;
        self.last_ejection_end = Some(now);
    }

    fn reset_counts(&mut self, now: Instant) {
        self.current = Counts::default();
        self.previous = Counts::default();
        self.connect_failures = 0;
        self.window_start = now;
    }
}

/// The live targets of a service in one region.
struct RegionState {
    live: usize,
    ejected: usize,
    /// Slots of the targets that are not ejected, are not paused and do not leave.
    usable_slots: u64,
}

fn region_state(targets: &[Target], region: &RegionId, now: Instant) -> RegionState {
    let mut state = RegionState { live: 0, ejected: 0, usable_slots: 0 };
    for target in targets.iter().filter(|target| target.region == *region && target.is_live(now)) {
        state.live += 1;
        if target.health.is_ejected(now) {
            state.ejected += 1;
        } else if target.accepts_requests(now) {
            state.usable_slots += u64::from(target.slots.get());
        }
    }
    state
}

/// Records an observation of `targets[index]` and ejects the target if it is failing and the caps
/// allow it: at most a third of the live targets of a region may be ejected, and the remaining ones
/// must have enough slots for the load.
pub(super) fn observe(
    targets: &mut [Target],
    index: usize,
    observation: Observation,
    region_load: impl Fn(&RegionId) -> SlotCount,
    now: Instant,
) -> EjectionVerdict {
    let target = &mut targets[index];
    if target.health.is_ejected(now) {
        // These requests were in progress when the ejection began; they must not extend it.
        return EjectionVerdict::Kept;
    }
    target.health.count(observation, now);
    if !target.health.is_failing() || !target.is_live(now) {
        return EjectionVerdict::Kept;
    }
    let region = target.region.clone();
    let slots = if target.accepts_requests(now) { u64::from(target.slots.get()) } else { 0 };
    let state = region_state(targets, &region, now);
    let load = u64::from(region_load(&region).get());
    let allowed =
        (state.ejected + 1) * 3 <= state.live && state.usable_slots.saturating_sub(slots) >= load;
    if !allowed {
        return EjectionVerdict::KeptByCap;
    }
    EjectionVerdict::Ejected { until: targets[index].health.eject(now) }
}

/// Ends ejections until the caps hold, in the order of their end times, and returns the indices of
/// the readmitted targets.
pub(super) fn enforce_ejection_caps(
    targets: &mut [Target],
    region_load: impl Fn(&RegionId) -> SlotCount,
    now: Instant,
) -> Vec<usize> {
    let mut ejected: Vec<(Instant, usize)> = targets
        .iter()
        .enumerate()
        .filter(|(_, target)| target.is_live(now))
        .filter_map(|(index, target)| target.health.ejected_until(now).map(|until| (until, index)))
        .collect();
    ejected.sort_unstable();
    let mut readmitted = Vec::new();
    for (_, index) in ejected {
        let region = targets[index].region.clone();
        let state = region_state(targets, &region, now);
        let load = u64::from(region_load(&region).get());
        if state.ejected * 3 > state.live || state.usable_slots < load {
            targets[index].health.readmit(now);
            readmitted.push(index);
        }
    }
    readmitted
}
