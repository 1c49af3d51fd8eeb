//! What an agent exchanges with its minion, in the project's own terms.

use gannetvane_wire::Name;

use crate::Room;
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
pub struct Lifetime {
    id: Name,
    born_unix_ms: Option<u64>,
}

impl Lifetime {
    /// The life of the minion with this id that began at this time, in
    /// milliseconds since 1970; `None` when the minion does not tell its birth.
    #[must_use]
    pub fn new(id: Name, born_unix_ms: Option<u64>) -> Self {
        Self { id, born_unix_ms }
    }

    /// The id by which calls address the minion. It says nothing of the life.
    #[must_use]
    pub fn id(&self) -> &Name {
        &self.id
    }

    /// When it began, in milliseconds since 1970.
    #[must_use]
    pub fn born_unix_ms(&self) -> Option<u64> {
        self.born_unix_ms
    }

    /// Whether an answer to a call that named this life's id can be of this life;
    /// answers other than listings tell no birth.
    #[must_use]
    pub fn may_have_answered(&self, born_unix_ms: Option<u64>) -> bool {
        match (self.born_unix_ms, born_unix_ms) {
            (Some(own_ms), Some(told_ms)) => own_ms == told_ms,
            _ => true,
        }
    }
}

impl std::fmt::Display for Lifetime {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self.born_unix_ms {
            Some(born_unix_ms) => write!(f, "{}@{born_unix_ms}", self.id),
            None => f.write_str(&self.id),
        }
    }
}

/// What a minion reports of itself to the agent beside it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MinionReport {
    /// The minion's lifetime.
    pub lifetime: Lifetime,
    /// Its service.
    pub service: Name,
    /// Its availability zone.
    pub zone: Name,
    /// Its labels.
    pub labels: Vec<Name>,
    /// All of its room.
    pub capacity: Room,
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
pub(crate) enum Contact {
    /// It answered.
    Answered,
    /// Nobody takes connections at its address: it has crashed or left.
    Refused,
    /// No answer.
    Silent,
}

impl StartResult {
    pub(crate) fn contact(self) -> Contact {
        match self {
            Self::NoAnswer | Self::Broken => Contact::Silent,
            Self::Unreached => Contact::Refused,
            _ => Contact::Answered,
        }
    }
}

/// Something that runs on a minion.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Running {
    /// The run; `None` when its name is not one of ours.
    pub key: Option<RunKey>,
    /// Part of the work that is done.
    pub percent: u8,
}

/// A run that ended on a minion.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finished {
    /// Number of the end in the minion's lifetime.
    pub number: u64,
    /// The run; `None` when its name is not one of ours.
    pub key: Option<RunKey>,
    /// How it ended.
    pub end: crate::End,
}

/// What a minion lists.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Listing {
    /// When the life that answered began, in milliseconds since 1970, if it tells.
    pub born_unix_ms: Option<u64>,
    /// The minion's steady clock in milliseconds.
    pub clock_ms: u64,
    /// What runs.
    pub running: Vec<Running>,
    /// What ended and is not acknowledged yet.
    pub finished: Vec<Finished>,
}

/// How a call that lists a minion's runs ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HoldResult {
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
