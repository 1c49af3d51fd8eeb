//! Divides the slots fairly between teams.

use std::collections::BTreeMap;

use gannetvane_wire::Name;
use gannetvane_wire::TeamConfig;

/// Counts the running tasks of each team at one home.
#[derive(Clone, Debug, Default)]
pub struct TeamShares {
    running: BTreeMap<Name, u32>,
}

impl TeamShares {
    /// Records that a task of the team was started.
    pub fn started(&mut self, team: &Name) {
        *self.running.entry(team.clone()).or_default() += 1;
    }

    /// Records that a task of the team ended.
    pub fn ended(&mut self, team: &Name) {
        if let Some(running) = self.running.get_mut(team) {
            *running = running.saturating_sub(1);
        }
        self.running.retain(|_, running| *running > 0);
    }

    /// Returns the number of running tasks of the team.
    #[must_use]
    pub fn running(&self, team: &Name) -> u32 {
        self.running.get(team).copied().unwrap_or(0)
    }

    /// Sorts teams by their running tasks in relation to their weights, lowest
    /// first, and leaves out teams at their quota. A quota is the maximum
    /// number of running tasks of a team; it is divided equally among `homes`
    /// homes.
    #[must_use]
    pub fn order(
        &self,
        teams: Vec<Name>,
        quotas: &BTreeMap<Name, TeamConfig>,
        homes: u32,
    ) -> Vec<Name> {
        let mut ranked: Vec<(f64, Name)> = teams
            .into_iter()
            .filter(|team| self.is_below_quota(team, quotas.get(team), homes))
            .map(|team| (self.load(&team, quotas.get(&team)), team))
            .collect();
        ranked.sort_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.1.cmp(&b.1)));
        ranked.into_iter().map(|(_, team)| team).collect()
    }

    fn is_below_quota(&self, team: &Name, quota: Option<&TeamConfig>, homes: u32) -> bool {
        quota.is_none_or(|quota| {
            self.running(team) < quota.max_running_tasks.div_ceil(homes.max(1)).max(1)
        })
    }

    fn load(&self, team: &Name, quota: Option<&TeamConfig>) -> f64 {
        let weight = quota.map_or(1, |quota| quota.weight.max(1));
        f64::from(self.running(team)) / f64::from(weight)
    }
}
