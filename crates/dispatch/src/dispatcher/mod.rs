//! [`Dispatcher`], the core of an entry: it keeps the jobs, orders agents to
//! run their tasks and answers the callers.
//!
//! A job is kept for as long as its caller waits. Stored jobs have no waiting
//! caller; the dispatcher runs them for the ledger.

mod candidates;
mod crashes;
mod delayed_starts;
mod ends;
mod estimate;
mod evacuation;
pub(crate) mod fleet;
mod intake;
mod jobs;
mod outbox;
mod overload;
mod pools;
mod probes;
mod reservations;
mod resizes;
mod rounds;
mod stored_runs;
mod suspects;
mod views;
mod witnessed_starts;
mod witnesses;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use gannetvane_wire::Name;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::AgentFrame;
use crate::AgentHello;
use crate::CallerId;
use crate::EntryFrame;
use crate::Evacuations;
use crate::GRANT_MS;
use crate::JobOutcome;
use crate::KEEPALIVE_MS;
use crate::KnownCrashes;
use crate::KnownDelayedStarts;
use crate::LinkId;
use crate::Order;
use crate::OrderId;
use crate::RUNS_GONE_AFTER_MS;
use crate::Report;
use crate::ReportedStarts;
use crate::RoutingTable;
use crate::dispatcher::crashes::LostRuns;
use crate::dispatcher::delayed_starts::LostAgents;
use crate::dispatcher::estimate::Estimates;
use crate::dispatcher::fleet::AgentState;
use crate::dispatcher::fleet::Hosts;
use crate::dispatcher::jobs::JobState;
use crate::dispatcher::jobs::TaskPhase;
use crate::dispatcher::overload::MINION_WAIT_DIVISOR;
use crate::dispatcher::overload::SHED_INTERVAL_MS;
use crate::dispatcher::reservations::Reservation;
use crate::dispatcher::witnesses::Witnesses;
use crate::policy::BoxedPolicy;
use crate::policy::FairShare;
use crate::policy::Rank;
use crate::policy::Uplink;
use crate::policy::WorkRate;
use crate::stored::StoredEvent;

/// Time since the last tick, in milliseconds, after which this process counts
/// as suspended. Agents have stopped the runs that it ordered by then.
pub(crate) const SUSPENSION_MS: u64 = 300;
/// Time after a suspension during which nothing is started, in milliseconds, so
/// that broken connections of callers are noticed first.
const RESUME_DELAY_MS: u64 = 40;

/// Settings of a [`Dispatcher`].
#[derive(Clone, Debug)]
pub struct DispatcherSettings {
    /// Availability zone of the entry.
    pub zone: Name,
    /// Factor by which a task takes longer away from its data.
    pub remote_factor: f64,
    /// Seed of the generator from which the dispatcher draws all random
    /// numbers.
    pub seed: u64,
}

/// Action that the surrounding process carries out for the dispatcher.
#[derive(Clone, Debug, PartialEq)]
pub enum DispatcherAction {
    /// Answers a caller with the outcome of its job.
    Answer(CallerId, JobOutcome),
    /// Sends a frame to an agent.
    Send(LinkId, EntryFrame),
    /// Closes the connection to an agent.
    Close(LinkId),
    /// Logs and counts an event.
    Event(EntryEvent),
}

/// Event for the log and the counters: something happened to a job, or the
/// entry's view of other processes changed.
#[derive(Clone, Debug, PartialEq)]
pub struct EntryEvent {
    /// Name of the event. Each name has one meaning.
    pub event: &'static str,
    /// Job that the event concerns, if any.
    pub job: Option<Name>,
    /// Facts that led to the event and their age, as `key=value` pairs.
    pub detail: String,
    /// Reason under which the event is counted; empty if the event has only
    /// one.
    pub reason: &'static str,
    /// Time from the receipt of the job to its end, in milliseconds, if the
    /// event ends a job.
    pub took_ms: Option<u64>,
}

/// A start order without a reported end.
#[derive(Clone, Debug)]
pub(crate) struct OrderState {
    pub(crate) job: Name,
    /// Index of the task in [`JobState::tasks`].
    pub(crate) position: usize,
    pub(crate) link: LinkId,
    /// Expected run time on a minion of ordinary speed, in milliseconds.
    pub(crate) expected_ms: f64,
    pub(crate) ordered_ms: u64,
    pub(crate) is_stop_sent: bool,
    /// Link of the agent that witnesses the start, as long as it must hold it.
    pub(crate) witness: Option<LinkId>,
}

