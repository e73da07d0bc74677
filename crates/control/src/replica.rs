//! Agreement of the control group: terms, votes, replication, leader lease.
