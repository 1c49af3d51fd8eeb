//! How a home processes results, retries tasks and ends submissions.

use gannetvane_wire::Finished;
use gannetvane_wire::Name;
use gannetvane_wire::NodeId;
use gannetvane_wire::Reason;
use gannetvane_wire::ServiceConfig;
use gannetvane_wire::SubmissionId;
use gannetvane_wire::TaskId;
use gannetvane_wire::TaskResult;

use crate::Action;
use crate::Counter;
use crate::home::Context;
use crate::home::Deadline;
use crate::home::Home;
use crate::queue::QueuedTask;
use crate::submission::OpenSubmission;
use crate::submission::TaskState;
use crate::table::GENERATION_MS;

/// Maximum number of attempts at a task, including those that were not started.
/// If the last one does not succeed either, the submission ends.
const MAX_ATTEMPTS: u16 = 8;
/// `retry_after_ms` of an answer after a task was lost or could not be started,
/// and its minimum for a deadline that has passed or cannot be met.
const RETRY_AFTER_LOSS_MS: u32 = 1_000;

impl Home {
    /// Handles the ends of tasks that an agent reports.
    pub(crate) fn finished(&mut self, ctx: &mut Context<'_>, batch: Vec<Finished>) {
        let mut affected_services: Vec<Name> = Vec::new();
        for finished in batch {
            let Some(name) = self.service_of(ctx, &finished) else {
                continue;
            };
            self.handle_finished(ctx, &name, finished);
            if !affected_services.contains(&name) {
                affected_services.push(name);
            }
        }
        for name in affected_services {
            self.dispatch(ctx, &name);
        }
    }

    /// Fails the submissions whose deadline has passed.
    pub(crate) fn expire_deadlines(&mut self, ctx: &mut Context<'_>) {
        while let Some(first) = self.deadlines.first().copied() {
            if first.at_ms > ctx.now_ms {
                break;
            }
            self.deadlines.remove(&first);
            self.close_for_deadline(ctx, first, Reason::DeadlinePassed);
        }
    }

    /// Performs the periodic work of a home.
    pub(crate) fn maintain(&mut self, ctx: &mut Context<'_>) {
        self.table.advance(ctx.now_ms);
        for table in self.adopted.values_mut() {
            table.advance(ctx.now_ms);
        }
        let retention_ms = self.settings.retention_ms() + 2 * GENERATION_MS;
        self.adopted
            .retain(|_, table| !table.is_past(ctx.now_ms, retention_ms));
        self.mark_tasks_of_left_agents_lost(ctx);
        self.check_started(ctx);
        let names: Vec<Name> = ctx.configuration.services.keys().cloned().collect();
        for name in names {
            self.refresh_group(ctx, &name);
            self.dispatch(ctx, &name);
        }
    }

    /// Updates the homes of a service and this home's share of its slots from
    /// the view, and drops expired credits.
    pub(crate) fn refresh_group(&mut self, ctx: &Context<'_>, name: &Name) {
        let Some(service) = self.services.get_mut(name) else {
            return;
        };
        let homes = ctx
            .configuration
            .services
            .get(name)
            .map_or(1, ServiceConfig::homes);
        let group = ctx.view.homes(name, homes);
        service.group = group
            .into_iter()
            .filter_map(|node| ctx.view.peer(node))
            .collect();
        let slots: usize = ctx
            .view
            .agents(name)
            .map(|member| usize::from(member.slots))
            .sum();
        service.fair_slots = slots / service.group.len().max(1);
        service.credits.expire(ctx.now_ms);
    }

    /// Returns the service of a finished task.
    pub(crate) fn service_of(&self, ctx: &Context<'_>, finished: &Finished) -> Option<Name> {
        if let Some(open) = self.open.get(&finished.task_id.submission) {
            return Some(open.submission.service.clone());
        }
        // The submission has already ended, but the slot is free again.
        let agent = finished.next_credit?.agent;
        ctx.view
            .iter()
            .find(|member| member.node == agent)
            .map(|member| member.service.clone())
    }

