//! How an agent keeps its minion: epoch, lease, listings, and what they tell.

use gannetvane_wire::Name;

use crate::Agent;
use crate::AgentAction;
use crate::AgentHello;
use crate::AgentIdentity;
use crate::Busy;
use crate::End;
use crate::LinkId;
use crate::Listing;
use crate::MINION_LEASE_MS;
use crate::MinionReport;
use crate::OrderId;
use crate::Room;
use crate::RunKey;
use crate::Running;
use crate::StartResult;
use crate::lease::STOP_PATIENCE_MS;
use crate::pace::Pace;
use crate::runtable::Phase;
use crate::runtable::Run;

/// Time that a listing may wait for an end, in milliseconds; the lease is
/// extended at least that often.
const HOLD_WAIT_MS: u64 = 120;
/// The same while a stopped run is still to be seen gone.
const HOLD_WAIT_STOPPING_MS: u64 = 15;
/// Time past its wait after which a listing counts as unanswered, in
/// milliseconds; a minion on the same host answers within a few.
const HOLD_PATIENCE_MS: u64 = 40;
/// Pause before a stop without an answer is sent again, in milliseconds.
const STOP_RETRY_MS: u64 = 60;
/// Time without an answer after which the minion gets no more starts.
const SILENCE_MS: u64 = 250;
/// Time without a report of the minion after which it gets no more starts:
/// two of its reports may be lost.
const REPORTS_LOST_MS: u64 = 6_000;

/// Starts that are sent before a run without an answer is given up.
const START_TRIES: u32 = 3;
/// Least time between two starts of a run, in milliseconds.
const START_RETRY_MS: u64 = 50;
/// Calls in a row without an answer after which the minion gets no more
/// starts until it answers again.
const UNANSWERED: u32 = 3;
/// First and longest pause before the minion is asked again after a call
/// without an answer, in milliseconds.
const ASK_AGAIN_MS: u64 = 15;
const ASK_AGAIN_LONGEST_MS: u64 = 240;

/// Percentage of a run that is done.
const ALL_DONE: u8 = 100;

/// One lifetime of the minion beside an agent.
#[derive(Debug)]
pub(crate) struct Minion {
    report: MinionReport,
    /// The agent's epoch at this lifetime; 0 while it is unknown.
    epoch: u64,
    /// The minion's clock, and when it was read.
    clock_ms: u64,
    clock_read_ms: u64,
    reported_ms: u64,
    answered_ms: u64,
    /// Latest end of the lease that any call asked for, on our clock.
    lease_until_ms: u64,
    finished_through: u64,
    acked_through: u64,
    /// Whether nothing of an earlier agent is left.
    is_clean: bool,
    has_left: bool,
    holds: Vec<HoldCall>,
    /// Calls in a row without an answer.
    unanswered: u32,
    /// When it may be asked again.
    ask_ms: u64,
    leftovers: Vec<(RunKey, u64)>,
}

/// A listing under way.
#[derive(Clone, Copy, Debug)]
struct HoldCall {
    call: u64,
    sent_ms: u64,
    overdue_ms: u64,
    acked_through: u64,
}

impl Minion {
    fn new(now_ms: u64, report: MinionReport) -> Self {
        Self {
            clock_ms: report.clock_ms,
            report,
            epoch: 0,
            clock_read_ms: now_ms,
            reported_ms: now_ms,
            answered_ms: now_ms,
            lease_until_ms: now_ms,
            finished_through: 0,
            acked_through: 0,
            is_clean: false,
            has_left: false,
            holds: Vec::new(),
            unanswered: 0,
            ask_ms: now_ms,
            leftovers: Vec::new(),
        }
    }

    pub(crate) fn is_open(&self) -> bool {
        self.is_clean && !self.report.is_draining && !self.has_left && self.is_answering()
    }

    fn is_answering(&self) -> bool {
        self.unanswered < UNANSWERED
    }

