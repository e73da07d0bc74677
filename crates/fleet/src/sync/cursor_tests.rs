//! Guards against answers that are asked for many times over: 615 targets that register at once
//! caused hundreds of answers of 60 kB each, which filled the links of the entry VMs for seconds.

use super::*;

fn position(change: u64) -> Position {
    Position { targets_epoch: 1, targets_change: change, daemons_digest: 0 }
}

#[test]
fn ask_many_notices_one_question() {
    let now = Instant::now();
    let mut cursor = Cursor::default();
    assert_eq!(cursor.ask(now), Ask::Send(Position::default()));
    for _ in 0..600 {
        assert_eq!(cursor.ask(now), Ask::Wait);
    }
    assert_eq!(cursor.answered(position(600), false), Answered::AskAgain);
    assert_eq!(cursor.ask(now), Ask::Send(position(600)));
    assert_eq!(cursor.answered(position(600), false), Answered::Done);
}

#[test]
fn ask_answer_lost() {
    let now = Instant::now();
    let mut cursor = Cursor::default();
    cursor.ask(now);
    assert_eq!(cursor.ask(now + ANSWER_TIMEOUT), Ask::Send(Position::default()));
}

#[test]
fn answered_cut_continues_at_once() {
    let mut cursor = Cursor::default();
    cursor.ask(Instant::now());
    assert_eq!(cursor.answered(position(256), true), Answered::AskAgain);
}

/// Guards against targets that an entry VM forgets because their heartbeats change nothing.
#[test]
fn ask_for_all_targets_again() {
    let now = Instant::now();
    let mut cursor = Cursor::default();
    let known = Position { targets_epoch: 3, targets_change: 40, daemons_digest: 9 };
    cursor.ask(now);
    cursor.answered(known, false);
    cursor.ask_for_all();
    assert_eq!(cursor.ask(now), Ask::Send(Position { targets_change: 0, ..known }));
}
