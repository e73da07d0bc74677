//! Tests of changes of the document. They guard against changes that are lost or applied twice when
//! operators send changes concurrently or resend them.

use celerygate_types::wire::{
    Command, Configuration, DocumentCommand, DocumentItem, DocumentItemName, EvacuateCommand,
};
use celerygate_types::{ResultCode, Revision};

use super::super::{ApplyOutcome, apply, empty_configuration};

fn change(based_on: u64, version: u64, digest: &str, name: &str) -> DocumentCommand {
    DocumentCommand {
        based_on,
        version,
        digest: digest.into(),
        replaces_all: false,
        upsert: vec![item(name, digest)],
        remove: Vec::new(),
    }
}

fn item(name: &str, content: &str) -> DocumentItem {
    DocumentItem { section: "routes".into(), name: name.into(), content: content.into() }
}

fn apply_change(configuration: &mut Configuration, command: DocumentCommand) -> ApplyOutcome {
    apply(configuration, &Command::Document(command))
}

#[test]
fn change_same_base_one_accepted() {
    let mut configuration = empty_configuration();
    assert_eq!(
        apply_change(&mut configuration, change(0, 5, "first", "a")),
        ApplyOutcome::DocumentChanged { version: 5 }
    );
    assert_eq!(
        apply_change(&mut configuration, change(0, 5, "second", "b")),
        ApplyOutcome::Refused(ResultCode::RevisionConflict)
    );
    assert_eq!(configuration.document.items, [item("a", "first")]);
}

#[test]
fn change_resent_same_version() {
    let mut configuration = empty_configuration();
    apply_change(&mut configuration, change(0, 5, "first", "a"));
    apply_change(&mut configuration, change(5, 9, "second", "a"));
    let revision = configuration.revision;
    // The answer to the first change was lost, so its operator resends it after a newer change.
    assert_eq!(
        apply_change(&mut configuration, change(0, 5, "first", "a")),
        ApplyOutcome::DocumentChanged { version: 5 }
    );
    assert_eq!((configuration.document.version, configuration.revision), (9, revision));
    assert_eq!(configuration.document.items, [item("a", "second")]);
}

#[test]
fn change_version_not_higher_refused() {
    let mut configuration = empty_configuration();
    apply_change(&mut configuration, change(0, 5, "first", "a"));
    for version in [4, 5] {
        assert_eq!(
            apply_change(&mut configuration, change(5, version, "late", "a")),
            ApplyOutcome::Refused(ResultCode::RevisionConflict)
        );
    }
}

#[test]
fn change_replaces_and_removes() {
    let mut configuration = empty_configuration();
    apply_change(&mut configuration, change(0, 1, "first", "a"));
    apply_change(&mut configuration, change(1, 2, "second", "b"));
    let removed_item = DocumentItemName { section: "routes".into(), name: "a".into() };
    let mut removal = change(2, 3, "third", "c");
    removal.remove.push(removed_item);
    apply_change(&mut configuration, removal);
    assert_eq!(configuration.document.items, [item("b", "second"), item("c", "third")]);
    let mut replacement = change(3, 4, "fourth", "d");
    replacement.replaces_all = true;
    apply_change(&mut configuration, replacement);
    assert_eq!(configuration.document.items, [item("d", "fourth")]);
}

#[test]
fn evacuate_repeated_keeps_revision() {
    let mut configuration = empty_configuration();
    let command = |active| {
        Command::Evacuate(EvacuateCommand {
            data_centre: "east-1".parse().expect("valid id"),
            active,
        })
    };
    apply(&mut configuration, &command(true));
    apply(&mut configuration, &command(true));
    assert_eq!((configuration.evacuated.len(), configuration.revision), (1, Revision(1)));
    apply(&mut configuration, &command(false));
    apply(&mut configuration, &command(false));
    assert_eq!((configuration.evacuated.len(), configuration.revision), (0, Revision(2)));
}

/// Guards against changes of the control group's members that make every VM fetch the document
/// again. Five such changes after a power loss caused five transfers of 560 kB to each entry VM.
#[test]
fn content_revision_only_by_content() {
    use celerygate_types::wire::{Member, MemberRole, MembershipChange};
    let mut configuration = empty_configuration();
    apply_change(&mut configuration, change(0, 5, "first", "a"));
    let before = configuration.content_revision;
    let member = Member {
        vm: "10.0.0.9".parse().expect("valid id"),
        region: "east".parse().expect("valid id"),
        data_centre: "east-1".parse().expect("valid id"),
        role: MemberRole::Learner,
        store_id: Some(9),
        callers_address: "".into(),
        operators_address: "".into(),
        peer_address: "".into(),
    };
    apply(&mut configuration, &Command::Membership(MembershipChange::AddLearner(member)));
    assert_eq!(configuration.content_revision, before);
    assert!(configuration.revision > before);
    apply_change(&mut configuration, change(5, 6, "second", "a"));
    assert_eq!(configuration.content_revision, configuration.revision);
}
