//! The core of an agent: the slots of its minion, the submissions that it is
//! the home of, and its part in membership and configuration.

use std::collections::VecDeque;
use std::net::SocketAddr;

use gannetvane_wire::Credit;
use gannetvane_wire::Envelope;
use gannetvane_wire::Member;
use gannetvane_wire::Message;
use gannetvane_wire::NodeId;
use gannetvane_wire::TaskResult;
use gannetvane_wire::TaskStart;

use crate::Action;
use crate::ConfigurationStore;
use crate::Membership;
use crate::MembershipSettings;
use crate::Peer;
use crate::Runner;
use crate::TableSettings;
use crate::View;
use crate::agent_configuration::HeldSubmission;
use crate::drain::Drain;
use crate::drain::PartKey;
use crate::home::Arrival;
use crate::home::Context;
use crate::home::Home;
use crate::membership::StepOutcome;

/// Interval in milliseconds between runs of the periodic work.
const MAINTENANCE_INTERVAL_MS: u64 = 100;

/// Settings of an agent's core.
#[derive(Clone, Debug)]
pub struct AgentSettings {
    /// The member that this agent announces to the others.
    pub member: Member,
    /// Intervals and timeouts of the failure detector.
    pub membership: MembershipSettings,
    /// Limits of the table of submissions.
    pub table: TableSettings,
    /// Time in milliseconds for which the platform's log retains records.
    pub log_retention_ms: u64,
    /// Time in milliseconds after the start of a planned stop during which the
    /// agent still accepts new submissions, so that all processes can receive
    /// the announcement.
    pub leave_notice_ms: u64,
}

/// The core of an agent.
#[derive(Debug)]
pub struct Agent {
    pub(crate) me: Peer,
    pub(crate) node: NodeId,
    pub(crate) settings: AgentSettings,
    pub(crate) membership: Membership,
    pub(crate) configuration: ConfigurationStore,
    pub(crate) home: Home,
    pub(crate) held: Vec<HeldSubmission>,
    pub(crate) runner: Runner,
    pub(crate) drain: Drain,
    pub(crate) next_maintain_ms: u64,
    pub(crate) next_log_read_ms: u64,
    pub(crate) snapshot_attempted_at_ms: Option<u64>,
}

impl Agent {
    /// Creates the core of an agent that has just started.
    #[must_use]
    pub fn new(settings: AgentSettings, now_ms: u64) -> Self {
        let node = settings.member.node;
        Self {
            me: Peer::known(node, settings.member.addr),
            node,
            membership: Membership::new(settings.member.clone(), settings.membership, now_ms),
            configuration: ConfigurationStore::default(),
            home: Home::new(node, settings.table, now_ms),
            held: Vec::new(),
            runner: Runner::new(node, settings.member.slots, now_ms),
            drain: Drain::NotLeaving,
            next_maintain_ms: now_ms,
            next_log_read_ms: now_ms,
            snapshot_attempted_at_ms: None,
            settings,
        }
    }

    /// Returns this agent's view of the members.
    #[must_use]
    pub fn view(&self) -> &View {
        self.membership.view()
    }

    /// Returns the configuration that this agent applies.
    #[must_use]
    pub fn configuration(&self) -> &ConfigurationStore {
        &self.configuration
    }

    /// Returns the number of submissions without a final answer.
    #[must_use]
    pub fn open_submissions(&self) -> usize {
        self.home.open.len()
    }

    /// Returns the number of submissions whose ids are retained.
    #[must_use]
    pub fn retained_submissions(&self) -> usize {
        self.home.retained()
    }

    /// Returns the number of slots on which a task runs.
    #[must_use]
    pub fn busy_slots(&self) -> usize {
        self.runner.busy()
    }

