//! The core of an entry. It sends each submission to its home, the agent that
//! answers for it, and passes the home's answer to the waiting callers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use gannetvane_wire::Answer;
use gannetvane_wire::Envelope;
use gannetvane_wire::Message;
use gannetvane_wire::Name;
use gannetvane_wire::NodeId;
use gannetvane_wire::Ran;
use gannetvane_wire::Reason;
use gannetvane_wire::SubmissionId;
use rand::RngExt;
use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;

use crate::Action;
use crate::CallerId;
use crate::Command;
use crate::ConfigurationStore;
use crate::Counter;
use crate::HomeTarget;
use crate::LogPage;
use crate::Peer;
use crate::Reply;
use crate::View;
use crate::confirm::Confirmations;
use crate::home::fingerprint;
use crate::table::generation_at;
use crate::waiting::Caller;
use crate::waiting::FIRST_RESEND_INTERVAL_MS;
use crate::waiting::Request;
use crate::waiting::WaitKey;
use crate::waiting::Waiting;

/// Interval in milliseconds between pulls of an agent's view.
const VIEW_PULL_INTERVAL_MS: u64 = 500;
/// Interval in milliseconds between scans of the waiting requests.
const SCAN_INTERVAL_MS: u64 = 20;
/// Delay in milliseconds before a submission is sent again after its connection
/// broke.
const RECONNECT_DELAY_MS: u64 = 200;
/// Time in milliseconds past a caller's deadline during which the entry still
/// waits for the home's own answer.
const DEADLINE_GRACE_MS: u64 = 250;
/// Time in milliseconds after the first complete view during which a home that
/// is not in the view may still appear. Afterwards it counts as lost.
const VIEW_SETTLE_MS: u64 = 3_000;
/// `retry_after_ms` of a refusal that is expected to be temporary.
const RETRY_AFTER_MS: u32 = 1_000;

/// Settings of an entry's core.
#[derive(Clone, Debug)]
pub struct EntrySettings {
    /// The incarnation of this process.
    pub node: NodeId,
    /// The address at which this process receives messages.
    pub addr: SocketAddr,
    /// Addresses of agents to contact while no agent is known.
    pub contacts: Vec<SocketAddr>,
    /// Maximum number of callers that wait for answers at one time.
    pub max_waiting: usize,
    /// Time in milliseconds for which members that are dead or have left are
    /// retained.
    pub retention_ms: u64,
}

/// The state of an entry, changed by commands, messages and ticks.
#[derive(Debug)]
pub struct Entry {
    pub(crate) settings: EntrySettings,
    pub(crate) view: View,
    pub(crate) configuration: ConfigurationStore,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) waiting: BTreeMap<WaitKey, Waiting>,
    pub(crate) waiting_callers: usize,
    pub(crate) confirmations: Confirmations,
    /// Per agent, the change number of its view up to which this entry has
    /// pulled.
    pub(crate) pulled_up_to: BTreeMap<NodeId, u64>,
    pub(crate) pull_count: usize,
    pub(crate) next_pull_ms: u64,
    pub(crate) next_scan_ms: u64,
    pub(crate) complete_view_since_ms: Option<u64>,
}

