//! How a front end writes requests, responses and documents.
//!
//! The fleet decides on typed facts. A front end supplies the functions that read them from the
//! headers of its callers and targets and write them back.

use std::time::Duration;

use anyhow::Result;
use celerygate_steering::placement::ReportedLoad;
use celerygate_steering::routing::RoutingTable;
use celerygate_types::wire::DocumentItem;
use celerygate_types::{OrganisationId, ResultCode, TargetId};
use hyper::HeaderMap;
use hyper::http::{request, response};
use smol_str::SmolStr;

/// What a caller's request says of itself.
#[derive(Clone, Debug)]
pub struct RequestMetadata {
    /// Id of this attempt of the caller, for logs and to recognise its response.
    pub request: SmolStr,
    /// Host that was asked for.
    pub host: SmolStr,
    /// Time for which the caller waits.
    pub deadline: Option<Duration>,
    /// Object that the request is about.
    pub object: Option<SmolStr>,
    /// Key that the caller presents.
    pub key: Option<SmolStr>,
}

/// What the daemon tells a target beside the caller's request.
#[derive(Clone, Debug)]
pub struct ForwardMetadata<'a> {
    /// Time that is left.
    pub remaining: Duration,
    /// Target that is meant; any other one must refuse.
    pub instance: &'a TargetId,
    /// Organisation that the request runs for.
    pub organisation: Option<&'a OrganisationId>,
}

/// What a target's response says of itself.
#[derive(Clone, Debug, Default)]
pub struct ResponseMetadata {
    /// Id of the attempt that it answers.
    pub request: Option<SmolStr>,
    /// Whether the target states that it has not run the request.
    pub is_not_run: bool,
    /// Whether the response is the target's own, as its signature shows.
    pub is_signed: bool,
    /// Load of the target.
    pub load: Option<ReportedLoad>,
}

/// A refusal or failure that the daemon answers in place of a target.
#[derive(Clone, Copy, Debug)]
pub struct Refusal {
    /// What happened.
    pub code: ResultCode,
    /// When the caller should come back.
    pub retry_after: Option<Duration>,
}

/// The functions of a front end.
#[derive(Clone, Copy)]
pub struct ProtocolAdapter {
    /// Reads a caller's request.
    pub read_request: fn(&request::Parts) -> Result<RequestMetadata, ResultCode>,
    /// Writes the headers for a target into a copy of those that are forwarded.
    pub write_request: fn(&RequestMetadata, &ForwardMetadata<'_>, &mut HeaderMap),
    /// Returns whether a header of a caller is written by the daemon itself and not forwarded.
    pub is_own_header: fn(&str) -> bool,
    /// Reads a target's response.
    pub read_response: fn(&response::Parts) -> ResponseMetadata,
    /// Writes the headers of a refusal and returns its HTTP status.
    pub write_refusal: fn(&Refusal, &mut HeaderMap) -> u16,
    /// Reads a document; an error names the item that is at fault.
    pub read_document: fn(&[DocumentItem]) -> Result<RoutingTable>,
}
