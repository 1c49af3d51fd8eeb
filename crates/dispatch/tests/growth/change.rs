//! The simulated changes of a fleet, and the measurements of how they spread.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

use gannetvane_dispatch::Directory;
use gannetvane_dispatch::MAX_LINKED_ENTRIES;

use crate::agent;
use crate::fleet::Fleet;
use crate::fleet::addr;
use crate::tally::Tally;

/// Number of hosts for each entry.
const HOSTS_PER_ENTRY: usize = 5;
/// Time after a change in which messages are counted, in milliseconds.
const CHANGE_WINDOW_MS: u64 = 2_000;
/// Time without a change in which messages are counted, in milliseconds: several full
/// lists.
const CALM_WINDOW_MS: u64 = 10_000;
/// Time within which all processes must have forgotten a lost entry, in milliseconds.
const FORGOTTEN_WITHIN_MS: u64 = 42_000;

/// A change of the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// No change: only the regular messages are counted.
    Calm,
    /// One more entry starts.
    NewEntry,
    /// An entry stops and doesn't return.
    LostEntry,
    /// One entry reads a newer configuration.
    Configuration,
}

/// The measurements of one change at one fleet size.
#[derive(Clone, Debug)]
pub struct Measurements {
    pub change: Change,
    pub hosts: usize,
    /// For each affected process, the time from the change until it knew it, in
    /// milliseconds and ascending.
    known_ms: Vec<u64>,
    /// Sums over all processes.
    pub all: Tally,
    /// Most bytes that one process sent.
    pub busiest_bytes: u64,
    /// Most messages that one process sent.
    pub busiest_messages: u64,
    /// Most processor time that the directory of one process took.
    pub busiest_time: Duration,
    /// Length of the time that was counted, in milliseconds.
    pub window_ms: u64,
}

impl Change {
    /// Returns the time that is counted, in milliseconds after the change.
    fn window_ms(self) -> RangeInclusive<u64> {
        match self {
            Self::Calm => 0..=CALM_WINDOW_MS,
            Self::LostEntry => 29_000..=FORGOTTEN_WITHIN_MS,
            _ => 0..=CHANGE_WINDOW_MS,
        }
    }
}

impl Measurements {
    /// Returns the time until the last affected process knew the change, in milliseconds.
    pub fn last_ms(&self) -> u64 {
        self.known_ms.last().copied().unwrap_or_default()
    }

    /// Returns the median time until an affected process knew the change, in milliseconds.
    pub fn median_ms(&self) -> u64 {
        let middle = self.known_ms.len() / 2;
        self.known_ms.get(middle).copied().unwrap_or_default()
    }
}

/// Simulates a change in a fleet whose processes know each other, and measures it.
///
/// # Panics
///
/// If a process doesn't know the change at the end of the counted time.
pub fn simulate(change: Change, hosts: usize) -> Measurements {
    let entries = hosts / HOSTS_PER_ENTRY;
    let mut fleet = Fleet::connected(entries, hosts - entries);
    let changed = match change {
        Change::NewEntry => entries,
        _ => entries / 2,
    };
    let mut pending = PendingProcesses::new(&fleet, change, changed);
    fleet.clear_tallies();
    match change {
        Change::Calm => {}
        Change::NewEntry => fleet.add_entry(),
        Change::LostEntry => fleet.remove_entry(changed),
        Change::Configuration => fleet.configure(changed),
    }
    let start_ms = fleet.now_ms;
    let counted = change.window_ms();
    let mut known_ms = Vec::new();
    while fleet.now_ms < start_ms + counted.end() {
        let elapsed_ms = fleet.now_ms - start_ms;
        if elapsed_ms < *counted.start() {
            fleet.run(counted.start() - elapsed_ms);
            fleet.clear_tallies();
        } else {
            fleet.run(1);
        }
        let informed = pending.remove_informed(&fleet);
        known_ms.extend(vec![fleet.now_ms - start_ms; informed]);
    }
    assert!(pending.is_empty(), "{change:?} at {hosts}: {pending:?}");
    measurements(change, hosts, known_ms, &fleet)
}

fn measurements(change: Change, hosts: usize, known_ms: Vec<u64>, fleet: &Fleet) -> Measurements {
    let entries = fleet.entries.iter().map(|entry| &entry.tally);
    let agents = fleet.agents.iter().map(|agent| &agent.tally);
    let tallies: Vec<&Tally> = entries.chain(agents).collect();
    let sum = |sum: Tally, tally: &&Tally| sum.plus(tally);
    let max_of =
        |figure: fn(&Tally) -> u64| tallies.iter().map(|tally| figure(tally)).max().unwrap_or(0);
    let counted = change.window_ms();
    Measurements {
        change,
        hosts,
        known_ms,
        all: tallies.iter().fold(Tally::default(), sum),
        busiest_bytes: max_of(|tally| tally.bytes),
        busiest_messages: max_of(|tally| tally.messages),
        busiest_time: tallies
            .iter()
            .map(|tally| tally.work())
            .max()
            .unwrap_or_default(),
        window_ms: counted.end() - counted.start(),
    }
}

/// The affected processes that don't know a change yet.
#[derive(Debug)]
struct PendingProcesses {
    change: Change,
    changed: usize,
    version: u64,
    entries: BTreeSet<usize>,
    agents: BTreeSet<usize>,
}

impl PendingProcesses {
    /// Returns the processes that a change of the entry `changed` affects.
    fn new(fleet: &Fleet, change: Change, changed: usize) -> Self {
        let is_affected = |agent: &usize| match change {
            Change::NewEntry => chosen(*agent, changed + 1).contains(&addr(changed)),
            Change::LostEntry => fleet.agents[*agent].links.contains(&changed),
            Change::Calm | Change::Configuration => false,
        };
        let entries = match change {
            Change::Calm => 0..0,
            _ => 0..fleet.entries.len(),
        };
        Self {
            change,
            changed,
            version: fleet.entries[0].gossip.table.version,
            entries: entries.filter(|entry| *entry != changed).collect(),
            agents: (0..fleet.agents.len()).filter(is_affected).collect(),
        }
    }

    fn is_empty(&self) -> bool {
        self.entries.is_empty() && self.agents.is_empty()
    }

    /// Removes the processes that know the change now and returns their number.
    fn remove_informed(&mut self, fleet: &Fleet) -> usize {
        let before = self.entries.len() + self.agents.len();
        let (change, changed, version) = (self.change, self.changed, self.version);
        self.entries.retain(|entry| {
            let gossip = &fleet.entries[*entry].gossip;
            let is_listed = || gossip.entries.binary_search(&addr(changed)).is_ok();
            match change {
                Change::Configuration => gossip.table.version == version,
                Change::LostEntry => is_listed(),
                Change::NewEntry | Change::Calm => !is_listed(),
            }
        });
        self.agents.retain(|agent| {
            let links = &fleet.agents[*agent].links;
            match change {
                Change::LostEntry => links.len() < MAX_LINKED_ENTRIES,
                _ => !links.contains(&changed),
            }
        });
        before - self.entries.len() - self.agents.len()
    }
}

/// Returns the entries that an agent chooses among the first `entries` ones.
pub fn chosen(agent: usize, entries: usize) -> BTreeSet<SocketAddr> {
    let all: Vec<SocketAddr> = (0..entries).map(addr).collect();
    let directory = Directory::new(None, []);
    let mut directory = directory.with_max_targets(agent::host(agent).into(), MAX_LINKED_ENTRIES);
    directory.add_mentioned(0, &all);
    directory.targets(0)
}
