//! Tests of ids. Guards against a parser that lets separators or control characters into logs and
//! paths.

use proptest::prelude::*;

use super::*;

proptest! {
    #[test]
    fn text_id_round_trip(text in "[a-z0-9._-]{1,64}") {
        let id: VmId = text.parse().unwrap();
        prop_assert_eq!(id.to_string(), text.clone());
        let encoded = postcard::to_allocvec(&id).unwrap();
        prop_assert_eq!(postcard::from_bytes::<VmId>(&encoded).unwrap(), id);
    }

    #[test]
    fn text_id_invalid_character(text in "[a-z]{0,5}[^a-z0-9._-][a-z]{0,5}") {
        prop_assert!(text.parse::<ServiceId>().is_err());
        let encoded = postcard::to_allocvec(text.as_str()).unwrap();
        prop_assert!(postcard::from_bytes::<ServiceId>(&encoded).is_err());
    }

    #[test]
    fn key_hash_round_trip(hash in any::<[u8; 32]>()) {
        prop_assert_eq!(KeyHash(hash).to_string().parse(), Ok(KeyHash(hash)));
    }

    #[test]
    fn number_id_round_trip(value in any::<u64>()) {
        prop_assert_eq!(Revision(value).to_string().parse(), Ok(Revision(value)));
        prop_assert_eq!(Term(value).to_string().parse(), Ok(Term(value)));
    }
}

#[test]
fn text_id_wrong_length() {
    assert!("".parse::<VmId>().is_err());
    assert!("a".repeat(MAX_ID_BYTES + 1).parse::<VmId>().is_err());
}

#[test]
fn key_hash_debug_is_short() {
    expect_test::expect!["KeyHash(abab..)"].assert_eq(&format!("{:?}", KeyHash([0xab; 32])));
}
