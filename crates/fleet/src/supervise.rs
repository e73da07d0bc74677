//! Background tasks that go on after a panic.
//!
//! A daemon without one of its background tasks would look ready and work with old data, so a task
//! that panics is started again. The panic itself is logged by [`crate::logging::log_panics`].

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use celerygate_daemon::telemetry::Metrics;
use tokio::task::JoinHandle;
use tokio::time::sleep;

/// Pause before a task is started again, which bounds the log lines of one that panics at once.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// Runs a task until it returns, and starts it again whenever it panics. `part` names the task in
/// logs and metrics.
pub fn spawn<F>(
    part: &'static str,
    metrics: &Arc<Metrics>,
    start: impl Fn() -> F + Send + 'static,
) -> JoinHandle<()>
where
    F: Future<Output = ()> + Send + 'static,
{
    let metrics = Arc::clone(metrics);
    tokio::spawn(async move {
        loop {
            match tokio::spawn(start()).await {
                Err(error) if error.is_panic() => {
                    metrics.count_panic(part);
                    log::error!(part = part, error:% = error;
                        "background task failed, starting it again");
                }
                _ => return,
            }
            sleep(RESTART_DELAY).await;
        }
    })
}

#[cfg(test)]
#[path = "supervise_tests.rs"]
mod tests;
