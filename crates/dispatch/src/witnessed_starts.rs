//! Starts that an entry makes known to a witness, so that they are known when the entry and
//! the agent that sends them are lost together.
//!
//! The witness is another agent. It gets the start no later than the agent that is to send
//! it. When the witness loses the entry, it reports the start to its other entries, which
//! gossip it. An entry that has lost the agent as well does not start the task again until
//! the start is void. An agent that is connected reports its delayed starts itself.

use std::collections::BTreeMap;

use gannetvane_wire::Name;
use gannetvane_wire::NodeId;
use serde::Deserialize;
use serde::Serialize;

use crate::DelayedStart;
use crate::OrderId;
use crate::TaskId;

/// Largest number of tasks with reported starts; more are not recorded.
const MAX_REPORTED_TASKS: usize = 4_096;

/// Start orders for tasks of one job, as the entry makes them known to a witness.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WitnessedStarts {
    /// Job of the tasks.
    pub job: Name,
    /// Whether the agents may still send the starts. They stop soon after they have lost the
    /// entry.
    pub may_be_sent: bool,
    /// Time after which nothing of the starts is left, in milliseconds: from the time at which
    /// they were last sent if they may still be sent, and from now otherwise.
    pub void_after_ms: u64,
    /// The orders.
    pub orders: Vec<WitnessedOrder>,
}

/// One of the orders in [`WitnessedStarts`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WitnessedOrder {
    /// Number of the order at the entry.
    pub order: OrderId,
    /// Index of the step of the task.
    pub step: u32,
    /// Number of the task in its step.
    pub index: u32,
    /// Agent that is to send the start.
    pub agent: NodeId,
}

/// A start of a lost entry that a witness reported.
#[derive(Clone, Debug)]
pub(crate) struct ReportedStart {
    /// Agent that was to send the start.
    pub(crate) agent: NodeId,
    /// When nothing of the start is left, in milliseconds.
    pub(crate) void_ms: u64,
    /// Since when the agent is known to be away, in milliseconds.
    pub(crate) away_since_ms: Option<u64>,
    /// Position in the gossip.
    sequence: u64,
}

/// The starts of lost entries that witnesses reported, as an entry knows them.
#[derive(Clone, Debug, Default)]
pub struct ReportedStarts {
    by_task: BTreeMap<TaskId, Vec<ReportedStart>>,
    /// Sequence number of the start that became known last; 0 before the first.
    last_sequence: u64,
}

impl ReportedStarts {
    pub(crate) fn is_empty(&self) -> bool {
        self.by_task.is_empty()
    }

    /// Records a start. Returns whether it was not known.
    pub(crate) fn add(&mut self, now_ms: u64, start: DelayedStart) -> bool {
        let is_full = self.by_task.len() >= MAX_REPORTED_TASKS;
        if start.remaining_ms == 0 || is_full && !self.by_task.contains_key(&start.task) {
            return false;
        }
        let void_ms = now_ms.saturating_add(start.remaining_ms);
        let of_task = self.by_task.entry(start.task).or_default();
        if let Some(known) = of_task.iter_mut().find(|known| known.agent == start.agent) {
            known.void_ms = known.void_ms.max(void_ms);
            return false;
        }
        self.last_sequence += 1;
        of_task.push(ReportedStart {
            agent: start.agent,
            void_ms,
            away_since_ms: None,
            sequence: self.last_sequence,
        });
        true
    }

    /// Forgets the starts of an agent that greets, since it reports all that may be delayed.
    pub(crate) fn forget_agent(&mut self, agent: NodeId) {
        self.retain(|_, start| start.agent != agent);
    }

    /// Keeps the starts for which `is_kept` returns true.
    pub(crate) fn retain(&mut self, mut is_kept: impl FnMut(&TaskId, &mut ReportedStart) -> bool) {
        self.by_task.retain(|task, starts| {
            starts.retain_mut(|start| is_kept(task, start));
            !starts.is_empty()
        });
    }

    /// Returns the starts of a task.
    pub(crate) fn of_task(&self, task: &TaskId) -> impl Iterator<Item = &ReportedStart> {
        self.by_task.get(task).into_iter().flatten()
    }

    /// Returns the sequence number of the start that became known last.
    #[must_use]
    pub fn last_sequence(&self) -> u64 {
        self.last_sequence
    }

    /// Returns the starts that became known after the one with this sequence number, with the
    /// time that remains of them.
    #[must_use]
    pub fn since(&self, now_ms: u64, sequence: u64) -> Vec<DelayedStart> {
        if sequence >= self.last_sequence {
            return Vec::new();
        }
        let newer = self.by_task.iter().flat_map(|(task, starts)| {
            let is_newer =
                |start: &&ReportedStart| start.sequence > sequence && now_ms < start.void_ms;
            starts.iter().filter(is_newer).map(|start| DelayedStart {
                task: task.clone(),
                agent: start.agent,
                is_stored: false,
                remaining_ms: start.void_ms - now_ms,
            })
        });
        newer.collect()
    }
}
