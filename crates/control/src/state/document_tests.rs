//! Guards against a lost or doubled change of the document when operators race and resend.

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
fn change_same_base_one_wins() {
    let mut state = empty_configuration();
    assert_eq!(
        apply_change(&mut state, change(0, 5, "first", "a")),
        ApplyOutcome::DocumentChanged { version: 5 }
    );
    assert_eq!(
        apply_change(&mut state, change(0, 5, "second", "b")),
        ApplyOutcome::Refused(ResultCode::RevisionConflict)
    );
    assert_eq!(state.document.items, [item("a", "first")]);
}

#[test]
fn change_resent_acknowledged_again() {
    let mut state = empty_configuration();
    apply_change(&mut state, change(0, 5, "first", "a"));
    apply_change(&mut state, change(5, 9, "second", "a"));
    let revision = state.revision;
    // The answer to the first change was lost and its operator learns of no newer one.
    assert_eq!(
        apply_change(&mut state, change(0, 5, "first", "a")),
        ApplyOutcome::DocumentChanged { version: 5 }
    );
    assert_eq!((state.document.version, state.revision), (9, revision));
    assert_eq!(state.document.items, [item("a", "second")]);
}

#[test]
fn change_version_not_above_refused() {
    let mut state = empty_configuration();
    apply_change(&mut state, change(0, 5, "first", "a"));
    for version in [4, 5] {
        assert_eq!(
            apply_change(&mut state, change(5, version, "late", "a")),
            ApplyOutcome::Refused(ResultCode::RevisionConflict)
        );
    }
}

#[test]
fn change_replaces_and_removes() {
    let mut state = empty_configuration();
    apply_change(&mut state, change(0, 1, "first", "a"));
    apply_change(&mut state, change(1, 2, "second", "b"));
    let gone = DocumentItemName { section: "routes".into(), name: "a".into() };
    let mut removal = change(2, 3, "third", "c");
    removal.remove.push(gone);
    apply_change(&mut state, removal);
    assert_eq!(state.document.items, [item("b", "second"), item("c", "third")]);
    let mut whole = change(3, 4, "fourth", "d");
    whole.replaces_all = true;
    apply_change(&mut state, whole);
    assert_eq!(state.document.items, [item("d", "fourth")]);
}

#[test]
fn evacuate_repeated_keeps_revision() {
    let mut state = empty_configuration();
    let command = |active| {
        Command::Evacuate(EvacuateCommand {
            data_centre: "east-1".parse().expect("valid id"),
            active,
        })
    };
    apply(&mut state, &command(true));
    apply(&mut state, &command(true));
    assert_eq!((state.evacuated.len(), state.revision), (1, Revision(1)));
    apply(&mut state, &command(false));
    apply(&mut state, &command(false));
    assert_eq!((state.evacuated.len(), state.revision), (0, Revision(2)));
}

/// Guards against a change of the control group that makes every VM fetch the document again: five
/// changes after a loss of power sent 560 kB five times to each entry VM.
#[test]
fn content_revision_only_by_content() {
    use celerygate_types::wire::{Member, MemberRole, MembershipChange};
    let mut state = empty_configuration();
    apply_change(&mut state, change(0, 5, "first", "a"));
    let before = state.content_revision;
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
    apply(&mut state, &Command::Membership(MembershipChange::AddLearner(member)));
    assert_eq!(state.content_revision, before);
    assert!(state.revision > before);
    apply_change(&mut state, change(5, 6, "second", "a"));
    assert_eq!(state.content_revision, state.revision);
}
