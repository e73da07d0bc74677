//! Consensus of several replicas under faults.
//!
//! `support/cluster.rs` checks these invariants all the time: an accepted command is never lost or
//! reverted, and is applied once and in the same order on every VM; at most one VM holds a lease,
//! and it has applied everything that was accepted.

#[path = "support/cluster.rs"]
mod cluster;
#[path = "agreement/disk_losses.rs"]
mod disk_losses;
#[path = "agreement/drawn_losses.rs"]
mod drawn_losses;
#[path = "agreement/founding.rs"]
mod founding;
#[path = "agreement/full_disks.rs"]
mod full_disks;

use celerygate_control::storage::memory::TornWrite;
use cluster::Cluster;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

#[derive(Clone, Debug)]
enum Fault {
    Run { ms: u64 },
    Propose { vm: usize, count: usize },
    CutLink { from: usize, to: usize, both_directions: bool },
    Isolate { vm: usize },
    HealNetwork,
    DegradeNetwork { loss_percent: u64, delay_ms: u64 },
    Crash { vm: usize, torn_write: TornWrite, down_ms: u64 },
    CrashAtWrite { vm: usize, before: u64, takes_effect: bool, torn_write: TornWrite },
    FailSync { vm: usize },
    Pause { vm: usize, ms: u64 },
    AdvanceClock { ms: u64 },
    LoseDisk { vm: usize },
}

fn torn_write() -> impl Strategy<Value = TornWrite> {
    prop_oneof![
        Just(TornWrite::Discard),
        Just(TornWrite::Keep),
        any::<usize>().prop_map(TornWrite::Prefix),
        any::<usize>().prop_map(TornWrite::ZeroSector),
    ]
}

fn fault() -> impl Strategy<Value = Fault> {
    let vm = 0..5_usize;
    prop_oneof![
        8 => (10..1_500_u64).prop_map(|ms| Fault::Run { ms }),
        6 => (vm.clone(), 1..8_usize).prop_map(|(vm, count)| Fault::Propose { vm, count }),
        2 => (vm.clone(), vm.clone(), any::<bool>())
            .prop_map(|(from, to, both_directions)| Fault::CutLink { from, to, both_directions }),
        2 => vm.clone().prop_map(|vm| Fault::Isolate { vm }),
        2 => Just(Fault::HealNetwork),
        1 => (0..30_u64, 1..400_u64)
            .prop_map(|(loss_percent, delay_ms)| Fault::DegradeNetwork { loss_percent, delay_ms }),
        2 => (vm.clone(), torn_write(), 0..3_000_u64)
            .prop_map(|(vm, torn_write, down_ms)| Fault::Crash { vm, torn_write, down_ms }),
        3 => (vm.clone(), 0..8_u64, any::<bool>(), torn_write()).prop_map(
            |(vm, before, takes_effect, torn_write)| Fault::CrashAtWrite {
                vm, before, takes_effect, torn_write
            }
        ),
        1 => vm.clone().prop_map(|vm| Fault::FailSync { vm }),
        1 => (vm.clone(), 100..3_000_u64).prop_map(|(vm, ms)| Fault::Pause { vm, ms }),
        1 => (100..3_000_u64).prop_map(|ms| Fault::AdvanceClock { ms }),
        2 => vm.prop_map(|vm| Fault::LoseDisk { vm }),
    ]
}

fn inject(cluster: &mut Cluster, fault: Fault) {
    let count = cluster.vms.len();
    match fault {
        Fault::Run { ms } => cluster.run(ms),
        Fault::Propose { vm, count: proposals } => {
            let vm = cluster.leader().unwrap_or(vm % count);
            (0..proposals).for_each(|_| cluster.propose(vm));
        }
        Fault::CutLink { from, to, both_directions } => {
            cluster.cut_links.insert((from % count, to % count));
            if both_directions {
                cluster.cut_links.insert((to % count, from % count));
            }
        }
        Fault::Isolate { vm } => {
            let vm = cluster.leader().unwrap_or(vm % count);
            cluster.cut_links.extend((0..count).flat_map(|other| [(vm, other), (other, vm)]));
        }
        Fault::HealNetwork => cluster.cut_links.clear(),
        Fault::DegradeNetwork { loss_percent, delay_ms } => {
            (cluster.loss_percent, cluster.delay_ms) = (loss_percent, delay_ms);
        }
        Fault::Crash { vm, torn_write, down_ms } => cluster.crash(vm % count, torn_write, down_ms),
        Fault::CrashAtWrite { vm, before, takes_effect, torn_write } => {
            cluster.crash_at_write(vm % count, before, takes_effect, torn_write);
        }
        Fault::FailSync { vm } => cluster.vms[vm % count].disk.fail_next_sync(),
        Fault::Pause { vm, ms } => cluster.pause(vm % count, ms),
        Fault::AdvanceClock { ms } => cluster.clock.advance(std::time::Duration::from_millis(ms)),
        Fault::LoseDisk { vm } => {
            cluster.lose_disk(vm % count);
        }
    }
}

