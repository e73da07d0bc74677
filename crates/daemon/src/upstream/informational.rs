//! Informational responses (1xx) before the response to a request.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use hyper::Request;
use tokio::sync::Notify;

use super::RequestBody;

/// Maximum number of informational responses to one request. The HTTP library discards them without
/// a bound, so that a target could keep it busy until the deadline.
pub const MAX_INFORMATIONAL_RESPONSES: u32 = 16;

/// Counts the informational responses to a request.
#[derive(Default)]
pub struct InformationalCount {
    received: AtomicU32,
    exceeded: Notify,
}

impl InformationalCount {
    /// Starts to count the informational responses to a request.
    pub fn attach(request: &mut Request<RequestBody>) -> Arc<Self> {
        let count = Arc::<Self>::default();
        let recorded = Arc::clone(&count);
        hyper::ext::on_informational(request, move |_| recorded.record());
        count
    }

    fn record(&self) {
        if self.received.fetch_add(1, Ordering::Relaxed) >= MAX_INFORMATIONAL_RESPONSES {
            self.exceeded.notify_one();
        }
    }

    /// Waits until there are more than [`MAX_INFORMATIONAL_RESPONSES`].
    pub async fn exceeded(&self) {
        self.exceeded.notified().await;
    }
}
