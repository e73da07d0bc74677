//! Step plans for moves and drains.
