//! Fakes at the interfaces: the platform's log and a minion.

use std::collections::BTreeMap;

use gannetvane_core::LogPage;
use gannetvane_core::LoggedRecord;
use gannetvane_wire::Credit;
use gannetvane_wire::LogRecord;
use gannetvane_wire::Name;
use gannetvane_wire::TaskId;
use gannetvane_wire::TaskResult;
use gannetvane_wire::TaskStart;

/// A failure of the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFault {
    #[default]
    None,
    Down,
    /// Appends take effect, but their answers are lost.
    LoseAnswers,
    Slow(u64),
}

/// The configuration stream.
#[derive(Debug, Default)]
pub struct FakeLog {
    pub fault: LogFault,
    pub records: Vec<LogRecord>,
    pub oldest_offset: usize,
    pub appends: u64,
}

impl FakeLog {
    /// Appends; `None` when the writer gets no answer.
    pub fn append(&mut self, record: LogRecord) -> Option<()> {
        if self.fault == LogFault::Down {
            return None;
        }
        self.appends += 1;
        self.records.push(record);
        (self.fault != LogFault::LoseAnswers).then_some(())
    }

    /// Time that a read takes; `None` when it fails.
    pub fn read_delay_ms(&self) -> Option<u64> {
        match self.fault {
            LogFault::Down => None,
            LogFault::Slow(delay_ms) => Some(delay_ms),
            LogFault::None | LogFault::LoseAnswers => Some(3),
        }
    }

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

    /// Forgets all but the newest `keep` records.
    pub fn retain_newest(&mut self, count: usize) {
        self.oldest_offset = self.records.len().saturating_sub(count);
    }
}

/// How the fake minion runs one task.
pub struct FakeRun {
    pub run_ms: u64,
    pub result: TaskResult,
}

/// A minion that does as the payload says.
#[derive(Debug, Default)]
pub struct FakeMinion {
    /// Fails every task at once.
    pub fails_all: bool,
    /// Cannot be reached.
    pub is_unreachable: bool,
    running: BTreeMap<TaskId, Credit>,
}

impl FakeMinion {
    pub fn run(&mut self, start: &TaskStart) -> FakeRun {
        self.running.insert(start.task_id, start.credit);
        if self.is_unreachable {
            let result = TaskResult::NotStarted(gannetvane_wire::Reason::MinionUnreachable);
            return FakeRun { run_ms: 1, result };
        }
        if self.fails_all {
            return FakeRun {
                run_ms: 1,
                result: TaskResult::Failed(Name::from("out of order")),
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
                result: TaskResult::Failed(Name::from("failed as asked")),
            };
        }
        let output = format!("done {}", start.task_id);
        FakeRun {
            run_ms,
            result: TaskResult::Done(Name::from(output)),
        }
    }

    pub fn remove_run(&mut self, credit: Credit) {
        self.running.retain(|_, running| *running != credit);
    }

    pub fn credit_of(&self, task_id: TaskId) -> Option<Credit> {
        self.running.get(&task_id).copied()
    }
}
