//! How much work may wait, found by what becomes of it.
//!
//! The load patterns it answers: a burst of a few seconds, which a backlog bears,
//! and an overload that lasts, in which a backlog only makes every job wait before
//! some are refused all the same. Which of them it is shows when jobs that were
//! taken in turn out to have waited in vain: then less may wait.

/// Part of the time that jobs can wait which the backlog may take at most: a
/// short burst is borne by waiting.
const MAX_BACKLOG_FRACTION: f64 = 0.6;
/// The same at least, while an overload lasts: waiting then only makes the large
/// jobs late.
const MIN_BACKLOG_FRACTION: f64 = 0.1;
/// What is left of the part when jobs waited in vain.
const SHRINK_FACTOR: f64 = 0.75;
/// Pause between two shrinkages, in milliseconds: until the smaller backlog shows
/// in what waits.
const SHRINK_PAUSE_MS: u64 = 50;
/// Growth of the part a second while no job waits in vain: two seconds and a half
/// from least to largest, longer than a full fleet takes to work a backlog off.
const GROWTH_PER_S: f64 = 0.2;

/// The part of the time that jobs can wait which the backlog may take.
///
/// Found so, and not fixed, callers who are refused hear of it early, and large jobs
/// are not starved by small ones.
#[derive(Debug)]
pub(super) struct BacklogFraction {
    fraction: f64,
    last_growth_ms: u64,
    last_shrink_ms: u64,
}

impl Default for BacklogFraction {
    fn default() -> Self {
        Self {
            fraction: MAX_BACKLOG_FRACTION,
            last_growth_ms: 0,
            last_shrink_ms: 0,
        }
    }
}

impl BacklogFraction {
    /// The part as of now.
    pub(super) fn fraction_at(&mut self, now_ms: u64) -> f64 {
        let passed_ms = now_ms.saturating_sub(self.last_growth_ms);
        self.last_growth_ms = now_ms;
        let growth = passed_ms as f64 / 1_000.0 * GROWTH_PER_S;
        self.fraction = (self.fraction + growth).min(MAX_BACKLOG_FRACTION);
        self.fraction
    }

    /// A job that was taken in has waited in vain.
    pub(super) fn shrink(&mut self, now_ms: u64) {
        if now_ms >= self.last_shrink_ms + SHRINK_PAUSE_MS {
            self.last_shrink_ms = now_ms;
            self.fraction = (self.fraction_at(now_ms) * SHRINK_FACTOR).max(MIN_BACKLOG_FRACTION);
        }
    }
}
