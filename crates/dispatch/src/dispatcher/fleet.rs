//! State of the agents that are connected to an entry, and what the entry has
//! learned about their hosts.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use gannetvane_wire::Name;

use crate::AgentFrame;
use crate::AgentHello;
use crate::Demand;
use crate::GRANT_MS;
use crate::KEEPALIVE_MS;
use crate::MAX_LINKED_ENTRIES;
use crate::Order;
use crate::OrderId;
use crate::Resources;
use crate::agent::breaker::TRIAL_MS;
use crate::dispatcher::outbox::Outbox;
use crate::dispatcher::suspects::Probations;
use crate::rendezvous::RendezvousHash;

/// Time for which a host is ejected after its first failure, in milliseconds.
/// Each further failure doubles it.
const FIRST_EJECTION_MS: u64 = 300;
/// Longest time for which a host is ejected, in milliseconds.
const MAX_EJECTION_MS: u64 = 2_400;
/// Time without a frame from an agent after which it gets no starts, in
/// milliseconds: two keepalives.
const STALE_AGENT_MS: u64 = 250;

/// Time since the last frame to a witness after which it is told which starts to forget, in
/// milliseconds, if the entry is awake then. If the entry is lost before, the tasks wait
/// without need.
const FORGET_DELAY_MS: u64 = 20;

/// Agents report the speed of a minion in thousandths of the ordinary speed.
const PERMILLE: f64 = 1_000.0;

/// What the entry has learned about a host; it is kept while the agent is
/// disconnected.
#[derive(Clone, Debug)]
pub(crate) struct HostRecord {
    /// Number of failures since the last success.
    pub(crate) consecutive_failures: u32,
    /// Time until which the host gets no tasks, in milliseconds.
    pub(crate) ejected_until_ms: u64,
    /// Labels of its minion. A minion of another kind has other labels.
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

    /// Records a failure that may be the fault of the host, and ejects the
    /// host.
    pub(crate) fn record_failure(&mut self, now_ms: u64) {
        let ejection_ms = FIRST_EJECTION_MS << self.consecutive_failures.min(3);
        self.consecutive_failures += 1;
        self.ejected_until_ms = now_ms + ejection_ms.min(MAX_EJECTION_MS);
    }

    /// Records a success, which ends the ejection.
    pub(crate) fn record_success(&mut self) {
        self.consecutive_failures = 0;
        self.ejected_until_ms = 0;
    }

    /// Removes a failure that turned out to be the fault of the task.
    pub(crate) fn discount_failure(&mut self) {
        self.consecutive_failures = self.consecutive_failures.saturating_sub(1);
        if self.consecutive_failures == 0 {
            self.ejected_until_ms = 0;
        }
    }
}

