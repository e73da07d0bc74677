//! Memory of unsuccessful requests: a request that is forgotten can get the copy of a response.

use super::*;

/// Guards against a connection that forgets one of several refused requests.
#[test]
fn contains_each_recorded() {
    let mut requests = UnsuccessfulRequests::default();
    ["a", "b", "c"].into_iter().for_each(|request| requests.record(request));
    assert!(["a", "b", "c"].into_iter().all(|request| requests.contains(RequestHash::of(request))));
    assert!(!requests.contains(RequestHash::of("d")));
}

/// Guards against memory that grows with each refusal of a target that is full, and against connections
/// that are closed after a few of them.
#[test]
fn is_full_at_capacity() {
    let mut requests = UnsuccessfulRequests::default();
    (1..CAPACITY).for_each(|number| requests.record(&number.to_string()));
    assert!(!requests.is_full());
    requests.record("last");
    assert!(requests.is_full());
}
