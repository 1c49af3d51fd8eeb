//! Callers of stored jobs: each repeats its submission until it is answered, and
//! then queries the state of the job until it has ended.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use gannetvane_dispatch::Ledger;
use gannetvane_dispatch::LedgerAction;
use gannetvane_dispatch::Partition;
use gannetvane_dispatch::RunKey;
use gannetvane_dispatch::Step;
use gannetvane_dispatch::StoredAnswer;
use gannetvane_dispatch::StoredCall;
use gannetvane_dispatch::StoredCaller;
use gannetvane_dispatch::StoredEnd;
use gannetvane_dispatch::StoredJob;
use gannetvane_dispatch::StoredState;
use gannetvane_dispatch::TaskId;

use super::DELAY_MS;
use super::EntryCore;
use super::Event;
use super::Session;
use super::Side;
use super::TASK_RESOURCES;
use super::log::Append;
use super::log::LogCallOutcome;
use super::log::PARTITIONS;
use super::table;

/// Duration of a call to the log, in milliseconds.
const LOG_CALL_MS: u64 = 4;
/// Time after which a call to the log times out, in milliseconds.
const LOG_TIMEOUT_MS: u64 = 500;
/// Time after which a caller's call times out and is repeated, in milliseconds.
const CALLER_TIMEOUT_MS: u64 = 700;
/// Time for which the platform's rules let a former owner of a partition go on while
/// it has not learned of the next owner, in milliseconds.
const FORMER_OWNER_MS: u64 = 3_000;
/// Time between an answer and the caller's next call, in milliseconds.
const CALLER_PAUSE_MS: u64 = 60;

/// State of a stored job at its caller.
#[derive(Clone, Debug)]
pub struct StoredView {
    pub id: String,
    pub tasks: u32,
    work_ms: u64,
    pub is_accepted: bool,
    /// Number of submissions refused with the statement that the job will not run.
    pub refusals: usize,
    is_outcome_unknown: bool,
    pub wants_cancel: bool,
    pub is_cancelled: bool,
    /// Time of the first answer to a cancel, which says that the job is cancelled or
    /// had already ended.
    cancelled_ms: Option<u64>,
    /// Whether the caller submits the job again although it was accepted.
    pub sends_again: bool,
    pub end: Option<StoredEnd>,
    pub ended_ms: Option<u64>,
    next_call_ms: u64,
    pending_call: Option<StoredCaller>,
}

impl Session {
    /// Submits a stored job and queries it until it has ended; returns its position in
    /// `stored`.
    pub fn store(&mut self, id: &str, tasks: u32, work_ms: u64) -> usize {
        self.stored.push(StoredView {
            id: id.to_owned(),
            tasks,
            work_ms,
            is_accepted: false,
            refusals: 0,
            is_outcome_unknown: false,
            wants_cancel: false,
            is_cancelled: false,
            cancelled_ms: None,
            sends_again: false,
            end: None,
            ended_ms: None,
            next_call_ms: self.now_ms,
            pending_call: None,
        });
        for entry in 0..self.entries.len() {
            self.entries[entry].core.ledger.activate(self.now_ms);
            self.entries[entry].due_ms = self.now_ms;
        }
        self.stored.len() - 1
    }

    /// Submits a stored job with these steps; returns its position in `stored`.
    pub fn store_steps(&mut self, id: &str, steps: Vec<Step>) -> usize {
        let tasks = steps.iter().map(|step| step.count).sum();
        self.steps.insert(id.to_owned(), steps);
        self.store(id, tasks, 0)
    }

    /// Sends a cancel of a job to the owner of its partition.
    pub fn cancel_at_owner(&mut self, id: &str) {
        let owner = self
            .owner_of(id)
            .expect("the partition should have an owner");
        self.next_caller += 1;
        let call = StoredCall::Cancel(id.into());
        let event = Event::Stored(StoredCaller(self.next_caller), call);
        self.post(Side::Entry(owner), event);
    }

    /// Makes the caller cancel a job, and repeat that until it is answered.
    pub fn cancel_stored(&mut self, position: usize) {
        self.stored[position].wants_cancel = true;
    }

    /// Runs until the caller knows that a stored job has ended, for at most `for_ms`.
    pub fn run_until_ended(&mut self, position: usize, for_ms: u64) {
        for _ in 0..for_ms {
            if self.stored[position].end.is_some() {
                return;
            }
            self.run(1);
        }
    }

    /// Returns the entry that owns a job's partition according to the log.
    pub fn owner_of(&mut self, id: &str) -> Option<usize> {
        let owner = self.log.owner(self.now_ms, Partition::of(id, PARTITIONS))?;
        let is_owner = |entry: &usize| self.member(*entry) == owner;
        (0..self.entries.len()).find(is_owner)
    }

