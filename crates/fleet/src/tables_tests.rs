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

fn control_record(number: u8) -> DaemonRecord {
    DaemonRecord {
        vm: control(number),
        role: DaemonRole::Control,
        ..entry(number, VmState::Serving)
    }
}

const EXPIRY: Duration = Duration::from_secs(30);

/// Records a reply of each of the given control VMs, with the same list of control VMs.
fn reply(daemons: &mut Daemons, from: &[u8], listed: &[u8], at: Instant) {
    let list: Vec<_> = listed.iter().map(|number| control_record(*number)).collect();
    for number in from {
        daemons.update(control_record(*number), Some(at));
        daemons.update_list(&control(*number), list.clone(), at);
    }
}

fn known_controls(daemons: &Daemons) -> Vec<&str> {
    daemons.known.keys().map(VmId::as_str).collect()
}

/// Guards against an entry VM that forgets all control VMs in a long cut, while the seeds of its
/// settings have been replaced: it served by its old configuration for good.
#[test]
fn remove_expired_control_vms_in_long_cut() {
    let now = Instant::now();
    let mut daemons = Daemons::default();
    reply(&mut daemons, &[4, 5, 6, 7, 8], &[4, 5, 6, 7, 8], now);
    let after_cut = now + EXPIRY + Duration::from_secs(4);
    daemons.remove_expired(EXPIRY, after_cut);
    assert_eq!(daemons.known.len(), 5);
    // The first reply after the cut leaves the list out, since it has not changed.
    daemons.update_list(&control(4), Vec::new(), after_cut);
    daemons.remove_expired(EXPIRY, after_cut);
    assert_eq!(daemons.known.len(), 5);
}

/// Guards against the same loss if one control VM on this side of the cut, which cannot hear the others
/// either, goes on replying.
#[test]
fn remove_expired_control_vms_beyond_cut() {
    let now = Instant::now();
    let mut daemons = Daemons::default();
    reply(&mut daemons, &[4, 5, 6, 7, 8], &[4, 5, 6, 7, 8], now);
    let later = now + EXPIRY;
    reply(&mut daemons, &[4], &[4], later);
    daemons.remove_expired(EXPIRY, later);
    assert_eq!(daemons.known.len(), 5);
}

/// Guards against control VMs that were replaced and are asked for ever.
#[test]
fn remove_expired_replaced_control_vm() {
    let now = Instant::now();
    let mut daemons = Daemons::default();
    reply(&mut daemons, &[1, 2, 3, 4, 5], &[1, 2, 3, 4, 5], now);
    let later = now + EXPIRY;
    reply(&mut daemons, &[2, 3, 4, 5, 6], &[2, 3, 4, 5, 6], later);
    daemons.remove_expired(EXPIRY, later);
    assert_eq!(
        known_controls(&daemons),
        ["10.0.1.2", "10.0.1.3", "10.0.1.4", "10.0.1.5", "10.0.1.6"]
    );
}

/// Guards against a control VM that is forgotten although only this VM cannot reach it.
#[test]
fn remove_expired_control_vm_listed_by_others() {
    let now = Instant::now();
    let mut daemons = Daemons::default();
    reply(&mut daemons, &[1, 2, 3, 4, 5], &[1, 2, 3, 4, 5], now);
    let later = now + EXPIRY;
    reply(&mut daemons, &[2, 3, 4, 5], &[1, 2, 3, 4, 5], later);
    daemons.remove_expired(EXPIRY, later);
    assert_eq!(daemons.known.len(), 5);
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
