//! Late binding at an entry: it sends probes for waiting tasks to a few agents,
//! which offer resources as soon as some are free.

use std::collections::BTreeMap;
use std::sync::Arc;

use gannetvane_wire::Name;
use rand::RngExt;

use crate::LinkId;
use crate::Order;
use crate::Probe;
use crate::agent::offers::PROBE_TTL_MS;
use crate::dispatcher::Dispatcher;
use crate::dispatcher::SUSPENSION_MS;
use crate::dispatcher::fleet::AgentState;
use crate::policy::placement;

/// Number of agents that are probed for each waiting task. More would cost
/// messages and find free resources no sooner.
const PROBES_PER_TASK: usize = 3;

impl Dispatcher {
    /// Sends probes for the waiting tasks, and declines the offers that were
    /// not used.
    pub(crate) fn probe(&mut self, now_ms: u64) {
        let is_suspended = now_ms > self.last_tick_ms + SUSPENSION_MS;
        if now_ms >= self.starts_resume_at_ms && !is_suspended {
            let waiting = self
                .jobs
                .iter()
                .filter(|(_, job)| job.is_open() && job.has_waiting())
                .filter(|(_, job)| now_ms >= job.probed_until_ms);
            let waiting: Vec<Name> = waiting.map(|(id, _)| id.clone()).collect();
            for id in waiting {
                self.probe_for(now_ms, &id);
            }
        }
        for agent in self.agents.values_mut() {
            agent.decline_offer();
        }
    }

    /// Sends probes for the waiting tasks of one job.
    fn probe_for(&mut self, now_ms: u64, id: &Name) {
        let waiting = self.startable_tasks(now_ms, id);
        let Some(state) = self.jobs.get_mut(id) else {
            return;
        };
        state.probed_until_ms = now_ms + PROBE_TTL_MS;
        let mut by_step: BTreeMap<usize, Vec<usize>> = BTreeMap::new();
        for position in waiting {
            let of_step = by_step.entry(state.tasks[position].step).or_default();
            of_step.push(position);
        }
        for of_step in by_step.into_values() {
            self.probe_for_step(now_ms, id, &of_step);
        }
    }

    /// Sends probes for the waiting tasks of one step.
    fn probe_for_step(&mut self, now_ms: u64, id: &Name, waiting: &[usize]) {
        let (Some(state), Some(first)) = (self.jobs.get(id), waiting.first().copied()) else {
            return;
        };
        let job = Arc::clone(&state.job);
        let step = state.tasks[first].step;
        let latest_ms = state.latest_start_ms(step, &self.estimates);
        let slack_ms = (latest_ms - now_ms.cast_signed()).max(0);
        let agents: Vec<(LinkId, &AgentState)> = self
            .agents
            .iter()
            .map(|(link, agent)| (*link, agent))
            .collect();
        let Some(context) = self.placement_context(now_ms, &job, first) else {
            return;
        };
        let count = waiting.len() * PROBES_PER_TASK;
        let mut jitter = || self.rng.random::<f64>();
        let chosen = placement::choose_probed(&agents, &self.hosts, &context, &mut jitter, count);
        // A small fleet has fewer agents than that, so each is probed for more
        // tasks.
        let tasks = count.div_ceil(chosen.len().max(1)).min(waiting.len());
        let probe = Probe {
            needs: job.steps[step].needs,
            tasks: u32::try_from(tasks).unwrap_or(u32::MAX),
            slack_ms: u32::try_from(slack_ms).unwrap_or(u32::MAX),
        };
        for link in chosen {
            if let Some(agent) = self.agents.get_mut(&link) {
                agent.outbox.push(Order::Probe(probe));
            }
        }
    }
}
