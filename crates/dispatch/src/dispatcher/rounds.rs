//! Rounds of placement: waiting tasks go to agents with free resources, the
//! most urgent first.

use std::collections::BTreeMap;
use std::sync::Arc;

use gannetvane_wire::Name;
use rand::RngExt;

use crate::Job;
use crate::LinkId;
use crate::OrderId;
use crate::StartOrder;
use crate::Step;
use crate::Suspicion;
use crate::dispatcher::Dispatcher;
use crate::dispatcher::OrderState;
use crate::dispatcher::SUSPENSION_MS;
use crate::dispatcher::candidates::Candidates;
use crate::dispatcher::candidates::TaskDemand;
use crate::dispatcher::fleet::AgentState;
use crate::dispatcher::jobs::JobState;
use crate::dispatcher::jobs::TaskPhase;
use crate::policy::Rank;
use crate::policy::placement;
use crate::policy::placement::PlacementContext;

/// Smallest value used for the median speed of minions.
const MIN_USUAL_SPEED: f64 = 0.2;
/// No host of a service is left out if more than one in this many of its hosts
/// are ejected.
const MAX_EJECTED_DIVISOR: usize = 2;
/// Number of agents with enough free resources for some task, but not suitable
/// for it, that a round of placement examines before it passes on to the jobs
/// whose turn it is.
const MAX_VAIN_CHECKS: usize = 1_000;

impl Dispatcher {
    /// Returns the services of which so many hosts failed that the cause is not
    /// the hosts. None of their hosts is left out.
    pub(crate) fn find_services_without_ejection(&self, now_ms: u64) -> Vec<Name> {
        let mut counts: BTreeMap<&Name, (usize, usize)> = BTreeMap::new();
        for agent in self.agents.values() {
            let record = self.hosts.get(&agent.hello.host);
            let is_ejected = record.is_some_and(|record| now_ms < record.ejected_until_ms);
            let (all, ejected) = counts.entry(&agent.hello.service).or_default();
            *all += 1;
            *ejected += usize::from(is_ejected);
        }
        let is_without_ejection =
            |(all, ejected): &(usize, usize)| ejected * MAX_EJECTED_DIVISOR > *all;
        let services_without_ejection = counts
            .iter()
            .filter(|(_, counts)| is_without_ejection(counts));
        services_without_ejection
            .map(|(service, _)| (*service).clone())
            .collect()
    }

    /// Orders waiting tasks, the most urgent first, while there are free
    /// resources.
    pub(crate) fn place(&mut self, now_ms: u64) {
        if now_ms < self.starts_resume_at_ms || now_ms > self.last_tick_ms + SUSPENSION_MS {
            return;
        }
        self.use_reservation(now_ms);
        let mut candidates = self.candidates(now_ms);
        if candidates.is_empty() {
            return;
        }
        self.services_without_ejection = self.find_services_without_ejection(now_ms);
        let waiting = self.placeable_by_urgency(now_ms, &mut candidates);
        let reached = self.place_jobs(now_ms, &waiting, &mut candidates);
        self.place_rest(now_ms, &waiting[reached..], &mut candidates);
    }

    /// Orders the tasks of these jobs, the first job first, until too many
    /// agents were examined in vain. Returns the number of jobs that were
    /// reached.
    fn place_jobs(
        &mut self,
        now_ms: u64,
        waiting: &[(Rank, Name)],
        candidates: &mut Candidates,
    ) -> usize {
        candidates.allow_checks(MAX_VAIN_CHECKS);
        for (number, (_, id)) in waiting.iter().enumerate() {
            if candidates.is_exhausted() {
                return number;
            }
            self.place_job(now_ms, id, candidates);
        }
        waiting.len()
    }

    /// Orders the tasks of jobs that the round did not reach in their order.
    /// They take turns: the next round goes on where this one ends.
    fn place_rest(&mut self, now_ms: u64, rest: &[(Rank, Name)], candidates: &mut Candidates) {
        let turn = self.next_turn.take();
        let first = turn.map_or(0, |turn| rest.partition_point(|waiting| *waiting < turn));
        let first = if first < rest.len() { first } else { 0 };
        let reached = first + self.place_jobs(now_ms, &rest[first..], candidates);
        self.next_turn = rest.get(reached).cloned();
    }

    /// Sets the usual speed to the median speed of the minions that run tasks,
    /// at most the ordinary speed.
    pub(crate) fn learn_usual_speed(&mut self) {
        let busy = self.agents.values().filter(|agent| agent.load() > 0.0);
        let mut speeds: Vec<f64> = busy.map(|agent| agent.speed).collect();
        speeds.sort_by(f64::total_cmp);
        let median = speeds.get(speeds.len() / 2).copied().unwrap_or(1.0);
        self.usual_speed = median.clamp(MIN_USUAL_SPEED, 1.0);
    }

