//! State of the served minion: its epoch, lease and calls, and when the agent gives it
//! up.

use crate::Agent;
use crate::AgentAction;
use crate::AgentHello;
use crate::AgentIdentity;
use crate::Crash;
use crate::Incarnation;
use crate::LinkId;
use crate::Listing;
use crate::MINION_LEASE_MS;
use crate::MinionReport;
use crate::OrderId;
use crate::Resources;
use crate::RunKey;
use crate::StopResult;
use crate::agent::call_loss::CallLoss;
use crate::agent::incarnations::Candidate;
use crate::agent::incarnations::Loss;
use crate::agent::listing_calls::LIST_TIMEOUT_MS;
use crate::agent::listing_calls::PendingListing;
use crate::agent::minion_clock::MinionClock;
use crate::agent::retained_ends::RetainedEnds;
use crate::agent::run_table::Phase;
use crate::lease::STOP_TIMEOUT_MS;
use crate::minion_calls::CallOutcome;

/// Pause before an unanswered stop is sent again, in milliseconds.
pub(crate) const STOP_RETRY_MS: u64 = 60;
/// Time without an answer after which a minion whose lease is over is given up, in
/// milliseconds.
const UNLEASED_TIMEOUT_MS: u64 = 250;
/// Time without a report after which a minion without runs is given up, in
/// milliseconds: two of its reports may be lost.
const REPORT_TIMEOUT_MS: u64 = 6_000;

/// Number of unacknowledged ends from which the minion gets no more starts. The minion
/// lists 500 ends, and runs far fewer tasks at a time than the remaining 100.
const MAX_UNACKNOWLEDGED_ENDS: u64 = 400;
/// Minimum number of consecutive unanswered calls before a minion counts as
/// unresponsive. An unresponsive minion gets no starts until it answers again.
const UNRESPONSIVE_CALLS: u32 = 3;
/// Minimum time without an answer before a minion counts as unresponsive, in
/// milliseconds: two consecutive starts with their timeouts.
const UNRESPONSIVE_MS: u64 = 120;
/// Consecutive refused connections that show that a minion has ended. A single one may
/// have reached it just before it listened.
const GONE_REFUSALS: u32 = 2;

/// One incarnation of the minion beside an agent.
#[derive(Debug)]
pub(crate) struct Minion {
    /// The last report.
    pub(crate) report: MinionReport,
    /// The agent's epoch for this incarnation; 0 until one is taken.
    pub(crate) epoch: u64,
    /// What is known of the minion's clock.
    pub(crate) clock: MinionClock,
    /// When the last report arrived.
    pub(crate) reported_ms: u64,
    /// When the last call was answered.
    pub(crate) answered_ms: u64,
    /// Latest end of the lease that any call requested, on the agent's clock.
    pub(crate) lease_until_ms: u64,
    /// Earliest end of the lease, as far as answered calls extended it, on the agent's
    /// clock.
    pub(crate) min_lease_until_ms: u64,
    /// Time until which runs may go on without the agent because a call that was meant for an
    /// earlier incarnation may have extended the lease; `None` until the minion has seen the
    /// agent's epoch, 0 if no call did.
    pub(crate) inherited_lease_until_ms: Option<u64>,
    /// Number of the last end that was listed.
    pub(crate) listed_through: u64,
    /// Number of the last end that is known to be acknowledged.
    pub(crate) acknowledged_through: u64,
    /// Whether no run of an earlier agent is left.
    pub(crate) has_no_leftovers: bool,
    /// Whether the minion, while it drained, said that it is about to end.
    pub(crate) has_left: bool,
    /// Whether a notice of departure arrived that an earlier incarnation may have sent.
    pub(crate) may_have_left: bool,
    pub(crate) pending_listings: Vec<PendingListing>,
    /// Number of unanswered or refused calls since the last answer.
    pub(crate) consecutive_unanswered: u32,
    /// Number of refused connections since the last other result.
    consecutive_refusals: u32,
    /// When the last call was answered, refused or timed out.
    last_call_ended_ms: u64,
    /// Fraction of unanswered calls.
    pub(crate) loss: CallLoss,
    /// When the next listing may be requested.
    pub(crate) next_listing_at_ms: u64,
    /// Runs of an earlier agent, each with the time when its last stop was sent.
    pub(crate) leftover_stops: Vec<(RunKey, u64)>,
    pub(crate) retained_ends: RetainedEnds,
}

