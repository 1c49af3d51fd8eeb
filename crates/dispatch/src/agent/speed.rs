//! How fast a minion works, estimated from the progress of all its runs.

/// Time constant of the decay of earlier progress, in milliseconds: a minion that
/// becomes slow or hangs is detected within two or three tenths of a sub-second task.
const DECAY_MS: f64 = 250.0;
/// Weight of the assumption that a minion has ordinary speed, in milliseconds of run
/// time; one short task outweighs it.
const PRIOR_MS: f64 = 60.0;
/// The ordinary speed, in thousandths.
const PERMILLE: f64 = 1_000.0;

/// Decaying sums of the expected work that was done and of the time spent on it.
#[derive(Clone, Debug, Default)]
pub(crate) struct MinionSpeed {
    done_ms: f64,
    spent_ms: f64,
    updated_ms: u64,
}

impl MinionSpeed {
    /// Adds the progress of one run: the fraction of its expected run time that was
    /// done, in milliseconds, and the time that this took.
    pub(crate) fn add(&mut self, now_ms: u64, done_ms: f64, spent_ms: u64) {
        self.decay(now_ms);
        self.done_ms += done_ms;
        self.spent_ms += spent_ms as f64;
    }

    /// Speed in thousandths of the ordinary speed.
    pub(crate) fn permille(&self, now_ms: u64) -> u32 {
        let mut current = self.clone();
        current.decay(now_ms);
        let speed = (current.done_ms + PRIOR_MS) / (current.spent_ms + PRIOR_MS);
        (speed * PERMILLE).round() as u32
    }

    fn decay(&mut self, now_ms: u64) {
        let pause_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        let remaining = (-pause_ms / DECAY_MS).exp();
        self.done_ms *= remaining;
        self.spent_ms *= remaining;
        self.updated_ms = now_ms;
    }
}
