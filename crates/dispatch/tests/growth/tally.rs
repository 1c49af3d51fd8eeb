//! Counters of one process: messages sent, and processor time of its directory.

use std::time::Duration;
use std::time::Instant;

/// Length of the prefix of each frame on a connection, in bytes.
const LENGTH_PREFIX_BYTES: usize = 4;

/// The counters of one process.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    /// Messages sent.
    pub messages: u64,
    /// Bytes sent, with the length prefixes.
    pub bytes: u64,
    /// Calls that choose the targets of the directory.
    pub targets: Work,
    /// Calls that add entries to the directory.
    pub learn: Work,
}

/// Number of calls and the time that they took.
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

    /// Returns the time that all calls of the directory took.
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

    /// Returns the mean time of a call, in microseconds.
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