    /// Handles the end of one task and returns its slot's next credit to the
    /// pool.
    pub(crate) fn handle_finished(
        &mut self,
        ctx: &mut Context<'_>,
        name: &Name,
        finished: Finished,
    ) {
        let Finished {
            task_id,
            result,
            run_ms,
            next_credit,
        } = finished;
        let started = self
            .open
            .get(&task_id.submission)
            .and_then(|open| open.started(task_id.index, task_id.attempt))
            .copied();
        if let Some(started) = started {
            self.update_health(ctx, name, started.credit.agent, &result);
        }
        let service = self.services.entry(name.clone()).or_default();
        if let Some(credit) = next_credit {
            service.return_credit(ctx.now_ms, credit);
        }
        if started.is_some() {
            self.end_attempt(ctx, task_id, result, run_ms);
        }
    }

    /// Records the result of a task for the health of its minion and the retry
    /// budget.
    pub(crate) fn update_health(
        &mut self,
        ctx: &mut Context<'_>,
        name: &Name,
        agent: NodeId,
        result: &TaskResult,
    ) {
        let agents = ctx.view.agents(name).count();
        let service = self.services.entry(name.clone()).or_default();
        match result {
            TaskResult::Done(_) => {
                service.health.succeeded(agent);
                service.budget.succeed();
            }
            TaskResult::Failed(_) | TaskResult::NotStarted(Reason::MinionUnreachable) => {
                if service.health.failed(ctx.now_ms, agent, agents) {
                    ctx.actions.push(Action::Count(Counter::MinionEjected));
                    ctx.actions.push(Action::log("minion-ejected", agent));
                }
            }
            TaskResult::NotStarted(_) | TaskResult::Unknown => {}
        }
    }

    /// Records the result of a task's attempt, and ends the submission or
    /// queues the task again if the result requires it.
    pub(crate) fn end_attempt(
        &mut self,
        ctx: &mut Context<'_>,
        task_id: TaskId,
        result: TaskResult,
        run_ms: u32,
    ) {
        let id = task_id.submission;
        self.release_slot_of(id);
        match result {
            TaskResult::Done(output) => {
                self.observe(id, task_id.index, run_ms);
                self.set_state(id, task_id.index, TaskState::Done(output));
                if self.open.get(&id).is_some_and(OpenSubmission::is_done) {
                    self.close(ctx, id, Reason::None, None);
                }
            }
            TaskResult::Failed(error) => {
                self.set_state(id, task_id.index, TaskState::Failed(error));
                self.retry_or_close(ctx, id, task_id.index, Reason::TaskFailed);
            }
            TaskResult::NotStarted(reason) => {
                self.requeue_unstarted(ctx, id, task_id.index, reason);
            }
            TaskResult::Unknown => {
                ctx.actions.push(Action::log("task-forgotten", task_id));
                self.set_state(id, task_id.index, TaskState::Unknown);
                self.retry_or_close(ctx, id, task_id.index, Reason::AgentLost);
            }
        }
    }

    /// Queues a task again that failed or may have run, if its submission is
    /// repeatable and has attempts and retry budget left. Otherwise the
    /// submission ends.
    pub(crate) fn retry_or_close(
        &mut self,
        ctx: &mut Context<'_>,
        id: SubmissionId,
        index: u16,
        reason: Reason,
    ) {
        let Some(open) = self.open.get(&id) else {
            return;
        };
        if !open.submission.repeatable {
            self.close_after_loss(ctx, id, reason);
            return;
        }
        let has_attempts = open.tasks[usize::from(index)].attempt + 1 < MAX_ATTEMPTS;
        let service = self
            .services
            .entry(open.submission.service.clone())
            .or_default();
        if !has_attempts {
            self.close_after_loss(ctx, id, reason);
        } else if service.budget.try_retry() {
            ctx.actions.push(Action::Count(Counter::Retried(reason)));
            self.requeue(id, index, true);
        } else {
            self.close_after_loss(ctx, id, Reason::RetryBudget);
        }
    }

