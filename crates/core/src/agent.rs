//! The core of an agent: its minion's slots, the submissions it is home of,
//! and its part in membership and configuration.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net::SocketAddr;

use gannetvane_wire::Credit;
use gannetvane_wire::Envelope;
use gannetvane_wire::HandoverEntry;
use gannetvane_wire::LogRecord;
use gannetvane_wire::Member;
use gannetvane_wire::MemberState;
use gannetvane_wire::Message;
use gannetvane_wire::NodeId;
use gannetvane_wire::SlotCredit;
use gannetvane_wire::Snapshot;
use gannetvane_wire::TaskResult;
use gannetvane_wire::TaskStart;

use crate::Action;
use crate::ConfigurationStore;
use crate::Counter;
use crate::LogPage;
use crate::Membership;
use crate::MembershipSettings;
use crate::Peer;
use crate::Runner;
use crate::SubmissionTable;
use crate::TableSettings;
use crate::View;
use crate::drain::Drain;
use crate::drain::Handover;
use crate::drain::PartKey;
use crate::drain::choose_successor;
use crate::home::Arrival;
use crate::home::Context;
use crate::home::Home;
use crate::home::Intake;
use crate::membership::Step;

/// Interval of periodic work in milliseconds.
const MAINTAIN_MS: u64 = 100;
/// Longest time for which a submission waits for the configuration.
const MAX_HOLD_MS: u64 = 1_000;
/// Idle time after which an agent renews a credit.
const CREDIT_RENEWAL_MS: u64 = 6_000;
/// Interval between reads of the log by the readers, in milliseconds.
const READER_POLL_MS: u64 = 1_000;
/// Interval between reads of the log by all other agents.
const OTHER_POLL_MS: u64 = 15_000;
/// A snapshot is written again after this share of the log's retention.
const SNAPSHOTS_PER_RETENTION: u64 = 4;
/// Least interval between attempts to write a snapshot, in milliseconds.
const SNAPSHOT_RETRY_MS: u64 = 10_000;

/// Settings of an agent's core.
#[derive(Clone, Debug)]
pub struct AgentSettings {
    /// This agent as the others will know it.
    pub member: Member,
    /// Times of the failure detector.
    pub membership: MembershipSettings,
    /// Bounds of the table of submissions.
    pub table: TableSettings,
    /// Time for which the platform's log keeps records, in milliseconds.
    pub log_retention_ms: u64,
    /// Time after the start of a planned stop for which new submissions are
    /// still taken, until all have heard of it, in milliseconds.
    pub leave_notice_ms: u64,
}

/// A submission that waits for a newer configuration.
#[derive(Debug)]
struct Held {
    entry: Peer,
    arrival: Arrival,
    since_ms: u64,
    configuration_version: u64,
}

/// The core of an agent.
#[derive(Debug)]
pub struct Agent {
    me: Peer,
    node: NodeId,
    settings: AgentSettings,
    membership: Membership,
    configuration: ConfigurationStore,
    home: Home,
    held: Vec<Held>,
    runner: Runner,
    drain: Drain,
    next_maintain_ms: u64,
    next_read_ms: u64,
    snapshot_tried_at_ms: Option<u64>,
}

