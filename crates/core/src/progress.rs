//! How a home starts tasks, takes in their results and gives up.

use std::collections::BTreeMap;

use gannetvane_wire::Credit;
use gannetvane_wire::Finished;
use gannetvane_wire::MemberState;
use gannetvane_wire::Message;
use gannetvane_wire::Name;
use gannetvane_wire::Needs;
use gannetvane_wire::NodeId;
use gannetvane_wire::Preference;
use gannetvane_wire::Reason;
use gannetvane_wire::ServiceConfig;
use gannetvane_wire::SlotCredit;
use gannetvane_wire::SubmissionId;
use gannetvane_wire::TaskId;
use gannetvane_wire::TaskResult;
use gannetvane_wire::TaskStart;

use crate::Action;
use crate::Counter;
use crate::Peer;
use crate::home::Context;
use crate::home::Deadline;
use crate::home::Home;
use crate::queue::QueuedTask;
use crate::service::Placement;
use crate::service::Placing;
use crate::submission::OpenSubmission;
use crate::submission::StartedTask;
use crate::submission::TaskState;
use crate::table::GENERATION_MS;

/// Least time after which a started task without a result is asked for.
const MIN_CHECK_MS: u64 = 2_000;
/// Factor on the time of the slowest usual run before a task is asked for.
const CHECK_FACTOR: u64 = 2;
/// Longest interval between two such questions, in milliseconds.
const MAX_CHECK_MS: u64 = 15_000;
/// Pause before an agent is asked again after its connection broke first.
const RECONNECT_MS: u64 = 100;
/// Times that this pause is doubled at most.
const MAX_RECONNECT_DOUBLINGS: u32 = 5;
/// Time to wait for results of an agent that left as planned, in milliseconds.
const RESULTS_OF_LEFT_MS: u64 = 2_000;
/// Attempts at a task, all but the last not started, before it is given up.
const MAX_ATTEMPTS: u16 = 8;
/// Most credits asked for in one message.
const MAX_ASKED_CREDITS: usize = 64;
/// Most other homes that are asked.
const MAX_ASKED_HOMES: usize = 3;
/// When to come back after work was lost, in milliseconds.
const RETRY_AFTER_LOSS_MS: u32 = 1_000;

impl Home {
    /// Starts waiting tasks while there are credits.
    pub(crate) fn dispatch(&mut self, ctx: &mut Context<'_>, name: &Name) {
        let Some(service) = self.services.get(name) else {
            return;
        };
        if service.queue.is_empty() {
            self.lend(ctx, name);
            return;
        }
        self.lend_to_more_urgent(ctx, name);
        let mut starts: BTreeMap<Peer, Vec<TaskStart>> = BTreeMap::new();
        let mut last = None;
        while let Some(placement) = self.place_next(ctx, name, last) {
            last = Some(placement);
            if let Some((agent, start)) = self.start(ctx, placement) {
                starts.entry(agent).or_default().push(start);
            }
        }
        for (to, batch) in starts {
            ctx.actions.push(Action::Send {
                to,
                message: Message::Start(batch),
            });
        }
        self.ask_for_credits(ctx, name);
    }

    /// Takes in the ends of tasks from an agent.
    pub(crate) fn finished(&mut self, ctx: &mut Context<'_>, batch: Vec<Finished>) {
        let mut touched: Vec<Name> = Vec::new();
        for finished in batch {
            let Some(name) = self.service_of(ctx, &finished) else {
                continue;
            };
            self.finished_one(ctx, &name, finished);
            if !touched.contains(&name) {
                touched.push(name);
            }
        }
        for name in touched {
            self.dispatch(ctx, &name);
        }
    }

    /// Takes in credits from an agent or another home.
    pub(crate) fn granted(
        &mut self,
        ctx: &mut Context<'_>,
        from: Peer,
        name: &Name,
        credits: &[SlotCredit],
    ) {
        let service = self.services.entry(name.clone()).or_default();
        service.lending.forget(from);
        for granted in credits {
            let idle_since_ms = ctx.now_ms.saturating_sub(granted.idle_ms);
            service
                .credits
                .add(granted.credit, idle_since_ms, ctx.now_ms);
        }
        self.dispatch(ctx, name);
    }

