//! A caller: sends requests one at a time and verifies the responses.

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
use crate::entries::EntryCache;
use crate::http::{self, Sender};
use crate::options::{Load, Organisation};

/// Delay before the entry VMs are tried again after all of them have refused a request.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Time for which the client waits for a response after the deadline sent to the daemon.
const DEADLINE_MARGIN: Duration = Duration::from_secs(2);

/// Result of a request after all attempts.
#[derive(Debug)]
pub enum Outcome {
    /// The response was complete and correct.
    Succeeded,
    /// Every entry VM refused the request, and it did not run.
    Refused(String),
    /// No response was received, and the request may have run.
    Failed(String),
    /// The response body was truncated. Reported as `cut`.
    Truncated(String),
    /// The response body is that of another request or was altered. Reported as `wrong`.
    Mismatched(String),
    /// The request ran more than once. Reported as `twice`.
    Duplicated(String),
}

/// Result of one attempt.
enum Attempt {
    Finished(Outcome),
    /// The request did not run, so it can be sent to another entry VM.
    NotRun(String),
}

/// Sends requests of one organisation one at a time.
pub struct Caller {
    load: Arc<Load>,
    organisation: Arc<Organisation>,
    entries: EntryCache,
    idle_connections: HashMap<String, Sender>,
}

/// A request to send, which also determines the expected response.
struct PlannedRequest {
    method: Method,
    /// Path as the target receives it.
    path: String,
    idempotency_key: Option<String>,
}

impl Caller {
    /// Creates a caller without connections.
    pub fn new(load: &Arc<Load>, organisation: &Arc<Organisation>) -> Self {
        let client = organisation.client.as_deref();
        Self {
            load: load.clone(),
            organisation: organisation.clone(),
            entries: EntryCache::new(&load.lookup, load.service.as_str(), client),
            idle_connections: HashMap::new(),
        }
    }

    /// Sends a request to the entry VMs in turn until one accepts it or the deadline passes.
    pub async fn request(&mut self, number: u64) -> Outcome {
        let outcome = self.request_with_retries(&self.plan_request(number)).await;
        let message = match &outcome {
            Outcome::Succeeded => None,
            Outcome::Refused(reason) => self.load.verbose.then(|| format!("refused: {reason}")),
            Outcome::Failed(reason) => Some(format!("failed: {reason}")),
            Outcome::Truncated(reason) => Some(format!("cut: {reason}")),
            Outcome::Mismatched(reason) => Some(format!("wrong: {reason}")),
            Outcome::Duplicated(reason) => Some(format!("twice: {reason}")),
        };
        if let Some(message) = message {
            eprintln!("{} request {number} {message}", self.organisation.name);
        }
        outcome
    }

    async fn request_with_retries(&mut self, planned: &PlannedRequest) -> Outcome {
        let deadline = Instant::now() + self.load.deadline;
        loop {
            let reason = match self.entries.get().await {
                Ok(entries) => match self.try_entries(&entries, planned, deadline).await {
                    Attempt::Finished(outcome) => return outcome,
                    Attempt::NotRun(reason) => reason,
                },
                Err(reason) => reason,
            };
            if Instant::now() + RETRY_PAUSE >= deadline {
                return Outcome::Refused(reason);
            }
            sleep(RETRY_PAUSE).await;
        }
    }

    async fn try_entries(
        &mut self,
        entries: &[String],
        planned: &PlannedRequest,
        deadline: Instant,
    ) -> Attempt {
        let mut last_reason = "no entry VM found".to_owned();
        for entry in entries {
            match self.try_entry(entry, planned, deadline).await {
                Attempt::NotRun(reason) => last_reason = reason,
                finished => return finished,
            }
        }
        Attempt::NotRun(last_reason)
    }

    fn plan_request(&self, number: u64) -> PlannedRequest {
        let name = &self.organisation.name;
        if self.load.count_every != 0 && (number + 1).is_multiple_of(self.load.count_every) {
            // The random suffix makes keys differ between runs: daemons remember keys for an hour.
            let key = format!("{name}-{number}-{:016x}", rand::random::<u64>());
            return PlannedRequest {
                method: Method::POST,
                path: "/count".to_owned(),
                idempotency_key: Some(key),
            };
        }
        let path = format!("/echo/{}/{name}/{number}", self.load.body_bytes);
        PlannedRequest { method: Method::GET, path, idempotency_key: None }
    }

