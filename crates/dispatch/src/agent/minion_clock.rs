//! What an agent knows of its minion's clock.
//!
//! The clock may be off by up to 2%, so what it shows now is a range that widens with the
//! age of the last reading. What an agent asks for keeps to the beginning of that range, and
//! what it waits for to the end: a lease is requested for the lowest possible reading, and
//! is over when the clock has reached its end for sure.

use crate::lease::DRIFT_DIVISOR;
use crate::lease::longest_ms;

/// Error of the time between two readings that are rounded to milliseconds, in
/// milliseconds.
const ROUNDING_MS: u64 = 2;

/// The readings of a minion's clock, on the agent's clock.
#[derive(Debug)]
pub(crate) struct MinionClock {
    /// Last reading in a listing.
    reading_ms: u64,
    /// When that listing was requested.
    requested_ms: u64,
    /// When that listing arrived.
    arrived_ms: u64,
    /// Reading from which the lowest present one follows. While the minion has no runs, it
    /// is that of a report.
    floor_reading_ms: u64,
    /// When the reading of the floor arrived.
    floor_arrived_ms: u64,
}

impl MinionClock {
    /// Creates the clock from a reading that has just arrived.
    pub(crate) fn new(now_ms: u64, reading_ms: u64) -> Self {
        Self {
            reading_ms,
            requested_ms: now_ms,
            arrived_ms: now_ms,
            floor_reading_ms: reading_ms,
            floor_arrived_ms: now_ms,
        }
    }

    /// Records the reading of a listing that was requested at `requested_ms`; 0 is none.
    pub(crate) fn listed(&mut self, now_ms: u64, requested_ms: u64, reading_ms: u64) {
        if reading_ms > 0 {
            *self = Self {
                requested_ms,
                ..Self::new(now_ms, reading_ms)
            };
        }
    }

    /// Records the reading of a report, which may have been delayed. One that the clock
    /// cannot show yet is of an earlier incarnation.
    pub(crate) fn reported(&mut self, now_ms: u64, reading_ms: u64) {
        if (self.min_at(now_ms)..=self.max_at(now_ms)).contains(&reading_ms) {
            self.floor_reading_ms = reading_ms;
            self.floor_arrived_ms = now_ms;
        }
    }

    /// Last reading in a listing.
    pub(crate) fn reading_ms(&self) -> u64 {
        self.reading_ms
    }

    /// When the last reading in a listing arrived.
    pub(crate) fn arrived_ms(&self) -> u64 {
        self.arrived_ms
    }

    /// Reading at `now_ms` if the clock goes at full speed and its last reading arrived at
    /// once.
    fn estimate_at(&self, now_ms: u64) -> u64 {
        self.reading_ms + now_ms.saturating_sub(self.arrived_ms)
    }

    /// Lowest possible reading at `now_ms`. After a suspension of the host, it is too high
    /// until the next listing.
    pub(crate) fn min_at(&self, now_ms: u64) -> u64 {
        let elapsed_ms = now_ms.saturating_sub(self.floor_arrived_ms);
        self.floor_reading_ms + elapsed_ms.saturating_sub(drift_ms(elapsed_ms) + ROUNDING_MS)
    }

    /// Highest possible reading at `at_ms`.
    pub(crate) fn max_at(&self, at_ms: u64) -> u64 {
        let elapsed_ms = at_ms.saturating_sub(self.requested_ms);
        self.reading_ms + elapsed_ms + drift_ms(elapsed_ms) + ROUNDING_MS
    }

    /// Earliest time on the agent's clock at which this one can show `reading_ms`.
    pub(crate) fn earliest_ms(&self, reading_ms: u64) -> u64 {
        let remaining_ms = reading_ms.saturating_sub(self.reading_ms);
        let error_ms = drift_ms(remaining_ms) + ROUNDING_MS;
        (self.requested_ms + remaining_ms).saturating_sub(error_ms)
    }

    /// Latest time on the agent's clock at which this one can begin to show `reading_ms`.
    pub(crate) fn latest_ms(&self, reading_ms: u64) -> u64 {
        let remaining_ms = reading_ms.saturating_sub(self.floor_reading_ms);
        self.floor_arrived_ms + longest_ms(remaining_ms) + ROUNDING_MS
    }

    /// Transit time of an answer with this reading, in milliseconds.
    pub(crate) fn transit_ms(&self, now_ms: u64, reading_ms: u64) -> u64 {
        self.estimate_at(now_ms).saturating_sub(reading_ms)
    }
}

/// Largest error of a time that the clock measures while `elapsed_ms` pass.
fn drift_ms(elapsed_ms: u64) -> u64 {
    elapsed_ms.div_ceil(DRIFT_DIVISOR)
}
