//! Which VM may use which slot of which target.
