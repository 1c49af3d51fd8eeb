//! The agent process: runs the decision core [`Agent`] with its connections to
//! entries and its calls to the minion.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;

use gannetvane_dispatch::Agent;
use gannetvane_dispatch::AgentAction;
use gannetvane_dispatch::AgentEvent;
use gannetvane_dispatch::AgentIdentity;
use gannetvane_dispatch::Directory;
use gannetvane_dispatch::EntryFrame;
use gannetvane_dispatch::Greeting;
use gannetvane_dispatch::Incarnation;
use gannetvane_dispatch::LinkId;
use gannetvane_dispatch::ListResult;
use gannetvane_dispatch::MAX_LINKED_ENTRIES;
use gannetvane_dispatch::MinionReport;
use gannetvane_dispatch::RunKey;
use gannetvane_dispatch::StartResult;
use gannetvane_dispatch::StopResult;
use gannetvane_dispatch::decode;
use gannetvane_dispatch::encode;
use gannetvane_wire::Name;
use slog::Logger;
use slog::info;
use slog::warn;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::mpsc::unbounded_channel;
use tokio::sync::oneshot;

use crate::Clock;
use crate::Metrics;
use crate::StoreClient;
use crate::Tunables;
use crate::dialers::Dialers;
use crate::dialers::SharedDirectory;
use crate::links;
use crate::links::FrameSender;
use crate::ports::ListCall;
use crate::ports::MinionPort;
use crate::ports::StartCall;

/// Time between two checks of the directory for entries to connect to, in
/// milliseconds.
const REFRESH_INTERVAL_MS: u64 = 500;
/// Time between two searches for entries in the store while no entry is
/// connected, in milliseconds.
const SEARCH_INTERVAL_MS: u64 = 2_000;

/// Settings of an agent's process.
#[derive(Clone, Debug)]
pub struct AgentNodeSettings {
    /// Node id, host and availability zone of the agent.
    pub identity: AgentIdentity,
    /// Length of the longest lease that the minion grants, in milliseconds.
    pub max_lease_ms: u64,
    /// Settings that can change without a restart.
    pub tunables: Tunables,
}

/// An input of the agent's event loop.
enum Input {
    /// A connection to the entry at this address is open. Dropping the last field
    /// ends it.
    LinkUp(LinkId, SocketAddr, FrameSender, oneshot::Sender<()>),
    /// An entry sent a frame.
    Frame(LinkId, EntryFrame),
    /// A connection to an entry ended.
    LinkDown(LinkId),
    /// The minion reported itself.
    Reported(MinionReport),
    /// The minion with this id announced its end.
    MinionLeft(Name),
    /// A call to start a run ended.
    StartAnswered(Incarnation, RunKey, StartResult),
    /// A call to stop a run ended.
    StopAnswered(Incarnation, RunKey, StopResult),
    /// The listing call with this number ended.
    Listed(Incarnation, u64, ListResult),
    /// A search in the store found these entries.
    Entries(Vec<SocketAddr>),
    /// The settings changed.
    Reload(Tunables),
    /// A planned stop begins.
    Stop,
}

/// Sends the minion's reports, changed settings and the order to stop to a
/// running agent.
#[derive(Clone, Debug)]
pub struct AgentHandle {
    inputs: UnboundedSender<Input>,
}

impl std::fmt::Debug for Input {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Input")
    }
}

impl AgentHandle {
    /// Passes on a report of the minion. Returns false if the agent process is
    /// about to end.
    #[must_use]
    pub fn reported(&self, report: MinionReport) -> bool {
        self.inputs.send(Input::Reported(report)).is_ok()
    }

    /// Passes on that the minion with this id is about to end. Returns false if the
    /// agent process is about to end as well.
    #[must_use]
    pub fn left(&self, id: Name) -> bool {
        self.inputs.send(Input::MinionLeft(id)).is_ok()
    }

    /// Applies changed settings.
    pub fn reload(&self, tunables: Tunables) {
        // The send only fails when the process is about to end.
        let _ = self.inputs.send(Input::Reload(tunables));
    }

