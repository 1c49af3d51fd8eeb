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

/// What a minion reports of itself to the agent beside it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MinionReport {
    /// The minion's lifetime.
    pub instance: Name,
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
    /// Another lifetime answered.
    OtherInstance,
    /// No answer; it may be carried out later.
    NoAnswer,
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
    /// Another lifetime is at the minion's address: the one that was meant has
    /// ended.
    OtherInstance,
    /// No answer, or one that is no listing.
    NoAnswer,
}
