//! When an agent asks its minion for a listing, extends the lease and acknowledges
//! ends; one call does all three.

use crate::Agent;
use crate::AgentAction;
use crate::agent::minion::Minion;
use crate::agent::run_table::Phase;
use crate::agent::run_table::READ_AT_ONCE_MS;

/// Time that a listing may wait for an end, in milliseconds. The lease is extended at
/// least that often.
const LIST_WAIT_MS: u64 = 120;
/// Maximum number of listings pending at one time; more are not needed, because the
/// next one follows soon.
const MAX_PENDING_LISTINGS: u32 = 4;
/// Time that a listing may wait for an end while a stopped run may still be listed, in
/// milliseconds.
const STOPPING_LIST_WAIT_MS: u64 = 15;
/// Time past its wait after which a listing counts as unanswered, in milliseconds. A
/// minion on the same host answers within a few milliseconds.
pub(crate) const LIST_TIMEOUT_MS: u64 = 40;
/// Time without an answer after which the lease is not extended any more, in
/// milliseconds: longer than the wait of a listing plus a third of a second in which
/// calls are lost. The minion is given up when the lease is over.
const LEASE_EXTENSION_TIMEOUT_MS: u64 = 600;

/// A listing call that is pending.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingListing {
    pub(crate) call: u64,
    pub(crate) sent_ms: u64,
    /// When the call counts as unanswered.
    pub(crate) overdue_at_ms: u64,
    /// Whether the answer waits for an end.
    pub(crate) waits_for_end: bool,
    /// Number of the last end that the call acknowledges; 0 for none.
    pub(crate) acknowledged_through: u64,
    /// Earliest end of the lease that the call requests, on the agent's clock; 0 if it
    /// does not extend the lease.
    pub(crate) min_lease_until_ms: u64,
}

impl PendingListing {
    /// Whether the minion waited for an end to list, and so had none, if the connection of
    /// the call broke just now. A connection that breaks at once may break before the
    /// minion reads the call.
    pub(crate) fn was_waiting(&self, now_ms: u64) -> bool {
        self.waits_for_end && now_ms > self.sent_ms + READ_AT_ONCE_MS
    }
}

impl Agent {
    /// Sends listing calls when a listing is needed and too few calls are pending.
    pub(crate) fn list_if_due(&mut self, now_ms: u64) {
        self.note_lapsed_lease(now_ms);
        let can_extend = self.can_extend_lease(now_ms);
        let acknowledgeable_through = self.acknowledgeable_through(now_ms);
        let has_runs = self.runs.has_sent_starts();
        let is_stopping_run = self
            .runs
            .iter()
            .any(|run| matches!(run.phase, Phase::Stopping { .. }));
        let Some(minion) = &mut self.minion else {
            return;
        };
        let has_ends = acknowledgeable_through.is_some();
        let is_uncertain =
            !minion.has_no_leftovers || minion.may_have_left || !minion.is_answering();
        let is_wanted = has_runs || has_ends || is_uncertain;
        let hedged_calls = minion.loss.hedged_calls().min(MAX_PENDING_LISTINGS) as usize;
        let is_in_time = |pending: &&PendingListing| now_ms < pending.overdue_at_ms;
        let pending_in_time = minion.pending_listings.iter().filter(is_in_time).count();
        if !is_wanted
            || pending_in_time >= hedged_calls
            || minion.has_left
            || now_ms < minion.next_listing_at_ms
        {
            return;
        }
        let are_in_time = pending_in_time == minion.pending_listings.len();
        let wait_ms = match (has_runs, is_stopping_run, are_in_time) {
            (true, false, true) => LIST_WAIT_MS,
            (true, true, true) => STOPPING_LIST_WAIT_MS,
            _ => 0,
        };
        // A minion that is gone is given up when its lease is over. If the lease were
        // extended, its runs would stay for ever.
        let is_unanswered = now_ms > minion.answered_ms + LEASE_EXTENSION_TIMEOUT_MS;
        let is_leased = has_runs && can_extend && minion.epoch > 0 && !is_unanswered;
        let deadline_ms = is_leased.then(|| minion.extend_lease(now_ms));
        for _ in pending_in_time..hedged_calls {
            self.send_listing_call(now_ms, deadline_ms, wait_ms);
        }
    }

    /// Number of the last end that may be acknowledged now, if there is one.
    fn acknowledgeable_through(&self, now_ms: u64) -> Option<u64> {
        if self.delayed_calls.possible_until_ms(now_ms).is_some() {
            return None;
        }
        self.minion
            .as_ref()
            .and_then(Minion::acknowledgeable_through)
    }

    /// Sends a listing call to the minion.
    pub(crate) fn send_listing_call(
        &mut self,
        now_ms: u64,
        deadline_ms: Option<u64>,
        wait_ms: u64,
    ) {
        // A delayed call must not acknowledge more than necessary.
        let acknowledged_through = self.acknowledgeable_through(now_ms).unwrap_or(0);
        let Some(minion) = &mut self.minion else {
            return;
        };
        let call = self.next_call;
        self.next_call += 1;
        let incarnation = minion.report.incarnation.clone();
        if deadline_ms.is_some() && incarnation.started_unix_ms().is_some() {
            self.lease_calls.listing_sent(call);
        }
        minion.pending_listings.push(PendingListing {
            call,
            sent_ms: now_ms,
            overdue_at_ms: now_ms + wait_ms + LIST_TIMEOUT_MS,
            waits_for_end: wait_ms > 0,
            acknowledged_through,
            min_lease_until_ms: deadline_ms
                .map_or(0, |deadline_ms| minion.clock.earliest_ms(deadline_ms)),
        });
        self.actions.push(AgentAction::List {
            call,
            incarnation,
            epoch: minion.epoch,
            acknowledged_through,
            deadline_ms,
            wait_ms,
        });
    }
}
