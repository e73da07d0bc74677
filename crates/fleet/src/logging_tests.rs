//! Guards against logging that blocks requests when nothing reads the output, and against unbounded
//! memory use.

use super::*;

fn writer(queued: usize) -> (QueueWriter, Receiver<Vec<u8>>) {
    let (lines, queue) = sync_channel(queued);
    let window = Mutex::new(RateWindow { start: Instant::now(), lines: 0 });
    (QueueWriter { lines, dropped: Arc::default(), window }, queue)
}

fn write(writer: &QueueWriter, level: log::Level) {
    let record = Record::builder().level(level).args(format_args!("line")).build();
    writer.write(&mut DeferredNow::new(), &record).expect("no error");
}

#[test]
fn write_without_reader_drops_and_counts() {
    let (writer, _queue) = writer(2);
    (0..5).for_each(|_| write(&writer, log::Level::Warn));
    assert_eq!(writer.dropped.load(Ordering::Relaxed), 3);
}

#[test]
fn write_bounded_within_a_second() {
    let (writer, queue) = writer(LINES_PER_S as usize * 2);
    (0..LINES_PER_S + 50).for_each(|_| write(&writer, log::Level::Info));
    write(&writer, log::Level::Error);
    assert!(queue.try_iter().count() <= LINES_PER_S as usize + 1);
    assert!(writer.dropped.load(Ordering::Relaxed) >= 50);
}

#[test]
fn allows_again_after_a_second() {
    let start = Instant::now();
    let mut window = RateWindow { start, lines: LINES_PER_S };
    assert!(!window.allows(start));
    assert!(window.allows(start + Duration::from_secs(1)));
}
