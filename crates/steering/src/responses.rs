//! Decides whether the head of a target's response is believed to be about the request that was
//! sent.
//!
//! The bytes that a daemon reads from a connection after it has sent a request need not be the
//! response to it: a faulty target may repeat an earlier response, or end within a head and go on
//! with another message, so that the two parse as one. A response that is not believed proves
//! nothing about the request, which may have run.

use std::ops::RangeInclusive;

/// Statuses of HTTP (RFC 9110, section 15). The HTTP library reads statuses of up to 999.
const STATUSES: RangeInclusive<u16> = 100..=599;

/// Whether a target must return the id of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EchoRule {
    /// A response without the id is not believed.
    Required,
    /// A response without an id is believed; one with another id is not.
    Optional,
}

/// Parts of a response head on which the decision depends.
#[derive(Clone, Copy, Debug)]
pub struct ResponseHead<'a, I> {
    /// HTTP status.
    pub status: u16,
    /// Values of all headers that name a request.
    pub request_ids: &'a [I],
    /// Whether the target states that it has not run the request.
    pub is_not_run: bool,
    /// Whether the body has a transfer coding other than `chunked`.
    pub has_other_coding: bool,
}

/// What a response head is believed to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseKind {
    /// The target's answer to the request.
    Answer,
    /// The target's statement that it has not run the request.
    NotRun,
    /// Not proven to be about the request, which may have run.
    Rejected(RejectReason),
}

/// Why a response is not believed.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumIter, strum::IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub enum RejectReason {
    /// The response names no request, or the request has no id.
    NoRequestId,
    /// The response names another request.
    OtherRequestId,
    /// The response names a request more than once, so two heads may have been read as one.
    SeveralRequestIds,
    /// The status is none of the protocol, so the bytes may be those of another message.
    InvalidStatus,
    /// The response has a status other than that of a failure and states that the request has not
    /// run, so two heads may have been read as one.
    NotRunWithoutFailure,
    /// The target switches to another protocol, which no request asks for.
    SwitchedProtocols,
    /// The body has a transfer coding that the daemon does not decode.
    UnknownTransferCoding,
}

impl RejectReason {
    /// Returns whether the response may be that of another request.
    pub fn concerns_request_ids(self) -> bool {
        matches!(self, Self::NoRequestId | Self::OtherRequestId | Self::SeveralRequestIds)
    }
}

/// Decides what the head of a response to the request with the id `sent` is believed to be.
pub fn response_kind<I: AsRef<str>>(
    sent: &str,
    rule: EchoRule,
    head: &ResponseHead<'_, I>,
) -> ResponseKind {
    match reject_reason(sent, rule, head) {
        Some(reason) => ResponseKind::Rejected(reason),
        None if head.is_not_run => ResponseKind::NotRun,
        None => ResponseKind::Answer,
    }
}

fn reject_reason<I: AsRef<str>>(
    sent: &str,
    rule: EchoRule,
    head: &ResponseHead<'_, I>,
) -> Option<RejectReason> {
    match head.request_ids {
        [] if rule == EchoRule::Optional => {}
        [] => return Some(RejectReason::NoRequestId),
        [id] if id.as_ref() != sent => return Some(RejectReason::OtherRequestId),
        // An empty id is that of every request without one.
        [_] if sent.is_empty() => return Some(RejectReason::NoRequestId),
        [_] => {}
        _ => return Some(RejectReason::SeveralRequestIds),
    }
    if !STATUSES.contains(&head.status) {
        return Some(RejectReason::InvalidStatus);
    }
    if head.status == 101 {
        return Some(RejectReason::SwitchedProtocols);
    }
    if head.is_not_run && head.status < 400 {
        return Some(RejectReason::NotRunWithoutFailure);
    }
    head.has_other_coding.then_some(RejectReason::UnknownTransferCoding)
}

#[cfg(test)]
#[path = "responses_tests.rs"]
mod tests;
