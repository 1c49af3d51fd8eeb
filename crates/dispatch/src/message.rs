//! Frames between processes, encoded by `postcard`.

use std::net::SocketAddr;

use gannetvane_wire::Name;
use gannetvane_wire::NodeId;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::Crash;
use crate::Evacuations;
use crate::Resources;
use crate::RoutingTable;
use crate::StoredAnswer;
use crate::StoredCall;
use crate::TaskId;

/// One connection between an entry and another process, numbered by the
/// process that holds this end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinkId(pub u64);

/// Number of a start order, unique within one run of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct OrderId(pub u64);

/// First frame of the process that opened a connection to an entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Greeting {
    /// An agent whose minion has nothing of an earlier connection left.
    Agent(AgentHello),
    /// Another entry, and where it accepts connections.
    Entry(SocketAddr),
    /// Another entry that asks about stored jobs.
    StoredCalls,
}

/// A call about a stored job, from the entry that its caller reached.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoredRequest {
    /// Number of the call on its connection.
    pub number: u64,
    /// The call.
    pub call: StoredCall,
}

/// The answer of the entry that owns the job's partition.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredReply {
    /// Number of the call.
    pub number: u64,
    /// The answer.
    pub answer: StoredAnswer,
}

/// Who an agent is and what its minion offers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AgentHello {
    /// The run of the agent.
    pub node: NodeId,
    /// Name of its host, the same after a restart.
    pub host: Name,
    /// Availability zone.
    pub zone: Name,
    /// The service of its minion.
    pub service: Name,
    /// Labels of its minion.
    pub labels: Vec<Name>,
    /// All of its minion's room.
    pub capacity: Resources,
    /// The agent's steady clock in milliseconds.
    pub clock_ms: u64,
    /// Ends that wait for an owner.
    pub retained_ends: Vec<RetainedEnd>,
    /// Crashes of its minions under tasks.
    pub crashes: Vec<Crash>,
    /// The life of its minion: its id and its birth.
    pub incarnation: Name,
}

/// Work that comes for a service, and work that waits for room there.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// Work that came of late, in thousandths of a core.
    pub offered_milli: u32,
    /// Work that waits at entries, in cores by milliseconds.
    pub waiting_core_ms: u32,
}

impl Demand {
    /// Both together.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            offered_milli: self.offered_milli.saturating_add(other.offered_milli),
            waiting_core_ms: self.waiting_core_ms.saturating_add(other.waiting_core_ms),
        }
    }

    /// What is left without the other; never below zero.
    #[must_use]
    pub fn minus(self, other: Self) -> Self {
        Self {
            offered_milli: self.offered_milli.saturating_sub(other.offered_milli),
            waiting_core_ms: self.waiting_core_ms.saturating_sub(other.waiting_core_ms),
        }
    }
}

/// Frame from an entry to an agent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EntryFrame {
    /// Time on the agent's steady clock until which the tasks of this link
    /// may run. A frame that arrives later than that is void, with its orders.
    pub grant_until_ms: u64,
    /// This agent's part of the demand on its service that the entry knows.
    pub demand: Demand,
    /// What to do.
    pub orders: Vec<Order>,
}

/// What an entry asks of an agent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Order {
    /// Start a task.
    Start(StartOrder),
    /// Tasks wait for room: offer some when there is any.
    Probe(Probe),
    /// The job failed on several hosts, so its failures say nothing of this one.
    DiscountFailures(Name),
    /// The room that was offered is of no use any more.
    DeclineOffer,
    /// Stop what an earlier order started, or forget it.
    Stop(OrderId),
    /// The end with this number in the minion's lifetime is settled.
    Disposition(u64, Disposition),
    /// Entries to connect to.
    Entries(Vec<SocketAddr>),
    /// Zones in which nothing is to be started.
    Evacuations(Evacuations),
}

/// What becomes of an end of a stored task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Disposition {
    /// It lies in the job log.
    Recorded,
    /// The task was started anew, or its job is gone: the end must not count.
    Superseded,
    /// Another entry owns the job now.
    NotOwner,
}

/// An end of a stored task that its minion keeps until it is settled.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RetainedEnd {
    /// Its number in the minion's lifetime.
    pub number: u64,
    /// The task.
    pub task: TaskId,
    /// Number of the run.
    pub run: u32,
    /// Whether its work is done; otherwise it failed.
    pub is_done: bool,
}

/// The order to start a task.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StartOrder {
    /// Number of the order.
    pub id: OrderId,
    /// The task.
    pub task: TaskId,
    /// Number of the run, rising with each start of the task.
    pub run: u32,
    /// Text for the task.
    pub spec: Name,
    /// Whether minions crashed under it, so that it runs beside no other such task:
    /// a crash then tells which of them is at fault.
    pub is_suspect: bool,
    /// What it needs.
    pub needs: Resources,
    /// Run time expected on a minion of ordinary speed, in milliseconds.
    pub expected_ms: u32,
    /// Whether the minion keeps its end until that is settled.
    pub is_stored: bool,
}

