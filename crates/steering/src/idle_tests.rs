//! Tests of the idle limit. Guard against requests that are lost on connections which targets have
//! dropped (scenario scale-1 of punchlist-ne-grown: 2,410 responses 502 to requests that reached no
//! target).

use super::*;

const SOON_AFTER: Duration = Duration::from_millis(4);

#[test]
fn allows_any_age_at_first() {
    let limit = IdleLimit::default();
    assert!(limit.allows(Duration::from_secs(9), Instant::now()));
}

#[test]
fn record_close_dropped_connections_limit_idle_time() {
    let now = Instant::now();
    let mut limit = IdleLimit::default();
    for idle_ms in [900, 500, 700] {
        assert!(limit.allows(Duration::from_secs(9), now), "after {idle_ms}");
        assert!(limit.record_close(Duration::from_millis(idle_ms), SOON_AFTER, now));
    }
    assert!(limit.allows(Duration::from_millis(250), now));
    assert!(!limit.allows(Duration::from_millis(350), now));
    // A later loss after a longer idle time does not raise the limit.
    limit.record_close(Duration::from_secs(5), SOON_AFTER, now);
    assert!(!limit.allows(Duration::from_millis(350), now));
    assert!(limit.allows(Duration::from_secs(9), now + LIMIT_LIFETIME));
}

#[test]
fn record_close_during_work_is_no_dropped_connection() {
    let now = Instant::now();
    let mut limit = IdleLimit::default();
    assert!(!limit.record_close(Duration::from_millis(500), Duration::from_millis(300), now));
    assert!(limit.allows(Duration::from_secs(9), now));
}
