//! The core of an entry: it keeps each job for as long as its caller waits.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use gannetvane_wire::Name;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::AgentFrame;
use crate::AgentHello;
use crate::Busy;
use crate::Caller;
use crate::End;
use crate::EntryFrame;
use crate::GRANT_MS;
use crate::Job;
use crate::JobOutcome;
use crate::KEEPALIVE_MS;
use crate::LinkId;
use crate::Order;
use crate::OrderId;
use crate::Refusal;
use crate::Report;
use crate::RoutingTable;
use crate::SAFE_AFTER_MS;
use crate::StartOrder;
use crate::drain::Drain;
use crate::estimate::Estimates;
use crate::fleet::AgentState;
use crate::fleet::Hosts;
use crate::jobs::JobState;
use crate::jobs::TaskPhase;
use crate::placement;
use crate::placement::Demand;

/// Pause after which this process counts as having stood still, in
/// milliseconds; agents have then stopped what it ordered.
const STOOD_STILL_MS: u64 = 300;
/// Time after standing still before anything is started, in milliseconds:
/// broken connections of callers are noticed first.
const SETTLE_MS: u64 = 40;
/// When to come back after a refusal for want of room, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;
/// A job waits for the first minion of its service for one in this many parts
/// of its objective; agents greet within that after a restart.
const MINION_WAIT_PART: u64 = 3;
/// Part of the room that must be free before a job starts that will be late
/// and earns little.
const SPARE_SHARE: f64 = 0.12;
/// Pause between two looks for jobs without a prospect, in milliseconds.
const SHED_MS: u64 = 10;
/// Ejection ends when more than one in this many hosts would be left out.
const EJECTED_PART: usize = 2;
/// Jobs that find no room before a round of placement ends.
const MISSES_A_ROUND: usize = 12;
/// A run is moved when what remains of it takes longer than this many times
/// the whole run on a sound minion, and the cost of a move in milliseconds.
const MOVE_FACTOR: f64 = 1.15;
const MOVE_COST_MS: f64 = 30.0;
/// Speed above which a minion is not slow enough for moves.
const SLOW_SPEED: f64 = 0.6;
/// A run that made no progress for this share of its expected time, and at
/// least for [`HANG_MS`], stands still.
const HANG_SHARE: f64 = 0.5;
const HANG_MS: f64 = 150.0;
/// Speeds of minions whose run times are learned from: the kinds on the
/// users' sheets, not those that have become slow.
const SOUND_SPEEDS: std::ops::Range<f64> = 0.6..1.8;
/// Speed below which all runs on a minion stand still.
const STALLED_SPEED: f64 = 0.3;

/// Settings of a dispatcher.
#[derive(Clone, Debug)]
pub struct DispatcherSettings {
    /// Availability zone of the entry.
    pub zone: Name,
    /// Times that a task takes longer away from its data.
    pub remote_factor: f64,
    /// Seed of its choices.
    pub seed: u64,
}

/// What a dispatcher asks the process around it to do.
#[derive(Clone, Debug, PartialEq)]
pub enum DispatcherAction {
    /// Answer a caller.
    Answer(Caller, JobOutcome),
    /// Send a frame to an agent.
    Send(LinkId, EntryFrame),
    /// Close the connection to an agent.
    Close(LinkId),
    /// Log and count.
    Event(JobEvent),
}

/// Something that touches a job or changes what the entry believes.
#[derive(Clone, Debug, PartialEq)]
pub struct JobEvent {
    /// Name of the event; each has one meaning.
    pub event: &'static str,
    /// The job, if it is about one.
    pub job: Option<Name>,
    /// What decided it, and its age.
    pub detail: String,
    /// Reason for the counter; empty where there is only one.
    pub reason: &'static str,
    /// Time from receipt in milliseconds, where a job ends.
    pub took_ms: Option<u64>,
}

/// An order that has not ended.
#[derive(Clone, Debug)]
struct OrderState {
    job: Name,
    position: usize,
    link: LinkId,
    expected_ms: f64,
    ordered_ms: u64,
    is_stop_sent: bool,
}

/// The core of an entry.
#[derive(Debug)]
pub struct Dispatcher {
    settings: DispatcherSettings,
    table: RoutingTable,
    agents: BTreeMap<LinkId, AgentState>,
    hosts: Hosts,
    jobs: BTreeMap<Name, JobState>,
    orders: BTreeMap<OrderId, OrderState>,
    callers: BTreeMap<Caller, Name>,
    estimates: Estimates,
    rng: ChaCha8Rng,
    next_order: u64,
    is_stopping: bool,
    ticked_ms: u64,
    settled_ms: u64,
    drained: Drain,
    shed_ms: u64,
    lenient: Vec<Name>,
    actions: Vec<DispatcherAction>,
}

