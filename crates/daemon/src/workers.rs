//! The pool of worker tasks that drains the job queue.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;

use tokio::sync::{Mutex, mpsc};
use tokio::task::JoinHandle;

/// Most jobs that wait. A job is a message from a peer or a timer tick, and both are repeated by
/// their senders, so the newest is dropped when the queue is full.
pub const QUEUE_JOBS: usize = 4_096;

/// The sending side of the job queue.
pub struct JobQueue<J> {
    sender: mpsc::Sender<J>,
}

impl<J> Clone for JobQueue<J> {
    fn clone(&self) -> Self {
        Self { sender: self.sender.clone() }
    }
}

/// What became of a job that was offered to the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Offered {
    /// A worker will run it.
    Queued,
    /// The queue is full or closed.
    Dropped,
}

impl<J> JobQueue<J> {
    /// Offers a job without waiting.
    pub fn offer(&self, job: J) -> Offered {
        match self.sender.try_send(job) {
            Ok(()) => Offered::Queued,
            Err(_) => Offered::Dropped,
        }
    }
}

/// The receiving side of the job queue, shared by the workers.
pub struct JobSource<J> {
    receiver: Arc<Mutex<mpsc::Receiver<J>>>,
}

/// Returns both sides of a new queue.
pub fn job_queue<J>() -> (JobQueue<J>, JobSource<J>) {
    let (sender, receiver) = mpsc::channel(QUEUE_JOBS);
    (JobQueue { sender }, JobSource { receiver: Arc::new(Mutex::new(receiver)) })
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
            let (receiver, run) = (Arc::clone(&source.receiver), Arc::clone(&run));
            tokio::spawn(async move {
                while let Some(job) = next_job(&receiver).await {
                    run(job).await;
                }
            })
        })
        .collect()
}

async fn next_job<J>(receiver: &Mutex<mpsc::Receiver<J>>) -> Option<J> {
    receiver.lock().await.recv().await
}
