//! Model of an agent: its directory of entries and its links to them.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use gannetvane_dispatch::AgentHello;
use gannetvane_dispatch::Directory;
use gannetvane_dispatch::MAX_LINKED_ENTRIES;
use gannetvane_dispatch::Resources;
use gannetvane_wire::NodeId;

use crate::tally::Tally;

#[derive(Debug)]
pub struct Agent {
    pub directory: Directory,
    /// Numbers of the entries with a link.
    pub links: BTreeSet<usize>,
    /// Discoveries of the directory when the agent last dialed its targets.
    pub dialed_discoveries: u64,
    pub tally: Tally,
}

impl Agent {
    pub fn new(agent: usize, seeds: &[SocketAddr]) -> Self {
        let directory = Directory::new(None, seeds.iter().copied());
        Self {
            directory: directory.with_max_targets(host(agent).into(), MAX_LINKED_ENTRIES),
            links: BTreeSet::new(),
            dialed_discoveries: 0,
            tally: Tally::default(),
        }
    }

    pub fn targets(&mut self, now_ms: u64) -> BTreeSet<SocketAddr> {
        let directory = &mut self.directory;
        self.tally.targets.measure(|| directory.targets(now_ms))
    }

    pub fn add_mentioned(&mut self, now_ms: u64, entries: &[SocketAddr]) {
        let directory = &mut self.directory;
        self.tally
            .learn
            .measure(|| directory.add_mentioned(now_ms, entries));
    }
}

/// Returns the name of the host of an agent.
pub fn host(agent: usize) -> String {
    format!("host-{agent}")
}

/// Returns the first message of an agent on a link.
pub fn hello(agent: usize) -> AgentHello {
    AgentHello {
        node: NodeId(agent as u64),
        host: host(agent).into(),
        zone: "selfoss".into(),
        service: "bretti-desk".into(),
        labels: Vec::new(),
        capacity: Resources::default(),
        clock_ms: 0,
        retained_ends: Vec::new(),
        crashes: Vec::new(),
        delayed_starts: Vec::new(),
        max_start_delay_ms: 0,
        inherited_lease_ms: 0,
        witnessed_starts: Vec::new(),
        incarnation: "minion-1".into(),
    }
}