impl Minion {
    pub(crate) fn new(now_ms: u64, report: MinionReport) -> Self {
        Self {
            clock: MinionClock::new(now_ms, report.clock_ms),
            report,
            epoch: 0,
            reported_ms: now_ms,
            answered_ms: now_ms,
            lease_until_ms: now_ms,
            min_lease_until_ms: now_ms,
            inherited_lease_until_ms: None,
            listed_through: 0,
            acknowledged_through: 0,
            has_no_leftovers: false,
            has_left: false,
            may_have_left: false,
            pending_listings: Vec::new(),
            consecutive_unanswered: 0,
            consecutive_refusals: 0,
            last_call_ended_ms: now_ms,
            loss: CallLoss::default(),
            next_listing_at_ms: now_ms,
            leftover_stops: Vec::new(),
            retained_ends: RetainedEnds::new(now_ms),
        }
    }

    pub(crate) fn is_accepting_starts(&self) -> bool {
        let is_staying = !self.is_leaving() && !self.may_have_left;
        self.has_no_leftovers && is_staying && self.is_answering() && self.can_list_more_ends()
    }

    /// Whether the minion can list the ends of all runs that it may still get.
    fn can_list_more_ends(&self) -> bool {
        let unacknowledged = self
            .listed_through
            .saturating_sub(self.acknowledged_through);
        unacknowledged < MAX_UNACKNOWLEDGED_ENDS
    }

    /// Whether a listing that was requested at `sent_ms` is of another incarnation with
    /// the same id: it has another start time, or its clock has gone backwards.
    pub(crate) fn is_of_other_incarnation(&self, sent_ms: u64, listing: &Listing) -> bool {
        let is_later = listing.clock_ms > 0 && sent_ms > self.clock.arrived_ms();
        let has_gone_backwards = is_later && listing.clock_ms < self.clock.reading_ms();
        let incarnation = &self.report.incarnation;
        has_gone_backwards || !incarnation.can_be_from(listing.started_unix_ms)
    }

    /// Whether the minion answers calls. Some calls may be unanswered by chance, but not
    /// all calls over a longer time.
    pub(crate) fn is_answering(&self) -> bool {
        let is_unresponsive = self.consecutive_unanswered >= UNRESPONSIVE_CALLS
            && self.last_call_ended_ms >= self.answered_ms + UNRESPONSIVE_MS;
        !is_unresponsive && self.consecutive_refusals < GONE_REFUSALS
    }

    /// Records the outcome of a call.
    pub(crate) fn record_call_outcome(&mut self, now_ms: u64, call_outcome: CallOutcome) {
        let is_answered = call_outcome == CallOutcome::Answered;
        self.loss.record(is_answered);
        self.last_call_ended_ms = now_ms;
        if is_answered {
            self.answered_ms = now_ms;
            self.consecutive_unanswered = 0;
        } else {
            self.consecutive_unanswered += 1;
        }
        self.consecutive_refusals = match call_outcome {
            CallOutcome::Refused => self.consecutive_refusals + 1,
            CallOutcome::Answered | CallOutcome::Unanswered => 0,
        };
    }

    /// Whether nobody accepts connections at the minion's address any more: its process
    /// has ended, and so have all runs there.
    fn is_gone(&self) -> bool {
        self.epoch > 0 && self.consecutive_refusals >= GONE_REFUSALS
    }

    /// Whether the minion said that it is about to leave.
    pub(crate) fn is_leaving(&self) -> bool {
        self.report.is_draining || self.has_left
    }

    pub(crate) fn incarnation(&self) -> &Incarnation {
        &self.report.incarnation
    }

    pub(crate) fn has_no_leftovers(&self) -> bool {
        self.has_no_leftovers
    }

    pub(crate) fn capacity(&self) -> Resources {
        self.report.capacity
    }

