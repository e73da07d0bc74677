//! Tests of sizes and rates. Guards against a text form that does not parse back to the same value,
//! which would change a limit.

use std::time::Duration;

use proptest::prelude::*;

use super::*;

proptest! {
    #[test]
    fn byte_rate_round_trip(value in any::<u64>()) {
        prop_assert_eq!(ByteRate(value).to_string().parse(), Ok(ByteRate(value)));
    }

    #[test]
    fn request_rate_round_trip(value in any::<u64>()) {
        prop_assert_eq!(RequestRate(value).to_string().parse(), Ok(RequestRate(value)));
    }

    #[test]
    fn request_count_round_trip(value in any::<u64>()) {
        prop_assert_eq!(RequestCount(value).to_string().parse(), Ok(RequestCount(value)));
    }

    #[test]
    fn byte_count_round_trip(value in any::<u64>()) {
        prop_assert_eq!(ByteCount(value).to_string().parse(), Ok(ByteCount(value)));
    }

    #[test]
    fn slot_count_round_trip(value in any::<u32>()) {
        prop_assert_eq!(SlotCount(value).to_string().parse(), Ok(SlotCount(value)));
    }

    #[test]
    fn share_round_trip(value in any::<u32>()) {
        prop_assert_eq!(SharePpm(value).to_string().parse(), Ok(SharePpm(value)));
    }
}

#[test]
fn parse_wrong_unit() {
    assert!("5 requests/s".parse::<ByteRate>().is_err());
    assert!("-5".parse::<ByteRate>().is_err());
    assert!("".parse::<SlotCount>().is_err());
}

#[test]
fn share_of_extremes() {
    assert_eq!(SharePpm::WHOLE.of(u64::MAX), u64::MAX);
    assert_eq!(SharePpm(500_000).of(3), 1);
    assert_eq!(SharePpm::ZERO.of(u64::MAX), 0);
}

#[test]
fn byte_rate_over_half_second() {
    assert_eq!(ByteRate(1_001).over(Duration::from_millis(500)), ByteCount(500));
    assert_eq!(ByteRate(u64::MAX).over(Duration::from_secs(9)), ByteCount(u64::MAX));
}
