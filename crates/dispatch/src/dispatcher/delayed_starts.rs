//! Delayed starts at an entry: which are known, and which tasks wait for them.

use std::collections::BTreeMap;

use gannetvane_wire::Name;
use gannetvane_wire::NodeId;

use crate::AgentHello;
use crate::DelayedStart;
use crate::GRANT_MS;
use crate::KnownDelayedStarts;
use crate::OrderId;
use crate::TaskId;
use crate::dispatcher::Dispatcher;
use crate::dispatcher::fleet::AgentState;
use crate::dispatcher::jobs::JobState;
use crate::dispatcher::jobs::TaskPhase;

/// Until when starts of a lost agent may be carried out.
#[derive(Clone, Copy, Debug)]
struct LostAgent {
    /// Time until which a start that it sent for any entry may be carried out.
    until_ms: u64,
    /// Time after which a start is void, in milliseconds.
    max_start_delay_ms: u64,
}

/// Agents that were lost and have not greeted since.
#[derive(Debug, Default)]
pub(crate) struct LostAgents {
    by_node: BTreeMap<NodeId, LostAgent>,
    /// Agents whose connection ended in any way, each with the time until which
    /// starts that it sent may be carried out.
    disconnected: BTreeMap<NodeId, u64>,
}

impl LostAgents {
    /// Records the loss of an agent whose minion may keep its id, unless the
    /// connection was closed as planned.
    pub(crate) fn add(&mut self, agent: &AgentState) {
        let max_start_delay_ms = agent.hello.max_start_delay_ms;
        let until_ms = agent.last_seen_ms + GRANT_MS + max_start_delay_ms;
        if max_start_delay_ms > 0 {
            self.disconnected.insert(agent.hello.node, until_ms);
        }
        if max_start_delay_ms > 0 && !agent.has_finished() {
            let lost = LostAgent {
                until_ms,
                max_start_delay_ms,
            };
            self.by_node.insert(agent.hello.node, lost);
        }
    }

    /// Forgets an agent that greets.
    fn remove(&mut self, agent: NodeId) {
        self.by_node.remove(&agent);
        self.disconnected.remove(&agent);
    }

    /// Returns whether an agent was connected and has not greeted since.
    pub(crate) fn has_disconnected(&self, agent: NodeId) -> bool {
        self.disconnected.contains_key(&agent)
    }

    /// Forgets the agents whose starts cannot be carried out any more.
    pub(crate) fn expire(&mut self, now_ms: u64) {
        self.by_node.retain(|_, lost| now_ms < lost.until_ms);
        self.disconnected.retain(|_, until_ms| now_ms < *until_ms);
    }
}

impl Dispatcher {
    /// Returns whether starts may still be carried out that an entry ordered
    /// until `ordered_until_ms` at agents which are lost, if that entry is lost
    /// as well.
    pub(crate) fn may_have_unknown_starts(&self, now_ms: u64, ordered_until_ms: u64) -> bool {
        let mut lost = self.lost_agents.by_node.values();
        lost.any(|lost| {
            let void_ms = ordered_until_ms + lost.max_start_delay_ms;
            now_ms < lost.until_ms.min(void_ms)
        })
    }

    /// Returns the known delayed starts.
    #[must_use]
    pub fn delayed_starts(&self) -> &KnownDelayedStarts {
        &self.delayed_starts
    }

    /// Records delayed starts that an agent reported.
    pub(crate) fn add_delayed_starts(&mut self, now_ms: u64, starts: Vec<DelayedStart>) {
        for start in starts {
            if self.delayed_starts.add(now_ms, &start) {
                self.mark_as_run(&start.task.job);
            }
        }
    }

    /// Records delayed starts that another entry gossips, and passes on those
    /// that were not known.
    pub fn gossip_received(&mut self, now_ms: u64, starts: Vec<DelayedStart>) {
        for start in starts {
            if self.delayed_starts.add_gossiped(now_ms, &start) {
                self.mark_as_run(&start.task.job);
            }
        }
    }

