//! Start calls without an answer that a minion may still carry out, and the bounded set of
//! them that agents and entries exchange.
//!
//! A minion may carry out an unanswered start seconds later. The incarnation that the call
//! was sent to refuses it once the run was stopped there. A later incarnation with the same
//! id knows nothing of the stop, and it may carry the call out before the agent has shown it
//! an epoch, or while the agent is suspended or gone. So a task is not started again until
//! each earlier start of it was answered or is void.
//!
//! An agent reports its unanswered starts to all its entries. An entry that loses an agent
//! assumes that the starts it has heard nothing of are unanswered. Entries gossip the starts
//! of jobs that may come back at another entry.

use std::collections::BTreeMap;

use gannetvane_wire::NodeId;
use serde::Deserialize;
use serde::Serialize;

use crate::TaskId;

/// Largest number of known starts; those that expire first are forgotten first.
const MAX_KNOWN_STARTS: usize = 4_096;
/// Number of tasks with known starts up to which reported starts of jobs that are not stored
/// are gossiped: it bounds the gossip while many calls are lost.
const MAX_GOSSIPED_STARTS: usize = 1_024;
/// Time by which a gossiped start must last longer than known to be gossiped again, in
/// milliseconds: more than it takes to pass all entries.
const REGOSSIP_MS: u64 = 1_000;
/// Minimum time between two searches for expired starts, in milliseconds.
const EXPIRY_INTERVAL_MS: u64 = 100;

/// A start of a task that may still be carried out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DelayedStart {
    /// Task that may be started.
    pub task: TaskId,
    /// Agent that sent the start, or may have sent it.
    pub agent: NodeId,
    /// Whether the task belongs to a stored job, which any entry may come to own.
    pub is_stored: bool,
    /// Time after which the start is void and no run of it is left, in milliseconds from
    /// now; 0 if that is already known.
    pub remaining_ms: u64,
}

/// A delayed start and the time until which it counts.
#[derive(Clone, Debug)]
struct KnownStart {
    agent: NodeId,
    until_ms: u64,
    /// Whether another entry told of it, and not the agent, nor the loss of the agent.
    is_gossiped: bool,
    /// Position in the gossip; `None` if the start is not gossiped.
    sequence: Option<u64>,
}

/// The delayed starts that an entry knows.
#[derive(Clone, Debug, Default)]
pub struct KnownDelayedStarts {
    by_task: BTreeMap<TaskId, Vec<KnownStart>>,
    /// Sequence number of the start that was gossiped last; 0 before the first.
    last_sequence: u64,
    /// Time of the next search for expired starts, in milliseconds.
    expiry_due_ms: u64,
}

impl KnownDelayedStarts {
    /// Records a delayed start, or that it is void. Returns whether it was not known.
    pub(crate) fn add(&mut self, now_ms: u64, start: &DelayedStart) -> bool {
        self.insert(now_ms, start, false)
    }

    /// Records a delayed start that another entry gossips, and passes it on if it was not
    /// known. Returns whether it was not.
    pub(crate) fn add_gossiped(&mut self, now_ms: u64, start: &DelayedStart) -> bool {
        let mut known = self.by_task.get(&start.task).into_iter().flatten();
        let is_known = known.any(|known| {
            let own = known.agent == start.agent && !known.is_gossiped;
            own && now_ms + start.remaining_ms <= known.until_ms + REGOSSIP_MS
        });
        // The own report must not come back as one that the agent cannot withdraw.
        !is_known && self.insert(now_ms, start, true)
    }

    fn insert(&mut self, now_ms: u64, start: &DelayedStart, is_gossiped: bool) -> bool {
        if start.remaining_ms == 0 {
            self.remove(start);
            return false;
        }
        let until_ms = now_ms.saturating_add(start.remaining_ms);
        if self.by_task.len() >= MAX_KNOWN_STARTS && !self.by_task.contains_key(&start.task) {
            self.forget_earliest();
        }
        let of_task = self.by_task.entry(start.task.clone()).or_default();
        let known = of_task
            .iter_mut()
            .find(|known| known.agent == start.agent && known.is_gossiped == is_gossiped);
        let is_new = known.is_none();
        match known {
            Some(known) => {
                known
                    .sequence
                    .take_if(|_| until_ms > known.until_ms + REGOSSIP_MS);
                known.until_ms = known.until_ms.max(until_ms);
            }
            None => of_task.push(KnownStart {
                agent: start.agent,
                until_ms,
                is_gossiped,
                sequence: None,
            }),
        }
        if is_gossiped || start.is_stored || self.by_task.len() <= MAX_GOSSIPED_STARTS {
            self.share(&start.task);
        }
        is_new
    }

