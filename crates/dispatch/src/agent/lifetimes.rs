//! Which lifetime of its minion an agent serves.
//!
//! A report can arrive after its sender has crashed and the next lifetime has
//! registered at the same address. So a report of another lifetime than the
//! one that is served only makes a candidate, which takes over when the minion
//! answers a call that names it.

use gannetvane_wire::Name;

use crate::Agent;
use crate::AgentAction;
use crate::End;
use crate::HoldResult;
use crate::LinkId;
use crate::MinionReport;
use crate::OrderId;
use crate::agent::breaker::Breaker;
use crate::agent::minion::Minion;
use crate::agent::pace::Pace;

/// Pause before a candidate that gave no answer is asked again, in
/// milliseconds: the time that a call to the minion on this host is given.
const ASK_CANDIDATE_MS: u64 = 50;
/// Calls without an answer after which a candidate is forgotten until its next
/// report.
const CANDIDATE_TRIES: u32 = 20;

/// A lifetime that was reported while another one is served.
#[derive(Debug)]
pub(crate) struct Candidate {
    report: MinionReport,
    /// Number of the last call that names it.
    call: u64,
    asked_ms: u64,
    tries: u32,
}

impl Candidate {
    /// When it is asked again at the latest.
    pub(crate) fn due_ms(&self) -> u64 {
        self.asked_ms + ASK_CANDIDATE_MS
    }
}

impl Agent {
    /// A report of a minion arrived.
    pub fn minion_reported(&mut self, now_ms: u64, report: MinionReport) {
        if self.minion.is_none() {
            self.adopt(now_ms, report);
        } else if self.is_instance(&report.instance) {
            self.update_report(now_ms, report);
        } else {
            self.consider(now_ms, report);
        }
    }

    /// The minion said that it is about to end.
    pub fn minion_left(&mut self, instance: &str) {
        if let Some(minion) = &mut self.minion
            && &*minion.report.instance == instance
        {
            minion.has_left = true;
            self.note("minion-left", None, format!("instance={instance}"));
        }
    }

    /// The lifetime of the minion that is served.
    #[must_use]
    pub fn instance(&self) -> Option<Name> {
        let minion = self.minion.as_ref()?;
        Some(minion.report.instance.clone())
    }

    pub(crate) fn is_instance(&self, instance: &str) -> bool {
        let current = self.minion.as_ref().map(|minion| &*minion.report.instance);
        current == Some(instance)
    }

    fn update_report(&mut self, now_ms: u64, report: MinionReport) {
        let Some(minion) = &mut self.minion else {
            return;
        };
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

    /// Serves a lifetime from now on.
    fn adopt(&mut self, now_ms: u64, report: MinionReport) {
        let detail = format!(
            "instance={} capacity={:?}",
            report.instance, report.capacity
        );
        self.note("minion-found", None, detail);
        self.pace = Pace::default();
        self.minion = Some(Minion::new(now_ms, report));
        self.hold_if_due(now_ms);
    }

    fn consider(&mut self, now_ms: u64, report: MinionReport) {
        if let Some(candidate) = &mut self.candidate
            && candidate.report.instance == report.instance
        {
            candidate.tries = 0;
            if report.sequence >= candidate.report.sequence {
                candidate.report = report;
            }
            return;
        }
        let detail = format!("instance={}", report.instance);
        self.note("other-lifetime-reported", None, detail);
        self.candidate = Some(Candidate {
            report,
            call: 0,
            asked_ms: now_ms,
            tries: 0,
        });
        self.ask_candidate(now_ms);
    }

    /// Asks the candidate again when its last call got no answer.
    pub(crate) fn watch_candidate(&mut self, now_ms: u64) {
        let Some(candidate) = &self.candidate else {
            return;
        };
        if now_ms < candidate.due_ms() {
            return;
        }
        if self.minion.is_none() {
            // Nothing is lost by serving it: it is checked by its listings.
            if let Some(candidate) = self.candidate.take() {
                self.adopt(now_ms, candidate.report);
            }
        } else if candidate.tries >= CANDIDATE_TRIES {
            self.drop_candidate("no answer");
        } else {
            self.ask_candidate(now_ms);
        }
    }

    fn ask_candidate(&mut self, now_ms: u64) {
        let call = self.next_call;
        let Some(candidate) = &mut self.candidate else {
            return;
        };
        self.next_call += 1;
        candidate.call = call;
        candidate.asked_ms = now_ms;
        candidate.tries += 1;
        self.actions.push(AgentAction::Hold {
            call,
            instance: candidate.report.instance.clone(),
            // Only the clock is asked for: nothing is ordered yet.
            epoch: 0,
            acknowledged_through: 0,
            deadline_ms: None,
            wait_ms: 0,
        });
    }

    pub(crate) fn is_candidate(&self, instance: &str) -> bool {
        let candidate = self.candidate.as_ref();
        candidate.is_some_and(|candidate| &*candidate.report.instance == instance)
    }

    /// A call that named the candidate was answered, or was not.
    pub(crate) fn candidate_answered(&mut self, now_ms: u64, call: u64, result: &HoldResult) {
        match result {
            HoldResult::Listed(_) => {
                if let Some(candidate) = self.candidate.take() {
                    self.lose_minion(now_ms);
                    self.adopt(now_ms, candidate.report);
                }
            }
            HoldResult::OtherInstance => self.drop_candidate("another lifetime is there"),
            HoldResult::NoAnswer => {
                // It is asked again when that is due.
                let detail = format!("call={call}");
                self.note("candidate-unanswered", None, detail);
            }
        }
    }

    fn drop_candidate(&mut self, cause: &'static str) {
        if let Some(candidate) = self.candidate.take() {
            let detail = format!("instance={} cause={cause}", candidate.report.instance);
            self.note("late-report-ignored", None, detail);
        }
    }

    /// Nothing that was started runs any more; all ends as lost.
    pub(crate) fn lose_minion(&mut self, now_ms: u64) {
        if self.minion.is_none() {
            return;
        }
        let places: Vec<(LinkId, OrderId)> =
            self.runs.iter().map(|run| (run.link, run.order)).collect();
        for (link, order) in places {
            if let Some(run) = self.runs.remove(link, order) {
                self.report_end(link, order, End::Lost, run.ran_ms(now_ms));
            }
        }
        self.send_frames(now_ms);
        self.minion = None;
        self.breaker = Breaker::default();
        self.close_links(now_ms);
    }
}