impl Agent {
    /// The core of an agent that just started.
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
            drain: Drain::Working,
            next_maintain_ms: now_ms,
            next_read_ms: now_ms,
            snapshot_tried_at_ms: None,
            settings,
        }
    }

    /// What this agent knows of the others.
    #[must_use]
    pub fn view(&self) -> &View {
        self.membership.view()
    }

    /// The configuration in force here.
    #[must_use]
    pub fn configuration(&self) -> &ConfigurationStore {
        &self.configuration
    }

    /// Submissions without a final answer.
    #[must_use]
    pub fn open_submissions(&self) -> usize {
        self.home.open.len()
    }

    /// Submissions whose ids are held.
    #[must_use]
    pub fn retained_submissions(&self) -> usize {
        self.home.retained()
    }

    /// Slots on which a task runs.
    #[must_use]
    pub fn busy_slots(&self) -> usize {
        self.runner.busy()
    }

    /// Whether a planned stop has begun.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        !matches!(self.drain, Drain::Working)
    }

    /// Adds addresses for the first contact.
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
        self.settled(now_ms, |agent, actions| {
            agent.one_message(now_ms, from, envelope.message, actions);
        })
    }

    /// A connection broke; messages on it may be lost.
    pub fn peer_down(&mut self, now_ms: u64, addr: SocketAddr) -> Vec<Action> {
        self.home.peer_down(now_ms, addr);
        let version = self.configuration.current().version;
        self.membership
            .probe_now(now_ms, addr, version)
            .into_iter()
            .collect()
    }

    /// A message never left this process.
    pub fn undelivered(&mut self, now_ms: u64, message: Message) -> Vec<Action> {
        let Message::Start(starts) = message else {
            return Vec::new();
        };
        self.settled(now_ms, |agent, actions| {
            agent.with_home(now_ms, actions, |home, ctx| home.undelivered(ctx, &starts));
        })
    }

    /// The minion ended a task.
    pub fn task_ended(&mut self, now_ms: u64, credit: Credit, result: TaskResult) -> Vec<Action> {
        self.settled(now_ms, |agent, actions| {
            if let Some(ended) = agent.runner.finish(now_ms, credit, result) {
                let message = Message::Finished(vec![ended.finished]);
                actions.push(Action::Send {
                    to: ended.home,
                    message,
                });
            }
        })
    }

    /// Takes in a part of the configuration stream.
    pub fn log_page(&mut self, now_ms: u64, page: LogPage) -> Vec<Action> {
        let at_end = page.at_end;
        let version = self.configuration.current().version;
        self.configuration.read(now_ms, page);
        self.settled(now_ms, |agent, actions| {
            if agent.configuration.current().version > version {
                agent.configuration_changed(now_ms, actions);
            }
            if !at_end {
                let from_offset = agent.configuration.next_offset();
                actions.push(Action::ReadLog { from_offset });
            }
        })
    }

    /// Begins a planned stop.
    pub fn leave(&mut self, now_ms: u64) -> Vec<Action> {
        if self.is_leaving() {
            return Vec::new();
        }
        self.drain = Drain::Leaving { since_ms: now_ms };
        self.runner.leave(now_ms);
        let version = self.configuration.current().version;
        let mut actions = vec![Action::log("leaving", self.node)];
        actions.extend(
            self.membership
                .announce(now_ms, MemberState::Leaving, version),
        );
        actions
    }

    /// Does what is due. To be called every few milliseconds.
    pub fn tick(&mut self, now_ms: u64) -> Vec<Action> {
        self.settled(now_ms, |agent, actions| {
            let version = agent.configuration.current().version;
            let step = agent.membership.tick(now_ms, version);
            agent.take_step(now_ms, step, actions);
            agent.with_home(now_ms, actions, Home::expire_deadlines);
            if now_ms >= agent.next_maintain_ms {
                agent.next_maintain_ms = now_ms + MAINTAIN_MS;
                agent.maintain(now_ms, actions);
            }
        })
    }

    /// Runs a step, then all messages that it sends to this agent itself.
    fn settled(
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
                    self.one_message(now_ms, self.me, message, &mut further);
                    pending.extend(further);
                }
                other => actions.push(other),
            }
        }
        actions
    }

    fn one_message(
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
                let held = Held {
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
                    home.credits_requested(ctx, &service, from, wanted, overdue_ms);
                });
            }
            Message::CreditGrant { service, credits } => {
                self.with_home(now_ms, actions, |home, ctx| {
                    home.granted(ctx, from, &service, &credits);
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

    /// A submission from an entry that knows a newer configuration waits until
    /// this agent has it too, or for [`MAX_HOLD_MS`].
    fn submit_or_hold(&mut self, now_ms: u64, held: Held, actions: &mut Vec<Action>) {
        let is_behind = held.configuration_version > self.configuration.current().version;
        if is_behind && now_ms.saturating_sub(held.since_ms) < MAX_HOLD_MS {
            if self.held.is_empty() {
                let message = Message::ConfigurationPull;
                actions.push(Action::Send {
                    to: held.entry,
                    message,
                });
            }
            self.held.push(held);
            return;
        }
        let Held {
            entry,
            mut arrival,
            since_ms,
            ..
        } = held;
        arrival.remaining_ms = arrival.remaining_ms.saturating_sub(now_ms - since_ms);
        self.with_home(now_ms, actions, |home, ctx| {
            home.submit(ctx, entry, arrival);
        });
    }

    fn submit_held(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
        for held in std::mem::take(&mut self.held) {
            self.submit_or_hold(now_ms, held, actions);
        }
    }

    fn membership_message(
        &mut self,
        now_ms: u64,
        from: Peer,
        message: Message,
        actions: &mut Vec<Action>,
    ) {
        let version = self.configuration.current().version;
        let mut step = Step::default();
        match message {
            Message::Ping { probe, gossip } => {
                step.gone = self.membership.merge(now_ms, &gossip.members);
                step.newer_configuration_at = newer(from, gossip.configuration_version, version);
                step.actions
                    .push(self.membership.ping(now_ms, from, probe, version));
            }
            Message::Ack { probe, gossip } => {
                step.gone = self.membership.merge(now_ms, &gossip.members);
                step.newer_configuration_at = newer(from, gossip.configuration_version, version);
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
                step.newer_configuration_at = newer(from, configuration_version, version);
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
                    self.membership.pulled(node, upto);
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
                .extend(self.membership.replaced(now_ms, node, from.addr));
        }
        self.take_step(now_ms, step, actions);
    }

    fn take_step(&mut self, now_ms: u64, step: Step, actions: &mut Vec<Action>) {
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

    fn start(
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

    fn adopt(
        &mut self,
        now_ms: u64,
        home: NodeId,
        uptime_ms: u64,
        oldest_generation: u32,
        entries: Vec<HandoverEntry>,
    ) {
        let settings = self.settings.table;
        let table = self
            .home
            .adopted
            .entry(home)
            .or_insert_with(|| SubmissionTable::new(home, settings, now_ms, uptime_ms));
        table.raise_oldest(oldest_generation);
        for entry in entries {
            table.adopt(entry);
        }
    }

    fn adopt_configuration(&mut self, now_ms: u64, snapshot: &Snapshot, actions: &mut Vec<Action>) {
        if self.configuration.adopt(snapshot) {
            self.configuration_changed(now_ms, actions);
        }
    }

    fn configuration_changed(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
        let version = self.configuration.current().version;
        actions.push(Action::log("configuration-changed", version));
        actions.extend(self.membership.spread(now_ms, version));
        self.submit_held(now_ms, actions);
        self.grant_credits(now_ms, actions);
    }

    fn maintain(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
        self.submit_held(now_ms, actions);
        self.read_log(now_ms, actions);
        self.write_snapshot(now_ms, actions);
        self.grant_credits(now_ms, actions);
        self.with_home(now_ms, actions, Home::maintain);
        self.continue_leaving(now_ms, actions);
    }

    fn read_log(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
        if now_ms < self.next_read_ms {
            return;
        }
        let is_reader = self.view().log_readers().contains(&self.node);
        self.next_read_ms = now_ms
            + if is_reader {
                READER_POLL_MS
            } else {
                OTHER_POLL_MS
            };
        actions.push(Action::ReadLog {
            from_offset: self.configuration.next_offset(),
        });
    }

    /// Writes the configuration again before the log forgets it.
    fn write_snapshot(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
        let interval_ms = self.settings.log_retention_ms / SNAPSHOTS_PER_RETENTION;
        let is_recent = |at_ms: Option<u64>, within_ms: u64| {
            at_ms.is_some_and(|at_ms| now_ms.saturating_sub(at_ms) < within_ms)
        };
        if self.configuration.current().version == 0
            || self.configuration.has_gap()
            || is_recent(self.configuration.snapshot_seen_at_ms(), interval_ms)
            || is_recent(
                self.snapshot_tried_at_ms,
                SNAPSHOT_RETRY_MS.min(interval_ms),
            )
            || self.view().log_readers().first() != Some(&self.node)
        {
            return;
        }
        self.snapshot_tried_at_ms = Some(now_ms);
        actions.push(Action::Append(LogRecord::Snapshot(
            self.configuration.snapshot(),
        )));
    }

    /// Gives the credits of free slots to the homes of the service.
    fn grant_credits(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
        let service = &self.settings.member.service;
        let Some(config) = self.configuration.current().services.get(service) else {
            return;
        };
        if self.is_leaving() {
            return;
        }
        let homes = self.membership.view().homes(service, config.homes());
        if homes.is_empty() {
            return;
        }
        let view = self.membership.view();
        let is_lost = |node| {
            !matches!(
                view.state(node),
                Some(MemberState::Alive | MemberState::Leaving)
            )
        };
        let free = self.runner.reclaim(now_ms, CREDIT_RENEWAL_MS, is_lost);
        let mut grants: BTreeMap<NodeId, Vec<SlotCredit>> = BTreeMap::new();
        for slot in free {
            let first = usize::try_from(self.node.0 % homes.len() as u64).unwrap_or(0);
            let by_turn = homes[(usize::from(slot.index) + first) % homes.len()];
            let home = slot
                .last_holder
                .filter(|node| homes.contains(node))
                .unwrap_or(by_turn);
            let credit = self.runner.grant(now_ms, slot.index, home);
            grants.entry(home).or_default().extend(credit);
            if slot.last_holder.is_some_and(|node| node != home) {
                actions.push(Action::Count(Counter::CreditsReclaimed));
            }
        }
        for (home, credits) in grants {
            if let Some(to) = self.membership.view().peer(home) {
                let message = Message::CreditGrant {
                    service: service.clone(),
                    credits,
                };
                actions.push(Action::Send { to, message });
            }
        }
    }

    fn continue_leaving(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
        match &mut self.drain {
            Drain::Working => {}
            Drain::Leaving { since_ms } => {
                if now_ms.saturating_sub(*since_ms) >= self.settings.leave_notice_ms {
                    self.home.intake = Intake::Refusing;
                }
                if self.home.open.is_empty() && self.runner.busy() == 0 {
                    self.begin_handover(now_ms, actions);
                }
            }
            Drain::HandingOver(handover) => {
                let to = handover.successor();
                let is_lost = self
                    .membership
                    .view()
                    .state(to.node.unwrap_or(self.node))
                    .is_none_or(MemberState::is_gone);
                if handover.is_done() {
                    self.left(now_ms, to.node, actions);
                } else if handover.is_overdue(now_ms) {
                    actions.push(Action::log("handover-failed", to.addr));
                    self.left(now_ms, None, actions);
                } else if is_lost {
                    self.begin_handover(now_ms, actions);
                } else {
                    let due = handover.due(now_ms).into_iter();
                    actions.extend(due.map(|message| Action::Send { to, message }));
                }
            }
            Drain::Left { successor, .. } => {
                let successor = *successor;
                if self.drain.should_announce(now_ms) {
                    self.announce_left(now_ms, successor, actions);
                }
                if self.drain.is_over(now_ms) {
                    actions.push(Action::Stop);
                }
            }
        }
    }

    fn begin_handover(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
        self.home.intake = Intake::Closed;
        let service = &self.settings.member.service;
        let Some(successor) = choose_successor(self.membership.view(), self.node, service) else {
            actions.push(Action::log("no-successor", self.node));
            self.left(now_ms, None, actions);
            return;
        };
        let tables = std::iter::once(&self.home.table).chain(self.home.adopted.values());
        self.drain = Drain::HandingOver(Handover::new(now_ms, successor, tables));
        self.continue_leaving(now_ms, actions);
    }

    fn left(&mut self, now_ms: u64, successor: Option<NodeId>, actions: &mut Vec<Action>) {
        self.drain = Drain::Left {
            since_ms: now_ms,
            next_announce_ms: now_ms,
            successor,
        };
        self.continue_leaving(now_ms, actions);
    }

    fn announce_left(&mut self, now_ms: u64, successor: Option<NodeId>, actions: &mut Vec<Action>) {
        let version = self.configuration.current().version;
        let state = MemberState::Left { successor };
        actions.extend(self.membership.announce(now_ms, state, version));
    }

    fn with_home(
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

fn newer(from: Peer, theirs: u64, ours: u64) -> Option<Peer> {
    (theirs > ours).then_some(from)
}
