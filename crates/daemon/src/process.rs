//! The event loop of a process: one thread feeds the core and carries out
//! what it decides.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crossbeam::channel::Receiver;
use crossbeam::channel::RecvTimeoutError;
use crossbeam::channel::Sender;
use crossbeam::channel::unbounded;
use gannetvane_core::Action;
use gannetvane_core::Agent;
use gannetvane_core::AgentSettings;
use gannetvane_core::CallerId;
use gannetvane_core::Command;
use gannetvane_core::Entry;
use gannetvane_core::EntrySettings;
use gannetvane_core::GENERATION_MS;
use gannetvane_core::MembershipSettings;
use gannetvane_core::Peer;
use gannetvane_core::Reply;
use gannetvane_core::TableSettings;
use gannetvane_wire::Credit;
use gannetvane_wire::Envelope;
use gannetvane_wire::Member;
use gannetvane_wire::MemberState;
use gannetvane_wire::Message;
use gannetvane_wire::Name;
use gannetvane_wire::Needs;
use gannetvane_wire::NodeId;
use gannetvane_wire::TaskId;
use gannetvane_wire::TaskResult;
use gannetvane_wire::TaskStart;
use oxhttp::model::Body;
use oxhttp::model::Response;
use slog::Logger;
use slog::debug;
use slog::info;
use slog::warn;
use thiserror::Error;

use crate::clock::Clock;
use crate::clock::SystemClock;
use crate::http::HttpCall;
use crate::http::HttpLimits;
use crate::http::HttpServer;
use crate::metrics::Metrics;
use crate::metrics::Sizes;
use crate::minion::HttpMinion;
use crate::minion::MinionWorkers;
use crate::net::Identity;
use crate::net::Network;
use crate::net::Transport;
use crate::platform::HttpLog;
use crate::platform::LogCall;
use crate::platform::LogReply;
use crate::platform::LogWorker;
use crate::problem::rejection;
use crate::problem::text_response;
use crate::routes::Routes;
use crate::routes::readiness;
use crate::settings::Settings;
use crate::settings::SettingsError;

/// Interval between ticks of the core.
const TICK: Duration = Duration::from_millis(10);
/// Interval between records of the sizes, in milliseconds.
const SIZES_MS: u64 = 1_000;
/// Interval between looks for first contacts while no agent is known.
const CONTACTS_MS: u64 = 2_000;
/// An agent announces itself again after this share of the log's retention.
const ANNOUNCEMENTS_PER_RETENTION: u64 = 3;
/// Interval between announcements that may have been lost, in milliseconds.
const FIRST_ANNOUNCEMENTS_MS: u64 = 30_000;
/// Number of such announcements.
const FIRST_ANNOUNCEMENTS: u32 = 2;

/// A process that could not start.
#[derive(Debug, Error)]
pub enum ProcessError {
    /// The settings do not suit the role.
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
    /// An address cannot be bound, or a thread cannot start.
    #[error("{what}: {source}")]
    Start {
        /// What was to start.
        what: String,
        /// Why it did not.
        source: std::io::Error,
    },
}

/// What reaches the event loop.
#[derive(Debug)]
pub(crate) enum Input {
    /// A message from another process.
    Message(Envelope),
    /// A connection broke.
    PeerDown(SocketAddr),
    /// A message never left this process.
    Undelivered(Message),
    /// A caller or operator asks.
    Asked(Asked),
    /// The minion ended a task.
    TaskEnded {
        /// The credit of its start.
        credit: Credit,
        /// How it ended.
        result: TaskResult,
    },
    /// The platform's log answered.
    Log(LogReply),
    /// Something failed that only a log line can tell.
    Failed(String),
}

/// A command and where its reply goes.
#[derive(Debug)]
pub(crate) struct Asked {
    pub(crate) command: Command,
    pub(crate) reply_to: Sender<Reply>,
}

/// The core of a process, whatever its role.
trait Core {
    fn input(&mut self, now_ms: u64, input: CoreInput) -> Vec<Action>;
    fn tick(&mut self, now_ms: u64) -> Vec<Action>;
    fn add_contacts(&mut self, contacts: Vec<SocketAddr>);
    fn begin_stop(&mut self, now_ms: u64) -> Vec<Action>;
    fn is_ready(&self) -> bool;
    /// Whether a stop that was asked for may end the process now.
    fn may_stop(&self, now_ms: u64, http: &HttpServer) -> bool;
    /// Whether no other agent is known.
    fn is_alone(&self) -> bool;
    fn sizes(&self) -> Sizes;
}

