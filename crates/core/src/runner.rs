//! The slots of one minion, and the at-most-once start of tasks on them. A slot
//! runs one task at a time, and each credit starts at most one task.

use std::collections::VecDeque;
use std::net::SocketAddr;

use gannetvane_wire::Credit;
use gannetvane_wire::Finished;
use gannetvane_wire::NodeId;
use gannetvane_wire::Reason;
use gannetvane_wire::SlotCredit;
use gannetvane_wire::TaskId;
use gannetvane_wire::TaskResult;
use gannetvane_wire::TaskStart;

use crate::Action;
use crate::Counter;
use crate::Peer;
use crate::credits::CREDIT_LEASE_MS;

/// Number of most recent uses of each slot whose results are retained to answer
/// repeated starts.
const RETAINED_RESULTS: usize = 8;
/// Time in milliseconds for which the runner retains which task each use was
/// for. It is well beyond the lease of a credit, so that a delayed first start
/// is answered correctly.
const USE_RETENTION_MS: u64 = 3 * CREDIT_LEASE_MS;
/// Maximum number of uses of one slot that are retained.
const MAX_RETAINED_USES: usize = 4_096;

/// Accounts for the slots of one agent.
///
/// Each slot counts its uses. A [`Credit`] is the right to one use: a start
/// whose credit has a `sequence` other than the slot's current count starts
/// nothing.
#[derive(Clone, Debug)]
pub struct Runner {
    me: NodeId,
    slots: Vec<Slot>,
    leaving: bool,
}

#[derive(Clone, Debug)]
struct Slot {
    sequence: u64,
    state: SlotState,
    uses: VecDeque<Use>,
}

#[derive(Clone, Debug)]
enum SlotState {
    /// No task runs; `holder` has the credit.
    Idle {
        since_ms: u64,
        holder: Option<NodeId>,
    },
    /// A task of `home` runs.
    Busy { home: Peer, started_at_ms: u64 },
}

#[derive(Clone, Debug)]
struct Use {
    sequence: u64,
    at_ms: u64,
    kind: UseKind,
}

#[derive(Clone, Debug)]
enum UseKind {
    /// The credit was revoked before a start used it.
    Revoked,
    /// The task runs.
    Running(TaskId),
    /// The task has ended with this result.
    Ended(Finished),
    /// The task has ended, and its result is no longer retained.
    ResultDropped(TaskId),
}

/// The end of a task, and the home that it is reported to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Ended {
    pub(crate) home: Peer,
    pub(crate) finished: Finished,
}

/// An idle slot whose credit no home holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct FreeSlot {
    pub(crate) index: u16,
    pub(crate) last_holder: Option<NodeId>,
}

impl Runner {
    /// Creates a runner with idle slots whose credits no home holds.
    #[must_use]
    pub fn new(me: NodeId, slots: u16, now_ms: u64) -> Self {
        let idle = Slot {
            sequence: 0,
            state: SlotState::Idle {
                since_ms: now_ms,
                holder: None,
            },
            uses: VecDeque::new(),
        };
        Self {
            me,
            slots: vec![idle; usize::from(slots)],
            leaving: false,
        }
    }

    /// Returns the number of slots on which a task runs.
    #[must_use]
    pub fn busy(&self) -> usize {
        self.slots
            .iter()
            .filter(|slot| matches!(slot.state, SlotState::Busy { .. }))
            .count()
    }

    /// Handles a start message. It returns a result if one can be reported at
    /// once, and `None` if the task runs.
    pub(crate) fn start(
        &mut self,
        now_ms: u64,
        home: Peer,
        start: TaskStart,
        actions: &mut Vec<Action>,
    ) -> Option<Finished> {
        let task_id = start.task_id;
        let credit = start.credit;
        let Some(slot) = self.slots.get_mut(usize::from(credit.slot)) else {
            return Some(finished_without_credit(task_id, TaskResult::Unknown));
        };
        if credit.agent != self.me || credit.sequence > slot.sequence {
            return Some(finished_without_credit(task_id, TaskResult::Unknown));
        }
        if credit.sequence < slot.sequence {
            actions.push(Action::Count(Counter::RepeatedStart));
            return slot.answer_repeated(credit, task_id);
        }
        if self.leaving {
            slot.revoke(now_ms);
            let result = TaskResult::NotStarted(Reason::AgentLeaving);
            return Some(finished_without_credit(task_id, result));
        }
        slot.record_use(now_ms, UseKind::Running(task_id));
        slot.state = SlotState::Busy {
            home,
            started_at_ms: now_ms,
        };
        actions.push(Action::Count(Counter::TaskStarted));
        actions.push(Action::Run(start));
        None
    }

    /// Revokes a credit, so that a delayed start with it starts nothing. If the
    /// task already runs, returns its id, so that it can be stopped.
    pub(crate) fn revoke(&mut self, now_ms: u64, credit: Credit) -> Option<TaskId> {
        let slot = self.slots.get_mut(usize::from(credit.slot))?;
        if credit.agent != self.me {
            return None;
        }
        if credit.sequence == slot.sequence {
            slot.revoke(now_ms);
            return None;
        }
        let last = slot.uses.back()?;
        match last.kind {
            UseKind::Running(task_id) if last.sequence == credit.sequence => Some(task_id),
            _ => None,
        }
    }

