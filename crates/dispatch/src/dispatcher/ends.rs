//! Ends of runs and of jobs. Runs that make no progress or are slow are moved
//! to another host.

use std::sync::Arc;

use gannetvane_wire::Name;

use crate::Disposition;
use crate::JobOutcome;
use crate::NotStartedReason;
use crate::Order;
use crate::OrderId;
use crate::RunEnd;
use crate::StoredEnd;
use crate::dispatcher::Dispatcher;
use crate::dispatcher::DispatcherAction;
use crate::dispatcher::EntryEvent;
use crate::dispatcher::OrderState;
use crate::dispatcher::jobs::JobState;
use crate::dispatcher::jobs::TaskPhase;
use crate::dispatcher::jobs::TaskState;
use crate::lease::MAX_CALL_DELAY_MS;
use crate::stored::StoredEvent;

/// A run is moved if its remaining time exceeds this many times the whole run
/// on a healthy minion, plus [`MOVE_COST_MS`].
const MOVE_FACTOR: f64 = 1.15;
/// Cost of a move, in milliseconds.
const MOVE_COST_MS: f64 = 30.0;
/// Largest number of times that a task is moved because its host is slow. A
/// task that is slow again may have more work than its estimate says.
const MAX_MOVES: u32 = 1;
/// Speed below which a minion is slow, so that its runs may be moved; 1 is the
/// ordinary speed.
const SLOW_SPEED: f64 = 0.6;
/// Smallest progress of a run from which the length of its work is estimated,
/// as a percentage.
const MIN_PREDICTIVE_PERCENT: u8 = 5;
/// A run hangs if it made no progress for this fraction of its expected time,
/// and for at least [`MIN_HANG_MS`].
const HANG_FRACTION: f64 = 0.5;
/// Shortest time without progress after which a run counts as hanging, in
/// milliseconds.
const MIN_HANG_MS: f64 = 150.0;
/// Speeds of the minions from whose run times the estimates are learned: those
/// of the kinds of hosts on the platform, without minions that have become
/// slow.
const HEALTHY_SPEEDS: std::ops::Range<f64> = 0.6..1.8;
/// Speed below which all runs of a minion count as stalled.
const STALLED_SPEED: f64 = 0.3;
/// Fraction of its expected time for which a run on a stalled minion must have
/// made no progress before it is moved. Minions report progress in hundredths.
const STALLED_FRACTION: f64 = 0.03;

