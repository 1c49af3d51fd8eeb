//! Submissions of callers, and their tasks.

use serde::Deserialize;
use serde::Serialize;

use crate::Name;

/// A job of one or more tasks, or a single request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Submission {
    /// The service that runs the tasks.
    pub service: Name,
    /// The team whose quota the tasks count against.
    pub team: Name,
    /// Whether a task that may have run can run again; always false for jobs.
    pub repeatable: bool,
    /// The tasks, at least one.
    pub tasks: Vec<Task>,
}

/// Size of the state of a task while its submission is open, in bytes.
const TASK_STATE_BYTES: usize = 512;

impl Submission {
    /// Returns the memory that the submission and the state of its tasks take, in bytes.
    #[must_use]
    pub fn memory_bytes(&self) -> usize {
        let tasks = self.tasks.iter();
        let task_bytes = tasks.map(|task| task.kind.len() + task.payload.len() + TASK_STATE_BYTES);
        size_of::<Self>() + task_bytes.sum::<usize>()
    }
}

/// One task of a submission.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Task {
    /// Kind of the task; run times are observed for each kind.
    pub kind: Name,
    /// Text for the minion, which nothing else interprets.
    pub payload: Name,
    /// Run time that the caller expects, in milliseconds; it is only a hint.
    pub declared_ms: Option<u32>,
    /// Resources that the task needs of its worker.
    pub needs: Needs,
}

/// Resources that a task needs of the worker that runs it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Needs {
    /// Memory in megabytes.
    pub memory_mb: u32,
    /// Number of accelerators.
    pub accelerators: u16,
}

impl Needs {
    /// Whether a worker with the capacity `self` can run a task that needs `needs`.
    #[must_use]
    pub fn covers(&self, needs: &Self) -> bool {
        self.memory_mb >= needs.memory_mb && self.accelerators >= needs.accelerators
    }
}