    /// Returns the agents that may take a waiting task. In a full fleet they
    /// are few, which keeps a round cheap.
    fn candidates(&self, now_ms: u64) -> Candidates {
        let waiting = self
            .jobs
            .values()
            .filter(|job| job.is_open() && !job.is_paused);
        let needs = waiting.flat_map(|job| {
            let steps = job.waiting_steps();
            steps.map(|step| job.job.steps[step].needs.cpu_milli)
        });
        let Some(min_milli) = needs.min() else {
            return Candidates::default();
        };
        let can_take = |agent: &AgentState| {
            let has_enough_cpu = agent.free().cpu_milli >= min_milli;
            agent.accepts_starts(now_ms) && has_enough_cpu
        };
        let reserved = self.reservation.as_ref();
        let is_reserved = |link| reserved.is_some_and(|reserved| reserved.link == link);
        let agents = self.agents.iter().filter(|(_, agent)| can_take(agent));
        let agents = agents.filter(|(link, _)| !is_reserved(**link));
        Candidates::by_free(agents)
    }

    /// Returns the free processor capacity of a service outside evacuated
    /// zones, in thousandths of a core, as far as is known.
    pub(crate) fn free_milli(&self, service: &Name) -> f64 {
        let of_service = self.agents.values();
        let of_service =
            of_service.filter(|agent| agent.hello.service == *service && !agent.is_evacuated);
        of_service
            .map(|agent| f64::from(agent.free().cpu_milli))
            .sum()
    }

    /// Returns the ids of the jobs with waiting tasks, the most urgent first.
    pub(crate) fn waiting_by_urgency(&self, now_ms: u64) -> Vec<(Rank, Name)> {
        self.by_urgency(now_ms, |_| true)
    }

    /// Returns the ids of the jobs with a waiting task for which some candidate
    /// may have enough free resources, the most urgent first.
    fn placeable_by_urgency(&self, now_ms: u64, candidates: &mut Candidates) -> Vec<(Rank, Name)> {
        self.by_urgency(now_ms, |job| {
            let service = &job.job.queue.service;
            let mut steps = job.waiting_steps();
            steps.any(|step| candidates.may_fit(&self.agents, service, &job.job.steps[step]))
        })
    }

    /// Returns the ids and ranks of the waiting jobs that `is_wanted` selects,
    /// the most urgent first.
    pub(crate) fn by_urgency(
        &self,
        now_ms: u64,
        mut is_wanted: impl FnMut(&JobState) -> bool,
    ) -> Vec<(Rank, Name)> {
        let waiting = self
            .jobs
            .iter()
            .filter(|(_, job)| job.is_open() && job.has_waiting() && is_wanted(job));
        let rank = |job: &JobState| self.policy.rank(now_ms, &job.waiting(&self.estimates));
        let mut waiting: Vec<(Rank, Name)> =
            waiting.map(|(id, job)| (rank(job), id.clone())).collect();
        waiting.sort_unstable();
        waiting
    }

    /// Orders the waiting tasks of a job for which there are agents. A task
    /// without one holds up no task of another step, nor one that avoids other
    /// hosts.
    fn place_job(&mut self, now_ms: u64, id: &Name, candidates: &mut Candidates) {
        let Some(state) = self.jobs.get(id) else {
            return;
        };
        let job = Arc::clone(&state.job);
        let mut without_agent: Vec<(usize, Suspicion, Vec<Name>)> = Vec::new();
        for position in self.startable_tasks(now_ms, id) {
            let Some(state) = self.jobs.get(id) else {
                return;
            };
            let task = &state.tasks[position];
            let suspicion = state.suspicion(position);
            let is_like = |(step, other, avoided): &(usize, Suspicion, Vec<Name>)| {
                *step == task.step && *other == suspicion && *avoided == task.avoided_hosts
            };
            if without_agent.iter().any(is_like) {
                continue;
            }
            let step = task.step;
            let avoided_hosts = task.avoided_hosts.clone();
            match self.choose_agent(now_ms, &job, position, candidates) {
                Some(link) => {
                    candidates.add_order(link, &job.steps[step].needs);
                    self.order_start(now_ms, id, position, link);
                }
                None => without_agent.push((step, suspicion, avoided_hosts)),
            }
            if candidates.is_exhausted() {
                return;
            }
        }
    }

    /// Returns the best of the candidates for a task, if any has enough free
    /// resources.
    fn choose_agent(
        &mut self,
        now_ms: u64,
        job: &Job,
        position: usize,
        candidates: &mut Candidates,
    ) -> Option<LinkId> {
        let state = self.jobs.get(&job.id)?;
        let task = &state.tasks[position];
        let step = &job.steps[task.step];
        let has_own_requirements = step.max_per_minion > 0
            || !task.avoided_hosts.is_empty()
            || state.suspicion(position).is_suspect();
        let time_left_ms = state.objective_ms as f64 - now_ms as f64;
        let expected_ms = self
            .estimates
            .expected_ms(&job.queue.name, step.declared_ms);
        let demand = TaskDemand {
            service: &job.queue.service,
            step,
            is_stored: state.is_stored,
            slack: time_left_ms / expected_ms.max(1.0),
        };
        if !has_own_requirements && candidates.is_unsuited(&demand) {
            candidates.checked_in_vain(0);
            return None;
        }
        let fitting = candidates.fitting(&self.agents, &job.queue.service, step);
        if fitting.is_empty() {
            return None;
        }
        let is_avoidance_over = now_ms >= task.avoids_until_ms;
        let mut context = self.placement_context(now_ms, job, position)?;
        let agents: Vec<(LinkId, &AgentState)> = fitting
            .iter()
            .filter_map(|link| Some((*link, self.agents.get(link)?)))
            .collect();
        let mut jitter = || self.rng.random::<f64>();
        let mut chosen = placement::choose(&agents, &self.hosts, &context, &mut jitter);
        if chosen.is_none() && is_avoidance_over && !context.avoided_hosts.is_empty() {
            context.avoided_hosts.clear();
            chosen = placement::choose(&agents, &self.hosts, &context, &mut jitter);
        }
        if chosen.is_none() {
            candidates.checked_in_vain(fitting.len());
            if !has_own_requirements {
                candidates.add_unsuited(&demand);
            }
        }
        chosen
    }