    /// Records that some of a job may run, so that it is not refused as never
    /// run.
    pub(crate) fn mark_as_run(&mut self, id: &Name) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.may_have_run = true;
        }
    }

    /// Records all delayed starts of an agent that greets, in place of those
    /// that were known or assumed.
    pub(crate) fn agent_reported_delayed_starts(&mut self, now_ms: u64, hello: &AgentHello) {
        self.lost_agents.remove(hello.node);
        self.delayed_starts.forget_agent(hello.node);
        self.witnessed_starts.forget_agent(hello.node);
        self.add_delayed_starts(now_ms, hello.delayed_starts.clone());
    }

    /// Assumes that the start of an order is delayed, or that its run goes on,
    /// because its agent was lost while the start may have been pending or
    /// while the minion had an inherited lease.
    pub(crate) fn assume_delayed_start(
        &mut self,
        agent: &AgentState,
        order: OrderId,
        task: &TaskId,
    ) {
        let may_be_delayed =
            agent.hello.max_start_delay_ms > 0 && agent.may_have_pending_start(order);
        // The agent may have sent the start until the last grant expired.
        let void_ms = agent.last_sent_ms + GRANT_MS + agent.hello.max_start_delay_ms;
        let void_ms = if may_be_delayed { void_ms } else { 0 };
        let until_ms = void_ms.max(agent.inherited_lease_until_ms);
        let now_ms = self.last_tick_ms;
        if until_ms <= now_ms {
            return;
        }
        let start = DelayedStart {
            task: task.clone(),
            agent: agent.hello.node,
            is_stored: false,
            remaining_ms: until_ms - now_ms,
        };
        self.delayed_starts.add(now_ms, &start);
        self.delayed_starts.share(task);
    }

    /// Gossips the delayed starts of a job that may come again at another
    /// entry.
    pub(crate) fn share_delayed_starts(&mut self, id: &Name) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        for position in 0..job.tasks.len() {
            self.delayed_starts.share(&job.task_id(position));
        }
    }

    /// Returns whether a start of some task of a job may still be carried out.
    pub(crate) fn has_delayed_starts(&self, now_ms: u64, job: &JobState) -> bool {
        let mut positions = 0..job.tasks.len();
        self.knows_delayed_starts()
            && positions.any(|position| self.may_be_started(now_ms, &job.task_id(position)))
    }

    /// Returns whether any delayed start is known, so that tasks must be
    /// checked.
    fn knows_delayed_starts(&self) -> bool {
        !self.delayed_starts.is_empty() || !self.witnessed_starts.is_empty()
    }

    /// Returns whether a known start of the task may still be carried out.
    fn may_be_started(&self, now_ms: u64, task: &TaskId) -> bool {
        self.delayed_starts.has_task(now_ms, task) || self.has_witnessed_start(now_ms, task)
    }

    /// Returns whether a start of a task may still be carried out, so that the
    /// task may not be started again.
    pub(crate) fn has_delayed_start(&self, now_ms: u64, id: &Name, position: usize) -> bool {
        if !self.knows_delayed_starts() {
            return false;
        }
        let job = self.jobs.get(id);
        job.is_some_and(|job| self.may_be_started(now_ms, &job.task_id(position)))
    }

    /// Returns the tasks of a job that wait and may be started, by their index.
    pub(crate) fn startable_tasks(&self, now_ms: u64, id: &Name) -> Vec<usize> {
        let tasks = self.jobs.get(id).into_iter().flat_map(|job| &job.tasks);
        let waiting = tasks
            .enumerate()
            .filter(|(_, task)| task.phase == TaskPhase::Waiting);
        waiting
            .map(|(position, _)| position)
            .filter(|position| !self.has_delayed_start(now_ms, id, *position))
            .collect()
    }
}
