//! Duration of a lookup and memory of its tables at the target size: 110,000 client blocks, 700
//! daemons, 9 regions, and routes of 170 services.

#![allow(missing_docs, clippy::unwrap_used)]

use std::hint::black_box;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};
use std::time::{Duration, Instant};

use celerygate_steering::lookup::{
    BlockTable, EntryTable, EntryVmState, Lookup, RegionCapacity, ServiceCapacity, decide,
};
use celerygate_types::RegionId;
use celerygate_types::wire::ClientBlock;
use criterion::{Criterion, criterion_group, criterion_main};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

const BLOCKS: usize = 110_000;
const DAEMONS: usize = 700;
const REGIONS: usize = 9;
const SERVICES: usize = 170;
const SEGMENTS: usize = 8;

/// Segments of one service and home region: start in the hash space, and index of the region.
type Segments = Vec<(u32, u16)>;

struct Tables {
    regions: Vec<RegionId>,
    blocks: BlockTable,
    entries: EntryTable,
    /// Segments by service and home region.
    routes: Vec<Vec<Segments>>,
    /// Capacity by service.
    capacities: Vec<ServiceCapacity>,
}

fn regions() -> Vec<RegionId> {
    (0..REGIONS).map(|region| format!("region-{region}").parse().unwrap()).collect()
}

/// Generates client blocks: four fifths are IPv4 networks of /16 to /24, some of them nested, and
/// the rest IPv6 networks.
fn client_blocks(rng: &mut SmallRng, regions: &[RegionId]) -> Vec<ClientBlock> {
    let network = |rng: &mut SmallRng| match rng.random_ratio(4, 5) {
        true => format!("{}/{}", Ipv4Addr::from(rng.random::<u32>()), rng.random_range(16..=24)),
        false => {
            let bits = (rng.random::<u128>() >> 4) | (2 << 124);
            format!("{}/{}", Ipv6Addr::from(bits), rng.random_range(32..=48))
        }
    };
    (0..BLOCKS)
        .map(|_| ClientBlock {
            network: network(rng).into(),
            region: regions[rng.random_range(0..REGIONS)].clone(),
        })
        .collect()
}

fn tables(blocks: &[ClientBlock], lost: Option<usize>, now: Instant) -> Tables {
    let regions = regions();
    let vm_states: Vec<EntryVmState> = (0..DAEMONS)
        .map(|vm| EntryVmState {
            vm: format!("daemon-{vm}").parse().unwrap(),
            address: format!("127.0.{}.{}:8080", vm / 250, vm % 250).into(),
            region: regions[vm % REGIONS].clone(),
            serving: lost != Some(vm % REGIONS),
            headroom: 100.0 + (vm % 50) as f32,
        })
        .collect();
    let segments = |home: usize| -> Segments {
        let width = 1_000_000 / SEGMENTS;
        (0..SEGMENTS)
            .map(|index| ((index * width) as u32, ((home + index / 6) % REGIONS) as u16))
            .collect()
    };
    let region_capacity =
        RegionCapacity { capacity_slots: 10_000.0, load_slots: 5_000.0, slots_per_answer: 0.0 };
    let capacity = || {
        let mut capacity = ServiceCapacity::new(REGIONS, now);
        capacity.update(vec![region_capacity; REGIONS], now);
        capacity
    };
    Tables {
        blocks: BlockTable::new(blocks).unwrap(),
        entries: EntryTable::new(&regions, &vm_states),
        routes: (0..SERVICES).map(|_| (0..REGIONS).map(segments).collect()).collect(),
        capacities: (0..SERVICES).map(|_| capacity()).collect(),
        regions,
    }
}

/// Generates client addresses, of which nine tenths belong to a configured block.
fn clients(rng: &mut SmallRng, blocks: &[ClientBlock]) -> Vec<IpAddr> {
    (0..65_536)
        .map(|_| match rng.random_ratio(9, 10) {
            true => {
                let network = &blocks[rng.random_range(0..blocks.len())].network;
                network.split('/').next().unwrap().parse().unwrap()
            }
            false => IpAddr::V4(rng.random::<u32>().into()),
        })
        .collect()
}

fn lookup(tables: &mut Tables, service: usize, client: IpAddr, now: Instant) -> Lookup {
    let Tables { regions, blocks, entries, routes, capacities } = tables;
    let segment = |home: &RegionId, hash: u64| {
        let home = regions.iter().position(|region| region == home)?;
        let position = ((u128::from(hash) * 1_000_000) >> 64) as u32;
        let segments = &routes[service][home];
        let index = segments.partition_point(|(start, _)| *start <= position).checked_sub(1)?;
        regions.get(usize::from(segments[index].1)).cloned()
    };
    decide(blocks, entries, &mut capacities[service], client, segment, now)
}

/// Returns the resident memory of this process in bytes; 0 if it is not available.
fn resident_bytes() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|line| line.trim().trim_end_matches("kB").trim().parse::<usize>().ok());
    kib.unwrap_or(0) * 1_024
}

fn bench_lookup(c: &mut Criterion) {
    let mut rng = SmallRng::seed_from_u64(7);
    let blocks = client_blocks(&mut rng, &regions());
    let clients = clients(&mut rng, &blocks);
    let now = Instant::now();
    let before = resident_bytes();
    let mut steady = tables(&blocks, None, now);
    println!(
        "memory: block table {} B, entry table {} B, resident growth with routes and capacities {} B",
        steady.blocks.heap_bytes(),
        steady.entries.heap_bytes(),
        resident_bytes().saturating_sub(before),
    );
    let started = Instant::now();
    black_box(BlockTable::new(&blocks).unwrap());
    println!("building the block table: {:?}", started.elapsed());
    let mut group = c.benchmark_group("lookup");
    group.measurement_time(Duration::from_secs(3)).warm_up_time(Duration::from_secs(1));
    let mut lost = tables(&blocks, Some(0), now);
    for (name, tables) in [("steady", &mut steady), ("region_lost", &mut lost)] {
        let mut index = 0;
        group.bench_function(name, |bencher| {
            bencher.iter(|| {
                index += 1;
                black_box(lookup(tables, index % SERVICES, clients[index % clients.len()], now))
            });
        });
    }
    let mut index = 0;
    group.bench_function("find_block", |bencher| {
        bencher.iter(|| {
            index += 1;
            black_box(steady.blocks.find(clients[index % clients.len()]))
        });
    });
    group.finish();
}

criterion_group!(benches, bench_lookup);
criterion_main!(benches);
