//! The event loop of a process: one thread passes inputs to the core and
//! executes the actions that the core returns.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crossbeam::channel::Receiver;
use crossbeam::channel::RecvTimeoutError;
use crossbeam::channel::Sender;
use gannetvane_core::Action;
use gannetvane_core::CallerId;
use gannetvane_core::Peer;
use gannetvane_core::Reply;
use gannetvane_wire::Message;
use gannetvane_wire::NodeId;
use gannetvane_wire::TaskId;
use gannetvane_wire::TaskStart;
use slog::Logger;
use slog::debug;
use slog::info;
use slog::warn;
use tokio::sync::oneshot;

use crate::clock::Clock;
use crate::clock::SystemClock;
use crate::http::HttpServer;
use crate::input::Input;
use crate::metrics::Metrics;
use crate::minion::MinionWorkers;
use crate::net::Identity;
use crate::net::Network;
use crate::net::Transport;
use crate::platform::HttpLog;
use crate::platform::LogCall;
use crate::platform::LogReply;
use crate::platform::LogWorker;
use crate::process::ProcessError;
use crate::process::start_error;
use crate::role::Core;
use crate::role::CoreInput;
use crate::settings::Settings;

/// Interval between announcements until the log confirms one.
const ANNOUNCE_RETRY_INTERVAL_MS: u64 = 30_000;

/// An agent repeats its announcement after the log's retention divided by this.
const ANNOUNCEMENTS_PER_RETENTION: u64 = 3;

/// Interval between searches for agents to contact while no agent is known.
const FIND_CONTACTS_INTERVAL_MS: u64 = 2_000;

/// Interval between updates of the gauges.
const SIZES_INTERVAL_MS: u64 = 1_000;

/// Interval between ticks of the core.
const TICK_INTERVAL: Duration = Duration::from_millis(10);

/// What the event loop uses to execute actions: clock, metrics, transport, log
/// and, in an agent, the minion.
pub(crate) struct Runtime {
    pub(crate) addr: SocketAddr,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) transport: Box<dyn Transport>,
    pub(crate) log: LogWorker,
    pub(crate) log_retention_ms: u64,
    pub(crate) minion: Option<MinionWorkers>,
    pub(crate) should_announce: bool,
    pub(crate) is_ready: Arc<AtomicBool>,
}

impl Runtime {
    pub(crate) fn start(
        settings: &Settings,
        node: NodeId,
        inputs: Sender<Input>,
    ) -> Result<Self, ProcessError> {
        let clock: Arc<dyn Clock> = Arc::new(SystemClock::default());
        let metrics = Arc::new(Metrics::new());
        let addr = settings.node.address;
        let identity = Identity { node, addr };
        let network = Network::start(
            identity,
            inputs.clone(),
            Arc::clone(&metrics),
            Arc::clone(&clock),
            settings.clients.max_unknown_peers(),
        )
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
            should_announce: false,
            is_ready: Arc::new(AtomicBool::new(false)),
        })
    }
}

pub(crate) struct EventLoop {
    core: Box<dyn Core>,
    runtime: Runtime,
    http: HttpServer,
    log: Logger,
    stop: Arc<AtomicBool>,
    is_stopping: bool,
    has_ended: bool,
    callers: BTreeMap<CallerId, oneshot::Sender<Reply>>,
    next_caller_id: u64,
    next_sizes_at_ms: u64,
    next_contacts_at_ms: u64,
    next_announcement_at_ms: u64,
}

impl EventLoop {
    pub(crate) fn new(
        core: Box<dyn Core>,
        runtime: Runtime,
        http: HttpServer,
        log: Logger,
        stop: Arc<AtomicBool>,
    ) -> Self {
        let now_ms = runtime.clock.now_ms();
        Self {
            core,
            runtime,
            http,
            log,
            stop,
            is_stopping: false,
            has_ended: false,
            callers: BTreeMap::new(),
            next_caller_id: 0,
            next_sizes_at_ms: now_ms,
            next_contacts_at_ms: now_ms,
            next_announcement_at_ms: now_ms,
        }
    }

