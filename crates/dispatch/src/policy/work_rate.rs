//! Rate of the work that recently arrived or was started.

/// Time constant of the decay, in milliseconds: a few rounds of sub-second
/// tasks.
const DECAY_MS: f64 = 400.0;
/// Smallest rate used in estimates, in thousandths of a core: that of one task
/// of half a core at a time.
pub(crate) const MIN_RATE_MILLI: f64 = 500.0;

/// Recent work, which decays exponentially with time.
#[derive(Debug, Default)]
pub(crate) struct WorkRate {
    work: f64,
    updated_ms: u64,
}

impl WorkRate {
    /// Adds work, in expected milliseconds times thousandths of a core.
    pub(crate) fn add(&mut self, now_ms: u64, work: f64) {
        self.decay(now_ms);
        self.work += work;
    }

    /// Applies the decay up to `now_ms`.
    pub(crate) fn decay(&mut self, now_ms: u64) {
        self.work *= self.decay_factor(now_ms);
        self.updated_ms = now_ms;
    }

    /// Returns the rate of recent work at the last update, in thousandths of a
    /// core.
    pub(crate) fn rate(&self) -> f64 {
        self.work / DECAY_MS
    }

    /// Returns the rate of recent work at `now_ms`, in thousandths of a core.
    pub(crate) fn rate_at(&self, now_ms: u64) -> f64 {
        self.rate() * self.decay_factor(now_ms)
    }

    /// Returns the fraction of the earlier work that is left at `now_ms`.
    fn decay_factor(&self, now_ms: u64) -> f64 {
        let elapsed_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        (-elapsed_ms / DECAY_MS).exp()
    }
}
