//! What a core asks the process around it to do.

use std::net::SocketAddr;

use gannetvane_wire::LogRecord;
use gannetvane_wire::Message;
use gannetvane_wire::NodeId;
use gannetvane_wire::Reason;
use gannetvane_wire::TaskId;
use gannetvane_wire::TaskStart;

use crate::Reply;

/// A process and where it receives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Peer {
    /// The run of the process; `None` at first contact.
    pub node: Option<NodeId>,
    /// Where it receives UDP and TCP.
    pub addr: SocketAddr,
}

impl Peer {
    /// A peer whose run is known.
    #[must_use]
    pub fn known(node: NodeId, addr: SocketAddr) -> Self {
        Self {
            node: Some(node),
            addr,
        }
    }
}

/// A caller that waits at an entry for a reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CallerId(pub u64);

/// Something worth a line in the log of the process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Notice {
    /// Name of the event; each has one meaning.
    pub event: &'static str,
    /// What it is about.
    pub subject: String,
}

/// Something that a metric counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Counter {
    /// A submission was complete.
    Completed,
    /// A submission was refused, and nothing of it ran.
    Refused(Reason),
    /// A submission failed after its admission.
    Failed(Reason),
    /// A task was put back in the queue.
    Retried(Reason),
    /// A message was sent again.
    Resent(Reason),
    /// A task was started on this agent's minion.
    TaskStarted,
    /// A start was ignored because its task was already known.
    RepeatedStart,
    /// A minion was ejected.
    MinionEjected,
    /// Slots were taken back from a home that lost or forgot them.
    CreditsReclaimed,
}

/// One thing to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a message.
    Send {
        /// The receiver.
        to: Peer,
        /// The message.
        message: Message,
    },
    /// Run a task on the minion of this agent.
    Run(TaskStart),
    /// Ask the minion to stop a task that runs.
    StopTask(TaskId),
    /// Reply to a caller.
    Reply {
        /// The caller.
        caller: CallerId,
        /// The reply.
        reply: Reply,
    },
    /// Append a record to the configuration stream of the platform's log.
    Append(LogRecord),
    /// Read the configuration stream from this offset as soon as possible.
    ReadLog {
        /// The first record wanted.
        from_offset: u64,
    },
    /// Count something.
    Count(Counter),
    /// Log something.
    Log(Notice),
    /// The process has nothing left to do and can stop.
    Stop,
}

impl Action {
    pub(crate) fn log(event: &'static str, subject: impl std::fmt::Display) -> Self {
        Self::Log(Notice {
            event,
            subject: format!("{subject}"),
        })
    }
}
