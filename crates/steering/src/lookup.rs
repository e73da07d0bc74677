//! Which entry VMs a caller should use.
