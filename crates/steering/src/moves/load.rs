//! Load of regions and links, and what moved traffic adds to it.

use std::collections::BTreeMap;

use celerygate_types::wire::{Configuration, LinkUse, Refusal, RegionHeadroom};
use celerygate_types::{ByteRate, Measurements, RegionId, ResultCode, ServiceId, SlotCount};
use smol_str::{SmolStr, format_smolstr};

use super::{COLD_CACHE_FACTOR, Limits, MAX_MEASUREMENT_AGE, refuse};

/// Slots are counted in thousandths: a step often moves less than one slot.
const MILLI: u64 = 1_000;

/// Traffic of one service and home region that goes from one region to another.
#[derive(Clone, Debug)]
pub(super) struct Flow {
    pub service: ServiceId,
    pub home: RegionId,
    pub from: RegionId,
    pub to: RegionId,
    pub milli_slots: u64,
    pub bytes_per_s: u64,
}

/// A use and its upper bound.
#[derive(Clone, Copy, Debug)]
struct Gauge {
    used: u64,
    capacity: u64,
}

type LinkKey = (RegionId, RegionId);

/// Load of the regions and links with fresh measurements.
#[derive(Clone, Debug)]
pub(super) struct Load {
    regions: BTreeMap<RegionId, Gauge>,
    services: BTreeMap<(ServiceId, RegionId), Gauge>,
    links: BTreeMap<LinkKey, Gauge>,
    /// Caps of all configured links, measured or not.
    caps: BTreeMap<LinkKey, u64>,
    limits: Limits,
}

