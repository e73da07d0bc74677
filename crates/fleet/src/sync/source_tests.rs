//! Guards against a content that several control VMs send at once over a narrow link
//! (hurma-kapi-grown, trouble-2: five times 560 kB over 16 Mbit/s after the loss of all power).

use super::*;

fn vm(number: u8) -> VmId {
    format!("10.0.1.{number}").parse().expect("valid id")
}

#[test]
fn begin_fetch_one_control_vm_at_a_time() {
    let now = Instant::now();
    let mut source = ContentSource::default();
    // Nothing is known of any of them yet.
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
    // An answer of another one does not end the wait.
    source.end_fetch(&vm(2));
    assert!(!source.begin_fetch(&vm(2), Revision(6), now));
    assert!(source.begin_fetch(&vm(2), Revision(6), now + FETCH_TIMEOUT));
}

/// Guards against a control VM that announces a change, loses its disk, and is asked again and again
/// while the others have the content.
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
