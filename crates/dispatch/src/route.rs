//! Queues of jobs, and the routing of requests to them.

use std::sync::Arc;

use gannetvane_wire::Name;
use serde::Deserialize;
use serde::Serialize;

/// Configuration of a queue of jobs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// Name of the queue.
    pub name: Name,
    /// Host name to which callers send requests, without a port.
    pub host: Name,
    /// Prefix of the paths that belong to the queue.
    pub path_prefix: Name,
    /// Service whose minions run the tasks.
    pub service: Name,
    /// Maximum time that a request may take, in milliseconds.
    pub timeout_ms: u64,
    /// Fixed part of a job's objective, in milliseconds. A job should end within `stretch`
    /// times its critical path plus this time.
    pub target_latency_ms: u64,
    /// Urgency class; jobs with lower numbers go first.
    pub priority: u32,
    /// Number of failed runs of one task after which its job fails.
    pub max_attempts: u32,
    /// Factor on a job's critical path in its objective.
    pub stretch: f64,
    /// Whether an advice service must approve starts; this is not implemented.
    pub needs_advice: bool,
}

/// Why no queue was found for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteError {
    /// The entry has no configuration yet.
    NoConfiguration,
    /// No queue has the host and a prefix of the path.
    Unknown,
}

/// A version of the configuration with all its queues.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RoutingTable {
    /// Version of the configuration; 0 before the first one was read.
    pub version: u64,
    /// All queues.
    pub queues: Vec<Arc<Queue>>,
    /// Largest body of a request in bytes; 0 if the configuration sets no limit.
    pub max_body_bytes: usize,
}

impl RoutingTable {
    /// Returns the queue of the host with the longest prefix of the path. A port in `host` is
    /// ignored.
    ///
    /// # Errors
    ///
    /// Returns a [`RouteError`] if there is no configuration or no such queue.
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