    /// Notes whether a call was answered.
    fn judge(&mut self, is_answered: bool) {
        if is_answered {
            self.unanswered = 0;
        } else {
            self.unanswered += 1;
        }
    }

    pub(crate) fn is_clean(&self) -> bool {
        self.is_clean
    }

    pub(crate) fn capacity(&self) -> Room {
        self.report.capacity
    }

    pub(crate) fn hello(&self, identity: &AgentIdentity, now_ms: u64) -> AgentHello {
        AgentHello {
            node: identity.node,
            host: identity.host.clone(),
            zone: identity.zone.clone(),
            service: self.report.service.clone(),
            labels: self.report.labels.clone(),
            capacity: self.report.capacity,
            clock_ms: now_ms,
        }
    }

    fn clock_at(&self, now_ms: u64) -> u64 {
        self.clock_ms + now_ms.saturating_sub(self.clock_read_ms)
    }

    fn read_clock(&mut self, now_ms: u64, clock_ms: u64) {
        self.answered_ms = now_ms;
        if clock_ms > 0 {
            self.clock_ms = clock_ms;
            self.clock_read_ms = now_ms;
        }
    }

    fn extend_lease(&mut self, now_ms: u64) -> u64 {
        let margin_ms = MINION_LEASE_MS / 50;
        self.lease_until_ms = now_ms + MINION_LEASE_MS + margin_ms;
        self.clock_at(now_ms) + MINION_LEASE_MS
    }
}

impl Agent {
    /// The minion reported itself.
    pub fn minion_reported(&mut self, now_ms: u64, report: MinionReport) {
        match &mut self.minion {
            Some(minion) if minion.report.instance == report.instance => {
                if report.sequence < minion.report.sequence {
                    return;
                }
                minion.reported_ms = now_ms;
                let was_draining = minion.report.is_draining;
                minion.report = report;
                if minion.report.is_draining && !was_draining {
                    self.note("minion-draining", None, String::new());
                }
            }
            _ => {
                let detail = format!(
                    "instance={} capacity={:?}",
                    report.instance, report.capacity
                );
                self.note("minion-found", None, detail);
                self.lose_minion(now_ms);
                self.pace = Pace::default();
                self.minion = Some(Minion::new(now_ms, report));
                self.hold_if_due(now_ms);
            }
        }
        self.refuse_parked(now_ms);
    }

    /// The minion said that it is about to end.
    pub fn minion_left(&mut self, now_ms: u64, instance: &str) {
        if let Some(minion) = &mut self.minion
            && &*minion.report.instance == instance
        {
            minion.has_left = true;
            self.note("minion-left", None, format!("instance={instance}"));
            self.refuse_parked(now_ms);
        }
    }

    /// Whether the lease may be extended: not while a stop has no answer.
    pub(crate) fn may_extend_lease(&self, now_ms: u64) -> bool {
        !self.runs.iter().any(|run| match run.phase {
            Phase::Stopping {
                since_ms,
                acked_ms: None,
                ..
            } => now_ms > since_ms + STOP_PATIENCE_MS,
            _ => false,
        })
    }

    pub(crate) fn start_run(&mut self, now_ms: u64, link: LinkId, order: OrderId) {
        let (Some(minion), Some(run)) = (&mut self.minion, self.runs.get_mut(link, order)) else {
            return;
        };
        run.phase = Phase::Starting;
        run.repeat_ms = None;
        run.started_ms = now_ms;
        run.read_ms = now_ms;
        run.changed_ms = now_ms;
        let deadline_ms = minion.extend_lease(now_ms);
        self.actions.push(AgentAction::Start {
            instance: minion.report.instance.clone(),
            key: run.key.clone(),
            spec: run.spec.clone(),
            deadline_ms,
            epoch: minion.epoch,
        });
    }

