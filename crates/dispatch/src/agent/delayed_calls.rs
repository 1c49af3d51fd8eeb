//! Starts that may still be carried out although they got no answer.
//!
//! An unanswered start may be carried out seconds later. A minion that restarts with
//! the same id has no record of the runs and the epoch of its former incarnation. While
//! its agent is suspended, that minion may run a task that is active elsewhere, or again
//! a task whose end was already acknowledged, or it may carry out an unanswered
//! acknowledgement, and an end counts that nobody has seen. So the agent reports such
//! starts to its entries, which start the tasks again only after that time, and
//! acknowledges no end until no start of a stored task can be carried out any more.

use std::collections::BTreeMap;

use gannetvane_wire::Name;

use crate::Agent;
use crate::DelayedStart;
use crate::Incarnation;
use crate::LinkId;
use crate::OrderId;
use crate::RunKey;
use crate::StartResult;
use crate::TaskId;
use crate::agent::minion::Minion;
use crate::agent::run_table::Run;
use crate::lease::MAX_CALL_DELAY_MS;
use crate::lease::max_uncontrolled_ms;
use crate::minion_calls::CallOutcome;
use crate::stored::RUNS_PER_EPOCH;

/// Time by which a delayed start is reported to last longer than known, in milliseconds,
/// so that further unanswered calls of the same start need no report.
const REPORT_MARGIN_MS: u64 = 500;

/// The starts that one agent sent and that may still be carried out.
#[derive(Debug, Default)]
pub(crate) struct DelayedCalls {
    /// Id of the minion that the starts were sent to. No other minion carries them out.
    minion_id: Option<Name>,
    /// Number of pending start calls of each run.
    pending: BTreeMap<RunKey, u32>,
    /// Runs with an unanswered start, each with the time until which that start may be
    /// carried out.
    unanswered: BTreeMap<RunKey, u64>,
    /// Those of them of which a start timed out. The others ended with their connection,
    /// which broke as the minion crashed, and no later incarnation gets them.
    timed_out: BTreeMap<RunKey, u64>,
    /// Tasks whose delayed starts were reported to the entries, each with the time until
    /// which a start may be carried out according to the report.
    reported: BTreeMap<TaskId, u64>,
    /// Time until which starts of an earlier agent may be carried out; 0 before a
    /// minion with a start time is served.
    inherited_until_ms: u64,
    /// Whether a call of this agent got no answer. Only then does the agent assume that
    /// calls of an earlier agent are unanswered as well.
    has_unanswered_calls: bool,
}

impl DelayedCalls {
    /// Records that the agent serves a minion which an earlier agent may have served.
    pub(crate) fn inherit(&mut self, now_ms: u64) {
        if self.inherited_until_ms == 0 {
            self.inherited_until_ms = now_ms + MAX_CALL_DELAY_MS;
        }
    }

    /// Records that a start is sent, if the minion may keep its id.
    pub(crate) fn start_sent(&mut self, incarnation: &Incarnation, key: &RunKey) {
        if incarnation.started_unix_ms().is_some() {
            *self.pending.entry(key.clone()).or_default() += 1;
        }
    }

    /// Records that a start was answered or timed out.
    pub(crate) fn start_ended(&mut self, now_ms: u64, key: &RunKey, is_answered: bool) {
        let Some(pending) = self.pending.get_mut(key) else {
            return;
        };
        *pending -= 1;
        if *pending == 0 {
            self.pending.remove(key);
        }
        if !is_answered {
            self.unanswered
                .insert(key.clone(), now_ms + MAX_CALL_DELAY_MS);
        }
    }

    /// Records that a start timed out.
    fn start_timed_out(&mut self, now_ms: u64, key: &RunKey) {
        self.timed_out
            .insert(key.clone(), now_ms + MAX_CALL_DELAY_MS);
    }

    /// Records that some call got no answer. Calls of an earlier agent may then be
    /// unanswered as well.
    pub(crate) fn call_unanswered(&mut self) {
        self.has_unanswered_calls = true;
    }

