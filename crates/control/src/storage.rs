//! Durable files under one data folder, passed in as closures.
