//! A mock daemon whose operators' API returns prepared replies.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::sync::{Arc, Mutex};

use celerygate_types::ResultCode;
use http_body_util::{BodyExt as _, Full};
use hyper::body::{Bytes, Incoming};
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use tokio::net::TcpListener;

use crate::output::Printer;

/// What the mock daemon does with a request.
#[derive(Clone)]
pub enum Reply {
    Json(u16, Value),
    /// Closes the connection after the request was read.
    Close,
    /// Keeps the connection open and never responds.
    NoResponse,
}

/// A request that the mock daemon has received.
#[derive(Clone, Debug, PartialEq)]
pub struct ReceivedRequest {
    pub request_line: String,
    pub authorization: String,
    pub body: String,
}

pub struct MockDaemon {
    pub address: String,
    received: Arc<Mutex<Vec<ReceivedRequest>>>,
}

impl MockDaemon {
    /// Starts a mock daemon that sends the replies in turn and repeats the last one.
    pub async fn start(replies: impl IntoIterator<Item = Reply>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let received = Arc::new(Mutex::new(Vec::new()));
        let replies = Arc::new(Mutex::new(replies.into_iter().collect::<VecDeque<_>>()));
        let requests = received.clone();
        tokio::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                let (requests, replies) = (requests.clone(), replies.clone());
                let service =
                    service_fn(move |request| reply(request, requests.clone(), replies.clone()));
                let connection = hyper::server::conn::http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service);
                tokio::spawn(connection);
            }
        });
        Self { address, received }
    }

    pub fn received(&self) -> Vec<ReceivedRequest> {
        self.received.lock().unwrap().clone()
    }
}

async fn reply(
    request: Request<Incoming>,
    requests: Arc<Mutex<Vec<ReceivedRequest>>>,
    replies: Arc<Mutex<VecDeque<Reply>>>,
) -> Result<Response<Full<Bytes>>, &'static str> {
    let (head, body) = request.into_parts();
    let body = body.collect().await.unwrap().to_bytes();
    requests.lock().unwrap().push(ReceivedRequest {
        request_line: format!("{} {}", head.method, head.uri),
        authorization: head.headers["authorization"].to_str().unwrap().to_owned(),
        body: String::from_utf8(body.to_vec()).unwrap(),
    });
    let next = {
        let mut replies = replies.lock().unwrap();
        let next = replies.pop_front().unwrap();
        if replies.is_empty() {
            replies.push_back(next.clone());
        }
        next
    };
    match next {
        Reply::Json(status, value) => {
            let body = Full::new(Bytes::from(value.to_string()));
            Ok(Response::builder().status(status).body(body).unwrap())
        }
        Reply::Close => Err("closed by the test"),
        Reply::NoResponse => std::future::pending().await,
    }
}

/// Returns an address on which nothing listens.
pub async fn unused_address() -> String {
    TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap().to_string()
}

pub fn error_reply(code: ResultCode, leader: Option<&str>) -> Reply {
    let body = json!({
        "code": code.number(), "name": code.to_string(), "outcome": code.outcome(),
        "message": code.message(), "advice": code.advice(), "request": "r-1", "leader": leader,
    });
    Reply::Json(code.http_status(), body)
}

/// Returns the answer for a recorded move in two steps.
pub fn intent_answer(state: &str, next_step: u32, in_force: bool) -> Value {
    let step = |note: &str| {
        json!({
            "changes": [], "note": note,
            "links": [{"from": "east", "to": "west", "use_bytes_per_s": 500, "cap_bytes_per_s": 900}],
            "regions": [
                {"region": "east", "load_slots": 4, "capacity_slots": 9},
                {"region": "west", "load_slots": 7, "capacity_slots": 9},
            ],
        })
    };
    json!({
        "record": {
            "intent": "i-1",
            "kind": {"move": {"service": "listkeeper", "from": "east", "to": "west", "share_ppm": 125_000}},
            "based_on": 7,
            "plan": {"steps": [step("move 10%"), step("move 2.5%")], "risks": ["cold caches"], "refusal": null},
            "state": state, "next_step": next_step, "step_applied_at_unix_ms": null,
            "held_reason": null, "confirmed_revision": null, "proposed_at_unix_ms": 0,
        },
        "in_force": in_force,
        "revision": 8,
    })
}

/// Returns a printer that collects the output. Failures are prefixed with `! `.
pub fn capture_output() -> (Printer, Rc<RefCell<String>>) {
    let text = Rc::new(RefCell::new(String::new()));
    let (result, failure) = (text.clone(), text.clone());
    let printer = Printer {
        result: Box::new(move |part| result.borrow_mut().push_str(part)),
        failure: Box::new(move |part| failure.borrow_mut().push_str(&format!("! {part}"))),
    };
    (printer, text)
}
