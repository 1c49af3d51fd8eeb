//! The fraction of the calls to a minion that get no answer, and the number of hedged
//! calls that make up for it.
//!
//! Calls are idempotent and stay on one host, so an additional call costs little, while
//! an unanswered call uses up the time of a short task.

/// Weight of the last call: loss is detected soon, and no single call decides.
const LAST_CALL_WEIGHT: f64 = 1.0 / 16.0;
/// Fraction of unanswered calls up to which one call is enough. After a single
/// unanswered call, the fraction exceeds it for 18 calls.
const NEGLIGIBLE_FRACTION: f64 = 0.02;
/// Accepted fraction of calls that get no answer to any of their hedged calls.
const ACCEPTED_FRACTION: f64 = 0.03;
/// Maximum number of hedged calls: an agent gets only a small fraction of a core.
const MAX_HEDGED_CALLS: u32 = 4;

/// Exponentially weighted fraction of unanswered calls.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct CallLoss {
    unanswered_fraction: f64,
}

impl CallLoss {
    /// Records whether a call was answered.
    pub(crate) fn record(&mut self, is_answered: bool) {
        let last_call = if is_answered { 0.0 } else { 1.0 };
        self.unanswered_fraction += (last_call - self.unanswered_fraction) * LAST_CALL_WEIGHT;
    }

    /// Number of identical calls to send so that one of them is answered.
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
