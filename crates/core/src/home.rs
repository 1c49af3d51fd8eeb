//! The home of submissions: it admits them, runs their tasks and retains their
//! answers. An agent is the home of the submissions whose ids name it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::hash::Hash;
use std::hash::Hasher;
use std::sync::Arc;

use gannetvane_wire::Answer;
use gannetvane_wire::Configuration;
use gannetvane_wire::Credit;
use gannetvane_wire::Message;
use gannetvane_wire::Name;
use gannetvane_wire::NodeId;
use gannetvane_wire::Outcome;
use gannetvane_wire::Ran;
use gannetvane_wire::Reason;
use gannetvane_wire::Submission;
use gannetvane_wire::SubmissionId;
use gannetvane_wire::Task;
use xxhash_rust::xxh3::Xxh3Default;

use crate::Action;
use crate::Counter;
use crate::Peer;
use crate::SubmissionTable;
use crate::TableSettings;
use crate::View;
use crate::queue::QueuedTask;
use crate::service::Service;
use crate::submission::OpenSubmission;
use crate::submission::Waiter;
use crate::table::Lookup;

/// `retry_after_ms` of a refusal that is expected to be temporary.
const RETRY_AFTER_MS: u32 = 1_000;
/// Safety factor, in percent, on the expected wait at admission, for what the
/// estimates leave out. A queue that is filled until the last submission would
/// only just meet its deadline completes almost nothing.
const WAIT_MARGIN_PERCENT: u64 = 120;

/// What a home reads from its process, and the list that collects its actions.
pub(crate) struct Context<'a> {
    pub(crate) now_ms: u64,
    pub(crate) view: &'a View,
    pub(crate) configuration: &'a Configuration,
    pub(crate) actions: &'a mut Vec<Action>,
}

/// How a home handles new submissions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Intake {
    /// New submissions go through admission.
    Open,
    /// New submissions are refused, and the refusals are recorded as their
    /// final answers.
    Refusing,
    /// New submissions get no answer here: the table is being handed over, and
    /// the successor will answer.
    Closed,
}

/// A submission received from an entry, or a lookup of its answer.
#[derive(Clone, Debug)]
pub(crate) struct Arrival {
    pub(crate) id: SubmissionId,
    /// The content; `None` for a lookup.
    pub(crate) submission: Option<Arc<Submission>>,
    pub(crate) fingerprint: u64,
    pub(crate) remaining_ms: u64,
}

/// The submissions of one agent and of the agents whose tables it took over.
#[derive(Debug)]
pub(crate) struct Home {
    pub(crate) settings: TableSettings,
    pub(crate) intake: Intake,
    pub(crate) table: SubmissionTable,
    /// Tables taken over from agents that left.
    pub(crate) adopted: BTreeMap<NodeId, SubmissionTable>,
    pub(crate) open: BTreeMap<SubmissionId, OpenSubmission>,
    pub(crate) services: BTreeMap<Name, Service>,
    pub(crate) deadlines: BTreeSet<Deadline>,
    /// Agents that left as planned, with the time until which the home awaits
    /// results from them.
    pub(crate) results_awaited_until_ms: BTreeMap<NodeId, u64>,
}

/// The time at which a submission fails if it has not ended by then.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Deadline {
    pub(crate) at_ms: u64,
    pub(crate) id: SubmissionId,
}

/// The reason for a refusal and when the caller may retry.
struct Refusal {
    reason: Reason,
    retry_after_ms: Option<u32>,
}

impl Home {
    pub(crate) fn new(me: NodeId, settings: TableSettings, now_ms: u64) -> Self {
        Self {
            settings,
            intake: Intake::Open,
            table: SubmissionTable::new(me, settings, now_ms, 0),
            adopted: BTreeMap::new(),
            open: BTreeMap::new(),
            services: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            results_awaited_until_ms: BTreeMap::new(),
        }
    }

    /// Handles a submission, or a lookup of its answer.
    pub(crate) fn submit(&mut self, ctx: &mut Context<'_>, entry: Peer, arrival: Arrival) {
        let id = arrival.id;
        let waiter = Waiter {
            entry,
            fingerprint: arrival.fingerprint,
        };
        let unknown = |reason| Arc::new(Answer::refusal(Ran::Unknown, reason, None));
        match self.lookup(ctx.now_ms, id, arrival.fingerprint) {
            Lookup::Foreign => send_answer(ctx, id, waiter, unknown(Reason::HomeLost)),
            Lookup::Expired => send_answer(ctx, id, waiter, unknown(Reason::IdExpired)),
            Lookup::Reused => send_answer(ctx, id, waiter, unknown(Reason::IdReused)),
            Lookup::Dropped => send_answer(ctx, id, waiter, unknown(Reason::AnswerDropped)),
            Lookup::Future => {
                let answer = Answer::refusal(Ran::NotRun, Reason::IdInvalid, None);
                send_answer(ctx, id, waiter, Arc::new(answer));
            }
            Lookup::Answered(answer) => send_answer(ctx, id, waiter, answer),
            Lookup::Open => {
                if let Some(open) = self.open.get_mut(&id) {
                    open.add_waiter(waiter);
                }
            }
            Lookup::New => self.submit_new(ctx, waiter, arrival),
        }
    }

