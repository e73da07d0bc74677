//! Translation between a front end's messages and the types that the fleet uses.
//!
//! The fleet makes decisions on typed metadata. A front end supplies the functions that read this
//! metadata from the headers of callers and targets and write it to forwarded requests and
//! refusals.

use std::time::Duration;

use anyhow::Result;
use celerygate_steering::availability::Notice;
use celerygate_steering::placement::ReportedLoad;
use celerygate_steering::routing::RoutingTable;
use celerygate_types::wire::DocumentItem;
use celerygate_types::{OrganisationId, ResultCode, TargetId};
use hyper::HeaderMap;
use hyper::http::{request, response};
use smallvec::SmallVec;
use smol_str::SmolStr;

/// Metadata of a caller's request.
#[derive(Clone, Debug)]
pub struct RequestMetadata {
    /// Id of the caller's attempt; used in logs and to match the response to the request.
    pub request: SmolStr,
    /// Requested host.
    pub host: SmolStr,
    /// Time after which the caller stops waiting.
    pub deadline: Option<Duration>,
    /// Object that the request concerns, for affinity.
    pub object: Option<SmolStr>,
    /// Key sent by the caller.
    pub key: Option<SmolStr>,
}

/// Metadata that the daemon adds to a request that it forwards to a target.
#[derive(Clone, Debug)]
pub struct ForwardMetadata<'a> {
    /// Time remaining until the deadline.
    pub remaining: Duration,
    /// Target that should run the request; any other target must reject it.
    pub instance: &'a TargetId,
    /// Organisation on whose behalf the request runs.
    pub organisation: Option<&'a OrganisationId>,
}

/// Metadata of a target's response.
#[derive(Clone, Debug, Default)]
pub struct ResponseMetadata {
    /// Ids of the attempts that the response names: one, unless the response is malformed.
    pub requests: SmallVec<[SmolStr; 1]>,
    /// Whether the target states that it has not run the request.
    pub is_not_run: bool,
    /// Whether callers take the status as a promise that the request has not run.
    pub has_refusal_status: bool,
    /// Whether the process at the address states that it is not the instance that the request was
    /// sent to.
    pub is_other_instance: bool,
    /// Whether the response carries a target's signature; without it, an intermediary may have
    /// produced the response.
    pub is_signed: bool,
    /// Load reported by the target.
    pub load: Option<ReportedLoad>,
    /// Whether the target leaves or wants no requests for a time.
    pub notice: Notice,
}

/// Refusal or failure that the daemon sends instead of a target's response.
#[derive(Clone, Copy, Debug)]
pub struct Refusal {
    /// Result code.
    pub code: ResultCode,
    /// Time after which the caller should retry.
    pub retry_after: Option<Duration>,
}

/// Functions with which a front end reads and writes its messages.
#[derive(Clone, Copy)]
pub struct ProtocolAdapter {
    /// Reads the metadata of a caller's request.
    pub read_request: fn(&request::Parts) -> Result<RequestMetadata, ResultCode>,
    /// Writes the metadata for a target to the copy of the headers that is forwarded.
    pub write_request: fn(&RequestMetadata, &ForwardMetadata<'_>, &mut HeaderMap),
    /// Returns whether the daemon sets a header itself, so that a caller's value is not forwarded.
    pub is_own_header: fn(&str) -> bool,
    /// Reads the metadata of a target's response.
    pub read_response: fn(&response::Parts) -> ResponseMetadata,
    /// Writes the headers of a refusal and returns its HTTP status.
    pub write_refusal: fn(&Refusal, &mut HeaderMap) -> u16,
    /// Builds the routing table from a document; an error names the invalid item.
    pub read_document: fn(&[DocumentItem]) -> Result<RoutingTable>,
}
