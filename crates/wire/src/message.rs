//! Messages between processes, and the parts that they are made of.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::Answer;
use crate::Member;
use crate::Name;
use crate::NodeId;
use crate::Reason;
use crate::Snapshot;
use crate::Submission;
use crate::SubmissionId;
use crate::Task;
use crate::TaskId;

/// The right to start one task on one slot of one agent, once.
///
/// The agent counts the uses of each slot. It accepts a start only with the
/// present count, and then raises the count. A repeated, delayed or revoked start
/// carries a lower count and starts nothing, whenever it arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Credit {
    /// The agent that has the slot.
    pub agent: NodeId,
    /// Number of the slot at the agent.
    pub slot: u16,
    /// Use count of the slot for which this credit is valid.
    pub sequence: u64,
}

/// A credit that is passed on, with the time for which its slot has been idle.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotCredit {
    /// The credit.
    pub credit: Credit,
    /// Milliseconds for which the slot has been idle. The agent reclaims the
    /// credit when its lease has ended.
    pub idle_ms: u64,
}

/// An order to start a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskStart {
    /// The task.
    pub task_id: TaskId,
    /// The credit that the start uses up.
    pub credit: Credit,
    /// What to run.
    pub task: Task,
    /// Whether the task may run again on another agent.
    pub repeatable: bool,
    /// Milliseconds until the caller's deadline, at the time of sending.
    pub remaining_ms: u64,
}

/// How an attempt at a task ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskResult {
    /// The task ran and returned this output.
    Done(Name),
    /// The task ran and failed with this error.
    Failed(Name),
    /// The task was not started and never will be with this credit.
    NotStarted(Reason),
    /// The agent no longer knows whether the task ran.
    Unknown,
}

/// The end of an attempt at a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finished {
    /// The task.
    pub task_id: TaskId,
    /// How the attempt ended.
    pub result: TaskResult,
    /// Time for which the task ran on the minion, in milliseconds.
    pub run_ms: u32,
    /// The next credit of the slot; `None` when the agent keeps it.
    pub next_credit: Option<Credit>,
}

/// One submission of a table that is handed over to a successor.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandoverEntry {
    /// The submission.
    pub id: SubmissionId,
    /// Hash of the submission's content; 0 when it was cancelled but never submitted.
    pub fingerprint: u64,
    /// The final answer; `None` when it is no longer held.
    pub answer: Option<Arc<Answer>>,
}

/// Updates on membership that every ping and its answer carry.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gossip {
    /// Members whose state changed recently.
    pub members: Vec<Member>,
    /// Version of the sender's configuration.
    pub configuration_version: u64,
}

