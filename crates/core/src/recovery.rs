//! How a home recovers when agents die, leave or do not respond.

use gannetvane_wire::Credit;
use gannetvane_wire::Finished;
use gannetvane_wire::MemberState;
use gannetvane_wire::Message;
use gannetvane_wire::Name;
use gannetvane_wire::NodeId;
use gannetvane_wire::Reason;
use gannetvane_wire::SubmissionId;
use gannetvane_wire::TaskResult;
use gannetvane_wire::TaskStart;

use crate::Action;
use crate::Counter;
use crate::home::Context;
use crate::home::Home;
use crate::submission::TaskState;

/// Time in milliseconds for which results of an agent that left as planned are
/// awaited.
const LEFT_RESULT_TIMEOUT_MS: u64 = 2_000;
/// Maximum number of times that the delay after a broken connection is doubled.
const MAX_RECONNECT_DOUBLINGS: u32 = 5;

/// Delay in milliseconds after the first broken connection before the start is
/// sent again.
const FIRST_RECONNECT_DELAY_MS: u64 = 100;
/// Maximum interval in milliseconds between two resends of a start.
const MAX_CHECK_INTERVAL_MS: u64 = 15_000;

impl Home {
    /// Handles an agent that is dead or has left.
    pub(crate) fn agent_gone(&mut self, ctx: &mut Context<'_>, agent: NodeId) {
        for service in self.services.values_mut() {
            service.forget_agent(agent);
        }
        match ctx.view.state(agent) {
            // The agent finished its tasks, but this update may arrive before
            // their results.
            Some(MemberState::Left { .. }) => {
                self.results_awaited_until_ms
                    .insert(agent, ctx.now_ms + LEFT_RESULT_TIMEOUT_MS);
            }
            _ => self.mark_tasks_lost(ctx, agent),
        }
    }

    /// Marks tasks as lost whose agent left and whose results have been awaited
    /// long enough.
    pub(crate) fn mark_tasks_of_left_agents_lost(&mut self, ctx: &mut Context<'_>) {
        let is_due = |due_ms: &u64| *due_ms <= ctx.now_ms;
        let due: Vec<NodeId> = self
            .results_awaited_until_ms
            .iter()
            .filter(|(_, due_ms)| is_due(due_ms))
            .map(|(node, _)| *node)
            .collect();
        for agent in due {
            self.results_awaited_until_ms.remove(&agent);
            self.mark_tasks_lost(ctx, agent);
        }
    }

    /// Marks the tasks on a lost agent as unknown, because nothing will report
    /// their results.
    pub(crate) fn mark_tasks_lost(&mut self, ctx: &mut Context<'_>, agent: NodeId) {
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
                self.handle_lost_task(ctx, id, index);
            }
        }
        let names: Vec<Name> = self.services.keys().cloned().collect();
        for name in names {
            self.dispatch(ctx, &name);
        }
    }

    /// Marks a task as unknown, and retries it or ends its submission.
    pub(crate) fn handle_lost_task(&mut self, ctx: &mut Context<'_>, id: SubmissionId, index: u16) {
        if !self.open.contains_key(&id) {
            return;
        }
        ctx.actions
            .push(Action::log("task-lost", format_args!("{id}/{index}")));
        self.release_slot_of(id);
        self.set_state(id, index, TaskState::Unknown);
        self.retry_or_close(ctx, id, index, Reason::AgentLost);
    }

    /// Handles a broken connection to `addr`: messages may be lost, so the
    /// starts sent there are sent again soon.
    pub(crate) fn peer_down(&mut self, now_ms: u64, addr: std::net::SocketAddr) {
        for task in self.open.values_mut().flat_map(|open| &mut open.tasks) {
            if let TaskState::Started(started) = &mut task.state
                && started.agent.addr == addr
            {
                let pause_ms = FIRST_RECONNECT_DELAY_MS
                    << started.broken_connections.min(MAX_RECONNECT_DOUBLINGS);
                started.check_at_ms = started.check_at_ms.min(now_ms + pause_ms);
                started.broken_connections += 1;
            }
        }
    }

    /// Handles starts that were never sent. Their tasks can start on other
    /// agents.
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

    /// Returns whether this attempt is current and its start was sent only
    /// once, so that it cannot have reached the agent.
    pub(crate) fn was_sent_once(&self, start: &TaskStart) -> bool {
        let open = self.open.get(&start.task_id.submission);
        open.and_then(|open| open.started(start.task_id.index, start.task_id.attempt))
            .is_some_and(|started| !started.is_resent)
    }

    /// Sends again the start of each task whose result is overdue. The agent
    /// answers with what it has retained about the task.
    pub(crate) fn check_started(&mut self, ctx: &mut Context<'_>) {
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
                    started.check_interval_ms =
                        (started.check_interval_ms * 2).min(MAX_CHECK_INTERVAL_MS);
                    started.check_at_ms = ctx.now_ms + started.check_interval_ms;
                    ctx.actions
                        .push(Action::Count(Counter::Resent(Reason::AgentSilent)));
                    let message = Message::Start(vec![start]);
                    ctx.actions.push(Action::Send {
                        to: started.agent,
                        message,
                    });
                }
            }
        }
    }
}