    fn remove(&mut self, start: &DelayedStart) {
        if let Some(of_task) = self.by_task.get_mut(&start.task) {
            of_task.retain(|known| known.agent != start.agent || known.is_gossiped);
            if of_task.is_empty() {
                self.by_task.remove(&start.task);
            }
        }
    }

    fn forget_earliest(&mut self) {
        let last_until_ms =
            |starts: &Vec<KnownStart>| starts.iter().map(|known| known.until_ms).max();
        let earliest = self
            .by_task
            .iter()
            .min_by_key(|(_, starts)| last_until_ms(starts));
        if let Some(task) = earliest.map(|(task, _)| task.clone()) {
            self.by_task.remove(&task);
        }
    }

    /// Forgets the starts of an agent that it reported or that were assumed, because the
    /// agent now reports all of them. Those that other entries told of stay: the report may
    /// have been on its way since before these entries lost the agent.
    pub(crate) fn forget_agent(&mut self, agent: NodeId) {
        self.by_task.retain(|_, starts| {
            starts.retain(|known| known.agent != agent || known.is_gossiped);
            !starts.is_empty()
        });
    }

    /// Forgets the starts that cannot be carried out any more.
    pub(crate) fn expire(&mut self, now_ms: u64) {
        if now_ms < self.expiry_due_ms {
            return;
        }
        self.expiry_due_ms = now_ms + EXPIRY_INTERVAL_MS;
        self.by_task.retain(|_, starts| {
            starts.retain(|known| now_ms < known.until_ms);
            !starts.is_empty()
        });
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.by_task.is_empty()
    }

    /// Returns whether some start of the task may still be carried out.
    pub(crate) fn has_task(&self, now_ms: u64, task: &TaskId) -> bool {
        let mut starts = self.by_task.get(task).into_iter().flatten();
        starts.any(|known| now_ms < known.until_ms)
    }

    /// Returns the start of the task that may be carried out last, if one may.
    pub(crate) fn of_task(&self, now_ms: u64, task: &TaskId) -> Option<DelayedStart> {
        let starts = self.by_task.get(task).into_iter().flatten();
        let last = starts.max_by_key(|known| known.until_ms);
        let last = last.filter(|known| now_ms < known.until_ms)?;
        Some(DelayedStart {
            task: task.clone(),
            agent: last.agent,
            is_stored: false,
            remaining_ms: last.until_ms - now_ms,
        })
    }

    /// Adds the known starts of a task to the gossip.
    pub(crate) fn share(&mut self, task: &TaskId) {
        let starts = self.by_task.get_mut(task).into_iter().flatten();
        for known in starts.filter(|known| known.sequence.is_none()) {
            self.last_sequence += 1;
            known.sequence = Some(self.last_sequence);
        }
    }

    /// Returns the sequence number of the start that was added last to the gossip.
    #[must_use]
    pub fn last_sequence(&self) -> u64 {
        self.last_sequence
    }

    /// Returns the gossiped starts after the one with this sequence number, with the time
    /// that remains of them.
    #[must_use]
    pub fn since(&self, now_ms: u64, sequence: u64) -> Vec<DelayedStart> {
        if sequence >= self.last_sequence {
            return Vec::new();
        }
        let is_newer = |known: &&KnownStart| {
            known.sequence.is_some_and(|own| own > sequence) && now_ms < known.until_ms
        };
        let newer = self.by_task.iter().flat_map(|(task, starts)| {
            starts.iter().filter(is_newer).map(|known| DelayedStart {
                task: task.clone(),
                agent: known.agent,
                is_stored: false,
                remaining_ms: known.until_ms - now_ms,
            })
        });
        newer.collect()
    }
}
