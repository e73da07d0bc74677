//! Tests of the executor in a simulated deployment.

use celerygate_steering::shares;
use celerygate_types::wire::Command;
use celerygate_types::{Revision, SharePpm};
use proptest::prelude::*;

use super::super::tests::{
    LINK_CAP, REGIONS, SERVICES, SimulatedDeployment, bootstrapped, move_kind, region, request,
    service, state_of, submit,
};
use super::*;
use crate::state::{ApplyOutcome, apply, find_intent};

/// Guards against steps without a lease, and against a leader that waits for hours because the
/// previous leader's wall clock was ahead.
#[test]
fn next_action_lease_and_clock() {
    let mut configuration = bootstrapped();
    let measured = SimulatedDeployment::new().measure(&configuration, Duration::ZERO);
    let intent = request("m-1", move_kind("planroom", "a", "b", 200_000));
    submit(&mut configuration, &measured, &intent, 0);
    let start = Instant::now();
    let lease = LeaderLease { since: start, until: start + Duration::from_secs(60) };
    let action = |configuration: &Configuration, lease, after_s: u64, unix_ms| {
        let now = ClockReading { monotonic: start + Duration::from_secs(after_s), unix_ms };
        next_action(configuration, &measured, lease, now)
    };
    assert_eq!(action(&configuration, None, 0, 0), ExecutorAction::Idle);
    assert_eq!(action(&configuration, Some(lease), 60, 0), ExecutorAction::Idle);
    let hour = 3_600_000;
    let step = StepCommand { at_unix_ms: hour, intent: intent.intent, step: 0 };
    let expected = ExecutorAction::Step(StepCommand { at_unix_ms: hour, ..step.clone() });
    assert_eq!(action(&configuration, Some(lease), 0, hour), expected);
    apply(&mut configuration, &Command::Step(step));
    let wait = ExecutorAction::WaitUntil { unix_ms: 10_000 };
    assert_eq!(action(&configuration, Some(lease), 1, 1_000), wait);
    assert!(matches!(action(&configuration, Some(lease), 10, 10_000), ExecutorAction::Step(_)));
}

/// A run of the executor on a simulated deployment with random intents, changes of the leader,
/// changes of the load on links, and gaps in the measurements.
struct ExecutorSimulation {
    configuration: Configuration,
    deployment: SimulatedDeployment,
    random: u64,
    now_ms: u64,
    skew_ms: u64,
    lease_since_ms: u64,
    measured: (Measurements, u64),
    last_step_ms: Option<u64>,
    background_changed_ms: u64,
    measurements_resume_ms: u64,
    steps: usize,
    holds: usize,
    requests: usize,
}

impl ExecutorSimulation {
    fn below(&mut self, limit: u64) -> u64 {
        self.random = self.random.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut mixed = self.random;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        (mixed ^ (mixed >> 31)) % limit
    }

    fn unix_ms(&self) -> u64 {
        1_000_000 + self.now_ms + self.skew_ms
    }

    fn measurements(&self) -> Measurements {
        let mut measured = self.measured.0.clone();
        let age = Duration::from_millis(self.now_ms - self.measured.1);
        measured.regions.values_mut().for_each(|load| load.age = age);
        measured.links.values_mut().for_each(|link| link.age = age);
        measured
    }

    fn submit_random_intent(&mut self) {
        let target = self.below(self.requests as u64 + 1);
        let target: IntentId = format!("intent-{target}").parse().unwrap();
        let kind = match self.below(12) {
            0 => IntentKind::Pause(target),
            1 | 2 => IntentKind::Resume(target),
            3 => IntentKind::Cancel(target),
            _ => {
                let (from, to) = (self.below(3) as usize, self.below(2) as usize + 1);
                let name = SERVICES[self.below(2) as usize];
                let share = 10_000 + self.below(500_000) as u32;
                move_kind(name, REGIONS[from], REGIONS[(from + to) % 3], share)
            }
        };
        self.requests += 1;
        let request = request(&format!("intent-{}", self.requests), kind);
        let (measured, at) = (self.measurements(), self.unix_ms());
        submit(&mut self.configuration, &measured, &request, at);
    }

