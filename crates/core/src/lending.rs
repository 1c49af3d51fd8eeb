//! Credits that homes of one service pass to each other.

use std::collections::VecDeque;

use crate::Peer;

/// Pause before a home that is still short asks again, in milliseconds.
const REQUEST_INTERVAL_MS: u64 = 20;
/// Time for which another home is remembered as short, in milliseconds.
const REQUEST_VALIDITY_MS: u64 = 40;
/// A home that is short itself passes a slot on to one whose first task is
/// overdue by so much more, in milliseconds.
const MIN_ADVANTAGE_MS: i64 = 10;

/// Who is short of credits: this home, and others that asked it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Lending {
    asked_at_ms: Option<u64>,
    requesters: VecDeque<Requester>,
}

#[derive(Clone, Copy, Debug)]
struct Requester {
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
        let is_due = self
            .asked_at_ms
            .is_none_or(|at_ms| now_ms.saturating_sub(at_ms) >= REQUEST_INTERVAL_MS);
        if is_due {
            self.asked_at_ms = Some(now_ms);
        }
        is_due
    }

    /// Notes that this home is no longer short.
    pub(crate) fn clear_request(&mut self) {
        self.asked_at_ms = None;
    }

    /// Notes that another home is short.
    pub(crate) fn add_request(&mut self, now_ms: u64, peer: Peer, wanted: usize, overdue_ms: i64) {
        self.requesters.retain(|requester| requester.peer != peer);
        if wanted > 0 {
            self.requesters.push_back(Requester {
                peer,
                wanted,
                overdue_ms,
                asked_at_ms: now_ms,
            });
        }
    }

    /// Notes that a home has credits to give, so that it is not short.
    pub(crate) fn forget(&mut self, peer: Peer) {
        self.requesters.retain(|requester| requester.peer != peer);
    }

    /// The home whose first task is overdue by far more than `own_overdue_ms`.
    /// It is passed one slot at a time, up to what it asked for.
    pub(crate) fn next_urgent_loan(&mut self, now_ms: u64, own_overdue_ms: i64) -> Option<Loan> {
        self.drop_expired_requests(now_ms);
        let min_overdue_ms = own_overdue_ms + MIN_ADVANTAGE_MS;
        let requester = self
            .requesters
            .iter_mut()
            .max_by_key(|requester| requester.overdue_ms)
            .filter(|requester| requester.overdue_ms > min_overdue_ms)?;
        requester.wanted -= 1;
        let loan = Loan {
            to: requester.peer,
            wanted: 1,
        };
        self.requesters.retain(|requester| requester.wanted > 0);
        Some(loan)
    }

    /// The home that asked first, if its request is fresh.
    pub(crate) fn next_loan(&mut self, now_ms: u64) -> Option<Loan> {
        self.drop_expired_requests(now_ms);
        self.requesters.front().map(|requester| Loan {
            to: requester.peer,
            wanted: requester.wanted,
        })
    }

    /// Notes that `count` credits went to the home that asked first.
    pub(crate) fn record_loan(&mut self, count: usize) {
        let Some(mut requester) = self.requesters.pop_front() else {
            return;
        };
        requester.wanted = requester.wanted.saturating_sub(count);
        if requester.wanted > 0 {
            self.requesters.push_back(requester);
        }
    }

    fn drop_expired_requests(&mut self, now_ms: u64) {
        let is_fresh = |requester: &Requester| {
            now_ms.saturating_sub(requester.asked_at_ms) < REQUEST_VALIDITY_MS
        };
        self.requesters.retain(is_fresh);
    }
}
