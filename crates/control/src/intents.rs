//! Planning, confirming and executing intents.

mod executor;

use celerygate_steering::moves;
use celerygate_types::wire::{
    Change, Configuration, ConfirmCommand, DrainSubject, IntentKind, IntentRequest, IntentState,
    IntentStateChange, KeyExpiry, KeyIssueIntent, KeyReplaceIntent, KeyWithdrawIntent, Plan,
    PlanStep, RateIntent, Refusal, TargetName,
};
use celerygate_types::{
    IntentId, KeyHash, KeyId, Measurements, OrganisationId, RegionId, ResultCode, VmId,
};
use smol_str::{SmolStr, format_smolstr};

use crate::state;

pub use executor::{ClockReading, ExecutorAction, LeaderLease, next_action};

/// Steps and risks of an intent, or the reason why it cannot be executed.
type PlanResult = Result<(Vec<PlanStep>, Vec<SmolStr>), Refusal>;

/// Decision whether to propose a confirm to the log.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfirmCheck {
    /// Propose the command; `state::apply` checks revisions and handles resent confirms.
    Submit,
    /// Refuse the confirm without a log entry; a later confirm may succeed.
    Refuse(Refusal),
}

/// Plans an intent against the configuration and the measurements, without changing them.
pub fn plan(
    configuration: &Configuration,
    measurements: &Measurements,
    request: &IntentRequest,
    now_unix_ms: u64,
) -> Plan {
    match plan_kind(configuration, measurements, &request.kind, now_unix_ms) {
        Ok((steps, risks)) => Plan { refusal: None, risks, steps },
        Err(refusal) => Plan { refusal: Some(refusal), risks: Vec::new(), steps: Vec::new() },
    }
}

/// Checks a confirm against measurements that are newer than its plan.
///
/// A drain of a target or a VM takes effect at once with the confirm, so it is planned again. The
/// leader checks each step of a move just before it proposes the step, so the confirm of a move
/// needs no check here.
pub fn check_confirm(
    configuration: &Configuration,
    measurements: &Measurements,
    command: &ConfirmCommand,
    now_unix_ms: u64,
) -> ConfirmCheck {
    let Some(record) = state::find_intent(configuration, &command.intent) else {
        return ConfirmCheck::Submit;
    };
    let takes_effect_now =
        record.state == IntentState::Planned && !state::runs_in_steps(&record.kind);
    if !takes_effect_now || !matches!(record.kind, IntentKind::Drain(_)) {
        return ConfirmCheck::Submit;
    }
    match plan_kind(configuration, measurements, &record.kind, now_unix_ms) {
        Ok(_) => ConfirmCheck::Submit,
        Err(refusal) => ConfirmCheck::Refuse(refusal),
    }
}

fn plan_kind(
    configuration: &Configuration,
    measurements: &Measurements,
    kind: &IntentKind,
    now_unix_ms: u64,
) -> PlanResult {
    match kind {
        IntentKind::KeyIssue(issue) => plan_key_issue(configuration, issue),
        IntentKind::KeyReplace(replace) => plan_key_replace(configuration, replace, now_unix_ms),
        IntentKind::KeyWithdraw(withdraw) => plan_key_withdraw(configuration, withdraw),
        IntentKind::Rate(rate) => plan_rate(configuration, rate),
        IntentKind::Cancel(intent) => plan_state(configuration, intent, IntentState::Cancelled),
        IntentKind::Pause(intent) => plan_state(configuration, intent, IntentState::Paused),
        IntentKind::Resume(intent) => plan_state(configuration, intent, IntentState::Running),
        IntentKind::Move(intent) => {
            check_conflict(configuration, kind)?;
            Ok((moves::plan_move(configuration, measurements, intent)?.steps, Vec::new()))
        }
        IntentKind::Drain(DrainSubject::Region(region)) => {
            check_conflict(configuration, kind)?;
            plan_region_drain(configuration, measurements, region)
        }
        IntentKind::Drain(DrainSubject::Target(name)) => {
            plan_target_drain(configuration, measurements, name)
        }
        IntentKind::Drain(DrainSubject::Vm(vm)) => plan_vm_drain(configuration, vm),
    }
}