/// Tasks that found no room anywhere and could start at this agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Probe {
    /// What each of them needs.
    pub needs: Resources,
    /// How many there are at most.
    pub tasks: u32,
    /// Time in milliseconds within which they should start.
    pub slack_ms: u32,
}

/// Frame from an agent to an entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AgentFrame {
    /// The agent's steady clock in milliseconds.
    pub clock_ms: u64,
    /// Start orders received on this link so far.
    pub starts_received: u64,
    /// Room that is neither taken nor promised.
    pub free: Resources,
    /// Speed of the minion of late, in thousandths of the ordinary one.
    pub speed_permille: u32,
    /// Whether starts are admitted.
    pub is_accepting_starts: bool,
    /// Whether some of the free room is kept for this entry, until a start or
    /// word that it is not needed.
    pub has_offer: bool,
    /// What all entries told this agent of their demand, together.
    pub demand: Demand,
    /// What happened.
    pub reports: Vec<Report>,
}

/// What an agent tells of an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Report {
    /// The run has ended, or will never begin.
    Ended {
        /// The order.
        order: OrderId,
        /// How.
        end: RunEnd,
        /// Time that it ran, in milliseconds.
        ran_ms: u32,
        /// Number under which the minion keeps the end until it is settled.
        retained_number: Option<u64>,
    },
    /// Ends that wait for an owner.
    RetainedEnds(Vec<RetainedEnd>),
    /// All room of the minion, which has shrunk or grown.
    Capacity(Resources),
    /// How far a run is.
    Progress {
        /// The order.
        order: OrderId,
        /// Part of the work that is done.
        percent: u8,
        /// Time since the start, in milliseconds.
        elapsed_ms: u32,
        /// Time since the percentage last changed, in milliseconds.
        idle_ms: u32,
    },
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunEnd {
    /// Its work is done.
    Done,
    /// It failed.
    Failed,
    /// It was stopped on the entry's order.
    Stopped,
    /// It ended with its lease or its minion, which may never have taken it.
    Lost,
    /// Its minion crashed, and had taken it.
    Crashed(CrashEvidence),
    /// Its minion ended, and a later life of the minion that keeps the id may carry
    /// out the call that starts it, until the agent has shown its epoch there and
    /// greets again.
    Unsettled {
        /// What that tells of the task, if the minion crashed and had taken it.
        crash: Option<CrashEvidence>,
    },
    /// It never began.
    NotStarted(NotStartedReason),
}

/// How surely a task was at work when its minion crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CrashEvidence {
    /// The minion had answered for it, and its work may have ended untold since.
    Weak,
    /// A connection broke while the minion had it.
    Strong,
    /// The agent was lost with the minion, so that nobody saw the end of the run.
    Unseen,
}

impl CrashEvidence {
    /// How much all signs together speak against a task. A host that is lost with all
    /// that runs there says nothing by itself.
    pub(crate) fn weight(all_evidence: impl Iterator<Item = Self> + Clone) -> u32 {
        let is_proven = all_evidence
            .clone()
            .any(|evidence| evidence == Self::Strong);
        let weights = all_evidence.map(|evidence| match evidence {
            Self::Strong => 2,
            Self::Weak => 1,
            Self::Unseen => u32::from(is_proven),
        });
        weights.sum()
    }
}

/// Why a run never began.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum NotStartedReason {
    /// The agent has no room.
    Full,
    /// The minion is leaving, or the agent is.
    Closing,
    /// The minion refused it.
    Unhealthy,
    /// The minion gave no answer; the run was forbidden there.
    NoAnswer,
    /// The minion has seen this run or a later one.
    OldRun,
}

/// An entry that somebody reached, and how long ago.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SeenEntry {
    /// Where it accepts connections.
    pub addr: SocketAddr,
    /// Time since it was reached, in milliseconds.
    pub age_ms: u32,
}

/// Frame between entries.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PeerFrame {
    /// Entries that the sender knows; empty in most frames.
    pub entries: Vec<SeenEntry>,
    /// The configuration of the sender, when it changed since the last frame.
    pub table: Option<RoutingTable>,
    /// Whether the sender knows of stored jobs.
    pub has_stored_jobs: bool,
    /// The zones that are being emptied, when the sender's picture changed since
    /// the last frame.
    pub evacuations: Option<Evacuations>,
    /// Crashes of minions under tasks that became known since the last frame.
    pub crashes: Vec<Crash>,
}

/// Answer of an entry to each frame of another one: the connection works.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerAck;

/// Encodes a frame.
///
/// # Errors
///
/// An error of `postcard` when the value has no encoding.
pub fn encode<T: Serialize>(frame: &T) -> Result<Vec<u8>, postcard::Error> {
    postcard::to_stdvec(frame)
}

/// Decodes a frame.
///
/// # Errors
///
/// An error of `postcard` when the bytes are no such frame.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, postcard::Error> {
    postcard::from_bytes(bytes)
}
