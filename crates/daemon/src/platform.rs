//! The HTTP client of the platform's append-only log, and the thread that calls it.

use std::fmt::Debug;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use crossbeam::channel::Receiver;
use crossbeam::channel::Sender;
use crossbeam::channel::bounded;
use gannetvane_core::LogPage;
use gannetvane_core::LoggedRecord;
use gannetvane_wire::LogRecord;
use gannetvane_wire::api::ContactsBody;
use oxhttp::Client;
use oxhttp::model::Body;
use oxhttp::model::Method;
use oxhttp::model::Request;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::input::Input;

/// Stream of configuration records.
const CONFIGURATION_STREAM: &str = "configuration";
/// Stream in which agents announce the addresses at which they receive.
const AGENTS_STREAM: &str = "agents";
/// Largest number of records in one page.
const MAX_PAGE_RECORDS: usize = 256;
/// Largest number of queued calls; further ones are dropped.
const MAX_QUEUED_CALLS: usize = 64;
/// Largest number of announced addresses used as contacts; the newest are used.
const MAX_CONTACTS: usize = 64;
/// Size at which a reply of the log is cut off.
const MAX_REPLY_BYTES: u64 = 64 * 1024 * 1024;

/// The error of a failed call to the log. An append may have taken effect all
/// the same.
#[derive(Debug, Error)]
pub(crate) enum LogError {
    /// The log cannot be reached or did not answer in time.
    #[error("the log cannot be reached or did not answer in time: {0}")]
    Unreachable(#[from] std::io::Error),
    /// The log answered with an error.
    #[error("the log answered with status {status}")]
    Status {
        /// The HTTP status.
        status: u16,
    },
    /// The log's answer is not the expected JSON.
    #[error("cannot parse the answer of the log: {0}")]
    Malformed(#[from] serde_json::Error),
    /// The request cannot be built.
    #[error("cannot build the request to the log: {reason}")]
    Invalid {
        /// Why the request is invalid.
        reason: String,
    },
}

/// A client of the platform's log.
pub(crate) trait LogClient: Debug + Send {
    /// Appends a configuration record.
    ///
    /// # Errors
    ///
    /// [`LogError`]; the record may have been appended all the same.
    fn append(&self, record: &LogRecord) -> Result<(), LogError>;

    /// Returns a page of configuration records that starts at an offset.
    ///
    /// # Errors
    ///
    /// [`LogError`] when the log returns no page.
    fn read(&self, from_offset: u64) -> Result<LogPage, LogError>;

    /// Announces the address at which this agent receives.
    ///
    /// # Errors
    ///
    /// [`LogError`]; the announcement may have been appended all the same.
    fn announce(&self, addr: SocketAddr) -> Result<(), LogError>;

    /// Returns the addresses that agents announced most recently, or addresses
    /// from an entry when the log returns none.
    ///
    /// # Errors
    ///
    /// [`LogError`] when the call to the log fails and no balancer is set, or when the
    /// log returns no addresses and the call to an entry through the balancer fails.
    fn contacts(&self) -> Result<Vec<SocketAddr>, LogError>;
}

/// A client that uses the HTTP protocol of the log.
pub(crate) struct HttpLog {
    url: String,
    balancer_url: Option<String>,
    client: Client,
}

impl Debug for HttpLog {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("HttpLog")
            .field("url", &self.url)
            .finish_non_exhaustive()
    }
}

#[derive(Debug, Deserialize)]
struct Page {
    oldest_offset: u64,
    next_offset: u64,
    end_offset: u64,
    records: Vec<PageRecord>,
}

#[derive(Debug, Deserialize)]
struct PageRecord {
    offset: u64,
    data: String,
}

#[derive(Debug, Serialize, Deserialize)]
struct Announcement {
    address: SocketAddr,
}

impl HttpLog {
    /// Creates a client of the log at `url`.
    ///
    /// The balancer at `balancer_url` forwards to any entry; the client asks it
    /// for contacts while the log is down or has none.
    #[must_use]
    pub fn new(url: &str, balancer_url: Option<&str>, timeout: Duration) -> Self {
        let trimmed = |url: &str| url.trim_end_matches('/').to_owned();
        Self {
            url: trimmed(url),
            balancer_url: balancer_url.map(trimmed),
            client: Client::new().with_global_timeout(timeout),
        }
    }

    fn call(&self, method: Method, url: String, body: Vec<u8>) -> Result<Vec<u8>, LogError> {
        let request = Request::builder()
            .method(method)
            .uri(url)
            .body(Body::from(body));
        let request = request.map_err(|error| LogError::Invalid {
            reason: error.to_string(),
        })?;
        let response = self.client.request(request)?;
        let status = response.status().as_u16();
        if !response.status().is_success() {
            return Err(LogError::Status { status });
        }
        let mut bytes = Vec::new();
        let mut body = std::io::Read::take(response.into_body(), MAX_REPLY_BYTES);
        std::io::Read::read_to_end(&mut body, &mut bytes)?;
        Ok(bytes)
    }

