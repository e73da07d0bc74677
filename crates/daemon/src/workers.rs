//! A pool of worker tasks that run the jobs of a bounded queue.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;

use tokio::sync::{Mutex, mpsc};
use tokio::task::JoinHandle;

/// Maximum number of queued regular jobs. Peers repeat their messages, so a new job is dropped when
/// the queue is full.
pub const MAX_QUEUED_JOBS: usize = 4_096;

/// Maximum number of queued urgent jobs; there are a few timers, each with at most a few
/// outstanding ticks.
const MAX_QUEUED_URGENT_JOBS: usize = 256;

/// The sending side of the job queue.
pub struct JobQueue<J> {
    urgent: mpsc::Sender<J>,
    regular: mpsc::Sender<J>,
}

impl<J> Clone for JobQueue<J> {
    fn clone(&self) -> Self {
        Self { urgent: self.urgent.clone(), regular: self.regular.clone() }
    }
}

/// Result of offering a job to the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OfferOutcome {
    /// A worker will run it.
    Queued,
    /// The queue is full or closed.
    Dropped,
}

impl<J> JobQueue<J> {
    /// Queues a regular job without waiting.
    pub fn offer(&self, job: J) -> OfferOutcome {
        try_send_to(&self.regular, job)
    }

    /// Queues a job that runs before all regular ones, without waiting. With a single queue, a
    /// flood of token requests also caused the leader's timer ticks to be dropped.
    pub fn offer_urgent(&self, job: J) -> OfferOutcome {
        try_send_to(&self.urgent, job)
    }
}

fn try_send_to<J>(sender: &mpsc::Sender<J>, job: J) -> OfferOutcome {
    match sender.try_send(job) {
        Ok(()) => OfferOutcome::Queued,
        Err(_) => OfferOutcome::Dropped,
    }
}

struct Receivers<J> {
    urgent: mpsc::Receiver<J>,
    regular: mpsc::Receiver<J>,
}

/// The receiving side of the job queue, shared by the workers.
pub struct JobSource<J> {
    receivers: Arc<Mutex<Receivers<J>>>,
}

/// Creates a job queue and returns both sides.
pub fn job_queue<J>() -> (JobQueue<J>, JobSource<J>) {
    let (urgent, urgent_receiver) = mpsc::channel(MAX_QUEUED_URGENT_JOBS);
    let (regular, regular_receiver) = mpsc::channel(MAX_QUEUED_JOBS);
    let receivers = Receivers { urgent: urgent_receiver, regular: regular_receiver };
    (JobQueue { urgent, regular }, JobSource { receivers: Arc::new(Mutex::new(receivers)) })
}

/// The future of one job.
pub type JobFuture = Pin<Box<dyn Future<Output = ()> + Send>>;

/// Starts the workers. Each runs one job at a time to completion and waits while the queue is
/// empty. All end when every sender was dropped and the queue is empty.
pub fn start_workers<J: Send + 'static>(
    count: u32,
    source: &JobSource<J>,
    run: Arc<dyn Fn(J) -> JobFuture + Send + Sync>,
) -> Vec<JoinHandle<()>> {
    (0..count.max(1))
        .map(|_| {
            let (receivers, run) = (Arc::clone(&source.receivers), Arc::clone(&run));
            tokio::spawn(async move {
                while let Some(job) = next_job(&receivers).await {
                    run(job).await;
                }
            })
        })
        .collect()
}

async fn next_job<J>(receivers: &Mutex<Receivers<J>>) -> Option<J> {
    let mut receivers = receivers.lock().await;
    let Receivers { urgent, regular } = &mut *receivers;
    // When one channel is closed, the other may still hold jobs.
    tokio::select! {
        biased;
        Some(job) = urgent.recv() => Some(job),
        Some(job) = regular.recv() => Some(job),
        else => None,
    }
}

#[cfg(test)]
#[path = "workers_tests.rs"]
mod tests;
