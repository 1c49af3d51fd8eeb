//! The entry process: runs the decision core [`Dispatcher`] and the [`Ledger`] of
//! stored jobs with their connections to agents, other entries and the store.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use gannetvane_dispatch::CallerId;
use gannetvane_dispatch::Directory;
use gannetvane_dispatch::Dispatcher;
use gannetvane_dispatch::DispatcherAction;
use gannetvane_dispatch::DispatcherSettings;
use gannetvane_dispatch::EntryEvent;
use gannetvane_dispatch::Evacuations;
use gannetvane_dispatch::GossipState;
use gannetvane_dispatch::JobOutcome;
use gannetvane_dispatch::Ledger;
use gannetvane_dispatch::LedgerSettings;
use gannetvane_dispatch::LinkId;
use gannetvane_dispatch::MAX_LINKED_PEERS;
use gannetvane_dispatch::PeerFrame;
use gannetvane_dispatch::RoutingTable;
use gannetvane_dispatch::StoredAnswer;
use gannetvane_dispatch::StoredCaller;
use gannetvane_dispatch::Uplink;
use gannetvane_dispatch::encode;
use gannetvane_wire::Name;
use slog::Logger;
use slog::info;
use slog::warn;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::mpsc::unbounded_channel;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::task::AbortHandle;

use crate::Clock;
use crate::HedgeContext;
use crate::Metrics;
use crate::OpenConnections;
use crate::StoreClient;
use crate::Tunables;
use crate::agent_links;
use crate::dialers::Dialers;
use crate::dialers::SharedDirectory;
use crate::entry_handle::EntryHandle;
use crate::entry_handle::Input;
use crate::entry_stored::StoredInput;
use crate::job_log::JobLogCalls;
use crate::links::FrameSender;
use crate::peer_links;
use crate::ports::JobLogPort;
use crate::stored_calls::StoredCalls;

/// Time between two checks of the directory for entries to connect to and to send
/// to others, in milliseconds.
const REFRESH_INTERVAL_MS: u64 = 500;
/// Time before the end of a planned stop from which new jobs are refused, in
/// milliseconds: most accepted jobs end within it.
const REFUSE_BEFORE_END_MS: u64 = 2_000;
/// Time that the process leaves for writing the last answers before it ends, in
/// milliseconds.
const FLUSH_MS: u64 = 150;

/// Settings of an entry's process.
#[derive(Clone, Debug)]
pub struct EntryNodeSettings {
    /// Address on which agents and other entries connect.
    pub link_addr: SocketAddr,
    /// Availability zone of the entry.
    pub zone: Name,
    /// Time after the stop signal for which requests are still accepted, in
    /// milliseconds: the balancer notices the stop after two readiness checks.
    pub stop_notice_ms: u64,
    /// Rate of the host's network link, in megabits per second, if it is known.
    pub link_mbps: Option<f64>,
    /// Number of partitions of the job log.
    pub partitions: u32,
    /// Number of appends that the store takes each second.
    pub store_writes_per_s: u32,
    /// Settings that can change without a restart.
    pub tunables: Tunables,
}

/// An entry with its connections to callers, agents, other entries and the store.
pub struct EntryNode {
    settings: EntryNodeSettings,
    pub(crate) dispatcher: Dispatcher,
    pub(crate) clock: Clock,
    pub(crate) log: Logger,
    metrics: Rc<Metrics>,
    pub(crate) inputs: UnboundedSender<Input>,
    queue: UnboundedReceiver<Input>,
    /// For each agent's connection, the queue of its frames and the handle that
    /// stops the task that reads it.
    links: BTreeMap<LinkId, (FrameSender, AbortHandle)>,
    callers: BTreeMap<CallerId, oneshot::Sender<JobOutcome>>,
    directory: SharedDirectory,
    /// Number of discoveries in the directory when entries were last sent to agents
    /// and other entries.
    sent_discoveries: u64,
    pub(crate) gossip: watch::Sender<GossipState>,
    pub(crate) handle: EntryHandle,
    pub(crate) ledger: Ledger,
    pub(crate) job_log: JobLogCalls,
    pub(crate) stored_callers: BTreeMap<StoredCaller, oneshot::Sender<StoredAnswer>>,
    pub(crate) next_stored_caller: u64,
    pub(crate) is_announcing_stored_jobs: bool,
    /// Becomes true when connections of callers are to end.
    http_stop: watch::Sender<bool>,
    open_connections: OpenConnections,
    /// When a planned stop began.
    stop_began_at_ms: Option<u64>,
}

