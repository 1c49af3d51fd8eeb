//! An agent that is kept for a task which needs more than any agent has free.
//!
//! While small tasks take what becomes free, a large one would wait for ever,
//! although each minion could run it. The agent keeps what becomes free from
//! the other entries, and the entry orders nothing else there.

use std::sync::Arc;

use gannetvane_wire::Name;

use crate::LinkId;
use crate::Order;
use crate::Resources;
use crate::agent::offers::PROBE_TTL_MS;
use crate::dispatcher::Dispatcher;
use crate::dispatcher::candidates::Candidates;
use crate::dispatcher::fleet::AgentState;
use crate::dispatcher::jobs::JobState;
use crate::policy::placement;

/// Time for which the tasks of a job wait before an agent is kept for one of
/// them, in milliseconds: several rounds of sub-second tasks.
const STARVED_AFTER_MS: u64 = 1_000;
/// Longest time for which one agent is kept, in milliseconds. Its minion may run
/// long tasks, and another one may be free sooner.
const MAX_RESERVATION_MS: u64 = 3_000;
/// Interval at which a reservation is renewed at its agent, in milliseconds.
const RENEWAL_MS: u64 = PROBE_TTL_MS / 2;

/// Number of jobs for which an agent is searched at a time. The next ones follow
/// in turn.
const MAX_TRIED_JOBS: usize = 4;

/// An agent that is kept for a waiting task.
#[derive(Debug)]
pub(crate) struct Reservation {
    job: Name,
    /// Index of the task in the job.
    position: usize,
    pub(crate) link: LinkId,
    /// Time at which it ends, in milliseconds.
    until_ms: u64,
    /// Time at which the agent is told again, in milliseconds.
    renewal_ms: u64,
}

impl Dispatcher {
    /// Orders the start of the task for which an agent is kept, if it fits there
    /// now; otherwise renews the reservation. Ends it if the task waits no more
    /// or the agent is gone.
    pub(crate) fn use_reservation(&mut self, now_ms: u64) {
        let Some(reservation) = self.reservation.take() else {
            return;
        };
        let (id, position) = (&reservation.job, reservation.position);
        let is_waiting = self.startable_tasks(now_ms, id).contains(&position);
        let agent = self.agents.get_mut(&reservation.link);
        let (Some(agent), Some(state)) = (agent, self.jobs.get(id)) else {
            return;
        };
        let is_kept = now_ms < reservation.until_ms && agent.accepts_starts(now_ms);
        if !is_waiting || !state.is_open() || state.is_paused || !is_kept {
            return;
        }
        let job = Arc::clone(&state.job);
        let needs = job.steps[state.tasks[position].step].needs;
        if agent.free().can_fit(&needs) {
            if self.suits(now_ms, &reservation) {
                self.order_start(now_ms, &reservation.job, position, reservation.link);
            }
            return;
        }
        let is_due = now_ms >= reservation.renewal_ms;
        if is_due {
            agent.outbox.push(Order::Reserve);
        }
        let renewal_ms = match is_due {
            true => now_ms + RENEWAL_MS,
            false => reservation.renewal_ms,
        };
        self.reservation = Some(Reservation {
            renewal_ms,
            ..reservation
        });
    }

    /// Returns whether the reserved agent suits the task.
    fn suits(&self, now_ms: u64, reservation: &Reservation) -> bool {
        let Some(state) = self.jobs.get(&reservation.job) else {
            return false;
        };
        let context = self.placement_context(now_ms, &state.job, reservation.position);
        let agent = self.agents.get(&reservation.link);
        agent
            .zip(context)
            .is_some_and(|(agent, context)| placement::is_eligible(agent, &self.hosts, &context))
    }

    /// Keeps an agent for one of the tasks that have waited for long although
    /// some minion could run them, if no agent is kept yet.
    pub(crate) fn reserve(&mut self, now_ms: u64) {
        let is_starved = |job: &JobState| now_ms >= job.changed_ms + STARVED_AFTER_MS;
        if self.reservation.is_some() || !self.jobs.values().any(is_starved) {
            return;
        }
        let accepting = self.agents.iter();
        let accepting = accepting.filter(|(_, agent)| agent.accepts_starts(now_ms));
        let mut idle = Candidates::by_capacity(accepting);
        let starved = self.by_urgency(now_ms, |job| {
            let service = &job.job.queue.service;
            let mut steps = job.waiting_steps();
            let mut could_run =
                |step: usize| idle.may_fit(&self.agents, service, &job.job.steps[step]);
            is_starved(job) && steps.any(&mut could_run)
        });
        let first = self.starved_turn % starved.len().max(1);
        let mut in_turn = starved[first..].iter().take(MAX_TRIED_JOBS);
        self.reservation = in_turn.find_map(|(_, id)| self.reservation_for(now_ms, id));
        self.starved_turn = match self.reservation {
            Some(_) => 0,
            None => first + MAX_TRIED_JOBS,
        };
    }

    fn reservation_for(&self, now_ms: u64, id: &Name) -> Option<Reservation> {
        let state = self.jobs.get(id)?;
        let position = *self.startable_tasks(now_ms, id).first()?;
        let context = self.placement_context(now_ms, &state.job, position)?;
        let can_run = |agent: &AgentState| {
            placement::fits(agent, &agent.hello.capacity, context.service, context.step)
                && is_large_part(&context.step.needs, &agent.hello.capacity)
                && placement::is_eligible(agent, &self.hosts, &context)
        };
        let agents = self.agents.iter().filter(|(_, agent)| can_run(agent));
        let (link, _) = agents.max_by_key(|(_, agent)| agent.free().cpu_milli)?;
        Some(Reservation {
            job: id.clone(),
            position,
            link: *link,
            until_ms: now_ms + MAX_RESERVATION_MS,
            renewal_ms: now_ms,
        })
    }
}

/// Returns whether the needs are more than half of some resource of a minion, so
/// that what small tasks free one by one is seldom enough.
fn is_large_part(needs: &Resources, capacity: &Resources) -> bool {
    !capacity.can_fit(&needs.plus(needs))
}
