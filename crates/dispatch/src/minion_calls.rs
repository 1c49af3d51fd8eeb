//! What an agent exchanges with its minion, in the project's own terms.

use gannetvane_wire::Name;

use crate::Resources;
use crate::TaskId;

/// One run of a task.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RunKey {
    /// The task.
    pub task: TaskId,
    /// Number of the run.
    pub run: u32,
}

/// One life of a minion, from its start to its end. A minion that starts again may
/// keep its id; then only its birth tells the lives apart.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Incarnation {
    id: Name,
    started_unix_ms: Option<u64>,
}

impl Incarnation {
    /// The life of the minion with this id that began at this time, in
    /// milliseconds since 1970; `None` when the minion does not tell its birth.
    #[must_use]
    pub fn new(id: Name, started_unix_ms: Option<u64>) -> Self {
        Self {
            id,
            started_unix_ms,
        }
    }

    /// The id by which calls address the minion. It says nothing of the life.
    #[must_use]
    pub fn id(&self) -> &Name {
        &self.id
    }

    /// When it began, in milliseconds since 1970.
    #[must_use]
    pub fn started_unix_ms(&self) -> Option<u64> {
        self.started_unix_ms
    }

    /// Whether an answer to a call that named this life's id can be of this life;
    /// answers other than listings tell no birth.
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

/// What a minion reports of itself to the agent beside it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MinionReport {
    /// The minion's lifetime.
    pub incarnation: Incarnation,
    /// Its service.
    pub service: Name,
    /// Its availability zone.
    pub zone: Name,
    /// Its labels.
    pub labels: Vec<Name>,
    /// All of its room.
    pub capacity: Resources,
    /// Whether it is about to leave.
    pub is_draining: bool,
    /// Its steady clock in milliseconds.
    pub clock_ms: u64,
    /// Rises with each report of a lifetime.
    pub sequence: u64,
}

/// What a minion answered to a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartResult {
    /// It runs, or ran before.
    Started,
    /// The minion has seen this run or a higher one of the task.
    OldRun,
    /// The order came after its deadline.
    Late,
    /// The minion has no room.
    NoRoom,
    /// The order has a lower epoch than one that the minion has seen.
    Fenced,
    /// The minion is unhealthy and did nothing.
    Unhealthy,
    /// The minion cannot read the order.
    Invalid,
    /// A minion with another id answered.
    OtherInstance,
    /// The connection was refused: nothing was sent.
    Unreached,
    /// The connection broke after the call was sent: the minion may have taken it
    /// and crashed, or may carry it out later.
    Broken,
    /// No answer; it may be carried out later.
    NoAnswer,
}

/// Whether a minion was heard when it was called.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallOutcome {
    /// It answered.
    Answered,
    /// Nobody takes connections at its address: it has crashed or left.
    Refused,
    /// No answer.
    Unanswered,
}

impl StartResult {
    pub(crate) fn call_outcome(self) -> CallOutcome {
        match self {
            Self::NoAnswer | Self::Broken => CallOutcome::Unanswered,
            Self::Unreached => CallOutcome::Refused,
            _ => CallOutcome::Answered,
        }
    }
}

/// Something that runs on a minion.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ActiveRun {
    /// The run; `None` when its name is not one of ours.
    pub key: Option<RunKey>,
    /// Part of the work that is done.
    pub percent: u8,
}

/// A run that ended on a minion.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedRun {
    /// Number of the end in the minion's lifetime.
    pub number: u64,
    /// The run; `None` when its name is not one of ours.
    pub key: Option<RunKey>,
    /// How it ended.
    pub end: crate::RunEnd,
}

/// What a minion lists.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Listing {
    /// When the life that answered began, in milliseconds since 1970, if it tells.
    pub started_unix_ms: Option<u64>,
    /// The minion's steady clock in milliseconds.
    pub clock_ms: u64,
    /// What runs.
    pub running: Vec<ActiveRun>,
    /// What ended and is not acknowledged yet.
    pub ended: Vec<EndedRun>,
}

/// How a call that lists a minion's runs ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ListResult {
    /// The minion listed what runs.
    Listed(Listing),
    /// A minion with another id is at the address: the one that was meant has
    /// ended.
    OtherInstance,
    /// The minion has seen a higher epoch and did nothing.
    Fenced,
    /// The connection was refused: nothing was sent.
    Unreached,
    /// The connection broke before an answer.
    Broken,
    /// No answer, or one that is no listing.
    NoAnswer,
}
