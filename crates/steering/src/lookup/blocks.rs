//! Mapping of client addresses to client blocks by the longest matching prefix of the configured
//! networks.

use std::mem::size_of;
use std::net::IpAddr;

use celerygate_types::RegionId;
use celerygate_types::wire::ClientBlock;
use ipnet::{AddrParseError, IpNet};

use super::rendezvous::{id_hash, mix};

/// Prefix lengths of the blocks into which addresses outside the table are grouped.
const GROUP_BITS_V4: u32 = 24;
const GROUP_BITS_V6: u32 = 48;
/// Number of leading address bits that the range index covers.
const INDEX_BITS: u32 = 16;
/// Block index of addresses outside the table.
const NO_BLOCK: u32 = u32::MAX;

/// The block of a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Block {
    /// Hash of the block's network; its position in the hash space of routes.
    pub hash: u64,
    /// Configured home region; `None` for a block outside the table.
    pub home: Option<RegionId>,
}

/// Configured networks, stored as disjoint address ranges.
#[derive(Clone, Debug, Default)]
pub struct BlockTable {
    v4: Ranges<u32>,
    v6: Ranges<u128>,
    /// Hash of each network, and index of its home region in `regions`.
    blocks: Vec<(u64, u16)>,
    regions: Vec<RegionId>,
}

/// Disjoint ranges of addresses in ascending order; each ends where the next one starts.
#[derive(Clone, Debug, Default)]
struct Ranges<A> {
    /// Start address and block index, stored together because both are read together.
    ranges: Vec<(A, u32)>,
    /// For each value of the leading bits, the first range that starts at that value or later.
    index: Vec<u32>,
}

struct Network {
    start: u128,
    end: u128,
    block_index: u32,
}

impl BlockTable {
    /// Builds the table. If a network is configured more than once, the last entry applies.
    ///
    /// # Errors
    ///
    /// Returns the parse error of the first invalid network.
    pub fn new(blocks: &[ClientBlock]) -> Result<Self, AddrParseError> {
        let mut table = Self::default();
        let (mut v4, mut v6) = (Vec::new(), Vec::new());
        for block in blocks {
            let network = block.network.parse::<IpNet>()?.trunc();
            let block_index = u32::try_from(table.blocks.len()).unwrap_or(NO_BLOCK);
            let home = table.intern_region(&block.region);
            table.blocks.push((id_hash(&network.to_string()), home));
            match network {
                IpNet::V4(network) => v4.push(Network {
                    start: u32::from(network.network()).into(),
                    end: u32::from(network.broadcast()).into(),
                    block_index,
                }),
                IpNet::V6(network) => v6.push(Network {
                    start: network.network().into(),
                    end: network.broadcast().into(),
                    block_index,
                }),
            }
        }
        table.v4 = Ranges::new(
            // The cast is lossless: the ranges were built from 32-bit addresses.
            flatten(v4, u128::from(u32::MAX))
                .map(|(start, block_index)| (start as u32, block_index)),
            |start| (start >> (32 - INDEX_BITS)) as usize,
        );
        table.v6 =
            Ranges::new(flatten(v6, u128::MAX), |start| (start >> (128 - INDEX_BITS)) as usize);
        table.blocks.shrink_to_fit();
        Ok(table)
    }

