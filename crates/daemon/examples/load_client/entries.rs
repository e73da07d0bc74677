//! Cached lookup of entry VMs, as callers are expected to do it.

use std::time::Duration;

use celerygate_types::wire::LookupAnswer;
use http_body_util::{BodyExt as _, Full};
use hyper::body::Bytes;
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use tokio::time::{Instant, timeout};

use crate::http;

const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// Caches the addresses of the entry VMs of a service.
pub struct EntryCache {
    daemons: Vec<String>,
    path: String,
    /// Index of the daemon that answered last.
    current_daemon: usize,
    addresses: Vec<String>,
    valid_until: Option<Instant>,
}

impl EntryCache {
    /// Creates an empty cache for a service. The lookups are made on behalf of the client address,
    /// if one is given.
    pub fn new(daemons: &[String], service: &str, client: Option<&str>) -> Self {
        let query = client.map(|client| format!("?client={client}")).unwrap_or_default();
        Self {
            daemons: daemons.to_vec(),
            path: format!("/lookup/{service}{query}"),
            current_daemon: 0,
            addresses: Vec::new(),
            valid_until: None,
        }
    }

    /// Returns the entry addresses in order of preference, after a new lookup if they have
    /// expired.
    ///
    /// If no daemon answers, expired addresses are returned, since most of them are still valid.
    pub async fn get(&mut self) -> Result<Vec<String>, String> {
        if self.valid_until.is_some_and(|until| Instant::now() < until) {
            return Ok(self.addresses.clone());
        }
        match self.refresh().await {
            Err(errors) if self.addresses.is_empty() => Err(errors),
            _ => Ok(self.addresses.clone()),
        }
    }

    async fn refresh(&mut self) -> Result<(), String> {
        let mut errors = Vec::new();
        for _ in 0..self.daemons.len() {
            let daemon = &self.daemons[self.current_daemon];
            let requested_at = Instant::now();
            match timeout(ANSWER_TIMEOUT, self.fetch(daemon)).await {
                Ok(Ok(answer)) if !answer.entries.is_empty() => {
                    let max_age = Duration::from_secs(answer.max_age_s.into());
                    self.valid_until = Some(requested_at + max_age);
                    self.addresses =
                        answer.entries.iter().map(|entry| entry.address.to_string()).collect();
                    return Ok(());
                }
                Ok(Ok(_)) => errors.push(format!("{daemon}: lookup returned no entry VM")),
                Ok(Err(error)) => errors.push(error),
                Err(_) => errors.push(format!("{daemon}: no answer within {ANSWER_TIMEOUT:?}")),
            }
            self.current_daemon = (self.current_daemon + 1) % self.daemons.len();
        }
        Err(errors.join("; "))
    }

    async fn fetch(&self, daemon: &str) -> Result<LookupAnswer, String> {
        let failed = |error: &dyn std::fmt::Display| format!("{daemon}: {error}");
        let request = Request::get(&self.path)
            .header(HOST, daemon)
            .body(Full::new(Bytes::new()))
            .map_err(|error| failed(&error))?;
        let mut sender = http::connect(daemon).await?;
        let response = sender.send_request(request).await.map_err(|error| failed(&error))?;
        let status = response.status();
        let body = response.into_body().collect().await.map_err(|error| failed(&error))?.to_bytes();
        if status != StatusCode::OK {
            return Err(format!("{daemon}: {status}: {}", String::from_utf8_lossy(&body)));
        }
        serde_json::from_slice(&body).map_err(|error| failed(&error))
    }
}
