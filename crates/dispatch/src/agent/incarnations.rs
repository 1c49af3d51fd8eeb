//! Which incarnation of its minion an agent serves.
//!
//! A report can arrive after its sender has crashed and the next incarnation has
//! registered at the same address. So a report of another incarnation than the served
//! one only makes a candidate. The candidate is served once the minion answers a call
//! to the candidate's id with the candidate's start time.
//!
//! A call names an incarnation by its id only. The next incarnation with the same id
//! may carry it out, either at once or, if the call is unanswered, later. A run that
//! may be carried out in this way is reported as unsettled instead of lost. The entry
//! starts it again when the agent greets again, which the agent does once the next
//! incarnation has seen a higher epoch and lists no earlier runs.

use crate::Agent;
use crate::AgentAction;
use crate::Crash;
use crate::Incarnation;
use crate::LinkId;
use crate::ListResult;
use crate::Listing;
use crate::MinionReport;
use crate::OrderId;
use crate::RunEnd;
use crate::agent::breaker::Breaker;
use crate::agent::minion::Minion;
use crate::agent::run_table::Run;
use crate::agent::run_table::SuspectJobs;
use crate::agent::speed::MinionSpeed;
use crate::minion_calls::CallOutcome;

/// Pause before an unanswered call to a candidate is sent again, in milliseconds: the
/// timeout of a call to the minion on this host.
const CANDIDATE_RETRY_MS: u64 = 50;
/// Number of unanswered calls after which a candidate is forgotten until its next
/// report.
const MAX_CANDIDATE_TRIES: u32 = 20;

/// An incarnation that was reported while another one is served.
#[derive(Debug)]
pub(crate) struct Candidate {
    report: MinionReport,
    /// Number of the last call to the candidate.
    call: u64,
    /// When the last call was sent.
    called_ms: u64,
    /// Number of calls since the candidate's last report.
    tries: u32,
}

/// Why the agent stops serving a minion.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Loss {
    /// The minion ended without notice.
    Crashed,
    /// The minion answered no call until its lease was over, without having given notice.
    Silent,
    /// The minion left, or is out of reach.
    Gone,
}

impl Loss {
    /// Why an ended incarnation is not served any more. One that left, or may have
    /// left, did not crash.
    pub(crate) fn of(minion: &Minion) -> Self {
        match minion.is_leaving() || minion.may_have_left {
            true => Self::Gone,
            false => Self::Crashed,
        }
    }
}

impl Candidate {
    /// When the next call to the candidate is due.
    pub(crate) fn due_ms(&self) -> u64 {
        self.called_ms + CANDIDATE_RETRY_MS
    }
}

impl Agent {
    /// Handles a report of a minion.
    pub fn minion_reported(&mut self, now_ms: u64, report: MinionReport) {
        self.rule_out_crashes(&report.incarnation, report.clock_ms);
        if self.last_ended.as_ref() == Some(&report.incarnation) {
            self.log_delayed_report(&report.incarnation, "it has ended");
        } else if self.minion.is_none() {
            self.adopt(now_ms, report);
        } else if self.serves(&report.incarnation) {
            self.update_report(now_ms, report);
        } else {
            self.consider_candidate(now_ms, report);
        }
    }

    /// Handles the notice that the minion with this id is about to end. The notice is
    /// trusted if the minion drains. Otherwise an earlier incarnation may have sent it,
    /// and the agent calls the minion to find out.
    pub fn minion_left(&mut self, id: &str) {
        self.rule_out_crashes_of(id);
        let Some(minion) = &mut self.minion else {
            return;
        };
        if **minion.report.incarnation.id() != *id {
            return;
        }
        minion.has_left = minion.report.is_draining;
        minion.may_have_left = !minion.has_left;
        let event = match minion.has_left {
            true => "minion-left",
            false => "departure-doubted",
        };
        self.event(event, None, format!("id={id}"));
    }

