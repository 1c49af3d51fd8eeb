//! How much work may wait, found by what becomes of it.
//!
//! The load patterns it answers: a burst of a few seconds, which a backlog bears,
//! and an overload that lasts, in which a backlog only makes every job wait before
//! some are refused all the same. Which of them it is shows when jobs that were
//! taken in turn out to have waited in vain: then less may wait.

/// Part of the time that jobs can wait which the backlog may take at most. A
/// short burst is borne by waiting; with a backlog of 30 ms whatever the jobs,
/// worth on a day with a burst of four seconds falls from 0.85 to 0.79.
const LARGEST_PART: f64 = 0.6;
/// The same at least. With 0.3 while an overload lasts the largest tenth of the
/// short jobs of the replay `lasting` earns 0.591 of its worth, with 0.1 0.619.
const LEAST_PART: f64 = 0.1;
/// What is left of the part when jobs waited in vain.
const SHRINKAGE: f64 = 0.75;
/// Pause between two shrinkages, in milliseconds: until the smaller backlog shows
/// in what waits.
const SHRINK_PAUSE_MS: u64 = 50;
/// Growth of the part a second while no job waits in vain: two seconds and a half
/// from least to largest, longer than a full fleet takes to work a backlog off.
const GROWTH_PER_S: f64 = 0.2;

/// The part of the time that jobs can wait which the backlog may take.
///
/// With a fixed part of 0.6, and 0.1 once refusals had gone on for 1.5 s, callers
/// who were refused heard of it after 80 ms (median of the replay
/// `shifted-long-lasting`) and 52 ms (`burst`); so found, after 30 ms and 33 ms, and
/// the largest tenth of the long jobs of `large-lasting` earns 0.721 of its worth
/// instead of 0.575. The worth of all stays within 0.006 on nine replays.
#[derive(Debug)]
pub(super) struct BacklogPart {
    part: f64,
    grown_ms: u64,
    shrunk_ms: u64,
}

impl Default for BacklogPart {
    fn default() -> Self {
        Self {
            part: LARGEST_PART,
            grown_ms: 0,
            shrunk_ms: 0,
        }
    }
}

impl BacklogPart {
    /// The part as of now.
    pub(super) fn at(&mut self, now_ms: u64) -> f64 {
        let passed_ms = now_ms.saturating_sub(self.grown_ms);
        self.grown_ms = now_ms;
        let growth = passed_ms as f64 / 1_000.0 * GROWTH_PER_S;
        self.part = (self.part + growth).min(LARGEST_PART);
        self.part
    }

    /// A job that was taken in has waited in vain.
    pub(super) fn shrink(&mut self, now_ms: u64) {
        if now_ms >= self.shrunk_ms + SHRINK_PAUSE_MS {
            self.shrunk_ms = now_ms;
            self.part = (self.at(now_ms) * SHRINKAGE).max(LEAST_PART);
        }
    }
}
