//! What callers and operators ask of an entry, and its replies.

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

/// What a caller or operator asks of an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Ids for new submissions to a service.
    TakeIds {
        /// The service.
        service: Name,
        /// Number of ids.
        count: usize,
    },
    /// Run a submission and wait for its answer.
    Submit {
        /// Its id.
        id: SubmissionId,
        /// What to run.
        submission: Arc<Submission>,
        /// Time that the caller waits, in milliseconds.
        deadline_ms: u64,
    },
    /// Wait for the answer to a submission.
    Lookup {
        /// Its id.
        id: SubmissionId,
        /// Time that the caller waits, in milliseconds.
        wait_ms: u64,
    },
    /// Stop a submission.
    Cancel {
        /// Its id.
        id: SubmissionId,
    },
    /// Work out what an intent would change.
    Plan {
        /// Id for the change.
        change_id: Name,
        /// The intent.
        operations: Vec<Operation>,
    },
    /// Put a plan into force.
    Confirm {
        /// The planned change.
        change: Change,
    },
    /// What became of a change.
    ChangeStatus {
        /// Its id.
        change_id: Name,
    },
    /// The configuration in force.
    Configuration,
    /// The members known.
    Members,
}

/// Reply to a [`Command`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// Ids for new submissions.
    Ids(Vec<SubmissionId>),
    /// The final answer, or the refusal of the command.
    Answer(Arc<Answer>),
    /// A plan, or why there is none.
    Plan(Result<Plan, PlanError>),
    /// The change is in force since this version or an earlier one.
    ChangeAccepted {
        /// Version of the configuration now.
        version: u64,
    },
    /// The configuration in force.
    Configuration(Snapshot),
    /// The members known.
    Members(Vec<Member>),
}
