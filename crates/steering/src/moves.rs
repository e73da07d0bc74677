//! Plans traffic moves and drains as sequences of small steps.
//!
//! Moved traffic uses slots in the region that serves it and bandwidth on the links between that
//! region and the callers' home region. While the caches in the new region are cold, it uses twice
//! as much. Each step is sized so that every region and link stays within its limit at the
//! cold-cache cost. The next step starts after the caches have warmed up.

mod load;
mod steps;

use std::collections::BTreeMap;
use std::time::Duration;

use celerygate_types::wire::{
    Change, Configuration, DrainSubject, MoveIntent, PlanStep, Refusal, RegionHeadroom, TargetName,
};
use celerygate_types::{
    Measurements, RegionId, ResultCode, ServiceId, SharePpm, SlotCount, TargetCapacity,
};
use smol_str::{SmolStr, format_smolstr};

use crate::shares;
use load::{Flow, Load, flow_of, stale_measurement};

/// Largest share of a region's client blocks that one step moves.
pub const MAX_STEP_SHARE: SharePpm = SharePpm(100_000);
/// Smallest share that one step moves. Smaller steps could make a plan thousands of steps long.
pub const MIN_STEP_SHARE: SharePpm = SharePpm(5_000);
/// Multiple of its usual cost that moved traffic has while the caches of its new region are cold.
pub const COLD_CACHE_FACTOR: u64 = 2;
/// Minimum time between two steps: twice the time for which callers cache lookup responses.
pub const SETTLING_TIME: Duration = Duration::from_secs(10);
/// Age from which a measurement is stale.
pub const MAX_MEASUREMENT_AGE: Duration = Duration::from_secs(3);

/// Maximum utilisation of regions and links that moved traffic may cause.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Share of a region's capacity.
    pub region: SharePpm,
    /// Share of a link's cap.
    pub link: SharePpm,
}

/// Limits that are checked when a step starts. The remaining capacity absorbs load growth since the
/// measurement. 5% of each link is reserved for control traffic.
pub const STEP_LIMITS: Limits = Limits { region: SharePpm(900_000), link: SharePpm(950_000) };
/// Limits that are used for planning. They are lower than [`STEP_LIMITS`], so that a small change
/// of the load does not hold a step that was planned up to its limit.
pub const PLAN_LIMITS: Limits = Limits { region: SharePpm(850_000), link: SharePpm(900_000) };

/// A plan whose steps all fit within [`PLAN_LIMITS`].
#[derive(Clone, Debug, PartialEq)]
pub struct MovePlan {
    /// Steps in the order in which they run.
    pub steps: Vec<PlanStep>,
    /// Minimum time from the confirm until the last step has settled.
    pub predicted_duration: Duration,
}

/// Result of checking whether the next step may start.
#[derive(Clone, Debug, PartialEq)]
pub enum StepCheck {
    /// The step may start now.
    Proceed,
    /// The previous step has not settled yet; check again at this time.
    WaitUntil {
        /// Time since the Unix epoch.
        unix_ms: u64,
    },
    /// The step must wait, because the measurements do not allow it for this reason.
    Hold(Refusal),
}

/// Plans the move of a share of a service's traffic from one region to another.
///
/// # Errors
///
/// When the intent is invalid, or the traffic does not fit within [`PLAN_LIMITS`].
pub fn plan_move(
    configuration: &Configuration,
    measurements: &Measurements,
    intent: &MoveIntent,
) -> Result<MovePlan, Refusal> {
    let MoveIntent { from, service, share_ppm, to } = intent;
    if !configuration.services.iter().any(|known| known.service == *service) {
        return Err(refusal(
            ResultCode::SubjectUnknown,
            format_smolstr!("unknown service {service}"),
        ));
    }
    for region in [from, to] {
        check_region_exists(configuration, region)?;
    }
    if from == to || *share_ppm == SharePpm::ZERO || *share_ppm > SharePpm::WHOLE {
        let reason = "a move needs two different regions and a share above 0% and up to 100%";
        return Err(refusal(ResultCode::IntentRefused, reason));
    }
    if is_drained(configuration, to) {
        let reason = format_smolstr!("region {to} is drained");
        return Err(refusal(ResultCode::NoHeadroom, reason));
    }
    let goals = [(service.clone(), *share_ppm)];
    let steps =
        steps::plan_steps(configuration, measurements, from, &goals, std::slice::from_ref(to))?;
    if steps.is_empty() {
        let reason = format_smolstr!("region {from} serves no traffic of {service}");
        return Err(refusal(ResultCode::IntentRefused, reason));
    }
    Ok(finish_plan(steps))
}