fn check_conflict(configuration: &Configuration, kind: &IntentKind) -> Result<(), Refusal> {
    executor::find_conflict(configuration, kind).map_or(Ok(()), |record| {
        let reason =
            format_smolstr!("unfinished intent {} already moves the same traffic", record.intent);
        Err(refusal(ResultCode::IntentState, reason))
    })
}

fn plan_region_drain(
    configuration: &Configuration,
    measurements: &Measurements,
    region: &RegionId,
) -> PlanResult {
    let planned = moves::plan_region_drain(configuration, measurements, region)?;
    let member = configuration.members.iter().find(|member| member.region == *region);
    let risk = "the VMs of the region keep running; drain each VM before you stop it";
    Ok((planned.steps, member.map(|_| risk.into()).into_iter().collect()))
}

fn refusal(code: ResultCode, reason: impl Into<SmolStr>) -> Refusal {
    Refusal { code: code.number(), reason: reason.into() }
}

/// Returns a plan with a single step after checking its changes against the configuration.
fn single_step(
    configuration: &Configuration,
    changes: Vec<Change>,
    note: SmolStr,
    risks: Vec<SmolStr>,
) -> PlanResult {
    for change in &changes {
        state::check_change(configuration, change)
            .map_err(|code| refusal(code, format_smolstr!("{code}: {note}")))?;
    }
    Ok((vec![PlanStep { changes, links: Vec::new(), note, regions: Vec::new() }], risks))
}

fn plan_key_issue(configuration: &Configuration, issue: &KeyIssueIntent) -> PlanResult {
    let KeyIssueIntent { hash, key, organisation } = issue;
    let note = format_smolstr!("adds key {key} to {organisation}");
    single_step(configuration, vec![key_add(organisation, key, *hash)], note, Vec::new())
}

fn plan_key_replace(
    configuration: &Configuration,
    replace: &KeyReplaceIntent,
    now_unix_ms: u64,
) -> PlanResult {
    let KeyReplaceIntent { hash, key, old_key, organisation, overlap_ms } = replace;
    let expire = Change::KeyExpire(KeyExpiry {
        expires_at_unix_ms: now_unix_ms.saturating_add(*overlap_ms),
        key: old_key.clone(),
        organisation: organisation.clone(),
    });
    let note = format_smolstr!(
        "adds key {key} to {organisation}; key {old_key} expires {overlap_ms} ms after the confirm"
    );
    single_step(configuration, vec![key_add(organisation, key, *hash), expire], note, Vec::new())
}

fn key_add(organisation: &OrganisationId, key: &KeyId, hash: KeyHash) -> Change {
    Change::KeyAdd(KeyIssueIntent { hash, key: key.clone(), organisation: organisation.clone() })
}

fn plan_key_withdraw(configuration: &Configuration, withdraw: &KeyWithdrawIntent) -> PlanResult {
    let KeyWithdrawIntent { key, organisation } = withdraw;
    let known = configuration.organisations.iter().find(|o| o.organisation == *organisation);
    let is_last = known.is_some_and(|o| o.keys.iter().all(|known| known.key == *key));
    let last_key_risk =
        format_smolstr!("{organisation} has no key left, so all its requests are refused");
    let note = format_smolstr!("withdraws key {key} of {organisation}");
    let risks = if is_last { vec![last_key_risk] } else { Vec::new() };
    single_step(configuration, vec![Change::KeyRemove(withdraw.clone())], note, risks)
}

