//! What one process sent, and the processor time that its directory took.

use std::time::Duration;
use std::time::Instant;

/// Bytes before each frame on a connection.
const LENGTH_PREFIX_BYTES: usize = 4;

#[derive(Clone, Debug, Default)]
pub struct Tally {
    pub messages: u64,
    pub bytes: u64,
    pub targets: Work,
    pub learn: Work,
}

/// Calls and their processor time.
#[derive(Clone, Copy, Debug, Default)]
pub struct Work {
    pub calls: u64,
    pub time: Duration,
}

impl Tally {
    pub fn count_frame(&mut self, frame: &[u8]) {
        self.messages += 1;
        self.bytes += (frame.len() + LENGTH_PREFIX_BYTES) as u64;
    }

    pub fn plus(&self, other: &Self) -> Self {
        Self {
            messages: self.messages + other.messages,
            bytes: self.bytes + other.bytes,
            targets: self.targets.plus(other.targets),
            learn: self.learn.plus(other.learn),
        }
    }

    /// Processor time of the directory.
    pub fn work(&self) -> Duration {
        self.targets.time + self.learn.time
    }
}

impl Work {
    pub fn measure<T>(&mut self, call: impl FnOnce() -> T) -> T {
        let started = Instant::now();
        let result = call();
        self.time += started.elapsed();
        self.calls += 1;
        result
    }

    pub fn mean_us(self) -> f64 {
        self.time.as_secs_f64() * 1e6 / self.calls.max(1) as f64
    }

    fn plus(self, other: Self) -> Self {
        Self {
            calls: self.calls + other.calls,
            time: self.time + other.time,
        }
    }
}
