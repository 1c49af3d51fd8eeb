//! Requests for credits between the homes of one service.

use std::collections::VecDeque;

use crate::Peer;

/// Interval in milliseconds after which a home that still needs credits
/// requests them again.
const REQUEST_INTERVAL_MS: u64 = 20;
/// Time in milliseconds for which a request of another home stays valid.
const REQUEST_VALIDITY_MS: u64 = 40;
/// A home with waiting tasks of its own passes a credit on only if the other
/// home's first task is overdue by more than this many additional milliseconds.
const MIN_ADVANTAGE_MS: i64 = 10;

/// The last request of this home and the pending requests of other homes.
#[derive(Clone, Debug, Default)]
pub(crate) struct Lending {
    asked_at_ms: Option<u64>,
    requesters: VecDeque<Requester>,
}

/// A home that requested credits.
#[derive(Clone, Copy, Debug)]
struct Requester {
    peer: Peer,
    wanted: usize,
    overdue_ms: i64,
    asked_at_ms: u64,
}

/// A number of credits to pass on to a home.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Loan {
    pub(crate) to: Peer,
    pub(crate) wanted: usize,
}

impl Lending {
    /// Returns whether to send a request to the other homes now; if so, records
    /// the time.
    pub(crate) fn should_ask(&mut self, now_ms: u64) -> bool {
        let is_due = self
            .asked_at_ms
            .is_none_or(|at_ms| now_ms.saturating_sub(at_ms) >= REQUEST_INTERVAL_MS);
        if is_due {
            self.asked_at_ms = Some(now_ms);
        }
        is_due
    }

    /// Records that this home needs no credits, so that its next request is
    /// sent without delay.
    pub(crate) fn clear_request(&mut self) {
        self.asked_at_ms = None;
    }

    /// Records the request of another home, which replaces its earlier one.
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

    /// Removes the request of a home that passed on credits, because it needs
    /// none itself.
    pub(crate) fn remove_request(&mut self, peer: Peer) {
        self.requesters.retain(|requester| requester.peer != peer);
    }

    /// Returns a loan of one credit to the home whose first task is overdue the
    /// longest, if it is overdue by more than `own_overdue_ms` plus
    /// [`MIN_ADVANTAGE_MS`]. The loan counts against the number of credits that
    /// the home requested.
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

    /// Returns a loan to the home with the oldest request that is still valid.
    pub(crate) fn next_loan(&mut self, now_ms: u64) -> Option<Loan> {
        self.drop_expired_requests(now_ms);
        self.requesters.front().map(|requester| Loan {
            to: requester.peer,
            wanted: requester.wanted,
        })
    }

    /// Records that `count` credits were passed to the home with the oldest
    /// pending request. If it needs more, it moves to the end of the list.
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
