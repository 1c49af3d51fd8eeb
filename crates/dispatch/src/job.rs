//! Jobs, their steps and tasks, and the outcomes of jobs.

use std::sync::Arc;

use gannetvane_wire::Name;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::Queue;
use crate::Resources;

/// Identifies a caller that waits at an entry for the outcome of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallerId(pub u64);

/// Identifies a task.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskId {
    /// Id of the job, chosen by the caller.
    pub job: Name,
    /// Index of the step in the job.
    pub step: u32,
    /// Index of the task in the step.
    pub index: u32,
}

/// A group of tasks of a job with the same resources, declared run time and constraints.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// Number of tasks.
    pub count: u32,
    /// Resources that each task needs.
    pub needs: Resources,
    /// Run time of each task as declared by the caller, in milliseconds.
    pub declared_ms: u64,
    /// Indices of the steps that must be done before this one starts.
    pub after: Vec<u32>,
    /// Label that a minion must have to run the tasks.
    pub required_label: Option<Name>,
    /// Label of the minions near the data of the tasks; they are preferred.
    pub preferred_label: Option<Name>,
    /// Largest number of tasks of the step on one minion at a time; 0 for no limit.
    pub max_per_minion: u32,
}

/// Size of the state of a task while its job is open, in bytes.
const TASK_BYTES: usize = 512;

impl Step {
    /// Returns the memory that the step and the state of its tasks take, in bytes.
    fn memory_bytes(&self) -> usize {
        let labels = [&self.required_label, &self.preferred_label];
        let label_bytes: usize = labels.into_iter().flatten().map(|label| label.len()).sum();
        let after_bytes = size_of_val(self.after.as_slice());
        size_of::<Self>() + after_bytes + label_bytes + self.count as usize * TASK_BYTES
    }
}

/// A job whose caller waits for the outcome.
#[derive(Clone, Debug)]
pub struct Job {
    /// Id of the job, chosen by the caller.
    pub id: Name,
    /// Text that is passed to every task.
    pub spec: Name,
    /// Steps, referred to by their index.
    pub steps: Vec<Step>,
    /// Queue to which the caller submitted the job.
    pub queue: Arc<Queue>,
    /// Time for which the caller waits, in milliseconds.
    pub wait_ms: u64,
}

impl Job {
    /// Returns the memory that the job and the state of its tasks take, in bytes.
    #[must_use]
    pub fn memory_bytes(&self) -> usize {
        let step_bytes: usize = self.steps.iter().map(Step::memory_bytes).sum();
        self.spec.len() + step_bytes
    }
}

/// Why a job was refused. No task of it has run or will run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Error, Serialize, Deserialize)]
pub enum Refusal {
    /// The entry has no configuration yet.
    #[error("the entry has no configuration yet")]
    NoConfiguration,
    /// The entry knows no minion of the service.
    #[error("no minion of the service is known")]
    NoMinion,
    /// The job would end too late to be of use: too much work waits before it, or no minion
    /// has the capacity for one of its tasks at present.
    #[error("the queue is so long that this job would miss its objective")]
    Overloaded,
    /// A task of the job needs more resources than any minion has.
    #[error("a task needs more resources than any minion has")]
    NeverFits,
    /// The entry is stopping.
    #[error("this entry is stopping")]
    Stopping,
    /// The entry is still stopping tasks of an earlier submission of the job.
    #[error("an earlier submission of this job is still being stopped")]
    StillStopping,
    /// The store takes no records at present, so the job can't be stored.
    #[error("the store takes no records at present, so the job cannot be stored")]
    NotStorable,
    /// The job was cancelled before it arrived.
    #[error("the job was cancelled before it arrived")]
    Cancelled,
    /// The job needs a feature that is not implemented.
    #[error("this kind of job is not supported")]
    Unsupported,
    /// All minions that could run the job are in evacuated zones.
    #[error("all minions that could run this job are in evacuated zones")]
    Evacuated,
}

impl Refusal {
    /// Returns the name for metrics and logs.
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
            Self::Cancelled => "cancelled",
            Self::Unsupported => "unsupported",
            Self::Evacuated => "evacuated",
        }
    }
}

/// Outcome of a job for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobOutcome {
    /// All tasks are done.
    Completed,
    /// A task failed in as many runs as its queue allows, or minions crashed too often while
    /// it ran.
    Failed,
    /// Some tasks ran or may have run, and the rest can't end in time.
    TooLate,
    /// The job was cancelled.
    Cancelled,
    /// The job was refused, and no task of it ran or will run.
    Refused {
        /// Reason of the refusal.
        reason: Refusal,
        /// Time after which the caller should submit the job again, in milliseconds.
        retry_after_ms: u64,
    },
}
