//! The job log as entries see it: partitions, a group that divides them, and
//! appends that are numbered and fenced.

use std::collections::BTreeMap;

use gannetvane_dispatch::AppendResult;
use gannetvane_dispatch::Assignment;
use gannetvane_dispatch::LogRecord;
use gannetvane_dispatch::MEMBER_TTL_MS;
use gannetvane_dispatch::Partition;
use gannetvane_standins::Group;
use gannetvane_wire::Name;

/// Partitions of the log.
pub const PARTITIONS: u32 = 4;

/// What becomes of a call to the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogCallOutcome {
    /// Carried out and answered.
    #[default]
    Served,
    /// Refused.
    Refused,
    /// Carried out, without an answer.
    AnswerLost,
    /// Carried out this many milliseconds later, without an answer.
    Delayed(u64),
    /// Neither carried out nor answered.
    Dropped,
}

/// An append under way.
#[derive(Clone, Debug)]
pub struct Append {
    pub partition: Partition,
    pub epoch: u32,
    pub number: u64,
    pub expected_end: Option<u64>,
    pub records: Vec<LogRecord>,
}

#[derive(Debug, Default)]
struct FakePartition {
    newest: BTreeMap<Name, Vec<u8>>,
    epoch: u32,
    next_number: Option<u64>,
    end: u64,
}

#[derive(Debug, Default)]
pub struct FakeLog {
    partitions: BTreeMap<Partition, FakePartition>,
    group: Group,
    delayed: Vec<(u64, Append)>,
    /// Calls of each kind.
    pub joins: usize,
    pub appends: usize,
}

impl FakeLog {
    pub fn join(&mut self, now_ms: u64, member: &str, generation: u64) -> Assignment {
        self.joins += 1;
        let ttl_ms = MEMBER_TTL_MS;
        let (generation, partitions) = self
            .group
            .join(now_ms, member, generation, ttl_ms, PARTITIONS);
        Assignment {
            generation,
            partitions: partitions.into_iter().map(Partition).collect(),
        }
    }

    pub fn leave(&mut self, member: &str) {
        self.group.leave(member, PARTITIONS);
    }

    /// All partitions are dealt anew at once.
    pub fn rebalance(&mut self) {
        self.group.rebalance(PARTITIONS);
    }

    /// The member that holds a partition.
    pub fn owner(&mut self, now_ms: u64, partition: Partition) -> Option<String> {
        let owners = self.group.owners(now_ms, PARTITIONS);
        let owner = owners.into_iter().find(|(part, _)| *part == partition.0);
        owner.map(|(_, member)| member)
    }

    pub fn append(&mut self, append: &Append) -> AppendResult {
        self.appends += 1;
        let partition = self.partitions.entry(append.partition).or_default();
        if append.epoch < partition.epoch {
            return AppendResult::Fenced;
        }
        if append.epoch > partition.epoch {
            partition.epoch = append.epoch;
            partition.next_number = None;
        }
        if append.records.is_empty() {
            // It sets the epoch and takes no number.
            return AppendResult::Appended(partition.end);
        }
        match partition.next_number {
            // A repeat gets its first answer.
            Some(next) if append.number + 1 == next => {
                return AppendResult::Appended(partition.end);
            }
            Some(next) if append.number != next => return AppendResult::UnexpectedNumber(next),
            _ => {}
        }
        let is_unexpected = |end: u64| end != partition.end;
        if append.expected_end.is_some_and(is_unexpected) {
            return AppendResult::UnexpectedEnd;
        }
        partition.end += append.records.len() as u64;
        partition.next_number = Some(append.number + 1);
        for record in &append.records {
            if record.value.is_empty() {
                partition.newest.remove(&record.key);
            } else {
                partition
                    .newest
                    .insert(record.key.clone(), record.value.clone());
            }
        }
        AppendResult::Appended(partition.end)
    }

    /// An append is carried out later, if it is not fenced by then.
    pub fn append_delayed(&mut self, at_ms: u64, append: Append) {
        self.delayed.push((at_ms, append));
    }

    pub fn newest(&self, partition: Partition) -> Vec<LogRecord> {
        let newest = self.partitions.get(&partition);
        let newest = newest.into_iter().flat_map(|partition| &partition.newest);
        let record = |(key, value): (&Name, &Vec<u8>)| LogRecord {
            key: key.clone(),
            value: value.clone(),
        };
        newest.map(record).collect()
    }

    /// Carries out what was late.
    pub fn tick(&mut self, now_ms: u64) {
        let delayed = std::mem::take(&mut self.delayed);
        let (due, rest): (Vec<_>, Vec<_>) = delayed.into_iter().partition(|(at, _)| *at <= now_ms);
        self.delayed = rest;
        for (_, append) in due {
            self.append(&append);
        }
    }
}
