//! Tests of the message codec: forged, replayed, truncated and oversized messages.

use celerygate_types::wire::{FreshnessRequest, Heartbeat, VmState};
use celerygate_types::{Revision, Term};
use proptest::prelude::*;

use super::*;

const SECRET: &[u8] = b"0123456789abcdef0123456789abcdef";

fn envelope(sequence: u64) -> Envelope {
    Envelope {
        version: MESSAGE_VERSION,
        sender: "vm-1".parse().unwrap(),
        sender_incarnation: Incarnation(5),
        receiver_incarnation: Incarnation(9),
        sequence,
        message: Message::FreshnessRequest(FreshnessRequest {
            nonce: sequence,
            revision: Revision(1),
            digest: 0,
            state: VmState::Serving,
        }),
    }
}

fn guard() -> ReplayGuard {
    ReplayGuard::new(Incarnation(9), ["vm-1".parse().unwrap()])
}

#[test]
fn open_other_channel() {
    let sealed = Codec::new(Channel::Udp, SECRET).seal(&envelope(1)).unwrap();
    assert_eq!(Codec::new(Channel::Tcp, SECRET).open(&sealed), Err(CodecError::NotAuthentic));
}

#[test]
fn open_other_secret() {
    let sealed = Codec::new(Channel::Udp, SECRET).seal(&envelope(1)).unwrap();
    let other = Codec::new(Channel::Udp, b"another secret of this length...");
    assert_eq!(other.open(&sealed), Err(CodecError::NotAuthentic));
}

#[test]
fn open_other_version() {
    let codec = Codec::new(Channel::Udp, SECRET);
    let newer = Envelope { version: MESSAGE_VERSION + 1, ..envelope(1) };
    let sealed = codec.seal(&newer).unwrap();
    assert_eq!(codec.open(&sealed), Err(CodecError::Version(MESSAGE_VERSION + 1)));
}

#[test]
fn seal_oversized_datagram() {
    let message = Message::VoteRequest(celerygate_types::wire::VoteRequest {
        term: Term(1),
        last_index: celerygate_types::LogIndex(1),
        last_term: Term(1),
        pre_vote: true,
    });
    let codec = Codec::new(Channel::Udp, SECRET);
    assert!(codec.seal(&Envelope { message, ..envelope(1) }).is_ok());
    let loads = (0..100)
        .map(|n| celerygate_types::wire::ServiceLoad {
            service: format!("service-number-{n}").parse().unwrap(),
            running_slots: Default::default(),
            waiting_requests: Default::default(),
            sent_bytes_per_s: Default::default(),
        })
        .collect();
    let message = Message::Heartbeat(Heartbeat {
        state: VmState::Serving,
        revision: Revision(1),
        loads,
        links: vec![],
        targets: vec![],
    });
    let sealed = codec.seal(&Envelope { message, ..envelope(1) });
    assert_eq!(sealed, Err(CodecError::TooLarge(MAX_DATAGRAM_BYTES)));
}

#[test]
fn accept_repeated() {
    let mut guard = guard();
    assert_eq!(guard.accept(&envelope(1)), Ok(()));
    assert_eq!(guard.accept(&envelope(1)), Err(CodecError::Replayed));
}

#[test]
fn accept_earlier_incarnation_of_sender() {
    let mut guard = guard();
    assert_eq!(guard.accept(&envelope(10)), Ok(()));
    let earlier = Envelope { sender_incarnation: Incarnation(4), ..envelope(11) };
    assert_eq!(guard.accept(&earlier), Err(CodecError::Replayed));
}

#[test]
fn accept_earlier_incarnation_of_receiver() {
    let earlier = Envelope { receiver_incarnation: Incarnation(8), ..envelope(1) };
    assert_eq!(guard().accept(&earlier), Err(CodecError::OtherIncarnation));
    let unknown = Envelope { receiver_incarnation: Incarnation(0), ..envelope(1) };
    assert_eq!(guard().accept(&unknown), Err(CodecError::OtherIncarnation));
}

#[test]
fn accept_unknown_sender() {
    let unknown = Envelope { sender: "vm-9".parse().unwrap(), ..envelope(1) };
    assert_eq!(guard().accept(&unknown), Err(CodecError::UnknownSender));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 128, ..ProptestConfig::default() })]

    #[test]
    fn open_random_bytes(bytes in proptest::collection::vec(any::<u8>(), 0..2_000)) {
        prop_assert!(Codec::new(Channel::Udp, SECRET).open(&bytes).is_err());
    }

    #[test]
    fn open_changed_byte(position in any::<prop::sample::Index>(), change in 1..=u8::MAX) {
        let codec = Codec::new(Channel::Udp, SECRET);
        let mut sealed = codec.seal(&envelope(3)).unwrap();
        let index = position.index(sealed.len());
        sealed[index] ^= change;
        prop_assert_eq!(codec.open(&sealed), Err(CodecError::NotAuthentic));
    }

    /// Guards against a message that is accepted twice when messages arrive in another order.
    #[test]
    fn accept_once_in_any_order(order in proptest::collection::vec(0_u64..200, 1..300)) {
        let (mut guard, mut accepted) = (guard(), std::collections::HashSet::new());
        for sequence in order {
            if guard.accept(&envelope(sequence)).is_ok() {
                prop_assert!(accepted.insert(sequence));
            }
        }
    }
}
