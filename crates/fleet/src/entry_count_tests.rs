//! Guards against shares computed from too small a number of entry VMs after a restart (soak seeds
//! 30 and 31: 156 and 162 requests of an organisation in 5 s where 152 are allowed).

use super::*;

#[test]
fn update_larger_stored_at_once() {
    let now = Instant::now();
    let mut count = EntryCount::default();
    assert_eq!(count.update(3, now), CountChange::Store(3));
    assert_eq!(count.update(32, now), CountChange::Store(32));
    assert_eq!(count.update(32, now), CountChange::Keep);
}

#[test]
fn update_smaller_after_restart_delayed() {
    let now = Instant::now();
    let mut count = EntryCount::from_stored(32);
    for second in 0..100 {
        assert_eq!(count.update(2, now + Duration::from_secs(second)), CountChange::Keep);
    }
    assert_eq!(count.get(), 32);
    assert_eq!(count.update(20, now + DECREASE_DELAY), CountChange::Store(20));
}

#[test]
fn update_recovered_within_delay_kept() {
    let now = Instant::now();
    let mut count = EntryCount::from_stored(8);
    assert_eq!(count.update(5, now), CountChange::Keep);
    assert_eq!(count.update(8, now + Duration::from_secs(60)), CountChange::Keep);
    assert_eq!(count.update(5, now + DECREASE_DELAY), CountChange::Keep);
}

/// Guards against a number that is never stored because the disk was full when it changed: after the loss
/// of all power, the VMs would divide the rate limits by the earlier number.
#[test]
fn update_after_failed_write_stored_again() {
    let now = Instant::now();
    let mut count = EntryCount::from_stored(3);
    assert_eq!(count.update(32, now), CountChange::Store(32));
    count.record_failure();
    assert_eq!(count.update(32, now), CountChange::Store(32));
    assert_eq!(count.update(32, now), CountChange::Keep);
}
