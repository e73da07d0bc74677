//! Probes an entry VM over one open connection.

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

/// Time between two requests. Probes of seven VMs stay within the organisation's rate of 600/s.
const PROBE_INTERVAL: Duration = Duration::from_millis(20);

/// What the probes of one entry VM saw.
#[derive(Default)]
pub struct Probed {
    /// Answer time of the first refusal of the key.
    pub first_refused: Option<Instant>,
    /// Times of the last request that a target answered.
    pub last_sent: Option<Instant>,
    pub last_answered: Option<Instant>,
}

/// Sends requests over one connection until told to stop.
pub async fn probe(
    entry: String,
    service: ServiceId,
    key: String,
    answered: watch::Sender<bool>,
    stopped: watch::Receiver<bool>,
) -> Result<Probed> {
    let mut probed = Probed::default();
    let mut sender = http::connect(&entry).await.map_err(|error| anyhow!(error))?;
    while !*stopped.borrow() {
        let request = Request::get(format!("/svc/{service}/echo/16/probe"))
            .header(HOST, &entry)
            .header(AUTHORIZATION, format!("Bearer {key}"))
            .body(Full::new(Bytes::new()))
            .context("make a probe")?;
        sender.ready().await.with_context(|| format!("{entry} closed the connection"))?;
        let sent = Instant::now();
        let response = sender.send_request(request).await.with_context(|| entry.clone())?;
        let status = response.status();
        let body = response.into_body().collect().await.with_context(|| entry.clone())?.to_bytes();
        if status == StatusCode::OK {
            probed.last_sent = Some(sent);
            probed.last_answered = Some(Instant::now());
            answered.send_replace(true);
        } else {
            let refusal: ErrorBody = serde_json::from_slice(&body).with_context(|| {
                format!("{entry}: {status}: {}", String::from_utf8_lossy(&body))
            })?;
            let refused = refusal.code == ResultCode::KeyRefused.number();
            // Other refusals, such as a stale configuration, do not show that the key is withdrawn.
            if refused && *answered.borrow() {
                probed.first_refused.get_or_insert_with(Instant::now);
            } else if !refused {
                eprintln!("{entry}: {} {}", refusal.code, refusal.message);
            }
        }
        sleep(PROBE_INTERVAL).await;
    }
    ensure!(*answered.borrow(), "{entry} never accepted the key");
    Ok(probed)
}
