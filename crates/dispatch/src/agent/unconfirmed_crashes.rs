//! Crashes that a broken connection suggests although the minion may still be there.
//!
//! A minion whose process has crashed breaks the connections of its calls and answers
//! nothing after that. So does a minion that resets connections and then leaves calls
//! unanswered, but its process goes on. When an agent gives such a minion up, it keeps the
//! evidence of its runs to itself. The evidence counts once another incarnation of the
//! minion is served. It is dropped as soon as the incarnation shows that it was alive after
//! its connections had broken.

use crate::Agent;
use crate::Crash;
use crate::Incarnation;
use crate::agent::incarnations::Loss;
use crate::agent::minion::Minion;
use crate::agent::run_table::Run;
use crate::agent::run_table::SuspectJobs;
use crate::crashes::CRASH_TTL_MS;

/// Largest number of unconfirmed crashes; the oldest are forgotten first.
const MAX_UNCONFIRMED: usize = 1_024;

/// A crash under a run, if the incarnation ended when its connections broke.
#[derive(Debug)]
struct UnconfirmedCrash {
    incarnation: Incarnation,
    crash: Crash,
    /// When the connection broke, on the agent's clock.
    broke_ms: u64,
    /// Latest reading of the incarnation's clock if it ended then.
    last_clock_ms: u64,
}

impl UnconfirmedCrash {
    /// Whether something that was read from an incarnation shows that this one was alive
    /// after its connection had broken.
    fn is_ruled_out_by(&self, incarnation: &Incarnation, clock_ms: u64) -> bool {
        self.incarnation == *incarnation && clock_ms > self.last_clock_ms
    }
}

/// The unconfirmed crashes of the minions that an agent gave up.
#[derive(Debug, Default)]
pub(crate) struct UnconfirmedCrashes {
    crashes: Vec<UnconfirmedCrash>,
}

impl UnconfirmedCrashes {
    fn add(&mut self, crash: UnconfirmedCrash) {
        if self.crashes.len() >= MAX_UNCONFIRMED {
            self.crashes.remove(0);
        }
        self.crashes.push(crash);
    }

    /// Drops the crashes of an incarnation that was alive when its clock showed `clock_ms`.
    /// Returns their number.
    fn rule_out(&mut self, incarnation: &Incarnation, clock_ms: u64) -> usize {
        let former = self.crashes.len();
        self.crashes
            .retain(|crash| !crash.is_ruled_out_by(incarnation, clock_ms));
        former - self.crashes.len()
    }

    /// Drops the crashes of the minion with this id. Returns their number.
    fn rule_out_id(&mut self, id: &str) -> usize {
        let former = self.crashes.len();
        self.crashes.retain(|crash| **crash.incarnation.id() != *id);
        former - self.crashes.len()
    }

    /// Forgets the crashes that are too old to count.
    pub(crate) fn expire(&mut self, now_ms: u64) {
        self.crashes
            .retain(|crash| now_ms < crash.broke_ms + CRASH_TTL_MS);
    }
}

impl Agent {
    /// Keeps the evidence of a run whose minion is given up, if only silence followed the
    /// break of its connection.
    pub(crate) fn keep_unconfirmed_crash(&mut self, run: &Run, suspects: &SuspectJobs, loss: Loss) {
        let (Loss::Silent, Some(minion)) = (loss, &self.minion) else {
            return;
        };
        let (Some(broke_ms), Some(evidence)) =
            (run.connection_broke_ms, suspects.evidence_against(run))
        else {
            return;
        };
        let crash = Crash::observed(&run.key, run.order, self.identity.node, evidence);
        let detail = format!(
            "task={}.{} run={} evidence={evidence:?} crash={:016x}",
            run.key.task.step, run.key.task.index, run.key.run, crash.number
        );
        let job = run.key.task.job.clone();
        self.unconfirmed_crashes.add(UnconfirmedCrash {
            incarnation: minion.incarnation().clone(),
            crash,
            broke_ms,
            last_clock_ms: minion.clock.max_at(broke_ms),
        });
        self.event("crash-unconfirmed", Some(job), detail);
    }

    /// Drops the unconfirmed crashes that a report or listing of an incarnation rules out.
    pub(crate) fn rule_out_crashes(&mut self, incarnation: &Incarnation, clock_ms: u64) {
        let crashes = self.unconfirmed_crashes.rule_out(incarnation, clock_ms);
        self.log_ruled_out(crashes, "alive");
    }

    /// Drops the unconfirmed crashes of a minion that announced its departure.
    pub(crate) fn rule_out_crashes_of(&mut self, id: &str) {
        let crashes = self.unconfirmed_crashes.rule_out_id(id);
        self.log_ruled_out(crashes, "left");
    }

    fn log_ruled_out(&mut self, crashes: usize, cause: &'static str) {
        if crashes > 0 {
            let detail = format!("crashes={crashes} cause={cause}");
            self.event("crashes-ruled-out", None, detail);
        }
    }

    /// Records the unconfirmed crashes of incarnations before the served one, which has
    /// just answered: they have ended.
    pub(crate) fn confirm_crashes(&mut self, now_ms: u64, clock_ms: u64) {
        let Some(served) = self.minion.as_ref().map(Minion::incarnation).cloned() else {
            return;
        };
        self.rule_out_crashes(&served, clock_ms);
        for unconfirmed in std::mem::take(&mut self.unconfirmed_crashes.crashes) {
            let age_ms = now_ms.saturating_sub(unconfirmed.broke_ms);
            let crash = Crash {
                age_ms,
                ..unconfirmed.crash
            };
            let detail = format!(
                "task={}.{} evidence={:?} crash={:016x} age_ms={age_ms}",
                crash.task.step, crash.task.index, crash.evidence, crash.number
            );
            self.event("crash-confirmed", Some(crash.task.job.clone()), detail);
            self.crashes.add(now_ms, crash);
        }
    }
}
