//! What a failed attempt means and whether to try again.
