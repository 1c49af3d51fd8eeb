//! The agent beside a minion: it alone admits tasks there and answers for
//! what runs.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use gannetvane_wire::Name;
use gannetvane_wire::NodeId;

use crate::AgentFrame;
use crate::AgentHello;
use crate::Busy;
use crate::Demand;
use crate::End;
use crate::EntryFrame;
use crate::KEEPALIVE_MS;
use crate::KeptEnd;
use crate::LinkId;
use crate::Order;
use crate::OrderId;
use crate::Report;
use crate::Room;
use crate::RunKey;
use crate::StartOrder;
use crate::lifetimes::Candidate;
use crate::minion::Minion;
use crate::pace::Pace;
use crate::runtable::Phase;
use crate::runtable::Run;
use crate::runtable::RunTable;

/// Shortest pause between frames that only tell of changed room, in
/// milliseconds. Room changes about a hundred times a second at full load.
const ROOM_NEWS_MS: u64 = 20;
/// Tasks that may wait here for room; a place frees every few milliseconds, so
/// that waiting longer would be better done at the entry.
const PARKED_AT_MOST: usize = 2;
/// Entries for which [`ROOM_NEWS_MS`] is meant; with more of them the pause
/// grows, so that news cost an agent and its entries no more in a larger fleet.
const ENTRIES_AT_FULL_RATE: u64 = 3;

/// Who an agent is, for as long as its process runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgentIdentity {
    /// The run of the process.
    pub node: NodeId,
    /// Name of its host.
    pub host: Name,
    /// Availability zone.
    pub zone: Name,
}

/// What an agent asks the process around it to do.
#[derive(Clone, Debug, PartialEq)]
pub enum AgentAction {
    /// Start a run; the result goes to [`Agent::start_answered`].
    Start {
        /// The minion's lifetime.
        instance: Name,
        /// The run.
        key: RunKey,
        /// Text for the task.
        spec: Name,
        /// End of the lease on the minion's clock.
        deadline_ms: u64,
        /// The agent's epoch.
        epoch: u64,
    },
    /// Stop a run, or forbid it; the result goes to [`Agent::stop_answered`].
    Stop {
        /// The minion's lifetime.
        instance: Name,
        /// The run.
        key: RunKey,
        /// The agent's epoch.
        epoch: u64,
    },
    /// Extend the lease and list; the result goes to [`Agent::listed`].
    Hold {
        /// Number of the call.
        call: u64,
        /// The minion's lifetime.
        instance: Name,
        /// The agent's epoch; 0 to learn the clock only.
        epoch: u64,
        /// Ends up to this number may be forgotten.
        acked_through: u64,
        /// New end of the lease on the minion's clock.
        deadline_ms: Option<u64>,
        /// Longest time that the answer may wait for an end.
        wait_ms: u64,
    },
    /// Greet an entry.
    Greet(LinkId, AgentHello),
    /// Send a frame.
    Send(LinkId, AgentFrame),
    /// Close a connection.
    Close(LinkId),
    /// Connect to these entries as well.
    Entries(Vec<SocketAddr>),
    /// Something for the log and the counters.
    Note(AgentNote),
}

/// Something worth a line in the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgentNote {
    /// Name of the event; each has one meaning.
    pub event: &'static str,
    /// The job that it is about, if it is about one.
    pub job: Option<Name>,
    /// What decided it.
    pub detail: String,
}

/// One connection to an entry.
#[derive(Debug)]
pub(crate) struct Link {
    addr: SocketAddr,
    grant_until_ms: u64,
    is_greeted: bool,
    /// Whether it takes no more starts and ends with its last run.
    is_retiring: bool,
    starts_seen: u64,
    reports: Vec<Report>,
    last_sent_ms: u64,
    last_free: Room,
    /// What the entry told of its demand.
    demand: Demand,
}

/// The core of an agent.
#[derive(Debug)]
pub struct Agent {
    pub(crate) identity: AgentIdentity,
    pub(crate) minion: Option<Minion>,
    pub(crate) candidate: Option<Candidate>,
    pub(crate) runs: RunTable,
    pub(crate) links: BTreeMap<LinkId, Link>,
    pub(crate) pace: Pace,
    pub(crate) is_stopping: bool,
    pub(crate) next_call: u64,
    pub(crate) actions: Vec<AgentAction>,
}

impl Agent {
    /// The core of an agent that just started.
    #[must_use]
    pub fn new(identity: AgentIdentity) -> Self {
        Self {
            identity,
            minion: None,
            candidate: None,
            runs: RunTable::default(),
            links: BTreeMap::new(),
            pace: Pace::default(),
            is_stopping: false,
            next_call: 1,
            actions: Vec::new(),
        }
    }

