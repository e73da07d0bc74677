//! Guards against requests that end without a response and without a line in the log.

use celerygate_steering::buffers::MemoryBudget;
use celerygate_types::ByteCount;
use http_body_util::{BodyExt, Empty};

use super::*;

fn response(id: &str) -> HttpResponse {
    let body = Empty::new().map_err(|never| match never {}).boxed_unsync();
    let mut response = Response::new(body);
    response.extensions_mut().insert(AttemptId(id.into()));
    response
}

/// Guards against a connection that ends with unwritten responses, of which nothing is logged, and
/// against a request that runs on after its connection has ended.
#[tokio::test]
async fn take_unanswered_ready_and_running() {
    let mut pending = PendingResponses::default();
    assert_eq!(pending.take_unanswered(), None);
    let budget = MemoryBudget::new(ByteCount(0));
    let running = std::sync::Arc::new(());
    let guard = std::sync::Arc::clone(&running);
    pending.push(tokio::spawn(async { response("a-1") }), true, budget.reservation());
    pending.push(
        tokio::spawn(async move {
            let _guard = guard;
            std::future::pending().await
        }),
        true,
        budget.reservation(),
    );
    pending.push(tokio::spawn(async { response("a-3") }), true, budget.reservation());
    tokio::task::yield_now().await;
    let ready = SmallVec::from_iter(["a-1".into(), "a-3".into()]);
    assert_eq!(pending.take_unanswered(), Some(Unanswered { count: 3, ready }));
    tokio::task::yield_now().await;
    assert_eq!(std::sync::Arc::strong_count(&running), 1, "the request still runs");
}