    /// Returns what the choice of an agent for a task depends on.
    pub(crate) fn placement_context<'a>(
        &self,
        now_ms: u64,
        job: &'a Job,
        position: usize,
    ) -> Option<PlacementContext<'a>> {
        let state = self.jobs.get(&job.id)?;
        let task = &state.tasks[position];
        let step = &job.steps[task.step];
        let mut tasks_per_host: BTreeMap<Name, u32> = BTreeMap::new();
        if step.max_per_minion > 0 {
            let same = state.tasks.iter().filter(|other| other.step == task.step);
            let running = same.filter(|other| matches!(other.phase, TaskPhase::Ordered(_)));
            for host in running.filter_map(|other| other.host.clone()) {
                *tasks_per_host.entry(host).or_default() += 1;
            }
        }
        Some(PlacementContext {
            step,
            job: &job.id,
            suspicion: state.suspicion(position),
            service: &job.queue.service,
            zone: self.settings.zone.clone(),
            expected_ms: self
                .estimates
                .expected_ms(&job.queue.name, step.declared_ms),
            time_left_ms: state.objective_ms as f64 - now_ms as f64,
            is_stored: state.is_stored,
            avoided_hosts: self.hosts_to_avoid(&task.avoided_hosts, &job.queue.service, step),
            tasks_per_host,
            remote_factor: self.settings.remote_factor,
            spec: &job.spec,
            spec_copy_ms: self.uplink.copy_delay_ms(now_ms, job.spec.len()),
            startable_tasks: state.waiting_tasks(),
            is_ejecting: !self.services_without_ejection.contains(&job.queue.service),
            now_ms,
        })
    }

    /// Returns the hosts that a task avoids. If no other host could take it,
    /// none is avoided, since a bad host is better than no host.
    fn hosts_to_avoid(&self, avoided: &[Name], service: &Name, step: &Step) -> Vec<Name> {
        if avoided.is_empty() {
            return Vec::new();
        }
        let is_other =
            |agent: &&AgentState| !agent.is_evacuated && !avoided.contains(&agent.hello.host);
        let others = self.agents.values().filter(is_other);
        match placement::fits_somewhere(others, service, step) {
            true => avoided.to_vec(),
            false => Vec::new(),
        }
    }

    /// Orders an agent to start a task.
    pub(crate) fn order_start(&mut self, now_ms: u64, id: &Name, position: usize, link: LinkId) {
        let order = OrderId(self.next_order);
        let (Some(state), Some(agent)) = (self.jobs.get_mut(id), self.agents.get_mut(&link)) else {
            return;
        };
        self.next_order += 1;
        let job = Arc::clone(&state.job);
        let step = &job.steps[state.tasks[position].step];
        let expected_ms = self
            .estimates
            .expected_ms(&job.queue.name, step.declared_ms);
        let task_id = state.task_id(position);
        let suspicion = state.suspicion(position);
        let task = &mut state.tasks[position];
        task.run += 1;
        task.phase = TaskPhase::Ordered(order);
        task.host = Some(agent.hello.host.clone());
        let run = task.run;
        state.first_start_ms.get_or_insert(now_ms);
        state.changed_ms = now_ms;
        agent.add_order(now_ms, order, step.needs);
        agent.probations.add(now_ms, order, id, suspicion);
        // The next owner of a stored job waits for the starts of a lost agent anyway.
        let may_be_delayed = agent.hello.max_start_delay_ms > 0 && !state.is_stored;
        let work = expected_ms * f64::from(step.needs.cpu_milli);
        let started = self.started_work.entry(job.queue.service.clone());
        started.or_default().add(now_ms, work);
        let start = StartOrder {
            id: order,
            task: task_id,
            run,
            spec: 0,
            suspicion,
            needs: step.needs,
            expected_ms: expected_ms as u32,
            is_stored: state.is_stored,
        };
        agent.outbox.push_start(&job.spec, start);
        self.orders.insert(
            order,
            OrderState {
                job: id.clone(),
                position,
                link,
                expected_ms,
                ordered_ms: now_ms,
                is_stop_sent: false,
                witness: None,
            },
        );
        if may_be_delayed {
            self.witnesses.add(order);
        }
    }
}
