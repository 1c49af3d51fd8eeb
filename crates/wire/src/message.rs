//! Messages between processes.

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
/// The agent counts the uses of each slot. A start is accepted only with the
/// present count, which it raises; a repeated, late or revoked start carries a
/// lower count and starts nothing, however late it arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Credit {
    /// The agent of the slot.
    pub agent: NodeId,
    /// The slot.
    pub slot: u16,
    /// Use count of the slot that this credit is good for.
    pub sequence: u64,
}

/// A credit as it is passed on, with its age.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotCredit {
    /// The credit.
    pub credit: Credit,
    /// Milliseconds for which the slot has been idle; the agent takes the
    /// credit back after its lease.
    pub idle_ms: u64,
}

/// A task to be started.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskStart {
    /// The task.
    pub task_id: TaskId,
    /// The credit that the start uses.
    pub credit: Credit,
    /// What to run.
    pub task: Task,
    /// Whether the task may run again elsewhere.
    pub repeatable: bool,
    /// Milliseconds until the caller's deadline, at the time of sending.
    pub remaining_ms: u64,
}

/// How an attempt at a task ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskResult {
    /// Ran; the output.
    Done(Name),
    /// Ran and failed; the error.
    Failed(Name),
    /// Was not started and never will be with this credit.
    NotStarted(Reason),
    /// The agent no longer knows whether it ran.
    Unknown,
}

/// The end of an attempt at a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finished {
    /// The task.
    pub task_id: TaskId,
    /// How it ended.
    pub result: TaskResult,
    /// Time that the minion took, in milliseconds.
    pub run_ms: u32,
    /// The next credit of the slot, unless the agent keeps it.
    pub next_credit: Option<Credit>,
}

/// One submission in a table that moves to a successor.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandoverEntry {
    /// The submission.
    pub id: SubmissionId,
    /// Hash of its content; 0 when it was never submitted, only cancelled.
    pub fingerprint: u64,
    /// Its final answer; `None` when the answer is no longer held.
    pub answer: Option<Arc<Answer>>,
}

/// Membership news carried by every probe and its answer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gossip {
    /// Members whose state changed lately.
    pub members: Vec<Member>,
    /// Version of the sender's configuration.
    pub configuration_version: u64,
}

/// A message from one process to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Entry to home: run this, or answer for it if known.
    Submit {
        /// The submission's id.
        id: SubmissionId,
        /// What to run; `None` asks for the answer only.
        submission: Option<Arc<Submission>>,
        /// Hash of the submission's content, echoed by the answer; 0 when
        /// only the answer is asked for.
        fingerprint: u64,
        /// Milliseconds until the caller's deadline.
        remaining_ms: u64,
        /// Version of the sender's configuration; a home with an older one
        /// takes the sender's first.
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
        /// The fingerprint of the message that this answers.
        fingerprint: u64,
        /// The answer.
        answer: Arc<Answer>,
    },
    /// Home to agent: start these tasks.
    Start(Vec<TaskStart>),
    /// Home to agent: the tasks started with these credits were cancelled. Stop
    /// those that run, and start none of the others.
    Revoke(Vec<Credit>),
    /// Agent to home: these attempts ended.
    Finished(Vec<Finished>),
    /// Home to home: this home needs credits.
    CreditRequest {
        /// The service.
        service: Name,
        /// Number of credits.
        wanted: u32,
        /// Milliseconds by which the turn of the sender's first waiting task
        /// is overdue; negative when it is still to come.
        overdue_ms: i64,
    },
    /// Agent or home to home: these credits are yours.
    CreditGrant {
        /// The service.
        service: Name,
        /// The credits.
        credits: Vec<SlotCredit>,
    },
    /// Are you there?
    Ping {
        /// Matches the answer to the probe.
        probe: u64,
        /// News.
        gossip: Gossip,
    },
    /// I am.
    Ack {
        /// The probe that is answered.
        probe: u64,
        /// News.
        gossip: Gossip,
    },
    /// Probe this member for me.
    PingRequest {
        /// Matches the answer to the probe.
        probe: u64,
        /// The member to probe.
        target: NodeId,
    },
    /// Entry or new agent to agent: what changed since?
    ViewPull {
        /// Change number up to which the sender knows the receiver's view.
        since: u64,
        /// Version of the sender's configuration.
        configuration_version: u64,
    },
    /// Agent to entry: what changed.
    ViewDelta {
        /// Change number that this delta reaches.
        upto: u64,
        /// Whether more changes follow beyond `upto`.
        more: bool,
        /// The changed members.
        members: Vec<Member>,
        /// The configuration, when the receiver's is older.
        configuration: Option<Snapshot>,
    },
    /// Any process to any other: ask for the configuration.
    ConfigurationPull,
    /// The configuration of the sender.
    ConfigurationState(Snapshot),
    /// Leaving agent to successor: part of a table.
    Handover {
        /// The agent run whose table this is.
        home: NodeId,
        /// Milliseconds since that agent started.
        uptime_ms: u64,
        /// Oldest generation that the table still holds.
        oldest_generation: u32,
        /// Submissions, all with their final answers.
        entries: Vec<HandoverEntry>,
        /// Number of this part, from 0.
        part: u32,
        /// Number of parts.
        parts: u32,
    },
    /// Successor to leaving agent: a part of the table is taken over.
    HandoverAck {
        /// The agent run whose table it is.
        home: NodeId,
        /// The part.
        part: u32,
    },
}

impl Message {
    /// Name of the kind of message, for counters and logs.
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

    /// Whether the message belongs to membership and may be lost without harm,
    /// so that a datagram is enough.
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
    /// The run of the process that sends.
    pub from: NodeId,
    /// Where the sender receives.
    pub from_addr: SocketAddr,
    /// The run of the process that is meant; `None` for first contact, when
    /// only the address is known.
    pub to: Option<NodeId>,
    /// The message.
    pub message: Message,
}
