//! How much work an entry got started of late.

/// Time constant in milliseconds: a few rounds of sub-second tasks.
const MEMORY_MS: f64 = 400.0;
/// Least rate that is reckoned with, in thousandths of a core: with one task
/// of half a core at a time.
const LEAST_RATE: f64 = 500.0;

/// Started work, fading with time.
#[derive(Debug, Default)]
pub(crate) struct Drain {
    work: f64,
    updated_ms: u64,
}

impl Drain {
    /// Notes work that started: expected time by thousandths of a core.
    pub(crate) fn add(&mut self, now_ms: u64, work: f64) {
        self.decay(now_ms);
        self.work += work;
    }

    /// Brings the sum up to the present.
    pub(crate) fn decay(&mut self, now_ms: u64) {
        let pause_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        self.work *= (-pause_ms / MEMORY_MS).exp();
        self.updated_ms = now_ms;
    }

    /// Thousandths of a core that were put to work.
    pub(crate) fn rate(&self) -> f64 {
        (self.work / MEMORY_MS).max(LEAST_RATE)
    }
}
