use std::time::{Duration, Instant};

use proptest::prelude::*;

use super::*;

/// Guards against a duration that overflows a clock when it is added.
#[test]
fn time_span_out_of_range() {
    for seconds in [-0.001, -1e300, 86_400.001, 1.5e19, 1e22, 1e300, f64::INFINITY, f64::NAN] {
        assert!(TimeSpan::from_secs_f64(seconds).is_err(), "{seconds}");
    }
    let edge = TimeSpan::from_secs_f64(86_400.0).expect("the longest time");
    assert_eq!(edge, TimeSpan::MAX);
}

/// Guards against a caller that is refused, or a task that panics, because of a deadline without
/// practical limit.
#[test]
fn time_span_clamped() {
    for seconds in [86_400.001, 1e300, f64::INFINITY] {
        assert_eq!(TimeSpan::clamped_from_secs_f64(seconds), Some(TimeSpan::MAX), "{seconds}");
    }
    for seconds in [-0.001, f64::NEG_INFINITY, f64::NAN] {
        assert_eq!(TimeSpan::clamped_from_secs_f64(seconds), None, "{seconds}");
    }
}

#[test]
fn time_span_text() {
    let span: TimeSpan = "1.5 s".parse().expect("a time span");
    assert_eq!(span.get(), Duration::from_millis(1_500));
    assert_eq!(span.to_string(), "1.5 s");
    assert_eq!(span.as_millis(), 1_500);
    assert!("1e300".parse::<TimeSpan>().is_err());
    assert!("soon".parse::<TimeSpan>().is_err());
}

/// Guards against limits that overflow when they are multiplied by a time.
#[test]
fn request_rate_and_count_out_of_range() {
    for number in [-1.0, 1e9 + 1.0, 1e300, f64::NAN] {
        assert!(RequestRate::from_per_s(number).is_err(), "{number}");
        assert!(RequestCount::from_f64(number).is_err(), "{number}");
    }
    assert_eq!(RequestRate::from_per_s(0.5), Ok(RequestRate(1)));
    assert_eq!(RequestCount::from_f64(1.5), Ok(RequestCount(1)));
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(512))]

    /// Guards against any accepted time that overflows a sum with the current time.
    #[test]
    fn time_span_any_number_adds(bits in any::<u64>()) {
        let seconds = f64::from_bits(bits);
        if let Some(span) = TimeSpan::clamped_from_secs_f64(seconds) {
            prop_assert!(Instant::now().checked_add(span.get() * 1_000).is_some());
        }
    }
}
