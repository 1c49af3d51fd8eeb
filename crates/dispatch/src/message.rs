//! Frames between entries and agents and among entries, encoded by `postcard`.
//!
//! An agent opens a link to each of its entries and sends a [`Greeting`]. The entry then sends
//! [`EntryFrame`]s and the agent [`AgentFrame`]s. Entries send each other [`PeerFrame`]s on
//! one kind of connection, and calls about stored jobs on another.

use std::net::SocketAddr;

use gannetvane_wire::Name;
use gannetvane_wire::NodeId;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::Crash;
use crate::DelayedStart;
use crate::Evacuations;
use crate::PROBATION_MS;
use crate::Resources;
use crate::RoutingTable;
use crate::StoredAnswer;
use crate::StoredCall;
use crate::TaskId;
use crate::WitnessedStarts;

/// Number of a connection between an entry and another process. Each of the two processes
/// numbers its own connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinkId(pub u64);

/// Number of a start order, unique for an entry until its process restarts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct OrderId(pub u64);

/// First frame on a connection to an entry, from the process that opened it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Greeting {
    /// The sender is an agent. No run ordered on a closed connection is left on its minion.
    Agent(AgentHello),
    /// The sender is an entry that gossips on this connection; it accepts connections at
    /// this address.
    Entry(SocketAddr),
    /// The sender is an entry that sends [`StoredRequest`]s on this connection.
    StoredCalls,
}

/// Call about a stored job, sent by the entry that the caller reached to the entry that may
/// own the partition of the job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoredRequest {
    /// Number of the call, unique on its connection.
    pub number: u64,
    /// Call that the owner is to carry out.
    pub call: StoredCall,
}

/// Answer to a [`StoredRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredReply {
    /// Number of the call that is answered.
    pub number: u64,
    /// Result of the call.
    pub answer: StoredAnswer,
}

/// An agent and its minion, as the agent introduces them to an entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AgentHello {
    /// Id of the agent's process; another one after a restart.
    pub node: NodeId,
    /// Name of the agent's host; the same after a restart.
    pub host: Name,
    /// Availability zone of the host.
    pub zone: Name,
    /// Service whose tasks the minion runs.
    pub service: Name,
    /// Labels of the minion.
    pub labels: Vec<Name>,
    /// Capacity of the minion.
    pub capacity: Resources,
    /// The agent's steady clock when it sent the frame, in milliseconds.
    pub clock_ms: u64,
    /// Retained ends for which no owner has decided a disposition yet.
    pub retained_ends: Vec<RetainedEnd>,
    /// Recent crashes of the agent's minions under tasks.
    pub crashes: Vec<Crash>,
    /// Incarnation of the minion: its id, and its start time if the minion reports it.
    pub incarnation: Name,
    /// All starts that the agent sent and that its minion may still carry out.
    pub delayed_starts: Vec<DelayedStart>,
    /// Time after a start was sent at which nothing of it can be left even if no process
    /// controls the minion, in milliseconds; 0 if no later incarnation of the minion can have
    /// its id.
    pub max_start_delay_ms: u64,
    /// Time for which runs may go on without an agent because a call that was meant for an
    /// earlier incarnation may have extended the lease, in milliseconds; 0 if none did.
    pub inherited_lease_ms: u64,
    /// Starts of entries that the agent has lost, which it holds as their witness.
    pub witnessed_starts: Vec<DelayedStart>,
}

/// Work that callers submit for a service, and work that waits for resources there.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// Recent rate of work, in thousandths of a core.
    pub offered_milli: u32,
    /// Work that waits at entries, in core-milliseconds (cores times milliseconds).
    pub waiting_core_ms: u32,
}

impl Demand {
    /// Returns the sum of two demands.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            offered_milli: self.offered_milli.saturating_add(other.offered_milli),
            waiting_core_ms: self.waiting_core_ms.saturating_add(other.waiting_core_ms),
        }
    }

    /// Returns this demand less the other, at least zero.
    #[must_use]
    pub fn minus(self, other: Self) -> Self {
        Self {
            offered_milli: self.offered_milli.saturating_sub(other.offered_milli),
            waiting_core_ms: self.waiting_core_ms.saturating_sub(other.waiting_core_ms),
        }
    }
}

