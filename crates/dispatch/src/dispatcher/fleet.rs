//! The agents that an entry knows, and what it learned of their hosts.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use gannetvane_wire::Name;

use crate::AgentFrame;
use crate::AgentHello;
use crate::Demand;
use crate::GRANT_MS;
use crate::MAX_LINKED_ENTRIES;
use crate::Order;
use crate::OrderId;
use crate::Resources;
use crate::rendezvous::RendezvousHash;

/// First time for which a host that failed gets no tasks, in milliseconds.
const FIRST_EJECTION_MS: u64 = 300;
/// Longest such time, in milliseconds.
const MAX_EJECTION_MS: u64 = 2_400;
/// Silence of an agent after which it gets no starts, in milliseconds: two
/// keepalives.
const STALE_AGENT_MS: u64 = 250;

/// Speed is told in thousandths of the ordinary one.
const PERMILLE: f64 = 1_000.0;

/// What was learned of a host, kept while its agent is away.
#[derive(Clone, Debug)]
pub(crate) struct HostRecord {
    /// Bad ends since the last good one.
    pub(crate) consecutive_failures: u32,
    /// Until when it gets no tasks.
    pub(crate) ejected_until_ms: u64,
    labels: Vec<Name>,
}

impl HostRecord {
    fn new(labels: Vec<Name>) -> Self {
        Self {
            consecutive_failures: 0,
            ejected_until_ms: 0,
            labels,
        }
    }

    /// A run ended badly for a reason that speaks against the host.
    pub(crate) fn record_failure(&mut self, now_ms: u64) {
        let ejection_ms = FIRST_EJECTION_MS << self.consecutive_failures.min(3);
        self.consecutive_failures += 1;
        self.ejected_until_ms = now_ms + ejection_ms.min(MAX_EJECTION_MS);
    }

    /// A run ended well.
    pub(crate) fn record_success(&mut self) {
        self.consecutive_failures = 0;
        self.ejected_until_ms = 0;
    }

    /// A failure turned out to be the task's own.
    pub(crate) fn discount_failure(&mut self) {
        self.consecutive_failures = self.consecutive_failures.saturating_sub(1);
        if self.consecutive_failures == 0 {
            self.ejected_until_ms = 0;
        }
    }
}

/// An agent that greeted.
#[derive(Debug)]
pub(crate) struct AgentState {
    pub(crate) hello: AgentHello,
    /// The most room that its minion has had.
    pub(crate) max_capacity: Resources,
    pub(crate) outbox: Vec<Order>,
    pub(crate) last_seen_ms: u64,
    pub(crate) last_sent_ms: u64,
    pub(crate) clock_ms: u64,
    /// Speed of its minion, 1 for the ordinary one.
    pub(crate) speed: f64,
    /// Whether it has told its room since it greeted.
    pub(crate) has_reported_free: bool,
    free: Resources,
    /// What all entries together told the agent of their demand.
    demand: Demand,
    /// What this entry told it last.
    pub(crate) sent_demand: Demand,
    is_accepting_starts: bool,
    /// Whether operators are emptying its zone.
    pub(crate) is_evacuated: bool,
    /// Whether it keeps room for this entry.
    has_offered: bool,
    starts_received: u64,
    starts_sent: u64,
    /// Orders without an end, with their number on the link and their need.
    pub(crate) outstanding: BTreeMap<OrderId, (u64, Resources)>,
    /// The entries that it was told of.
    chosen_entries: BTreeSet<SocketAddr>,
    /// Whether these are its choice of what all agents were last told.
    pub(crate) is_chosen_from_sent: bool,
}

impl AgentState {
    pub(crate) fn new(now_ms: u64, hello: AgentHello) -> Self {
        Self {
            clock_ms: hello.clock_ms,
            max_capacity: hello.capacity,
            speed: 1.0,
            has_reported_free: false,
            free: Resources::default(),
            demand: Demand::default(),
            sent_demand: Demand::default(),
            is_accepting_starts: false,
            is_evacuated: false,
            has_offered: false,
            hello,
            outbox: Vec::new(),
            last_seen_ms: now_ms,
            last_sent_ms: 0,
            starts_received: 0,
            starts_sent: 0,
            outstanding: BTreeMap::new(),
            chosen_entries: BTreeSet::new(),
            is_chosen_from_sent: false,
        }
    }

