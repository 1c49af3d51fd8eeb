//! How an agent applies a listing of its minion: it compares the listed runs
//! with those in its run table.

use crate::ActiveRun;
use crate::Agent;
use crate::Incarnation;
use crate::LinkId;
use crate::ListResult;
use crate::Listing;
use crate::NotStartedReason;
use crate::OrderId;
use crate::RunEnd;
use crate::RunKey;
use crate::agent::minion::STOP_RETRY_MS;
use crate::agent::retained_ends::stored_end;
use crate::agent::run_table::Phase;
use crate::agent::run_table::Run;
use crate::minion_calls::CallOutcome;

/// Base of the pause after an unanswered call before the next listing, in milliseconds.
/// The pause doubles with each consecutive unanswered call.
const RETRY_BASE_MS: u64 = 15;
/// Longest pause after an unanswered call while the agent has no runs, in milliseconds.
const MAX_RETRY_MS: u64 = 240;
/// Longest pause after an unanswered call while runs depend on the lease, in
/// milliseconds: a tenth of the lease.
const MAX_LEASED_RETRY_MS: u64 = 45;
/// Pause after a listing while calls are hedged, in milliseconds, so that one listing
/// returns several ends.
const HEDGED_LIST_PAUSE_MS: u64 = 25;
/// Pause after a listing while the minion retains ends, in milliseconds. The store
/// takes a record within 10 ms.
const RETAINED_LIST_PAUSE_MS: u64 = 8;
/// Maximum number of ends that a minion lists. Later ends are listed only after some of
/// these are acknowledged.
pub(crate) const MAX_LISTED_ENDS: usize = 500;
/// Maximum transit time of a listing from which stalled runs are detected, in
/// milliseconds. After a suspension of its host, the agent would take an old listing
/// for a current one.
const MAX_FRESH_TRANSIT_MS: u64 = 20;
/// Percentage at which a run is done.
const DONE_PERCENT: u8 = 100;

