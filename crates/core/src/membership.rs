//! Which agents live: probes, suspicion and news, in the manner of SWIM.
//!
//! Each period an agent probes one other. A probe without an answer is tried
//! through other agents, then the member is suspect, and dead after the
//! suspicion timeout unless it refutes. A member that observes late itself,
//! because it was paused, draws no conclusion from the silence meanwhile.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use gannetvane_wire::Member;
use gannetvane_wire::MemberState;
use gannetvane_wire::Message;
use gannetvane_wire::NodeId;
use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;

use crate::Action;
use crate::Peer;
use crate::View;
use crate::gossip::GossipQueue;
use crate::gossip::gossip;

/// Agents that are asked to probe a silent member.
const INDIRECT_PROBES: usize = 3;
/// Members that are told at once of a planned stop.
const MAX_LEAVE_ANNOUNCEMENTS: usize = 8;
/// Members that are told at once of a newer configuration.
const MAX_CONFIGURATION_ANNOUNCEMENTS: usize = 3;
/// Members in one answer to a pull.
const MAX_DELTA_MEMBERS: usize = 64;
/// Periods between probes of a member that is held for dead.
const DEAD_PROBE_PERIODS: u64 = 8;
/// Periods between pulls of another agent's whole view.
const PULL_PERIODS: u64 = 16;
/// A pause of this agent of that many periods makes its observations void.
const MIN_SUSPENSION_PERIODS: u64 = 2;

/// Times of the failure detector.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MembershipSettings {
    /// Interval between probes in milliseconds.
    pub period_ms: u64,
    /// Time to wait for the answer to a probe, in milliseconds.
    pub ack_timeout_ms: u64,
    /// Time from suspicion to death in milliseconds.
    pub suspicion_ms: u64,
    /// Time for which gone members are remembered, in milliseconds.
    pub retention_ms: u64,
}

/// The failure detector and view of one agent.
#[derive(Debug)]
pub struct Membership {
    me: Member,
    settings: MembershipSettings,
    started_at_ms: u64,
    view: View,
    rng: ChaCha8Rng,
    probe_order: Vec<NodeId>,
    probes: BTreeMap<u64, Probe>,
    next_probe_id: u64,
    next_period_ms: u64,
    periods: u64,
    last_tick_ms: u64,
    suspects: BTreeMap<NodeId, u64>,
    queue: GossipQueue,
    contacts: Vec<SocketAddr>,
    pulled: BTreeMap<NodeId, u64>,
}

#[derive(Clone, Copy, Debug)]
struct Probe {
    target: NodeId,
    sent_at_ms: u64,
    is_indirect: bool,
    /// Set when this probe is made for another agent.
    requested_by: Option<Request>,
}

#[derive(Clone, Copy, Debug)]
struct Request {
    peer: Peer,
    probe: u64,
}

/// What a step of the failure detector brought.
#[derive(Debug, Default)]
pub(crate) struct StepOutcome {
    pub(crate) actions: Vec<Action>,
    /// Members that are now known to be gone.
    pub(crate) gone: Vec<NodeId>,
    /// Another process has a newer configuration.
    pub(crate) newer_configuration_at: Option<Peer>,
}

impl Membership {
    /// The detector of a process that just started.
    #[must_use]
    pub fn new(me: Member, settings: MembershipSettings, now_ms: u64) -> Self {
        let mut view = View::default();
        view.merge(now_ms, &me);
        let mut queue = GossipQueue::default();
        queue.push(me.node);
        Self {
            rng: ChaCha8Rng::seed_from_u64(me.node.0),
            me,
            settings,
            started_at_ms: now_ms,
            view,
            probe_order: Vec::new(),
            probes: BTreeMap::new(),
            next_probe_id: 0,
            next_period_ms: now_ms,
            periods: 0,
            last_tick_ms: now_ms,
            suspects: BTreeMap::new(),
            queue,
            contacts: Vec::new(),
            pulled: BTreeMap::new(),
        }
    }

