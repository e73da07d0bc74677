//! Guards against daemon lists that omit running entry VMs.

use celerygate_types::Incarnation;

use super::*;

fn entry(number: u8, state: VmState) -> DaemonRecord {
    DaemonRecord {
        vm: format!("10.0.0.{number}").parse().expect("valid id"),
        incarnation: Incarnation(1),
        role: DaemonRole::Entry,
        region: "east".parse().expect("valid id"),
        data_centre: "east-1".parse().expect("valid id"),
        callers_address: None,
        state,
    }
}

fn control(number: u8) -> VmId {
    format!("10.0.1.{number}").parse().expect("valid id")
}

fn serving(daemons: &Daemons, now: Instant) -> usize {
    let known = daemons.recent(DaemonRole::Entry, DaemonRole::Entry, now);
    known.iter().filter(|record| record.state == VmState::Serving).count()
}

/// A control VM that has just started lists only the entry VM that has polled it so far
/// (punchlist-ne-grown, trouble-1: 5 of 30 entry VMs received a third of the requests).
#[test]
fn update_list_from_restarted_control_vm_keeps_entries() {
    let now = Instant::now();
    let mut daemons = Daemons::default();
    let all: Vec<_> = (1..=4).map(|number| entry(number, VmState::Serving)).collect();
    daemons.update_list(&control(1), all.clone(), now);
    daemons.update_list(&control(2), all[..1].to_vec(), now);
    daemons.update_list(&control(1), Vec::new(), now);
    assert_eq!(serving(&daemons, now), 4);
}

/// Guards against lookups that return entry VMs after they have left.
#[test]
fn update_list_removes_departed_vm() {
    let now = Instant::now();
    let mut daemons = Daemons::default();
    let all: Vec<_> = (1..=4).map(|number| entry(number, VmState::Serving)).collect();
    daemons.update_list(&control(1), all.clone(), now);
    daemons.update_list(&control(2), all.clone(), now);
    let mut leaving = all.clone();
    leaving[0].state = VmState::Leaving;
    daemons.update_list(&control(1), leaving.clone(), now);
    assert_eq!(serving(&daemons, now), 3);
    // The other control VM no longer replies, so its list expires.
    let later = now + LIST_AGE_MAX;
    daemons.update_list(&control(1), leaving[1..].to_vec(), later);
    let known = daemons.recent(DaemonRole::Entry, DaemonRole::Entry, later);
    assert_eq!((serving(&daemons, later), known.len()), (3, 4));
}

/// Guards against requests that a stopping VM accepts too late to complete (hurma-kapi-grown,
/// trouble-2 with seed 1031483153138: accepted 3.2 s after SIGTERM, interrupted after 5.6 s).
#[test]
fn stop_accepting_requests_is_final() {
    let tables = Tables::new();
    assert!(tables.accepts_requests());
    tables.set_state(VmState::Leaving);
    assert!(tables.accepts_requests(), "callers still hold lookup replies");
    tables.stop_accepting_requests();
    assert!(!tables.accepts_requests());
}

/// Guards against a request that waits for a target and is refused only when it repeats its choice,
/// a quarter of a second after the others.
#[tokio::test]
async fn stop_accepting_requests_wakes_waiters() {
    let tables = Tables::new();
    let attempt_ended = tables.attempt_ended.notified();
    tables.stop_accepting_requests();
    let woken = tokio::time::timeout(Duration::from_millis(20), attempt_ended).await;
    assert!(woken.is_ok(), "the waiting request is not woken");
}
