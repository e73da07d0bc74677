//! Whose key a request shows.
