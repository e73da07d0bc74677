//! Stable assignment of client address blocks to regions.
//!
//! Each client block has a fixed position in a hash space of 1,000,000 points. For each service and
//! home region, a route divides that space into segments and names the region that serves each. A
//! move of x% from A to B reassigns x% of the blocks of the service that A serves now, of any home
//! region. Blocks whose home region is B move first, the others in proportion from each home
//! region; no other block changes.

use celerygate_types::wire::{Configuration, Route, Segment};
use celerygate_types::{RegionId, ServiceId, SharePpm};

/// Returns the position of a client block in the hash space. `network` is its text form, for
/// example `10.0.0.0/24`.
pub fn block_position(network: &str) -> SharePpm {
    let mut first = [0; 8];
    first.copy_from_slice(&blake3::hash(network.as_bytes()).as_bytes()[..8]);
    let position = u64::from_le_bytes(first) % u64::from(SharePpm::WHOLE.0);
    SharePpm(u32::try_from(position).unwrap_or_default())
}

/// Returns the route of a service and home region. If none is configured, the home region serves
/// everything.
pub fn route_of(configuration: &Configuration, service: &ServiceId, home: &RegionId) -> Route {
    let matching = configuration.routes.iter();
    let mut matching =
        matching.filter(|route| route.service == *service && route.home_region == *home);
    matching.next().cloned().unwrap_or_else(|| home_route(service, home))
}

/// Returns the route in which the home region serves everything.
pub fn home_route(service: &ServiceId, home: &RegionId) -> Route {
    let segments = vec![Segment { region: home.clone(), start_ppm: SharePpm::ZERO }];
    Route { home_region: home.clone(), segments, service: service.clone() }
}

/// Returns the region that serves a position; none for a route without segments.
pub fn region_at(route: &Route, position: SharePpm) -> Option<&RegionId> {
    let after = route.segments.partition_point(|segment| segment.start_ppm <= position);
    let segment = after.checked_sub(1).and_then(|index| route.segments.get(index))?;
    Some(&segment.region)
}

/// Returns the share of the hash space that a region serves.
pub fn region_share(route: &Route, region: &RegionId) -> SharePpm {
    let ranges = ranges(route).into_iter();
    ranges
        .filter(|range| range.region == region)
        .map(|range| SharePpm(range.end - range.start))
        .sum()
}

/// Reassigns an amount of the hash space from one region to another.
///
/// Takes the highest positions of `from` first, so that a move in steps gives the same assignment
/// as one move of their sum. Moves everything if `from` serves less than the amount.
pub fn move_share(route: &Route, from: &RegionId, to: &RegionId, amount: SharePpm) -> Route {
    let mut remaining = amount.0;
    let mut segments = Vec::new();
    for range in ranges(route).into_iter().rev() {
        let taken = if range.region == from { remaining.min(range.end - range.start) } else { 0 };
        remaining -= taken;
        let split = range.end - taken;
        if taken > 0 {
            segments.push(Segment { region: to.clone(), start_ppm: SharePpm(split) });
        }
        if split > range.start {
            let start_ppm = SharePpm(range.start);
            segments.push(Segment { region: range.region.clone(), start_ppm });
        }
    }
    segments.reverse();
    merge_adjacent(&mut segments);
    Route { home_region: route.home_region.clone(), segments, service: route.service.clone() }
}

/// Returns how much of the hash space moves from each region to each other one between two routes.
pub fn moved_shares(before: &Route, after: &Route) -> Vec<(RegionId, RegionId, SharePpm)> {
    let mut moved: Vec<(RegionId, RegionId, SharePpm)> = Vec::new();
    for old in ranges(before) {
        for new in ranges(after) {
            let overlap = old.end.min(new.end).saturating_sub(old.start.max(new.start));
            if overlap == 0 || old.region == new.region {
                continue;
            }
            let same = |(from, to, _): &&mut (RegionId, RegionId, SharePpm)| {
                from == old.region && to == new.region
            };
            match moved.iter_mut().find(same) {
                Some((_, _, sum)) => sum.0 += overlap,
                None => moved.push((old.region.clone(), new.region.clone(), SharePpm(overlap))),
            }
        }
    }
    moved
}

/// Merges adjacent segments of the same region.
pub fn merge_adjacent(segments: &mut Vec<Segment>) {
    segments.dedup_by(|later, earlier| later.region == earlier.region);
}

struct HashRange<'a> {
    start: u32,
    end: u32,
    region: &'a RegionId,
}

/// Returns the non-empty segments as ranges, in order.
fn ranges(route: &Route) -> Vec<HashRange<'_>> {
    let starts = route.segments.iter().skip(1).map(|segment| segment.start_ppm.0);
    let ends = starts.chain([SharePpm::WHOLE.0]);
    let ranges = route.segments.iter().zip(ends).map(|(segment, end)| HashRange {
        start: segment.start_ppm.0,
        end,
        region: &segment.region,
    });
    ranges.filter(|range| range.end > range.start).collect()
}

#[cfg(test)]
#[path = "shares_tests.rs"]
mod tests;
