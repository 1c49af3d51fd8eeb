//! Table of the runs that an agent has admitted and that have not ended.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use gannetvane_wire::Name;

use crate::CrashEvidence;
use crate::LinkId;
use crate::OrderId;
use crate::Report;
use crate::Resources;
use crate::RunKey;
use crate::StartOrder;
use crate::StartResult;
use crate::Suspicion;

/// Time within which a minion that answers calls has read a call, in milliseconds. A minion
/// on the same host reads a call at once.
pub(crate) const READ_AT_ONCE_MS: u64 = 5;

/// Phase of a run on the minion.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// The minion must answer a listing before the start is sent.
    Checking,
    /// The start was sent and is not known to be carried out.
    Starting,
    /// The minion runs it.
    Running,
    /// A stop was sent, and the run may still be listed.
    Stopping {
        /// When the stop was requested.
        since_ms: u64,
        /// When the served incarnation acknowledged the stop.
        acked_ms: Option<u64>,
        /// When the last stop was sent.
        tried_ms: u64,
        /// Lowest possible reading of the served incarnation's clock in an answer to the
        /// last stop.
        min_clock_ms: u64,
    },
}

/// One run.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    /// Link of the entry that ordered the run.
    pub(crate) link: LinkId,
    pub(crate) order: OrderId,
    /// Number of the start order on its link.
    pub(crate) number: u64,
    pub(crate) key: RunKey,
    pub(crate) spec: Name,
    /// How strongly its task is suspected to crash its minions.
    pub(crate) suspicion: Suspicion,
    /// Whether the minion has run it for as long as its probation since its last start.
    has_passed_probation: bool,
    pub(crate) needs: Resources,
    pub(crate) phase: Phase,
    /// When the order arrived, or when the last start was begun.
    pub(crate) started_ms: u64,
    /// Expected run time in milliseconds.
    pub(crate) expected_ms: u32,
    /// Percentage of the work that is done.
    pub(crate) percent: u8,
    /// When the percentage was last read.
    pub(crate) read_ms: u64,
    /// When the percentage last changed.
    pub(crate) changed_ms: u64,
    /// When the minion was last known to run it.
    pub(crate) confirmed_ms: u64,
    /// Whether an answer to a start or a listing showed that the minion runs it.
    pub(crate) was_seen_running: bool,
    /// Whether the served incarnation listed it.
    pub(crate) was_listed: bool,
    /// Number of start calls that are not answered yet.
    pub(crate) pending: u32,
    /// Number of hedged calls of the last start that were sent.
    pub(crate) hedged_calls: u32,
    /// When the last start call was sent.
    pub(crate) sent_ms: u64,
    /// Why a hedged call of the last start was refused.
    pub(crate) refusal: Option<StartResult>,
    /// Whether a hedged call of the last start got no answer.
    pub(crate) is_outcome_unknown: bool,
    /// When a connection broke in a way that is strong crash evidence: the connection
    /// of the run's start broke right after the call was sent, or the connection of a
    /// listing broke while the listing waited for an end and the minion had the run.
    pub(crate) connection_broke_ms: Option<u64>,
    /// Whether the connection of a start broke right after the call was sent.
    has_broken_start: bool,
    /// Whether the connection of a start broke so long after the call was sent that the
    /// minion may not have read it.
    is_read_uncertain: bool,
    /// Earliest end of the lease that the last start requests, on the agent's clock.
    pub(crate) min_lease_until_ms: u64,
    /// When the agent found that the run may have ended without a report, until the minion is
    /// known to run it since: its lease may have lapsed, or the minion breaks all calls.
    may_have_ended_ms: Option<u64>,
    /// When the connection of a start broke, until a listing shows that the incarnation that
    /// it was sent to is still there.
    pub(crate) awaits_listing_since_ms: Option<u64>,
    /// Number of starts that got no answer.
    pub(crate) unanswered: u32,
    /// When the start is sent again.
    pub(crate) retry_at_ms: Option<u64>,
}

impl Run {
    pub(crate) fn new(
        now_ms: u64,
        link: LinkId,
        number: u64,
        spec: Name,
        start: StartOrder,
    ) -> Self {
        Self {
            link,
            order: start.id,
            number,
            key: RunKey {
                task: start.task,
                run: start.run,
            },
            spec,
            suspicion: start.suspicion,
            has_passed_probation: false,
            needs: start.needs,
            phase: match start.suspicion.is_suspect() {
                true => Phase::Checking,
                false => Phase::Starting,
            },
            started_ms: now_ms,
            expected_ms: start.expected_ms,
            percent: 0,
            read_ms: now_ms,
            changed_ms: now_ms,
            confirmed_ms: now_ms,
            was_seen_running: false,
            was_listed: false,
            pending: 0,
            hedged_calls: 0,
            sent_ms: now_ms,
            refusal: None,
            is_outcome_unknown: false,
            connection_broke_ms: None,
            has_broken_start: false,
            is_read_uncertain: false,
            min_lease_until_ms: 0,
            may_have_ended_ms: None,
            awaits_listing_since_ms: None,
            unanswered: 0,
            retry_at_ms: None,
        }
    }