    async fn try_entry(
        &mut self,
        entry: &str,
        planned: &PlannedRequest,
        deadline: Instant,
    ) -> Attempt {
        let mut sender = match self.sender(entry).await {
            Ok(sender) => sender,
            Err(reason) => return Attempt::NotRun(reason),
        };
        let remaining = deadline.saturating_duration_since(Instant::now());
        let request = match self.make_request(entry, planned, remaining) {
            Ok(request) => request,
            Err(reason) => return Attempt::Finished(Outcome::Failed(reason)),
        };
        let exchange = async {
            match sender.try_send_request(request).await {
                Ok(response) => receive(response, planned).await,
                Err(mut error) => {
                    let reason = format!("{entry}: {}", error.error());
                    // The error contains the request if no byte of it was sent.
                    if error.take_message().is_some() {
                        return Attempt::NotRun(reason);
                    }
                    Attempt::Finished(Outcome::Failed(reason))
                }
            }
        };
        let attempt = timeout_at(deadline + DEADLINE_MARGIN, exchange).await.unwrap_or_else(|_| {
            Attempt::Finished(Outcome::Failed(format!("{entry}: no response before the deadline")))
        });
        // The address shows whether the truncation came from an entry VM that a test had killed.
        let attempt = match attempt {
            Attempt::Finished(Outcome::Truncated(reason)) => {
                Attempt::Finished(Outcome::Truncated(format!("{entry}: {reason}")))
            }
            other => other,
        };
        // A connection with an incomplete response cannot be reused.
        if matches!(attempt, Attempt::Finished(Outcome::Succeeded) | Attempt::NotRun(_))
            && !sender.is_closed()
        {
            self.idle_connections.insert(entry.to_owned(), sender);
        }
        attempt
    }

    /// Returns an idle connection to the entry VM, or opens a new one.
    async fn sender(&mut self, entry: &str) -> Result<Sender, String> {
        if let Some(mut sender) = self.idle_connections.remove(entry)
            && sender.ready().await.is_ok()
        {
            return Ok(sender);
        }
        http::connect(entry).await
    }

    fn make_request(
        &self,
        entry: &str,
        planned: &PlannedRequest,
        remaining: Duration,
    ) -> Result<Request<Full<Bytes>>, String> {
        let mut request = Request::builder()
            .method(&planned.method)
            .uri(format!("/svc/{}{}", self.load.service, planned.path))
            .header(HOST, entry)
            .header(AUTHORIZATION, format!("Bearer {}", self.organisation.key))
            .header("celerygate-deadline-ms", remaining.as_millis().max(1).to_string());
        if let Some(key) = &planned.idempotency_key {
            request = request.header("idempotency-key", key);
        }
        request.body(Full::new(Bytes::new())).map_err(|error| error.to_string())
    }
}

/// Reads the response and verifies its body.
async fn receive(response: Response<Incoming>, planned: &PlannedRequest) -> Attempt {
    let status = response.status();
    if status != StatusCode::OK {
        return receive_refusal(response).await;
    }
    let outcome = if planned.idempotency_key.is_some() {
        receive_count(response).await
    } else {
        receive_echo(response, &planned.path).await
    };
    Attempt::Finished(outcome)
}

async fn receive_refusal(response: Response<Incoming>) -> Attempt {
    let status = response.status();
    let body = match response.into_body().collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) => return Attempt::Finished(Outcome::Truncated(format!("{status}: {error}"))),
    };
    let Ok(refusal) = serde_json::from_slice::<ErrorBody>(&body) else {
        let message = String::from_utf8_lossy(&body[..body.len().min(200)]).into_owned();
        return Attempt::Finished(Outcome::Failed(format!("{status}: {message}")));
    };
    let reason = format!("{} {}: {}", refusal.code, refusal.name, refusal.message);
    match refusal.outcome {
        wire::Outcome::Unknown => Attempt::Finished(Outcome::Failed(reason)),
        // The rate limit is shared by all VMs, so another one would refuse the request, too.
        wire::Outcome::NotRun if refusal.code == ResultCode::RateExceeded.number() => {
            Attempt::Finished(Outcome::Refused(reason))
        }
        wire::Outcome::NotRun => Attempt::NotRun(reason),
    }
}

async fn receive_count(response: Response<Incoming>) -> Outcome {
    match response.into_body().collect().await {
        Ok(body) => match body.to_bytes().as_ref() {
            b"1" => Outcome::Succeeded,
            runs => Outcome::Duplicated(format!("ran {} times", String::from_utf8_lossy(runs))),
        },
        Err(error) => Outcome::Truncated(error.to_string()),
    }
}

async fn receive_echo(response: Response<Incoming>, path: &str) -> Outcome {
    let expected_digest = response.headers().get(DIGEST_HEADER).cloned();
    let len = path.split('/').nth(2).and_then(|len| len.parse::<u64>().ok()).unwrap_or_default();
    let mut body = response.into_body();
    let (mut expected, mut hasher) = (stream(path), blake3::Hasher::new());
    let mut received = 0;
    while let Some(frame) = body.frame().await {
        let frame = match frame {
            Ok(frame) => frame,
            Err(error) => return Outcome::Truncated(format!("{received} of {len} bytes: {error}")),
        };
        let Some(chunk) = frame.data_ref() else { continue };
        let mut expected_chunk = vec![0; chunk.len()];
        expected.fill(&mut expected_chunk);
        if expected_chunk != *chunk {
            return Outcome::Mismatched(format!("wrong body after {received} bytes"));
        }
        hasher.update(chunk);
        received += chunk.len() as u64;
    }
    let digest = hasher.finalize().to_hex();
    if received < len {
        return Outcome::Truncated(format!("{received} of {len} bytes"));
    }
    if received > len {
        return Outcome::Mismatched(format!("{received} bytes instead of {len}"));
    }
    match expected_digest {
        Some(value) if value.as_bytes() == digest.as_bytes() => Outcome::Succeeded,
        _ => Outcome::Mismatched("digest header is wrong or missing".to_owned()),
    }
}
