//! The failure detector and the gossip of members, in the manner of SWIM.
//!
//! Each period an agent probes one other agent. If the probe is not answered,
//! other agents probe the target on its behalf. If these indirect probes are
//! not answered either, the target is suspect, and dead after the suspicion
//! timeout unless it refutes the suspicion. An agent that was itself suspended
//! ignores the probes that were not answered during its suspension and extends
//! the suspicion timeouts.

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

/// Number of agents that are asked to probe an unresponsive member.
const INDIRECT_PROBES: usize = 3;
/// Maximum number of members that are probed at once to announce a planned
/// stop.
const MAX_LEAVE_ANNOUNCEMENTS: usize = 8;
/// Maximum number of members that are probed at once to announce a newer
/// configuration.
const MAX_CONFIGURATION_ANNOUNCEMENTS: usize = 3;
/// Maximum number of members in one answer to a pull.
const MAX_DELTA_MEMBERS: usize = 64;
/// Number of periods between probes of a dead member.
const DEAD_PROBE_PERIODS: u64 = 8;
/// Number of periods between pulls of another agent's view.
const PULL_PERIODS: u64 = 16;
/// Number of periods without a tick from which this agent counts as suspended
/// and discards its pending probes.
const MIN_SUSPENSION_PERIODS: u64 = 2;

/// Intervals and timeouts of the failure detector.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MembershipSettings {
    /// Interval in milliseconds between probes.
    pub period_ms: u64,
    /// Timeout of a probe in milliseconds.
    pub ack_timeout_ms: u64,
    /// Time in milliseconds from suspicion until a member is declared dead.
    pub suspicion_ms: u64,
    /// Time in milliseconds for which members that are dead or have left are
    /// retained.
    pub retention_ms: u64,
}

/// The failure detector and the view of one agent.
#[derive(Debug)]
pub struct Membership {
    me: Member,
    settings: MembershipSettings,
    started_at_ms: u64,
    view: View,
    rng: ChaCha8Rng,
    /// Members that are still to be probed in this round; the last one is next.
    probe_order: Vec<NodeId>,
    probes: BTreeMap<u64, Probe>,
    next_probe_id: u64,
    next_period_ms: u64,
    periods: u64,
    last_tick_ms: u64,
    /// Suspect members, with the time at which their suspicion began.
    suspects: BTreeMap<NodeId, u64>,
    queue: GossipQueue,
    contacts: Vec<SocketAddr>,
    /// Per agent, the change number of its view up to which this agent has
    /// pulled.
    pulled_up_to: BTreeMap<NodeId, u64>,
}

#[derive(Clone, Copy, Debug)]
struct Probe {
    target: NodeId,
    sent_at_ms: u64,
    is_indirect: bool,
    /// The request that this probe answers, if it is made for another agent.
    requested_by: Option<Request>,
}

#[derive(Clone, Copy, Debug)]
struct Request {
    peer: Peer,
    probe: u64,
}

/// The outcome of one step of the failure detector.
#[derive(Debug, Default)]
pub(crate) struct StepOutcome {
    pub(crate) actions: Vec<Action>,
    /// Members that this step found dead or left.
    pub(crate) gone: Vec<NodeId>,
    /// A process that has a newer configuration.
    pub(crate) newer_configuration_at: Option<Peer>,
}

