//! Runs several agents and entries in one thread on a simulated clock, with a
//! simulated network, a fake log and fake minions.

#![allow(dead_code, reason = "each test file uses a part")]

mod fakes;

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;

use gannetvane_core::Action;
use gannetvane_core::Agent;
use gannetvane_core::AgentSettings;
use gannetvane_core::CallerId;
use gannetvane_core::Command;
use gannetvane_core::Counter;
use gannetvane_core::Entry;
use gannetvane_core::EntrySettings;
use gannetvane_core::GENERATION_MS;
use gannetvane_core::LogPage;
use gannetvane_core::MembershipSettings;
use gannetvane_core::Peer;
use gannetvane_core::Reply;
use gannetvane_core::TableSettings;
use gannetvane_wire::Answer;
use gannetvane_wire::Change;
use gannetvane_wire::Credit;
use gannetvane_wire::Envelope;
use gannetvane_wire::Member;
use gannetvane_wire::MemberState;
use gannetvane_wire::Message;
use gannetvane_wire::Name;
use gannetvane_wire::Needs;
use gannetvane_wire::NodeId;
use gannetvane_wire::Operation;
use gannetvane_wire::Outcome;
use gannetvane_wire::Preference;
use gannetvane_wire::Ran;
use gannetvane_wire::ServiceConfig;
use gannetvane_wire::Submission;
use gannetvane_wire::SubmissionId;
use gannetvane_wire::Task;
use gannetvane_wire::TaskId;
use gannetvane_wire::TaskResult;
use gannetvane_wire::TeamConfig;

pub use fakes::FakeLog;
pub use fakes::FakeMinion;
#[allow(unused_imports, reason = "some test files leave the log alone")]
pub use fakes::LogFault;

/// One-way network delay in milliseconds.
const DELAY_MS: u64 = 1;
/// Interval in milliseconds between the ticks of a core.
const TICK_MS: u64 = 10;
/// Availability zones. The id of an agent modulo 3 selects its zone; a restarted
/// agent gets the zone that the id of its earlier incarnation selects.
const ZONES: [&str; 3] = ["selfoss", "hella", "thorlak"];
/// The service that all agents serve.
pub const SERVICE: &str = "bretti-desk";
/// The team that submits the tasks.
pub const TEAM: &str = "desk";
/// Number of generations of submission ids that the agents retain.
pub const KEPT_GENERATIONS: u32 = 4;

/// How the simulated network treats one message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transmission {
    /// Delivers the message after the normal delay.
    Deliver,
    /// Drops the message without notifying the sender.
    Drop,
    /// Delivers the message after the normal delay and again after 40 times
    /// that delay.
    Duplicate,
    /// Delivers the message after this many milliseconds.
    Delay(u64),
}

/// The state of a simulated process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessState {
    /// The process handles events.
    Up,
    /// The process handles no events until it resumes.
    Suspended,
    /// The process has stopped or was killed.
    Down,
}

/// Chooses the transmission of a message from its envelope and the number of
/// events queued so far in the session.
type TransmissionRule = Box<dyn FnMut(&Envelope, u64) -> Transmission>;

enum Core {
    Agent(Box<Agent>, FakeMinion),
    Entry(Box<Entry>),
}

struct Process {
    name: String,
    addr: SocketAddr,
    core: Core,
    state: ProcessState,
    /// Events other than ticks that arrived while the process was suspended.
    missed_events: Vec<Event>,
}

#[derive(Clone, Debug)]
enum Event {
    Message(Envelope),
    PeerDown(SocketAddr),
    Undelivered(Message),
    TaskEnded(Credit, TaskResult),
    LogPage(LogPage),
    LogFailed,
    Tick,
}

/// Time of a delivery. Deliveries at the same time keep the order in which they
/// were queued.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Due {
    at_ms: u64,
    sequence: u64,
}

/// An event for one process.
#[derive(Debug)]
struct Delivery {
    to: NodeId,
    event: Event,
}

