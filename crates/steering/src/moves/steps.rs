//! Divides a move into steps and determines their sizes.

use std::collections::{BTreeMap, BTreeSet};

use celerygate_types::wire::{Change, Configuration, PlanStep, Refusal, Route};
use celerygate_types::{Measurements, RegionId, ResultCode, ServiceId, SharePpm};
use smol_str::format_smolstr;

use super::load::{Flow, Load, flow_of, stale_measurement};
use super::{BlockWeights, MAX_STEP_SHARE, MIN_STEP_SHARE, PLAN_LIMITS, block_weights, refusal};
use crate::shares;

/// The route of one home region while traffic is being moved.
#[derive(Clone)]
struct HomeRoute {
    route: Route,
    blocks: u128,
}

/// Progress of moving one service's traffic away from a source region.
///
/// Shares are relative to what the source served initially. Weights are shares of the hash space
/// times client blocks.
#[derive(Clone)]
struct ServiceMove<'a> {
    service: &'a ServiceId,
    source: &'a RegionId,
    /// Share to move in total.
    goal: SharePpm,
    moved_share: SharePpm,
    homes: Vec<HomeRoute>,
    /// Weight that the source served initially.
    initial_weight: u128,
    /// Weight that has been moved to other regions.
    moved_weight: u128,
    measurements: &'a Measurements,
}

impl<'a> ServiceMove<'a> {
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
            moved_share: SharePpm::ZERO,
            homes: homes.collect(),
            initial_weight: 0,
            moved_weight: 0,
            measurements,
        };
        this.homes.retain(|home| shares::region_share(&home.route, source) > SharePpm::ZERO);
        this.initial_weight = this.homes.iter().map(|home| this.remaining_weight(home)).sum();
        this
    }

    /// Returns the share that still has to move.
    fn remaining(&self) -> SharePpm {
        if self.homes.is_empty() {
            SharePpm::ZERO
        } else {
            self.goal.saturating_sub(self.moved_share)
        }
    }

    fn remaining_share(&self, home: &HomeRoute) -> u128 {
        u128::from(shares::region_share(&home.route, self.source).get())
    }

    fn remaining_weight(&self, home: &HomeRoute) -> u128 {
        self.remaining_share(home) * home.blocks
    }

    /// Returns how much of each home region's hash space moves with the next share.
    ///
    /// Blocks whose home region is the destination move first: they cross no link there, and a move
    /// back after a drain restores the earlier assignment. The others move in proportion to what
    /// the source still serves. Rounding errors do not accumulate over steps, because each step is
    /// computed from the cumulative total.
    fn amounts(&self, to: &RegionId, share: SharePpm) -> Vec<u128> {
        let moved_share = u128::from(self.moved_share.saturating_add(share).get());
        let sum = self.initial_weight * moved_share / u128::from(SharePpm::WHOLE.get());
        let mut needed = sum.saturating_sub(self.moved_weight);
        let mut amounts = vec![0; self.homes.len()];
        let is_home = |home: &HomeRoute| home.route.home_region == *to;
        for (amount, home) in amounts.iter_mut().zip(&self.homes).filter(|(_, home)| is_home(home))
        {
            *amount = self.remaining_share(home).min(needed / home.blocks);
            needed -= *amount * home.blocks;
        }
        let others = self.homes.iter().filter(|home| !is_home(home));
        let rest: u128 = others.map(|home| self.remaining_weight(home)).sum();
        let proportional_total = needed;
        for (amount, home) in amounts.iter_mut().zip(&self.homes).filter(|(_, home)| !is_home(home))
        {
            *amount = proportional_total * self.remaining_share(home) / rest.max(1);
            needed -= *amount * home.blocks;
        }
        for (amount, home) in amounts.iter_mut().zip(&self.homes) {
            let rounding_rest = (self.remaining_share(home) - *amount).min(needed / home.blocks);
            *amount += rounding_rest;
            needed -= rounding_rest * home.blocks;
        }
        amounts
    }

    fn flows(&self, to: &RegionId, share: SharePpm) -> Vec<Flow> {
        let amounts = self.amounts(to, share);
        let moved = self.homes.iter().zip(amounts).filter(|(_, amount)| *amount > 0);
        let flows = moved.map(|(home, amount)| {
            let part = (amount * home.blocks, self.initial_weight);
            let endpoints = (self.source, to);
            flow_of(self.measurements, self.service, &home.route.home_region, endpoints, part)
        });
        flows.collect()
    }

    /// Returns the largest share up to `requested` that fits, and the reason if this is less than
    /// `requested`.
    fn largest_fitting(
        &self,
        load: &Load,
        to: &RegionId,
        requested: SharePpm,
    ) -> (SharePpm, Option<Refusal>) {
        let Err(refusal) = load.check(&self.flows(to, requested)) else { return (requested, None) };
        let (mut fits, mut exceeds) = (0, requested.get());
        while exceeds - fits > 1 {
            let middle = fits + (exceeds - fits) / 2;
            match load.check(&self.flows(to, SharePpm(middle))) {
                Ok(()) => fits = middle,
                Err(_) => exceeds = middle,
            }
        }
        (SharePpm(fits), Some(refusal))
    }

    /// Updates the routes for a share that moves to a destination.
    fn apply_share(&mut self, to: &RegionId, share: SharePpm) {
        let amounts = self.amounts(to, share);
        self.moved_share = self.moved_share.saturating_add(share);
        for (home, amount) in self.homes.iter_mut().zip(amounts) {
            self.moved_weight += amount * home.blocks;
            let amount = SharePpm(u32::try_from(amount).unwrap_or(u32::MAX));
            home.route = shares::move_share(&home.route, self.source, to, amount);
        }
    }
}

