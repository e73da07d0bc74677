//! Which part of the objects near targets handle; it follows their load in small steps.

use std::fmt;
use std::time::{Duration, Instant};

use super::{Candidate, Locality};
use crate::targets::Distance;

/// Requests per slot above which a group of targets gets fewer objects.
const FILL_SHARE_FALLS: f64 = 0.8;
/// Requests per slot below which a group of targets gets more objects.
const FILL_SHARE_RISES: f64 = 0.55;
/// Change of a share at once. Objects that move are unknown to their new targets, and a region's
/// traffic may move by 15% in two seconds; requests that find no room at home move beside that.
const SHARE_FALLS_BY: f64 = 0.012;
/// See [`SHARE_FALLS_BY`]; a share returns more slowly than it falls.
const SHARE_RISES_BY: f64 = 0.02;
/// Rise of a region's share: small responses cost little on their way from another region, and each
/// object that returns is met for the first time again.
const REGION_SHARE_RISES_BY: f64 = 0.004;
/// Smallest share, so that a group that has room again is noticed.
const SHARE_MIN: f64 = 0.05;
/// Factor of the first share over an even spread of the demand; targets that know their objects
/// take more than the average.
const SHARE_OVER_EVEN: f64 = 1.5;
/// Time between two changes of the shares.
pub const SHARE_INTERVAL: Duration = Duration::from_millis(500);
/// Time after the first request for a service in which its targets become known: they announce
/// themselves every few seconds, and the first ones to do so are no measure of the places.
pub(super) const SETTLING_TIME: Duration = Duration::from_secs(5);
/// Growth of the slots in that time with which the shares are set anew.
const SETTLING_GROWTH: f64 = 1.2;

/// Shares of the objects that belong to the targets of this data centre and of this region; the
/// others belong to targets of all regions.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ObjectShares {
    pub(super) locality: Locality,
    /// Slots of all targets when the shares were last set from them.
    slots: f64,
    began_at: Instant,
    data_centre: f64,
    region: f64,
    changed_at: Instant,
}

impl ObjectShares {
    /// Returns the shares for an even demand of all places: data centres or regions, whichever
    /// objects keep to.
    pub fn even(candidates: &[Candidate], locality: Locality, places: usize, now: Instant) -> Self {
        let all = slots_of(candidates, |_| true).max(1.0);
        let of = |distance| {
            let slots = slots_of(candidates, |candidate| candidate.distance == distance);
            slots * places as f64 / all
        };
        let own = of(Distance::DataCentre) * SHARE_OVER_EVEN;
        let neighbour = of(Distance::Region) - 1.0;
        Self {
            locality,
            slots: all,
            began_at: now,
            data_centre: own.clamp(SHARE_MIN, 1.0),
            region: neighbour.clamp(SHARE_MIN, 1.0),
            changed_at: now,
        }
    }

    /// Returns whether the shares should look at the load again.
    pub fn is_due(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.changed_at) >= SHARE_INTERVAL
    }

    /// Follows the load of the targets; `places` as for [`Self::even`].
    pub fn adjust(&mut self, candidates: &[Candidate], places: usize, now: Instant) {
        if !self.is_due(now) {
            return;
        }
        let is_settling = now.saturating_duration_since(self.began_at) < SETTLING_TIME;
        if is_settling && slots_of(candidates, |_| true) > self.slots * SETTLING_GROWTH {
            let began_at = self.began_at;
            *self = Self::even(candidates, self.locality, places, now);
            self.began_at = began_at;
            return;
        }
        self.changed_at = now;
        let rises_by = match self.locality {
            Locality::DataCentre => SHARE_RISES_BY,
            Locality::Region => REGION_SHARE_RISES_BY,
        };
        self.data_centre = followed(self.data_centre, rises_by, candidates, Distance::DataCentre);
        self.region = followed(self.region, rises_by, candidates, Distance::Region);
    }

    /// Returns the share of the targets at a distance.
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

fn slots_of(candidates: &[Candidate], selects: impl Fn(&Candidate) -> bool) -> f64 {
    candidates.iter().filter(|candidate| selects(candidate)).map(Candidate::slots).sum()
}

fn followed(share: f64, rises_by: f64, candidates: &[Candidate], distance: Distance) -> f64 {
    let is_in_group =
        |candidate: &Candidate| candidate.distance == distance && !candidate.is_avoided;
    let slots = slots_of(candidates, is_in_group);
    if slots == 0.0 {
        return share;
    }
    let group = candidates.iter().filter(|candidate| is_in_group(candidate));
    let fill = group.map(|candidate| candidate.load).sum::<f64>() / slots;
    if fill > FILL_SHARE_FALLS {
        (share - SHARE_FALLS_BY).max(SHARE_MIN)
    } else if fill < FILL_SHARE_RISES {
        (share + rises_by).min(1.0)
    } else {
        share
    }
}
