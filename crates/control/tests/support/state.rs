//! Test data of the cluster and a small state machine.

use std::str::FromStr;

use celerygate_control::membership;
use celerygate_types::wire::{Command, Configuration, LogEntry, Member, MemberRole};
use celerygate_types::{IdError, Revision, VmId};

pub fn id<T: FromStr<Err = IdError>>(text: &str) -> T {
    text.parse().expect("a valid id")
}

pub fn vm_id(number: usize) -> VmId {
    id(&format!("vm-{number}"))
}

pub fn member(vm: VmId, role: MemberRole, store_id: Option<u64>) -> Member {
    Member {
        callers_address: "127.0.0.1:1".into(),
        operators_address: "127.0.0.1:2".into(),
        peer_address: "127.0.0.1:3".into(),
        data_centre: id("dc"),
        region: id("r"),
        role,
        store_id,
        vm,
    }
}

pub fn configuration(members: Vec<Member>) -> Configuration {
    Configuration {
        client_blocks: vec![],
        drains: vec![],
        intents: vec![],
        links: vec![],
        members,
        organisations: vec![],
        regions: vec![],
        revision: Revision(0),
        routes: vec![],
        services: vec![],
        slot_owners: vec![],
        document: celerygate_types::wire::Document { version: 0, items: vec![], accepted: vec![] },
        evacuated: vec![],
        content_revision: Revision(0),
    }
}

/// Returns the name of an operator's command in the tests.
pub fn command_name(command: &Command) -> Option<String> {
    match command {
        Command::Hold(hold) => Some(hold.intent.to_string()),
        Command::Evacuate(evacuate) => Some(evacuate.data_centre.to_string()),
        _ => None,
    }
}

/// Returns how often a command with this name is in the state.
pub fn count_applied(state: &Configuration, name: &str) -> usize {
    let held = state.regions.iter().filter(|region| region.as_str() == name).count();
    held + state.evacuated.iter().filter(|evacuated| evacuated.as_str() == name).count()
}

/// Applies an entry to a state machine that appends the name of each command to a list.
pub fn apply(state: &mut Configuration, entry: &LogEntry) {
    if let Command::Bootstrap(first) = &entry.command {
        *state = first.clone();
    }
    membership::apply_command(&mut state.members, &entry.command);
    if let Command::Hold(hold) = &entry.command {
        state.regions.push(id(hold.intent.as_str()));
        state.revision = state.revision.saturating_add(Revision(1));
    }
    if let Command::Evacuate(evacuate) = &entry.command {
        state.evacuated.push(evacuate.data_centre.clone());
    }
}