    /// What this agent knows of the others.
    #[must_use]
    pub fn view(&self) -> &View {
        &self.view
    }

    /// Adds addresses for the first contact.
    pub fn add_contacts(&mut self, contacts: impl IntoIterator<Item = SocketAddr>) {
        for contact in contacts {
            if contact != self.me.addr && !self.contacts.contains(&contact) {
                self.contacts.push(contact);
            }
        }
    }

    /// Tells the others of this agent's own new state.
    pub(crate) fn announce(
        &mut self,
        now_ms: u64,
        state: MemberState,
        version: u64,
    ) -> Vec<Action> {
        self.set_own_state(now_ms, state);
        let mut others = self.live_others();
        others.shuffle(&mut self.rng);
        others.truncate(MAX_LEAVE_ANNOUNCEMENTS);
        others
            .into_iter()
            .filter_map(|node| self.probe(now_ms, node, None, version))
            .collect()
    }

    /// Tells a few others at once that this agent has a newer configuration.
    pub(crate) fn spread(&mut self, now_ms: u64, version: u64) -> Vec<Action> {
        let mut others = self.live_others();
        others.shuffle(&mut self.rng);
        others.truncate(MAX_CONFIGURATION_ANNOUNCEMENTS);
        others
            .into_iter()
            .filter_map(|node| self.probe(now_ms, node, None, version))
            .collect()
    }

    /// Does what is due. `version` is that of this agent's configuration.
    pub(crate) fn tick(&mut self, now_ms: u64, version: u64) -> StepOutcome {
        let mut step = StepOutcome::default();
        self.allow_for_suspension(now_ms);
        self.expire_probes(now_ms, &mut step);
        self.expire_suspects(now_ms, &mut step);
        if now_ms >= self.next_period_ms {
            self.next_period_ms = now_ms + self.settings.period_ms;
            self.periods += 1;
            self.begin_period(now_ms, version, &mut step);
        }
        step
    }

    /// Probes a member at once, because its connection broke.
    pub(crate) fn probe_now(
        &mut self,
        now_ms: u64,
        addr: SocketAddr,
        version: u64,
    ) -> Option<Action> {
        let node = self.view.at(addr).filter(|node| *node != self.me.node)?;
        self.probe(now_ms, node, None, version)
    }

    pub(crate) fn ping(&mut self, now_ms: u64, from: Peer, probe: u64, version: u64) -> Action {
        let updates = self.queue.take(now_ms, &self.view, from.node);
        let gossip = gossip(updates, version);
        Action::Send {
            to: from,
            message: Message::Ack { probe, gossip },
        }
    }

    pub(crate) fn ack(&mut self, now_ms: u64, probe: u64, version: u64) -> Option<Action> {
        let probe = self.probes.remove(&probe)?;
        if self.view.state(probe.target) != Some(MemberState::Suspect) {
            self.suspects.remove(&probe.target);
        }
        let requested_by = probe.requested_by?;
        let updates = self.view.get(now_ms, probe.target).into_iter().collect();
        let message = Message::Ack {
            probe: requested_by.probe,
            gossip: gossip(updates, version),
        };
        Some(Action::Send {
            to: requested_by.peer,
            message,
        })
    }

    pub(crate) fn ping_request(
        &mut self,
        now_ms: u64,
        from: Peer,
        probe: u64,
        target: NodeId,
        version: u64,
    ) -> Option<Action> {
        self.probe(now_ms, target, Some(Request { peer: from, probe }), version)
    }

    pub(crate) fn pull(&self, now_ms: u64, since: u64) -> crate::view::Delta {
        self.view.delta(now_ms, since, MAX_DELTA_MEMBERS)
    }

    pub(crate) fn pulled(&mut self, from: NodeId, upto: u64) {
        self.pulled.insert(from, upto);
    }

