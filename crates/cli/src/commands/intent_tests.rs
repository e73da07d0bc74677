//! Guards against an intent that differs from the arguments of the command line.

use super::*;

fn parse_line(line: &str) -> Result<ParsedIntent, String> {
    let args = "celerygate intent".split(' ').chain(line.split(' '));
    let matches = super::super::build().try_get_matches_from(args).map_err(|it| it.to_string())?;
    let (_, matches) = matches.subcommand().unwrap();
    parse_intent(matches).map_err(|failure| failure.to_string())
}

fn kind_as_json(line: &str) -> String {
    serde_json::to_string(&parse_line(line).unwrap_or_else(|error| panic!("{error}")).kind).unwrap()
}

/// Guards against an option that is stored in the wrong field of the intent.
#[test]
fn parse_intent_kinds() {
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
        assert_eq!(kind_as_json(line), expected);
    }
}

/// Guards against a request that is sent although an option is missing or invalid.
#[test]
fn parse_intent_invalid_refused() {
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
        assert!(parse_line(line).is_err(), "{line}");
    }
}

/// Guards against a key that is sent in clear text, and against a key that cannot be used because
/// the hash was computed from another text.
#[test]
fn parse_intent_key_hash_only() {
    for line in [
        "key issue --organisation o --key k",
        "key replace --organisation o --old-key j --overlap-ms 1000",
    ] {
        let intent = parse_line(line).unwrap_or_else(|error| panic!("{error}"));
        let key = intent.key.unwrap();
        let sent = serde_json::to_string(&intent.kind).unwrap();
        assert_eq!(key.len(), 64);
        assert!(!sent.contains(&key), "{sent}");
        assert!(sent.contains(&blake3::hash(key.as_bytes()).to_hex().to_string()), "{sent}");
        assert_ne!(parse_line(line).ok().and_then(|it| it.key), Some(key));
    }
}