/// The core of an entry. Events and the present time in milliseconds go in;
/// [`Dispatcher::take_actions`] returns the actions to carry out.
#[derive(Debug)]
pub struct Dispatcher {
    pub(crate) settings: DispatcherSettings,
    pub(crate) table: RoutingTable,
    pub(crate) evacuations: Evacuations,
    pub(crate) agents: BTreeMap<LinkId, AgentState>,
    /// Entries in the list that was last sent to all agents.
    sent_entries: BTreeSet<SocketAddr>,
    pub(crate) hosts: Hosts,
    pub(crate) jobs: BTreeMap<Name, JobState>,
    pub(crate) orders: BTreeMap<OrderId, OrderState>,
    pub(crate) callers: BTreeMap<CallerId, Name>,
    pub(crate) estimates: Estimates,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) next_order: u64,
    pub(crate) is_stopping: bool,
    pub(crate) last_tick_ms: u64,
    /// Time before which nothing is started, in milliseconds.
    pub(crate) starts_resume_at_ms: u64,
    pub(crate) policy: BoxedPolicy,
    pub(crate) uplink: Uplink,
    /// Rate of the work that this entry recently started, by service.
    pub(crate) started_work: BTreeMap<Name, WorkRate>,
    /// Agent that is kept for a task which has waited for long.
    pub(crate) reservation: Option<Reservation>,
    /// Number of the starved job, by urgency, that is next considered for an agent
    /// of its own.
    pub(crate) starved_turn: usize,
    /// First of the waiting jobs that the last round of placement did not
    /// reach, with its rank.
    pub(crate) next_turn: Option<(Rank, Name)>,
    pub(crate) last_shed_ms: u64,
    /// Services whose failing hosts are not ejected, because too many of them
    /// fail.
    pub(crate) services_without_ejection: Vec<Name>,
    /// Median speed of the minions that run tasks, at most 1, which is the
    /// ordinary speed.
    pub(crate) usual_speed: f64,
    pub(crate) actions: Vec<DispatcherAction>,
    pub(crate) stored_events: Vec<StoredEvent>,
    pub(crate) crashes: KnownCrashes,
    pub(crate) lost_runs: LostRuns,
    /// Starts that minions may still carry out. Their tasks are not started
    /// again until then.
    pub(crate) delayed_starts: KnownDelayedStarts,
    pub(crate) lost_agents: LostAgents,
    pub(crate) witnesses: Witnesses,
    /// Starts of lost entries that witnesses reported.
    pub(crate) witnessed_starts: ReportedStarts,
}

impl Dispatcher {
    /// Returns the dispatcher of an entry that has just started, with the
    /// policy [`FairShare`].
    #[must_use]
    pub fn new(settings: DispatcherSettings, now_ms: u64) -> Self {
        Self::with_policy(settings, Box::new(FairShare::default()), now_ms)
    }

