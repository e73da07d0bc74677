//! Tracks the load of regions and links, and the load that moved traffic adds.

use std::collections::BTreeMap;

use celerygate_types::wire::{Configuration, LinkUse, Refusal, RegionHeadroom};
use celerygate_types::{ByteRate, Measurements, RegionId, ResultCode, ServiceId, SlotCount};
use smol_str::{SmolStr, format_smolstr};

use super::{COLD_CACHE_FACTOR, Limits, MAX_MEASUREMENT_AGE, refusal};

/// Slots are counted in thousandths, because a step often moves less than one slot.
const MILLI_PER_SLOT: u64 = 1_000;

/// Traffic of one service and home region that moves from one region to another.
#[derive(Clone, Debug)]
pub(super) struct Flow {
    pub service: ServiceId,
    pub home: RegionId,
    pub from: RegionId,
    pub to: RegionId,
    pub milli_slots: u64,
    pub bytes_per_s: u64,
}

/// Used and total capacity of a region, service or link.
#[derive(Clone, Copy, Debug)]
struct Usage {
    used: u64,
    capacity: u64,
}

type LinkKey = (RegionId, RegionId);

/// Load of the regions and links that have fresh measurements.
#[derive(Clone, Debug)]
pub(super) struct Load {
    regions: BTreeMap<RegionId, Usage>,
    services: BTreeMap<(ServiceId, RegionId), Usage>,
    links: BTreeMap<LinkKey, Usage>,
    /// Caps of all configured links, including those without a measurement.
    caps: BTreeMap<LinkKey, u64>,
    limits: Limits,
}

impl Load {
    /// Builds the load from the measurements younger than [`MAX_MEASUREMENT_AGE`].
    pub fn new(configuration: &Configuration, measurements: &Measurements, limits: Limits) -> Self {
        let caps: BTreeMap<LinkKey, u64> = configuration
            .links
            .iter()
            .map(|link| ((link.from.clone(), link.to.clone()), link.cap_bytes_per_s.get()))
            .collect();
        let slots = |used: SlotCount, capacity: SlotCount| Usage {
            used: u64::from(used.get()) * MILLI_PER_SLOT,
            capacity: u64::from(capacity.get()) * MILLI_PER_SLOT,
        };
        let fresh_regions =
            measurements.regions.iter().filter(|(_, load)| load.age < MAX_MEASUREMENT_AGE);
        let regions = fresh_regions
            .map(|(region, load)| (region.clone(), slots(load.load_slots, load.capacity_slots)));
        let services = measurements
            .services
            .iter()
            .map(|(key, load)| (key.clone(), slots(load.running_slots, load.capacity_slots)));
        let links =
            measurements.links.iter().filter(|(_, measure)| measure.age < MAX_MEASUREMENT_AGE);
        let links = links.filter_map(|(key, measure)| {
            let capacity = *caps.get(key)?;
            Some((key.clone(), Usage { used: measure.use_bytes_per_s.get(), capacity }))
        });
        Self {
            regions: regions.collect(),
            services: services.collect(),
            links: links.collect(),
            caps,
            limits,
        }
    }

    /// Returns whether a region has fresh measurements.
    pub fn is_measured(&self, region: &RegionId) -> bool {
        self.regions.contains_key(region)
    }

    /// Returns the number of slots that a service may still use in a region, in thousandths.
    pub fn headroom(&self, service: &ServiceId, region: &RegionId) -> u64 {
        let left = |usage: Option<&Usage>| {
            usage
                .map_or(0, |usage| self.limits.region.of(usage.capacity).saturating_sub(usage.used))
        };
        let in_service = left(self.services.get(&(service.clone(), region.clone())));
        in_service.min(left(self.regions.get(region)))
    }

    /// Checks that the flows fit within the limits at the cold-cache cost.
    pub fn check(&self, flows: &[Flow]) -> Result<(), Refusal> {
        let mut regions: BTreeMap<&RegionId, u64> = BTreeMap::new();
        let mut services: BTreeMap<(&ServiceId, &RegionId), u64> = BTreeMap::new();
        let mut links: BTreeMap<(&RegionId, &RegionId), u64> = BTreeMap::new();
        for flow in flows {
            let cold_slots = flow.milli_slots * COLD_CACHE_FACTOR;
            *regions.entry(&flow.to).or_default() += cold_slots;
            *services.entry((&flow.service, &flow.to)).or_default() += cold_slots;
            for pair in crossed_links(&flow.home, &flow.to) {
                *links.entry(pair).or_default() += flow.bytes_per_s * COLD_CACHE_FACTOR;
            }
        }
        for (region, added) in regions {
            let usage = self.regions.get(region).ok_or_else(|| stale_measurement(region))?;
            self.check_slots(usage, added, || format_smolstr!("region {region}"))?;
        }
        for ((service, region), added) in services {
            // Without targets in any region, the service has no traffic to fit.
            if !self
                .services
                .iter()
                .any(|((known, _), usage)| known == service && usage.capacity > 0)
            {
                continue;
            }
            let none = Usage { used: 0, capacity: 0 };
            let usage = self.services.get(&(service.clone(), region.clone())).unwrap_or(&none);
            self.check_slots(usage, added, || format_smolstr!("{service} in {region}"))?;
        }
        links.into_iter().try_for_each(|((from, to), added)| self.check_link(from, to, added))
    }