    pub(crate) fn run(mut self, queue: &Receiver<Input>) {
        let mut next_tick = std::time::Instant::now();
        while !self.has_ended {
            match queue.recv_deadline(next_tick) {
                Ok(input) => self.handle(input),
                Err(RecvTimeoutError::Timeout) => {
                    next_tick = std::time::Instant::now() + TICK_INTERVAL;
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
            Input::Command(request) => {
                let caller = CallerId(self.next_caller_id);
                self.next_caller_id += 1;
                self.callers.insert(caller, request.reply_to);
                CoreInput::Command(caller, request.command)
            }
            Input::Log(LogReply::Page(page)) => CoreInput::LogPage(page),
            Input::Log(LogReply::Announced) => return self.schedule_next_announcement(),
            Input::Log(LogReply::Contacts(contacts)) => return self.core.add_contacts(contacts),
            Input::Log(LogReply::Failed(error)) => {
                warn!(self.log, "log-call-failed"; "error" => %error);
                CoreInput::LogFailed
            }
            Input::NetworkError(error) => {
                warn!(self.log, "network-error"; "error" => error);
                return;
            }
        };
        let now_ms = self.runtime.clock.now_ms();
        let actions = self.core.handle(now_ms, input);
        self.execute(actions);
    }

    fn tick(&mut self) {
        let now_ms = self.runtime.clock.now_ms();
        if self.stop.load(Ordering::SeqCst) && !self.is_stopping {
            self.is_stopping = true;
            info!(self.log, "stop-requested");
            let actions = self.core.start_stop(now_ms);
            self.execute(actions);
        }
        let actions = self.core.tick(now_ms);
        self.execute(actions);
        self.runtime
            .is_ready
            .store(self.core.is_ready(), Ordering::SeqCst);
        self.has_ended |= self.core.can_stop(now_ms, &self.http);
        if now_ms >= self.next_sizes_at_ms {
            self.next_sizes_at_ms = now_ms + SIZES_INTERVAL_MS;
            self.runtime.metrics.record_sizes(self.core.sizes());
        }
        if self.core.has_no_other_agents() && now_ms >= self.next_contacts_at_ms {
            self.next_contacts_at_ms = now_ms + FIND_CONTACTS_INTERVAL_MS;
            self.runtime.log.call(LogCall::FindContacts);
        }
        if self.runtime.should_announce && now_ms >= self.next_announcement_at_ms {
            self.announce(now_ms);
        }
    }

    fn announce(&mut self, now_ms: u64) {
        self.next_announcement_at_ms = now_ms + ANNOUNCE_RETRY_INTERVAL_MS;
        self.runtime.log.call(LogCall::Announce(self.runtime.addr));
    }

    fn schedule_next_announcement(&mut self) {
        let interval_ms = self.runtime.log_retention_ms / ANNOUNCEMENTS_PER_RETENTION;
        self.next_announcement_at_ms = self.runtime.clock.now_ms() + interval_ms;
    }

    fn execute(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, message } => self.send(to, message),
                Action::Run(start) => self.run_task(start),
                Action::StopTask(task_id) => self.stop_task(task_id),
                Action::Reply { caller, reply } => self.reply(caller, reply),
                Action::Append(record) => self.runtime.log.call(LogCall::Append(record)),
                Action::ReadLog { from_offset } => {
                    self.runtime.log.call(LogCall::Read { from_offset });
                }
                Action::Count(counter) => self.runtime.metrics.count(counter),
                Action::Log(notice) => {
                    info!(self.log, "{}", notice.event; "subject" => notice.subject);
                }
                Action::Stop => self.has_ended = true,
            }
        }
    }

    fn send(&self, to: Peer, message: Message) {
        debug!(self.log, "send"; "to" => %to.addr, "message" => message.name());
        self.runtime.transport.send(to, message);
    }

    fn run_task(&self, start: TaskStart) {
        if let Some(minion) = &self.runtime.minion {
            minion.run(start);
        }
    }

    fn stop_task(&self, task_id: TaskId) {
        if let Some(minion) = &self.runtime.minion {
            minion.stop(task_id);
        }
    }

    fn reply(&mut self, caller: CallerId, reply: Reply) {
        if let Some(reply_to) = self.callers.remove(&caller) {
            // Fails when the caller no longer waits.
            let _ = reply_to.send(reply);
        }
    }
}
