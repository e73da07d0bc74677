//! Guards against requests that are refused within a deployment's window, and against a bucket that
//! admits more than the window allows.

use super::*;

const QUOTA: QuotaWindow =
    QuotaWindow { window: Duration::from_secs(5), overage: 0.1, slack: RequestCount(20) };

fn limit(rate: u64, burst: u64) -> Limit {
    Limit { rate: RequestRate(rate), burst: RequestCount(burst) }
}

#[test]
fn per_window_admits_rate_and_burst() {
    for (rate, burst) in [(71, 71), (10, 10), (394, 394), (5, 60), (100, 0)] {
        let bucket = limit(rate, burst).per_window(&QUOTA);
        let within = 5 * bucket.rate.get();
        assert!(within + 5 > 5 * rate + burst, "{rate} and {burst}: {within}");
    }
}

#[test]
fn per_window_stays_below_allowed_excess() {
    for (rate, burst) in [(71, 71), (10, 10), (394, 394), (5, 60), (100, 0)] {
        let bucket = limit(rate, burst).per_window(&QUOTA);
        let most = (5 * bucket.rate.get() + bucket.burst.get()) as f64;
        let allowed = (5 * rate + burst) as f64 * 1.1 + 20.0;
        assert!(most <= allowed, "{rate} and {burst}: {most} of {allowed}");
    }
}