impl std::fmt::Debug for EntryNode {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("EntryNode").finish_non_exhaustive()
    }
}

impl EntryNode {
    /// Creates an entry that accepts connections once [`run`](Self::run) is called.
    #[must_use]
    pub fn new(
        settings: EntryNodeSettings,
        job_log: Rc<dyn JobLogPort>,
        log: Logger,
        metrics: Rc<Metrics>,
        clock: Clock,
    ) -> Self {
        let (inputs, queue) = unbounded_channel();
        let own_addr = settings.link_addr;
        let directory = Directory::new(Some(own_addr), settings.tunables.seeds.iter().copied())
            .with_max_targets(own_addr.to_string().into(), MAX_LINKED_PEERS);
        let dispatcher_settings = DispatcherSettings {
            zone: settings.zone.clone(),
            remote_factor: settings.tunables.remote_factor,
            seed: rand::random(),
        };
        let stored_calls = StoredCalls::new(
            own_addr,
            settings.partitions,
            inputs.clone(),
            Rc::clone(&job_log),
            log.clone(),
        );
        let handle = EntryHandle::new(inputs.clone(), stored_calls);
        let ledger = Ledger::new(LedgerSettings {
            partitions: settings.partitions,
            store_writes_per_s: settings.store_writes_per_s,
        });
        let job_log = JobLogCalls::new(job_log, inputs.clone(), clock.clone(), log.clone());
        let mut dispatcher = Dispatcher::new(dispatcher_settings, clock.now_ms());
        dispatcher.set_uplink(settings.link_mbps.map(Uplink::new).unwrap_or_default());
        Self {
            dispatcher,
            settings,
            clock,
            log,
            metrics,
            inputs,
            queue,
            links: BTreeMap::new(),
            callers: BTreeMap::new(),
            directory: Rc::new(RefCell::new(directory)),
            sent_discoveries: 0,
            gossip: watch::Sender::default(),
            handle,
            ledger,
            job_log,
            stored_callers: BTreeMap::new(),
            next_stored_caller: 1,
            is_announcing_stored_jobs: false,
            http_stop: watch::Sender::new(false),
            open_connections: OpenConnections::default(),
            stop_began_at_ms: None,
        }
    }

    /// Returns a handle through which callers reach this entry.
    #[must_use]
    pub fn handle(&self) -> EntryHandle {
        self.handle.clone()
    }

    /// Returns a signal that becomes true when connections of callers are to end.
    #[must_use]
    pub fn http_stop(&self) -> watch::Receiver<bool> {
        self.http_stop.subscribe()
    }

    /// Returns the counter of callers' connections. A planned stop waits until it
    /// is zero.
    #[must_use]
    pub fn open_connections(&self) -> OpenConnections {
        self.open_connections.clone()
    }

