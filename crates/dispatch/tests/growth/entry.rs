//! Model of an entry: its directory, its gossip and its connections.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use gannetvane_dispatch::Directory;
use gannetvane_dispatch::Dispatcher;
use gannetvane_dispatch::DispatcherAction;
use gannetvane_dispatch::DispatcherSettings;
use gannetvane_dispatch::GossipSender;
use gannetvane_dispatch::GossipState;
use gannetvane_dispatch::LinkId;
use gannetvane_dispatch::MAX_LINKED_PEERS;
use gannetvane_dispatch::PeerFrame;
use gannetvane_dispatch::Queue;
use gannetvane_dispatch::RoutingTable;
use gannetvane_dispatch::encode;

use crate::agent::hello;
use crate::tally::Tally;

/// An entry of the simulated fleet.
#[derive(Debug)]
pub struct Entry {
    pub directory: Directory,
    pub gossip: GossipState,
    /// Discoveries of the directory when the entry last refreshed its gossip.
    pub sent_discoveries: u64,
    /// Connections to other entries, by their number.
    pub connections: BTreeMap<usize, Connection>,
    /// Numbers of the agents with a link.
    pub agents: BTreeSet<usize>,
    pub is_up: bool,
    /// Whether a wake is queued for the present millisecond.
    pub is_wake_scheduled: bool,
    pub tally: Tally,
}

/// A connection to another entry, with the state of what was sent on it.
#[derive(Debug, Default)]
pub struct Connection {
    sender: GossipSender,
    /// Number of frames sent; the keep-alive timer of an earlier frame is void.
    pub frames: u64,
}

impl Entry {
    pub fn new(own: SocketAddr, seeds: &[SocketAddr]) -> Self {
        let directory = Directory::new(Some(own), seeds.iter().copied());
        Self {
            directory: directory.with_max_targets(own.to_string().into(), MAX_LINKED_PEERS),
            gossip: GossipState::default(),
            sent_discoveries: 0,
            connections: BTreeMap::new(),
            agents: BTreeSet::new(),
            is_up: true,
            is_wake_scheduled: false,
            tally: Tally::default(),
        }
    }

    pub fn targets(&mut self, now_ms: u64) -> BTreeSet<SocketAddr> {
        let directory = &mut self.directory;
        self.tally.targets.measure(|| directory.targets(now_ms))
    }

    /// Applies a frame of another entry. Returns whether its configuration was newer.
    pub fn apply_frame(&mut self, now_ms: u64, from: SocketAddr, frame: PeerFrame) -> bool {
        let directory = &mut self.directory;
        self.tally.learn.measure(|| {
            directory.mark_seen(now_ms, from);
            directory.merge_seen(now_ms, &frame.entries);
        });
        match frame.table {
            Some(table) if table.version > self.gossip.table.version => {
                self.gossip.table = Arc::new(table);
                true
            }
            _ => false,
        }
    }

    /// Refreshes the entries in the gossip from the directory. Returns whether their set
    /// changed.
    pub fn refresh_entries(&mut self, now_ms: u64) -> bool {
        self.sent_discoveries = self.directory.discoveries();
        let entries = self.directory.recent_addrs(now_ms);
        let has_changed = entries != self.gossip.entries;
        self.gossip.entries = entries;
        has_changed
    }

    /// Returns the next frame to another entry, encoded; `None` without a connection.
    pub fn next_frame(&mut self, now_ms: u64, to: usize) -> Option<Vec<u8>> {
        let connection = self.connections.get_mut(&to)?;
        connection.frames += 1;
        let known = || self.directory.seen_entries(now_ms);
        let frame = connection.sender.next_frame(now_ms, &self.gossip, known);
        let bytes = encode(&frame).expect("the frame encodes");
        self.tally.count_frame(&bytes);
        Some(bytes)
    }

    /// Returns, for each of these agents, the encoded frame with the entries for it.
    pub fn frames_to(&mut self, now_ms: u64, agents: &BTreeSet<usize>) -> Vec<(usize, Vec<u8>)> {
        let settings = DispatcherSettings {
            zone: "selfoss".into(),
            remote_factor: 1.0,
            seed: 1,
        };
        let mut dispatcher = Dispatcher::new(settings, now_ms);
        for agent in agents {
            dispatcher.agent_up(now_ms, LinkId(*agent as u64), hello(*agent));
        }
        dispatcher.send_entries(&self.gossip.entries);
        dispatcher.tick(now_ms);
        let frames: Vec<(usize, Vec<u8>)> = dispatcher
            .take_actions()
            .into_iter()
            .filter_map(encode_orders)
            .collect();
        for (_, frame) in &frames {
            self.tally.count_frame(frame);
        }
        frames
    }
}

/// Returns a configuration with one queue for each of the users' teams.
pub fn table(version: u64) -> RoutingTable {
    let queue = |number: u32| {
        Arc::new(Queue {
            name: format!("queue-{number}").into(),
            host: "dispatch.example".into(),
            path_prefix: format!("/queue-{number}/").into(),
            service: format!("service-{number}").into(),
            timeout_ms: 8_000,
            target_latency_ms: 400,
            priority: number % 3,
            max_attempts: 3,
            stretch: 1.5,
            needs_advice: false,
        })
    };
    RoutingTable {
        version,
        queues: (0..84).map(queue).collect(),
        max_body_bytes: 65_536,
    }
}

/// Returns the agent and the encoded frame of an action that sends orders.
fn encode_orders(action: DispatcherAction) -> Option<(usize, Vec<u8>)> {
    let DispatcherAction::Send(LinkId(agent), frame) = action else {
        return None;
    };
    let agent = usize::try_from(agent).expect("the link is the number of an agent");
    (!frame.orders.is_empty()).then(|| (agent, encode(&frame).expect("the frame encodes")))
}
