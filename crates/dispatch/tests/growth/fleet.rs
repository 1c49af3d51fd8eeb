//! Discrete-event simulation of a fleet of entries and agents, which exchange their gossip
//! as `gannetvane-node` does.

use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use gannetvane_dispatch::EntryFrame;
use gannetvane_dispatch::Order;
use gannetvane_dispatch::PeerAck;
use gannetvane_dispatch::PeerFrame;
use gannetvane_dispatch::SeenEntry;
use gannetvane_dispatch::decode;
use gannetvane_dispatch::encode;

use crate::agent::Agent;
use crate::entry;
use crate::entry::Connection;
use crate::entry::Entry;
use crate::queue::EventQueue;
use crate::tally::Tally;

/// Time that a frame takes from one process to another, in milliseconds.
const FRAME_DELAY_MS: u64 = 1;
/// Interval between two reads of its directory by a process, in milliseconds.
const REFRESH_INTERVAL_MS: u64 = 500;
/// Interval between two frames to another entry, in milliseconds.
const KEEPALIVE_INTERVAL_MS: u64 = 1_000;
/// Interval between two full lists of entries on a connection, in milliseconds.
const FULL_LIST_INTERVAL_MS: u64 = 5_000;
/// Number of entries whose addresses all processes get at their start.
const SEEDS: usize = 3;
const START_MS: u64 = 100_000;

/// An event of the simulation; numbers are those of entries unless said otherwise.
#[derive(Debug)]
enum Event {
    /// An entry refreshes its gossip and its connections from its directory.
    EntryRefresh(usize),
    /// An agent, by its number, refreshes its links from its directory.
    AgentRefresh(usize),
    /// An entry has applied all frames that arrived at this millisecond.
    Wake(usize),
    /// The connection from the first entry to the second one is open.
    ConnectionOpen(usize, usize),
    /// The keep-alive interval after a frame is over: sender, receiver, number of the frame.
    KeepaliveDue(usize, usize, u64),
    /// A frame arrives: sender, receiver, bytes.
    Frame(usize, usize, Rc<Vec<u8>>),
    /// An acknowledgement of a frame arrives: sender, receiver.
    Ack(usize, usize),
    /// The link of an agent to an entry is open: agent, entry.
    LinkOpen(usize, usize),
    /// A frame with orders arrives: entry, agent, bytes.
    Orders(usize, usize, Vec<u8>),
}

/// The simulated fleet.
#[derive(Debug)]
pub struct Fleet {
    pub now_ms: u64,
    pub entries: Vec<Entry>,
    pub agents: Vec<Agent>,
    queue: EventQueue<Event>,
}

/// Returns the address of an entry.
pub fn addr(entry: usize) -> SocketAddr {
    let [.., high, low] = entry.to_be_bytes();
    SocketAddr::from((Ipv4Addr::new(10, 1, high, low), 7_720))
}

/// Returns the number of the entry at an address.
fn entry_number(addr: SocketAddr) -> usize {
    let SocketAddr::V4(addr) = addr else {
        unreachable!("all addresses are of version 4");
    };
    let [.., high, low] = addr.ip().octets();
    usize::from(u16::from_be_bytes([high, low]))
}

impl Fleet {
    /// Creates entries and agents that know all entries, and runs them until all of them are
    /// connected to the entries that they choose.
    pub fn connected(entries: usize, agents: usize) -> Self {
        let seeds: Vec<SocketAddr> = (0..SEEDS).map(addr).collect();
        let mut fleet = Self {
            now_ms: START_MS,
            entries: (0..entries)
                .map(|entry| Entry::new(addr(entry), &seeds))
                .collect(),
            agents: (0..agents).map(|agent| Agent::new(agent, &seeds)).collect(),
            queue: EventQueue::new(),
        };
        fleet.learn_all();
        for entry in 0..entries {
            fleet.schedule_refresh(entry);
        }
        for agent in 0..agents {
            fleet.connect_agent(agent);
            let at_ms = START_MS + agent as u64 % REFRESH_INTERVAL_MS;
            fleet.queue.add(at_ms, Event::AgentRefresh(agent));
        }
        fleet.run(FULL_LIST_INTERVAL_MS + KEEPALIVE_INTERVAL_MS);
        fleet
    }

    /// Makes all entries known to all processes.
    fn learn_all(&mut self) {
        let known = |entry| SeenEntry {
            addr: addr(entry),
            age_ms: 0,
        };
        let known: Vec<SeenEntry> = (0..self.entries.len()).map(known).collect();
        let table = Arc::new(entry::table(1));
        for entry in &mut self.entries {
            entry.directory.merge_seen(START_MS, &known);
            entry.gossip.table = Arc::clone(&table);
            entry.refresh_entries(START_MS);
        }
        let addrs: Vec<SocketAddr> = known.iter().map(|known| known.addr).collect();
        for agent in &mut self.agents {
            agent.add_mentioned(START_MS, &addrs);
        }
    }

