//! Requests with an unsuccessful response on a connection. They may be sent again, and a copy of the
//! response, which has the id of the request, can follow on the connection at any time.

use std::hash::{DefaultHasher, Hash, Hasher};

use smallvec::SmallVec;

/// Number of requests that are remembered, which bounds the memory of a connection. Targets that are full
/// refuse many requests in a row, and each new connection costs them some work.
const CAPACITY: usize = 32;

/// Id of a request as a hash, of the same size however long the id is. Two requests with the same hash
/// only do not share a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestHash(u64);

impl RequestHash {
    /// Returns the hash of an id.
    pub fn of(request: &str) -> Self {
        let mut hasher = DefaultHasher::new();
        request.hash(&mut hasher);
        Self(hasher.finish())
    }
}

/// The requests with an unsuccessful response on one connection.
#[derive(Debug, Default)]
pub struct UnsuccessfulRequests {
    hashes: SmallVec<[RequestHash; 2]>,
}

impl UnsuccessfulRequests {
    /// Adds a request.
    pub fn record(&mut self, request: &str) {
        self.hashes.push(RequestHash::of(request));
    }

    /// Returns whether a request was added.
    pub fn contains(&self, request: RequestHash) -> bool {
        self.hashes.contains(&request)
    }

    /// Returns whether there is no room for another request.
    pub fn is_full(&self) -> bool {
        self.hashes.len() >= CAPACITY
    }
}

#[cfg(test)]
#[path = "unsuccessful_tests.rs"]
mod tests;
