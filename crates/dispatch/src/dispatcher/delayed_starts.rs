//! Delayed starts at an entry: which are known, and which tasks wait for them.

use std::collections::BTreeMap;

use gannetvane_wire::Name;
use gannetvane_wire::NodeId;

use crate::AgentHello;
use crate::DelayedStart;
use crate::GRANT_MS;
use crate::KnownDelayedStarts;
use crate::TaskId;
use crate::dispatcher::Dispatcher;
use crate::dispatcher::fleet::AgentState;
use crate::dispatcher::jobs::TaskPhase;

/// Agents that were lost and have not greeted since, each with the time until
/// which a start that it sent for any entry may be carried out.
#[derive(Debug, Default)]
pub(crate) struct LostAgents {
    until_ms: BTreeMap<NodeId, u64>,
}

impl LostAgents {
    /// Records the loss of an agent whose minion may keep its id, unless the
    /// agent had ended its runs and took no more.
    pub(crate) fn add(&mut self, agent: &AgentState) {
        if agent.hello.max_start_delay_ms > 0 && !agent.has_stopped() {
            let until_ms = agent.last_seen_ms + GRANT_MS + agent.hello.max_start_delay_ms;
            self.until_ms.insert(agent.hello.node, until_ms);
        }
    }

    /// Forgets the agents whose starts cannot be carried out any more.
    pub(crate) fn expire(&mut self, now_ms: u64) {
        self.until_ms.retain(|_, until_ms| now_ms < *until_ms);
    }
}

impl Dispatcher {
    /// Returns whether an agent was lost of which another entry, lost as well,
    /// may have ordered starts that are still to be carried out.
    pub(crate) fn may_have_unknown_starts(&self, now_ms: u64) -> bool {
        let mut until_ms = self.lost_agents.until_ms.values();
        until_ms.any(|until_ms| now_ms < *until_ms)
    }

    /// Returns the known delayed starts.
    #[must_use]
    pub fn delayed_starts(&self) -> &KnownDelayedStarts {
        &self.delayed_starts
    }

    /// Records delayed starts that an agent reported.
    pub(crate) fn add_delayed_starts(&mut self, now_ms: u64, starts: Vec<DelayedStart>) {
        for start in starts {
            let job = start.task.job.clone();
            if self.delayed_starts.add(now_ms, start) {
                self.mark_as_run(&job);
            }
        }
    }

    /// Records delayed starts that another entry gossips, and passes on those
    /// that were not known.
    pub fn gossip_received(&mut self, now_ms: u64, starts: Vec<DelayedStart>) {
        for start in starts {
            let job = start.task.job.clone();
            if self.delayed_starts.add_gossiped(now_ms, start) {
                self.mark_as_run(&job);
            }
        }
    }

    /// Records that some of a job may run, so that it is not refused as never
    /// run.
    fn mark_as_run(&mut self, id: &Name) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.may_have_run = true;
        }
    }

    /// Records all delayed starts of an agent that greets, in place of those
    /// that were known or assumed.
    pub(crate) fn agent_reported_delayed_starts(&mut self, now_ms: u64, hello: &AgentHello) {
        self.lost_agents.until_ms.remove(&hello.node);
        self.delayed_starts.forget_agent(hello.node);
        self.add_delayed_starts(now_ms, hello.delayed_starts.clone());
    }

    /// Assumes that a start of a task is delayed, because its agent was lost
    /// while the start may have been pending.
    pub(crate) fn assume_delayed_start(&mut self, agent: &AgentState, task: &TaskId) {
        if agent.hello.max_start_delay_ms == 0 {
            return;
        }
        // The agent may have sent the start until the last grant expired.
        let until_ms = agent.last_sent_ms + GRANT_MS + agent.hello.max_start_delay_ms;
        let now_ms = self.last_tick_ms;
        let start = DelayedStart {
            task: task.clone(),
            agent: agent.hello.node,
            remaining_ms: until_ms.saturating_sub(now_ms),
        };
        self.delayed_starts.add(now_ms, start);
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

    /// Returns whether a start of a task may still be carried out, so that the
    /// task may not be started again.
    pub(crate) fn has_delayed_start(&self, now_ms: u64, id: &Name, position: usize) -> bool {
        if self.delayed_starts.is_empty() {
            return false;
        }
        let job = self.jobs.get(id);
        job.is_some_and(|job| self.delayed_starts.has_task(now_ms, &job.task_id(position)))
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
