//! Where the time comes from.

use std::fmt::Debug;
use std::time::Instant;

/// A clock that never goes back.
pub(crate) trait Clock: Debug + Send + Sync {
    /// Milliseconds since some fixed point.
    fn now_ms(&self) -> u64;
}

/// The monotonic clock of the machine.
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
