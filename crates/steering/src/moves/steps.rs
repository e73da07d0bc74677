//! Sizes of the steps of a move.

use celerygate_types::wire::{Change, Configuration, PlanStep, Refusal, Route};
use celerygate_types::{Measurements, RegionId, ResultCode, ServiceId, SharePpm};
use smol_str::format_smolstr;

use super::load::{Flow, Load, flow_of, stale_region};
use super::{MIN_STEP_SHARE, PLAN_LIMITS, STEP_SHARE, block_weight, refuse};
use crate::shares;

/// The route of one home region while its share is being moved.
struct HomeRoute {
    route: Route,
    /// Share that the source served at first.
    start: SharePpm,
    blocks: u128,
}

/// A service whose traffic is being moved. Shares are parts of what the source served at first.
struct Moving<'a> {
    service: &'a ServiceId,
    source: &'a RegionId,
    goal: SharePpm,
    done: SharePpm,
    homes: Vec<HomeRoute>,
    /// Sum of the homes' start shares, weighted by blocks.
    whole: u128,
    measurements: &'a Measurements,
}

impl<'a> Moving<'a> {
    fn new(
        configuration: &Configuration,
        measurements: &'a Measurements,
        source: &'a RegionId,
        (service, goal): &'a (ServiceId, SharePpm),
    ) -> Self {
        let homes = configuration.regions.iter().map(|home| {
            let route = shares::route_of(configuration, service, home);
            let start = shares::share_at(&route, source);
            HomeRoute { route, start, blocks: block_weight(configuration, home) }
        });
        let homes: Vec<HomeRoute> = homes.filter(|home| home.start > SharePpm::ZERO).collect();
        let whole = homes.iter().map(|home| u128::from(home.start.get()) * home.blocks).sum();
        Self { service, source, goal: *goal, done: SharePpm::ZERO, homes, whole, measurements }
    }

    fn left(&self) -> SharePpm {
        if self.homes.is_empty() { SharePpm::ZERO } else { self.goal.saturating_sub(self.done) }
    }

    fn flows(&self, to: &RegionId, share: SharePpm) -> Vec<Flow> {
        let whole = self.whole * u128::from(SharePpm::WHOLE.get());
        let flows = self.homes.iter().map(|home| {
            let part = u128::from(home.start.get()) * home.blocks * u128::from(share.get());
            let ends = (self.source, to);
            flow_of(self.measurements, self.service, &home.route.home_region, ends, (part, whole))
        });
        flows.collect()
    }

    /// Returns the largest share up to `want` that fits, and what stops a larger one.
    fn largest_fitting(
        &self,
        load: &Load,
        to: &RegionId,
        want: SharePpm,
    ) -> (SharePpm, Option<Refusal>) {
        let Err(refusal) = load.fits(&self.flows(to, want)) else { return (want, None) };
        let (mut fits, mut exceeds) = (0, want.get());
        while exceeds - fits > 1 {
            let middle = fits + (exceeds - fits) / 2;
            match load.fits(&self.flows(to, SharePpm(middle))) {
                Ok(()) => fits = middle,
                Err(_) => exceeds = middle,
            }
        }
        (SharePpm(fits), Some(refusal))
    }

    /// Reassigns a share in the routes; rounding never adds up over several steps.
    fn advance(&mut self, to: &RegionId, share: SharePpm) {
        let before = self.done;
        self.done = before.saturating_add(share);
        for home in &mut self.homes {
            let moved = |done: SharePpm| done.of(u64::from(home.start.get()));
            let amount = moved(self.done) - moved(before);
            let amount = SharePpm(u32::try_from(amount).unwrap_or(u32::MAX));
            home.route = shares::move_share(&home.route, self.source, to, amount);
        }
    }
}

