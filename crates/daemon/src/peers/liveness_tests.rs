//! The schedule of confirmations, which must find a silent connection within 3 s, and must not give up
//! one that is only slow.

use super::*;

const STEP: Duration = Duration::from_millis(10);

/// Guards against a silent connection that is found too late for the daemons to be in touch again within
/// 3 s, with frames at any interval and with none.
#[test]
fn next_step_silent_connection() {
    for frame_interval_ms in [50, 400, 1_000, 20_000] {
        let silent_at = Instant::now();
        let mut liveness = Liveness::new(silent_at - PROBE_INTERVAL);
        let _ = liveness.begin_frame(silent_at - PROBE_INTERVAL);
        liveness.record_confirmation();
        let mut now = silent_at - PROBE_INTERVAL;
        let compared_at = loop {
            match liveness.next_step(now) {
                NextStep::Probe => liveness.record_ask(now),
                NextStep::Compare => break now,
                NextStep::Wait(_) | NextStep::CloseIdle => {}
            }
            now += STEP;
            let elapsed_ms = now.saturating_duration_since(silent_at).as_millis();
            if elapsed_ms > 0 && elapsed_ms.is_multiple_of(frame_interval_ms) {
                let _ = liveness.begin_frame(now);
            }
        };
        let after = compared_at - silent_at;
        assert!(
            after < Duration::from_secs(2),
            "{after:?} with frames every {frame_interval_ms} ms"
        );
    }
}

/// Guards against a connection that is given up while a long frame crosses a slow link.
#[test]
fn next_step_long_frame() {
    let now = Instant::now();
    let mut liveness = Liveness::new(now);
    assert_eq!(liveness.begin_frame(now), Ask::Confirmation);
    let progress_interval = CONFIRMATION_TIMEOUT - STEP;
    for step in 1..10 {
        let at = now + progress_interval * step;
        assert_ne!(liveness.next_step(at), NextStep::Compare);
        liveness.record_progress(at);
    }
    let last = now + progress_interval * 9;
    assert_eq!(liveness.next_step(last + CONFIRMATION_TIMEOUT), NextStep::Compare);
}

/// Guards against a confirmation for each frame: a leader sends several in each of its rounds.
#[test]
fn begin_frame_asks_seldom() {
    let now = Instant::now();
    let mut liveness = Liveness::new(now);
    let mut asked = 0;
    for step in 0..100 {
        let at = now + STEP * step;
        asked += u32::from(liveness.begin_frame(at) == Ask::Confirmation);
        liveness.record_confirmation();
    }
    assert_eq!(asked, 4);
}

/// Guards against probes on connections that nobody uses.
#[test]
fn next_step_idle_connection() {
    let now = Instant::now();
    let mut liveness = Liveness::new(now);
    let _ = liveness.begin_frame(now);
    liveness.record_confirmation();
    assert_eq!(liveness.next_step(now + IDLE_TIMEOUT), NextStep::CloseIdle);
}