    pub(crate) fn hello(
        &self,
        identity: &AgentIdentity,
        now_ms: u64,
        crashes: Vec<Crash>,
    ) -> AgentHello {
        AgentHello {
            node: identity.node,
            host: identity.host.clone(),
            zone: identity.zone.clone(),
            service: self.report.service.clone(),
            labels: self.report.labels.clone(),
            capacity: self.report.capacity,
            clock_ms: now_ms,
            retained_ends: self.retained_ends.unowned(),
            crashes,
            incarnation: self.report.incarnation.to_string().into(),
            delayed_starts: Vec::new(),
            max_start_delay_ms: 0,
            inherited_lease_ms: self
                .inherited_lease_until_ms
                .unwrap_or(0)
                .saturating_sub(now_ms),
            witnessed_starts: Vec::new(),
        }
    }

    /// Number of the last end that may be acknowledged, if it is not acknowledged yet.
    pub(crate) fn acknowledgeable_through(&self) -> Option<u64> {
        let through = self
            .retained_ends
            .acknowledgeable_through(self.listed_through);
        (through > self.acknowledged_through).then_some(through)
    }

    /// Records that the lease is extended. Returns its new end on the minion's clock.
    pub(crate) fn extend_lease(&mut self, now_ms: u64) -> u64 {
        let deadline_ms = self.clock.min_at(now_ms) + MINION_LEASE_MS;
        self.lease_until_ms = self.lease_until_ms.max(self.clock.latest_ms(deadline_ms));
        deadline_ms
    }
}

impl Agent {
    /// Whether the lease may be extended: it may not while a stop has been unanswered
    /// for [`STOP_TIMEOUT_MS`], nor while the lease must lapse.
    pub(crate) fn can_extend_lease(&self, now_ms: u64) -> bool {
        let minion = self.minion.as_ref();
        if minion.is_some_and(|minion| minion.retained_ends.needs_lease_lapse()) {
            return false;
        }
        !self.runs.iter().any(|run| match run.phase {
            Phase::Stopping {
                since_ms,
                acked_ms: None,
                ..
            } => now_ms > since_ms + STOP_TIMEOUT_MS,
            _ => false,
        })
    }

    /// Records which runs may have lapsed. It must be called before the lease is extended,
    /// before a broken connection is taken for evidence, and before the minion is given up.
    pub(crate) fn note_lapsed_lease(&mut self, now_ms: u64) {
        if let Some(minion) = &self.minion {
            self.runs
                .note_lapsed_lease(now_ms, minion.min_lease_until_ms);
        }
    }

    /// Stops a run, unless it is being stopped already.
    pub(crate) fn stop_run(&mut self, now_ms: u64, link: LinkId, order: OrderId) {
        let min_clock_ms = self.min_minion_clock_at(now_ms);
        let Some(run) = self.runs.get_mut(link, order) else {
            return;
        };
        if !matches!(run.phase, Phase::Stopping { .. }) {
            run.phase = Phase::Stopping {
                since_ms: now_ms,
                acked_ms: None,
                tried_ms: now_ms,
                min_clock_ms,
            };
            let key = run.key.clone();
            self.send_stop(key);
        }
    }

    /// Lowest possible reading of the served minion's clock at `now_ms`.
    fn min_minion_clock_at(&self, now_ms: u64) -> u64 {
        let minion = self.minion.as_ref();
        minion.map_or(0, |minion| minion.clock.min_at(now_ms))
    }

    pub(crate) fn send_stop(&mut self, key: RunKey) {
        if let Some(minion) = &self.minion {
            let stop = AgentAction::Stop {
                incarnation: minion.report.incarnation.clone(),
                key,
                epoch: minion.epoch,
            };
            let stops = std::iter::repeat_n(stop, minion.loss.hedged_calls() as usize);
            self.actions.extend(stops);
        }
    }

    /// Handles the result of a stop call. The answer doesn't contain a start time, so the
    /// clock shows whether the next incarnation with the same id has answered. That one
    /// has never had the run, and its answer is no sign that the run was stopped. A late
    /// answer to a stop that was sent again since may be ignored as well.
    pub fn stop_answered(
        &mut self,
        now_ms: u64,
        incarnation: &Incarnation,
        key: &RunKey,
        result: StopResult,
    ) {
        let StopResult::Acknowledged { clock_ms } = result else {
            return;
        };
        if !self.serves(incarnation) {
            return;
        }
        let Some((link, order)) = self.runs.find(key) else {
            return;
        };
        let Some(run) = self.runs.get_mut(link, order) else {
            return;
        };
        let Phase::Stopping {
            acked_ms,
            min_clock_ms,
            ..
        } = &mut run.phase
        else {
            return;
        };
        if clock_ms > 0 && clock_ms < *min_clock_ms {
            let detail = format!(
                "run={} clock_ms={clock_ms} min_clock_ms={min_clock_ms}",
                key.run
            );
            let job = Some(key.task.job.clone());
            self.event("stop-answer-ignored", job, detail);
            return;
        }
        acked_ms.get_or_insert(now_ms);
    }