/// The reply to the request of one caller, if it has arrived, and the time at
/// which it did.
#[derive(Clone, Debug)]
pub struct Call {
    pub reply: Option<Reply>,
    pub replied_at_ms: u64,
}

/// The simulated processes, their network, the log and the callers.
pub struct Session {
    /// Current simulated time in milliseconds.
    pub now_ms: u64,
    pub log: FakeLog,
    pub calls: BTreeMap<CallerId, Call>,
    /// Counts of the events that the cores count, by the debug text of the
    /// counter.
    pub counters: BTreeMap<String, u64>,
    /// Number of messages sent, by kind.
    pub sent: BTreeMap<&'static str, u64>,
    /// Number of starts of each task, summed over all minions.
    pub starts: BTreeMap<TaskId, u32>,
    /// One line for each message other than control messages, and for each start
    /// and stop of a task, reply, log notice and stop of a process.
    transcript: Vec<String>,
    processes: BTreeMap<NodeId, Process>,
    events: BTreeMap<Due, Delivery>,
    sequence: u64,
    transmission_rule: TransmissionRule,
    /// Directed pairs of sender and receiver whose messages are dropped.
    cuts: Vec<(NodeId, NodeId)>,
    /// Number of the next restarted agent.
    next_node: u64,
    preference: Preference,
    /// Queue limit of the configured service in tasks. The limit of the team is
    /// three quarters of it.
    pub max_queued_tasks: u32,
}

impl Session {
    /// Creates a session with one configured service and lets the processes
    /// connect to each other. Entries are nodes 1 and up, agents are nodes 101
    /// and up.
    pub fn new(entries: u64, agents: u64) -> Self {
        Self::with_preference(entries, agents, Preference::ResponseTime)
    }

    /// Creates a session like [`Self::new`] whose service has this preference.
    pub fn with_preference(entries: u64, agents: u64, preference: Preference) -> Self {
        let mut session = Self::empty();
        session.preference = preference;
        for index in 0..agents {
            session.add_agent(101 + index);
        }
        for index in 0..entries {
            session.add_entry(1 + index);
        }
        session.run_for(2_000);
        session.configure();
        session.run_for(3_000);
        session.transcript.clear();
        session.sent.clear();
        session.counters.clear();
        session
    }

    /// Creates a session without processes.
    pub fn empty() -> Self {
        Self {
            now_ms: 1_000_000,
            log: FakeLog::default(),
            calls: BTreeMap::new(),
            counters: BTreeMap::new(),
            sent: BTreeMap::new(),
            starts: BTreeMap::new(),
            transcript: Vec::new(),
            processes: BTreeMap::new(),
            events: BTreeMap::new(),
            sequence: 0,
            transmission_rule: Box::new(|_, _| Transmission::Deliver),
            cuts: Vec::new(),
            next_node: 1_000,
            preference: Preference::ResponseTime,
            max_queued_tasks: 400,
        }
    }

    pub fn set_preference(&mut self, preference: Preference) {
        self.preference = preference;
    }

    /// Sets the rule for the transmission of each message from now on. Its
    /// second argument is the number of events queued so far in the session.
    pub fn set_transmission(
        &mut self,
        transmission_rule: impl FnMut(&Envelope, u64) -> Transmission + 'static,
    ) {
        self.transmission_rule = Box::new(transmission_rule);
    }

    pub fn add_agent(&mut self, number: u64) -> NodeId {
        self.add_agent_with(number, |_| {})
    }

    pub fn add_agent_with(
        &mut self,
        number: u64,
        adjust: impl FnOnce(&mut AgentSettings),
    ) -> NodeId {
        let node = NodeId(number);
        let mut settings = agent_settings(node);
        adjust(&mut settings);
        let addr = settings.member.addr;
        let mut agent = Agent::new(settings, self.now_ms);
        agent.add_contacts(self.addresses());
        let core = Core::Agent(Box::new(agent), FakeMinion::default());
        self.add(node, format!("agent-{number}"), addr, core);
        node
    }

