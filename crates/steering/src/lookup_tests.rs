//! Tests of lookup: a wrong answer sends callers to a region or VM that cannot serve them.

use std::time::Duration;

use celerygate_types::wire::ClientBlock;
use ipnet::IpNet;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use super::*;

fn config_with_seed(seed: u64) -> ProptestConfig {
    let rng_seed = RngSeed::Fixed(seed);
    ProptestConfig { cases: 200, rng_seed, failure_persistence: None, ..Default::default() }
}

fn regions() -> Vec<RegionId> {
    ["r0", "r1", "r2"].iter().map(|region| region.parse().unwrap()).collect()
}

fn vm_state(vm: usize, region: usize, headroom: f32) -> EntryVmState {
    EntryVmState {
        vm: format!("vm{vm}").parse().unwrap(),
        address: "127.0.0.1:1".into(),
        region: regions()[region].clone(),
        serving: true,
        headroom,
    }
}

/// Returns a table of seven VMs in three regions, of which the VMs of `lost` are not serving.
fn entries(lost: Option<usize>) -> EntryTable {
    let vm_states: Vec<EntryVmState> = (0..7)
        .map(|vm| EntryVmState { serving: lost != Some(vm % 3), ..vm_state(vm, vm % 3, 10.0) })
        .collect();
    EntryTable::new(&regions(), &vm_states)
}

fn block(network: &str, region: usize) -> ClientBlock {
    ClientBlock { network: network.into(), region: regions()[region].clone() }
}

fn slots(capacity_slots: f32, load_slots: f32) -> RegionCapacity {
    RegionCapacity { capacity_slots, load_slots, slots_per_answer: 0.01 }
}

fn capacity(capacities: &[RegionCapacity], now: Instant) -> ServiceCapacity {
    let mut capacity = ServiceCapacity::new(capacities.len(), now);
    capacity.update(capacities.to_vec(), now);
    capacity
}

/// Answers lookups from `clients` /24 networks that are all routed to region r0. Returns the number
/// of answers per region and the number of refused lookups.
fn count_answers(
    entries: &EntryTable,
    capacity: &mut ServiceCapacity,
    clients: u32,
    now: Instant,
) -> ([usize; 3], usize) {
    let blocks = BlockTable::new(&[]).unwrap();
    let segment = |_: &RegionId, _| Some(regions()[0].clone());
    let (mut counts, mut refused) = ([0; 3], 0);
    for client in 0..clients {
        let client = std::net::Ipv4Addr::from(client << 8).into();
        match decide(&blocks, entries, capacity, client, segment, now) {
            Lookup::Use(decision) => counts[usize::from(decision.region.0)] += 1,
            Lookup::NoCapacity => refused += 1,
        }
    }
    (counts, refused)
}