    /// Time until which a delayed start of a stored task may be carried out, if there can
    /// be one.
    pub(crate) fn possible_until_ms(&self, now_ms: u64) -> Option<u64> {
        let is_stored = |key: &RunKey| key.run >= RUNS_PER_EPOCH;
        let inherited = self.has_unanswered_calls.then_some(self.inherited_until_ms);
        let has_pending = self.pending.keys().any(is_stored);
        let pending = has_pending.then_some(now_ms + 1);
        let unanswered = self.unanswered.iter().filter(|(key, _)| is_stored(key));
        let unanswered = unanswered.map(|(_, until_ms)| *until_ms);
        let until_ms = unanswered.chain(inherited).chain(pending).max();
        until_ms.filter(|until_ms| now_ms < *until_ms)
    }

    /// Whether a start call is pending.
    pub(crate) fn has_pending(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Time until which a start of the task may be carried out, if one may: for pending
    /// calls as if they had been sent just now.
    fn task_until_ms(&self, now_ms: u64, task: &TaskId) -> Option<u64> {
        let first = RunKey {
            task: task.clone(),
            run: 0,
        };
        let last = RunKey {
            task: task.clone(),
            run: u32::MAX,
        };
        let mut pending = self.pending.range(&first..=&last);
        let pending = pending.next().map(|_| now_ms + MAX_CALL_DELAY_MS);
        let timed_out = self.timed_out.range(&first..=&last);
        let timed_out = timed_out.map(|(_, until_ms)| *until_ms);
        timed_out.chain(pending).max()
    }

    /// Whether the runs of the task that may be started are those of a stored job.
    fn is_stored(&self, task: &TaskId) -> bool {
        let first_stored = RunKey {
            task: task.clone(),
            run: RUNS_PER_EPOCH,
        };
        let pending = self.pending.range(&first_stored..);
        let timed_out = self.timed_out.range(&first_stored..);
        let first_keys = [
            pending.map(|(key, _)| key).next(),
            timed_out.map(|(key, _)| key).next(),
        ];
        first_keys
            .into_iter()
            .flatten()
            .any(|key| key.task == *task)
    }

    /// Tasks of which a start may still be carried out.
    fn tasks(&self) -> Vec<TaskId> {
        let keys = self.pending.keys().chain(self.timed_out.keys());
        let mut tasks: Vec<TaskId> = keys.map(|key| key.task.clone()).collect();
        tasks.sort_unstable();
        tasks.dedup();
        tasks
    }

    /// Time until which a start of the task may be carried out, if this must be reported.
    /// The time is 0 if an earlier report does not hold any more.
    fn take_report_ms(&mut self, now_ms: u64, task: &TaskId) -> Option<u64> {
        let until_ms = self.task_until_ms(now_ms, task);
        let reported_ms = self.reported.get(task).copied();
        match (until_ms, reported_ms) {
            (None, Some(_)) => {
                self.reported.remove(task);
                Some(0)
            }
            (Some(until_ms), reported_ms) if reported_ms.is_none_or(|ms| ms < until_ms) => {
                let until_ms = until_ms + REPORT_MARGIN_MS;
                self.reported.insert(task.clone(), until_ms);
                Some(until_ms)
            }
            _ => None,
        }
    }

    /// Forgets the starts that cannot be carried out any more.
    pub(crate) fn expire(&mut self, now_ms: u64) {
        self.unanswered.retain(|_, until_ms| now_ms < *until_ms);
        self.timed_out.retain(|_, until_ms| now_ms < *until_ms);
        self.reported.retain(|_, until_ms| now_ms < *until_ms);
    }
}

impl Agent {
    /// Handles the id of the minion that is served from now on. A minion with another id
    /// than before refuses the starts that were sent before.
    pub(crate) fn minion_id_reported(&mut self, now_ms: u64, id: &Name) {
        let former = self.delayed_calls.minion_id.replace(id.clone());
        if former.is_none_or(|former| former == *id) {
            return;
        }
        let tasks = self.delayed_calls.tasks();
        self.lease_calls.clear();
        self.delayed_calls.unanswered.clear();
        self.delayed_calls.timed_out.clear();
        for task in tasks {
            self.report_delayed_start(now_ms, &task);
        }
    }

