//! Rate tokens of this VM and the requests that wait for them.

use std::collections::{BTreeSet, HashMap};
use std::time::Instant;

use celerygate_steering::grants::GrantHolder;
use celerygate_types::wire::GrantRequest;
use celerygate_types::{OrganisationId, Term};

/// Tokens and waiting requests, by organisation.
pub struct Grants {
    /// Tokens that this VM holds.
    pub holder: GrantHolder,
    waiting: HashMap<OrganisationId, BTreeSet<u64>>,
    next_number: u64,
}

impl Grants {
    /// Returns an empty table.
    pub fn new() -> Self {
        let holder = GrantHolder::new(Term::ZERO);
        Self { holder, waiting: HashMap::new(), next_number: 0 }
    }

    /// Returns the number of requests of an organisation that wait.
    pub fn waiting(&self, organisation: &OrganisationId) -> u64 {
        self.waiting.get(organisation).map_or(0, |numbers| numbers.len() as u64)
    }

    /// Returns the number of waiting requests before the one with this number.
    pub fn ahead(&self, organisation: &OrganisationId, number: u64) -> u64 {
        let numbers = self.waiting.get(organisation);
        numbers.map_or(0, |numbers| numbers.range(..number).count() as u64)
    }

    /// Adds a waiting request and returns its number.
    pub fn join(&mut self, organisation: &OrganisationId) -> u64 {
        self.next_number += 1;
        self.waiting.entry(organisation.clone()).or_default().insert(self.next_number);
        self.next_number
    }

    /// Removes a waiting request.
    pub fn leave(&mut self, organisation: &OrganisationId, number: u64) {
        if let Some(numbers) = self.waiting.get_mut(organisation) {
            numbers.remove(&number);
            if numbers.is_empty() {
                self.waiting.remove(organisation);
            }
        }
    }

    /// Returns the request that is due to the owner of the buckets.
    pub fn poll(&mut self, now: Instant) -> Option<GrantRequest> {
        let waiting = &self.waiting;
        let count = |id: &OrganisationId| waiting.get(id).map_or(0, |n| n.len() as u64);
        self.holder.poll(count, now)
    }
}
