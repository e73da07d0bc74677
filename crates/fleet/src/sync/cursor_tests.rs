//! Guards against repeated requests for the same changes: 615 targets that registered at once
//! caused hundreds of replies of 60 kB each, which saturated the links of the entry VMs for
//! seconds.

use super::*;

/// Returns the request at a position. These tests send no request to an informed control VM.
fn send(position: Position) -> NextRequest {
    NextRequest::Send { position, informs: position.targets_epoch != 0 }
}

fn position(change: u64) -> Position {
    Position { targets_epoch: 1, targets_change: change, daemons_digest: 0 }
}

#[test]
fn next_request_one_for_many_notices() {
    let now = Instant::now();
    let mut cursor = Cursor::default();
    assert_eq!(cursor.next_request(now), send(Position::default()));
    for _ in 0..600 {
        assert_eq!(cursor.next_request(now), NextRequest::Wait);
    }
    assert_eq!(cursor.handle_reply(position(600), false), AfterReply::RequestAgain);
    assert_eq!(cursor.next_request(now), send(position(600)));
    assert_eq!(cursor.handle_reply(position(600), false), AfterReply::Done);
}

#[test]
fn next_request_after_lost_reply() {
    let now = Instant::now();
    let mut cursor = Cursor::default();
    cursor.next_request(now);
    assert_eq!(cursor.next_request(now + REPLY_TIMEOUT), send(Position::default()));
}

#[test]
fn handle_reply_truncated_requests_again() {
    let mut cursor = Cursor::default();
    cursor.next_request(Instant::now());
    assert_eq!(cursor.handle_reply(position(256), true), AfterReply::RequestAgain);
}

/// Guards against entry VMs that remove a target because its heartbeats contain no change.
#[test]
fn request_full_sync_resets_targets() {
    let now = Instant::now();
    let mut cursor = Cursor::default();
    let known = Position { targets_epoch: 3, targets_change: 40, daemons_digest: 9 };
    cursor.next_request(now);
    cursor.handle_reply(known, false);
    cursor.request_full_sync();
    assert_eq!(cursor.next_request(now), send(Position { targets_change: 0, ..known }));
}

/// Guards against a full sync that is dropped because the reply to an earlier request arrives before
/// it is requested.
#[test]
fn request_full_sync_while_waiting() {
    let now = Instant::now();
    let mut cursor = Cursor::default();
    let known = Position { targets_epoch: 3, targets_change: 40, daemons_digest: 9 };
    cursor.next_request(now);
    cursor.request_full_sync();
    assert_eq!(cursor.next_request(now), NextRequest::Wait);
    cursor.handle_reply(known, false);
    let full = Position { targets_change: 0, ..known };
    assert_eq!(cursor.next_request(now), send(full));
    // The reply is lost.
    assert_eq!(cursor.next_request(now + REPLY_TIMEOUT), send(full));
}

/// Guards against a control VM that has forgotten in a restart which targets have left, and is not told
/// by the daemons that still know.
#[test]
fn next_request_informs_restarted_control_vm() {
    let now = Instant::now();
    let mut cursor = Cursor::default();
    let informs = |cursor: &mut Cursor, at| match cursor.next_request(at) {
        NextRequest::Send { informs, .. } => informs,
        NextRequest::Wait => panic!("no request is outstanding"),
    };
    let epoch = |targets_epoch| Position { targets_epoch, targets_change: 4, daemons_digest: 0 };
    assert!(!informs(&mut cursor, now), "the control VM is not known yet");
    cursor.handle_reply(epoch(1), false);
    assert!(informs(&mut cursor, now));
    // The request or its reply is lost.
    assert!(informs(&mut cursor, now + REPLY_TIMEOUT));
    cursor.handle_reply(epoch(1), false);
    assert!(!informs(&mut cursor, now));
    cursor.handle_reply(epoch(2), false);
    assert!(informs(&mut cursor, now), "it has restarted");
    // It restarts again before it handles the request.
    cursor.handle_reply(epoch(3), false);
    assert!(informs(&mut cursor, now));
    cursor.handle_reply(epoch(3), false);
    assert!(!informs(&mut cursor, now));
}