    /// The incarnation of the minion that is served.
    #[must_use]
    pub fn incarnation(&self) -> Option<&Incarnation> {
        let minion = self.minion.as_ref()?;
        Some(&minion.report.incarnation)
    }

    pub(crate) fn serves(&self, incarnation: &Incarnation) -> bool {
        self.incarnation() == Some(incarnation)
    }

    fn update_report(&mut self, now_ms: u64, report: MinionReport) {
        let Some(minion) = &mut self.minion else {
            return;
        };
        if report.sequence < minion.report.sequence {
            return;
        }
        minion.reported_ms = now_ms;
        minion.clock.reported(now_ms, report.clock_ms);
        let former = std::mem::replace(&mut minion.report, report);
        let (is_draining, capacity) = (minion.report.is_draining, minion.report.capacity);
        if is_draining && !former.is_draining {
            self.event("minion-draining", None, String::new());
        }
        if capacity != former.capacity {
            self.capacity_changed(former.capacity, capacity);
        }
    }

    /// Serves an incarnation from now on.
    fn adopt(&mut self, now_ms: u64, report: MinionReport) {
        let detail = format!("life={} capacity={:?}", report.incarnation, report.capacity);
        self.event("minion-found", None, detail);
        self.speed = MinionSpeed::default();
        if report.incarnation.started_unix_ms().is_some() {
            self.delayed_calls.inherit(now_ms);
            self.lease_calls.inherit(now_ms);
            self.minion_id_reported(now_ms, report.incarnation.id());
        }
        self.minion = Some(Minion::new(now_ms, report));
        self.list_if_due(now_ms);
    }

    fn consider_candidate(&mut self, now_ms: u64, report: MinionReport) {
        if let Some(candidate) = &mut self.candidate
            && candidate.report.incarnation == report.incarnation
        {
            candidate.tries = 0;
            if report.sequence >= candidate.report.sequence {
                candidate.report = report;
            }
            return;
        }
        let detail = format!("life={}", report.incarnation);
        self.event("other-lifetime-reported", None, detail);
        self.candidate = Some(Candidate {
            report,
            call: 0,
            called_ms: now_ms,
            tries: 0,
        });
        self.call_candidate(now_ms);
    }

    /// Calls the candidate again when its last call got no answer, and forgets it after
    /// too many calls.
    pub(crate) fn watch_candidate(&mut self, now_ms: u64) {
        let Some(candidate) = &self.candidate else {
            return;
        };
        if now_ms < candidate.due_ms() {
            return;
        }
        if self.minion.is_none() {
            // The candidate is served without a check: no other incarnation is served,
            // and its listings show whether it is there.
            if let Some(candidate) = self.candidate.take() {
                self.adopt(now_ms, candidate.report);
            }
        } else if candidate.tries >= MAX_CANDIDATE_TRIES {
            self.drop_candidate("no answer");
        } else {
            self.call_candidate(now_ms);
        }
    }

    fn call_candidate(&mut self, now_ms: u64) {
        let call = self.next_call;
        let Some(candidate) = &mut self.candidate else {
            return;
        };
        // With the same id, the served incarnation may answer, and it refuses to list
        // for an epoch below the highest that it has seen.
        let expected = &candidate.report.incarnation;
        let served = self.minion.as_ref();
        let served = served.filter(|minion| minion.report.incarnation.id() == expected.id());
        let epoch = served.map_or(0, |minion| minion.epoch);
        self.next_call += 1;
        candidate.call = call;
        candidate.called_ms = now_ms;
        candidate.tries += 1;
        self.actions.push(AgentAction::List {
            call,
            incarnation: candidate.report.incarnation.clone(),
            epoch,
            acknowledged_through: 0,
            deadline_ms: None,
            wait_ms: 0,
        });
    }

    pub(crate) fn is_candidate(&self, incarnation: &Incarnation) -> bool {
        let candidate = self.candidate.as_ref();
        candidate.is_some_and(|candidate| candidate.report.incarnation == *incarnation)
    }

