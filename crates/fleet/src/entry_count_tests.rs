//! Guards against shares of a number of entry VMs that a restart has made small (soak seeds 30 and 31:
//! 156 and 162 requests of an organisation in 5 s where 152 are allowed).

use super::*;

#[test]
fn count_grows_at_once() {
    let now = Instant::now();
    let mut count = EntryCount::default();
    assert_eq!(count.count(3, now), Counted::Store(3));
    assert_eq!(count.count(32, now), Counted::Store(32));
    assert_eq!(count.count(32, now), Counted::Keep);
}

#[test]
fn count_after_restart_is_kept() {
    let now = Instant::now();
    let mut count = EntryCount::restored(32);
    for second in 0..100 {
        assert_eq!(count.count(2, now + Duration::from_secs(second)), Counted::Keep);
    }
    assert_eq!(count.get(), 32);
    assert_eq!(count.count(20, now + SMALLER_AFTER), Counted::Store(20));
}

#[test]
fn count_back_in_time_is_kept() {
    let now = Instant::now();
    let mut count = EntryCount::restored(8);
    assert_eq!(count.count(5, now), Counted::Keep);
    assert_eq!(count.count(8, now + Duration::from_secs(60)), Counted::Keep);
    assert_eq!(count.count(5, now + SMALLER_AFTER), Counted::Keep);
}