/// Plans the drain of a region: distributes all its traffic over the other regions by headroom, and
/// marks the region as drained in the last step.
///
/// # Errors
///
/// When the region is unknown or already drained, or the other regions cannot take its traffic.
pub fn plan_region_drain(
    configuration: &Configuration,
    measurements: &Measurements,
    region: &RegionId,
) -> Result<MovePlan, Refusal> {
    check_region_exists(configuration, region)?;
    if is_drained(configuration, region) {
        let reason = format_smolstr!("region {region} is already drained");
        return Err(refusal(ResultCode::IntentRefused, reason));
    }
    let others = configuration.regions.iter();
    let others = others.filter(|other| *other != region && !is_drained(configuration, other));
    let others: Vec<RegionId> = others.cloned().collect();
    let services = configuration.services.iter();
    let goals: Vec<(ServiceId, SharePpm)> =
        services.map(|known| (known.service.clone(), SharePpm::WHOLE)).collect();
    let mut steps = steps::plan_steps(configuration, measurements, region, &goals, &others)?;
    let drain = Change::Drain(DrainSubject::Region(region.clone()));
    match steps.last_mut() {
        Some(last) => last.changes.push(drain),
        None => steps.push(PlanStep {
            changes: vec![drain],
            links: Vec::new(),
            note: format_smolstr!("drains region {region}, which serves no traffic"),
            regions: Vec::new(),
        }),
    }
    Ok(finish_plan(steps))
}

/// Returns the load and capacity of a region without one of its targets.
///
/// # Errors
///
/// When the target is already drained, the region has no fresh measurement, or the other targets
/// cannot carry the load of the service.
pub fn load_without_target(
    configuration: &Configuration,
    measurements: &Measurements,
    name: &TargetName,
    target_capacity: &TargetCapacity,
) -> Result<RegionHeadroom, Refusal> {
    let TargetCapacity { region, slots } = target_capacity;
    if configuration.drains.contains(&DrainSubject::Target(name.clone())) {
        let reason = format_smolstr!("target {} is already drained", name.target);
        return Err(refusal(ResultCode::IntentRefused, reason));
    }
    let region_load =
        measurements.regions.get(region).filter(|load| load.age < MAX_MEASUREMENT_AGE);
    let region_load = region_load.ok_or_else(|| stale_measurement(region))?;
    let service = measurements.service(&name.service, region);
    let remaining = service.capacity_slots.saturating_sub(*slots);
    let mut routes = configuration
        .regions
        .iter()
        .map(|home| shares::route_of(configuration, &name.service, home));
    let is_served = routes.any(|route| shares::region_share(&route, region) > SharePpm::ZERO);
    let limit = STEP_LIMITS.region.of(u64::from(remaining.get()));
    let overloaded = u64::from(service.running_slots.get()) > limit;
    if overloaded || (remaining == SlotCount::ZERO && is_served) {
        let running = service.running_slots;
        let reason = format_smolstr!(
            "{} in {region} uses {running} slots and would have {remaining} left",
            name.service
        );
        return Err(refusal(ResultCode::NoHeadroom, reason));
    }
    Ok(RegionHeadroom {
        capacity_slots: region_load.capacity_slots.saturating_sub(*slots),
        load_slots: region_load.load_slots,
        region: region.clone(),
    })
}

