//! The entries of the log that the replica keeps in memory.

use std::collections::VecDeque;

use celerygate_types::wire::LogEntry;
use celerygate_types::{LogIndex, Term};

/// Consecutive entries after a base position that a snapshot covers.
#[derive(Clone, Debug, Default)]
pub struct Tail {
    base_index: LogIndex,
    base_term: Term,
    entries: VecDeque<LogEntry>,
}

impl Tail {
    /// Returns a tail without entries after a position.
    pub fn new(base_index: LogIndex, base_term: Term) -> Self {
        Self { base_index, base_term, entries: VecDeque::new() }
    }

    /// Returns the position before the first entry.
    pub fn base(&self) -> LogIndex {
        self.base_index
    }

    /// Returns the term at the base position.
    pub fn base_term(&self) -> Term {
        self.base_term
    }

    /// Returns the position of the last entry.
    pub fn last_index(&self) -> LogIndex {
        LogIndex(self.base_index.0 + self.entries.len() as u64)
    }

    /// Returns the term of the last entry.
    pub fn last_term(&self) -> Term {
        self.entries.back().map_or(self.base_term, |entry| entry.term)
    }

    /// Returns whether neither a snapshot nor an entry exists.
    pub fn is_pristine(&self) -> bool {
        self.last_index() == LogIndex::ZERO
    }

    fn offset(&self, index: LogIndex) -> usize {
        usize::try_from(index.0.saturating_sub(self.base_index.0)).unwrap_or(usize::MAX)
    }

    /// Returns the term at a position, if it is known here.
    pub fn term_at(&self, index: LogIndex) -> Option<Term> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        self.get(index).map(|entry| entry.term)
    }

    /// Returns the entry at a position.
    pub fn get(&self, index: LogIndex) -> Option<&LogEntry> {
        self.entries.get(self.offset(index).checked_sub(1)?)
    }

    /// Returns the entries after one position up to and including another.
    pub fn between(
        &self,
        after: LogIndex,
        through: LogIndex,
    ) -> impl Iterator<Item = &LogEntry> + '_ {
        let end = self.offset(through).min(self.entries.len());
        let start = self.offset(after).min(end);
        self.entries.range(start..end)
    }

    /// Adds an entry at the end.
    pub fn push(&mut self, entry: LogEntry) {
        debug_assert_eq!(entry.index.0, self.last_index().0 + 1);
        self.entries.push_back(entry);
    }

    /// Removes all entries after a position.
    pub fn truncate_after(&mut self, index: LogIndex) {
        let keep = self.offset(index);
        self.entries.truncate(keep);
    }

    /// Makes a later position the base and forgets the entries up to it.
    pub fn compact_through(&mut self, index: LogIndex) {
        let Some(term) = self.term_at(index) else { return };
        self.entries.drain(..self.offset(index));
        self.base_index = index;
        self.base_term = term;
    }
}
