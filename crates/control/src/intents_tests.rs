//! Tests of plans, and the simulated deployment that the executor's tests share.

use std::collections::BTreeMap;
use std::time::Duration;

use celerygate_steering::shares;
use celerygate_types::wire::{
    Command, Link, Member, MemberRole, MoveIntent, Organisation, ProposeCommand, Service,
};
use celerygate_types::{
    ByteRate, LinkUsage, RegionLoad, RequestCount, RequestRate, ServiceId, ServiceRegionLoad,
    SharePpm, SlotCount, TargetCapacity,
};

use super::*;
use crate::state::{ApplyOutcome, apply, empty_configuration, find_intent};

pub(super) const REGIONS: [&str; 3] = ["a", "b", "c"];
pub(super) const SERVICES: [&str; 2] = ["planroom", "holddesk"];
pub(super) const LINK_CAP: f64 = 37_500_000.0;
pub(super) const CAPACITY: f64 = 20.0;

pub(super) fn region(name: &str) -> RegionId {
    name.parse().unwrap()
}

pub(super) fn service(name: &str) -> ServiceId {
    name.parse().unwrap()
}

fn member(name: &str, region_name: &str) -> Member {
    Member {
        callers_address: "127.0.0.1:1".into(),
        data_centre: "a1".parse().unwrap(),
        operators_address: "127.0.0.1:2".into(),
        peer_address: "127.0.0.1:3".into(),
        region: region(region_name),
        role: MemberRole::Voter,
        store_id: Some(1),
        vm: name.parse().unwrap(),
    }
}

pub(super) fn bootstrapped() -> Configuration {
    let mut first = empty_configuration();
    first.regions = REGIONS.map(region).to_vec();
    first.services =
        SERVICES.map(|name| Service { open_prefixes: Vec::new(), service: service(name) }).to_vec();
    first.members = vec![member("vm-1", "a"), member("vm-2", "b")];
    first.organisations = vec![Organisation {
        burst_requests: RequestCount(1),
        keys: Vec::new(),
        organisation: "granite".parse().unwrap(),
        rate_requests_per_s: RequestRate(0),
        weight: 1,
    }];
    for (from, to) in links() {
        let cap_bytes_per_s = ByteRate(LINK_CAP as u64);
        first.links.push(Link { cap_bytes_per_s, from: region(from), to: region(to) });
    }
    let mut configuration = empty_configuration();
    apply(&mut configuration, &Command::Bootstrap(first));
    configuration
}

fn links() -> impl Iterator<Item = (&'static str, &'static str)> {
    let pairs = REGIONS.into_iter().flat_map(|from| REGIONS.map(|to| (from, to)));
    pairs.filter(|(from, to)| from != to)
}

/// A deployment whose load follows from its routes and the callers' demand, not from a plan.
pub(super) struct SimulatedDeployment {
    /// Slots and bytes per second of a service's callers in a home region.
    pub(super) demand: BTreeMap<(&'static str, &'static str), (f64, f64)>,
    /// Other traffic on every link.
    pub(super) background: f64,
    /// Shares whose caches are cold: service, home region, serving region, share, end.
    pub(super) cold: Vec<(ServiceId, RegionId, RegionId, f64, u64)>,
}

impl SimulatedDeployment {
    pub(super) fn new() -> Self {
        let homes = SERVICES.into_iter().flat_map(|name| REGIONS.map(|home| (name, home)));
        let demand =
            homes.map(|key| (key, if key.0 == "planroom" { (9.0, 14e6) } else { (12.0, 1e6) }));
        Self { demand: demand.collect(), background: 6e6, cold: Vec::new() }
    }

    /// Records the shares that a step has moved between two configurations.
    pub(super) fn record_moved_shares(
        &mut self,
        before: &Configuration,
        after: &Configuration,
        now_ms: u64,
    ) {
        for (name, home) in self.demand.keys() {
            let (name, home) = (service(name), region(home));
            let route = |of| shares::route_of(of, &name, &home);
            for (_, to, share) in shares::moved_shares(&route(before), &route(after)) {
                let share = f64::from(share.get()) / 1e6;
                self.cold.push((name.clone(), home.clone(), to, share, now_ms + 9_000));
            }
        }
    }

    /// Returns the slots and bytes per second that a serving region carries for a service and home
    /// region.
    fn served(&self, configuration: &Configuration, key: (&str, &str), at: &str) -> (f64, f64) {
        let (name, home, at) = (service(key.0), region(key.1), region(at));
        let route = shares::route_of(configuration, &name, &home);
        let warm = f64::from(shares::region_share(&route, &at).get()) / 1e6;
        let is_same = |cold: &&(ServiceId, RegionId, RegionId, f64, u64)| {
            (&cold.0, &cold.1, &cold.2) == (&name, &home, &at)
        };
        let cold: f64 = self.cold.iter().filter(is_same).map(|cold| cold.3).sum();
        let (slots, bytes) = self.demand[&(key.0, key.1)];
        (slots * (warm + cold), bytes * (warm + cold))
    }

