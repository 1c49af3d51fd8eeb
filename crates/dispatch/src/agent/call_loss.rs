//! How many of the calls to a minion get no answer, and how many copies of a
//! call make up for it.
//!
//! Calls are idempotent and stay on one host, so a copy costs little, while a
//! call without an answer costs a short task its time.

/// Weight of the last call: loss is told soon, and a single call decides nothing.
const LAST_CALL_WEIGHT: f64 = 1.0 / 16.0;
/// Share of calls without an answer up to which one copy is enough; a single
/// one is above it and counts for 18 calls.
const NEGLIGIBLE_FRACTION: f64 = 0.02;
/// Share of calls all of whose copies may stay without an answer.
const ACCEPTED_FRACTION: f64 = 0.03;
/// Most copies of a call: an agent has a small part of a core.
const MAX_HEDGED_CALLS: u32 = 4;

/// A running share of calls without an answer.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct CallLoss {
    unanswered_fraction: f64,
}

impl CallLoss {
    /// Notes whether a call was answered.
    pub(crate) fn record(&mut self, is_answered: bool) {
        let last_call = if is_answered { 0.0 } else { 1.0 };
        self.unanswered_fraction += (last_call - self.unanswered_fraction) * LAST_CALL_WEIGHT;
    }

    /// Copies of a call to send at once, so that one of them is answered.
    pub(crate) fn hedged_calls(&self) -> u32 {
        if self.unanswered_fraction <= NEGLIGIBLE_FRACTION {
            return 1;
        }
        let mut calls = 1;
        let mut all_unanswered = self.unanswered_fraction;
        while all_unanswered > ACCEPTED_FRACTION && calls < MAX_HEDGED_CALLS {
            all_unanswered *= self.unanswered_fraction;
            calls += 1;
        }
        calls.max(2)
    }
}
