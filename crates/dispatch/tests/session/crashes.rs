//! Crashes and restarts of minions, with and without a task as the cause.

use gannetvane_dispatch::AgentAction;
use gannetvane_dispatch::Incarnation;
use gannetvane_dispatch::ListResult;
use gannetvane_dispatch::RunKey;
use gannetvane_dispatch::StartResult;

use super::DELAY_MS;
use super::Event;
use super::FakeMinion;
use super::PendingListing;
use super::Session;
use super::Side;

/// Time after which a minion that crashed under a task takes calls again, in
/// milliseconds.
const RESTART_DELAY_MS: u64 = 2_000;

/// Crashes that are due later, and starts that unresponsive minions have not read.
#[derive(Debug, Default)]
pub(super) struct PendingCrashes {
    /// Time of the crash, agent and incarnation of each minion that will crash.
    due: Vec<(u64, usize, Incarnation)>,
    /// Agents of the minions that read no calls, and the time of their crash.
    unresponsive: Vec<(usize, u64)>,
    /// Agent, incarnation and run of each start that was sent to an unresponsive
    /// minion.
    unread_starts: Vec<(usize, Incarnation, RunKey)>,
}

impl Session {
    /// Crashes a minion and restarts it at once with a new id.
    pub fn crash_minion(&mut self, agent: usize) {
        let id = format!("minion-{agent}-x{}", self.sequence);
        self.replace_minion(agent, &id);
    }

    /// Crashes a minion and restarts it with a new id after `down_ms`.
    pub fn crash_minion_for(&mut self, agent: usize, down_ms: u64) {
        self.crash_minion(agent);
        self.delay_restart(agent, down_ms);
    }

    /// Crashes a minion and restarts it with the same id after `down_ms`.
    pub fn restart_with_same_id(&mut self, agent: usize, down_ms: u64) {
        let id = self.minions[agent].instance.clone();
        self.replace_minion(agent, &id);
        self.delay_restart(agent, down_ms);
    }

    /// Ends the incarnation of a minion with all its runs, and starts one with
    /// this id.
    fn replace_minion(&mut self, agent: usize, id: &str) {
        self.last_reports.insert(agent, self.report(agent));
        let next = self.new_minion(agent, id);
        let ended = std::mem::replace(&mut self.minions[agent], next);
        self.break_listings(agent, &ended);
        self.ended_minions.push(ended);
    }

    /// Ends the pending listing calls to a minion whose incarnation has ended. If it had
    /// ends to list, its answer is already on the way; otherwise the connections of the
    /// calls break.
    fn break_listings(&mut self, agent: usize, ended: &FakeMinion) {
        let pending_listings = std::mem::take(&mut self.pending_listings);
        let (broken, rest) = pending_listings
            .into_iter()
            .partition(|pending| pending.agent == agent);
        self.pending_listings = rest;
        let broken: Vec<PendingListing> = broken;
        for pending in broken {
            let result = match ended.has_ends() && !self.is_unresponsive(agent) {
                true => ListResult::Listed(ended.list(self.now_ms, pending.epoch)),
                false => ListResult::Broken,
            };
            let event = Event::Listed(pending.incarnation, pending.call, result);
            self.post(Side::Agent(agent), event);
        }
    }

    /// Resets the connections of all calls to a minion for `for_ms`, also of those that are
    /// pending. Its runs go on, and so do its reports.
    pub fn reset_connections(&mut self, agent: usize, for_ms: u64) {
        self.minions[agent].resets_until_ms = self.now_ms + for_ms;
        let is_reset = |pending: &mut PendingListing| pending.agent == agent;
        let reset: Vec<PendingListing> = self.pending_listings.extract_if(.., is_reset).collect();
        for pending in reset {
            let event = Event::Listed(pending.incarnation, pending.call, ListResult::Broken);
            self.post(Side::Agent(agent), event);
        }
    }

    /// Lets a minion take no calls for `down_ms` and report to its agent after that.
    fn delay_restart(&mut self, agent: usize, down_ms: u64) {
        self.minions[agent].up_at_ms = self.now_ms + down_ms;
        let report = self.report(agent);
        let at_ms = self.minions[agent].up_at_ms + DELAY_MS;
        self.post_at(at_ms, Side::Agent(agent), Event::Reported(report));
    }

