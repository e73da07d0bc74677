//! Client of the operators' API. It sends a request to the given daemons in turn.

mod connection;
mod failover;

use std::time::Duration;

use celerygate_types::wire::{ConfirmRequest, IntentAnswer, IntentRequest, StatusAnswer};
use celerygate_types::{IntentId, Outcome, Revision};
use hyper::Method;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::exit::Failure;
use connection::Connection;
use failover::{Attempt, Decision, Failover};

/// Sends requests to the daemons that the operator named.
#[derive(Clone, Debug)]
pub struct Client {
    /// Addresses of the daemons' operator listeners, as HOST:PORT.
    pub daemons: Vec<String>,
    /// The operators' token.
    pub token: String,
    /// Time limit for connecting to a daemon, and again for its response.
    pub timeout: Duration,
}

/// A request to the operators' API.
struct Call {
    method: Method,
    path: String,
    body: Option<Vec<u8>>,
    /// Advice for the operator if it is unknown whether the request was executed.
    unknown_advice: String,
}

impl Call {
    fn get(path: String) -> Self {
        Self { method: Method::GET, path, body: None, unknown_advice: String::new() }
    }

    fn post(path: String, body: &impl Serialize, unknown_advice: String) -> Result<Self, Failure> {
        let body = serde_json::to_vec(body).map_err(|error| Failure::usage(error.to_string()))?;
        Ok(Self { method: Method::POST, path, body: Some(body), unknown_advice })
    }
}

impl Client {
    /// Records an intent and returns its plan.
    pub async fn propose(&self, request: &IntentRequest) -> Result<IntentAnswer, Failure> {
        let advice = format!("Repeat the command with --id {}.", request.intent);
        let call = Call::post("/v1/intents".to_owned(), request, advice)?;
        self.send(&call).await.map_err(|failure| failure.with_intent(&request.intent))
    }

    /// Returns a recorded intent.
    pub async fn intent(&self, intent: &IntentId) -> Result<IntentAnswer, Failure> {
        let call = Call::get(format!("/v1/intents/{intent}"));
        self.send(&call).await.map_err(|failure| failure.with_intent(intent))
    }

    /// Confirms the plan of an intent that was reviewed at the revision `based_on`.
    pub async fn confirm(
        &self,
        intent: &IntentId,
        based_on: Revision,
    ) -> Result<IntentAnswer, Failure> {
        let advice = format!("Repeat the same command, confirm {intent} --based-on {based_on}.");
        let path = format!("/v1/intents/{intent}/confirm");
        let call = Call::post(path, &ConfirmRequest { based_on }, advice)?;
        self.send(&call).await.map_err(|failure| failure.with_intent(intent))
    }

    /// Returns the state of the system as seen by the first daemon that answers.
    pub async fn status(&self) -> Result<StatusAnswer, Failure> {
        self.send(&Call::get("/v1/status".to_owned())).await
    }

    /// Sends the same request to each daemon in turn until one of them executes it or refuses it
    /// for good. If a daemon names the leader, the request is sent to the leader once.
    async fn send<T: DeserializeOwned>(&self, call: &Call) -> Result<T, Failure> {
        let mut failover = Failover::new(call.body.is_some());
        for daemon in &self.daemons {
            let mut result = self.send_once(daemon, call).await;
            if let Some(leader) = result.leader() {
                result = self.send_once(&leader, call).await;
            }
            match failover.handle_result(result) {
                Decision::Answer(answer) => return Ok(answer),
                Decision::Fail(failure) => return Err(failure),
                Decision::TryNextDaemon => {}
            }
        }
        let failure = failover.into_failure();
        Err(match failure.outcome {
            Outcome::Unknown => failure.with_advice(&call.unknown_advice),
            Outcome::NotRun => failure,
        })
    }

    async fn send_once<T: DeserializeOwned>(&self, daemon: &str, call: &Call) -> Attempt<T> {
        let connection = Connection { daemon, token: &self.token, timeout: self.timeout };
        connection.send(&call.method, &call.path, call.body.as_deref()).await
    }
}

#[cfg(test)]
#[path = "client_tests.rs"]
mod tests;
