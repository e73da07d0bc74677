//! The part of the log that the replica keeps in memory.

use std::collections::VecDeque;

use celerygate_types::wire::LogEntry;
use celerygate_types::{LogIndex, Term};

/// Consecutive log entries after a base index, up to which a snapshot covers the log.
#[derive(Clone, Debug, Default)]
pub struct Tail {
    base_index: LogIndex,
    base_term: Term,
    entries: VecDeque<LogEntry>,
}

impl Tail {
    /// Returns a tail without entries that starts after a base index with the given term.
    pub fn new(base_index: LogIndex, base_term: Term) -> Self {
        Self { base_index, base_term, entries: VecDeque::new() }
    }

    /// Returns the index before the first entry.
    pub fn base(&self) -> LogIndex {
        self.base_index
    }

    /// Returns the term at the base index.
    pub fn base_term(&self) -> Term {
        self.base_term
    }

    /// Returns the index of the last entry, or the base index if there is no entry.
    pub fn last_index(&self) -> LogIndex {
        LogIndex(self.base_index.0 + self.entries.len() as u64)
    }

    /// Returns the term of the last entry, or the base term if there is no entry.
    pub fn last_term(&self) -> Term {
        self.entries.back().map_or(self.base_term, |entry| entry.term)
    }

    /// Returns whether the log has neither a snapshot nor an entry.
    pub fn is_pristine(&self) -> bool {
        self.last_index() == LogIndex::ZERO
    }

    fn offset(&self, index: LogIndex) -> usize {
        usize::try_from(index.0.saturating_sub(self.base_index.0)).unwrap_or(usize::MAX)
    }

    /// Returns the term at an index, if the tail contains the index or it is the base index.
    pub fn term_at(&self, index: LogIndex) -> Option<Term> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        self.get(index).map(|entry| entry.term)
    }

    /// Returns the entry at an index.
    pub fn get(&self, index: LogIndex) -> Option<&LogEntry> {
        self.entries.get(self.offset(index).checked_sub(1)?)
    }

    /// Returns the entries after `after`, up to and including `through`.
    pub fn between(
        &self,
        after: LogIndex,
        through: LogIndex,
    ) -> impl Iterator<Item = &LogEntry> + '_ {
        let end = self.offset(through).min(self.entries.len());
        let start = self.offset(after).min(end);
        self.entries.range(start..end)
    }

    /// Appends an entry.
    pub fn push(&mut self, entry: LogEntry) {
        debug_assert_eq!(entry.index.0, self.last_index().0 + 1);
        self.entries.push_back(entry);
    }

    /// Removes all entries after an index.
    pub fn truncate_after(&mut self, index: LogIndex) {
        let keep = self.offset(index);
        self.entries.truncate(keep);
    }

    /// Removes the entries up to and including an index, which becomes the base.
    pub fn compact_through(&mut self, index: LogIndex) {
        let Some(term) = self.term_at(index) else { return };
        self.entries.drain(..self.offset(index));
        self.base_index = index;
        self.base_term = term;
    }
}
