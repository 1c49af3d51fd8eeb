//! The changes that operators have confirmed and whose outcomes have not been
//! read from the log yet.

use std::collections::BTreeMap;
use std::sync::Arc;

use gannetvane_wire::Answer;
use gannetvane_wire::Change;
use gannetvane_wire::LogRecord;
use gannetvane_wire::Name;
use gannetvane_wire::Ran;
use gannetvane_wire::Reason;

use crate::Action;
use crate::CallerId;
use crate::ChangeOutcome;
use crate::ConfigurationStore;
use crate::Counter;
use crate::Reply;

/// Timeout of a confirmation in milliseconds.
const CONFIRMATION_TIMEOUT_MS: u64 = 5_000;
/// `retry_after_ms` of an answer while the outcome is not known.
const RETRY_AFTER_MS: u32 = 1_000;
/// Interval in milliseconds between reads of the log while an outcome is
/// pending.
const LOG_POLL_INTERVAL_MS: u64 = 20;

/// The confirmations and status requests without an outcome.
#[derive(Debug, Default)]
pub(crate) struct Confirmations {
    pending: BTreeMap<Name, Pending>,
    next_poll_ms: u64,
}

#[derive(Debug)]
struct Pending {
    /// The change to append; `None` if only its outcome was requested.
    change: Option<Change>,
    callers: Vec<CallerId>,
    is_appended: bool,
    deadline_at_ms: u64,
}

impl Confirmations {
    /// Returns the number of waiting callers.
    pub(crate) fn len(&self) -> usize {
        self.pending
            .values()
            .map(|pending| pending.callers.len())
            .sum()
    }

    /// Confirms a change: appends it to the log unless the log already contains
    /// it.
    ///
    /// The log is read to its end first, because an earlier confirmation of the
    /// same change may have taken effect although its answer was lost.
    pub(crate) fn confirm(
        &mut self,
        now_ms: u64,
        caller: CallerId,
        change: Change,
        configuration: &ConfigurationStore,
        actions: &mut Vec<Action>,
    ) {
        let change_id = change.change_id.clone();
        self.add(
            now_ms,
            caller,
            change_id,
            Some(change),
            configuration,
            actions,
        );
    }

    /// Replies to `caller` with the outcome of a change.
    pub(crate) fn status(
        &mut self,
        now_ms: u64,
        caller: CallerId,
        change_id: Name,
        configuration: &ConfigurationStore,
        actions: &mut Vec<Action>,
    ) {
        self.add(now_ms, caller, change_id, None, configuration, actions);
    }

    /// Checks all pending changes against the configuration. `at_end` means
    /// that the log has just been read to its end.
    pub(crate) fn progress(
        &mut self,
        now_ms: u64,
        at_end: bool,
        configuration: &ConfigurationStore,
        actions: &mut Vec<Action>,
    ) {
        let ids: Vec<Name> = self.pending.keys().cloned().collect();
        for change_id in ids {
            match configuration.outcome(&change_id) {
                ChangeOutcome::Accepted => self.accepted(&change_id, configuration, actions),
                ChangeOutcome::Conflict => self.conflict(&change_id, Ran::NotRun, actions),
                ChangeOutcome::Unseen if at_end => {
                    self.unseen_at_end(&change_id, configuration, actions);
                }
                ChangeOutcome::Unseen => {}
            }
        }
        self.next_poll_ms = now_ms + LOG_POLL_INTERVAL_MS;
    }

    /// Answers all pending callers that the log is unavailable, so the outcome
    /// is unknown.
    pub(crate) fn log_failed(&mut self, actions: &mut Vec<Action>) {
        let ids: Vec<Name> = self.pending.keys().cloned().collect();
        for change_id in ids {
            let answer = Answer::refusal(Ran::Unknown, Reason::LogDown, Some(RETRY_AFTER_MS));
            self.end(&change_id, &Reply::Answer(Arc::new(answer)), actions);
            actions.push(Action::Count(Counter::Failed(Reason::LogDown)));
        }
    }

