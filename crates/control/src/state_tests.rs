//! Tests of applying commands, with a test oracle for random sequences of operations.

use std::collections::BTreeMap;

use celerygate_types::wire::{
    IntentStateChange, Link, Member, MemberRole, MembershipChange, MoveIntent, Organisation, Plan,
    RateIntent, Route, Segment, Service,
};
use celerygate_types::{ByteRate, RegionId, RequestCount, RequestRate, ServiceId, SharePpm, VmId};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

use super::*;

fn region(name: &str) -> RegionId {
    name.parse().unwrap()
}

fn service() -> ServiceId {
    "holddesk".parse().unwrap()
}

fn intent(number: usize) -> IntentId {
    format!("intent-{number}").parse().unwrap()
}

fn member(name: &str, role: MemberRole) -> Member {
    Member {
        callers_address: "127.0.0.1:1".into(),
        data_centre: "a1".parse().unwrap(),
        operators_address: "127.0.0.1:2".into(),
        peer_address: "127.0.0.1:3".into(),
        region: region("a"),
        role,
        store_id: Some(1),
        vm: name.parse().unwrap(),
    }
}

fn deployment() -> Configuration {
    let mut configuration = empty_configuration();
    configuration.regions = vec![region("a"), region("b")];
    configuration.services = vec![Service { open_prefixes: Vec::new(), service: service() }];
    configuration.links =
        vec![Link { cap_bytes_per_s: ByteRate(1000), from: region("a"), to: region("b") }];
    configuration.members = vec![member("vm-1", MemberRole::Voter)];
    configuration.organisations = vec![Organisation {
        burst_requests: RequestCount(1),
        keys: Vec::new(),
        organisation: "granite".parse().unwrap(),
        rate_requests_per_s: RequestRate(0),
        weight: 1,
    }];
    configuration
}

fn bootstrapped() -> Configuration {
    let mut configuration = empty_configuration();
    apply(&mut configuration, &Command::Bootstrap(deployment()));
    configuration
}

fn rate_intent(rate: u64) -> (IntentKind, Vec<Change>) {
    let rate = RateIntent {
        burst_requests: RequestCount(1),
        organisation: "granite".parse().unwrap(),
        rate_requests_per_s: RequestRate(rate),
    };
    (IntentKind::Rate(rate.clone()), vec![Change::Rate(rate)])
}

/// Returns a move in three steps. After step n the last segment starts at 900,000 - n * 100,000.
fn move_intent() -> (IntentKind, Vec<Change>) {
    let share_ppm = SharePpm(300_000);
    let kind = MoveIntent { from: region("a"), service: service(), share_ppm, to: region("b") };
    let route = |start: u32| {
        let segment = |start_ppm, name| Segment { region: region(name), start_ppm };
        let segments = vec![segment(SharePpm::ZERO, "a"), segment(SharePpm(start), "b")];
        Change::Route(Route { home_region: region("a"), segments, service: service() })
    };
    (IntentKind::Move(kind), [900_000, 800_000, 700_000].map(route).to_vec())
}

fn state_intent(target: usize, state: IntentState) -> (IntentKind, Vec<Change>) {
    let change = Change::IntentState(IntentStateChange { intent: intent(target), state });
    let kind = match state {
        IntentState::Paused => IntentKind::Pause(intent(target)),
        IntentState::Running => IntentKind::Resume(intent(target)),
        _ => IntentKind::Cancel(intent(target)),
    };
    (kind, vec![change])
}

fn propose_at(
    number: usize,
    content: (IntentKind, Vec<Change>),
    based_on: Revision,
    at_unix_ms: u64,
) -> Command {
    let step = |change| PlanStep {
        changes: vec![change],
        links: Vec::new(),
        note: "".into(),
        regions: Vec::new(),
    };
    let steps = content.1.into_iter().map(step).collect();
    let plan = Plan { refusal: None, risks: Vec::new(), steps };
    let kind = content.0;
    Command::Propose(ProposeCommand { at_unix_ms, based_on, intent: intent(number), kind, plan })
}

fn confirm_at(number: usize, based_on: Revision, at_unix_ms: u64) -> Command {
    Command::Confirm(ConfirmCommand { at_unix_ms, based_on, intent: intent(number) })
}

