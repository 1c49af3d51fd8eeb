//! How much work came or was started of late.

/// Time constant in milliseconds: a few rounds of sub-second tasks.
const DECAY_MS: f64 = 400.0;
/// Least rate that is reckoned with, in thousandths of a core: with one task
/// of half a core at a time.
pub(crate) const MIN_RATE_MILLI: f64 = 500.0;

/// Work of late, fading with time.
#[derive(Debug, Default)]
pub(crate) struct WorkRate {
    work: f64,
    updated_ms: u64,
}

impl WorkRate {
    /// Notes work: expected time by thousandths of a core.
    pub(crate) fn add(&mut self, now_ms: u64, work: f64) {
        self.decay(now_ms);
        self.work += work;
    }

    /// Brings the sum up to the present.
    pub(crate) fn decay(&mut self, now_ms: u64) {
        self.work *= self.decay_factor(now_ms);
        self.updated_ms = now_ms;
    }

    /// Work of late in thousandths of a core, as of the last change.
    pub(crate) fn rate(&self) -> f64 {
        self.work / DECAY_MS
    }

    /// The same as of now.
    pub(crate) fn rate_at(&self, now_ms: u64) -> f64 {
        self.rate() * self.decay_factor(now_ms)
    }

    /// What is left of earlier work.
    fn decay_factor(&self, now_ms: u64) -> f64 {
        let elapsed_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        (-elapsed_ms / DECAY_MS).exp()
    }
}