    fn execute_next_action(&mut self) -> Result<(), TestCaseError> {
        let start = Instant::now();
        let until = start + Duration::from_secs(1);
        let held_for = Duration::from_millis(self.now_ms.saturating_sub(self.lease_since_ms));
        let lease = LeaderLease { since: start.checked_sub(held_for).unwrap(), until };
        let has_lease = self.now_ms >= self.lease_since_ms;
        let now = ClockReading { monotonic: start, unix_ms: self.unix_ms() };
        let measured = self.measurements();
        let action = next_action(&self.configuration, &measured, has_lease.then_some(lease), now);
        let command = match action {
            ExecutorAction::Step(command) => Command::Step(command),
            ExecutorAction::Hold(command) | ExecutorAction::ClearHold(command) => {
                Command::Hold(command)
            }
            ExecutorAction::WaitUntil { .. } | ExecutorAction::Idle => return Ok(()),
        };
        // A proposal may be lost, or committed twice when a leader is replaced.
        for _ in 0..self.below(3) {
            let before = self.configuration.clone();
            let outcome = apply(&mut self.configuration, &command);
            self.holds += usize::from(outcome == ApplyOutcome::HoldChanged);
            if matches!(outcome, ApplyOutcome::Stepped { .. }) && self.configuration != before {
                self.check_step(&before)?;
            }
        }
        Ok(())
    }

    fn check_step(&mut self, before: &Configuration) -> Result<(), TestCaseError> {
        let since_last = self.last_step_ms.map_or(u64::MAX, |at| self.now_ms - at);
        prop_assert!(since_last >= 10_000 - 400, "only {since_last} ms between two steps");
        let age_ms = self.now_ms - self.measured.1;
        prop_assert!(age_ms < 3_000, "a step used measurements that are {age_ms} ms old");
        self.last_step_ms = Some(self.now_ms);
        self.steps += 1;
        let load = self.deployment.measure(before, Duration::ZERO);
        self.deployment.record_moved_shares(before, &self.configuration, self.now_ms);
        // The executor cannot know of a change of the load that no measurement shows yet.
        if self.now_ms - self.background_changed_ms > 3_500 {
            self.check_limits(&load)?;
        }
        Ok(())
    }

    /// Checks the actual load of every link, region and service to which the step has added load.
    fn check_limits(&self, before: &Measurements) -> Result<(), TestCaseError> {
        let load = self.deployment.measure(&self.configuration, Duration::ZERO);
        for ((key, link), previous) in load.links.iter().zip(before.links.values()) {
            let ratio = link.use_bytes_per_s.get() as f64 / LINK_CAP;
            let added = link.use_bytes_per_s > previous.use_bytes_per_s;
            prop_assert!(!added || ratio <= 1.0, "link {key:?} at {ratio}");
        }
        for ((region, load), previous) in load.regions.iter().zip(before.regions.values()) {
            let added = load.load_slots > previous.load_slots;
            prop_assert!(!added || load.load_slots <= load.capacity_slots, "{region}: {load:?}");
        }
        for ((key, load), previous) in load.services.iter().zip(before.services.values()) {
            let added = load.running_slots > previous.running_slots;
            prop_assert!(!added || load.running_slots <= load.capacity_slots, "{key:?}: {load:?}");
        }
        Ok(())
    }

