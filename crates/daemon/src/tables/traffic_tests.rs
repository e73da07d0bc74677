//! Tests of the traffic meter: a rate that remains after its traffic ended would block moves.

use std::time::Duration;

use super::*;

#[test]
fn update_rates_after_idle_interval() {
    let start = Instant::now();
    let mut traffic = TrafficMeter::new(start);
    let service: ServiceId = "echo".parse().unwrap();
    traffic.add(&service, 500);
    traffic.add(&service, 500);
    traffic.update_rates(start + Duration::from_secs(2));
    assert_eq!(traffic.rate(&service), ByteRate(500));
    traffic.update_rates(start + Duration::from_secs(3));
    assert_eq!(traffic.rate(&service), ByteRate::ZERO);
}
