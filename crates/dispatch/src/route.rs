//! Queues, and which of them a request belongs to.

use std::sync::Arc;

use gannetvane_wire::Name;
use serde::Deserialize;
use serde::Serialize;

/// A queue of jobs, as operators configured it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// Its name.
    pub name: Name,
    /// The host name that callers address.
    pub host: Name,
    /// Start of the paths that belong to it.
    pub path_prefix: Name,
    /// The service whose minions run its tasks.
    pub service: Name,
    /// Longest time that a request may take, in milliseconds.
    pub timeout_ms: u64,
    /// Time beyond the stretched work within which a job should end, in
    /// milliseconds.
    pub target_latency_ms: u64,
    /// Urgency class; 0 goes first.
    pub priority: u32,
    /// Runs of a task that may fail before its job fails.
    pub max_attempts: u32,
    /// Factor on the longest chain of work within which a job should end.
    pub stretch: f64,
    /// Whether starts need the word of an advice service, which is not built.
    pub needs_advice: bool,
}

/// Why a request belongs to no queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteError {
    /// No configuration has been read yet.
    NoConfiguration,
    /// No queue has this host and path.
    Unknown,
}

/// All queues of one version of the configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RoutingTable {
    /// Version of the configuration; 0 before the first.
    pub version: u64,
    /// The queues.
    pub queues: Vec<Arc<Queue>>,
    /// Largest body of a request in bytes; 0 for no limit of its own.
    pub max_body_bytes: usize,
}

impl RoutingTable {
    /// The queue with the longest prefix that the path begins with.
    ///
    /// # Errors
    ///
    /// [`RouteError`] when there is none.
    pub fn find(&self, host: &str, path: &str) -> Result<Arc<Queue>, RouteError> {
        if self.version == 0 {
            return Err(RouteError::NoConfiguration);
        }
        let host = host.split(':').next().unwrap_or(host);
        let matches = |queue: &&Arc<Queue>| {
            queue.host.eq_ignore_ascii_case(host) && path.starts_with(&*queue.path_prefix)
        };
        let longest = self.queues.iter().filter(matches);
        let longest = longest.max_by_key(|queue| queue.path_prefix.len());
        longest.cloned().ok_or(RouteError::Unknown)
    }
}