impl Dispatcher {
    /// Processes the end of a run: updates its task, the record of its host,
    /// and its job.
    pub(crate) fn run_ended(
        &mut self,
        now_ms: u64,
        order: OrderId,
        end: RunEnd,
        ran_ms: u32,
        retained_number: Option<u64>,
    ) {
        let Some(state) = self.orders.remove(&order) else {
            return;
        };
        if let Some(number) = retained_number.filter(|_| !self.jobs.contains_key(&state.job)) {
            self.send_disposition(state.link, number, Disposition::NotOwner);
        }
        let Some(agent) = self.agents.get_mut(&state.link) else {
            return;
        };
        agent.remove_order(order);
        if let Some(witness) = state.witness {
            self.release_witness(order, &state, witness);
        }
        let Some(agent) = self.agents.get(&state.link) else {
            return;
        };
        let host = agent.hello.host.clone();
        let speed = agent.speed;
        let max_start_delay_ms = agent.hello.max_start_delay_ms;
        let Some(job) = self.jobs.get_mut(&state.job) else {
            return;
        };
        let is_open = job.is_open();
        job.changed_ms = now_ms;
        job.may_have_run |= !matches!(end, RunEnd::NotStarted(_));
        job.was_seen_running |= end.shows_run();
        let queue = Arc::clone(&job.job.queue);
        if let Some(number) = retained_number {
            self.stored_events.push(StoredEvent::TaskEnded {
                job: state.job.clone(),
                position: u32::try_from(state.position).unwrap_or(u32::MAX),
                link: state.link,
                number,
                run: job.tasks[state.position].run,
                is_done: end == RunEnd::Done,
            });
        }
        let task = &mut job.tasks[state.position];
        let declared_ms = job.job.steps[task.step].declared_ms;
        task.phase = TaskPhase::Waiting;
        match end {
            RunEnd::Done => {
                task.phase = TaskPhase::Done;
                let elapsed_since_order_ms = now_ms.saturating_sub(state.ordered_ms);
                job.last_end_detail = format!(
                    "last_host={host} last_run={} last_ran_ms={ran_ms} last_transit_ms={}",
                    task.run,
                    elapsed_since_order_ms.saturating_sub(u64::from(ran_ms)),
                );
                let record = self.hosts.record(&host);
                record.record_success();
                if HEALTHY_SPEEDS.contains(&speed) {
                    self.estimates.observe(&queue.name, declared_ms, ran_ms);
                }
            }
            RunEnd::Failed => {
                task.failures += 1;
                self.task_failed(now_ms, &state, &host);
            }
            RunEnd::Stopped => {}
            RunEnd::Unsettled { crash } => {
                // A delayed call may still start the run until this time. The
                // wait ends earlier if the agent greets again, since nothing of
                // the run is left then.
                let until_ms = now_ms + MAX_CALL_DELAY_MS.max(max_start_delay_ms);
                task.phase = TaskPhase::Orphaned { until_ms };
                task.avoid(now_ms, &host);
                self.hosts.record(&host).record_failure(now_ms);
                if let Some(evidence) = crash {
                    self.run_crashed(now_ms, order, &state, evidence, ran_ms);
                }
                self.task_event("task-unsettled", &state, &host, end, ran_ms);
            }
            RunEnd::Crashed(evidence) => {
                task.avoid(now_ms, &host);
                self.hosts.record(&host).record_failure(now_ms);
                self.run_crashed(now_ms, order, &state, evidence, ran_ms);
                self.task_event("task-crashed", &state, &host, end, ran_ms);
            }
            RunEnd::Lost
            | RunEnd::NotStarted(NotStartedReason::NoAnswer | NotStartedReason::Unhealthy) => {
                task.avoid(now_ms, &host);
                self.hosts.record(&host).record_failure(now_ms);
                self.task_event("task-lost", &state, &host, end, ran_ms);
            }
            RunEnd::NotStarted(NotStartedReason::OldRun) => {
                // An earlier submission of the job had runs there.
                task.run += 3;
            }
            // Another entry may have a suspect on probation there.
            RunEnd::NotStarted(NotStartedReason::Full) if task.crash_weight() > 0 => {
                if let Some(agent) = self.agents.get_mut(&state.link) {
                    agent.probations.refused(now_ms);
                }
            }
            RunEnd::NotStarted(NotStartedReason::Full | NotStartedReason::Closing) => {}
        }
        if is_open {
            self.advance_job(now_ms, &state.job);
        } else {
            self.remove_if_stopped(&state.job);
        }
    }

    /// Processes a failed run. The host is at fault as long as the job has
    /// failed on one host only; once it has failed on a second host, the job is
    /// at fault and the failure of the first host is discounted.
    pub(crate) fn task_failed(&mut self, now_ms: u64, order: &OrderState, host: &Name) {
        let Some(job) = self.jobs.get_mut(&order.job) else {
            return;
        };
        let hosts_failed_on = |job: &JobState| {
            let mut hosts: Vec<Name> = Vec::new();
            for task in job.tasks.iter().filter(|task| task.failures > 0) {
                hosts.extend(task.avoided_hosts.iter().cloned());
            }
            hosts.sort();
            hosts.dedup();
            hosts
        };
        let before = hosts_failed_on(job);
        job.tasks[order.position].avoid(now_ms, host);
        let after = hosts_failed_on(job);
        if after.len() == 1 {
            self.hosts.record(host).record_failure(now_ms);
        } else if before.len() == 1 && after.len() == 2 {
            for host in &before {
                self.hosts.record(host).discount_failure();
            }
            self.send_discount(&order.job, &after);
        }
        self.task_event("task-failed", order, host, RunEnd::Failed, 0);
    }

    /// Notifies the agents on these hosts that the failures of a job are its
    /// own fault.
    fn send_discount(&mut self, job: &Name, hosts: &[Name]) {
        for agent in self.agents.values_mut() {
            if hosts.contains(&agent.hello.host) {
                agent.outbox.push(Order::DiscountFailures(job.clone()));
            }
        }
    }

    /// Adds an event about the run of an order on a host.
    pub(crate) fn task_event(
        &mut self,
        event: &'static str,
        order: &OrderState,
        host: &Name,
        end: RunEnd,
        ran_ms: u32,
    ) {
        let detail = format!(
            "position={} host={host} end={end:?} ran_ms={ran_ms}",
            order.position
        );
        self.event(event, Some(order.job.clone()), detail);
    }

