//! What reaches the event loop of a process.

use std::net::SocketAddr;

use crossbeam::channel::Sender;
use gannetvane_core::Command;
use gannetvane_core::Reply;
use gannetvane_wire::Credit;
use gannetvane_wire::Envelope;
use gannetvane_wire::Message;
use gannetvane_wire::TaskResult;

use crate::platform::LogReply;

/// What reaches the event loop.
#[derive(Debug)]
pub(crate) enum Input {
    /// A message from another process.
    Message(Envelope),
    /// A connection broke.
    PeerDown(SocketAddr),
    /// A message never left this process.
    Undelivered(Message),
    /// A caller or operator asks.
    Command(CommandRequest),
    /// The minion ended a task.
    TaskEnded {
        /// The credit of its start.
        credit: Credit,
        /// How it ended.
        result: TaskResult,
    },
    /// The platform's log answered.
    Log(LogReply),
    /// Something failed that only a log line can tell.
    NetworkError(String),
}

/// A command and where its reply goes.
#[derive(Debug)]
pub(crate) struct CommandRequest {
    pub(crate) command: Command,
    pub(crate) reply_to: Sender<Reply>,
}
