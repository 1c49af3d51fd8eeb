//! The final answer to a submission, and the reasons for refusals and failures.

use serde::Deserialize;
use serde::Serialize;

use crate::Name;

/// Whether tasks of a submission were started, as far as it is known.
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
    /// Every task ran and returned a result.
    Complete,
    /// At least one task returned no result.
    Failed,
}

/// The reason for which a submission was refused or failed, or a task was retried.
///
/// The metrics count each reason separately.
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
    /// The path does not exist, or does not support the method.
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
    /// The queue of the service at the home is full.
    QueueFull,
    /// The team has reached its quota of waiting tasks.
    TeamQuota,
    /// The deadline cannot be met with the tasks that are queued now.
    DeadlineUnreachable,
    /// The deadline passed.
    DeadlinePassed,
    /// The caller cancelled the submission.
    Cancelled,
    /// The home is leaving and accepts no new submissions.
    HomeLeaving,
    /// The home of the submission is lost.
    HomeLost,
    /// The home did not answer in time.
    HomeSilent,
    /// The id is older than the retention of answers.
    IdExpired,
    /// The text is not an id, or the id names a generation that is too far in the
    /// future for its home.
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
    /// The agent of a started task did not report on it in time.
    AgentSilent,
    /// The agent could not be reached, so the task was not started.
    AgentUnreachable,
    /// The minion could not be reached, so the task was not started.
    MinionUnreachable,
    /// The credit that a start used was no longer valid.
    StaleCredit,
    /// The agent is leaving.
    AgentLeaving,
    /// The retry budget is used up.
    RetryBudget,
    /// The entry already holds its maximum number of requests.
    EntryOverloaded,
    /// The change was planned on another version of the configuration.
    VersionConflict,
    /// The platform's log cannot be reached.
    LogDown,
    /// The outcome of a change is not yet known.
    ChangePending,
}

/// The state of one task at the time of the final answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskStatus {
    /// The task ran and returned a result.
    Done,
    /// The task ran and failed.
    Failed,
    /// The task was not started and never will be.
    NotRun,
    /// The task was started, but the answer was given before its result arrived.
    Started,
    /// It cannot be known whether the task ran.
    Unknown,
}

/// The part of an answer about one task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskReport {
    /// State of the task.
    pub status: TaskStatus,
    /// The output of a task that is done, or the error of a task that failed.
    pub output: Name,
}

/// The final answer to a submission.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// How the submission ended.
    pub outcome: Outcome,
    /// Whether tasks were started, as far as it is known.
    pub ran: Ran,
    /// Why the submission was refused or failed.
    pub reason: Reason,
    /// Time after which a new submission may succeed, in milliseconds; `None`
    /// when waiting does not help.
    pub retry_after_ms: Option<u32>,
    /// One report for each task; empty when the whole submission was refused.
    pub tasks: Vec<TaskReport>,
}

impl Answer {
    /// Creates the answer that refuses a whole submission.
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
