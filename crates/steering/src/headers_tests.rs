//! Tests of headers: a target must not see a key, and nobody may forge internal headers.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use super::*;

const KEY: &str = "k3y.of-north~1";

fn fixed(seed: u64) -> ProptestConfig {
    let rng_seed = RngSeed::Fixed(seed);
    ProptestConfig { cases: 1_000, rng_seed, failure_persistence: None, ..Default::default() }
}

fn kept(headers: &[(String, String)], is_request: bool) -> Vec<(String, String)> {
    let pairs = || headers.iter().map(|(name, value)| (name.as_str(), value.as_bytes()));
    let filter = match is_request {
        true => HeaderFilter::for_request(pairs()),
        false => HeaderFilter::for_response(pairs()),
    };
    let keeps = |(name, value): &&(String, String)| filter.should_forward(name, value.as_bytes());
    headers.iter().filter(keeps).cloned().collect()
}

fn escaped(text: &str) -> String {
    text.bytes().map(|byte| format!("%{byte:02X}")).collect()
}

fn header() -> impl Strategy<Value = (String, String)> {
    let name = prop::sample::select(vec![
        "accept",
        "Authorization",
        "authorization",
        "x_trace",
        "cookie",
        "x-api-key",
        "TE",
        "upgrade",
        "Proxy-Authorization",
        "x-one",
        "X-Two",
        "celerygate-vm",
        "Celerygate_deadline-ms",
        "host",
        "x-authorization",
        "transfer-encoding",
        "content-length",
        "idempotency-key",
    ]);
    let value = prop_oneof![
        Just("plain".to_owned()),
        Just(format!("Bearer {KEY}")),
        Just(format!("a={KEY}; b")),
        Just(escaped(KEY)),
        Just(format!("Basic {KEY}")),
    ];
    // Whatever an `Authorization` header holds counts as a credential, so it is never harmless.
    (name, value).prop_map(|(name, value)| match name.eq_ignore_ascii_case("authorization") {
        true => (name.to_owned(), format!("Bearer {KEY}")),
        false => (name.to_owned(), value),
    })
}

proptest! {
    #![proptest_config(fixed(21))]

    /// Guards against a key that reaches the target, and against hop-by-hop, named or internal
    /// headers that pass in either direction.
    #[test]
    fn keeps_nothing_forbidden(
        mut headers in prop::collection::vec(header(), 0..10),
        named in prop::collection::vec(
            prop::sample::select(vec!["x-one", "X-TWO", "close", ""]), 0..3,
        ),
        is_request in any::<bool>(),
    ) {
        headers.push(("Connection".to_owned(), named.join(" , ")));
        headers.push(("authorization".to_owned(), format!("bearer {KEY}")));
        let forwarded = kept(&headers, is_request);
        for (name, value) in &forwarded {
            let name = name.to_lowercase().replace('_', "-");
            prop_assert!(
                !is_request || !value.contains(KEY) && *value != escaped(KEY),
                "{name}: {value}"
            );
            prop_assert!(!HOP_BY_HOP.contains(&name.as_str()), "{name}");
            prop_assert!(!name.starts_with("celerygate-"), "{name}");
            prop_assert!(!named.iter().any(|named| named.to_lowercase() == name), "{name}");
        }
        let harmless = |(name, value): &&(String, String)| {
            value == "plain"
                && ["accept", "host", "idempotency-key", "x-api-key"].contains(&name.as_str())
        };
        let all = headers.iter().filter(harmless).count();
        prop_assert_eq!(forwarded.iter().filter(harmless).count(), all);
    }

    /// Guards against a deadline that grows on its way.
    #[test]
    fn remaining_ms_never_more(deadline_ms in 0..700_000_u64, spent_us in 0..700_000_000_u64) {
        let received_at = Instant::now();
        let now = received_at + Duration::from_micros(spent_us);
        let left = remaining_ms(received_at, Duration::from_millis(deadline_ms), now);
        prop_assert_eq!(left.unwrap_or(0), (deadline_ms * 1_000).saturating_sub(spent_us) / 1_000);
        prop_assert_ne!(left, Some(0));
    }
}

/// Guards against a response that loses headers because the caller's key appears in them.
#[test]
fn keeps_response_headers() {
    let headers = [("set-cookie".to_owned(), format!("a={KEY}"))];
    assert_eq!(kept(&headers, false), headers);
}

#[test]
fn target_reveals_key_forms() {
    let reveals = |path: &str| path_contains_key(path, KEY.as_bytes());
    assert!(reveals(&format!("/a?key={KEY}")));
    assert!(reveals(&format!("/a/{}/b", escaped(KEY))));
    assert!(reveals("/a?key=k3y.of%2dnorth~1"));
    assert!(!reveals("/a?key=k3y.of-north~2%"));
    assert!(!path_contains_key("/a", b""));
}

/// Guards against a malformed or contradicting deadline being read as some number.
#[test]
fn parse_deadline_values() {
    let parse = |values: &[&str]| parse_deadline(values.iter().map(|value| value.as_bytes()));
    assert_eq!(parse(&[]), Ok(DEFAULT_DEADLINE));
    assert_eq!(parse(&["250", " 250"]), Ok(Duration::from_millis(250)));
    assert_eq!(parse(&["600001"]), Ok(MAX_DEADLINE));
    for values in [&["1", "2"][..], &["-1"], &["1.5"], &[""], &["9999999999999999999"], &["+5"]] {
        assert_eq!(parse(values), Err(ResultCode::BadRequest), "{values:?}");
    }
}

#[test]
fn parse_idempotency_key_values() {
    let parse = |values: &[&'static str]| {
        parse_idempotency_key(values.iter().map(|value| value.as_bytes()))
    };
    assert_eq!(parse(&[]), Ok(None));
    assert_eq!(parse(&["hold 7"]), Ok(Some(&b"hold 7"[..])));
    for values in [&["a", "b"][..], &[""], &["a\u{7f}"]] {
        assert_eq!(parse(values), Err(ResultCode::BadRequest), "{values:?}");
    }
    let long = "x".repeat(MAX_IDEMPOTENCY_KEY_BYTES + 1);
    assert_eq!(parse_idempotency_key([long.as_bytes()]), Err(ResultCode::BadRequest));
}