/// What a core handles, without the means of the process.
enum CoreInput {
    Message(Envelope),
    PeerDown(SocketAddr),
    Undelivered(Message),
    Command(CallerId, Command),
    TaskEnded(Credit, TaskResult),
    LogPage(gannetvane_core::LogPage),
    LogFailed,
}

struct AgentCore {
    agent: Agent,
}

struct EntryCore {
    entry: Entry,
    stop_notice_ms: u64,
    stopping_since_ms: Option<u64>,
}

impl Core for AgentCore {
    fn input(&mut self, now_ms: u64, input: CoreInput) -> Vec<Action> {
        match input {
            CoreInput::Message(envelope) => self.agent.message(now_ms, envelope),
            CoreInput::PeerDown(addr) => self.agent.peer_down(now_ms, addr),
            CoreInput::Undelivered(message) => self.agent.undelivered(now_ms, message),
            CoreInput::TaskEnded(credit, result) => self.agent.task_ended(now_ms, credit, result),
            CoreInput::LogPage(page) => self.agent.log_page(now_ms, page),
            CoreInput::Command(..) | CoreInput::LogFailed => Vec::new(),
        }
    }

    fn tick(&mut self, now_ms: u64) -> Vec<Action> {
        self.agent.tick(now_ms)
    }

    fn add_contacts(&mut self, contacts: Vec<SocketAddr>) {
        self.agent.add_contacts(contacts);
    }

    fn begin_stop(&mut self, now_ms: u64) -> Vec<Action> {
        self.agent.leave(now_ms)
    }

    fn is_ready(&self) -> bool {
        !self.agent.is_leaving()
    }

    fn may_stop(&self, _now_ms: u64, _http: &HttpServer) -> bool {
        // The core says when its table has moved.
        false
    }

    fn is_alone(&self) -> bool {
        self.agent.view().len() <= 1
    }

    fn sizes(&self) -> Sizes {
        Sizes {
            waiting: self.agent.open_submissions(),
            retained: self.agent.retained_submissions(),
            members: self.agent.view().len(),
            configuration_version: self.agent.configuration().current().version,
        }
    }
}

impl Core for EntryCore {
    fn input(&mut self, now_ms: u64, input: CoreInput) -> Vec<Action> {
        match input {
            CoreInput::Message(envelope) => self.entry.message(now_ms, envelope),
            CoreInput::PeerDown(addr) => self.entry.peer_down(now_ms, addr),
            CoreInput::Command(caller, command) => self.entry.command(now_ms, caller, command),
            CoreInput::LogPage(page) => self.entry.log_page(now_ms, page),
            CoreInput::LogFailed => self.entry.log_failed(),
            CoreInput::Undelivered(_) | CoreInput::TaskEnded(..) => Vec::new(),
        }
    }

    fn tick(&mut self, now_ms: u64) -> Vec<Action> {
        self.entry.tick(now_ms)
    }

    fn add_contacts(&mut self, contacts: Vec<SocketAddr>) {
        self.entry.add_contacts(contacts);
    }

    fn begin_stop(&mut self, now_ms: u64) -> Vec<Action> {
        self.stopping_since_ms.get_or_insert(now_ms);
        Vec::new()
    }

    fn is_ready(&self) -> bool {
        self.entry.is_ready() && self.stopping_since_ms.is_none()
    }

    fn may_stop(&self, now_ms: u64, http: &HttpServer) -> bool {
        let is_noticed = self
            .stopping_since_ms
            .is_some_and(|since_ms| now_ms.saturating_sub(since_ms) >= self.stop_notice_ms);
        is_noticed && self.entry.waiting() == 0 && http.active() == 0
    }

    fn is_alone(&self) -> bool {
        self.entry.view().is_empty()
    }

    fn sizes(&self) -> Sizes {
        Sizes {
            waiting: self.entry.waiting(),
            retained: 0,
            members: self.entry.view().len(),
            configuration_version: self.entry.configuration().current().version,
        }
    }
}