    /// Begins the probation of the run with a new start.
    pub(crate) fn begin_probation(&mut self) {
        self.has_passed_probation = false;
    }

    /// Records that a listing which was requested at `sent_ms` shows the run.
    pub(crate) fn listed(&mut self, sent_ms: u64) {
        self.was_listed = true;
        self.has_passed_probation |= sent_ms >= self.probation_until_ms();
    }

    fn probation_until_ms(&self) -> u64 {
        self.started_ms + self.suspicion.probation_ms()
    }

    /// Whether the run is a suspect that has not passed its probation.
    pub(crate) fn is_on_probation(&self) -> bool {
        self.suspicion.is_suspect() && !self.has_passed_probation
    }

    /// Whether a listing that is requested now ends the probation of the run, if it shows
    /// the run.
    fn ends_probation_at(&self, now_ms: u64) -> bool {
        self.phase == Phase::Running && now_ms >= self.probation_until_ms()
    }

    /// Records the progress of the run. Returns the expected work done and the time
    /// spent since the last reading, both in milliseconds.
    pub(crate) fn advance(&mut self, now_ms: u64, percent: u8) -> (f64, u64) {
        let gained = f64::from(percent.saturating_sub(self.percent));
        let spent_ms = now_ms.saturating_sub(self.read_ms);
        if percent != self.percent {
            self.percent = percent;
            self.changed_ms = now_ms;
        }
        self.read_ms = now_ms;
        (gained / 100.0 * f64::from(self.expected_ms), spent_ms)
    }

    /// Whether a later incarnation of the minion with the same id may carry out the
    /// run. It may if a start call got no answer. It also may if no listing has shown the
    /// run: the answer to a start doesn't contain the start time of the incarnation that
    /// sent it.
    pub(crate) fn may_run_in_next_incarnation(&self) -> bool {
        !self.was_listed || self.pending > 0 || self.is_outcome_unknown || self.unanswered > 0
    }

    /// Whether a start of the run was sent, so that the minion may have it.
    fn has_sent_start(&self) -> bool {
        self.hedged_calls > 0 || self.unanswered > 0 || self.was_seen_running
    }

    /// Whether no start of the run is sent any more and none is pending.
    fn is_start_settled(&self) -> bool {
        let may_send_starts = matches!(self.phase, Phase::Checking | Phase::Starting);
        !may_send_starts && self.pending == 0
    }

    /// Records that the connection of a start broke after the call was sent. If that
    /// took long, the minion may have been suspended for all that time and not have
    /// read the call.
    fn start_connection_broke(&mut self, now_ms: u64) {
        self.awaits_listing_since_ms = Some(now_ms);
        if now_ms <= self.sent_ms + READ_AT_ONCE_MS {
            self.connection_broke_ms = Some(now_ms);
            self.has_broken_start = true;
        } else {
            self.is_read_uncertain = true;
        }
    }

    /// Records that the minion accepted a start: connections that broke before are no evidence.
    pub(crate) fn start_accepted(&mut self) {
        self.connection_broke_ms = None;
        self.has_broken_start = false;
    }

    /// Plans the next try of a start whose connection broke before `sent_ms`: a listing that
    /// was requested then shows that its incarnation is still there.
    pub(crate) fn retry_broken_start(&mut self, now_ms: u64, sent_ms: u64) {
        let broken = self
            .awaits_listing_since_ms
            .take_if(|since_ms| sent_ms > *since_ms);
        if broken.is_some() && self.phase == Phase::Starting && self.pending == 0 {
            self.retry_at_ms = Some(now_ms);
        }
    }

    /// Records that the minion runs it, as the answer to a call that was sent at `sent_ms`
    /// shows.
    pub(crate) fn seen_running(&mut self, sent_ms: u64) {
        self.was_seen_running = true;
        self.may_have_ended_ms
            .take_if(|since_ms| sent_ms >= *since_ms);
    }

    /// Whether the run may have ended without a report.
    pub(crate) fn may_have_ended(&self) -> bool {
        self.may_have_ended_ms.is_some()
    }

