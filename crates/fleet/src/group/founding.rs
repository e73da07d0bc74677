//! Creation of the control group by the seeds on the first start of the system.

use celerygate_control::{founding, state};
use celerygate_types::wire::{Configuration, FleetSettings, Member, MemberRole};

/// Returns the store id for a data folder that does not exist yet.
///
/// Only the first start of a seed creates a folder that may vote on the creation of the group. A
/// folder that was lost is created anew by a later start and gets a random id.
pub(super) fn new_store_id(settings: &FleetSettings) -> u64 {
    if settings.found_group && settings.seeds.contains(&settings.vm) {
        return founding::store_id(&settings.vm, &settings.seeds);
    }
    rand::random()
}

/// Returns the first configuration of the group with the seeds as voters, none if this data folder
/// is not the one of a seed's first start. A process that restarts before the group exists has the
/// folder, but is no longer told that it is the first start.
pub(super) fn first_configuration(
    settings: &FleetSettings,
    store_id: u64,
) -> Option<Box<Configuration>> {
    let is_founder = settings.seeds.contains(&settings.vm)
        && store_id == founding::store_id(&settings.vm, &settings.seeds);
    if !is_founder {
        return None;
    }
    let mut configuration = state::empty_configuration();
    for seed in &settings.seeds {
        configuration.members.push(Member {
            vm: seed.clone(),
            region: settings.region.clone(),
            data_centre: settings.data_centre.clone(),
            role: MemberRole::Voter,
            store_id: None,
            callers_address: Default::default(),
            operators_address: Default::default(),
            peer_address: Default::default(),
        });
    }
    Some(Box::new(founding::first_configuration(configuration)))
}
