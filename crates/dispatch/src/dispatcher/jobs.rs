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
use crate::TaskId;
use crate::dispatcher::estimate::Estimates;
use crate::ledger::partition::OwnedJob;
use crate::policy::WaitingJob;
use crate::stored::RUNS_PER_EPOCH;

/// Time that messages between caller, entry and minion take, in
/// milliseconds; part of the objective that cannot be used.
const TRANSIT_MS: f64 = 10.0;
/// A job is of no use after this many times its objective.
const GIVE_UP_FACTOR: f64 = 3.0;

/// Hosts that a task keeps away from; more would leave none on a small site.
const MAX_AVOIDED_HOSTS: usize = 3;

/// Weight of the signs with which a task is given up, since each such minion is gone for
/// seconds with all that ran there: two sure crashes, or four at most. A weak sign beside
/// a sure one is not enough: a sound task may meet a crash of another cause.
const MAX_CRASH_WEIGHT: u32 = 4;
/// The same for a stored task, which may meet such crashes in a longer time: three
/// crashes, and five at most.
const MAX_STORED_CRASH_WEIGHT: u32 = 5;

/// Where a task stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TaskPhase {
    /// Steps before it are not done.
    Blocked,
    /// It can be ordered.
    Waiting,
    /// It is ordered.
    Ordered(OrderId),
    /// Its agent is out of reach; it may run until then.
    Orphaned {
        /// When nothing of it runs any more, whatever happened.
        until_ms: u64,
    },
    /// Its last run may have ended unseen, and it is started anew as soon as
    /// the log tells that such an end must not count.
    AwaitingLossRecord,
    /// A minion crashed under its last run, and it is started anew as soon as the
    /// log tells of that.
    AwaitingCrashRecord,
    /// Its work is done.
    Done,
}

/// One task.
#[derive(Clone, Debug)]
pub(crate) struct TaskState {
    pub(crate) step: usize,
    pub(crate) index: u32,
    pub(crate) phase: TaskPhase,
    /// Number of the last run; 0 before the first.
    pub(crate) run: u32,
    /// Runs that failed.
    pub(crate) failures: u32,
    /// Minions that crashed under it, by the number of the crash.
    pub(crate) crashes: BTreeMap<u64, CrashEvidence>,
    /// Crashes that the log does not tell of yet.
    unrecorded_crashes: u32,
    /// Times that it was moved since its host was slow.
    pub(crate) moves: u32,
    /// Hosts on which it failed, hung or got no answer.
    pub(crate) avoided_hosts: Vec<Name>,
    /// The host of the last order.
    pub(crate) host: Option<Name>,
}

impl TaskState {
    /// Weight of the signs that it crashes its minions.
    pub(crate) fn crash_weight(&self) -> u32 {
        CrashEvidence::weight(self.crashes.values().copied())
    }

    /// A crash is to be recorded before it is started anew.
    pub(crate) fn await_crash_record(&mut self) {
        self.unrecorded_crashes += 1;
        if self.phase == TaskPhase::Waiting {
            self.phase = TaskPhase::AwaitingCrashRecord;
        }
    }

    /// A crash lies in the log.
    pub(crate) fn crash_recorded(&mut self) {
        self.unrecorded_crashes = self.unrecorded_crashes.saturating_sub(1);
        if self.phase == TaskPhase::AwaitingCrashRecord {
            self.set_waiting();
        }
    }

    /// It can be ordered, once all its crashes lie in the log.
    pub(crate) fn set_waiting(&mut self) {
        self.phase = match self.unrecorded_crashes {
            0 => TaskPhase::Waiting,
            _ => TaskPhase::AwaitingCrashRecord,
        };
    }

    /// Keeps the task from the last few hosts that served it badly.
    pub(crate) fn avoid(&mut self, host: &Name) {
        self.avoided_hosts.retain(|other| other != host);
        self.avoided_hosts.push(host.clone());
        if self.avoided_hosts.len() > MAX_AVOIDED_HOSTS {
            self.avoided_hosts.remove(0);
        }
    }
}