    /// Evidence that a crash of the minion gives against the task: none if the run was
    /// stopped before, if it may have ended before, or if the minion may have ended before
    /// it got the start. A connection that broke is evidence only if the minion
    /// ended then.
    pub(crate) fn crash_evidence(&self) -> Option<CrashEvidence> {
        let is_stopped = matches!(
            self.phase,
            Phase::Stopping {
                acked_ms: Some(_),
                ..
            }
        );
        match (
            is_stopped,
            self.connection_broke_ms,
            (self.was_seen_running || self.is_read_uncertain) && !self.may_have_ended(),
        ) {
            (false, Some(_), _) => Some(self.broken_connection_evidence()),
            (false, None, true) => Some(CrashEvidence::Weak),
            _ => None,
        }
    }

    /// Evidence that the connection which broke gives against the task.
    fn broken_connection_evidence(&self) -> CrashEvidence {
        match (self.was_seen_running, self.has_broken_start) {
            (true, false) => CrashEvidence::Strong,
            (true, true) => CrashEvidence::StartCrashed,
            (false, _) => CrashEvidence::StartBroken,
        }
    }

    /// Forgets a connection that broke before `alive_ms`, when the minion was alive.
    fn forget_broken_connection(&mut self, alive_ms: u64) {
        let broke_before = |broke_ms: &mut u64| alive_ms > *broke_ms;
        if self.connection_broke_ms.take_if(broke_before).is_some() {
            self.has_broken_start = false;
        }
    }

    pub(crate) fn ran_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.started_ms)
    }
}

/// The jobs whose isolated suspects a minion had.
#[derive(Debug, Default)]
pub(crate) struct SuspectJobs {
    /// Jobs of the tasks on probation.
    on_probation: BTreeSet<Name>,
    /// Jobs of those that have passed their probation.
    others: BTreeSet<Name>,
}

impl SuspectJobs {
    /// Evidence that the crash of the minion gives against the run's task, in view of the
    /// other suspects. A suspect that has passed its probation is cleared by one that has
    /// not, and is one of several possible causes beside others like itself.
    pub(crate) fn evidence_against(&self, run: &Run) -> Option<CrashEvidence> {
        let evidence = run.crash_evidence()?;
        let job = &run.key.task.job;
        let has_other = |jobs: &BTreeSet<Name>| jobs.iter().any(|other| other != job);
        if !run.suspicion.is_isolated() || run.is_on_probation() {
            Some(evidence)
        } else if has_other(&self.on_probation) {
            Some(CrashEvidence::Cleared)
        } else if has_other(&self.others) {
            Some(CrashEvidence::Weak)
        } else {
            Some(evidence)
        }
    }
}

/// All runs of an agent.
#[derive(Debug, Default)]
pub(crate) struct RunTable {
    runs: BTreeMap<(LinkId, OrderId), Run>,
    /// When the connection of a call broke first since the minion's last answer.
    first_broke_ms: Option<u64>,
}