impl Agent {
    /// Handles the result of a listing call.
    pub fn list_answered(
        &mut self,
        now_ms: u64,
        incarnation: &Incarnation,
        call: u64,
        result: ListResult,
    ) {
        let has_timed_out = result == ListResult::NoAnswer;
        self.lease_calls.listing_ended(now_ms, call, has_timed_out);
        if self.is_candidate(incarnation) {
            self.candidate_answered(now_ms, call, &result);
            return;
        }
        if !self.serves(incarnation) {
            return;
        }
        let is_broken = result == ListResult::Broken;
        let (call_outcome, listing) = match result {
            ListResult::Listed(listing) => (CallOutcome::Answered, Some(listing)),
            ListResult::Unreached => (CallOutcome::Refused, None),
            ListResult::NoAnswer | ListResult::Broken => (CallOutcome::Unanswered, None),
            ListResult::OtherInstance => {
                self.minion_ended(now_ms, "other id");
                return;
            }
            ListResult::Fenced => {
                self.listing_fenced(now_ms, call);
                return;
            }
        };
        if call_outcome == CallOutcome::Unanswered {
            self.delayed_calls.call_unanswered();
        }
        let Some(minion) = &mut self.minion else {
            return;
        };
        minion.record_call_outcome(now_ms, call_outcome);
        let position = minion
            .pending_listings
            .iter()
            .position(|pending| pending.call == call);
        let Some(pending) = position.map(|position| minion.pending_listings.remove(position))
        else {
            return;
        };
        if is_broken {
            self.runs.connection_broke(now_ms, pending.sent_ms);
            self.note_lapsed_lease(now_ms);
        }
        if is_broken && pending.was_waiting(now_ms) {
            self.runs.listing_connection_broke(now_ms);
        }
        let Some(minion) = &mut self.minion else {
            return;
        };
        let Some(listing) = listing else {
            let max_pause_ms = if self.runs.is_empty() {
                MAX_RETRY_MS
            } else {
                MAX_LEASED_RETRY_MS
            };
            let doubled_ms = RETRY_BASE_MS << minion.consecutive_unanswered.min(5);
            minion.next_listing_at_ms = now_ms + doubled_ms.min(max_pause_ms);
            return;
        };
        let pause_ms = if minion.loss.hedged_calls() > 1 {
            HEDGED_LIST_PAUSE_MS
        } else if minion.retained_ends.is_empty() {
            0
        } else {
            // While it retains ends, the minion answers at once, whatever the wait.
            RETAINED_LIST_PAUSE_MS
        };
        if minion.is_of_other_incarnation(pending.sent_ms, &listing) {
            self.minion_restarted(now_ms, listing.started_unix_ms);
            return;
        }
        let listing_made_ms =
            now_ms.saturating_sub(minion.clock.transit_ms(now_ms, listing.clock_ms));
        self.runs
            .minion_answered(listing_made_ms.max(pending.sent_ms));
        minion.min_lease_until_ms = minion.min_lease_until_ms.max(pending.min_lease_until_ms);
        minion.next_listing_at_ms = now_ms + pause_ms;
        minion.may_have_left = false;
        minion
            .pending_listings
            .retain(|other| other.sent_ms > pending.sent_ms);
        let is_fresh = minion.clock.transit_ms(now_ms, listing.clock_ms) <= MAX_FRESH_TRANSIT_MS;
        minion
            .clock
            .listed(now_ms, pending.sent_ms, listing.clock_ms);
        if minion.epoch == 0 {
            let epoch = self
                .epochs
                .next(&minion.report.incarnation, listing.clock_ms);
            minion.epoch = epoch;
            self.confirm_crashes(now_ms, listing.clock_ms);
            self.event("epoch-taken", None, format!("epoch={epoch}"));
            self.list_if_due(now_ms);
            return;
        }
        self.epochs.accepted();
        if !minion.has_no_leftovers && incarnation.started_unix_ms().is_some() {
            let max_lease_ms = self.max_lease_ms;
            minion.retained_ends.inherit_lease(now_ms, max_lease_ms);
            self.note_inherited_lease(now_ms, listing.clock_ms);
        }
        let Some(minion) = &mut self.minion else {
            return;
        };
        minion.acknowledged_through = minion
            .acknowledged_through
            .max(pending.acknowledged_through);
        self.apply_ends(now_ms, &listing);
        self.apply_running(now_ms, pending.sent_ms, &listing);
        self.start_checked_suspects(now_ms, pending.sent_ms);
        if is_fresh {
            self.detect_stalls(now_ms);
        }
    }

    /// Processes the ends in a listing that were not listed before, and reports them.
    pub(crate) fn apply_ends(&mut self, now_ms: u64, listing: &Listing) {
        let mut unowned = Vec::new();
        for ended in &listing.ended {
            let Some(minion) = &mut self.minion else {
                break;
            };
            if ended.number <= minion.listed_through {
                continue;
            }
            minion.listed_through = ended.number;
            let found = ended.key.as_ref().and_then(|key| self.runs.find(key));
            let retained = stored_end(ended);
            let linked = found.filter(|(link, _)| self.links.contains_key(link));
            match (&retained, linked) {
                (Some(end), Some((link, _))) => minion.retained_ends.report_sent(link, end.clone()),
                (Some(end), None) => {
                    // The run was started for an entry whose link is closed, or by an
                    // earlier agent.
                    minion.retained_ends.mark_unowned(now_ms, end.clone());
                    unowned.push(end.clone());
                }
                (None, _) => {}
            }
            let Some((link, order)) = found else {
                continue;
            };
            if let Some(mut run) = self.remove_run(now_ms, link, order) {
                self.record_end_for_breaker(now_ms, &run, ended.end);
                if ended.end == RunEnd::Done {
                    let (done_ms, spent_ms) = run.advance(now_ms, DONE_PERCENT);
                    self.speed.add(now_ms, done_ms, spent_ms);
                }
                match retained {
                    Some(end) => self.report_retained_end(link, order, &end, run.ran_ms(now_ms)),
                    None => self.report_end(link, order, ended.end, run.ran_ms(now_ms)),
                }
            }
        }
        self.report_unowned_ends(unowned);
    }

