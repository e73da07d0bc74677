use std::sync::atomic::{AtomicUsize, Ordering};

use super::*;

/// Guards against a daemon that looks ready and no longer synchronises, asks for tokens or cleans up,
/// because the task that does so has panicked.
#[tokio::test(start_paused = true)]
async fn spawn_panicking_task_started_again() {
    let metrics = Arc::new(Metrics::new().expect("metrics"));
    let starts = Arc::new(AtomicUsize::new(0));
    let counter = Arc::clone(&starts);
    let task = spawn("test", &metrics, move || {
        let start = counter.fetch_add(1, Ordering::AcqRel);
        async move { assert!(start >= 2, "injected fault") }
    });
    task.await.expect("the supervisor ends with its task");
    assert_eq!(starts.load(Ordering::Acquire), 3);
    let text = metrics.scrape().expect("metrics");
    let line = text.lines().find(|line| line.starts_with("celerygate_panics"));
    let line = line.expect("a count of panics");
    assert!(line.contains(r#"part="test""#) && line.ends_with(" 2"), "{line}");
}