    pub fn add_entry(&mut self, number: u64) -> NodeId {
        let node = NodeId(number);
        let addr = address(number);
        let settings = EntrySettings {
            node,
            addr,
            contacts: self.addresses(),
            max_waiting: 1_000,
            retention_ms: u64::from(KEPT_GENERATIONS + 2) * GENERATION_MS,
        };
        let core = Core::Entry(Box::new(Entry::new(settings, self.now_ms)));
        self.add(node, format!("entry-{number}"), addr, core);
        node
    }

    /// Starts a new incarnation of an agent at the address and in the
    /// availability zone of `old`; returns its node id.
    pub fn restart_agent(&mut self, old: NodeId) -> NodeId {
        let addr = self.processes[&old].addr;
        let zone = Name::from(ZONES[old.0 as usize % 3]);
        let number = self.next_node;
        self.next_node += 1;
        self.add_agent_with(number, |settings| {
            settings.member.addr = addr;
            settings.member.zone = zone;
        })
    }

    fn add(&mut self, node: NodeId, name: String, addr: SocketAddr, core: Core) {
        let process = Process {
            name,
            addr,
            core,
            state: ProcessState::Up,
            missed_events: Vec::new(),
        };
        self.processes.insert(node, process);
        self.push(node, 0, Event::Tick);
    }

    /// Returns the addresses of up to three running agents as contacts for a
    /// new process.
    fn addresses(&self) -> Vec<SocketAddr> {
        let agents = self.agents();
        agents
            .iter()
            .take(3)
            .map(|node| self.processes[node].addr)
            .collect()
    }

    /// Handles all events of the next `duration_ms` milliseconds.
    pub fn run_for(&mut self, duration_ms: u64) {
        let end_ms = self.now_ms + duration_ms;
        while let Some((due, _)) = self.events.first_key_value() {
            if due.at_ms > end_ms {
                break;
            }
            let (due, delivery) = self.events.pop_first().expect("the first event exists");
            self.now_ms = due.at_ms;
            self.deliver(delivery);
        }
        self.now_ms = end_ms;
    }

    /// Runs until `is_reached` returns true, for at most `limit_ms`
    /// milliseconds. Returns whether it did.
    pub fn run_until(&mut self, limit_ms: u64, is_reached: impl Fn(&Self) -> bool) -> bool {
        let end_ms = self.now_ms + limit_ms;
        while !is_reached(self) {
            if self.now_ms >= end_ms {
                return false;
            }
            self.run_for(TICK_MS);
        }
        true
    }

    fn deliver(&mut self, delivery: Delivery) {
        let now_ms = self.now_ms;
        let Some(process) = self.processes.get_mut(&delivery.to) else {
            return;
        };
        match process.state {
            ProcessState::Down => return,
            ProcessState::Suspended => {
                if !matches!(delivery.event, Event::Tick) {
                    process.missed_events.push(delivery.event);
                }
                return;
            }
            ProcessState::Up => {}
        }
        if matches!(delivery.event, Event::Tick) {
            self.push(delivery.to, TICK_MS, Event::Tick);
        }
        let process = self
            .processes
            .get_mut(&delivery.to)
            .expect("the process exists");
        let actions = match (&mut process.core, delivery.event) {
            (Core::Agent(agent, _), Event::Message(envelope)) => agent.message(now_ms, envelope),
            (Core::Agent(agent, _), Event::PeerDown(addr)) => agent.peer_down(now_ms, addr),
            (Core::Agent(agent, _), Event::Undelivered(m)) => agent.undelivered(now_ms, m),
            (Core::Agent(agent, minion), Event::TaskEnded(credit, result)) => {
                minion.remove_run(credit);
                agent.task_ended(now_ms, credit, result)
            }
            (Core::Agent(agent, _), Event::LogPage(page)) => agent.log_page(now_ms, page),
            (Core::Agent(agent, _), Event::Tick) => agent.tick(now_ms),
            (Core::Entry(entry), Event::Message(envelope)) => entry.message(now_ms, envelope),
            (Core::Entry(entry), Event::PeerDown(addr)) => entry.peer_down(now_ms, addr),
            (Core::Entry(entry), Event::LogPage(page)) => entry.log_page(now_ms, page),
            (Core::Entry(entry), Event::LogFailed) => entry.log_failed(),
            (Core::Entry(entry), Event::Tick) => entry.tick(now_ms),
            _ => Vec::new(),
        };
        self.perform(delivery.to, actions);
    }