    /// Takes what there is to do since the last call.
    pub fn take_actions(&mut self) -> Vec<AgentAction> {
        std::mem::take(&mut self.actions)
    }

    /// Whether starts are admitted.
    #[must_use]
    pub fn is_open(&self) -> bool {
        !self.is_stopping && self.minion.as_ref().is_some_and(Minion::is_open)
    }

    /// Whether a planned stop may end the process now.
    #[must_use]
    pub fn may_stop(&self) -> bool {
        let minion = self.minion.as_ref();
        let is_settled = minion.is_none_or(|minion| minion.unsettled.is_empty());
        self.is_stopping && self.runs.is_empty() && is_settled
    }

    /// Runs that take room on the minion.
    #[must_use]
    pub fn active_runs(&self) -> usize {
        self.runs.iter().filter(|run| run.takes_room()).count()
    }

    /// Connections to entries that may order starts.
    #[must_use]
    pub fn greeted_links(&self) -> usize {
        self.links.values().filter(|link| link.is_greeted).count()
    }

    /// A connection to an entry is open.
    pub fn link_up(&mut self, now_ms: u64, link: LinkId, addr: SocketAddr) {
        let state = Link {
            addr,
            grant_until_ms: now_ms + crate::GRANT_MS,
            is_greeted: false,
            is_retiring: false,
            starts_seen: 0,
            reports: Vec::new(),
            last_sent_ms: now_ms,
            last_free: Room::default(),
            demand: Demand::default(),
        };
        self.links.insert(link, state);
        self.greet_links(now_ms);
    }

    /// A connection to an entry broke: what the entry ordered is stopped.
    pub fn link_down(&mut self, now_ms: u64, link: LinkId) {
        if self.links.remove(&link).is_some() {
            self.abandon(now_ms, link, "link-broken");
        }
    }

    /// Keeps links to these entries only: once each of them has one, the others
    /// take no more starts and are closed when nothing of theirs runs.
    pub fn keep_links(&mut self, entries: &BTreeSet<SocketAddr>) {
        let linked: BTreeSet<SocketAddr> = self.links.values().map(|link| link.addr).collect();
        if !entries.is_subset(&linked) {
            return;
        }
        let extra = self.links.values_mut();
        let extra = extra.filter(|link| !entries.contains(&link.addr) && !link.is_retiring);
        let retired = extra.map(|link| link.is_retiring = true).count();
        if retired > 0 {
            self.note("links-retired", None, format!("links={retired}"));
        }
    }

    /// A frame of an entry arrived.
    pub fn frame(&mut self, now_ms: u64, link: LinkId, frame: EntryFrame) {
        let Some(state) = self.links.get_mut(&link) else {
            return;
        };
        if frame.grant_until_ms < now_ms || state.grant_until_ms < now_ms {
            self.expire_link(now_ms, link);
            return;
        }
        state.grant_until_ms = frame.grant_until_ms;
        state.demand = frame.demand;
        for order in frame.orders {
            match order {
                Order::Start(start) => self.start_ordered(now_ms, link, start),
                Order::Stop(order) => self.stop_ordered(now_ms, link, order),
                Order::Settled(number, settlement) => {
                    self.end_settled(now_ms, number, settlement);
                }
                Order::Entries(entries) => self.actions.push(AgentAction::Entries(entries)),
            }
        }
    }

    /// Begins a planned stop: nothing more is started, what runs may end.
    pub fn begin_stop(&mut self) {
        self.is_stopping = true;
        self.close_intake();
    }

    /// Does what is due; returns when to call again at the latest.
    pub fn tick(&mut self, now_ms: u64) -> u64 {
        self.watch_ends(now_ms);
        self.expire_links(now_ms);
        self.close_retired();
        self.watch_minion(now_ms);
        self.watch_candidate(now_ms);
        self.repeat_starts(now_ms);
        self.copy_starts(now_ms);
        self.start_parked(now_ms);
        self.greet_links(now_ms);
        self.hold_if_due(now_ms);
        self.send_frames(now_ms);
        self.next_due_ms(now_ms)
    }

    fn next_due_ms(&self, now_ms: u64) -> u64 {
        let keepalive = |link: &Link| link.last_sent_ms + KEEPALIVE_MS;
        let links = self.links.values().filter(|link| link.is_greeted);
        let frames_ms = links.map(keepalive).min();
        let greeted = self.links.values().filter(|link| link.is_greeted);
        let grants_ms = greeted.map(|link| link.grant_until_ms + 1).min();
        let minion_ms = self.minion_due_ms(now_ms);
        [frames_ms, grants_ms, minion_ms]
            .into_iter()
            .flatten()
            .min()
            .unwrap_or(now_ms + 1_000)
            .max(now_ms + 1)
    }

