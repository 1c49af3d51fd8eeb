//! The queue of waiting tasks, and the order in which they start.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use gannetvane_wire::Name;
use gannetvane_wire::SubmissionId;

/// Fraction of the estimate of a submission's longest task by which its turn is
/// delayed.
///
/// A submission's turn is its arrival time plus a fraction of its longest
/// estimate, which is the least time that it needs, and a fraction of the work
/// it still has in the queue. So short submissions overtake long ones, and jobs
/// that are nearly done finish first.
const LONGEST_TASK_FRACTION: f64 = 0.5;
/// Fraction of the submission's remaining work by which its turn is delayed.
const REMAINING_WORK_FRACTION: f64 = 0.05;
/// Maximum delay of a turn in milliseconds, which bounds how long later
/// submissions can overtake.
const MAX_TURN_DELAY_MS: u64 = 5_000;

/// A task that waits for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueuedTask {
    /// Estimated run time in milliseconds.
    pub estimate_ms: u32,
    /// Index of the task in its submission.
    pub index: u16,
}

/// The waiting tasks of one service at one home.
#[derive(Clone, Debug, Default)]
pub struct TaskQueue {
    submissions: BTreeMap<SubmissionId, WaitingSubmission>,
    teams: BTreeMap<Name, TeamQueue>,
    tasks: usize,
    work_ms: u64,
}

/// The waiting tasks of one team. It maintains their sums, so that no decision
/// needs to scan the queue.
#[derive(Clone, Debug, Default)]
struct TeamQueue {
    turns: BTreeSet<Turn>,
    tasks: usize,
    work_ms: u64,
}

/// The place of a submission in the order of starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Turn {
    at_ms: u64,
    id: SubmissionId,
}

/// A submission with waiting tasks.
#[derive(Clone, Debug)]
struct WaitingSubmission {
    team: Name,
    arrived_ms: u64,
    longest_ms: u32,
    work_ms: u64,
    turn: Turn,
    /// In ascending order of the estimates; the last, longest one starts first.
    tasks: Vec<QueuedTask>,
}

impl TaskQueue {
    /// Adds the tasks of a submission that arrived at `arrived_ms`.
    pub fn push(&mut self, id: SubmissionId, team: &Name, arrived_ms: u64, tasks: Vec<QueuedTask>) {
        let mut all = self.remove(id);
        all.extend(tasks);
        if all.is_empty() {
            return;
        }
        all.sort_unstable();
        let waiting = WaitingSubmission::new(id, team, arrived_ms, all);
        self.tasks += waiting.tasks.len();
        self.work_ms += waiting.work_ms;
        self.insert_turn(&waiting);
        self.submissions.insert(id, waiting);
    }

    /// Removes and returns all waiting tasks of a submission.
    pub fn remove(&mut self, id: SubmissionId) -> Vec<QueuedTask> {
        let Some(waiting) = self.submissions.remove(&id) else {
            return Vec::new();
        };
        self.tasks -= waiting.tasks.len();
        self.work_ms -= waiting.work_ms;
        self.remove_turn(&waiting);
        waiting.tasks
    }

    /// Returns the number of waiting tasks.
    #[must_use]
    pub fn len(&self) -> usize {
        self.tasks
    }

    /// Returns whether no task waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.tasks == 0
    }

    /// Returns the sum of the estimated run times of the waiting tasks, in
    /// milliseconds.
    #[must_use]
    pub fn work_ms(&self) -> u64 {
        self.work_ms
    }

    /// Returns the milliseconds by which the earliest turn is overdue, negative
    /// if it has not come yet; `None` if no task waits.
    #[must_use]
    pub fn overdue_ms(&self, now_ms: u64) -> Option<i64> {
        let firsts = self.teams.values().filter_map(|queue| queue.turns.first());
        let first = firsts.min()?;
        Some(now_ms.cast_signed() - first.at_ms.cast_signed())
    }

    /// Returns the number of waiting tasks of a team.
    #[must_use]
    pub fn len_of_team(&self, team: &Name) -> usize {
        self.teams.get(team).map_or(0, |queue| queue.tasks)
    }

    /// Returns the sum of the estimated run times of a team's waiting tasks, in
    /// milliseconds.
    #[must_use]
    pub fn work_ms_of_team(&self, team: &Name) -> u64 {
        self.teams.get(team).map_or(0, |queue| queue.work_ms)
    }

    /// Returns the teams that have waiting tasks.
    #[must_use]
    pub fn teams(&self) -> Vec<Name> {
        self.teams.keys().cloned().collect()
    }

    /// Returns the submissions of a team in the order of their turns.
    pub fn in_turn<'a>(&'a self, team: &Name) -> impl Iterator<Item = SubmissionId> + 'a {
        let queues = self.teams.get(team).into_iter();
        queues.flat_map(|queue| &queue.turns).map(|turn| turn.id)
    }

    /// Returns the waiting task of a submission that has the longest estimate.
    #[must_use]
    pub fn next_of(&self, id: SubmissionId) -> Option<QueuedTask> {
        self.submissions.get(&id)?.tasks.last().copied()
    }

    /// Removes and returns the next task of a submission, and moves the
    /// submission's turn forward.
    pub fn pop_of(&mut self, id: SubmissionId) -> Option<QueuedTask> {
        let mut waiting = self.submissions.remove(&id)?;
        self.remove_turn(&waiting);
        let task = waiting.tasks.pop()?;
        self.tasks -= 1;
        self.work_ms -= u64::from(task.estimate_ms);
        waiting.work_ms -= u64::from(task.estimate_ms);
        if !waiting.tasks.is_empty() {
            waiting.turn.at_ms = waiting.turn_ms();
            self.insert_turn(&waiting);
            self.submissions.insert(id, waiting);
        }
        Some(task)
    }

    fn insert_turn(&mut self, waiting: &WaitingSubmission) {
        let queue = self.teams.entry(waiting.team.clone()).or_default();
        queue.turns.insert(waiting.turn);
        queue.tasks += waiting.tasks.len();
        queue.work_ms += waiting.work_ms;
    }

    fn remove_turn(&mut self, waiting: &WaitingSubmission) {
        let Some(queue) = self.teams.get_mut(&waiting.team) else {
            return;
        };
        queue.turns.remove(&waiting.turn);
        queue.tasks -= waiting.tasks.len();
        queue.work_ms -= waiting.work_ms;
        if queue.turns.is_empty() {
            self.teams.remove(&waiting.team);
        }
    }
}

impl WaitingSubmission {
    /// Creates the state of a waiting submission. `tasks` must be in ascending
    /// order of their estimates.
    fn new(id: SubmissionId, team: &Name, arrived_ms: u64, tasks: Vec<QueuedTask>) -> Self {
        let mut waiting = Self {
            team: team.clone(),
            arrived_ms,
            longest_ms: tasks.last().map_or(0, |task| task.estimate_ms),
            work_ms: tasks.iter().map(|task| u64::from(task.estimate_ms)).sum(),
            turn: Turn { at_ms: 0, id },
            tasks,
        };
        waiting.turn.at_ms = waiting.turn_ms();
        waiting
    }

    fn turn_ms(&self) -> u64 {
        let delay_ms = f64::from(self.longest_ms) * LONGEST_TASK_FRACTION
            + self.work_ms as f64 * REMAINING_WORK_FRACTION;
        self.arrived_ms + (delay_ms.round() as u64).min(MAX_TURN_DELAY_MS)
    }
}