    /// Cancels a submission. An id that is still new is recorded as cancelled,
    /// so that a submission that arrives later under it does not run.
    pub(crate) fn cancel(&mut self, ctx: &mut Context<'_>, entry: Peer, id: SubmissionId) {
        let waiter = Waiter {
            entry,
            fingerprint: 0,
        };
        match self.lookup(ctx.now_ms, id, 0) {
            Lookup::Open => {
                if let Some(open) = self.open.get_mut(&id) {
                    open.add_waiter(waiter);
                }
                self.revoke_running(ctx, id);
                self.close(ctx, id, Reason::Cancelled, None);
            }
            Lookup::New if self.intake == Intake::Closed => {}
            Lookup::New => {
                let answer = Arc::new(Answer::refusal(Ran::NotRun, Reason::Cancelled, None));
                ctx.actions
                    .push(Action::Count(Counter::Refused(Reason::Cancelled)));
                self.record_answer(id, 0, Arc::clone(&answer));
                send_answer(ctx, id, waiter, answer);
            }
            _ => {
                let ask = Arrival {
                    id,
                    submission: None,
                    fingerprint: 0,
                    remaining_ms: 0,
                };
                self.submit(ctx, entry, ask);
            }
        }
    }

    /// Ends a submission, records its final answer and sends it to all waiting
    /// entries.
    pub(crate) fn close(
        &mut self,
        ctx: &mut Context<'_>,
        id: SubmissionId,
        reason: Reason,
        retry_after_ms: Option<u32>,
    ) {
        let Some(open) = self.open.remove(&id) else {
            return;
        };
        self.deadlines.remove(&Deadline {
            at_ms: open.deadline_at_ms,
            id,
        });
        if let Some(service) = self.services.get_mut(&open.submission.service) {
            service.queue.remove(id);
            for _ in open.running() {
                service.running = service.running.saturating_sub(1);
                service.teams.ended(&open.submission.team);
            }
        }
        let answer = Arc::new(open.answer(reason, retry_after_ms));
        ctx.actions.push(Action::Count(counter_of(&answer)));
        self.record_answer(id, open.fingerprint, Arc::clone(&answer));
        for waiter in open.waiters {
            send_answer(ctx, id, waiter, Arc::clone(&answer));
        }
    }

    /// Returns the number of ids retained in all tables.
    pub(crate) fn retained(&self) -> usize {
        self.table.len()
            + self
                .adopted
                .values()
                .map(SubmissionTable::len)
                .sum::<usize>()
    }

    /// Returns the table that holds the submissions of `home`.
    pub(crate) fn table_of(&mut self, home: NodeId) -> Option<&mut SubmissionTable> {
        if home == self.table.home() {
            return Some(&mut self.table);
        }
        self.adopted.get_mut(&home)
    }

    fn lookup(&mut self, now_ms: u64, id: SubmissionId, fingerprint: u64) -> Lookup {
        let Some(table) = self.table_of(id.home) else {
            return Lookup::Foreign;
        };
        table.advance(now_ms);
        table.lookup(now_ms, id, fingerprint)
    }

    fn record_answer(&mut self, id: SubmissionId, fingerprint: u64, answer: Arc<Answer>) {
        if let Some(table) = self.table_of(id.home) {
            table.answer(id, fingerprint, answer);
        }
    }

    fn submit_new(&mut self, ctx: &mut Context<'_>, waiter: Waiter, arrival: Arrival) {
        let id = arrival.id;
        if self.intake == Intake::Closed {
            return;
        }
        let Some(submission) = arrival.submission else {
            // A lookup records nothing, because a record would keep a delayed
            // submission from running.
            let answer = Answer::refusal(Ran::Unknown, Reason::NeverSubmitted, None);
            send_answer(ctx, id, waiter, Arc::new(answer));
            return;
        };
        if let Err(refusal) = self.admit(ctx, &submission, arrival.remaining_ms) {
            let answer = Answer::refusal(Ran::NotRun, refusal.reason, refusal.retry_after_ms);
            let answer = Arc::new(answer);
            ctx.actions
                .push(Action::Count(Counter::Refused(refusal.reason)));
            self.record_answer(id, arrival.fingerprint, Arc::clone(&answer));
            send_answer(ctx, id, waiter, answer);
            return;
        }
        if let Some(table) = self.table_of(id.home) {
            table.open(id, arrival.fingerprint);
        }
        let deadline_at_ms = ctx.now_ms + arrival.remaining_ms;
        let mut open =
            OpenSubmission::new(submission, arrival.fingerprint, ctx.now_ms, deadline_at_ms);
        open.add_waiter(waiter);
        self.deadlines.insert(Deadline {
            at_ms: deadline_at_ms,
            id,
        });
        self.enqueue_all(id, &open);
        let service = open.submission.service.clone();
        self.open.insert(id, open);
        self.dispatch(ctx, &service);
    }