/// Runs an entry until it is told to stop.
///
/// # Errors
///
/// [`ProcessError`] when it cannot start.
pub fn run_entry(
    settings: &Settings,
    log: &Logger,
    stop: Arc<AtomicBool>,
) -> Result<(), ProcessError> {
    let node = NodeId(rand::random());
    let (inputs, queue) = unbounded();
    let parts = Parts::start(settings, node, inputs.clone())?;
    let entry_settings = EntrySettings {
        node,
        addr: settings.node.address,
        contacts: settings.contact.addresses.clone(),
        max_waiting: settings.http.max_requests,
        retention_ms: retention_ms(settings),
    };
    let now_ms = parts.clock.now_ms();
    let routes = Routes {
        inputs,
        metrics: Arc::clone(&parts.metrics),
        is_ready: Arc::clone(&parts.is_ready),
        max_deadline_ms: settings.entry.max_deadline_ms,
    };
    let http = start_http(settings, Box::new(move |call| routes.handle(call)))?;
    let core = EntryCore {
        entry: Entry::new(entry_settings, now_ms),
        stop_notice_ms: settings.entry.stop_notice_ms,
        stopping_since_ms: None,
    };
    info!(log, "started"; "address" => %settings.node.address, "http" => %settings.http.address);
    Loop::new(Box::new(core), parts, http, log.clone(), stop).run(&queue);
    info!(log, "stopped");
    Ok(())
}

/// Runs an agent until it is told to stop.
///
/// # Errors
///
/// [`ProcessError`] when it cannot start.
pub fn run_agent(
    settings: &Settings,
    log: &Logger,
    stop: Arc<AtomicBool>,
) -> Result<(), ProcessError> {
    let section = settings.agent()?;
    let node = NodeId(rand::random());
    let (inputs, queue) = unbounded();
    let mut parts = Parts::start(settings, node, inputs.clone())?;
    let task_timeout = Duration::from_millis(section.task_timeout_ms);
    let minion = Arc::new(HttpMinion::new(
        &section.minion_url,
        task_timeout,
        log.clone(),
    ));
    let workers = MinionWorkers::start(minion, section.slots, &inputs);
    parts.minion = Some(workers.map_err(|source| start_error("slot threads", source))?);
    parts.announces = true;
    let now_ms = parts.clock.now_ms();
    let mut agent = Agent::new(agent_settings(settings, node)?, now_ms);
    agent.add_contacts(settings.contact.addresses.iter().copied());
    let metrics = Arc::clone(&parts.metrics);
    let is_ready = Arc::clone(&parts.is_ready);
    let http = start_http(
        settings,
        Box::new(move |call| observe(call, &metrics, &is_ready)),
    )?;
    info!(log, "started"; "address" => %settings.node.address, "service" => &section.service);
    Loop::new(
        Box::new(AgentCore { agent }),
        parts,
        http,
        log.clone(),
        stop,
    )
    .run(&queue);
    info!(log, "stopped");
    Ok(())
}

fn agent_settings(settings: &Settings, node: NodeId) -> Result<AgentSettings, SettingsError> {
    let section = settings.agent()?;
    let member = Member {
        node,
        addr: settings.node.address,
        zone: Name::from(settings.node.zone.as_str()),
        service: Name::from(section.service.as_str()),
        slots: section.slots,
        capacity: Needs {
            memory_mb: section.memory_mb,
            accelerators: section.accelerators,
        },
        version: 0,
        state: MemberState::Alive,
        uptime_ms: 0,
    };
    let membership = MembershipSettings {
        period_ms: settings.membership.period_ms,
        ack_timeout_ms: settings.membership.ack_timeout_ms,
        suspicion_ms: settings.membership.suspicion_ms,
        retention_ms: retention_ms(settings),
    };
    let table = TableSettings {
        kept_generations: kept_generations(settings),
        max_answer_bytes: settings.answers.max_bytes,
    };
    Ok(AgentSettings {
        member,
        membership,
        table,
        log_retention_ms: settings.log.retention_ms,
        leave_notice_ms: section.leave_notice_ms,
    })
}

fn kept_generations(settings: &Settings) -> u32 {
    let retention_ms = u64::from(settings.answers.retention_min) * 60_000;
    u32::try_from(retention_ms / GENERATION_MS + 1).unwrap_or(u32::MAX)
}