    fn perform(&mut self, node: NodeId, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, message } => self.send(node, to, message),
                Action::Run(start) => {
                    *self.starts.entry(start.task_id).or_default() += 1;
                    self.record_line(node, format!("runs {}", self.describe_task(start.task_id)));
                    if let Some(Core::Agent(_, minion)) = self.core_mut(node) {
                        let run = minion.run(&start);
                        self.push(node, run.run_ms, Event::TaskEnded(start.credit, run.result));
                    }
                }
                Action::StopTask(task_id) => self.stop_task(node, task_id),
                Action::Reply { caller, reply } => {
                    self.record_line(node, format!("replies {}", describe_reply(&reply)));
                    let call = self
                        .calls
                        .get_mut(&caller)
                        .expect("the reply is for a known caller");
                    assert!(call.reply.is_none(), "a caller got two replies");
                    call.reply = Some(reply);
                    call.replied_at_ms = self.now_ms;
                }
                Action::Append(record) => {
                    let appended = self.log.append(record);
                    if appended.is_none() {
                        self.push(node, DELAY_MS, Event::LogFailed);
                    }
                }
                Action::ReadLog { from_offset } => match self.log.read_delay_ms() {
                    Some(delay_ms) => {
                        // The page has the contents of the log at the time of
                        // the request.
                        let page = self.log.page(from_offset);
                        self.push(node, delay_ms, Event::LogPage(page));
                    }
                    None => self.push(node, DELAY_MS, Event::LogFailed),
                },
                Action::Count(counter) => self.count(counter),
                Action::Log(notice) => {
                    self.record_line(node, format!("{} {}", notice.event, notice.subject));
                }
                Action::Stop => {
                    self.record_line(node, "stops");
                    self.kill(node);
                }
            }
        }
    }

    fn send(&mut self, from: NodeId, to: Peer, message: Message) {
        let kind = message.name();
        *self.sent.entry(kind).or_default() += 1;
        let from_addr = self.processes[&from].addr;
        // A restarted process has the address of the earlier one. A process
        // that is not down receives the message, the newest one, which has the
        // highest id, if there are several.
        let receiver = self
            .processes
            .iter()
            .filter(|(_, process)| process.addr == to.addr)
            .max_by_key(|(node, process)| (process.state != ProcessState::Down, node.0));
        let Some((receiver, state)) = receiver.map(|(node, p)| (*node, p.state)) else {
            return;
        };
        let is_control = message.is_control();
        if !is_control {
            let text = format!("{kind} to {}", self.processes[&receiver].name);
            self.record_line(from, text);
        }
        if self.cuts.contains(&(from, receiver)) {
            return;
        }
        if state == ProcessState::Down {
            if !is_control {
                self.push(from, DELAY_MS, Event::Undelivered(message));
                self.push(from, DELAY_MS, Event::PeerDown(to.addr));
            }
            return;
        }
        let envelope = Envelope {
            from,
            from_addr,
            to: to.node,
            message,
        };
        let transmission = (self.transmission_rule)(&envelope, self.sequence);
        match transmission {
            Transmission::Deliver => self.push(receiver, DELAY_MS, Event::Message(envelope)),
            Transmission::Drop => {}
            Transmission::Duplicate => {
                self.push(receiver, DELAY_MS, Event::Message(envelope.clone()));
                self.push(receiver, 40 * DELAY_MS, Event::Message(envelope));
            }
            Transmission::Delay(by_ms) => self.push(receiver, by_ms, Event::Message(envelope)),
        }
    }

    fn push(&mut self, to: NodeId, after_ms: u64, event: Event) {
        self.sequence += 1;
        let due = Due {
            at_ms: self.now_ms + after_ms,
            sequence: self.sequence,
        };
        self.events.insert(due, Delivery { to, event });
    }

    fn count(&mut self, counter: Counter) {
        *self.counters.entry(format!("{counter:?}")).or_default() += 1;
    }

    fn stop_task(&mut self, node: NodeId, task_id: TaskId) {
        self.record_line(node, format!("stops {}", self.describe_task(task_id)));
        let Some(Core::Agent(_, minion)) = self.core_mut(node) else {
            return;
        };
        if let Some(credit) = minion.credit_of(task_id) {
            let result = TaskResult::Failed(Name::from("stopped"));
            self.push(node, DELAY_MS, Event::TaskEnded(credit, result));
        }
    }

    // Faults.

    /// Stops a process without notice. All other processes are notified of the
    /// broken connection after the network delay.
    pub fn kill(&mut self, node: NodeId) {
        let addr = self.processes[&node].addr;
        self.set_state(node, ProcessState::Down);
        let others: Vec<NodeId> = self
            .processes
            .keys()
            .copied()
            .filter(|n| *n != node)
            .collect();
        for other in others {
            self.push(other, DELAY_MS, Event::PeerDown(addr));
        }
    }

    /// Suspends a process, which handles no events until it resumes.
    pub fn suspend(&mut self, node: NodeId) {
        self.set_state(node, ProcessState::Suspended);
    }

    /// Resumes a suspended process, which handles the events that arrived
    /// during its suspension.
    pub fn resume(&mut self, node: NodeId) {
        self.set_state(node, ProcessState::Up);
        let missed_events = std::mem::take(&mut self.process_mut(node).missed_events);
        self.push(node, 0, Event::Tick);
        for event in missed_events {
            self.push(node, 0, event);
        }
    }

    pub fn resume_if_suspended(&mut self, node: NodeId) {
        if self.processes[&node].state == ProcessState::Suspended {
            self.resume(node);
        }
    }

    /// Drops all messages from `from` to `to` without notifying either process.
    pub fn cut(&mut self, from: NodeId, to: NodeId) {
        self.cuts.push((from, to));
    }

    /// Drops all messages between two processes in both directions.
    pub fn cut_both(&mut self, a: NodeId, b: NodeId) {
        self.cut(a, b);
        self.cut(b, a);
    }

    /// Removes all cuts.
    pub fn heal(&mut self) {
        self.cuts.clear();
    }

    /// Starts the planned stop of an agent.
    pub fn leave(&mut self, node: NodeId) {
        let now_ms = self.now_ms;
        if let Some(Core::Agent(agent, _)) = self.core_mut(node) {
            let actions = agent.leave(now_ms);
            self.perform(node, actions);
        }
    }

    // Callers.

    /// Sends a command to an entry for a new caller.
    pub fn command(&mut self, entry: NodeId, command: Command) -> CallerId {
        let caller = CallerId(self.calls.len() as u64);
        self.calls.insert(
            caller,
            Call {
                reply: None,
                replied_at_ms: 0,
            },
        );
        let now_ms = self.now_ms;
        let Some(Core::Entry(core)) = self.core_mut(entry) else {
            panic!("{entry} is not an entry");
        };
        let actions = core.command(now_ms, caller, command);
        self.perform(entry, actions);
        caller
    }

    pub fn take_id(&mut self, entry: NodeId) -> SubmissionId {
        self.take_ids(entry, 1)[0]
    }

    pub fn take_ids(&mut self, entry: NodeId, count: usize) -> Vec<SubmissionId> {
        let command = Command::TakeIds {
            service: Name::from(SERVICE),
            count,
        };
        let caller = self.command(entry, command);
        match self.calls[&caller].reply.clone() {
            Some(Reply::Ids(ids)) => ids,
            other => panic!("expected ids, got {other:?}"),
        }
    }

    /// Returns an id that names `home`.
    pub fn take_id_with_home(&mut self, entry: NodeId, home: NodeId) -> SubmissionId {
        let ids = self.take_ids(entry, 100);
        ids.into_iter()
            .find(|id| id.home == home)
            .expect("one of 100 ids names the home")
    }

    /// Submits with a deadline of 10 s.
    pub fn submit(&mut self, entry: NodeId, id: SubmissionId, submission: &Submission) -> CallerId {
        self.submit_within(entry, id, submission, 10_000)
    }

    /// Submits with a deadline `deadline_ms` milliseconds from now.
    pub fn submit_within(
        &mut self,
        entry: NodeId,
        id: SubmissionId,
        submission: &Submission,
        deadline_ms: u64,
    ) -> CallerId {
        let submission = Arc::new(submission.clone());
        self.command(
            entry,
            Command::Submit {
                id,
                submission,
                deadline_ms,
            },
        )
    }

    /// Returns the answer that the caller got, if any.
    pub fn answer(&self, caller: CallerId) -> Option<Arc<Answer>> {
        match &self.calls[&caller].reply {
            Some(Reply::Answer(answer)) => Some(Arc::clone(answer)),
            _ => None,
        }
    }

    /// Runs until the caller has its answer, for at most 60 s, and returns the
    /// answer.
    pub fn await_answer(&mut self, caller: CallerId) -> Arc<Answer> {
        let is_answered = self.run_until(60_000, |session| session.answer(caller).is_some());
        assert!(is_answered, "no answer within a minute");
        self.answer(caller).expect("the answer has arrived")
    }

    // Operators.

    /// Confirms the first change, which creates the service and the team, and
    /// waits for the reply.
    pub fn configure(&mut self) {
        let service = ServiceConfig {
            preference: self.preference,
            max_tasks_per_job: 260,
            max_queued_tasks: self.max_queued_tasks,
            max_homes: 3,
        };
        let team = TeamConfig {
            weight: 1,
            max_queued_tasks: self.max_queued_tasks * 3 / 4,
            max_running_tasks: 1_000,
        };
        let operations = vec![
            Operation::PutService {
                name: Name::from(SERVICE),
                service,
            },
            Operation::PutTeam {
                name: Name::from(TEAM),
                team,
            },
        ];
        let change = Change {
            change_id: Name::from("first"),
            base_version: 0,
            operations,
        };
        let caller = self.command(NodeId(1), Command::Confirm { change });
        let is_replied = self.run_until(5_000, |s| s.calls[&caller].reply.is_some());
        assert!(is_replied, "the first change was not confirmed");
    }

    /// Confirms a change of the team's weight without waiting for the reply.
    pub fn confirm(
        &mut self,
        entry: NodeId,
        change_id: &str,
        base_version: u64,
        weight: u16,
    ) -> CallerId {
        let team = TeamConfig {
            weight,
            max_queued_tasks: 300,
            max_running_tasks: 1_000,
        };
        let operations = vec![Operation::PutTeam {
            name: Name::from(TEAM),
            team,
        }];
        let change = Change {
            change_id: Name::from(change_id),
            base_version,
            operations,
        };
        self.command(entry, Command::Confirm { change })
    }

    // Observations and checks.

    pub fn agent(&self, node: NodeId) -> &Agent {
        match &self.processes[&node].core {
            Core::Agent(agent, _) => agent,
            Core::Entry(_) => panic!("{node} is not an agent"),
        }
    }

    pub fn entry(&self, node: NodeId) -> &Entry {
        match &self.processes[&node].core {
            Core::Entry(entry) => entry,
            Core::Agent(..) => panic!("{node} is not an entry"),
        }
    }

    pub fn minion_mut(&mut self, node: NodeId) -> &mut FakeMinion {
        match self.core_mut(node) {
            Some(Core::Agent(_, minion)) => minion,
            _ => panic!("{node} is not an agent"),
        }
    }

    /// Returns the configuration version of each process that is up.
    pub fn versions(&self) -> Vec<u64> {
        let running = self
            .processes
            .values()
            .filter(|process| process.state == ProcessState::Up);
        let version = |process: &Process| match &process.core {
            Core::Agent(agent, _) => agent.configuration().current().version,
            Core::Entry(entry) => entry.configuration().current().version,
        };
        running.map(version).collect()
    }

    /// Returns the agents that are up.
    pub fn agents(&self) -> Vec<NodeId> {
        let is_agent = |process: &Process| matches!(process.core, Core::Agent(..));
        let up = self
            .processes
            .iter()
            .filter(|(_, p)| p.state == ProcessState::Up && is_agent(p));
        up.map(|(node, _)| *node).collect()
    }

    /// Returns the homes of the service in the view of an entry.
    pub fn homes(&self, entry: NodeId) -> Vec<NodeId> {
        let homes = match self.preference {
            Preference::ResponseTime => 3,
            Preference::Messages => 1,
        };
        self.entry(entry).view().homes(SERVICE, homes)
    }

    /// Returns the state of `node` in the view of the process `seen_by`.
    pub fn state_of(&self, seen_by: NodeId, node: NodeId) -> Option<MemberState> {
        match &self.processes[&seen_by].core {
            Core::Agent(agent, _) => agent.view().state(node),
            Core::Entry(entry) => entry.view().state(node),
        }
    }

    /// Returns the number of messages of a kind that were sent.
    pub fn sent(&self, kind: &str) -> u64 {
        self.sent.get(kind).copied().unwrap_or(0)
    }

    /// Returns the count of the counter with this debug text.
    pub fn counter(&self, name: &str) -> u64 {
        self.counters.get(name).copied().unwrap_or(0)
    }

    /// Returns the number of starts of a submission's tasks, over all attempts.
    pub fn starts_of(&self, id: SubmissionId) -> u32 {
        self.starts
            .iter()
            .filter(|(task, _)| task.submission == id)
            .map(|(_, n)| n)
            .sum()
    }

    /// Returns the transcript, which leaves out control messages: those of the
    /// failure detector and those that spread membership.
    pub fn transcript(&self) -> String {
        self.transcript.join("\n")
    }

    pub fn clear_transcript(&mut self) {
        self.transcript.clear();
    }

    /// Checks that an answer is consistent with the submission and with the
    /// starts of its tasks: a complete answer has the output of each task, an
    /// answer that says that nothing ran has no starts, and no task of a
    /// submission that is not repeatable was started more than once.
    pub fn check_answer(&self, id: SubmissionId, submission: &Submission, answer: &Answer) {
        self.check_starts(id, submission);
        match (answer.outcome, answer.ran) {
            (Outcome::Complete, _) => {
                assert_eq!(
                    answer.tasks.len(),
                    submission.tasks.len(),
                    "a complete answer has one result for each task"
                );
                for (index, task) in (0..).zip(&answer.tasks) {
                    assert_eq!(
                        *task.output,
                        *format!("done {id}/{index}"),
                        "the output belongs to another task"
                    );
                }
            }
            (Outcome::Failed, Ran::NotRun) => {
                assert_eq!(
                    self.starts_of(id),
                    0,
                    "the answer says that nothing ran, but tasks were started: {answer:?}"
                );
            }
            (Outcome::Failed, _) => {}
        }
    }

    /// Checks that each task of a submission that is not repeatable was started
    /// at most once.
    pub fn check_starts(&self, id: SubmissionId, submission: &Submission) {
        if submission.repeatable {
            return;
        }
        for index in 0..submission.tasks.len() as u16 {
            let tasks = self
                .starts
                .iter()
                .filter(|(t, _)| t.submission == id && t.index == index);
            let starts: u32 = tasks.map(|(_, starts)| starts).sum();
            assert!(
                starts <= 1,
                "task {index} of {id} was started {starts} times"
            );
        }
    }

    fn set_state(&mut self, node: NodeId, state: ProcessState) {
        self.process_mut(node).state = state;
    }

    fn process_mut(&mut self, node: NodeId) -> &mut Process {
        self.processes.get_mut(&node).expect("the process exists")
    }

    fn core_mut(&mut self, node: NodeId) -> Option<&mut Core> {
        self.processes
            .get_mut(&node)
            .map(|process| &mut process.core)
    }

    /// Adds a line with the time and the name of the process to the transcript.
    fn record_line(&mut self, node: NodeId, text: impl std::fmt::Display) {
        let name = self.processes[&node].name.clone();
        let since_ms = self.now_ms - 1_000_000;
        self.transcript.push(format!("{since_ms:>6} {name} {text}"));
    }

    fn describe_task(&self, task_id: TaskId) -> String {
        format!(
            "task {} of a submission of agent-{}",
            task_id.index, task_id.submission.home.0
        )
    }
}

