//! How an agent starts runs on its minion: with hedged calls while calls get no answer,
//! and again when all hedged calls got no answer.

use crate::Agent;
use crate::AgentAction;
use crate::Incarnation;
use crate::LinkId;
use crate::NotStartedReason;
use crate::OrderId;
use crate::RunEnd;
use crate::RunKey;
use crate::StartResult;
use crate::agent::minion::Minion;
use crate::agent::run_table::Phase;
use crate::agent::run_table::Run;
use crate::minion_calls::CallOutcome;

/// Number of unanswered starts after which a run is given up.
const MAX_START_TRIES: u32 = 3;
/// Maximum number of hedged calls of a start that are sent at once. The others follow
/// while there is no answer.
const MAX_INITIAL_START_CALLS: u32 = 2;
/// Pause before the next hedged call, in milliseconds. A healthy minion on the same
/// host answers within a few milliseconds.
const HEDGE_DELAY_MS: u64 = 12;
/// Minimum time between two starts of a run, in milliseconds.
const MIN_START_INTERVAL_MS: u64 = 50;

impl Agent {
    /// Starts a run, or starts it again.
    pub(crate) fn start_run(&mut self, now_ms: u64, link: LinkId, order: OrderId) {
        let (Some(minion), Some(run)) = (&mut self.minion, self.runs.get_mut(link, order)) else {
            return;
        };
        run.phase = Phase::Starting;
        run.retry_at_ms = None;
        run.started_ms = now_ms;
        run.begin_probation();
        run.read_ms = now_ms;
        run.changed_ms = now_ms;
        run.refusal = None;
        run.is_outcome_unknown = false;
        run.hedged_calls = 0;
        for _ in 0..minion.loss.hedged_calls().min(MAX_INITIAL_START_CALLS) {
            self.send_start(now_ms, link, order);
        }
    }

    /// Sends one start call.
    fn send_start(&mut self, now_ms: u64, link: LinkId, order: OrderId) {
        self.note_lapsed_lease(now_ms);
        let (Some(minion), Some(run)) = (&mut self.minion, self.runs.get_mut(link, order)) else {
            return;
        };
        run.hedged_calls += 1;
        run.pending += 1;
        run.sent_ms = now_ms;
        let deadline_ms = minion.extend_lease(now_ms);
        if run.hedged_calls == 1 {
            run.min_lease_until_ms = minion.clock.earliest_ms(deadline_ms);
        }
        let incarnation = minion.report.incarnation.clone();
        self.delayed_calls.start_sent(&incarnation, &run.key);
        self.actions.push(AgentAction::Start {
            incarnation,
            key: run.key.clone(),
            spec: run.spec.clone(),
            deadline_ms,
            epoch: minion.epoch,
        });
    }

    /// Handles the result of a start call.
    pub fn start_answered(
        &mut self,
        now_ms: u64,
        incarnation: &Incarnation,
        key: &RunKey,
        result: StartResult,
    ) {
        let is_answered = result.call_outcome() != CallOutcome::Unanswered;
        self.delayed_call_ended(now_ms, incarnation, key, result);
        if !self.serves(incarnation) {
            return;
        }
        if !is_answered {
            self.delayed_calls.call_unanswered();
        }
        if result == StartResult::OtherInstance {
            self.minion_ended(now_ms, "other id");
            return;
        }
        if let Some(minion) = &mut self.minion {
            minion.record_call_outcome(now_ms, result.call_outcome());
        }
        let Some((link, order)) = self.runs.find(key) else {
            return;
        };
        if result == StartResult::Broken {
            self.runs.start_connection_broke(now_ms, link, order);
        }
        let Some(run) = self.runs.get_mut(link, order) else {
            return;
        };
        run.pending = run.pending.saturating_sub(1);
        match result {
            StartResult::Started => {
                run.seen_running(run.sent_ms);
                run.start_accepted();
                run.confirmed_ms = now_ms;
                if let Some(minion) = &mut self.minion {
                    minion.min_lease_until_ms =
                        minion.min_lease_until_ms.max(run.min_lease_until_ms);
                }
                if run.phase == Phase::Starting {
                    run.phase = Phase::Running;
                }
            }
            StartResult::NoAnswer | StartResult::Broken => run.is_outcome_unknown = true,
            refused => run.refusal = Some(refused),
        }
        if run.pending == 0 && run.phase != Phase::Running {
            self.resolve_start(now_ms, link, order);
        }
    }

