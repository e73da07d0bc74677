//! Guards against a content that several control VMs send at once over a narrow link
//! (hurma-kapi-grown, trouble-2: five times 560 kB over 16 Mbit/s after the loss of all power).

use super::*;

fn vm(number: u8) -> VmId {
    format!("10.0.1.{number}").parse().expect("valid id")
}

#[test]
fn asks_one_control_vm_at_a_time() {
    let now = Instant::now();
    let mut source = ContentSource::default();
    // Nothing is known of any of them yet.
    assert!(!source.asks(&vm(1), Revision::ZERO, now));
    for number in 1..=5 {
        source.offer(&vm(number), Revision(7));
    }
    let asked = (1..=5).filter(|number| source.asks(&vm(*number), Revision::ZERO, now)).count();
    assert_eq!(asked, 1);
    source.answered(&vm(1));
    assert!(!source.asks(&vm(2), Revision(7), now));
}

#[test]
fn asks_another_one_after_timeout() {
    let now = Instant::now();
    let mut source = ContentSource::default();
    source.offer(&vm(1), Revision(7));
    source.offer(&vm(2), Revision(7));
    assert!(source.asks(&vm(1), Revision(6), now));
    // An answer of another one does not end the wait.
    source.answered(&vm(2));
    assert!(!source.asks(&vm(2), Revision(6), now));
    assert!(source.asks(&vm(2), Revision(6), now + FETCH_TIMEOUT));
}

/// Guards against a control VM that announces a change, loses its disk, and is asked again and again
/// while the others have the content.
#[test]
fn offer_after_lost_disk_frees_others() {
    let now = Instant::now();
    let mut source = ContentSource::default();
    source.offer(&vm(1), Revision(7));
    source.offer(&vm(2), Revision(7));
    assert!(source.asks(&vm(1), Revision(6), now));
    source.offer(&vm(1), Revision::ZERO);
    source.answered(&vm(1));
    assert!(!source.is_next(&vm(1), Revision(6), now));
    assert!(source.asks(&vm(2), Revision(6), now));
}
