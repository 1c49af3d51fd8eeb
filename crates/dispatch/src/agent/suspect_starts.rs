//! Starts of suspect tasks, under which a minion crashed before.
//!
//! Such a task is given up after another crash. A minion that had crashed or stalled
//! before the start must not count as one more crash, so it must first answer a
//! listing.

use crate::Agent;
use crate::LinkId;
use crate::NotStartedReason;
use crate::OrderId;
use crate::RunEnd;
use crate::agent::listing_calls::PendingListing;
use crate::agent::run_table::Phase;

/// Timeout of the listing before a start, in milliseconds. A healthy minion on the same
/// host answers within a few milliseconds.
const CHECK_TIMEOUT_MS: u64 = 50;

impl Agent {
    /// Requests a listing if a start waits for one, and gives up the starts that have
    /// waited too long.
    pub(crate) fn check_suspect_starts(&mut self, now_ms: u64) {
        let checking = self.runs.iter().filter(|run| run.phase == Phase::Checking);
        let checking: Vec<(LinkId, OrderId, u64)> = checking
            .map(|run| (run.link, run.order, run.started_ms))
            .collect();
        let Some(latest_ms) = checking.iter().map(|(.., since_ms)| *since_ms).max() else {
            return;
        };
        for (link, order, since_ms) in checking {
            if now_ms > since_ms + CHECK_TIMEOUT_MS {
                self.give_up_check(link, order, NotStartedReason::NoAnswer);
            }
        }
        // A listing that waits for an end would be answered too late.
        let is_requested =
            |pending: &PendingListing| !pending.waits_for_end && pending.sent_ms >= latest_ms;
        let minion = self.minion.as_ref();
        if minion.is_some_and(|minion| !minion.pending_listings.iter().any(is_requested)) {
            self.send_listing_call(now_ms, None, 0);
        }
    }

    /// Sends the starts that waited for the answer to a listing which was requested at
    /// `sent_ms`.
    pub(crate) fn start_checked_suspects(&mut self, now_ms: u64, sent_ms: u64) {
        let is_due = |phase, since_ms| phase == Phase::Checking && sent_ms >= since_ms;
        let due = self
            .runs
            .iter()
            .filter(|run| is_due(run.phase, run.started_ms));
        let due: Vec<(LinkId, OrderId)> = due.map(|run| (run.link, run.order)).collect();
        for (link, order) in due {
            let can_start =
                self.is_accepting_starts() && self.can_extend_lease(now_ms) && self.runs_fit();
            let run = self.runs.get(link, order);
            let is_admitted = run.is_some_and(|run| self.runs.admits_suspect(run, None));
            if can_start && is_admitted {
                self.start_run(now_ms, link, order);
            } else if can_start {
                self.give_up_check(link, order, NotStartedReason::Full);
            } else {
                self.give_up_check(link, order, NotStartedReason::Closing);
            }
        }
    }

    /// Gives up all starts that wait for an answer, because their minion is gone.
    pub(crate) fn give_up_checks(&mut self) {
        let checking = self.runs.iter().filter(|run| run.phase == Phase::Checking);
        let checking: Vec<(LinkId, OrderId)> = checking.map(|run| (run.link, run.order)).collect();
        for (link, order) in checking {
            self.give_up_check(link, order, NotStartedReason::NoAnswer);
        }
    }

    fn give_up_check(&mut self, link: LinkId, order: OrderId, reason: NotStartedReason) {
        if let Some(run) = self.runs.remove(link, order) {
            let detail = format!("run={} busy={reason:?}", run.key.run);
            self.event("suspect-not-started", Some(run.key.task.job), detail);
            self.report_end(link, order, RunEnd::NotStarted(reason), 0);
        }
    }

    /// When the first of the waiting starts is given up.
    pub(crate) fn check_due_ms(&self) -> Option<u64> {
        let checking = self.runs.iter().filter(|run| run.phase == Phase::Checking);
        checking
            .map(|run| run.started_ms + CHECK_TIMEOUT_MS + 1)
            .min()
    }
}