    /// Another home is short of credits.
    pub(crate) fn credits_requested(
        &mut self,
        ctx: &mut Context<'_>,
        name: &Name,
        asker: Peer,
        wanted: u32,
        overdue_ms: i64,
    ) {
        let service = self.services.entry(name.clone()).or_default();
        service
            .lending
            .remember(ctx.now_ms, asker, wanted as usize, overdue_ms);
        self.dispatch(ctx, name);
    }

    /// An agent will never take work again.
    pub(crate) fn agent_gone(&mut self, ctx: &mut Context<'_>, agent: NodeId) {
        for service in self.services.values_mut() {
            service.forget_agent(agent);
        }
        match ctx.view.state(agent) {
            // It finished what it had; the news may overtake the results.
            Some(MemberState::Left { .. }) => {
                self.departed.insert(agent, ctx.now_ms + RESULTS_OF_LEFT_MS);
            }
            _ => self.lose_tasks_of(ctx, agent),
        }
    }

    fn lose_tasks_of_departed(&mut self, ctx: &mut Context<'_>) {
        let is_due = |due_ms: &u64| *due_ms <= ctx.now_ms;
        let due: Vec<NodeId> = self
            .departed
            .iter()
            .filter(|(_, due_ms)| is_due(due_ms))
            .map(|(node, _)| *node)
            .collect();
        for agent in due {
            self.departed.remove(&agent);
            self.lose_tasks_of(ctx, agent);
        }
    }

    /// What ran on an agent that will not answer has no known end.
    fn lose_tasks_of(&mut self, ctx: &mut Context<'_>, agent: NodeId) {
        let affected: Vec<SubmissionId> = self
            .open
            .iter()
            .filter(|(_, open)| !open.running_on(agent).is_empty())
            .map(|(id, _)| *id)
            .collect();
        for id in affected {
            let lost = self
                .open
                .get(&id)
                .map(|open| open.running_on(agent))
                .unwrap_or_default();
            for index in lost {
                self.lost_task(ctx, id, index);
            }
        }
        let names: Vec<Name> = self.services.keys().cloned().collect();
        for name in names {
            self.dispatch(ctx, &name);
        }
    }

    /// The connection to an address broke: messages may be lost, so ask soon.
    pub(crate) fn peer_down(&mut self, now_ms: u64, addr: std::net::SocketAddr) {
        for task in self.open.values_mut().flat_map(|open| &mut open.tasks) {
            if let TaskState::Started(started) = &mut task.state
                && started.agent.addr == addr
            {
                let pause_ms = RECONNECT_MS << started.reconnects.min(MAX_RECONNECT_DOUBLINGS);
                started.check_at_ms = started.check_at_ms.min(now_ms + pause_ms);
                started.reconnects += 1;
            }
        }
    }

    /// Starts that never left this process: their tasks can go elsewhere.
    pub(crate) fn undelivered(&mut self, ctx: &mut Context<'_>, starts: &[TaskStart]) {
        let unstarted = starts.iter().filter(|start| self.was_sent_once(start));
        let batch = unstarted.map(|start| Finished {
            task_id: start.task_id,
            result: TaskResult::NotStarted(Reason::AgentUnreachable),
            run_ms: 0,
            next_credit: None,
        });
        let batch = batch.collect();
        self.finished(ctx, batch);
    }

    fn was_sent_once(&self, start: &TaskStart) -> bool {
        let open = self.open.get(&start.task_id.submission);
        open.and_then(|open| open.started(start.task_id.index, start.task_id.attempt))
            .is_some_and(|started| !started.is_resent)
    }