    /// Records the end of a run with the breaker if it says something about the minion.
    fn record_end_for_breaker(&mut self, now_ms: u64, run: &Run, end: RunEnd) {
        match end {
            RunEnd::Done => self.breaker.succeeded(run.started_ms),
            RunEnd::Failed => {
                let job = &run.key.task.job;
                if self.breaker.failed(now_ms, job, run.started_ms) {
                    self.event("minion-failing", Some(job.clone()), String::new());
                }
            }
            _ => {}
        }
    }

    /// Compares the listed runs with the agent's runs. A listing says something about a
    /// run only if it was requested after the run's last answer.
    pub(crate) fn apply_running(&mut self, now_ms: u64, sent_ms: u64, listing: &Listing) {
        let mut gone = Vec::new();
        let is_complete = listing.ended.len() < MAX_LISTED_ENDS;
        for run in self.runs.iter_mut() {
            run.retry_broken_start(now_ms, sent_ms);
            let listed = listing
                .running
                .iter()
                .find(|row| row.key.as_ref() == Some(&run.key));
            if let Some(row) = listed {
                run.seen_running(sent_ms);
                run.listed(sent_ms);
                let (done_ms, spent_ms) = run.advance(now_ms, row.percent);
                self.speed.add(now_ms, done_ms, spent_ms);
                if run.phase == Phase::Starting {
                    run.phase = Phase::Running;
                    run.confirmed_ms = now_ms;
                }
            } else if is_complete && is_gone_for_good(run.phase, run.confirmed_ms, sent_ms) {
                gone.push((run.link, run.order));
            }
        }
        for (link, order) in gone {
            self.end_unlisted_run(now_ms, link, order);
        }
        self.stop_leftovers(now_ms, &listing.running);
    }

    /// Ends a run that the minion does not list any more.
    pub(crate) fn end_unlisted_run(&mut self, now_ms: u64, link: LinkId, order: OrderId) {
        let Some(run) = self.remove_run(now_ms, link, order) else {
            return;
        };
        let end = match run.phase {
            Phase::Running => RunEnd::Lost,
            _ if run.was_seen_running => RunEnd::Stopped,
            _ if run.unanswered > 0 => RunEnd::NotStarted(NotStartedReason::NoAnswer),
            _ => RunEnd::Stopped,
        };
        self.report_end(link, order, end, run.ran_ms(now_ms));
    }

    /// Stops runs that an earlier agent left on the minion, and begins to serve the
    /// minion when none of them is listed any more.
    pub(crate) fn stop_leftovers(&mut self, now_ms: u64, running: &[ActiveRun]) {
        let is_known = |key: &RunKey| self.runs.find(key).is_some();
        let keys = running.iter().filter_map(|row| row.key.clone());
        let unknown_runs: Vec<RunKey> = keys.filter(|key| !is_known(key)).collect();
        let Some(minion) = &mut self.minion else {
            return;
        };
        if unknown_runs.is_empty() && !minion.has_no_leftovers {
            minion.has_no_leftovers = true;
            self.event("minion-served", None, String::new());
            self.greet_links(now_ms);
            return;
        }
        let is_due = |key: &RunKey| {
            let tried = minion.leftover_stops.iter().find(|(tried, _)| tried == key);
            tried.is_none_or(|(_, tried_ms)| now_ms >= tried_ms + STOP_RETRY_MS)
        };
        let due: Vec<RunKey> = unknown_runs.into_iter().filter(is_due).collect();
        minion.leftover_stops.retain(|(key, _)| !due.contains(key));
        minion
            .leftover_stops
            .extend(due.iter().map(|key| (key.clone(), now_ms)));
        for key in due {
            self.event(
                "leftover-stopped",
                Some(key.task.job.clone()),
                format!("run={}", key.run),
            );
            self.send_stop(key);
        }
    }
}

/// Whether a run that is missing from a listing requested at `sent_ms` is over. It is
/// if the minion was known to run it before the request, or had acknowledged its stop.
/// A start that is pending may still be carried out.
fn is_gone_for_good(phase: Phase, confirmed_ms: u64, sent_ms: u64) -> bool {
    match phase {
        Phase::Checking | Phase::Starting => false,
        Phase::Running => sent_ms > confirmed_ms,
        Phase::Stopping { acked_ms, .. } => acked_ms.is_some_and(|acked_ms| sent_ms > acked_ms),
    }
}
