//! Tests that messages survive a round trip through their encoding. Guards against schema
//! constructs that `postcard` cannot encode, such as omitted optional fields.

use celerygate_types::wire::{Envelope, FreshnessReply, Message, VoteRecord};
use celerygate_types::{Incarnation, Revision, Term};

#[test]
fn envelope_freshness_reply() {
    let envelope = Envelope {
        version: 1,
        sender: "vm-1".parse().unwrap(),
        sender_incarnation: Incarnation(7),
        receiver_incarnation: Incarnation(0),
        sequence: 3,
        message: Message::FreshnessReply(FreshnessReply {
            nonce: 9,
            term: Term(2),
            revision: Revision(u64::MAX),
            age_ms: 0,
        }),
    };
    let encoded = postcard::to_allocvec(&envelope).unwrap();
    assert_eq!(postcard::from_bytes::<Envelope>(&encoded).unwrap(), envelope);
}

#[test]
fn vote_record_null_and_set() {
    for voted_for in [None, Some("vm-2".parse().unwrap())] {
        let record = VoteRecord { term: Term(1), voted_for };
        let encoded = postcard::to_allocvec(&record).unwrap();
        assert_eq!(postcard::from_bytes::<VoteRecord>(&encoded).unwrap(), record);
    }
}