    /// Continues to read the log while changes are pending, and answers those
    /// that have timed out.
    pub(crate) fn expire(
        &mut self,
        now_ms: u64,
        configuration: &ConfigurationStore,
        actions: &mut Vec<Action>,
    ) {
        let is_late = |pending: &Pending| now_ms >= pending.deadline_at_ms;
        let late: Vec<Name> = self
            .pending
            .iter()
            .filter(|(_, p)| is_late(p))
            .map(|(id, _)| id.clone())
            .collect();
        for change_id in late {
            let answer = Answer::refusal(Ran::Unknown, Reason::ChangePending, Some(RETRY_AFTER_MS));
            self.end(&change_id, &Reply::Answer(Arc::new(answer)), actions);
            actions.push(Action::Count(Counter::Failed(Reason::ChangePending)));
        }
        if !self.pending.is_empty() && now_ms >= self.next_poll_ms {
            self.next_poll_ms = now_ms + LOG_POLL_INTERVAL_MS;
            actions.push(Action::ReadLog {
                from_offset: configuration.next_offset(),
            });
        }
    }

    fn add(
        &mut self,
        now_ms: u64,
        caller: CallerId,
        change_id: Name,
        change: Option<Change>,
        configuration: &ConfigurationStore,
        actions: &mut Vec<Action>,
    ) {
        let pending = self.pending.entry(change_id).or_insert_with(|| Pending {
            change: None,
            callers: Vec::new(),
            is_appended: false,
            deadline_at_ms: now_ms + CONFIRMATION_TIMEOUT_MS,
        });
        pending.callers.push(caller);
        pending.change = pending.change.take().or(change);
        self.progress(now_ms, false, configuration, actions);
        if !self.pending.is_empty() {
            actions.push(Action::ReadLog {
                from_offset: configuration.next_offset(),
            });
        }
    }

    fn accepted(
        &mut self,
        id: &Name,
        configuration: &ConfigurationStore,
        actions: &mut Vec<Action>,
    ) {
        let version = configuration.current().version;
        self.end(id, &Reply::ChangeAccepted { version }, actions);
    }

    fn conflict(&mut self, change_id: &Name, ran: Ran, actions: &mut Vec<Action>) {
        let answer = Answer::refusal(ran, Reason::VersionConflict, None);
        self.end(change_id, &Reply::Answer(Arc::new(answer)), actions);
        actions.push(Action::Count(Counter::Refused(Reason::VersionConflict)));
    }

    /// Handles a change that the log, read to its end, does not contain:
    /// appends it, or answers that it conflicts or was never submitted. While
    /// the change is already appended or the configuration has a gap, it does
    /// nothing.
    fn unseen_at_end(
        &mut self,
        change_id: &Name,
        configuration: &ConfigurationStore,
        actions: &mut Vec<Action>,
    ) {
        let Some(pending) = self.pending.get_mut(change_id) else {
            return;
        };
        if pending.is_appended || configuration.has_gap() {
            return;
        }
        let Some(change) = pending.change.clone() else {
            let answer = Answer::refusal(Ran::Unknown, Reason::NeverSubmitted, None);
            self.end(change_id, &Reply::Answer(Arc::new(answer)), actions);
            return;
        };
        if change.base_version < configuration.current().version {
            let ran = if configuration.remembers(change.base_version) {
                Ran::NotRun
            } else {
                Ran::Unknown
            };
            self.conflict(change_id, ran, actions);
            return;
        }
        pending.is_appended = true;
        actions.push(Action::Append(LogRecord::Change(change)));
        actions.push(Action::ReadLog {
            from_offset: configuration.next_offset(),
        });
    }

    /// Replies to all callers of a pending change and removes it.
    fn end(&mut self, change_id: &Name, reply: &Reply, actions: &mut Vec<Action>) {
        let Some(pending) = self.pending.remove(change_id) else {
            return;
        };
        for caller in pending.callers {
            actions.push(Action::Reply {
                caller,
                reply: reply.clone(),
            });
        }
    }
}