fn step_of(number: usize, step: u32) -> Command {
    Command::Step(StepCommand { at_unix_ms: 0, intent: intent(number), step })
}

fn rate_of(configuration: &Configuration) -> u64 {
    configuration.organisations[0].rate_requests_per_s.get()
}

fn is_accepted(outcome: &ApplyOutcome) -> bool {
    !matches!(
        outcome,
        ApplyOutcome::Refused(_) | ApplyOutcome::Unchanged | ApplyOutcome::Proposed { .. }
    )
}

/// Guards against a second bootstrap that replaces the configuration of a running system.
#[test]
fn apply_bootstrap_twice() {
    let mut configuration = bootstrapped();
    let before = configuration.clone();
    let outcome = apply(&mut configuration, &Command::Bootstrap(deployment()));
    assert_eq!(outcome, ApplyOutcome::Refused(ResultCode::RevisionConflict));
    assert_eq!(configuration, before);
}

/// Guards against two confirms that succeed on the same base revision, and against a refused
/// confirm that gets a different outcome when it is resent.
#[test]
fn apply_confirm_same_revision() {
    let mut configuration = bootstrapped();
    for (number, rate) in [(1, 10), (2, 20)] {
        apply(&mut configuration, &propose_at(number, rate_intent(rate), Revision(1), 0));
    }
    let outcomes: Vec<ApplyOutcome> =
        [2, 1, 2, 1].map(|n| apply(&mut configuration, &confirm_at(n, Revision(1), 0))).to_vec();
    let confirmed = ApplyOutcome::Confirmed { revision: Revision(2) };
    let conflict = ApplyOutcome::Refused(ResultCode::RevisionConflict);
    assert_eq!(outcomes, [confirmed.clone(), conflict.clone(), confirmed, conflict]);
    assert_eq!((rate_of(&configuration), configuration.revision), (20, Revision(2)));
}

/// Guards against a running move whose steps make the confirm of an unrelated intent conflict.
#[test]
fn apply_confirm_between_steps() {
    let mut configuration = bootstrapped();
    apply(&mut configuration, &propose_at(1, move_intent(), Revision(1), 0));
    apply(&mut configuration, &confirm_at(1, Revision(1), 0));
    apply(&mut configuration, &propose_at(2, rate_intent(5), Revision(2), 0));
    assert!(is_accepted(&apply(&mut configuration, &step_of(1, 0))));
    assert!(is_accepted(&apply(&mut configuration, &confirm_at(2, Revision(2), 0))));
}

/// Guards against an intent id that is reused for another intent.
#[test]
fn apply_propose_other_content() {
    let mut configuration = bootstrapped();
    apply(&mut configuration, &propose_at(1, rate_intent(10), Revision(1), 0));
    let outcome = apply(&mut configuration, &propose_at(1, rate_intent(11), Revision(1), 0));
    assert_eq!(outcome, ApplyOutcome::Refused(ResultCode::IntentMismatch));
}

/// Guards against a confirm that is refused because its subject is missing and succeeds when it is
/// resent after the subject was added.
#[test]
fn apply_confirm_subject_missing() {
    let mut configuration = bootstrapped();
    let vm: VmId = "vm-2".parse().unwrap();
    let subject = DrainSubject::Vm(vm);
    let content = (IntentKind::Drain(subject.clone()), vec![Change::Drain(subject)]);
    apply(&mut configuration, &propose_at(1, content, Revision(1), 0));
    let refused = ApplyOutcome::Refused(ResultCode::IntentRefused);
    assert_eq!(apply(&mut configuration, &confirm_at(1, Revision(1), 0)), refused);
    let add = MembershipChange::AddLearner(member("vm-2", MemberRole::Follower));
    assert!(is_accepted(&apply(&mut configuration, &Command::Membership(add))));
    assert_eq!(apply(&mut configuration, &confirm_at(1, Revision(1), 0)), refused);
}