impl RunTable {
    pub(crate) fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }

    /// Whether a start of some run was sent to the minion.
    pub(crate) fn has_sent_starts(&self) -> bool {
        self.runs.values().any(|run| run.phase != Phase::Checking)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Run> {
        self.runs.values()
    }

    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = &mut Run> {
        self.runs.values_mut()
    }

    pub(crate) fn insert(&mut self, run: Run) {
        self.runs.insert((run.link, run.order), run);
    }

    pub(crate) fn get(&self, link: LinkId, order: OrderId) -> Option<&Run> {
        self.runs.get(&(link, order))
    }

    pub(crate) fn get_mut(&mut self, link: LinkId, order: OrderId) -> Option<&mut Run> {
        self.runs.get_mut(&(link, order))
    }

    pub(crate) fn remove(&mut self, link: LinkId, order: OrderId) -> Option<Run> {
        self.runs.remove(&(link, order))
    }

    /// Finds the run with this key.
    pub(crate) fn find(&self, key: &RunKey) -> Option<(LinkId, OrderId)> {
        let run = self.runs.values().find(|run| run.key == *key)?;
        Some((run.link, run.order))
    }

    /// Whether a run of the same task may still be on the minion.
    pub(crate) fn is_task_active(&self, key: &RunKey) -> bool {
        self.runs.values().any(|run| run.key.task == key.task)
    }

    /// Whether the run may be started beside those on probation. With `now_ms`, those count
    /// as having passed it which pass it with the next listing.
    pub(crate) fn admits_suspect(&self, run: &Run, now_ms: Option<u64>) -> bool {
        let is_on_probation = |other: &&Run| {
            let is_over = now_ms.is_some_and(|now_ms| other.ends_probation_at(now_ms));
            other.is_on_probation() && !is_over && other.key.task.job != run.key.task.job
        };
        let mut on_probation = self.runs.values().filter(is_on_probation);
        on_probation.all(|other| run.suspicion.may_start_beside(other.suspicion))
    }

    /// The jobs of the isolated suspects that were sent to the minion.
    pub(crate) fn suspect_jobs(&self) -> SuspectJobs {
        let mut jobs = SuspectJobs::default();
        let suspects = self.runs.values().filter(|run| run.suspicion.is_isolated());
        for run in suspects.filter(|run| run.phase != Phase::Checking) {
            let jobs = match run.is_on_probation() {
                true => &mut jobs.on_probation,
                false => &mut jobs.others,
            };
            jobs.insert(run.key.task.job.clone());
        }
        jobs
    }

    /// Number of the first run of a link whose start is not settled, if there is one.
    pub(crate) fn first_unsettled(&self, link: LinkId) -> Option<u64> {
        let unsettled = self
            .runs
            .values()
            .filter(|run| run.link == link && !run.is_start_settled());
        unsettled.map(|run| run.number).min()
    }

    pub(crate) fn orders_of(&self, link: LinkId) -> Vec<OrderId> {
        let runs = self.runs.values().filter(|run| run.link == link);
        runs.map(|run| run.order).collect()
    }

    /// Records that the connection of a run's start broke after the call was sent.
    pub(crate) fn start_connection_broke(&mut self, now_ms: u64, link: LinkId, order: OrderId) {
        if let Some(run) = self.runs.get_mut(&(link, order)) {
            let first_sent_ms = run.started_ms;
            run.start_connection_broke(now_ms);
            self.connection_broke(now_ms, first_sent_ms);
        }
    }

    /// Records that the connection of a call that was sent at `sent_ms` broke. If another
    /// one had broken before, the minion breaks its calls without a crash: some process has
    /// taken the later call. Until it answers, runs may end without a report.
    pub(crate) fn connection_broke(&mut self, now_ms: u64, sent_ms: u64) {
        let first_broke_ms = *self.first_broke_ms.get_or_insert(now_ms);
        if sent_ms <= first_broke_ms {
            return;
        }
        for run in self.runs.values_mut() {
            run.forget_broken_connection(sent_ms);
            if run.has_sent_start() {
                run.may_have_ended_ms.get_or_insert(now_ms);
            }
        }
    }

    /// Records that the connection of a listing broke while the listing waited for an
    /// end. The runs that the minion had taken were active then if their lease is not over.
    pub(crate) fn listing_connection_broke(&mut self, now_ms: u64) {
        let is_active = |run: &&mut Run| run.was_seen_running && !run.may_have_ended();
        for run in self.runs.values_mut().filter(is_active) {
            run.connection_broke_ms = Some(now_ms);
        }
    }

    /// Records which runs the minion may have ended by now because its lease was over, so
    /// that its crash is no evidence against their tasks. Answered calls have extended the
    /// lease until `min_lease_until_ms`.
    pub(crate) fn note_lapsed_lease(&mut self, now_ms: u64, min_lease_until_ms: u64) {
        let may_have_lapsed = |run: &&mut Run| {
            let until_ms = run.min_lease_until_ms.max(min_lease_until_ms);
            run.has_sent_start() && now_ms > until_ms
        };
        for run in self.runs.values_mut().filter(may_have_lapsed) {
            run.may_have_ended_ms.get_or_insert(now_ms);
        }
    }

    /// Records that the minion was alive at this time. Connections that broke before
    /// are no evidence of how it ended.
    pub(crate) fn minion_answered(&mut self, at_ms: u64) {
        self.first_broke_ms.take_if(|broke_ms| at_ms > *broke_ms);
        for run in self.runs.values_mut() {
            run.forget_broken_connection(at_ms);
        }
    }

    /// Resources of all runs that may be on the minion.
    pub(crate) fn taken_resources(&self) -> Resources {
        let runs = self.runs.values();
        runs.fold(Resources::default(), |sum, run| sum.plus(&run.needs))
    }

    /// Progress reports of the runs of a link.
    pub(crate) fn progress(&self, link: LinkId) -> Vec<Report> {
        let running = self.runs.values();
        let running = running.filter(|run| run.link == link && run.phase == Phase::Running);
        let report = |run: &Run| Report::Progress {
            order: run.order,
            percent: run.percent,
            elapsed_ms: u32::try_from(run.ran_ms(run.read_ms)).unwrap_or(u32::MAX),
            // The time since the last reading doesn't count, as it says nothing about
            // the run.
            idle_ms: u32::try_from(run.read_ms.saturating_sub(run.changed_ms)).unwrap_or(u32::MAX),
        };
        running.map(report).collect()
    }
}
