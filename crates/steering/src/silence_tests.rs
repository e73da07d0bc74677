//! Tests of silent connections: a wrong verdict loses a request for each idle connection, or closes
//! sound connections to slow targets.

use super::*;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Returns the verdict at 10 s on a request that was sent at 8 s on a connection idle since 5 s.
/// The other connections are given by the times of their opening and of their last response.
fn verdict(idle: &[(u64, u64)]) -> SilenceVerdict {
    let start = Instant::now();
    let request =
        UnansweredRequest { idle_since: Some(start + ms(5_000)), sent_at: Some(start + ms(8_000)) };
    let idle = idle.iter().map(|&(opened, since)| IdleTimes {
        opened_at: start + ms(opened),
        idle_since: start + ms(since),
    });
    match judge(&request, idle, start + ms(10_000)) {
        SilenceVerdict::CloseIdleSince(at) => {
            assert_eq!(at, start + ms(8_000));
            SilenceVerdict::CloseIdleSince(start)
        }
        SilenceVerdict::Keep => SilenceVerdict::Keep,
    }
}

/// Guards against requests that are lost one by one, because none of them shows that the
/// connections of its time are silent. Also guards against a newer connection that counts as proof:
/// it was opened after the others went silent.
#[test]
fn judge_silent_path() {
    for idle in [&[][..], &[(0, 4_000)], &[(0, 4_000), (5_001, 9_000)], &[(8_500, 9_900)]] {
        assert!(matches!(verdict(idle), SilenceVerdict::CloseIdleSince(_)), "{idle:?}");
    }
}

/// Guards against sound connections that are closed because one request to a busy target was slow.
#[test]
fn judge_busy_target() {
    for idle in [&[(0, 8_001)][..], &[(5_000, 9_000)], &[(0, 4_000), (0, 9_900), (7_000, 9_950)]] {
        assert_eq!(verdict(idle), SilenceVerdict::Keep, "{idle:?}");
    }
}

/// Guards against sound connections that are closed because of a short deadline, of a caller that
/// had not sent its request, or of a target that does not answer on a new connection either.
#[test]
fn judge_inconclusive_wait() {
    let start = Instant::now();
    let judged = |idle_since, sent_at, now| {
        judge(&UnansweredRequest { idle_since, sent_at }, [], start + now)
    };
    let (old, sent) = (Some(start), Some(start + ms(100)));
    let enough = ms(100) + MIN_SILENCE;
    assert_eq!(judged(old, sent, enough), SilenceVerdict::CloseIdleSince(start + ms(100)));
    assert_eq!(judged(old, sent, enough - ms(1)), SilenceVerdict::Keep);
    assert_eq!(judged(old, None, enough), SilenceVerdict::Keep);
    assert_eq!(judged(None, sent, enough), SilenceVerdict::Keep);
}