/// Guards against an unbounded number of records, and against dropping the newest confirmed record,
/// which determines the revisions that conflict.
#[test]
fn apply_retention_day_and_count() {
    let mut configuration = bootstrapped();
    apply(&mut configuration, &propose_at(0, rate_intent(1), Revision(1), 0));
    apply(&mut configuration, &confirm_at(0, Revision(1), 0));
    for number in 1..MAX_RETAINED + 50 {
        let mut record = configuration.intents[0].clone();
        record.intent = format!("intent-0-{number:05}").parse().unwrap();
        record.confirmed_revision = Some(Revision(2 + number as u64));
        configuration.intents.push(record);
    }
    configuration.revision = Revision(2 + MAX_RETAINED as u64 + 50);
    let based_on = configuration.revision;
    apply(&mut configuration, &propose_at(9, rate_intent(1), based_on, 1));
    apply(&mut configuration, &confirm_at(9, based_on, 1));
    assert_eq!(configuration.intents.len(), MAX_RETAINED);
    let last = configuration.revision;
    apply(&mut configuration, &propose_at(1, rate_intent(1), last, RETENTION_MS * 2));
    apply(&mut configuration, &propose_at(2, rate_intent(2), last, RETENTION_MS * 2));
    assert!(is_accepted(&apply(&mut configuration, &confirm_at(1, last, RETENTION_MS * 2))));
    assert_eq!(configuration.intents.len(), 2);
    let outcome = apply(&mut configuration, &confirm_at(2, last, RETENTION_MS * 2));
    assert_eq!(outcome, ApplyOutcome::Refused(ResultCode::RevisionConflict));
}

/// Guards against a drain that can no longer be cancelled because its record was dropped.
#[test]
fn apply_retention_drain_in_force() {
    let mut configuration = bootstrapped();
    let subject = DrainSubject::Vm("vm-1".parse().unwrap());
    let content = (IntentKind::Drain(subject.clone()), vec![Change::Drain(subject.clone())]);
    apply(&mut configuration, &propose_at(1, content, Revision(1), 0));
    apply(&mut configuration, &confirm_at(1, Revision(1), 0));
    let mut submit = |number, content: (IntentKind, Vec<Change>), at| {
        let based_on = configuration.revision;
        apply(&mut configuration, &propose_at(number, content, based_on, at));
        let outcome = apply(&mut configuration, &confirm_at(number, based_on, at));
        assert!(is_accepted(&outcome), "{outcome:?}");
    };
    submit(2, rate_intent(1), RETENTION_MS * 2);
    let mut cancel = state_intent(1, IntentState::Cancelled);
    cancel.1.push(Change::Undrain(subject));
    submit(3, cancel, RETENTION_MS * 3);
    assert_eq!(configuration.drains, []);
    let records = configuration.intents.iter().map(|record| record.intent.clone());
    assert!(records.eq([intent(1), intent(3)]));
}

/// Guards against a control group without voters, and against a voter whose disk was replaced.
#[test]
fn apply_membership_cases() {
    let mut configuration = bootstrapped();
    let vm = |name: &str| name.parse::<VmId>().unwrap();
    let mut run = |change| apply(&mut configuration, &Command::Membership(change));
    let learner = |name| MembershipChange::AddLearner(member(name, MemberRole::Learner));
    assert_eq!(run(learner("vm-1")), ApplyOutcome::Unchanged);
    assert_eq!(
        run(MembershipChange::Remove(vm("vm-1"))),
        ApplyOutcome::Refused(ResultCode::IntentState)
    );
    assert_eq!(run(learner("vm-2")), ApplyOutcome::MembersChanged);
    assert_eq!(run(MembershipChange::Promote(vm("vm-2"))), ApplyOutcome::MembersChanged);
    assert_eq!(run(MembershipChange::Promote(vm("vm-2"))), ApplyOutcome::Unchanged);
    let mut replaced = member("vm-1", MemberRole::Learner);
    replaced.store_id = Some(2);
    assert_eq!(run(MembershipChange::AddLearner(replaced)), ApplyOutcome::MembersChanged);
    assert_eq!(configuration.members[0].role, MemberRole::Learner);
    assert_eq!(configuration.revision, Revision(4));
}

/// Guards against a digest that omits a part of the configuration, or that depends on unconfirmed
/// intents, which a daemon may not have received.
#[test]
fn digest_covers_confirmed_only() {
    let mut configuration = bootstrapped();
    let first = digest(&configuration);
    apply(&mut configuration, &propose_at(1, rate_intent(10), Revision(1), 0));
    assert_eq!(digest(&configuration), first);
    configuration.links[0].cap_bytes_per_s = ByteRate(1);
    assert_ne!(digest(&configuration), first);
}

