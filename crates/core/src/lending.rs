//! Credits that homes of one service pass to each other.

use std::collections::VecDeque;

use crate::Peer;

/// Pause before a home that is still short asks again, in milliseconds.
const ASK_AGAIN_MS: u64 = 20;
/// Time for which another home is remembered as short, in milliseconds.
const REMEMBER_ASKER_MS: u64 = 40;
/// A home that is short itself passes a slot on to one whose first task is
/// overdue by so much more, in milliseconds.
const MIN_ADVANTAGE_MS: i64 = 10;

/// Who is short of credits: this home, and others that asked it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Lending {
    asked_at_ms: Option<u64>,
    askers: VecDeque<Asker>,
}

#[derive(Clone, Copy, Debug)]
struct Asker {
    peer: Peer,
    wanted: usize,
    overdue_ms: i64,
    asked_at_ms: u64,
}

/// Credits to pass on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Loan {
    pub(crate) to: Peer,
    pub(crate) wanted: usize,
}

impl Lending {
    /// Whether to ask the other homes now.
    pub(crate) fn should_ask(&mut self, now_ms: u64) -> bool {
        let due = self
            .asked_at_ms
            .is_none_or(|at_ms| now_ms.saturating_sub(at_ms) >= ASK_AGAIN_MS);
        if due {
            self.asked_at_ms = Some(now_ms);
        }
        due
    }

    /// Notes that this home is no longer short.
    pub(crate) fn satisfied(&mut self) {
        self.asked_at_ms = None;
    }

    /// Notes that another home is short.
    pub(crate) fn remember(&mut self, now_ms: u64, peer: Peer, wanted: usize, overdue_ms: i64) {
        self.askers.retain(|asker| asker.peer != peer);
        if wanted > 0 {
            self.askers.push_back(Asker {
                peer,
                wanted,
                overdue_ms,
                asked_at_ms: now_ms,
            });
        }
    }

    /// Notes that a home has credits to give, so that it is not short.
    pub(crate) fn forget(&mut self, peer: Peer) {
        self.askers.retain(|asker| asker.peer != peer);
    }

    /// The home whose first task is overdue by far more than `own_overdue_ms`.
    /// It is passed one slot at a time, up to what it asked for.
    pub(crate) fn next_urgent_loan(&mut self, now_ms: u64, own_overdue_ms: i64) -> Option<Loan> {
        self.forget_old(now_ms);
        let least_ms = own_overdue_ms + MIN_ADVANTAGE_MS;
        let asker = self
            .askers
            .iter_mut()
            .max_by_key(|asker| asker.overdue_ms)
            .filter(|asker| asker.overdue_ms > least_ms)?;
        asker.wanted -= 1;
        let loan = Loan {
            to: asker.peer,
            wanted: 1,
        };
        self.askers.retain(|asker| asker.wanted > 0);
        Some(loan)
    }

    /// The home that asked first, if its request is fresh.
    pub(crate) fn next_loan(&mut self, now_ms: u64) -> Option<Loan> {
        self.forget_old(now_ms);
        self.askers.front().map(|asker| Loan {
            to: asker.peer,
            wanted: asker.wanted,
        })
    }

    /// Notes that `count` credits went to the home that asked first.
    pub(crate) fn lent(&mut self, count: usize) {
        let Some(mut asker) = self.askers.pop_front() else {
            return;
        };
        asker.wanted = asker.wanted.saturating_sub(count);
        if asker.wanted > 0 {
            self.askers.push_back(asker);
        }
    }

    fn forget_old(&mut self, now_ms: u64) {
        let is_fresh = |asker: &Asker| now_ms.saturating_sub(asker.asked_at_ms) < REMEMBER_ASKER_MS;
        self.askers.retain(is_fresh);
    }
}