/// One job.
#[derive(Debug)]
pub(crate) struct JobState {
    pub(crate) job: Arc<Job>,
    pub(crate) callers: Vec<CallerId>,
    pub(crate) received_ms: u64,
    /// When it should be complete.
    pub(crate) objective_ms: u64,
    /// When it is of no use any more.
    pub(crate) give_up_at_ms: u64,
    /// Time by which a task works longer than was expected, in milliseconds.
    excess_ms: f64,
    pub(crate) tasks: Vec<TaskState>,
    /// Whether a minion may have run some of it.
    pub(crate) may_have_run: bool,
    /// How it ended; tasks may still be about to stop.
    pub(crate) outcome: Option<JobOutcome>,
    /// A submission of the same id that waits until this one is gone.
    pub(crate) next_submission: Option<(CallerId, Job, u64)>,
    pub(crate) first_start_ms: Option<u64>,
    /// Until when agents know that its tasks wait.
    pub(crate) probed_until_ms: u64,
    /// Where and how long the task ran that was done last, for the log.
    pub(crate) last_end_detail: String,
    /// Whether it is kept in the job log: it has no callers, is never given up,
    /// and its ends are recorded.
    pub(crate) is_stored: bool,
    /// Whether a minion was seen to run some of it.
    pub(crate) was_seen_running: bool,
    /// Whether nothing more of it is started here.
    pub(crate) is_paused: bool,
}

impl JobState {
    /// A job whose caller waits.
    pub(crate) fn new(now_ms: u64, caller: CallerId, job: Job, estimates: &Estimates) -> Self {
        let mut state = Self::without_caller(now_ms, job, estimates);
        state.callers.push(caller);
        state
    }

    /// A stored job of the owner with this epoch, with what is done of it.
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

