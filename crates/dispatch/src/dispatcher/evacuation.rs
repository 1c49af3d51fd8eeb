//! Evacuation of availability zones at an entry: it starts nothing in evacuated
//! zones, notifies its agents, and refuses at once the jobs that fit nowhere
//! else.

use gannetvane_wire::Name;

use crate::Evacuations;
use crate::Job;
use crate::JobOutcome;
use crate::LinkId;
use crate::Order;
use crate::Refusal;
use crate::dispatcher::Dispatcher;
use crate::policy::placement;

/// Time until the retry of a caller that is refused because all minions that
/// could run its job are in evacuated zones, in milliseconds. Operators
/// evacuate a zone for longer than a caller of a sub-second task waits.
const EVACUATED_RETRY_MS: u64 = 5_000;
/// Time until the retry of a caller after other refusals that free resources
/// would not prevent, in milliseconds. An entry that starts has its
/// configuration and its agents by then.
const DEFAULT_RETRY_MS: u64 = 1_000;

impl Dispatcher {
    /// Returns the evacuated availability zones that are known here.
    #[must_use]
    pub fn evacuations(&self) -> &Evacuations {
        &self.evacuations
    }

    /// Takes over newer evacuations and returns `true`; ignores older ones and
    /// returns `false`.
    pub fn evacuate(&mut self, now_ms: u64, newer: &Evacuations) -> bool {
        let before = self.evacuations.zones.clone();
        if !self.evacuations.advance(newer) {
            return false;
        }
        for agent in self.agents.values_mut() {
            agent.is_evacuated = newer.contains(&agent.hello.zone);
            agent.outbox.push(Order::Evacuations(newer.clone()));
        }
        if before != newer.zones {
            let unknown = newer.zones.iter().filter(|zone| !self.has_agents_in(zone));
            let detail = format!(
                "zones={} as_of={} without_agents={}",
                newer.names(),
                newer.log_offset,
                unknown.count()
            );
            self.event("evacuations", None, detail);
            self.refuse_never_run(now_ms, Refusal::Evacuated, Self::is_evacuated);
        }
        true
    }

    /// Sends the evacuations to an agent that greeted, before any start order.
    pub(crate) fn send_evacuations(&mut self, link: LinkId) {
        if self.evacuations.log_offset == 0 {
            return;
        }
        if let Some(agent) = self.agents.get_mut(&link) {
            agent.is_evacuated = self.evacuations.contains(&agent.hello.zone);
            let order = Order::Evacuations(self.evacuations.clone());
            agent.outbox.push(order);
        }
    }

    fn has_agents_in(&self, zone: &Name) -> bool {
        self.agents.values().any(|agent| agent.hello.zone == *zone)
    }

    /// Returns whether there are minions of the job's service, but some step
    /// fits on none of them outside the evacuated zones.
    pub(crate) fn is_evacuated(&self, job: &Job) -> bool {
        let service = &job.queue.service;
        !self.evacuations.zones.is_empty()
            && self.has_minions(service)
            && job.steps.iter().any(|step| {
                let remaining = self.agents.values().filter(|agent| !agent.is_evacuated);
                !placement::fits_somewhere(remaining, service, step)
            })
    }

    /// Refuses the jobs of which nothing has run and that `is_unplaceable`
    /// selects. Waiting for resources would only delay the answer to their
    /// callers.
    pub(crate) fn refuse_never_run(
        &mut self,
        now_ms: u64,
        reason: Refusal,
        is_unplaceable: impl Fn(&Self, &Job) -> bool,
    ) {
        let never_run = self
            .jobs
            .iter()
            .filter(|(_, job)| job.is_open() && !job.is_stored && job.has_never_run());
        let unplaceable = never_run.filter(|(_, job)| is_unplaceable(self, &job.job));
        let unplaceable: Vec<Name> = unplaceable.map(|(id, _)| id.clone()).collect();
        for id in unplaceable {
            let outcome = JobOutcome::Refused {
                reason,
                retry_after_ms: retry_after_ms(reason),
            };
            self.finish(now_ms, &id, outcome, reason.name());
        }
    }
}

/// Returns the time until the retry of a caller after a refusal that free
/// resources would not prevent, in milliseconds.
pub(crate) fn retry_after_ms(reason: Refusal) -> u64 {
    match reason {
        Refusal::Evacuated => EVACUATED_RETRY_MS,
        _ => DEFAULT_RETRY_MS,
    }
}
