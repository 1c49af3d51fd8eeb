//! Stored jobs in the dispatcher: it places their tasks like all others, and
//! passes to the ledger what must be recorded.

use gannetvane_wire::Name;

use crate::Dispatcher;
use crate::Disposition;
use crate::Job;
use crate::JobOutcome;
use crate::LinkId;
use crate::Order;
use crate::Refusal;
use crate::RetainedEnd;
use crate::Step;
use crate::StoredJob;
use crate::dispatcher::jobs::JobState;
use crate::dispatcher::jobs::TaskPhase;
use crate::dispatcher::pools::Pool;
use crate::ledger::partition::OwnedJob;
use crate::stored::RUNS_PER_EPOCH;
use crate::stored::StoredEvent;

/// A stored job is refused if the work that waits before it takes longer than
/// this, in milliseconds, and also longer than [`MAX_BACKLOG_OBJECTIVES`] of
/// its objectives.
const MAX_STORED_BACKLOG_MS: f64 = 3_000.0;
/// Number of its objectives that the work before a stored job may take. A job
/// is of use until three times its objective.
const MAX_BACKLOG_OBJECTIVES: f64 = 2.0;

impl Dispatcher {
    /// Returns the events of stored jobs since the last call and removes them.
    pub(crate) fn take_stored_events(&mut self) -> Vec<StoredEvent> {
        std::mem::take(&mut self.stored_events)
    }

    /// Returns why a stored job must be refused, if it must.
    pub(crate) fn check_stored(&self, stored: &StoredJob) -> Result<(), Refusal> {
        let job = to_job(stored);
        self.check(&job)?;
        let service = &job.queue.service;
        if !self.has_minions(service) {
            return Err(Refusal::NoMinion);
        }
        let Some(first) = job.steps.first() else {
            return Ok(());
        };
        let mut pools = self.pools();
        let pool = pools.of_step(service, first);
        let (mut ahead, mut needed_milli) = (0.0, initial_needs_milli(&job));
        let waiting = self.waiting_jobs_of(service);
        for waiting in waiting.filter(|waiting| pools.of_job(waiting) == pool) {
            ahead += waiting.waiting_work(&self.estimates);
            needed_milli += waiting.waiting_milli();
        }
        let free_milli = match pool {
            Pool::Whole => self.free_milli(service),
            Pool::Part { .. } => self.free_milli_for(service, first),
        };
        if needed_milli <= free_milli {
            return Ok(());
        }
        let rate = match pool {
            Pool::Whole => self.drain_rates().get(service).copied(),
            Pool::Part { .. } => Some(self.drain_rate_for(service, first)),
        };
        let wait_ms = rate.map_or(0.0, |rate| ahead / rate);
        let objectives_ms = stored.objective_ms() as f64 * MAX_BACKLOG_OBJECTIVES;
        if wait_ms > objectives_ms.max(MAX_STORED_BACKLOG_MS) {
            return Err(Refusal::Overloaded);
        }
        Ok(())
    }

    /// Runs what is left of a stored job; returns `false` while earlier runs of
    /// the job are still being stopped here.
    pub(crate) fn run_stored(
        &mut self,
        now_ms: u64,
        stored: &StoredJob,
        epoch: u32,
        known: &OwnedJob,
    ) -> bool {
        if self.jobs.contains_key(&stored.id) {
            return false;
        }
        let job = to_job(stored);
        let state = JobState::stored(now_ms, job, epoch, known, &self.estimates);
        self.jobs.insert(stored.id.clone(), state);
        self.apply_known_crashes(&stored.id);
        // All tasks may be done, with only the end of the job not recorded.
        self.advance_job(now_ms, &stored.id);
        true
    }

    /// Stops all runs of a stored job and removes it as soon as they are gone.
    pub(crate) fn drop_stored(&mut self, id: &Name) {
        let Some(job) = self.jobs.get_mut(id).filter(|job| job.is_stored) else {
            return;
        };
        if job.is_open() {
            job.outcome = Some(JobOutcome::Cancelled);
        }
        for order in job.orders() {
            self.send_stop(order);
        }
        self.remove_if_stopped(id);
    }

