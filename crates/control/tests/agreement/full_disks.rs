//! Commands while the disks of the voters are full for some seconds each, one after another.

use super::cluster::Cluster;
use super::disk_losses::{VOTERS, group, propose};

const SEEDS: std::ops::RangeInclusive<u64> = 1..=40;
/// Longest time without an accepted command, also while a disk is full. A leader whose disk is full is
/// replaced after an election time-out of 1 to 2 s, and a failed election is repeated after up to 1 s.
const ACCEPT_TIMEOUT_MS: u64 = 4_000;
/// Time for which a sixth VM has joined before a voter leaves.
const RECOVERY_MS: u64 = 15_000;

/// A group to which commands are proposed all the time.
struct Play {
    cluster: Cluster,
    accepted: usize,
    accepted_at_ms: u64,
    longest_wait_ms: u64,
}

impl Play {
    fn start(seed: u64) -> Self {
        let mut play =
            Self { cluster: group(seed), accepted: 0, accepted_at_ms: 0, longest_wait_ms: 0 };
        play.run(2_000, None);
        play.longest_wait_ms = 0;
        play
    }

    fn now_ms(&self) -> u64 {
        self.cluster.clock.elapsed().as_millis() as u64
    }

    /// Runs and proposes a command every 100 ms, while the disk of a VM may be full.
    fn run(&mut self, ms: u64, full: Option<usize>) {
        let end_ms = self.now_ms() + ms;
        while self.now_ms() < end_ms {
            full.into_iter().for_each(|vm| self.cluster.keep_unsynced_writes(vm));
            propose(&mut self.cluster);
            self.cluster.run(100);
            let accepted = self.cluster.accepted.len();
            if accepted > self.accepted {
                (self.accepted, self.accepted_at_ms) = (accepted, self.now_ms());
            }
            self.longest_wait_ms = self.longest_wait_ms.max(self.now_ms() - self.accepted_at_ms);
        }
    }

    /// Fills one disk after another. A leader is hit more often than the others.
    fn fill_in_turn(&mut self) {
        let first = self.cluster.random_below(VOTERS as u64) as usize;
        for turn in 0..VOTERS + self.cluster.random_below(6) as usize {
            let leader = self.cluster.leader().filter(|_| self.cluster.random_below(3) == 0);
            let vm = leader.unwrap_or((first + turn) % VOTERS);
            let room_bytes = self.cluster.random_below(600) as usize;
            let (full_ms, gap_ms) =
                (500 + self.cluster.random_below(4_500), self.cluster.random_below(1_000));
            self.cluster.vms[vm].disk.fill(room_bytes);
            self.run(full_ms, Some(vm));
            self.cluster.vms[vm].disk.make_room();
            self.run(gap_ms, None);
        }
    }
}

/// Guards against a voter that does not return to the group after its disk was full, so that changes are
/// refused for good once that has happened to three of them.
#[test]
fn fill_disks_in_turn() {
    for seed in SEEDS {
        let mut play = Play::start(seed);
        play.fill_in_turn();
        play.run(ACCEPT_TIMEOUT_MS, None);
        let waited_ms = play.longest_wait_ms;
        assert!(waited_ms < ACCEPT_TIMEOUT_MS, "seed {seed}: {waited_ms} ms without a command");
        play.cluster.heal_and_check();
    }
}

/// Guards against voters that are replaced because of their full disks and do not return, while a sixth
/// VM waits to be promoted.
#[test]
fn fill_disks_in_turn_beside_learner() {
    for seed in SEEDS {
        let mut play = Play::start(seed);
        play.cluster.join(VOTERS);
        play.fill_in_turn();
        play.run(RECOVERY_MS, None);
        let waited_ms = play.longest_wait_ms;
        assert!(waited_ms < ACCEPT_TIMEOUT_MS, "seed {seed}: {waited_ms} ms without a command");
        let leaving = (0..=VOTERS).find(|vm| play.cluster.is_voter(*vm)).expect("a voter");
        play.cluster.leave(leaving);
        play.cluster.heal_and_check();
    }
}