impl Dispatcher {
    /// The core of an entry that just started.
    #[must_use]
    pub fn new(settings: DispatcherSettings, now_ms: u64) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(settings.seed),
            settings,
            table: RoutingTable::default(),
            agents: BTreeMap::new(),
            hosts: Hosts::default(),
            jobs: BTreeMap::new(),
            orders: BTreeMap::new(),
            callers: BTreeMap::new(),
            estimates: Estimates::default(),
            next_order: 1,
            is_stopping: false,
            ticked_ms: now_ms,
            settled_ms: now_ms,
            drained: Drain::default(),
            shed_ms: now_ms,
            lenient: Vec::new(),
            actions: Vec::new(),
        }
    }

    /// Takes what there is to do since the last call.
    pub fn take_actions(&mut self) -> Vec<DispatcherAction> {
        std::mem::take(&mut self.actions)
    }

    /// The queues in force.
    #[must_use]
    pub fn table(&self) -> &RoutingTable {
        &self.table
    }

    /// Whether the balancer may send requests here.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.table.version > 0 && !self.agents.is_empty() && !self.is_stopping
    }

    /// Jobs whose callers wait.
    #[must_use]
    pub fn open_jobs(&self) -> usize {
        self.jobs.values().filter(|job| job.is_open()).count()
    }

    /// Agents that greeted.
    #[must_use]
    pub fn agents(&self) -> usize {
        self.agents.len()
    }

    /// Jobs of a queue of which nothing has started.
    #[must_use]
    pub fn pending(&self, queue: &str) -> usize {
        let of_queue = |job: &&JobState| &*job.job.queue.name == queue && job.is_open();
        let jobs = self.jobs.values().filter(of_queue);
        jobs.filter(|job| job.first_start_ms.is_none()).count()
    }

    /// Puts a newer configuration into force; an older one is ignored.
    pub fn configure(&mut self, table: RoutingTable) -> bool {
        if table.version <= self.table.version {
            return false;
        }
        self.event("configuration", None, format!("version={}", table.version));
        self.table = table;
        true
    }

    /// Begins a planned stop: jobs that are here are brought to their end.
    pub fn begin_stop(&mut self) {
        self.is_stopping = true;
    }

    /// A caller submits a job.
    pub fn submit(&mut self, now_ms: u64, caller: Caller, job: Job) {
        self.callers.insert(caller, job.id.clone());
        if let Some(earlier) = self.jobs.get_mut(&job.id) {
            if earlier.is_open() {
                earlier.callers.push(caller);
            } else {
                earlier.next = Some((caller, job, now_ms));
            }
            return;
        }
        self.admit(now_ms, caller, job, now_ms);
    }

    /// A caller has gone away.
    pub fn caller_left(&mut self, now_ms: u64, caller: Caller) {
        let Some(id) = self.callers.remove(&caller) else {
            return;
        };
        let Some(state) = self.jobs.get_mut(&id) else {
            return;
        };
        state.callers.retain(|other| *other != caller);
        if state
            .next
            .as_ref()
            .is_some_and(|(next, ..)| *next == caller)
        {
            state.next = None;
        }
        if state.callers.is_empty() && state.is_open() {
            self.finish(now_ms, &id, JobOutcome::Cancelled, "caller-left");
        }
    }

    /// A caller cancels a job; `false` if there is none.
    pub fn cancel(&mut self, now_ms: u64, id: &Name) -> bool {
        let is_open = self.jobs.get(id).is_some_and(JobState::is_open);
        if is_open {
            self.finish(now_ms, id, JobOutcome::Cancelled, "cancelled");
        }
        is_open
    }

    /// An agent greeted: nothing ordered earlier is left on its minion.
    pub fn agent_up(&mut self, now_ms: u64, link: LinkId, hello: AgentHello) {
        let detail = format!(
            "host={} zone={} capacity={:?}",
            hello.host, hello.zone, hello.capacity
        );
        self.event("agent-up", None, detail);
        self.hosts.greeted(&hello);
        let host = hello.host.clone();
        let stale = self
            .agents
            .iter()
            .find(|(_, agent)| agent.hello.host == host);
        if let Some((stale, _)) = stale.map(|(link, agent)| (*link, agent.sent_ms)) {
            self.actions.push(DispatcherAction::Close(stale));
            self.agent_down(now_ms, stale, "greeted-again");
        }
        self.agents.insert(link, AgentState::new(now_ms, hello));
        self.release_orphans(now_ms, &host);
    }

    /// The connection to an agent broke.
    pub fn agent_down(&mut self, now_ms: u64, link: LinkId, cause: &'static str) {
        let Some(agent) = self.agents.remove(&link) else {
            return;
        };
        let orders: Vec<OrderId> = agent.outstanding.keys().copied().collect();
        let detail = format!(
            "host={} cause={cause} orders={}",
            agent.hello.host,
            orders.len()
        );
        self.event("agent-down", None, detail);
        let until_ms = agent.sent_ms + SAFE_AFTER_MS;
        for order in orders {
            let Some(state) = self.orders.remove(&order) else {
                continue;
            };
            if let Some(job) = self.jobs.get_mut(&state.job) {
                job.tasks[state.position].phase = TaskPhase::Orphaned { until_ms };
                job.has_run = true;
            }
            self.clear_if_gone(now_ms, &state.job);
        }
    }

    /// A frame of an agent arrived.
    pub fn agent_frame(&mut self, now_ms: u64, link: LinkId, frame: AgentFrame) {
        let Some(agent) = self.agents.get_mut(&link) else {
            return;
        };
        agent.heard(now_ms, &frame);
        for report in frame.reports {
            match report {
                Report::Ended { order, end, ran_ms } => self.ended(now_ms, order, end, ran_ms),
                Report::Progress {
                    order,
                    percent,
                    elapsed_ms,
                    idle_ms,
                } => self.progressed(now_ms, order, percent, elapsed_ms, idle_ms),
            }
        }
    }

    /// Does what is due; returns when to call again at the latest.
    pub fn tick(&mut self, now_ms: u64) -> u64 {
        if now_ms > self.ticked_ms + STOOD_STILL_MS {
            let detail = format!("pause_ms={}", now_ms - self.ticked_ms);
            self.event("stood-still", None, detail);
            self.settled_ms = now_ms + SETTLE_MS;
        }
        self.ticked_ms = now_ms;
        self.drop_silent(now_ms);
        self.expire_orphans(now_ms);
        self.give_up(now_ms);
        self.place(now_ms);
        if now_ms >= self.shed_ms + SHED_MS {
            self.shed_ms = now_ms;
            self.shed(now_ms);
        }
        self.send_frames(now_ms);
        self.next_due_ms(now_ms)
    }

    fn next_due_ms(&self, now_ms: u64) -> u64 {
        let frames = self
            .agents
            .values()
            .map(|agent| agent.sent_ms + KEEPALIVE_MS);
        let open = self.jobs.values().filter(|job| job.is_open());
        let jobs = open.map(|job| {
            let part_ms = (job.objective_ms - job.received_ms) / MINION_WAIT_PART + 1;
            match job.first_start_ms {
                None if now_ms < job.received_ms + part_ms => job.received_ms + part_ms,
                _ => job.worthless_ms,
            }
        });
        let due_ms = frames.chain(jobs).min().unwrap_or(now_ms + KEEPALIVE_MS);
        due_ms.clamp(now_ms + 1, now_ms + KEEPALIVE_MS)
    }

    fn admit(&mut self, now_ms: u64, caller: Caller, job: Job, received_ms: u64) {
        if let Err(reason) = self.check(now_ms, &job) {
            let retry_after_ms = RETRY_AFTER_MS;
            let detail = format!("reason={} queue={}", reason.name(), job.queue.name);
            self.actions.push(DispatcherAction::Event(JobEvent {
                event: "refused",
                job: Some(job.id.clone()),
                detail,
                reason: reason.name(),
                took_ms: Some(0),
            }));
            self.callers.remove(&caller);
            let outcome = JobOutcome::Refused {
                reason,
                retry_after_ms,
            };
            self.actions.push(DispatcherAction::Answer(caller, outcome));
            return;
        }
        let id = job.id.clone();
        let state = JobState::new(received_ms, caller, job, &self.estimates);
        self.jobs.insert(id, state);
    }

    fn check(&self, _now_ms: u64, job: &Job) -> Result<(), Refusal> {
        if self.is_stopping {
            return Err(Refusal::Stopping);
        }
        let service = &job.queue.service;
        if !self.has_minions(service) {
            return Ok(());
        }
        let fits = |step| placement::fits_somewhere(&self.agents, service, step);
        if !job.steps.iter().all(fits) {
            return Err(Refusal::NeverFits);
        }
        Ok(())
    }

    /// Services so many of whose hosts had bad ends that the cause is
    /// elsewhere: none of their hosts is left out.
    fn lenient_services(&self, now_ms: u64) -> Vec<Name> {
        let mut counts: BTreeMap<&Name, (usize, usize)> = BTreeMap::new();
        for agent in self.agents.values() {
            let record = self.hosts.get(&agent.hello.host);
            let is_ejected = record.is_some_and(|record| now_ms < record.ejected_until_ms);
            let (all, ejected) = counts.entry(&agent.hello.service).or_default();
            *all += 1;
            *ejected += usize::from(is_ejected);
        }
        let is_lenient = |(all, ejected): &(usize, usize)| ejected * EJECTED_PART > *all;
        let lenient = counts.iter().filter(|(_, counts)| is_lenient(counts));
        lenient.map(|(service, _)| (*service).clone()).collect()
    }

    fn has_minions(&self, service: &Name) -> bool {
        self.minions(service) > 0
    }

    fn minions(&self, service: &Name) -> usize {
        let agents = self.agents.values();
        agents
            .filter(|agent| agent.hello.service == *service)
            .count()
    }

    /// Orders waiting tasks, the most urgent first, while there is room.
    fn place(&mut self, now_ms: u64) {
        if now_ms < self.settled_ms || now_ms > self.ticked_ms + STOOD_STILL_MS {
            return;
        }
        let mut open = self.open_agents(now_ms);
        if open.is_empty() {
            return;
        }
        self.lenient = self.lenient_services(now_ms);
        let mut misses = 0;
        for id in self.waiting_by_urgency(now_ms) {
            if self.is_held_back(now_ms, &id) {
                continue;
            }
            if !self.place_job(now_ms, &id, &mut open) {
                misses += 1;
            }
            if misses >= MISSES_A_ROUND || open.is_empty() {
                return;
            }
        }
    }

    /// Agents that may take a waiting task; in a full fleet they are few, which
    /// keeps a round cheap.
    fn open_agents(&self, now_ms: u64) -> Vec<LinkId> {
        let waiting = self
            .jobs
            .values()
            .filter(|job| job.is_open() && job.has_waiting());
        let needs = waiting.map(|job| job.job.steps[job.next_step()].needs.cpu_milli);
        let Some(least_milli) = needs.min() else {
            return Vec::new();
        };
        let may_take = |agent: &AgentState| {
            let has_room = agent.free().cpu_milli >= least_milli;
            agent.takes_starts(now_ms) && (has_room || agent.takes_parked())
        };
        let open = self.agents.iter().filter(|(_, agent)| may_take(agent));
        open.map(|(link, _)| *link).collect()
    }

    /// Whether a job waits although there may be room: it would be late, and
    /// its room is kept for jobs that are about to come and can be in time.
    fn is_held_back(&self, now_ms: u64, id: &Name) -> bool {
        let Some(job) = self.jobs.get(id) else {
            return true;
        };
        let is_late = job.is_late(now_ms, job.next_step(), &self.estimates);
        let is_untouched = job.first_start_ms.is_none();
        is_late && is_untouched && self.free_share(&job.job.queue.service) < SPARE_SHARE
    }

    /// Part of the service's room that is free, as far as is known.
    fn free_share(&self, service: &Name) -> f64 {
        let of_service = self.agents.values();
        let of_service = of_service.filter(|agent| agent.hello.service == *service);
        let (mut free, mut all) = (0.0, 1.0);
        for agent in of_service {
            free += f64::from(agent.free().cpu_milli) * agent.speed.min(1.0);
            all += f64::from(agent.hello.capacity.cpu_milli);
        }
        free / all
    }

    fn waiting_by_urgency(&self, now_ms: u64) -> Vec<Name> {
        let waiting = self
            .jobs
            .iter()
            .filter(|(_, job)| job.is_open() && job.has_waiting());
        let mut waiting: Vec<(bool, bool, i64, &Name)> = waiting
            .map(|(id, job)| {
                let step = job.next_step();
                let latest_ms = job.latest_start_ms(step, &self.estimates);
                let is_late = job.is_late(now_ms, step, &self.estimates);
                let is_new = job.first_start_ms.is_none();
                (is_late, is_new, latest_ms, id)
            })
            .collect();
        waiting.sort_unstable();
        waiting.into_iter().map(|(.., id)| id.clone()).collect()
    }

    /// Orders the waiting tasks of a job; `false` if one found no room.
    fn place_job(&mut self, now_ms: u64, id: &Name, open: &mut Vec<LinkId>) -> bool {
        let Some(state) = self.jobs.get(id) else {
            return true;
        };
        let job = Arc::clone(&state.job);
        let is_waiting = |position: &usize| state.tasks[*position].phase == TaskPhase::Waiting;
        let positions: Vec<usize> = (0..state.tasks.len()).filter(is_waiting).collect();
        for position in positions {
            let Some((link, may_wait)) = self.choose(now_ms, &job, position, open) else {
                return false;
            };
            if may_wait {
                open.retain(|other| *other != link);
            }
            self.order(now_ms, id, position, link, may_wait);
        }
        true
    }

    /// An agent for a task, and whether the task may wait there for room.
    fn choose(
        &mut self,
        now_ms: u64,
        job: &Job,
        position: usize,
        open: &[LinkId],
    ) -> Option<(LinkId, bool)> {
        let state = self.jobs.get(&job.id)?;
        let task = &state.tasks[position];
        let step = &job.steps[task.step];
        let mut beside: BTreeMap<Name, u32> = BTreeMap::new();
        if step.max_per_minion > 0 {
            let same = state.tasks.iter().filter(|other| other.step == task.step);
            let running = same.filter(|other| matches!(other.phase, TaskPhase::Ordered(_)));
            for host in running.filter_map(|other| other.host.clone()) {
                *beside.entry(host).or_default() += 1;
            }
        }
        let demand = Demand {
            step,
            service: &job.queue.service,
            zone: &self.settings.zone,
            expected_ms: self
                .estimates
                .expected_ms(&job.queue.name, step.declared_ms),
            left_ms: state.objective_ms as f64 - now_ms as f64,
            // Where there are no other hosts, a bad one is better than none.
            avoid: if self.minions(&job.queue.service) > task.avoid.len() {
                &task.avoid
            } else {
                &[]
            },
            beside: &beside,
            remote_factor: self.settings.remote_factor,
            is_ejecting: !self.lenient.contains(&job.queue.service),
            now_ms,
        };
        let agents: Vec<(LinkId, &AgentState)> = open
            .iter()
            .filter_map(|link| Some((*link, self.agents.get(link)?)))
            .collect();
        let rng = &mut self.rng;
        let mut spread = || rng.random::<f64>();
        let with_room = placement::choose(&agents, &self.hosts, &demand, &mut spread);
        if let Some(link) = with_room {
            return Some((link, false));
        }
        let parking = placement::choose_parking(&agents, &self.hosts, &demand, &mut spread);
        parking.map(|link| (link, true))
    }

    fn order(&mut self, now_ms: u64, id: &Name, position: usize, link: LinkId, may_wait: bool) {
        let order = OrderId(self.next_order);
        let (Some(state), Some(agent)) = (self.jobs.get_mut(id), self.agents.get_mut(&link)) else {
            return;
        };
        self.next_order += 1;
        let job = Arc::clone(&state.job);
        let step = &job.steps[state.tasks[position].step];
        let latest_ms = state.latest_start_ms(state.tasks[position].step, &self.estimates);
        let expected_ms = self
            .estimates
            .expected_ms(&job.queue.name, step.declared_ms);
        let slack_ms = (latest_ms - now_ms as i64).max(0);
        let task_id = state.task_id(position);
        let task = &mut state.tasks[position];
        task.run += 1;
        task.phase = TaskPhase::Ordered(order);
        task.host = Some(agent.hello.host.clone());
        let run = task.run;
        state.first_start_ms.get_or_insert(now_ms);
        agent.add_order(order, step.needs);
        self.drained
            .add(now_ms, expected_ms * f64::from(step.needs.cpu_milli));
        agent.outbox.push(Order::Start(StartOrder {
            id: order,
            task: task_id,
            run,
            spec: job.spec.clone(),
            needs: step.needs,
            expected_ms: expected_ms as u32,
            may_wait,
            slack_ms: u32::try_from(slack_ms).unwrap_or(u32::MAX),
        }));
        self.orders.insert(
            order,
            OrderState {
                job: id.clone(),
                position,
                link,
                expected_ms,
                ordered_ms: now_ms,
                is_stop_sent: false,
            },
        );
    }

    fn ended(&mut self, now_ms: u64, order: OrderId, end: End, ran_ms: u32) {
        let Some(state) = self.orders.remove(&order) else {
            return;
        };
        let Some(agent) = self.agents.get_mut(&state.link) else {
            return;
        };
        agent.outstanding.remove(&order);
        let host = agent.hello.host.clone();
        let speed = agent.speed;
        let Some(job) = self.jobs.get_mut(&state.job) else {
            return;
        };
        let is_open = job.is_open();
        job.has_run |= !matches!(end, End::NotStarted(_));
        let queue = Arc::clone(&job.job.queue);
        let task = &mut job.tasks[state.position];
        let declared_ms = job.job.steps[task.step].declared_ms;
        task.phase = TaskPhase::Waiting;
        match end {
            End::Done => {
                task.phase = TaskPhase::Done;
                let held_ms = now_ms.saturating_sub(state.ordered_ms);
                job.last_end = format!(
                    "last_host={host} last_run={} last_ran_ms={ran_ms} last_parked_ms={}",
                    task.run,
                    held_ms.saturating_sub(u64::from(ran_ms)),
                );
                let record = self.hosts.record(&host);
                record.clear();
                if SOUND_SPEEDS.contains(&speed) {
                    self.estimates.observe(&queue.name, declared_ms, ran_ms);
                }
            }
            End::Failed => {
                task.failures += 1;
                self.task_failed(now_ms, &state, &host);
            }
            End::Stopped => {}
            End::Lost | End::NotStarted(Busy::NoAnswer | Busy::Unhealthy) => {
                task.avoid(&host);
                self.hosts.record(&host).strike(now_ms);
                self.task_event("task-lost", &state, &host, end, ran_ms);
            }
            End::NotStarted(Busy::OldRun) => {
                // An earlier submission of the job had runs there.
                task.run += 3;
            }
            End::NotStarted(Busy::Full | Busy::Closing) => {}
        }
        if is_open {
            self.settle(now_ms, &state.job);
        } else {
            self.clear_if_gone(now_ms, &state.job);
        }
    }

    /// Judges a failed run: the task is at fault if it failed on two hosts.
    fn task_failed(&mut self, now_ms: u64, order: &OrderState, host: &Name) {
        let Some(job) = self.jobs.get_mut(&order.job) else {
            return;
        };
        let failed_on = |job: &JobState| {
            let mut hosts: Vec<Name> = Vec::new();
            for task in job.tasks.iter().filter(|task| task.failures > 0) {
                hosts.extend(task.avoid.iter().cloned());
            }
            hosts.sort();
            hosts.dedup();
            hosts
        };
        let before = failed_on(job);
        job.tasks[order.position].avoid(host);
        let after = failed_on(job);
        if after.len() == 1 {
            self.hosts.record(host).strike(now_ms);
        } else if before.len() == 1 && after.len() == 2 {
            for host in &before {
                self.hosts.record(host).pardon();
            }
        }
        self.task_event("task-failed", order, host, End::Failed, 0);
    }

    fn task_event(
        &mut self,
        event: &'static str,
        order: &OrderState,
        host: &Name,
        end: End,
        ran_ms: u32,
    ) {
        let detail = format!(
            "position={} host={host} end={end:?} ran_ms={ran_ms}",
            order.position
        );
        self.event(event, Some(order.job.clone()), detail);
    }

    /// Ends a job whose tasks are done or cannot be.
    fn settle(&mut self, now_ms: u64, id: &Name) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let limit = job.job.queue.max_attempts.max(1);
        if job.tasks.iter().any(|task| task.failures >= limit) {
            self.finish(now_ms, id, JobOutcome::Failed, "attempts");
        } else if job.is_done() {
            self.finish(now_ms, id, JobOutcome::Completed, "done");
        } else {
            job.unblock();
        }
    }

    /// Answers the callers of a job and stops what is left of it.
    fn finish(&mut self, now_ms: u64, id: &Name, outcome: JobOutcome, cause: &'static str) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.outcome = Some(outcome);
        let took_ms = now_ms.saturating_sub(job.received_ms);
        let queued_ms = job
            .first_start_ms
            .unwrap_or(now_ms)
            .saturating_sub(job.received_ms);
        let detail = format!(
            "cause={cause} queue={} tasks={} queued_ms={queued_ms} objective_ms={} wait_ms={} version={} {}",
            job.job.queue.name,
            job.tasks.len(),
            job.objective_ms.saturating_sub(job.received_ms),
            job.job.wait_ms,
            self.table.version,
            job.last_end,
        );
        let orders = job.orders();
        for caller in std::mem::take(&mut job.callers) {
            self.callers.remove(&caller);
            self.actions.push(DispatcherAction::Answer(caller, outcome));
        }
        for order in orders {
            self.send_stop(order);
        }
        self.actions.push(DispatcherAction::Event(JobEvent {
            event: outcome_event(outcome),
            job: Some(id.clone()),
            detail,
            reason: cause,
            took_ms: Some(took_ms),
        }));
        self.clear_if_gone(now_ms, id);
    }

    fn send_stop(&mut self, order: OrderId) {
        let Some(state) = self.orders.get_mut(&order) else {
            return;
        };
        if !state.is_stop_sent
            && let Some(agent) = self.agents.get_mut(&state.link)
        {
            state.is_stop_sent = true;
            agent.outbox.push(Order::Stop(order));
        }
    }

    /// Forgets an ended job of which nothing can run any more.
    fn clear_if_gone(&mut self, now_ms: u64, id: &Name) {
        let is_gone = self
            .jobs
            .get(id)
            .is_some_and(|job| !job.is_open() && job.is_clear());
        if !is_gone {
            return;
        }
        let Some(state) = self.jobs.remove(id) else {
            return;
        };
        if let Some((caller, job, received_ms)) = state.next {
            self.admit(now_ms, caller, job, received_ms);
        }
    }

    /// Moves a run that stands still or is slow, when it gains.
    fn progressed(
        &mut self,
        now_ms: u64,
        order: OrderId,
        percent: u8,
        elapsed_ms: u32,
        idle_ms: u32,
    ) {
        let Some(state) = self.orders.get(&order).cloned() else {
            return;
        };
        let Some(agent) = self.agents.get(&state.link) else {
            return;
        };
        if state.is_stop_sent || !self.jobs.get(&state.job).is_some_and(JobState::is_open) {
            return;
        }
        let (host, speed) = (agent.hello.host.clone(), agent.speed);
        let elapsed_ms = f64::from(elapsed_ms);
        let patience_ms = HANG_MS.max(state.expected_ms * HANG_SHARE);
        let is_hanging = f64::from(idle_ms) > patience_ms
            || (f64::from(idle_ms) > HANG_MS && speed < STALLED_SPEED);
        let (remaining_ms, work_ms) = if is_hanging {
            (f64::INFINITY, state.expected_ms)
        } else if percent > 0 {
            // The work is known from its progress and the speed there.
            let total_ms = elapsed_ms * 100.0 / f64::from(percent);
            (total_ms - elapsed_ms, total_ms * speed)
        } else {
            return;
        };
        if remaining_ms > work_ms * MOVE_FACTOR + MOVE_COST_MS && speed < SLOW_SPEED || is_hanging {
            self.move_run(now_ms, order, &state, &host, remaining_ms);
        }
    }

    fn move_run(
        &mut self,
        now_ms: u64,
        order: OrderId,
        state: &OrderState,
        host: &Name,
        remaining_ms: f64,
    ) {
        let Some(job) = self.jobs.get_mut(&state.job) else {
            return;
        };
        job.tasks[state.position].avoid(host);
        if remaining_ms.is_infinite() {
            self.hosts.record(host).strike(now_ms);
        }
        let detail = format!(
            "position={} host={host} remaining_ms={remaining_ms:.0}",
            state.position
        );
        self.event("task-moved", Some(state.job.clone()), detail);
        self.send_stop(order);
    }

    fn release_orphans(&mut self, now_ms: u64, host: &Name) {
        self.settle_orphans(now_ms, |task, _| task.host.as_ref() == Some(host));
    }

    fn expire_orphans(&mut self, now_ms: u64) {
        self.settle_orphans(now_ms, |_, until_ms| now_ms >= until_ms);
    }

    fn settle_orphans(
        &mut self,
        now_ms: u64,
        is_over: impl Fn(&crate::jobs::TaskState, u64) -> bool,
    ) {
        let mut touched = Vec::new();
        for (id, job) in &mut self.jobs {
            let mut is_touched = false;
            for task in &mut job.tasks {
                if let TaskPhase::Orphaned { until_ms } = task.phase
                    && is_over(task, until_ms)
                {
                    task.phase = TaskPhase::Waiting;
                    is_touched = true;
                }
            }
            if is_touched {
                touched.push(id.clone());
            }
        }
        for id in touched {
            self.clear_if_gone(now_ms, &id);
        }
    }

    /// Gives up agents that are silent for as long as a grant lasts.
    fn drop_silent(&mut self, now_ms: u64) {
        let is_silent = |agent: &AgentState| {
            let is_unheard = now_ms > agent.heard_ms + GRANT_MS;
            let is_expired = agent.sent_ms > 0 && now_ms > agent.sent_ms + GRANT_MS;
            is_unheard || is_expired
        };
        let silent = self.agents.iter().filter(|(_, agent)| is_silent(agent));
        let silent: Vec<LinkId> = silent.map(|(link, _)| *link).collect();
        for link in silent {
            self.actions.push(DispatcherAction::Close(link));
            self.agent_down(now_ms, link, "silent");
        }
    }

    /// Answers jobs that cannot be of use any more.
    fn give_up(&mut self, now_ms: u64) {
        let over: Vec<Name> = self
            .jobs
            .iter()
            .filter(|(_, job)| job.is_open() && self.is_hopeless(now_ms, job))
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
    fn is_hopeless(&self, now_ms: u64, job: &JobState) -> bool {
        let is_untouched = !job.has_run && job.is_clear();
        let waited_ms = now_ms.saturating_sub(job.received_ms);
        let objective_ms = job.objective_ms.saturating_sub(job.received_ms);
        let has_waited = waited_ms * MINION_WAIT_PART >= objective_ms;
        let waits_in_vain = is_untouched && has_waited && !self.has_minions(&job.job.queue.service);
        now_ms >= job.worthless_ms || waits_in_vain
    }

    /// Refuses jobs of which nothing has started and that would not be
    /// reached before they are of no use.
    fn shed(&mut self, now_ms: u64) {
        self.drained.decay(now_ms);
        let rate = self.drained.rate();
        let mut ahead = 0.0;
        let mut hopeless = Vec::new();
        for id in self.waiting_by_urgency(now_ms) {
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            let wait_ms = ahead / rate;
            let step = job.next_step();
            let rest_ms =
                job.objective_ms as f64 - job.latest_start_ms(step, &self.estimates) as f64;
            let end_ms = now_ms as f64 + wait_ms + rest_ms;
            let is_untouched = !job.has_run && job.is_clear();
            let is_late = job.is_late(now_ms, step, &self.estimates);
            if is_untouched && is_late && end_ms > job.worthless_ms as f64 {
                hopeless.push(id);
            } else {
                ahead += job.waiting_work(&self.estimates);
            }
        }
        for id in hopeless {
            let outcome = JobOutcome::Refused {
                reason: Refusal::Overloaded,
                retry_after_ms: RETRY_AFTER_MS,
            };
            self.finish(now_ms, &id, outcome, "no-prospect");
        }
    }

    fn send_frames(&mut self, now_ms: u64) {
        for (link, agent) in &mut self.agents {
            let is_keepalive = now_ms >= agent.sent_ms + KEEPALIVE_MS;
            if agent.outbox.is_empty() && !is_keepalive {
                continue;
            }
            let frame = EntryFrame {
                grant_until_ms: agent.grant_until_ms(now_ms),
                orders: std::mem::take(&mut agent.outbox),
            };
            agent.sent_ms = now_ms;
            self.actions.push(DispatcherAction::Send(*link, frame));
        }
    }

    /// Tells all agents of the entries that are known.
    pub fn tell_entries(&mut self, entries: &[SocketAddr]) {
        for agent in self.agents.values_mut() {
            agent.outbox.push(Order::Entries(entries.to_vec()));
        }
    }

    fn event(&mut self, event: &'static str, job: Option<Name>, detail: String) {
        self.actions.push(DispatcherAction::Event(JobEvent {
            event,
            job,
            detail,
            reason: "",
            took_ms: None,
        }));
    }
}

fn outcome_event(outcome: JobOutcome) -> &'static str {
    match outcome {
        JobOutcome::Completed => "completed",
        JobOutcome::Failed => "failed",
        JobOutcome::TooLate => "too-late",
        JobOutcome::Cancelled => "cancelled",
        JobOutcome::Refused { .. } => "refused",
    }
}
