//! Tests of the worker pool: lost jobs, and timer ticks that starve behind messages.

use parking_lot::Mutex as BlockingMutex;

use super::*;

/// Guards against urgent jobs that wait behind queued messages.
#[tokio::test]
async fn next_job_urgent_first() {
    let (queue, source) = job_queue();
    for number in 0..10 {
        assert_eq!(queue.offer(number), OfferOutcome::Queued);
    }
    assert_eq!(queue.offer_urgent(100), OfferOutcome::Queued);
    assert_eq!(next_job(&source.receivers).await, Some(100));
    assert_eq!(next_job(&source.receivers).await, Some(0));
}

/// Guards against a flood of messages that takes the queue capacity of timer ticks.
#[tokio::test]
async fn offer_full_queue() {
    let (queue, _source) = job_queue();
    for number in 0..MAX_QUEUED_JOBS {
        assert_eq!(queue.offer(number), OfferOutcome::Queued);
    }
    assert_eq!(queue.offer(0), OfferOutcome::Dropped);
    assert_eq!(queue.offer_urgent(0), OfferOutcome::Queued);
}

/// Guards against jobs that are lost or run twice, and against workers that never end.
#[tokio::test]
async fn start_workers_all_jobs_once() {
    let (queue, source) = job_queue();
    let results = Arc::new(BlockingMutex::new(Vec::new()));
    let recorded = Arc::clone(&results);
    let run = Arc::new(move |number: u32| -> JobFuture {
        let recorded = Arc::clone(&recorded);
        Box::pin(async move { recorded.lock().push(number) })
    });
    let workers = start_workers(3, &source, run);
    for number in 0..1_000 {
        assert_eq!(queue.offer(number), OfferOutcome::Queued);
    }
    drop(queue);
    for worker in workers {
        worker.await.unwrap();
    }
    let mut numbers = results.lock().clone();
    numbers.sort_unstable();
    assert_eq!(numbers, (0..1_000).collect::<Vec<_>>());
}