    pub(super) fn measure(&self, configuration: &Configuration, age: Duration) -> Measurements {
        let mut measured = Measurements::default();
        let mut link_use: BTreeMap<_, f64> = links().map(|key| (key, self.background)).collect();
        for at in REGIONS {
            let mut total_slots = 0.0;
            for name in SERVICES {
                let (mut slots, mut bytes) = (0.0, 0.0);
                for home in REGIONS {
                    let (served_slots, served_bytes) = self.served(configuration, (name, home), at);
                    slots += served_slots;
                    bytes += served_bytes;
                    if home != at {
                        *link_use.get_mut(&(at, home)).unwrap() += served_bytes;
                        *link_use.get_mut(&(home, at)).unwrap() += served_bytes;
                    }
                }
                total_slots += slots;
                let load = ServiceRegionLoad {
                    running_slots: SlotCount(slots.ceil() as u32),
                    capacity_slots: SlotCount(CAPACITY as u32),
                    sent_bytes_per_s: ByteRate(bytes.ceil() as u64),
                };
                measured.services.insert((service(name), region(at)), load);
            }
            let load = RegionLoad {
                load_slots: SlotCount(total_slots.ceil() as u32),
                capacity_slots: SlotCount(CAPACITY as u32 * 2),
                age,
            };
            measured.regions.insert(region(at), load);
        }
        for ((from, to), bytes) in link_use {
            let use_bytes_per_s = ByteRate(bytes.ceil() as u64);
            let measure = LinkUsage { use_bytes_per_s, age };
            measured.links.insert((region(from), region(to)), measure);
        }
        measured
    }
}

pub(super) fn request(name: &str, kind: IntentKind) -> IntentRequest {
    IntentRequest { based_on: None, intent: name.parse().unwrap(), kind }
}

pub(super) fn move_kind(name: &str, from: &str, to: &str, share: u32) -> IntentKind {
    let (from, to) = (region(from), region(to));
    IntentKind::Move(MoveIntent { from, service: service(name), share_ppm: SharePpm(share), to })
}

/// Plans, proposes and confirms an intent as a daemon does; returns the plan's refusal.
pub(super) fn submit(
    configuration: &mut Configuration,
    measurements: &Measurements,
    request: &IntentRequest,
    at_unix_ms: u64,
) -> Option<Refusal> {
    let plan = plan(configuration, measurements, request, at_unix_ms);
    let refusal = plan.refusal.clone();
    let (based_on, intent, kind) =
        (configuration.revision, request.intent.clone(), request.kind.clone());
    let propose = ProposeCommand { at_unix_ms, based_on, intent: intent.clone(), kind, plan };
    apply(configuration, &Command::Propose(propose));
    let confirm = ConfirmCommand { at_unix_ms, based_on, intent };
    let check = check_confirm(configuration, measurements, &confirm, at_unix_ms);
    assert_eq!(check, ConfirmCheck::Submit);
    apply(configuration, &Command::Confirm(confirm));
    refusal
}

pub(super) fn state_of(configuration: &Configuration, name: &str) -> IntentState {
    find_intent(configuration, &name.parse().unwrap()).unwrap().state
}

fn key_issue(key: &str, hash: u8) -> KeyIssueIntent {
    let organisation = "granite".parse().unwrap();
    KeyIssueIntent { hash: KeyHash([hash; 32]), key: key.parse().unwrap(), organisation }
}

