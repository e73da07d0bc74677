//! Tests of keys. A wrong result runs a request for another organisation, or without one.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use celerygate_types::wire::KeyRecord;
use celerygate_types::{RequestCount, RequestRate};

use super::*;

fn config_with_seed(seed: u64) -> ProptestConfig {
    let rng_seed = RngSeed::Fixed(seed);
    ProptestConfig { cases: 2_000, rng_seed, failure_persistence: None, ..Default::default() }
}

fn organisation(id: &str, keys: &[(&str, Option<u64>)]) -> Organisation {
    let record = |(key, expires_at_unix_ms): &(&str, Option<u64>)| KeyRecord {
        expires_at_unix_ms: *expires_at_unix_ms,
        hash: hash_key(key.as_bytes()),
        key: format!("{id}-{}", key.len()).parse().unwrap(),
    };
    Organisation {
        burst_requests: RequestCount(1),
        keys: keys.iter().map(record).collect(),
        organisation: id.parse().unwrap(),
        rate_requests_per_s: RequestRate(1),
        weight: 1,
    }
}

fn table() -> KeyTable {
    KeyTable::new(&[
        organisation("north", &[("north-key", None), ("north-old", Some(1_000))]),
        organisation("south", &[("south-key-1", None), ("shared", None)]),
        organisation("east", &[("shared", None)]),
    ])
}

fn identified_as(values: &[&str], path: &str, unix_ms: u64) -> Result<String, ResultCode> {
    let open = ["/public".into()];
    let values = values.iter().map(|value| value.as_bytes());
    match identify(&table(), values, path, &open, unix_ms) {
        Identity::Open => Ok("open".to_owned()),
        Identity::Organisation { organisation, .. } => Ok(organisation.to_string()),
        Identity::Refused(code) => Err(code),
    }
}

/// Guards against reading keys from other sources than a single bearer credential, and against
/// choosing between several credentials.
#[test]
fn identify_sources() {
    let one = |value| identified_as(&[value], "/a", 0);
    assert_eq!(one("Bearer north-key"), Ok("north".to_owned()));
    assert_eq!(one("bearer  south-key-1 "), Ok("south".to_owned()));
    for value in ["Bearer other", "Bearer", "Bearer north-key, south-key-1", "Bearer a b"] {
        assert_eq!(one(value), Err(ResultCode::KeyRefused), "{value}");
    }
    for value in ["north-key", "Basic north-key", "Bearernorth-key", ""] {
        assert_eq!(one(value), Err(ResultCode::KeyMissing), "{value}");
    }
    assert_eq!(identified_as(&[], "/a?key=north-key", 0), Err(ResultCode::KeyMissing));
    let same = ["Bearer north-key", "Bearer north-key"];
    assert_eq!(identified_as(&same, "/a", 0), Ok("north".to_owned()));
    for second in ["Bearer south-key-1", "Basic x", ""] {
        let values = ["Bearer north-key", second];
        assert_eq!(identified_as(&values, "/a", 0), Err(ResultCode::KeyRefused), "{second}");
    }
}

/// Guards against accepting a key after the overlap period with its successor.
#[test]
fn identify_expired_key() {
    assert_eq!(identified_as(&["Bearer north-old"], "/a", 999), Ok("north".to_owned()));
    assert_eq!(identified_as(&["Bearer north-old"], "/a", 1_000), Err(ResultCode::KeyRefused));
}

/// Guards against running a request for an arbitrary organisation when two own the same key.
#[test]
fn identify_shared_key() {
    assert_eq!(identified_as(&["Bearer shared"], "/a", 0), Err(ResultCode::KeyRefused));
}

/// Guards against accepting a hash that has only its first 8 bytes in common with a stored one.
#[test]
fn find_same_prefix() {
    let mut hash = hash_key(b"north-key");
    assert!(table().find(&hash, 0).is_some());
    hash.0[31] ^= 1;
    assert!(table().find(&hash, 0).is_none());
}

/// Guards against an open route that refuses requests without a key, or with an invalid one.
#[test]
fn identify_open_route() {
    for values in [&[][..], &["Bearer other"], &["Bearer north-key", "x"]] {
        assert_eq!(identified_as(values, "/public/a", 0), Ok("open".to_owned()));
    }
}

#[test]
fn is_open_whole_segments() {
    let open = |path| is_open(path, &["/public/".into(), "".into(), "relative".into()]);
    for path in ["/public", "/public/", "/public/a/b.css", "/public/a%20b/c..d", "/public/..."] {
        assert!(open(path), "{path}");
    }
    for path in [
        "/publication",
        "/Public",
        "/",
        "",
        "/private",
        "public",
        "/public%2fa",
        "/relative",
        "/public//a",
        "//public",
    ] {
        assert!(!open(path), "{path}");
    }
    assert!(is_open("/anything", &["/".into()]));
}

/// Resolves a path like a server that decodes escapes `decodings` times.
fn resolved(path: &str, decodings: usize, slashes: bool, params: bool) -> Vec<String> {
    let mut text = path.to_owned();
    for _ in 0..decodings {
        for (escape, plain) in
            [("%2e", "."), ("%2f", "/"), ("%5c", "\\"), ("%70", "p"), ("%3b", ";"), ("%25", "%")]
        {
            text = text.replace(escape, plain).replace(&escape.to_uppercase(), plain);
        }
    }
    if slashes {
        text = text.replace('\\', "/");
    }
    let mut segments: Vec<String> = Vec::new();
    for segment in text.split('/') {
        let segment = if params { segment.split(';').next().unwrap_or("") } else { segment };
        match segment {
            "" | "." => {}
            ".." => drop(segments.pop()),
            _ => segments.push(segment.to_owned()),
        }
    }
    segments
}

proptest! {
    #![proptest_config(config_with_seed(11))]

    /// Guards against an open prefix that also admits other paths, at a target that decodes, merges
    /// or resolves path segments differently.
    #[test]
    fn is_open_any_interpretation(
        parts in prop::collection::vec(prop::sample::select(vec![
            "public", "%70ublic", "private", "/", "/", "/", "..", ".", "%2e", "%2E%2e", "%2f", "\\",
            "%5c", ";x", "%252e", "%252f", "%3b", "a",
        ]), 0..8),
    ) {
        let path = format!("/public/{}", parts.concat());
        if is_open(&path, &["/public".into()]) {
            for (decodings, slashes, params) in
                (0..12).map(|variant| (variant / 4, variant & 1 == 0, variant & 2 == 0))
            {
                let segments = resolved(&path, decodings, slashes, params);
                prop_assert_eq!(segments.first().map(String::as_str), Some("public"), "{}", path);
            }
        }
    }
}