    fn check_link(&self, from: &RegionId, to: &RegionId, added: u64) -> Result<(), Refusal> {
        let key = (from.clone(), to.clone());
        let Some(usage) = self.links.get(&key) else {
            return Err(match self.caps.get(&key) {
                None => {
                    let reason = format_smolstr!("no link {from} to {to} is configured");
                    refusal(ResultCode::LinkCap, reason)
                }
                Some(_) => {
                    let reason = format_smolstr!("link {from} to {to} has no fresh measurement");
                    refusal(ResultCode::MeasurementsStale, reason)
                }
            });
        };
        let load_after = usage.used.saturating_add(added);
        if load_after > self.limits.link.of(usage.capacity) {
            let (load_after, cap) = (ByteRate(load_after), ByteRate(usage.capacity));
            let reason = format_smolstr!("link {from} to {to} would carry {load_after} of {cap}");
            return Err(refusal(ResultCode::LinkCap, reason));
        }
        Ok(())
    }

    fn check_slots(
        &self,
        usage: &Usage,
        added: u64,
        name: impl Fn() -> SmolStr,
    ) -> Result<(), Refusal> {
        let after = usage.used.saturating_add(added);
        let limit = self.limits.region.of(usage.capacity);
        // A region without capacity cannot take a service, even one without load.
        if usage.capacity > 0 && after <= limit {
            return Ok(());
        }
        let (after, limit) = (after.div_ceil(MILLI_PER_SLOT), limit / MILLI_PER_SLOT);
        let capacity = usage.capacity / MILLI_PER_SLOT;
        let reason = format_smolstr!(
            "{} would use {after} of {capacity} slots, above the limit of {limit}",
            name()
        );
        Err(refusal(ResultCode::NoHeadroom, reason))
    }

    /// Adds flows that have just moved, at the cold-cache cost.
    pub fn add_cold(&mut self, flows: &[Flow]) {
        for flow in flows {
            self.add(flow, COLD_CACHE_FACTOR);
        }
    }

    /// Adds flows at their usual cost, and subtracts them from the region that served them before.
    pub fn add_settled(&mut self, flows: &[Flow]) {
        for flow in flows {
            self.add(flow, 1);
            let subtract = |usage: Option<&mut Usage>, amount: u64| {
                if let Some(usage) = usage {
                    usage.used = usage.used.saturating_sub(amount);
                }
            };
            subtract(self.regions.get_mut(&flow.from), flow.milli_slots);
            let key = (flow.service.clone(), flow.from.clone());
            subtract(self.services.get_mut(&key), flow.milli_slots);
            for (from, to) in crossed_links(&flow.home, &flow.from) {
                subtract(self.links.get_mut(&(from.clone(), to.clone())), flow.bytes_per_s);
            }
        }
    }

    fn add(&mut self, flow: &Flow, factor: u64) {
        let increase = |usage: Option<&mut Usage>, amount: u64| {
            if let Some(usage) = usage {
                usage.used = usage.used.saturating_add(amount);
            }
        };
        increase(self.regions.get_mut(&flow.to), flow.milli_slots * factor);
        let key = (flow.service.clone(), flow.to.clone());
        increase(self.services.get_mut(&key), flow.milli_slots * factor);
        for (from, to) in crossed_links(&flow.home, &flow.to) {
            increase(self.links.get_mut(&(from.clone(), to.clone())), flow.bytes_per_s * factor);
        }
    }

    /// Returns the load of the links that the flows cross.
    pub fn link_uses(&self, flows: &[Flow]) -> Vec<LinkUse> {
        let crossed_links = flows.iter().flat_map(|flow| crossed_links(&flow.home, &flow.to));
        let keys: std::collections::BTreeSet<_> = crossed_links.collect();
        let usages = keys.into_iter().filter_map(|(from, to)| {
            Some(((from, to), self.links.get(&(from.clone(), to.clone()))?))
        });
        let uses = usages.map(|((from, to), usage)| LinkUse {
            cap_bytes_per_s: ByteRate(usage.capacity),
            from: from.clone(),
            to: to.clone(),
            use_bytes_per_s: ByteRate(usage.used),
        });
        uses.collect()
    }

    /// Returns the load of a region rounded up, and its capacity rounded down.
    pub fn region_headroom(&self, region: &RegionId) -> Option<RegionHeadroom> {
        let usage = self.regions.get(region)?;
        let slots = |milli: u64| SlotCount(u32::try_from(milli).unwrap_or(u32::MAX));
        Some(RegionHeadroom {
            capacity_slots: slots(usage.capacity / MILLI_PER_SLOT),
            load_slots: slots(usage.used.div_ceil(MILLI_PER_SLOT)),
            region: region.clone(),
        })
    }
}

/// Returns the flow for the fraction `part / whole` of a service's load in a region, rounded up.
pub(super) fn flow_of(
    measurements: &Measurements,
    service: &ServiceId,
    home: &RegionId,
    endpoints: (&RegionId, &RegionId),
    (part, whole): (u128, u128),
) -> Flow {
    let load = measurements.service(service, endpoints.0);
    let scaled = |amount: u64| {
        let scaled = (u128::from(amount) * part).div_ceil(whole.max(1));
        u64::try_from(scaled).unwrap_or(u64::MAX)
    };
    Flow {
        service: service.clone(),
        home: home.clone(),
        from: endpoints.0.clone(),
        to: endpoints.1.clone(),
        milli_slots: scaled(u64::from(load.running_slots.get()) * MILLI_PER_SLOT),
        bytes_per_s: scaled(load.sent_bytes_per_s.get()),
    }
}

/// Returns the links between a home region and the region that serves its callers. Only traffic to
/// callers is measured; the opposite direction is assumed to have the same rate.
fn crossed_links<'a>(
    home: &'a RegionId,
    serving: &'a RegionId,
) -> Vec<(&'a RegionId, &'a RegionId)> {
    if home == serving { Vec::new() } else { vec![(serving, home), (home, serving)] }
}

pub(super) fn stale_measurement(region: &RegionId) -> Refusal {
    let reason = format_smolstr!("region {region} has no fresh measurement");
    refusal(ResultCode::MeasurementsStale, reason)
}