    fn start_ordered(&mut self, now_ms: u64, link: LinkId, start: StartOrder) {
        let mut is_retiring = false;
        if let Some(state) = self.links.get_mut(&link) {
            state.starts_seen += 1;
            is_retiring = state.is_retiring;
        }
        if !self.is_open() || is_retiring {
            self.report_end(link, start.id, End::NotStarted(Busy::Closing), 0);
            return;
        }
        let (order, may_wait) = (start.id, start.may_wait);
        self.runs.insert(Run::parked(now_ms, link, start));
        self.start_parked(now_ms);
        let is_parked = self
            .runs
            .get(link, order)
            .is_some_and(|run| run.phase == Phase::Parked);
        if is_parked && !may_wait {
            self.refuse(link, order);
        }
        self.bound_parked();
    }

    fn stop_ordered(&mut self, now_ms: u64, link: LinkId, order: OrderId) {
        let Some(run) = self.runs.get(link, order) else {
            return;
        };
        if run.phase == Phase::Parked {
            self.runs.remove(link, order);
            self.report_end(link, order, End::Stopped, 0);
        } else {
            self.stop_run(now_ms, link, order);
        }
    }

    /// Starts what waits and fits, the most urgent first.
    pub(crate) fn start_parked(&mut self, now_ms: u64) {
        if !self.is_open() || !self.may_extend_lease(now_ms) {
            return;
        }
        let Some(minion) = &self.minion else {
            return;
        };
        let mut free = minion.capacity().minus(&self.runs.taken());
        for (link, order) in self.runs.parked_by_urgency() {
            let Some(run) = self.runs.get(link, order) else {
                continue;
            };
            if !free.holds(&run.needs) || self.runs.is_task_active(&run.key) {
                continue;
            }
            free = free.minus(&run.needs);
            self.start_run(now_ms, link, order);
        }
    }

    fn refuse(&mut self, link: LinkId, order: OrderId) {
        self.runs.remove(link, order);
        self.report_end(link, order, End::NotStarted(Busy::Full), 0);
    }

    /// Refuses the least urgent of too many that wait.
    fn bound_parked(&mut self) {
        let parked = self.runs.parked_by_urgency();
        for (link, order) in parked.into_iter().skip(PARKED_AT_MOST) {
            self.refuse(link, order);
        }
    }

    fn close_intake(&mut self) {
        for (link, order) in self.runs.parked_by_urgency() {
            self.runs.remove(link, order);
            self.report_end(link, order, End::NotStarted(Busy::Closing), 0);
        }
    }

    /// Refuses what waits when the minion or the agent takes no more.
    pub(crate) fn refuse_parked(&mut self) {
        if !self.is_open() {
            self.close_intake();
        }
    }

    /// Stops all that came over a link that is gone.
    fn abandon(&mut self, now_ms: u64, link: LinkId, cause: &'static str) {
        self.keep_ends(now_ms, link);
        let orders = self.runs.orders_of(link);
        if !orders.is_empty() {
            self.note(
                "runs-abandoned",
                None,
                format!("cause={cause} runs={}", orders.len()),
            );
        }
        for order in orders {
            let is_parked = self
                .runs
                .get(link, order)
                .is_some_and(|run| run.phase == Phase::Parked);
            if is_parked {
                self.runs.remove(link, order);
            } else {
                self.stop_run(now_ms, link, order);
            }
        }
    }

    fn expire_links(&mut self, now_ms: u64) {
        let is_expired = |link: &Link| link.is_greeted && link.grant_until_ms < now_ms;
        let expired: Vec<LinkId> = self
            .links
            .iter()
            .filter(|(_, link)| is_expired(link))
            .map(|(id, _)| *id)
            .collect();
        for link in expired {
            self.expire_link(now_ms, link);
        }
    }

    fn close_retired(&mut self) {
        let minion = self.minion.as_ref();
        let awaits = |link: LinkId| minion.is_some_and(|minion| minion.unsettled.awaits(link));
        let has_runs = |link: LinkId| !self.runs.orders_of(link).is_empty() || awaits(link);
        let retired = self.links.iter().filter(|(_, link)| link.is_retiring);
        let done: Vec<LinkId> = retired
            .map(|(id, _)| *id)
            .filter(|id| !has_runs(*id))
            .collect();
        for link in done {
            self.links.remove(&link);
            self.actions.push(AgentAction::Close(link));
        }
    }