    fn member(&self, entry: usize) -> String {
        format!("entry-{entry}/{}", self.entries[entry].start_number)
    }

    pub(super) fn run_stored_callers(&mut self) {
        for position in 0..self.stored.len() {
            if self.now_ms >= self.stored[position].next_call_ms {
                self.call_owner(position);
            }
        }
    }

    fn call_owner(&mut self, position: usize) {
        let state = &self.stored[position];
        let has_final_answer = state.end.is_some() || state.refusals > 0 && !state.is_accepted;
        if has_final_answer && !(state.wants_cancel && state.is_accepted && !state.is_cancelled) {
            return;
        }
        let id: Arc<str> = state.id.as_str().into();
        let single = || {
            vec![Step {
                count: state.tasks,
                needs: TASK_RESOURCES,
                declared_ms: state.work_ms,
                ..Step::default()
            }]
        };
        let call = if !state.is_accepted || state.sends_again {
            StoredCall::Submit(StoredJob {
                id: Arc::clone(&id),
                spec: format!("work_ms={}", state.work_ms).into(),
                steps: self.steps.get(&state.id).cloned().unwrap_or_else(single),
                queue: Arc::clone(&table(1).queues[0]),
            })
        } else if state.wants_cancel && !state.is_cancelled {
            StoredCall::Cancel(id.clone())
        } else {
            StoredCall::State(id.clone())
        };
        self.stored[position].next_call_ms = self.now_ms + CALLER_PAUSE_MS;
        let Some(owner) = self.owner_of(&id) else {
            return;
        };
        if !self.entries[owner].is_up(self.now_ms) {
            return;
        }
        self.next_caller += 1;
        let caller = StoredCaller(self.next_caller);
        let state = &mut self.stored[position];
        state.is_outcome_unknown |= matches!(call, StoredCall::Submit(_));
        state.pending_call = Some(caller);
        state.next_call_ms = self.now_ms + CALLER_TIMEOUT_MS;
        self.post(Side::Entry(owner), Event::Stored(caller, call));
    }

    fn stored_answered(&mut self, caller: StoredCaller, answer: StoredAnswer) {
        let now_ms = self.now_ms;
        let waiting = self
            .stored
            .iter_mut()
            .find(|state| state.pending_call == Some(caller));
        let Some(state) = waiting else {
            return;
        };
        state.pending_call = None;
        state.next_call_ms = now_ms + CALLER_PAUSE_MS;
        match answer {
            StoredAnswer::Accepted => {
                state.is_accepted = true;
                state.sends_again = false;
            }
            StoredAnswer::Refused(_) => state.refusals += 1,
            StoredAnswer::Cancelled => {
                state.is_cancelled = true;
                state.cancelled_ms.get_or_insert(now_ms);
            }
            StoredAnswer::State(StoredState::Ended(end)) => {
                state.end = Some(end);
                state.ended_ms = Some(now_ms);
                if end == StoredEnd::Failed {
                    let id = state.id.clone();
                    self.check_failed(&id);
                }
            }
            StoredAnswer::Unknown if state.is_accepted => {
                let what = format!("{now_ms} ms: {} is unknown to its owner", state.id);
                self.violations.lost.push(what);
            }
            _ => {}
        }
    }

    pub(super) fn ledger_action(&mut self, entry: usize, action: LedgerAction) {
        let now_ms = self.now_ms;
        let outcome = (self.log_outcome)(now_ms, entry);
        let member = self.member(entry);
        match action {
            LedgerAction::Join { generation } => {
                let assignment = match outcome {
                    LogCallOutcome::Served => Some(self.log.join(now_ms, &member, generation)),
                    LogCallOutcome::AnswerLost | LogCallOutcome::Delayed(_) => {
                        self.log.join(now_ms, &member, generation);
                        None
                    }
                    LogCallOutcome::Refused | LogCallOutcome::Dropped => None,
                };
                let event = Event::Joined(now_ms, assignment);
                self.answer_log(entry, outcome, event);
            }
            LedgerAction::Leave => self.log.leave(&member),
            LedgerAction::Append {
                partition,
                epoch,
                number,
                expected_end,
                records,
            } => {
                let append = Append {
                    partition,
                    epoch,
                    number,
                    expected_end,
                    records,
                };
                self.append(entry, outcome, &append);
            }
            LedgerAction::Load { partition, load } => {
                let is_served = outcome == LogCallOutcome::Served;
                let records = is_served.then(|| self.log.newest(partition));
                self.answer_log(entry, outcome, Event::Loaded(partition, load, records));
            }
            LedgerAction::Answer(caller, answer) => self.stored_answered(caller, answer),
            LedgerAction::Event(event) => self.trace(&format!("entry {entry} {event:?}")),
        }
    }

