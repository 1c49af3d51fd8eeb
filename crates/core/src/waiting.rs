//! The callers at an entry that wait for the answer to one submission.

use std::sync::Arc;

use gannetvane_wire::Message;
use gannetvane_wire::Submission;
use gannetvane_wire::SubmissionId;

use crate::Action;
use crate::CallerId;
use crate::Peer;

/// Interval in milliseconds before a submission without an answer is first sent
/// again. It doubles with each resend.
pub(crate) const FIRST_RESEND_INTERVAL_MS: u64 = 5_000;
/// Maximum interval in milliseconds between two resends.
const MAX_RESEND_INTERVAL_MS: u64 = 20_000;

/// Key by which an answer is matched to its callers. Callers that use one id
/// with different contents wait for different answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct WaitKey {
    pub(crate) id: SubmissionId,
    pub(crate) fingerprint: u64,
}

/// The request that an entry sends on behalf of its callers.
#[derive(Clone, Debug)]
pub(crate) enum Request {
    Submit(Arc<Submission>),
    Lookup,
}

/// One request, its callers and its next resend.
#[derive(Clone, Debug)]
pub(crate) struct Waiting {
    pub(crate) request: Request,
    pub(crate) callers: Vec<Caller>,
    pub(crate) sent_to: Option<Peer>,
    pub(crate) next_send_ms: u64,
    pub(crate) resend_interval_ms: u64,
    pub(crate) is_cancel: bool,
}

/// A caller and its deadline.
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

    /// Returns the message that sends the request to `to`, and schedules the
    /// next resend.
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
