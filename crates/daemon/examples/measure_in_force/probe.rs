//! Probes an entry VM with a key over one open connection.

use std::time::Duration;

use anyhow::{Context as _, Result, anyhow, ensure};
use celerygate_types::wire::ErrorBody;
use celerygate_types::{ResultCode, ServiceId};
use http_body_util::{BodyExt as _, Full};
use hyper::body::Bytes;
use hyper::header::{AUTHORIZATION, HOST};
use hyper::{Request, StatusCode};
use tokio::sync::watch;
use tokio::time::{Instant, sleep};

use crate::http;

/// Pause between two requests. Probes of seven VMs stay within the organisation's rate of 600/s.
const PROBE_INTERVAL: Duration = Duration::from_millis(20);

/// Result of the probes of one entry VM.
#[derive(Default)]
pub struct ProbeResult {
    /// Time at which the key was first refused after it had been accepted.
    pub first_refused_at: Option<Instant>,
    /// Times at which the last successful request was sent and answered.
    pub last_success_sent_at: Option<Instant>,
    pub last_success_answered_at: Option<Instant>,
}

/// Sends requests over one connection until `stop_requested` is set. Sets `key_accepted` once a
/// request succeeds.
pub async fn probe(
    entry: String,
    service: ServiceId,
    key: String,
    key_accepted: watch::Sender<bool>,
    stop_requested: watch::Receiver<bool>,
) -> Result<ProbeResult> {
    let mut result = ProbeResult::default();
    let mut sender = http::connect(&entry).await.map_err(|error| anyhow!(error))?;
    while !*stop_requested.borrow() {
        let request = Request::get(format!("/svc/{service}/echo/16/probe"))
            .header(HOST, &entry)
            .header(AUTHORIZATION, format!("Bearer {key}"))
            .body(Full::new(Bytes::new()))
            .context("failed to build the request")?;
        sender.ready().await.with_context(|| format!("{entry} closed the connection"))?;
        let sent_at = Instant::now();
        let response = sender.send_request(request).await.with_context(|| entry.clone())?;
        let status = response.status();
        let body = response.into_body().collect().await.with_context(|| entry.clone())?.to_bytes();
        if status == StatusCode::OK {
            result.last_success_sent_at = Some(sent_at);
            result.last_success_answered_at = Some(Instant::now());
            key_accepted.send_replace(true);
        } else {
            let refusal: ErrorBody = serde_json::from_slice(&body).with_context(|| {
                format!("{entry}: {status}: {}", String::from_utf8_lossy(&body))
            })?;
            let key_refused = refusal.code == ResultCode::KeyRefused.number();
            // Other errors, such as a stale configuration, do not show that the key is withdrawn.
            if key_refused && *key_accepted.borrow() {
                result.first_refused_at.get_or_insert_with(Instant::now);
            } else if !key_refused {
                eprintln!("{entry}: {} {}", refusal.code, refusal.message);
            }
        }
        sleep(PROBE_INTERVAL).await;
    }
    ensure!(*key_accepted.borrow(), "{entry} never accepted the key");
    Ok(result)
}