    /// Returns whether a planned stop has begun.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        !matches!(self.drain, Drain::NotLeaving)
    }

    /// Adds addresses to contact while no other agent is known.
    pub fn add_contacts(&mut self, contacts: impl IntoIterator<Item = SocketAddr>) {
        self.membership.add_contacts(contacts);
    }

    /// Handles a message from another process.
    pub fn message(&mut self, now_ms: u64, envelope: Envelope) -> Vec<Action> {
        let is_for_me = envelope.to.is_none_or(|node| node == self.node);
        if !is_for_me {
            return Vec::new();
        }
        let from = Peer::known(envelope.from, envelope.from_addr);
        self.run_step(now_ms, |agent, actions| {
            agent.handle_message(now_ms, from, envelope.message, actions);
        })
    }

    /// Handles a broken connection to `addr`, on which messages may have been
    /// lost.
    pub fn peer_down(&mut self, now_ms: u64, addr: SocketAddr) -> Vec<Action> {
        self.home.peer_down(now_ms, addr);
        let version = self.configuration.current().version;
        self.membership
            .probe_now(now_ms, addr, version)
            .into_iter()
            .collect()
    }

    /// Handles a message that was never sent, so that no process has received
    /// it. The tasks that it should have started can start on other agents.
    pub fn undelivered(&mut self, now_ms: u64, message: Message) -> Vec<Action> {
        let Message::Start(starts) = message else {
            return Vec::new();
        };
        self.run_step(now_ms, |agent, actions| {
            agent.with_home(now_ms, actions, |home, ctx| home.undelivered(ctx, &starts));
        })
    }

    /// Handles the end of a task that the minion reports.
    pub fn task_ended(&mut self, now_ms: u64, credit: Credit, result: TaskResult) -> Vec<Action> {
        self.run_step(now_ms, |agent, actions| {
            if let Some(ended) = agent.runner.finish(now_ms, credit, result) {
                let message = Message::Finished(vec![ended.finished]);
                actions.push(Action::Send {
                    to: ended.home,
                    message,
                });
            }
        })
    }

    /// Performs the periodic work that is due. The caller invokes this every
    /// few milliseconds.
    pub fn tick(&mut self, now_ms: u64) -> Vec<Action> {
        self.run_step(now_ms, |agent, actions| {
            let version = agent.configuration.current().version;
            let step = agent.membership.tick(now_ms, version);
            agent.apply_step(now_ms, step, actions);
            agent.with_home(now_ms, actions, Home::expire_deadlines);
            if now_ms >= agent.next_maintain_ms {
                agent.next_maintain_ms = now_ms + MAINTENANCE_INTERVAL_MS;
                agent.maintain(now_ms, actions);
            }
        })
    }

    /// Runs `step` and then handles the messages that the agent sends to
    /// itself; returns all other actions.
    pub(crate) fn run_step(
        &mut self,
        now_ms: u64,
        step: impl FnOnce(&mut Self, &mut Vec<Action>),
    ) -> Vec<Action> {
        let mut pending = Vec::new();
        step(self, &mut pending);
        let mut pending = VecDeque::from(pending);
        let mut actions = Vec::with_capacity(pending.len());
        while let Some(action) = pending.pop_front() {
            match action {
                Action::Send { to, message } if to == self.me => {
                    let mut further = Vec::new();
                    self.handle_message(now_ms, self.me, message, &mut further);
                    pending.extend(further);
                }
                other => actions.push(other),
            }
        }
        actions
    }

    pub(crate) fn handle_message(
        &mut self,
        now_ms: u64,
        from: Peer,
        message: Message,
        actions: &mut Vec<Action>,
    ) {
        match message {
            Message::Submit {
                id,
                submission,
                fingerprint,
                remaining_ms,
                configuration_version,
            } => {
                let arrival = Arrival {
                    id,
                    submission,
                    fingerprint,
                    remaining_ms,
                };
                let held = HeldSubmission {
                    entry: from,
                    arrival,
                    since_ms: now_ms,
                    configuration_version,
                };
                self.submit_or_hold(now_ms, held, actions);
            }
            Message::Cancel { id } => {
                self.with_home(now_ms, actions, |home, ctx| home.cancel(ctx, from, id));
            }
            Message::Start(starts) => self.start(now_ms, from, starts, actions),
            Message::Revoke(credits) => {
                let stopped = credits
                    .into_iter()
                    .filter_map(|c| self.runner.revoke(now_ms, c));
                actions.extend(stopped.map(Action::StopTask));
            }
            Message::Finished(batch) => {
                self.with_home(now_ms, actions, |home, ctx| home.finished(ctx, batch));
            }
            Message::CreditRequest {
                service,
                wanted,
                overdue_ms,
            } => {
                self.with_home(now_ms, actions, |home, ctx| {
                    home.handle_credit_request(ctx, &service, from, wanted, overdue_ms);
                });
            }
            Message::CreditGrant { service, credits } => {
                self.with_home(now_ms, actions, |home, ctx| {
                    home.handle_grant(ctx, from, &service, &credits);
                });
            }
            Message::Handover {
                home,
                uptime_ms,
                oldest_generation,
                entries,
                part,
                ..
            } => {
                self.adopt(now_ms, home, uptime_ms, oldest_generation, entries);
                let message = Message::HandoverAck { home, part };
                actions.push(Action::Send { to: from, message });
            }
            Message::HandoverAck { home, part } => {
                if let Drain::HandingOver(handover) = &mut self.drain {
                    handover.acknowledge(PartKey { home, part });
                }
            }
            Message::ConfigurationPull => {
                let message = Message::ConfigurationState(self.configuration.snapshot());
                actions.push(Action::Send { to: from, message });
            }
            Message::ConfigurationState(snapshot) => {
                self.adopt_configuration(now_ms, &snapshot, actions);
            }
            Message::Answer { .. } => {}
            other => self.membership_message(now_ms, from, other, actions),
        }
    }

    /// Handles the messages of the failure detector and of view pulls.
    pub(crate) fn membership_message(
        &mut self,
        now_ms: u64,
        from: Peer,
        message: Message,
        actions: &mut Vec<Action>,
    ) {
        let version = self.configuration.current().version;
        let mut step = StepOutcome::default();
        match message {
            Message::Ping { probe, gossip } => {
                step.gone = self.membership.merge(now_ms, &gossip.members);
                step.newer_configuration_at =
                    peer_if_newer(from, gossip.configuration_version, version);
                step.actions
                    .push(self.membership.ping(now_ms, from, probe, version));
            }
            Message::Ack { probe, gossip } => {
                step.gone = self.membership.merge(now_ms, &gossip.members);
                step.newer_configuration_at =
                    peer_if_newer(from, gossip.configuration_version, version);
                step.actions
                    .extend(self.membership.ack(now_ms, probe, version));
            }
            Message::PingRequest { probe, target } => {
                let action = self
                    .membership
                    .ping_request(now_ms, from, probe, target, version);
                step.actions.extend(action);
            }
            Message::ViewPull {
                since,
                configuration_version,
            } => {
                step.newer_configuration_at = peer_if_newer(from, configuration_version, version);
                let delta = self.membership.pull(now_ms, since);
                let is_newer = version > configuration_version;
                let message = Message::ViewDelta {
                    upto: delta.upto,
                    more: delta.more,
                    members: delta.members,
                    configuration: is_newer.then(|| self.configuration.snapshot()),
                };
                step.actions.push(Action::Send { to: from, message });
            }
            Message::ViewDelta {
                upto,
                more,
                members,
                configuration,
            } => {
                step.gone = self.membership.merge(now_ms, &members);
                if let Some(node) = from.node {
                    self.membership.record_pull(node, upto);
                }
                if more {
                    let message = Message::ViewPull {
                        since: upto,
                        configuration_version: version,
                    };
                    step.actions.push(Action::Send { to: from, message });
                }
                if let Some(snapshot) = configuration {
                    self.adopt_configuration(now_ms, &snapshot, &mut step.actions);
                }
            }
            _ => {}
        }
        if let Some(node) = from.node {
            step.gone
                .extend(self.membership.mark_replaced(now_ms, node, from.addr));
        }
        self.apply_step(now_ms, step, actions);
    }

    /// Applies an outcome of the failure detector: performs its actions, lets
    /// the home handle the members that are dead or have left, and pulls a
    /// newer configuration.
    pub(crate) fn apply_step(&mut self, now_ms: u64, step: StepOutcome, actions: &mut Vec<Action>) {
        actions.extend(step.actions);
        for node in step.gone {
            self.with_home(now_ms, actions, |home, ctx| home.agent_gone(ctx, node));
        }
        if let Some(to) = step.newer_configuration_at {
            actions.push(Action::Send {
                to,
                message: Message::ConfigurationPull,
            });
        }
    }

    /// Starts tasks on the minion. Reports to the sender, without waiting for
    /// the minion, the starts that are not performed, with the result if one is
    /// retained.
    pub(crate) fn start(
        &mut self,
        now_ms: u64,
        from: Peer,
        starts: Vec<TaskStart>,
        actions: &mut Vec<Action>,
    ) {
        let ended = starts
            .into_iter()
            .filter_map(|start| self.runner.start(now_ms, from, start, actions))
            .collect::<Vec<_>>();
        if !ended.is_empty() {
            actions.push(Action::Send {
                to: from,
                message: Message::Finished(ended),
            });
        }
    }

    /// Runs `step` on the home with a context of the agent's current state.
    pub(crate) fn with_home(
        &mut self,
        now_ms: u64,
        actions: &mut Vec<Action>,
        step: impl FnOnce(&mut Home, &mut Context<'_>),
    ) {
        let mut ctx = Context {
            now_ms,
            view: self.membership.view(),
            configuration: self.configuration.current(),
            actions,
        };
        step(&mut self.home, &mut ctx);
    }
}

/// Returns `from` if its configuration version is higher.
fn peer_if_newer(from: Peer, theirs: u64, ours: u64) -> Option<Peer> {
    (theirs > ours).then_some(from)
}