    /// Begins a planned stop.
    pub fn stop(&self) {
        // The send only fails when the process is about to end.
        let _ = self.inputs.send(Input::Stop);
    }
}

/// An agent with its connections to entries and its calls to the minion.
pub struct AgentNode {
    settings: AgentNodeSettings,
    agent: Agent,
    clock: Clock,
    log: Logger,
    metrics: Rc<Metrics>,
    minion: Rc<dyn MinionPort>,
    inputs: UnboundedSender<Input>,
    queue: UnboundedReceiver<Input>,
    /// For each connection to an entry, the queue of its frames and the sender
    /// that ends it when dropped.
    links: BTreeMap<LinkId, (FrameSender, oneshot::Sender<()>)>,
    directory: SharedDirectory,
    /// When a planned stop began.
    stop_began_at_ms: Option<u64>,
    last_refresh_ms: u64,
    /// Number of discoveries in the directory when entries were last dialed.
    dialed_discoveries: u64,
    last_search_ms: u64,
    /// Whether a search for entries in the store is in progress.
    is_searching: bool,
}

impl std::fmt::Debug for AgentNode {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("AgentNode").finish_non_exhaustive()
    }
}

/// Connects to an entry and serves the connection to its end. Returns whether
/// the entry sent a frame.
type DialFn = dyn Fn(SocketAddr) -> Pin<Box<dyn Future<Output = bool>>>;

impl AgentNode {
    /// Creates an agent that connects to entries once [`run`](Self::run) is called.
    #[must_use]
    pub fn new(
        settings: AgentNodeSettings,
        minion: Rc<dyn MinionPort>,
        log: Logger,
        metrics: Rc<Metrics>,
        clock: Clock,
    ) -> Self {
        let (inputs, queue) = unbounded_channel();
        let directory = Directory::new(None, settings.tunables.seeds.iter().copied())
            .with_max_targets(settings.identity.host.clone(), MAX_LINKED_ENTRIES);
        Self {
            agent: Agent::new(settings.identity.clone()).with_max_lease(settings.max_lease_ms),
            settings,
            clock,
            log,
            metrics,
            minion,
            inputs,
            queue,
            links: BTreeMap::new(),
            directory: Rc::new(RefCell::new(directory)),
            stop_began_at_ms: None,
            last_refresh_ms: 0,
            dialed_discoveries: 0,
            last_search_ms: 0,
            is_searching: false,
        }
    }

    /// Returns a handle that passes reports and orders to this agent.
    #[must_use]
    pub fn handle(&self) -> AgentHandle {
        AgentHandle {
            inputs: self.inputs.clone(),
        }
    }

    /// Runs the agent until a planned stop is complete.
    pub async fn run(mut self, store: StoreClient) {
        let mut dialers = self.dialers();
        dialers.refresh();
        self.search(&store);
        let mut due_ms = 0;
        while !self.can_end() {
            let sleep = tokio::time::sleep_until(self.clock.at(due_ms));
            let first = tokio::select! {
                biased;
                input = self.queue.recv() => input,
                () = sleep => None,
            };
            self.observe_suspension();
            if let Some(input) = first {
                self.handle_input(input);
            }
            while let Ok(input) = self.queue.try_recv() {
                self.handle_input(input);
            }
            let now_ms = self.clock.now_ms();
            due_ms = self.agent.tick(now_ms);
            self.execute_actions();
            let discoveries = self.directory.borrow().discoveries();
            if now_ms >= self.last_refresh_ms + REFRESH_INTERVAL_MS
                || discoveries != self.dialed_discoveries
            {
                self.dialed_discoveries = discoveries;
                self.last_refresh_ms = now_ms;
                dialers.refresh();
                let targets = self.directory.borrow_mut().targets(now_ms);
                self.agent.keep_links(&targets);
            }
            let is_due = now_ms >= self.last_search_ms + SEARCH_INTERVAL_MS;
            if self.links.is_empty() && !self.is_searching && is_due {
                self.search(&store);
            }
        }
        info!(self.log, "stopped"; "runs" => self.agent.active_runs());
    }