    /// Ends a submission after one of its tasks failed, was lost or could not
    /// be started. Unless the task itself failed, the answer says when the
    /// caller may retry.
    pub(crate) fn close_after_loss(
        &mut self,
        ctx: &mut Context<'_>,
        id: SubmissionId,
        reason: Reason,
    ) {
        let retry_after_ms = (reason != Reason::TaskFailed).then_some(RETRY_AFTER_LOSS_MS);
        self.close(ctx, id, reason, retry_after_ms);
    }

    /// Queues a task again that was not started, or ends the submission if no
    /// attempt is left.
    pub(crate) fn requeue_unstarted(
        &mut self,
        ctx: &mut Context<'_>,
        id: SubmissionId,
        index: u16,
        reason: Reason,
    ) {
        let attempt = self
            .open
            .get(&id)
            .map_or(0, |open| open.tasks[usize::from(index)].attempt);
        self.requeue(id, index, false);
        if attempt + 1 < MAX_ATTEMPTS {
            ctx.actions.push(Action::Count(Counter::Retried(reason)));
        } else {
            self.close_after_loss(ctx, id, reason);
        }
    }

    /// Queues the next attempt at a task.
    pub(crate) fn requeue(&mut self, id: SubmissionId, index: u16, may_have_run: bool) {
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        let task = &mut open.tasks[usize::from(index)];
        task.attempt += 1;
        task.may_have_run |= may_have_run;
        task.state = TaskState::Queued;
        let wire_task = &open.submission.tasks[usize::from(index)];
        let service = self
            .services
            .entry(open.submission.service.clone())
            .or_default();
        let estimate_ms = service
            .estimates
            .estimate_ms(&wire_task.kind, wire_task.declared_ms);
        let queued = vec![QueuedTask { estimate_ms, index }];
        service
            .queue
            .push(id, &open.submission.team, open.arrived_ms, queued);
    }

    /// Subtracts one running task from the counts of the submission's service
    /// and team.
    pub(crate) fn release_slot_of(&mut self, id: SubmissionId) {
        if let Some(open) = self.open.get(&id)
            && let Some(service) = self.services.get_mut(&open.submission.service)
        {
            service.running = service.running.saturating_sub(1);
            service.teams.ended(&open.submission.team);
        }
    }

    /// Adds the run time of a task to the estimates of its service.
    pub(crate) fn observe(&mut self, id: SubmissionId, index: u16, run_ms: u32) {
        if let Some(open) = self.open.get(&id)
            && let Some(service) = self.services.get_mut(&open.submission.service)
        {
            let task = &open.submission.tasks[usize::from(index)];
            service
                .estimates
                .observe(&task.kind, task.declared_ms, run_ms);
        }
    }

    pub(crate) fn set_state(&mut self, id: SubmissionId, index: u16, state: TaskState) {
        if let Some(open) = self.open.get_mut(&id) {
            open.tasks[usize::from(index)].state = state;
        }
    }

    /// Ends a submission whose deadline has passed or cannot be met. The answer
    /// gives the expected wait, at least [`RETRY_AFTER_LOSS_MS`], as the time
    /// after which to retry.
    pub(crate) fn close_for_deadline(
        &mut self,
        ctx: &mut Context<'_>,
        deadline: Deadline,
        reason: Reason,
    ) {
        let Some(open) = self.open.get(&deadline.id) else {
            return;
        };
        let service = self.services.get(&open.submission.service);
        let team = &open.submission.team;
        let quotas = &ctx.configuration.teams;
        let wait_ms = service.map_or(0, |service| service.expected_wait_ms(team, quotas));
        let retry_after_ms = u32::try_from(wait_ms)
            .unwrap_or(u32::MAX)
            .max(RETRY_AFTER_LOSS_MS);
        self.close(ctx, deadline.id, reason, Some(retry_after_ms));
    }
}