    /// Returns the dispatcher of an entry that has just started, with the given
    /// policy for times when there is more work than capacity.
    #[must_use]
    pub fn with_policy(settings: DispatcherSettings, policy: BoxedPolicy, now_ms: u64) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(settings.seed),
            uplink: Uplink::default(),
            settings,
            table: RoutingTable::default(),
            evacuations: Evacuations::default(),
            agents: BTreeMap::new(),
            sent_entries: BTreeSet::new(),
            hosts: Hosts::default(),
            jobs: BTreeMap::new(),
            orders: BTreeMap::new(),
            callers: BTreeMap::new(),
            estimates: Estimates::default(),
            next_order: 1,
            is_stopping: false,
            last_tick_ms: now_ms,
            starts_resume_at_ms: now_ms,
            policy,
            started_work: BTreeMap::new(),
            reservation: None,
            starved_turn: 0,
            next_turn: None,
            last_shed_ms: now_ms,
            services_without_ejection: Vec::new(),
            usual_speed: 1.0,
            actions: Vec::new(),
            stored_events: Vec::new(),
            crashes: KnownCrashes::default(),
            lost_runs: LostRuns::default(),
            delayed_starts: KnownDelayedStarts::default(),
            lost_agents: LostAgents::default(),
            witnesses: Witnesses::default(),
            witnessed_starts: ReportedStarts::default(),
        }
    }

    /// Sets the network link over which the entry sends. Without one, the load of the link
    /// affects no decision.
    pub fn set_uplink(&mut self, uplink: Uplink) {
        self.uplink = uplink;
    }

    /// Returns the actions since the last call and removes them.
    pub fn take_actions(&mut self) -> Vec<DispatcherAction> {
        std::mem::take(&mut self.actions)
    }

    /// Returns the queues in force.
    #[must_use]
    pub fn table(&self) -> &RoutingTable {
        &self.table
    }

    /// Returns whether the balancer may send requests to this entry.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.table.version > 0 && !self.agents.is_empty() && !self.is_stopping
    }

    /// Returns the number of jobs without an outcome, stored jobs included.
    #[must_use]
    pub fn unfinished_jobs(&self) -> usize {
        self.jobs.values().filter(|job| job.is_open()).count()
    }

    /// Returns the number of connected agents.
    #[must_use]
    pub fn agents(&self) -> usize {
        self.agents.len()
    }

    /// Returns the number of jobs of a queue whose callers wait and of which no
    /// task was ordered yet.
    #[must_use]
    pub fn pending(&self, queue: &str) -> usize {
        let has_caller = |job: &JobState| job.is_open() && !job.is_stored;
        let of_queue = |job: &&JobState| &*job.job.queue.name == queue && has_caller(job);
        let jobs = self.jobs.values().filter(of_queue);
        jobs.filter(|job| job.first_start_ms.is_none()).count()
    }

    /// Puts a newer configuration into force and returns `true`; ignores an
    /// older one and returns `false`.
    pub fn configure(&mut self, table: RoutingTable) -> bool {
        if table.version <= self.table.version {
            return false;
        }
        self.event("configuration", None, format!("version={}", table.version));
        self.table = table;
        true
    }

    /// Notes that the encoded frame of a [`DispatcherAction::Send`] has `bytes` bytes.
    pub fn frame_sent(&mut self, now_ms: u64, bytes: usize) {
        self.uplink.frame_sent(now_ms, bytes);
    }

    /// Adds an event if the entry's network link has become busy, or free again.
    fn report_uplink(&mut self, now_ms: u64) {
        let Some(is_busy) = self.uplink.take_change(now_ms) else {
            return;
        };
        let utilization = self.uplink.utilization(now_ms);
        let event = match is_busy {
            true => "uplink-busy",
            false => "uplink-free",
        };
        self.event(event, None, format!("utilization={utilization:.2}"));
    }

    /// Sets the factor by which a task takes longer away from its data.
    pub fn set_remote_factor(&mut self, remote_factor: f64) {
        self.settings.remote_factor = remote_factor;
    }

    /// Begins a planned stop: new jobs are refused, and the jobs that are here
    /// run to their end.
    pub fn begin_stop(&mut self) {
        self.is_stopping = true;
    }

    /// Adds an agent that greeted. Nothing that was ordered over its earlier
    /// connections is left on its minion.
    pub fn agent_up(&mut self, now_ms: u64, link: LinkId, hello: AgentHello) {
        let is_overtaken = |agent: &AgentState| {
            agent.hello.node == hello.node && hello.clock_ms < agent.hello.clock_ms
        };
        if self.agents.values().any(is_overtaken) {
            // The agent has closed this connection and greeted on a later one.
            self.actions.push(DispatcherAction::Close(link));
            return;
        }
        let detail = format!(
            "host={} zone={} capacity={:?}",
            hello.host, hello.zone, hello.capacity
        );
        self.event("agent-up", None, detail);
        self.hosts.record_greeting(&hello);
        self.retained_ends_reported(link, hello.retained_ends.clone());
        self.add_greeted_crashes(now_ms, hello.crashes.clone());
        self.add_unseen_crashes(now_ms, &hello);
        let host = hello.host.clone();
        let stale = self
            .agents
            .iter()
            .find(|(_, agent)| agent.hello.host == host);
        if let Some((stale, _)) = stale.map(|(link, agent)| (*link, agent.last_sent_ms)) {
            self.actions.push(DispatcherAction::Close(stale));
            self.agent_down(stale, "greeted-again");
        }
        self.agent_reported_delayed_starts(now_ms, &hello);
        let witnessed_starts = hello.witnessed_starts.clone();
        self.agents.insert(link, AgentState::new(now_ms, hello));
        self.witnessed_starts_reported(now_ms, witnessed_starts);
        self.send_evacuations(link);
        self.release_orphans(&host);
    }

    /// Removes an agent whose connection broke. Its runs may go on for a while,
    /// so their tasks become orphaned.
    pub fn agent_down(&mut self, link: LinkId, cause: &'static str) {
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
        self.lost_agents.add(&agent);
        let until_ms = agent.last_sent_ms + RUNS_GONE_AFTER_MS;
        let until_ms = until_ms.max(agent.inherited_lease_until_ms);
        for order in orders {
            let Some(state) = self.orders.remove(&order) else {
                continue;
            };
            if let Some(job) = self.jobs.get_mut(&state.job) {
                job.tasks[state.position].phase = TaskPhase::Orphaned { until_ms };
                job.may_have_run = true;
                let run = job.run_key(state.position);
                self.assume_delayed_start(&agent, order, &run.task);
                if let Some(witness) = state.witness {
                    self.release_witness(order, &state, witness);
                }
                self.lost_runs
                    .add(self.last_tick_ms, order, run, &agent.hello);
            }
            let detail = format!(
                "position={} host={} cause={cause}",
                state.position, agent.hello.host
            );
            self.event("task-orphaned", Some(state.job.clone()), detail);
            self.remove_if_stopped(&state.job);
        }
        self.replace_witness(link);
    }

    /// Processes a frame from an agent.
    pub fn agent_frame(&mut self, now_ms: u64, link: LinkId, frame: AgentFrame) {
        let Some(agent) = self.agents.get_mut(&link) else {
            return;
        };
        agent.update(now_ms, &frame);
        self.add_delayed_starts(now_ms, frame.delayed_starts);
        for report in frame.reports {
            match report {
                Report::Ended {
                    order,
                    end,
                    ran_ms,
                    retained_number,
                } => self.run_ended(now_ms, order, end, ran_ms, retained_number),
                Report::RetainedEnds(ends) => self.retained_ends_reported(link, ends),
                Report::Capacity(capacity) => self.agent_capacity_changed(now_ms, link, capacity),
                Report::Progress {
                    order,
                    percent,
                    elapsed_ms,
                    idle_ms,
                } => self.run_progressed(now_ms, order, percent, elapsed_ms, idle_ms),
                Report::WitnessedStarts(starts) => self.witnessed_starts_reported(now_ms, starts),
            }
        }
        self.release_settled_starts(now_ms, link);
    }

    /// Does what is due and returns the time by which to call again, in
    /// milliseconds.
    pub fn tick(&mut self, now_ms: u64) -> u64 {
        if now_ms > self.last_tick_ms + SUSPENSION_MS {
            let detail = format!("pause_ms={}", now_ms - self.last_tick_ms);
            self.event("stood-still", None, detail);
            self.starts_resume_at_ms = now_ms + RESUME_DELAY_MS;
        }
        self.last_tick_ms = now_ms;
        self.drop_unresponsive_agents(now_ms);
        self.expire_orphans(now_ms);
        self.crashes.expire(now_ms);
        self.delayed_starts.expire(now_ms);
        self.lost_agents.expire(now_ms);
        self.expire_witnessed_starts(now_ms);
        self.report_uplink(now_ms);
        self.expire_jobs(now_ms);
        self.place(now_ms);
        self.witness_starts(now_ms);
        self.probe(now_ms);
        if now_ms >= self.last_shed_ms + SHED_INTERVAL_MS {
            self.last_shed_ms = now_ms;
            self.learn_usual_speed();
            self.shed(now_ms);
        }
        self.send_frames(now_ms);
        self.next_due_ms(now_ms)
    }

    /// Returns the time by which to call [`Self::tick`] again, in milliseconds.
    pub(crate) fn next_due_ms(&self, now_ms: u64) -> u64 {
        let frames = self
            .agents
            .values()
            .map(|agent| agent.last_sent_ms + KEEPALIVE_MS);
        let agents = self.agents.values();
        let probations = agents.filter_map(|agent| agent.probations.due_ms(now_ms));
        let frames = frames.chain(probations);
        let open = self.jobs.values().filter(|job| job.is_open());
        let jobs = open.map(|job| {
            let minion_wait_ms = (job.objective_ms - job.received_ms) / MINION_WAIT_DIVISOR + 1;
            match job.first_start_ms {
                None if now_ms < job.received_ms + minion_wait_ms => {
                    job.received_ms + minion_wait_ms
                }
                _ => job.give_up_at_ms,
            }
        });
        let due_ms = frames.chain(jobs).min().unwrap_or(now_ms + KEEPALIVE_MS);
        due_ms.clamp(now_ms + 1, now_ms + KEEPALIVE_MS)
    }

    /// Drops the agents from which no frame came, or to which none was sent,
    /// for as long as a grant lasts.
    pub(crate) fn drop_unresponsive_agents(&mut self, now_ms: u64) {
        let is_lost = |agent: &AgentState| {
            let is_unresponsive = now_ms > agent.last_seen_ms + GRANT_MS;
            let has_grant_expired =
                agent.last_sent_ms > 0 && now_ms > agent.last_sent_ms + GRANT_MS;
            is_unresponsive || has_grant_expired
        };
        let lost = self.agents.iter().filter(|(_, agent)| is_lost(agent));
        let lost: Vec<LinkId> = lost.map(|(link, _)| *link).collect();
        for link in lost {
            self.actions.push(DispatcherAction::Close(link));
            self.agent_down(link, "silent");
        }
    }

    /// Returns the agents for which orders or a keepalive are due. Those that
    /// get no starts come first, so that a witness gets a start before the
    /// agent that is to send it.
    fn due_agents(&self, now_ms: u64) -> Vec<LinkId> {
        let is_due =
            |agent: &AgentState| !agent.outbox.is_empty() || now_ms >= agent.frame_due_ms();
        let due = self.agents.iter().filter(|(_, agent)| is_due(agent));
        let mut due: Vec<(bool, LinkId)> = due
            .map(|(link, agent)| (agent.outbox.has_starts(), *link))
            .collect();
        due.sort_unstable();
        due.into_iter().map(|(_, link)| link).collect()
    }

    /// Sends a frame to each agent for which orders or a keepalive are due.
    pub(crate) fn send_frames(&mut self, now_ms: u64) {
        let due = self.due_agents(now_ms);
        if due.is_empty() {
            return;
        }
        let demands = self.demands(now_ms);
        for link in due {
            let Some(agent) = self.agents.get_mut(&link) else {
                continue;
            };
            if !agent.forgettable_starts.is_empty() {
                let orders = std::mem::take(&mut agent.forgettable_starts);
                agent.outbox.push(Order::ForgetWitnessed(orders));
            }
            let demand = demands.get(&agent.hello.service).copied();
            agent.sent_demand = demand.unwrap_or_default();
            let (specs, orders) = agent.outbox.take();
            let frame = EntryFrame {
                grant_until_ms: agent.grant_until_ms(now_ms),
                demand: agent.sent_demand,
                specs,
                orders,
            };
            agent.last_sent_ms = now_ms;
            self.actions.push(DispatcherAction::Send(link, frame));
        }
    }

    /// Sends each agent its choice from `entries` of those to connect to.
    pub fn send_entries(&mut self, entries: &[SocketAddr]) {
        let current: BTreeSet<SocketAddr> = entries.iter().copied().collect();
        let added: Vec<SocketAddr> = current.difference(&self.sent_entries).copied().collect();
        for agent in self.agents.values_mut() {
            agent.send_entry_changes(&current, &added);
        }
        self.sent_entries = current;
    }

    /// Sends one agent its choice from `entries` of those to connect to.
    pub fn send_entries_to(&mut self, link: LinkId, entries: &[SocketAddr]) {
        if let Some(agent) = self.agents.get_mut(&link) {
            let entries = entries.iter().copied().collect();
            let is_sent_list = entries == self.sent_entries;
            agent.send_entries(entries);
            agent.is_chosen_from_sent = is_sent_list;
        }
    }

    /// Adds an event without a reason and without a duration.
    pub(crate) fn event(&mut self, event: &'static str, job: Option<Name>, detail: String) {
        self.actions.push(DispatcherAction::Event(EntryEvent {
            event,
            job,
            detail,
            reason: "",
            took_ms: None,
        }));
    }
}