fn started_cluster(count: usize, seed: u64) -> Cluster {
    let mut cluster = Cluster::new(count, count, seed);
    cluster.run_until("the group is created", Cluster::has_expected_voters);
    cluster
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        rng_seed: RngSeed::Fixed(20_261_204),
        failure_persistence: None,
        max_shrink_iters: 100,
        ..ProptestConfig::default()
    })]

    /// Guards against any interleaving of faults that breaks an invariant, or from which the group
    /// does not recover.
    #[test]
    fn cluster_random_faults(
        count in 3..6_usize,
        seed in any::<u64>(),
        faults in prop::collection::vec(fault(), 10..60),
    ) {
        let mut cluster = started_cluster(count, seed);
        faults.into_iter().for_each(|fault| inject(&mut cluster, fault));
        cluster.heal_and_check();
    }
}

/// Guards against an interrupted write that leaves the data folder unreadable or loses an accepted
/// command.
#[test]
fn cluster_crash_at_every_write() {
    let torn_writes =
        [TornWrite::Discard, TornWrite::Keep, TornWrite::Prefix(40), TornWrite::ZeroSector(1)];
    for (write, vm) in (0..24).flat_map(|write| (0..3).map(move |vm| (write, vm))) {
        for takes_effect in [false, true] {
            let mut cluster = Cluster::new(3, 3, write);
            let torn_write = torn_writes[(write as usize + vm) % torn_writes.len()];
            cluster.crash_at_write(vm, write, takes_effect, torn_write);
            for _ in 0..12 {
                cluster.run(400);
                if let Some(leader) = cluster.leader() {
                    cluster.propose(leader);
                }
            }
            cluster.heal_and_check();
        }
    }
}

/// Guards against counting a replacement VM as a voter before it has the log: after a second loss,
/// only the replacement and one original voter remain.
#[test]
fn cluster_second_loss_after_replacement() {
    for seed in 0..20 {
        let mut cluster = Cluster::new(4, 3, seed);
        cluster.run_until("the group is created", Cluster::has_expected_voters);
        for _ in 0..10 {
            if let Some(leader) = cluster.leader() {
                cluster.propose(leader);
            }
            cluster.run(100);
        }
        let lost = (seed % 3) as usize;
        cluster.crash(lost, TornWrite::Discard, u64::from(u32::MAX));
        cluster.excluded_vms = [cluster::vm_id(lost)].into();
        cluster.run_until("the VM is replaced", Cluster::has_expected_voters);
        cluster.run(1_000);
        let second = (lost + 1) % 3;
        assert!(cluster.lose_disk(second), "the second loss was not allowed");
        // The first lost VM returns with its old log, which still lists it as a voter.
        cluster.restart(lost);
        cluster.heal_and_check();
        assert!(cluster.accepted.len() >= 10, "accepted {}", cluster.accepted.len());
    }
}

/// Guards against a voter that restarts and then votes for a new leader during a lease that it
/// acknowledged before the restart.
#[test]
fn cluster_restarted_voter() {
    for seed in 0..100 {
        let mut cluster = started_cluster(3, seed);
        let old = cluster.leader().unwrap();
        let (voter, restarted) = ((old + 1) % 3, (old + 2) % 3);
        cluster.cut_links.extend([(old, voter), (voter, old)]);
        cluster.run(3_000 + seed * 17);
        cluster.crash(restarted, TornWrite::Discard, 10);
        cluster.cut_links.extend([(old, restarted), (restarted, old)]);
        cluster.run(3_000);
        cluster.heal_and_check();
    }
}

/// Guards against an old leader that keeps its lease, and so confirms freshness, while a new leader
/// accepts changes.
#[test]
fn cluster_isolated_leader() {
    for seed in 0..20 {
        let mut cluster = started_cluster(3, seed);
        let old = cluster.leader().unwrap();
        cluster.propose(old);
        cluster.run(500);
        inject(&mut cluster, Fault::Isolate { vm: old });
        cluster.propose(old);
        cluster.run_until("another VM holds a lease", |cluster| {
            cluster.lease_holders.last().is_some_and(|holder| *holder != old)
        });
        cluster.run(5_000);
        let new = cluster.leader().unwrap();
        assert_ne!(new, old);
        cluster.propose(new);
        cluster.heal_and_check();
    }
}

/// Guards against a VM that raises the term when it returns from a network partition, or when it
/// can send but not receive, and so deposes a working leader.
#[test]
fn cluster_returning_vm_keeps_leader() {
    for seed in 0..40 {
        let mut cluster = started_cluster(3, seed);
        let leader = cluster.leader().unwrap();
        let term = cluster.vms[leader].node.as_ref().unwrap().replica().term();
        let cut = (leader + 1) % 3;
        cluster.cut_links.extend((0..3).flat_map(|other| [(cut, other), (other, cut)]));
        cluster.run(4_000 + seed * 90);
        cluster.cut_links.retain(|(_, to)| *to == cut);
        cluster.run(4_000);
        cluster.cut_links.clear();
        cluster.run(3_000);
        assert_eq!(cluster.leader(), Some(leader), "seed {seed}");
        assert_eq!(cluster.vms[cut].node.as_ref().unwrap().replica().term(), term, "seed {seed}");
    }
}
