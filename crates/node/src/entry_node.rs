//! The process around an entry's decisions.

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
use gannetvane_dispatch::encode;
use gannetvane_wire::Name;
use slog::Logger;
use slog::info;
use slog::warn;
use tokio::net::TcpListener;
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

/// Pause between two looks at the directory, in milliseconds.
const REFRESH_MS: u64 = 500;
/// Time before the end of a planned stop from which jobs are refused, in
/// milliseconds: most end within it.
const STOP_LAST_JOB_MS: u64 = 2_000;
/// Time for the last answers to be written before the process ends, in
/// milliseconds.
const FLUSH_MS: u64 = 150;

/// Settings of an entry's process.
#[derive(Clone, Debug)]
pub struct EntryNodeSettings {
    /// Where agents and other entries connect.
    pub link_addr: SocketAddr,
    /// Availability zone.
    pub zone: Name,
    /// Time after the signal for which requests are still taken, in
    /// milliseconds: the balancer needs two checks to notice.
    pub stop_notice_ms: u64,
    /// Parts of the job log.
    pub partitions: u32,
    /// Appends that the store takes each second.
    pub store_writes_per_s: u32,
    /// What may change while it runs.
    pub tunables: Tunables,
}

/// An entry with its connections.
pub struct EntryNode {
    settings: EntryNodeSettings,
    pub(crate) dispatcher: Dispatcher,
    pub(crate) clock: Clock,
    pub(crate) log: Logger,
    metrics: Rc<Metrics>,
    pub(crate) inputs: UnboundedSender<Input>,
    queue: UnboundedReceiver<Input>,
    links: BTreeMap<LinkId, (FrameSender, AbortHandle)>,
    callers: BTreeMap<CallerId, oneshot::Sender<JobOutcome>>,
    directory: SharedDirectory,
    /// Gains of the directory that agents and entries were told of.
    sent_discoveries: u64,
    pub(crate) gossip: watch::Sender<GossipState>,
    pub(crate) handle: EntryHandle,
    pub(crate) ledger: Ledger,
    pub(crate) job_log: JobLogCalls,
    pub(crate) stored_callers: BTreeMap<StoredCaller, oneshot::Sender<StoredAnswer>>,
    pub(crate) next_stored_caller: u64,
    pub(crate) is_announcing: bool,
    http_stop: watch::Sender<bool>,
    open: OpenConnections,
    stop_ms: Option<u64>,
}

impl std::fmt::Debug for EntryNode {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("EntryNode").finish_non_exhaustive()
    }
}