/// An agent that greeted and is still connected.
#[derive(Debug)]
pub(crate) struct AgentState {
    pub(crate) hello: AgentHello,
    /// Largest capacity that its minion has had.
    pub(crate) max_capacity: Resources,
    /// Orders that the next frame to the agent contains.
    pub(crate) outbox: Outbox,
    /// Time at which its last frame arrived, in milliseconds.
    pub(crate) last_seen_ms: u64,
    /// Time at which the last frame was sent to it, in milliseconds; 0 before
    /// the first.
    pub(crate) last_sent_ms: u64,
    /// Time on the agent's clock in its last frame, in milliseconds.
    pub(crate) clock_ms: u64,
    /// Speed of its minion; 1 is the ordinary speed.
    pub(crate) speed: f64,
    /// Whether it has reported its free resources since it greeted.
    pub(crate) has_reported_free: bool,
    free: Resources,
    /// Sum of the demands that all entries sent to the agent.
    demand: Demand,
    /// Demand that this entry last sent to the agent.
    pub(crate) sent_demand: Demand,
    is_accepting_starts: bool,
    /// Whether its availability zone is evacuated.
    pub(crate) is_evacuated: bool,
    /// Whether it reserves resources for this entry.
    has_offered: bool,
    /// Number of start orders on this connection that the agent had received at
    /// its last frame.
    starts_received: u64,
    /// Number of the first start orders on this connection of which no start
    /// was pending or to be sent at the agent's last frame.
    starts_settled: u64,
    /// Number of start orders sent on this connection.
    starts_sent: u64,
    /// Orders without an end, each with the number of its start on this
    /// connection and the resources that its task needs.
    pub(crate) outstanding: BTreeMap<OrderId, (u64, Resources)>,
    /// Suspect tasks of this entry that may be on probation there.
    pub(crate) probations: Probations,
    /// Time of the last start order, in milliseconds; 0 before the first.
    last_ordered_ms: u64,
    /// Entries to connect to that were last sent to the agent.
    chosen_entries: BTreeSet<SocketAddr>,
    /// Whether `chosen_entries` was chosen from the list that was last sent to
    /// all agents.
    pub(crate) is_chosen_from_sent: bool,
    /// Time until which its runs may go on without it because of an inherited lease, in
    /// milliseconds.
    pub(crate) inherited_lease_until_ms: u64,
    /// Witnessed starts that it may forget, which the next frame names.
    pub(crate) forgettable_starts: Vec<OrderId>,
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
            inherited_lease_until_ms: now_ms.saturating_add(hello.inherited_lease_ms),
            forgettable_starts: Vec::new(),
            hello,
            outbox: Outbox::default(),
            last_seen_ms: now_ms,
            last_sent_ms: 0,
            starts_received: 0,
            starts_settled: 0,
            starts_sent: 0,
            outstanding: BTreeMap::new(),
            probations: Probations::default(),
            last_ordered_ms: 0,
            chosen_entries: BTreeSet::new(),
            is_chosen_from_sent: false,
        }
    }

    /// Takes over the state that a frame from the agent reports.
    pub(crate) fn update(&mut self, now_ms: u64, frame: &AgentFrame) {
        self.last_seen_ms = now_ms;
        self.clock_ms = frame.clock_ms;
        self.has_reported_free = true;
        self.free = frame.free;
        self.speed = f64::from(frame.speed_permille) / PERMILLE;
        self.demand = frame.demand;
        self.is_accepting_starts = frame.is_accepting_starts;
        self.starts_received = frame.starts_received;
        self.starts_settled = frame.starts_settled;
        self.has_offered |= frame.has_offer;
    }

    /// Sets the present capacity of the minion.
    pub(crate) fn set_capacity(&mut self, capacity: Resources) {
        self.hello.capacity = capacity;
        self.max_capacity = self.max_capacity.max(&capacity);
    }

    /// Returns the end of the grant that a frame sent now gives, on the agent's
    /// clock. It assumes the earliest time that this clock may show now.
    pub(crate) fn grant_until_ms(&self, now_ms: u64) -> u64 {
        self.clock_ms + now_ms.saturating_sub(self.last_seen_ms) + GRANT_MS
    }

    /// Records a start order that is sent to the agent. It uses up the agent's
    /// offer, if any.
    pub(crate) fn add_order(&mut self, now_ms: u64, order: OrderId, needs: Resources) {
        self.last_ordered_ms = now_ms;
        self.starts_sent += 1;
        self.has_offered = false;
        self.outstanding.insert(order, (self.starts_sent, needs));
    }

    /// Removes an order that has ended.
    pub(crate) fn remove_order(&mut self, order: OrderId) {
        self.outstanding.remove(&order);
        self.probations.remove(order);
    }

    /// Returns whether the last start has had no time to fail yet.
    pub(crate) fn is_last_start_recent(&self, now_ms: u64) -> bool {
        !self.outstanding.is_empty() && now_ms < self.last_ordered_ms + TRIAL_MS
    }

    /// Returns the free resources less what the orders need that the agent had
    /// not received at its last frame.
    pub(crate) fn free(&self) -> Resources {
        let unreceived = self.unreceived();
        unreceived.fold(self.free, |free, needs| free.minus(&needs))
    }

    /// Returns whether a start for an order without an end may be pending at
    /// the agent, as far as its last frame tells.
    pub(crate) fn may_have_pending_start(&self, order: OrderId) -> bool {
        let number = self.outstanding.get(&order).map(|(number, _)| *number);
        number.is_some_and(|number| number > self.starts_settled)
    }

    /// Returns the orders without an end of which no start is pending at the agent.
    pub(crate) fn settled_orders(&self) -> impl Iterator<Item = OrderId> {
        let is_settled =
            |(_, (number, _)): &(&OrderId, &(u64, Resources))| *number <= self.starts_settled;
        self.outstanding
            .iter()
            .filter(is_settled)
            .map(|(id, _)| *id)
    }

    /// Returns when the next frame to it is due if the entry is awake, in
    /// milliseconds.
    pub(crate) fn frame_due_ms(&self) -> u64 {
        let pause_ms = match self.forgettable_starts.is_empty() {
            true => KEEPALIVE_MS,
            false => FORGET_DELAY_MS,
        };
        self.last_sent_ms + pause_ms
    }

    /// Returns whether its last frame is recent.
    pub(crate) fn is_fresh(&self, now_ms: u64) -> bool {
        now_ms <= self.last_seen_ms + STALE_AGENT_MS
    }

    /// Returns the needs of the start orders that the agent had not received at
    /// its last frame.
    fn unreceived(&self) -> impl Iterator<Item = Resources> {
        let is_unreceived = |(number, _): &&(u64, Resources)| *number > self.starts_received;
        let orders = self.outstanding.values().filter(is_unreceived);
        orders.map(|(_, needs)| *needs)
    }

    /// Sends the agent its choice from `entries`. The length of the whole list
    /// grows with the fleet, and so does the number of agents that get it.
    pub(crate) fn send_entries(&mut self, entries: BTreeSet<SocketAddr>) {
        let rendezvous = RendezvousHash::new(self.hello.host.clone(), MAX_LINKED_ENTRIES);
        self.chosen_entries = rendezvous.select(entries);
        self.is_chosen_from_sent = true;
        let chosen_entries = self.chosen_entries.iter().copied().collect();
        self.outbox.push(Order::Entries(chosen_entries));
    }

    /// Sends the agent its choice from `entries`, a list that gained `added`
    /// since the last list for all agents and may have lost others.
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

    /// Declines the agent's offer, if it made one.
    pub(crate) fn decline_offer(&mut self) {
        if std::mem::take(&mut self.has_offered) {
            self.outbox.push(Order::DeclineOffer);
        }
    }

    /// Returns whether the agent can get starts at present.
    pub(crate) fn accepts_starts(&self, now_ms: u64) -> bool {
        self.is_accepting_starts && !self.is_evacuated && self.is_fresh(now_ms)
    }

    /// Returns the demand on this agent from the other entries.
    pub(crate) fn demand_of_others(&self) -> Demand {
        self.demand.minus(self.sent_demand)
    }

    pub(crate) fn has_label(&self, label: &Name) -> bool {
        self.hello.labels.contains(label)
    }

    /// Returns whether nothing runs on the minion, as far as is known.
    pub(crate) fn is_idle(&self) -> bool {
        self.free() == self.hello.capacity
    }

    /// Returns whether the agent takes no starts from this entry and has ended
    /// all that the entry ordered, as before a planned close.
    pub(crate) fn has_finished(&self) -> bool {
        self.has_reported_free && !self.is_accepting_starts && self.outstanding.is_empty()
    }

    /// Returns the fraction of the minion's processor capacity that is in use.
    pub(crate) fn load(&self) -> f64 {
        let capacity = f64::from(self.hello.capacity.cpu_milli.max(1));
        1.0 - f64::from(self.free().cpu_milli) / capacity
    }
}

/// What the entry has learned about each host.
#[derive(Debug, Default)]
pub(crate) struct Hosts {
    records: BTreeMap<Name, HostRecord>,
}

impl Hosts {
    /// Records the greeting of an agent; the record of a host is reset if its
    /// minion is of another kind.
    pub(crate) fn record_greeting(&mut self, hello: &AgentHello) {
        let record = self.record(&hello.host);
        if record.labels != hello.labels {
            *record = HostRecord::new(hello.labels.clone());
        }
    }

    /// Returns the record of a host, which is created if there is none.
    pub(crate) fn record(&mut self, host: &Name) -> &mut HostRecord {
        let new = || HostRecord::new(Vec::new());
        self.records.entry(host.clone()).or_insert_with(new)
    }

    pub(crate) fn get(&self, host: &Name) -> Option<&HostRecord> {
        self.records.get(host)
    }
}
