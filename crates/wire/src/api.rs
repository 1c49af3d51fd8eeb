//! JSON bodies of the HTTP interface for callers and operators.

use serde::Deserialize;
use serde::Serialize;

use crate::Change;
use crate::Name;
use crate::Needs;
use crate::Operation;
use crate::Ran;
use crate::Reason;
use crate::TaskStatus;
use crate::bounded_list;

/// Deadline of a submission whose caller sets none, in milliseconds.
const DEFAULT_DEADLINE_MS: u64 = 30_000;

/// Reply to `POST /v1/ids`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct IdsBody {
    /// The ids; each can be used until the retention of answers has passed.
    pub ids: Vec<String>,
}

/// One task of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TaskBody {
    /// Kind of the task.
    pub kind: Name,
    /// Text that the minion receives.
    #[serde(default = "empty")]
    pub payload: Name,
    /// Run time that the caller expects, in milliseconds.
    #[serde(default)]
    pub declared_ms: Option<u32>,
    /// Resources that the task needs of its worker.
    #[serde(default)]
    pub needs: Needs,
}

/// Body of `PUT /v1/jobs/{id}`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobBody {
    /// The service that runs the job.
    pub service: Name,
    /// The team that submits the job, and whose quota applies.
    pub team: Name,
    /// Time within which the caller needs the answer, in milliseconds.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u64,
    /// The tasks.
    #[serde(deserialize_with = "bounded_list")]
    pub tasks: Vec<TaskBody>,
}

/// Body of `PUT /v1/requests/{id}`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestBody {
    /// The service that runs the request.
    pub service: Name,
    /// The team that submits the request, and whose quota applies.
    pub team: Name,
    /// Time within which the caller needs the answer, in milliseconds.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u64,
    /// Whether the request may run more than once.
    #[serde(default)]
    pub repeatable: bool,
    /// Kind of the task that serves the request.
    pub kind: Name,
    /// Text that the minion receives.
    #[serde(default = "empty")]
    pub payload: Name,
    /// Run time that the caller expects, in milliseconds.
    #[serde(default)]
    pub declared_ms: Option<u32>,
    /// Resources that the request needs of its worker.
    #[serde(default)]
    pub needs: Needs,
}

/// Reply to a job or request whose tasks all returned a result.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerBody {
    /// The id of the submission.
    pub id: String,
    /// One result for each task, in the order of the tasks.
    pub results: Vec<Name>,
}

/// State of one task of a job that failed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskState {
    /// State of the task.
    pub status: TaskStatus,
    /// The error, if the task ran and failed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub error: Option<Name>,
}

/// Reply to a submission that was refused or failed: problem details of RFC 9457.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// URN that identifies the kind of problem.
    #[serde(rename = "type")]
    pub kind: String,
    /// The kind of problem in words.
    pub title: String,
    /// The HTTP status.
    pub status: u16,
    /// What is wrong with this request.
    pub detail: String,
    /// Whether tasks were started, as far as it is known.
    pub ran: Ran,
    /// The reason, as counted by the metrics.
    pub reason: Reason,
    /// Time after which the caller may try again, in milliseconds; absent when
    /// waiting does not help.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u32>,
    /// One state for each task, if some may have run.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub tasks: Vec<TaskState>,
}

/// Body of `POST /v1/plans`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlanRequest {
    /// Id for the change; the entry draws one when it is absent.
    #[serde(default)]
    pub change_id: Option<Name>,
    /// The steps that the operator intends.
    #[serde(deserialize_with = "bounded_list")]
    pub operations: Vec<Operation>,
}

/// Reply to `POST /v1/plans`, and body of `PUT /v1/changes/{change_id}`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlanBody {
    /// The change to confirm.
    pub change: Change,
    /// Text about the effects of the change, one line for each.
    #[serde(default)]
    pub effects: Vec<String>,
}

/// Reply to a confirmed change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeBody {
    /// Id of the change.
    pub change_id: Name,
    /// Version of the configuration that is now in force.
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