    pub(crate) fn update(&mut self, now_ms: u64, frame: &AgentFrame) {
        self.last_seen_ms = now_ms;
        self.clock_ms = frame.clock_ms;
        self.has_reported_free = true;
        self.free = frame.free;
        self.speed = f64::from(frame.speed_permille) / PERMILLE;
        self.demand = frame.demand;
        self.is_accepting_starts = frame.is_accepting_starts;
        self.starts_received = frame.starts_received;
        self.has_offered |= frame.has_offer;
    }

    /// The minion has other room than before.
    pub(crate) fn set_capacity(&mut self, capacity: Resources) {
        self.hello.capacity = capacity;
        self.max_capacity = self.max_capacity.max(&capacity);
    }

    /// Until when a frame that is sent now lets tasks run, on the agent's
    /// clock. The clock is taken as early as it can be.
    pub(crate) fn grant_until_ms(&self, now_ms: u64) -> u64 {
        self.clock_ms + now_ms.saturating_sub(self.last_seen_ms) + GRANT_MS
    }

    pub(crate) fn add_order(&mut self, order: OrderId, needs: Resources) {
        self.starts_sent += 1;
        self.has_offered = false;
        self.outstanding.insert(order, (self.starts_sent, needs));
    }

    /// Room that is left after the orders that the agent had not seen.
    pub(crate) fn free(&self) -> Resources {
        let unreceived = self.unreceived();
        unreceived.fold(self.free, |free, needs| free.minus(&needs))
    }

    fn unreceived(&self) -> impl Iterator<Item = Resources> {
        let is_unreceived = |(number, _): &&(u64, Resources)| *number > self.starts_received;
        let orders = self.outstanding.values().filter(is_unreceived);
        orders.map(|(_, needs)| *needs)
    }

    /// Tells the agent of those entries that it chooses. All of them would be a
    /// list that grows with the fleet, to as many agents.
    pub(crate) fn send_entries(&mut self, entries: BTreeSet<SocketAddr>) {
        let rendezvous = RendezvousHash::new(self.hello.host.clone(), MAX_LINKED_ENTRIES);
        self.chosen_entries = rendezvous.select(entries);
        self.is_chosen_from_sent = true;
        let chosen_entries = self.chosen_entries.iter().copied().collect();
        self.outbox.push(Order::Entries(chosen_entries));
    }

    /// The same, when these were added to those told last and others may be gone.
    pub(crate) fn send_entry_changes(
        &mut self,
        entries: &BTreeSet<SocketAddr>,
        added: &[SocketAddr],
    ) {
        if self.is_chosen_from_sent && self.chosen_entries.is_subset(entries) {
            let chosen_entries = self.chosen_entries.iter().chain(added);
            self.send_entries(chosen_entries.copied().collect());
        } else {
            self.send_entries(entries.clone());
        }
    }

    /// Tells the agent that its offer is of no use, if it made one.
    pub(crate) fn decline_offer(&mut self) {
        if std::mem::take(&mut self.has_offered) {
            self.outbox.push(Order::DeclineOffer);
        }
    }

    pub(crate) fn accepts_starts(&self, now_ms: u64) -> bool {
        self.is_accepting_starts
            && !self.is_evacuated
            && now_ms <= self.last_seen_ms + STALE_AGENT_MS
    }

    /// Demand of the other entries on this agent.
    pub(crate) fn demand_of_others(&self) -> Demand {
        self.demand.minus(self.sent_demand)
    }

    pub(crate) fn has_label(&self, label: &Name) -> bool {
        self.hello.labels.contains(label)
    }

    /// Whether nothing runs there, as far as is known.
    pub(crate) fn is_idle(&self) -> bool {
        self.free() == self.hello.capacity
    }

    /// Share of the room that is in use.
    pub(crate) fn load(&self) -> f64 {
        let capacity = f64::from(self.hello.capacity.cpu_milli.max(1));
        1.0 - f64::from(self.free().cpu_milli) / capacity
    }
}

/// What was learned of each host.
#[derive(Debug, Default)]
pub(crate) struct Hosts {
    records: BTreeMap<Name, HostRecord>,
}

impl Hosts {
    /// Notes a greeting; a minion of another kind starts without a record.
    pub(crate) fn record_greeting(&mut self, hello: &AgentHello) {
        let record = self.record(&hello.host);
        if record.labels != hello.labels {
            *record = HostRecord::new(hello.labels.clone());
        }
    }

    pub(crate) fn record(&mut self, host: &Name) -> &mut HostRecord {
        let new = || HostRecord::new(Vec::new());
        self.records.entry(host.clone()).or_insert_with(new)
    }

    pub(crate) fn get(&self, host: &Name) -> Option<&HostRecord> {
        self.records.get(host)
    }
}
