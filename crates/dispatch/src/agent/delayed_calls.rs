//! Starts of stored tasks that may still be carried out.
//!
//! An unanswered start may be carried out seconds later. A minion that restarts with
//! the same id has no record of the runs and the epoch of its former incarnation. While
//! its agent is suspended, that minion may run a task again whose end was already
//! acknowledged, or it may carry out an unanswered acknowledgement, and an end counts
//! that nobody has seen. So the agent acknowledges no end until no such start can be
//! carried out any more.

use std::collections::BTreeMap;

use crate::Incarnation;
use crate::RunKey;
use crate::lease::MAX_CALL_DELAY_MS;
use crate::stored::RUNS_PER_EPOCH;

/// The starts that one agent sent and that may still be carried out.
#[derive(Debug, Default)]
pub(crate) struct DelayedCalls {
    /// Number of pending start calls of each run.
    pending: BTreeMap<RunKey, u32>,
    /// Runs with an unanswered start, each with the time until which that start may be
    /// carried out.
    unanswered: BTreeMap<RunKey, u64>,
    /// Time until which starts of an earlier agent may be carried out; 0 before a
    /// minion with a start time is served.
    inherited_until_ms: u64,
    /// Whether a call of this agent got no answer. Only then does the agent assume that
    /// calls of an earlier agent are unanswered as well.
    has_unanswered_calls: bool,
}

impl DelayedCalls {
    /// Records that the agent serves a minion which an earlier agent may have served.
    pub(crate) fn inherit(&mut self, now_ms: u64) {
        if self.inherited_until_ms == 0 {
            self.inherited_until_ms = now_ms + MAX_CALL_DELAY_MS;
        }
    }

    /// Records that a start is sent. Only stored runs on a minion that may keep its id
    /// count.
    pub(crate) fn start_sent(&mut self, incarnation: &Incarnation, key: &RunKey) {
        let may_keep_id = incarnation.started_unix_ms().is_some();
        if may_keep_id && key.run >= RUNS_PER_EPOCH {
            *self.pending.entry(key.clone()).or_default() += 1;
        }
    }

    /// Records that a start was answered or timed out.
    pub(crate) fn start_ended(&mut self, now_ms: u64, key: &RunKey, is_answered: bool) {
        let Some(pending) = self.pending.get_mut(key) else {
            return;
        };
        *pending -= 1;
        if *pending == 0 {
            self.pending.remove(key);
        }
        if !is_answered {
            self.unanswered
                .insert(key.clone(), now_ms + MAX_CALL_DELAY_MS);
        }
    }

    /// Records that some call got no answer. Calls of an earlier agent may then be
    /// unanswered as well.
    pub(crate) fn call_unanswered(&mut self) {
        self.has_unanswered_calls = true;
    }

    /// Time until which a delayed start may be carried out, if there can be one.
    pub(crate) fn possible_until_ms(&self, now_ms: u64) -> Option<u64> {
        let inherited = self.has_unanswered_calls.then_some(self.inherited_until_ms);
        let pending = (!self.pending.is_empty()).then_some(now_ms + 1);
        let unanswered = self.unanswered.values().copied();
        let until_ms = unanswered.chain(inherited).chain(pending).max();
        until_ms.filter(|until_ms| now_ms < *until_ms)
    }

    /// Forgets the starts that cannot be carried out any more.
    pub(crate) fn expire(&mut self, now_ms: u64) {
        self.unanswered.retain(|_, until_ms| now_ms < *until_ms);
    }
}
