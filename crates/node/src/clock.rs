//! The clock of the runtime, in milliseconds.

use std::time::Duration;

use tokio::time::Instant;

/// A steady clock that tests pause and advance with the runtime.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// A clock that starts now.
    #[must_use]
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Milliseconds since the start.
    #[must_use]
    pub fn now_ms(&self) -> u64 {
        u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// The moment of a time in milliseconds since the start.
    #[must_use]
    pub fn at(&self, time_ms: u64) -> Instant {
        self.start + Duration::from_millis(time_ms)
    }
}