    /// Opens the links that an agent chooses, without a delay.
    fn connect_agent(&mut self, agent: usize) {
        let state = &mut self.agents[agent];
        for target in state.targets(START_MS) {
            state.directory.mark_seen(START_MS, target);
            state.links.insert(entry_number(target));
            self.entries[entry_number(target)].agents.insert(agent);
        }
        state.dialed_discoveries = state.directory.discoveries();
    }

    fn schedule_refresh(&mut self, entry: usize) {
        let at_ms = self.now_ms + entry as u64 * 7 % REFRESH_INTERVAL_MS;
        self.queue.add(at_ms, Event::EntryRefresh(entry));
    }

    /// Adds an entry that has the addresses of the others from the store.
    pub fn add_entry(&mut self) {
        let number = self.entries.len();
        let seeds: Vec<SocketAddr> = (0..SEEDS).map(addr).collect();
        let mut new = Entry::new(addr(number), &seeds);
        let others: Vec<SocketAddr> = (0..number).map(addr).collect();
        new.directory.add_mentioned(self.now_ms, &others);
        self.entries.push(new);
        self.queue.add(self.now_ms, Event::EntryRefresh(number));
    }

    /// Stops an entry and closes the connections and links to it.
    pub fn remove_entry(&mut self, gone: usize) {
        self.entries[gone].is_up = false;
        for entry in &mut self.entries {
            entry.connections.remove(&gone);
        }
        for agent in &mut self.agents {
            agent.links.remove(&gone);
        }
    }

    /// Gives an entry a newer configuration, which it sends to its peers.
    pub fn configure(&mut self, entry: usize) {
        let version = self.entries[entry].gossip.table.version + 1;
        self.entries[entry].gossip.table = Arc::new(entry::table(version));
        self.send_to_peers(entry);
    }

    /// Runs the simulation for this time.
    pub fn run(&mut self, for_ms: u64) {
        let until_ms = self.now_ms + for_ms;
        while let Some((at_ms, event)) = self.queue.next(until_ms) {
            self.now_ms = at_ms;
            self.handle_event(event);
        }
        self.now_ms = until_ms;
    }