proptest! {
    #![proptest_config(config_with_seed(51))]

    /// Guards against an address that is matched with a wrong prefix or not the longest one.
    #[test]
    fn find_longest_prefix(
        networks in prop::collection::vec(
            (any::<bool>(), 0..64_u8, 0..8_u8, 0..=22_u8, 0..3_usize), 0..40),
        clients in prop::collection::vec((any::<bool>(), 0..64_u8, any::<u8>()), 40),
    ) {
        // There are few distinct values of the leading bits, so that networks nest, repeat, touch
        // the ends of the address space, and start and end between two entries of the index over
        // the first 16 bits.
        let address = |is_v6: bool, high: u8, low: u8| -> IpAddr {
            let lead = ((high & 7) * 36).saturating_add(high >> 5);
            let bits = u32::from_be_bytes([lead, (high >> 3) & 3, low, low]);
            match is_v6 {
                false => IpAddr::V4(bits.into()),
                true => IpAddr::V6(((u128::from(bits) << 96) | 7).into()),
            }
        };
        let networks: Vec<(IpNet, usize)> = networks
            .into_iter()
            .map(|(is_v6, high, low, bits, region)| {
                (IpNet::new(address(is_v6, high, low * 32), bits).unwrap().trunc(), region)
            })
            .collect();
        let configured: Vec<ClientBlock> =
            networks.iter().map(|(network, region)| block(&network.to_string(), *region)).collect();
        let table = BlockTable::new(&configured).unwrap();
        for (is_v6, high, low) in clients {
            let client = address(is_v6, high, low);
            // For equal prefixes, max_by_key returns the last one, as the table does.
            let best = networks
                .iter()
                .filter(|(network, _)| network.contains(&client))
                .max_by_key(|(network, _)| network.prefix_len());
            let found = table.find(client);
            prop_assert_eq!(found.home, best.map(|(_, region)| regions()[*region].clone()));
            if let Some((network, _)) = best {
                prop_assert_eq!(found.hash, rendezvous::id_hash(&network.to_string()));
            }
        }
    }

    /// Guards against a block whose callers change VMs although their VM is still serving.
    #[test]
    fn select_vm_lost(lost in 0..8_usize, blocks in prop::collection::vec(any::<u64>(), 20)) {
        let all: Vec<EntryVmState> = (0..8).map(|vm| vm_state(vm, 0, 5.0 + vm as f32)).collect();
        // The VM with the most headroom is never removed, because weights are relative to it.
        let mut fewer = all.clone();
        fewer.remove(lost.min(6));
        let (all, fewer) = (EntryTable::new(&regions(), &all), EntryTable::new(&regions(), &fewer));
        let names = |table: &EntryTable, block| -> Vec<String> {
            let mut chosen: SmallVec<[u16; 6]> = SmallVec::new();
            table.select(RegionIndex(0), block, 3, &mut chosen);
            chosen.iter().map(|at| table.vms()[usize::from(*at)].vm.to_string()).collect()
        };
        for block in blocks {
            let mut before = names(&all, block);
            before.retain(|vm| *vm != format!("vm{}", lost.min(6)));
            let after = names(&fewer, block);
            prop_assert_eq!(&after[..before.len()], &before[..]);
        }
    }

    /// Guards against daemons that together send a region more callers than its headroom allows
    /// while their measurements do not change.
    #[test]
    fn decide_substitutes_within_headroom(
        free in prop::collection::vec(0..40_u32, 2),
        rounds in prop::collection::vec((0..400_u32, 0..900_u64), 1..8),
    ) {
        let start = Instant::now();
        let entries = entries(Some(0));
        let capacities =
            [slots(50.0, 0.0), slots(100.0, 100.0 - free[0] as f32), slots(free[1] as f32, 0.0)];
        // Four VMs are serving; each answers a share of the lookups from its own state.
        let mut daemons = vec![capacity(&capacities, start); entries.vms().len()];
        let mut sent = [0_usize; 3];
        let mut now = start;
        for (clients, wait_ms) in rounds {
            for daemon in &mut daemons {
                let (counts, _) = count_answers(&entries, daemon, clients, now);
                sent.iter_mut().zip(counts).for_each(|(sum, count)| *sum += count);
            }
            // Stop before the first answers expire, because callers repeat their lookups from then
            // on.
            now = (now + Duration::from_millis(wait_ms))
                .min(start + ANSWER_TTL - Duration::from_millis(1));
        }
        prop_assert_eq!(sent[0], 0);
        for region in [1, 2] {
            let added = sent[region] as f32 * 0.01;
            prop_assert!(added <= free[region - 1] as f32 + 0.1, "{added} of {}", free[region - 1]);
        }
    }
}

/// Guards against an answer that ignores the route, or whose first VM is in another region.
#[test]
fn decide_follows_route() {
    let now = Instant::now();
    let blocks = BlockTable::new(&[block("10.0.0.0/8", 1)]).unwrap();
    let mut capacity = capacity(&[slots(9.0, 0.0); 3], now);
    let client: IpAddr = "10.1.2.3".parse().unwrap();
    let entries = entries(None);
    let mut decide = |segment: Option<usize>| {
        let segment = |home: &RegionId, _: u64| {
            assert_eq!(*home, regions()[1]);
            segment.map(|region| regions()[region].clone())
        };
        match decide(&blocks, &entries, &mut capacity, client, segment, now) {
            Lookup::Use(decision) => decision,
            Lookup::NoCapacity => panic!("there is capacity"),
        }
    };
    for (segment, expected) in [(None, 1), (Some(2), 2), (Some(0), 0)] {
        let decision = decide(segment);
        assert_eq!((decision.region, decision.reason), (RegionIndex(expected), Reason::Route));
        let region_of = |at: &u16| entries.vms()[usize::from(*at)].region;
        let near = decision.entries.iter().take_while(|at| region_of(at).0 == expected).count();
        assert_eq!(near, if expected == 0 { 3 } else { 2 });
        let mut regions: Vec<RegionIndex> = decision.entries.iter().map(region_of).collect();
        regions.dedup();
        assert_eq!(regions.len(), 3, "the answer names VMs of all regions");
        assert_eq!(decide(segment), decision);
    }
}