/// Checks whether the next step may start, using measurements taken after the previous step.
///
/// `last_step_unix_ms` is the time of the last step of any move or drain, because all of them share
/// the same links and regions.
pub fn check_step(
    configuration: &Configuration,
    measurements: &Measurements,
    step: &PlanStep,
    last_step_unix_ms: Option<u64>,
    now_unix_ms: u64,
) -> StepCheck {
    let settle_ms = u64::try_from(SETTLING_TIME.as_millis()).unwrap_or(u64::MAX);
    let settled_at = last_step_unix_ms.map(|at| at.saturating_add(settle_ms));
    if let Some(unix_ms) = settled_at.filter(|at| now_unix_ms < *at) {
        return StepCheck::WaitUntil { unix_ms };
    }
    let load = Load::new(configuration, measurements, STEP_LIMITS);
    let fits =
        step_flows(configuration, measurements, &load, step).and_then(|flows| load.check(&flows));
    fits.map_or_else(StepCheck::Hold, |()| StepCheck::Proceed)
}

/// Returns the traffic that the route changes of a step would move at the measured load.
fn step_flows(
    configuration: &Configuration,
    measurements: &Measurements,
    load: &Load,
    step: &PlanStep,
) -> Result<Vec<Flow>, Refusal> {
    let weights = block_weights(configuration);
    let mut flows = Vec::new();
    for change in &step.changes {
        let Change::Route(after) = change else { continue };
        let (service, home) = (&after.service, &after.home_region);
        let before = shares::route_of(configuration, service, home);
        for (from, to, share) in shares::moved_shares(&before, after) {
            if !load.is_measured(&from) {
                return Err(stale_measurement(&from));
            }
            let part = u128::from(share.get()) * weights.get(home).copied().unwrap_or(1);
            let whole = served_weight(configuration, &weights, service, &from);
            flows.push(flow_of(measurements, service, home, (&from, &to), (part, whole)));
        }
    }
    Ok(flows)
}

/// Number of client blocks of each home region.
type BlockWeights<'a> = BTreeMap<&'a RegionId, u128>;

/// Counts the client blocks of each home region. Each region has a weight of at least 1, because
/// callers outside the client block table are assigned to a home region by hash.
fn block_weights(configuration: &Configuration) -> BlockWeights<'_> {
    let mut weights: BlockWeights<'_> =
        configuration.regions.iter().map(|region| (region, 0)).collect();
    for block in &configuration.client_blocks {
        if let Some(weight) = weights.get_mut(&block.region) {
            *weight += 1;
        }
    }
    weights.values_mut().for_each(|weight| *weight = (*weight).max(1));
    weights
}

/// Returns the number of client blocks of a service that a region serves, times the size of the
/// hash space.
fn served_weight(
    configuration: &Configuration,
    weights: &BlockWeights<'_>,
    service: &ServiceId,
    region: &RegionId,
) -> u128 {
    let served = weights.iter().map(|(home, weight)| {
        let route = shares::route_of(configuration, service, home);
        u128::from(shares::region_share(&route, region).get()) * weight
    });
    served.sum()
}

fn finish_plan(mut steps: Vec<PlanStep>) -> MovePlan {
    let count = steps.len();
    let settle_s = SETTLING_TIME.as_secs() as usize;
    for (index, step) in steps.iter_mut().enumerate() {
        step.note = format_smolstr!(
            "step {} of {count}, settled {} s after the confirm at the earliest: {}",
            index + 1,
            (index + 1) * settle_s,
            step.note
        );
    }
    let predicted_duration = SETTLING_TIME * u32::try_from(count).unwrap_or(u32::MAX);
    MovePlan { steps, predicted_duration }
}

fn check_region_exists(configuration: &Configuration, region: &RegionId) -> Result<(), Refusal> {
    if configuration.regions.contains(region) {
        return Ok(());
    }
    Err(refusal(ResultCode::SubjectUnknown, format_smolstr!("unknown region {region}")))
}

fn is_drained(configuration: &Configuration, region: &RegionId) -> bool {
    configuration.drains.contains(&DrainSubject::Region(region.clone()))
}

fn refusal(code: ResultCode, reason: impl Into<SmolStr>) -> Refusal {
    Refusal { code: code.number(), reason: reason.into() }
}

#[cfg(test)]
#[path = "moves_tests.rs"]
mod tests;