    fn expire_link(&mut self, now_ms: u64, link: LinkId) {
        if let Some(state) = self.links.remove(&link) {
            let silent_ms = now_ms.saturating_sub(state.grant_until_ms);
            self.note(
                "grant-expired",
                None,
                format!("entry={} late_ms={silent_ms}", state.addr),
            );
            self.actions.push(AgentAction::Close(link));
            self.abandon(now_ms, link, "grant-expired");
        }
    }

    /// Closes all links, since the minion they were greeted for is gone.
    pub(crate) fn close_links(&mut self, now_ms: u64) {
        let links: Vec<LinkId> = self.links.keys().copied().collect();
        for link in links {
            self.links.remove(&link);
            self.actions.push(AgentAction::Close(link));
            self.abandon(now_ms, link, "minion-gone");
        }
    }

    /// Greets the entries of which nothing earlier is left here.
    pub(crate) fn greet_links(&mut self, now_ms: u64) {
        let Some(minion) = self.minion.as_ref().filter(|minion| minion.is_clean()) else {
            return;
        };
        let hello = minion.hello(&self.identity, now_ms);
        let closed = self
            .runs
            .iter()
            .filter(|run| !self.links.contains_key(&run.link));
        let has_leftovers = closed.count() > 0;
        if has_leftovers {
            return;
        }
        for (id, link) in &mut self.links {
            if !link.is_greeted {
                link.is_greeted = true;
                link.grant_until_ms = now_ms + crate::GRANT_MS;
                self.actions.push(AgentAction::Greet(*id, hello.clone()));
            }
        }
    }

    pub(crate) fn send_frames(&mut self, now_ms: u64) {
        let Some(minion) = &self.minion else {
            return;
        };
        let free = minion.capacity().minus(&self.runs.promised());
        let parked = self.runs.parked_by_urgency().len();
        let is_open = self.is_open();
        let entries = self.links.len() as u64;
        let news_ms = ROOM_NEWS_MS * entries.div_ceil(ENTRIES_AT_FULL_RATE).max(1);
        let speed_permille = self.pace.permille(now_ms);
        let demands = self.links.values().map(|link| link.demand);
        let demand = demands.fold(Demand::default(), Demand::plus);
        for (id, link) in &mut self.links {
            let pause_ms = now_ms.saturating_sub(link.last_sent_ms);
            let is_keepalive = pause_ms >= KEEPALIVE_MS;
            let has_news = free != link.last_free && pause_ms >= news_ms;
            let is_due = !link.reports.is_empty() || has_news || is_keepalive;
            if !link.is_greeted || !is_due {
                continue;
            }
            let mut reports = std::mem::take(&mut link.reports);
            if is_keepalive {
                reports.extend(self.runs.progress(*id));
            }
            link.last_sent_ms = now_ms;
            link.last_free = free;
            let frame = AgentFrame {
                clock_ms: now_ms,
                starts_seen: link.starts_seen,
                free,
                speed_permille,
                parked: u32::try_from(parked).unwrap_or(u32::MAX),
                is_open: is_open && !link.is_retiring,
                demand,
                reports,
            };
            self.actions.push(AgentAction::Send(*id, frame));
        }
    }

    /// Tells the entry how a run ended, if its link is still open.
    pub(crate) fn report_end(&mut self, link: LinkId, order: OrderId, end: End, ran_ms: u64) {
        if let Some(state) = self.links.get_mut(&link) {
            state.reports.push(Report::Ended {
                order,
                end,
                ran_ms: u32::try_from(ran_ms).unwrap_or(u32::MAX),
                kept: None,
            });
        }
    }

    /// Tells the entry of the end of a stored run, which the minion keeps.
    pub(crate) fn report_kept_end(
        &mut self,
        link: LinkId,
        order: OrderId,
        end: &KeptEnd,
        ran_ms: u64,
    ) {
        if let Some(state) = self.links.get_mut(&link) {
            state.reports.push(Report::Ended {
                order,
                end: if end.is_done { End::Done } else { End::Failed },
                ran_ms: u32::try_from(ran_ms).unwrap_or(u32::MAX),
                kept: Some(end.number),
            });
        }
    }

    /// Tells all entries something.
    pub(crate) fn report_to_all(&mut self, report: &Report) {
        for link in self.links.values_mut().filter(|link| link.is_greeted) {
            link.reports.push(report.clone());
        }
    }

    pub(crate) fn note(&mut self, event: &'static str, job: Option<Name>, detail: String) {
        self.actions
            .push(AgentAction::Note(AgentNote { event, job, detail }));
    }
}
