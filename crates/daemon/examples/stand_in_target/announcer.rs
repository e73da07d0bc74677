//! Announces the target to daemons and renews its lease.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use celerygate_types::Incarnation;
use celerygate_types::wire::{Announcement, AnnouncementAnswer, Departure};
use http_body_util::{BodyExt as _, Full};
use hyper::Request;
use hyper::body::Bytes;
use hyper::header::{AUTHORIZATION, CONTENT_TYPE, HOST};
use serde::Serialize;
use tokio::time::{sleep, timeout};

use crate::http;
use crate::options::Options;

/// Delay before the next attempt when no daemon accepts the announcement.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Longest wait for an answer; well below the announcement lease of 5 s.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// Sends announcements, renewals and the departure.
#[derive(Clone)]
pub struct Announcer {
    daemons: Vec<String>,
    token: String,
    announcement: Announcement,
    /// Index of the daemon that answered last.
    current_daemon: Arc<AtomicUsize>,
}

impl Announcer {
    /// Creates the announcer of a target that listens on the address.
    pub fn new(options: &Options, address: &str) -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let announcement = Announcement {
            service: options.service.clone(),
            target: options.target.clone(),
            region: options.region.clone(),
            data_centre: options.data_centre.clone(),
            address: address.into(),
            slots: options.slots,
            connections: options.connections,
            incarnation: Incarnation(since_epoch.as_micros() as u64),
        };
        let (daemons, token) = (options.announce.clone(), options.token.clone());
        Self { daemons, token, announcement, current_daemon: Arc::new(AtomicUsize::new(0)) }
    }

    /// Announces the target and renews the announcement. Does not return.
    pub async fn renew(self) {
        loop {
            let pause = match self.send_to_any("/v1/announce", &self.announcement).await {
                Ok(body) => match serde_json::from_slice::<AnnouncementAnswer>(&body) {
                    Ok(answer) => Duration::from_millis(answer.renew_after_ms),
                    Err(error) => {
                        eprintln!("announce: failed to decode the answer: {error}");
                        RETRY_INTERVAL
                    }
                },
                Err(error) => {
                    eprintln!("announce: {error}");
                    RETRY_INTERVAL
                }
            };
            sleep(pause).await;
        }
    }

    /// Sends the departure of the target to a daemon.
    pub async fn send_departure(&self) {
        let departure = Departure {
            service: self.announcement.service.clone(),
            target: self.announcement.target.clone(),
            incarnation: self.announcement.incarnation,
        };
        if let Err(error) = self.send_to_any("/v1/leave", &departure).await {
            eprintln!("leave: {error}");
        }
    }

    /// Sends a message to the daemon that answered last and, if that fails, to the others in turn.
    async fn send_to_any(&self, path: &str, message: &impl Serialize) -> Result<Bytes, String> {
        let body = serde_json::to_vec(message).map_err(|error| error.to_string())?;
        let mut errors = Vec::new();
        for _ in &self.daemons {
            let index = self.current_daemon.load(Ordering::Relaxed) % self.daemons.len();
            match timeout(ANSWER_TIMEOUT, self.send(&self.daemons[index], path, &body)).await {
                Ok(Ok(answer)) => return Ok(answer),
                Ok(Err(error)) => errors.push(error),
                Err(_) => errors
                    .push(format!("{}: no answer within {ANSWER_TIMEOUT:?}", self.daemons[index])),
            }
            self.current_daemon.store(index + 1, Ordering::Relaxed);
        }
        Err(errors.join("; "))
    }

    async fn send(&self, daemon: &str, path: &str, body: &[u8]) -> Result<Bytes, String> {
        let request = Request::post(path)
            .header(HOST, daemon)
            .header(AUTHORIZATION, format!("Bearer {}", self.token))
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::copy_from_slice(body)))
            .map_err(|error| error.to_string())?;
        let mut sender = http::connect(daemon).await?;
        let failed = |error| format!("{daemon}: {error}");
        let response = sender.send_request(request).await.map_err(failed)?;
        let status = response.status();
        let answer = response.into_body().collect().await.map_err(failed)?.to_bytes();
        if status.is_success() {
            return Ok(answer);
        }
        Err(format!("{daemon}: {status}: {}", String::from_utf8_lossy(&answer)))
    }
}
