//! The updates about members that an agent spreads by gossip, attached to the
//! probes of its failure detector.

use std::collections::BTreeMap;

use gannetvane_wire::Gossip;
use gannetvane_wire::Member;
use gannetvane_wire::NodeId;

use crate::View;

/// Maximum number of updates in one probe.
const MAX_UPDATES: usize = 8;
/// Number of times that each update is sent, for each doubling of the number of
/// members.
const SENDS_PER_DOUBLING: u32 = 3;

/// The members whose updates this agent still spreads, with the number of times
/// each was sent.
#[derive(Clone, Debug, Default)]
pub(crate) struct GossipQueue {
    sent: BTreeMap<NodeId, u32>,
}

impl GossipQueue {
    /// Starts to spread the update about a member.
    pub(crate) fn push(&mut self, node: NodeId) {
        self.sent.insert(node, 0);
    }

    /// Returns the updates for one message to `receiver`, those sent the fewest
    /// times first.
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

/// Returns the update about the receiver if its state in this view is not
/// alive, so that the receiver can refute it.
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

/// Builds the gossip part of a message.
pub(crate) fn gossip(members: Vec<Member>, configuration_version: u64) -> Gossip {
    Gossip {
        members,
        configuration_version,
    }
}