    /// Starts no more tasks of a stored job; active runs may end.
    pub(crate) fn pause_stored(&mut self, id: &Name) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.is_paused = true;
        }
    }

    /// Returns whether no run of a stored job can be left.
    pub(crate) fn has_no_stored_runs(&self, id: &Name) -> bool {
        self.jobs.get(id).is_none_or(JobState::has_no_runs)
    }

    /// Returns whether some of a stored job is known to have started here. A
    /// task that waits at an agent has not started.
    pub(crate) fn has_stored_job_started(&self, id: &Name) -> bool {
        let job = self.jobs.get(id);
        job.is_some_and(|job| job.was_seen_running)
    }

    /// Passes retained ends that an agent reported to the ledger, which decides
    /// on them if this entry is the owner.
    pub(crate) fn retained_ends_reported(&mut self, link: LinkId, ends: Vec<RetainedEnd>) {
        let events = ends
            .into_iter()
            .map(|end| StoredEvent::EndRetained(link, end));
        self.stored_events.extend(events);
    }

    /// Applies the retained end of a run whose end this entry missed, or that
    /// an earlier owner started. Returns `false` if the end does not count, for
    /// instance because the task was started again since.
    pub(crate) fn apply_retained_end(
        &mut self,
        now_ms: u64,
        id: &Name,
        position: u32,
        end: &RetainedEnd,
    ) -> bool {
        let Some(job) = self.jobs.get_mut(id) else {
            return false;
        };
        let Some(task) = job.tasks.get_mut(position as usize) else {
            return false;
        };
        let was_started_here = !task.run.is_multiple_of(RUNS_PER_EPOCH);
        let is_current_run = task.run == end.run || !was_started_here;
        let is_superseded = matches!(
            task.phase,
            TaskPhase::Ordered(_) | TaskPhase::AwaitingLossRecord | TaskPhase::Done
        );
        if !is_current_run || is_superseded {
            return false;
        }
        if end.is_done {
            task.phase = TaskPhase::Done;
        } else {
            task.failures += 1;
            task.phase = TaskPhase::Waiting;
        }
        if job.is_open() {
            self.advance_job(now_ms, id);
        } else {
            self.remove_if_stopped(id);
        }
        true
    }

    /// Makes a task ready again after the loss of its last run was recorded in
    /// the log.
    pub(crate) fn run_loss_recorded(&mut self, id: &Name, position: u32) {
        let job = self.jobs.get_mut(id);
        let task = job.and_then(|job| job.tasks.get_mut(position as usize));
        if let Some(task) = task.filter(|task| task.phase == TaskPhase::AwaitingLossRecord) {
            task.set_waiting();
        }
    }

    /// Notes that a crash under a task is recorded in the log.
    pub(crate) fn crash_recorded(&mut self, id: &Name, position: u32) {
        let job = self.jobs.get_mut(id);
        let task = job.and_then(|job| job.tasks.get_mut(position as usize));
        if let Some(task) = task {
            task.crash_recorded();
        }
    }

    /// Sends an agent the disposition of an end that its minion retains.
    pub(crate) fn send_disposition(&mut self, link: LinkId, number: u64, disposition: Disposition) {
        if let Some(agent) = self.agents.get_mut(&link) {
            agent.outbox.push(Order::Disposition(number, disposition));
        }
    }
}

/// Returns what those tasks of a job need that can start at once, in
/// thousandths of a core.
fn initial_needs_milli(job: &Job) -> f64 {
    let first = job.steps.iter().filter(|step| step.after.is_empty());
    first.map(needs_milli).sum()
}

/// Returns what all tasks of a step need, in thousandths of a core.
fn needs_milli(step: &Step) -> f64 {
    f64::from(step.count) * f64::from(step.needs.cpu_milli)
}

/// Returns a stored job in the form in which it is run: without a limit on the
/// time that a caller waits.
fn to_job(stored: &StoredJob) -> Job {
    Job {
        id: stored.id.clone(),
        spec: stored.spec.clone(),
        steps: stored.steps.clone(),
        queue: std::sync::Arc::clone(&stored.queue),
        wait_ms: u64::MAX,
    }
}