/// Frame from an entry to an agent, sent at least every [`KEEPALIVE_MS`](crate::KEEPALIVE_MS).
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EntryFrame {
    /// End of the grant: the entry's runs may go on until this time on the agent's steady
    /// clock, in milliseconds. The agent ignores a frame that arrives after this time, with
    /// its orders.
    pub grant_until_ms: u64,
    /// The entry's demand on the agent's service, divided by the number of agents of the
    /// service that the entry is linked to.
    pub demand: Demand,
    /// Specs that the start orders refer to. A spec may be longer than all the rest of an
    /// order, so tasks of one job share it.
    pub specs: Vec<Name>,
    /// Orders, carried out in this order.
    pub orders: Vec<Order>,
}

/// Order of an entry to an agent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Order {
    /// Start a task.
    Start(StartOrder),
    /// Tasks wait for resources at the entry: offer some when there are any.
    Probe(Probe),
    /// The job with this id failed on several hosts: don't count its failures against this
    /// minion.
    DiscountFailures(Name),
    /// The entry no longer needs the resources that the agent reserved for it.
    DeclineOffer,
    /// Stop the run that the order with this number started, or forget the order.
    Stop(OrderId),
    /// The disposition of the retained end with this number of the minion's incarnation.
    Disposition(u64, Disposition),
    /// Addresses of recently seen entries, of which the agent chooses those to connect to.
    Entries(Vec<SocketAddr>),
    /// Evacuated zones, in which no task may start.
    Evacuations(Evacuations),
    /// Hold starts that other agents are ordered to send, or replace what is held of them.
    Witness(WitnessedStarts),
    /// Forget these witnessed starts: nothing of them can be carried out late.
    ForgetWitnessed(Vec<OrderId>),
    /// Give no other entry what is free or becomes free, since a large task of this entry
    /// waits for it. The order has to be repeated while that lasts.
    Reserve,
}

/// What the owner of a stored job decided on a retained end of one of its tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Disposition {
    /// The end is recorded in the job log.
    Recorded,
    /// The task was started again, or its job has ended or is unknown: the end must not
    /// count.
    Superseded,
    /// The entry doesn't own the partition of the job.
    NotOwner,
}

/// End of a stored task's run that the minion retains until the owner has decided on it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RetainedEnd {
    /// Number of the end, unique for the minion's incarnation.
    pub number: u64,
    /// Task of the run.
    pub task: TaskId,
    /// Number of the run.
    pub run: u32,
    /// Whether the run did its work; otherwise it failed.
    pub is_done: bool,
}

/// Order to start a task.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StartOrder {
    /// Number of the order.
    pub id: OrderId,
    /// Task to start.
    pub task: TaskId,
    /// Number of the run; it rises with each start of the task.
    pub run: u32,
    /// Index of the text that is passed to the task, in [`EntryFrame::specs`].
    pub spec: u32,
    /// How strongly the task is suspected to crash its minions.
    pub suspicion: Suspicion,
    /// Resources that the task needs.
    pub needs: Resources,
    /// Expected run time on a minion of ordinary speed, in milliseconds.
    pub expected_ms: u32,
    /// Whether the task belongs to a stored job, so that the minion retains the run's end
    /// until the owner has decided on it.
    pub is_stored: bool,
}

/// How strongly a task is suspected to crash its minions, which decides what it may be
/// started beside.
///
/// A suspect is on probation from its start until its minion has run it for some time. A
/// crash that ends the probation of an isolated suspect speaks against that one, and hardly
/// against those that have passed theirs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Suspicion {
    /// No minion crashed under it.
    #[default]
    None,
    /// Minions crashed under it, and one more crash would not fail its job. It starts beside
    /// no isolated suspect of another job that is on probation.
    Shared,
    /// One more crash may fail its job. It starts beside no suspect of another job that is
    /// on probation, so that a crash shows which job caused it.
    Isolated {
        /// Length of its probation, in milliseconds.
        probation_ms: u32,
    },
}

impl Suspicion {
    /// Returns whether minions crashed under the task.
    #[must_use]
    pub fn is_suspect(self) -> bool {
        self != Self::None
    }

    /// Returns whether the task may start beside one of another job that is on probation.
    pub(crate) fn may_start_beside(self, other: Self) -> bool {
        match (self, other) {
            (Self::None, _) | (_, Self::None) => true,
            (Self::Shared, Self::Shared) => true,
            (Self::Isolated { .. }, _) | (_, Self::Isolated { .. }) => false,
        }
    }

    /// Returns whether one more crash may fail the task's job.
    pub(crate) fn is_isolated(self) -> bool {
        matches!(self, Self::Isolated { .. })
    }