    /// Sends unanswered stops again. Gives the minion up when its process has ended,
    /// when its lease is over and it has left or answers no calls, or when it has no
    /// runs and sends no reports.
    pub(crate) fn watch_minion(&mut self, now_ms: u64) {
        self.retry_stops(now_ms);
        let Some(minion) = &self.minion else {
            return;
        };
        let is_unanswered = now_ms > minion.answered_ms + UNLEASED_TIMEOUT_MS;
        let has_runs = self.runs.has_sent_starts();
        let is_lease_over = now_ms > minion.lease_until_ms;
        let has_recent_report = now_ms <= minion.reported_ms + REPORT_TIMEOUT_MS;
        if minion.is_gone() {
            // The process has ended, so its lease need not lapse first.
            let loss = Loss::of(minion);
            self.event("minion-refuses", None, format!("loss={loss:?}"));
            self.lose_minion(now_ms, loss);
        } else if is_lease_over && minion.has_left {
            self.lose_minion(now_ms, Loss::Gone);
        } else if is_lease_over && is_unanswered && has_runs {
            let loss = match Loss::of(minion) {
                Loss::Crashed => Loss::Silent,
                other => other,
            };
            self.event("minion-silent", None, String::new());
            self.lose_minion(now_ms, loss);
        } else if !has_recent_report && !has_runs {
            self.event("minion-unreported", None, String::new());
            self.lose_minion(now_ms, Loss::Gone);
        }
    }

    pub(crate) fn retry_stops(&mut self, now_ms: u64) {
        let latest_min_clock_ms = self.min_minion_clock_at(now_ms);
        let mut due = Vec::new();
        for run in self.runs.iter_mut() {
            if let Phase::Stopping {
                acked_ms: None,
                tried_ms,
                min_clock_ms,
                ..
            } = &mut run.phase
                && now_ms >= *tried_ms + STOP_RETRY_MS
            {
                *tried_ms = now_ms;
                *min_clock_ms = latest_min_clock_ms;
                due.push(run.key.clone());
            }
        }
        for key in due {
            self.send_stop(key);
        }
    }

    pub(crate) fn minion_due_ms(&self, now_ms: u64) -> Option<u64> {
        let candidate_ms = self.candidate.as_ref().map(Candidate::due_ms);
        let Some(minion) = &self.minion else {
            return candidate_ms;
        };
        let listings_ms = minion
            .pending_listings
            .iter()
            .map(|pending| pending.overdue_at_ms)
            .min();
        let has_runs = self.runs.has_sent_starts();
        let lease_ms = (has_runs || minion.has_left).then_some(minion.lease_until_ms + 1);
        let reports_ms = Some(minion.reported_ms + REPORT_TIMEOUT_MS + 1);
        let stops = self.runs.iter().filter_map(|run| match run.phase {
            Phase::Stopping {
                acked_ms: None,
                tried_ms,
                ..
            } => Some(tried_ms + STOP_RETRY_MS),
            _ => None,
        });
        let retries_ms = self.runs.iter().filter_map(|run| run.retry_at_ms).min();
        let next_hedge = |run| Self::next_hedge_ms(minion, run);
        let hedges_ms = self.runs.iter().filter_map(next_hedge).min();
        let next_listing_at_ms = Some(minion.next_listing_at_ms);
        let ends_ms = minion.retained_ends.due_ms(minion.lease_until_ms);
        let stops_ms = stops.min();
        let times = [
            listings_ms,
            lease_ms,
            reports_ms,
            stops_ms,
            retries_ms,
            hedges_ms,
            next_listing_at_ms,
            candidate_ms,
            ends_ms,
            self.check_due_ms(),
            self.delayed_calls.possible_until_ms(now_ms),
        ];
        let due_ms = times
            .into_iter()
            .flatten()
            .filter(|due_ms| *due_ms > now_ms)
            .min();
        due_ms.or(Some(now_ms + LIST_TIMEOUT_MS))
    }
}
