//! Availability zones that operators are emptying: nothing is started there
//! until they take the zone back.
//!
//! Entries learn it with the configuration and place nothing there, so that the
//! room that is left counts at once. Agents learn it from entries, ahead of any
//! order on the same link, and refuse starts: an entry that has not heard of it
//! yet, or stood still, starts nothing in such a zone either.

use std::collections::BTreeSet;

use gannetvane_wire::Name;
use serde::Deserialize;
use serde::Serialize;

use crate::Agent;
use crate::Job;
use crate::JobOutcome;
use crate::LinkId;
use crate::Order;
use crate::Refusal;
use crate::StartOrder;
use crate::dispatcher::Dispatcher;
use crate::policy::placement;

/// When to come back after a refusal since all that could run a job is being
/// emptied, in milliseconds: operators empty a zone for longer than a caller of
/// a sub-second task waits.
const RETRY_AFTER_MS: u64 = 5_000;

/// The zones that are being emptied, as of a position in the operators' records.
///
/// The position orders two of these, wherever they come from: the same records
/// lead to the same zones, and later records overrule earlier ones.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuations {
    /// Records that are taken account of; 0 before any was read.
    pub as_of: u64,
    /// The zones.
    pub zones: BTreeSet<Name>,
}

impl Evacuations {
    /// Whether a zone is being emptied.
    #[must_use]
    pub fn contains(&self, zone: &Name) -> bool {
        self.zones.contains(zone)
    }

    /// Takes over what is newer; whether it was.
    pub fn advance(&mut self, newer: &Self) -> bool {
        let is_newer = newer.as_of > self.as_of;
        if is_newer {
            self.clone_from(newer);
        }
        is_newer
    }

    /// Names for the log.
    fn names(&self) -> String {
        let names: Vec<&str> = self.zones.iter().map(AsRef::as_ref).collect();
        names.join(",")
    }
}

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
                newer.as_of,
                unknown.count()
            );
            self.event("evacuations", None, detail);
            self.refuse_evacuated(now_ms);
        }
        true
    }

    /// Tells an agent that greeted, before it gets any order.
    pub(crate) fn tell_evacuations(&mut self, link: LinkId) {
        if self.evacuations.as_of == 0 {
            return;
        }
        if let Some(agent) = self.agents.get_mut(&link) {
            agent.is_evacuated = self.evacuations.contains(&agent.hello.zone);
            let told = Order::Evacuations(self.evacuations.clone());
            agent.outbox.push(told);
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
                let left = self.agents.values().filter(|agent| !agent.is_evacuated);
                !placement::fits_somewhere(left, service, step)
            })
    }

    /// Refuses the jobs of which nothing has begun and that now fit nowhere: to
    /// wait for the zone would only tell their callers later.
    fn refuse_evacuated(&mut self, now_ms: u64) {
        let untouched = self
            .jobs
            .iter()
            .filter(|(_, job)| job.is_open() && !job.is_stored && !job.has_run && job.is_clear());
        let evacuated = untouched.filter(|(_, job)| self.is_evacuated(&job.job));
        let evacuated: Vec<Name> = evacuated.map(|(id, _)| id.clone()).collect();
        for id in evacuated {
            let outcome = JobOutcome::Refused {
                reason: Refusal::Evacuated,
                retry_after_ms: retry_after_ms(Refusal::Evacuated),
            };
            self.finish(now_ms, &id, outcome, Refusal::Evacuated.name());
        }
    }
}

/// When to come back after a refusal that room would not mend, in milliseconds.
pub(crate) fn retry_after_ms(reason: Refusal) -> u64 {
    /// An entry that starts has its configuration and its agents by then.
    const USUAL_MS: u64 = 1_000;
    match reason {
        Refusal::Evacuated => RETRY_AFTER_MS,
        _ => USUAL_MS,
    }
}

impl Agent {
    /// Whether operators are emptying the zone of this agent.
    #[must_use]
    pub fn is_evacuated(&self) -> bool {
        self.evacuations.contains(&self.identity.zone)
    }

    /// Counts a start that is refused since the zone is being emptied: its entry
    /// had not heard of it.
    pub(crate) fn note_evacuated_start(&mut self, start: &StartOrder) {
        if self.is_evacuated() {
            let detail = format!("as_of={}", self.evacuations.as_of);
            let job = start.task.job.clone();
            self.note("start-refused-evacuated", Some(job), detail);
        }
    }

    /// An entry told which zones are being emptied.
    pub(crate) fn told_evacuations(&mut self, newer: &Evacuations) {
        let was_evacuated = self.is_evacuated();
        if !self.evacuations.advance(newer) || self.is_evacuated() == was_evacuated {
            return;
        }
        let event = match self.is_evacuated() {
            true => "zone-evacuated",
            false => "zone-taken-back",
        };
        let detail = format!("as_of={} runs={}", newer.as_of, self.active_runs());
        self.note(event, None, detail);
    }
}
