//! Tests of the selection of parents and of sending and receiving updates.

use std::collections::BTreeSet;

use celerygate_types::wire::{
    Change, Command, ConfigurationDelta, ConfigurationSnapshot, ConfirmCommand, IntentKind,
    Organisation, Plan, PlanStep, ProposeCommand, RateIntent,
};
use celerygate_types::{RequestCount, RequestRate, Revision, Term};
use proptest::prelude::*;
use proptest::test_runner::{Config as ProptestConfig, RngSeed};

use super::*;
use crate::state::{self, apply, digest, empty_configuration};

fn vm(number: usize) -> VmId {
    format!("vm-{number:03}").parse().unwrap()
}

/// Returns a configuration in which every seventh of the first 49 VMs is a voter.
fn members(count: usize, data_centres: usize) -> Configuration {
    let mut configuration = empty_configuration();
    configuration.members.extend((0..count).map(|number| Member {
        callers_address: "127.0.0.1:1".into(),
        data_centre: format!("dc-{}", number % data_centres).parse().unwrap(),
        operators_address: "127.0.0.1:2".into(),
        peer_address: "127.0.0.1:3".into(),
        region: "a".parse().unwrap(),
        role: if number < 49 && number % 7 == 0 { MemberRole::Voter } else { MemberRole::Follower },
        store_id: None,
        vm: vm(number),
    }));
    configuration
}

fn bootstrapped() -> Configuration {
    let mut first = empty_configuration();
    first.organisations = vec![Organisation {
        burst_requests: RequestCount(1),
        keys: Vec::new(),
        organisation: "granite".parse().unwrap(),
        rate_requests_per_s: RequestRate(0),
        weight: 1,
    }];
    let mut configuration = empty_configuration();
    apply(&mut configuration, &Command::Bootstrap(first));
    configuration
}

/// Returns the commands that propose and confirm a change of a rate.
fn rate_commands(number: u64, based_on: Revision) -> [Command; 2] {
    let rate = RateIntent {
        burst_requests: RequestCount(1),
        organisation: "granite".parse().unwrap(),
        rate_requests_per_s: RequestRate(number),
    };
    let changes = vec![Change::Rate(rate.clone())];
    let step = PlanStep { changes, links: Vec::new(), note: "".into(), regions: Vec::new() };
    let intent: celerygate_types::IntentId = format!("intent-{number}").parse().unwrap();
    let propose = ProposeCommand {
        at_unix_ms: 0,
        based_on,
        intent: intent.clone(),
        kind: IntentKind::Rate(rate),
        plan: Plan { refusal: None, risks: Vec::new(), steps: vec![step] },
    };
    let confirm = ConfirmCommand { at_unix_ms: 0, based_on, intent };
    [Command::Propose(propose), Command::Confirm(confirm)]
}

/// A parent that applies commands and retains them for its children.
struct TestParent {
    configuration: Configuration,
    recent: RecentCommands,
}

impl TestParent {
    fn new() -> Self {
        let configuration = bootstrapped();
        let recent = RecentCommands::new(&configuration);
        Self { configuration, recent }
    }

    fn apply(&mut self, command: &Command) {
        let outcome = apply(&mut self.configuration, command);
        self.recent.push(&self.configuration, command, &outcome);
    }

    fn change(&mut self, number: u64) {
        let commands = rate_commands(number, self.configuration.revision);
        commands.iter().for_each(|command| self.apply(command));
    }

    fn update(&self, child: &Configuration, digest: u64) -> Update {
        self.recent.update_for(&self.configuration, Term(1), child.revision, digest)
    }
}

fn receive(child: &Configuration, update: Update) -> ReceiveOutcome {
    match update {
        Update::UpToDate => ReceiveOutcome::AlreadyApplied,
        Update::Delta(delta) => receive_delta(child, Term(1), &delta),
        Update::Snapshot(snapshot) => receive_snapshot(child, Term(1), *snapshot),
    }
}