    /// Removes a run. If a start of it is pending, that start may be carried out later.
    pub(crate) fn remove_run(&mut self, now_ms: u64, link: LinkId, order: OrderId) -> Option<Run> {
        let run = self.runs.remove(link, order)?;
        if run.pending > 0 {
            self.report_delayed_start(now_ms, &run.key.task);
        }
        Some(run)
    }

    /// Handles the answer to a start, or its timeout, for the reports about delayed starts.
    pub(crate) fn delayed_call_ended(
        &mut self,
        now_ms: u64,
        incarnation: &Incarnation,
        key: &RunKey,
        result: StartResult,
    ) {
        let is_answered = result.call_outcome() != CallOutcome::Unanswered;
        let served_id = self.delayed_calls.minion_id.as_ref();
        let is_void = served_id.is_some_and(|id| id != incarnation.id());
        self.delayed_calls
            .start_ended(now_ms, key, is_answered || is_void);
        let may_keep_id = incarnation.started_unix_ms().is_some();
        if may_keep_id && !is_void {
            self.lease_calls.start_ended(now_ms, result);
        }
        if result == StartResult::NoAnswer && may_keep_id && !is_void {
            self.delayed_calls.start_timed_out(now_ms, key);
        }
        if !is_answered || self.delayed_calls.reported.contains_key(&key.task) {
            self.report_delayed_start(now_ms, &key.task);
        }
    }

    /// Reports to all entries until when a start of the task may be carried out, if they do
    /// not know it.
    fn report_delayed_start(&mut self, now_ms: u64, task: &TaskId) {
        if let Some(until_ms) = self.delayed_calls.take_report_ms(now_ms, task) {
            let start = self.delayed_start(now_ms, task.clone(), until_ms);
            let detail = format!(
                "task={}.{} remaining_ms={}",
                task.step, task.index, start.remaining_ms
            );
            self.event("start-delayed", Some(task.job.clone()), detail);
            self.tell_delayed_start(&start);
        }
    }

    /// All starts that may still be carried out, for an entry that is greeted.
    pub(crate) fn known_delayed_starts(&self, now_ms: u64) -> Vec<DelayedStart> {
        let tasks = self.delayed_calls.tasks().into_iter();
        let starts = tasks.filter_map(|task| {
            let until_ms = self.delayed_calls.task_until_ms(now_ms, &task)?;
            Some(self.delayed_start(now_ms, task, until_ms + REPORT_MARGIN_MS))
        });
        starts.collect()
    }

    fn delayed_start(&self, now_ms: u64, task: TaskId, until_ms: u64) -> DelayedStart {
        let remaining_ms = match until_ms.saturating_sub(now_ms) {
            0 => 0,
            delay_ms => delay_ms + max_uncontrolled_ms(self.max_lease_ms),
        };
        DelayedStart {
            is_stored: self.delayed_calls.is_stored(&task),
            task,
            agent: self.identity.node,
            remaining_ms,
        }
    }

    /// Time after a start was sent at which nothing of it can be left, in milliseconds; 0 if
    /// the minion never keeps its id.
    pub(crate) fn max_start_delay_ms(&self) -> u64 {
        let incarnation = self.minion.as_ref().map(Minion::incarnation);
        let may_keep_id =
            incarnation.is_some_and(|incarnation| incarnation.started_unix_ms().is_some());
        match may_keep_id {
            true => MAX_CALL_DELAY_MS + max_uncontrolled_ms(self.max_lease_ms),
            false => 0,
        }
    }
}