/// Returns a job of one task for each run time in milliseconds. The job is not
/// repeatable.
pub fn job(run_ms: &[u32]) -> Submission {
    Submission {
        service: Name::from(SERVICE),
        team: Name::from(TEAM),
        repeatable: false,
        tasks: run_ms.iter().map(|run_ms| task(*run_ms)).collect(),
    }
}

/// Returns a submission of one task with this run time in milliseconds.
pub fn request(run_ms: u32, repeatable: bool) -> Submission {
    Submission {
        repeatable,
        ..job(&[run_ms])
    }
}

/// Returns a task that declares its run time in milliseconds.
pub fn task(run_ms: u32) -> Task {
    Task {
        kind: Name::from("label"),
        payload: Name::from(format!("run_ms={run_ms}")),
        declared_ms: Some(run_ms),
        needs: Needs::default(),
    }
}

pub fn membership_settings() -> MembershipSettings {
    MembershipSettings {
        period_ms: 500,
        ack_timeout_ms: 150,
        suspicion_ms: 1_200,
        retention_ms: u64::from(KEPT_GENERATIONS + 2) * GENERATION_MS,
    }
}

/// Returns the address of the process with this number, which is its port.
pub fn address(number: u64) -> SocketAddr {
    SocketAddr::new(
        Ipv4Addr::new(10, 0, 0, 1).into(),
        u16::try_from(number).expect("the number fits a port"),
    )
}