    /// Runs the entry until a planned stop is complete.
    ///
    /// # Errors
    ///
    /// Returns the I/O error if the address for agents and other entries cannot be
    /// bound.
    pub async fn run(mut self, store: StoreClient) -> std::io::Result<()> {
        let listener = agent_links::bind(self.settings.link_addr)?;
        tokio::task::spawn_local(agent_links::accept(
            listener,
            self.inputs.clone(),
            Rc::clone(&self.metrics),
            self.log.clone(),
        ));
        let gossip = self.gossip.subscribe();
        tokio::task::spawn_local(watch_store(store.clone(), gossip, self.inputs.clone()));
        let own_addr = self.settings.link_addr;
        tokio::task::spawn_local(announce_and_discover(
            store.clone(),
            own_addr,
            self.inputs.clone(),
        ));
        let mut dialers = self.dialers();
        dialers.refresh();
        tokio::task::spawn_local(send_refreshes(self.inputs.clone()));
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
                self.handle_input(input, &store);
            }
            while let Ok(input) = self.queue.try_recv() {
                self.handle_input(input, &store);
            }
            dialers.refresh_if_due();
            if self.spread_new_entries() {
                dialers.refresh();
            }
            let now_ms = self.clock.now_ms();
            let ledger_due_ms = self.ledger.tick(now_ms, &mut self.dispatcher);
            due_ms = self.dispatcher.tick(now_ms);
            due_ms = ledger_due_ms.map_or(due_ms, |ledger_ms| ledger_ms.min(due_ms));
            self.advance_stop();
            self.execute_actions();
            self.execute_ledger_actions();
            self.gossip_crashes();
            self.gossip_delayed_starts();
            self.gossip_witnessed_starts();
        }
        info!(self.log, "stopped"; "open_jobs" => self.dispatcher.unfinished_jobs());
        tokio::time::sleep(Duration::from_millis(FLUSH_MS)).await;
        Ok(())
    }

    /// Adds the time of a suspension of the host to the clock. Called before inputs
    /// that arrived meanwhile are handled.
    fn observe_suspension(&self) {
        if let Some(for_ms) = self.clock.observe() {
            self.metrics.event("host-suspended");
            warn!(self.log, "host-suspended"; "for_ms" => for_ms);
        }
    }

    fn dialers(&self) -> PeerDialers {
        let own_addr = self.settings.link_addr;
        let gossip = self.gossip.subscribe();
        let directory = Rc::clone(&self.directory);
        let clock = self.clock.clone();
        let dial: Box<DialFn> = Box::new(move |entry| {
            let directory = Rc::clone(&directory);
            let clock = clock.clone();
            Box::pin(peer_links::dial(
                entry,
                own_addr,
                gossip.clone(),
                directory,
                clock,
            ))
        });
        PeerDialers {
            dialers: Dialers::new(Rc::clone(&self.directory), self.clock.clone(), dial),
            last_refresh_ms: 0,
            clock: self.clock.clone(),
        }
    }

    fn handle_input(&mut self, input: Input, store: &StoreClient) {
        let now_ms = self.clock.now_ms();
        match input {
            Input::AgentUp(link, hello, sender, reader) => {
                self.links.insert(link, (sender, reader));
                self.dispatcher.agent_up(now_ms, link, hello);
                let entries = self.directory.borrow().recent_addrs(now_ms);
                self.dispatcher.send_entries_to(link, &entries);
            }
            Input::AgentFrame(link, frame) => self.dispatcher.agent_frame(now_ms, link, frame),
            Input::LinkDown(link) => {
                self.links.remove(&link);
                self.dispatcher.agent_down(link, "closed");
            }
            Input::Peer(entry, frame) => {
                if frame.has_stored_jobs {
                    self.activate_ledger(now_ms);
                }
                self.peer_frame(now_ms, entry, frame);
            }
            Input::Submit(caller, job, answer) => {
                self.callers.insert(caller, answer);
                self.dispatcher.submit(now_ms, caller, job);
            }
            Input::CallerLeft(caller) => {
                self.callers.remove(&caller);
                self.dispatcher.caller_left(now_ms, caller);
            }
            Input::Cancel(job, answer) => {
                let is_cancelled = self.dispatcher.cancel(now_ms, &job);
                // The send only fails if the caller has left.
                let _ = answer.send(is_cancelled);
            }
            Input::Pending(queue, answer) => {
                // The send only fails if the caller has left.
                let _ = answer.send(self.dispatcher.pending(&queue));
            }
            Input::Operators(update) => {
                self.evacuate(now_ms, &update.evacuations);
                update
                    .table
                    .into_iter()
                    .for_each(|table| self.configure(table));
            }
            Input::Entries(entries) => {
                self.directory.borrow_mut().add_mentioned(now_ms, &entries);
            }
            Input::Refresh => self.spread_entries(now_ms),
            Input::Stored(stored) => self.handle_stored_input(now_ms, stored, store),
            Input::Reload(tunables) => {
                self.directory
                    .borrow_mut()
                    .set_seeds(tunables.seeds.iter().copied());
                self.dispatcher.set_remote_factor(tunables.remote_factor);
                self.settings.tunables = tunables;
            }
            Input::Stop => self.begin_stop(now_ms),
        }
        let is_ready = self.dispatcher.is_ready() && self.stop_began_at_ms.is_none();
        self.handle.set_ready(is_ready);
    }

    fn peer_frame(&mut self, now_ms: u64, entry: SocketAddr, frame: PeerFrame) {
        self.directory.borrow_mut().mark_seen(now_ms, entry);
        self.directory
            .borrow_mut()
            .merge_seen(now_ms, &frame.entries);
        if let Some(evacuations) = frame.evacuations {
            self.evacuate(now_ms, &evacuations);
        }
        if let Some(table) = frame.table {
            self.configure(table);
        }
        self.dispatcher.add_crashes(now_ms, frame.crashes);
        self.dispatcher
            .gossip_received(now_ms, frame.delayed_starts);
        self.dispatcher
            .witnessed_starts_reported(now_ms, frame.witnessed_starts);
    }

    /// Spreads crashes that became known here to other entries.
    fn gossip_crashes(&mut self) {
        let crashes = self.dispatcher.crashes();
        if self.gossip.borrow().crashes.last_sequence() != crashes.last_sequence() {
            let crashes = crashes.clone();
            self.gossip.send_modify(|gossip| gossip.crashes = crashes);
        }
    }

    /// Spreads delayed starts whose jobs may come again at another entry.
    fn gossip_delayed_starts(&mut self) {
        let starts = self.dispatcher.delayed_starts();
        if self.gossip.borrow().delayed_starts.last_sequence() != starts.last_sequence() {
            let starts = starts.clone();
            self.gossip
                .send_modify(|gossip| gossip.delayed_starts = starts);
        }
    }

    /// Spreads the starts of lost entries that witnesses reported.
    fn gossip_witnessed_starts(&mut self) {
        let starts = self.dispatcher.witnessed_starts();
        if self.gossip.borrow().witnessed_starts.last_sequence() != starts.last_sequence() {
            let starts = starts.clone();
            self.gossip
                .send_modify(|gossip| gossip.witnessed_starts = starts);
        }
    }

    /// Applies the set of evacuated zones if it is newer. Callers do this before they
    /// apply a configuration from the same message, so that an entry that is ready
    /// because of the configuration also has the evacuations.
    fn evacuate(&mut self, now_ms: u64, newer: &Evacuations) {
        if self.dispatcher.evacuate(now_ms, newer) {
            let newer = newer.clone();
            self.gossip.send_modify(|gossip| gossip.evacuations = newer);
        }
    }

    /// Applies a configuration if it is newer, and spreads it to other entries.
    fn configure(&mut self, table: RoutingTable) {
        if self.dispatcher.configure(table) {
            let table = Arc::new(self.dispatcher.table().clone());
            self.handle.set_table(Arc::clone(&table));
            self.gossip.send_modify(|gossip| gossip.table = table);
        }
    }

    /// Spreads the entries that became known since the last call. Returns whether
    /// there were any.
    fn spread_new_entries(&mut self) -> bool {
        let discoveries = self.directory.borrow().discoveries();
        let is_changed = discoveries != self.sent_discoveries;
        self.sent_discoveries = discoveries;
        if is_changed {
            self.spread_entries(self.clock.now_ms());
        }
        is_changed
    }

    /// Sends the set of recently seen entries to other entries and agents if it
    /// changed.
    fn spread_entries(&mut self, now_ms: u64) {
        let entries = self.directory.borrow().recent_addrs(now_ms);
        if self.gossip.borrow().entries != entries {
            info!(self.log, "entries"; "count" => entries.len());
            self.dispatcher.send_entries(&entries);
            self.gossip.send_modify(|gossip| gossip.entries = entries);
        }
    }

    fn begin_stop(&mut self, now_ms: u64) {
        if self.stop_began_at_ms.is_none() {
            info!(self.log, "stopping"; "open_jobs" => self.dispatcher.unfinished_jobs());
            self.stop_began_at_ms = Some(now_ms);
            self.ledger.begin_stop(now_ms, &mut self.dispatcher);
        }
    }

    /// Takes the steps of a planned stop that are due.
    fn advance_stop(&mut self) {
        let Some(stop_began_at_ms) = self.stop_began_at_ms else {
            return;
        };
        let stopping_for_ms = self.clock.now_ms().saturating_sub(stop_began_at_ms);
        if stopping_for_ms >= self.settings.stop_notice_ms && !*self.http_stop.borrow() {
            self.http_stop.send_replace(true);
        }
        if stopping_for_ms + REFUSE_BEFORE_END_MS >= self.settings.tunables.stop_limit_ms {
            self.dispatcher.begin_stop();
        }
    }

    fn can_end(&self) -> bool {
        let Some(stop_began_at_ms) = self.stop_began_at_ms else {
            return false;
        };
        let is_stop_limit_over =
            self.clock.now_ms() >= stop_began_at_ms + self.settings.tunables.stop_limit_ms;
        let are_callers_gone = *self.http_stop.borrow() && self.open_connections.count() == 0;
        is_stop_limit_over || are_callers_gone && self.ledger.can_stop()
    }

    fn execute_actions(&mut self) {
        for action in self.dispatcher.take_actions() {
            match action {
                DispatcherAction::Answer(caller, outcome) => {
                    if let Some(answer) = self.callers.remove(&caller) {
                        // The send only fails if the caller has left.
                        let _ = answer.send(outcome);
                    }
                }
                DispatcherAction::Send(link, frame) => {
                    if let Some((sender, _)) = self.links.get(&link) {
                        match encode(&frame) {
                            Ok(bytes) => {
                                self.dispatcher.frame_sent(self.clock.now_ms(), bytes.len());
                                sender.send(bytes);
                            }
                            Err(error) => warn!(self.log, "encode-failed"; "error" => %error),
                        }
                    }
                }
                DispatcherAction::Close(link) => {
                    if let Some((_, reader)) = self.links.remove(&link) {
                        reader.abort();
                    }
                }
                DispatcherAction::Event(event) => self.event(&event),
            }
        }
    }

    /// Logs and counts an event.
    pub(crate) fn event(&self, event: &EntryEvent) {
        match (&event.job, event.took_ms) {
            (Some(job), Some(took_ms)) => {
                self.metrics.job(event.event, event.reason, took_ms);
                info!(self.log, "{}", event.event; "job" => &**job, "took_ms" => took_ms, "why" => &event.detail);
            }
            (Some(job), None) => {
                self.metrics.event(event.event);
                info!(self.log, "{}", event.event; "job" => &**job, "why" => &event.detail);
            }
            _ => {
                self.metrics.event(event.event);
                info!(self.log, "{}", event.event; "why" => &event.detail);
            }
        }
    }
}

