//! The jobs of an entry and the state of their tasks.

use std::collections::BTreeMap;
use std::sync::Arc;

use gannetvane_wire::Name;

use crate::CallerId;
use crate::Crash;
use crate::CrashEvidence;
use crate::Job;
use crate::JobOutcome;
use crate::OrderId;
use crate::RunKey;
use crate::Step;
use crate::TaskId;
use crate::dispatcher::estimate::Estimates;
use crate::ledger::partition::OwnedJob;
use crate::policy::WaitingJob;
use crate::stored::RUNS_PER_EPOCH;

/// Time that messages between caller, entry and minion take, in milliseconds.
/// It is subtracted from the objective, since tasks cannot use this part of it.
const TRANSIT_MS: f64 = 10.0;
/// A job is of no use after this many times its objective.
const GIVE_UP_FACTOR: f64 = 3.0;

/// Largest number of hosts that a task avoids. A larger number would leave no
/// host on a small site.
const MAX_AVOIDED_HOSTS: usize = 3;

/// Time for which a task waits for resources of other hosts before it starts on
/// one that it avoids, in milliseconds: those that run sub-second tasks have had
/// free resources by then.
const AVOIDANCE_MS: u64 = 1_000;

/// Crash weight at which a task is given up, since each crash ends all runs on
/// a minion and makes it unavailable for seconds. It is reached by two crashes with
/// strong evidence, or by four crashes at most. Weak evidence beside one strong
/// crash is not enough: a minion may crash for another cause under a healthy
/// task.
pub(crate) const MAX_CRASH_WEIGHT: u32 = 4;
/// Crash weight at which a stored task is given up. It may exist for longer, so
/// that more minions may crash for other causes under it. It is reached by three
/// crashes, or by five at most.
pub(crate) const MAX_STORED_CRASH_WEIGHT: u32 = 5;

/// Phase of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TaskPhase {
    /// Steps that it depends on are not done.
    Blocked,
    /// It waits to be ordered.
    Waiting,
    /// It is ordered, and its run has not ended.
    Ordered(OrderId),
    /// Its run may go on until `until_ms`, because the connection to its agent
    /// broke, or may still be started until then by a delayed call.
    Orphaned {
        /// Time from which no run of the task is left, whatever happened, in
        /// milliseconds.
        until_ms: u64,
    },
    /// Its last run may have ended without the entry learning of it. The task
    /// is started again once the log records that such an end must not count.
    AwaitingLossRecord,
    /// A minion crashed under its last run. The task is started again once the
    /// log records the crash.
    AwaitingCrashRecord,
    /// Its work is done.
    Done,
}

/// State of one task.
#[derive(Clone, Debug)]
pub(crate) struct TaskState {
    /// Index of its step in the job.
    pub(crate) step: usize,
    /// Number of the task in its step.
    pub(crate) index: u32,
    pub(crate) phase: TaskPhase,
    /// Number of the last run. Before the first run it is 0, or a multiple of
    /// [`RUNS_PER_EPOCH`] if the job is stored.
    pub(crate) run: u32,
    /// Number of runs that failed.
    pub(crate) failures: u32,
    /// Evidence of the minion crashes under the task, by the number of the
    /// crash.
    pub(crate) crashes: BTreeMap<u64, CrashEvidence>,
    /// Age of its run at the last crash that was reported here, in milliseconds.
    pub(crate) crashed_after_ms: Option<u32>,
    /// Number of crashes that the log does not contain yet.
    unrecorded_crashes: u32,
    /// Number of times that the task was moved because its host was slow.
    pub(crate) moves: u32,
    /// Hosts that the task avoids: it failed or hung there, or calls were
    /// unanswered.
    pub(crate) avoided_hosts: Vec<Name>,
    /// Time until which it rather waits than starts on one of these hosts, in
    /// milliseconds.
    pub(crate) avoids_until_ms: u64,
    /// Host of the last order.
    pub(crate) host: Option<Name>,
}

impl TaskState {
    /// Returns the weight of the evidence that the task crashes its minions.
    pub(crate) fn crash_weight(&self) -> u32 {
        CrashEvidence::weight(self.crashes.values().copied())
    }

