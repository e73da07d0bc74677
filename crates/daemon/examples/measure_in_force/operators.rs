//! Client of the operators' API.

use std::time::Duration;

use anyhow::{Context as _, Result, anyhow, bail};
use celerygate_types::wire::{ConfirmRequest, IntentAnswer, IntentKind, IntentRequest};
use http_body_util::{BodyExt as _, Full};
use hyper::body::Bytes;
use hyper::header::{AUTHORIZATION, CONTENT_TYPE, HOST};
use hyper::{Method, Request, StatusCode};
use tokio::time::{Instant, sleep, timeout};

use crate::ConfirmedIntent;
use crate::http::{self, Sender};

/// Interval at which an intent is polled, and thus the resolution of the reported times.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// Longest wait until a change is in force. It is above the limit, so that times above the limit
/// are measured as well.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(20);

/// Sends requests to the leader of the control group.
pub struct OperatorsClient<'a> {
    daemons: &'a [String],
    token: &'a str,
    leader: Option<(String, Sender)>,
}

impl<'a> OperatorsClient<'a> {
    /// Creates a client without connections.
    pub fn new(daemons: &'a [String], token: &'a str) -> Self {
        Self { daemons, token, leader: None }
    }

    /// Creates an intent and confirms its plan.
    pub async fn confirm(&mut self, kind: IntentKind) -> Result<ConfirmedIntent> {
        let intent: celerygate_types::IntentId = format!("measure-{:016x}", rand::random::<u64>())
            .parse()
            .context("failed to create an intent id")?;
        let request = IntentRequest { based_on: None, intent: intent.clone(), kind };
        let body = serde_json::to_vec(&request).context("failed to encode the intent")?;
        let planned = self
            .send(&Method::POST, "/v1/intents", body)
            .await
            .context("failed to create the intent")?;
        let request = ConfirmRequest { based_on: planned.record.based_on };
        let body = serde_json::to_vec(&request).context("failed to encode the confirm")?;
        let path = format!("/v1/intents/{intent}/confirm");
        self.send(&Method::POST, &path, body).await.context("failed to confirm the intent")?;
        Ok(ConfirmedIntent { intent, at: Instant::now() })
    }

    /// Returns when the leader first reported the change as in force.
    pub async fn wait_in_force(&mut self, confirmed: &ConfirmedIntent) -> Result<Instant> {
        let path = format!("/v1/intents/{}", confirmed.intent);
        while confirmed.at.elapsed() < IN_FORCE_TIMEOUT {
            let answer = self
                .send(&Method::GET, &path, Vec::new())
                .await
                .context("failed to read the intent")?;
            if answer.in_force {
                return Ok(Instant::now());
            }
            sleep(POLL_INTERVAL).await;
        }
        bail!("intent {} is not in force after {IN_FORCE_TIMEOUT:?}", confirmed.intent)
    }

    /// Sends a request to the last known leader and, if that fails, to the daemons in turn.
    async fn send(&mut self, method: &Method, path: &str, body: Vec<u8>) -> Result<IntentAnswer> {
        let mut last_error = anyhow!("no daemon reachable");
        if let Some((daemon, mut sender)) = self.leader.take() {
            match self.send_to(&daemon, &mut sender, method, path, &body).await {
                Ok(answer) => {
                    self.leader = Some((daemon, sender));
                    return Ok(answer);
                }
                Err(error) => last_error = error,
            }
        }
        for daemon in self.daemons {
            let Ok(mut sender) = http::connect(daemon).await else { continue };
            match self.send_to(daemon, &mut sender, method, path, &body).await {
                Ok(answer) => {
                    self.leader = Some((daemon.clone(), sender));
                    return Ok(answer);
                }
                Err(error) => last_error = error,
            }
        }
        Err(last_error)
    }

    async fn send_to(
        &self,
        daemon: &str,
        sender: &mut Sender,
        method: &Method,
        path: &str,
        body: &[u8],
    ) -> Result<IntentAnswer> {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, daemon)
            .header(AUTHORIZATION, format!("Bearer {}", self.token))
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::copy_from_slice(body)))
            .context("failed to build the request")?;
        let exchange = async {
            sender.ready().await?;
            let response = sender.send_request(request).await?;
            let status = response.status();
            Ok::<_, hyper::Error>((status, response.into_body().collect().await?.to_bytes()))
        };
        let (status, body) =
            timeout(ANSWER_TIMEOUT, exchange).await.context(daemon.to_owned())??;
        if status != StatusCode::OK && status != StatusCode::CREATED {
            bail!("{daemon}: {status}: {}", String::from_utf8_lossy(&body));
        }
        serde_json::from_slice(&body).context("failed to decode the answer")
    }
}
