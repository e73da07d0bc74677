//! Tests of the exit codes, which scripts evaluate.

use strum::IntoEnumIterator as _;

use super::*;

/// Guards against an exit code that reports a failure as success or as another kind of failure.
#[test]
fn exit_code_all() {
    for code in ResultCode::iter() {
        let failure = Failure::new(code, "x");
        assert_eq!(u16::from(failure.exit_code()), code.number() / 1_000, "{code}");
        assert_eq!(ResultCode::from_number(code.number()), Some(code));
    }
}

/// Guards against exit code 0 for a result code that this version does not know.
#[test]
fn exit_code_unknown() {
    let failure = Failure { code: 77, ..Failure::usage("x") };
    assert_eq!(failure.exit_code(), 3);
    assert_eq!(ResultCode::from_number(77), None);
}
