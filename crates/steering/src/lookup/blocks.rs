//! Client addresses to client blocks: longest matching prefix over the configured networks.

use std::mem::size_of;
use std::net::IpAddr;

use celerygate_types::RegionId;
use celerygate_types::wire::ClientBlock;
use ipnet::{AddrParseError, IpNet};

use super::rendezvous::{id_hash, mix};

/// Prefix lengths by which addresses outside the table are grouped into blocks.
const GROUP_BITS_V4: u32 = 24;
const GROUP_BITS_V6: u32 = 48;
/// Leading bits of an address by which the search for its range is narrowed down.
const INDEX_BITS: u32 = 16;
/// Marks addresses outside the table.
const NO_BLOCK: u32 = u32::MAX;

/// The block of a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Block {
    /// Hash of the block's network; its place in the hash space of routes.
    pub hash: u64,
    /// Home region according to the configuration; `None` for a block outside the table.
    pub home: Option<RegionId>,
}

/// Configured networks, flattened to disjoint ranges of addresses.
#[derive(Clone, Debug, Default)]
pub struct BlockTable {
    v4: Ranges<u32>,
    v6: Ranges<u128>,
    /// Hash and position of the home region in `regions`.
    blocks: Vec<(u64, u16)>,
    regions: Vec<RegionId>,
}

/// Disjoint ranges of addresses in ascending order; each ends where the next one starts.
#[derive(Clone, Debug, Default)]
struct Ranges<A> {
    /// Start and owner side by side, as both are read together.
    ranges: Vec<(A, u32)>,
    /// For each value of the leading bits, the first range that starts there or later.
    index: Vec<u32>,
}

struct Network {
    start: u128,
    end: u128,
    owner: u32,
}

impl BlockTable {
    /// Builds the table; of equal networks the last one counts.
    pub fn new(blocks: &[ClientBlock]) -> Result<Self, AddrParseError> {
        let mut table = Self::default();
        let (mut v4, mut v6) = (Vec::new(), Vec::new());
        for block in blocks {
            let network = block.network.parse::<IpNet>()?.trunc();
            let owner = u32::try_from(table.blocks.len()).unwrap_or(NO_BLOCK);
            let home = table.intern(&block.region);
            table.blocks.push((id_hash(&network.to_string()), home));
            match network {
                IpNet::V4(network) => v4.push(Network {
                    start: u32::from(network.network()).into(),
                    end: u32::from(network.broadcast()).into(),
                    owner,
                }),
                IpNet::V6(network) => v6.push(Network {
                    start: network.network().into(),
                    end: network.broadcast().into(),
                    owner,
                }),
            }
        }
        table.v4 = Ranges::new(
            // The ranges were made from 32-bit addresses.
            flatten(v4, u128::from(u32::MAX)).map(|(start, owner)| (start as u32, owner)),
            |start| (start >> (32 - INDEX_BITS)) as usize,
        );
        table.v6 =
            Ranges::new(flatten(v6, u128::MAX), |start| (start >> (128 - INDEX_BITS)) as usize);
        table.blocks.shrink_to_fit();
        Ok(table)
    }

    fn intern(&mut self, region: &RegionId) -> u16 {
        let known = self.regions.iter().position(|known| known == region);
        let index = known.unwrap_or_else(|| {
            self.regions.push(region.clone());
            self.regions.len() - 1
        });
        u16::try_from(index).unwrap_or(u16::MAX)
    }

    /// Returns the number of configured networks.
    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Returns whether no network is configured.
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }

    /// Returns the bytes that the table holds on the heap.
    pub fn heap_bytes(&self) -> usize {
        self.v4.heap_bytes()
            + self.v6.heap_bytes()
            + self.blocks.capacity() * size_of::<(u64, u16)>()
            + self.regions.capacity() * size_of::<RegionId>()
    }

    /// Returns the block of an address.
    ///
    /// Addresses outside the table are grouped by /24 or /48, so that the callers of one network
    /// get the same answer.
    pub fn find(&self, client: IpAddr) -> Block {
        let client = client.to_canonical();
        let owner = match client {
            IpAddr::V4(address) => {
                let address = u32::from(address);
                self.v4.owner(address, (address >> (32 - INDEX_BITS)) as usize)
            }
            IpAddr::V6(address) => {
                let address = u128::from(address);
                self.v6.owner(address, (address >> (128 - INDEX_BITS)) as usize)
            }
        };
        let Some(at) = owner else {
            return Block { hash: group_hash(client), home: None };
        };
        let (hash, home) = self.blocks[at];
        Block { hash, home: self.regions.get(usize::from(home)).cloned() }
    }
}

impl<A: Copy + Ord> Ranges<A> {
    fn new(ranges: impl IntoIterator<Item = (A, u32)>, leading: impl Fn(A) -> usize) -> Self {
        let mut ranges: Vec<(A, u32)> = ranges.into_iter().collect();
        ranges.shrink_to_fit();
        let mut index = Vec::new();
        if !ranges.is_empty() {
            index = vec![0_u32; (1 << INDEX_BITS) + 1];
            for (start, _) in &ranges {
                index[leading(*start) + 1] += 1;
            }
            let mut sum = 0;
            for count in &mut index {
                sum += *count;
                *count = sum;
            }
        }
        Self { ranges, index }
    }

    fn owner(&self, address: A, leading: usize) -> Option<usize> {
        let from = *self.index.get(leading)? as usize;
        let to = *self.index.get(leading + 1)? as usize;
        let after = from + self.ranges.get(from..to)?.partition_point(|range| range.0 <= address);
        let (_, owner) = *self.ranges.get(after.checked_sub(1)?)?;
        (owner != NO_BLOCK).then_some(owner as usize)
    }

    fn heap_bytes(&self) -> usize {
        self.ranges.capacity() * size_of::<(A, u32)>() + self.index.capacity() * size_of::<u32>()
    }
}

fn group_hash(client: IpAddr) -> u64 {
    let (kind, group) = match client {
        IpAddr::V4(address) => (4, u64::from(u32::from(address) >> (32 - GROUP_BITS_V4))),
        IpAddr::V6(address) => (6, (u128::from(address) >> (128 - GROUP_BITS_V6)) as u64),
    };
    mix(mix(kind, group), group)
}

/// Turns nested networks into disjoint ranges, each given by its start and ending at the next one.
fn flatten(mut networks: Vec<Network>, last_address: u128) -> impl Iterator<Item = (u128, u32)> {
    // Outer networks come before the networks inside them; the sort keeps the order of equal ones.
    networks.sort_by_key(|network| (network.start, std::cmp::Reverse(network.end)));
    let mut ranges: Vec<(u128, u32)> = Vec::new();
    let mut open: Vec<Network> = Vec::new();
    let close_until = |open: &mut Vec<Network>, ranges: &mut Vec<(u128, u32)>, start| {
        while let Some(inner) = open.pop_if(|inner| start > inner.end) {
            let owner = open.last().map_or(NO_BLOCK, |outer| outer.owner);
            begin(ranges, inner.end + 1, owner);
        }
    };
    for network in networks {
        close_until(&mut open, &mut ranges, network.start);
        begin(&mut ranges, network.start, network.owner);
        open.push(network);
    }
    while let Some(inner) = open.pop() {
        if inner.end < last_address {
            begin(&mut ranges, inner.end + 1, open.last().map_or(NO_BLOCK, |outer| outer.owner));
        }
    }
    ranges.into_iter()
}

fn begin(ranges: &mut Vec<(u128, u32)>, start: u128, owner: u32) {
    ranges.pop_if(|last| last.0 == start);
    ranges.push((start, owner));
}