/// Guards against sending all callers of a lost region to one region, or to one without capacity.
#[test]
fn decide_region_lost_in_proportion() {
    let now = Instant::now();
    let capacities = [slots(100.0, 0.0), slots(900.0, 300.0), slots(400.0, 200.0)];
    let (counts, refused) =
        count_answers(&entries(Some(0)), &mut capacity(&capacities, now), 4_000, now);
    assert_eq!((counts[0], refused), (0, 0));
    let share = counts[1] as f64 / 4_000.0;
    assert!((share - 0.75).abs() < 0.03, "{share}");
    let full = [slots(100.0, 0.0), slots(9.0, 9.0), slots(0.0, 0.0)];
    let (counts, refused) = count_answers(&entries(Some(0)), &mut capacity(&full, now), 100, now);
    assert_eq!((counts, refused), ([0, 0, 0], 100));
}

/// Guards against refusing callers of a substitute region when they repeat their lookup, although
/// their load is already included in the measured load.
#[test]
fn decide_substitute_repeated() {
    let start = Instant::now();
    let entries = entries(Some(0));
    // One daemon of four: 100 callers with 0.01 slots each need 1 slot of its share of 1.25 slots.
    let mut capacity = capacity(&[slots(9.0, 0.0), slots(9.0, 4.0), slots(0.0, 0.0)], start);
    for round in 0..6 {
        let now = start + ANSWER_TTL * round;
        let load = if round == 0 { 4.0 } else { 5.0 };
        capacity.update(vec![slots(9.0, 0.0), slots(9.0, load), slots(0.0, 0.0)], now);
        assert_eq!(
            count_answers(&entries, &mut capacity, 100, now),
            ([0, 100, 0], 0),
            "round {round}"
        );
    }
}

/// Guards against a full region that loses all of its callers at once, oscillates between full and
/// empty, or stays full.
#[test]
fn decide_region_full_stabilises() {
    let start = Instant::now();
    let entries = entries(None);
    let mut capacity = capacity(&[slots(10.0, 0.0), slots(200.0, 0.0), slots(200.0, 0.0)], start);
    // 1,000 callers with 0.012 slots each need 12 slots of a region with 10; answers expire after 5
    // s.
    let mut loads = [12.0_f32, 0.0, 0.0];
    let mut history = Vec::new();
    for second in 0..120_u64 {
        let now = start + Duration::from_secs(second);
        capacity.update(
            vec![slots(10.0, loads[0]), slots(200.0, loads[1]), slots(200.0, loads[2])],
            now,
        );
        if second % 5 == 0 {
            let (counts, refused) = count_answers(&entries, &mut capacity, 1_000, now);
            assert_eq!(refused, 0);
            loads = counts.map(|count| count as f32 * 0.012);
        }
        history.push(loads[0]);
    }
    let settled = &history[40..];
    let (least, most) = settled
        .iter()
        .fold((f32::MAX, 0.0_f32), |(least, most), load| (least.min(*load), most.max(*load)));
    // Between the return threshold and full utilisation, the load must stay constant.
    assert!(history[60..].iter().all(|load| *load == history[60]), "{history:?}");
    assert!(least > 7.0 && most <= 10.0, "between {least} and {most}: {history:?}");
}

/// Guards against assigning callers to VMs regardless of their headroom.
#[test]
fn select_by_headroom() {
    let vm_states = [vm_state(0, 0, 10.0), vm_state(1, 0, 30.0), vm_state(2, 0, 40.0)];
    let entries = EntryTable::new(&regions(), &vm_states);
    let mut first = [0_usize; 3];
    for block in 0..20_000_u64 {
        let mut chosen: SmallVec<[u16; 6]> = SmallVec::new();
        entries.select(RegionIndex(0), rendezvous::mix(block, 3), 3, &mut chosen);
        assert_eq!(chosen.len(), 3);
        first[usize::from(chosen[0])] += 1;
    }
    for (count, expected) in first.into_iter().zip([0.125, 0.375, 0.5]) {
        assert!((count as f64 / 20_000.0 - expected).abs() < 0.02, "{first:?}");
    }
}

/// Guards against combined hashes that prefer some of many equal VMs.
#[test]
fn select_many_equal_vms() {
    let vm_states: Vec<EntryVmState> = (0..78).map(|vm| vm_state(vm, 0, 1.0)).collect();
    let entries = EntryTable::new(&regions(), &vm_states);
    let mut counts = [[0_u32; 78]; 3];
    for block in 0..78_000_u64 {
        let mut chosen: SmallVec<[u16; 6]> = SmallVec::new();
        entries.select(RegionIndex(0), rendezvous::id_hash(&block.to_string()), 3, &mut chosen);
        for (rank, at) in chosen.iter().enumerate() {
            counts[rank][usize::from(*at)] += 1;
        }
    }
    // 1,000 blocks are expected for each rank, with a standard deviation of 31.
    for counts in counts {
        assert!(counts.iter().all(|count| count.abs_diff(1_000) < 160), "{counts:?}");
    }
}
