//! Stable assignment of client blocks to regions.
//!
//! Each client block has a fixed position in a hash space of 1,000,000 points. For each service and
//! home region, segments of that space name the region that serves the blocks. A move of x% from A
//! to B means x% of the blocks of the service that A serves now, of whichever home region. Blocks
//! whose home is B go first, the others in proportion from each home region; no other block changes.

use celerygate_types::wire::{Configuration, Route, Segment};
use celerygate_types::{RegionId, ServiceId, SharePpm};

/// Returns the position of a client block, given as network text, in the hash space.
pub fn block_position(network: &str) -> SharePpm {
    let mut first = [0; 8];
    first.copy_from_slice(&blake3::hash(network.as_bytes()).as_bytes()[..8]);
    let position = u64::from_le_bytes(first) % u64::from(SharePpm::WHOLE.0);
    SharePpm(u32::try_from(position).unwrap_or_default())
}

/// Returns the route of a service and home region; without one, the home region serves everything.
pub fn route_of(configuration: &Configuration, service: &ServiceId, home: &RegionId) -> Route {
    let known = configuration.routes.iter();
    let mut known = known.filter(|route| route.service == *service && route.home_region == *home);
    known.next().cloned().unwrap_or_else(|| home_route(service, home))
}

/// Returns the route in which the home region serves everything.
pub fn home_route(service: &ServiceId, home: &RegionId) -> Route {
    let segments = vec![Segment { region: home.clone(), start_ppm: SharePpm::ZERO }];
    Route { home_region: home.clone(), segments, service: service.clone() }
}

/// Returns the region that serves a position, none for a route without segments.
pub fn region_at(route: &Route, position: SharePpm) -> Option<&RegionId> {
    let after = route.segments.partition_point(|segment| segment.start_ppm <= position);
    let segment = after.checked_sub(1).and_then(|index| route.segments.get(index))?;
    Some(&segment.region)
}

/// Returns the share of the hash space that a region serves.
pub fn region_share(route: &Route, region: &RegionId) -> SharePpm {
    let pieces = pieces(route).into_iter();
    pieces
        .filter(|piece| piece.region == region)
        .map(|piece| SharePpm(piece.end - piece.start))
        .sum()
}

/// Reassigns an amount of the hash space from one region to another and nothing else.
///
/// Takes the highest positions of `from` first, so that a move in steps gives the same assignment
/// as one move of the sum. Moves everything when `from` serves less than the amount.
pub fn move_share(route: &Route, from: &RegionId, to: &RegionId, amount: SharePpm) -> Route {
    let mut left = amount.0;
    let mut segments = Vec::new();
    for piece in pieces(route).into_iter().rev() {
        let taken = if piece.region == from { left.min(piece.end - piece.start) } else { 0 };
        left -= taken;
        let split = piece.end - taken;
        if taken > 0 {
            segments.push(Segment { region: to.clone(), start_ppm: SharePpm(split) });
        }
        if split > piece.start {
            let start_ppm = SharePpm(piece.start);
            segments.push(Segment { region: piece.region.clone(), start_ppm });
        }
    }
    segments.reverse();
    merge_adjacent(&mut segments);
    Route { home_region: route.home_region.clone(), segments, service: route.service.clone() }
}

/// Returns how much of the hash space goes from one region to another between two routes.
pub fn moved_shares(before: &Route, after: &Route) -> Vec<(RegionId, RegionId, SharePpm)> {
    let mut moved: Vec<(RegionId, RegionId, SharePpm)> = Vec::new();
    for old in pieces(before) {
        for new in pieces(after) {
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

/// Joins neighbouring segments of the same region.
pub fn merge_adjacent(segments: &mut Vec<Segment>) {
    segments.dedup_by(|later, earlier| later.region == earlier.region);
}

struct Piece<'a> {
    start: u32,
    end: u32,
    region: &'a RegionId,
}

/// Returns the segments with their ends, in order, without empty ones.
fn pieces(route: &Route) -> Vec<Piece<'_>> {
    let starts = route.segments.iter().skip(1).map(|segment| segment.start_ppm.0);
    let ends = starts.chain([SharePpm::WHOLE.0]);
    let pieces = route.segments.iter().zip(ends).map(|(segment, end)| Piece {
        start: segment.start_ppm.0,
        end,
        region: &segment.region,
    });
    pieces.filter(|piece| piece.end > piece.start).collect()
}

#[cfg(test)]
#[path = "shares_tests.rs"]
mod tests;
