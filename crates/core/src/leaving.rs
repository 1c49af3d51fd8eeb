//! Performs the planned stop of an agent.

use gannetvane_wire::HandoverEntry;
use gannetvane_wire::MemberState;
use gannetvane_wire::NodeId;

use crate::Action;
use crate::Agent;
use crate::SubmissionTable;
use crate::drain::Drain;
use crate::drain::Handover;
use crate::drain::choose_successor;
use crate::home::Intake;

impl Agent {
    /// Begins the planned stop.
    pub fn leave(&mut self, now_ms: u64) -> Vec<Action> {
        if self.is_leaving() {
            return Vec::new();
        }
        self.drain = Drain::Leaving { since_ms: now_ms };
        self.runner.leave(now_ms);
        let version = self.configuration.current().version;
        let mut actions = vec![Action::log("leaving", self.node)];
        actions.extend(
            self.membership
                .announce(now_ms, MemberState::Leaving, version),
        );
        actions
    }

    /// Adds one part of a table that `home` hands over to this agent.
    pub(crate) fn adopt(
        &mut self,
        now_ms: u64,
        home: NodeId,
        uptime_ms: u64,
        oldest_generation: u32,
        entries: Vec<HandoverEntry>,
    ) {
        let settings = self.settings.table;
        let table = self
            .home
            .adopted
            .entry(home)
            .or_insert_with(|| SubmissionTable::new(home, settings, now_ms, uptime_ms));
        table.raise_oldest(oldest_generation);
        for entry in entries {
            table.adopt(entry);
        }
    }

    /// Performs what is due in the current stage of the stop, and moves to the
    /// next stage when it is complete.
    pub(crate) fn continue_leaving(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
        match &mut self.drain {
            Drain::NotLeaving => {}
            Drain::Leaving { since_ms } => {
                if now_ms.saturating_sub(*since_ms) >= self.settings.leave_notice_ms {
                    self.home.intake = Intake::Refusing;
                }
                if self.home.open.is_empty() && self.runner.busy() == 0 {
                    self.begin_handover(now_ms, actions);
                }
            }
            Drain::HandingOver(handover) => {
                let to = handover.successor();
                let is_lost = self
                    .membership
                    .view()
                    .state(to.node.unwrap_or(self.node))
                    .is_none_or(MemberState::is_gone);
                if handover.is_done() {
                    self.left(now_ms, to.node, actions);
                } else if handover.is_overdue(now_ms) {
                    actions.push(Action::log("handover-failed", to.addr));
                    self.left(now_ms, None, actions);
                } else if is_lost {
                    self.begin_handover(now_ms, actions);
                } else {
                    let due = handover.due(now_ms).into_iter();
                    actions.extend(due.map(|message| Action::Send { to, message }));
                }
            }
            Drain::Left { successor, .. } => {
                let successor = *successor;
                if self.drain.should_announce(now_ms) {
                    self.announce_left(now_ms, successor, actions);
                }
                if self.drain.is_finished(now_ms) {
                    actions.push(Action::Stop);
                }
            }
        }
    }

    /// Closes the intake of submissions and starts the handover. Without a
    /// successor, the agent leaves at once.
    pub(crate) fn begin_handover(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
        self.home.intake = Intake::Closed;
        let service = &self.settings.member.service;
        let Some(successor) = choose_successor(self.membership.view(), self.node, service) else {
            actions.push(Action::log("no-successor", self.node));
            self.left(now_ms, None, actions);
            return;
        };
        let tables = std::iter::once(&self.home.table).chain(self.home.adopted.values());
        self.drain = Drain::HandingOver(Handover::new(now_ms, successor, tables));
        self.continue_leaving(now_ms, actions);
    }

    /// Marks this agent as left and announces its successor.
    pub(crate) fn left(
        &mut self,
        now_ms: u64,
        successor: Option<NodeId>,
        actions: &mut Vec<Action>,
    ) {
        self.drain = Drain::Left {
            since_ms: now_ms,
            next_announce_ms: now_ms,
            successor,
        };
        self.continue_leaving(now_ms, actions);
    }

    /// Sends the state `Left` with the successor to other members.
    pub(crate) fn announce_left(
        &mut self,
        now_ms: u64,
        successor: Option<NodeId>,
        actions: &mut Vec<Action>,
    ) {
        let version = self.configuration.current().version;
        let state = MemberState::Left { successor };
        actions.extend(self.membership.announce(now_ms, state, version));
    }
}