    pub(crate) fn stop_run(&mut self, now_ms: u64, link: LinkId, order: OrderId) {
        let Some(run) = self.runs.get_mut(link, order) else {
            return;
        };
        if !matches!(run.phase, Phase::Stopping { .. }) {
            run.phase = Phase::Stopping {
                since_ms: now_ms,
                acked_ms: None,
                tried_ms: now_ms,
            };
            let key = run.key.clone();
            self.send_stop(key);
        }
    }

    fn send_stop(&mut self, key: RunKey) {
        if let Some(minion) = &self.minion {
            self.actions.push(AgentAction::Stop {
                instance: minion.report.instance.clone(),
                key,
                epoch: minion.epoch,
            });
        }
    }

    /// The minion answered a start, or did not.
    pub fn start_answered(
        &mut self,
        now_ms: u64,
        instance: &str,
        key: &RunKey,
        result: StartResult,
    ) {
        if !self.is_instance(instance) {
            return;
        }
        if let Some(minion) = &mut self.minion
            && result != StartResult::NoAnswer
        {
            minion.answered_ms = now_ms;
        }
        if let Some(minion) = &mut self.minion {
            minion.judge(result != StartResult::NoAnswer);
        }
        let Some((link, order)) = self.runs.find(key) else {
            return;
        };
        let Some(run) = self.runs.get_mut(link, order) else {
            return;
        };
        let is_stopping = matches!(run.phase, Phase::Stopping { .. });
        match result {
            StartResult::Started => {
                run.was_seen = true;
                run.confirmed_ms = now_ms;
                if !is_stopping {
                    run.phase = Phase::Running;
                }
            }
            StartResult::NoAnswer => self.start_unanswered(now_ms, link, order),
            StartResult::OtherInstance => self.lose_minion(now_ms),
            refused => self.start_refused(now_ms, link, order, refused),
        }
    }

    /// The same start may be sent again: the minion takes it once.
    fn start_unanswered(&mut self, now_ms: u64, link: LinkId, order: OrderId) {
        let Some(run) = self.runs.get_mut(link, order) else {
            return;
        };
        run.unanswered += 1;
        let job = run.key.task.job.clone();
        let detail = format!("run={} tries={}", run.key.run, run.unanswered);
        if run.phase == Phase::Starting && run.unanswered < START_TRIES {
            run.repeat_ms = Some((run.started_ms + START_RETRY_MS).max(now_ms + 1));
        } else if run.phase == Phase::Starting {
            self.stop_run(now_ms, link, order);
        }
        self.note("start-unanswered", Some(job), detail);
    }

    /// Sends starts again that got no answer.
    pub(crate) fn repeat_starts(&mut self, now_ms: u64) {
        let is_due = |run: &&Run| {
            let is_due = run.repeat_ms.is_some_and(|repeat_ms| now_ms >= repeat_ms);
            is_due && run.phase == Phase::Starting
        };
        let due = self.runs.iter().filter(is_due);
        let due: Vec<(LinkId, OrderId)> = due.map(|run| (run.link, run.order)).collect();
        if due.is_empty() || !self.may_extend_lease(now_ms) {
            return;
        }
        for (link, order) in due {
            self.start_run(now_ms, link, order);
        }
    }

    fn start_refused(&mut self, now_ms: u64, link: LinkId, order: OrderId, result: StartResult) {
        let Some(run) = self.runs.remove(link, order) else {
            return;
        };
        let busy = match result {
            StartResult::OldRun => Busy::OldRun,
            StartResult::NoRoom => Busy::Full,
            _ => Busy::Unhealthy,
        };
        let end = match run.phase {
            Phase::Stopping { .. } => End::Stopped,
            _ => End::NotStarted(busy),
        };
        self.note(
            "start-refused",
            Some(run.key.task.job.clone()),
            format!(
                "task={}.{} run={} by={result:?}",
                run.key.task.step, run.key.task.index, run.key.run
            ),
        );
        self.report_end(link, order, end, 0);
        if result == StartResult::Fenced
            && let Some(minion) = &mut self.minion
        {
            minion.epoch = 0;
            minion.is_clean = false;
        }
        self.start_parked(now_ms);
    }