/// Guards against a deployment of more than 32 daemons in which daemons with a relay poll the
/// leader.
#[test]
fn select_parent_sizes() {
    let leader = vm(0);
    let small = members(32, 2);
    let large = members(700, 20);
    let parent = |configuration: &Configuration, own: usize| {
        select_parent(configuration, &vm(own), Some(&leader), |_| true).unwrap()
    };
    assert!((1..32).all(|own| parent(&small, own) == Parent::Leader(leader.clone())));
    assert_eq!(parent(&small, 0), Parent::Root);
    let parents: Vec<Parent> = (0..700).map(|own| parent(&large, own)).collect();
    let of_leader = parents.iter().filter(|parent| **parent == Parent::Leader(leader.clone()));
    // 20 relays and the 6 voters that are not the leader.
    assert_eq!(of_leader.count(), 26);
    let relays: BTreeSet<String> = parents
        .iter()
        .filter_map(|parent| match parent {
            Parent::Relay(relay) => Some(relay.to_string()),
            _ => None,
        })
        .collect();
    assert_eq!(relays.len(), 20);
    // Daemons with different builds must select the same relay.
    expect_test::expect!["vm-050"].assert_eq(relays.iter().next().unwrap());
    assert_eq!(select_parent(&large, &vm(1), None, |_| true), None);
}

/// Guards against daemons that keep a dead relay as their parent, and against the loss of a relay
/// that changes the parents in other data centres.
#[test]
fn select_parent_dead_relay() {
    let large = members(700, 20);
    let parent = |own: usize, dead: Option<&VmId>| {
        let is_live = |vm: &VmId| Some(vm) != dead;
        select_parent(&large, &vm(own), Some(&vm(0)), is_live).unwrap()
    };
    let Parent::Relay(relay) = parent(1, None) else { panic!("vm-001 is a relay") };
    for own in (1..700).filter(|own| vm(*own) != relay) {
        let (before, after) = (parent(own, None), parent(own, Some(&relay)));
        assert_ne!(after, Parent::Relay(relay.clone()));
        assert!(before == after || before == Parent::Relay(relay.clone()));
    }
}

/// Guards against poll delays outside their range and against simultaneous first polls.
#[test]
fn poll_delay_bounds() {
    let delays = [0, u32::MAX / 2, u32::MAX].map(|random| poll_delay(random).as_millis());
    assert_eq!(delays, [400, 500, 600]);
    let first = [0, u32::MAX].map(|random| first_poll_delay(random).as_millis());
    assert_eq!(first, [0, 500]);
}

/// Guards against a daemon that cannot catch up after many missed changes, or that gets a snapshot
/// although deltas suffice.
#[test]
fn update_for_missed_changes() {
    let mut parent = TestParent::new();
    let old = parent.configuration.clone();
    (1..=500).for_each(|number| parent.change(number));
    let update = parent.update(&old, digest(&old));
    assert!(matches!(&update, Update::Delta(delta) if delta.commands.len() == 1_000));
    let outcome = receive(&old, update);
    assert_eq!(outcome, ReceiveOutcome::Applied(Box::new(parent.configuration.clone())));
    (501..=1_000).for_each(|number| parent.change(number));
    assert!(matches!(parent.update(&old, digest(&old)), Update::Delta(_)));
    parent.change(1_001);
    assert!(matches!(parent.update(&old, digest(&old)), Update::Snapshot(_)));
}

/// Guards against a daemon that keeps a corrupted configuration at the expected revision.
#[test]
fn update_for_other_digest() {
    let mut parent = TestParent::new();
    let mut child = parent.configuration.clone();
    child.organisations[0].weight = 9;
    let repaired = receive(&child, parent.update(&child, digest(&child)));
    assert_eq!(repaired, ReceiveOutcome::Applied(Box::new(parent.configuration.clone())));
    let intact = parent.configuration.clone();
    parent.change(1);
    // The configuration was corrupted after its digest was computed: the delta must be refused.
    let delta = parent.update(&child, digest(&intact));
    assert_eq!(receive(&child, delta), ReceiveOutcome::DigestDiffers);
    assert!(matches!(parent.update(&child, DIGEST_UNKNOWN), Update::Snapshot(_)));
}

