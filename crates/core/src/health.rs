//! Ejects minions that fail the tasks started on them.

use std::collections::BTreeMap;

use gannetvane_wire::NodeId;

/// Number of consecutive failures after which a minion is ejected.
const MAX_CONSECUTIVE_FAILURES: u32 = 5;
/// Duration of a minion's first ejection in milliseconds. It doubles with each
/// further ejection.
const FIRST_EJECTION_MS: u64 = 1_000;
/// Maximum duration of an ejection in milliseconds.
const MAX_EJECTION_MS: u64 = 30_000;
/// At most one in this many minions is ejected at one time.
const EJECTABLE_DIVISOR: usize = 3;

/// The failures of each agent's minion, as one home observes them.
#[derive(Clone, Debug, Default)]
pub struct Health {
    agents: BTreeMap<NodeId, HealthRecord>,
}

/// The failures of one minion.
#[derive(Clone, Debug, Default)]
struct HealthRecord {
    consecutive_failures: u32,
    ejections: u32,
    ejected_until_ms: Option<u64>,
    is_trial_running: bool,
}

impl Health {
    /// Returns whether a task may be started on the minion of `agent` now.
    ///
    /// When the ejection of a minion ends, a single task is started on it as a
    /// half-open trial.
    #[must_use]
    pub fn allows(&self, now_ms: u64, agent: NodeId) -> bool {
        let Some(record) = self.agents.get(&agent) else {
            return true;
        };
        match record.ejected_until_ms {
            None => true,
            Some(until_ms) => now_ms >= until_ms && !record.is_trial_running,
        }
    }

    /// Records that a task was started.
    pub fn started(&mut self, agent: NodeId) {
        if let Some(record) = self.agents.get_mut(&agent) {
            record.is_trial_running = record.ejected_until_ms.is_some();
        }
    }

    /// Records that a task succeeded, which ends the minion's ejection and
    /// clears its failures.
    pub fn succeeded(&mut self, agent: NodeId) {
        self.agents.remove(&agent);
    }

    /// Records that a task failed; returns whether this ejects the minion.
    /// `agents` is the number of live agents of the service.
    pub fn failed(&mut self, now_ms: u64, agent: NodeId, agents: usize) -> bool {
        let ejected = self.ejected();
        let record = self.agents.entry(agent).or_default();
        record.consecutive_failures += 1;
        let trial_failed = record.is_trial_running;
        record.is_trial_running = false;
        if record.ejected_until_ms.is_some() && !trial_failed {
            return false;
        }
        let may_eject = trial_failed || ejected < agents / EJECTABLE_DIVISOR;
        if record.consecutive_failures < MAX_CONSECUTIVE_FAILURES || !may_eject {
            return false;
        }
        let ejection_ms = (FIRST_EJECTION_MS << record.ejections.min(16)).min(MAX_EJECTION_MS);
        record.ejections += 1;
        record.ejected_until_ms = Some(now_ms + ejection_ms);
        true
    }

    /// Returns the number of consecutive failures of an agent's minion.
    #[must_use]
    pub fn consecutive_failures(&self, agent: NodeId) -> u32 {
        self.agents
            .get(&agent)
            .map_or(0, |record| record.consecutive_failures)
    }

    /// Removes all records of an agent.
    pub fn forget(&mut self, agent: NodeId) {
        self.agents.remove(&agent);
    }

    fn ejected(&self) -> usize {
        self.agents
            .values()
            .filter(|record| record.ejected_until_ms.is_some())
            .count()
    }
}
