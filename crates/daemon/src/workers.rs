//! The pool of worker tasks that drains the job queue.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;

use tokio::sync::{Mutex, mpsc};
use tokio::task::JoinHandle;

/// Most jobs that wait. A job is a message from a peer or a timer tick, and both are repeated by
/// their senders, so the newest is dropped when the queue is full.
pub const MAX_QUEUED_JOBS: usize = 4_096;

/// Most urgent jobs that wait; there are a few timers, each with at most a few ticks outstanding.
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

/// What became of a job that was offered to the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OfferOutcome {
    /// A worker will run it.
    Queued,
    /// The queue is full or closed.
    Dropped,
}

impl<J> JobQueue<J> {
    /// Offers a job without waiting.
    pub fn offer(&self, job: J) -> OfferOutcome {
        offer_to(&self.regular, job)
    }

    /// Offers a job that runs before all regular ones. With one queue, a flood of token requests
    /// dropped the leader's timer ticks too.
    pub fn offer_urgent(&self, job: J) -> OfferOutcome {
        offer_to(&self.urgent, job)
    }
}

fn offer_to<J>(sender: &mpsc::Sender<J>, job: J) -> OfferOutcome {
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

/// Returns both sides of a new queue.
pub fn job_queue<J>() -> (JobQueue<J>, JobSource<J>) {
    let (urgent, urgent_receiver) = mpsc::channel(MAX_QUEUED_URGENT_JOBS);
    let (regular, regular_receiver) = mpsc::channel(MAX_QUEUED_JOBS);
    let receivers = Receivers { urgent: urgent_receiver, regular: regular_receiver };
    (JobQueue { urgent, regular }, JobSource { receivers: Arc::new(Mutex::new(receivers)) })
}

/// The future of one job.
pub type JobFuture = Pin<Box<dyn Future<Output = ()> + Send>>;

/// Starts the workers. Each takes a job, runs it to its end and sleeps while the queue is empty;
/// all end when every sender is gone.
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
    // A closed channel yields nothing more; the other one may still hold jobs.
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
