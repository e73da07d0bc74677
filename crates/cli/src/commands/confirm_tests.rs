//! Tests of following a confirm: a wait that ends too early or never.

use serde_json::from_value;

use super::*;
use crate::stand_in::answer;

/// Guards against a wait that ends before the last step is in force everywhere, or never.
#[test]
fn next_states() {
    for (state, next_step, in_force, expected) in [
        ("running", 0, true, Follow::Wait),
        ("running", 1, true, Follow::Wait),
        ("running", 2, false, Follow::Wait),
        ("running", 2, true, Follow::End),
        ("held", 1, true, Follow::Wait),
        ("paused", 1, true, Follow::Wait),
        ("done", 2, false, Follow::Wait),
        ("done", 2, true, Follow::End),
        ("done", 0, true, Follow::End),
        ("cancelled", 1, false, Follow::End),
        ("refused", 0, false, Follow::End),
    ] {
        let answer = from_value(answer(state, next_step, in_force)).unwrap();
        assert_eq!(next(&answer), expected, "{state} {next_step} {in_force}");
    }
}
