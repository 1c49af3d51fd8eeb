//! The agent beside a minion. It alone admits tasks to the minion and reports their
//! ends to the entries.

pub(crate) mod breaker;
mod call_loss;
mod capacity;
mod delayed_calls;
mod epochs;
mod evacuation;
mod incarnations;
mod inherited_lease;
mod links;
mod listing_calls;
mod listings;
mod minion;
mod minion_clock;
pub(crate) mod offers;
mod retained_ends;
mod run_table;
mod speed;
mod stalls;
mod starts;
mod suspect_starts;
mod trial;
mod unconfirmed_crashes;
mod witness;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use gannetvane_wire::Name;
use gannetvane_wire::NodeId;

use crate::AgentFrame;
use crate::AgentHello;
use crate::EntryFrame;
use crate::Evacuations;
use crate::Incarnation;
use crate::KEEPALIVE_MS;
use crate::KnownCrashes;
use crate::LinkId;
use crate::MINION_LEASE_MS;
use crate::NotStartedReason;
use crate::Order;
use crate::OrderId;
use crate::Resources;
use crate::RunEnd;
use crate::RunKey;
use crate::StartOrder;
use crate::agent::breaker::Breaker;
use crate::agent::breaker::BreakerState;
use crate::agent::breaker::TRIAL_MS;
use crate::agent::delayed_calls::DelayedCalls;
use crate::agent::epochs::Epochs;
use crate::agent::incarnations::Candidate;
use crate::agent::inherited_lease::LeaseCalls;
use crate::agent::links::Link;
use crate::agent::minion::Minion;
use crate::agent::offers::Offers;
use crate::agent::run_table::Phase;
use crate::agent::run_table::Run;
use crate::agent::run_table::RunTable;
use crate::agent::speed::MinionSpeed;
use crate::agent::trial::Trial;
use crate::agent::unconfirmed_crashes::UnconfirmedCrashes;
use crate::agent::witness::Witness;

/// Identity of an agent, for as long as its process runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgentIdentity {
    /// Id of this run of the process.
    pub node: NodeId,
    /// Name of the agent's host.
    pub host: Name,
    /// Availability zone of the agent.
    pub zone: Name,
}

/// Action that an agent requests from the process around it.
#[derive(Clone, Debug, PartialEq)]
pub enum AgentAction {
    /// Start a run; the result goes to [`Agent::start_answered`].
    Start {
        /// The minion's incarnation.
        incarnation: Incarnation,
        /// The run.
        key: RunKey,
        /// Text for the task.
        spec: Name,
        /// End of the lease on the minion's clock.
        deadline_ms: u64,
        /// The agent's epoch.
        epoch: u64,
    },
    /// Stop a run, or forbid a start of it that is still pending; the result goes to
    /// [`Agent::stop_answered`].
    Stop {
        /// The minion's incarnation.
        incarnation: Incarnation,
        /// The run.
        key: RunKey,
        /// The agent's epoch.
        epoch: u64,
    },
    /// Extend the lease, acknowledge ends and list runs; the result goes to
    /// [`Agent::list_answered`].
    List {
        /// Number of the call.
        call: u64,
        /// The minion's incarnation.
        incarnation: Incarnation,
        /// The agent's epoch; 0 to read the clock only.
        epoch: u64,
        /// The minion may forget ends up to this number.
        acknowledged_through: u64,
        /// New end of the lease on the minion's clock, if the lease is extended.
        deadline_ms: Option<u64>,
        /// Longest time that the answer may wait for an end, in milliseconds.
        wait_ms: u64,
    },
    /// Greet an entry.
    Greet(LinkId, AgentHello),
    /// Send a frame.
    Send(LinkId, AgentFrame),
    /// Close a connection.
    Close(LinkId),
    /// Connect to these entries as well.
    Entries(Vec<SocketAddr>),
    /// Log an event and count it.
    Event(AgentEvent),
}

/// An event for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgentEvent {
    /// Name of the event; each name has one meaning.
    pub event: &'static str,
    /// The job that the event is about, if there is one.
    pub job: Option<Name>,
    /// The values that led to the event, as `key=value` pairs.
    pub detail: String,
}

/// The core of an agent, without input and output.
#[derive(Debug)]
pub struct Agent {
    pub(crate) identity: AgentIdentity,
    pub(crate) minion: Option<Minion>,
    pub(crate) candidate: Option<Candidate>,
    /// The last incarnation that is known to have ended. Its delayed reports are
    /// ignored.
    pub(crate) last_ended: Option<Incarnation>,
    pub(crate) epochs: Epochs,
    pub(crate) delayed_calls: DelayedCalls,
    pub(crate) lease_calls: LeaseCalls,
    pub(crate) witness: Witness,
    /// Crashes of the minion, for the entries that are greeted next.
    pub(crate) crashes: KnownCrashes,
    /// Crashes that are not known to have happened.
    pub(crate) unconfirmed_crashes: UnconfirmedCrashes,
    /// Longest lease that the minion grants, in milliseconds.
    pub(crate) max_lease_ms: u64,
    pub(crate) runs: RunTable,
    pub(crate) links: BTreeMap<LinkId, Link>,
    pub(crate) offers: Offers,
    pub(crate) breaker: Breaker,
    pub(crate) trial: Trial,
    pub(crate) speed: MinionSpeed,
    pub(crate) evacuations: Evacuations,
    pub(crate) is_stopping: bool,
    /// Number of the next listing call.
    pub(crate) next_call: u64,
    pub(crate) actions: Vec<AgentAction>,
}

