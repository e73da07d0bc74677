//! Tests of the exit codes: scripts depend on them.

use strum::IntoEnumIterator as _;

use super::*;

/// Guards against scripts that take a refusal for success or for another kind of failure.
#[test]
fn exit_code_all() {
    for code in ResultCode::iter() {
        let failure = Failure::new(code, "x");
        assert_eq!(u16::from(failure.exit_code()), code.number() / 1_000, "{code}");
        assert_eq!(ResultCode::from_number(code.number()), Some(code));
    }
}

/// Guards against success as the exit code of a code that this version does not know.
#[test]
fn exit_code_unknown() {
    let failure = Failure { code: 77, ..Failure::usage("x") };
    assert_eq!(failure.exit_code(), 3);
    assert_eq!(ResultCode::from_number(77), None);
}
