//! Sizes of the steps of a move.

use std::collections::{BTreeMap, BTreeSet};

use celerygate_types::wire::{Change, Configuration, PlanStep, Refusal, Route};
use celerygate_types::{Measurements, RegionId, ResultCode, ServiceId, SharePpm};
use smol_str::format_smolstr;

use super::load::{Flow, Load, flow_of, stale_region};
use super::{BlockWeights, MAX_STEP_SHARE, MIN_STEP_SHARE, PLAN_LIMITS, block_weights, refuse};
use crate::shares;

/// The route of one home region while its share is being moved.
#[derive(Clone)]
struct HomeRoute {
    route: Route,
    blocks: u128,
}

/// A service whose traffic is being moved. Shares are parts of what the source served at first, and
/// weights are shares of the hash space times blocks.
#[derive(Clone)]
struct Moving<'a> {
    service: &'a ServiceId,
    source: &'a RegionId,
    goal: SharePpm,
    done: SharePpm,
    homes: Vec<HomeRoute>,
    /// Weight that the source served at first.
    whole: u128,
    /// Weight that has been reassigned.
    moved: u128,
    measurements: &'a Measurements,
}

impl<'a> Moving<'a> {
    fn new(
        configuration: &Configuration,
        weights: &BlockWeights<'_>,
        measurements: &'a Measurements,
        source: &'a RegionId,
        (service, goal): &'a (ServiceId, SharePpm),
    ) -> Self {
        let homes = weights.iter().map(|(home, blocks)| HomeRoute {
            route: shares::route_of(configuration, service, home),
            blocks: *blocks,
        });
        let mut this = Self {
            service,
            source,
            goal: *goal,
            done: SharePpm::ZERO,
            homes: homes.collect(),
            whole: 0,
            moved: 0,
            measurements,
        };
        this.homes.retain(|home| shares::region_share(&home.route, source) > SharePpm::ZERO);
        this.whole = this.homes.iter().map(|home| this.weight_left(home)).sum();
        this
    }

    fn left(&self) -> SharePpm {
        if self.homes.is_empty() { SharePpm::ZERO } else { self.goal.saturating_sub(self.done) }
    }

    fn share_left(&self, home: &HomeRoute) -> u128 {
        u128::from(shares::region_share(&home.route, self.source).get())
    }

    fn weight_left(&self, home: &HomeRoute) -> u128 {
        self.share_left(home) * home.blocks
    }

    /// Returns how much of each home's hash space the next share takes.
    ///
    /// Blocks whose home is the destination go first: they cross no link there, and a move back
    /// after a drain restores the assignment before it. The others go in proportion. Rounding does
    /// not add up over several steps, because each takes what is missing to the sum so far.
    fn amounts(&self, to: &RegionId, share: SharePpm) -> Vec<u128> {
        let done = u128::from(self.done.saturating_add(share).get());
        let sum = self.whole * done / u128::from(SharePpm::WHOLE.get());
        let mut needed = sum.saturating_sub(self.moved);
        let mut amounts = vec![0; self.homes.len()];
        let is_home = |home: &HomeRoute| home.route.home_region == *to;
        for (amount, home) in amounts.iter_mut().zip(&self.homes).filter(|(_, home)| is_home(home))
        {
            *amount = self.share_left(home).min(needed / home.blocks);
            needed -= *amount * home.blocks;
        }
        let others = self.homes.iter().filter(|home| !is_home(home));
        let rest: u128 = others.map(|home| self.weight_left(home)).sum();
        let in_proportion = needed;
        for (amount, home) in amounts.iter_mut().zip(&self.homes).filter(|(_, home)| !is_home(home))
        {
            *amount = in_proportion * self.share_left(home) / rest.max(1);
            needed -= *amount * home.blocks;
        }
        for (amount, home) in amounts.iter_mut().zip(&self.homes) {
            let rounded_off = (self.share_left(home) - *amount).min(needed / home.blocks);
            *amount += rounded_off;
            needed -= rounded_off * home.blocks;
        }
        amounts
    }

    fn flows(&self, to: &RegionId, share: SharePpm) -> Vec<Flow> {
        let amounts = self.amounts(to, share);
        let taken = self.homes.iter().zip(amounts).filter(|(_, amount)| *amount > 0);
        let flows = taken.map(|(home, amount)| {
            let part = (amount * home.blocks, self.whole);
            let ends = (self.source, to);
            flow_of(self.measurements, self.service, &home.route.home_region, ends, part)
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

    /// Reassigns a share in the routes.
    fn advance(&mut self, to: &RegionId, share: SharePpm) {
        let amounts = self.amounts(to, share);
        self.done = self.done.saturating_add(share);
        for (home, amount) in self.homes.iter_mut().zip(amounts) {
            self.moved += amount * home.blocks;
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
    let weights = block_weights(configuration);
    let moving =
        goals.iter().map(|goal| Moving::new(configuration, &weights, measurements, from, goal));
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
        let Some(allotted) = allot(&cold, one, destinations, &mut first_refusal) else { continue };
        (cold, *one) = (allotted.load, allotted.moving);
        flows.extend(allotted.flows);
        for (to, share) in allotted.shares {
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
    let touched: BTreeSet<&RegionId> = flows.iter().map(|flow| &flow.to).collect();
    Ok(PlanStep {
        changes,
        links: cold.link_uses(&flows),
        note: format_smolstr!("moves {}", notes.join(", ")),
        regions: touched.into_iter().filter_map(|to| cold.region_headroom(to)).collect(),
    })
}

/// A part of a service that has been divided between destinations.
struct Allotted<'a> {
    load: Load,
    moving: Moving<'a>,
    flows: Vec<Flow>,
    shares: BTreeMap<RegionId, SharePpm>,
}

/// Divides the next part of a service between destinations in proportion to their headroom, and
/// what does not fit there between the others; none when too little fits.
fn allot<'a>(
    load: &Load,
    one: &Moving<'a>,
    destinations: &[RegionId],
    refusal: &mut Option<Refusal>,
) -> Option<Allotted<'a>> {
    let want = one.left().min(MAX_STEP_SHARE);
    let mut by_headroom: Vec<(u64, &RegionId)> =
        destinations.iter().map(|to| (load.headroom(one.service, to), to)).collect();
    by_headroom.sort_by(|a, b| b.cmp(a));
    let total: u128 = by_headroom.iter().map(|(headroom, _)| u128::from(*headroom)).sum();
    let (load, moving) = (load.clone(), one.clone());
    let mut this = Allotted { load, moving, flows: Vec::new(), shares: BTreeMap::new() };
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
            let (fits, stopped_by) = this.moving.largest_fitting(&this.load, to, wanted);
            if refusal.is_none() {
                *refusal = stopped_by;
            }
            if fits == SharePpm::ZERO {
                continue;
            }
            let flows = this.moving.flows(to, fits);
            this.load.add_cold(&flows);
            this.flows.extend(flows);
            this.moving.advance(to, fits);
            left = left.saturating_sub(fits);
            let share = this.shares.entry((*to).clone()).or_default();
            *share = share.saturating_add(fits);
        }
    }
    let taken = want.saturating_sub(left);
    (taken >= want.min(MIN_STEP_SHARE)).then_some(this)
}
