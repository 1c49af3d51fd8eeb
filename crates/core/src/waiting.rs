//! Callers that wait at an entry for the answer to one submission.

use std::sync::Arc;

use gannetvane_wire::Message;
use gannetvane_wire::Submission;
use gannetvane_wire::SubmissionId;

use crate::Action;
use crate::CallerId;
use crate::Peer;

/// Time after which a submission without an answer is sent again, at first.
pub(crate) const FIRST_RESEND_INTERVAL_MS: u64 = 5_000;
/// Longest such time.
const MAX_RESEND_INTERVAL_MS: u64 = 20_000;

/// What an answer is matched by: callers of one id with different contents
/// wait for different answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct WaitKey {
    pub(crate) id: SubmissionId,
    pub(crate) fingerprint: u64,
}

/// What the callers of one submission wait for.
#[derive(Clone, Debug)]
pub(crate) enum Request {
    Submit(Arc<Submission>),
    Lookup,
}

/// One submission, its callers and when it is sent again.
#[derive(Clone, Debug)]
pub(crate) struct Waiting {
    pub(crate) request: Request,
    pub(crate) callers: Vec<Caller>,
    pub(crate) sent_to: Option<Peer>,
    pub(crate) next_send_ms: u64,
    pub(crate) resend_interval_ms: u64,
    pub(crate) is_cancel: bool,
}

/// A caller and how long it waits.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Caller {
    pub(crate) id: CallerId,
    pub(crate) deadline_at_ms: u64,
}

impl Waiting {
    pub(crate) fn new(request: Request, now_ms: u64) -> Self {
        Self {
            request,
            callers: Vec::new(),
            sent_to: None,
            next_send_ms: now_ms,
            resend_interval_ms: FIRST_RESEND_INTERVAL_MS,
            is_cancel: false,
        }
    }

    pub(crate) fn send(
        &mut self,
        now_ms: u64,
        key: WaitKey,
        to: Peer,
        configuration_version: u64,
    ) -> Action {
        self.sent_to = Some(to);
        self.next_send_ms = now_ms + self.resend_interval_ms;
        self.resend_interval_ms = (self.resend_interval_ms * 2).min(MAX_RESEND_INTERVAL_MS);
        let latest_deadline_ms = self
            .callers
            .iter()
            .map(|caller| caller.deadline_at_ms)
            .max()
            .unwrap_or(now_ms);
        let submission = match &self.request {
            Request::Submit(submission) => Some(Arc::clone(submission)),
            Request::Lookup => None,
        };
        let message = if self.is_cancel {
            Message::Cancel { id: key.id }
        } else {
            Message::Submit {
                id: key.id,
                submission,
                fingerprint: key.fingerprint,
                remaining_ms: latest_deadline_ms.saturating_sub(now_ms),
                configuration_version,
            }
        };
        Action::Send { to, message }
    }
}
