//! Bodies of the HTTP interface for callers and operators, in JSON.

use serde::Deserialize;
use serde::Serialize;

use crate::Change;
use crate::Name;
use crate::Needs;
use crate::Operation;
use crate::Ran;
use crate::Reason;
use crate::TaskStatus;

/// Time that a caller waits when it does not say, in milliseconds.
const DEFAULT_DEADLINE_MS: u64 = 30_000;

/// Reply to `POST /v1/ids`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct IdsBody {
    /// The ids, for use within the retention of answers.
    pub ids: Vec<String>,
}

/// One task of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TaskBody {
    /// Kind of task.
    pub kind: Name,
    /// Text that the minion receives.
    #[serde(default = "empty")]
    pub payload: Name,
    /// Expected run time in milliseconds.
    #[serde(default)]
    pub declared_ms: Option<u32>,
    /// What the task needs of its worker.
    #[serde(default)]
    pub needs: Needs,
}

/// Body of `PUT /v1/jobs/{id}`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobBody {
    /// The service that runs the job.
    pub service: Name,
    /// The team that submits it.
    pub team: Name,
    /// Time that the caller waits, in milliseconds.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u64,
    /// The tasks.
    pub tasks: Vec<TaskBody>,
}

/// Body of `PUT /v1/requests/{id}`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestBody {
    /// The service that runs the request.
    pub service: Name,
    /// The team that submits it.
    pub team: Name,
    /// Time that the caller waits, in milliseconds.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u64,
    /// Whether the request may run more than once.
    #[serde(default)]
    pub repeatable: bool,
    /// Kind of task.
    pub kind: Name,
    /// Text that the minion receives.
    #[serde(default = "empty")]
    pub payload: Name,
    /// Expected run time in milliseconds.
    #[serde(default)]
    pub declared_ms: Option<u32>,
    /// What the request needs of its worker.
    #[serde(default)]
    pub needs: Needs,
}

/// The whole answer to a job or request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerBody {
    /// The id that was submitted.
    pub id: String,
    /// One result for each task, in the order of the tasks.
    pub results: Vec<Name>,
}

/// State of one task of a job that failed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskState {
    /// What is known of it.
    pub status: TaskStatus,
    /// The error of a task that ran and failed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub error: Option<Name>,
}

/// A refusal or failure: problem details of RFC 9457.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// Identifies the kind of problem.
    #[serde(rename = "type")]
    pub kind: String,
    /// The same in words.
    pub title: String,
    /// The HTTP status.
    pub status: u16,
    /// What is wrong with this request.
    pub detail: String,
    /// What is known to have run.
    pub ran: Ran,
    /// The reason, as counted by the metrics.
    pub reason: Reason,
    /// When to come back, in milliseconds; absent when waiting will not help.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u32>,
    /// One state for each task, when some may have run.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub tasks: Vec<TaskState>,
}

/// Body of `POST /v1/plans`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlanRequest {
    /// Id for the change; drawn by the entry when absent.
    #[serde(default)]
    pub change_id: Option<Name>,
    /// The intent.
    pub operations: Vec<Operation>,
}

/// Reply to `POST /v1/plans`, and body of `PUT /v1/changes/{change_id}`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlanBody {
    /// The change to confirm.
    pub change: Change,
    /// One line for each effect.
    #[serde(default)]
    pub effects: Vec<String>,
}

/// Reply to a confirmed change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeBody {
    /// The change.
    pub change_id: Name,
    /// Version of the configuration that is in force now.
    pub version: u64,
}

/// Reply to `GET /v1/contacts`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ContactsBody {
    /// Addresses of some agents.
    pub addresses: Vec<std::net::SocketAddr>,
}

fn default_deadline_ms() -> u64 {
    DEFAULT_DEADLINE_MS
}

fn empty() -> Name {
    Name::from("")
}