/// Plans the steps that move a share of each service from a region to others, none when the region
/// serves nothing.
pub(super) fn plan_steps(
    configuration: &Configuration,
    measurements: &Measurements,
    from: &RegionId,
    goals: &[(ServiceId, SharePpm)],
    destinations: &[RegionId],
) -> Result<Vec<PlanStep>, Refusal> {
    let mut load = Load::new(configuration, measurements, PLAN_LIMITS);
    let moving = goals.iter().map(|goal| Moving::new(configuration, measurements, from, goal));
    let mut moving: Vec<Moving<'_>> = moving.filter(|one| one.left() > SharePpm::ZERO).collect();
    if moving.is_empty() {
        return Ok(Vec::new());
    }
    if !load.is_measured(from) {
        return Err(stale_region(from));
    }
    let measured = destinations.iter().filter(|region| load.is_measured(region));
    let destinations: Vec<RegionId> = measured.cloned().collect();
    if destinations.is_empty() {
        let reason = "no region that could take the traffic has a fresh measurement";
        return Err(refuse(ResultCode::MeasurementsStale, reason));
    }
    let mut steps = Vec::new();
    while moving.iter().any(|one| one.left() > SharePpm::ZERO) {
        steps.push(plan_step(&mut load, &mut moving, &destinations)?);
    }
    Ok(steps)
}

/// Plans one step of all services and leaves the load as it is when the step has settled.
fn plan_step(
    load: &mut Load,
    moving: &mut [Moving<'_>],
    destinations: &[RegionId],
) -> Result<PlanStep, Refusal> {
    let mut cold = load.clone();
    let mut flows: Vec<Flow> = Vec::new();
    let mut changes = Vec::new();
    let mut notes = Vec::new();
    let mut first_refusal = None;
    for one in moving.iter_mut() {
        let before: Vec<Route> = one.homes.iter().map(|home| home.route.clone()).collect();
        for (to, share) in allot(&cold, one, destinations, &mut first_refusal) {
            let moved = one.flows(&to, share);
            cold.add_cold(&moved);
            flows.extend(moved);
            one.advance(&to, share);
            let percent = f64::from(share.get()) / 10_000.0;
            notes.push(format!("{percent:.1}% of {} from {} to {to}", one.service, one.source));
        }
        let routes = one.homes.iter().map(|home| &home.route).zip(&before);
        changes.extend(
            routes
                .filter(|(after, before)| after != before)
                .map(|(after, _)| Change::Route(after.clone())),
        );
    }
    if notes.is_empty() {
        let unexplained = || refuse(ResultCode::NoHeadroom, "no region can take the traffic");
        return Err(first_refusal.unwrap_or_else(unexplained));
    }
    load.add_settled(&flows);
    let touched: std::collections::BTreeSet<&RegionId> =
        flows.iter().map(|flow| &flow.to).collect();
    Ok(PlanStep {
        changes,
        links: cold.link_uses(&flows),
        note: format_smolstr!("moves {}", notes.join(", ")),
        regions: touched.into_iter().filter_map(|to| cold.region_headroom(to)).collect(),
    })
}

/// Divides the next part of a service between destinations in proportion to their headroom, and
/// what does not fit there between the others.
fn allot(
    load: &Load,
    one: &Moving<'_>,
    destinations: &[RegionId],
    refusal: &mut Option<Refusal>,
) -> Vec<(RegionId, SharePpm)> {
    let want = one.left().min(STEP_SHARE);
    let mut by_headroom: Vec<(u64, &RegionId)> =
        destinations.iter().map(|to| (load.headroom(one.service, to), to)).collect();
    by_headroom.sort_by(|a, b| b.cmp(a));
    let total: u128 = by_headroom.iter().map(|(headroom, _)| u128::from(*headroom)).sum();
    let mut load = load.clone();
    let mut shares: Vec<(RegionId, SharePpm)> = Vec::new();
    let mut left = want;
    // The first pass divides by headroom, the second gives the rest to whoever can take it.
    for proportional in [true, false] {
        for (headroom, to) in &by_headroom {
            let part = u128::from(want.get()) * u128::from(*headroom) / total.max(1);
            let part = SharePpm(u32::try_from(part).unwrap_or(u32::MAX));
            let wanted = if proportional { part.min(left) } else { left };
            if wanted == SharePpm::ZERO {
                continue;
            }
            let (fits, stopped_by) = one.largest_fitting(&load, to, wanted);
            if refusal.is_none() {
                *refusal = stopped_by;
            }
            if fits > SharePpm::ZERO {
                load.add_cold(&one.flows(to, fits));
                left = left.saturating_sub(fits);
                match shares.iter_mut().find(|(known, _)| known == *to) {
                    Some((_, share)) => *share = share.saturating_add(fits),
                    None => shares.push(((*to).clone(), fits)),
                }
            }
        }
    }
    let taken = want.saturating_sub(left);
    if taken < want.min(MIN_STEP_SHARE) { Vec::new() } else { shares }
}