#[derive(Clone, Debug)]
enum Operation {
    Propose { intent: usize, content: usize, target: usize },
    Confirm { intent: usize, lag: u64 },
    Step { intent: usize, ahead: u32 },
    Hold { intent: usize, reason: bool },
    Resend { position: usize },
    Restart,
}

fn any_operation() -> impl Strategy<Value = Operation> {
    let id = 0..8_usize;
    prop_oneof![
        4 => (id.clone(), 0..6_usize, id.clone())
            .prop_map(|(intent, content, target)| Operation::Propose { intent, content, target }),
        5 => (id.clone(), 0..3_u64).prop_map(|(intent, lag)| Operation::Confirm { intent, lag }),
        4 => (id.clone(), 0..2_u32).prop_map(|(intent, ahead)| Operation::Step { intent, ahead }),
        1 => (id, any::<bool>()).prop_map(|(intent, reason)| Operation::Hold { intent, reason }),
        3 => any::<usize>().prop_map(|position| Operation::Resend { position }),
        1 => Just(Operation::Restart),
    ]
}

fn command_of(
    configuration: &Configuration,
    history: &[Command],
    operation: &Operation,
) -> Option<Command> {
    let record = |number: usize| find_intent(configuration, &intent(number));
    Some(match operation {
        Operation::Propose { intent, content, target } => {
            let content = match content {
                0 => rate_intent(*target as u64 + 1),
                1 | 2 => move_intent(),
                3 => state_intent(*target, IntentState::Paused),
                4 => state_intent(*target, IntentState::Running),
                _ => state_intent(*target, IntentState::Cancelled),
            };
            propose_at(*intent, content, configuration.revision, 0)
        }
        Operation::Confirm { intent, lag } => {
            let based_on = record(*intent).map_or(configuration.revision, |found| found.based_on);
            confirm_at(*intent, based_on.saturating_sub(Revision(*lag)), 0)
        }
        Operation::Step { intent, ahead } => {
            step_of(*intent, record(*intent).map_or(0, |found| found.next_step) + ahead)
        }
        Operation::Hold { intent: number, reason } => Command::Hold(HoldCommand {
            intent: intent(*number),
            reason: reason.then(|| "link-cap".into()),
        }),
        Operation::Resend { position } => history.get(position % history.len().max(1))?.clone(),
        Operation::Restart => return None,
    })
}

/// Test oracle: the expected state after a sequence of commands, derived without reading the
/// records.
#[derive(Default)]
struct Oracle {
    revision: u64,
    rate: u64,
    outcomes: BTreeMap<String, ApplyOutcome>,
    confirmed_by_base: BTreeMap<Revision, IntentId>,
    rates: BTreeMap<IntentId, u64>,
    next_steps: BTreeMap<IntentId, u32>,
}

impl Oracle {
    /// Checks the outcome of a command. A resent confirm, and a resent step that was accepted, must
    /// get the first outcome again. A refused step or hold may be accepted later.
    fn check(&mut self, command: &Command, outcome: &ApplyOutcome) -> Result<(), TestCaseError> {
        let has_final_outcome = matches!(command, Command::Confirm(_)) && {
            // A confirm that precedes its proposal is refused as unknown and may be resent later.
            *outcome != ApplyOutcome::Refused(ResultCode::IntentUnknown)
        };
        let first = self.outcomes.get(&format!("{command:?}")).cloned();
        if let Some(first) = &first {
            prop_assert_eq!(first, outcome, "another outcome when resent: {:?}", command);
        }
        let is_first = first.is_none();
        if has_final_outcome || is_accepted(outcome) {
            self.outcomes.insert(format!("{command:?}"), outcome.clone());
        }
        match (command, outcome) {
            (Command::Propose(command), ApplyOutcome::Proposed { .. }) => {
                if let IntentKind::Rate(rate) = &command.kind {
                    self.rates.insert(command.intent.clone(), rate.rate_requests_per_s.get());
                }
            }
            (Command::Confirm(command), ApplyOutcome::Confirmed { .. }) => {
                let confirmed_intent = self
                    .confirmed_by_base
                    .entry(command.based_on)
                    .or_insert(command.intent.clone());
                prop_assert_eq!(
                    &*confirmed_intent,
                    &command.intent,
                    "two confirms succeeded on one base"
                );
                if is_first {
                    self.revision += 1;
                    self.rate = *self.rates.get(&command.intent).unwrap_or(&self.rate);
                }
            }
            (Command::Step(command), ApplyOutcome::Stepped { .. }) => {
                let next = self.next_steps.entry(command.intent.clone()).or_default();
                prop_assert!(command.step <= *next, "a step was skipped");
                if command.step == *next {
                    *next += 1;
                    self.revision += 1;
                }
            }
            (Command::Hold(_), ApplyOutcome::HoldChanged) => {
                self.outcomes.remove(&format!("{command:?}"));
                self.revision += 1;
            }
            _ => {}
        }
        Ok(())
    }
}

