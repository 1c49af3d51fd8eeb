//! Simulated job log: partitions, a group that assigns them to its members, and
//! appends that are numbered and fenced by epoch.

use std::collections::BTreeMap;

use gannetvane_dispatch::AppendResult;
use gannetvane_dispatch::Assignment;
use gannetvane_dispatch::LogRecord;
use gannetvane_dispatch::MEMBER_TTL_MS;
use gannetvane_dispatch::Partition;
use gannetvane_standins::Group;
use gannetvane_wire::Name;

/// Number of partitions of the log.
pub const PARTITIONS: u32 = 4;

/// Size of the records from which the log refuses an append, in bytes.
const MAX_APPEND_BYTES: usize = 2_097_152;

/// Outcome of a call to the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogCallOutcome {
    /// The log carries the call out and answers.
    #[default]
    Served,
    /// The log refuses the call.
    Refused,
    /// The log carries the call out without an answer.
    AnswerLost,
    /// The log carries an append out this many milliseconds later, without an
    /// answer.
    Delayed(u64),
    /// The log neither carries the call out nor answers.
    Dropped,
}

/// Arguments of a call to append records to a partition.
#[derive(Clone, Debug)]
pub struct Append {
    pub partition: Partition,
    pub epoch: u32,
    pub number: u64,
    pub expected_end: Option<u64>,
    pub records: Vec<LogRecord>,
}

/// State of a partition: the newest record of each key, the current epoch, the number of
/// the next append, and the end offset.
#[derive(Debug, Default)]
struct FakePartition {
    newest: BTreeMap<Name, Vec<u8>>,
    epoch: u32,
    next_number: Option<u64>,
    end: u64,
}

/// Job log with the group that shares its partitions.
#[derive(Debug, Default)]
pub struct FakeLog {
    partitions: BTreeMap<Partition, FakePartition>,
    group: Group,
    delayed: Vec<(u64, Append)>,
    /// Number of calls to join the group.
    pub joins: usize,
    /// Number of appends that reached the log, accepted or not.
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

    /// Reassigns all partitions at once.
    pub fn rebalance(&mut self) {
        self.group.rebalance(PARTITIONS);
    }

    /// Returns the member that owns a partition.
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
        let records = append.records.iter();
        let sizes = records.map(|record| record.key.len() + record.value.len());
        if sizes.sum::<usize>() > MAX_APPEND_BYTES {
            return AppendResult::Refused;
        }
        if append.epoch > partition.epoch {
            partition.epoch = append.epoch;
            partition.next_number = None;
        }
        if append.records.is_empty() {
            // An append without records sets the epoch and takes no number.
            return AppendResult::Appended(partition.end);
        }
        match partition.next_number {
            // A repeated append gets the answer of the first one.
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

    /// Schedules an append for `at_ms`; a higher epoch may fence it off before that.
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

    /// Carries out the delayed appends that are due.
    pub fn tick(&mut self, now_ms: u64) {
        let delayed = std::mem::take(&mut self.delayed);
        let (due, rest): (Vec<_>, Vec<_>) = delayed.into_iter().partition(|(at, _)| *at <= now_ms);
        self.delayed = rest;
        for (_, append) in due {
            self.append(&append);
        }
    }
}
