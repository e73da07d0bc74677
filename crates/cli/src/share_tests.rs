//! Guards against a share that is parsed wrongly and moves the wrong amount of traffic.

use super::*;

/// Guards against a share that is wrong by a power of ten.
#[test]
fn parse_accepted() {
    for (text, ppm) in [
        ("10%", 100_000),
        ("100%", 1_000_000),
        ("0.25%", 2_500),
        ("0.0001%", 1),
        ("33.3333%", 333_333),
        ("2500ppm", 2_500),
        ("2500 ppm", 2_500),
    ] {
        assert_eq!(parse(text), Ok(SharePpm(ppm)), "{text}");
    }
}

/// Guards against a typing error that is accepted and moves all traffic or none.
#[test]
fn parse_refused() {
    for text in [
        "",
        "%",
        "10",
        "0%",
        "0ppm",
        "100.0001%",
        "101%",
        "-1%",
        "+1%",
        "1.%",
        ".5%",
        "1.+5%",
        "0.00001%",
        "1e1%",
        "10 %",
        "10%%",
        "ppm",
        "99999999999%",
        "429497%",
        "1000001ppm",
    ] {
        assert!(parse(text).is_err(), "{text}");
    }
}

/// Guards against a plan that shows another share than the operator has given.
#[test]
fn format_percent_round_trip() {
    for ppm in [1, 10, 2_500, 100_000, 333_333, 999_999, 1_000_000] {
        assert_eq!(parse(&format_percent(SharePpm(ppm))), Ok(SharePpm(ppm)));
    }
    assert_eq!(format_percent(SharePpm(125_000)), "12.5%");
}