impl Load {
    /// Takes the measurements that are less than 3 s old.
    pub fn new(configuration: &Configuration, measurements: &Measurements, limits: Limits) -> Self {
        let caps: BTreeMap<LinkKey, u64> = configuration
            .links
            .iter()
            .map(|link| ((link.from.clone(), link.to.clone()), link.cap_bytes_per_s.get()))
            .collect();
        let slots = |used: SlotCount, capacity: SlotCount| Gauge {
            used: u64::from(used.get()) * MILLI,
            capacity: u64::from(capacity.get()) * MILLI,
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
            Some((key.clone(), Gauge { used: measure.use_bytes_per_s.get(), capacity }))
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

    /// Returns the slots that a service may still use in a region, in thousandths.
    pub fn headroom(&self, service: &ServiceId, region: &RegionId) -> u64 {
        let left = |gauge: Option<&Gauge>| {
            gauge.map_or(0, |g| self.limits.region.of(g.capacity).saturating_sub(g.used))
        };
        let in_service = left(self.services.get(&(service.clone(), region.clone())));
        in_service.min(left(self.regions.get(region)))
    }

    /// Checks that the flows fit at the cost of cold caches.
    pub fn fits(&self, flows: &[Flow]) -> Result<(), Refusal> {
        let mut regions: BTreeMap<&RegionId, u64> = BTreeMap::new();
        let mut services: BTreeMap<(&ServiceId, &RegionId), u64> = BTreeMap::new();
        let mut links: BTreeMap<(&RegionId, &RegionId), u64> = BTreeMap::new();
        for flow in flows {
            let cold_slots = flow.milli_slots * COLD_CACHE_FACTOR;
            *regions.entry(&flow.to).or_default() += cold_slots;
            *services.entry((&flow.service, &flow.to)).or_default() += cold_slots;
            for pair in crossed(&flow.home, &flow.to) {
                *links.entry(pair).or_default() += flow.bytes_per_s * COLD_CACHE_FACTOR;
            }
        }
        for (region, added) in regions {
            let gauge = self.regions.get(region).ok_or_else(|| stale_region(region))?;
            self.check_slots(gauge, added, || format_smolstr!("region {region}"))?;
        }
        for ((service, region), added) in services {
            // A service that has no targets anywhere is served nowhere, whatever is moved.
            if !self.services.iter().any(|((known, _), g)| known == service && g.capacity > 0) {
                continue;
            }
            let none = Gauge { used: 0, capacity: 0 };
            let gauge = self.services.get(&(service.clone(), region.clone())).unwrap_or(&none);
            self.check_slots(gauge, added, || format_smolstr!("{service} in {region}"))?;
        }
        links.into_iter().try_for_each(|((from, to), added)| self.check_link(from, to, added))
    }

    fn check_link(&self, from: &RegionId, to: &RegionId, added: u64) -> Result<(), Refusal> {
        let key = (from.clone(), to.clone());
        let Some(gauge) = self.links.get(&key) else {
            return Err(match self.caps.get(&key) {
                None => {
                    let reason = format_smolstr!("no link {from} to {to} is configured");
                    refuse(ResultCode::LinkCap, reason)
                }
                Some(_) => {
                    let reason = format_smolstr!("link {from} to {to} has no fresh measurement");
                    refuse(ResultCode::MeasurementsStale, reason)
                }
            });
        };
        let use_after = gauge.used.saturating_add(added);
        if use_after > self.limits.link.of(gauge.capacity) {
            let (use_after, cap) = (ByteRate(use_after), ByteRate(gauge.capacity));
            let reason = format_smolstr!("link {from} to {to} would carry {use_after} of {cap}");
            return Err(refuse(ResultCode::LinkCap, reason));
        }
        Ok(())
    }

    fn check_slots(
        &self,
        gauge: &Gauge,
        added: u64,
        name: impl Fn() -> SmolStr,
    ) -> Result<(), Refusal> {
        let after = gauge.used.saturating_add(added);
        let limit = self.limits.region.of(gauge.capacity);
        // Without any capacity, even a service without load cannot be moved there.
        if gauge.capacity > 0 && after <= limit {
            return Ok(());
        }
        let (after, limit) = (after.div_ceil(MILLI), limit / MILLI);
        let capacity = gauge.capacity / MILLI;
        let reason = format_smolstr!(
            "{} would use {after} of {capacity} slots, above the limit of {limit}",
            name()
        );
        Err(refuse(ResultCode::NoHeadroom, reason))
    }

    /// Adds flows that have just been moved, at the cost of cold caches.
    pub fn add_cold(&mut self, flows: &[Flow]) {
        for flow in flows {
            self.add(flow, COLD_CACHE_FACTOR);
        }
    }

    /// Adds flows whose caches are warm and takes them off the region that served them.
    pub fn add_settled(&mut self, flows: &[Flow]) {
        for flow in flows {
            self.add(flow, 1);
            let taken = |gauge: Option<&mut Gauge>, amount: u64| {
                if let Some(gauge) = gauge {
                    gauge.used = gauge.used.saturating_sub(amount);
                }
            };
            taken(self.regions.get_mut(&flow.from), flow.milli_slots);
            let key = (flow.service.clone(), flow.from.clone());
            taken(self.services.get_mut(&key), flow.milli_slots);
            for (from, to) in crossed(&flow.home, &flow.from) {
                taken(self.links.get_mut(&(from.clone(), to.clone())), flow.bytes_per_s);
            }
        }
    }

    fn add(&mut self, flow: &Flow, factor: u64) {
        let added = |gauge: Option<&mut Gauge>, amount: u64| {
            if let Some(gauge) = gauge {
                gauge.used = gauge.used.saturating_add(amount);
            }
        };
        added(self.regions.get_mut(&flow.to), flow.milli_slots * factor);
        let key = (flow.service.clone(), flow.to.clone());
        added(self.services.get_mut(&key), flow.milli_slots * factor);
        for (from, to) in crossed(&flow.home, &flow.to) {
            added(self.links.get_mut(&(from.clone(), to.clone())), flow.bytes_per_s * factor);
        }
    }

    /// Returns the use of the links that the flows cross.
    pub fn link_uses(&self, flows: &[Flow]) -> Vec<LinkUse> {
        let crossed = flows.iter().flat_map(|flow| crossed(&flow.home, &flow.to));
        let keys: std::collections::BTreeSet<_> = crossed.collect();
        let gauges = keys.into_iter().filter_map(|(from, to)| {
            Some(((from, to), self.links.get(&(from.clone(), to.clone()))?))
        });
        let uses = gauges.map(|((from, to), gauge)| LinkUse {
            cap_bytes_per_s: ByteRate(gauge.capacity),
            from: from.clone(),
            to: to.clone(),
            use_bytes_per_s: ByteRate(gauge.used),
        });
        uses.collect()
    }

    /// Returns the load and capacity of a region, rounded to the unfavourable side.
    pub fn region_headroom(&self, region: &RegionId) -> Option<RegionHeadroom> {
        let gauge = self.regions.get(region)?;
        let slots = |milli: u64| SlotCount(u32::try_from(milli).unwrap_or(u32::MAX));
        Some(RegionHeadroom {
            capacity_slots: slots(gauge.capacity / MILLI),
            load_slots: slots(gauge.used.div_ceil(MILLI)),
            region: region.clone(),
        })
    }
}

/// Returns the flow of a part of what a service runs in a region, rounded up.
pub(super) fn flow_of(
    measurements: &Measurements,
    service: &ServiceId,
    home: &RegionId,
    ends: (&RegionId, &RegionId),
    (part, whole): (u128, u128),
) -> Flow {
    let load = measurements.service(service, ends.0);
    let scaled = |amount: u64| {
        let scaled = (u128::from(amount) * part).div_ceil(whole.max(1));
        u64::try_from(scaled).unwrap_or(u64::MAX)
    };
    Flow {
        service: service.clone(),
        home: home.clone(),
        from: ends.0.clone(),
        to: ends.1.clone(),
        milli_slots: scaled(u64::from(load.running_slots.get()) * MILLI),
        bytes_per_s: scaled(load.sent_bytes_per_s.get()),
    }
}

/// Returns the links between callers of a home region and the region that serves them. Only what
/// is sent to callers is measured; the other direction is counted with the same rate.
fn crossed<'a>(home: &'a RegionId, serving: &'a RegionId) -> Vec<(&'a RegionId, &'a RegionId)> {
    if home == serving { Vec::new() } else { vec![(serving, home), (home, serving)] }
}

pub(super) fn stale_region(region: &RegionId) -> Refusal {
    let reason = format_smolstr!("region {region} has no fresh measurement");
    refuse(ResultCode::MeasurementsStale, reason)
}