    /// The minion answered a stop, or did not.
    pub fn stop_answered(&mut self, now_ms: u64, instance: &str, key: &RunKey, is_done: bool) {
        if !self.is_instance(instance) || !is_done {
            return;
        }
        let Some((link, order)) = self.runs.find(key) else {
            return;
        };
        if let Some(run) = self.runs.get_mut(link, order)
            && let Phase::Stopping { acked_ms, .. } = &mut run.phase
        {
            acked_ms.get_or_insert(now_ms);
        }
    }

    /// The minion listed what runs, or gave no answer.
    pub fn listed(&mut self, now_ms: u64, instance: &str, call: u64, listing: Option<Listing>) {
        if !self.is_instance(instance) {
            return;
        }
        let Some(minion) = &mut self.minion else {
            return;
        };
        let position = minion.holds.iter().position(|hold| hold.call == call);
        let Some(hold) = position.map(|position| minion.holds.remove(position)) else {
            return;
        };
        minion.judge(listing.is_some());
        let Some(listing) = listing else {
            let doubled_ms = ASK_AGAIN_MS << minion.unanswered.min(5);
            minion.ask_ms = now_ms + doubled_ms.min(ASK_AGAIN_LONGEST_MS);
            return;
        };
        minion.ask_ms = now_ms;
        minion.holds.retain(|other| other.sent_ms > hold.sent_ms);
        minion.read_clock(now_ms, listing.clock_ms);
        if minion.epoch == 0 {
            // The clock never runs back within a lifetime, so the epoch is
            // above that of any agent before.
            minion.epoch = listing.clock_ms.max(1);
            let epoch = minion.epoch;
            self.note("epoch-taken", None, format!("epoch={epoch}"));
            self.hold_if_due(now_ms);
            return;
        }
        minion.acked_through = minion.acked_through.max(hold.acked_through);
        self.take_ends(now_ms, &listing);
        self.take_running(now_ms, hold.sent_ms, &listing.running);
        self.start_parked(now_ms);
    }

    fn take_ends(&mut self, now_ms: u64, listing: &Listing) {
        for finished in &listing.finished {
            let Some(minion) = &mut self.minion else {
                return;
            };
            if finished.number <= minion.finished_through {
                continue;
            }
            minion.finished_through = finished.number;
            let place = finished.key.as_ref().and_then(|key| self.runs.find(key));
            let Some((link, order)) = place else {
                continue;
            };
            if let Some(mut run) = self.runs.remove(link, order) {
                if finished.end == End::Done {
                    let (done_ms, spent_ms) = run.advance(now_ms, ALL_DONE);
                    self.pace.add(now_ms, done_ms, spent_ms);
                }
                self.report_end(link, order, finished.end, run.ran_ms(now_ms));
            }
        }
    }

    /// Compares the listing with what should run. A listing tells of a run
    /// only if it was asked for after the run's last answer.
    fn take_running(&mut self, now_ms: u64, asked_ms: u64, running: &[Running]) {
        let mut gone = Vec::new();
        for run in self.runs.iter_mut().filter(|run| run.takes_room()) {
            let listed = running
                .iter()
                .find(|row| row.key.as_ref() == Some(&run.key));
            if let Some(row) = listed {
                run.was_seen = true;
                let (done_ms, spent_ms) = run.advance(now_ms, row.percent);
                self.pace.add(now_ms, done_ms, spent_ms);
                if run.phase == Phase::Starting {
                    run.phase = Phase::Running;
                    run.confirmed_ms = now_ms;
                }
            } else if is_surely_gone(run.phase, run.confirmed_ms, asked_ms) {
                gone.push((run.link, run.order));
            }
        }
        for (link, order) in gone {
            self.run_vanished(now_ms, link, order);
        }
        self.stop_strangers(now_ms, running);
    }