    /// Makes the task wait until a crash is recorded in the log.
    pub(crate) fn await_crash_record(&mut self) {
        self.unrecorded_crashes += 1;
        if self.phase == TaskPhase::Waiting {
            self.phase = TaskPhase::AwaitingCrashRecord;
        }
    }

    /// Notes that a crash is recorded in the log.
    pub(crate) fn crash_recorded(&mut self) {
        self.unrecorded_crashes = self.unrecorded_crashes.saturating_sub(1);
        if self.phase == TaskPhase::AwaitingCrashRecord {
            self.set_waiting();
        }
    }

    /// Makes the task ready to be ordered, or makes it wait until all its
    /// crashes are recorded in the log.
    pub(crate) fn set_waiting(&mut self) {
        self.phase = match self.unrecorded_crashes {
            0 => TaskPhase::Waiting,
            _ => TaskPhase::AwaitingCrashRecord,
        };
    }

    /// Adds a host to those that the task avoids, of which only the last few
    /// are kept.
    pub(crate) fn avoid(&mut self, now_ms: u64, host: &Name) {
        self.avoids_until_ms = now_ms + AVOIDANCE_MS;
        self.avoided_hosts.retain(|other| other != host);
        self.avoided_hosts.push(host.clone());
        if self.avoided_hosts.len() > MAX_AVOIDED_HOSTS {
            self.avoided_hosts.remove(0);
        }
    }
}

/// State of one job.
#[derive(Debug)]
pub(crate) struct JobState {
    pub(crate) job: Arc<Job>,
    /// Callers that wait for the outcome.
    pub(crate) callers: Vec<CallerId>,
    pub(crate) received_ms: u64,
    /// Time at which a task of the job was last ordered or ended, or else of its
    /// receipt, in milliseconds.
    pub(crate) changed_ms: u64,
    path_lengths: PathLengths,
    /// Time by which the job should be complete, in milliseconds.
    pub(crate) objective_ms: u64,
    /// Time from which the job is of no use any more, in milliseconds.
    pub(crate) give_up_at_ms: u64,
    /// Longest time by which a task exceeds its expected run time, in
    /// milliseconds.
    excess_ms: f64,
    pub(crate) tasks: Vec<TaskState>,
    /// Whether a minion may have run some of the job.
    pub(crate) may_have_run: bool,
    /// Outcome of the job once it has ended; its runs may still have to stop.
    pub(crate) outcome: Option<JobOutcome>,
    /// Submission with the same id that waits until this job is removed: its
    /// caller, the job, and the time of its receipt in milliseconds.
    pub(crate) next_submission: Option<(CallerId, Job, u64)>,
    /// Time of the first start order, in milliseconds.
    pub(crate) first_start_ms: Option<u64>,
    /// Time until which the last probes for its tasks count, in milliseconds.
    pub(crate) probed_until_ms: u64,
    /// Host, run and duration of the task that completed last, as log details.
    pub(crate) last_end_detail: String,
    /// Whether the job is kept in the job log: it has no callers, is never
    /// given up, and the ends of its runs are recorded.
    pub(crate) is_stored: bool,
    /// Whether an agent reported that its minion has run some of the job.
    pub(crate) was_seen_running: bool,
    /// Whether no more tasks of the job are started here.
    pub(crate) is_paused: bool,
}

impl JobState {
    /// Returns a job whose caller waits.
    pub(crate) fn new(now_ms: u64, caller: CallerId, job: Job, estimates: &Estimates) -> Self {
        let mut state = Self::without_caller(now_ms, job, estimates);
        state.callers.push(caller);
        state
    }

    /// Returns a stored job for the owner with this epoch; `known` says what is
    /// already done.
    pub(crate) fn stored(
        now_ms: u64,
        job: Job,
        epoch: u32,
        known: &OwnedJob,
        estimates: &Estimates,
    ) -> Self {
        let mut state = Self::without_caller(now_ms, job, estimates);
        state.is_stored = true;
        state.give_up_at_ms = u64::MAX;
        for (position, task) in (0_u32..).zip(&mut state.tasks) {
            task.run = epoch.saturating_mul(RUNS_PER_EPOCH);
            task.failures = known.progress.failures(position);
            task.crashes = known.crashes.get(&position).cloned().unwrap_or_default();
            if known.progress.done.contains_key(&position) {
                task.phase = TaskPhase::Done;
            }
        }
        state.unblock();
        state
    }