/// Guards against a daemon that returns to an older revision or skips commands because of a message
/// that is late or comes from a replaced leader.
#[test]
fn receive_older_or_gap() {
    let mut parent = TestParent::new();
    let old = parent.configuration.clone();
    parent.change(1);
    let child = parent.configuration.clone();
    parent.change(2);
    let delta = |child: &Configuration| match parent.update(child, digest(child)) {
        Update::Delta(delta) => delta,
        other => panic!("{other:?}"),
    };
    let (long, short): (ConfigurationDelta, ConfigurationDelta) = (delta(&old), delta(&child));
    assert_eq!(receive_delta(&child, Term(2), &short), ReceiveOutcome::Older);
    assert_eq!(receive_delta(&child, Term(1), &long), ReceiveOutcome::OtherBase(Revision(2)));
    assert_eq!(receive_delta(&old, Term(1), &short), ReceiveOutcome::OtherBase(Revision(1)));
    assert_eq!(
        receive_delta(&parent.configuration, Term(1), &long),
        ReceiveOutcome::AlreadyApplied
    );
    let snapshot = ConfigurationSnapshot { configuration: old, term: Term(1) };
    assert_eq!(receive_snapshot(&child, Term(1), snapshot.clone()), ReceiveOutcome::Older);
    let newer = ConfigurationSnapshot { configuration: parent.configuration.clone(), ..snapshot };
    assert_eq!(receive_snapshot(&child, Term(2), newer), ReceiveOutcome::Older);
}

/// Guards against a relay that can send only snapshots, or that sends other commands than it
/// received.
#[test]
fn update_for_child_of_relay() {
    let mut upstream = TestParent::new();
    let mut relay = TestParent::new();
    let child = relay.configuration.clone();
    for number in 1..=3 {
        upstream.change(number);
        let update = upstream.update(&relay.configuration, digest(&relay.configuration));
        let Update::Delta(delta) = update else { panic!("no delta") };
        let outcome = receive_delta(&relay.configuration, Term(1), &delta);
        let ReceiveOutcome::Applied(next) = outcome else { panic!("{outcome:?}") };
        relay.recent.push_delta(&relay.configuration, &delta);
        relay.configuration = *next;
    }
    let update = relay.update(&child, digest(&child));
    assert!(matches!(&update, Update::Delta(delta) if delta.commands.len() == 6));
    let outcome = receive(&child, update);
    assert_eq!(outcome, ReceiveOutcome::Applied(Box::new(upstream.configuration.clone())));
}

/// Guards against deltas that contain refused commands.
#[test]
fn update_for_refused_command() {
    let mut upstream = TestParent::new();
    let child = upstream.configuration.clone();
    upstream.change(1);
    let [_, confirm] = rate_commands(2, Revision(1));
    upstream.apply(&confirm);
    upstream.change(3);
    let Update::Delta(delta) = upstream.update(&child, digest(&child)) else { panic!("no delta") };
    assert_eq!((delta.commands.len(), delta.commands.contains(&confirm)), (4, false));
}

/// Guards against a delta that exceeds the frame size, which would stop a daemon from ever catching
/// up.
#[test]
fn update_for_large_commands() {
    let mut parent = TestParent::new();
    let mut child = parent.configuration.clone();
    for number in 1..=40 {
        let [mut propose, confirm] = rate_commands(number, parent.configuration.revision);
        if let Command::Propose(propose) = &mut propose {
            propose.plan.risks = vec!["x".repeat(100_000).into()];
        }
        [propose, confirm].iter().for_each(|command| parent.apply(command));
    }
    let mut rounds = 0;
    while child.revision < parent.configuration.revision {
        let update = parent.update(&child, digest(&child));
        if let Update::Delta(delta) = &update {
            assert!(postcard::to_stdvec(delta).unwrap().len() < 1024 * 1024);
        }
        let ReceiveOutcome::Applied(next) = receive(&child, update) else { panic!("not applied") };
        child = *next;
        rounds += 1;
    }
    assert_eq!((child, rounds), (parent.configuration, 5));
}

