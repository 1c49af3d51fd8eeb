//! The epochs that an agent sends to its minion, which refuses calls with a lower epoch
//! than the highest that it has seen.
//!
//! A call that was meant for a former incarnation of the minion can be carried out by
//! the next incarnation with the same id, which has seen no epoch yet. Once that
//! incarnation has seen a higher epoch than the call's, it refuses the call. So epochs
//! rise over all incarnations of a minion, whichever agent serves it.

use crate::Incarnation;

/// First step by which the epoch is raised when it was refused as too low, in
/// milliseconds. The step doubles each time, because the refusal does not contain the
/// higher epoch.
const FIRST_FENCE_STEP_MS: u64 = 60_000;
/// Maximum number of times that the step doubles: epochs stay below the largest integer
/// that a JSON number holds exactly.
const MAX_DOUBLINGS: u32 = 34;

/// The epochs that this agent has used.
#[derive(Debug, Default)]
pub(crate) struct Epochs {
    /// The last epoch, raised after each refusal.
    highest: u64,
    /// Number of refusals since an epoch was last accepted.
    consecutive_refusals: u32,
}

impl Epochs {
    /// Returns an epoch above all that were sent to this incarnation or an earlier one.
    ///
    /// The sum of the start time and the clock rises within an incarnation, and from
    /// one incarnation to the next unless the time of day was set back between them.
    pub(crate) fn next(&mut self, incarnation: &Incarnation, clock_ms: u64) -> u64 {
        let started_unix_ms = incarnation.started_unix_ms().unwrap_or(0);
        let current = started_unix_ms.saturating_add(clock_ms);
        self.highest = current.max(self.highest + 1);
        self.highest
    }

    /// Raises the next epoch after the minion refused one as too low.
    pub(crate) fn fenced(&mut self) {
        let step_ms = FIRST_FENCE_STEP_MS << self.consecutive_refusals.min(MAX_DOUBLINGS);
        self.highest = self.highest.saturating_add(step_ms);
        self.consecutive_refusals += 1;
    }

    /// Records that the minion accepted the epoch.
    pub(crate) fn accepted(&mut self) {
        self.consecutive_refusals = 0;
    }
}