    fn tick(&mut self) -> Result<(), TestCaseError> {
        self.now_ms += 500;
        let now_ms = self.now_ms;
        self.deployment.cold.retain(|cold| cold.4 > now_ms);
        if self.below(120) == 0 {
            self.deployment.background = if self.deployment.background > 6e6 { 6e6 } else { 35e6 };
            self.background_changed_ms = now_ms;
        }
        if self.below(100) == 0 {
            self.measurements_resume_ms = now_ms + self.below(30_000);
        }
        if self.below(10) < 7 && now_ms >= self.measurements_resume_ms {
            self.measured = (self.deployment.measure(&self.configuration, Duration::ZERO), now_ms);
        }
        if self.below(100) == 0 {
            self.skew_ms = self.below(400);
            self.lease_since_ms = now_ms + 500 + self.below(2_000);
        }
        if self.below(40) == 0 {
            self.submit_random_intent();
        }
        self.execute_next_action()
    }
}

/// Guards against a step that loads a link or a region above its limit, that starts before the
/// previous one has settled, or that is lost or repeated when the leader changes.
#[test]
fn next_action_random_deployment() {
    let (mut steps, mut holds) = (0, 0);
    for seed in 20_261_204..20_261_244 {
        let (configuration, deployment) = (bootstrapped(), SimulatedDeployment::new());
        let measured = (deployment.measure(&configuration, Duration::ZERO), 0);
        let mut simulation = ExecutorSimulation {
            configuration,
            deployment,
            random: seed,
            now_ms: 0,
            skew_ms: 0,
            lease_since_ms: 0,
            measured,
            last_step_ms: None,
            background_changed_ms: 0,
            measurements_resume_ms: 0,
            steps: 0,
            holds: 0,
            requests: 0,
        };
        for _ in 0..1_200 {
            simulation.tick().unwrap_or_else(|error| panic!("seed {seed}: {error}"));
        }
        steps += simulation.steps;
        holds += simulation.holds;
    }
    // With fewer steps and holds, the run would not exercise the limits.
    assert!(steps >= 400 && holds >= 40, "{steps} steps, {holds} holds");
}

/// Guards against a held move that never continues, and against a move that ends with another share
/// than planned when the leader changes between its steps.
#[test]
fn next_action_hold_and_finish() {
    let mut configuration = bootstrapped();
    let mut deployment = SimulatedDeployment::new();
    let measured = deployment.measure(&configuration, Duration::ZERO);
    let intent = request("m-1", move_kind("planroom", "a", "b", 300_000));
    assert_eq!(submit(&mut configuration, &measured, &intent, 0), None);
    let mut states = Vec::new();
    for second in 0..80 {
        deployment.background = if (15..30).contains(&second) { 36e6 } else { 6e6 };
        let monotonic = Instant::now();
        // A new leader each second, whose only state is the configuration.
        let lease = LeaderLease { since: monotonic, until: monotonic + Duration::from_secs(1) };
        let now = ClockReading { monotonic, unix_ms: second * 1_000 };
        let measured = deployment.measure(&configuration, Duration::ZERO);
        let command = match next_action(&configuration, &measured, Some(lease), now) {
            ExecutorAction::Step(command) => Command::Step(command),
            ExecutorAction::Hold(command) | ExecutorAction::ClearHold(command) => {
                Command::Hold(command)
            }
            _ => continue,
        };
        apply(&mut configuration, &command);
        let record = find_intent(&configuration, &intent.intent).unwrap();
        let reason = record.held_reason.clone().unwrap_or_default();
        states.push(format!("{second} s: {} {} {reason}", record.state, record.next_step));
    }
    expect_test::expect![[r#"
        0 s: running 1 
        10 s: running 2 
        20 s: held 2 link-cap: link a to b would carry 41600000 B/s of 37500000 B/s
        30 s: running 2 
        31 s: done 3 "#]]
    .assert_eq(&states.join("\n"));
    let route = shares::route_of(&configuration, &service("planroom"), &region("a"));
    assert_eq!(shares::region_share(&route, &region("b")), SharePpm(300_000));
    assert_eq!(state_of(&configuration, "m-1"), IntentState::Done);
    assert!(configuration.revision > Revision(5));
}