    fn run_vanished(&mut self, now_ms: u64, link: LinkId, order: OrderId) {
        let Some(run) = self.runs.remove(link, order) else {
            return;
        };
        let end = match run.phase {
            Phase::Running => End::Lost,
            _ if run.was_seen => End::Stopped,
            _ if run.unanswered > 0 => End::NotStarted(Busy::NoAnswer),
            _ => End::Stopped,
        };
        self.report_end(link, order, end, run.ran_ms(now_ms));
    }

    /// Stops what an earlier agent left on the minion, and begins to serve
    /// when nothing of it is listed any more.
    fn stop_strangers(&mut self, now_ms: u64, running: &[Running]) {
        let is_known = |key: &RunKey| self.runs.find(key).is_some();
        let keys = running.iter().filter_map(|row| row.key.clone());
        let strangers: Vec<RunKey> = keys.filter(|key| !is_known(key)).collect();
        let Some(minion) = &mut self.minion else {
            return;
        };
        if strangers.is_empty() && !minion.is_clean {
            minion.is_clean = true;
            self.note("minion-served", None, String::new());
            self.greet_links(now_ms);
            return;
        }
        let is_due = |key: &RunKey| {
            let tried = minion.leftovers.iter().find(|(tried, _)| tried == key);
            tried.is_none_or(|(_, tried_ms)| now_ms >= tried_ms + STOP_RETRY_MS)
        };
        let due: Vec<RunKey> = strangers.into_iter().filter(is_due).collect();
        minion.leftovers.retain(|(key, _)| !due.contains(key));
        minion
            .leftovers
            .extend(due.iter().map(|key| (key.clone(), now_ms)));
        for key in due {
            self.note(
                "leftover-stopped",
                Some(key.task.job.clone()),
                format!("run={}", key.run),
            );
            self.send_stop(key);
        }
    }

    /// Repeats stops without an answer, and gives the minion up when its last
    /// lease is over.
    pub(crate) fn watch_minion(&mut self, now_ms: u64) {
        self.repeat_stops(now_ms);
        let Some(minion) = &self.minion else {
            return;
        };
        let is_silent = now_ms > minion.answered_ms + SILENCE_MS;
        let has_runs = self.runs.iter().any(Run::takes_room);
        let is_over = now_ms > minion.lease_until_ms;
        let has_reports = now_ms <= minion.reported_ms + REPORTS_LOST_MS;
        if is_over && minion.has_left {
            self.lose_minion(now_ms);
        } else if is_over && is_silent && has_runs {
            self.note("minion-silent", None, String::new());
            self.lose_minion(now_ms);
        } else if !has_reports && !has_runs {
            self.note("minion-unreported", None, String::new());
            self.lose_minion(now_ms);
        }
    }

    fn repeat_stops(&mut self, now_ms: u64) {
        let mut again = Vec::new();
        for run in self.runs.iter_mut() {
            if let Phase::Stopping {
                acked_ms: None,
                tried_ms,
                ..
            } = &mut run.phase
                && now_ms >= *tried_ms + STOP_RETRY_MS
            {
                *tried_ms = now_ms;
                again.push(run.key.clone());
            }
        }
        for key in again {
            self.send_stop(key);
        }
    }

    /// Nothing that was started runs any more; all ends as lost.
    fn lose_minion(&mut self, now_ms: u64) {
        if self.minion.is_none() {
            return;
        }
        let places: Vec<(LinkId, OrderId)> =
            self.runs.iter().map(|run| (run.link, run.order)).collect();
        for (link, order) in places {
            if let Some(run) = self.runs.remove(link, order) {
                let end = match run.phase {
                    Phase::Parked => End::NotStarted(Busy::Closing),
                    _ => End::Lost,
                };
                self.report_end(link, order, end, run.ran_ms(now_ms));
            }
        }
        self.send_frames(now_ms);
        self.minion = None;
        self.close_links(now_ms);
    }

