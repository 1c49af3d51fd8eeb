//! The runs that an agent answers for.

use std::collections::BTreeMap;

use gannetvane_wire::Name;

use crate::CrashEvidence;
use crate::LinkId;
use crate::OrderId;
use crate::Report;
use crate::Resources;
use crate::RunKey;
use crate::StartOrder;
use crate::StartResult;

/// Time after which a start whose connection breaks may not have been read, in
/// milliseconds: a minion on the same host reads a call at once.
const READ_AT_ONCE_MS: u64 = 5;

/// Where a run stands on the minion.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// The minion is asked whether it answers before the start is sent.
    Checking,
    /// The start is on its way to the minion.
    Starting,
    /// The minion runs it.
    Running,
    /// A stop is on its way, or the stopped run is still listed.
    Stopping {
        /// Since when it is to be gone.
        since_ms: u64,
        /// When the minion acknowledged the stop.
        acked_ms: Option<u64>,
        /// When the last stop was sent.
        tried_ms: u64,
    },
}

/// One run.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    pub(crate) link: LinkId,
    pub(crate) order: OrderId,
    pub(crate) key: RunKey,
    pub(crate) spec: Name,
    /// Whether minions crashed under its task before.
    pub(crate) is_suspect: bool,
    pub(crate) needs: Resources,
    pub(crate) phase: Phase,
    pub(crate) started_ms: u64,
    pub(crate) expected_ms: u32,
    pub(crate) percent: u8,
    /// When the percentage was last read.
    pub(crate) read_ms: u64,
    pub(crate) changed_ms: u64,
    /// When the minion was known to run it.
    pub(crate) confirmed_ms: u64,
    /// Whether the minion was seen to run it.
    pub(crate) was_seen_running: bool,
    /// Whether the life that is served listed it.
    pub(crate) was_listed: bool,
    /// Starts that are not answered yet.
    pub(crate) pending: u32,
    /// Copies of the last start that were sent, and when.
    pub(crate) hedged_calls: u32,
    pub(crate) sent_ms: u64,
    /// Why a copy of the last start was refused.
    pub(crate) refusal: Option<StartResult>,
    /// Whether a copy of the last start got no answer.
    pub(crate) is_outcome_unknown: bool,
    /// When a connection broke that tells of it: that of its start after the call was
    /// sent, or that of a listing which waited for an end while the minion had it.
    pub(crate) connection_broke_ms: Option<u64>,
    /// Whether the connection of a start broke some time after the call was sent.
    is_read_uncertain: bool,
    /// Times that a start got no answer.
    pub(crate) unanswered: u32,
    /// When the start is sent again.
    pub(crate) retry_at_ms: Option<u64>,
}

impl Run {
    pub(crate) fn new(now_ms: u64, link: LinkId, start: StartOrder) -> Self {
        Self {
            link,
            order: start.id,
            key: RunKey {
                task: start.task,
                run: start.run,
            },
            spec: start.spec,
            is_suspect: start.is_suspect,
            needs: start.needs,
            phase: match start.is_suspect {
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
            is_read_uncertain: false,
            unanswered: 0,
            retry_at_ms: None,
        }
    }

    /// Notes how far it is; returns the expected work done and time spent
    /// since the last time, in milliseconds.
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

    /// Whether it may be carried out by a later life of the minion under the same
    /// id: a call that starts it had no answer, or nothing but that answer, which
    /// tells no birth, shows that it runs.
    pub(crate) fn may_run_in_next_incarnation(&self) -> bool {
        !self.was_listed || self.pending > 0 || self.is_outcome_unknown || self.unanswered > 0
    }

    /// The connection of its start broke after the call was sent. If that took long, the
    /// minion may have stood still all the while and not have read it.
    pub(crate) fn start_connection_broke(&mut self, now_ms: u64) {
        if now_ms <= self.sent_ms + READ_AT_ONCE_MS {
            self.connection_broke_ms = Some(now_ms);
        } else {
            self.is_read_uncertain = true;
        }
    }

    /// What a crash of the minion tells of the task: nothing if its start may have met a
    /// minion that was gone already.
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
            self.was_seen_running || self.is_read_uncertain,
        ) {
            (false, Some(_), _) => Some(CrashEvidence::Strong),
            (false, None, true) => Some(CrashEvidence::Weak),
            _ => None,
        }
    }

    pub(crate) fn ran_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.started_ms)
    }
}

/// All runs of an agent.
#[derive(Debug, Default)]
pub(crate) struct RunTable {
    runs: BTreeMap<(LinkId, OrderId), Run>,
}

impl RunTable {
    pub(crate) fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }

    /// Whether the minion was sent the start of some run.
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

    /// The run that the minion knows by this key.
    pub(crate) fn find(&self, key: &RunKey) -> Option<(LinkId, OrderId)> {
        let run = self.runs.values().find(|run| run.key == *key)?;
        Some((run.link, run.order))
    }

    /// Whether a run of the same task may still be on the minion.
    pub(crate) fn is_task_active(&self, key: &RunKey) -> bool {
        self.runs.values().any(|run| run.key.task == key.task)
    }

    /// Whether a task of another job runs here under which minions crashed.
    pub(crate) fn has_other_suspect(&self, job: &Name) -> bool {
        let mut suspects = self.runs.values().filter(|run| run.is_suspect);
        suspects.any(|run| run.key.task.job != *job)
    }

    pub(crate) fn orders_of(&self, link: LinkId) -> Vec<OrderId> {
        let runs = self.runs.values().filter(|run| run.link == link);
        runs.map(|run| run.order).collect()
    }

    /// A listing that waited for an end broke off: what the minion has taken was at work.
    pub(crate) fn listing_connection_broke(&mut self, now_ms: u64) {
        for run in self.runs.values_mut().filter(|run| run.was_seen_running) {
            run.connection_broke_ms = Some(now_ms);
        }
    }

    /// The minion was alive at this time: connections that broke before tell nothing of
    /// its end.
    pub(crate) fn minion_answered(&mut self, at_ms: u64) {
        for run in self.runs.values_mut() {
            run.connection_broke_ms
                .take_if(|connection_broke_ms| at_ms > *connection_broke_ms);
        }
    }

    /// Room of all runs that the minion may hold.
    pub(crate) fn taken_resources(&self) -> Resources {
        let runs = self.runs.values();
        runs.fold(Resources::default(), |sum, run| sum.plus(&run.needs))
    }

    /// How far the runs of a link are.
    pub(crate) fn progress(&self, link: LinkId) -> Vec<Report> {
        let running = self.runs.values();
        let running = running.filter(|run| run.link == link && run.phase == Phase::Running);
        let report = |run: &Run| Report::Progress {
            order: run.order,
            percent: run.percent,
            elapsed_ms: u32::try_from(run.ran_ms(run.read_ms)).unwrap_or(u32::MAX),
            // Time without a reading says nothing of the run.
            idle_ms: u32::try_from(run.read_ms.saturating_sub(run.changed_ms)).unwrap_or(u32::MAX),
        };
        running.map(report).collect()
    }
}
