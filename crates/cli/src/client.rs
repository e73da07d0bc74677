//! Requests to the operators' API, sent to the given daemons in turn.

mod connection;
mod tries;

use std::time::Duration;

use celerygate_types::wire::{ConfirmRequest, IntentAnswer, IntentRequest, StatusAnswer};
use celerygate_types::{IntentId, Outcome, Revision};
use hyper::Method;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::exit::Failure;
use connection::Connection;
use tries::{Next, Tries, Try};

/// Sends requests to the daemons that the operator named.
#[derive(Clone, Debug)]
pub struct Client {
    /// Operators' addresses, HOST:PORT.
    pub daemons: Vec<String>,
    /// The operators' token.
    pub token: String,
    /// Time for one try, from connecting to the end of the answer.
    pub timeout: Duration,
}

/// One request of the operators' API.
struct Call {
    method: Method,
    path: String,
    body: Option<Vec<u8>>,
    /// What the operator can do when it is unknown whether the request ran.
    when_unknown: String,
}

impl Call {
    fn get(path: String) -> Self {
        Self { method: Method::GET, path, body: None, when_unknown: String::new() }
    }

    fn post(path: String, body: &impl Serialize, when_unknown: String) -> Result<Self, Failure> {
        let body = serde_json::to_vec(body).map_err(|error| Failure::usage(error.to_string()))?;
        Ok(Self { method: Method::POST, path, body: Some(body), when_unknown })
    }
}

impl Client {
    /// Records an intent and returns its plan.
    pub async fn propose(&self, request: &IntentRequest) -> Result<IntentAnswer, Failure> {
        let advice = format!("Repeat the command with --id {}.", request.intent);
        let call = Call::post("/v1/intents".to_owned(), request, advice)?;
        self.send(&call).await.map_err(|failure| failure.with_intent(&request.intent))
    }

    /// Returns an intent as it is recorded.
    pub async fn intent(&self, intent: &IntentId) -> Result<IntentAnswer, Failure> {
        let call = Call::get(format!("/v1/intents/{intent}"));
        self.send(&call).await.map_err(|failure| failure.with_intent(intent))
    }

    /// Confirms the plan of an intent at a revision.
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

    /// Returns the system as the first answering daemon sees it.
    pub async fn status(&self) -> Result<StatusAnswer, Failure> {
        self.send(&Call::get("/v1/status".to_owned())).await
    }

    /// Sends the same request to one daemon after the other until one settles it.
    async fn send<T: DeserializeOwned>(&self, call: &Call) -> Result<T, Failure> {
        let mut tries = Tries::new(call.body.is_some());
        for daemon in &self.daemons {
            let mut tried = self.send_once(daemon, call).await;
            if let Some(leader) = tried.leader() {
                tried = self.send_once(&leader, call).await;
            }
            match tries.next(tried) {
                Next::Answer(answer) => return Ok(answer),
                Next::Fail(failure) => return Err(failure),
                Next::TryAnother => {}
            }
        }
        let failure = tries.conclude();
        Err(match failure.outcome {
            Outcome::Unknown => failure.with_advice(&call.when_unknown),
            Outcome::NotRun => failure,
        })
    }

    async fn send_once<T: DeserializeOwned>(&self, daemon: &str, call: &Call) -> Try<T> {
        let connection = Connection { daemon, token: &self.token, timeout: self.timeout };
        connection.send(&call.method, &call.path, call.body.as_deref()).await
    }
}

#[cfg(test)]
#[path = "client_tests.rs"]
mod tests;