    /// Returns how long the task is on probation, in milliseconds.
    pub(crate) fn probation_ms(self) -> u64 {
        match self {
            Self::None => 0,
            Self::Shared => PROBATION_MS,
            Self::Isolated { probation_ms } => u64::from(probation_ms),
        }
    }
}

/// Tasks that wait for resources at an entry and could start at the agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Probe {
    /// Resources that each of the tasks needs.
    pub needs: Resources,
    /// Largest number of tasks to reserve resources for.
    pub tasks: u32,
    /// Time within which the tasks should start, in milliseconds. The agent serves probes
    /// with less time first.
    pub slack_ms: u32,
}

/// Frame from an agent to an entry, sent at least every [`KEEPALIVE_MS`](crate::KEEPALIVE_MS).
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AgentFrame {
    /// The agent's steady clock when it sent the frame, in milliseconds.
    pub clock_ms: u64,
    /// Number of start orders received on this link so far.
    pub starts_received: u64,
    /// Number of the first start orders received on this link for which the agent sends no
    /// start any more and awaits no answer to one.
    pub starts_settled: u64,
    /// Resources that are neither used by runs nor reserved for other entries.
    pub free: Resources,
    /// Recent speed of the minion, in thousandths of the ordinary speed.
    pub speed_permille: u32,
    /// Whether the agent accepts starts on this link at present.
    pub is_accepting_starts: bool,
    /// Whether the agent reserves some of the free resources for this entry, until the entry
    /// starts a task, declines or lets the offer expire.
    pub has_offer: bool,
    /// Sum of the demands that all entries sent to this agent.
    pub demand: Demand,
    /// Starts that became delayed or void since the last frame, of all entries. They apply
    /// before the reports.
    pub delayed_starts: Vec<DelayedStart>,
    /// Reports since the last frame.
    pub reports: Vec<Report>,
}

/// Report of an agent to an entry, on an order or on the minion.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Report {
    /// A run ended, or will never start.
    Ended {
        /// Order that started the run.
        order: OrderId,
        /// How the run ended.
        end: RunEnd,
        /// Time that the run took, in milliseconds.
        ran_ms: u32,
        /// Number under which the minion retains the end; `None` if it doesn't.
        retained_number: Option<u64>,
    },
    /// Retained ends for which no owner has decided a disposition yet.
    RetainedEnds(Vec<RetainedEnd>),
    /// New capacity of the minion, which has shrunk or grown.
    Capacity(Resources),
    /// Starts of a lost entry, which the agent holds as their witness.
    WitnessedStarts(Vec<DelayedStart>),
    /// Progress of a run.
    Progress {
        /// Order that started the run.
        order: OrderId,
        /// Percentage of the work that is done.
        percent: u8,
        /// Time from the start of the run to the latest reading of its progress, in
        /// milliseconds.
        elapsed_ms: u32,
        /// Time from the last change of the percentage to the latest reading, in milliseconds.
        idle_ms: u32,
    },
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunEnd {
    /// The run did its work.
    Done,
    /// The run failed.
    Failed,
    /// The run was stopped on the entry's order.
    Stopped,
    /// The run ended with its lease or its minion. The minion may never have started it.
    Lost,
    /// The minion crashed after it had taken the run, or may have; the evidence says how
    /// certain it is that the task was running.
    Crashed(CrashEvidence),
    /// The minion ended, but a later incarnation with the same id may still carry out the
    /// delayed call that starts the run. That is ruled out once the agent has shown its
    /// epoch to that incarnation; the agent then greets again.
    Unsettled {
        /// Evidence against the task, if the minion crashed and had taken the run.
        crash: Option<CrashEvidence>,
    },
    /// The run never started.
    NotStarted(NotStartedReason),
}

impl RunEnd {
    /// Returns whether the minion is known to have had the run. It may not have
    /// answered its start, and been lost after that.
    pub(crate) fn shows_run(self) -> bool {
        match self {
            Self::Done | Self::Failed => true,
            Self::Crashed(evidence) => evidence.shows_run(),
            Self::Unsettled { crash } => crash.is_some_and(CrashEvidence::shows_run),
            Self::Stopped | Self::Lost | Self::NotStarted(_) => false,
        }
    }
}

/// Largest weight of the evidence of one crash.
pub(crate) const MAX_EVIDENCE_WEIGHT: u32 = 2;
/// Number of crashes with evidence of the same kind that prove that a task crashes its
/// minions.
const PROOF_CRASHES: usize = 2;