    /// Adds the time of a suspension of the host to the clock. Called before inputs
    /// that arrived meanwhile are handled.
    fn observe_suspension(&self) {
        if let Some(for_ms) = self.clock.observe() {
            self.metrics.event("host-suspended");
            warn!(self.log, "host-suspended"; "for_ms" => for_ms);
        }
    }

    fn dialers(&self) -> Dialers<Box<DialFn>> {
        let inputs = self.inputs.clone();
        let next_link = Rc::new(std::cell::Cell::new(1));
        let directory = Rc::clone(&self.directory);
        let clock = self.clock.clone();
        let dial: Box<DialFn> = Box::new(move |entry| {
            let link = LinkId(next_link.get());
            next_link.set(link.0 + 1);
            let inputs = inputs.clone();
            let directory = Rc::clone(&directory);
            Box::pin(dial_entry(link, entry, inputs, directory, clock.clone()))
        });
        Dialers::new(Rc::clone(&self.directory), self.clock.clone(), dial)
    }

    /// Starts a search for entries in the store, which is retried until the store
    /// answers.
    fn search(&mut self, store: &StoreClient) {
        self.last_search_ms = self.clock.now_ms();
        self.is_searching = true;
        let store = store.clone();
        let inputs = self.inputs.clone();
        tokio::task::spawn_local(async move {
            let announced = store.announced().await;
            // The send only fails when the process is about to end.
            let _ = inputs.send(Input::Entries(announced.entries));
        });
    }

    fn handle_input(&mut self, input: Input) {
        let now_ms = self.clock.now_ms();
        match input {
            Input::LinkUp(link, addr, sender, closer) => {
                self.links.insert(link, (sender, closer));
                self.agent.link_up(now_ms, link, addr);
            }
            Input::Frame(link, frame) => self.agent.frame_received(now_ms, link, frame),
            Input::LinkDown(link) => {
                self.links.remove(&link);
                self.agent.link_down(now_ms, link);
            }
            Input::Reported(report) => self.agent.minion_reported(now_ms, report),
            Input::MinionLeft(id) => self.agent.minion_left(&id),
            Input::StartAnswered(incarnation, key, result) => {
                self.agent
                    .start_answered(now_ms, &incarnation, &key, result);
            }
            Input::StopAnswered(incarnation, key, result) => {
                self.agent.stop_answered(now_ms, &incarnation, &key, result);
            }
            Input::Listed(incarnation, call, result) => {
                self.agent.list_answered(now_ms, &incarnation, call, result);
            }
            Input::Entries(entries) => {
                self.is_searching = false;
                self.directory.borrow_mut().add_mentioned(now_ms, &entries);
            }
            Input::Reload(tunables) => {
                self.directory
                    .borrow_mut()
                    .set_seeds(tunables.seeds.iter().copied());
                self.settings.tunables = tunables;
            }
            Input::Stop => {
                if self.stop_began_at_ms.is_none() {
                    info!(self.log, "stopping"; "runs" => self.agent.active_runs());
                    self.stop_began_at_ms = Some(now_ms);
                    self.agent.begin_stop();
                }
            }
        }
    }

    fn can_end(&self) -> bool {
        let Some(stop_began_at_ms) = self.stop_began_at_ms else {
            return false;
        };
        let is_stop_limit_over =
            self.clock.now_ms() >= stop_began_at_ms + self.settings.tunables.stop_limit_ms;
        is_stop_limit_over || self.agent.can_stop()
    }

