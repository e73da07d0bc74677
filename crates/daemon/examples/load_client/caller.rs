//! One caller: sends one request after the other and checks the answers.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use celerygate_types::ResultCode;
use celerygate_types::wire::{self, ErrorBody};
use http_body_util::{BodyExt as _, Full};
use hyper::body::{Bytes, Incoming};
use hyper::header::{AUTHORIZATION, HOST};
use hyper::{Method, Request, Response, StatusCode};
use tokio::time::{Instant, sleep, timeout_at};

use crate::body::{DIGEST_HEADER, stream};
use crate::entries::Entries;
use crate::http::{self, Sender};
use crate::options::{Load, Organisation};

/// Pause before the entry VMs are tried once more after all of them have refused.
const ROUND_PAUSE: Duration = Duration::from_millis(100);

/// Time that the client waits beyond the deadline it has told the daemon.
const DEADLINE_MARGIN: Duration = Duration::from_secs(2);

/// What became of a request.
#[derive(Debug)]
pub enum Outcome {
    /// The complete and correct answer came.
    Good,
    /// Every entry VM refused it, and it did not run.
    Refused(String),
    /// It may have run, and no answer came.
    Failed(String),
    /// The answer ended early.
    Cut(String),
    /// The answer belongs to another request or was changed.
    Wrong(String),
    /// The request ran more than once.
    Twice(String),
}

/// How one try ended.
enum Tried {
    Ended(Outcome),
    /// The request did not run; another entry VM may accept it.
    NotRun(String),
}

/// Sends the requests of one organisation one by one.
pub struct Caller {
    load: Arc<Load>,
    organisation: Arc<Organisation>,
    entries: Entries,
    open: HashMap<String, Sender>,
}

/// What is sent and expected back.
struct Plan {
    method: Method,
    /// Path at the target.
    path: String,
    idempotency_key: Option<String>,
}

impl Caller {
    /// Prepares a caller without connections.
    pub fn new(load: &Arc<Load>, organisation: &Arc<Organisation>) -> Self {
        let client = organisation.client.as_deref();
        Self {
            load: load.clone(),
            organisation: organisation.clone(),
            entries: Entries::new(&load.lookup, load.service.as_str(), client),
            open: HashMap::new(),
        }
    }

    /// Sends a request to entry VMs in turn until one does not refuse it.
    pub async fn request(&mut self, number: u64) -> Outcome {
        let outcome = self.request_any(&self.plan(number)).await;
        let shown = match &outcome {
            Outcome::Good => None,
            Outcome::Refused(reason) => self.load.verbose.then(|| format!("refused: {reason}")),
            Outcome::Failed(reason) => Some(format!("failed: {reason}")),
            Outcome::Cut(reason) => Some(format!("cut: {reason}")),
            Outcome::Wrong(reason) => Some(format!("wrong: {reason}")),
            Outcome::Twice(reason) => Some(format!("twice: {reason}")),
        };
        if let Some(shown) = shown {
            eprintln!("{} request {number} {shown}", self.organisation.name);
        }
        outcome
    }

    async fn request_any(&mut self, plan: &Plan) -> Outcome {
        let deadline = Instant::now() + self.load.deadline;
        loop {
            let reason = match self.entries.get().await {
                Ok(entries) => match self.try_entries(&entries, plan, deadline).await {
                    Tried::Ended(outcome) => return outcome,
                    Tried::NotRun(reason) => reason,
                },
                Err(reason) => reason,
            };
            if Instant::now() + ROUND_PAUSE >= deadline {
                return Outcome::Refused(reason);
            }
            sleep(ROUND_PAUSE).await;
        }
    }

    async fn try_entries(&mut self, entries: &[String], plan: &Plan, deadline: Instant) -> Tried {
        let mut last = "no entry VM".to_owned();
        for entry in entries {
            match self.try_entry(entry, plan, deadline).await {
                Tried::NotRun(reason) => last = reason,
                ended => return ended,
            }
        }
        Tried::NotRun(last)
    }

    fn plan(&self, number: u64) -> Plan {
        let name = &self.organisation.name;
        if self.load.count_every != 0 && (number + 1).is_multiple_of(self.load.count_every) {
            // Keys differ between runs, because daemons keep them for an hour.
            let key = format!("{name}-{number}-{:016x}", rand::random::<u64>());
            return Plan {
                method: Method::POST,
                path: "/count".to_owned(),
                idempotency_key: Some(key),
            };
        }
        let path = format!("/echo/{}/{name}/{number}", self.load.body_bytes);
        Plan { method: Method::GET, path, idempotency_key: None }
    }