    /// Returns a job without callers that is received at `now_ms`.
    fn without_caller(now_ms: u64, job: Job, estimates: &Estimates) -> Self {
        let path_lengths = PathLengths::new(now_ms, &job, estimates);
        let times = JobTimes::new(&job, path_lengths.longest_ms());
        let tasks = job.steps.iter().enumerate().flat_map(|(number, step)| {
            let phase = if step.after.is_empty() {
                TaskPhase::Waiting
            } else {
                TaskPhase::Blocked
            };
            (0..step.count).map(move |index| TaskState {
                step: number,
                index,
                phase,
                run: 0,
                failures: 0,
                crashes: BTreeMap::new(),
                crashed_after_ms: None,
                unrecorded_crashes: 0,
                moves: 0,
                avoided_hosts: Vec::new(),
                avoids_until_ms: 0,
                host: None,
            })
        });
        Self {
            tasks: tasks.collect(),
            job: Arc::new(job),
            callers: Vec::new(),
            received_ms: now_ms,
            changed_ms: now_ms,
            path_lengths,
            objective_ms: now_ms.saturating_add(times.objective_ms),
            give_up_at_ms: now_ms.saturating_add(times.give_up_after_ms),
            excess_ms: 0.0,
            may_have_run: false,
            outcome: None,
            next_submission: None,
            first_start_ms: None,
            probed_until_ms: 0,
            last_end_detail: String::new(),
            is_stored: false,
            was_seen_running: false,
            is_paused: false,
        }
    }

    /// Extends the objective and the time allowed for the job after a task of a
    /// step turned out to need `work_ms` on a minion of ordinary speed.
    ///
    /// If the task needs longer than expected, the critical path and the time
    /// that the job may take become longer by the same amount. Under the first
    /// estimate, the few tasks that take many times as long as declared would be
    /// given up in the middle of their work, while their callers still wait.
    pub(crate) fn extend_times(&mut self, step: usize, work_ms: f64, estimates: &Estimates) {
        let declared_ms = self.job.steps[step].declared_ms;
        let expected_ms = estimates.expected_ms(&self.job.queue.name, declared_ms);
        let excess_ms = work_ms - expected_ms;
        if excess_ms <= self.excess_ms || self.is_stored {
            return;
        }
        self.excess_ms = excess_ms;
        let computed_ms = self.path_lengths.computed_ms;
        self.path_lengths = PathLengths::new(computed_ms, &self.job, estimates);
        let critical_path_ms = self.path_lengths.longest_ms() + excess_ms;
        let times = JobTimes::new(&self.job, critical_path_ms);
        let received_ms = self.received_ms;
        self.objective_ms = self.objective_ms.max(received_ms + times.objective_ms);
        self.give_up_at_ms = self.give_up_at_ms.max(received_ms + times.give_up_after_ms);
    }

    /// Returns whether the job has no outcome yet.
    pub(crate) fn is_open(&self) -> bool {
        self.outcome.is_none()
    }

    /// Counts a crash against its task; returns the index of the task if the
    /// crash was new.
    pub(crate) fn record_crash(&mut self, crash: &Crash) -> Option<usize> {
        let is_crashed_task = |task: &TaskState| {
            u32::try_from(task.step).is_ok_and(|step| step == crash.task.step)
                && task.index == crash.task.index
        };
        let position = self.tasks.iter().position(is_crashed_task)?;
        let known = self.tasks[position]
            .crashes
            .insert(crash.number, crash.evidence);
        known.is_none().then_some(position)
    }

    /// Returns whether so many minions crashed under a task that it is given
    /// up.
    pub(crate) fn crashes_minions(&self) -> bool {
        let limit = self.max_crash_weight();
        self.tasks.iter().any(|task| task.crash_weight() >= limit)
    }

    /// Returns whether all tasks are done.
    pub(crate) fn is_done(&self) -> bool {
        self.tasks.iter().all(|task| task.phase == TaskPhase::Done)
    }

    /// Returns whether no run of the job can be left.
    pub(crate) fn has_no_runs(&self) -> bool {
        !self.tasks.iter().any(|task| {
            matches!(
                task.phase,
                TaskPhase::Ordered(_) | TaskPhase::Orphaned { .. }
            )
        })
    }

