//! Fakes of the processes outside the cores: the platform's log and a minion.

use std::collections::BTreeMap;

use gannetvane_core::LogPage;
use gannetvane_core::LoggedRecord;
use gannetvane_wire::Credit;
use gannetvane_wire::LogRecord;
use gannetvane_wire::Name;
use gannetvane_wire::TaskId;
use gannetvane_wire::TaskResult;
use gannetvane_wire::TaskStart;

/// How the fake log currently fails.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFault {
    /// The log works.
    #[default]
    None,
    /// Appends and reads fail.
    Down,
    /// Appends take effect, but the writer gets no answer.
    LoseAnswers,
    /// Each read takes this many milliseconds.
    Slow(u64),
}

/// The configuration stream of the platform's log.
#[derive(Debug, Default)]
pub struct FakeLog {
    pub fault: LogFault,
    /// All records, including those that the log no longer retains.
    pub records: Vec<LogRecord>,
    /// Offset of the oldest record that the log retains.
    pub oldest_offset: usize,
    /// Number of appends that took effect.
    pub appends: u64,
}

impl FakeLog {
    /// Appends a record. Returns `None` if the writer gets no answer.
    pub fn append(&mut self, record: LogRecord) -> Option<()> {
        if self.fault == LogFault::Down {
            return None;
        }
        self.appends += 1;
        self.records.push(record);
        (self.fault != LogFault::LoseAnswers).then_some(())
    }

    /// Returns the duration of a read in milliseconds, or `None` if reads fail.
    pub fn read_delay_ms(&self) -> Option<u64> {
        match self.fault {
            LogFault::Down => None,
            LogFault::Slow(delay_ms) => Some(delay_ms),
            LogFault::None | LogFault::LoseAnswers => Some(3),
        }
    }

    /// Returns the retained records from `from_offset` to the end of the log.
    pub fn page(&self, from_offset: u64) -> LogPage {
        let from = (from_offset as usize).clamp(self.oldest_offset, self.records.len());
        let records = (from..self.records.len()).map(|offset| LoggedRecord {
            offset: offset as u64,
            record: Some(self.records[offset].clone()),
        });
        LogPage {
            oldest_offset: self.oldest_offset as u64,
            next_offset: self.records.len() as u64,
            at_end: true,
            records: records.collect(),
        }
    }

    /// Drops all records except the newest `count`.
    pub fn retain_newest(&mut self, count: usize) {
        self.oldest_offset = self.records.len().saturating_sub(count);
    }
}

/// The duration and the result of one run on the fake minion.
pub struct FakeRun {
    pub run_ms: u64,
    pub result: TaskResult,
}

/// A minion whose runs follow the payload of their task: `run_ms=` gives the
/// duration in milliseconds, 1 by default, and `fail` makes the run fail.
#[derive(Debug, Default)]
pub struct FakeMinion {
    /// Whether every run fails after 1 ms.
    pub fails_all: bool,
    /// Whether starts fail because the agent cannot reach the minion.
    pub is_unreachable: bool,
    running: BTreeMap<TaskId, Credit>,
}

impl FakeMinion {
    /// Starts a run; returns its duration and result.
    pub fn run(&mut self, start: &TaskStart) -> FakeRun {
        self.running.insert(start.task_id, start.credit);
        if self.is_unreachable {
            let result = TaskResult::NotStarted(gannetvane_wire::Reason::MinionUnreachable);
            return FakeRun { run_ms: 1, result };
        }
        if self.fails_all {
            return FakeRun {
                run_ms: 1,
                result: TaskResult::Failed(Name::from("the minion fails all tasks")),
            };
        }
        let payload = &start.task.payload;
        let run_ms = payload
            .split_whitespace()
            .find_map(|word| word.strip_prefix("run_ms="));
        let run_ms = run_ms.and_then(|text| text.parse().ok()).unwrap_or(1);
        if payload.contains("fail") {
            return FakeRun {
                run_ms,
                result: TaskResult::Failed(Name::from("the payload asks for a failure")),
            };
        }
        let output = format!("done {}", start.task_id);
        FakeRun {
            run_ms,
            result: TaskResult::Done(Name::from(output)),
        }
    }

    /// Removes the run that was started with this credit.
    pub fn remove_run(&mut self, credit: Credit) {
        self.running.retain(|_, running| *running != credit);
    }

    /// Returns the credit with which a running task was started.
    pub fn credit_of(&self, task_id: TaskId) -> Option<Credit> {
        self.running.get(&task_id).copied()
    }
}