    /// Crashes a minion and restarts it with the same id after `down_ms`. It reports no
    /// start time, or that of its previous incarnation, as after a backward step of the
    /// wall clock.
    pub fn restart_with_hidden_start_time(
        &mut self,
        agent: usize,
        down_ms: u64,
        reports_start_time: bool,
    ) {
        let started_unix_ms = self.minions[agent].incarnation().started_unix_ms();
        self.restart_with_same_id(agent, down_ms);
        let minion = &mut self.minions[agent];
        minion.reports_start_time = reports_start_time;
        minion.reported_start_unix_ms = started_unix_ms;
    }

    /// Whether the minion is unresponsive, so that its runs make no progress either.
    pub(super) fn is_unresponsive(&self, agent: usize) -> bool {
        let mut unresponsive = self.pending_crashes.unresponsive.iter();
        unresponsive.any(|(other, _)| *other == agent)
    }

    /// Makes a minion unresponsive for `for_ms` and crashes it after that.
    pub fn stop_responding_and_crash(&mut self, agent: usize, for_ms: u64) {
        let at_ms = self.now_ms + for_ms;
        self.pending_crashes.unresponsive.push((agent, at_ms));
    }

    /// Keeps a start or listing call to an unresponsive minion as unread, and drops a
    /// stop; returns false if the minion reads calls.
    pub(super) fn queue_if_unresponsive(&mut self, agent: usize, action: &AgentAction) -> bool {
        if !self.is_unresponsive(agent) {
            return false;
        }
        match action {
            AgentAction::Start {
                incarnation, key, ..
            } => {
                let unread_start = (agent, incarnation.clone(), key.clone());
                self.pending_crashes.unread_starts.push(unread_start);
            }
            AgentAction::List {
                call,
                incarnation,
                epoch,
                ..
            } => self.pending_listings.push(PendingListing {
                listing: None,
                until_ms: u64::MAX,
                agent,
                incarnation: incarnation.clone(),
                call: *call,
                epoch: *epoch,
            }),
            _ => {}
        }
        true
    }

    /// Crashes the minion that started a crashing task, during the start or
    /// `crash_after_ms` later. Returns whether the start is answered.
    pub(super) fn crash_by_task(
        &mut self,
        agent: usize,
        incarnation: &Incarnation,
        key: &RunKey,
    ) -> bool {
        *self.crashes.entry(key.task.job.to_string()).or_default() += 1;
        if let Some(after_ms) = self.crash_after_ms {
            let incarnation = self.minions[agent].incarnation();
            let due = (self.now_ms + after_ms, agent, incarnation);
            self.pending_crashes.due.push(due);
            return true;
        }
        let broken = Event::Started(incarnation.clone(), key.clone(), StartResult::Broken);
        self.post(Side::Agent(agent), broken);
        let down_ms = self.silent_restart_ms.unwrap_or(RESTART_DELAY_MS);
        self.restart_with_same_id(agent, down_ms);
        self.minions[agent].is_host_down = self.silent_restart_ms.is_some();
        false
    }

    /// Crashes the minions whose crash is due.
    pub(super) fn crash_due_minions(&mut self) {
        let now_ms = self.now_ms;
        let is_due = |(at_ms, ..): &mut (u64, usize, Incarnation)| *at_ms <= now_ms;
        let due: Vec<_> = self.pending_crashes.due.extract_if(.., is_due).collect();
        for (_, agent, incarnation) in due {
            if self.minions[agent].incarnation() == incarnation {
                self.restart_with_same_id(agent, RESTART_DELAY_MS);
            }
        }
        let is_over = |(_, at_ms): &&(usize, u64)| *at_ms <= now_ms;
        let unresponsive = self.pending_crashes.unresponsive.iter();
        let unresponsive: Vec<_> = unresponsive.filter(is_over).copied().collect();
        for (agent, at_ms) in unresponsive {
            let is_for_agent = |(other, ..): &mut (usize, Incarnation, RunKey)| *other == agent;
            let unread_starts: Vec<_> = self
                .pending_crashes
                .unread_starts
                .extract_if(.., is_for_agent)
                .collect();
            self.crash_minion_for(agent, 600);
            let over = (agent, at_ms);
            self.pending_crashes
                .unresponsive
                .retain(|other| *other != over);
            for (_, incarnation, key) in unread_starts {
                let broken = Event::Started(incarnation, key, StartResult::Broken);
                self.post(Side::Agent(agent), broken);
            }
        }
    }
}
