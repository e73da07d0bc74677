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
    starts_v4: Vec<u32>,
    owners_v4: Vec<u32>,
    starts_v6: Vec<u128>,
    owners_v6: Vec<u32>,
    hashes: Vec<u64>,
    homes: Vec<u16>,
    regions: Vec<RegionId>,
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
            let owner = u32::try_from(table.hashes.len()).unwrap_or(NO_BLOCK);
            table.hashes.push(id_hash(&network.to_string()));
            let home = table.intern(&block.region);
            table.homes.push(home);
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
        for (start, owner) in flatten(v4, u128::from(u32::MAX)) {
            // The ranges were made from 32-bit addresses.
            table.starts_v4.push(start as u32);
            table.owners_v4.push(owner);
        }
        (table.starts_v6, table.owners_v6) = flatten(v6, u128::MAX).into_iter().unzip();
        table.shrink();
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

    fn shrink(&mut self) {
        self.starts_v4.shrink_to_fit();
        self.owners_v4.shrink_to_fit();
        self.starts_v6.shrink_to_fit();
        self.owners_v6.shrink_to_fit();
        self.hashes.shrink_to_fit();
        self.homes.shrink_to_fit();
    }

    /// Returns the number of configured networks.
    pub fn len(&self) -> usize {
        self.hashes.len()
    }

    /// Returns whether no network is configured.
    pub fn is_empty(&self) -> bool {
        self.hashes.is_empty()
    }

    /// Returns the bytes that the table holds on the heap.
    pub fn heap_bytes(&self) -> usize {
        self.starts_v4.capacity() * size_of::<u32>()
            + self.owners_v4.capacity() * size_of::<u32>()
            + self.starts_v6.capacity() * size_of::<u128>()
            + self.owners_v6.capacity() * size_of::<u32>()
            + self.hashes.capacity() * size_of::<u64>()
            + self.homes.capacity() * size_of::<u16>()
            + self.regions.capacity() * size_of::<RegionId>()
    }

    /// Returns the block of an address.
    ///
    /// Addresses outside the table are grouped by /24 or /48, so that the callers of one network
    /// get the same answer.
    pub fn find(&self, client: IpAddr) -> Block {
        let owner = match client.to_canonical() {
            IpAddr::V4(address) => owner_of(&self.starts_v4, &self.owners_v4, address.into()),
            IpAddr::V6(address) => owner_of(&self.starts_v6, &self.owners_v6, address.into()),
        };
        let Some(at) = owner else {
            return Block { hash: group_hash(client.to_canonical()), home: None };
        };
        let home = self.regions.get(usize::from(self.homes[at])).cloned();
        Block { hash: self.hashes[at], home }
    }
}

fn owner_of<A: Ord>(starts: &[A], owners: &[u32], address: A) -> Option<usize> {
    let after = starts.partition_point(|start| *start <= address);
    let owner = *owners.get(after.checked_sub(1)?)?;
    (owner != NO_BLOCK).then_some(owner as usize)
}

fn group_hash(client: IpAddr) -> u64 {
    match client {
        IpAddr::V4(address) => mix(4, u64::from(u32::from(address) >> (32 - GROUP_BITS_V4))),
        IpAddr::V6(address) => mix(6, (u128::from(address) >> (128 - GROUP_BITS_V6)) as u64),
    }
}

/// Turns nested networks into disjoint ranges, each given by its start and ending at the next one.
fn flatten(mut networks: Vec<Network>, last_address: u128) -> Vec<(u128, u32)> {
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
    ranges
}

fn begin(ranges: &mut Vec<(u128, u32)>, start: u128, owner: u32) {
    ranges.pop_if(|last| last.0 == start);
    ranges.push((start, owner));
}
