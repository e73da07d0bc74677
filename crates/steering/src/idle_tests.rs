//! Guards against requests that are lost on connections which targets have forgotten
//! (punchlist-ne-grown scale-1: 2,410 answers 502 to requests that reached no target).

use super::*;

const FAST: Duration = Duration::from_millis(4);

#[test]
fn allows_any_age_at_first() {
    let limit = IdleLimit::default();
    assert!(limit.allows(Duration::from_secs(9), Instant::now()));
}

#[test]
fn note_ended_forgotten_connections_limit_idle_time() {
    let now = Instant::now();
    let mut limit = IdleLimit::default();
    for idle_ms in [900, 500, 700] {
        assert!(limit.allows(Duration::from_secs(9), now), "after {idle_ms}");
        assert!(limit.record_close(Duration::from_millis(idle_ms), FAST, now));
    }
    assert!(limit.allows(Duration::from_millis(250), now));
    assert!(!limit.allows(Duration::from_millis(350), now));
    // A later loss after a longer time does not raise the limit again.
    limit.record_close(Duration::from_secs(5), FAST, now);
    assert!(!limit.allows(Duration::from_millis(350), now));
    assert!(limit.allows(Duration::from_secs(9), now + LIMIT_HOLDS));
}

#[test]
fn note_ended_during_work_is_no_forgotten_connection() {
    let now = Instant::now();
    let mut limit = IdleLimit::default();
    assert!(!limit.record_close(Duration::from_millis(500), Duration::from_millis(300), now));
    assert!(limit.allows(Duration::from_secs(9), now));
}
