//! What an entry makes of minions that crash under tasks.

use std::collections::VecDeque;

use gannetvane_wire::Name;
use gannetvane_wire::NodeId;

use crate::AgentHello;
use crate::Crash;
use crate::CrashEvidence;
use crate::KnownCrashes;
use crate::OrderId;
use crate::RunKey;
use crate::crashes::CRASH_TTL_MS;
use crate::dispatcher::Dispatcher;
use crate::dispatcher::OrderState;
use crate::dispatcher::jobs::JobState;
use crate::stored::StoredEvent;

/// Most runs that are remembered after their agents were lost.
const MAX_LOST_RUNS: usize = 1_024;

/// A run that was out at an agent when that was lost.
#[derive(Debug)]
struct LostRun {
    lost_ms: u64,
    order: OrderId,
    run: RunKey,
    host: Name,
    agent: NodeId,
    incarnation: Name,
}

/// The runs that were out at agents that were lost and have not greeted since.
#[derive(Debug, Default)]
pub(crate) struct LostRuns {
    runs: VecDeque<LostRun>,
}

impl LostRuns {
    /// Remembers a run, in place of the oldest one if there are too many.
    pub(crate) fn add(&mut self, now_ms: u64, order: OrderId, run: RunKey, agent: &AgentHello) {
        if self.runs.len() >= MAX_LOST_RUNS {
            self.runs.pop_front();
        }
        self.runs.push_back(LostRun {
            lost_ms: now_ms,
            order,
            run,
            host: agent.host.clone(),
            agent: agent.node,
            incarnation: agent.incarnation.clone(),
        });
    }

    /// The runs of the agent that greets in place of one that was lost, if its minion
    /// was lost as well. An agent that is still there tells of crashes itself.
    fn lost_with_minion(&mut self, now_ms: u64, agent: &AgentHello) -> Vec<Crash> {
        self.runs
            .retain(|lost| now_ms < lost.lost_ms + CRASH_TTL_MS);
        let (of_host, others): (VecDeque<LostRun>, _) = std::mem::take(&mut self.runs)
            .into_iter()
            .partition(|lost| lost.host == agent.host);
        self.runs = others;
        let unseen = of_host
            .iter()
            .filter(|lost| lost.agent != agent.node && lost.incarnation != agent.incarnation);
        let crash = |lost: &LostRun| {
            Crash::observed(&lost.run, lost.order, lost.agent, CrashEvidence::Unseen)
        };
        unseen.map(crash).collect()
    }
}

impl Dispatcher {
    /// A minion crashed under a run that was ordered here.
    pub(crate) fn run_crashed(
        &mut self,
        now_ms: u64,
        order: OrderId,
        state: &OrderState,
        evidence: CrashEvidence,
    ) {
        let (Some(agent), Some(job)) = (self.agents.get(&state.link), self.jobs.get(&state.job))
        else {
            return;
        };
        let run = job.run_key(state.position);
        let crash = Crash::observed(&run, order, agent.hello.node, evidence);
        self.learn_crash(now_ms, crash);
    }

    /// The crashes that are known here.
    #[must_use]
    pub fn crashes(&self) -> &KnownCrashes {
        &self.crashes
    }

    /// An agent or another entry tells of crashes.
    pub fn learn_crashes(&mut self, now_ms: u64, crashes: Vec<Crash>) {
        for crash in crashes {
            let id = crash.task.job.clone();
            let is_new = self.learn_crash(now_ms, crash);
            if is_new && self.jobs.get(&id).is_some_and(JobState::is_open) {
                self.event("crash-told", Some(id.clone()), String::new());
                self.advance_job(now_ms, &id);
            }
        }
    }

    /// An agent greets: its predecessor may have been lost together with its minion.
    pub(crate) fn learn_unseen_crashes(&mut self, now_ms: u64, agent: &AgentHello) {
        let crashes = self.lost_runs.lost_with_minion(now_ms, agent);
        self.learn_crashes(now_ms, crashes);
    }

    /// Holds what is known of crashes against the tasks of a job that came in.
    pub(crate) fn apply_known_crashes(&mut self, id: &Name) {
        let known: Vec<Crash> = self.crashes.of_job(id).cloned().collect();
        for crash in known {
            self.apply_crash(crash);
        }
    }

    /// Notes a crash and holds it against its task; whether it was not known.
    fn learn_crash(&mut self, now_ms: u64, crash: Crash) -> bool {
        let is_new = self.crashes.learn(now_ms, crash.clone());
        if is_new {
            self.apply_crash(crash);
        }
        is_new
    }

    /// Holds a crash against its task. That of a stored task is to be recorded before the
    /// task is started anew.
    fn apply_crash(&mut self, crash: Crash) {
        let Some(job) = self.jobs.get_mut(&crash.task.job) else {
            return;
        };
        let Some(position) = job.record_crash(&crash) else {
            return;
        };
        if job.is_stored && job.is_open() {
            job.tasks[position].await_crash_record();
            self.stored_events.push(StoredEvent::Crashed {
                position: u32::try_from(position).unwrap_or(u32::MAX),
                crash,
            });
        }
    }
}