    fn execute_actions(&mut self) {
        for action in self.agent.take_actions() {
            match action {
                AgentAction::Start {
                    incarnation,
                    key,
                    spec,
                    deadline_ms,
                    epoch,
                } => self.start(StartCall {
                    incarnation,
                    key,
                    spec,
                    deadline_ms,
                    epoch,
                }),
                AgentAction::Stop {
                    incarnation,
                    key,
                    epoch,
                } => self.stop(incarnation, key, epoch),
                AgentAction::List {
                    call,
                    incarnation,
                    epoch,
                    acknowledged_through,
                    deadline_ms,
                    wait_ms,
                } => self.list(
                    call,
                    ListCall {
                        incarnation,
                        epoch,
                        acknowledged_through,
                        deadline_ms,
                        wait_ms,
                    },
                ),
                AgentAction::Greet(link, hello) => self.send(link, &Greeting::Agent(hello)),
                AgentAction::Send(link, frame) => self.send(link, &frame),
                AgentAction::Close(link) => {
                    self.links.remove(&link);
                }
                AgentAction::Entries(entries) => {
                    let now_ms = self.clock.now_ms();
                    if self.directory.borrow_mut().add_mentioned(now_ms, &entries) {
                        self.last_refresh_ms = 0;
                    }
                }
                AgentAction::Event(event) => self.event(&event),
            }
        }
    }

    fn start(&self, call: StartCall) {
        let minion = Rc::clone(&self.minion);
        let inputs = self.inputs.clone();
        tokio::task::spawn_local(async move {
            let (incarnation, key) = (call.incarnation.clone(), call.key.clone());
            let result = minion.start(call).await;
            // The send only fails when the process is about to end.
            let _ = inputs.send(Input::StartAnswered(incarnation, key, result));
        });
    }

    fn stop(&self, incarnation: Incarnation, key: RunKey, epoch: u64) {
        let minion = Rc::clone(&self.minion);
        let inputs = self.inputs.clone();
        tokio::task::spawn_local(async move {
            let result = minion.stop(&incarnation, key.clone(), epoch).await;
            // The send only fails when the process is about to end.
            let _ = inputs.send(Input::StopAnswered(incarnation, key, result));
        });
    }

    fn list(&self, number: u64, call: ListCall) {
        let minion = Rc::clone(&self.minion);
        let inputs = self.inputs.clone();
        tokio::task::spawn_local(async move {
            let incarnation = call.incarnation.clone();
            let result = minion.list(call).await;
            // The send only fails when the process is about to end.
            let _ = inputs.send(Input::Listed(incarnation, number, result));
        });
    }

    fn send<T: serde::Serialize>(&self, link: LinkId, frame: &T) {
        let Some((sender, _)) = self.links.get(&link) else {
            return;
        };
        match encode(frame) {
            Ok(bytes) => sender.send(bytes),
            Err(error) => warn!(self.log, "encode-failed"; "error" => %error),
        }
    }

    fn event(&self, event: &AgentEvent) {
        self.metrics.event(event.event);
        match &event.job {
            Some(job) => {
                info!(self.log, "{}", event.event; "job" => &**job, "why" => &event.detail);
            }
            None => info!(self.log, "{}", event.event; "why" => &event.detail),
        }
    }
}

/// Connects to an entry and reads its frames until the connection ends. Returns
/// whether the entry sent a frame.
async fn dial_entry(
    link: LinkId,
    entry: SocketAddr,
    inputs: UnboundedSender<Input>,
    directory: SharedDirectory,
    clock: Clock,
) -> bool {
    let Ok(stream) = links::connect(entry).await else {
        return false;
    };
    let Ok((mut reader, sender)) = links::split(stream) else {
        return false;
    };
    let (closer, closed) = oneshot::channel();
    if inputs
        .send(Input::LinkUp(link, entry, sender, closer))
        .is_err()
    {
        return false;
    }
    let mut was_answered = false;
    let read = async {
        while let Some(frame) = links::next_frame(&mut reader).await {
            directory.borrow_mut().mark_seen(clock.now_ms(), entry);
            was_answered = true;
            let Ok(frame) = decode(&frame) else {
                break;
            };
            if inputs.send(Input::Frame(link, frame)).is_err() {
                break;
            }
        }
    };
    tokio::select! {
        () = read => {}
        _ = closed => {}
    }
    // The send only fails when the process is about to end.
    let _ = inputs.send(Input::LinkDown(link));
    was_answered
}
