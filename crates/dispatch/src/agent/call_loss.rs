//! How many of the calls to a minion get no answer, and how many copies of a
//! call make up for it.
//!
//! Calls are idempotent and stay on one host, so a copy costs little, while a
//! call without an answer costs a short task its time.

/// Weight of the last call: loss is told soon, and a single call decides nothing.
const LAST_CALL_WEIGHT: f64 = 1.0 / 16.0;
/// Share of calls without an answer up to which one copy is enough; a single
/// one is above it and counts for 18 calls.
const NEGLIGIBLE_SHARE: f64 = 0.02;
/// Share of calls all of whose copies may stay without an answer.
const ACCEPTED_SHARE: f64 = 0.03;
/// Most copies of a call: an agent has a small part of a core.
const MAX_HEDGED_CALLS: u32 = 4;

/// A running share of calls without an answer.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct CallLoss {
    share: f64,
}

impl CallLoss {
    /// Notes whether a call was answered.
    pub(crate) fn note(&mut self, is_answered: bool) {
        let last = if is_answered { 0.0 } else { 1.0 };
        self.share += (last - self.share) * LAST_CALL_WEIGHT;
    }

    /// Copies of a call to send at once, so that one of them is answered.
    pub(crate) fn copies(&self) -> u32 {
        if self.share <= NEGLIGIBLE_SHARE {
            return 1;
        }
        let mut copies = 1;
        let mut lost = self.share;
        while lost > ACCEPTED_SHARE && copies < MAX_HEDGED_CALLS {
            lost *= self.share;
            copies += 1;
        }
        copies.max(2)
    }
}