impl EntryNode {
    /// An entry that is not serving yet.
    #[must_use]
    pub fn new(
        settings: EntryNodeSettings,
        job_log: Rc<dyn JobLogPort>,
        log: Logger,
        metrics: Rc<Metrics>,
        clock: Clock,
    ) -> Self {
        let (inputs, queue) = unbounded_channel();
        let own = settings.link_addr;
        let directory = Directory::new(Some(own), settings.tunables.seeds.iter().copied())
            .with_max_targets(own.to_string().into(), MAX_LINKED_PEERS);
        let dispatcher_settings = DispatcherSettings {
            zone: settings.zone.clone(),
            remote_factor: settings.tunables.remote_factor,
            seed: rand::random(),
        };
        let stored_calls = StoredCalls::new(
            own,
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
        Self {
            dispatcher: Dispatcher::new(dispatcher_settings, clock.now_ms()),
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
            is_announcing: false,
            http_stop: watch::Sender::new(false),
            open: OpenConnections::default(),
            stop_ms: None,
        }
    }

    /// The interface for callers.
    #[must_use]
    pub fn handle(&self) -> EntryHandle {
        self.handle.clone()
    }

    /// Becomes true when connections of callers are to end.
    #[must_use]
    pub fn http_stop(&self) -> watch::Receiver<bool> {
        self.http_stop.subscribe()
    }

    /// Counts the connections of callers, which a planned stop waits for.
    #[must_use]
    pub fn open_connections(&self) -> OpenConnections {
        self.open.clone()
    }

    /// Serves until a planned stop is complete.
    ///
    /// # Errors
    ///
    /// The error of the listener for agents and entries.
    pub async fn run(mut self, store: StoreClient) -> std::io::Result<()> {
        let listener = TcpListener::bind(self.settings.link_addr).await?;
        tokio::task::spawn_local(agent_links::accept(
            listener,
            self.inputs.clone(),
            self.log.clone(),
        ));
        let gossip = self.gossip.subscribe();
        tokio::task::spawn_local(watch_store(store.clone(), gossip, self.inputs.clone()));
        let own = self.settings.link_addr;
        tokio::task::spawn_local(meet(store.clone(), own, self.inputs.clone()));
        let mut dialers = self.dialers();
        dialers.refresh();
        tokio::task::spawn_local(send_refreshes(self.inputs.clone()));
        let mut due_ms = 0;
        while !self.may_end() {
            let sleep = tokio::time::sleep_until(self.clock.at(due_ms));
            let first = tokio::select! {
                biased;
                input = self.queue.recv() => input,
                () = sleep => None,
            };
            self.note_suspension();
            if let Some(input) = first {
                self.input(input, &store);
            }
            while let Ok(input) = self.queue.try_recv() {
                self.input(input, &store);
            }
            dialers.refresh_if_due();
            if self.has_new_entries() {
                dialers.refresh();
            }
            let now_ms = self.clock.now_ms();
            let ledger_due_ms = self.ledger.tick(now_ms, &mut self.dispatcher);
            due_ms = self.dispatcher.tick(now_ms);
            due_ms = ledger_due_ms.map_or(due_ms, |ledger_ms| ledger_ms.min(due_ms));
            self.follow_stop();
            self.carry_out();
            self.carry_out_stored();
            self.gossip_crashes();
        }
        info!(self.log, "stopped"; "open_jobs" => self.dispatcher.unfinished_jobs());
        tokio::time::sleep(Duration::from_millis(FLUSH_MS)).await;
        Ok(())
    }

    /// Counts the time in which the host was suspended before anything that arrived
    /// meanwhile is looked at.
    fn note_suspension(&self) {
        if let Some(for_ms) = self.clock.observe() {
            self.metrics.event("host-suspended");
            warn!(self.log, "host-suspended"; "for_ms" => for_ms);
        }
    }

    fn dialers(&self) -> PeerDialers {
        let own = self.settings.link_addr;
        let gossip = self.gossip.subscribe();
        let directory = Rc::clone(&self.directory);
        let clock = self.clock.clone();
        let dial: Box<BoxedDial> = Box::new(move |entry| {
            let directory = Rc::clone(&directory);
            let clock = clock.clone();
            Box::pin(peer_links::dial(
                entry,
                own,
                gossip.clone(),
                directory,
                clock,
            ))
        });
        PeerDialers {
            dialers: Dialers::new(Rc::clone(&self.directory), self.clock.clone(), dial),
            refreshed_ms: 0,
            clock: self.clock.clone(),
        }
    }

    fn input(&mut self, input: Input, store: &StoreClient) {
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
                    self.take_part(now_ms);
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
                // A caller that left needs no answer.
                let _ = answer.send(is_cancelled);
            }
            Input::Pending(queue, answer) => {
                // A caller that left needs no answer.
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
                self.directory.borrow_mut().learn(now_ms, &entries);
            }
            Input::Refresh => self.spread_entries(now_ms),
            Input::Stored(stored) => self.stored_input(now_ms, stored, store),
            Input::Reload(tunables) => {
                self.directory
                    .borrow_mut()
                    .set_seeds(tunables.seeds.iter().copied());
                self.dispatcher.set_remote_factor(tunables.remote_factor);
                self.settings.tunables = tunables;
            }
            Input::Stop => self.begin_stop(now_ms),
        }
        let is_ready = self.dispatcher.is_ready() && self.stop_ms.is_none();
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
        self.dispatcher.learn_crashes(now_ms, frame.crashes);
    }

    /// Tells other entries of crashes that became known here.
    fn gossip_crashes(&mut self) {
        let crashes = self.dispatcher.crashes();
        if self.gossip.borrow().crashes.last_sequence() != crashes.last_sequence() {
            let crashes = crashes.clone();
            self.gossip.send_modify(|gossip| gossip.crashes = crashes);
        }
    }

    /// Takes over which zones are being emptied, ahead of a configuration that is
    /// told beside it: an entry that serves knows both.
    fn evacuate(&mut self, now_ms: u64, newer: &Evacuations) {
        if self.dispatcher.evacuate(now_ms, newer) {
            let newer = newer.clone();
            self.gossip.send_modify(|gossip| gossip.evacuations = newer);
        }
    }

    fn configure(&mut self, table: RoutingTable) {
        if self.dispatcher.configure(table) {
            let table = Arc::new(self.dispatcher.table().clone());
            self.handle.set_table(Arc::clone(&table));
            self.gossip.send_modify(|gossip| gossip.table = table);
        }
    }

    /// Tells of entries that became known since the last call; whether there
    /// are any.
    fn has_new_entries(&mut self) -> bool {
        let discoveries = self.directory.borrow().discoveries();
        let is_gain = discoveries != self.sent_discoveries;
        self.sent_discoveries = discoveries;
        if is_gain {
            self.spread_entries(self.clock.now_ms());
        }
        is_gain
    }

    /// Tells entries and agents when the set of entries changed.
    fn spread_entries(&mut self, now_ms: u64) {
        let entries = self.directory.borrow().recent_addrs(now_ms);
        if self.gossip.borrow().entries != entries {
            info!(self.log, "entries"; "count" => entries.len());
            self.dispatcher.send_entries(&entries);
            self.gossip.send_modify(|gossip| gossip.entries = entries);
        }
    }

    fn begin_stop(&mut self, now_ms: u64) {
        if self.stop_ms.is_none() {
            info!(self.log, "stopping"; "open_jobs" => self.dispatcher.unfinished_jobs());
            self.stop_ms = Some(now_ms);
            self.ledger.begin_stop(now_ms, &mut self.dispatcher);
        }
    }

    fn follow_stop(&mut self) {
        let Some(stop_ms) = self.stop_ms else {
            return;
        };
        let since_ms = self.clock.now_ms().saturating_sub(stop_ms);
        if since_ms >= self.settings.stop_notice_ms && !*self.http_stop.borrow() {
            self.http_stop.send_replace(true);
        }
        if since_ms + STOP_LAST_JOB_MS >= self.settings.tunables.stop_limit_ms {
            self.dispatcher.begin_stop();
        }
    }

    fn may_end(&self) -> bool {
        let Some(stop_ms) = self.stop_ms else {
            return false;
        };
        let is_over = self.clock.now_ms() >= stop_ms + self.settings.tunables.stop_limit_ms;
        let is_served = *self.http_stop.borrow() && self.open.count() == 0;
        is_over || is_served && self.ledger.may_stop()
    }

    fn carry_out(&mut self) {
        for action in self.dispatcher.take_actions() {
            match action {
                DispatcherAction::Answer(caller, outcome) => {
                    if let Some(answer) = self.callers.remove(&caller) {
                        // A caller that left needs no answer.
                        let _ = answer.send(outcome);
                    }
                }
                DispatcherAction::Send(link, frame) => {
                    if let Some((sender, _)) = self.links.get(&link) {
                        match encode(&frame) {
                            Ok(bytes) => sender.send(bytes),
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

type BoxedDial = dyn Fn(SocketAddr) -> std::pin::Pin<Box<dyn Future<Output = bool>>>;

/// The connections to other entries.
struct PeerDialers {
    dialers: Dialers<Box<BoxedDial>>,
    refreshed_ms: u64,
    clock: Clock,
}

impl PeerDialers {
    fn refresh(&mut self) {
        self.refreshed_ms = self.clock.now_ms();
        self.dialers.refresh();
    }

    fn refresh_if_due(&mut self) {
        if self.clock.now_ms() >= self.refreshed_ms + REFRESH_MS {
            self.refresh();
        }
    }
}

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
    let found = |update| {
        // Without a receiver the process is about to end.
        let _ = inputs.send(Input::Operators(update));
    };
    store.watch(hedge_context, found).await;
}

/// Makes the entry known, and finds those that are known already.
async fn meet(store: StoreClient, own: SocketAddr, inputs: UnboundedSender<Input>) {
    let announced = store.announced().await;
    let is_known = announced.entries.contains(&own);
    // Without a receiver the process is about to end.
    let _ = inputs.send(Input::Entries(announced.entries));
    if announced.has_stored_jobs {
        // Without a receiver the process is about to end.
        let _ = inputs.send(Input::Stored(StoredInput::Known));
    }
    if !is_known {
        store.announce(own).await;
    }
}

async fn send_refreshes(inputs: UnboundedSender<Input>) {
    while inputs.send(Input::Refresh).is_ok() {
        tokio::time::sleep(Duration::from_millis(REFRESH_MS)).await;
    }
}
