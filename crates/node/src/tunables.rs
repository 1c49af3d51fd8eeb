//! Settings that a process takes over while it runs.

use std::net::SocketAddr;

/// Settings that may change without a restart.
#[derive(Clone, Debug, PartialEq)]
pub struct Tunables {
    /// Addresses for the first contact with entries.
    pub seeds: Vec<SocketAddr>,
    /// Times that a task takes longer away from its data.
    pub remote_factor: f64,
    /// Longest time from the signal to stop to the end, in milliseconds.
    pub stop_limit_ms: u64,
}