    /// Gives up what is past its deadline.
    pub(crate) fn expire_deadlines(&mut self, ctx: &mut Context<'_>) {
        while let Some(first) = self.deadlines.first().copied() {
            if first.at_ms > ctx.now_ms {
                break;
            }
            self.deadlines.remove(&first);
            self.give_up(ctx, first, Reason::DeadlinePassed);
        }
    }

    /// Work that is due from time to time.
    pub(crate) fn maintain(&mut self, ctx: &mut Context<'_>) {
        self.table.advance(ctx.now_ms);
        for table in self.adopted.values_mut() {
            table.advance(ctx.now_ms);
        }
        let retention_ms = self.settings.retention_ms() + 2 * GENERATION_MS;
        self.adopted
            .retain(|_, table| !table.is_past(ctx.now_ms, retention_ms));
        self.lose_tasks_of_departed(ctx);
        self.check_started(ctx);
        let names: Vec<Name> = ctx.configuration.services.keys().cloned().collect();
        for name in names {
            self.refresh_group(ctx, &name);
            self.dispatch(ctx, &name);
        }
    }

    fn refresh_group(&mut self, ctx: &Context<'_>, name: &Name) {
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

    /// The next task and its slot. What can no longer end before its deadline
    /// is given up instead, so that it takes no slot from others.
    fn place_next(
        &mut self,
        ctx: &mut Context<'_>,
        name: &Name,
        last: Option<Placement>,
    ) -> Option<Placement> {
        loop {
            let placement = self.choose_next(ctx, name, last)?;
            let open = self.open.get(&placement.id)?;
            let end_ms = ctx.now_ms + u64::from(placement.task.estimate_ms);
            if end_ms <= open.deadline_at_ms {
                return Some(placement);
            }
            let at_ms = open.deadline_at_ms;
            let service = self.services.get_mut(name)?;
            service
                .credits
                .add(placement.credit, ctx.now_ms, ctx.now_ms);
            let deadline = Deadline {
                at_ms,
                id: placement.id,
            };
            self.give_up(ctx, deadline, Reason::DeadlineUnreachable);
        }
    }

    fn choose_next(
        &mut self,
        ctx: &Context<'_>,
        name: &Name,
        last: Option<Placement>,
    ) -> Option<Placement> {
        let open = &self.open;
        let service = self.services.get_mut(name)?;
        let homes = u32::try_from(service.group.len()).unwrap_or(1);
        let teams = service
            .teams
            .order(service.queue.teams(), &ctx.configuration.teams, homes);
        let config = ctx.configuration.services.get(name);
        let placing = Placing {
            now_ms: ctx.now_ms,
            view: ctx.view,
            teams: &teams,
            preference: config.map_or(Preference::ResponseTime, |config| config.preference),
            last,
        };
        service.place(&placing, |id, index| needs_of(open.get(&id), index))
    }

    fn start(&mut self, ctx: &Context<'_>, placement: Placement) -> Option<(Peer, TaskStart)> {
        let Placement { id, task, credit } = placement;
        let open = self.open.get_mut(&id)?;
        let agent = ctx.view.peer(credit.agent)?;
        let service = self.services.get_mut(&open.submission.service)?;
        let wire_task = open.submission.tasks.get(usize::from(task.index))?;
        let usual_ms = service
            .estimates
            .straggler_ms(&wire_task.kind, wire_task.declared_ms);
        let check_interval_ms = (u64::from(usual_ms) * CHECK_FACTOR).max(MIN_CHECK_MS);
        let check_at_ms = ctx.now_ms + check_interval_ms;
        let started = StartedTask {
            credit,
            agent,
            check_at_ms,
            check_interval_ms,
            is_resent: false,
            reconnects: 0,
        };
        service.running += 1;
        service.teams.started(&open.submission.team);
        service.health.started(credit.agent);
        open.tasks[usize::from(task.index)].state = TaskState::Started(started);
        Some((agent, open.task_start(ctx.now_ms, id, task.index, credit)))
    }

    fn service_of(&self, ctx: &Context<'_>, finished: &Finished) -> Option<Name> {
        if let Some(open) = self.open.get(&finished.task_id.submission) {
            return Some(open.submission.service.clone());
        }
        // The submission has ended, but the slot is free again.
        let agent = finished.next_credit?.agent;
        ctx.view
            .iter()
            .find(|member| member.node == agent)
            .map(|member| member.service.clone())
    }

    fn finished_one(&mut self, ctx: &mut Context<'_>, name: &Name, finished: Finished) {
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
            self.note_health(ctx, name, started.credit.agent, &result);
        }
        let service = self.services.entry(name.clone()).or_default();
        if let Some(credit) = next_credit {
            service.take_back(ctx.now_ms, credit);
        }
        if started.is_some() {
            self.end_attempt(ctx, task_id, result, run_ms);
        }
    }