/// How certain it is that a task was running when its minion crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CrashEvidence {
    /// The minion had reported the run or may have taken it, but the run may have ended since
    /// without a report.
    Weak,
    /// A connection to the minion broke while the minion had the run.
    Strong,
    /// The agent was lost with the minion, so nobody observed the end of the run.
    Unseen,
    /// The connection of the start broke, and the minion never answered for the run. It may
    /// have crashed under another task before it read the start.
    StartBroken,
    /// The connection of the start broke, and the minion is known to have had the run.
    StartCrashed,
    /// The task had passed its probation, and another suspect was on probation.
    Cleared,
}

impl CrashEvidence {
    /// Returns whether the minion is known to have had the run.
    fn shows_run(self) -> bool {
        matches!(self, Self::Strong | Self::StartCrashed | Self::Cleared)
    }

    /// Returns the weight of all crash evidence against a task.
    ///
    /// A single broken start weighs less than strong evidence: a task that crashes its minion
    /// during the start does so again. Unseen evidence counts only beside a proof: the run may
    /// have ended before its host was lost, so it must not be one of the two crashes that a
    /// job may fail for.
    pub(crate) fn weight(all_evidence: impl Iterator<Item = Self> + Clone) -> u32 {
        let count = |kind| {
            let of_kind = all_evidence.clone().filter(|evidence| *evidence == kind);
            of_kind.count()
        };
        let start_crashes = count(Self::StartCrashed);
        let has_broken_starts = count(Self::StartBroken) + start_crashes >= PROOF_CRASHES;
        let is_proven = has_broken_starts || count(Self::Strong) + start_crashes >= PROOF_CRASHES;
        // A task that was cleared once too often may crash its minions later than in its
        // probation.
        let cleared = count(Self::Cleared).saturating_sub(1);
        let weights = all_evidence.map(|evidence| match evidence {
            Self::Strong | Self::StartCrashed => MAX_EVIDENCE_WEIGHT,
            Self::StartBroken => 1 + u32::from(has_broken_starts),
            Self::Weak => 1,
            Self::Unseen => u32::from(is_proven),
            Self::Cleared => 0,
        });
        weights.sum::<u32>() + u32::try_from(cleared).unwrap_or(u32::MAX)
    }
}

/// Why a run never started.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum NotStartedReason {
    /// The agent or its minion has too few free resources, or the agent already runs the task,
    /// can't extend the minion's lease, or has a suspect task of another job on probation.
    Full,
    /// The agent accepts no starts on this link at present, for example because the minion or
    /// the agent is leaving, or the minion has seen a higher epoch than the agent's.
    Closing,
    /// The minion refused the run because it is unhealthy.
    Unhealthy,
    /// The start is unanswered, and the agent has made sure that the minion doesn't carry it
    /// out later; or the minion did not answer the listing before the start of a suspect task,
    /// and the start was never sent.
    NoAnswer,
    /// The minion has already seen this run or a later one of the task.
    OldRun,
}

/// An entry that some process reached, and how long ago.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SeenEntry {
    /// Address at which the entry accepts connections.
    pub addr: SocketAddr,
    /// Time since the entry was last seen, in milliseconds.
    pub age_ms: u32,
}

/// Gossip frame between entries.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PeerFrame {
    /// Entries that the sender has recently seen; empty in most frames.
    pub entries: Vec<SeenEntry>,
    /// Configuration of the sender, if it changed since the last frame.
    pub table: Option<RoutingTable>,
    /// Whether the deployment has stored jobs, as far as the sender knows.
    pub has_stored_jobs: bool,
    /// Evacuated zones that the sender knows, if they changed since the last frame.
    pub evacuations: Option<Evacuations>,
    /// Crashes of minions under tasks that became known to the sender since the last frame.
    pub crashes: Vec<Crash>,
    /// Delayed starts of jobs that callers may send to the receiver, if they became known
    /// since the last frame.
    pub delayed_starts: Vec<DelayedStart>,
    /// Starts of lost entries that witnesses reported, if they became known since the last
    /// frame.
    pub witnessed_starts: Vec<DelayedStart>,
}

/// Answer to each [`PeerFrame`]; it shows the sender that the connection works.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerAck;

/// Encodes a frame.
///
/// # Errors
///
/// Returns the error of `postcard` if the value can't be encoded.
pub fn encode<T: Serialize>(frame: &T) -> Result<Vec<u8>, postcard::Error> {
    postcard::to_stdvec(frame)
}

/// Decodes a frame.
///
/// # Errors
///
/// Returns the error of `postcard` if the bytes are no frame of type `T`.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, postcard::Error> {
    postcard::from_bytes(bytes)
}
