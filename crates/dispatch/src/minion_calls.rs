//! Reports, calls and answers between an agent and its minion, independent of the protocol
//! of the platform.

use gannetvane_wire::Name;

use crate::Resources;
use crate::TaskId;

/// Identifies a run of a task.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RunKey {
    /// Task that runs.
    pub task: TaskId,
    /// Number of the run; it rises with each start of the task.
    pub run: u32,
}

/// One incarnation of a minion, from its start to its end. A minion may restart with the
/// same id; only the start times of its incarnations then differ.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Incarnation {
    id: Name,
    started_unix_ms: Option<u64>,
}

impl Incarnation {
    /// Returns the incarnation of the minion with this id that started at this time, in
    /// milliseconds since 1970. The time is `None` if the minion doesn't report it.
    #[must_use]
    pub fn new(id: Name, started_unix_ms: Option<u64>) -> Self {
        Self {
            id,
            started_unix_ms,
        }
    }

    /// Returns the id by which calls address the minion. Several incarnations may share it.
    #[must_use]
    pub fn id(&self) -> &Name {
        &self.id
    }

    /// Returns the start time in milliseconds since 1970, if the minion reports it.
    #[must_use]
    pub fn started_unix_ms(&self) -> Option<u64> {
        self.started_unix_ms
    }

    /// Returns whether an answer with this start time can be from this incarnation. The call
    /// named the incarnation's id. Only listings state a start time, so the answer to any
    /// other call can always be from it.
    #[must_use]
    pub fn can_be_from(&self, started_unix_ms: Option<u64>) -> bool {
        match (self.started_unix_ms, started_unix_ms) {
            (Some(own_ms), Some(answered_ms)) => own_ms == answered_ms,
            _ => true,
        }
    }
}

impl std::fmt::Display for Incarnation {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self.started_unix_ms {
            Some(started_unix_ms) => write!(f, "{}@{started_unix_ms}", self.id),
            None => f.write_str(&self.id),
        }
    }
}

/// Report of a minion about itself to the agent beside it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MinionReport {
    /// Incarnation of the minion.
    pub incarnation: Incarnation,
    /// Service whose tasks the minion runs.
    pub service: Name,
    /// Availability zone of the minion.
    pub zone: Name,
    /// Labels of the minion.
    pub labels: Vec<Name>,
    /// Capacity of the minion.
    pub capacity: Resources,
    /// Whether the minion is about to leave and takes no more runs.
    pub is_draining: bool,
    /// The minion's steady clock in milliseconds.
    pub clock_ms: u64,
    /// Number that rises with each report of an incarnation.
    pub sequence: u64,
}

/// Result of the call that starts a run on a minion.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartResult {
    /// The minion has started the run, now or on an earlier call.
    Started,
    /// The minion has already seen this run of the task, or one with a higher number.
    OldRun,
    /// The call arrived after its deadline, and the minion did nothing.
    Late,
    /// The minion has too few free resources.
    NoRoom,
    /// The call has a lower epoch than one that the minion has seen.
    Fenced,
    /// The minion is unhealthy, and did nothing.
    Unhealthy,
    /// The minion could not read the call.
    Invalid,
    /// A minion with another id answered.
    OtherInstance,
    /// The connection was refused: nothing was sent.
    Unreached,
    /// The connection broke after the call was sent: the minion may have started the run
    /// and crashed, or may carry out the call later.
    Broken,
    /// The call timed out; the minion may carry it out later.
    NoAnswer,
}

/// Whether a minion answered a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallOutcome {
    /// The minion answered.
    Answered,
    /// The connection was refused: the minion has crashed or left.
    Refused,
    /// The call timed out, or its connection broke.
    Unanswered,
}

impl StartResult {
    /// Returns whether the minion answered the call.
    pub(crate) fn call_outcome(self) -> CallOutcome {
        match self {
            Self::NoAnswer | Self::Broken => CallOutcome::Unanswered,
            Self::Unreached => CallOutcome::Refused,
            _ => CallOutcome::Answered,
        }
    }
}

/// Result of the call that stops a run on a minion.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopResult {
    /// The minion stops the run, or will refuse to start it.
    Acknowledged {
        /// The minion's steady clock in milliseconds; 0 if the answer doesn't state it.
        clock_ms: u64,
    },
    /// The call was refused or got no answer.
    Unacknowledged,
}

/// A run in progress, as a minion lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ActiveRun {
    /// The run; `None` if no agent of this project assigned the name under which it runs.
    pub key: Option<RunKey>,
    /// Percentage of the work that is done.
    pub percent: u8,
}

/// A run that ended, as a minion lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedRun {
    /// Number of the end, unique for the minion's incarnation.
    pub number: u64,
    /// The run; `None` if no agent of this project assigned the name under which it ran.
    pub key: Option<RunKey>,
    /// How the run ended.
    pub end: crate::RunEnd,
}

/// The runs of a minion, as it lists them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Listing {
    /// Start time of the incarnation that answered, in milliseconds since 1970; `None` if the
    /// minion doesn't state it.
    pub started_unix_ms: Option<u64>,
    /// The minion's steady clock in milliseconds.
    pub clock_ms: u64,
    /// Runs in progress.
    pub running: Vec<ActiveRun>,
    /// Ended runs whose ends the agent has not acknowledged yet.
    pub ended: Vec<EndedRun>,
}

/// Result of a call that lists a minion's runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ListResult {
    /// The minion listed its runs.
    Listed(Listing),
    /// A minion with another id answered: the minion that was called has ended.
    OtherInstance,
    /// The minion has seen a higher epoch, and did nothing.
    Fenced,
    /// The connection was refused: nothing was sent.
    Unreached,
    /// The connection broke before an answer.
    Broken,
    /// The call timed out, or its answer was no listing.
    NoAnswer,
}