#[derive(Clone, Debug)]
enum Operation {
    Propose,
    Confirm { nth_latest: usize },
    Poll { child: usize },
    Deliver { child: usize, position: usize },
    Restart { child: usize },
    DropRecent,
}

fn any_operation() -> impl Strategy<Value = Operation> {
    let child = 0..3_usize;
    prop_oneof![
        3 => Just(Operation::Propose),
        3 => (0..3_usize).prop_map(|nth_latest| Operation::Confirm { nth_latest }),
        4 => child.clone().prop_map(|child| Operation::Poll { child }),
        2 => (child.clone(), any::<usize>())
            .prop_map(|(child, position)| Operation::Deliver { child, position }),
        1 => child.prop_map(|child| Operation::Restart { child }),
        1 => Just(Operation::DropRecent),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        rng_seed: RngSeed::Fixed(20_261_204),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against children that differ from their parent at the same revision, return to an
    /// older revision or never catch up, when updates are late, repeated or lost and both ends
    /// restart.
    #[test]
    fn updates_random_order(operations in prop::collection::vec(any_operation(), 1..80)) {
        let mut parent = TestParent::new();
        let mut children = vec![(bootstrapped(), false); 3];
        let mut sent: Vec<Update> = Vec::new();
        let mut proposed: Vec<[Command; 2]> = Vec::new();
        let deliver = |child: &mut (Configuration, bool), update: Update| {
            match receive(&child.0, update) {
                ReceiveOutcome::Applied(next) => *child = (*next, false),
                ReceiveOutcome::DigestDiffers => child.1 = true,
                _ => {}
            }
        };
        let poll = |parent: &TestParent, child: &(Configuration, bool)| {
            let stated_digest = if child.1 { DIGEST_UNKNOWN } else { digest(&child.0) };
            parent.update(&child.0, stated_digest)
        };
        for operation in operations {
            let before = children.clone();
            match operation {
                Operation::Propose => {
                    let number = proposed.len() as u64 + 1;
                    proposed.push(rate_commands(number, parent.configuration.revision));
                    parent.apply(&proposed[proposed.len() - 1][0]);
                }
                Operation::Confirm { nth_latest } => {
                    if let Some(commands) = proposed.iter().rev().nth(nth_latest) {
                        parent.apply(&commands[1]);
                    }
                }
                Operation::Poll { child } => {
                    let update = poll(&parent, &children[child]);
                    sent.push(update.clone());
                    deliver(&mut children[child], update);
                }
                Operation::Deliver { child, position } => {
                    if !sent.is_empty() {
                        deliver(&mut children[child], sent[position % sent.len()].clone());
                    }
                }
                Operation::Restart { child } => children[child] = (empty_configuration(), false),
                Operation::DropRecent => parent.recent = RecentCommands::new(&parent.configuration),
            }
            for (child, before) in children.iter().zip(&before) {
                let restarted = child.0.revision == Revision::ZERO;
                prop_assert!(child.0.revision >= before.0.revision || restarted);
                if child.0.revision == parent.configuration.revision {
                    prop_assert_eq!(digest(&child.0), digest(&parent.configuration));
                }
            }
        }
        for child in &mut children {
            // One delta and, if proposals were missed, one snapshot.
            for _ in 0..2 {
                let update = poll(&parent, child);
                deliver(child, update);
            }
            prop_assert_eq!(child.0.revision, parent.configuration.revision);
            prop_assert_eq!(state::digest(&child.0), state::digest(&parent.configuration));
        }
    }
}
