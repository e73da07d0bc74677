//! Acknowledged commands after the loss of two of five disks while all other VMs lose power.
//!
//! A VM counts as lost from its loss until [`CATCH_UP_MS`] after it is back, and a VM that left
//! until its successor has run that long. No more than two VMs are lost at the same time.

use celerygate_control::membership::GroupSize;
use celerygate_control::storage::memory::TornWrite;

use super::cluster::{self, Cluster};

pub const VOTERS: usize = 5;
pub const LOST_DISKS_MAX: usize = 2;
/// Time for which a VM that is back still counts as lost.
pub const CATCH_UP_MS: u64 = 4_000;
/// Time between the stop signal and the end of a control VM's process.
pub const SHUTDOWN_MS: u64 = 320;

/// Moments of the loss: times after the proposal, or the acknowledgement.
const MOMENTS_MS: [Option<u64>; 7] =
    [None, Some(0), Some(10), Some(20), Some(30), Some(50), Some(100)];
const TORN_WRITES: [TornWrite; 4] =
    [TornWrite::Discard, TornWrite::Keep, TornWrite::Prefix(0x2d), TornWrite::ZeroSector(0x53)];

/// Returns a group of five voters, with a sixth VM that has not joined.
pub fn group(seed: u64) -> Cluster {
    let mut cluster = Cluster::new(VOTERS + 1, VOTERS, seed);
    cluster.group_size = Some(GroupSize::for_lost_disks(LOST_DISKS_MAX));
    cluster.run_until("the group is created", Cluster::has_expected_voters);
    cluster.run_until("a leader is elected", |cluster| cluster.leader().is_some());
    cluster
}

/// All choices of up to two of the VMs.
fn up_to_two(vms: &[usize]) -> Vec<Vec<usize>> {
    let pairs = vms.iter().flat_map(|first| vms.iter().map(move |second| (*first, *second)));
    let pairs = pairs.filter(|(first, second)| first < second);
    let singles = vms.iter().map(|vm| vec![*vm]);
    std::iter::once(vec![]).chain(singles).chain(pairs.map(|(a, b)| vec![a, b])).collect()
}

pub fn propose(cluster: &mut Cluster) {
    if let Some(leader) = cluster.leader() {
        cluster.propose(leader);
    }
}

/// Proposes a command and runs until it is acknowledged.
pub fn acknowledge(cluster: &mut Cluster) {
    let before = cluster.accepted.len();
    for _ in 0..600 {
        propose(cluster);
        for _ in 0..10 {
            cluster.run(10);
            if cluster.accepted.len() > before {
                return;
            }
        }
    }
    panic!("no command was acknowledged within a minute");
}

/// Guards against a change that is acknowledged before its entry is synced on enough disks, at the
/// moment of the acknowledgement and at moments after the proposal, in several torn writes.
#[test]
fn lose_power_after_proposal() {
    let vms: Vec<usize> = (0..VOTERS).collect();
    for (number, wiped) in up_to_two(&vms).into_iter().enumerate() {
        for (moment, delay_ms) in MOMENTS_MS.into_iter().enumerate() {
            let seed = number as u64;
            let mut cluster = group(seed);
            (0..number % 9).for_each(|_| acknowledge(&mut cluster));
            match delay_ms {
                None => acknowledge(&mut cluster),
                Some(delay_ms) => {
                    propose(&mut cluster);
                    cluster.run(delay_ms);
                }
            }
            cluster.lose_power(&wiped, TORN_WRITES[(number + moment) % TORN_WRITES.len()]);
            cluster.heal_and_check();
        }
    }
}

/// Guards against a voter whose process was killed during a write and that acknowledges bytes that
/// are only in the page cache. The other followers are cut off, so that the quorum needs both
/// killed voters.
#[test]
fn lose_power_after_killed_writes() {
    for seed in 0..10 {
        for write in 0..2 {
            let mut cluster = group(seed);
            acknowledge(&mut cluster);
            cluster.run(1_000);
            let leader = cluster.leader().unwrap();
            let followers: Vec<usize> = (0..VOTERS).filter(|vm| *vm != leader).collect();
            let (killed, cut) = followers.split_at(2);
            for vm in cut {
                cluster.cut_links.extend([(leader, *vm), (*vm, leader)]);
            }
            for vm in killed {
                cluster.end_process_at_write(*vm, write);
            }
            let before = cluster.accepted.len();
            propose(&mut cluster);
            cluster.run_until("acknowledged", |cluster| cluster.accepted.len() > before);
            cluster.cut_links.clear();
            cluster.lose_power(&[leader, killed[0]], TornWrite::Discard);
            cluster.heal_and_check();
        }
    }
}

