//! Which minions fail what they start.

use std::collections::BTreeMap;

use gannetvane_wire::NodeId;

/// Failures in a row after which a minion is ejected.
const MAX_CONSECUTIVE_FAILURES: u32 = 5;
/// Time for which a minion is first ejected, in milliseconds.
const FIRST_EJECTION_MS: u64 = 1_000;
/// Longest time for which a minion is ejected, in milliseconds.
const MAX_EJECTION_MS: u64 = 30_000;
/// At most one minion in this many is ejected at one time.
const EJECTABLE_DIVISOR: usize = 3;

/// Failures of each agent's minion, as one home sees them.
#[derive(Clone, Debug, Default)]
pub struct Health {
    agents: BTreeMap<NodeId, Record>,
}

#[derive(Clone, Debug, Default)]
struct Record {
    consecutive_failures: u32,
    ejections: u32,
    ejected_until_ms: Option<u64>,
    is_trial_running: bool,
}

impl Health {
    /// Whether a task may be started on the minion of `agent` now.
    ///
    /// An ejected minion gets a single trial task when its ejection ends.
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

    /// Notes that a task was started.
    pub fn started(&mut self, agent: NodeId) {
        if let Some(record) = self.agents.get_mut(&agent) {
            record.is_trial_running = record.ejected_until_ms.is_some();
        }
    }

    /// Notes that a task succeeded.
    pub fn succeeded(&mut self, agent: NodeId) {
        self.agents.remove(&agent);
    }

    /// Notes that a task failed; returns whether the minion is now ejected.
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

    /// Failures in a row of an agent's minion.
    #[must_use]
    pub fn consecutive_failures(&self, agent: NodeId) -> u32 {
        self.agents
            .get(&agent)
            .map_or(0, |record| record.consecutive_failures)
    }

    /// Forgets an agent.
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