    async fn try_entry(&mut self, entry: &str, plan: &Plan, deadline: Instant) -> Tried {
        let mut sender = match self.sender(entry).await {
            Ok(sender) => sender,
            Err(reason) => return Tried::NotRun(reason),
        };
        let left = deadline.saturating_duration_since(Instant::now());
        let request = match self.make_request(entry, plan, left) {
            Ok(request) => request,
            Err(reason) => return Tried::Ended(Outcome::Failed(reason)),
        };
        let exchange = async {
            match sender.try_send_request(request).await {
                Ok(response) => receive(response, plan).await,
                Err(mut error) => {
                    let reason = format!("{entry}: {}", error.error());
                    // The request comes back when no byte of it was sent.
                    if error.take_message().is_some() {
                        return Tried::NotRun(reason);
                    }
                    Tried::Ended(Outcome::Failed(reason))
                }
            }
        };
        let tried = timeout_at(deadline + DEADLINE_MARGIN, exchange).await.unwrap_or_else(|_| {
            Tried::Ended(Outcome::Failed(format!("{entry}: no answer before the deadline")))
        });
        // The entry VM shows whether it is one that was killed.
        let tried = match tried {
            Tried::Ended(Outcome::Cut(reason)) => {
                Tried::Ended(Outcome::Cut(format!("{entry}: {reason}")))
            }
            other => other,
        };
        // A connection with an unfinished answer is not used again.
        if matches!(tried, Tried::Ended(Outcome::Good) | Tried::NotRun(_)) && !sender.is_closed() {
            self.open.insert(entry.to_owned(), sender);
        }
        tried
    }

    /// Returns an open connection that accepts a request.
    async fn sender(&mut self, entry: &str) -> Result<Sender, String> {
        if let Some(mut sender) = self.open.remove(entry)
            && sender.ready().await.is_ok()
        {
            return Ok(sender);
        }
        http::connect(entry).await
    }

    fn make_request(
        &self,
        entry: &str,
        plan: &Plan,
        left: Duration,
    ) -> Result<Request<Full<Bytes>>, String> {
        let mut request = Request::builder()
            .method(&plan.method)
            .uri(format!("/svc/{}{}", self.load.service, plan.path))
            .header(HOST, entry)
            .header(AUTHORIZATION, format!("Bearer {}", self.organisation.key))
            .header("celerygate-deadline-ms", left.as_millis().max(1).to_string());
        if let Some(key) = &plan.idempotency_key {
            request = request.header("idempotency-key", key);
        }
        request.body(Full::new(Bytes::new())).map_err(|error| error.to_string())
    }
}

/// Reads the answer and compares it with what the request asked for.
async fn receive(response: Response<Incoming>, plan: &Plan) -> Tried {
    let status = response.status();
    if status != StatusCode::OK {
        return receive_refusal(response).await;
    }
    let outcome = if plan.idempotency_key.is_some() {
        receive_count(response).await
    } else {
        receive_echo(response, &plan.path).await
    };
    Tried::Ended(outcome)
}

async fn receive_refusal(response: Response<Incoming>) -> Tried {
    let status = response.status();
    let body = match response.into_body().collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) => return Tried::Ended(Outcome::Cut(format!("{status}: {error}"))),
    };
    let Ok(refusal) = serde_json::from_slice::<ErrorBody>(&body) else {
        let shown = String::from_utf8_lossy(&body[..body.len().min(200)]).into_owned();
        return Tried::Ended(Outcome::Failed(format!("{status}: {shown}")));
    };
    let reason = format!("{} {}: {}", refusal.code, refusal.name, refusal.message);
    match refusal.outcome {
        wire::Outcome::Unknown => Tried::Ended(Outcome::Failed(reason)),
        // The rate counts over all VMs, so that another one refuses as well.
        wire::Outcome::NotRun if refusal.code == ResultCode::RateExceeded.number() => {
            Tried::Ended(Outcome::Refused(reason))
        }
        wire::Outcome::NotRun => Tried::NotRun(reason),
    }
}

async fn receive_count(response: Response<Incoming>) -> Outcome {
    match response.into_body().collect().await {
        Ok(body) => match body.to_bytes().as_ref() {
            b"1" => Outcome::Good,
            count => Outcome::Twice(format!("it ran {} times", String::from_utf8_lossy(count))),
        },
        Err(error) => Outcome::Cut(error.to_string()),
    }
}

async fn receive_echo(response: Response<Incoming>, path: &str) -> Outcome {
    let announced = response.headers().get(DIGEST_HEADER).cloned();
    let size = path.split('/').nth(2).and_then(|size| size.parse::<u64>().ok()).unwrap_or_default();
    let mut body = response.into_body();
    let (mut expected, mut hasher) = (stream(path), blake3::Hasher::new());
    let mut received = 0;
    while let Some(frame) = body.frame().await {
        let frame = match frame {
            Ok(frame) => frame,
            Err(error) => return Outcome::Cut(format!("{received} of {size} bytes: {error}")),
        };
        let Some(piece) = frame.data_ref() else { continue };
        let mut wanted = vec![0; piece.len()];
        expected.fill(&mut wanted);
        if wanted != *piece {
            return Outcome::Wrong(format!("another body after {received} bytes"));
        }
        hasher.update(piece);
        received += piece.len() as u64;
    }
    let digest = hasher.finalize().to_hex();
    if received < size {
        return Outcome::Cut(format!("{received} of {size} bytes"));
    }
    if received > size {
        return Outcome::Wrong(format!("{received} bytes in place of {size}"));
    }
    match announced {
        Some(announced) if announced.as_bytes() == digest.as_bytes() => Outcome::Good,
        _ => Outcome::Wrong("another or no digest".to_owned()),
    }
}
