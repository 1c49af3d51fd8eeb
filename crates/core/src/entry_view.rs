//! How an entry obtains the agents' views and the configuration.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use gannetvane_wire::MemberState;
use gannetvane_wire::Message;
use gannetvane_wire::Name;
use gannetvane_wire::Snapshot;
use rand::seq::IndexedRandom;

use crate::Action;
use crate::Entry;
use crate::Peer;

impl Entry {
    /// Applies the configuration of another process if it is newer.
    pub(crate) fn adopt_configuration(
        &mut self,
        now_ms: u64,
        snapshot: &Snapshot,
        actions: &mut Vec<Action>,
    ) {
        if self.configuration.adopt(snapshot) {
            let version = self.configuration.current().version;
            actions.push(Action::log("configuration-adopted", version));
            self.confirmations
                .progress(now_ms, false, &self.configuration, actions);
        }
    }

    /// Sends the configuration to one agent of each availability zone, after a
    /// change was read from the log.
    pub(crate) fn push_configuration(&mut self, actions: &mut Vec<Action>) {
        for to in self.one_agent_of_each_zone() {
            let message = Message::ConfigurationState(self.configuration.snapshot());
            actions.push(Action::Send { to, message });
        }
    }

    /// Pulls the view of one agent, taking the availability zones in turn.
    /// While no agent is known, it pulls from all contacts.
    pub(crate) fn pull_views(&mut self, actions: &mut Vec<Action>) {
        self.pull_count += 1;
        let known = self.one_agent_of_each_zone();
        let first = |addr: &SocketAddr| Peer {
            node: None,
            addr: *addr,
        };
        let peers: Vec<Peer> = match known.get(self.pull_count % known.len().max(1)) {
            Some(peer) => vec![*peer],
            None => self.settings.contacts.iter().map(first).collect(),
        };
        actions.extend(peers.into_iter().map(|peer| self.pull(peer)));
    }

    /// Returns one random live agent of each availability zone.
    pub(crate) fn one_agent_of_each_zone(&mut self) -> Vec<Peer> {
        let mut zones: BTreeMap<&Name, Vec<Peer>> = BTreeMap::new();
        for member in self
            .view
            .iter()
            .filter(|member| member.state == MemberState::Alive)
        {
            let peer = Peer::known(member.node, member.addr);
            zones.entry(&member.zone).or_default().push(peer);
        }
        zones
            .values()
            .filter_map(|peers| peers.choose(&mut self.rng).copied())
            .collect()
    }

    /// Returns the message that pulls the changes of a view since the last pull
    /// from that agent.
    pub(crate) fn pull(&self, to: Peer) -> Action {
        let since = to
            .node
            .and_then(|node| self.pulled_up_to.get(&node).copied())
            .unwrap_or(0);
        let configuration_version = self.configuration.current().version;
        Action::Send {
            to,
            message: Message::ViewPull {
                since,
                configuration_version,
            },
        }
    }
}