/// Connects to an entry and serves the connection to its end. Returns whether
/// the entry acknowledged a frame.
type DialFn = dyn Fn(SocketAddr) -> std::pin::Pin<Box<dyn Future<Output = bool>>>;

/// Dialers for the connections to other entries, with the time of their last
/// refresh.
struct PeerDialers {
    dialers: Dialers<Box<DialFn>>,
    last_refresh_ms: u64,
    clock: Clock,
}

impl PeerDialers {
    fn refresh(&mut self) {
        self.last_refresh_ms = self.clock.now_ms();
        self.dialers.refresh();
    }

    fn refresh_if_due(&mut self) {
        if self.clock.now_ms() >= self.last_refresh_ms + REFRESH_INTERVAL_MS {
            self.refresh();
        }
    }
}

/// Passes on updates of the operators' records in the store; never returns.
async fn watch_store(
    store: StoreClient,
    gossip: watch::Receiver<GossipState>,
    inputs: UnboundedSender<Input>,
) {
    let hedge_context = || {
        let gossip = gossip.borrow();
        HedgeContext {
            is_configured: gossip.table.version > 0,
            entries: gossip.entries.len(),
        }
    };
    let on_update = |update| {
        // The send only fails when the process is about to end.
        let _ = inputs.send(Input::Operators(update));
    };
    store.watch(hedge_context, on_update).await;
}

/// Finds the entries that are announced in the store, and announces this one.
async fn announce_and_discover(
    store: StoreClient,
    own_addr: SocketAddr,
    inputs: UnboundedSender<Input>,
) {
    let announced = store.announced().await;
    let is_announced = announced.entries.contains(&own_addr);
    // The send only fails when the process is about to end.
    let _ = inputs.send(Input::Entries(announced.entries));
    if announced.has_stored_jobs {
        // The send only fails when the process is about to end.
        let _ = inputs.send(Input::Stored(StoredInput::JobsKnown));
    }
    if !is_announced {
        store.announce(own_addr).await;
    }
}

/// Sends [`Input::Refresh`] regularly until the entry ends.
async fn send_refreshes(inputs: UnboundedSender<Input>) {
    while inputs.send(Input::Refresh).is_ok() {
        tokio::time::sleep(Duration::from_millis(REFRESH_INTERVAL_MS)).await;
    }
}