/// Members are remembered for longer than any id that names them is held.
fn retention_ms(settings: &Settings) -> u64 {
    (u64::from(kept_generations(settings)) + 2) * GENERATION_MS
}

fn start_http(
    settings: &Settings,
    handler: Box<crate::http::Handler>,
) -> Result<HttpServer, ProcessError> {
    let limits = HttpLimits {
        max_requests: settings.http.max_requests,
        max_body_bytes: settings.http.max_body_bytes,
        io_timeout: Duration::from_millis(settings.http.io_timeout_ms),
    };
    let addr = settings.http.address;
    HttpServer::start(addr, limits, handler).map_err(|e| start_error(&format!("http {addr}"), e))
}

/// The HTTP interface of an agent.
fn observe(call: &HttpCall, metrics: &Metrics, is_ready: &AtomicBool) -> Response<Body> {
    match (call.method.as_str(), call.path.as_str()) {
        ("GET", "/healthz") => text_response(200, "ok\n"),
        ("GET", "/readyz") => readiness(is_ready),
        ("GET", "/metrics") => text_response(200, &metrics.text()),
        _ => rejection(
            gannetvane_wire::Reason::NoSuchPath,
            format!("{} {}", call.method, call.path),
        ),
    }
}

fn start_error(what: &str, source: std::io::Error) -> ProcessError {
    ProcessError::Start {
        what: what.to_owned(),
        source,
    }
}

/// The means of a process.
struct Parts {
    addr: SocketAddr,
    clock: Arc<dyn Clock>,
    metrics: Arc<Metrics>,
    transport: Box<dyn Transport>,
    log: LogWorker,
    log_retention_ms: u64,
    minion: Option<MinionWorkers>,
    announces: bool,
    is_ready: Arc<AtomicBool>,
}

impl Parts {
    fn start(
        settings: &Settings,
        node: NodeId,
        inputs: Sender<Input>,
    ) -> Result<Self, ProcessError> {
        let clock: Arc<dyn Clock> = Arc::new(SystemClock::default());
        let metrics = Arc::new(Metrics::new());
        let addr = settings.node.address;
        let me = Identity { node, addr };
        let network = Network::start(me, inputs.clone(), Arc::clone(&metrics), Arc::clone(&clock))
            .map_err(|source| start_error(&format!("address {addr}"), source))?;
        let timeout = Duration::from_millis(settings.log.timeout_ms);
        let balancer_url = settings.contact.balancer_url.as_deref();
        let client = HttpLog::new(&settings.log.url, balancer_url, timeout);
        let log = LogWorker::start(Box::new(client), inputs)
            .map_err(|source| start_error("log thread", source))?;
        Ok(Self {
            addr,
            clock,
            metrics,
            transport: Box::new(network),
            log,
            log_retention_ms: settings.log.retention_ms,
            minion: None,
            announces: false,
            is_ready: Arc::new(AtomicBool::new(false)),
        })
    }
}

struct Loop {
    core: Box<dyn Core>,
    parts: Parts,
    http: HttpServer,
    log: Logger,
    stop: Arc<AtomicBool>,
    is_stopping: bool,
    is_over: bool,
    callers: BTreeMap<CallerId, Sender<Reply>>,
    next_caller: u64,
    next_sizes_ms: u64,
    next_contacts_ms: u64,
    next_announcement_ms: u64,
    announcements: u32,
}

impl Loop {
    fn new(
        core: Box<dyn Core>,
        parts: Parts,
        http: HttpServer,
        log: Logger,
        stop: Arc<AtomicBool>,
    ) -> Self {
        let now_ms = parts.clock.now_ms();
        Self {
            core,
            parts,
            http,
            log,
            stop,
            is_stopping: false,
            is_over: false,
            callers: BTreeMap::new(),
            next_caller: 0,
            next_sizes_ms: now_ms,
            next_contacts_ms: now_ms,
            next_announcement_ms: now_ms,
            announcements: 0,
        }
    }

    fn run(mut self, queue: &Receiver<Input>) {
        let mut next_tick = std::time::Instant::now();
        while !self.is_over {
            match queue.recv_deadline(next_tick) {
                Ok(input) => self.handle(input),
                Err(RecvTimeoutError::Timeout) => {
                    next_tick = std::time::Instant::now() + TICK;
                    self.tick();
                }
                Err(RecvTimeoutError::Disconnected) => return,
            }
        }
    }