    /// Takes in news; returns the members that are now known to be gone.
    pub(crate) fn merge(&mut self, now_ms: u64, members: &[Member]) -> Vec<NodeId> {
        let mut gone = Vec::new();
        for member in members {
            if member.node == self.me.node {
                self.refute(now_ms, member);
                continue;
            }
            if !self.view.merge(now_ms, member) {
                continue;
            }
            self.queue.push(member.node);
            self.suspects.remove(&member.node);
            if member.state == MemberState::Suspect {
                self.suspects.insert(member.node, now_ms);
            }
            if member.state.is_gone() {
                gone.push(member.node);
            }
        }
        gone
    }

    /// A live process at a member's address with another run replaces it.
    pub(crate) fn mark_replaced(
        &mut self,
        now_ms: u64,
        node: NodeId,
        addr: SocketAddr,
    ) -> Vec<NodeId> {
        let earlier: Vec<Member> = self
            .view
            .snapshot(now_ms)
            .into_iter()
            .filter(|member| member.addr == addr && member.node != node && !member.state.is_gone())
            .filter(|member| member.node != self.me.node)
            .collect();
        let dead: Vec<Member> = earlier
            .into_iter()
            .map(|m| Member {
                state: MemberState::Dead,
                ..m
            })
            .collect();
        self.merge(now_ms, &dead)
    }

    fn set_own_state(&mut self, now_ms: u64, state: MemberState) {
        self.me.state = state;
        self.publish_self(now_ms);
    }

    fn publish_self(&mut self, now_ms: u64) {
        self.me.uptime_ms = now_ms.saturating_sub(self.started_at_ms);
        self.view.merge(now_ms, &self.me);
        self.queue.push(self.me.node);
    }

    fn refute(&mut self, now_ms: u64, claim: &Member) {
        if claim.state == self.me.state || claim.state.rank() == 0 {
            return;
        }
        // An old claim shows that the refutation of it did not arrive.
        self.me.version = self.me.version.max(claim.version + 1);
        self.publish_self(now_ms);
    }

    fn allow_for_suspension(&mut self, now_ms: u64) {
        let pause_ms = now_ms.saturating_sub(self.last_tick_ms);
        self.last_tick_ms = now_ms;
        if pause_ms < self.settings.period_ms * MIN_SUSPENSION_PERIODS {
            return;
        }
        self.probes.clear();
        for since_ms in self.suspects.values_mut() {
            *since_ms += pause_ms;
        }
    }

    fn expire_probes(&mut self, now_ms: u64, step: &mut StepOutcome) {
        let timeout_ms = self.settings.ack_timeout_ms;
        let overdue: Vec<(u64, Probe)> = self
            .probes
            .iter()
            .filter(|(_, probe)| now_ms.saturating_sub(probe.sent_at_ms) >= timeout_ms)
            .map(|(id, probe)| (*id, *probe))
            .collect();
        for (id, probe) in overdue {
            if probe.requested_by.is_some() {
                self.probes.remove(&id);
            } else if probe.is_indirect {
                self.probes.remove(&id);
                self.suspect(now_ms, probe.target);
            } else {
                self.probe_indirectly(now_ms, id, probe, step);
            }
        }
    }

    fn probe_indirectly(&mut self, now_ms: u64, id: u64, probe: Probe, step: &mut StepOutcome) {
        let mut helpers = self.live_others();
        helpers.retain(|node| *node != probe.target);
        helpers.shuffle(&mut self.rng);
        helpers.truncate(INDIRECT_PROBES);
        for to in helpers.into_iter().filter_map(|node| self.view.peer(node)) {
            let message = Message::PingRequest {
                probe: id,
                target: probe.target,
            };
            step.actions.push(Action::Send { to, message });
        }
        let indirect = Probe {
            sent_at_ms: now_ms,
            is_indirect: true,
            ..probe
        };
        self.probes.insert(id, indirect);
    }

    fn suspect(&mut self, now_ms: u64, node: NodeId) {
        let Some(member) = self.view.get(now_ms, node) else {
            return;
        };
        let is_live = matches!(member.state, MemberState::Alive | MemberState::Leaving);
        if !is_live {
            return;
        }
        if member.state == MemberState::Alive {
            let suspected = Member {
                state: MemberState::Suspect,
                ..member
            };
            self.view.merge(now_ms, &suspected);
            self.queue.push(node);
        }
        self.suspects.entry(node).or_insert(now_ms);
    }

