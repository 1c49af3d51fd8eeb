//! Which entry may send the half-open trial of the circuit breaker.
//!
//! A minion whose runs failed gets one start at a time until a run is successful. If
//! several entries sent starts, all but one would be refused, so the agent informs one
//! entry at a time that it may send that start. The entry may have no task for this
//! minion, so the turn passes from entry to entry.

use std::cmp::Reverse;
use std::collections::BTreeSet;

use crate::Agent;
use crate::LinkId;
use crate::agent::breaker::BreakerState;
use crate::agent::links::Link;

/// Length of an entry's turn to send the start, in milliseconds. An entry answers a frame
/// within a few milliseconds.
const TURN_MS: u64 = 100;

/// The entry that may send the half-open trial.
#[derive(Debug, Default)]
pub(crate) struct Trial {
    /// The link that has the turn, and the time at which the turn ends, in milliseconds.
    turn: Option<(LinkId, u64)>,
    /// The links that already had a turn in this round.
    past_turns: BTreeSet<LinkId>,
}

impl Agent {
    /// The link whose starts are admitted while the breaker is half-open; `None` if it
    /// is not half-open or no link can send a start. The entry with the most work gets
    /// the first turn, and then each of the others.
    pub(crate) fn trial_link(&mut self, now_ms: u64) -> Option<LinkId> {
        if !matches!(self.breaker.state(now_ms), BreakerState::HalfOpen { .. }) {
            self.trial = Trial::default();
            return None;
        }
        let links = self.links.iter();
        let can_start = |link: &Link| link.is_greeted && !link.is_retiring;
        let links: Vec<(LinkId, &Link)> = links
            .filter(|(_, link)| can_start(link))
            .map(|(id, link)| (*id, link))
            .collect();
        let is_eligible = |id: LinkId| links.iter().any(|(other, _)| *other == id);
        if let Some((id, until_ms)) = self.trial.turn
            && is_eligible(id)
            && now_ms < until_ms
        {
            return Some(id);
        }
        if links
            .iter()
            .all(|(id, _)| self.trial.past_turns.contains(id))
        {
            self.trial.past_turns.clear();
        }
        let rank = |(id, link): &&(LinkId, &Link)| {
            let has_waiting_tasks = link.demand.waiting_core_ms > 0;
            let had_turn = self.trial.past_turns.contains(id);
            (
                Reverse(had_turn),
                has_waiting_tasks,
                link.demand.offered_milli,
            )
        };
        let next = links.iter().max_by_key(rank).map(|(id, _)| *id)?;
        self.trial.past_turns.insert(next);
        self.trial.turn = Some((next, now_ms + TURN_MS));
        Some(next)
    }
}
