//! Jobs that cannot be of use any more are answered at once; those of which
//! nothing has started are refused as soon as they would be late.

use std::collections::BTreeMap;

use gannetvane_wire::Name;

use crate::JobOutcome;
use crate::Refusal;
use crate::dispatcher::Dispatcher;
use crate::dispatcher::RETRY_AFTER_MS;
use crate::drain::LEAST_RATE;
use crate::jobs::JobState;
use crate::jobs::MARGIN;

/// A job waits for the first minion of its service for one in this many parts
/// of its objective; agents greet within that after a restart.
pub(crate) const MINION_WAIT_PART: u64 = 3;
/// While an overload lasts, a job waits for its first start for one in this
/// many parts of its objective. A later refusal is of less use to its caller,
/// and half of the objective is needed for the work itself.
const LASTING_WAIT_PART: u64 = 6;
/// Share of a busy service that an entry reckons with at least: as if eight
/// entries had equal shares.
const LEAST_SHARE: f64 = 0.125;
/// Pause between two looks for jobs without a prospect, in milliseconds.
pub(crate) const SHED_MS: u64 = 10;

impl Dispatcher {
    /// Answers jobs that cannot be of use any more.
    pub(crate) fn give_up(&mut self, now_ms: u64) {
        let over: Vec<Name> = self
            .jobs
            .iter()
            .filter(|(_, job)| job.is_open() && !job.is_stored)
            .filter(|(_, job)| self.is_hopeless(now_ms, job))
            .map(|(id, _)| id.clone())
            .collect();
        for id in over {
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            let reason = if self.has_minions(&job.job.queue.service) {
                Refusal::Overloaded
            } else {
                Refusal::NoMinion
            };
            let outcome = if job.has_run || !job.is_clear() {
                JobOutcome::TooLate
            } else {
                JobOutcome::Refused {
                    reason,
                    retry_after_ms: RETRY_AFTER_MS,
                }
            };
            self.finish(now_ms, &id, outcome, "too-late");
        }
    }

    /// Whether a job is of no use any more, or has waited in vain for a minion
    /// of its service.
    pub(crate) fn is_hopeless(&self, now_ms: u64, job: &JobState) -> bool {
        let is_untouched = !job.has_run && job.is_clear();
        let waited_ms = now_ms.saturating_sub(job.received_ms);
        let objective_ms = job.objective_ms.saturating_sub(job.received_ms);
        let has_waited = waited_ms * MINION_WAIT_PART >= objective_ms;
        let waits_in_vain = is_untouched && has_waited && !self.has_minions(&job.job.queue.service);
        now_ms >= job.worthless_ms || waits_in_vain
    }

    /// Refuses jobs of which nothing has started and that would not be complete
    /// in time.
    pub(crate) fn shed(&mut self, now_ms: u64) {
        for load in self.loads.values_mut() {
            load.drain.decay(now_ms);
        }
        let rates = self.drain_rates();
        let mut ahead: BTreeMap<Name, f64> = BTreeMap::new();
        let mut hopeless = Vec::new();
        for id in self.waiting_by_urgency(now_ms) {
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            let service = &job.job.queue.service;
            let work =
                ahead.get(service).copied().unwrap_or(0.0) + job.waiting_work(&self.estimates);
            let rate = rates.get(service).copied().unwrap_or(LEAST_RATE);
            if !job.is_stored && self.has_no_prospect(now_ms, job, work / rate) {
                hopeless.push((id, service.clone()));
            } else {
                ahead.insert(service.clone(), work);
            }
        }
        for (id, service) in hopeless {
            let load = self.loads.entry(service).or_default();
            load.pressure.refused(now_ms);
            let outcome = JobOutcome::Refused {
                reason: Refusal::Overloaded,
                retry_after_ms: RETRY_AFTER_MS,
            };
            self.finish(now_ms, &id, outcome, "no-prospect");
        }
    }

    /// Whether nothing of a job has started and it would be late when all of
    /// its tasks start within `wait_ms`. While an overload lasts it is refused
    /// as soon as it has waited for a part of its objective.
    fn has_no_prospect(&self, now_ms: u64, job: &JobState, wait_ms: f64) -> bool {
        let service = &job.job.queue.service;
        let is_untouched = !job.has_run && job.is_clear();
        if !is_untouched || !self.has_minions(service) || self.awaits_room(service) {
            return false;
        }
        let latest_ms = job.latest_start_ms(job.next_step(), &self.estimates);
        let rest_ms = job.objective_ms as f64 - latest_ms as f64;
        let end_ms = now_ms as f64 + wait_ms + rest_ms * (1.0 + MARGIN);
        let is_lasting = self
            .loads
            .get(service)
            .is_some_and(|load| load.pressure.is_lasting(now_ms));
        let waited_ms = now_ms.saturating_sub(job.received_ms);
        let objective_ms = job.objective_ms.saturating_sub(job.received_ms);
        let has_waited = waited_ms * LASTING_WAIT_PART > objective_ms;
        end_ms > job.objective_ms as f64 || (is_lasting && has_waited)
    }

    /// Whether an agent of a service has greeted and not told its room yet: it
    /// does within a few milliseconds, and may have plenty.
    fn awaits_room(&self, service: &Name) -> bool {
        let mut of_service = self.agents.values();
        of_service.any(|agent| agent.hello.service == *service && !agent.is_room_known)
    }

    /// Work that each service gets through for this entry, in thousandths of a
    /// core: what it started of late, what it has at work, or a share of all
    /// that is in use there, whichever is most.
    pub(crate) fn drain_rates(&self) -> BTreeMap<Name, f64> {
        let mut used: BTreeMap<Name, f64> = BTreeMap::new();
        for agent in self.agents.values() {
            let in_use_milli = agent.load() * f64::from(agent.hello.capacity.cpu_milli);
            *used.entry(agent.hello.service.clone()).or_default() +=
                in_use_milli * agent.speed.min(1.0);
        }
        let mut rates: BTreeMap<Name, f64> = BTreeMap::new();
        for order in self.orders.values() {
            let (Some(agent), Some(job)) =
                (self.agents.get(&order.link), self.jobs.get(&order.job))
            else {
                continue;
            };
            let step = job.tasks[order.position].step;
            let cpu_milli = f64::from(job.job.steps[step].needs.cpu_milli);
            *rates.entry(agent.hello.service.clone()).or_default() +=
                cpu_milli * agent.speed.min(1.0);
        }
        for (service, load) in &self.loads {
            let rate = rates.entry(service.clone()).or_default();
            *rate = rate.max(load.drain.rate());
        }
        for (service, used_milli) in used {
            let rate = rates.entry(service).or_default();
            *rate = rate.max(used_milli * LEAST_SHARE).max(LEAST_RATE);
        }
        rates
    }
}
