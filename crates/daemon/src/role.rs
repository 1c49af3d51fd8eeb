//! The interface between the event loop and the core of an entry or an agent.

use std::net::SocketAddr;

use gannetvane_core::Action;
use gannetvane_core::Agent;
use gannetvane_core::CallerId;
use gannetvane_core::Command;
use gannetvane_core::Entry;
use gannetvane_wire::Credit;
use gannetvane_wire::Envelope;
use gannetvane_wire::Message;
use gannetvane_wire::TaskResult;

use crate::http::HttpServer;
use crate::metrics::Sizes;

/// Time after the notice of a stop for which callers may still send a body or receive an
/// answer, in milliseconds.
const TRANSFER_LIMIT_MS: u64 = 10_000;

/// The core of an entry or an agent.
pub(crate) trait Core {
    /// Handles an input and returns the actions to execute.
    fn handle(&mut self, now_ms: u64, input: CoreInput) -> Vec<Action>;
    /// Does the work that is due and returns the actions to execute.
    fn tick(&mut self, now_ms: u64) -> Vec<Action>;
    /// Adds addresses of agents for the first contact.
    fn add_contacts(&mut self, contacts: Vec<SocketAddr>);
    /// Starts a planned stop and returns the actions to execute.
    fn start_stop(&mut self, now_ms: u64) -> Vec<Action>;
    /// Returns whether the process is ready; the balancer sends requests only to
    /// ready processes.
    fn is_ready(&self) -> bool;
    /// Returns whether the process may end now because of a requested stop.
    fn can_stop(&self, now_ms: u64, http: &HttpServer) -> bool;
    /// Returns whether no other agent is known.
    fn has_no_other_agents(&self) -> bool;
    /// Returns the current values of the gauges.
    fn sizes(&self) -> Sizes;
}

/// One input of a core.
pub(crate) enum CoreInput {
    Message(Envelope),
    PeerDown(SocketAddr),
    Undelivered(Message),
    Command(CallerId, Command),
    TaskEnded(Credit, TaskResult),
    LogPage(gannetvane_core::LogPage),
    LogFailed,
}

pub(crate) struct AgentCore {
    pub(crate) agent: Agent,
}

pub(crate) struct EntryCore {
    pub(crate) entry: Entry,
    pub(crate) stop_notice_ms: u64,
    pub(crate) stopping_since_ms: Option<u64>,
}

impl Core for AgentCore {
    fn handle(&mut self, now_ms: u64, input: CoreInput) -> Vec<Action> {
        match input {
            CoreInput::Message(envelope) => self.agent.message(now_ms, envelope),
            CoreInput::PeerDown(addr) => self.agent.peer_down(now_ms, addr),
            CoreInput::Undelivered(message) => self.agent.undelivered(now_ms, message),
            CoreInput::TaskEnded(credit, result) => self.agent.task_ended(now_ms, credit, result),
            CoreInput::LogPage(page) => self.agent.log_page(now_ms, page),
            CoreInput::Command(..) | CoreInput::LogFailed => Vec::new(),
        }
    }

    fn tick(&mut self, now_ms: u64) -> Vec<Action> {
        self.agent.tick(now_ms)
    }

    fn add_contacts(&mut self, contacts: Vec<SocketAddr>) {
        self.agent.add_contacts(contacts);
    }

    fn start_stop(&mut self, now_ms: u64) -> Vec<Action> {
        self.agent.leave(now_ms)
    }

    fn is_ready(&self) -> bool {
        !self.agent.is_leaving()
    }

    fn can_stop(&self, _now_ms: u64, _http: &HttpServer) -> bool {
        // The core returns `Action::Stop` itself, after it has handed its table over
        // or could not.
        false
    }

    fn has_no_other_agents(&self) -> bool {
        self.agent.view().len() <= 1
    }

    fn sizes(&self) -> Sizes {
        Sizes {
            waiting: self.agent.open_submissions(),
            retained: self.agent.retained_submissions(),
            members: self.agent.view().len(),
            configuration_version: self.agent.configuration().current().version,
        }
    }
}

impl Core for EntryCore {
    fn handle(&mut self, now_ms: u64, input: CoreInput) -> Vec<Action> {
        match input {
            CoreInput::Message(envelope) => self.entry.message(now_ms, envelope),
            CoreInput::PeerDown(addr) => self.entry.peer_down(now_ms, addr),
            CoreInput::Command(caller, command) => self.entry.command(now_ms, caller, command),
            CoreInput::LogPage(page) => self.entry.log_page(now_ms, page),
            CoreInput::LogFailed => self.entry.log_failed(),
            CoreInput::Undelivered(_) | CoreInput::TaskEnded(..) => Vec::new(),
        }
    }

    fn tick(&mut self, now_ms: u64) -> Vec<Action> {
        self.entry.tick(now_ms)
    }

    fn add_contacts(&mut self, contacts: Vec<SocketAddr>) {
        self.entry.add_contacts(contacts);
    }

    fn start_stop(&mut self, now_ms: u64) -> Vec<Action> {
        self.stopping_since_ms.get_or_insert(now_ms);
        Vec::new()
    }

    fn is_ready(&self) -> bool {
        self.entry.is_ready() && self.stopping_since_ms.is_none()
    }

    fn can_stop(&self, now_ms: u64, http: &HttpServer) -> bool {
        let Some(since_ms) = self.stopping_since_ms else {
            return false;
        };
        let served_on_ms = now_ms.saturating_sub(since_ms);
        let has_notice_passed = served_on_ms >= self.stop_notice_ms;
        let is_transferring =
            http.transferring() > 0 && served_on_ms < self.stop_notice_ms + TRANSFER_LIMIT_MS;
        has_notice_passed && self.entry.waiting() == 0 && http.serving() == 0 && !is_transferring
    }

    fn has_no_other_agents(&self) -> bool {
        self.entry.view().is_empty()
    }

    fn sizes(&self) -> Sizes {
        Sizes {
            waiting: self.entry.waiting(),
            retained: 0,
            members: self.entry.view().len(),
            configuration_version: self.entry.configuration().current().version,
        }
    }
}