    fn intern_region(&mut self, region: &RegionId) -> u16 {
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

    /// Returns the heap size of the table in bytes.
    pub fn heap_bytes(&self) -> usize {
        self.v4.heap_bytes()
            + self.v6.heap_bytes()
            + self.blocks.capacity() * size_of::<(u64, u16)>()
            + self.regions.capacity() * size_of::<RegionId>()
    }

    /// Returns the block of an address.
    ///
    /// Addresses outside the table are grouped by /24 or /48 prefix, so that the callers of one
    /// network get the same answer.
    pub fn find(&self, client: IpAddr) -> Block {
        let client = client.to_canonical();
        let block_index = match client {
            IpAddr::V4(address) => {
                let address = u32::from(address);
                self.v4.block_index(address, (address >> (32 - INDEX_BITS)) as usize)
            }
            IpAddr::V6(address) => {
                let address = u128::from(address);
                self.v6.block_index(address, (address >> (128 - INDEX_BITS)) as usize)
            }
        };
        let Some(at) = block_index else {
            return Block { hash: group_hash(client), home: None };
        };
        let (hash, home) = self.blocks[at];
        Block { hash, home: self.regions.get(usize::from(home)).cloned() }
    }
}

impl<A: Copy + Ord> Ranges<A> {
    fn new(ranges: impl IntoIterator<Item = (A, u32)>, leading_bits: impl Fn(A) -> usize) -> Self {
        let mut ranges: Vec<(A, u32)> = ranges.into_iter().collect();
        ranges.shrink_to_fit();
        let mut index = Vec::new();
        if !ranges.is_empty() {
            index = vec![0_u32; (1 << INDEX_BITS) + 1];
            for (start, _) in &ranges {
                index[leading_bits(*start) + 1] += 1;
            }
            let mut sum = 0;
            for count in &mut index {
                sum += *count;
                *count = sum;
            }
        }
        Self { ranges, index }
    }

    fn block_index(&self, address: A, leading_bits: usize) -> Option<usize> {
        let from = *self.index.get(leading_bits)? as usize;
        let to = *self.index.get(leading_bits + 1)? as usize;
        let after = from + self.ranges.get(from..to)?.partition_point(|range| range.0 <= address);
        let (_, block_index) = *self.ranges.get(after.checked_sub(1)?)?;
        (block_index != NO_BLOCK).then_some(block_index as usize)
    }

    fn heap_bytes(&self) -> usize {
        self.ranges.capacity() * size_of::<(A, u32)>() + self.index.capacity() * size_of::<u32>()
    }
}

fn group_hash(client: IpAddr) -> u64 {
    let (address_family, group) = match client {
        IpAddr::V4(address) => (4, u64::from(u32::from(address) >> (32 - GROUP_BITS_V4))),
        IpAddr::V6(address) => (6, (u128::from(address) >> (128 - GROUP_BITS_V6)) as u64),
    };
    mix(mix(address_family, group), group)
}

/// Flattens nested networks into disjoint ranges, each given by its start and ending at the start
/// of the next one.
fn flatten(mut networks: Vec<Network>, last_address: u128) -> impl Iterator<Item = (u128, u32)> {
    // Outer networks are sorted before the networks inside them; the stable sort keeps the order of
    // equal networks.
    networks.sort_by_key(|network| (network.start, std::cmp::Reverse(network.end)));
    let mut ranges: Vec<(u128, u32)> = Vec::new();
    let mut enclosing: Vec<Network> = Vec::new();
    let close_until = |enclosing: &mut Vec<Network>, ranges: &mut Vec<(u128, u32)>, start| {
        while let Some(inner) = enclosing.pop_if(|inner| start > inner.end) {
            let block_index = enclosing.last().map_or(NO_BLOCK, |outer| outer.block_index);
            push_range(ranges, inner.end + 1, block_index);
        }
    };
    for network in networks {
        close_until(&mut enclosing, &mut ranges, network.start);
        push_range(&mut ranges, network.start, network.block_index);
        enclosing.push(network);
    }
    while let Some(inner) = enclosing.pop() {
        if inner.end < last_address {
            push_range(
                &mut ranges,
                inner.end + 1,
                enclosing.last().map_or(NO_BLOCK, |outer| outer.block_index),
            );
        }
    }
    ranges.into_iter()
}

fn push_range(ranges: &mut Vec<(u128, u32)>, start: u128, block_index: u32) {
    ranges.pop_if(|last| last.0 == start);
    ranges.push((start, block_index));
}
