//! What a connection of a client does, and the counts of requests that follow from it.

use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

/// What a connection does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// The client is expected to send the head of a request or the rest of it.
    Head,
    /// The client is expected to send the rest of a body.
    Body,
    /// The request is complete and is being served.
    Serving,
    /// The client is expected to receive the answer.
    Responding,
    /// The client has its answer and may send another request.
    Idle,
}

impl Phase {
    /// Returns the order in which connections are closed for others, lowest first;
    /// `None` if they are not.
    pub(crate) fn eviction_rank(self) -> Option<u8> {
        match self {
            Self::Head | Self::Body | Self::Responding => Some(0),
            Self::Idle => Some(1),
            Self::Serving => None,
        }
    }
}

/// Requests of one server, which other threads may read.
#[derive(Debug, Default)]
pub struct RequestCounts {
    serving: AtomicUsize,
    transferring: AtomicUsize,
}

impl RequestCounts {
    /// Returns the number of complete requests that have no answer yet.
    #[must_use]
    pub fn serving(&self) -> usize {
        self.serving.load(Ordering::SeqCst)
    }

    /// Returns the number of requests whose body or answer is being transferred.
    #[must_use]
    pub fn transferring(&self) -> usize {
        self.transferring.load(Ordering::SeqCst)
    }

    /// Returns the count of requests in this phase, if there is one.
    pub(crate) fn count(&self, phase: Phase) -> Option<&AtomicUsize> {
        match phase {
            Phase::Serving => Some(&self.serving),
            Phase::Body | Phase::Responding => Some(&self.transferring),
            Phase::Head | Phase::Idle => None,
        }
    }
}