fn agent_settings(node: NodeId) -> AgentSettings {
    let member = Member {
        node,
        addr: address(node.0),
        zone: Name::from(ZONES[node.0 as usize % 3]),
        service: Name::from(SERVICE),
        slots: 4,
        capacity: Needs {
            memory_mb: 4_096,
            accelerators: 0,
        },
        version: 0,
        state: MemberState::Alive,
        uptime_ms: 0,
    };
    AgentSettings {
        member,
        membership: membership_settings(),
        table: TableSettings {
            kept_generations: KEPT_GENERATIONS,
            max_answer_bytes: 1 << 20,
        },
        log_retention_ms: 3_600_000,
        leave_notice_ms: 2_000,
    }
}

/// Returns the line of the transcript for a reply.
fn describe_reply(reply: &Reply) -> String {
    match reply {
        Reply::Answer(answer) => {
            let tasks: Vec<String> = answer
                .tasks
                .iter()
                .map(|task| format!("{:?}", task.status))
                .collect();
            format!(
                "{:?} {:?} {:?} [{}]",
                answer.outcome,
                answer.ran,
                answer.reason,
                tasks.join(" ")
            )
        }
        Reply::Ids(ids) => format!("{} ids", ids.len()),
        Reply::Plan(Ok(plan)) => format!("plan on version {}", plan.change.base_version),
        Reply::Plan(Err(error)) => format!("no plan: {error}"),
        Reply::ChangeAccepted { version } => format!("accepted, version {version}"),
        Reply::Configuration(snapshot) => format!("version {}", snapshot.configuration.version),
        Reply::Members(members) => format!("{} members", members.len()),
    }
}
