//! Requests of a connection whose responses are not written yet.

use std::collections::VecDeque;
use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll, Waker};

use celerygate_steering::buffers::Reservation;
use hyper::Response;
use smallvec::SmallVec;
use smol_str::SmolStr;
use tokio::task::{JoinError, JoinHandle};

use crate::forward::{AttemptId, ResponseBody};

type HttpResponse = Response<ResponseBody>;

/// A request whose response is not written yet; dropping it cancels the request.
struct PendingResponse {
    response: JoinHandle<HttpResponse>,
    keep_alive: bool,
    _memory: Reservation,
}

impl Drop for PendingResponse {
    fn drop(&mut self) {
        self.response.abort();
    }
}

/// The pending requests of a connection in their order. Dropping them cancels and logs them.
#[derive(Default)]
pub struct PendingResponses(VecDeque<PendingResponse>);

/// Requests that get no response because their connection has ended.
#[derive(Debug, PartialEq, Eq)]
pub struct Unanswered {
    /// Number of requests.
    pub count: usize,
    /// Requests whose response was ready; the others log their end themselves.
    pub ready: SmallVec<[SmolStr; 4]>,
}

impl PendingResponses {
    /// Adds a request that runs as a task. `memory` is held until its response is ready.
    pub fn push(
        &mut self,
        response: JoinHandle<HttpResponse>,
        keep_alive: bool,
        memory: Reservation,
    ) {
        self.0.push_back(PendingResponse { response, keep_alive, _memory: memory });
    }

    /// Returns the number of requests.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns whether no request is pending.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns whether the newest request allows requests after it.
    pub fn allows_more(&self) -> bool {
        self.0.back().is_none_or(|last| last.keep_alive)
    }

    /// Waits for the response to the first request, removes the request and returns its response
    /// and whether the caller keeps the connection. Waits forever if no request is pending.
    pub async fn next(&mut self) -> (Result<HttpResponse, JoinError>, bool) {
        let Some(first) = self.0.front_mut() else { return std::future::pending().await };
        let response = (&mut first.response).await;
        let keep_alive = first.keep_alive;
        self.0.pop_front();
        (response, keep_alive)
    }

    /// Removes all requests and returns what is known about them, `None` if there are none.
    pub fn take_unanswered(&mut self) -> Option<Unanswered> {
        let count = self.0.len();
        let mut context = Context::from_waker(Waker::noop());
        let ready = self.0.drain(..).filter_map(|mut pending| {
            match Pin::new(&mut pending.response).poll(&mut context) {
                Poll::Ready(Ok(response)) => {
                    let id = response.extensions().get().map(|AttemptId(id)| id.clone());
                    Some(id.unwrap_or_default())
                }
                Poll::Ready(Err(_)) | Poll::Pending => None,
            }
        });
        let ready = ready.collect();
        (count > 0).then_some(Unanswered { count, ready })
    }
}

impl Drop for PendingResponses {
    fn drop(&mut self) {
        if let Some(Unanswered { count, ready }) = self.take_unanswered() {
            log::info!(count = count, ready_requests = ready.join(" ");
                "connection ended before its responses");
        }
    }
}

#[cfg(test)]
#[path = "pending_tests.rs"]
mod tests;
