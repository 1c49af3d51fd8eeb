//! The clock of a process.

use std::fmt::Debug;
use std::time::Instant;

/// A clock that never goes back.
pub(crate) trait Clock: Debug + Send + Sync {
    /// Returns the milliseconds since a fixed point in time.
    fn now_ms(&self) -> u64;
}

/// The monotonic clock of the host, counted from the creation of the value.
#[derive(Debug)]
pub(crate) struct SystemClock {
    started: Instant,
}

impl Default for SystemClock {
    fn default() -> Self {
        Self {
            started: Instant::now(),
        }
    }
}

impl Clock for SystemClock {
    fn now_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }
}
