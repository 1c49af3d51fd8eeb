//! Crashes of minions under tasks, and the bounded set of recent crashes that agents and
//! entries exchange.
//!
//! A caller may send a job again to another entry, and a stored job may get another owner.
//! The new entry must know how often a task of the job has crashed its minions. Entries
//! therefore gossip the crashes that they know, and an agent lists the crashes of its
//! minions when it greets an entry. The number of a crash makes each process count it
//! once. A process forgets a crash after [`CRASH_TTL_MS`], and the oldest ones when it
//! knows more than [`MAX_KNOWN_CRASHES`].

use std::collections::BTreeMap;

use gannetvane_wire::Name;
use gannetvane_wire::NodeId;
use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::CrashEvidence;
use crate::OrderId;
use crate::RunKey;
use crate::TaskId;

/// Age at which a crash is forgotten, in milliseconds. Callers send a job again within
/// seconds.
pub(crate) const CRASH_TTL_MS: u64 = 30_000;
/// Largest number of known crashes; the oldest are forgotten first.
const MAX_KNOWN_CRASHES: usize = 1_024;

/// A crash of a minion under a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// Number that identifies the crash in all processes.
    pub number: u64,
    /// Task whose run had started on the minion, or may have.
    pub task: TaskId,
    /// How certain it is that the task was running when the minion crashed.
    pub evidence: CrashEvidence,
    /// Time from the crash until this value was sent, in milliseconds.
    pub age_ms: u64,
}

impl Crash {
    /// Returns a crash that was observed just now. The entry gave the run to the agent
    /// with this order; run, order and agent determine the number of the crash.
    pub(crate) fn observed(
        run: &RunKey,
        order: OrderId,
        agent: NodeId,
        evidence: CrashEvidence,
    ) -> Self {
        let task = &run.task;
        let text = format!(
            "{}.{}.{}.{} {} {}",
            task.job, task.step, task.index, run.run, order.0, agent.0
        );
        Self {
            number: xxh3_64(text.as_bytes()),
            task: task.clone(),
            evidence,
            age_ms: 0,
        }
    }
}

/// A crash and the time at which it was observed.
#[derive(Clone, Debug)]
struct KnownCrash {
    crash: Crash,
    /// Time of the crash on the own clock, in milliseconds.
    observed_at_ms: u64,
}

/// The recent crashes that a process knows.
#[derive(Clone, Debug, Default)]
pub struct KnownCrashes {
    /// Crashes by sequence number: the first crash that became known here has 1.
    by_sequence: BTreeMap<u64, KnownCrash>,
    /// Sequence number of the newest crash; 0 before the first.
    last_sequence: u64,
}

impl KnownCrashes {
    /// Adds a crash. Returns false if the crash is known already or too old.
    pub(crate) fn add(&mut self, now_ms: u64, crash: Crash) -> bool {
        let mut known = self.by_sequence.values();
        let is_known = known.any(|other| other.crash.number == crash.number);
        if is_known || crash.age_ms >= CRASH_TTL_MS {
            return false;
        }
        let observed_at_ms = now_ms.saturating_sub(crash.age_ms);
        self.last_sequence += 1;
        self.by_sequence.insert(
            self.last_sequence,
            KnownCrash {
                crash,
                observed_at_ms,
            },
        );
        if self.by_sequence.len() > MAX_KNOWN_CRASHES {
            self.by_sequence.pop_first();
        }
        true
    }

    /// Forgets the crashes that are too old.
    pub(crate) fn expire(&mut self, now_ms: u64) {
        let is_kept =
            |_: &u64, known: &mut KnownCrash| now_ms < known.observed_at_ms + CRASH_TTL_MS;
        self.by_sequence.retain(is_kept);
    }

    /// Returns the known crashes under tasks of a job.
    pub(crate) fn of_job<'a>(&'a self, job: &'a Name) -> impl Iterator<Item = &'a Crash> {
        let crashes = self.by_sequence.values().map(|known| &known.crash);
        crashes.filter(|crash| crash.task.job == *job)
    }

    /// Returns the sequence number of the newest crash, which is the number of crashes that
    /// became known so far.
    #[must_use]
    pub fn last_sequence(&self) -> u64 {
        self.last_sequence
    }

    /// Returns the crashes that became known after the one with this sequence number, with
    /// their present ages.
    #[must_use]
    pub fn since(&self, now_ms: u64, sequence: u64) -> Vec<Crash> {
        let newer = self.by_sequence.range(sequence + 1..);
        let aged = newer.map(|(_, known)| Crash {
            age_ms: now_ms.saturating_sub(known.observed_at_ms),
            ..known.crash.clone()
        });
        aged.collect()
    }
}
