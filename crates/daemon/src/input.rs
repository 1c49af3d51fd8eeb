//! The inputs of the event loop of a process.

use std::net::SocketAddr;

use gannetvane_core::Command;
use gannetvane_core::Reply;
use gannetvane_wire::Credit;
use gannetvane_wire::Envelope;
use gannetvane_wire::Message;
use gannetvane_wire::TaskResult;
use tokio::sync::oneshot;

use crate::platform::LogReply;

/// One input of the event loop.
#[derive(Debug)]
pub(crate) enum Input {
    /// A message from another process.
    Message(Envelope),
    /// The connection to this address broke.
    PeerDown(SocketAddr),
    /// No byte of this message was written to its connection.
    Undelivered(Message),
    /// A command of a caller or operator.
    Command(CommandRequest),
    /// The run of a task on the minion ended.
    TaskEnded {
        /// The credit under which the task was started.
        credit: Credit,
        /// The result of the run.
        result: TaskResult,
    },
    /// A reply of the platform's log.
    Log(LogReply),
    /// An error of the network thread; it is only logged.
    NetworkError(String),
}

/// A command and the channel for its reply.
#[derive(Debug)]
pub(crate) struct CommandRequest {
    pub(crate) command: Command,
    pub(crate) reply_to: oneshot::Sender<Reply>,
}
