//! A stand-in for the operators' API that gives prepared replies.

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

/// What the stand-in does with a request.
#[derive(Clone)]
pub enum Reply {
    Json(u16, Value),
    /// Closes the connection after it has read the request.
    Close,
    /// Never answers.
    Silence,
}

/// A request as it arrived.
#[derive(Clone, Debug, PartialEq)]
pub struct Seen {
    pub line: String,
    pub authorization: String,
    pub body: String,
}

pub struct StandIn {
    pub address: String,
    seen: Arc<Mutex<Vec<Seen>>>,
}

impl StandIn {
    /// Gives the replies in turn; the last one again and again.
    pub async fn start(replies: impl IntoIterator<Item = Reply>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let seen = Arc::new(Mutex::new(Vec::new()));
        let replies = Arc::new(Mutex::new(replies.into_iter().collect::<VecDeque<_>>()));
        let noted = seen.clone();
        tokio::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                let (noted, replies) = (noted.clone(), replies.clone());
                let service =
                    service_fn(move |request| reply(request, noted.clone(), replies.clone()));
                let connection = hyper::server::conn::http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service);
                tokio::spawn(connection);
            }
        });
        Self { address, seen }
    }

    pub fn seen(&self) -> Vec<Seen> {
        self.seen.lock().unwrap().clone()
    }
}

async fn reply(
    request: Request<Incoming>,
    noted: Arc<Mutex<Vec<Seen>>>,
    replies: Arc<Mutex<VecDeque<Reply>>>,
) -> Result<Response<Full<Bytes>>, &'static str> {
    let (head, body) = request.into_parts();
    let body = body.collect().await.unwrap().to_bytes();
    noted.lock().unwrap().push(Seen {
        line: format!("{} {}", head.method, head.uri),
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
        Reply::Silence => std::future::pending().await,
    }
}

/// An address at which nothing listens.
pub async fn closed_address() -> String {
    TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap().to_string()
}

pub fn refusal(code: ResultCode, leader: Option<&str>) -> Reply {
    let body = json!({
        "code": code.number(), "name": code.to_string(), "outcome": code.outcome(),
        "message": code.message(), "advice": code.advice(), "request": "r-1", "leader": leader,
    });
    Reply::Json(code.http_status(), body)
}

/// A recorded move in two steps.
pub fn answer(state: &str, next_step: u32, in_force: bool) -> Value {
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

/// Collects what is printed; failures begin with `! `.
pub fn collect() -> (Printer, Rc<RefCell<String>>) {
    let text = Rc::new(RefCell::new(String::new()));
    let (result, failure) = (text.clone(), text.clone());
    let printer = Printer {
        result: Box::new(move |part| result.borrow_mut().push_str(part)),
        failure: Box::new(move |part| failure.borrow_mut().push_str(&format!("! {part}"))),
    };
    (printer, text)
}
