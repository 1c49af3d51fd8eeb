//! Crashes of minions under tasks at an entry: agents and other entries report
//! them, and the entry finds those that no agent saw when an agent greets after
//! its predecessor was lost together with its minion.

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

/// Largest number of runs that are remembered after their agents were lost.
const MAX_LOST_RUNS: usize = 1_024;

/// How an entry learned of a crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CrashSource {
    /// The agent reported it as the end of a run that this entry had ordered.
    RunEnd,
    /// An agent listed it in its greeting.
    Greeting,
    /// Another entry gossiped it.
    Entry,
    /// This entry inferred it: an agent was lost together with its minion.
    LostAgent,
    /// It was known before the job arrived.
    Known,
}

/// A run that was ordered at an agent when the agent was lost.
#[derive(Debug)]
struct LostRun {
    /// Time at which the agent was lost, in milliseconds.
    lost_ms: u64,
    order: OrderId,
    run: RunKey,
    host: Name,
    agent: NodeId,
    incarnation: Name,
}

/// The runs that were ordered at agents which were lost and whose hosts have
/// not greeted since.
#[derive(Debug, Default)]
pub(crate) struct LostRuns {
    runs: VecDeque<LostRun>,
}

impl LostRuns {
    /// Remembers a run; forgets the oldest one if there are too many.
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

    /// Forgets the lost runs on the host of an agent that greets, and returns
    /// those among them whose agent was lost together with its minion, as
    /// crashes. An agent that survived its minion reports the crash itself.
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
    /// Records that a minion crashed under a run that was ordered here.
    pub(crate) fn run_crashed(
        &mut self,
        now_ms: u64,
        order: OrderId,
        state: &OrderState,
        evidence: CrashEvidence,
        ran_ms: u32,
    ) {
        let agent = self.agents.get(&state.link);
        let (Some(agent), Some(job)) = (agent, self.jobs.get_mut(&state.job)) else {
            return;
        };
        let evidence = job.compare_ages(state.position, evidence, ran_ms);
        let run = job.run_key(state.position);
        let crash = Crash::observed(&run, order, agent.hello.node, evidence);
        self.add_crash(now_ms, crash, CrashSource::RunEnd);
    }

    /// Returns the known crashes.
    #[must_use]
    pub fn crashes(&self) -> &KnownCrashes {
        &self.crashes
    }

    /// Records crashes that another entry reported.
    pub fn add_crashes(&mut self, now_ms: u64, crashes: Vec<Crash>) {
        self.add_crashes_from(now_ms, crashes, CrashSource::Entry);
    }

    /// Records the crashes that an agent listed in its greeting.
    pub(crate) fn add_greeted_crashes(&mut self, now_ms: u64, crashes: Vec<Crash>) {
        self.add_crashes_from(now_ms, crashes, CrashSource::Greeting);
    }

    /// Records crashes, and gives up the jobs whose tasks have had too many.
    fn add_crashes_from(&mut self, now_ms: u64, crashes: Vec<Crash>, source: CrashSource) {
        for crash in crashes {
            let id = crash.task.job.clone();
            let is_new = self.add_crash(now_ms, crash, source);
            if is_new && self.jobs.get(&id).is_some_and(JobState::is_open) {
                self.advance_job(now_ms, &id);
            }
        }
    }

    /// Records the crashes that no agent saw: the predecessor of an agent that
    /// greets may have been lost together with its minion.
    pub(crate) fn add_unseen_crashes(&mut self, now_ms: u64, agent: &AgentHello) {
        let crashes = self.lost_runs.lost_with_minion(now_ms, agent);
        self.add_crashes_from(now_ms, crashes, CrashSource::LostAgent);
    }

    /// Counts the known crashes against the tasks of a job that was just
    /// received.
    pub(crate) fn apply_known_crashes(&mut self, id: &Name) {
        let known: Vec<Crash> = self.crashes.of_job(id).cloned().collect();
        for crash in known {
            self.apply_crash(crash, CrashSource::Known);
        }
    }

    /// Records a crash and counts it against its task; returns whether it was
    /// new.
    fn add_crash(&mut self, now_ms: u64, crash: Crash, source: CrashSource) -> bool {
        let is_new = self.crashes.add(now_ms, crash.clone());
        if is_new {
            self.apply_crash(crash, source);
        }
        is_new
    }

    /// Counts a crash against its task. If the task is stored, the crash must
    /// be recorded in the log before the task is started again.
    fn apply_crash(&mut self, crash: Crash, source: CrashSource) {
        let Some(job) = self.jobs.get_mut(&crash.task.job) else {
            return;
        };
        let Some(position) = job.record_crash(&crash) else {
            return;
        };
        let is_open = job.is_open();
        let detail = format!(
            "position={position} source={source:?} evidence={:?} crash={:016x} age_ms={} weight={}",
            crash.evidence,
            crash.number,
            crash.age_ms,
            job.tasks[position].crash_weight(),
        );
        if job.is_stored && is_open {
            job.tasks[position].await_crash_record();
            self.stored_events.push(StoredEvent::Crashed {
                position: u32::try_from(position).unwrap_or(u32::MAX),
                crash: crash.clone(),
            });
        }
        if is_open {
            self.event("crash-counted", Some(crash.task.job), detail);
        }
    }
}
