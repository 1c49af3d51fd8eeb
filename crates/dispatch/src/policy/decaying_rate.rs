//! Rates of what recently arrived, was started or was sent.

/// Time constant of the decay of work, in milliseconds: a few rounds of
/// sub-second tasks.
const WORK_DECAY_MS: u64 = 400;
/// Smallest rate used in estimates, in thousandths of a core: that of one task
/// of half a core at a time.
pub(crate) const MIN_RATE_MILLI: f64 = 500.0;

/// Recent work, in expected milliseconds times thousandths of a core; its rate is
/// in thousandths of a core.
pub(crate) type WorkRate = DecayingRate<WORK_DECAY_MS>;

/// Recent amount of something, which decays exponentially with a time constant
/// of `DECAY_MS` milliseconds.
#[derive(Debug, Default)]
pub(crate) struct DecayingRate<const DECAY_MS: u64> {
    amount: f64,
    updated_ms: u64,
}

impl<const DECAY_MS: u64> DecayingRate<DECAY_MS> {
    pub(crate) fn add(&mut self, now_ms: u64, amount: f64) {
        self.decay(now_ms);
        self.amount += amount;
    }

    /// Applies the decay up to `now_ms`.
    pub(crate) fn decay(&mut self, now_ms: u64) {
        self.amount *= self.decay_factor(now_ms);
        self.updated_ms = now_ms;
    }

    /// Returns the recent rate at the last update, per millisecond.
    pub(crate) fn rate(&self) -> f64 {
        self.amount / DECAY_MS as f64
    }

    /// Returns the recent rate at `now_ms`, per millisecond.
    pub(crate) fn rate_at(&self, now_ms: u64) -> f64 {
        self.rate() * self.decay_factor(now_ms)
    }

    /// Returns the fraction of the earlier amount that is left at `now_ms`.
    fn decay_factor(&self, now_ms: u64) -> f64 {
        let elapsed_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        (-elapsed_ms / DECAY_MS as f64).exp()
    }
}