    /// Ends a job whose tasks are all done or one of which cannot be done;
    /// otherwise unblocks its next steps.
    pub(crate) fn advance_job(&mut self, now_ms: u64, id: &Name) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let limit = job.job.queue.max_attempts.max(1);
        if job.tasks.iter().any(|task| task.failures >= limit) {
            self.finish(now_ms, id, JobOutcome::Failed, "attempts");
        } else if job.crashes_minions() {
            self.finish(now_ms, id, JobOutcome::Failed, "crashes");
        } else if job.is_done() {
            self.finish(now_ms, id, JobOutcome::Completed, "done");
        } else {
            job.unblock();
            job.refresh_path_lengths(now_ms, &self.estimates);
        }
    }

    /// Ends a job: answers its callers and stops the runs that are left.
    pub(crate) fn finish(
        &mut self,
        now_ms: u64,
        id: &Name,
        outcome: JobOutcome,
        cause: &'static str,
    ) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.outcome = Some(outcome);
        let is_final = outcome == JobOutcome::Completed || job.is_stored;
        let took_ms = now_ms.saturating_sub(job.received_ms);
        let queued_ms = job
            .first_start_ms
            .unwrap_or(now_ms)
            .saturating_sub(job.received_ms);
        let detail = format!(
            "cause={cause} queue={} tasks={} queued_ms={queued_ms} objective_ms={} wait_ms={} version={} {}",
            job.job.queue.name,
            job.tasks.len(),
            job.objective_ms.saturating_sub(job.received_ms),
            job.job.wait_ms,
            self.table.version,
            job.last_end_detail,
        );
        let orders = job.orders();
        if job.is_stored {
            let end = match outcome {
                JobOutcome::Completed => StoredEnd::Completed,
                _ => StoredEnd::Failed,
            };
            let event = StoredEvent::JobEnded(id.clone(), end);
            self.stored_events.push(event);
        }
        for caller in std::mem::take(&mut job.callers) {
            self.callers.remove(&caller);
            self.actions.push(DispatcherAction::Answer(caller, outcome));
        }
        for order in orders {
            self.send_stop(order);
        }
        if !is_final {
            self.share_delayed_starts(id);
        }
        self.actions.push(DispatcherAction::Event(EntryEvent {
            event: outcome_event(outcome),
            job: Some(id.clone()),
            detail,
            reason: cause,
            took_ms: Some(took_ms),
        }));
        self.remove_if_stopped(id);
    }

    /// Sends a stop for an order, unless one was sent already.
    pub(crate) fn send_stop(&mut self, order: OrderId) {
        let Some(state) = self.orders.get_mut(&order) else {
            return;
        };
        if !state.is_stop_sent
            && let Some(agent) = self.agents.get_mut(&state.link)
        {
            state.is_stop_sent = true;
            agent.outbox.push(Order::Stop(order));
        }
    }

    /// Removes an ended job once nothing of it can be running, and admits the
    /// submission that waited for this.
    pub(crate) fn remove_if_stopped(&mut self, id: &Name) {
        let is_gone = self
            .jobs
            .get(id)
            .is_some_and(|job| !job.is_open() && job.has_no_runs());
        if !is_gone {
            return;
        }
        let Some(state) = self.jobs.remove(id) else {
            return;
        };
        if let Some((caller, job, received_ms)) = state.next_submission {
            self.admit(caller, job, received_ms);
        }
    }

    /// Processes the progress of a run, and moves a run that hangs, or that is
    /// slow if a move saves time.
    pub(crate) fn run_progressed(
        &mut self,
        now_ms: u64,
        order: OrderId,
        percent: u8,
        elapsed_ms: u32,
        idle_ms: u32,
    ) {
        let Some(state) = self.orders.get(&order).cloned() else {
            return;
        };
        let Some(agent) = self.agents.get(&state.link) else {
            return;
        };
        if let Some(job) = self.jobs.get_mut(&state.job) {
            job.was_seen_running = true;
        }
        if state.is_stop_sent || !self.jobs.get(&state.job).is_some_and(JobState::is_open) {
            return;
        }
        let host = agent.hello.host.clone();
        // Relative to the other minions, since all of them appear slow while
        // declared times are too short.
        let speed = agent.speed / self.usual_speed;
        let has_reached_move_limit = self
            .jobs
            .get(&state.job)
            .is_some_and(|job| job.tasks[state.position].moves >= MAX_MOVES);
        let elapsed_ms = f64::from(elapsed_ms);
        let hang_limit_ms = MIN_HANG_MS.max(state.expected_ms * HANG_FRACTION);
        let stall_limit_ms = MIN_HANG_MS.max(state.expected_ms * STALLED_FRACTION);
        let is_hanging = f64::from(idle_ms) > hang_limit_ms
            || (f64::from(idle_ms) > stall_limit_ms && speed < STALLED_SPEED);
        let (remaining_ms, work_ms) = if is_hanging {
            (f64::INFINITY, state.expected_ms)
        } else if percent > 0 {
            // The length of the work follows from its progress and the speed of
            // the minion.
            let total_ms = elapsed_ms * 100.0 / f64::from(percent);
            self.extend_times(&state, percent, total_ms * speed.max(SLOW_SPEED));
            (total_ms - elapsed_ms, total_ms * speed)
        } else {
            return;
        };
        let saves_time = remaining_ms > work_ms * MOVE_FACTOR + MOVE_COST_MS;
        let is_to_move = is_hanging || saves_time && speed < SLOW_SPEED && !has_reached_move_limit;
        // With a delayed start, the task could not be started elsewhere after a stop.
        if is_to_move && !self.has_delayed_start(now_ms, &state.job, state.position) {
            self.move_run(now_ms, order, &state, &host, remaining_ms);
        }
    }

    /// Extends the times of a job if a running task takes longer than expected,
    /// once its progress is large enough for an estimate.
    fn extend_times(&mut self, order: &OrderState, percent: u8, work_ms: f64) {
        let Some(job) = self.jobs.get_mut(&order.job) else {
            return;
        };
        if percent >= MIN_PREDICTIVE_PERCENT {
            let step = job.tasks[order.position].step;
            job.extend_times(step, work_ms, &self.estimates);
        }
    }

    /// Stops a run so that its task starts on another host. An infinite
    /// `remaining_ms` means that the run hangs, which counts as a failure of
    /// the host.
    pub(crate) fn move_run(
        &mut self,
        now_ms: u64,
        order: OrderId,
        state: &OrderState,
        host: &Name,
        remaining_ms: f64,
    ) {
        let Some(job) = self.jobs.get_mut(&state.job) else {
            return;
        };
        job.tasks[state.position].avoid(now_ms, host);
        if remaining_ms.is_finite() {
            job.tasks[state.position].moves += 1;
        }
        if remaining_ms.is_infinite() {
            self.hosts.record(host).record_failure(now_ms);
        }
        let detail = format!(
            "position={} host={host} remaining_ms={remaining_ms:.0}",
            state.position
        );
        self.event("task-moved", Some(state.job.clone()), detail);
        self.send_stop(order);
    }

    /// Ends the wait for the orphaned runs on a host whose agent greeted again.
    pub(crate) fn release_orphans(&mut self, host: &Name) {
        let is_on_host = |task: &TaskState, _| task.host.as_ref() == Some(host);
        self.resolve_orphans(is_on_host, TaskPhase::Waiting);
    }

    /// Ends the wait for the orphaned runs that cannot exist any more.
    pub(crate) fn expire_orphans(&mut self, now_ms: u64) {
        let is_resolved = |_: &TaskState, until_ms| now_ms >= until_ms;
        self.resolve_orphans(is_resolved, TaskPhase::AwaitingLossRecord);
    }

    /// Ends the wait for the orphaned runs that `is_resolved` selects by their
    /// task and the end of the wait in milliseconds. Their tasks become ready
    /// again; but if `stored_phase` is [`TaskPhase::AwaitingLossRecord`],
    /// stored tasks first await that record.
    fn resolve_orphans(
        &mut self,
        is_resolved: impl Fn(&TaskState, u64) -> bool,
        stored_phase: TaskPhase,
    ) {
        let mut changed = Vec::new();
        for (id, job) in &mut self.jobs {
            let mut is_changed = false;
            for (position, task) in (0_u32..).zip(&mut job.tasks) {
                if let TaskPhase::Orphaned { until_ms } = task.phase
                    && is_resolved(task, until_ms)
                {
                    match job.is_stored {
                        true if stored_phase == TaskPhase::AwaitingLossRecord => {
                            task.phase = stored_phase;
                        }
                        _ => task.set_waiting(),
                    }
                    is_changed = true;
                    if task.phase == TaskPhase::AwaitingLossRecord {
                        self.stored_events.push(StoredEvent::RunLost {
                            job: id.clone(),
                            position,
                            run: task.run,
                        });
                    }
                }
            }
            if is_changed {
                changed.push(id.clone());
            }
        }
        for id in changed {
            self.remove_if_stopped(&id);
        }
    }
}

/// Returns the name of the event for an outcome.
fn outcome_event(outcome: JobOutcome) -> &'static str {
    match outcome {
        JobOutcome::Completed => "completed",
        JobOutcome::Failed => "failed",
        JobOutcome::TooLate => "too-late",
        JobOutcome::Cancelled => "cancelled",
        JobOutcome::Refused { .. } => "refused",
    }
}