    /// Returns whether nothing of the job has run or may be running.
    pub(crate) fn has_never_run(&self) -> bool {
        !self.may_have_run && self.has_no_runs()
    }

    /// Returns whether some task waits to be ordered.
    pub(crate) fn has_waiting(&self) -> bool {
        let mut tasks = self.tasks.iter();
        !self.is_paused && tasks.any(|task| task.phase == TaskPhase::Waiting)
    }

    /// Returns the indexes of the steps that have tasks waiting to be ordered.
    pub(crate) fn waiting_steps(&self) -> impl Iterator<Item = usize> {
        let waiting = self
            .tasks
            .iter()
            .filter(|task| task.phase == TaskPhase::Waiting);
        let mut last = None;
        waiting
            .map(|task| task.step)
            .filter(move |step| last.replace(*step) != Some(*step))
    }

    /// Returns the number of tasks that wait to be ordered.
    pub(crate) fn waiting_tasks(&self) -> u32 {
        let tasks = self.tasks.iter();
        let waiting = tasks.filter(|task| task.phase == TaskPhase::Waiting);
        u32::try_from(waiting.count()).unwrap_or(u32::MAX)
    }

    /// Returns the orders of the tasks that are ordered.
    pub(crate) fn orders(&self) -> Vec<OrderId> {
        let order = |task: &TaskState| match task.phase {
            TaskPhase::Ordered(order) => Some(order),
            _ => None,
        };
        self.tasks.iter().filter_map(order).collect()
    }

    /// Returns the id of the task at an index.
    pub(crate) fn task_id(&self, position: usize) -> TaskId {
        let task = &self.tasks[position];
        TaskId {
            job: self.job.id.clone(),
            step: u32::try_from(task.step).unwrap_or(u32::MAX),
            index: task.index,
        }
    }

    /// Returns the key of the last run of the task at an index.
    pub(crate) fn run_key(&self, position: usize) -> RunKey {
        RunKey {
            task: self.task_id(position),
            run: self.tasks[position].run,
        }
    }

    /// Makes the blocked tasks ready whose earlier steps are done.
    pub(crate) fn unblock(&mut self) {
        let mut done = vec![true; self.job.steps.len()];
        let not_done = self
            .tasks
            .iter()
            .filter(|task| task.phase != TaskPhase::Done);
        for task in not_done {
            done[task.step] = false;
        }
        for task in &mut self.tasks {
            let after = &self.job.steps[task.step].after;
            let is_ready = after.iter().all(|step| done[*step as usize]);
            if task.phase == TaskPhase::Blocked && is_ready {
                task.phase = TaskPhase::Waiting;
            }
        }
    }

    /// Returns the step of the first waiting task, or 0 if none waits.
    pub(crate) fn next_step(&self) -> usize {
        let waiting = |task: &&TaskState| task.phase == TaskPhase::Waiting;
        self.tasks.iter().find(waiting).map_or(0, |task| task.step)
    }

    /// Returns the work of the waiting tasks: expected run time in milliseconds
    /// times thousandths of a core.
    pub(crate) fn waiting_work(&self, estimates: &Estimates) -> f64 {
        self.waiting_work_of(estimates, |_| true)
    }

    /// Returns the work of the waiting tasks in the steps that `is_counted`
    /// selects.
    pub(crate) fn waiting_work_of(
        &self,
        estimates: &Estimates,
        mut is_counted: impl FnMut(&Step) -> bool,
    ) -> f64 {
        let mut counts = vec![0_u32; self.job.steps.len()];
        let waiting = |task: &&TaskState| task.phase == TaskPhase::Waiting;
        for task in self.tasks.iter().filter(waiting) {
            counts[task.step] += 1;
        }
        let steps = self.job.steps.iter().zip(counts);
        let steps = steps.filter(|(step, count)| *count > 0 && is_counted(step));
        let work = steps.map(|(step, count)| {
            let expected_ms = estimates.expected_ms(&self.job.queue.name, step.declared_ms);
            expected_ms * f64::from(step.needs.cpu_milli) * f64::from(count)
        });
        work.sum()
    }

