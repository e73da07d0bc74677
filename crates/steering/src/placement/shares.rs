//! Shares of the objects that near targets handle, adjusted to their load in small steps.

use std::fmt;
use std::time::{Duration, Instant};

use super::{Candidate, Locality};
use crate::targets::Distance;

/// Requests per slot above which the share of a group of targets decreases.
const DECREASE_ABOVE_UTILISATION: f64 = 0.8;
/// Requests per slot below which the share of a group of targets increases.
const INCREASE_BELOW_UTILISATION: f64 = 0.55;
/// Decrease of a share per step. Objects that move are unknown to their new targets, and at most
/// 15% of a region's traffic may move within two seconds; requests that find no capacity at their
/// primary target move in addition.
const DECREASE_STEP: f64 = 0.012;
/// Increase of a share per step; see [`DECREASE_STEP`].
const INCREASE_STEP: f64 = 0.02;
/// Increase of a share per step with region locality. It is small because small responses from
/// another region cost little, and each object that returns is unknown to its target again.
const REGION_INCREASE_STEP: f64 = 0.004;
/// Minimum share, so that a group still gets requests and its free capacity is detected.
const MIN_SHARE: f64 = 0.05;
/// Factor of the initial share over an even distribution of the demand with data centre locality;
/// targets that know their objects handle more requests than the average.
const INITIAL_SHARE_FACTOR: f64 = 1.5;
/// The same factor with region locality. At first all objects are unknown, and a small region may
/// also have to serve requests of other regions that may not run elsewhere: a share that is too large
/// falls by more than the part of a region's requests that may move within two seconds.
const INITIAL_REGION_SHARE_FACTOR: f64 = 1.0;
/// Interval between two adjustments of the shares.
pub const SHARE_INTERVAL: Duration = Duration::from_millis(500);
/// Time after the first request for a service in which its targets become known. They announce
/// themselves every few seconds, so the first ones do not show how many slots each place has.
pub(super) const SETTLING_TIME: Duration = Duration::from_secs(5);
/// Growth factor of the known slots during [`SETTLING_TIME`] above which the shares are
/// recalculated.
const RECALCULATION_GROWTH: f64 = 1.2;

/// Shares of the objects that are assigned to the targets of this data centre and of this region;
/// the remaining objects are assigned to targets in other regions.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ObjectShares {
    pub(super) locality: Locality,
    /// Slots of all targets when the shares were last calculated from them.
    slots: f64,
    created_at: Instant,
    data_centre: f64,
    region: f64,
    adjusted_at: Instant,
}

impl ObjectShares {
    /// Returns the initial shares, which assume equal demand in all places. `places` is the number
    /// of data centres or regions, depending on the locality.
    pub fn even(candidates: &[Candidate], locality: Locality, places: usize, now: Instant) -> Self {
        let all = total_slots(candidates, |_| true).max(1.0);
        let of = |distance| {
            let slots = total_slots(candidates, |candidate| candidate.distance == distance);
            slots * places as f64 / all
        };
        let factor = match locality {
            Locality::DataCentre => INITIAL_SHARE_FACTOR,
            Locality::Region => INITIAL_REGION_SHARE_FACTOR,
        };
        let data_centre = of(Distance::DataCentre) * factor;
        let region = of(Distance::Region) - 1.0;
        Self {
            locality,
            slots: all,
            created_at: now,
            data_centre: data_centre.clamp(MIN_SHARE, 1.0),
            region: region.clamp(MIN_SHARE, 1.0),
            adjusted_at: now,
        }
    }

    /// Returns whether the next adjustment is due.
    pub fn is_due(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.adjusted_at) >= SHARE_INTERVAL
    }

    /// Adjusts the shares to the load of the targets; `places` as for [`Self::even`].
    pub fn adjust(&mut self, candidates: &[Candidate], places: usize, now: Instant) {
        if !self.is_due(now) {
            return;
        }
        let is_settling = now.saturating_duration_since(self.created_at) < SETTLING_TIME;
        if is_settling && total_slots(candidates, |_| true) > self.slots * RECALCULATION_GROWTH {
            let created_at = self.created_at;
            *self = Self::even(candidates, self.locality, places, now);
            self.created_at = created_at;
            return;
        }
        self.adjusted_at = now;
        let increase_step = match self.locality {
            Locality::DataCentre => INCREASE_STEP,
            Locality::Region => REGION_INCREASE_STEP,
        };
        self.data_centre =
            adjusted_share(self.data_centre, increase_step, candidates, Distance::DataCentre);
        self.region = adjusted_share(self.region, increase_step, candidates, Distance::Region);
    }

    /// Returns the position in the unit interval below which objects are assigned to the targets at
    /// a distance, unless a nearer group has them; 1 for remote targets.
    pub(super) fn of(&self, distance: Distance) -> f64 {
        match distance {
            Distance::DataCentre => self.data_centre,
            Distance::Region => self.region,
            Distance::Remote => 1.0,
        }
    }
}

impl fmt::Display for ObjectShares {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.2}/{:.2}", self.data_centre, self.region)
    }
}

fn total_slots(candidates: &[Candidate], is_selected: impl Fn(&Candidate) -> bool) -> f64 {
    candidates.iter().filter(|candidate| is_selected(candidate)).map(Candidate::slots).sum()
}

fn adjusted_share(
    share: f64,
    increase_step: f64,
    candidates: &[Candidate],
    distance: Distance,
) -> f64 {
    let is_in_group =
        |candidate: &Candidate| candidate.distance == distance && !candidate.is_avoided;
    let slots = total_slots(candidates, is_in_group);
    if slots == 0.0 {
        return share;
    }
    let group = candidates.iter().filter(|candidate| is_in_group(candidate));
    let utilisation = group.map(|candidate| candidate.load).sum::<f64>() / slots;
    if utilisation > DECREASE_ABOVE_UTILISATION {
        (share - DECREASE_STEP).max(MIN_SHARE)
    } else if utilisation < INCREASE_BELOW_UTILISATION {
        (share + increase_step).min(1.0)
    } else {
        share
    }
}
