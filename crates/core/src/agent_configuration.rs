//! How an agent keeps its configuration up to date.

use gannetvane_wire::Message;
use gannetvane_wire::Snapshot;

use crate::Action;
use crate::Agent;
use crate::LogPage;
use crate::Peer;
use crate::home::Arrival;

/// Maximum time in milliseconds for which a submission is held until the
/// configuration arrives.
const MAX_HOLD_MS: u64 = 1_000;

impl Agent {
    /// Applies a page of the configuration stream.
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

    /// Applies the configuration of another process if it is newer.
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

    /// Announces a new configuration to other agents, passes on the submissions
    /// that were held for it, and grants credits to the homes that follow from
    /// it.
    pub(crate) fn configuration_changed(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
        let version = self.configuration.current().version;
        actions.push(Action::log("configuration-changed", version));
        actions.extend(self.membership.announce_configuration(now_ms, version));
        self.submit_held(now_ms, actions);
        self.grant_credits(now_ms, actions);
    }

    /// Passes a submission to the home. If the entry has a newer configuration,
    /// the submission is held until this agent has it too, for at most
    /// [`MAX_HOLD_MS`].
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

    /// Passes on the held submissions whose configuration has arrived or whose
    /// holding time has passed.
    pub(crate) fn submit_held(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
        for held in std::mem::take(&mut self.held) {
            self.submit_or_hold(now_ms, held, actions);
        }
    }
}

/// A submission that is held until a newer configuration arrives.
#[derive(Debug)]
pub(crate) struct HeldSubmission {
    pub(crate) entry: Peer,
    pub(crate) arrival: Arrival,
    pub(crate) since_ms: u64,
    pub(crate) configuration_version: u64,
}