    /// Decides what follows when all hedged calls of a start are answered or timed out,
    /// and the run is not known to be active.
    fn resolve_start(&mut self, now_ms: u64, link: LinkId, order: OrderId) {
        let Some(run) = self.runs.get_mut(link, order) else {
            return;
        };
        let may_have_started = run.was_seen_running || run.is_outcome_unknown || run.unanswered > 0;
        let is_starting = run.phase == Phase::Starting;
        match run.refusal {
            Some(StartResult::OldRun) if may_have_started && is_starting => {
                // An earlier start was carried out, and its run has ended: the next
                // listing contains the end.
                run.phase = Phase::Running;
                run.confirmed_ms = now_ms;
            }
            Some(refusal) if !may_have_started => self.start_refused(link, order, refusal),
            // Another hedged call may have been carried out before the minion saw the
            // higher epoch.
            Some(StartResult::Fenced) => {
                self.stop_run(now_ms, link, order);
                self.epoch_refused();
            }
            // An earlier start may still be carried out, so the run is forbidden.
            Some(_) if !run.is_outcome_unknown && is_starting => self.stop_run(now_ms, link, order),
            _ if run.is_outcome_unknown => self.start_unanswered(now_ms, link, order),
            _ => {}
        }
    }

    /// Plans the next try of an unanswered start, or stops the run after too many. The
    /// same start may be sent again, since the minion carries it out only once. If the
    /// connection broke, the minion may have crashed, and the next incarnation must not get
    /// the start: a listing must show first that this one is still there.
    pub(crate) fn start_unanswered(&mut self, now_ms: u64, link: LinkId, order: OrderId) {
        let Some(run) = self.runs.get_mut(link, order) else {
            return;
        };
        run.unanswered += 1;
        let job = run.key.task.job.clone();
        let detail = format!("run={} tries={}", run.key.run, run.unanswered);
        if run.phase == Phase::Starting && run.unanswered < MAX_START_TRIES {
            let retry_at_ms = (run.started_ms + MIN_START_INTERVAL_MS).max(now_ms + 1);
            run.retry_at_ms = run.awaits_listing_since_ms.is_none().then_some(retry_at_ms);
        } else if run.phase == Phase::Starting {
            self.stop_run(now_ms, link, order);
        }
        self.event("start-unanswered", Some(job), detail);
    }

    /// When one more hedged call of an unanswered start is due.
    pub(crate) fn next_hedge_ms(minion: &Minion, run: &Run) -> Option<u64> {
        let is_open = run.phase == Phase::Starting && run.pending > 0;
        let is_useful = run.hedged_calls < minion.loss.hedged_calls();
        (is_open && is_useful).then_some(run.sent_ms + HEDGE_DELAY_MS)
    }

    /// Sends one more hedged call of each unanswered start that is due.
    pub(crate) fn hedge_starts(&mut self, now_ms: u64) {
        let Some(minion) = &self.minion else {
            return;
        };
        let is_due = |run: &&Run| {
            let due_ms = Self::next_hedge_ms(minion, run);
            due_ms.is_some_and(|due_ms| now_ms >= due_ms)
        };
        let due = self.runs.iter().filter(is_due);
        let due: Vec<(LinkId, OrderId)> = due.map(|run| (run.link, run.order)).collect();
        let can_start = !self.is_evacuated() && self.runs_fit();
        if due.is_empty() || !can_start || !self.can_extend_lease(now_ms) {
            return;
        }
        for (link, order) in due {
            self.send_start(now_ms, link, order);
        }
    }

    /// Sends the unanswered starts again that are due.
    pub(crate) fn retry_starts(&mut self, now_ms: u64) {
        let is_due = |run: &&Run| {
            let is_due = run
                .retry_at_ms
                .is_some_and(|retry_at_ms| now_ms >= retry_at_ms);
            is_due && run.phase == Phase::Starting
        };
        let due = self.runs.iter().filter(is_due);
        let due: Vec<(LinkId, OrderId)> = due.map(|run| (run.link, run.order)).collect();
        if self.is_evacuated() || !self.runs_fit() {
            // The unanswered start may still be carried out, so the run is forbidden.
            for (link, order) in due {
                self.stop_run(now_ms, link, order);
            }
            return;
        }
        if due.is_empty() || !self.can_extend_lease(now_ms) {
            return;
        }
        for (link, order) in due {
            self.start_run(now_ms, link, order);
        }
    }

    /// Ends a run that the minion refused to start.
    pub(crate) fn start_refused(&mut self, link: LinkId, order: OrderId, result: StartResult) {
        let Some(run) = self.runs.remove(link, order) else {
            return;
        };
        let reason = match result {
            StartResult::OldRun => NotStartedReason::OldRun,
            StartResult::NoRoom => NotStartedReason::Full,
            // A refused epoch says nothing about the minion's health.
            StartResult::Fenced => NotStartedReason::Closing,
            _ => NotStartedReason::Unhealthy,
        };
        let end = match run.phase {
            Phase::Stopping { .. } => RunEnd::Stopped,
            _ => RunEnd::NotStarted(reason),
        };
        self.event(
            "start-refused",
            Some(run.key.task.job.clone()),
            format!(
                "task={}.{} run={} by={result:?}",
                run.key.task.step, run.key.task.index, run.key.run
            ),
        );
        self.report_end(link, order, end, 0);
        if result == StartResult::Fenced {
            self.epoch_refused();
        }
    }
}
