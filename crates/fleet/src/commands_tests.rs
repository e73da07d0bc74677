//! Tests of the checks before an operator's change is proposed.

use celerygate_types::wire::AcceptedChange;

use super::*;

fn document() -> Document {
    let accepted = vec![AcceptedChange { digest: "first".into(), version: 5 }];
    Document { version: 5, items: Vec::new(), accepted }
}

fn change(based_on: u64, version: u64, digest: &str) -> DocumentCommand {
    DocumentCommand {
        based_on,
        version,
        digest: digest.into(),
        replaces_all: false,
        upsert: Vec::new(),
        remove: Vec::new(),
    }
}

/// Guards against acknowledging a repeated change from the state of a group that has become too
/// small: two of three voters hold it, and the loss of two disks undoes it.
#[test]
fn check_change_accepted_before() {
    let next = check_change(Some(&document()), &change(0, 5, "first"), |_| Ok(()));
    assert_eq!(next, NextStep::Propose);
}

/// Guards against answers that tell an operator to give up a change that would be accepted.
#[test]
fn check_change_answers() {
    let check = |command| check_change(Some(&document()), &command, |_| Err("no route".into()));
    let conflict = NextStep::Answer(CommandOutcome::Conflict);
    let invalid = |reason: &str| NextStep::Answer(CommandOutcome::Invalid(reason.into()));
    assert_eq!(check(change(4, 6, "second")), conflict);
    assert_eq!(
        check(change(5, 5, "second")),
        invalid("version 5 is not above the current version 5")
    );
    assert_eq!(check(change(5, 6, "second")), invalid("no route"));
    assert_eq!(check_change(None, &change(1, 2, "second"), |_| Ok(())), conflict);
    assert_eq!(check_change(None, &change(0, 1, "first"), |_| Ok(())), NextStep::Propose);
}
