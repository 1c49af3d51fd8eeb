//! Crashes of minions under tasks, as agents and entries tell each other.
//!
//! A job may come again at another entry, or get another owner. So that a task which
//! crashes its minions does not begin there without a record, entries pass on the
//! crashes that they know of, and the agents beside these minions tell those that they
//! greet. Each crash has a number by which it counts once. They are known for a while and
//! up to a number.

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

/// Time for which a crash is known, in milliseconds: callers come again within seconds.
pub(crate) const CRASH_TTL_MS: u64 = 30_000;
/// Most crashes that are known; the oldest are forgotten first.
const MAX_KNOWN_CRASHES: usize = 1_024;

/// A crash of a minion under a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// Number of the crash: the same wherever it is told.
    pub number: u64,
    /// The task.
    pub task: TaskId,
    /// How surely the task was at work.
    pub evidence: CrashEvidence,
    /// Time since, in milliseconds, when it is told.
    pub age_ms: u64,
}

impl Crash {
    /// A crash that is just seen, under a run that an entry ordered of an agent.
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

/// A crash that is known.
#[derive(Clone, Debug)]
struct KnownCrash {
    crash: Crash,
    observed_at_ms: u64,
}

/// The crashes that a process knows of.
#[derive(Clone, Debug, Default)]
pub struct KnownCrashes {
    /// By the order in which they became known.
    by_sequence: BTreeMap<u64, KnownCrash>,
    last_sequence: u64,
}

impl KnownCrashes {
    /// Takes over a crash; false if it is known or too old.
    pub(crate) fn learn(&mut self, now_ms: u64, crash: Crash) -> bool {
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

    /// Forgets what is too old.
    pub(crate) fn expire(&mut self, now_ms: u64) {
        let is_kept =
            |_: &u64, known: &mut KnownCrash| now_ms < known.observed_at_ms + CRASH_TTL_MS;
        self.by_sequence.retain(is_kept);
    }

    /// The crashes under tasks of a job.
    pub(crate) fn of_job<'a>(&'a self, job: &'a Name) -> impl Iterator<Item = &'a Crash> {
        let crashes = self.by_sequence.values().map(|known| &known.crash);
        crashes.filter(|crash| crash.task.job == *job)
    }

    /// Number of crashes that became known so far.
    #[must_use]
    pub fn last_sequence(&self) -> u64 {
        self.last_sequence
    }

    /// The crashes that became known after so many others, with their ages.
    #[must_use]
    pub fn since(&self, now_ms: u64, sequence: u64) -> Vec<Crash> {
        let later = self.by_sequence.range(sequence + 1..);
        let aged = later.map(|(_, known)| Crash {
            age_ms: now_ms.saturating_sub(known.observed_at_ms),
            ..known.crash.clone()
        });
        aged.collect()
    }
}
