//! The epochs that an agent shows its minion: a minion does nothing for an epoch
//! below the highest that it has seen.
//!
//! A call that was meant for a former life of the minion can be carried out by the
//! next one under the same id, which has seen no epoch. Once that life has seen a
//! higher epoch than the call's, it refuses the call. So epochs rise over all lives
//! of a minion, whoever its agent is.

use crate::Incarnation;

/// First step by which the epoch is raised after a refusal for a lower one, in
/// milliseconds. It doubles each time: how high the other epoch is, is not told.
const FIRST_FENCE_STEP_MS: u64 = 60_000;
/// Most times that it doubles: epochs stay below what a JSON number holds exactly.
const MAX_DOUBLINGS: u32 = 34;

/// The epochs that were shown so far.
#[derive(Debug, Default)]
pub(crate) struct Epochs {
    highest: u64,
    consecutive_refusals: u32,
}

impl Epochs {
    /// An epoch above all that were shown to this life or an earlier one.
    ///
    /// Its birth and its clock together rise within a life, and from one life to
    /// the next unless the time of day was set back between them.
    pub(crate) fn next(&mut self, incarnation: &Incarnation, clock_ms: u64) -> u64 {
        let started_unix_ms = incarnation.started_unix_ms().unwrap_or(0);
        let current = started_unix_ms.saturating_add(clock_ms);
        self.highest = current.max(self.highest + 1);
        self.highest
    }

    /// An epoch was refused for a higher one.
    pub(crate) fn fenced(&mut self) {
        let step_ms = FIRST_FENCE_STEP_MS << self.consecutive_refusals.min(MAX_DOUBLINGS);
        self.highest = self.highest.saturating_add(step_ms);
        self.consecutive_refusals += 1;
    }

    /// An epoch was accepted.
    pub(crate) fn accepted(&mut self) {
        self.consecutive_refusals = 0;
    }
}