    /// Records the result of a task that the minion reports.
    pub(crate) fn finish(
        &mut self,
        now_ms: u64,
        credit: Credit,
        result: TaskResult,
    ) -> Option<Ended> {
        let slot = self.slots.get_mut(usize::from(credit.slot))?;
        let SlotState::Busy {
            home,
            started_at_ms,
        } = slot.state
        else {
            return None;
        };
        let last = slot.uses.back_mut()?;
        let UseKind::Running(task_id) = last.kind else {
            return None;
        };
        if last.sequence != credit.sequence {
            return None;
        }
        let run_ms = u32::try_from(now_ms.saturating_sub(started_at_ms)).unwrap_or(u32::MAX);
        let next = Credit {
            agent: self.me,
            slot: credit.slot,
            sequence: slot.sequence,
        };
        let next_credit = (!self.leaving).then_some(next);
        let finished = Finished {
            task_id,
            result,
            run_ms,
            next_credit,
        };
        last.kind = UseKind::Ended(finished.clone());
        slot.state = SlotState::Idle {
            since_ms: now_ms,
            holder: home.node,
        };
        Some(Ended { home, finished })
    }

    /// Revokes idle credits that are due for renewal or whose holder `is_lost`,
    /// and returns all slots whose credit no home holds.
    pub(crate) fn reclaim(
        &mut self,
        now_ms: u64,
        renewal_ms: u64,
        is_lost: impl Fn(NodeId) -> bool,
    ) -> Vec<FreeSlot> {
        let mut free = Vec::new();
        for (index, slot) in (0u16..).zip(self.slots.iter_mut()) {
            let SlotState::Idle { since_ms, holder } = slot.state else {
                continue;
            };
            let is_due = now_ms.saturating_sub(since_ms) >= renewal_ms;
            match holder {
                None => free.push(FreeSlot {
                    index,
                    last_holder: None,
                }),
                Some(home) if is_due || is_lost(home) => {
                    slot.revoke(now_ms);
                    free.push(FreeSlot {
                        index,
                        last_holder: Some(home),
                    });
                }
                Some(_) => {}
            }
        }
        free
    }

    /// Grants the credit of an idle slot to a home.
    pub(crate) fn grant(&mut self, now_ms: u64, index: u16, home: NodeId) -> Option<SlotCredit> {
        let slot = self.slots.get_mut(usize::from(index))?;
        if !matches!(slot.state, SlotState::Idle { .. }) {
            return None;
        }
        slot.state = SlotState::Idle {
            since_ms: now_ms,
            holder: Some(home),
        };
        let credit = Credit {
            agent: self.me,
            slot: index,
            sequence: slot.sequence,
        };
        Some(SlotCredit { credit, idle_ms: 0 })
    }

    /// Stops accepting tasks and revokes all idle credits.
    pub(crate) fn leave(&mut self, now_ms: u64) {
        self.leaving = true;
        for slot in &mut self.slots {
            if matches!(slot.state, SlotState::Idle { .. }) {
                slot.revoke(now_ms);
            }
        }
    }

    /// Returns the addresses of the homes whose tasks run here, to which the
    /// results are sent.
    #[must_use]
    pub fn homes_of_running(&self) -> Vec<SocketAddr> {
        let addr = |slot: &Slot| match slot.state {
            SlotState::Busy { home, .. } => Some(home.addr),
            SlotState::Idle { .. } => None,
        };
        self.slots.iter().filter_map(addr).collect()
    }
}

impl Slot {
    /// Records a use of the slot, which makes the current credit invalid, and
    /// drops uses that are no longer retained.
    fn record_use(&mut self, now_ms: u64, kind: UseKind) {
        while self.uses.front().is_some_and(|first| {
            now_ms.saturating_sub(first.at_ms) > USE_RETENTION_MS
                || self.uses.len() >= MAX_RETAINED_USES
        }) {
            self.uses.pop_front();
        }
        self.uses.push_back(Use {
            sequence: self.sequence,
            at_ms: now_ms,
            kind,
        });
        self.sequence += 1;
        self.drop_old_result();
    }

    /// Drops the result of the newest use that is beyond [`RETAINED_RESULTS`].
    fn drop_old_result(&mut self) {
        let Some(index) = self.uses.len().checked_sub(RETAINED_RESULTS + 1) else {
            return;
        };
        if let UseKind::Ended(finished) = &self.uses[index].kind {
            self.uses[index].kind = UseKind::ResultDropped(finished.task_id);
        }
    }

    fn revoke(&mut self, now_ms: u64) {
        self.record_use(now_ms, UseKind::Revoked);
        self.state = SlotState::Idle {
            since_ms: now_ms,
            holder: None,
        };
    }

    /// Returns the answer to a start whose credit has already been used or
    /// revoked; `None` if its task still runs.
    fn answer_repeated(&self, credit: Credit, task_id: TaskId) -> Option<Finished> {
        let Some(used) = self
            .uses
            .iter()
            .find(|used| used.sequence == credit.sequence)
        else {
            return Some(finished_without_credit(task_id, TaskResult::Unknown));
        };
        let stale = TaskResult::NotStarted(Reason::StaleCredit);
        match &used.kind {
            UseKind::Running(running) if *running == task_id => None,
            UseKind::Ended(finished) if finished.task_id == task_id => {
                Some(self.repeat_result(finished))
            }
            UseKind::ResultDropped(ended) if *ended == task_id => {
                Some(finished_without_credit(task_id, TaskResult::Unknown))
            }
            _ => Some(finished_without_credit(task_id, stale)),
        }
    }

    /// Returns a result again. Its next credit is included only while that
    /// credit is still unused.
    fn repeat_result(&self, finished: &Finished) -> Finished {
        let is_unused = |next: &Credit| next.sequence == self.sequence;
        let next_credit = finished.next_credit.filter(is_unused);
        Finished {
            next_credit,
            ..finished.clone()
        }
    }
}

/// Builds a result that carries neither a run time nor a next credit.
fn finished_without_credit(task_id: TaskId, result: TaskResult) -> Finished {
    Finished {
        task_id,
        result,
        run_ms: 0,
        next_credit: None,
    }
}