    fn append(&mut self, entry: usize, outcome: LogCallOutcome, append: &Append) {
        use gannetvane_dispatch::AppendResult;
        let result = match outcome {
            LogCallOutcome::Served => self.log.append(append),
            LogCallOutcome::Refused => AppendResult::Refused,
            LogCallOutcome::Dropped => AppendResult::NoAnswer,
            LogCallOutcome::AnswerLost => {
                self.log.append(append);
                AppendResult::NoAnswer
            }
            LogCallOutcome::Delayed(delay_ms) => {
                self.log
                    .append_delayed(self.now_ms + delay_ms, append.clone());
                AppendResult::NoAnswer
            }
        };
        let event = Event::Appended(append.partition, append.epoch, append.number, result);
        self.answer_log(entry, outcome, event);
    }

    fn answer_log(&mut self, entry: usize, outcome: LogCallOutcome, event: Event) {
        let delay_ms = match outcome {
            LogCallOutcome::Served | LogCallOutcome::Refused => LOG_CALL_MS + DELAY_MS,
            _ => LOG_TIMEOUT_MS,
        };
        self.post_at(self.now_ms + delay_ms, Side::Entry(entry), event);
    }

    /// Returns the number of jobs of the usual queue that have not begun, as an entry counts
    /// them in its partitions.
    pub fn pending(&mut self, entry: usize) -> u32 {
        let caller = StoredCaller(u64::MAX);
        let call = StoredCall::Pending("slot-check".into());
        let now_ms = self.now_ms;
        let EntryCore { dispatcher, ledger } = &mut self.entries[entry].core;
        ledger.call(now_ms, caller, call, dispatcher);
        let mut pending = 0;
        for action in ledger.take_actions() {
            match action {
                LedgerAction::Answer(answered, StoredAnswer::Pending { jobs, .. })
                    if answered == caller =>
                {
                    pending = jobs;
                }
                action => self.ledger_action(entry, action),
            }
        }
        pending
    }

    pub fn ledger(&mut self, entry: usize) -> &mut Ledger {
        &mut self.entries[entry].core.ledger
    }

    /// Checks the invariants of stored jobs after recovery: no job is lost, at most one
    /// end of each task counts, and no task started after an end that counts or too long
    /// after its job was cancelled.
    pub fn check_stored(&mut self) {
        let mut counted: BTreeMap<TaskId, (RunKey, u64)> = BTreeMap::new();
        for minion in self.ended_minions.iter().chain(&self.minions) {
            for (key, ended_ms) in &minion.counted_ends {
                if let Some((other, _)) = counted.get(&key.task) {
                    let what = format!("the ends of {key:?} and {other:?} both count");
                    self.violations.duplicates.push(what);
                }
                counted.insert(key.task.clone(), (key.clone(), *ended_ms));
            }
        }
        for minion in self.ended_minions.iter().chain(&self.minions) {
            for (key, started_ms) in &minion.stored_starts {
                let end = counted.get(&key.task);
                if let Some((done, ended_ms)) = end.filter(|(_, ended_ms)| started_ms > ended_ms) {
                    let what = format!(
                        "{key:?} started at {started_ms} ms after {done:?} ended at {ended_ms} ms"
                    );
                    self.violations.duplicates.push(what);
                }
            }
        }
        let minions = self.ended_minions.iter().chain(&self.minions);
        let done = minions.clone().flat_map(|minion| &minion.done);
        let done: BTreeSet<&TaskId> = done.map(|key| &key.task).collect();
        for state in &self.stored {
            let of_job = done.iter().filter(|task| *task.job == *state.id).count();
            let is_whole = of_job == state.tasks as usize;
            if state.end == Some(StoredEnd::Completed) && !is_whole {
                let what = format!("{}: {of_job} of {} tasks done", state.id, state.tasks);
                self.violations.lost.push(what);
            }
            let starts = minions.clone().flat_map(|minion| {
                let in_time = |(key, _): &&(RunKey, u64)| !minion.delayed_starts.contains(key);
                minion.stored_starts.iter().filter(in_time)
            });
            let mut of_job = starts.filter(|(key, _)| *key.task.job == *state.id);
            let is_after_cancel = |at_ms: u64| {
                state
                    .cancelled_ms
                    .is_some_and(|ms| at_ms > ms + FORMER_OWNER_MS)
            };
            if let Some((key, at_ms)) = of_job.find(|(_, at_ms)| is_after_cancel(*at_ms)) {
                let what = format!(
                    "{key:?} started at {at_ms} ms, cancelled at {:?}",
                    state.cancelled_ms
                );
                self.violations.duplicates.push(what);
            }
            if state.is_accepted && state.end.is_none() {
                self.violations
                    .lost
                    .push(format!("{} has not ended", state.id));
            }
        }
    }
}