    fn expire_suspects(&mut self, now_ms: u64, step: &mut StepOutcome) {
        let timeout_ms = self.settings.suspicion_ms;
        let overdue: Vec<NodeId> = self
            .suspects
            .iter()
            .filter(|(_, since_ms)| now_ms.saturating_sub(**since_ms) >= timeout_ms)
            .map(|(node, _)| *node)
            .collect();
        for node in overdue {
            self.suspects.remove(&node);
            let Some(member) = self.view.get(now_ms, node) else {
                continue;
            };
            let dead = Member {
                state: MemberState::Dead,
                ..member
            };
            let gone = self.merge(now_ms, &[dead]);
            step.actions
                .extend(gone.iter().map(|node| Action::log("member-dead", node)));
            step.gone.extend(gone);
        }
    }

    fn begin_period(&mut self, now_ms: u64, version: u64, step: &mut StepOutcome) {
        self.view.forget_gone(now_ms, self.settings.retention_ms);
        if let Some(target) = self.next_target() {
            step.actions
                .extend(self.probe(now_ms, target, None, version));
        }
        if self.periods.is_multiple_of(DEAD_PROBE_PERIODS) {
            let dead: Vec<NodeId> = self
                .view
                .iter()
                .filter(|member| member.state == MemberState::Dead)
                .map(|member| member.node)
                .collect();
            if let Some(target) = dead.choose(&mut self.rng).copied() {
                step.actions
                    .extend(self.probe_dead(now_ms, target, version));
            }
        }
        self.pull_views(version, step);
    }

    /// Pulls whole views: from the contacts while no other agent is known,
    /// from a random agent now and then afterwards.
    fn pull_views(&mut self, configuration_version: u64, step: &mut StepOutcome) {
        let others = self.live_others();
        if others.is_empty() {
            for addr in &self.contacts {
                let message = Message::ViewPull {
                    since: 0,
                    configuration_version,
                };
                let to = Peer {
                    node: None,
                    addr: *addr,
                };
                step.actions.push(Action::Send { to, message });
            }
        } else if self.periods.is_multiple_of(PULL_PERIODS)
            && let Some(node) = others.choose(&mut self.rng).copied()
            && let Some(to) = self.view.peer(node)
        {
            let since = self.pulled.get(&node).copied().unwrap_or(0);
            let message = Message::ViewPull {
                since,
                configuration_version,
            };
            step.actions.push(Action::Send { to, message });
        }
    }

    fn next_target(&mut self) -> Option<NodeId> {
        if self.probe_order.is_empty() {
            self.probe_order = self.live_others();
            self.probe_order.shuffle(&mut self.rng);
        }
        self.probe_order.pop()
    }

    fn live_others(&self) -> Vec<NodeId> {
        self.view
            .iter()
            .filter(|member| member.node != self.me.node && !member.state.is_gone())
            .map(|member| member.node)
            .collect()
    }

    fn probe(
        &mut self,
        now_ms: u64,
        target: NodeId,
        requested_by: Option<Request>,
        version: u64,
    ) -> Option<Action> {
        let to = self.view.peer(target)?;
        let probe = self.next_probe_id;
        self.next_probe_id += 1;
        let pending = Probe {
            target,
            sent_at_ms: now_ms,
            is_indirect: false,
            requested_by,
        };
        self.probes.insert(probe, pending);
        let gossip = gossip(self.queue.take(now_ms, &self.view, Some(target)), version);
        Some(Action::Send {
            to,
            message: Message::Ping { probe, gossip },
        })
    }

    /// A probe that leads to no suspicion, so that a healed cut is noticed.
    fn probe_dead(&mut self, now_ms: u64, target: NodeId, version: u64) -> Option<Action> {
        let action = self.probe(now_ms, target, None, version)?;
        self.probes.remove(&(self.next_probe_id - 1));
        Some(action)
    }
}