impl Membership {
    /// Creates the failure detector of a process that has just started.
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
            pulled_up_to: BTreeMap::new(),
        }
    }

    /// Returns this agent's view of the members.
    #[must_use]
    pub fn view(&self) -> &View {
        &self.view
    }

    /// Adds addresses to contact while no other agent is known.
    pub fn add_contacts(&mut self, contacts: impl IntoIterator<Item = SocketAddr>) {
        for contact in contacts {
            if contact != self.me.addr && !self.contacts.contains(&contact) {
                self.contacts.push(contact);
            }
        }
    }

    /// Sets this agent's own state and sends it to a few random members at
    /// once.
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

    /// Sends the version of this agent's newer configuration to a few random
    /// members at once.
    pub(crate) fn announce_configuration(&mut self, now_ms: u64, version: u64) -> Vec<Action> {
        let mut others = self.live_others();
        others.shuffle(&mut self.rng);
        others.truncate(MAX_CONFIGURATION_ANNOUNCEMENTS);
        others
            .into_iter()
            .filter_map(|node| self.probe(now_ms, node, None, version))
            .collect()
    }

    /// Performs the periodic work that is due. `version` is the version of this
    /// agent's configuration.
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

    /// Probes the member at `addr` at once, because a connection to it broke.
    pub(crate) fn probe_now(
        &mut self,
        now_ms: u64,
        addr: SocketAddr,
        version: u64,
    ) -> Option<Action> {
        let node = self.view.at(addr).filter(|node| *node != self.me.node)?;
        self.probe(now_ms, node, None, version)
    }

    /// Returns the answer to a probe.
    pub(crate) fn ping(&mut self, now_ms: u64, from: Peer, probe: u64, version: u64) -> Action {
        let updates = self.queue.take(now_ms, &self.view, from.node);
        let gossip = gossip(updates, version);
        Action::Send {
            to: from,
            message: Message::Ack { probe, gossip },
        }
    }

    /// Handles the answer to a probe; if another agent requested the probe,
    /// returns the message that passes the answer on.
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

    /// Probes `target` on behalf of another agent.
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

    /// Returns the members that changed after `since`.
    pub(crate) fn pull(&self, now_ms: u64, since: u64) -> crate::view::Delta {
        self.view.delta(now_ms, since, MAX_DELTA_MEMBERS)
    }

    /// Records up to which change the view of `from` has been pulled.
    pub(crate) fn record_pull(&mut self, from: NodeId, upto: u64) {
        self.pulled_up_to.insert(from, upto);
    }

    /// Merges updates into the view; returns the members that are dead or have
    /// left according to them.
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

    /// Marks other members at the address of the live process `node` as dead,
    /// because it has replaced them.
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

    /// Raises this agent's own version to refute another process's claim about
    /// its state.
    fn refute(&mut self, now_ms: u64, claim: &Member) {
        if claim.state == self.me.state || claim.state.rank() == 0 {
            return;
        }
        // An outdated claim shows that the refutation of it did not arrive, so
        // the state is published again in that case too.
        self.me.version = self.me.version.max(claim.version + 1);
        self.publish_self(now_ms);
    }

    /// Discards pending probes and extends suspicion timeouts if this agent was
    /// suspended.
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

    /// Continues each unanswered probe with indirect probes, and suspects
    /// members that these do not reach. Unanswered probes that other agents
    /// requested are dropped.
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

    /// Marks a live member as suspect and starts its suspicion timeout. A
    /// member that is leaving keeps that state, and only its timeout starts.
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

    /// Declares the suspects dead whose suspicion timeout has passed.
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

    /// Pulls views: from the contacts while no other agent is known, and from a
    /// random agent every [`PULL_PERIODS`] periods afterwards. A pull returns
    /// all changes since the last one from the same agent.
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
            let since = self.pulled_up_to.get(&node).copied().unwrap_or(0);
            let message = Message::ViewPull {
                since,
                configuration_version,
            };
            step.actions.push(Action::Send { to, message });
        }
    }

    /// Returns the next member to probe. Each round probes all other members
    /// that are neither dead nor have left, in random order.
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

    /// Probes a dead member without waiting for an answer, so that it never
    /// becomes suspect. The probe lets a healed network partition be noticed.
    fn probe_dead(&mut self, now_ms: u64, target: NodeId, version: u64) -> Option<Action> {
        let action = self.probe(now_ms, target, None, version)?;
        self.probes.remove(&(self.next_probe_id - 1));
        Some(action)
    }
}
