//! How much work came or was started of late, and whether jobs have been refused
//! for a while.

/// Time constant in milliseconds: a few rounds of sub-second tasks.
const MEMORY_MS: f64 = 400.0;
/// Least rate that is reckoned with, in thousandths of a core: with one task
/// of half a core at a time.
pub(crate) const LEAST_RATE_MILLI: f64 = 500.0;

/// Work of late, fading with time.
#[derive(Debug, Default)]
pub(crate) struct Flow {
    work: f64,
    updated_ms: u64,
}

impl Flow {
    /// Notes work: expected time by thousandths of a core.
    pub(crate) fn add(&mut self, now_ms: u64, work: f64) {
        self.decay(now_ms);
        self.work += work;
    }

    /// Brings the sum up to the present.
    pub(crate) fn decay(&mut self, now_ms: u64) {
        self.work *= self.faded(now_ms);
        self.updated_ms = now_ms;
    }

    /// Work of late in thousandths of a core, as of the last change.
    pub(crate) fn rate(&self) -> f64 {
        self.work / MEMORY_MS
    }

    /// The same as of now.
    pub(crate) fn rate_at(&self, now_ms: u64) -> f64 {
        self.rate() * self.faded(now_ms)
    }

    /// What is left of earlier work.
    fn faded(&self, now_ms: u64) -> f64 {
        let pause_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        (-pause_ms / MEMORY_MS).exp()
    }
}

/// Pause between refusals after which an overload counts as over, in
/// milliseconds.
const PRESSURE_GAP_MS: u64 = 300;
/// Time from which an overload counts as lasting, in milliseconds: longer than
/// the loss of a host or of all connections takes to be made up for.
const LASTING_MS: u64 = 1_500;

/// For how long jobs have been refused for want of room.
#[derive(Debug, Default)]
pub(crate) struct Pressure {
    since_ms: u64,
    refused_ms: u64,
}

impl Pressure {
    /// Notes a refusal.
    pub(crate) fn refused(&mut self, now_ms: u64) {
        if now_ms > self.refused_ms + PRESSURE_GAP_MS {
            self.since_ms = now_ms;
        }
        self.refused_ms = now_ms;
    }

    /// Whether refusals have gone on for a while.
    pub(crate) fn is_lasting(&self, now_ms: u64) -> bool {
        let is_present = now_ms <= self.refused_ms + PRESSURE_GAP_MS;
        is_present && now_ms >= self.since_ms + LASTING_MS
    }
}
