//! Guards against responses to other requests that are believed, above all against refusals that
//! let a request be repeated which the target has run.

use super::*;

fn head<'a>(status: u16, request_ids: &'a [&'a str]) -> ResponseHead<'a, &'a str> {
    ResponseHead { status, request_ids, is_not_run: false, has_other_coding: false }
}

fn refusal<'a>(status: u16, request_ids: &'a [&'a str]) -> ResponseHead<'a, &'a str> {
    ResponseHead { is_not_run: true, ..head(status, request_ids) }
}

fn required(head: &ResponseHead<'_, &str>) -> ResponseKind {
    response_kind("a", EchoRule::Required, head)
}

fn optional(head: &ResponseHead<'_, &str>) -> ResponseKind {
    response_kind("a", EchoRule::Optional, head)
}

#[test]
fn response_kind_own_id() {
    for status in [200, 204, 304, 404, 500, 503] {
        assert_eq!(required(&head(status, &["a"])), ResponseKind::Answer, "{status}");
        assert_eq!(optional(&head(status, &["a"])), ResponseKind::Answer, "{status}");
    }
    for status in [400, 421, 429, 503] {
        assert_eq!(required(&refusal(status, &["a"])), ResponseKind::NotRun, "{status}");
    }
}

#[test]
fn response_kind_other_id() {
    let other = ResponseKind::Rejected(RejectReason::OtherRequestId);
    for ids in [&["b"], &[""], &["A"], &["a "]] {
        assert_eq!(required(&head(200, ids)), other, "{ids:?}");
        assert_eq!(required(&refusal(503, ids)), other, "{ids:?}");
        assert_eq!(optional(&head(200, ids)), other, "{ids:?}");
    }
}

#[test]
fn response_kind_no_id() {
    let none = ResponseKind::Rejected(RejectReason::NoRequestId);
    assert_eq!(required(&head(200, &[])), none);
    assert_eq!(required(&refusal(503, &[])), none);
    assert_eq!(optional(&head(200, &[])), ResponseKind::Answer);
    // The id of a request without one proves nothing.
    assert_eq!(response_kind("", EchoRule::Required, &refusal(503, &[""])), none);
}

#[test]
fn response_kind_several_ids() {
    let several = ResponseKind::Rejected(RejectReason::SeveralRequestIds);
    for ids in [&["a", "b"], &["b", "a"], &["a", "a"]] {
        assert_eq!(required(&refusal(503, ids)), several, "{ids:?}");
        assert_eq!(required(&head(200, ids)), several, "{ids:?}");
        assert_eq!(optional(&head(200, ids)), several, "{ids:?}");
    }
}

#[test]
fn response_kind_not_run_with_success() {
    for status in [200, 204, 302] {
        let expected = ResponseKind::Rejected(RejectReason::NotRunWithoutFailure);
        assert_eq!(required(&refusal(status, &["a"])), expected, "{status}");
    }
}

/// Guards against a status that the protocol does not have, which is taken for an answer or a refusal.
#[test]
fn response_kind_invalid_status() {
    let expected = ResponseKind::Rejected(RejectReason::InvalidStatus);
    for status in [0, 1, 99, 600, 999] {
        assert_eq!(required(&head(status, &["a"])), expected, "{status}");
        assert_eq!(required(&refusal(status, &["a"])), expected, "{status}");
        assert_eq!(optional(&head(status, &[])), expected, "{status}");
    }
}

#[test]
fn response_kind_switched_protocols() {
    let expected = ResponseKind::Rejected(RejectReason::SwitchedProtocols);
    assert_eq!(required(&head(101, &["a"])), expected);
    assert_eq!(optional(&head(101, &[])), expected);
}

#[test]
fn response_kind_other_coding() {
    let head = ResponseHead { has_other_coding: true, ..head(200, &["a"]) };
    assert_eq!(required(&head), ResponseKind::Rejected(RejectReason::UnknownTransferCoding));
}