    fn without_caller(now_ms: u64, job: Job, estimates: &Estimates) -> Self {
        let times = JobTimes::new(&job, critical_path_ms(&job, estimates));
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
                unrecorded_crashes: 0,
                moves: 0,
                avoided_hosts: Vec::new(),
                host: None,
            })
        });
        Self {
            tasks: tasks.collect(),
            job: Arc::new(job),
            callers: Vec::new(),
            received_ms: now_ms,
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

    /// A task of a step turned out to work this long on a minion of ordinary speed.
    ///
    /// Where that is longer than was expected, so is the chain of the job and with
    /// it the time that it may take. By the first guess, the few tasks that are many
    /// times longer than declared would be given up in the middle of their work,
    /// while their callers wait on.
    pub(crate) fn extend_times(&mut self, step: usize, work_ms: f64, estimates: &Estimates) {
        let declared_ms = self.job.steps[step].declared_ms;
        let expected_ms = estimates.expected_ms(&self.job.queue.name, declared_ms);
        let excess_ms = work_ms - expected_ms;
        if excess_ms <= self.excess_ms || self.is_stored {
            return;
        }
        self.excess_ms = excess_ms;
        let critical_path_ms = critical_path_ms(&self.job, estimates) + excess_ms;
        let times = JobTimes::new(&self.job, critical_path_ms);
        let received_ms = self.received_ms;
        self.objective_ms = self.objective_ms.max(received_ms + times.objective_ms);
        self.give_up_at_ms = self.give_up_at_ms.max(received_ms + times.give_up_after_ms);
    }

    pub(crate) fn is_open(&self) -> bool {
        self.outcome.is_none()
    }

    /// Holds a crash against its task; the task's position if that is news.
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

    /// Whether so many minions crashed under a task that it is given up.
    pub(crate) fn crashes_minions(&self) -> bool {
        let limit = match self.is_stored {
            true => MAX_STORED_CRASH_WEIGHT,
            false => MAX_CRASH_WEIGHT,
        };
        self.tasks.iter().any(|task| task.crash_weight() >= limit)
    }

    pub(crate) fn is_done(&self) -> bool {
        self.tasks.iter().all(|task| task.phase == TaskPhase::Done)
    }

    /// Whether nothing of it can run any more.
    pub(crate) fn has_no_runs(&self) -> bool {
        !self.tasks.iter().any(|task| {
            matches!(
                task.phase,
                TaskPhase::Ordered(_) | TaskPhase::Orphaned { .. }
            )
        })
    }

    /// Whether nothing of it has run or may run.
    pub(crate) fn has_never_run(&self) -> bool {
        !self.may_have_run && self.has_no_runs()
    }

    pub(crate) fn has_waiting(&self) -> bool {
        let mut tasks = self.tasks.iter();
        !self.is_paused && tasks.any(|task| task.phase == TaskPhase::Waiting)
    }

    pub(crate) fn orders(&self) -> Vec<OrderId> {
        let order = |task: &TaskState| match task.phase {
            TaskPhase::Ordered(order) => Some(order),
            _ => None,
        };
        self.tasks.iter().filter_map(order).collect()
    }

    pub(crate) fn task_id(&self, position: usize) -> TaskId {
        let task = &self.tasks[position];
        TaskId {
            job: self.job.id.clone(),
            step: u32::try_from(task.step).unwrap_or(u32::MAX),
            index: task.index,
        }
    }

    /// The last run of a task.
    pub(crate) fn run_key(&self, position: usize) -> RunKey {
        RunKey {
            task: self.task_id(position),
            run: self.tasks[position].run,
        }
    }

    /// Makes the tasks ready whose earlier steps are done.
    pub(crate) fn unblock(&mut self) {
        let steps = self.job.steps.len();
        let is_step_done = |step: usize| {
            let mut tasks = self.tasks.iter().filter(|task| task.step == step);
            tasks.all(|task| task.phase == TaskPhase::Done)
        };
        let done: Vec<bool> = (0..steps).map(is_step_done).collect();
        for task in &mut self.tasks {
            let after = &self.job.steps[task.step].after;
            let is_ready = after.iter().all(|step| done[*step as usize]);
            if task.phase == TaskPhase::Blocked && is_ready {
                task.phase = TaskPhase::Waiting;
            }
        }
    }

    /// The step of the first task that waits.
    pub(crate) fn next_step(&self) -> usize {
        let waiting = |task: &&TaskState| task.phase == TaskPhase::Waiting;
        self.tasks.iter().find(waiting).map_or(0, |task| task.step)
    }

    /// Work of the tasks that wait: expected time by thousandths of a core.
    pub(crate) fn waiting_work(&self, estimates: &Estimates) -> f64 {
        let mut counts = vec![0_u32; self.job.steps.len()];
        let waiting = |task: &&TaskState| task.phase == TaskPhase::Waiting;
        for task in self.tasks.iter().filter(waiting) {
            counts[task.step] += 1;
        }
        let steps = self.job.steps.iter().zip(counts);
        let work = steps.filter(|(_, count)| *count > 0).map(|(step, count)| {
            let expected_ms = estimates.expected_ms(&self.job.queue.name, step.declared_ms);
            expected_ms * f64::from(step.needs.cpu_milli) * f64::from(count)
        });
        work.sum()
    }

    /// Thousandths of a core that the tasks that wait need together.
    pub(crate) fn waiting_milli(&self) -> f64 {
        let waiting = |task: &&TaskState| task.phase == TaskPhase::Waiting;
        let waiting = self.tasks.iter().filter(waiting);
        let needs = waiting.map(|task| self.job.steps[task.step].needs.cpu_milli);
        needs.map(f64::from).sum()
    }

    /// What the policy sees of it.
    pub(crate) fn waiting(&self, estimates: &Estimates) -> WaitingJob {
        WaitingJob {
            objective_ms: self.objective_ms,
            remaining_ms: critical_path_from_ms(&self.job, self.next_step(), estimates),
            has_started: self.first_start_ms.is_some(),
        }
    }

    /// Time at which a task of the step must start for the job to be in time.
    pub(crate) fn latest_start_ms(&self, step: usize, estimates: &Estimates) -> i64 {
        let remaining_ms = critical_path_from_ms(&self.job, step, estimates);
        self.objective_ms.cast_signed() - remaining_ms as i64
    }
}

/// Times of a job from its receipt, in milliseconds.
struct JobTimes {
    /// Within which it should be complete.
    objective_ms: u64,
    /// After which it is of no use.
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

/// Longest chain of expected run times, in milliseconds.
fn critical_path_ms(job: &Job, estimates: &Estimates) -> f64 {
    let lengths = (0..job.steps.len()).map(|step| critical_path_from_ms(job, step, estimates));
    lengths.fold(0.0, f64::max)
}

/// Expected time from the start of a step to the end of all that needs it.
fn critical_path_from_ms(job: &Job, step: usize, estimates: &Estimates) -> f64 {
    let own_ms = estimates.expected_ms(&job.queue.name, job.steps[step].declared_ms);
    let mut longest: BTreeMap<usize, f64> = BTreeMap::from([(step, own_ms)]);
    for later in step + 1..job.steps.len() {
        let before = job.steps[later].after.iter();
        let before = before.filter_map(|earlier| longest.get(&(*earlier as usize)));
        let Some(before_ms) = before.copied().reduce(f64::max) else {
            continue;
        };
        let later_ms = estimates.expected_ms(&job.queue.name, job.steps[later].declared_ms);
        longest.insert(later, before_ms + later_ms);
    }
    longest.values().copied().fold(0.0, f64::max)
}
