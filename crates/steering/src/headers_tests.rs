//! Tests of headers. A target must not receive a key, and callers and targets must not be able to
//! forge internal headers.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use super::*;

const KEY: &str = "k3y.of-north~1";

fn config_with_seed(seed: u64) -> ProptestConfig {
    let rng_seed = RngSeed::Fixed(seed);
    ProptestConfig { cases: 1_000, rng_seed, failure_persistence: None, ..Default::default() }
}

fn forwarded_headers(headers: &[(String, String)], is_request: bool) -> Vec<(String, String)> {
    let pairs = || headers.iter().map(|(name, value)| (name.as_str(), value.as_bytes()));
    let filter = match is_request {
        true => HeaderFilter::for_request(pairs()),
        false => HeaderFilter::for_response(pairs()),
    };
    let should_forward =
        |(name, value): &&(String, String)| filter.should_forward(name, value.as_bytes());
    headers.iter().filter(should_forward).cloned().collect()
}

/// Guards against a faulty or hostile time that is read as another one.
#[test]
fn parse_retry_after_seconds() {
    for (value, ms) in [("2", 2_000), ("0.25", 250), (" 1.5 ", 1_500), ("3.", 3_000), ("0", 0)] {
        let expected = Some(Duration::from_millis(ms));
        assert_eq!(parse_retry_after(value.as_bytes()), expected, "{value:?}");
    }
    for value in
        ["", "-1", "+1", "NaN", "inf", "1e3", "1.2.3", ".5", "Wed, 21 Oct 2026 07:28:00 GMT"]
    {
        assert_eq!(parse_retry_after(value.as_bytes()), None, "{value:?}");
    }
    assert_eq!(parse_retry_after(b"\xff"), None);
    assert_eq!(parse_retry_after("9".repeat(400).as_bytes()), Some(TimeSpan::MAX.get()));
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
    // Any value of an `Authorization` header counts as a credential, so none of them is harmless.
    (name, value).prop_map(|(name, value)| match name.eq_ignore_ascii_case("authorization") {
        true => (name.to_owned(), format!("Bearer {KEY}")),
        false => (name.to_owned(), value),
    })
}

proptest! {
    #![proptest_config(config_with_seed(21))]

    /// Guards against a key that reaches the target, and against forwarding hop-by-hop headers,
    /// headers named by `Connection` or internal headers in either direction.
    #[test]
    fn should_forward_nothing_forbidden(
        mut headers in prop::collection::vec(header(), 0..10),
        named in prop::collection::vec(
            prop::sample::select(vec!["x-one", "X-TWO", "close", ""]), 0..3,
        ),
        is_request in any::<bool>(),
    ) {
        headers.push(("Connection".to_owned(), named.join(" , ")));
        headers.push(("authorization".to_owned(), format!("bearer {KEY}")));
        let forwarded = forwarded_headers(&headers, is_request);
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

    /// Guards against a remaining time that exceeds the deadline.
    #[test]
    fn remaining_ms_within_deadline(deadline_ms in 0..700_000_u64, spent_us in 0..700_000_000_u64) {
        let received_at = Instant::now();
        let now = received_at + Duration::from_micros(spent_us);
        let left = remaining_ms(received_at, Duration::from_millis(deadline_ms), now);
        prop_assert_eq!(left.unwrap_or(0), (deadline_ms * 1_000).saturating_sub(spent_us) / 1_000);
        prop_assert_ne!(left, Some(0));
    }
}

/// Guards against dropping response headers because they contain the caller's key.
#[test]
fn should_forward_response_headers() {
    let headers = [("set-cookie".to_owned(), format!("a={KEY}"))];
    assert_eq!(forwarded_headers(&headers, false), headers);
}

#[test]
fn path_contains_key_forms() {
    let contains_key = |path: &str| path_contains_key(path, KEY.as_bytes());
    assert!(contains_key(&format!("/a?key={KEY}")));
    assert!(contains_key(&format!("/a/{}/b", escaped(KEY))));
    assert!(contains_key("/a?key=k3y.of%2dnorth~1"));
    assert!(!contains_key("/a?key=k3y.of-north~2%"));
    assert!(!path_contains_key("/a", b""));
}

/// Guards against accepting a malformed or contradictory deadline.
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
