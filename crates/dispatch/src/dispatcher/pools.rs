//! The part of a service's minions that can run a task.
//!
//! Work that only a small part can run waits for that part alone. It counts
//! neither as work ahead of jobs that other minions can run, nor as load of the
//! whole service.

use std::collections::BTreeMap;

use gannetvane_wire::Name;

use crate::LinkId;
use crate::Resources;
use crate::Step;
use crate::dispatcher::Dispatcher;
use crate::dispatcher::fleet::AgentState;
use crate::dispatcher::jobs::JobState;
use crate::dispatcher::views::MILLI_PER_CORE;
use crate::dispatcher::views::MIN_SHARE;
use crate::policy::MIN_RATE_MILLI;
use crate::policy::ServiceView;
use crate::policy::placement;

/// A task waits for the whole service if at least this fraction of the
/// service's capacity can run it.
const MIN_WHOLE_FRACTION: f64 = 0.5;

/// The minions that work waits for.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Pool {
    /// Most minions of the service.
    Whole,
    /// Few of them: those with the required label, if there is one, and with
    /// enough capacity.
    Part {
        /// Label that the work requires.
        label: Option<Name>,
        /// Whether few minions with the label have the capacity for it.
        is_large: bool,
    },
}

/// Processor capacity of a service outside evacuated zones.
#[derive(Clone, Copy, Debug, Default)]
struct ServiceCapacity {
    milli: f64,
    /// Smallest amount of each resource that a minion has.
    smallest: Resources,
}

/// The pools of all services, as long as the agents do not change.
#[derive(Debug)]
pub(crate) struct Pools<'a> {
    agents: &'a BTreeMap<LinkId, AgentState>,
    services: BTreeMap<&'a Name, ServiceCapacity>,
    /// Pools of the steps that not all minions of their service can run, by
    /// service, label and needs.
    known: BTreeMap<(Name, Option<Name>, [u32; 3]), Pool>,
}

impl<'a> Pools<'a> {
    fn new(agents: &'a BTreeMap<LinkId, AgentState>) -> Self {
        let mut services: BTreeMap<&Name, ServiceCapacity> = BTreeMap::new();
        for agent in agents.values().filter(|agent| !agent.is_evacuated) {
            let capacity = agent.hello.capacity;
            let of_service = services
                .entry(&agent.hello.service)
                .or_insert(ServiceCapacity {
                    milli: 0.0,
                    smallest: capacity,
                });
            of_service.milli += f64::from(capacity.cpu_milli);
            of_service.smallest = of_service.smallest.min(&capacity);
        }
        Self {
            agents,
            services,
            known: BTreeMap::new(),
        }
    }

    /// Returns the pool that tasks of a step wait for.
    pub(crate) fn of_step(&mut self, service: &Name, step: &Step) -> Pool {
        let of_service = self.services.get(service).copied().unwrap_or_default();
        if step.required_label.is_none() && of_service.smallest.can_fit(&step.needs) {
            return Pool::Whole;
        }
        let needs = &step.needs;
        let needs = [needs.cpu_milli, needs.memory_mb, needs.accelerators];
        let key = (service.clone(), step.required_label.clone(), needs);
        if let Some(pool) = self.known.get(&key) {
            return pool.clone();
        }
        let pool = self.find(service, step, of_service.milli);
        self.known.insert(key, pool.clone());
        pool
    }

    /// Returns the pool that the next tasks of a job wait for.
    pub(crate) fn of_job(&mut self, job: &JobState) -> Pool {
        let step = &job.job.steps[job.next_step()];
        self.of_step(&job.job.queue.service, step)
    }

    fn find(&self, service: &Name, step: &Step, service_milli: f64) -> Pool {
        let any_size = Step {
            required_label: step.required_label.clone(),
            ..Step::default()
        };
        let labelled_milli = self.capacity_milli(service, &any_size);
        let fitting_milli = self.capacity_milli(service, step);
        if fitting_milli > 0.0 && fitting_milli >= service_milli * MIN_WHOLE_FRACTION {
            return Pool::Whole;
        }
        Pool::Part {
            label: step.required_label.clone(),
            is_large: fitting_milli < labelled_milli * MIN_WHOLE_FRACTION,
        }
    }