    /// Returns what the waiting tasks need together, in thousandths of a core.
    pub(crate) fn waiting_milli(&self) -> f64 {
        let waiting = |task: &&TaskState| task.phase == TaskPhase::Waiting;
        let waiting = self.tasks.iter().filter(waiting);
        let needs = waiting.map(|task| self.job.steps[task.step].needs.cpu_milli);
        needs.map(f64::from).sum()
    }

    /// Returns the view of the job on which the policy decides.
    pub(crate) fn waiting(&self, estimates: &Estimates) -> WaitingJob {
        WaitingJob {
            objective_ms: self.objective_ms,
            remaining_ms: self.path_length_ms(self.next_step(), estimates),
            has_started: self.first_start_ms.is_some(),
        }
    }

    /// Returns the time by which a task of the step must start for the job to
    /// meet its objective, in milliseconds.
    pub(crate) fn latest_start_ms(&self, step: usize, estimates: &Estimates) -> i64 {
        let remaining_ms = self.path_length_ms(step, estimates);
        self.objective_ms.cast_signed() - remaining_ms as i64
    }
}

/// Durations that a job may take from its receipt, in milliseconds.
struct JobTimes {
    /// Duration within which the job should be complete.
    objective_ms: u64,
    /// Duration after which the job is of no use.
    give_up_after_ms: u64,
}

impl JobTimes {
    fn new(job: &Job, critical_path_ms: f64) -> Self {
        let objective_ms =
            job.queue.stretch * critical_path_ms + job.queue.target_latency_ms as f64;
        let give_up_ms = (objective_ms * GIVE_UP_FACTOR - TRANSIT_MS).max(1.0) as u64;
        Self {
            objective_ms: (objective_ms - TRANSIT_MS).max(1.0) as u64,
            give_up_after_ms: give_up_ms.min(job.wait_ms.max(1)),
        }
    }
}

/// Largest number of steps of a job whose path lengths are computed whenever they
/// are needed.
const MAX_FRESH_STEPS: usize = 8;
/// Age from which the path lengths of a job with more steps are computed anew when
/// one of its tasks ends, in milliseconds. Estimates change within seconds.
const MAX_PATH_AGE_MS: u64 = 1_000;

/// For each step of a job, the expected time from its start to the end of all
/// steps that depend on it.
#[derive(Debug)]
struct PathLengths {
    by_step_ms: Vec<f64>,
    computed_ms: u64,
}

impl PathLengths {
    /// Computes the lengths in a time that grows with the number of dependencies.
    fn new(now_ms: u64, job: &Job, estimates: &Estimates) -> Self {
        let mut by_step_ms = vec![0.0_f64; job.steps.len()];
        for (number, step) in job.steps.iter().enumerate().rev() {
            by_step_ms[number] += estimates.expected_ms(&job.queue.name, step.declared_ms);
            let length_ms = by_step_ms[number];
            for earlier in step.after.iter().map(|earlier| *earlier as usize) {
                if let Some(after_ms) = by_step_ms[..number].get_mut(earlier) {
                    *after_ms = after_ms.max(length_ms);
                }
            }
        }
        Self {
            by_step_ms,
            computed_ms: now_ms,
        }
    }

    /// Returns the longest chain of expected run times, in milliseconds.
    fn longest_ms(&self) -> f64 {
        self.by_step_ms.iter().copied().fold(0.0, f64::max)
    }

    fn of_step_ms(&self, step: usize) -> f64 {
        self.by_step_ms.get(step).copied().unwrap_or(0.0)
    }
}

impl JobState {
    /// Returns the expected time from the start of a step to the end of all steps
    /// that depend on it, in milliseconds.
    fn path_length_ms(&self, step: usize, estimates: &Estimates) -> f64 {
        match self.job.steps.len() {
            0..=MAX_FRESH_STEPS => {
                PathLengths::new(self.received_ms, &self.job, estimates).of_step_ms(step)
            }
            _ => self.path_lengths.of_step_ms(step),
        }
    }

    /// Computes the path lengths anew from the present estimates if they are old.
    pub(crate) fn refresh_path_lengths(&mut self, now_ms: u64, estimates: &Estimates) {
        if now_ms >= self.path_lengths.computed_ms + MAX_PATH_AGE_MS {
            self.path_lengths = PathLengths::new(now_ms, &self.job, estimates);
        }
    }
}
