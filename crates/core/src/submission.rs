//! A submission at its home while it has no final answer. A submission is a job
//! of one or more tasks that a caller submits under one id.

use std::sync::Arc;

use gannetvane_wire::Answer;
use gannetvane_wire::Credit;
use gannetvane_wire::Name;
use gannetvane_wire::NodeId;
use gannetvane_wire::Outcome;
use gannetvane_wire::Ran;
use gannetvane_wire::Reason;
use gannetvane_wire::Submission;
use gannetvane_wire::SubmissionId;
use gannetvane_wire::TaskId;
use gannetvane_wire::TaskReport;
use gannetvane_wire::TaskStart;
use gannetvane_wire::TaskStatus;

use crate::Peer;

/// The state of one task at its home.
#[derive(Clone, Debug)]
pub(crate) enum TaskState {
    /// The task waits in the queue for a credit.
    Queued,
    /// The task was sent to an agent and has not ended.
    Started(StartedTask),
    /// The task ran and gave this output.
    Done(Name),
    /// The task ran and failed with this error.
    Failed(Name),
    /// It is not known whether the task ran: its agent is lost or no longer
    /// retains the result.
    Unknown,
}

/// A task that was sent to an agent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StartedTask {
    pub(crate) credit: Credit,
    pub(crate) agent: Peer,
    /// Time at which the start is sent again if no result has arrived.
    pub(crate) check_at_ms: u64,
    /// Current interval between two resends of the start.
    pub(crate) check_interval_ms: u64,
    /// Whether the start was sent more than once.
    pub(crate) is_resent: bool,
    /// Number of times that the connection to the agent has broken since the
    /// start.
    pub(crate) broken_connections: u32,
}

/// One task and the number of its current attempt.
#[derive(Clone, Debug)]
pub(crate) struct OpenTask {
    pub(crate) state: TaskState,
    pub(crate) attempt: u16,
    /// Whether an earlier attempt may have run.
    pub(crate) may_have_run: bool,
}

/// A submission without a final answer.
#[derive(Clone, Debug)]
pub(crate) struct OpenSubmission {
    pub(crate) submission: Arc<Submission>,
    pub(crate) tasks: Vec<OpenTask>,
    pub(crate) arrived_ms: u64,
    pub(crate) deadline_at_ms: u64,
    /// Hash of the submission's content.
    pub(crate) fingerprint: u64,
    /// Entries that wait for the answer.
    pub(crate) waiters: Vec<Waiter>,
}

/// An entry that waits for an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Waiter {
    pub(crate) entry: Peer,
    /// Fingerprint of the entry's request, which the answer repeats so that the
    /// entry can match it.
    pub(crate) fingerprint: u64,
}

impl OpenSubmission {
    pub(crate) fn new(
        submission: Arc<Submission>,
        fingerprint: u64,
        arrived_ms: u64,
        deadline_at_ms: u64,
    ) -> Self {
        let queued = OpenTask {
            state: TaskState::Queued,
            attempt: 0,
            may_have_run: false,
        };
        let tasks = vec![queued; submission.tasks.len()];
        Self {
            submission,
            tasks,
            arrived_ms,
            deadline_at_ms,
            fingerprint,
            waiters: Vec::new(),
        }
    }

    pub(crate) fn add_waiter(&mut self, waiter: Waiter) {
        if !self.waiters.contains(&waiter) {
            self.waiters.push(waiter);
        }
    }

    /// Returns whether all tasks have succeeded.
    pub(crate) fn is_done(&self) -> bool {
        self.tasks
            .iter()
            .all(|task| matches!(task.state, TaskState::Done(_)))
    }

    /// Returns the state of a started task if `attempt` is its current attempt.
    pub(crate) fn started(&self, index: u16, attempt: u16) -> Option<&StartedTask> {
        let task = self.tasks.get(usize::from(index))?;
        match &task.state {
            TaskState::Started(started) if task.attempt == attempt => Some(started),
            _ => None,
        }
    }

    /// Returns the indexes of the tasks that were sent to `agent` and have not
    /// ended.
    pub(crate) fn running_on(&self, agent: NodeId) -> Vec<u16> {
        self.running()
            .filter(|(_, s)| s.credit.agent == agent)
            .map(|(index, _)| index)
            .collect()
    }

    /// Returns the tasks that were sent to any agent and have not ended, with
    /// their indexes.
    pub(crate) fn running(&self) -> impl Iterator<Item = (u16, &StartedTask)> {
        (0u16..)
            .zip(&self.tasks)
            .filter_map(|(index, task)| match &task.state {
                TaskState::Started(started) => Some((index, started)),
                _ => None,
            })
    }

    /// Builds the final answer from the states of the tasks.
    pub(crate) fn answer(&self, reason: Reason, retry_after_ms: Option<u32>) -> Answer {
        if self.is_done() {
            return Answer {
                outcome: Outcome::Complete,
                ran: Ran::Ran,
                reason: Reason::None,
                retry_after_ms: None,
                tasks: self.reports(),
            };
        }
        let ran = self.ran();
        // The outputs of an incomplete job are not returned; the answer only
        // says which tasks ran.
        let tasks = self.reports().into_iter().map(without_output).collect();
        Answer {
            outcome: Outcome::Failed,
            ran,
            reason,
            retry_after_ms,
            tasks,
        }
    }

    /// Summarizes whether any task ran.
    fn ran(&self) -> Ran {
        let statuses: Vec<TaskStatus> = self.tasks.iter().map(OpenTask::status).collect();
        let has_any = |wanted: &[TaskStatus]| statuses.iter().any(|status| wanted.contains(status));
        if has_any(&[TaskStatus::Done, TaskStatus::Failed]) {
            Ran::Ran
        } else if has_any(&[TaskStatus::Started, TaskStatus::Unknown]) {
            Ran::Unknown
        } else {
            Ran::NotRun
        }
    }

    fn reports(&self) -> Vec<TaskReport> {
        self.tasks.iter().map(OpenTask::report).collect()
    }
}

impl OpenTask {
    fn status(&self) -> TaskStatus {
        match &self.state {
            TaskState::Queued if self.may_have_run => TaskStatus::Unknown,
            TaskState::Queued => TaskStatus::NotRun,
            TaskState::Started(_) => TaskStatus::Started,
            TaskState::Done(_) => TaskStatus::Done,
            TaskState::Failed(_) => TaskStatus::Failed,
            TaskState::Unknown => TaskStatus::Unknown,
        }
    }

    fn report(&self) -> TaskReport {
        let output = match &self.state {
            TaskState::Done(output) | TaskState::Failed(output) => output.clone(),
            _ => Name::from(""),
        };
        TaskReport {
            status: self.status(),
            output,
        }
    }
}

fn without_output(report: TaskReport) -> TaskReport {
    let output = match report.status {
        TaskStatus::Done => Name::from(""),
        _ => report.output,
    };
    TaskReport { output, ..report }
}

impl OpenSubmission {
    /// Builds the start message for one task.
    pub(crate) fn task_start(
        &self,
        now_ms: u64,
        id: SubmissionId,
        index: u16,
        credit: Credit,
    ) -> TaskStart {
        let attempt = self.tasks[usize::from(index)].attempt;
        TaskStart {
            task_id: TaskId {
                submission: id,
                index,
                attempt,
            },
            credit,
            task: self.submission.tasks[usize::from(index)].clone(),
            repeatable: self.submission.repeatable,
            remaining_ms: self.deadline_at_ms.saturating_sub(now_ms),
        }
    }
}