/// Guards against a lost disk that is not replaced in the group by the time at which two more may
/// be lost.
#[test]
fn lose_power_after_lost_disk() {
    for seed in 0..VOTERS as u64 * 2 {
        let first = seed as usize % VOTERS;
        let others: Vec<usize> = (0..VOTERS).filter(|vm| *vm != first).collect();
        for delay_ms in [0, 300, 900, 1_600, 2_500, 1_000 + CATCH_UP_MS] {
            let mut cluster = group(seed);
            acknowledge(&mut cluster);
            cluster.wipe(first, 1_000);
            cluster.run(delay_ms);
            propose(&mut cluster);
            cluster.run(40);
            if delay_ms < 1_000 + CATCH_UP_MS {
                let second = others[delay_ms as usize / 100 % others.len()];
                cluster.lose_power(&[second], TornWrite::Discard);
                cluster.heal_and_check();
                continue;
            }
            let wiped = [others[seed as usize % 4], others[(seed as usize + 1) % 4]];
            acknowledge(&mut cluster);
            cluster.lose_power(&wiped, TornWrite::Discard);
            cluster.heal_and_check();
        }
    }
}

/// Guards against a voter that has left after its successor was ready and that still counts for the
/// quorum: two lost disks then leave two voters of five, and no leader is elected again.
#[test]
fn lose_power_after_planned_replacement() {
    for seed in 0..VOTERS as u64 * 2 {
        let old = seed as usize % VOTERS;
        let others: Vec<usize> = (0..=VOTERS).filter(|vm| *vm != old).collect();
        for (number, wiped) in up_to_two(&others).into_iter().enumerate() {
            let mut cluster = group(seed);
            cluster.join(VOTERS);
            cluster.run(CATCH_UP_MS);
            acknowledge(&mut cluster);
            cluster.leaving_vms.insert(cluster::vm_id(old));
            cluster.run(SHUTDOWN_MS);
            cluster.leave(old);
            if number % 2 == 0 {
                acknowledge(&mut cluster);
            }
            cluster.lose_power(&wiped, TornWrite::Discard);
            cluster.heal_and_check();
        }
    }
}

/// Guards against a voter that was lost for good and still counts for the quorum once its
/// successor has had the time to catch up.
#[test]
fn lose_power_after_unplanned_replacement() {
    for seed in 0..VOTERS as u64 * 4 {
        let old = seed as usize % VOTERS;
        let others: Vec<usize> = (0..=VOTERS).filter(|vm| *vm != old).collect();
        let mut cluster = group(seed);
        acknowledge(&mut cluster);
        cluster.leave(old);
        cluster.run(1_000);
        cluster.join(VOTERS);
        cluster.run(CATCH_UP_MS);
        acknowledge(&mut cluster);
        let wiped = [others[seed as usize % VOTERS], others[(seed as usize + 2) % VOTERS]];
        cluster.lose_power(&wiped, TornWrite::Discard);
        cluster.heal_and_check();
    }
}

/// Guards against a leader that is lost for good and still counts for the quorum once its successor
/// has had the time to catch up, because the time for the election comes on top.
#[test]
fn lose_power_after_lost_leader() {
    for seed in 0..48 {
        let mut cluster = group(seed);
        acknowledge(&mut cluster);
        cluster.run(1_000);
        let old = cluster.leader().expect("a leader");
        let others: Vec<usize> = (0..=VOTERS).filter(|vm| *vm != old).collect();
        cluster.leave(old);
        cluster.run([0, 200, 500][seed as usize % 3]);
        cluster.join(VOTERS);
        cluster.run(CATCH_UP_MS);
        let wiped = [others[seed as usize % VOTERS], others[(seed as usize + 2) % VOTERS]];
        cluster.lose_power(&wiped, TornWrite::Discard);
        cluster.heal_and_check();
    }
}
