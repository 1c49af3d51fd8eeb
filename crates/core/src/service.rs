//! What a home keeps for one service: the queue, the credits and who may use
//! them.

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

/// Submissions of one team that are tried for a free slot before giving up.
const MAX_SCANNED_SUBMISSIONS: usize = 16;
/// Pause of a slot after its minion failed, for each failure in a row.
const PAUSE_PER_FAILURE_MS: u64 = 200;
/// Longest such pause.
const MAX_PAUSE_MS: u64 = 2_000;

/// State of one service at one home.
#[derive(Debug, Default)]
pub(crate) struct Service {
    pub(crate) queue: TaskQueue,
    pub(crate) credits: CreditPool,
    pub(crate) health: Health,
    pub(crate) estimates: Estimates,
    pub(crate) teams: TeamShares,
    pub(crate) budget: RetryBudget,
    pub(crate) lending: Lending,
    /// Tasks of this home that run.
    pub(crate) running: usize,
    /// The homes of the service, as of the last tick.
    pub(crate) group: Vec<Peer>,
    /// This home's share of all slots of the service, as of the last tick.
    pub(crate) fair_slots: usize,
}

/// A task chosen for a slot.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Placement {
    pub(crate) id: SubmissionId,
    pub(crate) task: QueuedTask,
    pub(crate) credit: Credit,
}

/// What the choice of a task and a slot depends on.
pub(crate) struct Placing<'a> {
    pub(crate) now_ms: u64,
    pub(crate) view: &'a View,
    pub(crate) teams: &'a [Name],
    pub(crate) preference: Preference,
    /// The last choice of the same round.
    pub(crate) last: Option<Placement>,
}

impl Service {
    /// Expected wait of a task of `team` that arrives now, in milliseconds.
    ///
    /// The team gets its share by weight among the teams that wait, of the
    /// slots that this home has or will get as its share among the homes.
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

    /// Chooses the next task and a slot for it.
    pub(crate) fn place(
        &mut self,
        placing: &Placing<'_>,
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

    fn take_credit(
        &mut self,
        placing: &Placing<'_>,
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

    /// Takes in the next credit of a slot whose task ended.
    pub(crate) fn return_credit(&mut self, now_ms: u64, credit: Credit) {
        let failures = u64::from(self.health.consecutive_failures(credit.agent));
        let pause_ms = (failures * PAUSE_PER_FAILURE_MS).min(MAX_PAUSE_MS);
        self.credits.add(credit, now_ms, now_ms + pause_ms);
    }

    pub(crate) fn forget_agent(&mut self, agent: NodeId) {
        self.credits.drop_agent(agent);
        self.health.forget(agent);
    }
}
