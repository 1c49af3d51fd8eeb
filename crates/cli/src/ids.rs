//! A pool of submission ids, which are taken from an entry in blocks in advance.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use gannetvane_wire::api::IdsBody;
use oxhttp::model::Method;

use crate::client::CallError;
use crate::client::Client;
use crate::client::Response;

/// Number of ids that are taken in one call.
const BLOCK_IDS: usize = 64;
/// Time that the entry may take to issue the ids.
const RESPONSE_WAIT: Duration = Duration::from_secs(5);

/// Ids for submissions to one service, shared by the sending threads.
#[derive(Debug)]
pub(crate) struct IdPool {
    service: String,
    ids: Mutex<VecDeque<String>>,
}

/// Why no id could be taken.
#[derive(Debug)]
pub(crate) enum TakeIdError {
    Refused(Response),
    Call(CallError),
}

impl IdPool {
    pub(crate) fn new(service: &str) -> Self {
        Self {
            service: service.to_owned(),
            ids: Mutex::default(),
        }
    }

    /// Takes an id from the pool. If the pool is empty, a block is fetched from `entry`.
    pub(crate) fn take(&self, entry: &Client) -> Result<String, TakeIdError> {
        if let Some(id) = self.pop() {
            return Ok(id);
        }
        let path = format!("/v1/ids?service={}&count={BLOCK_IDS}", self.service);
        let response = entry
            .call(Method::POST, &path, Vec::new(), RESPONSE_WAIT)
            .map_err(TakeIdError::Call)?;
        if !response.is_success() {
            return Err(TakeIdError::Refused(response));
        }
        let taken: IdsBody = response.json().map_err(TakeIdError::Call)?;
        self.lock().extend(taken.ids);
        self.pop().ok_or(TakeIdError::Refused(response))
    }

    /// Drops all ids that have the same home as `id`, when that home is leaving, is
    /// lost or does not answer.
    pub(crate) fn drop_ids_of_home(&self, id: &str) {
        let home = home_of(id).to_owned();
        self.lock().retain(|other| home_of(other) != home);
    }

    fn pop(&self) -> Option<String> {
        self.lock().pop_front()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, VecDeque<String>> {
        self.ids.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn home_of(id: &str) -> &str {
    id.split('-').next().unwrap_or_default()
}
