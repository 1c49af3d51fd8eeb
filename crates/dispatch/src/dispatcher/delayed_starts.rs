//! Delayed starts at an entry: which are known, and where a task may start that
//! has one.

use gannetvane_wire::Name;

use crate::AgentHello;
use crate::DelayedStart;
use crate::GRANT_MS;
use crate::KnownDelayedStarts;
use crate::LinkId;
use crate::TaskId;
use crate::dispatcher::Dispatcher;
use crate::dispatcher::fleet::AgentState;

impl Dispatcher {
    /// Returns the known delayed starts.
    #[must_use]
    pub fn delayed_starts(&self) -> &KnownDelayedStarts {
        &self.delayed_starts
    }

    /// Records delayed starts that an agent or another entry reported.
    pub fn add_delayed_starts(&mut self, now_ms: u64, starts: Vec<DelayedStart>) {
        for start in starts {
            let job = start.task.job.clone();
            if self.delayed_starts.add(now_ms, start)
                && let Some(job) = self.jobs.get_mut(&job)
            {
                job.may_have_run = true;
            }
        }
    }

    /// Records delayed starts that another entry gossips, and passes on those
    /// that were not known.
    pub fn gossip_received(&mut self, now_ms: u64, starts: Vec<DelayedStart>) {
        for start in starts {
            let task = start.task.clone();
            self.add_delayed_starts(now_ms, vec![start]);
            self.delayed_starts.share(&task);
        }
    }

    /// Records all delayed starts of an agent that greets, in place of those
    /// that were known or assumed.
    pub(crate) fn agent_reported_delayed_starts(&mut self, now_ms: u64, hello: &AgentHello) {
        self.delayed_starts.forget_agent(hello.node);
        self.add_delayed_starts(now_ms, hello.delayed_starts.clone());
    }

    /// Assumes that a start of a task is delayed, because its agent was lost
    /// while the start may have been pending.
    pub(crate) fn assume_delayed_start(&mut self, agent: &AgentState, task: TaskId) {
        if agent.hello.max_start_delay_ms == 0 {
            return;
        }
        // The agent may have sent the start until the last grant expired.
        let until_ms = agent.last_sent_ms + GRANT_MS + agent.hello.max_start_delay_ms;
        let now_ms = self.last_tick_ms;
        let start = DelayedStart {
            task: task.clone(),
            host: agent.hello.host.clone(),
            agent: agent.hello.node,
            remaining_ms: until_ms.saturating_sub(now_ms),
        };
        self.delayed_starts.add(now_ms, start);
        self.delayed_starts.share(&task);
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

    /// Returns whether a task has delayed starts, and none of these links leads
    /// to their host.
    pub(crate) fn is_held_elsewhere(&self, delayed_hosts: &[Name], links: &[LinkId]) -> bool {
        let is_host = |link: &LinkId| {
            let agent = self.agents.get(link);
            agent.is_some_and(|agent| delayed_hosts.iter().all(|host| *host == agent.hello.host))
        };
        !delayed_hosts.is_empty() && !links.iter().any(is_host)
    }
}
