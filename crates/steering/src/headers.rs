//! Which headers are forwarded, in each direction.
