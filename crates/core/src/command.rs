//! Commands of callers and operators to an entry, and its replies.

use std::sync::Arc;

use gannetvane_wire::Answer;
use gannetvane_wire::Change;
use gannetvane_wire::Member;
use gannetvane_wire::Name;
use gannetvane_wire::Operation;
use gannetvane_wire::Snapshot;
use gannetvane_wire::Submission;
use gannetvane_wire::SubmissionId;

use crate::Plan;
use crate::PlanError;

/// A command of a caller or operator to an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Returns ids for new submissions to a service.
    TakeIds {
        /// The service.
        service: Name,
        /// Number of ids.
        count: usize,
    },
    /// Runs a submission and waits for its answer.
    Submit {
        /// Id of the submission.
        id: SubmissionId,
        /// The tasks to run.
        submission: Arc<Submission>,
        /// Time in milliseconds that the caller waits.
        deadline_ms: u64,
    },
    /// Waits for the answer to a submission.
    Lookup {
        /// Id of the submission.
        id: SubmissionId,
        /// Time in milliseconds that the caller waits.
        wait_ms: u64,
    },
    /// Cancels a submission.
    Cancel {
        /// Id of the submission.
        id: SubmissionId,
    },
    /// Plans the change that an intent leads to.
    Plan {
        /// Id of the change.
        change_id: Name,
        /// Operations of the intent.
        operations: Vec<Operation>,
    },
    /// Confirms a planned change, so that it takes effect.
    Confirm {
        /// The planned change.
        change: Change,
    },
    /// Returns the outcome of a change.
    ChangeStatus {
        /// Id of the change.
        change_id: Name,
    },
    /// Returns the configuration in force.
    Configuration,
    /// Returns the members in the entry's view.
    Members,
}

/// The reply to a [`Command`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// Ids for new submissions.
    Ids(Vec<SubmissionId>),
    /// The final answer, or the refusal of the command.
    Answer(Arc<Answer>),
    /// The plan, or the reason why the intent cannot be planned.
    Plan(Result<Plan, PlanError>),
    /// The change has taken effect.
    ChangeAccepted {
        /// Current version of the configuration, which may be later than that
        /// of the change.
        version: u64,
    },
    /// The configuration in force.
    Configuration(Snapshot),
    /// The members in the entry's view.
    Members(Vec<Member>),
}
