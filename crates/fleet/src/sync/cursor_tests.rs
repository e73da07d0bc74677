//! Guards against repeated requests for the same changes: 615 targets that registered at once
//! caused hundreds of replies of 60 kB each, which saturated the links of the entry VMs for
//! seconds.

use super::*;

fn position(change: u64) -> Position {
    Position { targets_epoch: 1, targets_change: change, daemons_digest: 0 }
}

#[test]
fn next_request_one_for_many_notices() {
    let now = Instant::now();
    let mut cursor = Cursor::default();
    assert_eq!(cursor.next_request(now), NextRequest::Send(Position::default()));
    for _ in 0..600 {
        assert_eq!(cursor.next_request(now), NextRequest::Wait);
    }
    assert_eq!(cursor.handle_reply(position(600), false), AfterReply::RequestAgain);
    assert_eq!(cursor.next_request(now), NextRequest::Send(position(600)));
    assert_eq!(cursor.handle_reply(position(600), false), AfterReply::Done);
}

#[test]
fn next_request_after_lost_reply() {
    let now = Instant::now();
    let mut cursor = Cursor::default();
    cursor.next_request(now);
    assert_eq!(cursor.next_request(now + REPLY_TIMEOUT), NextRequest::Send(Position::default()));
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
    assert_eq!(
        cursor.next_request(now),
        NextRequest::Send(Position { targets_change: 0, ..known })
    );
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
    assert_eq!(cursor.next_request(now), NextRequest::Send(full));
    // The reply is lost.
    assert_eq!(cursor.next_request(now + REPLY_TIMEOUT), NextRequest::Send(full));
}