    /// Returns the processor capacity of the minions that can run the step, in
    /// thousandths of a core.
    fn capacity_milli(&self, service: &Name, step: &Step) -> f64 {
        let fitting = agents_for(self.agents, service, step);
        fitting
            .map(|agent| f64::from(agent.hello.capacity.cpu_milli))
            .sum()
    }
}

/// Returns the agents outside evacuated zones whose minions can run the step.
fn agents_for<'a>(
    agents: &'a BTreeMap<LinkId, AgentState>,
    service: &'a Name,
    step: &'a Step,
) -> impl Iterator<Item = &'a AgentState> {
    let agents = agents.values().filter(|agent| !agent.is_evacuated);
    agents.filter(|agent| placement::fits(agent, &agent.hello.capacity, service, step))
}

impl Dispatcher {
    /// Returns the pools of the connected agents.
    pub(crate) fn pools(&self) -> Pools<'_> {
        Pools::new(&self.agents)
    }

    /// Returns what the minions that can run the step have free, in thousandths
    /// of a core, as far as is known.
    pub(crate) fn free_milli_for(&self, service: &Name, step: &Step) -> f64 {
        let agents = agents_for(&self.agents, service, step);
        agents.map(|agent| f64::from(agent.free().cpu_milli)).sum()
    }

    /// Returns the rate at which the minions that can run the step do work for
    /// this entry, in thousandths of a core: what the entry has running there,
    /// or a share of all that is in use there.
    pub(crate) fn drain_rate_for(&self, service: &Name, step: &Step) -> f64 {
        let mut in_use_milli = 0.0;
        let mut own_milli = 0.0;
        for agent in agents_for(&self.agents, service, step) {
            let speed = agent.speed.min(1.0);
            let capacity_milli = f64::from(agent.hello.capacity.cpu_milli);
            in_use_milli += agent.load() * capacity_milli * speed;
            let needs = agent.outstanding.values().map(|(_, needs)| needs.cpu_milli);
            own_milli += needs.map(f64::from).sum::<f64>() * speed;
        }
        let min_milli = in_use_milli * MIN_SHARE;
        own_milli.max(min_milli).max(MIN_RATE_MILLI)
    }

    /// Returns the minions that can run the step as this entry sees them, with
    /// the work that waits here for the same pool.
    fn part_view(&self, now_ms: u64, service: &Name, step: &Step, pool: &Pool) -> ServiceView {
        let agents = agents_for(&self.agents, service, step);
        let accepting = agents.filter(|agent| agent.accepts_starts(now_ms));
        let capacity_milli: f64 = accepting
            .map(|agent| f64::from(agent.hello.capacity.cpu_milli) * agent.speed)
            .sum();
        let mut pools = self.pools();
        let waiting = self.waiting_jobs_of(service);
        let waiting = waiting.filter(|job| pools.of_job(job) == *pool);
        let waiting: f64 = waiting.map(|job| job.waiting_work(&self.estimates)).sum();
        ServiceView {
            capacity_milli,
            offered_milli: 0.0,
            waiting_core_ms: waiting / MILLI_PER_CORE,
            is_capacity_known: capacity_milli > 0.0 && self.have_all_reported_free(service),
        }
    }

    /// Returns the minions that a job waits for as this entry sees them.
    pub(crate) fn view_for(&self, now_ms: u64, job: &JobState) -> ServiceView {
        let service = &job.job.queue.service;
        match self.pools().of_job(job) {
            Pool::Whole => self.service_view(now_ms, service),
            part @ Pool::Part { .. } => {
                let step = &job.job.steps[job.next_step()];
                self.part_view(now_ms, service, step, &part)
            }
        }
    }
}
