//! Starts of stored tasks that may still be carried out.
//!
//! A start without an answer may be carried out seconds later, and a minion that starts
//! again under its id knows nothing of the runs and the epoch of its last life. While its
//! agent stands still, it may do a task anew whose end was acknowledged already, or an
//! acknowledgement without an answer may count an end there that nobody has seen. So no
//! end is acknowledged until such starts are over.

use std::collections::BTreeMap;

use crate::Incarnation;
use crate::RunKey;
use crate::lease::MAX_CALL_DELAY_MS;
use crate::stored::RUNS_PER_EPOCH;

/// The starts without an answer of one agent.
#[derive(Debug, Default)]
pub(crate) struct DelayedCalls {
    /// Starts on their way, by run.
    pending: BTreeMap<RunKey, u32>,
    /// Runs of which a start had no answer, and until when it may be carried out.
    unanswered: BTreeMap<RunKey, u64>,
    /// Until when starts of an earlier agent may be.
    inherited_until_ms: u64,
    /// Whether they are taken to be: calls were lost since.
    has_unanswered_calls: bool,
}

impl DelayedCalls {
    /// A minion that an earlier agent may have served is served from now on.
    pub(crate) fn inherit(&mut self, now_ms: u64) {
        if self.inherited_until_ms == 0 {
            self.inherited_until_ms = now_ms + MAX_CALL_DELAY_MS;
        }
    }

    /// A start is sent.
    pub(crate) fn start_sent(&mut self, incarnation: &Incarnation, key: &RunKey) {
        let may_keep_id = incarnation.started_unix_ms().is_some();
        if may_keep_id && key.run >= RUNS_PER_EPOCH {
            *self.pending.entry(key.clone()).or_default() += 1;
        }
    }

    /// A start was answered, or was not.
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

    /// Some call had no answer: those of an earlier agent may not have had either.
    pub(crate) fn call_unanswered(&mut self) {
        self.has_unanswered_calls = true;
    }

    /// Until when starts may be carried out late, if any may be.
    pub(crate) fn possible_until_ms(&self, now_ms: u64) -> Option<u64> {
        let inherited = self.has_unanswered_calls.then_some(self.inherited_until_ms);
        let pending = (!self.pending.is_empty()).then_some(now_ms + 1);
        let unanswered = self.unanswered.values().copied();
        let until_ms = unanswered.chain(inherited).chain(pending).max();
        until_ms.filter(|until_ms| now_ms < *until_ms)
    }

    /// Forgets what is over.
    pub(crate) fn expire(&mut self, now_ms: u64) {
        self.unanswered.retain(|_, until_ms| now_ms < *until_ms);
    }
}
