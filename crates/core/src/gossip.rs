//! News of members on their way to other agents.

use std::collections::BTreeMap;

use gannetvane_wire::Gossip;
use gannetvane_wire::Member;
use gannetvane_wire::NodeId;

use crate::View;

/// Members whose news fit one probe.
const MAX_UPDATES: usize = 8;
/// Times that each news is sent, for each doubling of the number of members.
const SENDS_PER_DOUBLING: u32 = 3;

/// Which members' news this agent still passes on, and how often it did.
#[derive(Clone, Debug, Default)]
pub(crate) struct GossipQueue {
    sent: BTreeMap<NodeId, u32>,
}

impl GossipQueue {
    /// Passes on the news of a member from now on.
    pub(crate) fn push(&mut self, node: NodeId) {
        self.sent.insert(node, 0);
    }

    /// News for one message to `receiver`, the least often sent first.
    pub(crate) fn take(
        &mut self,
        now_ms: u64,
        view: &View,
        receiver: Option<NodeId>,
    ) -> Vec<Member> {
        let mut ranked: Vec<(u32, NodeId)> =
            self.sent.iter().map(|(n, sent)| (*sent, *n)).collect();
        ranked.sort_unstable();
        ranked.truncate(MAX_UPDATES);
        let mut updates: Vec<Member> = Vec::with_capacity(ranked.len() + 1);
        for (_, node) in ranked {
            updates.extend(view.get(now_ms, node));
            if let Some(sent) = self.sent.get_mut(&node) {
                *sent += 1;
            }
        }
        let limit = SENDS_PER_DOUBLING * (view.len().max(2).ilog2() + 1);
        self.sent.retain(|_, sent| *sent < limit);
        updates.extend(update_about_receiver(now_ms, view, receiver, &updates));
        updates
    }
}

/// A member that is held for dead or suspect is told so, to refute it.
fn update_about_receiver(
    now_ms: u64,
    view: &View,
    receiver: Option<NodeId>,
    updates: &[Member],
) -> Option<Member> {
    let member = view.get(now_ms, receiver?)?;
    let is_not_alive = member.state.rank() > 0;
    let is_included = updates.iter().any(|other| other.node == member.node);
    (is_not_alive && !is_included).then_some(member)
}

/// A gossip message body.
pub(crate) fn gossip(members: Vec<Member>, configuration_version: u64) -> Gossip {
    Gossip {
        members,
        configuration_version,
    }
}
