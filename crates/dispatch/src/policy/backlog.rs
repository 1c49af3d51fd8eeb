//! Limit of the backlog, which is lowered when admitted jobs have to be shed.
//!
//! A burst of a few seconds can be absorbed by a backlog. In an overload that
//! lasts, a backlog only makes every job wait before some are refused anyway.
//! If jobs that were admitted are shed later, this shows that an overload
//! lasts, and the limit is lowered.

/// Largest fraction of the jobs' slack that the backlog may take: a short burst
/// is absorbed by waiting.
const MAX_BACKLOG_FRACTION: f64 = 0.6;
/// Smallest fraction of the jobs' slack that the backlog may take. It is
/// reached while an overload lasts: waiting then only makes the large jobs
/// late.
const MIN_BACKLOG_FRACTION: f64 = 0.1;
/// Factor by which the fraction shrinks when admitted jobs are shed.
const SHRINK_FACTOR: f64 = 0.75;
/// Shortest time between two reductions of the fraction, in milliseconds:
/// within it, the waiting work adapts to the smaller limit.
const SHRINK_PAUSE_MS: u64 = 50;
/// Growth of the fraction per second while no admitted job is shed. It takes
/// two and a half seconds from the smallest to the largest fraction, longer
/// than a full fleet takes to work off a backlog.
const GROWTH_PER_S: f64 = 0.2;

/// Fraction of the jobs' slack that the backlog may take.
///
/// Because the fraction adapts instead of being fixed, refused callers are
/// answered early, and small jobs do not starve large ones.
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
    /// Returns the fraction at `now_ms`, after its growth since the last call.
    pub(super) fn at(&mut self, now_ms: u64) -> f64 {
        let passed_ms = now_ms.saturating_sub(self.last_growth_ms);
        self.last_growth_ms = now_ms;
        let growth = passed_ms as f64 / 1_000.0 * GROWTH_PER_S;
        self.fraction = (self.fraction + growth).min(MAX_BACKLOG_FRACTION);
        self.fraction
    }

    /// Lowers the fraction after an admitted job was shed.
    pub(super) fn shrink(&mut self, now_ms: u64) {
        if now_ms >= self.last_shrink_ms + SHRINK_PAUSE_MS {
            self.last_shrink_ms = now_ms;
            self.fraction = (self.at(now_ms) * SHRINK_FACTOR).max(MIN_BACKLOG_FRACTION);
        }
    }
}