    fn handle(&mut self, input: Input) {
        let input = match input {
            Input::Message(envelope) => CoreInput::Message(envelope),
            Input::PeerDown(addr) => CoreInput::PeerDown(addr),
            Input::Undelivered(message) => CoreInput::Undelivered(message),
            Input::TaskEnded { credit, result } => CoreInput::TaskEnded(credit, result),
            Input::Asked(asked) => {
                let caller = CallerId(self.next_caller);
                self.next_caller += 1;
                self.callers.insert(caller, asked.reply_to);
                CoreInput::Command(caller, asked.command)
            }
            Input::Log(LogReply::Page(page)) => CoreInput::LogPage(page),
            Input::Log(LogReply::Contacts(contacts)) => return self.core.add_contacts(contacts),
            Input::Log(LogReply::Failed(error)) => {
                warn!(self.log, "log-call-failed"; "error" => %error);
                CoreInput::LogFailed
            }
            Input::Failed(error) => {
                warn!(self.log, "network-error"; "error" => error);
                return;
            }
        };
        let now_ms = self.parts.clock.now_ms();
        let actions = self.core.input(now_ms, input);
        self.carry_out(actions);
    }

    fn tick(&mut self) {
        let now_ms = self.parts.clock.now_ms();
        if self.stop.load(Ordering::SeqCst) && !self.is_stopping {
            self.is_stopping = true;
            info!(self.log, "stop-requested");
            let actions = self.core.begin_stop(now_ms);
            self.carry_out(actions);
        }
        let actions = self.core.tick(now_ms);
        self.carry_out(actions);
        self.parts
            .is_ready
            .store(self.core.is_ready(), Ordering::SeqCst);
        self.is_over |= self.core.may_stop(now_ms, &self.http);
        if now_ms >= self.next_sizes_ms {
            self.next_sizes_ms = now_ms + SIZES_MS;
            self.parts.metrics.sizes(self.core.sizes());
        }
        if self.core.is_alone() && now_ms >= self.next_contacts_ms {
            self.next_contacts_ms = now_ms + CONTACTS_MS;
            self.parts.log.call(LogCall::FindContacts);
        }
        if self.parts.announces && now_ms >= self.next_announcement_ms {
            self.announce(now_ms);
        }
    }

    fn announce(&mut self, now_ms: u64) {
        self.announcements += 1;
        let interval_ms = if self.announcements <= FIRST_ANNOUNCEMENTS {
            FIRST_ANNOUNCEMENTS_MS
        } else {
            self.parts.log_retention_ms / ANNOUNCEMENTS_PER_RETENTION
        };
        self.next_announcement_ms = now_ms + interval_ms;
        self.parts.log.call(LogCall::Announce(self.parts.addr));
    }

    fn carry_out(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, message } => self.send(to, message),
                Action::Run(start) => self.run_task(start),
                Action::StopTask(task_id) => self.stop_task(task_id),
                Action::Reply { caller, reply } => self.reply(caller, reply),
                Action::Append(record) => self.parts.log.call(LogCall::Append(record)),
                Action::ReadLog { from_offset } => {
                    self.parts.log.call(LogCall::Read { from_offset });
                }
                Action::Count(counter) => self.parts.metrics.count(counter),
                Action::Log(notice) => {
                    info!(self.log, "{}", notice.event; "subject" => notice.subject);
                }
                Action::Stop => self.is_over = true,
            }
        }
    }

    fn send(&self, to: Peer, message: Message) {
        debug!(self.log, "send"; "to" => %to.addr, "message" => message.name());
        self.parts.transport.send(to, message);
    }

    fn run_task(&self, start: TaskStart) {
        if let Some(minion) = &self.parts.minion {
            minion.run(start);
        }
    }

    fn stop_task(&self, task_id: TaskId) {
        if let Some(minion) = &self.parts.minion {
            minion.stop(task_id);
        }
    }

    fn reply(&mut self, caller: CallerId, reply: Reply) {
        if let Some(reply_to) = self.callers.remove(&caller) {
            // The caller may have gone away.
            let _ = reply_to.send(reply);
        }
    }
}