    fn note_health(
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

    fn end_attempt(
        &mut self,
        ctx: &mut Context<'_>,
        task_id: TaskId,
        result: TaskResult,
        run_ms: u32,
    ) {
        let id = task_id.submission;
        self.free_slot_of(id);
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

    fn lost_task(&mut self, ctx: &mut Context<'_>, id: SubmissionId, index: u16) {
        if !self.open.contains_key(&id) {
            return;
        }
        ctx.actions
            .push(Action::log("task-lost", format_args!("{id}/{index}")));
        self.free_slot_of(id);
        self.set_state(id, index, TaskState::Unknown);
        self.retry_or_close(ctx, id, index, Reason::AgentLost);
    }

    /// A task that may have run is tried again only if it is repeatable and
    /// the budget allows it.
    fn retry_or_close(
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

    fn close_after_loss(&mut self, ctx: &mut Context<'_>, id: SubmissionId, reason: Reason) {
        let retry_after_ms = (reason != Reason::TaskFailed).then_some(RETRY_AFTER_LOSS_MS);
        self.close(ctx, id, reason, retry_after_ms);
    }

    fn requeue_unstarted(
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

    fn requeue(&mut self, id: SubmissionId, index: u16, may_have_run: bool) {
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

    fn free_slot_of(&mut self, id: SubmissionId) {
        if let Some(open) = self.open.get(&id)
            && let Some(service) = self.services.get_mut(&open.submission.service)
        {
            service.running = service.running.saturating_sub(1);
            service.teams.ended(&open.submission.team);
        }
    }

    fn observe(&mut self, id: SubmissionId, index: u16, run_ms: u32) {
        if let Some(open) = self.open.get(&id)
            && let Some(service) = self.services.get_mut(&open.submission.service)
        {
            let task = &open.submission.tasks[usize::from(index)];
            service
                .estimates
                .observe(&task.kind, task.declared_ms, run_ms);
        }
    }

    fn set_state(&mut self, id: SubmissionId, index: u16, state: TaskState) {
        if let Some(open) = self.open.get_mut(&id) {
            open.tasks[usize::from(index)].state = state;
        }
    }

    fn give_up(&mut self, ctx: &mut Context<'_>, deadline: Deadline, reason: Reason) {
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

    /// Sends the start again of each task that has been silent for too long;
    /// the agent answers with what it knows of it.
    fn check_started(&mut self, ctx: &mut Context<'_>) {
        for (id, open) in &mut self.open {
            let due: Vec<(u16, Credit)> = open
                .running()
                .filter(|(_, started)| started.check_at_ms <= ctx.now_ms)
                .map(|(index, started)| (index, started.credit))
                .collect();
            for (index, credit) in due {
                let start = open.task_start(ctx.now_ms, *id, index, credit);
                if let TaskState::Started(started) = &mut open.tasks[usize::from(index)].state {
                    started.is_resent = true;
                    started.check_interval_ms = (started.check_interval_ms * 2).min(MAX_CHECK_MS);
                    started.check_at_ms = ctx.now_ms + started.check_interval_ms;
                    ctx.actions
                        .push(Action::Count(Counter::Resent(Reason::HomeSilent)));
                    let message = Message::Start(vec![start]);
                    ctx.actions.push(Action::Send {
                        to: started.agent,
                        message,
                    });
                }
            }
        }
    }

    /// Passes spare credits to homes that are short, and all of them when this
    /// agent is no longer a home of the service.
    fn lend(&mut self, ctx: &mut Context<'_>, name: &Name) {
        let me = self.table.home();
        let Some(service) = self.services.get_mut(name) else {
            return;
        };
        service.lending.satisfied();
        while let Some(loan) = service.lending.next_loan(ctx.now_ms) {
            let spare = service.credits.take_spare(ctx.now_ms, loan.wanted);
            if spare.is_empty() {
                return;
            }
            service.lending.lent(spare.len());
            ctx.actions.push(grant(loan.to, name, spare));
        }
        let is_home = service.group.iter().any(|peer| peer.node == Some(me));
        let Some(heir) = service.group.first().copied().filter(|_| !is_home) else {
            return;
        };
        let spare = service.credits.take_spare(ctx.now_ms, usize::MAX);
        if !spare.is_empty() {
            ctx.actions.push(grant(heir, name, spare));
        }
    }

    /// Passes a slot on although tasks wait here, when another home's first
    /// task should have had its turn much earlier.
    fn lend_to_more_urgent(&mut self, ctx: &mut Context<'_>, name: &Name) {
        let Some(service) = self.services.get_mut(name) else {
            return;
        };
        let Some(overdue_ms) = service.queue.overdue_ms(ctx.now_ms) else {
            return;
        };
        while !service.credits.is_empty() {
            let Some(loan) = service.lending.next_urgent_loan(ctx.now_ms, overdue_ms) else {
                return;
            };
            let spare = service.credits.take_spare(ctx.now_ms, loan.wanted);
            if !spare.is_empty() {
                ctx.actions.push(grant(loan.to, name, spare));
            }
        }
    }

    fn ask_for_credits(&mut self, ctx: &mut Context<'_>, name: &Name) {
        let me = self.table.home();
        let Some(service) = self.services.get_mut(name) else {
            return;
        };
        if service.queue.is_empty() {
            service.lending.satisfied();
            return;
        }
        if service.group.iter().all(|peer| peer.node == Some(me)) {
            return;
        }
        if !service.lending.should_ask(ctx.now_ms) {
            return;
        }
        let wanted = u32::try_from(service.queue.len().min(MAX_ASKED_CREDITS)).unwrap_or(u32::MAX);
        let overdue_ms = service.queue.overdue_ms(ctx.now_ms).unwrap_or(0);
        let others = service.group.iter().filter(|peer| peer.node != Some(me));
        for peer in others.take(MAX_ASKED_HOMES) {
            let message = Message::CreditRequest {
                service: name.clone(),
                wanted,
                overdue_ms,
            };
            ctx.actions.push(Action::Send { to: *peer, message });
        }
    }
}

impl OpenSubmission {
    /// The message that starts a task of this submission.
    pub(crate) fn task_start(
        &self,
        now_ms: u64,
        id: SubmissionId,
        index: u16,
        credit: Credit,
    ) -> TaskStart {
        let attempt = self.tasks[usize::from(index)].attempt;
        TaskStart {
            task_id: TaskId {
                submission: id,
                index,
                attempt,
            },
            credit,
            task: self.submission.tasks[usize::from(index)].clone(),
            repeatable: self.submission.repeatable,
            remaining_ms: self.deadline_at_ms.saturating_sub(now_ms),
        }
    }
}

fn grant(to: Peer, name: &Name, credits: Vec<SlotCredit>) -> Action {
    Action::Send {
        to,
        message: Message::CreditGrant {
            service: name.clone(),
            credits,
        },
    }
}

fn needs_of(open: Option<&OpenSubmission>, index: u16) -> Needs {
    open.and_then(|open| open.submission.tasks.get(usize::from(index)))
        .map(|task| task.needs)
        .unwrap_or_default()
}