    /// Adds all tasks of a submission to the queue of its service.
    fn enqueue_all(&mut self, id: SubmissionId, open: &OpenSubmission) {
        let service = self
            .services
            .entry(open.submission.service.clone())
            .or_default();
        if service.queue.is_empty() {
            service.lending.clear_request();
        }
        let queued = (0u16..)
            .zip(&open.submission.tasks)
            .map(|(index, task)| QueuedTask {
                estimate_ms: service.estimates.estimate_ms(&task.kind, task.declared_ms),
                index,
            });
        let queued: Vec<QueuedTask> = queued.collect();
        service
            .queue
            .push(id, &open.submission.team, open.arrived_ms, queued);
    }

    /// Checks whether a submission may be queued: that its service, team and a
    /// fitting worker exist, that the queue and the team's quota have space,
    /// and that it can meet its deadline.
    fn admit(
        &mut self,
        ctx: &Context<'_>,
        submission: &Submission,
        remaining_ms: u64,
    ) -> Result<(), Refusal> {
        if self.intake == Intake::Refusing {
            return Err(Refusal::soon(Reason::HomeLeaving));
        }
        let Some(config) = ctx.configuration.services.get(&submission.service) else {
            return Err(Refusal::permanent(Reason::UnknownService));
        };
        let Some(team) = ctx.configuration.teams.get(&submission.team) else {
            return Err(Refusal::permanent(Reason::UnknownTeam));
        };
        if submission.tasks.len() > usize::from(config.max_tasks_per_job) {
            return Err(Refusal::permanent(Reason::TooManyTasks));
        }
        if ctx.view.agents(&submission.service).next().is_none() {
            return Err(Refusal::soon(Reason::NoCapacity));
        }
        let fits = |task: &Task| ctx.view.fits(&submission.service, &task.needs);
        if !submission.tasks.iter().all(fits) {
            return Err(Refusal::permanent(Reason::FitsNoWorker));
        }
        let service = self.services.entry(submission.service.clone()).or_default();
        let wait_ms = service.expected_wait_ms(&submission.team, &ctx.configuration.teams);
        let added = submission.tasks.len();
        if service.queue.len() + added > config.max_queued_tasks as usize {
            return Err(Refusal::after(Reason::QueueFull, wait_ms));
        }
        let of_team = service.queue.len_of_team(&submission.team);
        if of_team + added > team.max_queued_tasks as usize {
            return Err(Refusal::after(Reason::TeamQuota, wait_ms));
        }
        let estimate = |task: &Task| service.estimates.estimate_ms(&task.kind, task.declared_ms);
        let longest_ms = submission.tasks.iter().map(estimate).max().unwrap_or(0);
        if wait_ms * WAIT_MARGIN_PERCENT / 100 + u64::from(longest_ms) > remaining_ms {
            return Err(Refusal::after(Reason::DeadlineUnreachable, wait_ms));
        }
        Ok(())
    }

    /// Revokes the credits of the submission's running tasks, with one message
    /// to each agent.
    fn revoke_running(&mut self, ctx: &mut Context<'_>, id: SubmissionId) {
        let Some(open) = self.open.get(&id) else {
            return;
        };
        let mut by_agent: BTreeMap<Peer, Vec<Credit>> = BTreeMap::new();
        for (_, started) in open.running() {
            by_agent
                .entry(started.agent)
                .or_default()
                .push(started.credit);
        }
        for (to, credits) in by_agent {
            ctx.actions.push(Action::Send {
                to,
                message: Message::Revoke(credits),
            });
        }
    }
}

impl Refusal {
    /// A refusal that a retry does not change.
    fn permanent(reason: Reason) -> Self {
        Self {
            reason,
            retry_after_ms: None,
        }
    }

    /// A refusal that is expected to be temporary.
    fn soon(reason: Reason) -> Self {
        Self {
            reason,
            retry_after_ms: Some(RETRY_AFTER_MS),
        }
    }

    /// A refusal until the expected wait has passed.
    fn after(reason: Reason, wait_ms: u64) -> Self {
        let wait_ms = u32::try_from(wait_ms).unwrap_or(u32::MAX);
        Self {
            reason,
            retry_after_ms: Some(wait_ms.max(100)),
        }
    }
}

/// Returns a hash of a submission's content. It is never 0, because 0 stands
/// for a request without content.
pub(crate) fn fingerprint(submission: &Submission) -> u64 {
    let mut hasher = Xxh3Default::new();
    submission.hash(&mut hasher);
    hasher.finish().max(1)
}

fn counter_of(answer: &Answer) -> Counter {
    match (answer.outcome, answer.ran) {
        (Outcome::Complete, _) => Counter::Completed,
        (Outcome::Failed, Ran::NotRun) => Counter::Refused(answer.reason),
        (Outcome::Failed, _) => Counter::Failed(answer.reason),
    }
}

fn send_answer(ctx: &mut Context<'_>, id: SubmissionId, waiter: Waiter, answer: Arc<Answer>) {
    let message = Message::Answer {
        id,
        fingerprint: waiter.fingerprint,
        answer,
    };
    ctx.actions.push(Action::Send {
        to: waiter.entry,
        message,
    });
}