impl Agent {
    /// Creates the core of an agent that just started.
    #[must_use]
    pub fn new(identity: AgentIdentity) -> Self {
        Self {
            identity,
            minion: None,
            candidate: None,
            last_ended: None,
            epochs: Epochs::default(),
            delayed_calls: DelayedCalls::default(),
            lease_calls: LeaseCalls::default(),
            witness: Witness::default(),
            crashes: KnownCrashes::default(),
            unconfirmed_crashes: UnconfirmedCrashes::default(),
            max_lease_ms: MINION_LEASE_MS,
            runs: RunTable::default(),
            links: BTreeMap::new(),
            offers: Offers::default(),
            breaker: Breaker::default(),
            trial: Trial::default(),
            speed: MinionSpeed::default(),
            evacuations: Evacuations::default(),
            is_stopping: false,
            next_call: 1,
            actions: Vec::new(),
        }
    }

    /// Sets the longest lease that the minion grants, in milliseconds; at least
    /// [`MINION_LEASE_MS`].
    #[must_use]
    pub fn with_max_lease(mut self, lease_ms: u64) -> Self {
        self.max_lease_ms = lease_ms.max(MINION_LEASE_MS);
        self
    }

    /// Takes the actions requested since the last call.
    pub fn take_actions(&mut self) -> Vec<AgentAction> {
        std::mem::take(&mut self.actions)
    }

    /// Whether starts are admitted.
    #[must_use]
    pub fn is_accepting_starts(&self) -> bool {
        !self.is_stopping
            && !self.is_evacuated()
            && self
                .minion
                .as_ref()
                .is_some_and(Minion::is_accepting_starts)
    }

    /// Whether a planned stop may end the process now.
    #[must_use]
    pub fn can_stop(&self) -> bool {
        let minion = self.minion.as_ref();
        let has_no_retained_ends = minion.is_none_or(|minion| minion.retained_ends.is_empty());
        self.is_stopping && self.runs.is_empty() && has_no_retained_ends
    }

    /// Number of runs that take resources of the minion.
    #[must_use]
    pub fn active_runs(&self) -> usize {
        self.runs.iter().count()
    }

    /// Handles a frame of an entry.
    pub fn frame_received(&mut self, now_ms: u64, link: LinkId, frame: EntryFrame) {
        let Some(state) = self.links.get_mut(&link) else {
            return;
        };
        if frame.grant_until_ms < now_ms || state.grant_until_ms < now_ms {
            self.expire_link(now_ms, link);
            return;
        }
        state.grant_until_ms = frame.grant_until_ms;
        state.demand = frame.demand;
        for order in frame.orders {
            match order {
                Order::Start(start) => self.start_ordered(now_ms, link, &frame.specs, start),
                Order::Probe(probe) => self.offers.add_probe(now_ms, link, &probe),
                Order::DiscountFailures(job) => self.breaker.discount_failures(&job),
                Order::DeclineOffer => self.offers.close(link),
                Order::Stop(order) => self.stop_ordered(now_ms, link, order),
                Order::Disposition(number, disposition) => {
                    self.apply_disposition(now_ms, number, disposition);
                }
                Order::Evacuations(newer) => self.apply_evacuations(&newer),
                Order::Entries(entries) => self.actions.push(AgentAction::Entries(entries)),
                Order::Witness(starts) => self.witness.hold(now_ms, link, &starts),
                Order::ForgetWitnessed(orders) => self.witness.forget(link, &orders),
                Order::Reserve => self.offers.reserve_all(now_ms, link),
            }
        }
    }

    /// Begins a planned stop: the agent starts nothing more, and active runs may end.
    pub fn begin_stop(&mut self) {
        self.is_stopping = true;
    }

    /// Does what is due. Returns the time at which it must be called again at the
    /// latest.
    pub fn tick(&mut self, now_ms: u64) -> u64 {
        self.expire_retained_ends(now_ms);
        self.delayed_calls.expire(now_ms);
        self.witness.expire(now_ms);
        self.crashes.expire(now_ms);
        self.unconfirmed_crashes.expire(now_ms);
        self.expire_links(now_ms);
        self.close_retired_links(now_ms);
        self.watch_minion(now_ms);
        self.watch_candidate(now_ms);
        self.retry_starts(now_ms);
        self.hedge_starts(now_ms);
        self.offer_free_resources(now_ms);
        self.greet_links(now_ms);
        self.list_if_due(now_ms);
        self.check_suspect_starts(now_ms);
        self.send_frames(now_ms);
        self.next_due_ms(now_ms)
    }