proptest! {
    #![proptest_config(Config {
        cases: 400,
        rng_seed: RngSeed::Fixed(20_261_204),
        failure_persistence: None,
        ..Config::default()
    })]

    /// Guards against a change without a confirm, a confirm that is applied twice, two confirms
    /// that succeed on one base revision, a reverted change, and a replica that differs after
    /// replaying commands from a snapshot.
    #[test]
    fn apply_random_operations(operations in prop::collection::vec(any_operation(), 1..80)) {
        let mut configuration = bootstrapped();
        let mut oracle = Oracle { revision: 1, ..Oracle::default() };
        let mut history: Vec<Command> = Vec::new();
        let mut snapshot = (configuration.clone(), 0);
        for operation in &operations {
            let Some(command) = command_of(&configuration, &history, operation) else {
                // A restart decodes a snapshot and replays the commands after it.
                let bytes = postcard::to_stdvec(&snapshot.0).unwrap();
                let mut replica: Configuration = postcard::from_bytes(&bytes).unwrap();
                for command in &history[snapshot.1..] {
                    apply(&mut replica, command);
                }
                prop_assert_eq!(&replica, &configuration);
                prop_assert_eq!(digest(&replica), digest(&configuration));
                snapshot = (replica, history.len());
                continue;
            };
            let before = configuration.clone();
            let outcome = apply(&mut configuration, &command);
            oracle.check(&command, &outcome)?;
            prop_assert_eq!(configuration.revision, Revision(oracle.revision), "{:?}", command);
            prop_assert_eq!(rate_of(&configuration), oracle.rate);
            if configuration.revision == before.revision {
                let mut same = configuration.clone();
                same.intents.clone_from(&before.intents);
                prop_assert_eq!(same, before, "changed without a revision");
            }
            history.push(command);
        }
    }
}

/// Guards against an owner that loses and regains a region with the same epoch: the permits of its
/// first ownership would become valid again.
#[test]
fn apply_slot_owner_epochs() {
    let mut configuration = bootstrapped();
    configuration.members.push(member("vm-2", MemberRole::Follower));
    let members: Vec<VmId> = configuration.members.iter().map(|m| m.vm.clone()).collect();
    let set_owner = |vm: &VmId| {
        Command::SlotOwner(SlotOwnerCommand { region: region("north"), vm: vm.clone() })
    };
    configuration.regions = vec![region("north")];
    assert_eq!(apply(&mut configuration, &set_owner(&members[0])), ApplyOutcome::SlotOwnerChanged);
    let first = configuration.slot_owners[0].epoch;
    assert_eq!(apply(&mut configuration, &set_owner(&members[0])), ApplyOutcome::Unchanged);
    assert_eq!(apply(&mut configuration, &set_owner(&members[1])), ApplyOutcome::SlotOwnerChanged);
    assert_eq!(apply(&mut configuration, &set_owner(&members[0])), ApplyOutcome::SlotOwnerChanged);
    assert!(configuration.slot_owners[0].epoch > first + 1);
    let non_member: VmId = "stranger".parse().unwrap();
    assert_eq!(
        apply(&mut configuration, &set_owner(&non_member)),
        ApplyOutcome::Refused(ResultCode::SubjectUnknown)
    );
}