    /// Lists when there is something to learn and no listing is under way.
    pub(crate) fn hold_if_due(&mut self, now_ms: u64) {
        let may_extend = self.may_extend_lease(now_ms);
        let has_runs = self.runs.iter().any(Run::takes_room);
        let is_resolving = self
            .runs
            .iter()
            .any(|run| matches!(run.phase, Phase::Stopping { .. }));
        let Some(minion) = &mut self.minion else {
            return;
        };
        let has_ends = minion.finished_through > minion.acked_through;
        let is_wanted = has_runs || has_ends || !minion.is_clean || !minion.is_answering();
        let is_waiting = minion.holds.iter().any(|hold| now_ms < hold.overdue_ms);
        if !is_wanted || is_waiting || minion.has_left || now_ms < minion.ask_ms {
            return;
        }
        let wait_ms = match (has_runs, is_resolving, minion.holds.is_empty()) {
            (true, false, true) => HOLD_WAIT_MS,
            (true, true, true) => HOLD_WAIT_STOPPING_MS,
            _ => 0,
        };
        let is_leased = has_runs && may_extend && minion.epoch > 0;
        let deadline_ms = is_leased.then(|| minion.extend_lease(now_ms));
        let call = self.next_call;
        self.next_call += 1;
        minion.holds.push(HoldCall {
            call,
            sent_ms: now_ms,
            overdue_ms: now_ms + wait_ms + HOLD_PATIENCE_MS,
            acked_through: minion.finished_through,
        });
        self.actions.push(AgentAction::Hold {
            call,
            instance: minion.report.instance.clone(),
            epoch: minion.epoch,
            acked_through: minion.finished_through,
            deadline_ms,
            wait_ms,
        });
    }

    pub(crate) fn minion_due_ms(&self, now_ms: u64) -> Option<u64> {
        let minion = self.minion.as_ref()?;
        let holds_ms = minion.holds.iter().map(|hold| hold.overdue_ms).min();
        let has_runs = self.runs.iter().any(Run::takes_room);
        let lease_ms = (has_runs || minion.has_left).then_some(minion.lease_until_ms + 1);
        let reports_ms = Some(minion.reported_ms + REPORTS_LOST_MS + 1);
        let stops = self.runs.iter().filter_map(|run| match run.phase {
            Phase::Stopping {
                acked_ms: None,
                tried_ms,
                ..
            } => Some(tried_ms + STOP_RETRY_MS),
            _ => None,
        });
        let repeats_ms = self.runs.iter().filter_map(|run| run.repeat_ms).min();
        let ask_ms = Some(minion.ask_ms);
        let stops_ms = stops.min();
        let times = [holds_ms, lease_ms, reports_ms, stops_ms, repeats_ms, ask_ms];
        let due_ms = times
            .into_iter()
            .flatten()
            .filter(|due_ms| *due_ms > now_ms)
            .min();
        due_ms.or(Some(now_ms + HOLD_PATIENCE_MS))
    }

    fn is_instance(&self, instance: &str) -> bool {
        let current = self.minion.as_ref().map(|minion| &*minion.report.instance);
        current == Some(instance)
    }
}

/// Whether a run that is not listed is gone for good.
fn is_surely_gone(phase: Phase, confirmed_ms: u64, asked_ms: u64) -> bool {
    match phase {
        Phase::Parked | Phase::Starting => false,
        Phase::Running => asked_ms > confirmed_ms,
        Phase::Stopping { acked_ms, .. } => acked_ms.is_some_and(|acked_ms| asked_ms > acked_ms),
    }
}

/// Names used by the process around the agent.
impl Agent {
    /// The lifetime of the present minion.
    #[must_use]
    pub fn instance(&self) -> Option<Name> {
        self.minion
            .as_ref()
            .map(|minion| minion.report.instance.clone())
    }
}
