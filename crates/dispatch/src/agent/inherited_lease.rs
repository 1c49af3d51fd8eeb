//! How long the runs of an incarnation may go on without the agent because of calls that were
//! meant for an earlier incarnation with the same id.
//!
//! Such a call states the end of the lease on the clock of the earlier incarnation, which was
//! ahead, so the lease becomes as long as the minion ever grants. Once an incarnation has seen
//! the agent's epoch, it refuses such calls.

use std::collections::BTreeSet;

use crate::Agent;
use crate::StartResult;
use crate::lease::DRIFT_DIVISOR;
use crate::lease::MAX_CALL_DELAY_MS;
use crate::lease::max_uncontrolled_ms;

/// Longest time for which an agent goes on extending the lease of an incarnation that has
/// ended, in milliseconds. It stops soon after the last answer.
const MAX_MISDIRECTED_MS: u64 = 1_000;
/// Error of a reading that is rounded to milliseconds, in milliseconds.
const ROUNDING_MS: u64 = 2;

/// The calls of an agent that extend the lease of its minion.
#[derive(Debug, Default)]
pub(crate) struct LeaseCalls {
    /// Numbers of the listing calls that are pending.
    pending_listings: BTreeSet<u64>,
    /// Time until which calls may have been carried out, or may still be, of which it is not
    /// known that the incarnation that they were sent to carried them out; 0 if there are none.
    uncertain_until_ms: u64,
    /// Time until which calls of an earlier agent may be carried out; 0 before a minion with a
    /// start time is served.
    former_until_ms: u64,
}

impl LeaseCalls {
    /// Records that the agent serves a minion which an earlier agent may have served.
    pub(crate) fn inherit(&mut self, now_ms: u64) {
        if self.former_until_ms == 0 {
            self.former_until_ms = now_ms + MAX_CALL_DELAY_MS;
        }
    }

    /// Records that a listing call that extends the lease is sent.
    pub(crate) fn listing_sent(&mut self, call: u64) {
        self.pending_listings.insert(call);
    }

    /// Records that a listing call got its result, or timed out.
    pub(crate) fn listing_ended(&mut self, now_ms: u64, call: u64, has_timed_out: bool) {
        if self.pending_listings.remove(&call) && has_timed_out {
            self.uncertain_until(now_ms + MAX_CALL_DELAY_MS);
        }
    }

    /// Records the result of a start. An answer does not tell which incarnation sent it.
    pub(crate) fn start_ended(&mut self, now_ms: u64, result: StartResult) {
        match result {
            StartResult::NoAnswer => self.uncertain_until(now_ms + MAX_CALL_DELAY_MS),
            StartResult::Started | StartResult::OldRun | StartResult::NoRoom => {
                self.uncertain_until(now_ms);
            }
            _ => {}
        }
    }

    /// Records that a call may have been carried out by another incarnation than it was meant
    /// for until this time.
    pub(crate) fn uncertain_until(&mut self, until_ms: u64) {
        self.uncertain_until_ms = self.uncertain_until_ms.max(until_ms);
    }

    /// Forgets all calls, since a minion with another id refuses them.
    pub(crate) fn clear(&mut self) {
        *self = Self {
            former_until_ms: self.former_until_ms,
            ..Self::default()
        };
    }

    /// Time until which runs of the incarnation with this clock may go on without the agent,
    /// on the agent's clock, if a call for an earlier incarnation may have extended its lease.
    /// The incarnation has seen the agent's epoch by now.
    pub(crate) fn inherited_lease_until_ms(
        &self,
        now_ms: u64,
        clock_ms: u64,
        has_pending_starts: bool,
        max_lease_ms: u64,
    ) -> Option<u64> {
        let drift_ms = clock_ms.div_ceil(DRIFT_DIVISOR - 1) + ROUNDING_MS;
        let earliest_start_ms = now_ms.saturating_sub(clock_ms + drift_ms);
        let latest_start_ms = (now_ms + drift_ms).saturating_sub(clock_ms);
        let former_ms = latest_start_ms + MAX_MISDIRECTED_MS + MAX_CALL_DELAY_MS;
        let has_pending = has_pending_starts || !self.pending_listings.is_empty();
        let own_ms = match has_pending {
            true => now_ms,
            false => self.uncertain_until_ms,
        };
        let carried_out_ms = own_ms.max(self.former_until_ms.min(former_ms)).min(now_ms);
        let until_ms = carried_out_ms + max_uncontrolled_ms(max_lease_ms);
        (carried_out_ms >= earliest_start_ms && until_ms > now_ms).then_some(until_ms)
    }
}

impl Agent {
    /// Determines until when runs may go on without the agent, as the served incarnation has
    /// just seen the agent's epoch for the first time.
    pub(crate) fn note_inherited_lease(&mut self, now_ms: u64, clock_ms: u64) {
        let Some(minion) = &mut self.minion else {
            return;
        };
        if minion.inherited_lease_until_ms.is_some() {
            return;
        }
        let has_pending_starts = self.delayed_calls.has_pending();
        let until_ms = self.lease_calls.inherited_lease_until_ms(
            now_ms,
            clock_ms,
            has_pending_starts,
            self.max_lease_ms,
        );
        minion.inherited_lease_until_ms = Some(until_ms.unwrap_or(0));
        if let Some(until_ms) = until_ms {
            minion.lease_until_ms = minion.lease_until_ms.max(until_ms);
            let detail = format!("remaining_ms={}", until_ms - now_ms);
            self.event("lease-inherited", None, detail);
        }
    }
}
