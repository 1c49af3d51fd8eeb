//! The actions that a core requests from the process around it.

use std::net::SocketAddr;

use gannetvane_wire::LogRecord;
use gannetvane_wire::Message;
use gannetvane_wire::NodeId;
use gannetvane_wire::Reason;
use gannetvane_wire::TaskId;
use gannetvane_wire::TaskStart;

use crate::Reply;

/// A process and its address.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Peer {
    /// The incarnation of the process; `None` at first contact, while it is
    /// unknown.
    pub node: Option<NodeId>,
    /// Address at which the process receives UDP and TCP.
    pub addr: SocketAddr,
}

impl Peer {
    /// Creates a peer whose incarnation is known.
    #[must_use]
    pub fn known(node: NodeId, addr: SocketAddr) -> Self {
        Self {
            node: Some(node),
            addr,
        }
    }
}

/// Identifies a caller that waits at an entry for a reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CallerId(pub u64);

/// A line for the log of the process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Notice {
    /// Name of the event. Each name has one meaning.
    pub event: &'static str,
    /// The object that the event concerns.
    pub subject: String,
}

/// An occurrence that a metric counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Counter {
    /// A submission completed.
    Completed,
    /// A submission was refused, and none of its tasks ran.
    Refused(Reason),
    /// A submission failed after its admission.
    Failed(Reason),
    /// A task was put back in the queue.
    Retried(Reason),
    /// A message was sent again.
    Resent(Reason),
    /// A task was started on this agent's minion.
    TaskStarted,
    /// A start was not performed because its credit had already been used or
    /// revoked.
    RepeatedStart,
    /// A minion was ejected.
    MinionEjected,
    /// A slot's credit was taken back from an agent that is lost or no longer a
    /// home of the service, and granted to another agent that is a home.
    CreditsReclaimed,
}

/// One action for the process to perform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Sends a message.
    Send {
        /// The receiver.
        to: Peer,
        /// The message.
        message: Message,
    },
    /// Runs a task on the minion of this agent.
    Run(TaskStart),
    /// Asks the minion to stop a running task.
    StopTask(TaskId),
    /// Replies to a caller.
    Reply {
        /// The caller.
        caller: CallerId,
        /// The reply.
        reply: Reply,
    },
    /// Appends a record to the configuration stream of the platform's log.
    Append(LogRecord),
    /// Reads the configuration stream from an offset as soon as possible.
    ReadLog {
        /// Offset of the first record to read.
        from_offset: u64,
    },
    /// Increments a counter.
    Count(Counter),
    /// Writes a line to the log.
    Log(Notice),
    /// Stops the process, which has no work left.
    Stop,
}

impl Action {
    /// Builds the action that logs an event.
    pub(crate) fn log(event: &'static str, subject: impl std::fmt::Display) -> Self {
        Self::Log(Notice {
            event,
            subject: format!("{subject}"),
        })
    }
}
