//! Tests of `confirm --wait`.

use serde_json::from_value;

use super::*;
use crate::mock_daemon::intent_answer;

/// Guards against a wait that ends before the last step is in force everywhere, or never.
#[test]
fn next_poll_states() {
    for (state, next_step, in_force, expected) in [
        ("running", 0, true, NextPoll::Continue),
        ("running", 1, true, NextPoll::Continue),
        ("running", 2, false, NextPoll::Continue),
        ("running", 2, true, NextPoll::Stop),
        ("held", 1, true, NextPoll::Continue),
        ("paused", 1, true, NextPoll::Continue),
        ("done", 2, false, NextPoll::Continue),
        ("done", 2, true, NextPoll::Stop),
        ("done", 0, true, NextPoll::Stop),
        ("cancelled", 1, false, NextPoll::Stop),
        ("refused", 0, false, NextPoll::Stop),
    ] {
        let answer = from_value(intent_answer(state, next_step, in_force)).unwrap();
        assert_eq!(next_poll(&answer), expected, "{state} {next_step} {in_force}");
    }
}
