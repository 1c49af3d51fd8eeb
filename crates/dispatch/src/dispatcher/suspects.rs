//! Suspect tasks at an entry: where it may order their starts.
//!
//! The agent decides whether a suspect may start beside those on probation. The
//! entry keeps account of its own, so that it does not order what would be
//! refused.

use std::collections::BTreeMap;

use gannetvane_wire::Name;

use crate::CrashEvidence;
use crate::OrderId;
use crate::PROBATION_MS;
use crate::Suspicion;
use crate::dispatcher::jobs::JobState;
use crate::dispatcher::jobs::MAX_CRASH_WEIGHT;
use crate::dispatcher::jobs::MAX_STORED_CRASH_WEIGHT;
use crate::message::MAX_EVIDENCE_WEIGHT;

/// Time from the order of a suspect to its start on the minion, in milliseconds:
/// two messages and a listing.
const START_TRANSIT_MS: u64 = 10;
/// Time for which an agent that refused a suspect gets no other, in
/// milliseconds. Another entry may have one on probation there.
const REFUSAL_PAUSE_MS: u64 = 30;

/// Number of crashes after the first with each of which a probation takes four
/// times as long.
const MAX_GROWTHS: u32 = 2;

/// Age up to which runs count as equally old, in milliseconds. A crash that shows
/// as a silence is seen half a second later than others.
const YOUNG_MS: u32 = 600;
/// Largest ratio of the ages at which a task crashes its minions.
const MAX_AGE_RATIO: u32 = 2;

/// The entry's suspects that may be on probation at an agent.
#[derive(Debug, Default)]
pub(crate) struct Probations {
    by_order: BTreeMap<OrderId, Probation>,
    /// Time until which the agent gets no suspects, in milliseconds.
    paused_until_ms: u64,
}

#[derive(Debug)]
struct Probation {
    job: Name,
    suspicion: Suspicion,
    /// Time at which it has passed, in milliseconds.
    until_ms: u64,
}

impl Probations {
    /// Adds a task that was ordered, if it is a suspect.
    pub(crate) fn add(&mut self, now_ms: u64, order: OrderId, job: &Name, suspicion: Suspicion) {
        self.by_order.retain(|_, other| now_ms < other.until_ms);
        if suspicion.is_suspect() {
            let probation = Probation {
                job: job.clone(),
                suspicion,
                until_ms: now_ms + START_TRANSIT_MS + suspicion.probation_ms(),
            };
            self.by_order.insert(order, probation);
        }
    }

    /// Removes an order that has ended.
    pub(crate) fn remove(&mut self, order: OrderId) {
        self.by_order.remove(&order);
    }

    /// Records that the agent refused a suspect.
    pub(crate) fn refused(&mut self, now_ms: u64) {
        self.paused_until_ms = now_ms + REFUSAL_PAUSE_MS;
    }

    /// Returns whether a task of the job may start beside those on probation.
    pub(crate) fn admit(&self, now_ms: u64, job: &Name, suspicion: Suspicion) -> bool {
        if !suspicion.is_suspect() {
            return true;
        }
        let mut others = self
            .by_order
            .values()
            .filter(|other| now_ms < other.until_ms && other.job != *job);
        now_ms >= self.paused_until_ms
            && others.all(|other| suspicion.may_start_beside(other.suspicion))
    }

    /// Returns when the agent may admit another suspect, in milliseconds.
    pub(crate) fn due_ms(&self, now_ms: u64) -> Option<u64> {
        let passed = self.by_order.values().map(|other| other.until_ms);
        let times = passed.chain([self.paused_until_ms]);
        times.filter(|due_ms| now_ms < *due_ms).min()
    }
}

/// Returns the probation of an isolated suspect after this number of crashes, in
/// milliseconds. It grows, so that a task is found that crashes its minions some
/// time after its start.
fn probation_ms(crashes: usize) -> u32 {
    let crashes = u32::try_from(crashes).unwrap_or(u32::MAX);
    let growth = crashes.clamp(1, MAX_GROWTHS + 1) - 1;
    u32::try_from(PROBATION_MS).unwrap_or(u32::MAX) << (growth * 2)
}

/// Returns whether one task may have caused both crashes, which came when its
/// runs were this old, in milliseconds.
fn are_ages_alike(one_ms: u32, other_ms: u32) -> bool {
    let (younger_ms, older_ms) = (one_ms.min(other_ms), one_ms.max(other_ms));
    older_ms <= YOUNG_MS || older_ms <= younger_ms.saturating_mul(MAX_AGE_RATIO)
}

impl JobState {
    /// Returns how strongly a task is suspected to crash its minions.
    pub(crate) fn suspicion(&self, position: usize) -> Suspicion {
        let task = &self.tasks[position];
        let weight = task.crash_weight();
        if weight == 0 {
            Suspicion::None
        } else if weight + MAX_EVIDENCE_WEIGHT < self.max_crash_weight() {
            Suspicion::Shared
        } else {
            let probation_ms = probation_ms(task.crashes.len());
            Suspicion::Isolated { probation_ms }
        }
    }

    /// Returns the evidence of a crash that came when a run of the task was this
    /// old, in view of the age at the crash before. A task that crashes its
    /// minions does so at about the same age each time, so other ages are weak
    /// evidence. A stored task is given up for no two crashes anyway.
    pub(crate) fn compare_ages(
        &mut self,
        position: usize,
        evidence: CrashEvidence,
        ran_ms: u32,
    ) -> CrashEvidence {
        let former_ms = self.tasks[position].crashed_after_ms.replace(ran_ms);
        let is_alike = former_ms.is_none_or(|former_ms| are_ages_alike(former_ms, ran_ms));
        match evidence {
            CrashEvidence::Strong | CrashEvidence::StartCrashed if !self.is_stored && !is_alike => {
                CrashEvidence::Weak
            }
            other => other,
        }
    }

    /// Returns the crash weight at which a task of the job is given up.
    pub(crate) fn max_crash_weight(&self) -> u32 {
        match self.is_stored {
            true => MAX_STORED_CRASH_WEIGHT,
            false => MAX_CRASH_WEIGHT,
        }
    }
}