    pub fn clear_tallies(&mut self) {
        for entry in &mut self.entries {
            entry.tally = Tally::default();
        }
        for agent in &mut self.agents {
            agent.tally = Tally::default();
        }
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::EntryRefresh(entry) => self.refresh_entry(entry),
            Event::AgentRefresh(agent) => {
                self.dial_entries(agent);
                self.queue.add(
                    self.now_ms + REFRESH_INTERVAL_MS,
                    Event::AgentRefresh(agent),
                );
            }
            Event::Wake(entry) => self.wake(entry),
            Event::ConnectionOpen(from, to) => self.on_connection_open(from, to),
            Event::KeepaliveDue(from, to, frames) => {
                let connection = self.entries[from].connections.get(&to);
                if connection.is_some_and(|connection| connection.frames == frames) {
                    self.send_to_peer(from, to);
                }
            }
            Event::Frame(from, to, frame) => self.receive_frame(from, to, &frame),
            Event::Ack(from, to) => {
                self.entries[to]
                    .directory
                    .mark_seen(self.now_ms, addr(from));
                self.schedule_wake(to);
            }
            Event::LinkOpen(agent, entry) => self.on_link_open(agent, entry),
            Event::Orders(entry, agent, frame) => self.receive_orders(entry, agent, &frame),
        }
    }

    fn refresh_entry(&mut self, entry: usize) {
        if !self.entries[entry].is_up {
            return;
        }
        self.send_changes(entry);
        self.dial_peers(entry);
        self.queue.add(
            self.now_ms + REFRESH_INTERVAL_MS,
            Event::EntryRefresh(entry),
        );
    }

    fn dial_peers(&mut self, entry: usize) {
        for target in self.entries[entry].targets(self.now_ms) {
            let to = entry_number(target);
            if !self.entries[entry].connections.contains_key(&to) && self.is_up(to) {
                let connection = Connection::default();
                self.entries[entry].connections.insert(to, connection);
                self.queue.add(
                    self.now_ms + 2 * FRAME_DELAY_MS,
                    Event::ConnectionOpen(entry, to),
                );
            }
        }
    }

    fn dial_entries(&mut self, agent: usize) {
        let now_ms = self.now_ms;
        let targets = self.agents[agent].targets(now_ms);
        for entry in targets.into_iter().map(entry_number) {
            if !self.is_up(entry) {
                continue;
            }
            if self.agents[agent].links.insert(entry) {
                self.queue
                    .add(now_ms + 3 * FRAME_DELAY_MS, Event::LinkOpen(agent, entry));
            } else {
                // Frames arrive on a link far more often than the agent refreshes.
                let directory = &mut self.agents[agent].directory;
                directory.mark_seen(now_ms, addr(entry));
            }
        }
        // Keeps the links to the targets and retires the others.
        let targets = self.agents[agent].targets(now_ms);
        let is_wanted = |entry: &usize| targets.contains(&addr(*entry));
        let links = std::mem::take(&mut self.agents[agent].links);
        let (kept, retired): (BTreeSet<usize>, BTreeSet<usize>) =
            links.into_iter().partition(is_wanted);
        self.agents[agent].links = kept;
        for entry in retired {
            self.entries[entry].agents.remove(&agent);
        }
        self.agents[agent].dialed_discoveries = self.agents[agent].directory.discoveries();
    }

    fn is_up(&self, entry: usize) -> bool {
        self.entries.get(entry).is_some_and(|entry| entry.is_up)
    }

    /// Schedules a wake of an entry with new discoveries, after all events of this
    /// millisecond.
    fn schedule_wake(&mut self, entry: usize) {
        let state = &mut self.entries[entry];
        if state.directory.discoveries() != state.sent_discoveries && !state.is_wake_scheduled {
            state.is_wake_scheduled = true;
            self.queue.add(self.now_ms, Event::Wake(entry));
        }
    }

    fn wake(&mut self, entry: usize) {
        self.entries[entry].is_wake_scheduled = false;
        self.send_changes(entry);
        self.dial_peers(entry);
    }

    /// Sends the set of entries to agents and peers if it changed.
    fn send_changes(&mut self, entry: usize) {
        let now_ms = self.now_ms;
        if !self.entries[entry].refresh_entries(now_ms) {
            return;
        }
        let agents = self.entries[entry].agents.clone();
        self.send_to_agents(entry, &agents);
        self.send_to_peers(entry);
    }

    fn send_to_agents(&mut self, entry: usize, agents: &BTreeSet<usize>) {
        let frames = self.entries[entry].frames_to(self.now_ms, agents);
        for (agent, frame) in frames {
            let at_ms = self.now_ms + FRAME_DELAY_MS;
            self.queue.add(at_ms, Event::Orders(entry, agent, frame));
        }
    }

    fn send_to_peers(&mut self, entry: usize) {
        let connections = self.entries[entry].connections.iter();
        // A connection that isn't open yet gets everything in its first frame.
        let open = connections.filter(|(_, connection)| connection.frames > 0);
        let open: Vec<usize> = open.map(|(to, _)| *to).collect();
        for to in open {
            self.send_to_peer(entry, to);
        }
    }

    fn on_connection_open(&mut self, from: usize, to: usize) {
        if self.is_up(to) {
            self.send_to_peer(from, to);
        } else {
            self.entries[from].connections.remove(&to);
        }
    }

    fn send_to_peer(&mut self, from: usize, to: usize) {
        let now_ms = self.now_ms;
        let is_target = self.entries[from].targets(now_ms).contains(&addr(to));
        if !self.entries[from].is_up || !is_target {
            self.entries[from].connections.remove(&to);
            return;
        }
        let Some(frame) = self.entries[from].next_frame(now_ms, to) else {
            return;
        };
        let frames = self.entries[from].connections[&to].frames;
        let frame = Event::Frame(from, to, Rc::new(frame));
        self.queue.add(now_ms + FRAME_DELAY_MS, frame);
        self.queue.add(
            now_ms + KEEPALIVE_INTERVAL_MS,
            Event::KeepaliveDue(from, to, frames),
        );
    }

    fn receive_frame(&mut self, from: usize, to: usize, frame: &[u8]) {
        if !self.is_up(to) {
            return;
        }
        let frame: PeerFrame = decode(frame).expect("an encoded frame decodes");
        let is_newer = self.entries[to].apply_frame(self.now_ms, addr(from), frame);
        let ack = encode(&PeerAck).expect("the frame encodes");
        self.entries[to].tally.count_frame(&ack);
        self.queue
            .add(self.now_ms + FRAME_DELAY_MS, Event::Ack(to, from));
        if is_newer {
            self.send_to_peers(to);
        }
        self.schedule_wake(to);
    }

    fn on_link_open(&mut self, agent: usize, entry: usize) {
        if self.is_up(entry) && self.agents[agent].links.contains(&entry) {
            self.entries[entry].agents.insert(agent);
            self.send_to_agents(entry, &BTreeSet::from([agent]));
        } else {
            self.agents[agent].links.remove(&entry);
        }
    }

    fn receive_orders(&mut self, entry: usize, agent: usize, frame: &[u8]) {
        let now_ms = self.now_ms;
        let frame: EntryFrame = decode(frame).expect("an encoded frame decodes");
        let state = &mut self.agents[agent];
        state.directory.mark_seen(now_ms, addr(entry));
        for order in frame.orders {
            if let Order::Entries(entries) = order {
                state.add_mentioned(now_ms, &entries);
            }
        }
        if state.directory.discoveries() != state.dialed_discoveries {
            self.dial_entries(agent);
        }
    }
}