    fn append_to(&self, stream: &str, data: Vec<u8>) -> Result<(), LogError> {
        let url = format!("{}/streams/{stream}/records", self.url);
        self.call(Method::POST, url, data).map(|_| ())
    }

    fn read_from(&self, stream: &str, offset: u64) -> Result<Page, LogError> {
        let url = format!(
            "{}/streams/{stream}/records?from={offset}&limit={MAX_PAGE_RECORDS}",
            self.url
        );
        let bytes = self.call(Method::GET, url, Vec::new())?;
        Ok(serde_json::from_slice(&bytes)?)
    }

    fn announced_addresses(&self) -> Result<Vec<SocketAddr>, LogError> {
        let mut addresses: Vec<SocketAddr> = Vec::new();
        let mut offset = 0;
        loop {
            let page = self.read_from(AGENTS_STREAM, offset)?;
            for record in &page.records {
                if let Ok(announcement) = serde_json::from_str::<Announcement>(&record.data) {
                    addresses.retain(|address| *address != announcement.address);
                    addresses.push(announcement.address);
                }
            }
            if page.next_offset >= page.end_offset {
                break;
            }
            offset = page.next_offset;
        }
        let excess = addresses.len().saturating_sub(MAX_CONTACTS);
        Ok(addresses.split_off(excess))
    }

    fn contacts_from_entry(&self, balancer_url: &str) -> Result<Vec<SocketAddr>, LogError> {
        let url = format!("{balancer_url}/v1/contacts");
        let bytes = self.call(Method::GET, url, Vec::new())?;
        Ok(serde_json::from_slice::<ContactsBody>(&bytes)?.addresses)
    }
}

impl LogClient for HttpLog {
    fn append(&self, record: &LogRecord) -> Result<(), LogError> {
        self.append_to(CONFIGURATION_STREAM, serde_json::to_vec(record)?)
    }

    fn read(&self, from_offset: u64) -> Result<LogPage, LogError> {
        let page = self.read_from(CONFIGURATION_STREAM, from_offset)?;
        let records = page.records.into_iter().map(|record| LoggedRecord {
            offset: record.offset,
            record: serde_json::from_str(&record.data).ok(),
        });
        Ok(LogPage {
            oldest_offset: page.oldest_offset,
            next_offset: page.next_offset,
            at_end: page.next_offset >= page.end_offset,
            records: records.collect(),
        })
    }

    fn announce(&self, address: SocketAddr) -> Result<(), LogError> {
        self.append_to(
            AGENTS_STREAM,
            serde_json::to_vec(&Announcement { address })?,
        )
    }

    fn contacts(&self) -> Result<Vec<SocketAddr>, LogError> {
        let announced = self.announced_addresses();
        match (&announced, &self.balancer_url) {
            (Ok(addresses), _) if !addresses.is_empty() => announced,
            (_, Some(url)) => self.contacts_from_entry(url),
            _ => announced,
        }
    }
}

/// A call to be made by the thread of a [`LogWorker`].
#[derive(Debug)]
pub(crate) enum LogCall {
    Append(LogRecord),
    Read { from_offset: u64 },
    Announce(SocketAddr),
    FindContacts,
}

/// The result of a call to the log.
#[derive(Debug)]
pub(crate) enum LogReply {
    Page(LogPage),
    Contacts(Vec<SocketAddr>),
    /// The announcement is in the log.
    Announced,
    Failed(LogError),
}

/// A handle of the thread that makes calls to the log, one at a time.
#[derive(Clone, Debug)]
pub(crate) struct LogWorker {
    calls: Sender<LogCall>,
}

impl LogWorker {
    pub(crate) fn start(log: Box<dyn LogClient>, inputs: Sender<Input>) -> std::io::Result<Self> {
        let (calls, queue) = bounded(MAX_QUEUED_CALLS);
        thread::Builder::new()
            .name("platform-log".into())
            .spawn(move || run_calls(&*log, &queue, &inputs))?;
        Ok(Self { calls })
    }

    /// Queues a call. When the queue is full because the log is slow, the call
    /// is dropped; its sender makes it again later.
    pub(crate) fn call(&self, call: LogCall) {
        let _ = self.calls.try_send(call);
    }
}

fn run_calls(log: &dyn LogClient, queue: &Receiver<LogCall>, inputs: &Sender<Input>) {
    let mut next = queue.recv().ok();
    while let Some(call) = next {
        let reply = match call {
            LogCall::Append(record) => log.append(&record).map(|()| None),
            LogCall::Read { from_offset } => log.read(from_offset).map(LogReply::Page).map(Some),
            LogCall::Announce(addr) => log.announce(addr).map(|()| Some(LogReply::Announced)),
            LogCall::FindContacts => log.contacts().map(LogReply::Contacts).map(Some),
        };
        let reply = reply.unwrap_or_else(|error| Some(LogReply::Failed(error)));
        if let Some(reply) = reply
            && inputs.send(Input::Log(reply)).is_err()
        {
            return;
        }
        next = queue.recv().ok();
    }
}
