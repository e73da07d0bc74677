//! Tests of pacing. They guard against bytes that are released without budget, which would overload
//! a link, and against a stream that is never woken, whose response would stall.

use std::task::Waker;

use celerygate_types::wire::SlotOwnership;

use super::*;

fn key() -> LinkKey {
    ("north".parse().unwrap(), "south".parse().unwrap())
}

fn links_with_rate(rate: u64, now: Instant) -> Links {
    let holder = LinkLeaseHolder::new(
        "vm-1".parse().unwrap(),
        celerygate_types::Incarnation(1),
        ByteRate(rate),
        now,
    );
    let state = LinkState {
        holder,
        pacer: Pacer::new(ByteRate(rate), now),
        streams: HashMap::new(),
        released_bytes: 0,
        requested_at: now,
        used: ByteRate::ZERO,
    };
    Links { links: HashMap::from([(key(), state)]), ..Links::default() }
}

#[test]
fn poll_within_rate() {
    let start = Instant::now();
    let mut links = links_with_rate(1_000_000, start);
    let stream = links.open_stream();
    let mut now = start;
    let mut released = 0_u64;
    for _ in 0..100 {
        links.submit(&key(), stream, TrafficClass::Download, 50_000, Waker::noop());
        while let Some(at) = links.poll(&key(), stream, Waker::noop(), now) {
            assert!(at > now, "the next poll must be later, or the caller would spin");
            now = at;
        }
        released += 50_000;
        let allowed = 1_000_000.0 * (now - start).as_secs_f64() + 16_384.0;
        assert!(
            released as f64 <= allowed + 1.0,
            "released {released} bytes, expected at most {allowed}"
        );
    }
}

#[test]
fn poll_small_before_download() {
    let start = Instant::now();
    let mut links = links_with_rate(1_000_000, start);
    let (download, small) = (links.open_stream(), links.open_stream());
    links.submit(&key(), download, TrafficClass::Download, 1_000_000, Waker::noop());
    links.submit(&key(), small, TrafficClass::Small, 10_000, Waker::noop());
    let now = start + Duration::from_millis(20);
    assert!(links.poll(&key(), small, Waker::noop(), now).is_none());
    assert!(links.poll(&key(), download, Waker::noop(), now).is_some());
}

#[test]
fn close_stream_unblocks_other_streams() {
    let start = Instant::now();
    let mut links = links_with_rate(1_000_000, start);
    let (closed, other) = (links.open_stream(), links.open_stream());
    links.submit(&key(), closed, TrafficClass::Download, 100_000_000, Waker::noop());
    links.submit(&key(), other, TrafficClass::Download, 16_000, Waker::noop());
    links.close_stream(&key(), closed);
    let now = start + Duration::from_millis(17);
    assert!(links.poll(&key(), other, Waker::noop(), now).is_none());
}

#[test]
fn set_allocator_only_for_own_epoch() {
    let start = Instant::now();
    let mut links = links_with_rate(1_000, start);
    let epoch = SlotOwnership { region: key().0, vm: "vm-1".parse().unwrap(), epoch: 7 }.epoch;
    links.set_allocator(&key(), Some(epoch), ByteRate(1_000), start);
    assert!(links.allocator(&key()).is_some());
    links.set_allocator(&key(), None, ByteRate(1_000), start);
    assert!(links.allocator(&key()).is_none());
}
