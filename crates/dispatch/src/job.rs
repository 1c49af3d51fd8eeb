//! Jobs, their steps and tasks, and how jobs end.

use std::sync::Arc;

use gannetvane_wire::Name;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::Queue;
use crate::Resources;

/// A caller that waits at an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallerId(pub u64);

/// Names one task.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskId {
    /// Id of its job, chosen by the caller.
    pub job: Name,
    /// Number of its step.
    pub step: u32,
    /// Its number in the step.
    pub index: u32,
}

/// Tasks that are alike.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// Number of tasks.
    pub count: u32,
    /// What each task needs.
    pub needs: Resources,
    /// Run time that the caller declared, in milliseconds.
    pub declared_ms: u64,
    /// Steps that must be done before this one.
    pub after: Vec<u32>,
    /// Label that a minion must have.
    pub required_label: Option<Name>,
    /// Label of the minions near the data.
    pub preferred_label: Option<Name>,
    /// Most tasks of the step on one minion at one time; 0 for no limit.
    pub max_per_minion: u32,
}

/// A job that its caller waits for.
#[derive(Clone, Debug)]
pub struct Job {
    /// Id chosen by the caller.
    pub id: Name,
    /// Text that every task receives.
    pub spec: Name,
    /// Its steps.
    pub steps: Vec<Step>,
    /// The queue it came in by.
    pub queue: Arc<Queue>,
    /// Time that the caller waits, in milliseconds.
    pub wait_ms: u64,
}

/// Why a job was refused. Nothing of it has run or will run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Error, Serialize, Deserialize)]
pub enum Refusal {
    /// No configuration has been read yet.
    #[error("no configuration yet")]
    NoConfiguration,
    /// No minion of the service is known.
    #[error("no minion of the service is known")]
    NoMinion,
    /// It would end too late to be of use.
    #[error("the queue is too long for this job to end in time")]
    Overloaded,
    /// No minion is large enough for one of its tasks.
    #[error("a task needs more than any minion has")]
    NeverFits,
    /// The entry is about to stop.
    #[error("this entry is stopping")]
    Stopping,
    /// Tasks of an earlier submission of the same job are still being stopped.
    #[error("an earlier submission of this job is still being stopped")]
    StillStopping,
    /// The store takes no records at present.
    #[error("the store cannot keep the job at present")]
    NotStorable,
    /// The job asks for something that is not built.
    #[error("this kind of job is not supported")]
    Unsupported,
    /// All minions that could run it are in zones that are being emptied.
    #[error("the zones of the minions that could run this job are being emptied")]
    Evacuated,
}

impl Refusal {
    /// Name for metrics and logs.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::NoConfiguration => "no-configuration",
            Self::NoMinion => "no-minion",
            Self::Overloaded => "overloaded",
            Self::NeverFits => "never-fits",
            Self::Stopping => "stopping",
            Self::StillStopping => "still-stopping",
            Self::NotStorable => "not-storable",
            Self::Unsupported => "unsupported",
            Self::Evacuated => "evacuated",
        }
    }
}

/// How a job ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobOutcome {
    /// All tasks are done.
    Completed,
    /// A task failed in all its attempts.
    Failed,
    /// Some of it ran, and the rest cannot end in time.
    TooLate,
    /// It was cancelled.
    Cancelled,
    /// It was refused, and nothing of it ran or will run.
    Refused {
        /// Why.
        reason: Refusal,
        /// When to come back, in milliseconds.
        retry_after_ms: u64,
    },
}