/// Plans the steps that move a share of each service from a region to other regions. Returns no
/// step if the region serves no traffic of these services.
pub(super) fn plan_steps(
    configuration: &Configuration,
    measurements: &Measurements,
    from: &RegionId,
    goals: &[(ServiceId, SharePpm)],
    destinations: &[RegionId],
) -> Result<Vec<PlanStep>, Refusal> {
    let mut load = Load::new(configuration, measurements, PLAN_LIMITS);
    let weights = block_weights(configuration);
    let service_moves = goals
        .iter()
        .map(|goal| ServiceMove::new(configuration, &weights, measurements, from, goal));
    let mut service_moves: Vec<ServiceMove<'_>> =
        service_moves.filter(|service_move| service_move.remaining() > SharePpm::ZERO).collect();
    if service_moves.is_empty() {
        return Ok(Vec::new());
    }
    if !load.is_measured(from) {
        return Err(stale_measurement(from));
    }
    let measured = destinations.iter().filter(|region| load.is_measured(region));
    let destinations: Vec<RegionId> = measured.cloned().collect();
    if destinations.is_empty() {
        let reason = "no destination region has a fresh measurement";
        return Err(refusal(ResultCode::MeasurementsStale, reason));
    }
    let mut steps = Vec::new();
    while service_moves.iter().any(|service_move| service_move.remaining() > SharePpm::ZERO) {
        steps.push(plan_step(&mut load, &mut service_moves, &destinations)?);
    }
    Ok(steps)
}

/// Plans one step for all services, and updates `load` to the state after the step has settled.
fn plan_step(
    load: &mut Load,
    service_moves: &mut [ServiceMove<'_>],
    destinations: &[RegionId],
) -> Result<PlanStep, Refusal> {
    let mut cold = load.clone();
    let mut flows: Vec<Flow> = Vec::new();
    let mut changes = Vec::new();
    let mut notes = Vec::new();
    let mut refused = None;
    for current in service_moves.iter_mut() {
        let before: Vec<Route> = current.homes.iter().map(|home| home.route.clone()).collect();
        let Some(part) = allocate(&cold, current, destinations, &mut refused) else { continue };
        (cold, *current) = (part.load, part.service_move);
        flows.extend(part.flows);
        for (to, share) in part.shares {
            let percent = f64::from(share.get()) / 10_000.0;
            notes.push(format!(
                "{percent:.1}% of {} from {} to {to}",
                current.service, current.source
            ));
        }
        let routes = current.homes.iter().map(|home| &home.route).zip(&before);
        changes.extend(
            routes
                .filter(|(after, before)| after != before)
                .map(|(after, _)| Change::Route(after.clone())),
        );
    }
    if notes.is_empty() {
        let default_refusal = || refusal(ResultCode::NoHeadroom, "no region can take the traffic");
        return Err(refused.unwrap_or_else(default_refusal));
    }
    load.add_settled(&flows);
    let affected: BTreeSet<&RegionId> = flows.iter().map(|flow| &flow.to).collect();
    Ok(PlanStep {
        changes,
        links: cold.link_uses(&flows),
        note: format_smolstr!("moves {}", notes.join(", ")),
        regions: affected.into_iter().filter_map(|to| cold.region_headroom(to)).collect(),
    })
}

/// Distribution of a share of a service between destinations.
struct Allocation<'a> {
    load: Load,
    service_move: ServiceMove<'a>,
    flows: Vec<Flow>,
    shares: BTreeMap<RegionId, SharePpm>,
}

/// Distributes the next share of a service between destinations in proportion to their headroom,
/// and the rest to whichever destination has room. Returns `None` if less than [`MIN_STEP_SHARE`]
/// of the service, or of its remaining share, fits.
fn allocate<'a>(
    load: &Load,
    service_move: &ServiceMove<'a>,
    destinations: &[RegionId],
    refusal: &mut Option<Refusal>,
) -> Option<Allocation<'a>> {
    let requested = service_move.remaining().min(MAX_STEP_SHARE);
    let mut by_headroom: Vec<(u64, &RegionId)> =
        destinations.iter().map(|to| (load.headroom(service_move.service, to), to)).collect();
    by_headroom.sort_by(|a, b| b.cmp(a));
    let total: u128 = by_headroom.iter().map(|(headroom, _)| u128::from(*headroom)).sum();
    let (load, service_move) = (load.clone(), service_move.clone());
    let mut this = Allocation { load, service_move, flows: Vec::new(), shares: BTreeMap::new() };
    let mut left = requested;
    // The first pass distributes by headroom; the second assigns the rest wherever it fits.
    for proportional in [true, false] {
        for (headroom, to) in &by_headroom {
            let part = u128::from(requested.get()) * u128::from(*headroom) / total.max(1);
            let part = SharePpm(u32::try_from(part).unwrap_or(u32::MAX));
            let part_requested = if proportional { part.min(left) } else { left };
            if part_requested == SharePpm::ZERO {
                continue;
            }
            let (fits, limited_by) =
                this.service_move.largest_fitting(&this.load, to, part_requested);
            if refusal.is_none() {
                *refusal = limited_by;
            }
            if fits == SharePpm::ZERO {
                continue;
            }
            let flows = this.service_move.flows(to, fits);
            this.load.add_cold(&flows);
            this.flows.extend(flows);
            this.service_move.apply_share(to, fits);
            left = left.saturating_sub(fits);
            let share = this.shares.entry((*to).clone()).or_default();
            *share = share.saturating_add(fits);
        }
    }
    let allocated = requested.saturating_sub(left);
    (allocated >= requested.min(MIN_STEP_SHARE)).then_some(this)
}
