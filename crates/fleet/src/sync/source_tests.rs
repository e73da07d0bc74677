//! Guards against several control VMs sending the content at once over a narrow link
//! (hurma-kapi-grown, trouble-2: five times 560 kB over 16 Mbit/s after a power loss of all VMs).

use super::*;

fn vm(number: u8) -> VmId {
    format!("10.0.1.{number}").parse().expect("valid id")
}

#[test]
fn begin_fetch_one_control_vm_at_a_time() {
    let now = Instant::now();
    let mut source = ContentSource::default();
    // No revision is known yet.
    assert!(!source.begin_fetch(&vm(1), Revision::ZERO, now));
    for number in 1..=5 {
        source.record_revision(&vm(number), Revision(7));
    }
    let fetches =
        (1..=5).filter(|number| source.begin_fetch(&vm(*number), Revision::ZERO, now)).count();
    assert_eq!(fetches, 1);
    source.end_fetch(&vm(1));
    assert!(!source.begin_fetch(&vm(2), Revision(7), now));
}

#[test]
fn begin_fetch_other_vm_after_timeout() {
    let now = Instant::now();
    let mut source = ContentSource::default();
    source.record_revision(&vm(1), Revision(7));
    source.record_revision(&vm(2), Revision(7));
    assert!(source.begin_fetch(&vm(1), Revision(6), now));
    // A reply of another control VM does not end the fetch.
    source.end_fetch(&vm(2));
    assert!(!source.begin_fetch(&vm(2), Revision(6), now));
    assert!(source.begin_fetch(&vm(2), Revision(6), now + FETCH_TIMEOUT));
}

/// Guards against repeated fetches from a control VM that announces a change and then loses its
/// disk, while the others have the content.
#[test]
fn record_revision_after_lost_disk_allows_others() {
    let now = Instant::now();
    let mut source = ContentSource::default();
    source.record_revision(&vm(1), Revision(7));
    source.record_revision(&vm(2), Revision(7));
    assert!(source.begin_fetch(&vm(1), Revision(6), now));
    source.record_revision(&vm(1), Revision::ZERO);
    source.end_fetch(&vm(1));
    assert!(!source.should_fetch(&vm(1), Revision(6), now));
    assert!(source.begin_fetch(&vm(2), Revision(6), now));
}
