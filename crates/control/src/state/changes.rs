//! Single changes of the configuration.

use celerygate_types::wire::{
    Change, Configuration, DrainSubject, IntentKind, IntentRecord, IntentState, IntentStateChange,
    KeyRecord, Organisation, Route,
};
use celerygate_types::{KeyId, OrganisationId, RegionId, ResultCode, ServiceId, SharePpm};

use super::{find_intent, intent_index};

/// Checks that a change can be applied to the configuration.
pub fn check_change(configuration: &Configuration, change: &Change) -> Result<(), ResultCode> {
    match change {
        Change::Route(route) => check_route(configuration, route),
        Change::Drain(subject) => known(has_subject(configuration, subject)),
        Change::Undrain(subject) => known(configuration.drains.contains(subject)),
        Change::KeyAdd(add) => {
            known(find_organisation(configuration, &add.organisation).is_some())?;
            let mut keys = configuration.organisations.iter().flat_map(|o| o.keys.iter());
            // A hash shared by two organisations would leave the owner of the key ambiguous.
            let is_taken = keys.any(|key| key.key == add.key || key.hash == add.hash);
            if is_taken { Err(ResultCode::IntentRefused) } else { Ok(()) }
        }
        Change::KeyExpire(expiry) => {
            known(has_key(configuration, &expiry.organisation, &expiry.key))
        }
        Change::KeyRemove(remove) => {
            known(has_key(configuration, &remove.organisation, &remove.key))
        }
        Change::Rate(rate) => known(find_organisation(configuration, &rate.organisation).is_some()),
        Change::IntentState(change) => check_intent_state(configuration, change),
    }
}

/// Applies a change that `check_change` accepts. Does nothing if its subject is missing.
pub(super) fn apply_change(configuration: &mut Configuration, change: &Change, at_unix_ms: u64) {
    match change {
        Change::Route(route) => set_route(configuration, route),
        Change::Drain(subject) => {
            if !configuration.drains.contains(subject) {
                configuration.drains.push(subject.clone());
            }
        }
        Change::Undrain(subject) => configuration.drains.retain(|drain| drain != subject),
        Change::KeyAdd(add) => update_organisation(configuration, &add.organisation, |found| {
            let (key, hash) = (add.key.clone(), add.hash);
            found.keys.push(KeyRecord { expires_at_unix_ms: None, hash, key });
        }),
        Change::KeyExpire(expiry) => {
            update_organisation(configuration, &expiry.organisation, |found| {
                for key in found.keys.iter_mut().filter(|key| key.key == expiry.key) {
                    key.expires_at_unix_ms = Some(expiry.expires_at_unix_ms);
                }
            });
        }
        Change::KeyRemove(remove) => {
            update_organisation(configuration, &remove.organisation, |found| {
                found.keys.retain(|key| key.key != remove.key);
            });
        }
        Change::Rate(rate) => update_organisation(configuration, &rate.organisation, |found| {
            found.rate_requests_per_s = rate.rate_requests_per_s;
            found.burst_requests = rate.burst_requests;
        }),
        Change::IntentState(change) => {
            if let Ok(index) = intent_index(configuration, &change.intent) {
                let record = &mut configuration.intents[index];
                record.state = change.state;
                record.held_reason = None;
                record.step_applied_at_unix_ms = Some(at_unix_ms);
            }
        }
    }
}

/// Returns whether an operator may set the state of an intent to `state`.
pub(crate) fn allows_state(
    configuration: &Configuration,
    record: &IntentRecord,
    state: IntentState,
) -> bool {
    use IntentState::{Cancelled, Done, Held, Paused, Planned, Running};
    match (record.state, state) {
        (Planned | Running | Held | Paused, Cancelled) => true,
        (Running | Held, Paused) | (Paused, Running) => true,
        // Cancelling a finished drain puts its subject back into service.
        (Done, Cancelled) => {
            matches!(&record.kind, IntentKind::Drain(subject) if configuration.drains.contains(subject))
        }
        _ => false,
    }
}

fn check_intent_state(
    configuration: &Configuration,
    change: &IntentStateChange,
) -> Result<(), ResultCode> {
    let record = find_intent(configuration, &change.intent).ok_or(ResultCode::IntentUnknown)?;
    let allowed = allows_state(configuration, record, change.state);
    if allowed { Ok(()) } else { Err(ResultCode::IntentState) }
}

/// Returns `SubjectUnknown` unless the subject was found.
fn known(found: bool) -> Result<(), ResultCode> {
    if found { Ok(()) } else { Err(ResultCode::SubjectUnknown) }
}

pub(crate) fn has_region(configuration: &Configuration, region: &RegionId) -> bool {
    configuration.regions.contains(region)
}

pub(crate) fn has_service(configuration: &Configuration, service: &ServiceId) -> bool {
    configuration.services.iter().any(|known| known.service == *service)
}

pub(crate) fn find_organisation<'a>(
    configuration: &'a Configuration,
    organisation: &OrganisationId,
) -> Option<&'a Organisation> {
    configuration.organisations.iter().find(|known| known.organisation == *organisation)
}

pub(crate) fn has_key(
    configuration: &Configuration,
    organisation: &OrganisationId,
    key: &KeyId,
) -> bool {
    find_organisation(configuration, organisation)
        .is_some_and(|found| found.keys.iter().any(|known| known.key == *key))
}

/// Returns whether the subject of a drain exists. Targets are not part of the configuration, so
/// only their service is checked.
pub(crate) fn has_subject(configuration: &Configuration, subject: &DrainSubject) -> bool {
    match subject {
        DrainSubject::Region(region) => has_region(configuration, region),
        DrainSubject::Target(name) => has_service(configuration, &name.service),
        DrainSubject::Vm(vm) => configuration.members.iter().any(|member| member.vm == *vm),
    }
}

fn check_route(configuration: &Configuration, route: &Route) -> Result<(), ResultCode> {
    let starts = route.segments.iter().map(|segment| segment.start_ppm);
    let is_complete = starts.clone().next() == Some(SharePpm::ZERO)
        && starts.is_sorted_by(|a, b| a < b)
        && route.segments.last().is_some_and(|segment| segment.start_ppm < SharePpm::WHOLE);
    if !is_complete {
        return Err(ResultCode::BadRequest);
    }
    let regions = route.segments.iter().map(|segment| &segment.region);
    known(
        has_service(configuration, &route.service)
            && regions.chain([&route.home_region]).all(|region| has_region(configuration, region)),
    )
}

fn set_route(configuration: &mut Configuration, route: &Route) {
    let is_same_route = |known: &&mut Route| {
        known.service == route.service && known.home_region == route.home_region
    };
    match configuration.routes.iter_mut().find(is_same_route) {
        Some(known) => known.segments.clone_from(&route.segments),
        None => configuration.routes.push(route.clone()),
    }
}

fn update_organisation(
    configuration: &mut Configuration,
    organisation: &OrganisationId,
    change: impl FnOnce(&mut Organisation),
) {
    let mut known = configuration.organisations.iter_mut();
    if let Some(found) = known.find(|known| known.organisation == *organisation) {
        change(found);
    }
}
