//! Views of the backlog and the fleet on which the policy decides.

use std::collections::BTreeMap;

use gannetvane_wire::Name;

use crate::Demand;
use crate::Step;
use crate::dispatcher::Dispatcher;
use crate::dispatcher::fleet::AgentState;
use crate::dispatcher::jobs::JobState;
use crate::dispatcher::pools::Pool;
use crate::policy::Arrival;
use crate::policy::MIN_RATE_MILLI;
use crate::policy::ServiceView;

/// Smallest share of a busy service that an entry assumes for itself: as if
/// eight entries had equal shares.
pub(crate) const MIN_SHARE: f64 = 0.125;
/// Thousandths of a core in one core.
pub(crate) const MILLI_PER_CORE: f64 = 1_000.0;

impl Dispatcher {
    /// Returns whether the policy admits a job that has just arrived. A job that
    /// waits for a part of its service does not count against the share of the
    /// service's load that is admitted; it is shed if it has no prospect there.
    pub(crate) fn policy_admits(&mut self, now_ms: u64, job: &JobState) -> bool {
        if self.pools().of_job(job) != Pool::Whole {
            return true;
        }
        let queue = &job.job.queue;
        let waiting = job.waiting(&self.estimates);
        let arrival = Arrival {
            queue,
            work: job.waiting_work(&self.estimates),
            slack_ms: (job.objective_ms - job.received_ms) as f64 - waiting.remaining_ms,
        };
        let view = self.service_view(now_ms, &queue.service);
        self.policy.admits(now_ms, &arrival, &view)
    }

    /// Returns the service as this entry sees it.
    pub(crate) fn service_view(&self, now_ms: u64, service: &Name) -> ServiceView {
        let own = self.own_demand(now_ms, service);
        let mut demand = own;
        let mut capacity_milli = 0.0;
        for agent in self.agents_of(service) {
            demand = demand.plus(agent.demand_of_others());
            if agent.accepts_starts(now_ms) {
                capacity_milli += f64::from(agent.hello.capacity.cpu_milli) * agent.speed;
            }
        }
        // After a suspension, the entry has received no frames from its agents
        // for that time, and would wrongly count their capacity as lost.
        let is_view_current = now_ms >= self.starts_resume_at_ms && capacity_milli > 0.0;
        ServiceView {
            capacity_milli,
            offered_milli: f64::from(demand.offered_milli),
            waiting_core_ms: f64::from(demand.waiting_core_ms),
            is_capacity_known: is_view_current && self.have_all_reported_free(service),
        }
    }

    /// Returns the demand of this entry to send to each agent, by service: it
    /// is divided equally among the agents. Each agent adds up what its entries
    /// send, so that an entry learns the demand of all entries from all agents
    /// of a service.
    pub(crate) fn demands(&self, now_ms: u64) -> BTreeMap<Name, Demand> {
        let mut counts: BTreeMap<Name, u32> = BTreeMap::new();
        for agent in self.agents.values() {
            *counts.entry(agent.hello.service.clone()).or_default() += 1;
        }
        let demands = counts.into_iter().map(|(service, agents)| {
            let own = self.own_demand(now_ms, &service);
            let demand = Demand {
                offered_milli: own.offered_milli / agents,
                waiting_core_ms: own.waiting_core_ms / agents,
            };
            (service, demand)
        });
        demands.collect()
    }

    /// Returns the open jobs of a service that have waiting tasks.
    pub(crate) fn waiting_jobs_of<'a>(
        &'a self,
        service: &'a Name,
    ) -> impl Iterator<Item = &'a JobState> {
        let is_waiting = |job: &&JobState| job.is_open() && job.has_waiting();
        let waiting = self.jobs.values().filter(is_waiting);
        waiting.filter(|job| job.job.queue.service == *service)
    }

    /// Returns the demand of this entry alone on a service, without the work
    /// that waits for a part of it.
    fn own_demand(&self, now_ms: u64, service: &Name) -> Demand {
        let mut pools = self.pools();
        let waiting = self.waiting_jobs_of(service).map(|job| {
            let is_for_whole = |step: &Step| pools.of_step(service, step) == Pool::Whole;
            job.waiting_work_of(&self.estimates, is_for_whole)
        });
        let waiting: f64 = waiting.sum();
        Demand {
            offered_milli: self.policy.offered_milli(now_ms, service) as u32,
            waiting_core_ms: (waiting / MILLI_PER_CORE) as u32,
        }
    }

    /// Returns the agents of a service.
    fn agents_of<'a>(&'a self, service: &'a Name) -> impl Iterator<Item = &'a AgentState> {
        let agents = self.agents.values();
        agents.filter(move |agent| agent.hello.service == *service)
    }

    /// Returns whether all connected agents of a service have reported their
    /// free resources. They do so within a few milliseconds, and may have
    /// plenty of free resources.
    pub(crate) fn have_all_reported_free(&self, service: &Name) -> bool {
        self.agents_of(service).all(|agent| agent.has_reported_free)
    }

    /// Returns the rate at which each service does work for this entry, in
    /// thousandths of a core: the largest of what the entry recently started,
    /// what it has running, and a share of all that is in use there.
    pub(crate) fn drain_rates(&self) -> BTreeMap<Name, f64> {
        let mut in_use: BTreeMap<Name, f64> = BTreeMap::new();
        for agent in self.agents.values() {
            let in_use_milli = agent.load() * f64::from(agent.hello.capacity.cpu_milli);
            *in_use.entry(agent.hello.service.clone()).or_default() +=
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
        for (service, started) in &self.started_work {
            let rate_milli = rates.entry(service.clone()).or_default();
            *rate_milli = rate_milli.max(started.rate());
        }
        for (service, used_milli) in in_use {
            let rate_milli = rates.entry(service).or_default();
            let min_milli = used_milli * MIN_SHARE;
            *rate_milli = rate_milli.max(min_milli).max(MIN_RATE_MILLI);
        }
        rates
    }
}
