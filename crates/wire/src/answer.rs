//! Final answers to submissions.

use serde::Deserialize;
use serde::Serialize;

use crate::Name;

/// What is known to have run of a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Ran {
    /// At least one task was started.
    Ran,
    /// No task was started, and none will be.
    NotRun,
    /// It cannot be known whether a task was started.
    Unknown,
}

/// How a submission ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// Every task ran and gave its result.
    Complete,
    /// At least one task gave no result.
    Failed,
}

/// Why a submission was refused or failed, or why a task was tried again.
///
/// Each value has a counter of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// No reason: the submission is complete.
    None,
    /// The request is malformed.
    BadRequest,
    /// The body is over the limit.
    BodyTooLarge,
    /// The caller sent its own idempotency key instead of taking an id.
    OwnKey,
    /// No such path or method.
    NoSuchPath,
    /// The service is not in the configuration.
    UnknownService,
    /// The team is not in the configuration.
    UnknownTeam,
    /// The job has more tasks than the service allows.
    TooManyTasks,
    /// No worker of the service can ever hold one of the tasks.
    FitsNoWorker,
    /// The service has no live minion.
    NoCapacity,
    /// The queue of the service is full.
    QueueFull,
    /// The team has reached its quota of waiting tasks.
    TeamQuota,
    /// The deadline cannot be met with the present queue.
    DeadlineUnreachable,
    /// The deadline passed.
    DeadlinePassed,
    /// The caller cancelled the submission.
    Cancelled,
    /// The home is leaving and takes no new submission.
    HomeLeaving,
    /// The home of the submission is lost.
    HomeLost,
    /// The home did not answer in time.
    HomeSilent,
    /// The id is older than the retention of answers.
    IdExpired,
    /// The id was issued for the future or for another process.
    IdInvalid,
    /// The id is already used for another submission.
    IdReused,
    /// No submission with this id has reached its home.
    NeverSubmitted,
    /// The answer is no longer held in memory.
    AnswerDropped,
    /// A task ran and failed.
    TaskFailed,
    /// The agent of a started task is lost.
    AgentLost,
    /// An agent said nothing of a started task for too long.
    AgentSilent,
    /// The agent could not be reached, so the task was not started.
    AgentUnreachable,
    /// The minion could not be reached, so the task was not started.
    MinionUnreachable,
    /// The slot credit of a start was no longer valid.
    StaleCredit,
    /// The agent is leaving.
    AgentLeaving,
    /// The retry budget is used up.
    RetryBudget,
    /// The entry holds as many requests as it may.
    EntryOverloaded,
    /// The plan was made on another version of the configuration.
    VersionConflict,
    /// The platform's log cannot be reached.
    LogDown,
    /// The outcome of a change is not yet known.
    ChangePending,
}

/// State of one task at the time of the final answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskStatus {
    /// Ran and gave a result.
    Done,
    /// Ran and failed.
    Failed,
    /// Not started, and never will be.
    NotRun,
    /// Started; the answer was given before its result arrived.
    Started,
    /// It cannot be known whether it ran.
    Unknown,
}

/// What an answer says of one task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskReport {
    /// State of the task.
    pub status: TaskStatus,
    /// Output of a task that is done, or the error of one that failed.
    pub output: Name,
}

/// The final answer to a submission.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// How the submission ended.
    pub outcome: Outcome,
    /// What is known to have run.
    pub ran: Ran,
    /// Why it was refused or failed.
    pub reason: Reason,
    /// When a new submission may succeed, in milliseconds from now; `None`
    /// when there is nothing to wait for.
    pub retry_after_ms: Option<u32>,
    /// One report for each task; empty when refused as a whole.
    pub tasks: Vec<TaskReport>,
}

impl Answer {
    /// A refusal of a whole submission.
    #[must_use]
    pub fn refusal(ran: Ran, reason: Reason, retry_after_ms: Option<u32>) -> Self {
        Self {
            outcome: Outcome::Failed,
            ran,
            reason,
            retry_after_ms,
            tasks: Vec::new(),
        }
    }
}