    /// Handles the result of a call to the candidate.
    pub(crate) fn candidate_answered(&mut self, now_ms: u64, call: u64, result: &ListResult) {
        match result {
            ListResult::Listed(listing) if self.is_of_candidate(listing) => {
                if let Some(candidate) = self.candidate.take() {
                    self.minion_ended(now_ms, "next incarnation answered");
                    self.adopt(now_ms, candidate.report);
                }
            }
            ListResult::Listed(_) | ListResult::OtherInstance | ListResult::Fenced => {
                self.drop_candidate("another lifetime is there");
            }
            ListResult::NoAnswer | ListResult::Broken | ListResult::Unreached => {
                // `watch_candidate` sends the next call when it is due.
                let detail = format!("call={call}");
                self.event("candidate-unanswered", None, detail);
            }
        }
    }

    fn drop_candidate(&mut self, cause: &'static str) {
        if let Some(candidate) = self.candidate.take() {
            self.log_delayed_report(&candidate.report.incarnation, cause);
        }
    }

    fn log_delayed_report(&mut self, incarnation: &Incarnation, cause: &'static str) {
        let detail = format!("life={incarnation} cause={cause}");
        self.event("late-report-ignored", None, detail);
    }

    /// Whether a listing that was requested from the candidate is the candidate's own.
    fn is_of_candidate(&self, listing: &Listing) -> bool {
        let Some(candidate) = &self.candidate else {
            return false;
        };
        let expected = &candidate.report.incarnation;
        let served = self.minion.as_ref();
        let is_same_id =
            served.is_some_and(|minion| minion.report.incarnation.id() == expected.id());
        match (expected.started_unix_ms(), listing.started_unix_ms) {
            (Some(expected_ms), Some(listed_ms)) => expected_ms == listed_ms,
            // Without start times, the clock shows whether the served incarnation has
            // answered: its clock never goes backwards.
            _ => {
                !is_same_id
                    || served.is_some_and(|minion| listing.clock_ms < minion.clock.reading_ms())
            }
        }
    }

    /// Handles a restart of the minion with the id of the served incarnation, at this
    /// start time.
    pub(crate) fn minion_restarted(&mut self, now_ms: u64, started_unix_ms: Option<u64>) {
        self.event(
            "minion-reborn",
            None,
            format!("born_unix_ms={started_unix_ms:?}"),
        );
        // That incarnation has also carried out the listing call, which may extend the lease.
        self.lease_calls.uncertain_until(now_ms);
        self.minion_ended(now_ms, "listing of another incarnation");
        // If the time of day was set back, both incarnations can have the same start
        // time, and reports of the new one must not be ignored.
        self.last_ended
            .take_if(|ended| ended.started_unix_ms() == started_unix_ms);
        let is_same_start = |candidate: &mut Candidate| {
            candidate.report.incarnation.started_unix_ms() == started_unix_ms
                && started_unix_ms.is_some()
        };
        if let Some(candidate) = self.candidate.take_if(is_same_start) {
            self.adopt(now_ms, candidate.report);
        }
    }

    /// Stops serving an incarnation that is known to have ended.
    pub(crate) fn minion_ended(&mut self, now_ms: u64, cause: &'static str) {
        let Some(minion) = &self.minion else {
            return;
        };
        let loss = Loss::of(minion);
        let incarnation = minion.report.incarnation.clone();
        let detail = format!("life={incarnation} cause={cause} loss={loss:?}");
        self.event("minion-replaced", None, detail);
        self.lose_minion(now_ms, loss);
        // Without a start time, the next incarnation may be equal to this one, and its
        // reports must not be ignored.
        self.last_ended =
            Some(incarnation).filter(|incarnation| incarnation.started_unix_ms().is_some());
    }

