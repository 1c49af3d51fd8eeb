//! How an agent follows the configuration.

use gannetvane_wire::Message;
use gannetvane_wire::Snapshot;

use crate::Action;
use crate::Agent;
use crate::LogPage;
use crate::Peer;
use crate::home::Arrival;

/// Longest time for which a submission waits for the configuration.
const MAX_HOLD_MS: u64 = 1_000;

impl Agent {
    /// Takes in a part of the configuration stream.
    pub fn log_page(&mut self, now_ms: u64, page: LogPage) -> Vec<Action> {
        let at_end = page.at_end;
        let version = self.configuration.current().version;
        self.configuration.read(now_ms, page);
        self.run_step(now_ms, |agent, actions| {
            if agent.configuration.current().version > version {
                agent.configuration_changed(now_ms, actions);
            }
            if !at_end {
                let from_offset = agent.configuration.next_offset();
                actions.push(Action::ReadLog { from_offset });
            }
        })
    }

    pub(crate) fn adopt_configuration(
        &mut self,
        now_ms: u64,
        snapshot: &Snapshot,
        actions: &mut Vec<Action>,
    ) {
        if self.configuration.adopt(snapshot) {
            self.configuration_changed(now_ms, actions);
        }
    }

    pub(crate) fn configuration_changed(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
        let version = self.configuration.current().version;
        actions.push(Action::log("configuration-changed", version));
        actions.extend(self.membership.spread(now_ms, version));
        self.submit_held(now_ms, actions);
        self.grant_credits(now_ms, actions);
    }

    /// A submission from an entry that knows a newer configuration waits until
    /// this agent has it too, or for [`MAX_HOLD_MS`].
    pub(crate) fn submit_or_hold(
        &mut self,
        now_ms: u64,
        held: HeldSubmission,
        actions: &mut Vec<Action>,
    ) {
        let is_behind = held.configuration_version > self.configuration.current().version;
        if is_behind && now_ms.saturating_sub(held.since_ms) < MAX_HOLD_MS {
            if self.held.is_empty() {
                let message = Message::ConfigurationPull;
                actions.push(Action::Send {
                    to: held.entry,
                    message,
                });
            }
            self.held.push(held);
            return;
        }
        let HeldSubmission {
            entry,
            mut arrival,
            since_ms,
            ..
        } = held;
        arrival.remaining_ms = arrival.remaining_ms.saturating_sub(now_ms - since_ms);
        self.with_home(now_ms, actions, |home, ctx| {
            home.submit(ctx, entry, arrival);
        });
    }

    pub(crate) fn submit_held(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
        for held in std::mem::take(&mut self.held) {
            self.submit_or_hold(now_ms, held, actions);
        }
    }
}

/// A submission that waits for a newer configuration.
#[derive(Debug)]
pub(crate) struct HeldSubmission {
    pub(crate) entry: Peer,
    pub(crate) arrival: Arrival,
    pub(crate) since_ms: u64,
    pub(crate) configuration_version: u64,
}
