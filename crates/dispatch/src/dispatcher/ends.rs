//! How runs end, and what becomes of their jobs; runs that stand still or are
//! slow are moved.

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

/// A run is moved when what remains of it takes longer than this many times
/// the whole run on a sound minion, and the cost of a move in milliseconds.
const MOVE_FACTOR: f64 = 1.15;
const MOVE_COST_MS: f64 = 30.0;
/// Times that a run is moved since its host is slow: its work may be longer
/// than all that is known of it.
const MAX_MOVES: u32 = 1;
/// Speed above which a minion is not slow enough for moves.
const SLOW_SPEED: f64 = 0.6;
/// Part of the work, as a percentage, from which its progress tells its length.
const MIN_PREDICTIVE_PERCENT: u8 = 5;
/// A run that made no progress for this share of its expected time, and at
/// least for [`HANG_MS`], stands still.
const HANG_FRACTION: f64 = 0.5;
const MIN_HANG_MS: f64 = 150.0;
/// Speeds of minions whose run times are learned from: the kinds on the
/// platform, not those that have become slow.
const HEALTHY_SPEEDS: std::ops::Range<f64> = 0.6..1.8;
/// Speed below which all runs on a minion stand still, and the share of its
/// expected time for which a run must then have made no progress: minions tell
/// progress in hundredths.
const STALLED_SPEED: f64 = 0.3;
const STALLED_FRACTION: f64 = 0.03;

impl Dispatcher {
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
        agent.outstanding.remove(&order);
        let host = agent.hello.host.clone();
        let speed = agent.speed;
        let Some(job) = self.jobs.get_mut(&state.job) else {
            return;
        };
        let is_open = job.is_open();
        job.may_have_run |= !matches!(end, RunEnd::NotStarted(_));
        job.was_seen_running |= job.may_have_run;
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
                // Greeted again, the agent vouches that nothing of it is left.
                let until_ms = now_ms + MAX_CALL_DELAY_MS;
                task.phase = TaskPhase::Orphaned { until_ms };
                task.avoid(&host);
                self.hosts.record(&host).record_failure(now_ms);
                if let Some(evidence) = crash {
                    self.run_crashed(now_ms, order, &state, evidence);
                }
                self.task_event("task-unsettled", &state, &host, end, ran_ms);
            }
            RunEnd::Crashed(evidence) => {
                task.avoid(&host);
                self.hosts.record(&host).record_failure(now_ms);
                self.run_crashed(now_ms, order, &state, evidence);
                self.task_event("task-crashed", &state, &host, end, ran_ms);
            }
            RunEnd::Lost
            | RunEnd::NotStarted(NotStartedReason::NoAnswer | NotStartedReason::Unhealthy) => {
                task.avoid(&host);
                self.hosts.record(&host).record_failure(now_ms);
                self.task_event("task-lost", &state, &host, end, ran_ms);
            }
            RunEnd::NotStarted(NotStartedReason::OldRun) => {
                // An earlier submission of the job had runs there.
                task.run += 3;
            }
            // Another suspect may run there.
            RunEnd::NotStarted(NotStartedReason::Full) if task.crash_weight() > 0 => {
                task.avoid(&host);
            }
            RunEnd::NotStarted(NotStartedReason::Full | NotStartedReason::Closing) => {}
        }
        if is_open {
            self.advance_job(now_ms, &state.job);
        } else {
            self.remove_if_stopped(&state.job);
        }
    }

    /// Judges a failed run: the task is at fault if it failed on two hosts.
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
        job.tasks[order.position].avoid(host);
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

    /// Tells the agents of hosts that a job's failures are its own.
    fn send_discount(&mut self, job: &Name, hosts: &[Name]) {
        for agent in self.agents.values_mut() {
            if hosts.contains(&agent.hello.host) {
                agent.outbox.push(Order::DiscountFailures(job.clone()));
            }
        }
    }

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

    /// Ends a job whose tasks are done or cannot be.
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
        }
    }

    /// Answers the callers of a job and stops what is left of it.
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
        self.actions.push(DispatcherAction::Event(EntryEvent {
            event: outcome_event(outcome),
            job: Some(id.clone()),
            detail,
            reason: cause,
            took_ms: Some(took_ms),
        }));
        self.remove_if_stopped(id);
    }

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

    /// Forgets an ended job of which nothing can run any more.
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

    /// Moves a run that stands still or is slow, when it gains.
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
        // Against the other minions, since all are slow while declared times
        // are too short.
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
            // The work is known from its progress and the speed there.
            let total_ms = elapsed_ms * 100.0 / f64::from(percent);
            self.extend_times(&state, percent, total_ms * speed.max(SLOW_SPEED));
            (total_ms - elapsed_ms, total_ms * speed)
        } else {
            return;
        };
        let saves_time = remaining_ms > work_ms * MOVE_FACTOR + MOVE_COST_MS;
        if is_hanging || saves_time && speed < SLOW_SPEED && !has_reached_move_limit {
            self.move_run(now_ms, order, &state, &host, remaining_ms);
        }
    }

    /// Tells a job how long the work of a running task is, once its progress
    /// tells it well enough.
    fn extend_times(&mut self, order: &OrderState, percent: u8, work_ms: f64) {
        let Some(job) = self.jobs.get_mut(&order.job) else {
            return;
        };
        if percent >= MIN_PREDICTIVE_PERCENT {
            let step = job.tasks[order.position].step;
            job.extend_times(step, work_ms, &self.estimates);
        }
    }

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
        job.tasks[state.position].avoid(host);
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

    pub(crate) fn release_orphans(&mut self, host: &Name) {
        let is_on_host = |task: &TaskState, _| task.host.as_ref() == Some(host);
        self.resolve_orphans(is_on_host, TaskPhase::Waiting);
    }

    pub(crate) fn expire_orphans(&mut self, now_ms: u64) {
        let is_resolved = |_: &TaskState, until_ms| now_ms >= until_ms;
        self.resolve_orphans(is_resolved, TaskPhase::AwaitingLossRecord);
    }

    /// Ends the wait for runs that were out of reach; `stored` is the phase of
    /// stored tasks from then on.
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

fn outcome_event(outcome: JobOutcome) -> &'static str {
    match outcome {
        JobOutcome::Completed => "completed",
        JobOutcome::Failed => "failed",
        JobOutcome::TooLate => "too-late",
        JobOutcome::Cancelled => "cancelled",
        JobOutcome::Refused { .. } => "refused",
    }
}