    /// Makes the agent take a new epoch, because the minion has seen a higher one: from
    /// a call that was meant for an earlier incarnation, or from another agent.
    pub(crate) fn epoch_refused(&mut self) {
        if let Some(minion) = &mut self.minion
            && minion.epoch > 0
        {
            self.epochs.fenced();
            minion.epoch = 0;
            minion.has_no_leftovers = false;
            minion.inherited_lease_until_ms = None;
            self.event("epoch-refused", None, String::new());
        }
    }

    /// Handles a listing that the minion refused because it has seen a higher epoch.
    pub(crate) fn listing_fenced(&mut self, now_ms: u64, call: u64) {
        let Some(minion) = &mut self.minion else {
            return;
        };
        minion.record_call_outcome(now_ms, CallOutcome::Answered);
        let calls = minion.pending_listings.len();
        minion
            .pending_listings
            .retain(|pending| pending.call != call);
        if minion.pending_listings.len() < calls {
            minion.pending_listings.clear();
            self.epoch_refused();
        }
    }

    /// The end that is reported for a run whose minion ended.
    fn end_of_lost_run(&self, run: &Run, suspects: &SuspectJobs, loss: Loss) -> RunEnd {
        let incarnation = self.incarnation();
        let may_keep_id =
            incarnation.is_some_and(|incarnation| incarnation.started_unix_ms().is_some());
        let crash = match loss {
            Loss::Crashed => suspects.evidence_against(run),
            // The minion may still be there. What a broken connection suggests waits until
            // that is known.
            Loss::Silent | Loss::Gone => None,
        };
        if may_keep_id && run.may_run_in_next_incarnation() {
            return RunEnd::Unsettled { crash };
        }
        crash.map_or(RunEnd::Lost, RunEnd::Crashed)
    }

    /// Records a crash for the entries that are greeted next, because the entry that
    /// ordered the run may be gone.
    fn record_crash(&mut self, now_ms: u64, run: &Run, end: RunEnd) {
        if let RunEnd::Crashed(evidence)
        | RunEnd::Unsettled {
            crash: Some(evidence),
        } = end
        {
            let crash = Crash::observed(&run.key, run.order, self.identity.node, evidence);
            self.crashes.add(now_ms, crash);
        }
    }

    /// Logs what is known of a run that ended with its minion.
    fn log_lost_run(&mut self, now_ms: u64, run: &Run, loss: Loss, end: RunEnd) {
        let detail = format!(
            "task={}.{} run={} loss={loss:?} end={end:?} phase={:?} seen={} listed={} cut_off={} may_have_ended={} pending={} refusal={:?} unanswered={} ran_ms={}",
            run.key.task.step,
            run.key.task.index,
            run.key.run,
            run.phase,
            run.was_seen_running,
            run.was_listed,
            run.connection_broke_ms.is_some(),
            run.may_have_ended(),
            run.pending,
            run.refusal,
            run.unanswered,
            run.ran_ms(now_ms),
        );
        self.event("run-lost", Some(run.key.task.job.clone()), detail);
    }

    /// Ends all runs of the minion, closes all links and stops serving the minion.
    pub(crate) fn lose_minion(&mut self, now_ms: u64, loss: Loss) {
        if self.minion.is_none() {
            return;
        }
        self.give_up_checks();
        self.note_lapsed_lease(now_ms);
        let suspects = self.runs.suspect_jobs();
        let active_runs: Vec<(LinkId, OrderId)> =
            self.runs.iter().map(|run| (run.link, run.order)).collect();
        for (link, order) in active_runs {
            if let Some(run) = self.remove_run(now_ms, link, order) {
                let end = self.end_of_lost_run(&run, &suspects, loss);
                self.keep_unconfirmed_crash(&run, &suspects, loss);
                self.record_crash(now_ms, &run, end);
                self.log_lost_run(now_ms, &run, loss, end);
                self.report_end(link, order, end, run.ran_ms(now_ms));
            }
        }
        self.send_frames(now_ms);
        self.minion = None;
        self.breaker = Breaker::default();
        self.close_links(now_ms);
    }
}
