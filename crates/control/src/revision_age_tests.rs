//! Guards against a daemon that takes its configuration for the newest one although a newer one was
//! acknowledged.

use std::time::Duration;

use super::*;

const OWN: Revision = Revision(7);

fn vm(number: u8) -> VmId {
    format!("127.0.0.{number}").parse().expect("valid id")
}

fn seconds(start: Instant, seconds: u64) -> Instant {
    start + Duration::from_secs(seconds)
}

/// Sends a request to a control VM and records its reply.
fn ask(age: &mut RevisionAge, number: u8, at: Instant, revision: Revision) {
    let nonce = age.begin_request(&vm(number), at);
    age.record_reply(&vm(number), nonce, revision);
}

#[test]
fn newest_at_quorum_of_replies() {
    let start = Instant::now();
    let mut age = RevisionAge::new(0);
    for number in 1..=5 {
        assert_eq!(
            age.newest_at(OWN, 3),
            (number > 3).then(|| seconds(start, u64::from(number) - 3))
        );
        ask(&mut age, number, seconds(start, u64::from(number)), OWN);
    }
    // Three control VMs were asked at the time 3 or later.
    assert_eq!(age.newest_at(OWN, 3), Some(seconds(start, 3)));
}

#[test]
fn newest_at_newer_revision_known() {
    let start = Instant::now();
    let mut age = RevisionAge::new(0);
    (1..=5).for_each(|number| ask(&mut age, number, start, OWN));
    age.record_notice(&vm(2), Revision(8));
    assert_eq!(age.newest_at(OWN, 3), None);
    assert_eq!(age.newest_at(Revision(8), 3), Some(start));
    // A control VM whose disk was lost states an older revision.
    ask(&mut age, 2, seconds(start, 1), Revision(1));
    assert_eq!(age.newest_at(OWN, 3), Some(start));
}

/// Guards against a late reply that counts as one to a later request, or to a request of this process.
#[test]
fn record_reply_to_earlier_request() {
    let start = Instant::now();
    let mut age = RevisionAge::new(u64::MAX);
    let first = age.begin_request(&vm(1), start);
    let second = age.begin_request(&vm(1), seconds(start, 2));
    age.record_reply(&vm(1), first, OWN);
    assert_eq!(age.newest_at(OWN, 1), Some(start));
    age.record_reply(&vm(1), second, OWN);
    assert_eq!(age.newest_at(OWN, 1), Some(seconds(start, 2)));
    for (number, nonce) in [(1, second), (1, first), (2, second), (1, 99)] {
        age.record_reply(&vm(number), nonce, OWN);
        assert_eq!(age.newest_at(OWN, 1), Some(seconds(start, 2)));
        assert_eq!(age.newest_at(OWN, 2), None);
    }
}

/// Guards against memory that grows with the requests to a control VM that does not reply.
#[test]
fn begin_request_without_replies_bounded() {
    let start = Instant::now();
    let mut age = RevisionAge::new(0);
    let nonces: Vec<u64> =
        (0..20).map(|second| age.begin_request(&vm(1), seconds(start, second))).collect();
    age.record_reply(&vm(1), nonces[0], OWN);
    assert_eq!(age.newest_at(OWN, 1), None);
    age.record_reply(&vm(1), nonces[19], OWN);
    assert_eq!(age.newest_at(OWN, 1), Some(seconds(start, 19)));
}
