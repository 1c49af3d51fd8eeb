//! The state of one service at its home: the queue, the credits and the
//! accounting of teams and minions.

use std::collections::BTreeMap;

use gannetvane_wire::Credit;
use gannetvane_wire::Name;
use gannetvane_wire::Needs;
use gannetvane_wire::NodeId;
use gannetvane_wire::Preference;
use gannetvane_wire::SubmissionId;
use gannetvane_wire::TeamConfig;

use crate::CreditPool;
use crate::Estimates;
use crate::Health;
use crate::Peer;
use crate::RetryBudget;
use crate::TaskQueue;
use crate::TeamShares;
use crate::View;
use crate::lending::Lending;
use crate::queue::QueuedTask;

/// Maximum number of submissions of one team that are checked for a task that
/// fits a free slot.
const MAX_SCANNED_SUBMISSIONS: usize = 16;
/// Delay in milliseconds, for each consecutive failure of its minion, before a
/// slot is used again.
const DELAY_PER_FAILURE_MS: u64 = 200;
/// Maximum delay in milliseconds before a slot is used again.
const MAX_FAILURE_DELAY_MS: u64 = 2_000;

/// The state of one service at one home.
#[derive(Debug, Default)]
pub(crate) struct Service {
    pub(crate) queue: TaskQueue,
    pub(crate) credits: CreditPool,
    pub(crate) health: Health,
    pub(crate) estimates: Estimates,
    pub(crate) teams: TeamShares,
    pub(crate) budget: RetryBudget,
    pub(crate) lending: Lending,
    /// Number of running tasks of this home.
    pub(crate) running: usize,
    /// The homes of the service, updated by [`Home::maintain`].
    ///
    /// [`Home::maintain`]: crate::home::Home::maintain
    pub(crate) group: Vec<Peer>,
    /// This home's equal share of all slots of the service, updated together
    /// with `group`.
    pub(crate) fair_slots: usize,
}

/// A task and the credit that was chosen for it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Placement {
    pub(crate) id: SubmissionId,
    pub(crate) task: QueuedTask,
    pub(crate) credit: Credit,
}

/// The inputs for the choice of a task and a slot.
pub(crate) struct PlacementInputs<'a> {
    pub(crate) now_ms: u64,
    pub(crate) view: &'a View,
    pub(crate) teams: &'a [Name],
    pub(crate) preference: Preference,
    /// The previous choice in the same round of starts.
    pub(crate) last: Option<Placement>,
}

impl Service {
    /// Returns the expected wait in milliseconds of a task of `team` that
    /// arrives now.
    ///
    /// The home counts on the slots that it has or will get as its share among
    /// the homes. The team gets a part of them by its weight among the teams
    /// with waiting tasks.
    pub(crate) fn expected_wait_ms(&self, team: &Name, quotas: &BTreeMap<Name, TeamConfig>) -> u64 {
        if self.credits.len() > self.queue.len() {
            return 0;
        }
        let weight = |team: &Name| quotas.get(team).map_or(1, |quota| u64::from(quota.weight));
        let others = self.queue.teams().into_iter().filter(|other| other != team);
        let weights = weight(team) + others.map(|other| weight(&other)).sum::<u64>();
        let slots = (self.running + self.credits.len())
            .max(self.fair_slots)
            .max(1) as u64;
        self.queue.work_ms_of_team(team) * weights / (slots * weight(team).max(1))
    }

    /// Chooses the next task and takes a credit for it.
    pub(crate) fn place(
        &mut self,
        placing: &PlacementInputs<'_>,
        needs: impl Fn(SubmissionId, u16) -> Needs,
    ) -> Option<Placement> {
        if self.credits.is_empty() {
            return None;
        }
        for team in placing.teams {
            let ids: Vec<SubmissionId> = self
                .queue
                .in_turn(team)
                .take(MAX_SCANNED_SUBMISSIONS)
                .collect();
            for id in ids {
                let Some(task) = self.queue.next_of(id) else {
                    continue;
                };
                let needs = needs(id, task.index);
                if let Some(credit) = self.take_credit(placing, id, &needs) {
                    self.queue.pop_of(id);
                    return Some(Placement { id, task, credit });
                }
            }
        }
        None
    }

    /// Takes a credit for a task with these needs. If the service prefers few
    /// messages, it prefers the agent that received the previous task of the
    /// same submission.
    fn take_credit(
        &mut self,
        placing: &PlacementInputs<'_>,
        id: SubmissionId,
        needs: &Needs,
    ) -> Option<Credit> {
        let preferred_agent = placing
            .last
            .filter(|last| placing.preference == Preference::Messages && last.id == id)
            .map(|last| last.credit.agent);
        let health = &self.health;
        self.credits.take(placing.now_ms, |agent| {
            let fits = placing.view.is_usable(agent, needs) && health.allows(placing.now_ms, agent);
            fits.then_some(u32::from(Some(agent) == preferred_agent))
        })
    }

    /// Adds the next credit of a slot whose task ended. After failures of the
    /// minion, it becomes usable only after a delay.
    pub(crate) fn return_credit(&mut self, now_ms: u64, credit: Credit) {
        let failures = u64::from(self.health.consecutive_failures(credit.agent));
        let pause_ms = (failures * DELAY_PER_FAILURE_MS).min(MAX_FAILURE_DELAY_MS);
        self.credits.add(credit, now_ms, now_ms + pause_ms);
    }

    /// Drops the credits and health records of an agent.
    pub(crate) fn forget_agent(&mut self, agent: NodeId) {
        self.credits.drop_agent(agent);
        self.health.forget(agent);
    }
}