impl Entry {
    /// Creates the core of an entry that has just started.
    #[must_use]
    pub fn new(settings: EntrySettings, now_ms: u64) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(settings.node.0),
            settings,
            view: View::default(),
            configuration: ConfigurationStore::default(),
            waiting: BTreeMap::new(),
            waiting_callers: 0,
            confirmations: Confirmations::default(),
            pulled_up_to: BTreeMap::new(),
            pull_count: 0,
            next_pull_ms: now_ms,
            next_scan_ms: now_ms,
            complete_view_since_ms: None,
        }
    }

    /// Returns this entry's view of the agents.
    #[must_use]
    pub fn view(&self) -> &View {
        &self.view
    }

    /// Returns the configuration that this entry applies.
    #[must_use]
    pub fn configuration(&self) -> &ConfigurationStore {
        &self.configuration
    }

    /// Returns the number of waiting callers.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting_callers + self.confirmations.len()
    }

    /// Returns whether the entry has a complete view of the agents, so that it
    /// can serve callers.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.complete_view_since_ms.is_some()
    }

    /// Adds addresses to contact while no agent is known.
    pub fn add_contacts(&mut self, contacts: impl IntoIterator<Item = SocketAddr>) {
        for contact in contacts {
            if !self.settings.contacts.contains(&contact) {
                self.settings.contacts.push(contact);
            }
        }
    }

    /// Handles a command from a caller or an operator.
    pub fn command(&mut self, now_ms: u64, caller: CallerId, command: Command) -> Vec<Action> {
        let mut actions = Vec::new();
        match command {
            Command::TakeIds { service, count } => {
                let reply = self.take_ids(now_ms, &service, count);
                count_refusal(&reply, &mut actions);
                actions.push(Action::Reply { caller, reply });
            }
            Command::Submit {
                id,
                submission,
                deadline_ms,
            } => {
                let key = WaitKey {
                    id,
                    fingerprint: fingerprint(&submission),
                };
                let caller = Caller {
                    id: caller,
                    deadline_at_ms: now_ms + deadline_ms,
                };
                self.add_caller(
                    now_ms,
                    key,
                    Request::Submit(submission),
                    caller,
                    &mut actions,
                );
            }
            Command::Lookup { id, wait_ms } => {
                let key = WaitKey { id, fingerprint: 0 };
                let caller = Caller {
                    id: caller,
                    deadline_at_ms: now_ms + wait_ms,
                };
                self.add_caller(now_ms, key, Request::Lookup, caller, &mut actions);
            }
            Command::Cancel { id } => self.cancel(now_ms, id, caller, &mut actions),
            Command::Plan {
                change_id,
                operations,
            } => {
                let reply = Reply::Plan(self.configuration.plan(change_id, operations));
                actions.push(Action::Reply { caller, reply });
            }
            Command::Confirm { change } => {
                self.confirmations.confirm(
                    now_ms,
                    caller,
                    change,
                    &self.configuration,
                    &mut actions,
                );
            }
            Command::ChangeStatus { change_id } => {
                self.confirmations.status(
                    now_ms,
                    caller,
                    change_id,
                    &self.configuration,
                    &mut actions,
                );
            }
            Command::Configuration => {
                let reply = Reply::Configuration(self.configuration.snapshot());
                actions.push(Action::Reply { caller, reply });
            }
            Command::Members => {
                let reply = Reply::Members(self.view.snapshot(now_ms));
                actions.push(Action::Reply { caller, reply });
            }
        }
        actions
    }

    /// Handles a message from another process.
    pub fn message(&mut self, now_ms: u64, envelope: Envelope) -> Vec<Action> {
        let mut actions = Vec::new();
        if envelope.to.is_some_and(|node| node != self.settings.node) {
            return actions;
        }
        let from = Peer::known(envelope.from, envelope.from_addr);
        match envelope.message {
            Message::Answer {
                id,
                fingerprint,
                answer,
            } => {
                self.deliver_answer(WaitKey { id, fingerprint }, &answer, &mut actions);
            }
            Message::ViewDelta {
                upto,
                more,
                members,
                configuration,
            } => {
                for member in &members {
                    self.view.merge(now_ms, member);
                }
                self.pulled_up_to.insert(envelope.from, upto);
                if more {
                    actions.push(self.pull(from));
                } else {
                    self.complete_view_since_ms.get_or_insert(now_ms);
                }
                if let Some(snapshot) = configuration {
                    self.adopt_configuration(now_ms, &snapshot, &mut actions);
                }
                self.scan(now_ms, &mut actions);
            }
            Message::ConfigurationState(snapshot) => {
                self.adopt_configuration(now_ms, &snapshot, &mut actions);
            }
            Message::ConfigurationPull => {
                let message = Message::ConfigurationState(self.configuration.snapshot());
                actions.push(Action::Send { to: from, message });
            }
            _ => {}
        }
        actions
    }

    /// Handles a broken connection to `addr`, on which messages may have been
    /// lost.
    pub fn peer_down(&mut self, now_ms: u64, addr: SocketAddr) -> Vec<Action> {
        for waiting in self.waiting.values_mut() {
            if waiting.sent_to.is_some_and(|peer| peer.addr == addr) {
                waiting.next_send_ms = waiting.next_send_ms.min(now_ms + RECONNECT_DELAY_MS);
            }
        }
        self.next_pull_ms = self.next_pull_ms.min(now_ms + RECONNECT_DELAY_MS);
        Vec::new()
    }

    /// Applies a page of the configuration stream.
    pub fn log_page(&mut self, now_ms: u64, page: LogPage) -> Vec<Action> {
        let mut actions = Vec::new();
        let at_end = page.at_end;
        let version = self.configuration.current().version;
        self.configuration.read(now_ms, page);
        if self.configuration.current().version > version {
            self.push_configuration(&mut actions);
        }
        if !at_end {
            let from_offset = self.configuration.next_offset();
            actions.push(Action::ReadLog { from_offset });
        }
        self.confirmations
            .progress(now_ms, at_end, &self.configuration, &mut actions);
        actions
    }

    /// Handles a failed read of the platform's log.
    pub fn log_failed(&mut self) -> Vec<Action> {
        let mut actions = Vec::new();
        self.confirmations.log_failed(&mut actions);
        actions
    }

    /// Performs the periodic work that is due. The caller invokes this every
    /// few milliseconds.
    pub fn tick(&mut self, now_ms: u64) -> Vec<Action> {
        let mut actions = Vec::new();
        if now_ms >= self.next_pull_ms {
            self.next_pull_ms = now_ms + VIEW_PULL_INTERVAL_MS;
            self.view.forget_gone(now_ms, self.settings.retention_ms);
            self.pull_views(&mut actions);
        }
        if now_ms >= self.next_scan_ms {
            self.next_scan_ms = now_ms + SCAN_INTERVAL_MS;
            self.scan(now_ms, &mut actions);
            self.confirmations
                .expire(now_ms, &self.configuration, &mut actions);
        }
        actions
    }

    /// Returns `count` new ids for submissions to a service, or a refusal.
    pub(crate) fn take_ids(&mut self, now_ms: u64, service: &Name, count: usize) -> Reply {
        let refused = |reason, retry_after_ms| {
            Reply::Answer(Arc::new(Answer::refusal(
                Ran::NotRun,
                reason,
                retry_after_ms,
            )))
        };
        let Some(config) = self.configuration.current().services.get(service) else {
            return refused(Reason::UnknownService, None);
        };
        let homes = self.view.homes(service, config.homes());
        if homes.is_empty() {
            return refused(Reason::NoCapacity, Some(RETRY_AFTER_MS));
        }
        let ids = (0..count)
            .filter_map(|_| self.draw_id(now_ms, &homes))
            .collect();
        Reply::Ids(ids)
    }

    /// Creates an id for a submission to one of `homes`, chosen at random. The
    /// home's current generation follows from its uptime, so no message is
    /// needed.
    pub(crate) fn draw_id(&mut self, now_ms: u64, homes: &[NodeId]) -> Option<SubmissionId> {
        let home = *homes.choose(&mut self.rng)?;
        let generation = generation_at(self.view.uptime_ms(now_ms, home)?);
        Some(SubmissionId {
            home,
            generation,
            nonce: self.rng.random(),
        })
    }

    /// Adds a caller to the request with this key and sends the request if it
    /// is due.
    pub(crate) fn add_caller(
        &mut self,
        now_ms: u64,
        key: WaitKey,
        request: Request,
        caller: Caller,
        actions: &mut Vec<Action>,
    ) {
        if self.waiting_callers >= self.settings.max_waiting {
            // Another entry may have submitted the same id, so the answer
            // cannot say that it did not run.
            let answer =
                Answer::refusal(Ran::Unknown, Reason::EntryOverloaded, Some(RETRY_AFTER_MS));
            actions.push(Action::Count(Counter::Refused(Reason::EntryOverloaded)));
            reply(caller.id, Arc::new(answer), actions);
            return;
        }
        self.waiting_callers += 1;
        let waiting = self
            .waiting
            .entry(key)
            .or_insert_with(|| Waiting::new(request, now_ms));
        waiting.callers.push(caller);
        self.send_due(now_ms, key, actions);
    }

    /// Sends a cancellation of a submission to its home; the caller receives
    /// the submission's answer.
    pub(crate) fn cancel(
        &mut self,
        now_ms: u64,
        id: SubmissionId,
        caller: CallerId,
        actions: &mut Vec<Action>,
    ) {
        let key = WaitKey { id, fingerprint: 0 };
        let caller = Caller {
            id: caller,
            deadline_at_ms: now_ms + FIRST_RESEND_INTERVAL_MS,
        };
        let waiting = self
            .waiting
            .entry(key)
            .or_insert_with(|| Waiting::new(Request::Lookup, now_ms));
        waiting.is_cancel = true;
        waiting.next_send_ms = now_ms;
        waiting.callers.push(caller);
        self.waiting_callers += 1;
        self.send_due(now_ms, key, actions);
    }

    /// Replies to all callers that wait for this answer.
    pub(crate) fn deliver_answer(
        &mut self,
        key: WaitKey,
        answer: &Arc<Answer>,
        actions: &mut Vec<Action>,
    ) {
        let Some(waiting) = self.waiting.remove(&key) else {
            return;
        };
        self.waiting_callers -= waiting.callers.len();
        for caller in waiting.callers {
            reply(caller.id, Arc::clone(answer), actions);
        }
    }

    /// Sends the requests that are due, and answers the callers whose deadline
    /// has passed.
    pub(crate) fn scan(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
        let keys: Vec<WaitKey> = self.waiting.keys().copied().collect();
        for key in keys {
            self.expire_callers(now_ms, key, actions);
            self.send_due(now_ms, key, actions);
        }
    }

    /// Replies `HomeSilent` to the callers whose deadline and grace period have
    /// passed.
    pub(crate) fn expire_callers(&mut self, now_ms: u64, key: WaitKey, actions: &mut Vec<Action>) {
        let Some(waiting) = self.waiting.get_mut(&key) else {
            return;
        };
        let is_late = |caller: &Caller| now_ms >= caller.deadline_at_ms + DEADLINE_GRACE_MS;
        let late: Vec<Caller> = waiting.callers.iter().copied().filter(is_late).collect();
        if late.is_empty() {
            return;
        }
        waiting.callers.retain(|caller| !is_late(caller));
        let is_empty = waiting.callers.is_empty();
        self.waiting_callers -= late.len();
        let answer = Answer::refusal(Ran::Unknown, Reason::HomeSilent, Some(RETRY_AFTER_MS));
        let answer = Arc::new(answer);
        for caller in late {
            actions.push(Action::Count(Counter::Failed(Reason::HomeSilent)));
            reply(caller.id, Arc::clone(&answer), actions);
        }
        if is_empty {
            self.waiting.remove(&key);
        }
    }

    /// Sends a request to the agent that answers for its home if a resend is
    /// due or that agent has changed, and fails the request if the home is
    /// lost.
    pub(crate) fn send_due(&mut self, now_ms: u64, key: WaitKey, actions: &mut Vec<Action>) {
        let target = self.view.resolve(key.id.home);
        let version = self.configuration.current().version;
        let Some(waiting) = self.waiting.get_mut(&key) else {
            return;
        };
        match target {
            HomeTarget::Answers(peer) => {
                let has_moved = waiting.sent_to.is_some_and(|sent_to| sent_to != peer);
                if has_moved || now_ms >= waiting.next_send_ms {
                    if waiting.sent_to.is_some() {
                        actions.push(Action::Count(Counter::Resent(Reason::HomeSilent)));
                    }
                    actions.push(waiting.send(now_ms, key, peer, version));
                }
            }
            HomeTarget::Lost => self.answer_home_lost(key, actions),
            HomeTarget::UnknownHome => {
                let is_settled = self
                    .complete_view_since_ms
                    .is_some_and(|since_ms| now_ms.saturating_sub(since_ms) >= VIEW_SETTLE_MS);
                if is_settled {
                    self.answer_home_lost(key, actions);
                }
            }
        }
    }

    /// Replies `HomeLost` to all callers of a request.
    pub(crate) fn answer_home_lost(&mut self, key: WaitKey, actions: &mut Vec<Action>) {
        let answer = Answer::refusal(Ran::Unknown, Reason::HomeLost, None);
        actions.push(Action::Count(Counter::Failed(Reason::HomeLost)));
        self.deliver_answer(key, &Arc::new(answer), actions);
    }
}

fn reply(caller: CallerId, answer: Arc<Answer>, actions: &mut Vec<Action>) {
    actions.push(Action::Reply {
        caller,
        reply: Reply::Answer(answer),
    });
}

fn count_refusal(reply: &Reply, actions: &mut Vec<Action>) {
    if let Reply::Answer(answer) = reply {
        actions.push(Action::Count(Counter::Refused(answer.reason)));
    }
}
