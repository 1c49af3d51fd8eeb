//! Settings that a running process can change.

use std::net::SocketAddr;

/// Settings that can change without a restart.
#[derive(Clone, Debug, PartialEq)]
pub struct Tunables {
    /// Addresses of the entries to connect to first.
    pub seeds: Vec<SocketAddr>,
    /// Factor by which a task takes longer on a minion that does not hold its data.
    pub remote_factor: f64,
    /// Longest time from the stop signal to the end of the process, in milliseconds.
    pub stop_limit_ms: u64,
}