/// Guards against plans for keys and rates that cannot be applied, against a key overlap that
/// starts with the plan instead of the confirm, and against withdrawing the last key without a
/// warning.
#[test]
fn plan_keys_and_rates() {
    let mut configuration = bootstrapped();
    let none = Measurements::default();
    let mut run = |name: &str, kind: IntentKind| {
        submit(&mut configuration, &none, &request(name, kind), 1_000).map(|refusal| refusal.code)
    };
    let code = |code: ResultCode| Some(code.number());
    let issue = |key, hash| IntentKind::KeyIssue(key_issue(key, hash));
    assert_eq!(run("i-1", issue("k-1", 1)), None);
    assert_eq!(run("i-2", issue("k-1", 2)), code(ResultCode::IntentRefused));
    assert_eq!(run("i-3", issue("k-2", 1)), code(ResultCode::IntentRefused));
    let rate = |organisation: &str, burst| {
        IntentKind::Rate(RateIntent {
            burst_requests: RequestCount(burst),
            organisation: organisation.parse().unwrap(),
            rate_requests_per_s: RequestRate(5),
        })
    };
    assert_eq!(run("i-4", rate("nobody", 5)), code(ResultCode::SubjectUnknown));
    assert_eq!(run("i-5", rate("granite", 0)), code(ResultCode::IntentRefused));
    assert_eq!(run("i-6", rate("granite", 5)), None);
    let KeyIssueIntent { hash, key, organisation } = key_issue("k-3", 3);
    let old_key: KeyId = "k-1".parse().unwrap();
    let replace = KeyReplaceIntent { hash, key, old_key, organisation, overlap_ms: 500 };
    let replace = request("i-7", IntentKind::KeyReplace(replace));
    let initial_plan = plan(&configuration, &none, &replace, 1_000);
    let (based_on, intent) = (configuration.revision, replace.intent.clone());
    let propose = ProposeCommand {
        at_unix_ms: 1_000,
        based_on,
        intent: intent.clone(),
        kind: replace.kind,
        plan: initial_plan,
    };
    apply(&mut configuration, &Command::Propose(propose));
    let confirm = ConfirmCommand { at_unix_ms: 9_000, based_on, intent };
    assert!(matches!(
        apply(&mut configuration, &Command::Confirm(confirm)),
        ApplyOutcome::Confirmed { .. }
    ));
    let keys = &configuration.organisations[0].keys;
    let expiries: Vec<_> = keys.iter().map(|key| key.expires_at_unix_ms).collect();
    assert_eq!(expiries, [Some(9_500), None]);
    let KeyIssueIntent { organisation, .. } = key_issue("k-1", 1);
    configuration.organisations[0].keys.truncate(1);
    let withdraw = KeyWithdrawIntent { key: "k-1".parse().unwrap(), organisation };
    let withdraw = request("i-8", IntentKind::KeyWithdraw(withdraw));
    assert_eq!(plan(&configuration, &none, &withdraw, 0).risks.len(), 1);
}

/// Guards against drains that cannot be cancelled, and against a target drain that is confirmed on
/// the basis of stale measurements.
#[test]
fn plan_drains_and_cancel() {
    let mut configuration = bootstrapped();
    let deployment = SimulatedDeployment::new();
    let mut measured = deployment.measure(&configuration, Duration::ZERO);
    let name = TargetName { service: service("holddesk"), target: "t-1".parse().unwrap() };
    let capacity = TargetCapacity { region: region("a"), slots: SlotCount(4) };
    measured.targets.insert((name.service.clone(), name.target.clone()), capacity);
    let drain = request("d-1", IntentKind::Drain(DrainSubject::Target(name.clone())));
    let planned = plan(&configuration, &measured, &drain, 0);
    let based_on = configuration.revision;
    let propose = ProposeCommand {
        at_unix_ms: 0,
        based_on,
        intent: drain.intent.clone(),
        kind: drain.kind.clone(),
        plan: planned,
    };
    apply(&mut configuration, &Command::Propose(propose));
    let confirm = ConfirmCommand { at_unix_ms: 0, based_on, intent: drain.intent.clone() };
    let mut stale = measured.clone();
    stale.regions.values_mut().for_each(|load| load.age = Duration::from_secs(3));
    let check = check_confirm(&configuration, &stale, &confirm, 0);
    let stale = ResultCode::MeasurementsStale.number();
    assert!(matches!(check, ConfirmCheck::Refuse(refusal) if refusal.code == stale));
    apply(&mut configuration, &Command::Confirm(confirm));
    assert_eq!(configuration.drains, [DrainSubject::Target(name)]);
    let cancel = request("d-2", IntentKind::Cancel(drain.intent));
    assert_eq!(submit(&mut configuration, &measured, &cancel, 0), None);
    assert_eq!(configuration.drains, []);
    let vm = |vm: &str| DrainSubject::Vm(vm.parse().unwrap());
    let drain_vm = |name: &str, subject| request(name, IntentKind::Drain(subject));
    assert_eq!(submit(&mut configuration, &measured, &drain_vm("d-3", vm("vm-1")), 0), None);
    let refused = submit(&mut configuration, &measured, &drain_vm("d-4", vm("vm-2")), 0);
    assert_eq!(refused.unwrap().code, ResultCode::NoHeadroom.number());
}

/// Guards against two moves of one service whose steps revert each other's routes.
#[test]
fn plan_move_conflicting() {
    let mut configuration = bootstrapped();
    let measured = SimulatedDeployment::new().measure(&configuration, Duration::ZERO);
    let mut run = |name: &str, kind| submit(&mut configuration, &measured, &request(name, kind), 0);
    assert_eq!(run("m-1", move_kind("planroom", "a", "b", 200_000)), None);
    let refused = run("m-2", move_kind("planroom", "c", "b", 100_000)).unwrap();
    assert_eq!(refused.code, ResultCode::IntentState.number());
    let drain = IntentKind::Drain(DrainSubject::Region(region("c")));
    assert_eq!(run("m-3", drain).unwrap().code, ResultCode::IntentState.number());
    assert_eq!(run("m-4", move_kind("holddesk", "c", "b", 100_000)), None);
}
