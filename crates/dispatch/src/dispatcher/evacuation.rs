//! What an entry does about zones that operators empty: it places nothing there,
//! tells its agents, and refuses at once what fits nowhere else.

use gannetvane_wire::Name;

use crate::Evacuations;
use crate::Job;
use crate::JobOutcome;
use crate::LinkId;
use crate::Order;
use crate::Refusal;
use crate::dispatcher::Dispatcher;
use crate::policy::placement;

/// When to come back after a refusal since all that could run a job is being
/// emptied, in milliseconds: operators empty a zone for longer than a caller of
/// a sub-second task waits.
const EVACUATED_RETRY_MS: u64 = 5_000;
/// The same after other refusals that room would not mend: an entry that starts
/// has its configuration and its agents by then.
const DEFAULT_RETRY_MS: u64 = 1_000;

impl Dispatcher {
    /// The zones that are being emptied, as far as is known here.
    #[must_use]
    pub fn evacuations(&self) -> &Evacuations {
        &self.evacuations
    }

    /// Operators empty other zones than before; an older picture is ignored.
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

    /// Tells an agent that greeted, before it gets any order.
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

    /// Whether minions that could run all steps of a job are known, but for some
    /// step only in zones that are being emptied.
    pub(crate) fn is_evacuated(&self, job: &Job) -> bool {
        let service = &job.queue.service;
        !self.evacuations.zones.is_empty()
            && self.has_minions(service)
            && job.steps.iter().any(|step| {
                let remaining = self.agents.values().filter(|agent| !agent.is_evacuated);
                !placement::fits_somewhere(remaining, service, step)
            })
    }

    /// Refuses the jobs of which nothing has begun and that now fit nowhere: to
    /// wait for room would only tell their callers later.
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

/// When to come back after a refusal that room would not mend, in milliseconds.
pub(crate) fn retry_after_ms(reason: Refusal) -> u64 {
    match reason {
        Refusal::Evacuated => EVACUATED_RETRY_MS,
        _ => DEFAULT_RETRY_MS,
    }
}