    fn next_due_ms(&self, now_ms: u64) -> u64 {
        let keepalive = |link: &Link| link.last_sent_ms + KEEPALIVE_MS;
        let links = self.links.values().filter(|link| link.is_greeted);
        let frames_ms = links.map(keepalive).min();
        let greeted = self.links.values().filter(|link| link.is_greeted);
        let grants_ms = greeted.map(|link| link.grant_until_ms + 1).min();
        let minion_ms = self.minion_due_ms(now_ms);
        let breaker_ms = self.breaker.due_ms(now_ms);
        [
            frames_ms,
            grants_ms,
            minion_ms,
            self.offers.due_ms(),
            breaker_ms,
        ]
        .into_iter()
        .flatten()
        .min()
        .unwrap_or(now_ms + 1_000)
        .max(now_ms + 1)
    }

    /// Starts a task, or refuses it at once. If it waited here for resources, it would
    /// be held up behind long tasks while resources become free elsewhere.
    fn start_ordered(&mut self, now_ms: u64, link: LinkId, specs: &[Name], start: StartOrder) {
        let mut is_retiring = false;
        let mut number = 0;
        if let Some(state) = self.links.get_mut(&link) {
            state.starts_received += 1;
            is_retiring = state.is_retiring;
            number = state.starts_received;
        }
        let order = start.id;
        let spec = self.spec_of(specs, &start);
        let Some(spec) = spec.filter(|_| self.admits(now_ms) && !is_retiring) else {
            self.log_evacuated_start(&start);
            self.report_end(
                link,
                order,
                RunEnd::NotStarted(NotStartedReason::Closing),
                0,
            );
            return;
        };
        let run = Run::new(now_ms, link, number, spec, start);
        let has_resources = self.free_resources_for(link).can_fit(&run.needs);
        let is_admitted = self.runs.admits_suspect(&run, Some(now_ms));
        let can_start = has_resources && is_admitted && !self.runs.is_task_active(&run.key);
        if !can_start {
            self.report_end(link, order, RunEnd::NotStarted(NotStartedReason::Full), 0);
            return;
        }
        self.offers.close(link);
        let needs_check = run.phase == Phase::Checking;
        self.runs.insert(run);
        if !needs_check {
            self.start_run(now_ms, link, order);
        }
    }

    /// Returns the spec of a start order from those of its frame. Only an entry of another
    /// version sends a frame without it.
    fn spec_of(&mut self, specs: &[Name], start: &StartOrder) -> Option<Name> {
        let index = usize::try_from(start.spec).ok();
        let spec = index.and_then(|index| specs.get(index)).cloned();
        if spec.is_none() {
            let detail = format!("spec={} specs={}", start.spec, specs.len());
            self.event("spec-missing", Some(start.task.job.clone()), detail);
        }
        spec
    }

    fn stop_ordered(&mut self, now_ms: u64, link: LinkId, order: OrderId) {
        if self.runs.get(link, order).is_some() {
            self.stop_run(now_ms, link, order);
        }
    }

    /// Resources that no run takes.
    pub(crate) fn free_resources(&self) -> Resources {
        let capacity = self.minion.as_ref().map(Minion::capacity);
        capacity
            .unwrap_or_default()
            .minus(&self.runs.taken_resources())
    }

    /// Resources that neither a run takes nor an offer reserves for other entries than
    /// that of `link`.
    pub(crate) fn free_resources_for(&self, link: LinkId) -> Resources {
        self.free_resources()
            .minus(&self.offers.reserved_for_others(link))
    }

    /// Offers the free resources to entries whose tasks wait.
    fn offer_free_resources(&mut self, now_ms: u64) {
        let is_healthy = self.breaker.state(now_ms) == BreakerState::Closed;
        if !is_healthy || !self.is_accepting_starts() || !self.can_extend_lease(now_ms) {
            self.offers.clear();
            return;
        }
        for link in self.offers.make_offers(now_ms, self.free_resources()) {
            if let Some(state) = self.links.get_mut(&link) {
                state.has_offer = true;
            }
        }
    }

    /// Whether the agent, the health of its minion and the minion's lease allow a start
    /// now. Entries learn it, so that they do not order what would be refused.
    pub(crate) fn admits(&self, now_ms: u64) -> bool {
        self.is_accepting_starts()
            && self.can_extend_lease(now_ms)
            && match self.breaker.state(now_ms) {
                BreakerState::Closed => true,
                BreakerState::Open => false,
                BreakerState::HalfOpen { since_ms } => {
                    let is_trial = |run: &Run| run.started_ms >= since_ms;
                    let is_recent = |run: &Run| now_ms < run.started_ms + TRIAL_MS;
                    !self.runs.iter().any(|run| is_trial(run) && is_recent(run))
                }
            }
    }

    pub(crate) fn event(&mut self, event: &'static str, job: Option<Name>, detail: String) {
        self.actions
            .push(AgentAction::Event(AgentEvent { event, job, detail }));
    }
}
