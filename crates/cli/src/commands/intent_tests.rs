//! Tests of the intent arguments: an intent other than the one that was typed.

use super::*;

fn parsed(line: &str) -> Result<Wanted, String> {
    let args = "celerygate intent".split(' ').chain(line.split(' '));
    let matches = super::super::build().try_get_matches_from(args).map_err(|it| it.to_string())?;
    let (_, matches) = matches.subcommand().unwrap();
    wanted(matches).map_err(|failure| failure.to_string())
}

fn json(line: &str) -> String {
    serde_json::to_string(&parsed(line).unwrap_or_else(|error| panic!("{error}")).kind).unwrap()
}

/// Guards against an option that lands in the wrong field of the intent.
#[test]
fn wanted_kinds() {
    for (line, expected) in [
        (
            "move --service s --from a --to b --share 10%",
            r#"{"move":{"from":"a","service":"s","share_ppm":100000,"to":"b"}}"#,
        ),
        ("drain region a", r#"{"drain":{"region":"a"}}"#),
        ("drain target --service s t", r#"{"drain":{"target":{"service":"s","target":"t"}}}"#),
        ("drain vm v", r#"{"drain":{"vm":"v"}}"#),
        (
            "key withdraw --organisation o --key k",
            r#"{"key_withdraw":{"key":"k","organisation":"o"}}"#,
        ),
        (
            "rate --organisation o --rate 100 --burst 200",
            r#"{"rate":{"burst_requests":200,"organisation":"o","rate_requests_per_s":100}}"#,
        ),
        ("cancel i-1", r#"{"cancel":"i-1"}"#),
        ("pause i-1", r#"{"pause":"i-1"}"#),
        ("resume i-1", r#"{"resume":"i-1"}"#),
    ] {
        assert_eq!(json(line), expected);
    }
}

/// Guards against a request that is sent although an option is missing or malformed.
#[test]
fn wanted_refused() {
    for line in [
        "move --service s --from a --to b --share 10",
        "move --service S --from a --to b --share 10%",
        "move --service s --from a --share 10%",
        "drain",
        "drain region",
        "drain target t",
        "key issue --key k",
        "key replace --organisation o --old-key k",
        "rate --organisation o --rate -1 --burst 200",
        "rate --organisation o --rate 100",
        "cancel I-1",
    ] {
        assert!(parsed(line).is_err(), "{line}");
    }
}

/// Guards against a key that leaves the operator's machine, and against one that cannot be used
/// because its hash is of another text.
#[test]
fn wanted_key_hash_only() {
    for line in [
        "key issue --organisation o --key k",
        "key replace --organisation o --old-key j --overlap-ms 1000",
    ] {
        let wanted = parsed(line).unwrap_or_else(|error| panic!("{error}"));
        let key = wanted.key.unwrap();
        let sent = serde_json::to_string(&wanted.kind).unwrap();
        assert_eq!(key.len(), 64);
        assert!(!sent.contains(&key), "{sent}");
        assert!(sent.contains(&blake3::hash(key.as_bytes()).to_hex().to_string()), "{sent}");
        assert_ne!(parsed(line).ok().and_then(|it| it.key), Some(key));
    }
}