/// A message from one process to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Entry to home: run the submission, or answer for it if the home knows it already.
    Submit {
        /// The submission's id.
        id: SubmissionId,
        /// The submission to run; `None` asks for the answer only.
        submission: Option<Arc<Submission>>,
        /// Hash of the submission's content, which the answer repeats; 0 when
        /// only the answer is asked for.
        fingerprint: u64,
        /// Milliseconds until the caller's deadline.
        remaining_ms: u64,
        /// Version of the sender's configuration. A home with an older one first
        /// adopts the sender's.
        configuration_version: u64,
    },
    /// Entry to home: stop the submission.
    Cancel {
        /// The submission's id.
        id: SubmissionId,
    },
    /// Home to entry: the final answer.
    Answer {
        /// The submission's id.
        id: SubmissionId,
        /// The fingerprint in the message that is answered.
        fingerprint: u64,
        /// The answer.
        answer: Arc<Answer>,
    },
    /// Home to agent: start these tasks.
    Start(Vec<TaskStart>),
    /// Home to agent: the tasks of these credits were cancelled. Stop those that
    /// run, and start none of the others.
    Revoke(Vec<Credit>),
    /// Agent to home: these attempts ended.
    Finished(Vec<Finished>),
    /// Home to home: this home needs credits.
    CreditRequest {
        /// The service.
        service: Name,
        /// Number of credits that the home needs.
        wanted: u32,
        /// Milliseconds by which the turn of the sender's first waiting task is
        /// overdue; negative when its turn is in the future.
        overdue_ms: i64,
    },
    /// Agent or home to home: the receiver may use these credits.
    CreditGrant {
        /// The service.
        service: Name,
        /// The credits.
        credits: Vec<SlotCredit>,
    },
    /// Any process to a member: answer this probe.
    Ping {
        /// Number of the probe, which its answer repeats.
        probe: u64,
        /// Updates on membership.
        gossip: Gossip,
    },
    /// Answer to a [`Message::Ping`].
    Ack {
        /// The number in the probe that is answered.
        probe: u64,
        /// Updates on membership.
        gossip: Gossip,
    },
    /// Any process to a member: probe another member for the sender.
    PingRequest {
        /// Number of the probe, which its answer repeats.
        probe: u64,
        /// The member to probe.
        target: NodeId,
    },
    /// Entry or new agent to agent: send the members that changed.
    ViewPull {
        /// Change number of the receiver's view up to which the sender knows it.
        since: u64,
        /// Version of the sender's configuration.
        configuration_version: u64,
    },
    /// Agent to entry or new agent: the members that changed.
    ViewDelta {
        /// Change number up to which this delta brings the receiver.
        upto: u64,
        /// Whether there are more changes after `upto`.
        more: bool,
        /// The changed members.
        members: Vec<Member>,
        /// The configuration, if the receiver's is older.
        configuration: Option<Snapshot>,
    },
    /// Any process to any other: send the configuration.
    ConfigurationPull,
    /// Any process to any other: the configuration of the sender.
    ConfigurationState(Snapshot),
    /// Leaving agent to successor: one part of a table of submissions.
    Handover {
        /// Id of the agent run whose table it is.
        home: NodeId,
        /// Milliseconds since that agent run started.
        uptime_ms: u64,
        /// Oldest generation that the table still holds.
        oldest_generation: u32,
        /// Submissions of the table, each with its final answer.
        entries: Vec<HandoverEntry>,
        /// Number of this part, from 0.
        part: u32,
        /// Number of parts of the whole table.
        parts: u32,
    },
    /// Successor to leaving agent: the successor has taken over a part of a table.
    HandoverAck {
        /// Id of the agent run whose table it is.
        home: NodeId,
        /// Number of the part, from 0.
        part: u32,
    },
}

impl Message {
    /// Name of the kind of message, as counters and logs show it.
    #[must_use]
    pub fn name(&self) -> &'static str {
        match self {
            Self::Submit { .. } => "submit",
            Self::Cancel { .. } => "cancel",
            Self::Answer { .. } => "answer",
            Self::Start(_) => "start",
            Self::Revoke(_) => "revoke",
            Self::Finished(_) => "finished",
            Self::CreditRequest { .. } => "credit-request",
            Self::CreditGrant { .. } => "credit-grant",
            Self::Ping { .. } => "ping",
            Self::Ack { .. } => "ack",
            Self::PingRequest { .. } => "ping-request",
            Self::ViewPull { .. } => "view-pull",
            Self::ViewDelta { .. } => "view-delta",
            Self::ConfigurationPull => "configuration-pull",
            Self::ConfigurationState(_) => "configuration-state",
            Self::Handover { .. } => "handover",
            Self::HandoverAck { .. } => "handover-ack",
        }
    }

    /// Whether the message belongs to membership. The loss of such a message does
    /// no harm, so a datagram is enough for it.
    #[must_use]
    pub fn is_control(&self) -> bool {
        matches!(
            self,
            Self::Ping { .. }
                | Self::Ack { .. }
                | Self::PingRequest { .. }
                | Self::ViewPull { .. }
                | Self::ViewDelta { .. }
        )
    }
}

/// A message with its sender and receiver.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// Id of the run of the process that sends.
    pub from: NodeId,
    /// Address at which the sender receives messages.
    pub from_addr: SocketAddr,
    /// Id of the run of the process that is to receive; `None` for the first
    /// contact, when only its address is known.
    pub to: Option<NodeId>,
    /// The message.
    pub message: Message,
}