fn plan_rate(configuration: &Configuration, rate: &RateIntent) -> PlanResult {
    let RateIntent { burst_requests, organisation, rate_requests_per_s } = rate;
    if rate_requests_per_s.get() > 0 && burst_requests.get() == 0 {
        let reason = "a burst of 0 admits no request at any rate";
        return Err(refusal(ResultCode::IntentRefused, reason));
    }
    let mut risks = Vec::new();
    if rate_requests_per_s.get() == 0 {
        risks
            .push(format_smolstr!("requests of {organisation} are refused once its burst is used"));
    }
    let note = format_smolstr!(
        "sets {organisation} to {rate_requests_per_s} with a burst of {burst_requests}"
    );
    single_step(configuration, vec![Change::Rate(rate.clone())], note, risks)
}

fn plan_state(configuration: &Configuration, intent: &IntentId, to: IntentState) -> PlanResult {
    let record = state::find_intent(configuration, intent).ok_or_else(|| {
        refusal(ResultCode::IntentUnknown, format_smolstr!("no intent {intent} is recorded"))
    })?;
    let mut changes =
        vec![Change::IntentState(IntentStateChange { intent: intent.clone(), state: to })];
    let mut risks = Vec::new();
    let mut note = format_smolstr!("sets intent {intent} from {} to {to}", record.state);
    if let (IntentState::Cancelled, IntentState::Done, IntentKind::Drain(subject)) =
        (to, record.state, &record.kind)
    {
        changes.insert(0, Change::Undrain(subject.clone()));
        note = format_smolstr!("{note} and ends the drain");
    }
    let has_moved_shares = state::runs_in_steps(&record.kind) && record.next_step > 0;
    if to == IntentState::Cancelled && has_moved_shares {
        risks.push("shares that were already moved stay in their new regions".into());
    }
    single_step(configuration, changes, note, risks)
}

fn plan_target_drain(
    configuration: &Configuration,
    measurements: &Measurements,
    name: &TargetName,
) -> PlanResult {
    let TargetName { service, target } = name;
    let capacity =
        measurements.targets.get(&(service.clone(), target.clone())).ok_or_else(|| {
            let reason = format_smolstr!("no target {target} of {service} is announced");
            refusal(ResultCode::SubjectUnknown, reason)
        })?;
    let remaining = celerygate_steering::moves::load_without_target(
        configuration,
        measurements,
        name,
        capacity,
    )?;
    let note = format_smolstr!("drains target {target} of {service} in {}", capacity.region);
    let change = Change::Drain(DrainSubject::Target(name.clone()));
    let (mut steps, risks) = single_step(configuration, vec![change], note, Vec::new())?;
    steps.iter_mut().for_each(|step| step.regions.push(remaining.clone()));
    Ok((steps, risks))
}

fn plan_vm_drain(configuration: &Configuration, vm: &VmId) -> PlanResult {
    let members = &configuration.members;
    let member = members.iter().find(|member| member.vm == *vm).ok_or_else(|| {
        refusal(ResultCode::SubjectUnknown, format_smolstr!("VM {vm} is not a member"))
    })?;
    let is_drained = |vm: &VmId| configuration.drains.contains(&DrainSubject::Vm(vm.clone()));
    if is_drained(vm) {
        let reason = format_smolstr!("VM {vm} is already drained");
        return Err(refusal(ResultCode::IntentRefused, reason));
    }
    let usable = |other: &VmId| other != vm && !is_drained(other);
    let others: Vec<_> = members.iter().filter(|other| usable(&other.vm)).collect();
    if others.is_empty() {
        return Err(refusal(ResultCode::NoHeadroom, "no other VM accepts callers"));
    }
    let mut risks = Vec::new();
    if !others.iter().any(|other| other.region == member.region) {
        let region = &member.region;
        risks.push(format_smolstr!("callers of {region} use VMs of other regions"));
    }
    let change = Change::Drain(DrainSubject::Vm(vm.clone()));
    single_step(configuration, vec![change], format_smolstr!("drains VM {vm}"), risks)
}

#[cfg(test)]
#[path = "intents_tests.rs"]
mod tests;
